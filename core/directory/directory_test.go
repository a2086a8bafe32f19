package directory

import (
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// owner returns the address of the i-th test member.
func owner(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 7400)
}

// apply applies entries to dir as one change.
func apply(dir *Directory, entries []Entry) {
	dir.Apply(Update{Base: dir.Version(), End: dir.Version() + uint64(len(entries)), Entries: entries})
}

// TestChangesKeepAllKeys divides all keys between two owners and then makes random
// moves. It checks that each key always has exactly one owner, and that the fence
// of a key rises when its owner changes.
func TestChangesKeepAllKeys(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		dir := New()
		apply(dir, dir.Distribute(dir.Unassigned("s")[0], []netip.AddrPort{owner(1), owner(2)}, []float64{1, rapid.Float64Range(0.1, 9).Draw(t, "weight")}))
		for range rapid.IntRange(1, 12).Draw(t, "changes") {
			list := dir.Assignments("s")
			a := *list[rapid.IntRange(0, len(list)-1).Draw(t, "range")]
			first := rapid.IntRange(int(a.First), int(a.Last)).Draw(t, "first")
			last := rapid.IntRange(first, int(a.Last)).Draw(t, "last")
			to := owner(rapid.IntRange(1, 5).Draw(t, "to"))
			before := dir.AssignmentOf("s", uint16(first)).Fence
			apply(dir, dir.Move(&a, []Transfer{{First: uint16(first), Last: uint16(last), To: to}}))
			after := dir.AssignmentOf("s", uint16(first))
			require.Equal(t, to, after.Owner)
			require.Greater(t, after.Fence, before)
			require.Empty(t, dir.Unassigned("s"))
			next := 0
			for _, part := range dir.Assignments("s") {
				require.Equal(t, next, int(part.First))
				next = int(part.Last) + 1
			}
			require.Equal(t, MaxKey+1, next)
		}
		copied := New()
		copied.Apply(dir.Snapshot())
		require.Equal(t, dir.Snapshot(), copied.Snapshot())
	})
}

func TestApply(t *testing.T) {
	member := Member{Address: owner(1), Service: "s", State: Active}
	for _, row := range []struct {
		name    string
		update  Update
		version uint64
		member  bool
	}{
		{"snapshot", Update{Base: 0, End: 3, Entries: []Entry{member.PutEntry()}}, 3, true},
		{"next version", Update{Base: 2, End: 3, Entries: []Entry{member.PutEntry()}}, 3, true},
		{"gap", Update{Base: 3, End: 4, Entries: []Entry{member.PutEntry()}}, 2, false},
		{"older", Update{Base: 0, End: 1, Entries: []Entry{member.PutEntry()}}, 2, false},
		{"invalid value", Update{Base: 2, End: 3, Entries: []Entry{{Key: "member/10.0.0.1:7400", Value: []byte("{")}}}, 3, false},
		{"key of another address", Update{Base: 2, End: 3, Entries: []Entry{{Key: "member/10.0.0.9:7400", Value: member.PutEntry().Value}}}, 3, false},
		{"unknown key", Update{Base: 2, End: 3, Entries: []Entry{{Key: "x", Value: []byte("1")}}}, 3, false},
	} {
		t.Run(row.name, func(t *testing.T) {
			dir := New()
			dir.Apply(Update{End: 2})
			dir.Apply(row.update)
			require.Equal(t, row.version, dir.Version())
			require.Equal(t, row.member, dir.Member(owner(1)) != nil)
		})
	}
}
