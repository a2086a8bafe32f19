package tenure

import (
	"math"
	"time"

	"siskinknot/core/directory"
)

// The lengths of leases. A target ends a request with an error when the request
// outlasts the grant that was in force when it began, and a grant never outlasts the
// lease. A longer lease therefore completes more requests, and makes the keys of a
// lost member wait longer. ChooseLease weighs the two.
const (
	// MaxLease is the length of the longest lease.
	MaxLease = 3700 * time.Millisecond
	// leaseStep is the difference between two lengths that ChooseLease considers.
	leaseStep = 500 * time.Millisecond
	// lossInterval is the mean time between two losses of the same member that a
	// lease is chosen for: that of a day with many faults.
	lossInterval = time.Minute
	// minGain is the share of requests that a longer lease must save. Each change
	// of length costs a change of the directory.
	minGain = 0.005
	// minSamples is the number of measured requests that a choice needs.
	minSamples = 32
)

// LeaseOf returns the length of the lease of m.
func LeaseOf(m *directory.Member) time.Duration { return max(m.Lease, MinLease) }

// ChooseLease returns the length of lease for a member whose requests take the
// measured times, and whose target gets its grants at the given interval. current is
// its present length; the result is not shorter.
//
// The cost of a length is the share of all requests that fail by it: those that
// outlast the grant in force when they begin, and those that arrive while the keys
// of a lost member wait. It serves steady load with faults; the load itself does not
// matter, since both shares are of the same requests.
func ChooseLease(current time.Duration, requests *ServiceTimes, grantInterval time.Duration) time.Duration {
	best := max(current, minLeaseFor(grantInterval))
	if requests.Unmeasured() {
		return best
	}
	bestCost := leaseCost(best, requests, grantInterval) - minGain
	for length := best + leaseStep; length <= MaxLease; length += leaseStep {
		if cost := leaseCost(length, requests, grantInterval); cost < bestCost {
			best, bestCost = length, cost
		}
	}
	return best
}

// minLeaseFor returns the length of the shortest lease with which a target keeps its
// keys when one of its grants, which it gets at the given interval, is lost.
func minLeaseFor(grantInterval time.Duration) time.Duration {
	length := MinLease
	for length < 2*grantInterval+RenewInterval {
		length += leaseStep
	}
	return length
}

// leaseCost returns the share of requests that fail with a lease of the given length.
func leaseCost(length time.Duration, requests *ServiceTimes, grantInterval time.Duration) float64 {
	// A request begins, on average, half an interval after the last grant, which
	// was given half an interval after the last renewal.
	remaining := length - (grantInterval+RenewInterval)/2
	return requests.Longer(remaining) + length.Seconds()/lossInterval.Seconds()
}

// ServiceTimes holds the distribution of the time that a target takes for a request.
// Older requests count less. It is not safe for concurrent use.
type ServiceTimes struct {
	// buckets counts the requests by time; bucket i holds those of up to
	// bucketLimit(i).
	buckets [numBuckets]float64
	count   float64
}

const (
	numBuckets  = 24
	firstBucket = 50 * time.Millisecond
	// bucketRatio is the ratio between the limits of two consecutive buckets.
	bucketRatio = 1.25
	// maxCount is the weight at which the counts are halved.
	maxCount = 2048
	// cutFactor is the estimated ratio between the time that a request would have
	// taken and the time after which the end of its grant cut it off.
	cutFactor = 1.5
)

// Add records a request that took the given time. cutOff is set if the target ended
// it because its grant expired.
func (s *ServiceTimes) Add(took time.Duration, cutOff bool) {
	if cutOff {
		took = time.Duration(float64(took) * cutFactor)
	}
	i := 0
	if took > firstBucket {
		i = int(math.Ceil(math.Log(float64(took)/float64(firstBucket)) / math.Log(bucketRatio)))
	}
	s.buckets[min(i, numBuckets-1)]++
	s.count++
	if s.count < maxCount {
		return
	}
	s.count /= 2
	for i := range s.buckets {
		s.buckets[i] /= 2
	}
}

// Unmeasured reports whether fewer requests were added than a choice needs.
func (s *ServiceTimes) Unmeasured() bool { return s.count < minSamples }

// Longer returns the share of the requests that took longer than limit. Requests
// whose bucket contains limit count as longer.
func (s *ServiceTimes) Longer(limit time.Duration) float64 {
	if s.count == 0 {
		return 0
	}
	longer := 0.0
	for i, n := range s.buckets {
		if bucketLimit(i) > limit {
			longer += n
		}
	}
	return longer / s.count
}

// bucketLimit returns the longest time that bucket i holds.
func bucketLimit(i int) time.Duration {
	return time.Duration(float64(firstBucket) * math.Pow(bucketRatio, float64(i)))
}
