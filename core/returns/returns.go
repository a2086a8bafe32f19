// Package returns decides when a rejected caller is told to return to a target.
//
// Each rejection reserves the time at which the target is expected to have capacity
// for it: after the work that waits, and after the returns reserved before, of the same
// and of higher priority levels. Callers that are rejected together are thus told
// different times. Reserved work expires when its time has passed.
//
//   - Room. New requests use the target first; nothing is held free for a return, since
//     not all callers come back and some come at once. What new requests leave is the
//     capacity for returns.
//   - No room. If new requests leave no capacity, no time has room before the load falls,
//     and nobody knows when that will be. The return is then spread over the time for
//     which the caller may wait: it gets the one of two random times at which less work
//     is reserved. Reserving the time with the least work of all puts nearly all returns
//     at the end of the time, where more of them are served after a long overload, but
//     fewer requests in time if the load alternates (docs/design/rejections.md).
//   - Limits. A caller waits no longer than a third of the time that it has left, whatever
//     it is told. If the expected time is later than its deadline it is told that time,
//     but the return is reserved for when the caller will come.
//
// # Usage
//
//	book := returns.NewBook()
//	retryAfter := book.Reserve(now, returns.Rejection{Priority: 1, Work: w, Waiting: q, Capacity: 12, Spare: 3, Left: left})
package returns

import (
	"math/rand/v2"
	"time"
)

const (
	// MinDelay keeps rejected callers from retrying at once.
	MinDelay = 50 * time.Millisecond
	// MaxDelay is the longest delay that a caller is told. Callers wait for less than
	// that, so that a longer one would tell them nothing more.
	MaxDelay = 10 * time.Second
	// callerWaitShare is the share of the time that it has left for which a caller waits
	// at most.
	callerWaitShare = 1.0 / 3
	// returnedWeight is the weight of the reservation of a request that has returned
	// before. Callers return twice, so that half of the requests that return and are
	// rejected do not return again.
	returnedWeight = 0.5
	// laterShare is the share of the time for which a caller may wait by which a level
	// returns later for each higher level that has returns reserved, up to
	// maxLaterShare.
	laterShare    = 0.2
	maxLaterShare = 0.6
	// slotTime is the time that one entry of a Book covers, and numSlots the number of
	// entries. A third of the longest usual timeouts, 5 s, fits several times.
	slotTime = 50 * time.Millisecond
	numSlots = 128
	// jitter is the maximum of the random time that is added to an expected time of room.
	// Callers of several targets with the same load would otherwise return together.
	jitter = slotTime / 2
	// minSpareShare is the share of the capacity that new requests have to leave free.
	// A smaller one is within the error of the measured rate of new requests.
	minSpareShare = 0.02
)

// Rejection is a rejected request and the state of the target that rejects it. Work is
// measured as the time for which it uses one slot of the target.
type Rejection struct {
	// Priority is the priority level of the request; 0 is the highest.
	Priority int
	// Work is the expected work of the request, and Waiting that of the requests that
	// run before it.
	Work, Waiting time.Duration
	// Capacity is the number of slots that the target works with, and Spare the part of
	// it that new requests of the level and of higher levels leave free. It is negative
	// if they ask for more than the capacity.
	Capacity, Spare float64
	// Left is the time until the deadline of the request.
	Left time.Duration
	// Returned is set if the request was rejected before.
	Returned bool
}

// window returns how long the caller waits at most.
func (r *Rejection) window() time.Duration {
	return max(MinDelay, time.Duration(float64(r.Left)*callerWaitShare))
}

// level holds the reserved work of one priority level.
type level struct {
	priority int
	// reserved is the work in seconds by time slot modulo numSlots, and total its sum.
	reserved [numSlots]float64
	total    float64
}

// Book holds the reserved returns to one target. It is not safe for concurrent use.
type Book struct {
	levels []*level
	// start is the start of slot 0, current the slot of the latest time passed to Reserve,
	// and elapsed how much of that slot has passed.
	start   time.Time
	current int
	elapsed time.Duration
}

// NewBook returns an empty Book.
func NewBook() *Book { return &Book{} }

