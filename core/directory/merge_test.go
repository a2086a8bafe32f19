package directory

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestMerge guards against ranges whose number grows with each split, and against keys that a merge leaves out.
func TestMerge(t *testing.T) {
	type keys struct{ first, last uint16 }
	for _, row := range []struct {
		name string
		// owned and others are the ranges of the owner and of another member.
		owned, others []keys
		excluded      uint16 // the first key of a range that may not be merged, unless it is 0
		want          []keys
	}{
		{"neighbours", []keys{{0, 9}, {10, 19}, {20, 29}}, nil, 0, []keys{{0, 29}}},
		{"range of another owner between them", []keys{{0, 9}, {20, 29}}, []keys{{10, 19}}, 0, []keys{{0, 9}, {20, 29}}},
		{"gap between them", []keys{{0, 9}, {11, 19}}, nil, 0, []keys{{0, 9}, {11, 19}}},
		{"two runs", []keys{{0, 9}, {10, 19}, {30, 39}, {40, MaxKey}}, []keys{{20, 29}}, 0, []keys{{0, 19}, {30, MaxKey}}},
		{"one may not be merged", []keys{{0, 9}, {10, 19}, {20, 29}, {30, 39}}, nil, 10, []keys{{0, 9}, {10, 19}, {20, 39}}},
	} {
		t.Run(row.name, func(t *testing.T) {
			dir := New()
			var entries []Entry
			put := func(i int, list []keys) {
				for _, k := range list {
					entries = append(entries, Assignment{Service: "s", First: k.first, Last: k.last, Owner: owner(i), Fence: 1, Handover: "warm"}.PutEntry())
				}
			}
			put(0, row.owned)
			put(1, row.others)
			apply(dir, entries)
			former := dir.Version()
			var merged []Entry
			for _, run := range dir.Adjacent(owner(0), "s", func(a *Assignment) bool { return row.excluded == 0 || a.First != row.excluded }) {
				merged = append(merged, dir.Merge(run)...)
			}
			apply(dir, merged)
			var got []keys
			for _, a := range dir.OwnedBy(owner(0)) {
				got = append(got, keys{a.First, a.Last})
				if a.Width() > 10 {
					require.Equal(t, former+1, a.Fence)
					require.Empty(t, a.Handover)
				}
			}
			require.Equal(t, row.want, got)
			require.Len(t, dir.OwnedBy(owner(1)), len(row.others))
		})
	}
}
