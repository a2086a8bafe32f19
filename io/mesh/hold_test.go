package mesh

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"siskinknot/core/directory"
	"siskinknot/core/placement"
	"siskinknot/core/retry"
	"siskinknot/core/scheduling"
	"siskinknot/core/tenure"
)

// self is the member of the tests.
var self = netip.MustParseAddrPort("10.0.0.1:7400")

// holder returns a Mesh without tasks that is a member with the given assignments.
func holder(assignments ...directory.Assignment) *Mesh {
	m := &Mesh{
		cfg:     Config{Self: self, Service: "s", MaxHold: 10 * time.Second},
		dir:     directory.New(),
		changes: directory.NewChanges(),
		entries: map[netip.AddrPort]*directory.Member{},
		book:    tenure.New(self),
		budget:  retry.NewBudget(0),
		changed: make(chan struct{}),
		wake:    make(chan struct{}, 1),
		metrics: newMetrics(tally.NoopScope),
		heat:    placement.NewHeat(time.Unix(1000, 0)),
		demand:  placement.NewDemand(),
		loads:   map[netip.AddrPort]report{},

		scheduler: scheduling.New(1),
	}
	entries := []directory.Entry{directory.Member{Address: self, Service: "s", State: directory.Active}.Put()}
	for _, a := range assignments {
		a.Service, a.Owner = "s", self
		entries = append(entries, a.Put())
	}
	m.dir.Apply(directory.Update{End: uint64(len(entries)), Entries: entries})
	m.syncHoldings(time.Unix(1000, 0))
	return m
}

// TestGrantTime checks that no grant outlasts the lease, and that there is none
// without one: the time left of a lease that never was does not fit a duration.
func TestGrantTime(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, row := range []struct {
		name string
		read time.Duration // how long ago the store was read; 0 for never
		most time.Duration
	}{
		{"never read", 0, 0},
		{"just read", time.Millisecond, tenure.Duration},
		{"half over", tenure.Duration / 2, tenure.Duration / 2},
		{"over", 2 * tenure.Duration, 0},
	} {
		t.Run(row.name, func(t *testing.T) {
			m := holder()
			if row.read > 0 {
				m.book.ReadStore(now.Add(-row.read))
			}
			got := m.grantTime(now)
			require.LessOrEqual(t, time.Duration(float64(got)*1.02), row.most, "on a clock that is 2% slow")
			require.Equal(t, row.most > 0, got > 0)
		})
	}
}

// TestHoldingsFollowTheDirectory splits holdings and changes the directory.
func TestHoldingsFollowTheDirectory(t *testing.T) {
	m := holder(directory.Assignment{First: 0, Last: 99, Fence: 1}, directory.Assignment{First: 200, Last: 299, Fence: 1})
	whole := m.holdingOf(50)
	whole.granted = true
	part := m.closePart(whole, 40, 59)
	require.Equal(t, []uint16{0, 40, 60, 200}, firsts(m))
	require.True(t, part.closing)
	require.True(t, m.holdingOf(10).granted, "the rest stays granted")

	other := netip.MustParseAddrPort("10.0.0.2:7400")
	entries := m.dir.Move(m.dir.AssignmentOf("s", 40), []directory.Part{{First: 40, Last: 59, To: other}})
	m.apply(time.Unix(1000, 0), directory.Update{Base: m.dir.End(), End: m.dir.End() + uint64(len(entries)), Entries: entries})
	require.Equal(t, []uint16{0, 60, 200}, firsts(m))
	require.Nil(t, m.holdingOf(45))
	require.True(t, m.holdingOf(70).granted)

	entries = []directory.Entry{directory.Assignment{Service: "s", First: 0, Last: 39, Owner: self, Fence: 9}.Put()}
	m.apply(time.Unix(1000, 0), directory.Update{Base: m.dir.End(), End: m.dir.End() + 1, Entries: entries})
	require.False(t, m.holdingOf(10).granted, "a new fence needs a new grant")
}

// firsts returns the first keys of the holdings.
func firsts(m *Mesh) []uint16 {
	var list []uint16
	for _, h := range m.holdings {
		list = append(list, h.First)
	}
	return list
}
