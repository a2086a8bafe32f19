package mesh

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"siskinknot/core/directory"
	"siskinknot/core/placement"
	"siskinknot/core/routing"
	"siskinknot/io/boottime"
)

// rangeFleet has the members of a divided service with one directory, whose changes are
// applied without a store or a target.
type rangeFleet struct {
	dir     *directory.Directory
	members []*Mesh
}

// newRangeFleet returns a fleet of the given size whose members own equal parts of the keys.
func newRangeFleet(t *testing.T, size int) *rangeFleet {
	t.Helper()
	f := &rangeFleet{dir: directory.New()}
	addrs := testAddrs(size)
	var loads []placement.Load
	var entries []directory.Entry
	for _, addr := range addrs {
		loads = append(loads, placement.Load{Member: addr, Accepting: true, Slots: 8})
		entries = append(entries, directory.Member{Address: addr, Service: "s", State: directory.Active}.PutEntry())
	}
	table, err := routing.New(1, nil, []routing.Service{{Name: "s", Divided: true}}, routing.Limits{})
	require.NoError(t, err)
	load := placement.NewLoadHistogram(boottime.Now())
	for _, addr := range addrs {
		m := newTestMesh()
		m.cfg.Self, m.dir, m.table, m.keyLoad = addr, f.dir, table, load
		m.target.TargetState = TargetState{Instance: "i", Slots: 8, Ready: true}
		for _, l := range loads {
			m.reports[l.Member] = loadReport{Load: l, receivedAt: boottime.Now().Add(time.Hour)}
		}
		f.members = append(f.members, m)
	}
	f.apply(entries)
	f.apply(spreadRanges(f.dir, f.dir.Unassigned("s"), placement.NewDistribution(loads, loads)))
	return f
}

// apply applies one change.
func (f *rangeFleet) apply(entries []directory.Entry) {
	f.dir.Apply(directory.Update{Base: f.dir.Version(), End: f.dir.Version() + uint64(len(entries)), Entries: entries})
}

// sync updates the holdings of m, which all become granted.
func (f *rangeFleet) sync(m *Mesh) {
	now := boottime.Now()
	m.syncHoldings(now)
	for _, h := range m.holdings {
		h.granted, h.grantedUntil, h.unanswered, h.ownedSince = true, now.Add(time.Hour), false, time.Time{}
		h.closing, h.closeRequested, h.fenceReused = false, false, false
	}
}

// transfer assigns parts of m's keys to owners.
func (f *rangeFleet) transfer(m *Mesh, parts []*holding, owners []netip.AddrPort) {
	var batch []*rangeTransfer
	for i, h := range parts {
		batch = append(batch, &rangeTransfer{holding: h, to: owners[i]})
	}
	f.apply(m.transferEntries(f.dir, batch))
}

// merge lets all members merge their ranges.
func (f *rangeFleet) merge() {
	for _, m := range f.members {
		f.sync(m)
		f.apply(m.mergeEntries(boottime.Now(), f.dir))
	}
}

// restart transfers all keys of m, as if its target left, and moves others to it once it has
// returned, until it has about its share of the load.
func (f *rangeFleet) restart(m *Mesh) {
	now := boottime.Now()
	f.sync(m)
	for _, other := range f.members {
		report := m.reports[other.cfg.Self]
		report.Demand = f.demandOf(now, other)
		m.reports[other.cfg.Self] = report
	}
	parts, owners := m.planEvacuation()
	f.transfer(m, parts, owners)
	f.merge()
	share := m.keyLoad.Demand(now, 0, directory.MaxKey) / float64(len(f.members))
	for i := 0; i < 4; i++ {
		donor := f.mostLoaded(now)
		f.sync(donor)
		if part, ok := donor.pickRange(share / 4); ok {
			f.transfer(donor, []*holding{part}, []netip.AddrPort{m.cfg.Self})
		}
	}
	f.merge()
}

// mostLoaded returns the member whose keys have the most load.
func (f *rangeFleet) mostLoaded(now time.Time) *Mesh {
	var most *Mesh
	highest := -1.0
	for _, m := range f.members {
		if demand := f.demandOf(now, m); demand > highest {
			most, highest = m, demand
		}
	}
	return most
}

// demandOf returns the demand of m's keys.
func (f *rangeFleet) demandOf(now time.Time, m *Mesh) float64 {
	demand := 0.0
	for _, a := range f.dir.OwnedBy(m.cfg.Self) {
		demand += m.keyLoad.Demand(now, a.First, a.Last)
	}
	return demand
}

// mostRanges returns the largest number of ranges of a member.
func (f *rangeFleet) mostRanges() int {
	most := 0
	for _, m := range f.members {
		most = max(most, len(f.dir.OwnedBy(m.cfg.Self)))
	}
	return most
}

// TestRestartsMultiplyRanges guards against ranges that become more with each round of restarts, and with them grants and the directory.
func TestRestartsMultiplyRanges(t *testing.T) {
	const (
		rounds = 50
		// mostRanges is what a member may own so that no connection is lacking at a target that
		// accepts twice as many.
		mostRanges = 36
		// meanRanges is half of the parts into which a member's keys are split when it leaves.
		meanRanges = evacuationParts / 2
	)
	for _, row := range []struct {
		members, restarts int // restarts in each round
	}{
		{12, 12},
		{60, 20},
		{200, 8},
	} {
		t.Run(fmt.Sprint(row.members), func(t *testing.T) {
			f := newRangeFleet(t, row.members)
			load := f.members[0].keyLoad
			for round := range rounds {
				for key := 0; key < directory.MaxKey; key += 8 {
					load.Add(boottime.Now(), uint16(key), time.Duration(1+key%97)*time.Millisecond)
				}
				for i := range row.restarts {
					f.restart(f.members[(round*row.restarts+i)%row.members])
				}
				require.LessOrEqual(t, f.mostRanges(), mostRanges, "round %d", round)
				require.LessOrEqual(t, f.dir.RangeCount(), row.members*meanRanges, "round %d", round)
			}
		})
	}
}
