package load

import (
	"sync"
	"time"
)

// Gaps measures for how long keys are unavailable: the time from the sending of
// the first request for a key that was not answered to the next answer for the
// key. It is safe for concurrent use.
type Gaps struct {
	mu sync.Mutex
	// failedSince is, for each unavailable key, when the earliest request was sent
	// that was not answered.
	failedSince map[string]time.Time
	// longest is the longest gap of each key.
	longest map[string]time.Duration
}

// NewGaps returns a Gaps without requests.
func NewGaps() *Gaps {
	return &Gaps{
		failedSince: map[string]time.Time{},
		longest:     map[string]time.Duration{},
	}
}

// Add records a request for key that was sent at sent and ended at end, and
// whether it was answered.
func (g *Gaps) Add(key string, sent, end time.Time, answered bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	failedSince, unavailable := g.failedSince[key]
	switch {
	case !answered && (!unavailable || sent.Before(failedSince)):
		g.failedSince[key] = sent
	case answered && unavailable:
		g.longest[key] = max(g.longest[key], end.Sub(failedSince))
		delete(g.failedSince, key)
	case answered:
		// While an answered request waits for an owner, its key is unavailable too.
		g.longest[key] = max(g.longest[key], end.Sub(sent))
	}
}

// Longest returns the longest gap of all keys, or 0 if there is none.
func (g *Gaps) Longest() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	longest := time.Duration(0)
	for _, gap := range g.longest {
		longest = max(longest, gap)
	}
	return longest
}

// PerKey returns the longest gap of each key that was answered, in no particular
// order.
func (g *Gaps) PerKey() []time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	gaps := make([]time.Duration, 0, len(g.longest))
	for _, gap := range g.longest {
		gaps = append(gaps, gap)
	}
	return gaps
}
