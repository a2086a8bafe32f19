// Package decay measures exponentially decaying rates: an amount counts in full
// when it is added, and half as much after each half-life. Such a rate follows
// recent changes without storing past amounts.
//
// # Usage
//
//	used := decay.Rate{HalfLife: time.Second}
//	used.Add(now, took.Seconds())
//	slots := used.PerSecond(now)
package decay

import (
	"math"
	"time"
)

// Rate is an exponentially decaying rate, in units of the added amounts per second.
// HalfLife must be set before the first use. Rate is not safe for concurrent use.
type Rate struct {
	// HalfLife is the time after which an amount counts half.
	HalfLife time.Duration
	// sum is the decayed sum of all amounts at the time at.
	sum float64
	at  time.Time
}

// Add adds amount at now. A negative amount is subtracted from the decayed sum,
// which does not fall below 0.
func (r *Rate) Add(now time.Time, amount float64) {
	r.advance(now)
	r.sum = max(0, r.sum+amount)
}

// PerSecond returns the rate at now, as an amount per second. A time before the
// latest one passed to a method does not change the rate.
func (r *Rate) PerSecond(now time.Time) float64 {
	r.advance(now)
	return r.sum / r.window()
}

// Subtract subtracts perSecond, an amount per second, from the rate, which does
// not fall below 0.
func (r *Rate) Subtract(now time.Time, perSecond float64) { r.Add(now, -perSecond*r.window()) }

// window returns the length of the window that the sum corresponds to, in seconds:
// a constant rate r leads to a sum of r times the window.
func (r *Rate) window() float64 { return r.HalfLife.Seconds() / math.Ln2 }

// advance decays the sum to the time now. It does nothing if now is not after at.
func (r *Rate) advance(now time.Time) {
	if elapsed := now.Sub(r.at); elapsed > 0 {
		r.sum *= math.Exp2(-elapsed.Seconds() / r.HalfLife.Seconds())
		r.at = now
	}
}
