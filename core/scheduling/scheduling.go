// Package scheduling decides which requests run at a target, in which order, and
// which are refused at once.
//
// It handles overload of a target, whether it lasts minutes or is permanent.
// Some requests must then be refused, and those that are served should be served
// in time: an answer after the latency objective is worth little. A request is
// therefore admitted to the queue only if it is expected to end within its
// objective. Otherwise it is refused at once, and the refusal says after how long
// the target is expected to have capacity for it (package returns). A Scheduler
// never has more requests at the target than the target has slots.
//
//   - Order. Requests with a higher priority run first. A lower priority level
//     that has waiting requests gets at least a minimum share of the service
//     time, so that no level starves.
//   - Late requests. A request that can no longer meet its objective waits in a
//     separate short queue, which is served when no other request is waiting.
//   - Estimates. The expected waiting time is computed from the measured service
//     time of each route and from the share of the target that higher priority
//     levels use. The service time of a request is the time from when it is sent
//     to the target until it ends there.
//   - Rate limits. A target in need names how many requests per second it accepts. A
//     request then also takes a token of that rate (package ratelimit) when it is sent,
//     whatever its priority, and the expected waiting time includes the wait for it. The
//     slots of such a target are mostly free, so without this it would get all requests.
//     Requests wait in the same queues, so that the rate goes to the highest priority
//     first and to lower ones by the same minimum share.
//   - Shedding. The concurrency limit shrinks with each request that the target
//     refuses and grows back as others succeed, but it never drops below a fixed
//     share of the slots. The target never receives more requests than it has
//     slots for, so a target which refuses many is more likely faulty than
//     full; giving up all of its slots would also refuse the requests that it can
//     still serve.
//
// Two alternatives were rejected. Fair shares by weight let requests with a low
// priority use time that requests with a higher priority need to be in time. A
// queue bounded by its length says nothing about the waiting time.
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
	"sync"
	"time"

	"siskinknot/core/decay"
	"siskinknot/core/outcome"
	"siskinknot/core/ratelimit"
	"siskinknot/core/returns"
)

const (
	// lowerShare is the minimum share of service time that lower priority levels
	// get while they have waiting requests: for each second of service time that
	// a higher level uses, each of them earns a credit of lowerShare seconds.
	lowerShare = 0.25
	// lateQueueShare is the maximum length of the queue of late requests, as a
	// share of the slots. maxLateWaitShare is the maximum time that a request
	// spends in it, as a share of the time left until its objective.
	lateQueueShare   = 0.5
	maxLateWaitShare = 0.25
	// usageHalfLife is the age at which past use of the target counts half.
	usageHalfLife = time.Second
	// defaultServiceTime is the initial estimate of the mean service time, used
	// until requests have been measured.
	defaultServiceTime = 50 * time.Millisecond
	// minRetryAfter keeps refused callers from retrying at once.
	minRetryAfter = returns.MinDelay
)

// Request holds the properties of a request that a Scheduler uses.
type Request struct {
	// Route is the name of the request's route. Requests of a route are expected
	// to have about the same service time.
	Route string
	// Priority is the priority level; 0 is the highest.
	Priority int
	// Objective is the time by which the request should be answered; a later
	// answer is worth little.
	Objective time.Time
	// Deadline is the time by which the request has to end.
	Deadline time.Time
	// Returned is set if the caller sends the request again after a rejection.
	Returned bool
}

// waiter is a request in a queue.
type waiter struct {
	Request
	// since is when the request was queued.
	since time.Time
	// late is set if the request is in the queue of late requests.
	late bool
	// timeout is how long the request waits at most after since, as maxWait returned it
	// when the request was queued. late may change afterwards.
	timeout time.Duration
	// done receives nil when the request is admitted, or the reason for its
	// refusal.
	done chan outcome.Result
}

// priorityLevel holds the queues of the requests with one priority.
type priorityLevel struct {
	priority int
	queue    []*waiter
	late     []*waiter
	// credit is the service time, in seconds, that the level has earned while
	// requests of higher levels ran before its own.
	credit float64
	// usage is the recent use of the target, in seconds of service time per second.
	usage decay.Rate
	// admitted is the rate of admitted requests, and refusedAt when a request was last
	// refused.
	admitted  decay.Rate
	refusedAt time.Time
	// newWork is the rate of the service time that new requests ask for, admitted or not, in
	// seconds per second. Requests that return are not new.
	newWork decay.Rate
}

