package directory

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// chain returns the updates of n consecutive transactions of one to three entries
// each. The first update is based on version 1.
func chain(t *rapid.T, n int) []Update {
	list, end := make([]Update, 0, n), uint64(1)
	for i := range n {
		u := Update{Base: end, End: end}
		for j := range rapid.IntRange(1, 3).Draw(t, "entries") {
			u.End++
			u.Entries = append(u.Entries, Entry{Key: fmt.Sprintf("other/%d", (i+j)%4), Value: fmt.Append(nil, u.End)})
		}
		list, end = append(list, u), u.End
	}
	return list
}

// TestChangesOutOfOrderAreLost applies a chain of updates in random order. It checks
// that no update is lost: the directory equals the one after the whole chain, and
// a member that has missed the last updates reaches the same directory with the
// update that Since returns.
func TestChangesOutOfOrderAreLost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		start := Update{End: 1, Entries: []Entry{{Key: "other/0", Value: []byte("1")}}}
		all := chain(t, rapid.IntRange(1, maxEarly).Draw(t, "changes"))
		d, buffer := New(), NewUpdateBuffer()
		d.Apply(start)
		for _, u := range rapid.Permutation(all).Draw(t, "order") {
			early := u.Base > d.Version()
			require.Equal(t, early, buffer.Apply(d, u) == 0)
		}
		behind := New()
		behind.Apply(start)
		for _, u := range all[:rapid.IntRange(0, len(all)-1).Draw(t, "known")] {
			require.True(t, behind.Apply(u))
		}
		rest, ok := buffer.Since(behind.Version())
		require.True(t, ok)
		require.True(t, behind.Apply(rest))
		require.Equal(t, all[len(all)-1].End, d.Version())
		require.Equal(t, d.Snapshot(), behind.Snapshot())
	})
}

// TestOvertakenReadIsLost checks that the result of a read of the store is applied
// even if another member has sent a part of it in the meantime.
func TestOvertakenReadIsLost(t *testing.T) {
	entry := func(value string) Entry { return Entry{Key: "other/" + value, Value: []byte(value)} }
	for _, row := range []struct {
		name    string
		read    Update
		applies bool
	}{
		{"begins earlier, one version for each entry", Update{Base: 1, End: 4, Entries: []Entry{entry("a"), entry("b"), entry("c")}}, true},
		{"all versions known", Update{Base: 1, End: 2, Entries: []Entry{entry("a")}}, false},
		{"more versions than entries", Update{Base: 1, End: 4, Entries: []Entry{entry("a"), entry("c")}}, false},
		{"begins later", Update{Base: 3, End: 4, Entries: []Entry{entry("c")}}, false},
	} {
		t.Run(row.name, func(t *testing.T) {
			d := New()
			d.Apply(Update{End: 1, Entries: []Entry{entry("z")}})
			require.True(t, d.Apply(Update{Base: 1, End: 2, Entries: []Entry{entry("a")}}))
			require.Equal(t, row.applies, d.Apply(row.read))
			if row.applies {
				require.Equal(t, row.read.End, d.Version())
			}
		})
	}
}
