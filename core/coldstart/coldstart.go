// Package coldstart limits the requests that are sent to a target while it is cold. A target
// is cold for a while after its start, and may become cold again at any moment. A cold target
// crashes well above the rate that it sustains.
//
//   - The limit. While the target is cold, a request is sent only if, together with it, at most
//     the configured number was sent in the last second, counting those that were sent before
//     the target was known to be cold. A request that did not arrive is removed from the count
//     (Forget). Requests before the creation of the Limiter are not known, so that the second
//     after it counts as full.
//   - The cold state. A target reports in heartbeats and in the responses to health checks how
//     much longer it is cold. Without a report the target is assumed to be cold for the
//     configured time after its start, and after events that may have made it cold (Assume).
//   - Order. A health check shows the state at a moment after it was sent, so one that was sent
//     after the event that led to an assumption ends it. A heartbeat may be late, so one that
//     arrives within heartbeatDelay of the event can only extend the time. The heartbeats of a
//     process come in order, and say more than the fact that it has started.
//   - Health checks have a cost. CheckDue limits them to the time in which the cold state is
//     assumed; their interval doubles while they fail, since a failing one changes nothing.
//
// A Limiter without a configured rate never limits anything.
//
// Alternative considered: a token bucket alone (package ratelimit). It allows a burst after the
// limit begins, and knows nothing of the requests before.
//
// # Usage
//
//	l := coldstart.New(now)
//	l.Configure(17, 20*time.Second)
//	l.ObserveStart(now)
//	if wait := l.Send(now); wait > 0 {
//		// not sent: there is room after wait
//	}
package coldstart

import (
	"math"
	"sync"
	"time"
)

// Bounds of the configuration and of reported times.
const (
	// MinRate and MaxRate are the bounds of the rate of cold targets, in requests per second.
	// A lower rate than one would need a longer window.
	MinRate = 1
	MaxRate = 10_000
	// MaxColdTime is the longest time for which a target is taken to be cold after a report
	// or an event.
	MaxColdTime = time.Minute
)

const (
	// heartbeatDelay is how old a heartbeat may be when it arrives. Heartbeats that were 1.7 s
	// late have been seen.
	heartbeatDelay = 2 * time.Second
	// minCheckInterval and maxCheckInterval are the limits of the time between health checks.
	minCheckInterval = 250 * time.Millisecond
	maxCheckInterval = 2 * time.Second
)

// Source is what the cold state of a target is known from.
type Source string

// Sources of the cold state.
const (
	Unknown       Source = ""
	Started       Source = "start"          // a new process, which has not reported its state
	Returned      Source = "return"         // the target was down and answers again
	EvacuationEnd Source = "evacuation end" // the state may have changed during the evacuation
	Heartbeat     Source = "heartbeat"
	HealthCheck   Source = "health check"
)

// assumed reports whether the state is assumed rather than reported by the target.
func (s Source) assumed() bool { return s == Started || s == Returned || s == EvacuationEnd }

// State is the cold state of a target.
type State struct {
	// Cold is set while the target is cold and a rate is configured. Left is for how much
	// longer, and Rate the requests per second that it sustains.
	Cold bool
	Left time.Duration
	Rate float64
	// Source is what the state is known from, and Assumed is set if the target has not
	// reported it.
	Source  Source
	Assumed bool
}

// Limiter limits the requests to one target. It is safe for concurrent use.
type Limiter struct {
	mu sync.Mutex
	// rate is the number of requests per second that a cold target sustains, or 0 for no
	// limit, and coldTime how long a target is cold after its start.
	rate     float64
	coldTime time.Duration
	sent     window
	// source is what the state is known from, and since when it was seen. reported is how
	// long after since the state lasts that was reported; an assumed one may last longer.
	source   Source
	since    time.Time
	reported time.Duration
	// nextCheck is when the next health check may be sent, and checkInterval the time after
	// the last one.
	nextCheck     time.Time
	checkInterval time.Duration
}

// New returns a Limiter without a rate. Its window counts as full for one second from now on.
func New(now time.Time) *Limiter {
	return &Limiter{sent: window{fullUntil: now.Add(windowLength)}}
}

// Configure sets the rate of cold targets in requests per second, which is brought into its
// bounds, and how long targets are cold after their start. A rate that is not positive means
// that there is no limit.
func (l *Limiter) Configure(rate float64, coldTime time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rate, _ = BoundRate(rate)
	l.coldTime = boundTime(coldTime)
}

