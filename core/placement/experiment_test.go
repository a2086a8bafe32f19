package placement

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"siskinknot/core/request"
)

// An experiment plays a load to targets whose keys are placed by Plan and Heat,
// and counts what callers get. Time is simulated; nothing but the targets, the
// callers and the transport of messages is made up.

// Times of what is made up.
const (
	reportEvery = 600 * time.Millisecond
	planPeriod  = 500 * time.Millisecond
	// yieldTime is the way of a plan to its owner, and writeTime the change of the
	// directory and the grant at the next owner.
	yieldTime = 5 * time.Millisecond
	writeTime = 30 * time.Millisecond
	// heldTime is the longest time that a request waits for keys which move.
	heldTime = 200 * time.Millisecond
	// refusedPause is the mean pause of a refused caller before its only retry.
	refusedPause = 100 * time.Millisecond
)

// hotStretch is a time in which a share of the requests is for a few neighbours.
type hotStretch struct {
	at, until time.Duration
	share     float64
	first     uint16
	keys      int
}

// experiment is a load and the targets that it is played to.
type experiment struct {
	slots int
	// speeds are the targets' times for a request in relation to the mean.
	speeds    []float64
	perSecond float64
	service   time.Duration
	objective time.Duration
	// skew is the exponent of the keys' popularity, which falls from popular on.
	skew    float64
	popular uint16
	hot     []hotStretch
	length  time.Duration
	// plan is the policy; nil for none.
	plan func([]Load) []Move
}

// outcomes are what callers got.
type outcomes struct {
	asked, inTime, late, refused int
	// busy is the target time that each target was asked for in each second.
	busy [][]float64
	// moved is the number of keys that changed their owner, over all keys.
	moved float64
	moves int
}

// served returns the share of the requests that were answered within their
// objective.
func (o *outcomes) served() float64 { return float64(o.inTime) / float64(o.asked) }

// imbalance returns the busiest target's load over the mean from second first to
// second last.
func (o *outcomes) imbalance(first, last int, speeds []float64) float64 {
	most, all := 0.0, 0.0
	for i := range speeds {
		sum := 0.0
		for s := first; s < last; s++ {
			sum += o.busy[s][i]
		}
		most = max(most, sum)
		all += sum
	}
	return most / (all / float64(len(speeds)))
}

// player is an experiment under way.
type player struct {
	experiment
	rng     *rand.Rand
	now     time.Time
	start   time.Time
	events  eventHeap
	targets []*playedTarget
	// owners holds the target of each key.
	owners [65536]uint8
	// opens holds when keys that are being moved are served again.
	opens map[uint16]time.Time
	out   outcomes
	cdf   []float64
}

// playedTarget is a target, with what its daemon knows.
type playedTarget struct {
	addr    netip.AddrPort
	speed   float64
	running map[*playedRequest]time.Time
	queue   []*playedRequest
	demand  Demand
	heat    *Heat
	ranges  []playedRange
	moving  int
	report  Load
}

// playedRange is a range of keys of a target.
type playedRange struct {
	Stretch
	since   time.Time
	closing bool
}

// playedRequest is a request.
type playedRequest struct {
	key       uint16
	objective time.Time
	retried   bool
}

// event is something that happens.
type event struct {
	at  time.Time
	run func()
}

// eventHeap is a heap of events, the earliest first.
type eventHeap []event

