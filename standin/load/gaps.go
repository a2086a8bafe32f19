package load

import (
	"sync"
	"time"
)

// Gaps measures for how long keys are unavailable: the time from the first
// request for a key that was not answered to the next one that was.
type Gaps struct {
	mu      sync.Mutex
	since   map[string]time.Time
	longest map[string]time.Duration
}

// NewGaps returns a Gaps that has seen nothing.
func NewGaps() *Gaps {
	return &Gaps{
		since:   map[string]time.Time{},
		longest: map[string]time.Duration{},
	}
}

// Add notes that a request for key, sent at sent, ended at end, answered or
// not.
func (g *Gaps) Add(key string, sent, end time.Time, answered bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	since, open := g.since[key]
	switch {
	case !answered && (!open || sent.Before(since)):
		g.since[key] = sent
	case answered && open:
		g.longest[key] = max(g.longest[key], end.Sub(since))
		delete(g.since, key)
	case answered:
		// A request that waited for its owner was unavailable as well.
		g.longest[key] = max(g.longest[key], end.Sub(sent))
	}
}

// Longest returns the longest gap of any key.
func (g *Gaps) Longest() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	longest := time.Duration(0)
	for _, gap := range g.longest {
		longest = max(longest, gap)
	}
	return longest
}

// Each returns the longest gap of each key.
func (g *Gaps) Each() []time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	gaps := make([]time.Duration, 0, len(g.longest))
	for _, gap := range g.longest {
		gaps = append(gaps, gap)
	}
	return gaps
}