// Scheduler schedules the requests of one target. It is safe for concurrent use.
type Scheduler struct {
	mu    sync.Mutex
	slots int
	// limit is the maximum number of concurrent requests at present. It is below
	// slots while the target sheds.
	limit   float64
	running int
	// rate limits the rate of the requests that are sent to the target. wakeDue is set
	// while a timer is running that admits waiting requests when the next token arrives.
	rate    ratelimit.Limiter
	wakeDue bool
	// levels are ordered by priority, highest first.
	levels []*priorityLevel
	// serviceTimes is the moving average of the service time by route,
	// meanServiceTime the one over all routes.
	serviceTimes    map[string]time.Duration
	meanServiceTime time.Duration
	// returns holds the returns of rejected callers.
	returns *returns.Book
}

// New returns a Scheduler for a target with the given number of slots.
func New(slots int) *Scheduler {
	return &Scheduler{
		slots: slots, limit: float64(slots), serviceTimes: map[string]time.Duration{}, meanServiceTime: defaultServiceTime,
		returns: returns.NewBook(),
	}
}

// SetSlots changes the number of slots. If it differs from the current one, the
// concurrency limit is reset to it.
func (s *Scheduler) SetSlots(now time.Time, slots int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if slots == s.slots {
		return
	}
	s.slots, s.limit = slots, float64(slots)
	s.admitWaiting(now)
}

// SetRate limits the requests that are sent to the target to perSecond.
func (s *Scheduler) SetRate(now time.Time, perSecond float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rate.Set(now, perSecond)
	s.admitWaiting(now)
}

// ClearRate removes the limit that SetRate has set.
func (s *Scheduler) ClearRate(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rate.Clear()
	s.admitWaiting(now)
}

// Permit is the right to use a slot. The caller of Acquire must call Done exactly
// once.
type Permit struct {
	scheduler *Scheduler
	req       Request
	// sentAt is when the request was sent to the target, or, before MarkSent is
	// called, when the slot was acquired.
	sentAt time.Time
}

// Acquire returns a Permit, after waiting for a slot if necessary. If the request
// is refused, it returns the reason, which is always an outcome.NotRun.
func (s *Scheduler) Acquire(ctx context.Context, now time.Time, req Request) (*Permit, outcome.Result) {
	w, refusal := s.tryAdmit(now, req)
	if refusal != nil {
		return nil, refusal
	}
	if w == nil {
		return &Permit{scheduler: s, req: req, sentAt: now}, nil
	}
	timer := time.NewTimer(w.timeout)
	defer timer.Stop()
	select {
	case res := <-w.done:
		if res != nil {
			return nil, res
		}
		return &Permit{scheduler: s, req: req, sentAt: now}, nil
	case <-timer.C:
		return s.abandon(w, now, s.rejectWaiter(w, now.Add(w.timeout)))
	case <-ctx.Done():
		return s.abandon(w, now, outcome.NotRun{Reason: outcome.Cancelled})
	}
}

// maxWait returns the maximum time that w waits in its queue: as long as it may
// still be answered within its objective or a little later. For a late request it
// is maxLateWait; for any other it is the time until its objective plus
// maxLateWait. It never exceeds the time until the deadline.
func (w *waiter) maxWait(now time.Time) time.Duration {
	left := w.Deadline.Sub(now)
	if w.late {
		return min(left, maxLateWait(w.Request, now))
	}
	return min(left, w.Objective.Sub(now)+maxLateWait(w.Request, now))
}

// maxLateWait returns the maximum time that a late request waits: maxLateWaitShare
// of the time until its objective, for which at least four times minRetryAfter is
// assumed.
func maxLateWait(req Request, now time.Time) time.Duration {
	return time.Duration(float64(max(req.Objective.Sub(now), 4*minRetryAfter)) * maxLateWaitShare)
}

