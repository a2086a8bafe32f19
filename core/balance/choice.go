package balance

import (
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"siskinknot/core/record"
)

// Ways to choose a target of a shared service.
const (
	TwoChoices = "two_choices"
	RoundRobin = "round_robin"
	Random     = "random"
)

// view is what this daemon itself has seen of a target, whatever the target
// says of itself.
type view struct {
	inFlight int
	// latency is an average over recent answers, the last of them at answeredAt.
	latency    time.Duration
	answeredAt time.Time
	// failures counts failures since the last answer.
	failures int
	failedAt time.Time
}

// Chooser chooses targets of one shared service. It is safe for concurrent use.
type Chooser struct {
	mu    sync.Mutex
	views map[record.Incarnation]*view
	next  int
}

// NewChooser returns a Chooser that has seen nothing.
func NewChooser() *Chooser {
	return &Chooser{views: map[record.Incarnation]*view{}}
}

// Pick returns one of candidates and notes a request in flight there. The
// caller reports its end with Done.
func (c *Chooser) Pick(now time.Time, way string, candidates []record.Incarnation) record.Incarnation {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.forget(candidates)
	chosen := c.pick(now, way, candidates)
	v := c.view(chosen)
	v.inFlight++
	return chosen
}

func (c *Chooser) pick(now time.Time, way string, candidates []record.Incarnation) record.Incarnation {
	switch way {
	case RoundRobin:
		c.next++
		return candidates[c.next%len(candidates)]
	case Random:
		return candidates[rand.N(len(candidates))]
	default:
		return c.cheaper(now, candidates)
	}
}

// cheaper returns the cheaper of two different candidates.
func (c *Chooser) cheaper(now time.Time, candidates []record.Incarnation) record.Incarnation {
	if len(candidates) == 1 {
		return candidates[0]
	}
	i := rand.N(len(candidates))
	j := (i + 1 + rand.N(len(candidates)-1)) % len(candidates)
	if c.cost(now, candidates[j]) < c.cost(now, candidates[i]) {
		return candidates[j]
	}
	return candidates[i]
}

// cost is the time that a new request is expected to take.
func (c *Chooser) cost(now time.Time, id record.Incarnation) float64 {
	const (
		leastLatency  = time.Millisecond
		failurePeriod = 2 * time.Second
	)
	v := c.view(id)
	cost := float64(v.inFlight+1) * max(v.expected(now), leastLatency).Seconds()
	if v.failures > 0 && now.Sub(v.failedAt) < failurePeriod {
		cost *= float64(1 + 10*v.failures)
	}
	return cost
}

// halfLife is the time in which a latency that nothing confirms is believed half
// as much: a target that was slow is tried again once others seem no quicker.
const halfLife = 6 * time.Second

// expected returns the latency to expect.
func (v *view) expected(now time.Time) time.Duration {
	age := now.Sub(v.answeredAt)
	if age <= 0 {
		return v.latency
	}
	return time.Duration(float64(v.latency) * math.Exp2(-age.Seconds()/halfLife.Seconds()))
}

// answered notes an answer. One that comes after a long time says all there is.
func (v *view) answered(now time.Time, took time.Duration) {
	weight := 1.0 / 8
	if now.Sub(v.answeredAt) > halfLife {
		weight = 1
	}
	v.latency += time.Duration(float64(took-v.latency) * weight)
	v.answeredAt = now
}

// Done notes how a picked request ended.
func (c *Chooser) Done(now time.Time, id record.Incarnation, took time.Duration, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	v := c.view(id)
	v.inFlight--
	if !ok {
		v.failures++
		v.failedAt = now
		return
	}
	v.failures = 0
	v.answered(now, took)
}

// view returns the view of id.
func (c *Chooser) view(id record.Incarnation) *view {
	v := c.views[id]
	if v == nil {
		v = &view{}
		c.views[id] = v
	}
	return v
}

// forget drops the views of targets that are no longer candidates.
func (c *Chooser) forget(candidates []record.Incarnation) {
	if len(c.views) <= 2*len(candidates) {
		return
	}
	for id, v := range c.views {
		if v.inFlight == 0 && !slices.Contains(candidates, id) {
			delete(c.views, id)
		}
	}
}

// Choosers holds a Chooser for each shared service. The zero value is ready for
// use, and safe for concurrent use.
type Choosers struct{ byService sync.Map }

// Of returns the Chooser of a service.
func (c *Choosers) Of(service string) *Chooser {
	if found, ok := c.byService.Load(service); ok {
		return found.(*Chooser)
	}
	found, _ := c.byService.LoadOrStore(service, NewChooser())
	return found.(*Chooser)
}
