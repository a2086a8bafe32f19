// Package scheduling decides which requests run at a target, in which order, and
// which are refused at once.
//
// It answers load beyond what a target can do, for minutes or for good. Then
// some requests have to be turned away, and those that are served should be
// served in time: an answer after the latency objective is worth little. So a
// request is admitted to the queue only if it can be expected to end within its
// objective, and refused at once otherwise, with the time after which a place is
// to be expected. A Scheduler never has more requests at the target than the
// target has slots.
//
//   - Order. Ranks go first by priority. A rank that waits behind others gets at
//     least a share of the target's time, so that none starves.
//   - Late requests. A request that cannot meet its objective any more waits in
//     a short queue of its own, which is served when no other can run.
//   - Estimates come from the measured target time of each route, and from the
//     share of the target that higher ranks use.
//   - A target that sheds is believed in part: the limit shrinks with each request
//     that it refuses, and grows back as others succeed. It never got more than
//     it has slots for, so that a target which refuses many is more likely
//     faulty than full; giving up its slots as well would refuse the rest.
//
// Weighed and left: fair shares by weight let requests with a low rank take the
// time that makes those with a higher rank late; a queue bounded by length says
// nothing of the wait.
//
// # Usage
//
//	s := scheduling.New(12)
//	permit, refusal := s.Acquire(ctx, now, scheduling.Request{Route: "lookup", Objective: o, Deadline: d})
//	if refusal != nil {
//		return refusal
//	}
//	defer permit.Done(end, scheduling.Served)
package scheduling

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"siskinknot/core/decay"
	"siskinknot/core/outcome"
)

const (
	// lowerShare is the share of the target's time that lower ranks get while
	// they wait, over that of the higher ones.
	lowerShare = 0.25
	// lateShare is the length of the queue of late requests, as a share of the
	// slots, and lateWait the longest time in it, as a share of the objective.
	lateShare = 0.5
	lateWait  = 0.25
	// usageHalfLife is the time in which old use of the target counts half.
	usageHalfLife = time.Second
	// firstGuess is the target time of a route of which nothing is known.
	firstGuess = 50 * time.Millisecond
	// leastRetryAfter keeps refused callers from returning at once.
	leastRetryAfter = 50 * time.Millisecond
)

// Request is what a Scheduler has to know of a request.
type Request struct {
	// Route names requests that cost about the same.
	Route string
	// Priority is the rank; 0 goes first.
	Priority int
	// Objective is until when an answer is worth most.
	Objective time.Time
	Deadline  time.Time
}

// waiter is a request in a queue.
type waiter struct {
	Request
	since time.Time
	late  bool
	// done receives nil when the request is admitted, or its refusal.
	done chan outcome.Result
}

// rank is the queue of one priority.
type rank struct {
	priority int
	queue    []*waiter
	late     []*waiter
	// credit is target time that is owed to this rank, in seconds.
	credit float64
	// used is the target time used lately.
	used decay.Rate
}

// Scheduler schedules the requests of one target. It is safe for concurrent use.
type Scheduler struct {
	mu    sync.Mutex
	slots int
	// limit is the number of slots used at present; it is below slots while the
	// target sheds.
	limit   float64
	running int
	// ranks are ordered by priority.
	ranks   []*rank
	service map[string]time.Duration
	mean    time.Duration
}

// New returns a Scheduler for a target with the given number of slots.
func New(slots int) *Scheduler {
	return &Scheduler{slots: slots, limit: float64(slots), service: map[string]time.Duration{}, mean: firstGuess}
}

// SetSlots changes the number of slots.
func (s *Scheduler) SetSlots(now time.Time, slots int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if slots == s.slots {
		return
	}
	s.slots, s.limit = slots, float64(slots)
	s.admitWaiting(now)
}

// Permit is the right to use a slot. Its holder calls Done once.
type Permit struct {
	scheduler *Scheduler
	req       Request
	started   time.Time
}

// Acquire returns a Permit, after waiting for one if needed, or why there is
// none. The refusal is always an outcome.NotRun.
func (s *Scheduler) Acquire(ctx context.Context, now time.Time, req Request) (*Permit, outcome.Result) {
	w, refusal := s.enter(now, req)
	if refusal != nil {
		return nil, refusal
	}
	if w == nil {
		return &Permit{scheduler: s, req: req, started: now}, nil
	}
	timer := time.NewTimer(w.patience(now))
	defer timer.Stop()
	select {
	case res := <-w.done:
		if res != nil {
			return nil, res
		}
		return &Permit{scheduler: s, req: req, started: now}, nil
	case <-timer.C:
		return s.abandon(w, now, outcome.NotRun{Reason: outcome.Overloaded, RetryAfter: leastRetryAfter})
	case <-ctx.Done():
		return s.abandon(w, now, outcome.NotRun{Reason: outcome.Cancelled})
	}
}

