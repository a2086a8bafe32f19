package mesh

import (
	"slices"
	"time"

	"siskinknot/core/directory"
	"siskinknot/core/tenure"
	"siskinknot/io/boottime"
)

const (
	// fewRanges is the number of ranges up to which a member merges none: their grants cost
	// less than the changes of the directory that would merge them.
	fewRanges = 8
	// mergeCheckInterval is the time between two checks whether ranges are to be merged.
	mergeCheckInterval = time.Second
)

// mergeDue reports whether this member has enough neighbouring ranges to merge, and none of
// its keys is being transferred. The caller holds the mutex.
func (m *Mesh) mergeDue(now time.Time) bool {
	if _, byCall := m.delivery.(callDelivery); !byCall || !m.divided() || m.leaving || m.evacuating || m.transfers > 0 || m.reassigning {
		return false
	}
	return len(m.holdings) > fewRanges && len(m.mergeableRanges(now, m.dir)) > 0
}

// mergeableRanges returns the runs of neighbouring ranges that the target holds. The caller
// holds the mutex.
func (m *Mesh) mergeableRanges(now time.Time, dir *directory.Directory) [][]*directory.Assignment {
	return dir.Adjacent(m.cfg.Self, m.cfg.Service, func(a *directory.Assignment) bool {
		parts := m.holdingsWithin(a)
		return coversKeys(parts, a) && !slices.ContainsFunc(parts, func(h *holding) bool { return !h.mayBeMerged(now) })
	})
}

// mayBeMerged reports whether the keys of h can become a part of a wider range at now: the
// target holds them, and they are not being transferred.
func (h *holding) mayBeMerged(now time.Time) bool {
	return h.isHeld(now) && !h.closeRequested && !h.closing && !h.fenceReused
}

// coversKeys reports whether list, which is ordered by First, has all keys of a and no others.
func coversKeys(list []*holding, a *directory.Assignment) bool {
	next := int(a.First)
	for _, h := range list {
		if int(h.First) != next {
			return false
		}
		next = int(h.Last) + 1
	}
	return next == int(a.Last)+1
}

// mergeEntries returns the entries that merge this member's neighbouring ranges. The caller
// holds the mutex.
func (m *Mesh) mergeEntries(now time.Time, dir *directory.Directory) []directory.Entry {
	if !m.mergeDue(now) {
		return nil
	}
	var entries []directory.Entry
	for _, run := range m.mergeableRanges(now, dir) {
		entries = append(entries, dir.Merge(run)...)
	}
	return entries
}

// mergedHolding returns the holding for a if a replaces several ranges of this member that its
// target holds, or nil. The target goes on holding the keys by the grants of these ranges,
// until the one for a renews them. The caller holds the mutex.
func (m *Mesh) mergedHolding(now time.Time, a *directory.Assignment) *holding {
	if a.Fence <= m.syncedVersion || m.dir.Contested(a) {
		return nil
	}
	var parts []*holding
	for _, h := range m.holdings {
		if h.Service == a.Service && a.First <= h.First && h.Last <= a.Last {
			parts = append(parts, h)
		}
	}
	if len(parts) < 2 || !coversKeys(parts, a) {
		return nil
	}
	merged := &holding{Assignment: *a, granted: true, grantOutdated: true, grantedUntil: parts[0].grantedUntil, grantedFor: parts[0].grantedFor}
	for _, h := range parts {
		if !h.mayBeMerged(now) || h.Fence >= a.Fence || directory.EraOf(h.Fence) != directory.EraOf(a.Fence) {
			return nil
		}
		if h.grantedUntil.Before(merged.grantedUntil) {
			merged.grantedUntil, merged.grantedFor = h.grantedUntil, h.grantedFor
		}
		merged.ownedSince = tenure.Later(merged.ownedSince, h.ownedSince)
		merged.heldElsewhereUntil = tenure.Later(merged.heldElsewhereUntil, h.heldElsewhereUntil)
		merged.extendMayHold(h.grant.MayHoldUntil)
		merged.unanswered = merged.unanswered || h.unanswered || h.grantInFlight
		merged.unansweredUntil = tenure.Later(merged.unansweredUntil, h.unansweredUntil)
	}
	return merged
}

// merge merges this member's neighbouring ranges. No transfer of keys begins meanwhile: it
// would release keys whose fence is about to change.
func (m *Mesh) merge(t *maintenance) {
	m.mu.Lock()
	m.merging = true
	m.mu.Unlock()
	now := boottime.Now()
	t.commit(now, relaxedBackoff, "merge", func(dir *directory.Directory) []directory.Entry {
		return m.mergeEntries(boottime.Now(), dir)
	})
	m.mu.Lock()
	m.merging = false
	m.notify()
	m.mu.Unlock()
}