func (h eventHeap) Len() int           { return len(h) }
func (h eventHeap) Less(i, j int) bool { return h[i].at.Before(h[j].at) }
func (h eventHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)        { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// play plays the experiment with a seed.
func (e experiment) play(seed uint64) outcomes {
	p := &player{experiment: e, rng: rand.New(rand.NewPCG(seed, 7)), start: time.Unix(1000, 0), opens: map[uint16]time.Time{}}
	p.now = p.start
	p.out.busy = make([][]float64, int(e.length.Seconds())+1)
	for i := range p.out.busy {
		p.out.busy[i] = make([]float64, len(e.speeds))
	}
	p.cdf = make([]float64, 65536)
	sum := 0.0
	for i := range p.cdf {
		sum += math.Pow(float64(i+1), -e.skew)
		p.cdf[i] = sum
	}
	width := 65536 / len(e.speeds)
	for i, speed := range e.speeds {
		first, last := i*width, (i+1)*width-1
		if i == len(e.speeds)-1 {
			last = 65535
		}
		t := &playedTarget{
			addr: server(i + 1), speed: speed, running: map[*playedRequest]time.Time{}, demand: NewDemand(), heat: NewHeat(p.now),
			ranges: []playedRange{{Stretch: Stretch{First: uint16(first), Last: uint16(last)}}},
		}
		p.targets = append(p.targets, t)
		for key := first; key <= last; key++ {
			p.owners[key] = uint8(i)
		}
		p.at(time.Duration(p.rng.Int64N(int64(reportEvery))), func() { p.tell(t) })
	}
	p.at(0, p.arrive)
	p.at(planPeriod/2, p.replan)
	for len(p.events) > 0 {
		next := heap.Pop(&p.events).(event)
		p.now = next.at
		if p.now.Sub(p.start) > e.length {
			break
		}
		next.run()
	}
	return p.out
}

// at runs f after d.
func (p *player) at(d time.Duration, f func()) { heap.Push(&p.events, event{p.now.Add(d), f}) }

// arrive brings a request, and the next one.
func (p *player) arrive() {
	p.at(time.Duration(p.rng.ExpFloat64()/p.perSecond*float64(time.Second)), p.arrive)
	p.out.asked++
	p.send(&playedRequest{key: p.key(), objective: p.now.Add(p.objective)})
}

// key draws a key.
func (p *player) key() uint16 {
	passed := p.now.Sub(p.start)
	for _, h := range p.hot {
		if passed >= h.at && passed < h.until && p.rng.Float64() < h.share {
			return h.first + uint16(p.rng.IntN(h.keys))
		}
	}
	i, _ := slices.BinarySearch(p.cdf, p.rng.Float64()*p.cdf[len(p.cdf)-1])
	return p.popular + uint16(min(i, 65535))
}

// send brings a request to the daemon of its key's owner.
func (p *player) send(r *playedRequest) {
	if opens, moving := p.opens[r.key]; moving {
		if wait := opens.Sub(p.now); wait <= heldTime {
			p.at(wait+time.Microsecond, func() { p.send(r) })
			return
		}
		p.refuse(r)
		return
	}
	t := p.targets[p.owners[r.key]]
	t.heat.Add(p.now, r.key, t.demand.Arrived(p.now, request.Lookup))
	p.out.busy[int(p.now.Sub(p.start).Seconds())][p.owners[r.key]] += t.speed * p.service.Seconds()
	mean := max(t.demand.MeanService(), p.service/2)
	switch {
	case len(t.running) < p.slots:
		p.run(t, r)
	case p.now.Add(mean + time.Duration(float64(mean)*float64(len(t.queue)+1)/float64(p.slots))).After(r.objective):
		p.refuse(r)
	default:
		t.queue = append(t.queue, r)
	}
}

// refuse ends a request, or lets its caller try again.
func (p *player) refuse(r *playedRequest) {
	if r.retried {
		p.out.refused++
		return
	}
	r.retried = true
	p.at(refusedPause/2+time.Duration(p.rng.Int64N(int64(refusedPause))), func() { p.send(r) })
}

// run runs a request at a target.
func (p *player) run(t *playedTarget, r *playedRequest) {
	const spread = 0.5
	took := time.Duration(float64(p.service) * t.speed * math.Exp(spread*p.rng.NormFloat64()-spread*spread/2))
	t.running[r] = p.now.Add(took)
	p.at(took, func() {
		delete(t.running, r)
		t.demand.Served(request.Lookup, took)
		if p.now.After(r.objective) {
			p.out.late++
		} else {
			p.out.inTime++
		}
		for len(t.queue) > 0 && len(t.running) < p.slots {
			next := t.queue[0]
			t.queue = t.queue[1:]
			if p.targets[p.owners[next.key]] != t || p.now.Add(t.demand.MeanService()).After(next.objective) {
				p.refuse(next)
				continue
			}
			p.run(t, next)
		}
	})
}

// tell takes a target's report to the planner.
func (p *player) tell(t *playedTarget) {
	p.at(reportEvery, func() { p.tell(t) })
	t.report = Load{
		Member: t.addr, Accepting: true, Slots: p.slots,
		Demand: t.demand.PerSecond(p.now), Service: t.demand.MeanService(),
	}
}

// replan makes a plan.
func (p *player) replan() {
	p.at(planPeriod, p.replan)
	if p.plan == nil {
		return
	}
	var loads []Load
	for _, t := range p.targets {
		if t.report.Member.IsValid() {
			loads = append(loads, t.report)
		}
	}
	for _, move := range p.plan(loads) {
		p.at(yieldTime, func() { p.yield(move) })
	}
}

// yield passes keys on.
func (p *player) yield(move Move) {
	from := p.targets[slices.IndexFunc(p.targets, func(t *playedTarget) bool { return t.addr == move.From })]
	to := slices.IndexFunc(p.targets, func(t *playedTarget) bool { return t.addr == move.To })
	if from.moving >= MostMoves {
		return
	}
	var movable []int
	var ranges []Stretch
	for i, r := range from.ranges {
		if !r.closing && p.now.Sub(r.since) >= RestTime {
			movable = append(movable, i)
			ranges = append(ranges, r.Stretch)
		}
	}
	i, part, ok := from.heat.Choose(p.now, ranges, len(from.ranges), move.Demand)
	if !ok {
		return
	}
	from.moving++
	from.close(movable[i], part)
	opens := p.now
	for r, ends := range from.running {
		if part.First <= r.key && r.key <= part.Last && ends.After(opens) {
			opens = ends
		}
	}
	opens = opens.Add(writeTime)
	for key := int(part.First); key <= int(part.Last); key++ {
		p.opens[uint16(key)] = opens
	}
	p.at(opens.Sub(p.now), func() {
		from.moving--
		from.demand.Take(p.now, from.heat.Demand(p.now, part.First, part.Last))
		from.ranges = slices.DeleteFunc(from.ranges, func(r playedRange) bool { return r.closing && r.First == part.First })
		p.targets[to].ranges = append(p.targets[to].ranges, playedRange{Stretch: part, since: p.now})
		for key := int(part.First); key <= int(part.Last); key++ {
			delete(p.opens, uint16(key))
			p.owners[key] = uint8(to)
		}
		p.out.moves++
		p.out.moved += float64(int(part.Last)-int(part.First)+1) / 65536
	})
}

// close cuts part out of the range at index i and closes it.
func (t *playedTarget) close(i int, part Stretch) {
	r := t.ranges[i]
	t.ranges = slices.Delete(t.ranges, i, i+1)
	add := func(first, last int, closing bool) {
		if first <= last {
			piece := r
			piece.First, piece.Last, piece.closing = uint16(first), uint16(last), closing
			t.ranges = append(t.ranges, piece)
		}
	}
	add(int(r.First), int(part.First)-1, false)
	add(int(part.First), int(part.Last), true)
	add(int(part.Last)+1, int(r.Last), false)
}
