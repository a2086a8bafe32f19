// Package placement decides where the keys of a divided service live: which
// work moves between owners, and which part of an owner's keys makes up that
// work.
//
// It answers load that is uneven and shifts: a few neighbouring keys that draw
// much of the traffic, targets of different speed, targets that come and go. A
// planner compares the demand that members report, a bounded message from each,
// and asks an overloaded owner to pass amounts of work to those with most room
// (Plan). The owner alone knows the work of each stretch of its keys (Heat) and
// picks the parts that fit (Heat.Choose), so that no report grows with the number
// of keys.
//
// # Usage
//
//	heat.Add(now, key, demand.Arrived(now, class))
//	moves := placement.Plan(loads)
//	i, part, ok := heat.Choose(now, ranges, len(ranges), move.Demand)
package placement

import (
	"math"
	"time"
)

const (
	// bucketKeys is the resolution of Heat: a stretch of 60 hot keys has to be
	// divisible among several targets.
	bucketKeys = 8
	buckets    = 65536 / bucketKeys
	// heatHalfLife is the time in which old work counts half: a hot stretch has
	// to show within a second, and one request more or less may not.
	heatHalfLife = time.Second
	// mostRanges is how many ranges a member may have before only whole ones are
	// moved: each is a grant to renew.
	mostRanges = 24
)

// RestTime is how long keys stay after a move before they may move again: a
// stretch that is busy enough to overload its next owner would go from one to the
// other, and its callers wait each time.
const RestTime = time.Second

// Heat holds how much target time each stretch of keys has been asked for lately,
// as Demand counts it: of a stretch that is busier than its target, what the
// target has done shows a part only. It is not safe for concurrent use.
type Heat struct {
	busy    [buckets]float32
	scaleAt time.Time
	// scale is the weight of work done now; older work weighs less in relation.
	scale float64
}

// NewHeat returns a Heat without any work.
func NewHeat(now time.Time) *Heat { return &Heat{scaleAt: now, scale: 1} }

// Add notes that a request for key asks for busy of the target's time.
func (h *Heat) Add(now time.Time, key uint16, busy time.Duration) {
	h.advance(now)
	h.busy[key/bucketKeys] += float32(busy.Seconds() * h.scale)
}

// advance raises the weight of new work over that of old.
func (h *Heat) advance(now time.Time) {
	const limit = 1e6
	passed := now.Sub(h.scaleAt)
	if passed <= 0 {
		return
	}
	h.scaleAt = now
	h.scale *= math.Exp2(passed.Seconds() / heatHalfLife.Seconds())
	if h.scale < limit {
		return
	}
	for i := range h.busy {
		h.busy[i] /= float32(h.scale)
	}
	h.scale = 1
}

// perSecond turns a sum of weighted work into target time a second.
func (h *Heat) perSecond(sum float64) float64 {
	window := heatHalfLife.Seconds() / math.Ln2
	return sum / h.scale / window
}

// Demand returns the target time a second that the keys from first to last are
// asked for.
func (h *Heat) Demand(now time.Time, first, last uint16) float64 {
	h.advance(now)
	sum := 0.0
	for i := first / bucketKeys; i <= last/bucketKeys; i++ {
		sum += float64(h.busy[i])
	}
	return h.perSecond(sum)
}

// Stretch is a range of keys and the target time a second that it is asked for.
type Stretch struct {
	First, Last uint16
	Demand      float64
}

// Pick returns the narrowest stretch between first and last that is asked for about
// demand target time a second, between three quarters and one and a quarter of
// it. Narrow stretches move few keys: what makes a target busy is mostly a few
// neighbours. It reports false if there is none, or only the whole range.
func (h *Heat) Pick(now time.Time, first, last uint16, demand float64) (Stretch, bool) {
	const least, most = 0.75, 1.25
	h.advance(now)
	best, found := Stretch{}, false
	low, sum := int(first)/bucketKeys, 0.0
	for high := low; high <= int(last)/bucketKeys; high++ {
		sum += float64(h.busy[high])
		for low < high && h.perSecond(sum-float64(h.busy[low])) >= demand*least {
			sum -= float64(h.busy[low])
			low++
		}
		s := Stretch{
			First:  uint16(max(low*bucketKeys, int(first))),
			Last:   uint16(min((high+1)*bucketKeys-1, int(last))),
			Demand: h.perSecond(sum),
		}
		if s.Demand < demand*least || s.Demand > demand*most || (s.First == first && s.Last == last) {
			continue
		}
		if !found || s.Last-s.First < best.Last-best.First {
			best, found = s, true
		}
	}
	return best, found
}

// Choose picks the part of one of ranges that is to move, if about demand is to:
// the narrowest that Pick finds, or a whole range that uses so much. owned is how
// many ranges the member has in all. It returns the range's place in the list.
func (h *Heat) Choose(now time.Time, ranges []Stretch, owned int, demand float64) (int, Stretch, bool) {
	const least, most = 0.5, 1.25 // of the demand, in a whole range
	var best Stretch
	from := -1
	for i, r := range ranges {
		s, ok := h.Pick(now, r.First, r.Last, demand)
		if whole := h.Demand(now, r.First, r.Last); !ok && whole > least*demand && whole < most*demand && owned > 1 {
			s, ok = Stretch{First: r.First, Last: r.Last, Demand: whole}, true
		}
		if ok && (from < 0 || s.Last-s.First < best.Last-best.First) {
			best, from = s, i
		}
	}
	if from < 0 || (owned > mostRanges && best.Last-best.First != ranges[from].Last-ranges[from].First) {
		return 0, Stretch{}, false
	}
	return from, best, true
}

// Divide cuts the range from first to last into one stretch for each weight, in
// order, whose work is in the ratio of the weights. A stretch that would get no
// keys has its First after its Last. Stretches without any work are cut by their
// number of keys.
func (h *Heat) Divide(now time.Time, first, last uint16, weights []float64) []Stretch {
	h.advance(now)
	low, high := int(first)/bucketKeys, int(last)/bucketKeys
	work, total := 0.0, 0.0
	for i := low; i <= high; i++ {
		work += float64(h.busy[i])
	}
	for _, w := range weights {
		total += w
	}
	// Every bucket counts a little, so that cold keys are divided too.
	floor := max(work*0.1, 1e-9) / float64(high-low+1)
	whole := work + floor*float64(high-low+1)
	cuts := make([]Stretch, 0, len(weights))
	next, bucket, sum, share := int(first), low, 0.0, 0.0
	for i, w := range weights {
		share += w
		for bucket <= high && sum < whole*share/total-floor/2 {
			sum += float64(h.busy[bucket]) + floor
			bucket++
		}
		end := min(bucket*bucketKeys-1, int(last))
		if i == len(weights)-1 {
			end = int(last)
		}
		if w == 0 || end < next {
			cuts = append(cuts, Stretch{First: 1, Last: 0})
			continue
		}
		cuts = append(cuts, Stretch{First: uint16(next), Last: uint16(end)})
		next = end + 1
	}
	if next <= int(last) {
		for i := len(cuts) - 1; i >= 0; i-- {
			if cuts[i].First <= cuts[i].Last {
				cuts[i].Last = last
				break
			}
		}
	}
	return cuts
}
