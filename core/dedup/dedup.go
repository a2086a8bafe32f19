// Package dedup remembers the ids of requests that may have run, so that an
// owner runs none of them twice.
//
// The memory is bounded: an id is forgotten after the time given with it, or
// earlier once Capacity younger ids have come. Only a 64-bit hash of an id and
// its caller is kept; two ids with the same hash would make the later one be
// refused, never run twice.
//
// # Usage
//
//	memory := dedup.New()
//	if !memory.Begin(now, dedup.Hash(caller, id), slot, 10*time.Minute) {
//		// The request may have run before.
//	}
package dedup

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Capacity is the number of ids that a Memory holds.
const Capacity = 1 << 17

// ID is the hash of a request id and its caller.
type ID uint64

// Hash returns the ID of a caller's request.
func Hash(caller, id string) ID {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(caller)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(id)
	return ID(d.Sum64())
}

// Entry is a remembered id.
type Entry struct {
	ID      ID
	Slot    int
	Expires time.Time
}

// Memory is a set of ids. It is safe for concurrent use.
type Memory struct {
	mu      sync.Mutex
	entries map[ID]Entry
	// order holds the ids in the order of their arrival, from head on.
	order   []ID
	head    int
	evicted int64
}

// New returns an empty Memory.
func New() *Memory {
	return &Memory{entries: map[ID]Entry{}}
}

// Begin remembers id for the time given and reports whether it was new.
func (m *Memory) Begin(now time.Time, id ID, slot int, remember time.Duration) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if old, ok := m.entries[id]; ok && now.Before(old.Expires) {
		return false
	}
	m.add(now, Entry{ID: id, Slot: slot, Expires: now.Add(remember)})
	return true
}

// Forget drops id, whose request turned out not to have run.
func (m *Memory) Forget(id ID) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.entries, id)
}

// Add remembers entries that another owner handed over.
func (m *Memory) Add(now time.Time, entries []Entry) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, e := range entries {
		m.add(now, e)
	}
}

// OfSlots returns the entries of the slots for which include returns true.
func (m *Memory) OfSlots(now time.Time, include func(slot int) bool) []Entry {
	m.mu.Lock()
	defer m.mu.Unlock()
	var list []Entry
	for _, e := range m.entries {
		if now.Before(e.Expires) && include(e.Slot) {
			list = append(list, e)
		}
	}
	return list
}

// Len returns the number of ids held.
func (m *Memory) Len() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.entries)
}

// Evicted returns how many ids were forgotten before their time.
func (m *Memory) Evicted() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.evicted
}

// add stores e and makes room for it.
func (m *Memory) add(now time.Time, e Entry) {
	if _, ok := m.entries[e.ID]; !ok {
		m.order = append(m.order, e.ID)
	}
	m.entries[e.ID] = e
	for m.head < len(m.order) {
		oldest, ok := m.entries[m.order[m.head]]
		if ok && now.Before(oldest.Expires) && len(m.entries) <= Capacity {
			break
		}
		if ok && now.Before(oldest.Expires) {
			m.evicted++
		}
		delete(m.entries, m.order[m.head])
		m.head++
	}
	m.compact()
}

// compact frees the part of order that was consumed.
func (m *Memory) compact() {
	if m.head < 1024 || m.head < len(m.order)/2 {
		return
	}
	m.order = append([]ID(nil), m.order[m.head:]...)
	m.head = 0
}
