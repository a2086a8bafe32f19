// Package admission decides which requests run at a target, and when.
//
// A Limiter never admits more concurrent requests than the target has slots. A
// request that finds no free slot waits in the queue of its class. Free slots go to
// the classes in proportion to their weights, measured in service time (the time
// that requests take at the target), and within a class to the callers in round
// robin. Bulk requests hold at most a share of the slots, so that the rest stays
// free for short requests.
//
// A request is refused at once if the queue is too long to serve it before its
// deadline; it then certainly did not run. If the queue of a class is full, a new
// request can replace one of the caller that has the most requests in it.
//
// The concurrency limit adapts to a target that sheds load: it shrinks with each
// request that the target refuses and grows back as others succeed.
//
// Once it is known when the process ends (StopAt), requests whose deadline is later are
// refused, those in the queue included: they might be cut off while they run.
//
// # Usage
//
//	limiter := admission.New(admission.Limits{Slots: 12, QueueLength: 256, BulkPercent: 50, ClassQueues: true})
//	permit, refusal := limiter.Acquire(ctx, now, admission.Request{Class: request.Lookup, Caller: "a", Deadline: d})
//	if refusal != nil {
//		return refusal
//	}
//	defer permit.Done(end, admission.Served)
package admission

import (
	"context"
	"sync"
	"time"

	"siskinknot/core/outcome"
	"siskinknot/core/request"
)

// Limits are the settings of a Limiter.
type Limits struct {
	// Slots is the maximum number of concurrent requests at the target.
	Slots int
	// QueueLength is the maximum number of requests that wait in one queue.
	QueueLength int
	// BulkPercent is the share of the slots that bulk requests may hold, in
	// percent. It has an effect only with ClassQueues.
	BulkPercent int
	// ClassQueues gives each class its own queue; otherwise all classes share one.
	ClassQueues bool
	// FairQueueing serves the callers of a queue in round robin. Otherwise
	// requests are served in the order of arrival.
	FairQueueing bool
	// EarlyRefusal refuses requests that are expected to miss their deadline,
	// instead of queueing them.
	EarlyRefusal bool
}

// weights are the relative shares of service time that the classes get while more
// than one of them has waiting requests.
var weights = [request.NumClasses]float64{
	request.Lookup:   4,
	request.Write:    4,
	request.Bulk:     1,
	request.Internal: 4,
}

// Request holds the properties of a request that a Limiter uses.
type Request struct {
	Class    request.Class
	Caller   string
	Deadline time.Time
}

// Limiter limits the concurrent requests of one target and queues those that have
// to wait. It is safe for concurrent use.
type Limiter struct {
	mu     sync.Mutex
	limits Limits
	// limit is the maximum number of concurrent requests at present. It is below
	// limits.Slots while the target sheds.
	limit    float64
	inFlight [request.NumClasses]int
	queues   [request.NumClasses]*classQueue
	// pass is the service time that each class has used, in seconds, divided by
	// its weight (as in stride scheduling). The class with the lowest pass is
	// served next.
	pass [request.NumClasses]float64
	// serviceTimes is the moving average of the service time by class; zero if it
	// has not been measured.
	serviceTimes [request.NumClasses]time.Duration
	// stopsAt is when the process ends at the latest; zero if it is not known.
	stopsAt time.Time
}

// New returns a Limiter with the given limits.
func New(limits Limits) *Limiter {
	l := &Limiter{limits: limits, limit: float64(limits.Slots)}
	for c := range l.queues {
		l.queues[c] = newClassQueue()
	}
	return l
}

// SetLimits replaces the limits. Requests that were already admitted keep their
// slots.
func (l *Limiter) SetLimits(limits Limits) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if limits == l.limits {
		return
	}
	if limits.Slots != l.limits.Slots {
		l.limit = float64(limits.Slots)
	}
	l.limits = limits
	l.admitWaiting()
}

// StopAt declares that the process ends at stopsAt at the latest, and refuses the waiting
// requests whose deadline is later. Those that were admitted keep their slots.
func (l *Limiter) StopAt(stopsAt time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stopsAt = stopsAt
	for _, queue := range l.queues {
		queue.refuseIf(l.outlivesStop)
	}
}

// OutlivesStop reports whether a request with the given deadline may still run when the
// process ends.
func (l *Limiter) OutlivesStop(deadline time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.outlivesStop(deadline)
}

