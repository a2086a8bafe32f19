package admission

import (
	"container/list"

	"siskinknot/core/outcome"
	"siskinknot/core/request"
)

// waiter is a request in a queue.
type waiter struct {
	class  request.Class
	caller string
	// done receives nil when the request is admitted, or its refusal.
	done chan outcome.Result
	elem *list.Element
}

// classQueue is the queue of one class: a queue for each caller, served in
// turn.
type classQueue struct {
	length  int
	callers map[string]*callerQueue
	// turn holds the callers with waiting requests; the front is next.
	turn *list.List
}

// callerQueue is the waiting requests of one caller, oldest first.
type callerQueue struct {
	caller string
	waits  *list.List
	elem   *list.Element
}

func newClassQueue() *classQueue {
	return &classQueue{callers: map[string]*callerQueue{}, turn: list.New()}
}

// push adds w behind the requests of its caller.
func (q *classQueue) push(w *waiter) {
	cq := q.callers[w.caller]
	if cq == nil {
		cq = &callerQueue{caller: w.caller, waits: list.New()}
		cq.elem = q.turn.PushBack(cq)
		q.callers[w.caller] = cq
	}
	w.elem = cq.waits.PushBack(w)
	q.length++
}

// front returns the request that is next.
func (q *classQueue) front() *waiter {
	cq := q.turn.Front().Value.(*callerQueue)
	return cq.waits.Front().Value.(*waiter)
}

// pop removes the request that is next, and passes the turn on.
func (q *classQueue) pop() *waiter {
	w := q.front()
	cq := q.callers[w.caller]
	q.turn.MoveToBack(cq.elem)
	q.remove(w)
	return w
}

// remove takes w out of the queue and reports whether it was there.
func (q *classQueue) remove(w *waiter) bool {
	cq := q.callers[w.caller]
	if cq == nil || w.elem == nil {
		return false
	}
	cq.waits.Remove(w.elem)
	w.elem = nil
	q.length--
	if cq.waits.Len() == 0 {
		q.turn.Remove(cq.elem)
		delete(q.callers, w.caller)
	}
	return true
}

// ahead returns how many requests would run before a new one of caller.
func (q *classQueue) ahead(caller string) int {
	own := 0
	if cq := q.callers[caller]; cq != nil {
		own = cq.waits.Len()
	}
	total := own
	for name, cq := range q.callers {
		if name != caller {
			total += min(cq.waits.Len(), own+1)
		}
	}
	return total
}

// evictFor makes room for a request of caller by refusing the youngest request
// of the caller that has most waiting, unless that is caller itself.
func (q *classQueue) evictFor(caller string) bool {
	own := 0
	if cq := q.callers[caller]; cq != nil {
		own = cq.waits.Len()
	}
	var longest *callerQueue
	for _, cq := range q.callers {
		if longest == nil || cq.waits.Len() > longest.waits.Len() {
			longest = cq
		}
	}
	if longest == nil || longest.waits.Len() <= own+1 {
		return false
	}
	victim := longest.waits.Back().Value.(*waiter)
	q.remove(victim)
	victim.done <- outcome.NotRun{Reason: outcome.QueueFull}
	return true
}
