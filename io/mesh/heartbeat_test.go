package mesh

import (
	"math"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"siskinknot/core/coldstart"
	"siskinknot/core/directory"
	"siskinknot/core/grantsync"
	"siskinknot/core/placement"
	"siskinknot/core/tenure"
	"siskinknot/io/boottime"
	"siskinknot/io/peer/peerpb"
)

// testAddrs returns n different addresses.
func testAddrs(n int) []netip.AddrPort {
	list := make([]netip.AddrPort, n)
	for i := range list {
		list[i] = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7400)
	}
	return list
}

// TestHeartbeatsInTurn checks that no round is larger than the limit, and that
// all members get a heartbeat within the time that the timeouts for
// unresponsive members allow for.
func TestHeartbeatsInTurn(t *testing.T) {
	const perRound = othersEveryRounds * tenure.RenewInterval
	for _, row := range []struct {
		others   int
		rotation time.Duration
	}{
		{0, 0},
		{1, 0},
		{maxOthersPerRound, 0},
		{maxOthersPerRound + 1, perRound},
		{2 * maxOthersPerRound, perRound},
		{2*maxOthersPerRound + 1, 2 * perRound},
		{3199, 199 * perRound},
	} {
		m := newTestMesh()
		all := directory.Update{End: m.dir.Version() + 1}
		for _, addr := range testAddrs(row.others + 1) {
			all.Entries = append(all.Entries, directory.Member{Address: addr, Service: "s", State: directory.Active}.PutEntry())
		}
		require.True(t, m.dir.Apply(all))
		require.Equal(t, row.rotation, m.heartbeatRotationTime(), "%d others", row.others)
		list, next := testAddrs(row.others), 0
		seen := map[netip.AddrPort]bool{}
		for range int(row.rotation/perRound) + 1 {
			batch := nextBatch(list, &next)
			require.LessOrEqual(t, len(batch), maxOthersPerRound)
			for _, addr := range batch {
				seen[addr] = true
			}
		}
		require.Len(t, seen, row.others)
	}
}

// TestHeartbeatIsAnsweredAfterAPause guards against a hold that counts from before a pause up to a lease renewed after it.
func TestHeartbeatIsAnsweredAfterAPause(t *testing.T) {
	m := newDividedMesh(t, nil, directory.Assignment{First: 0, Last: 99, Fence: 1})
	now := boottime.Now()
	m.apply(now, directory.Update{Base: m.dir.Version(), End: m.dir.Version() + 1, Entries: []directory.Entry{
		directory.Member{Address: self, Service: "s", State: directory.Active, Instance: "i"}.PutEntry(),
	}})
	m.delivery = &heartbeatDelivery{}
	m.leases.RecordStoreRead(now, 0)
	answer := m.answerHeartbeat(now.Add(-3*time.Second), &grantsync.Report{})
	require.NotNil(t, answer)
	require.LessOrEqual(t, answer.Hold, tenure.MinLease)
}

// TestOddReportOfDaemonIsUsed guards against numbers in a daemon's message that end the following of the directory, or that are no loads.
func TestOddReportOfDaemonIsUsed(t *testing.T) {
	m := newTestMesh()
	m.store = &countingStore{}
	m.storeEra.Store(directory.FirstEra)
	m.loaded, m.fetching = true, true
	m.receivedHeartbeats = map[netip.AddrPort]peerHeartbeat{}
	from := testAddrs(3)[2]
	for _, era := range []uint64{math.MaxUint64, 1 << 24, directory.LastEra + 1} {
		m.handleHeartbeat(&peerpb.Heartbeat{From: from.String(), StoreEra: era, Load: &peerpb.TargetLoad{
			Demand: math.NaN(), MaxRate: math.Inf(1), ServiceUs: math.MaxUint64, ColdMs: math.MaxUint64,
		}})
		require.EqualValues(t, directory.FirstEra, m.storeEra.Load())
	}
	require.Equal(t, placement.Load{Member: from, ServiceTime: time.Hour, ColdFor: coldstart.MaxColdTime}, m.reports[from].Load)
	version := m.dir.Version()
	for _, end := range []uint64{math.MaxUint64, directory.VersionAt(directory.LastEra+1, 0)} {
		require.Equal(t, version, m.handleUpdate(&peerpb.Update{Base: 0, End: end}).NextOffset)
		require.Equal(t, version, m.handleUpdate(&peerpb.Update{Base: version, End: end}).NextOffset)
	}
}
