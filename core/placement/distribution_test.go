package placement

import (
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestDistributionPrefersNeighbours guards against ranges that go to members which cannot merge them, and against neighbours that get most of them.
func TestDistributionPrefersNeighbours(t *testing.T) {
	addr := func(i int) netip.AddrPort {
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 7400)
	}
	load := func(i int) Load { return Load{Member: addr(i), Accepting: true, Slots: 8} }
	all := []Load{load(0), load(1), load(2), load(3), load(4)}
	var none netip.AddrPort
	for _, row := range []struct {
		name          string
		count         int
		before, after netip.AddrPort
		want          []int
	}{
		{"no neighbours", 3, none, none, []int{0, 1, 2}},
		{"whole to the one before", 1, addr(3), none, []int{3}},
		{"whole to the one after", 1, none, addr(4), []int{4}},
		{"whole, neighbour accepts no keys", 1, addr(9), none, []int{0}},
		{"parts", 3, addr(2), addr(0), []int{2, 1, 0}},
		{"parts, neighbours not in turn", 3, addr(3), addr(4), []int{3, 1, 4}},
		{"parts, the same neighbour twice", 3, addr(1), addr(1), []int{1, 0, 2}},
		{"parts, more than receivers", 9, none, none, []int{0, 1, 2, 3}},
	} {
		t.Run(row.name, func(t *testing.T) {
			var got []int
			for _, l := range NewDistribution(all, all[:4]).Choose(row.count, row.before, row.after) {
				got = append(got, int(l.Member.Addr().As4()[3]))
			}
			require.Equal(t, row.want, got)
		})
	}

	d := NewDistribution(all, all)
	got := map[netip.AddrPort]int{}
	for range 50 {
		got[d.Choose(1, addr(0), addr(1))[0].Member]++
	}
	for i := range all {
		require.LessOrEqual(t, got[addr(i)], 50/len(all)+neighbourSlack)
	}
}
