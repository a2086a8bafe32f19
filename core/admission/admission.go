// Package admission decides which requests run at a target, and when.
//
// A Limiter never admits more requests at a time than the target has slots. A
// request that finds no free slot queues with its class. Freed slots go to the
// classes in proportion to their weights, counted in target time, and within a
// class to the callers in turn. Bulk requests hold at most a share of the
// slots, so that the rest stays free for short ones.
//
// A request is refused at once if the queue is too long to serve it before its
// deadline; it then certainly did not run. If a class's queue is full, room is
// made at the cost of the caller that has most requests in it.
//
// A target that sheds load is believed: the limit shrinks with each request it
// refuses and grows back as others succeed.
//
// # Usage
//
//	limiter := admission.New(admission.Limits{Slots: 12, Queue: 256, BulkPercent: 50, ClassQueues: true})
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
	// Slots is the most requests at the target at a time.
	Slots int
	// Queue is the most requests waiting in a class.
	Queue int
	// BulkPercent is the share of Slots that bulk requests may hold.
	BulkPercent int
	// ClassQueues gives each class its own queue.
	ClassQueues bool
	// Fair serves the callers of a class in turn, rather than in the order of
	// arrival.
	Fair bool
	// EarlyRefusal refuses requests that would miss their deadline.
	EarlyRefusal bool
}

// Weights of the classes when slots are scarce.
var weights = [request.Classes]float64{
	request.Lookup:   4,
	request.Write:    4,
	request.Bulk:     1,
	request.Internal: 4,
}

// Request is what a Limiter has to know about a request.
type Request struct {
	Class    request.Class
	Caller   string
	Deadline time.Time
}

// Limiter is the admission of one target. It is safe for concurrent use.
type Limiter struct {
	mu     sync.Mutex
	limits Limits
	// limit is the number of slots used at present; it is below limits.Slots
	// while the target sheds.
	limit    float64
	inFlight [request.Classes]int
	queues   [request.Classes]*classQueue
	// pass is the target time that each class has had, over its weight.
	pass [request.Classes]float64
	// service is the average target time of a class's requests.
	service [request.Classes]time.Duration
}

// New returns a Limiter with the given limits.
func New(limits Limits) *Limiter {
	l := &Limiter{limits: limits, limit: float64(limits.Slots)}
	for c := range l.queues {
		l.queues[c] = newClassQueue()
	}
	return l
}

// SetLimits replaces the limits; requests already admitted keep their slots.
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

// Permit is the right to use a slot. Its holder calls Done once.
type Permit struct {
	limiter *Limiter
	class   request.Class
	started time.Time
}

// Acquire returns a Permit, after waiting for one if needed, or why there is
// none. The error result is always an outcome.NotRun.
func (l *Limiter) Acquire(ctx context.Context, now time.Time, req Request) (*Permit, outcome.Result) {
	w, refusal := l.enter(now, req)
	if refusal != nil {
		return nil, refusal
	}
	if w == nil {
		return &Permit{limiter: l, class: req.Class, started: now}, nil
	}
	timer := time.NewTimer(req.Deadline.Sub(now))
	defer timer.Stop()
	select {
	case res := <-w.done:
		if res != nil {
			return nil, res
		}
		return &Permit{limiter: l, class: req.Class, started: now}, nil
	case <-timer.C:
		return l.abandon(w, now, outcome.NotRun{Reason: outcome.DeadlinePast})
	case <-ctx.Done():
		return l.abandon(w, now, outcome.NotRun{Reason: outcome.Cancelled})
	}
}

// enter admits req at once, queues it, or refuses it.
func (l *Limiter) enter(now time.Time, req Request) (*waiter, outcome.Result) {
	l.mu.Lock()
	defer l.mu.Unlock()
	queue := l.queues[l.queueOf(req.Class)]
	if l.hasRoom(req.Class) && queue.length == 0 {
		l.begin(req.Class)
		return nil, nil
	}
	caller := req.Caller
	if !l.limits.Fair {
		caller = ""
	}
	if wait := l.estimate(queue, req.Class, caller); l.limits.EarlyRefusal && now.Add(wait).After(req.Deadline) {
		return nil, outcome.NotRun{Reason: outcome.Overloaded, RetryAfter: wait / 2}
	}
	if queue.length >= l.limits.Queue && !queue.evictFor(caller) {
		return nil, outcome.NotRun{Reason: outcome.QueueFull, RetryAfter: l.estimate(queue, req.Class, caller) / 2}
	}
	w := &waiter{class: req.Class, caller: caller, done: make(chan outcome.Result, 1)}
	if queue.length == 0 {
		l.catchUp(l.queueOf(req.Class))
	}
	queue.push(w)
	return w, nil
}