// outlivesStop is OutlivesStop for a caller that holds the mutex.
func (l *Limiter) outlivesStop(deadline time.Time) bool {
	return !l.stopsAt.IsZero() && deadline.After(l.stopsAt)
}

// Permit is the right to use a slot. The caller of Acquire must call Done exactly
// once.
type Permit struct {
	limiter *Limiter
	class   request.Class
	// sentAt is when the request was sent to the target, or, before MarkSent is
	// called, when the slot was acquired.
	sentAt time.Time
}

// Acquire returns a Permit, after waiting for a slot if necessary. If the request
// is refused, it returns the reason, which is always an outcome.NotRun.
func (l *Limiter) Acquire(ctx context.Context, now time.Time, req Request) (*Permit, outcome.Result) {
	w, refusal := l.tryAdmit(now, req)
	if refusal != nil {
		return nil, refusal
	}
	if w == nil {
		return &Permit{limiter: l, class: req.Class, sentAt: now}, nil
	}
	timer := time.NewTimer(req.Deadline.Sub(now))
	defer timer.Stop()
	select {
	case res := <-w.done:
		if res != nil {
			return nil, res
		}
		return &Permit{limiter: l, class: req.Class, sentAt: now}, nil
	case <-timer.C:
		return l.abandon(w, now, outcome.NotRun{Reason: outcome.DeadlinePast})
	case <-ctx.Done():
		return l.abandon(w, now, outcome.NotRun{Reason: outcome.Cancelled})
	}
}

// tryAdmit admits, queues or refuses req. It returns two nils if req is admitted,
// a waiter if it is queued, and the reason if it is refused.
func (l *Limiter) tryAdmit(now time.Time, req Request) (*waiter, outcome.Result) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.outlivesStop(req.Deadline) {
		return nil, outcome.NotRun{Reason: outcome.Stopping}
	}
	queue := l.queues[l.queueOf(req.Class)]
	if l.hasFreeSlot(req.Class) && queue.length == 0 {
		l.takeSlot(req.Class)
		return nil, nil
	}
	caller := req.Caller
	if !l.limits.FairQueueing {
		caller = ""
	}
	if wait := l.estimate(queue, req.Class, caller); l.limits.EarlyRefusal && now.Add(wait).After(req.Deadline) {
		return nil, outcome.NotRun{Reason: outcome.Overloaded, RetryAfter: wait / 2}
	}
	if queue.length >= l.limits.QueueLength && !queue.evictFor(caller) {
		return nil, outcome.NotRun{Reason: outcome.QueueFull, RetryAfter: l.estimate(queue, req.Class, caller) / 2}
	}
	w := &waiter{class: req.Class, caller: caller, deadline: req.Deadline, done: make(chan outcome.Result, 1)}
	if queue.length == 0 {
		l.raisePass(l.queueOf(req.Class))
	}
	queue.push(w)
	return w, nil
}

// queueOf returns the index of the queue for requests of class.
func (l *Limiter) queueOf(class request.Class) request.Class {
	if l.limits.ClassQueues {
		return class
	}
	return 0
}

// hasFreeSlot reports whether a slot is free for a request of class.
func (l *Limiter) hasFreeSlot(class request.Class) bool {
	total := 0
	for _, n := range l.inFlight {
		total += n
	}
	if total >= max(1, int(l.limit)) {
		return false
	}
	return class != request.Bulk || l.inFlight[request.Bulk] < l.bulkSlots()
}

// bulkSlots returns the maximum number of slots that bulk requests may hold.
func (l *Limiter) bulkSlots() int {
	if !l.limits.ClassQueues {
		return l.limits.Slots
	}
	return max(1, int(l.limit)*l.limits.BulkPercent/100)
}

// takeSlot takes a slot for a request of class.
func (l *Limiter) takeSlot(class request.Class) {
	l.inFlight[class]++
	l.pass[class] += l.serviceTime(class).Seconds() / weights[class]
}

// serviceTime returns the average service time of class, or a default if it has not
// been measured.
func (l *Limiter) serviceTime(class request.Class) time.Duration {
	if l.serviceTimes[class] == 0 {
		return time.Millisecond
	}
	return l.serviceTimes[class]
}

