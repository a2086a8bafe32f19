// Package hotkeys finds the keys that take the most target time, in constant
// memory.
//
// It keeps a fixed number of counters by the space-saving method of Metwally,
// Agrawal and El Abbadi (2005): a key that has no counter takes over the
// smallest one, with its count. Counts are therefore never too low, and too
// high by at most the smallest. Counts fade by half each time Fade is called.
//
// # Usage
//
//	keys := hotkeys.New(64)
//	keys.Add("rosa-alba", 800*time.Microsecond)
//	for _, k := range keys.Top(8) {
//		fmt.Println(k.Key, k.Busy)
//	}
package hotkeys

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// Key is a key with the target time counted for it.
type Key struct {
	Key  string
	Busy time.Duration
	// Excess is the most by which Busy may be too high.
	Excess time.Duration
}

// Keys counts keys. It is safe for concurrent use.
type Keys struct {
	mu       sync.Mutex
	capacity int
	counts   map[string]*Key
}

// New returns a Keys with the given number of counters.
func New(capacity int) *Keys {
	return &Keys{capacity: capacity, counts: map[string]*Key{}}
}

// Add counts busy target time for key.
func (k *Keys) Add(key string, busy time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if c := k.counts[key]; c != nil {
		c.Busy += busy
		return
	}
	if len(k.counts) < k.capacity {
		k.counts[key] = &Key{Key: key, Busy: busy}
		return
	}
	least := k.least()
	delete(k.counts, least.Key)
	k.counts[key] = &Key{Key: key, Busy: least.Busy + busy, Excess: least.Busy}
}

// least returns the smallest counter.
func (k *Keys) least() *Key {
	var least *Key
	for _, c := range k.counts {
		if least == nil || c.Busy < least.Busy {
			least = c
		}
	}
	return least
}

// Top returns up to n keys that surely took time, busiest first.
func (k *Keys) Top(n int) []Key {
	k.mu.Lock()
	defer k.mu.Unlock()
	list := make([]Key, 0, len(k.counts))
	for _, c := range k.counts {
		if c.Busy > 2*c.Excess {
			list = append(list, *c)
		}
	}
	slices.SortFunc(list, func(a, b Key) int {
		return cmp.Or(cmp.Compare(b.Busy, a.Busy), cmp.Compare(a.Key, b.Key))
	})
	return list[:min(n, len(list))]
}

// Fade halves all counts.
func (k *Keys) Fade() {
	k.mu.Lock()
	defer k.mu.Unlock()
	for key, c := range k.counts {
		c.Busy /= 2
		c.Excess /= 2
		if c.Busy == 0 {
			delete(k.counts, key)
		}
	}
}
