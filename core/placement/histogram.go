// Package placement balances the load of a divided service among the owners of
// its keys. It decides how much demand moves between owners, and which of an
// owner's keys move for it.
//
// Load is uneven and changes over time: a few neighbouring keys get much of the
// traffic, targets differ in speed, and targets join and leave. Placement works
// in two steps. A planner compares the demand that members report, and asks an
// overloaded owner to transfer given amounts of demand to the members with the
// most spare capacity (Plan). The owner, which alone measures the load of each
// range of its keys (LoadHistogram), selects the ranges that match
// (LoadHistogram.Choose). Therefore each report has a bounded size, whatever
// the number of keys.
//
// # Usage
//
//	histogram.Add(now, key, demand.RecordArrival(now, class))
//	moves := placement.Plan(loads)
//	i, part, ok := histogram.Choose(now, ranges, len(ranges), move.Demand)
package placement

import (
	"math"
	"time"
)

const (
	// bucketKeys is the number of keys in a bucket of the load histogram. It is
	// small enough to divide a hot range of 60 keys among several targets.
	bucketKeys = 8
	buckets    = 65536 / bucketKeys
	// loadHalfLife is the time after which load counts half. With it, a hot range
	// shows within a second, but a single request makes little difference.
	loadHalfLife = time.Second
	// maxRanges is the number of ranges above which a member moves only whole
	// ranges, since each range has a grant that must be renewed.
	maxRanges = 24
)

// MinMoveInterval is the minimum time between two moves of the same keys.
// Without it, a range with enough load to overload any owner would move back
// and forth, and its callers would wait during each move.
const MinMoveInterval = time.Second

// LoadHistogram is a histogram of the recent load over the keys: the target
// time that was requested for each bucket of keys, as Demand counts it. It does
// not count the time that the target spent, which shows only a part of the load
// of a range that overloads its target. LoadHistogram is not safe for
// concurrent use.
type LoadHistogram struct {
	// load is the target time requested for each bucket, in seconds times the
	// scale at the time of the request.
	load    [buckets]float32
	scaleAt time.Time
	// scale is the weight of a request that arrives at scaleAt. It grows with time,
	// so that older requests weigh relatively less.
	scale float64
}

// NewLoadHistogram returns an empty load histogram.
func NewLoadHistogram(now time.Time) *LoadHistogram { return &LoadHistogram{scaleAt: now, scale: 1} }

// Add records a request for key that arrived at now and needs targetTime.
func (h *LoadHistogram) Add(now time.Time, key uint16, targetTime time.Duration) {
	h.advance(now)
	h.load[key/bucketKeys] += float32(targetTime.Seconds() * h.scale)
}

// advance raises the weight of requests that arrive at now relative to that of
// older requests.
func (h *LoadHistogram) advance(now time.Time) {
	const limit = 1e6
	passed := now.Sub(h.scaleAt)
	if passed <= 0 {
		return
	}
	h.scaleAt = now
	h.scale *= math.Exp2(passed.Seconds() / loadHalfLife.Seconds())
	if h.scale < limit {
		return
	}
	for i := range h.load {
		h.load[i] /= float32(h.scale)
	}
	h.scale = 1
}

// perSecond converts a sum of bucket loads to seconds of target time per second.
func (h *LoadHistogram) perSecond(sum float64) float64 {
	window := loadHalfLife.Seconds() / math.Ln2
	return sum / h.scale / window
}

// Demand returns the demand of the keys from first to last, both included, in
// seconds of target time per second. Buckets at the ends count in full.
func (h *LoadHistogram) Demand(now time.Time, first, last uint16) float64 {
	h.advance(now)
	sum := 0.0
	for i := first / bucketKeys; i <= last/bucketKeys; i++ {
		sum += float64(h.load[i])
	}
	return h.perSecond(sum)
}

// KeyRange is a range of keys, from First to Last, both included, and its demand in
// seconds of target time per second.
type KeyRange struct {
	First, Last uint16
	Demand      float64
}

