package directory

import (
	"fmt"
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"
)

// grown returns a directory in which each of members owns ranges ranges.
func grown(members, ranges int) *Directory {
	addr := func(i int) netip.AddrPort {
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7400)
	}
	u := Update{End: 1}
	for i := range members {
		u.Entries = append(u.Entries, Member{Address: addr(i), Service: "s", State: Active}.Put())
	}
	n := members * ranges
	for i := range n {
		u.Entries = append(u.Entries, Assignment{
			Service: "s", First: uint16(i << 16 / n), Last: uint16((i+1)<<16/n - 1), Owner: addr(i % members), Fence: 1,
		}.Put())
	}
	d := New()
	d.Apply(u)
	return d
}

// TestApplySlowsDownAsRangesSplit checks, by the memory allocated, that applying a
// move costs the same in a large directory, and that reading a directory which has
// not changed costs little.
func TestApplySlowsDownAsRangesSplit(t *testing.T) {
	const runs = 5
	move := func(d *Directory) float64 {
		end := d.End()
		return testing.AllocsPerRun(runs, func() {
			a := d.Assignments("s")[0]
			end += 2
			d.Apply(Update{Base: d.End(), End: end, Entries: d.Move(a, []Part{{First: a.First, Last: a.Last, To: a.Owner}})})
		})
	}
	small := move(grown(4, 1))
	for _, row := range []struct{ members, ranges int }{
		{10, 8},
		{76, 8},
		{76, 24},
	} {
		t.Run(fmt.Sprintf("%d members with %d ranges", row.members, row.ranges), func(t *testing.T) {
			d := grown(row.members, row.ranges)
			require.LessOrEqual(t, move(d), 2*small, "a move")
			whole := d.Snapshot()
			again := testing.AllocsPerRun(runs, func() {
				whole.End++
				d.Apply(whole)
			})
			require.LessOrEqual(t, again, float64(len(whole.Entries)), "the whole directory once more")
		})
	}
}
