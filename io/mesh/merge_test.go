package mesh

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"siskinknot/core/directory"
	"siskinknot/io/boottime"
)

// newMeshWithNeighbours returns a Mesh that owns count neighbouring ranges of ten keys each,
// which its target holds.
func newMeshWithNeighbours(t *testing.T, count int) *Mesh {
	t.Helper()
	var owned []directory.Assignment
	for i := range count {
		owned = append(owned, directory.Assignment{First: uint16(10 * i), Last: uint16(10*i + 9), Fence: 1})
	}
	m := newDividedMesh(t, &parallelTarget{}, owned...)
	m.store = &countingStore{version: m.dir.Version()}
	now := boottime.Now()
	for _, h := range m.holdings {
		m.recordGrant(now, h, now, 2*time.Second, GrantApplied)
	}
	return m
}

// TestRangesGrowWithoutEnd guards against a member whose ranges become more with each move and restart, as splits are never undone.
func TestRangesGrowWithoutEnd(t *testing.T) {
	for _, row := range []struct {
		name   string
		count  int
		before func(m *Mesh)
		want   []uint16 // the first keys of the holdings
	}{
		{"few ranges", fewRanges, func(*Mesh) {}, []uint16{0, 10, 20, 30, 40, 50, 60, 70}},
		{"many ranges", 50, func(*Mesh) {}, []uint16{0}},
		{"one is not held", 12, func(m *Mesh) { m.holdingOf(55).granted = false }, []uint16{0, 50, 60}},
		{"one is split and partly passed on", 12, func(m *Mesh) { m.splitAndClose(m.holdingOf(55), 53, 56) }, []uint16{0, 50, 53, 57, 60}},
		{"a transfer is in progress", 12, func(m *Mesh) { m.transfers = 1 }, []uint16{0, 10, 20, 30, 40, 50, 60, 70, 80, 90, 100, 110}},
	} {
		t.Run(row.name, func(t *testing.T) {
			m := newMeshWithNeighbours(t, row.count)
			row.before(m)
			m.merge(&maintenance{mesh: m})
			require.Equal(t, row.want, firstKeys(m))
			require.False(t, m.merging)
		})
	}
}

// TestMergedRangeIsServed guards against requests that wait for a new grant of keys which the target holds.
func TestMergedRangeIsServed(t *testing.T) {
	m := newMeshWithNeighbours(t, 12)
	m.holdings[3].grantedUntil = m.holdings[3].grantedUntil.Add(-time.Second)
	earliest := m.holdings[3].grantedUntil
	m.holdings[5].unanswered, m.holdings[5].unansweredUntil = true, earliest.Add(time.Minute)
	m.merge(&maintenance{mesh: m})
	require.Len(t, m.holdings, 1)
	h, now := m.holdings[0], boottime.Now()
	require.True(t, h.isHeld(now))
	require.Equal(t, earliest, h.grantedUntil, "the part that expires first")
	require.True(t, h.unanswered, "a grant of a part may be applied late")
	require.Equal(t, earliest.Add(time.Minute), h.unansweredUntil)
	require.Len(t, m.dueGrants(now), 1)
	m.recordGrantResult(&h.Assignment, now, 2*time.Second, GrantApplied)
	require.Empty(t, m.dueGrants(now))
	require.Equal(t, now.Add(2*time.Second), h.grantedUntil)
}

// TestRaisedFenceNeedsGrant guards against keys that count as held although the target refuses them: a range that got a new fence alone is not merged.
func TestRaisedFenceNeedsGrant(t *testing.T) {
	m := newMeshWithNeighbours(t, 2)
	raised := m.holdings[0].Assignment
	raised.Fence = m.dir.NextFence()
	m.apply(boottime.Now(), directory.Update{Base: m.dir.Version(), End: m.dir.Version() + 1, Entries: []directory.Entry{raised.PutEntry()}})
	require.False(t, m.holdings[0].granted)
	require.True(t, m.holdings[1].granted)
}

// TestKeysAreReleasedDuringMerge guards against a release of keys whose fence is about to change.
func TestKeysAreReleasedDuringMerge(t *testing.T) {
	m := newMeshWithNeighbours(t, 12)
	m.merging = true
	m.target.leavingSince = boottime.Now()
	m.evacuate()
	require.Zero(t, m.transfers)
	for _, h := range m.holdings {
		require.False(t, h.closeRequested)
	}
}

// TestRestartMergesRanges guards against a target that gets a grant for each of its former ranges after a restart.
func TestRestartMergesRanges(t *testing.T) {
	m := newMeshWithNeighbours(t, 50)
	m.TargetHeartbeat(boottime.Now(), TargetState{Instance: "next", Born: 2, Slots: 1, Ready: true})
	entries := m.joinEntries(m.dir)
	m.apply(boottime.Now(), directory.Update{Base: m.dir.Version(), End: m.dir.Version() + uint64(len(entries)), Entries: entries})
	require.Len(t, m.holdings, 1)
	require.Equal(t, uint16(499), m.holdings[0].Last)
	require.False(t, m.holdings[0].granted, "the next process holds no keys")
}
