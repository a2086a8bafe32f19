// Package decay measures rates whose past counts less the longer ago it is.
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

// Rate is the rate at which an amount accrues. It is not safe for concurrent use.
type Rate struct {
	// HalfLife is the time in which an amount counts half.
	HalfLife time.Duration
	// sum is the amount as of at.
	sum float64
	at  time.Time
}

// Add notes that amount accrued at now; a negative amount takes back what has
// accrued, down to nothing.
func (r *Rate) Add(now time.Time, amount float64) {
	r.advance(now)
	r.sum = max(0, r.sum+amount)
}

// PerSecond returns the amount that accrues a second.
func (r *Rate) PerSecond(now time.Time) float64 {
	r.advance(now)
	return r.sum / r.window()
}

// Take takes back what accrues at a rate of perSecond.
func (r *Rate) Take(now time.Time, perSecond float64) { r.Add(now, -perSecond*r.window()) }

// window returns the time that the sum stands for, in seconds.
func (r *Rate) window() float64 { return r.HalfLife.Seconds() / math.Ln2 }

// advance makes the sum one as of now.
func (r *Rate) advance(now time.Time) {
	if passed := now.Sub(r.at); passed > 0 {
		r.sum *= math.Exp2(-passed.Seconds() / r.HalfLife.Seconds())
		r.at = now
	}
}