// BoundRate returns the rate of cold targets that is used for a configured one, 0 for none, and
// whether the configured one is absurd.
func BoundRate(rate float64) (bounded float64, absurd bool) {
	switch {
	case rate == 0:
		return 0, false
	case math.IsNaN(rate) || rate < 0:
		return 0, true
	}
	bounded = min(max(rate, MinRate), MaxRate)
	return bounded, bounded != rate
}

// boundTime returns d within 0 and MaxColdTime.
func boundTime(d time.Duration) time.Duration { return min(max(d, 0), MaxColdTime) }

// ObserveStart records that a new process of the target was first seen at now.
func (l *Limiter) ObserveStart(now time.Time) { l.Assume(now, Started) }

// Assume records that the target may be cold from now on, for the reason source.
func (l *Limiter) Assume(now time.Time, source Source) {
	l.mu.Lock()
	defer l.mu.Unlock()
	left := time.Duration(0)
	if source != Started { // otherwise the report was about another process
		left = boundTime(l.until().Sub(now))
	}
	l.source, l.since, l.reported = source, now, left
	l.nextCheck, l.checkInterval = now, 0
}

// ObserveHeartbeat records a heartbeat of the target's current process that arrived at now and
// says that the target is cold for left.
func (l *Limiter) ObserveHeartbeat(now time.Time, left time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	inOrder := l.source == Unknown || l.source == Heartbeat || l.source == Started || now.Sub(l.since) >= heartbeatDelay
	left = boundTime(left)
	if inOrder || now.Add(left).After(l.until()) {
		l.report(now, left, Heartbeat)
	}
}

// ObserveHealthCheck records a response of the target's current process to a health check that
// was sent at sentAt, which says that the target is cold for left.
func (l *Limiter) ObserveHealthCheck(sentAt time.Time, left time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.source == Unknown || !sentAt.Before(l.since) {
		l.report(sentAt, boundTime(left), HealthCheck)
	}
}

// report records a report. The caller holds the mutex.
func (l *Limiter) report(since time.Time, left time.Duration, source Source) {
	l.source, l.since, l.reported = source, since, left
	if left == 0 {
		l.source = Unknown
	}
}

// until returns when the target is no longer cold. The caller holds the mutex.
func (l *Limiter) until() time.Time {
	switch {
	case l.source == Unknown:
		return time.Time{}
	case l.source.assumed():
		return l.since.Add(max(l.coldTime, l.reported))
	default:
		return l.since.Add(l.reported)
	}
}

// State returns the cold state at now.
func (l *Limiter) State(now time.Time) State {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state(now)
}

// state is State for callers that hold the mutex.
func (l *Limiter) state(now time.Time) State {
	left := l.until().Sub(now)
	if l.rate == 0 || left <= 0 {
		return State{}
	}
	return State{Cold: true, Left: left, Rate: l.rate, Source: l.source, Assumed: l.source.assumed()}
}

// Send records that a request is sent at now and returns 0, or returns after how long there is
// room for it if the limit does not allow it. Calls that overlap must be in the order of now.
func (l *Limiter) Send(now time.Time) (wait time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if wait := l.wait(now); wait > 0 {
		return wait
	}
	l.sent.add(now)
	return 0
}

// Forget removes a request that was recorded at sentAt from the count: it did not reach the
// target, or the target does not count it.
func (l *Limiter) Forget(sentAt time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sent.remove(sentAt)
}

// Wait returns how long it takes from now until a request may be sent, if none is sent
// meanwhile. It is 0 if the target is not cold.
func (l *Limiter) Wait(now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.wait(now)
}

// wait is Wait for callers that hold the mutex.
func (l *Limiter) wait(now time.Time) time.Duration {
	state := l.state(now)
	if !state.Cold {
		return 0
	}
	return min(l.sent.wait(now, int(l.rate)), state.Left)
}

// CheckDue reports whether a health check is due at now, and records that it is sent if so. It
// is due while the cold state is assumed. next is when the next one is due, or zero.
func (l *Limiter) CheckDue(now time.Time) (due bool, next time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.state(now).Assumed {
		return false, time.Time{}
	}
	if now.Before(l.nextCheck) {
		return false, l.nextCheck
	}
	l.checkInterval = min(max(2*l.checkInterval, minCheckInterval), maxCheckInterval)
	l.nextCheck = now.Add(l.checkInterval)
	return true, l.nextCheck
}
