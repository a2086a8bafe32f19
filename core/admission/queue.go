package admission

import (
	"container/list"
	"time"

	"siskinknot/core/outcome"
	"siskinknot/core/request"
)

// waiter is a request in a queue.
type waiter struct {
	class    request.Class
	caller   string
	deadline time.Time
	// done receives nil when the request is admitted, or the reason for its
	// refusal.
	done chan outcome.Result
	// elem is the element in the queue of the caller; nil once it is removed.
	elem *list.Element
}

// classQueue is the queue of one class. It has a queue for each caller; the callers
// are served in round robin.
type classQueue struct {
	// length is the number of waiting requests of all callers.
	length  int
	callers map[string]*callerQueue
	// rotation holds the callers with waiting requests; the front is served next.
	rotation *list.List
}

// callerQueue holds the waiting requests of one caller.
type callerQueue struct {
	caller string
	// waiters are ordered by arrival, oldest first.
	waiters *list.List
	// elem is the element in the rotation.
	elem *list.Element
}

func newClassQueue() *classQueue {
	return &classQueue{callers: map[string]*callerQueue{}, rotation: list.New()}
}

// push adds w to the end of the queue of its caller.
func (q *classQueue) push(w *waiter) {
	cq := q.callers[w.caller]
	if cq == nil {
		cq = &callerQueue{caller: w.caller, waiters: list.New()}
		cq.elem = q.rotation.PushBack(cq)
		q.callers[w.caller] = cq
	}
	w.elem = cq.waiters.PushBack(w)
	q.length++
}

// front returns the request that runs next. The queue must not be empty.
func (q *classQueue) front() *waiter {
	cq := q.rotation.Front().Value.(*callerQueue)
	return cq.waiters.Front().Value.(*waiter)
}

// pop removes and returns the request that runs next, and moves its caller to the
// end of the rotation.
func (q *classQueue) pop() *waiter {
	w := q.front()
	cq := q.callers[w.caller]
	q.rotation.MoveToBack(cq.elem)
	q.remove(w)
	return w
}

// remove removes w and reports whether the queue contained it.
func (q *classQueue) remove(w *waiter) bool {
	cq := q.callers[w.caller]
	if cq == nil || w.elem == nil {
		return false
	}
	cq.waiters.Remove(w.elem)
	w.elem = nil
	q.length--
	if cq.waiters.Len() == 0 {
		q.rotation.Remove(cq.elem)
		delete(q.callers, w.caller)
	}
	return true
}

// refuseIf refuses the requests for whose deadline late returns true: the process ends
// before.
func (q *classQueue) refuseIf(late func(deadline time.Time) bool) {
	for _, cq := range q.callers {
		for elem := cq.waiters.Front(); elem != nil; {
			w := elem.Value.(*waiter)
			elem = elem.Next()
			if late(w.deadline) {
				q.remove(w)
				w.done <- outcome.NotRun{Reason: outcome.Stopping}
			}
		}
	}
}

// ahead returns the number of requests that would run before a new one of caller.
func (q *classQueue) ahead(caller string) int {
	own := 0
	if cq := q.callers[caller]; cq != nil {
		own = cq.waiters.Len()
	}
	total := own
	for name, cq := range q.callers {
		if name != caller {
			total += min(cq.waiters.Len(), own+1)
		}
	}
	return total
}

// evictFor makes room for a request of caller: it refuses the newest request of the
// caller that has the most waiting requests, and reports whether it did. It refuses
// none if caller would then have at least as many waiting requests as the other
// caller has now, or if it is that caller itself.
func (q *classQueue) evictFor(caller string) bool {
	own := 0
	if cq := q.callers[caller]; cq != nil {
		own = cq.waiters.Len()
	}
	var longest *callerQueue
	for _, cq := range q.callers {
		if longest == nil || cq.waiters.Len() > longest.waiters.Len() {
			longest = cq
		}
	}
	if longest == nil || longest.waiters.Len() <= own+1 {
		return false
	}
	victim := longest.waiters.Back().Value.(*waiter)
	q.remove(victim)
	victim.done <- outcome.NotRun{Reason: outcome.QueueFull}
	return true
}
