package directory

import (
	"net/netip"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// fenceModel makes random changes of a directory, and records with which fences the owners
// may have been granted keys.
type fenceModel struct {
	dir *Directory
	// copies has snapshots of the current era, which a store may come back with.
	copies []Update
	// owner has who was last granted a key, and fence the highest fence so far.
	owner map[uint16]netip.AddrPort
	fence map[uint16]uint64
}

// modelKeys is the number of keys of the model; the last one is MaxKey.
const modelKeys = 24

// keyAt returns the i-th key of the model.
func keyAt(i int) uint16 {
	if i == modelKeys-1 {
		return MaxKey
	}
	return uint16(i)
}

// newFenceModel returns a model with members and without ranges.
func newFenceModel() *fenceModel {
	m := &fenceModel{dir: New(), owner: map[uint16]netip.AddrPort{}, fence: map[uint16]uint64{}}
	var entries []Entry
	for i := range 4 {
		entries = append(entries, Member{Address: owner(i), Service: "s", State: Active}.PutEntry())
	}
	apply(m.dir, entries)
	return m
}

// owners draws a list of at least one owner, with weights.
func (m *fenceModel) owners(t *rapid.T) (owners []netip.AddrPort, weights []float64) {
	for _, i := range rapid.SliceOfNDistinct(rapid.IntRange(0, 3), 1, 4, rapid.ID[int]).Draw(t, "owners") {
		owners = append(owners, owner(i))
		weights = append(weights, rapid.Float64Range(0.1, 9).Draw(t, "weight"))
	}
	return owners, weights
}

// anyRange draws an assignment, or returns nil if there is none.
func (m *fenceModel) anyRange(t *rapid.T) *Assignment {
	list := m.dir.Assignments("s")
	if len(list) == 0 {
		return nil
	}
	return list[rapid.IntRange(0, len(list)-1).Draw(t, "range")]
}

// transfers draws transfers of parts of a.
func (m *fenceModel) transfers(t *rapid.T, a *Assignment) []Transfer {
	var list []Transfer
	next := int(a.First)
	for next <= int(a.Last) && len(list) < 3 {
		first := rapid.IntRange(next, int(a.Last)).Draw(t, "first")
		last := rapid.IntRange(first, int(a.Last)).Draw(t, "last")
		list = append(list, Transfer{First: uint16(first), Last: uint16(last), To: owner(rapid.IntRange(0, 3).Draw(t, "to"))})
		next = last + 1 + rapid.IntRange(0, 2).Draw(t, "gap")
	}
	return list
}

// renewed returns the entries that give the ranges in list the next fence.
func (m *fenceModel) renewed(list []*Assignment) []Entry {
	var entries []Entry
	for _, a := range list {
		raised := *a
		raised.Fence, raised.Handover = m.dir.NextFence(), ""
		entries = append(entries, raised.PutEntry())
	}
	return entries
}

// change makes a random change of the directory.
func (m *fenceModel) change(t *rapid.T) {
	var entries []Entry
	switch rapid.SampledFrom([]string{"distribute", "move", "take over", "join", "merge", "raise", "remove", "start era"}).Draw(t, "change") {
	case "distribute":
		for _, a := range m.dir.Unassigned("s") {
			owners, weights := m.owners(t)
			entries = append(entries, m.dir.Distribute(a, owners, weights)...)
		}
	case "move":
		if a := m.anyRange(t); a != nil {
			entries = m.dir.Move(a, m.transfers(t, a))
		}
	case "take over":
		for _, a := range slices.Clone(m.dir.OwnedBy(owner(rapid.IntRange(0, 3).Draw(t, "lost")))) {
			owners, weights := m.owners(t)
			entries = append(entries, m.dir.Distribute(*a, owners, weights)...)
		}
	case "join":
		entries = m.renewed(m.dir.OwnedBy(owner(rapid.IntRange(0, 3).Draw(t, "joining"))))
	case "merge":
		for _, run := range m.dir.Adjacent(owner(rapid.IntRange(0, 3).Draw(t, "merging")), "s", func(*Assignment) bool { return rapid.Bool().Draw(t, "held") }) {
			entries = append(entries, m.dir.Merge(run)...)
		}
	case "raise":
		if a := m.anyRange(t); a != nil {
			entries = m.renewed([]*Assignment{a})
		}
	case "remove":
		if a := m.anyRange(t); a != nil {
			entries = []Entry{a.DeleteEntry()}
		}
	case "start era":
		m.startEra(t)
	}
	apply(m.dir, entries)
	m.copies = append(m.copies, m.dir.Snapshot())
}

// startEra writes the directory, or an earlier copy of it, into the next era.
func (m *fenceModel) startEra(t *rapid.T) {
	known := m.dir
	if len(m.copies) > 0 && rapid.Bool().Draw(t, "from_copy") {
		known = New()
		known.Apply(m.copies[rapid.IntRange(0, len(m.copies)-1).Draw(t, "copy")])
	}
	era := EraOf(m.dir.Version()) + 1
	entries := known.StartEra(era, owner(0), nil, known != m.dir, nil)
	m.dir = New()
	m.dir.Apply(Update{End: VersionAt(era, uint64(len(entries))), Entries: entries})
	m.copies = nil
}

// check records the owners, and fails if a key has a new owner without a fence above all
// former ones, or a lower fence. Fences of former eras are only renewed.
func (m *fenceModel) check(t *rapid.T) {
	for i := range modelKeys {
		key := keyAt(i)
		a := m.dir.AssignmentOf("s", key)
		if a == nil {
			continue
		}
		sameOwner := a.Owner == m.owner[key]
		formerEra := EraOf(a.Fence) < EraOf(m.dir.Version())
		if formerEra && (!sameOwner || a.Fence != m.fence[key]) {
			continue
		}
		require.LessOrEqual(t, a.Fence, m.dir.Version())
		if sameOwner {
			require.GreaterOrEqual(t, a.Fence, m.fence[key])
		} else {
			require.Greater(t, a.Fence, m.fence[key])
		}
		m.owner[key], m.fence[key] = a.Owner, a.Fence
	}
}

// TestNewOwnerHasFormerFence guards against two targets that are granted a key with the same fence, or the later one with a lower fence.
func TestNewOwnerHasFormerFence(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newFenceModel()
		for range rapid.IntRange(1, 30).Draw(t, "changes") {
			m.change(t)
			m.check(t)
		}
	})
}
