// Package ratelimit limits the rate at which events happen. It is a token bucket: an
// event takes a token, tokens arrive at the rate of the limit, and the bucket holds the
// tokens of a short time, so that a limit is used fully although events are uneven.
//
// In every interval of length d at most rate*(d+burstTime)+2 events happen, whatever
// happened before, as long as the rate does not change. The events of a paced limit are
// spaced evenly: the bucket holds one token.
//
// # Usage
//
//	limiter := ratelimit.Limiter{}
//	limiter.Set(now, 20) // events per second
//	if limiter.Allows(now) {
//		limiter.Take(now)
//	}
package ratelimit

import "time"

const (
	// burstTime is the time whose tokens the bucket holds.
	burstTime = 500 * time.Millisecond
	// minRate is the lowest rate, in events per second. A limit of 0 is applied as this
	// rate, because its end becomes known only through an event.
	minRate = 0.5
)

// Limiter limits the rate of events. The zero value has no limit. It is not safe for
// concurrent use.
type Limiter struct {
	limited bool
	// paced is set if the bucket holds one token only.
	paced bool
	rate  float64
	// tokens is the number of tokens at the time at.
	tokens float64
	at     time.Time
}

// Set changes the limit to rate events per second. A Limiter that had no limit starts
// with one token.
func (l *Limiter) Set(now time.Time, rate float64) {
	l.advance(now)
	if !l.limited {
		l.limited, l.tokens, l.at = true, 1, now
	}
	l.rate, l.paced = max(rate, minRate), false
	l.tokens = min(l.tokens, l.capacity())
}

// SetPaced changes the limit to rate events per second that are spaced evenly, the first one
// not before delay has passed.
func (l *Limiter) SetPaced(now time.Time, rate float64, delay time.Duration) {
	l.Set(now, rate)
	l.paced = true
	l.tokens = min(l.tokens, 1-l.rate*delay.Seconds())
}

// Clear removes the limit.
func (l *Limiter) Clear() { *l = Limiter{} }

// Rate returns the limit that is applied, in events per second, and whether there is one.
func (l *Limiter) Rate() (perSecond float64, limited bool) { return l.rate, l.limited }

// Allows reports whether an event may happen at now.
func (l *Limiter) Allows(now time.Time) bool { return l.Wait(now, 1) <= 0 }

// Take takes the token of an event that happens at now.
func (l *Limiter) Take(now time.Time) {
	l.advance(now)
	if l.limited {
		l.tokens--
	}
}

// Return returns the token of an event that did not happen after all.
func (l *Limiter) Return(now time.Time) {
	l.advance(now)
	if l.limited {
		l.tokens = min(l.tokens+1, l.capacity())
	}
}

// Wait returns how long it takes from now until n tokens are available, if none are
// taken meanwhile. It is 0 if they are, or if there is no limit.
func (l *Limiter) Wait(now time.Time, n float64) time.Duration {
	l.advance(now)
	if !l.limited || l.tokens >= n {
		return 0
	}
	return time.Duration((n - l.tokens) / l.rate * float64(time.Second))
}

// capacity returns the number of tokens that the bucket holds.
func (l *Limiter) capacity() float64 {
	if l.paced {
		return 1
	}
	return max(1, l.rate*burstTime.Seconds())
}

// advance adds the tokens that have arrived until now. It does nothing if now is not
// after the latest time passed to a method.
func (l *Limiter) advance(now time.Time) {
	elapsed := now.Sub(l.at)
	if !l.limited || elapsed <= 0 {
		return
	}
	l.tokens = min(l.tokens+l.rate*elapsed.Seconds(), l.capacity())
	l.at = now
}