// Pick returns the narrowest range of keys between first and last with about the
// given demand, in seconds of target time per second: between 0.75 and 1.25 times
// that demand. A narrow range moves few keys, and most of a target's load usually
// comes from a few neighbouring keys. Pick reports false if no range matches, or
// only the whole range from first to last.
func (h *LoadHistogram) Pick(now time.Time, first, last uint16, demand float64) (KeyRange, bool) {
	const minShare, maxShare = 0.75, 1.25 // of demand
	h.advance(now)
	best, found := KeyRange{}, false
	low, sum := int(first)/bucketKeys, 0.0
	for high := low; high <= int(last)/bucketKeys; high++ {
		sum += float64(h.load[high])
		for low < high && h.perSecond(sum-float64(h.load[low])) >= demand*minShare {
			sum -= float64(h.load[low])
			low++
		}
		r := KeyRange{
			First:  uint16(max(low*bucketKeys, int(first))),
			Last:   uint16(min((high+1)*bucketKeys-1, int(last))),
			Demand: h.perSecond(sum),
		}
		if r.Demand < demand*minShare || r.Demand > demand*maxShare || (r.First == first && r.Last == last) {
			continue
		}
		if !found || r.Last-r.First < best.Last-best.First {
			best, found = r, true
		}
	}
	return best, found
}

// Choose selects the keys that move if about demand has to move, in seconds of
// target time per second: the narrowest part of one of ranges that Pick finds, or a
// whole range with about that demand. owned is the number of all ranges that the
// member owns; a member does not move its only range as a whole. Choose returns the
// index of the selected range in ranges and the part of it that moves. It reports
// false if nothing matches.
func (h *LoadHistogram) Choose(now time.Time, ranges []KeyRange, owned int, demand float64) (int, KeyRange, bool) {
	const minShare, maxShare = 0.5, 1.25 // of demand, for a whole range
	var best KeyRange
	from := -1
	for i, r := range ranges {
		part, ok := h.Pick(now, r.First, r.Last, demand)
		if whole := h.Demand(now, r.First, r.Last); !ok && whole > minShare*demand && whole < maxShare*demand && owned > 1 {
			part, ok = KeyRange{First: r.First, Last: r.Last, Demand: whole}, true
		}
		if ok && (from < 0 || part.Last-part.First < best.Last-best.First) {
			best, from = part, i
		}
	}
	if from < 0 || (owned > maxRanges && best.Last-best.First != ranges[from].Last-ranges[from].First) {
		return 0, KeyRange{}, false
	}
	return from, best, true
}

// Divide splits the range from first to last into one part for each weight, in
// order, with loads in proportion to the weights. A part without keys has a First
// that is greater than its Last. Keys without any load are divided by their number.
// Demand is not set in the parts.
func (h *LoadHistogram) Divide(now time.Time, first, last uint16, weights []float64) []KeyRange {
	h.advance(now)
	low, high := int(first)/bucketKeys, int(last)/bucketKeys
	rangeLoad, totalWeight := 0.0, 0.0
	for i := low; i <= high; i++ {
		rangeLoad += float64(h.load[i])
	}
	for _, w := range weights {
		totalWeight += w
	}
	// Every bucket counts with a minimum load, so that idle keys are divided too.
	floor := max(rangeLoad*0.1, 1e-9) / float64(high-low+1)
	totalLoad := rangeLoad + floor*float64(high-low+1)
	parts := make([]KeyRange, 0, len(weights))
	next, bucket, sum, share := int(first), low, 0.0, 0.0
	for i, w := range weights {
		share += w
		for bucket <= high && sum < totalLoad*share/totalWeight-floor/2 {
			sum += float64(h.load[bucket]) + floor
			bucket++
		}
		end := min(bucket*bucketKeys-1, int(last))
		if i == len(weights)-1 {
			end = int(last)
		}
		if w == 0 || end < next {
			parts = append(parts, KeyRange{First: 1, Last: 0})
			continue
		}
		parts = append(parts, KeyRange{First: uint16(next), Last: uint16(end)})
		next = end + 1
	}
	if next <= int(last) {
		for i := len(parts) - 1; i >= 0; i-- {
			if parts[i].First <= parts[i].Last {
				parts[i].Last = last
				break
			}
		}
	}
	return parts
}