// patience returns how long w may wait: while an answer within the objective, or
// for a late request a little more, is to be hoped for.
func (w *waiter) patience(now time.Time) time.Duration {
	left := w.Deadline.Sub(now)
	if w.late {
		return min(left, lateTime(w.Request, now))
	}
	return min(left, w.Objective.Sub(now)+lateTime(w.Request, now))
}

// lateTime returns how long a late request may wait.
func lateTime(req Request, now time.Time) time.Duration {
	return time.Duration(float64(max(req.Objective.Sub(now), 4*leastRetryAfter)) * lateWait)
}

// enter admits req at once, queues it, or refuses it.
func (s *Scheduler) enter(now time.Time, req Request) (*waiter, outcome.Result) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.rankOf(req.Priority)
	if s.hasRoom() && !s.anyWaiting() {
		s.begin(now, r, req.Route)
		return nil, nil
	}
	service := s.serviceTime(req.Route)
	wait := s.wait(now, r)
	w := &waiter{Request: req, since: now, done: make(chan outcome.Result, 1)}
	over := now.Add(wait + service).Sub(req.Objective)
	if over <= 0 {
		r.queue = append(r.queue, w)
		return w, nil
	}
	if s.mayBeLate(now, r, req, wait, service) {
		w.late = true
		r.late = append(r.late, w)
		return w, nil
	}
	return nil, outcome.NotRun{Reason: outcome.Overloaded, RetryAfter: comeBack(over)}
}

// comeBack returns after which time a request that is over its objective by over
// finds a place, spread so that callers do not return together.
func comeBack(over time.Duration) time.Duration {
	over = max(over, leastRetryAfter)
	return over + rand.N(over/2)
}

// mayBeLate reports whether a request that misses its objective is worth
// queueing: if its turn comes soon and it ends before its deadline.
func (s *Scheduler) mayBeLate(now time.Time, r *rank, req Request, wait, service time.Duration) bool {
	return len(r.late) < max(1, int(s.limit*lateShare)) &&
		wait < lateTime(req, now) && now.Add(wait+service).Before(req.Deadline)
}

// rankOf returns the rank of a priority.
func (s *Scheduler) rankOf(priority int) *rank {
	at := 0
	for ; at < len(s.ranks) && s.ranks[at].priority <= priority; at++ {
		if s.ranks[at].priority == priority {
			return s.ranks[at]
		}
	}
	r := &rank{priority: priority, used: decay.Rate{HalfLife: usageHalfLife}}
	s.ranks = append(s.ranks[:at], append([]*rank{r}, s.ranks[at:]...)...)
	return r
}

// hasRoom reports whether a slot is free.
func (s *Scheduler) hasRoom() bool { return s.running < max(1, int(s.limit)) }

// anyWaiting reports whether a request waits that can be in time.
func (s *Scheduler) anyWaiting() bool {
	for _, r := range s.ranks {
		if len(r.queue) > 0 {
			return true
		}
	}
	return false
}

// serviceTime returns the mean target time of a route, or a guess.
func (s *Scheduler) serviceTime(route string) time.Duration {
	if t, ok := s.service[route]; ok {
		return t
	}
	return s.mean
}

// wait returns how long a new request of rank r is expected to wait: until the
// target has done the work that goes before it, in the slots that higher ranks
// leave.
func (s *Scheduler) wait(now time.Time, r *rank) time.Duration {
	work, higher := s.mean, 0.0
	for _, other := range s.ranks {
		if other.priority > r.priority {
			break
		}
		for _, w := range other.queue {
			work += s.serviceTime(w.Route)
		}
		if other != r {
			higher += other.used.PerSecond(now)
		}
	}
	slots := max(s.limit-higher, s.limit*lowerShare, 1)
	return time.Duration(float64(work) / slots)
}

// begin takes a slot for a request of rank r.
func (s *Scheduler) begin(now time.Time, r *rank, route string) {
	s.running++
	service := s.serviceTime(route).Seconds()
	r.used.Add(now, service)
	r.credit = max(0, r.credit-service)
	for _, lower := range s.ranks {
		if lower.priority > r.priority && len(lower.queue) > 0 {
			lower.credit += service * lowerShare
		}
	}
}