// tryAdmit admits, queues or refuses req. It returns two nils if req is admitted,
// a waiter if it is queued, and the reason if it is refused.
func (s *Scheduler) tryAdmit(now time.Time, req Request) (*waiter, outcome.Result) {
	s.mu.Lock()
	defer s.mu.Unlock()
	level := s.levelOf(req.Priority)
	if !req.Returned {
		level.newWork.Add(now, s.serviceTime(req.Route).Seconds())
	}
	if s.mayStart(now) && !s.anyWaiting() {
		s.takeSlot(now, level, req.Route)
		return nil, nil
	}
	service := s.serviceTime(req.Route)
	wait := s.expectedWait(now, level)
	w := &waiter{Request: req, since: now, done: make(chan outcome.Result, 1)}
	if end := now.Add(wait + service); !end.After(req.Objective) && !end.After(req.Deadline) {
		level.queue = append(level.queue, w)
		w.timeout = w.maxWait(now)
		s.wakeWithToken(now)
		return w, nil
	}
	if s.canQueueLate(now, level, req, wait, service) {
		w.late = true
		level.late = append(level.late, w)
		w.timeout = w.maxWait(now)
		s.wakeWithToken(now)
		return w, nil
	}
	level.refusedAt = now
	return nil, s.reject(now, level, req)
}

// canQueueLate reports whether a request that misses its objective may be queued:
// the queue of late requests has room, the request is expected to run soon, and it
// is expected to end before its deadline.
func (s *Scheduler) canQueueLate(now time.Time, level *priorityLevel, req Request, wait, service time.Duration) bool {
	return len(level.late) < max(1, int(s.limit*lateQueueShare)) &&
		wait < maxLateWait(req, now) && now.Add(wait+service).Before(req.Deadline)
}

// levelOf returns the level of a priority, and creates it if necessary.
func (s *Scheduler) levelOf(priority int) *priorityLevel {
	i := 0
	for ; i < len(s.levels) && s.levels[i].priority <= priority; i++ {
		if s.levels[i].priority == priority {
			return s.levels[i]
		}
	}
	level := &priorityLevel{
		priority: priority, usage: decay.Rate{HalfLife: usageHalfLife}, admitted: decay.Rate{HalfLife: usageHalfLife},
		newWork: decay.Rate{HalfLife: newWorkHalfLife},
	}
	s.levels = append(s.levels[:i], append([]*priorityLevel{level}, s.levels[i:]...)...)
	return level
}

// hasFreeSlot reports whether a slot is free within the concurrency limit.
func (s *Scheduler) hasFreeSlot() bool { return s.running < max(1, int(s.limit)) }

// mayStart reports whether a request may be sent to the target at now: a slot is free
// and the rate limit allows it.
func (s *Scheduler) mayStart(now time.Time) bool { return s.hasFreeSlot() && s.rate.Allows(now) }

// wakeWithToken admits waiting requests when the next token of the rate limit arrives,
// if they wait for that and not for a slot.
func (s *Scheduler) wakeWithToken(now time.Time) {
	wait := s.rate.Wait(now, 1)
	if s.wakeDue || wait <= 0 || !s.hasFreeSlot() {
		return
	}
	s.wakeDue = true
	time.AfterFunc(wait, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.wakeDue = false
		s.admitWaiting(now.Add(wait))
	})
}

// anyWaiting reports whether a request is queued that is not late.
func (s *Scheduler) anyWaiting() bool {
	for _, level := range s.levels {
		if len(level.queue) > 0 {
			return true
		}
	}
	return false
}

// serviceTime returns the average service time of a route, or that over all
// routes if the route has not been measured.
func (s *Scheduler) serviceTime(route string) time.Duration {
	if t, ok := s.serviceTimes[route]; ok {
		return t
	}
	return s.meanServiceTime
}

// expectedWait returns how long a new request of the given level is expected to
// wait for a slot and for the rate limit, whichever takes longer.
func (s *Scheduler) expectedWait(now time.Time, level *priorityLevel) time.Duration {
	return max(s.slotWait(now, level), s.rateWait(now, level))
}

