// Package overload decides which share of its callers' requests a daemon accepts while its
// process is short of processor time.
//
// The load that it answers: requests need more processor time than the process gets, because
// there are more of them, because they cost more, or because the VM is slower. Without a limit
// each request is accepted and waits for the processor at each of its steps. The waits add up
// until nearly all requests end at their deadlines, and heartbeats, renewals of leases and new
// configurations are late as well, so that the fleet fences members that are well.
//
// What is measured is how long goroutines wait for the processor, as the mean of each interval.
// The process is overloaded once that exceeds MaxWait in several intervals in a row: a garbage
// collection exceeds it in one. The share is then reduced by as much as the wait exceeds MaxWait,
// and raised by equal steps when it does not. Requests are rejected at random, so that all callers
// and routes get the same share. It never falls to zero, since only requests show the end of the
// overload.
//
// # Usage
//
//	var c overload.Controller
//	if c.Due(now) {
//		c.Observe(now, meanWait)
//	}
//	if rand.Float64() >= c.Share() {
//		return rejected
//	}
package overload

import "time"

const (
	// MaxWait is the mean wait of goroutines for the processor above which the process is
	// overloaded. A request waits ten to twenty times.
	MaxWait = 10 * time.Millisecond
	// Interval is the time between two observations.
	Interval = 100 * time.Millisecond
	// persistence is the number of intervals in a row that show an overload before requests are
	// rejected.
	persistence = 3
	// minShare is the lowest share of callers' requests, and forwardedFrom the share below which
	// forwarded requests are rejected, too.
	minShare      = 0.02
	forwardedFrom = 0.25
	// minFactor and maxFactor limit what the share is multiplied by in an interval of overload.
	minFactor = 0.5
	maxFactor = 0.95
	// step is what is added to the share in any other interval.
	step = 0.04
)

// Controller holds the share of the requests that are accepted. The zero value accepts all. It is
// not safe for concurrent use.
type Controller struct {
	// rejected is the share of the requests that are rejected.
	rejected   float64
	observedAt time.Time
	// exceeded is the number of intervals in a row in which the wait exceeded MaxWait.
	exceeded int
}

// Due reports whether an interval has passed since the last observation.
func (c *Controller) Due(now time.Time) bool { return now.Sub(c.observedAt) >= Interval }

// Observe records the mean wait since the last observation.
func (c *Controller) Observe(now time.Time, wait time.Duration) {
	c.observedAt = now
	if wait <= MaxWait {
		c.exceeded = 0
		c.rejected = max(0, c.rejected-step)
		return
	}
	if c.exceeded++; c.exceeded < persistence {
		return
	}
	factor := min(max(float64(MaxWait)/float64(wait), minFactor), maxFactor)
	c.rejected = 1 - max(minShare, c.Share()*factor)
}

// Share returns the share of the requests that are to be accepted, above 0 and at most 1.
func (c *Controller) Share() float64 { return 1 - c.rejected }

// ForwardedShare is Share for requests that another daemon has accepted. They are rejected only
// once few callers' requests are left to reject, as the other daemon's work on them is lost.
func (c *Controller) ForwardedShare() float64 { return min(1, c.Share()/forwardedFrom) }