// Reserve reserves the return of a request that is rejected at now, and returns the delay
// after which its caller should retry.
func (b *Book) Reserve(now time.Time, r Rejection) time.Duration {
	b.advance(now)
	delay, known := b.room(&r)
	if !known {
		delay = b.spread(&r)
	}
	delay = min(max(delay, MinDelay), MaxDelay)
	b.reserve(&r, delay)
	if known {
		delay = min(delay+rand.N(jitter), MaxDelay)
	}
	return delay
}

// reserve reserves the work of a return after delay, or when the caller will come if that
// is earlier. The jitter of a delay is not part of it: work that it puts into the next slot
// would leave room in this one for any number of returns.
func (b *Book) reserve(r *Rejection, delay time.Duration) {
	weight := 1.0
	if r.Returned {
		weight = returnedWeight
	}
	if comes := min(delay, r.window()); comes+r.Work < r.Left {
		l, work := b.levelOf(r.Priority), weight*r.Work.Seconds()
		l.reserved[b.entry(b.slotAfter(comes))] += work
		l.total += work
	}
}

// room returns the delay until the target is expected to have done the work that waits
// and the reserved work before that time. known is false if new requests leave no capacity
// for it.
func (b *Book) room(r *Rejection) (delay time.Duration, known bool) {
	if r.Spare <= r.Capacity*minSpareShare {
		return 0, false
	}
	perSlot := r.Spare * slotTime.Seconds()
	// The time begins with the current slot, of which a part has passed.
	work := r.Waiting.Seconds() + b.elapsed.Seconds()*r.Spare
	// Callers are told at least MinDelay, so that the slots before it get no returns.
	first := b.slotAfter(MinDelay)
	for i := range numSlots {
		work += b.reservedWork(r.Priority, i)
		if work < perSlot && i >= first {
			return time.Duration((float64(i)+work/perSlot)*float64(slotTime)) - b.elapsed, true
		}
		work = max(0, work-perSlot)
	}
	beyond := time.Duration(min(work/r.Spare, MaxDelay.Seconds()) * float64(time.Second))
	return min(MaxDelay, numSlots*slotTime+beyond), true
}

// spread returns the one of two random delays within the time that the caller waits at
// which less work of its level and of higher ones is reserved. Lower levels get later
// delays.
func (b *Book) spread(r *Rejection) time.Duration {
	window, higher := r.window(), 0
	for _, l := range b.levels {
		if l.priority < r.Priority && l.total > r.Work.Seconds()/2 {
			higher++
		}
	}
	from := max(MinDelay, time.Duration(float64(window)*min(laterShare*float64(higher), maxLaterShare)))
	delay, other := from+rand.N(window-from+1), from+rand.N(window-from+1)
	if b.reservedWork(r.Priority, b.slotAfter(other)) < b.reservedWork(r.Priority, b.slotAfter(delay)) {
		return other
	}
	return delay
}

// reservedWork returns the work, in seconds, that is reserved in the slot i slots after
// the current one for the level with the given priority and higher ones.
func (b *Book) reservedWork(priority, i int) float64 {
	sum := 0.0
	for _, l := range b.levels {
		if l.priority <= priority {
			sum += l.reserved[b.entry(i)]
		}
	}
	return sum
}

// slotAfter returns how many slots after the current one delay ends.
func (b *Book) slotAfter(delay time.Duration) int { return int((b.elapsed + delay) / slotTime) }

// entry returns the index of the entry for the slot i slots after the current one. Slots
// beyond the last one count as the last one.
func (b *Book) entry(i int) int { return (b.current + min(i, numSlots-1)) % numSlots }

// levelOf returns the level of a priority, and creates it if necessary.
func (b *Book) levelOf(priority int) *level {
	for _, l := range b.levels {
		if l.priority == priority {
			return l
		}
	}
	l := &level{priority: priority}
	b.levels = append(b.levels, l)
	return l
}

// advance removes the reserved work whose time has passed at now.
func (b *Book) advance(now time.Time) {
	if b.start.IsZero() {
		b.start = now
	}
	slot := int(now.Sub(b.start) / slotTime)
	for i := b.current; i < min(slot, b.current+numSlots); i++ {
		for _, l := range b.levels {
			l.total = max(0, l.total-l.reserved[i%numSlots])
			l.reserved[i%numSlots] = 0
		}
	}
	b.current = max(b.current, slot)
	b.elapsed = min(max(0, now.Sub(b.start)-time.Duration(b.current)*slotTime), slotTime)
}
