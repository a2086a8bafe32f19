package mesh

import (
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"

	"siskinknot/core/directory"
	"siskinknot/core/placement"
	"siskinknot/io/boottime"
)

// TestKeysGoToMemberThatHasLeft guards against released keys that get an owner which has left meanwhile, so that nobody serves them.
func TestKeysGoToMemberThatHasLeft(t *testing.T) {
	addrs := testAddrs(5)
	left, fenced, active := addrs[2], addrs[3], addrs[4]
	for _, row := range []struct {
		name           string
		to             netip.AddrPort
		othersAccept   bool
		wantedReceiver netip.AddrPort
	}{
		{"receiver active", active, true, active},
		{"receiver has left", left, true, active},
		{"receiver fenced", fenced, true, active},
		{"nobody else accepts keys", left, false, left},
	} {
		t.Run(row.name, func(t *testing.T) {
			m := newDividedMesh(t, &parallelTarget{}, directory.Assignment{First: 0, Last: 99, Fence: 1})
			m.apply(boottime.Now(), directory.Update{Base: m.dir.Version(), End: m.dir.Version() + 2, Entries: []directory.Entry{
				directory.Member{Address: fenced, Service: "s", State: directory.Fenced}.PutEntry(),
				directory.Member{Address: active, Service: "s", State: directory.Active}.PutEntry(),
			}})
			m.reports[active] = loadReport{Load: placement.Load{Member: active, Accepting: row.othersAccept, Slots: 8}, receivedAt: boottime.Now()}
			entries := m.transferEntries(m.dir, []*rangeTransfer{{holding: m.holdings[0], to: row.to}})
			m.apply(boottime.Now(), directory.Update{Base: m.dir.Version(), End: m.dir.Version() + uint64(len(entries)), Entries: entries})
			require.Equal(t, row.wantedReceiver, m.dir.AssignmentOf("s", 50).Owner)
		})
	}
}
