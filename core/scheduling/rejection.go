package scheduling

import (
	"time"

	"siskinknot/core/outcome"
	"siskinknot/core/returns"
)

// newWorkHalfLife is the age at which past work of new requests counts half. Loads that
// exceed the capacity last a few seconds, and their start and end should be noticed within
// a part of that.
const newWorkHalfLife = 500 * time.Millisecond

// reject returns the result of a request that is rejected at now, and reserves its return.
// The caller holds the mutex.
func (s *Scheduler) reject(now time.Time, level *priorityLevel, req Request) outcome.NotRun {
	delay := s.returns.Reserve(now, s.rejection(now, level, req))
	// The waiting requests have the tokens of a rate limit that arrive before.
	return outcome.NotRun{Reason: outcome.Overloaded, RetryAfter: max(delay, s.rateWait(now, level, req.Call))}
}

// rejectWaiter is reject for a request that has waited for as long as it may, until now.
func (s *Scheduler) rejectWaiter(w *waiter, now time.Time) outcome.NotRun {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reject(now, s.levelOf(w.Priority), w.Request)
}

// rejection describes a request that is rejected at now, and what its return has to wait
// for.
func (s *Scheduler) rejection(now time.Time, level *priorityLevel, req Request) returns.Rejection {
	capacity := s.limit
	if perSecond, limited := s.rate.Rate(); limited {
		capacity = min(capacity, perSecond*s.meanServiceTime.Seconds())
	}
	waiting, higher := s.meanServiceTime*time.Duration(s.running)/2, 0.0
	for _, other := range s.levels {
		if other.priority > level.priority {
			break
		}
		waiting += s.work(other.calls.queue) + s.work(other.queue)
		if other != level {
			higher += other.newWork.PerSecond(now)
		}
	}
	// Higher levels leave a lower one its minimum share.
	available := max(capacity-higher, capacity*lowerShare/(1+lowerShare))
	return returns.Rejection{
		Priority: level.priority,
		Work:     s.serviceTime(req.Route),
		Waiting:  waiting,
		Capacity: capacity,
		Spare:    available - level.newWork.PerSecond(now),
		Left:     req.Deadline.Sub(now),
		Returned: req.Returned,
	}
}