// estimate returns the expected time until a new request of class from caller ends:
// its waiting time plus its service time.
func (l *Limiter) estimate(queue *classQueue, class request.Class, caller string) time.Duration {
	slots := max(1, int(l.limit))
	if class == request.Bulk {
		slots = l.bulkSlots()
	}
	ahead := queue.ahead(caller)
	service := l.serviceTime(class)
	return service*time.Duration(ahead)/time.Duration(slots) + service
}

// raisePass raises the pass of a class whose queue was empty to the lowest pass of
// the classes that have waiting requests, so that the class gets no credit for the
// service time that it left unused.
func (l *Limiter) raisePass(class request.Class) {
	minPass, found := 0.0, false
	for c, queue := range l.queues {
		if queue.length > 0 && (!found || l.pass[c] < minPass) {
			minPass, found = l.pass[c], true
		}
	}
	if found {
		l.pass[class] = max(l.pass[class], minPass)
	}
}

// admitWaiting admits waiting requests while slots are free.
func (l *Limiter) admitWaiting() {
	for {
		queue := l.nextQueue()
		if queue == nil {
			return
		}
		w := queue.pop()
		l.takeSlot(w.class)
		w.done <- nil
	}
}

// nextQueue returns the queue whose first request is to run next, or nil if no
// waiting request may take a slot.
func (l *Limiter) nextQueue() *classQueue {
	var next *classQueue
	minPass := 0.0
	for c, queue := range l.queues {
		if queue.length == 0 || !l.hasFreeSlot(queue.front().class) {
			continue
		}
		if next == nil || l.pass[c] < minPass {
			next, minPass = queue, l.pass[c]
		}
	}
	return next
}

// abandon removes w from its queue and returns res. If w was admitted in the
// meantime, its slot is released; if it was refused, that refusal is returned.
func (l *Limiter) abandon(w *waiter, now time.Time, res outcome.Result) (*Permit, outcome.Result) {
	l.mu.Lock()
	removed := l.queues[l.queueOf(w.class)].remove(w)
	l.mu.Unlock()
	if removed {
		return nil, res
	}
	if decided := <-w.done; decided != nil {
		return nil, decided
	}
	permit := &Permit{limiter: l, class: w.class, sentAt: now}
	permit.Done(now, Unused)
	return nil, res
}

// SlotUse describes how a slot was used.
type SlotUse int

// Ways in which a slot was used.
const (
	Served SlotUse = iota // the target ran the request
	Shed                  // the target refused the request
	Unused                // the request was not sent to the target
)

// MarkSent records now as the time at which the request is sent to the target. The
// service time is measured from then on.
func (p *Permit) MarkSent(now time.Time) { p.sentAt = now }

// Done releases the slot; use says how it was used.
func (p *Permit) Done(now time.Time, use SlotUse) {
	l := p.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inFlight[p.class]--
	l.adapt(p.class, now.Sub(p.sentAt), use)
	l.admitWaiting()
}

// adapt updates the concurrency limit and the average service time of class after a
// request that used its slot as use says, for the duration took.
func (l *Limiter) adapt(class request.Class, took time.Duration, use SlotUse) {
	const (
		smoothing      = 8   // a new measurement has a weight of one eighth in the moving average
		shedFactor     = 0.9 // the limit is multiplied by this after a request that the target shed
		minLimitFactor = 0.2 // the limit is at least this share of the slots
	)
	slots := float64(l.limits.Slots)
	switch use {
	case Served:
		l.serviceTimes[class] += (took - l.serviceTimes[class]) / smoothing
		l.limit = min(l.limit+0.5/max(l.limit, 1), slots)
	case Shed:
		l.limit = max(l.limit*shedFactor, slots*minLimitFactor, 1)
	case Unused:
	}
}

// Load is the current load of a Limiter.
type Load struct {
	// InFlight is the number of requests that hold a slot.
	InFlight int
	// Queued is the number of waiting requests.
	Queued int
	// Limit is the current concurrency limit.
	Limit int
	// ServiceTime is the average service time by class; zero if it has not been
	// measured.
	ServiceTime [request.NumClasses]time.Duration
}

// Load returns the current load.
func (l *Limiter) Load() Load {
	l.mu.Lock()
	defer l.mu.Unlock()
	load := Load{Limit: max(1, int(l.limit)), ServiceTime: l.serviceTimes}
	for c := range l.queues {
		load.InFlight += l.inFlight[c]
		load.Queued += l.queues[c].length
	}
	return load
}
