// Package hotkeys finds the keys that use the most target time, in constant
// memory.
//
// It keeps a fixed number of counters with the Space-Saving algorithm of Metwally,
// Agrawal and El Abbadi (2005). A key without a counter replaces the key with the
// smallest count, and continues from that count. A count is therefore never too
// low, and too high by at most the smallest count. Halve halves all counts; called
// periodically, it gives recent requests more weight than old ones.
//
// # Usage
//
//	keys := hotkeys.New(64)
//	keys.Add("rosa-alba", 800*time.Microsecond)
//	for _, k := range keys.Top(8) {
//		fmt.Println(k.Key, k.TargetTime)
//	}
package hotkeys

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// Key is a key and the target time counted for it.
type Key struct {
	Key string
	// TargetTime is the target time counted for the key.
	TargetTime time.Duration
	// MaxError is the maximum amount by which TargetTime may be too high.
	MaxError time.Duration
}

// Keys counts the target time of keys. It is safe for concurrent use.
type Keys struct {
	mu       sync.Mutex
	capacity int
	counters map[string]*Key
}

// New returns a Keys with the given number of counters, which must be positive.
func New(capacity int) *Keys {
	return &Keys{capacity: capacity, counters: map[string]*Key{}}
}

// Add adds targetTime to the count of key.
func (k *Keys) Add(key string, targetTime time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if c := k.counters[key]; c != nil {
		c.TargetTime += targetTime
		return
	}
	if len(k.counters) < k.capacity {
		k.counters[key] = &Key{Key: key, TargetTime: targetTime}
		return
	}
	smallest := k.smallest()
	delete(k.counters, smallest.Key)
	k.counters[key] = &Key{Key: key, TargetTime: smallest.TargetTime + targetTime, MaxError: smallest.TargetTime}
}

// smallest returns the counter with the smallest count.
func (k *Keys) smallest() *Key {
	var smallest *Key
	for _, c := range k.counters {
		if smallest == nil || c.TargetTime < smallest.TargetTime {
			smallest = c
		}
	}
	return smallest
}

// Top returns up to n keys, ordered by target time with the busiest first. It omits
// keys for which the possible error is at least half of the count, since they may
// have used little time.
func (k *Keys) Top(n int) []Key {
	k.mu.Lock()
	defer k.mu.Unlock()
	list := make([]Key, 0, len(k.counters))
	for _, c := range k.counters {
		if c.TargetTime > 2*c.MaxError {
			list = append(list, *c)
		}
	}
	slices.SortFunc(list, func(a, b Key) int {
		return cmp.Or(cmp.Compare(b.TargetTime, a.TargetTime), cmp.Compare(a.Key, b.Key))
	})
	return list[:min(n, len(list))]
}

// Halve halves all counts, and removes the counters that reach 0.
func (k *Keys) Halve() {
	k.mu.Lock()
	defer k.mu.Unlock()
	for key, c := range k.counters {
		c.TargetTime /= 2
		c.MaxError /= 2
		if c.TargetTime == 0 {
			delete(k.counters, key)
		}
	}
}