// queueOf returns which queue requests of a class wait in.
func (l *Limiter) queueOf(class request.Class) request.Class {
	if l.limits.ClassQueues {
		return class
	}
	return 0
}

// hasRoom reports whether a request of class may take a slot.
func (l *Limiter) hasRoom(class request.Class) bool {
	total := 0
	for _, n := range l.inFlight {
		total += n
	}
	if total >= max(1, int(l.limit)) {
		return false
	}
	return class != request.Bulk || l.inFlight[request.Bulk] < l.bulkSlots()
}

// bulkSlots returns how many slots bulk requests may hold.
func (l *Limiter) bulkSlots() int {
	if !l.limits.ClassQueues {
		return l.limits.Slots
	}
	return max(1, int(l.limit)*l.limits.BulkPercent/100)
}

// begin takes a slot for a request of class.
func (l *Limiter) begin(class request.Class) {
	l.inFlight[class]++
	l.pass[class] += l.serviceTime(class).Seconds() / weights[class]
}

// serviceTime returns the average target time of class, or a guess.
func (l *Limiter) serviceTime(class request.Class) time.Duration {
	if l.service[class] == 0 {
		return time.Millisecond
	}
	return l.service[class]
}

// estimate returns how long a request of class from caller would wait and run.
func (l *Limiter) estimate(queue *classQueue, class request.Class, caller string) time.Duration {
	slots := max(1, int(l.limit))
	if class == request.Bulk {
		slots = l.bulkSlots()
	}
	ahead := queue.ahead(caller)
	service := l.serviceTime(class)
	return service*time.Duration(ahead)/time.Duration(slots) + service
}

// catchUp lets a class that had no queue compete from now on, not with the
// target time that it left unused.
func (l *Limiter) catchUp(class request.Class) {
	least, found := 0.0, false
	for c, queue := range l.queues {
		if queue.length > 0 && (!found || l.pass[c] < least) {
			least, found = l.pass[c], true
		}
	}
	if found {
		l.pass[class] = max(l.pass[class], least)
	}
}

// admitWaiting gives free slots to waiting requests.
func (l *Limiter) admitWaiting() {
	for {
		queue := l.nextQueue()
		if queue == nil {
			return
		}
		w := queue.pop()
		l.begin(w.class)
		w.done <- nil
	}
}

// nextQueue returns the queue whose first request is to run next, or nil.
func (l *Limiter) nextQueue() *classQueue {
	var next *classQueue
	least := 0.0
	for c, queue := range l.queues {
		if queue.length == 0 || !l.hasRoom(queue.front().class) {
			continue
		}
		if next == nil || l.pass[c] < least {
			next, least = queue, l.pass[c]
		}
	}
	return next
}

// abandon takes w out of its queue. If w was decided meanwhile, its slot is
// given back.
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
	permit := &Permit{limiter: l, class: w.class, started: now}
	permit.Done(now, Unused)
	return nil, res
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
	l := p.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inFlight[p.class]--
	l.learn(p.class, now.Sub(p.started), use)
	l.admitWaiting()
}

// learn adapts the limit and the service time to what the target did.
func (l *Limiter) learn(class request.Class, took time.Duration, use Use) {
	const (
		smoothing   = 8   // share of a new observation: one eighth
		shedFactor  = 0.9 // of the limit left after a refusal
		leastFactor = 0.2 // of the slots that is never given up
	)
	slots := float64(l.limits.Slots)
	switch use {
	case Served:
		l.service[class] += (took - l.service[class]) / smoothing
		l.limit = min(l.limit+0.5/max(l.limit, 1), slots)
	case Shed:
		l.limit = max(l.limit*shedFactor, slots*leastFactor, 1)
	case Unused:
	}
}

// Load is a Limiter's present load.
type Load struct {
	InFlight int
	Queued   int
	// Limit is the number of slots in use at most at present.
	Limit int
	// Service is the average target time by class.
	Service [request.Classes]time.Duration
}

// Load returns the present load.
func (l *Limiter) Load() Load {
	l.mu.Lock()
	defer l.mu.Unlock()
	load := Load{Limit: max(1, int(l.limit)), Service: l.service}
	for c := range l.queues {
		load.InFlight += l.inFlight[c]
		load.Queued += l.queues[c].length
	}
	return load
}
