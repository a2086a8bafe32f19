// Package dedup stores the ids of requests that may have run, so that an owner runs
// none of them twice.
//
// The number of stored ids is bounded: an id expires after the time given with
// it, and is removed earlier if more than Capacity ids are stored and it is the
// oldest. Only a 64-bit hash of a request id and its caller is stored. If two
// ids have the same hash, the later request is refused; no request runs twice.
//
// # Usage
//
//	ids := dedup.New()
//	if !ids.AddIfNew(now, dedup.Hash(caller, id), slot, 10*time.Minute) {
//		// The request may have run before.
//	}
package dedup

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Capacity is the maximum number of ids that are stored.
const Capacity = 1 << 17

// ID is the hash of a request id and its caller.
type ID uint64

// Hash returns the ID of the request with the given id of caller.
func Hash(caller, id string) ID {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(caller)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(id)
	return ID(d.Sum64())
}

// Entry is a stored id.
type Entry struct {
	ID ID
	// Slot is the slot of the request's key.
	Slot int
	// Expires is the time from which on the entry no longer counts.
	Expires time.Time
}

// IDSet is a bounded set of ids that expire. It is safe for concurrent use.
type IDSet struct {
	mu      sync.Mutex
	entries map[ID]Entry
	// order holds the ids in the order in which they were added; those before
	// head are already removed.
	order []ID
	head  int
	// evicted counts the ids that were removed before they expired.
	evicted int64
}

// New returns an empty IDSet.
func New() *IDSet {
	return &IDSet{entries: map[ID]Entry{}}
}

// AddIfNew adds id, which expires after ttl, and reports whether it was new. If
// id is already stored and has not expired, AddIfNew changes nothing and
// returns false.
func (s *IDSet) AddIfNew(now time.Time, id ID, slot int, ttl time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if old, ok := s.entries[id]; ok && now.Before(old.Expires) {
		return false
	}
	s.add(now, Entry{ID: id, Slot: slot, Expires: now.Add(ttl)})
	return true
}

// Remove removes id. It is called for a request that certainly did not run.
func (s *IDSet) Remove(id ID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.entries, id)
}

// Add adds entries that the previous owner of their slots handed over.
func (s *IDSet) Add(now time.Time, entries []Entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range entries {
		s.add(now, e)
	}
}

// EntriesInSlots returns the unexpired entries of the slots for which include
// returns true, in no particular order.
func (s *IDSet) EntriesInSlots(now time.Time, include func(slot int) bool) []Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []Entry
	for _, e := range s.entries {
		if now.Before(e.Expires) && include(e.Slot) {
			list = append(list, e)
		}
	}
	return list
}

// Len returns the number of stored ids, including expired ones that are not yet
// removed.
func (s *IDSet) Len() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.entries)
}

// Evicted returns the number of ids that were removed before they expired.
func (s *IDSet) Evicted() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.evicted
}

// add stores e, and removes the oldest ids if they have expired or if more than
// Capacity ids are stored.
func (s *IDSet) add(now time.Time, e Entry) {
	if _, ok := s.entries[e.ID]; !ok {
		s.order = append(s.order, e.ID)
	}
	s.entries[e.ID] = e
	for s.head < len(s.order) {
		oldest, ok := s.entries[s.order[s.head]]
		if ok && now.Before(oldest.Expires) && len(s.entries) <= Capacity {
			break
		}
		if ok && now.Before(oldest.Expires) {
			s.evicted++
		}
		delete(s.entries, s.order[s.head])
		s.head++
	}
	s.compact()
}

// compact frees the part of order before head once it is large.
func (s *IDSet) compact() {
	if s.head < 1024 || s.head < len(s.order)/2 {
		return
	}
	s.order = append([]ID(nil), s.order[s.head:]...)
	s.head = 0
}
