package scheduling

import (
	"time"

	"siskinknot/core/decay"
	"siskinknot/core/outcome"
)

// A target that runs a request may make calls to other targets for it. If a call is
// refused, the work already done for that request is lost. Calls therefore run before the
// other requests of their priority level, do not become late because of an objective,
// and are refused only if they cannot end before their deadline.
//
// Calls are short, but a flood of them must not keep the other requests of the level from
// running. While such requests wait, they earn a credit of lowerShare seconds for each
// second of service time that calls of the level use, as lower levels do, and the first
// of them runs before the next call once the credit suffices for it.

// callQueue holds the waiting calls of a level.
type callQueue struct {
	queue []*waiter
	// credit is the service time, in seconds, that the other requests of the level have
	// earned while calls ran before them.
	credit float64
	// refusedAt is when a call was last refused.
	refusedAt time.Time
	// usage is the part of the level's recent use of the target that is due to calls, and
	// admitted the rate of admitted calls.
	usage, admitted decay.Rate
}

// newCallQueue returns an empty callQueue.
func newCallQueue() callQueue {
	return callQueue{usage: decay.Rate{HalfLife: usageHalfLife}, admitted: decay.Rate{HalfLife: usageHalfLife}}
}

// usageBefore returns the recent use of the target by those calls that run before a new
// request of the level: none if that is a call itself.
func (q *callQueue) usageBefore(now time.Time, call bool) float64 {
	if call {
		return 0
	}
	return q.usage.PerSecond(now)
}

// admittedBefore returns the rate of admitted calls that usageBefore returns the use of.
func (q *callQueue) admittedBefore(now time.Time, call bool) float64 {
	if call {
		return 0
	}
	return q.admitted.PerSecond(now)
}

// waiting returns the number of waiting requests of the level, without late ones.
func (l *priorityLevel) waiting() int { return len(l.calls.queue) + len(l.queue) }

// aheadOf returns the number of waiting requests of the level that run before a new
// request or call.
func (l *priorityLevel) aheadOf(call bool) int {
	if call {
		return len(l.calls.queue)
	}
	return l.waiting()
}

// missingCredit returns the credit that a new request or call of the level would still have
// to earn to run before requests with a higher precedence, if each waiting request takes
// service seconds.
func (l *priorityLevel) missingCredit(call bool, service float64) float64 {
	if call {
		return max(0, service*float64(len(l.calls.queue)+1)-l.credit)
	}
	return max(0, service*float64(len(l.queue)+1)-max(l.credit, l.calls.credit))
}

// recordStart updates the use by calls and the credit of the other requests when a request of
// the level starts whose expected service time is service seconds.
func (s *Scheduler) recordStart(now time.Time, level *priorityLevel, call bool, service float64) {
	q := &level.calls
	if !call {
		q.credit = max(0, q.credit-service)
		return
	}
	q.usage.Add(now, service)
	q.admitted.Add(now, 1)
	// A request is refused if it would have to wait until all of its credit is earned, so
	// that refusals count too, up to the credit for one request.
	refused := now.Sub(level.refusedAt) < usageHalfLife && q.credit < s.meanServiceTime.Seconds()
	if len(level.queue) > 0 || refused {
		q.credit += service * lowerShare
	}
}

// callsAhead reports whether calls wait that run before a new request of the level that is
// no call.
func (s *Scheduler) callsAhead(level *priorityLevel) bool {
	for _, other := range s.levels {
		if other.priority <= level.priority && len(other.calls.queue) > 0 {
			return true
		}
	}
	return false
}

// creditWait returns how long a new request or call of the level waits for a slot if it
// runs because of the credit that its level, or the requests of its level that are no calls,
// earn while the target is busy with others.
func (s *Scheduler) creditWait(level *priorityLevel, call bool) time.Duration {
	work, credit := s.work(level.queue), max(level.credit, level.calls.credit)
	if call {
		work, credit = s.work(level.calls.queue), level.credit
	}
	missing := max(0, (work+s.meanServiceTime).Seconds()-credit)
	return time.Duration((missing/lowerShare + s.meanServiceTime.Seconds()) / s.limit * float64(time.Second))
}

// work returns the expected service time of all requests in list.
func (s *Scheduler) work(list []*waiter) time.Duration {
	var work time.Duration
	for _, w := range list {
		work += s.serviceTime(w.Route)
	}
	return work
}

// callTime returns the expected service time of a call. That of a route without measurements is
// assumed to be short: with the mean of all routes, its calls could be refused
// at an overloaded target forever, and would never be measured.
func (s *Scheduler) callTime(route string) time.Duration {
	if t, ok := s.serviceTimes[route]; ok {
		return t
	}
	return min(s.meanServiceTime, defaultServiceTime)
}

// queueCall queues a call, or returns the reason for its refusal if it is not expected to
// end before its deadline.
func (s *Scheduler) queueCall(now time.Time, level *priorityLevel, req Request) (*waiter, outcome.Result) {
	service := s.callTime(req.Route)
	wait := max(s.slotWait(now, level, true), s.rateWait(now, level, true))
	if over := now.Add(wait + service).Sub(req.Deadline); over > 0 {
		level.calls.refusedAt = now
		return nil, outcome.NotRun{Reason: outcome.Overloaded, RetryAfter: max(over, minRetryAfter)}
	}
	w := &waiter{Request: req, since: now, startBy: req.Deadline.Add(-service), done: make(chan outcome.Result, 1)}
	w.maxWait = w.longestWait(now)
	level.calls.queue = append(level.calls.queue, w)
	s.wakeWithToken(now)
	return w, nil
}

// rejectLateCalls refuses the waiting calls of a level that can no longer end before their
// deadline.
func (s *Scheduler) rejectLateCalls(now time.Time, level *priorityLevel) {
	keep := level.calls.queue[:0]
	for _, w := range level.calls.queue {
		if service := s.callTime(w.Route); now.Add(service).After(w.Deadline) {
			w.done <- outcome.NotRun{Reason: outcome.Overloaded, RetryAfter: max(now.Add(service).Sub(w.Deadline), minRetryAfter)}
			continue
		}
		keep = append(keep, w)
	}
	clear(level.calls.queue[len(keep):])
	level.calls.queue = keep
}

// next returns the request of the level that is to run next, or nil if none is waiting: the
// first call, unless the other requests have earned the credit for one.
func (s *Scheduler) next(level *priorityLevel) *waiter {
	calls := level.calls.queue
	switch {
	case len(calls) == 0 && len(level.queue) == 0:
		return nil
	case len(calls) == 0:
		return level.queue[0]
	case len(level.queue) > 0 && level.calls.credit >= s.serviceTime(level.queue[0].Route).Seconds():
		return level.queue[0]
	default:
		return calls[0]
	}
}

// takeNext removes the request that next returns from its queue and returns it.
func (s *Scheduler) takeNext(level *priorityLevel) *waiter {
	w := s.next(level)
	if w.Call {
		level.calls.queue = level.calls.queue[1:]
	} else {
		level.queue = level.queue[1:]
	}
	return w
}
