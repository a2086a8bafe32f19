package balance

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"siskinknot/core/record"
)

// Values of the setting shared_choice: how the target of a request to a shared
// service is chosen.
const (
	TwoChoices = "two_choices" // the one with the lower expected latency of two random targets
	RoundRobin = "round_robin"
	Random     = "random"
)

// targetStats holds what this daemon has measured of a target. It includes nothing
// that the target reports about itself.
type targetStats struct {
	// inFlight is the number of requests that this daemon has in flight there.
	inFlight int
	// latency is a moving average over recent answers, the last of them at
	// answeredAt.
	latency    time.Duration
	answeredAt time.Time
	// failures counts failures since the last answer, the last of them at failedAt.
	failures int
	failedAt time.Time
}

// Chooser chooses the targets of requests to one shared service. It is safe for
// concurrent use.
type Chooser struct {
	mu    sync.Mutex
	stats map[record.Incarnation]*targetStats
	next  int
}

// NewChooser returns a Chooser without measurements.
func NewChooser() *Chooser {
	return &Chooser{stats: map[record.Incarnation]*targetStats{}}
}

// Pick returns one of candidates, chosen as choice says, and counts a request in
// flight there. An unknown choice counts as TwoChoices. The caller must report the
// end of the request with Done. Pick panics if there are no candidates.
func (c *Chooser) Pick(now time.Time, choice string, candidates []record.Incarnation) record.Incarnation {
	_, chosen := c.PickIndex(now, choice, len(candidates), func(i int) record.Incarnation { return candidates[i] })
	return chosen
}

// PickAmong is Pick for candidates that are only some of the targets: the measurements of
// the others are kept.
func (c *Chooser) PickAmong(now time.Time, choice string, candidates []record.Incarnation) record.Incarnation {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, chosen := c.pick(now, choice, len(candidates), func(i int) record.Incarnation { return candidates[i] })
	c.statsOf(chosen).inFlight++
	return chosen
}

// PickIndex is Pick for n candidates whose ids are returned by id, which it calls for few
// of them. It also returns the index of the chosen one.
func (c *Chooser) PickIndex(now time.Time, choice string, n int, id func(i int) record.Incarnation) (int, record.Incarnation) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.prune(n, id)
	i, chosen := c.pick(now, choice, n, id)
	s := c.statsOf(chosen)
	s.inFlight++
	return i, chosen
}

func (c *Chooser) pick(now time.Time, choice string, n int, id func(i int) record.Incarnation) (int, record.Incarnation) {
	switch choice {
	case RoundRobin:
		c.next++
		return c.next % n, id(c.next % n)
	case Random:
		i := rand.N(n)
		return i, id(i)
	default:
		return c.pickOfTwo(now, n, id)
	}
}

// pickOfTwo picks two different candidates at random and returns the one with the
// lower cost.
func (c *Chooser) pickOfTwo(now time.Time, n int, id func(i int) record.Incarnation) (int, record.Incarnation) {
	if n == 1 {
		return 0, id(0)
	}
	i := rand.N(n)
	j := (i + 1 + rand.N(n-1)) % n
	first, second := id(i), id(j)
	if c.cost(now, second) < c.cost(now, first) {
		return j, second
	}
	return i, first
}

// cost returns the time, in seconds, that a new request is expected to take. It is
// higher for a target that has failed recently.
func (c *Chooser) cost(now time.Time, id record.Incarnation) float64 {
	const (
		minLatency           = time.Millisecond
		failurePenaltyPeriod = 2 * time.Second
	)
	s := c.statsOf(id)
	cost := float64(s.inFlight+1) * max(s.expectedLatency(now), minLatency).Seconds()
	if s.failures > 0 && now.Sub(s.failedAt) < failurePenaltyPeriod {
		cost *= float64(1 + 10*s.failures)
	}
	return cost
}

// latencyHalfLife is the time without answers in which the expected latency of a
// target decreases by half. Thus a target that was slow is tried again once the
// others seem no faster.
const latencyHalfLife = 6 * time.Second

// expectedLatency returns the average latency, halved for each latencyHalfLife that
// has passed since the last answer.
func (s *targetStats) expectedLatency(now time.Time) time.Duration {
	age := now.Sub(s.answeredAt)
	if age <= 0 {
		return s.latency
	}
	return time.Duration(float64(s.latency) * math.Exp2(-age.Seconds()/latencyHalfLife.Seconds()))
}

// recordAnswer updates the average latency. If the last answer is older than
// latencyHalfLife, the new one replaces the average.
func (s *targetStats) recordAnswer(now time.Time, took time.Duration) {
	weight := 1.0 / 8
	if now.Sub(s.answeredAt) > latencyHalfLife {
		weight = 1
	}
	s.latency += time.Duration(float64(took-s.latency) * weight)
	s.answeredAt = now
}

// Done reports the end of a request for which Pick returned id: it took took, and ok
// says whether it was answered.
func (c *Chooser) Done(now time.Time, id record.Incarnation, took time.Duration, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.statsOf(id)
	s.inFlight--
	if !ok {
		s.failures++
		s.failedAt = now
		return
	}
	s.failures = 0
	s.recordAnswer(now, took)
}

// statsOf returns the statistics of id, and creates them if necessary.
func (c *Chooser) statsOf(id record.Incarnation) *targetStats {
	s := c.stats[id]
	if s == nil {
		s = &targetStats{}
		c.stats[id] = s
	}
	return s
}

// prune removes the statistics of targets that are no longer candidates and have no
// request in flight, if there are more than twice as many as candidates.
func (c *Chooser) prune(n int, id func(i int) record.Incarnation) {
	if len(c.stats) <= 2*n {
		return
	}
	candidates := make(map[record.Incarnation]bool, n)
	for i := range n {
		candidates[id(i)] = true
	}
	for id, s := range c.stats {
		if s.inFlight == 0 && !candidates[id] {
			delete(c.stats, id)
		}
	}
}

// Choosers holds a Chooser for each shared service. The zero value is ready to use.
// It is safe for concurrent use.
type Choosers struct{ byService sync.Map }

// ForService returns the Chooser of a service, and creates it if necessary.
func (c *Choosers) ForService(service string) *Chooser {
	if found, ok := c.byService.Load(service); ok {
		return found.(*Chooser)
	}
	found, _ := c.byService.LoadOrStore(service, NewChooser())
	return found.(*Chooser)
}