// rateWait returns how long a new request of the given level is expected to wait for
// its token of the rate limit: until the tokens that higher levels leave suffice for
// the waiting requests that run before it and for itself, or until the level has earned
// the credit for it, whichever comes first.
func (s *Scheduler) rateWait(now time.Time, level *priorityLevel) time.Duration {
	perSecond, limited := s.rate.Rate()
	if !limited {
		return 0
	}
	service := s.meanServiceTime.Seconds()
	missing := max(0, service*float64(len(level.queue)+1)-level.credit)
	byCredit := s.rate.Wait(now, 1+missing/(service*lowerShare))
	ahead, higher := 0, 0.0
	for _, other := range s.levels {
		if other.priority > level.priority {
			break
		}
		ahead += len(other.queue)
		if other != level {
			higher += other.admitted.PerSecond(now)
		}
	}
	if higher >= perSecond {
		return byCredit
	}
	return min(byCredit, time.Duration(float64(s.rate.Wait(now, float64(ahead)+1))*perSecond/(perSecond-higher)))
}

// slotWait returns how long a new request of the given level is expected to wait for
// a slot: the service time of the requests that run before it, divided by the slots
// that higher levels leave free. It is 0 if a slot is free and nothing waits.
func (s *Scheduler) slotWait(now time.Time, level *priorityLevel) time.Duration {
	if s.hasFreeSlot() && !s.anyWaiting() {
		return 0
	}
	work, higher := s.meanServiceTime, 0.0
	for _, other := range s.levels {
		if other.priority > level.priority {
			break
		}
		for _, w := range other.queue {
			work += s.serviceTime(w.Route)
		}
		if other != level {
			higher += other.usage.PerSecond(now)
		}
	}
	slots := max(s.limit-higher, s.limit*lowerShare, 1)
	return time.Duration(float64(work) / slots)
}

// takeSlot takes a slot for a request of the given level.
func (s *Scheduler) takeSlot(now time.Time, level *priorityLevel, route string) {
	s.running++
	s.rate.Take(now)
	level.admitted.Add(now, 1)
	service := s.serviceTime(route).Seconds()
	level.usage.Add(now, service)
	level.credit = max(0, level.credit-service)
	for _, lower := range s.levels {
		if lower.priority > level.priority && s.earnsCredit(now, lower) {
			lower.credit += service * lowerShare
		}
	}
}

// earnsCredit reports whether level earns credit when a higher level runs a request: it
// has waiting requests. At a low rate limit a request is refused if it would have to
// wait until the level has earned all of the credit for it, so that refusals count too,
// up to the credit for one request.
func (s *Scheduler) earnsCredit(now time.Time, level *priorityLevel) bool {
	if len(level.queue) > 0 {
		return true
	}
	_, limited := s.rate.Rate()
	return limited && now.Sub(level.refusedAt) < usageHalfLife && level.credit < s.meanServiceTime.Seconds()
}

// admitWaiting admits waiting requests while slots are free and the rate limit allows
// it.
func (s *Scheduler) admitWaiting(now time.Time) {
	s.demoteLate(now)
	for s.mayStart(now) {
		level, w := s.dequeue(now)
		if w == nil {
			return
		}
		s.takeSlot(now, level, w.Route)
		w.done <- nil
	}
	if s.queued() > 0 {
		s.wakeWithToken(now)
	}
}

// demoteLate moves requests that can no longer meet their objective to the queue
// of late requests, so that they do not make others late as well. It refuses those
// for which that queue has no room, or that cannot end before their deadline.
func (s *Scheduler) demoteLate(now time.Time) {
	for _, level := range s.levels {
		keep := level.queue[:0]
		for _, w := range level.queue {
			service := s.serviceTime(w.Route)
			switch {
			case !now.Add(service).After(w.Objective):
				keep = append(keep, w)
			case s.canQueueLate(now, level, w.Request, 0, service):
				w.late = true
				level.late = append(level.late, w)
			default:
				w.done <- s.reject(now, level, w.Request)
			}
		}
		clear(level.queue[len(keep):])
		level.queue = keep
	}
}