// admitWaiting gives free slots to waiting requests.
func (s *Scheduler) admitWaiting(now time.Time) {
	s.demote(now)
	for s.hasRoom() {
		r, w := s.next(now)
		if w == nil {
			return
		}
		s.begin(now, r, w.Route)
		w.done <- nil
	}
}

// demote takes requests that cannot meet their objective any more out of their
// turn, so that they do not make others late as well, and refuses those for
// which there is no room among the late ones, or whose deadline is too near.
func (s *Scheduler) demote(now time.Time) {
	for _, r := range s.ranks {
		keep := r.queue[:0]
		for _, w := range r.queue {
			service := s.serviceTime(w.Route)
			switch {
			case !now.Add(service).After(w.Objective):
				keep = append(keep, w)
			case s.mayBeLate(now, r, w.Request, 0, service):
				w.late = true
				r.late = append(r.late, w)
			default:
				w.done <- outcome.NotRun{Reason: outcome.Overloaded, RetryAfter: comeBack(s.wait(now, r))}
			}
		}
		clear(r.queue[len(keep):])
		r.queue = keep
	}
}

// next takes the request that is to run next out of its queue.
func (s *Scheduler) next(now time.Time) (*rank, *waiter) {
	var first *rank
	for _, r := range s.ranks {
		if len(r.queue) == 0 {
			continue
		}
		if first == nil {
			first = r
			continue
		}
		if r.credit >= s.serviceTime(r.queue[0].Route).Seconds() {
			first = r // its share is due
			break
		}
	}
	if first != nil {
		w := first.queue[0]
		first.queue = first.queue[1:]
		return first, w
	}
	for _, r := range s.ranks {
		for len(r.late) > 0 {
			w := r.late[0]
			r.late = r.late[1:]
			if now.Add(s.serviceTime(w.Route)).Before(w.Deadline) {
				return r, w
			}
			w.done <- outcome.NotRun{Reason: outcome.DeadlinePast}
		}
	}
	return nil, nil
}

// abandon takes w out of its queue. If w was decided meanwhile, its slot is given
// back.
func (s *Scheduler) abandon(w *waiter, now time.Time, res outcome.Result) (*Permit, outcome.Result) {
	s.mu.Lock()
	r := s.rankOf(w.Priority)
	removed := remove(&r.queue, w) || remove(&r.late, w)
	s.mu.Unlock()
	if removed {
		return nil, res
	}
	if decided := <-w.done; decided != nil {
		return nil, decided
	}
	permit := &Permit{scheduler: s, req: w.Request, started: now}
	permit.Done(now, Unused)
	return nil, res
}

// remove takes w out of list and reports whether it was there.
func remove(list *[]*waiter, w *waiter) bool {
	for i, other := range *list {
		if other == w {
			*list = append((*list)[:i], (*list)[i+1:]...)
			return true
		}
	}
	return false
}

// Use says what became of a slot.
type Use int

// The uses.
const (
	Served Use = iota // the target ran the request
	Shed              // the target refused the request
	Unused            // the target did not get the request
)

// Start notes that the request goes to the target at now.
func (p *Permit) Start(now time.Time) { p.started = now }

// Done gives the slot back.
func (p *Permit) Done(now time.Time, use Use) {
	s := p.scheduler
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
	s.learn(now, p, use)
	s.admitWaiting(now)
}

// learn adapts the limit and the target times to what the target did.
func (s *Scheduler) learn(now time.Time, p *Permit, use Use) {
	const (
		smoothing   = 12  // share of a new observation: one twelfth
		shedFactor  = 0.9 // of the limit left after a refusal
		leastFactor = 0.6 // of the slots that is never given up
	)
	slots := float64(s.slots)
	switch use {
	case Served:
		took := now.Sub(p.started)
		old, known := s.service[p.req.Route]
		if !known {
			old = took
		}
		s.service[p.req.Route] = old + (took-old)/smoothing
		s.mean += (took - s.mean) / smoothing
		s.limit = min(s.limit+0.5/max(s.limit, 1), slots)
	case Shed:
		s.limit = max(s.limit*shedFactor, slots*leastFactor, 1)
	case Unused:
	}
}

// Load is a Scheduler's present load.
type Load struct {
	Running int
	Queued  int
	// Limit is the number of slots in use at most at present.
	Limit int
}

// Load returns the present load.
func (s *Scheduler) Load() Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	load := Load{Running: s.running, Limit: max(1, int(s.limit))}
	for _, r := range s.ranks {
		load.Queued += len(r.queue) + len(r.late)
	}
	return load
}
