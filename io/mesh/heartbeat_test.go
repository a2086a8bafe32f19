package mesh

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"siskinknot/core/directory"
	"siskinknot/core/tenure"
)

// members returns n addresses.
func members(n int) []netip.AddrPort {
	list := make([]netip.AddrPort, n)
	for i := range list {
		list[i] = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7400)
	}
	return list
}

// TestHeartbeatsInTurn checks that no round is larger than the limit, and that all
// members get a heartbeat within the time that limits of silence allow for.
func TestHeartbeatsInTurn(t *testing.T) {
	const perRound = othersEvery * tenure.RenewEvery
	for _, row := range []struct {
		others int
		longer time.Duration
	}{
		{0, 0},
		{1, 0},
		{mostOthers, 0},
		{mostOthers + 1, perRound},
		{2 * mostOthers, perRound},
		{2*mostOthers + 1, 2 * perRound},
		{3199, 199 * perRound},
	} {
		m := holder()
		all := directory.Update{End: m.dir.End() + 1}
		for _, addr := range members(row.others + 1) {
			all.Entries = append(all.Entries, directory.Member{Address: addr, Service: "s", State: directory.Active}.Put())
		}
		require.True(t, m.dir.Apply(all))
		require.Equal(t, row.longer, m.turnTime(), "%d others", row.others)
		list, turn := members(row.others), 0
		seen := map[netip.AddrPort]bool{}
		for range int(row.longer/perRound) + 1 {
			chosen := inTurn(list, &turn)
			require.LessOrEqual(t, len(chosen), mostOthers)
			for _, addr := range chosen {
				seen[addr] = true
			}
		}
		require.Len(t, seen, row.others)
	}
}