// dequeue removes the request that is to run next from its queue and returns it
// with its level, or two nils if none is waiting. Late requests whose deadline is
// too near are refused.
func (s *Scheduler) dequeue(now time.Time) (*priorityLevel, *waiter) {
	var first *priorityLevel
	for _, level := range s.levels {
		if len(level.queue) == 0 {
			continue
		}
		if first == nil {
			first = level
			continue
		}
		if level.credit >= s.serviceTime(level.queue[0].Route).Seconds() {
			first = level // it has earned enough credit to run before the higher level
			break
		}
	}
	if first != nil {
		w := first.queue[0]
		first.queue = first.queue[1:]
		return first, w
	}
	for _, level := range s.levels {
		for len(level.late) > 0 {
			w := level.late[0]
			level.late = level.late[1:]
			if now.Add(s.serviceTime(w.Route)).Before(w.Deadline) {
				return level, w
			}
			w.done <- outcome.NotRun{Reason: outcome.DeadlinePast}
		}
	}
	return nil, nil
}

// abandon removes w from its queue and returns res. If w was admitted in the
// meantime, its slot is released; if it was refused, that refusal is returned.
func (s *Scheduler) abandon(w *waiter, now time.Time, res outcome.Result) (*Permit, outcome.Result) {
	s.mu.Lock()
	level := s.levelOf(w.Priority)
	removed := remove(&level.queue, w) || remove(&level.late, w)
	s.mu.Unlock()
	if removed {
		return nil, res
	}
	if decided := <-w.done; decided != nil {
		return nil, decided
	}
	permit := &Permit{scheduler: s, req: w.Request, sentAt: now}
	permit.Done(now, Unused)
	return nil, res
}

// remove removes w from list and reports whether list contained it.
func remove(list *[]*waiter, w *waiter) bool {
	for i, other := range *list {
		if other == w {
			*list = append((*list)[:i], (*list)[i+1:]...)
			return true
		}
	}
	return false
}

// SlotUse describes how a slot was used.
type SlotUse int

// Ways in which a slot was used.
const (
	Served   SlotUse = iota // the target ran the request
	Shed                    // the target refused the request because of its load
	Declined                // the target refused the request for another reason
	Unused                  // the request was not sent to the target
)

// MarkSent records now as the time at which the request is sent to the target. The
// service time is measured from then on.
func (p *Permit) MarkSent(now time.Time) { p.sentAt = now }

// Done releases the slot; use says how it was used.
func (p *Permit) Done(now time.Time, use SlotUse) {
	s := p.scheduler
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
	if use == Unused {
		s.rate.Return(now)
	}
	s.adapt(now, p, use)
	s.admitWaiting(now)
}

// adapt updates the concurrency limit and the service times after a request that
// used its slot as use says.
func (s *Scheduler) adapt(now time.Time, p *Permit, use SlotUse) {
	const (
		smoothing      = 12  // a new measurement has a weight of one twelfth in the moving averages
		shedFactor     = 0.9 // the limit is multiplied by this after a request that the target shed
		minLimitFactor = 0.6 // the limit is at least this share of the slots
	)
	slots := float64(s.slots)
	switch use {
	case Served:
		took := now.Sub(p.sentAt)
		old, known := s.serviceTimes[p.req.Route]
		if !known {
			old = took
		}
		s.serviceTimes[p.req.Route] = old + (took-old)/smoothing
		s.meanServiceTime += (took - s.meanServiceTime) / smoothing
		s.limit = min(s.limit+0.5/max(s.limit, 1), slots)
	case Shed:
		s.limit = max(s.limit*shedFactor, slots*minLimitFactor, 1)
	case Declined, Unused:
	}
}

// Load is the current load of a Scheduler.
type Load struct {
	// Running is the number of requests that hold a slot.
	Running int
	// Queued is the number of waiting requests, late ones included.
	Queued int
	// Limit is the current concurrency limit.
	Limit int
	// MaxRate is the limit of the requests per second, or 0 if there is none.
	MaxRate float64
}

// Load returns the current load.
func (s *Scheduler) Load() Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	load := Load{Running: s.running, Queued: s.queued(), Limit: max(1, int(s.limit))}
	load.MaxRate, _ = s.rate.Rate()
	return load
}

// queued returns the number of waiting requests, late ones included.
func (s *Scheduler) queued() int {
	n := 0
	for _, level := range s.levels {
		n += len(level.queue) + len(level.late)
	}
	return n
}
