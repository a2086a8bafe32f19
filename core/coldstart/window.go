package coldstart

import (
	"slices"
	"time"
)

const (
	// windowLength is the length of the interval in which requests are counted.
	windowLength = time.Second
	// maxEvents limits the memory of a window. A window that had to drop an event counts as
	// full until that event is windowLength old.
	maxEvents = 2 * MaxRate
)

// window records the times of the requests sent in the last windowLength.
type window struct {
	// events are in rising order.
	events []time.Time
	// fullUntil is until when the window counts as full, because requests before then are
	// not known.
	fullUntil time.Time
}

// add records a request that is sent at now. A time before that of the last request counts
// as the time of that request.
func (w *window) add(now time.Time) {
	w.expire(now)
	if n := len(w.events); n > 0 && now.Before(w.events[n-1]) {
		now = w.events[n-1]
	}
	if len(w.events) == maxEvents {
		w.fullUntil = w.events[0].Add(windowLength)
		w.events = w.events[1:]
	}
	w.events = append(w.events, now)
}

// remove removes a request that was recorded at sentAt and did not arrive.
func (w *window) remove(sentAt time.Time) {
	if i, found := slices.BinarySearchFunc(w.events, sentAt, time.Time.Compare); found {
		w.events = slices.Delete(w.events, i, i+1)
	}
}

// wait returns how long it takes from now until fewer than limit requests are in the window.
// limit is at least 1.
func (w *window) wait(now time.Time, limit int) time.Duration {
	w.expire(now)
	free := w.fullUntil
	if n := len(w.events); n >= limit {
		if at := w.events[n-limit].Add(windowLength); at.After(free) {
			free = at
		}
	}
	return max(0, free.Sub(now))
}

// expire removes the requests that have left the window.
func (w *window) expire(now time.Time) {
	expired := 0
	for expired < len(w.events) && now.Sub(w.events[expired]) >= windowLength {
		expired++
	}
	w.events = w.events[expired:]
}
