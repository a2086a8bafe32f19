package placement

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"siskinknot/core/request"
	"siskinknot/core/workload"
)

// An experiment simulates a load on targets whose keys are placed by Plan and
// LoadHistogram, and counts the outcomes of the requests. Time, the targets,
// the callers and the transport of messages are simulated; all else is the real
// code.

// Times of the simulated components.
const (
	// reportInterval is the time between two load reports of a target, and
	// planInterval that between two plans.
	reportInterval = 600 * time.Millisecond
	planInterval   = 500 * time.Millisecond
	// yieldDelay is the time until the owner receives a move of a plan. writeDelay
	// is the time to change the directory and to get the grant at the new owner.
	yieldDelay = 5 * time.Millisecond
	writeDelay = 30 * time.Millisecond
	// maxHold is the maximum time that a request waits for keys that are moving.
	maxHold = 200 * time.Millisecond
	// retryDelay is the mean delay before the only retry of a refused request.
	retryDelay = 100 * time.Millisecond
)

// hotRange is a range of neighbouring keys, starting at first. It receives share of
// the requests between at and until, which both count from the start of the
// experiment.
type hotRange struct {
	at, until time.Duration
	share     float64
	first     uint16
	keys      int
}

// experiment defines a load and the targets that serve it.
type experiment struct {
	// slots is the number of requests that a target runs at the same time.
	slots int
	// timeFactors has, for each target, its time for a request relative to the mean.
	timeFactors []float64
	perSecond   float64       // requests per second
	service     time.Duration // mean target time of a request
	objective   time.Duration // time within which a request should be answered
	// skew is the exponent of the Zipf distribution of the keys. popular is the most
	// popular key; the popularity falls with the keys that follow it.
	skew    float64
	popular uint16
	hot     []hotRange
	length  time.Duration
	// paced is set if the targets report their pace, which is then their time factor.
	paced bool
	// spells makes a fifth of the targets three times slower for 400 ms at a time, and
	// instantaneous makes the reports have the pace of the moment instead of the average.
	spells, instantaneous bool
	// plan is the planning policy, or nil if no keys move.
	plan func([]Load) []Move
}

// results has the outcomes of the requests and the cost of the moves.
type results struct {
	requests, inTime, late, refused int
	// load is the target time, in seconds, that was requested of each target in each
	// second.
	load [][]float64
	// moved is the number of keys that changed their owner, as a share of all keys.
	moved float64
	moves int
}

// served returns the share of the requests that were answered within their
// objective.
func (res *results) served() float64 { return float64(res.inTime) / float64(res.requests) }

// imbalance returns the load of the busiest target divided by the mean load, from
// second first up to but not including second last.
func (res *results) imbalance(first, last int, timeFactors []float64) float64 {
	highest, total := 0.0, 0.0
	for i := range timeFactors {
		sum := 0.0
		for s := first; s < last; s++ {
			sum += res.load[s][i]
		}
		highest = max(highest, sum)
		total += sum
	}
	return highest / (total / float64(len(timeFactors)))
}

// simulation is a running experiment.
type simulation struct {
	experiment
	rng     *rand.Rand
	now     time.Time
	start   time.Time
	events  eventHeap
	targets []*simTarget
	// owners has the index of the target that owns each key.
	owners [65536]uint8
	// movedAt is when each moving key is served again.
	movedAt map[uint16]time.Time
	res     results
	// cdf is the cumulative distribution of the popularity of the keys, not
	// normalized.
	cdf []float64
}

// simTarget is a simulated target and the state of the daemon beside it.
type simTarget struct {
	addr       netip.AddrPort
	timeFactor float64
	// running has the requests that the target is running, and when each ends.
	running   map[*simRequest]time.Time
	queue     []*simRequest
	demand    Demand
	meter     workload.Meter
	histogram *LoadHistogram
	ranges    []simRange
	// moving is the number of moves in progress from this target.
	moving int
	report Load
}

// simRange is a range of keys of a target.
type simRange struct {
	KeyRange
	// ownedAt is when the target became the owner.
	ownedAt time.Time
	// closed is set while the range moves to another target.
	closed bool
}

// simRequest is a simulated request.
type simRequest struct {
	key uint16
	// objective is the time by which the request should be answered.
	objective time.Time
	retried   bool
}

// event is an action that is scheduled for a time.
type event struct {
	at  time.Time
	run func()
}

// eventHeap is a heap of events with the earliest first.
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

// simulate runs the experiment with a seed.
func (e experiment) simulate(seed uint64) results {
	s := &simulation{experiment: e, rng: rand.New(rand.NewPCG(seed, 7)), start: time.Unix(1000, 0), movedAt: map[uint16]time.Time{}}
	s.now = s.start
	s.res.load = make([][]float64, int(e.length.Seconds())+1)
	for i := range s.res.load {
		s.res.load[i] = make([]float64, len(e.timeFactors))
	}
	s.cdf = make([]float64, 65536)
	sum := 0.0
	for i := range s.cdf {
		sum += math.Pow(float64(i+1), -e.skew)
		s.cdf[i] = sum
	}
	width := 65536 / len(e.timeFactors)
	for i, timeFactor := range e.timeFactors {
		first, last := i*width, (i+1)*width-1
		if i == len(e.timeFactors)-1 {
			last = 65535
		}
		t := &simTarget{
			addr: server(i + 1), timeFactor: timeFactor, running: map[*simRequest]time.Time{}, demand: NewDemand(), histogram: NewLoadHistogram(s.now),
			ranges: []simRange{{KeyRange: KeyRange{First: uint16(first), Last: uint16(last)}}},
		}
		s.targets = append(s.targets, t)
		for key := first; key <= last; key++ {
			s.owners[key] = uint8(i)
		}
		s.at(time.Duration(s.rng.Int64N(int64(reportInterval))), func() { s.sendReport(t) })
	}
	s.at(0, s.arrive)
	s.at(planInterval/2, s.replan)
	for len(s.events) > 0 {
		next := heap.Pop(&s.events).(event)
		s.now = next.at
		if s.now.Sub(s.start) > e.length {
			break
		}
		next.run()
	}
	return s.res
}

// at schedules f to run after d.
func (s *simulation) at(d time.Duration, f func()) { heap.Push(&s.events, event{s.now.Add(d), f}) }

// arrive sends a new request and schedules the next one.
func (s *simulation) arrive() {
	s.at(time.Duration(s.rng.ExpFloat64()/s.perSecond*float64(time.Second)), s.arrive)
	s.res.requests++
	s.send(&simRequest{key: s.key(), objective: s.now.Add(s.objective)})
}

// key returns a random key.
func (s *simulation) key() uint16 {
	elapsed := s.now.Sub(s.start)
	for _, h := range s.hot {
		if elapsed >= h.at && elapsed < h.until && s.rng.Float64() < h.share {
			return h.first + uint16(s.rng.IntN(h.keys))
		}
	}
	i, _ := slices.BinarySearch(s.cdf, s.rng.Float64()*s.cdf[len(s.cdf)-1])
	return s.popular + uint16(min(i, 65535))
}

// send sends a request to the daemon of the owner of its key. If the key is moving,
// the request waits for up to maxHold.
func (s *simulation) send(r *simRequest) {
	if movedAt, moving := s.movedAt[r.key]; moving {
		if wait := movedAt.Sub(s.now); wait <= maxHold {
			s.at(wait+time.Microsecond, func() { s.send(r) })
			return
		}
		s.refuse(r)
		return
	}
	t := s.targets[s.owners[r.key]]
	t.histogram.Add(s.now, r.key, t.demand.RecordArrival(s.now, request.Lookup))
	s.res.load[int(s.now.Sub(s.start).Seconds())][s.owners[r.key]] += t.timeFactor * s.service.Seconds()
	mean := max(t.demand.MeanServiceTime(), s.service/2)
	switch {
	case len(t.running) < s.slots:
		s.run(t, r)
	case s.now.Add(mean + time.Duration(float64(mean)*float64(len(t.queue)+1)/float64(s.slots))).After(r.objective):
		s.refuse(r)
	default:
		t.queue = append(t.queue, r)
	}
}

// refuse schedules the only retry of a refused request, or counts the request as
// refused if it has been retried already.
func (s *simulation) refuse(r *simRequest) {
	if r.retried {
		s.res.refused++
		return
	}
	r.retried = true
	s.at(retryDelay/2+time.Duration(s.rng.Int64N(int64(retryDelay))), func() { s.send(r) })
}

// run runs a request at a target.
func (s *simulation) run(t *simTarget, r *simRequest) {
	const spread = 0.5
	pace := t.timeFactor * s.spell(t)
	took := time.Duration(float64(s.service) * pace * math.Exp(spread*s.rng.NormFloat64()-spread*spread/2))
	t.running[r] = s.now.Add(took)
	s.at(took, func() {
		delete(t.running, r)
		if s.paced {
			t.meter.RecordPace(s.now, t.timeFactor*s.spell(t))
			took = t.meter.RecordServed(s.now.Add(-took), s.now, "r", pace, false)
		}
		t.demand.RecordServed(request.Lookup, took)
		if s.now.After(r.objective) {
			s.res.late++
		} else {
			s.res.inTime++
		}
		for len(t.queue) > 0 && len(t.running) < s.slots {
			next := t.queue[0]
			t.queue = t.queue[1:]
			if s.targets[s.owners[next.key]] != t || s.now.Add(t.demand.MeanServiceTime()).After(next.objective) {
				s.refuse(next)
				continue
			}
			s.run(t, next)
		}
	})
}

// sendReport sends a target's load report to the planner, and schedules the next
// one.
func (s *simulation) sendReport(t *simTarget) {
	s.at(reportInterval, func() { s.sendReport(t) })
	t.report = Load{
		Member: t.addr, Accepting: true, Slots: s.slots,
		Demand: t.demand.PerSecond(s.now), ServiceTime: t.demand.MeanServiceTime(),
	}
	current, average := t.meter.Pace(s.now)
	t.report.Pace = average
	if s.instantaneous {
		t.report.Pace = current
	}
}

// spell returns the factor of the time of t at this moment.
func (s *simulation) spell(t *simTarget) float64 {
	const factor, length = 3, 400 * time.Millisecond
	n := uint64(s.now.Sub(s.start)/length)*8191 + uint64(t.addr.Addr().As4()[3])
	if s.spells && n*0x9E3779B97F4A7C15>>32%5 == 0 {
		return factor
	}
	return 1
}

// replan makes a plan from the latest reports, starts its moves, and schedules the
// next plan.
func (s *simulation) replan() {
	s.at(planInterval, s.replan)
	if s.plan == nil {
		return
	}
	var loads []Load
	for _, t := range s.targets {
		if t.report.Member.IsValid() {
			loads = append(loads, t.report)
		}
	}
	for _, move := range s.plan(loads) {
		s.at(yieldDelay, func() { s.yield(move) })
	}
}

// yield carries out a move. The owner chooses the keys, and transfers them once the
// running requests for them have ended.
func (s *simulation) yield(move Move) {
	from := s.targets[slices.IndexFunc(s.targets, func(t *simTarget) bool { return t.addr == move.From })]
	to := slices.IndexFunc(s.targets, func(t *simTarget) bool { return t.addr == move.To })
	if from.moving >= MaxMoves {
		return
	}
	var movable []int
	var ranges []KeyRange
	for i, r := range from.ranges {
		if !r.closed && s.now.Sub(r.ownedAt) >= MinMoveInterval {
			movable = append(movable, i)
			ranges = append(ranges, r.KeyRange)
		}
	}
	i, part, ok := from.histogram.Choose(s.now, ranges, len(from.ranges), move.Demand)
	if !ok {
		return
	}
	from.moving++
	from.closePart(movable[i], part)
	movedAt := s.now
	for r, ends := range from.running {
		if part.First <= r.key && r.key <= part.Last && ends.After(movedAt) {
			movedAt = ends
		}
	}
	movedAt = movedAt.Add(writeDelay)
	for key := int(part.First); key <= int(part.Last); key++ {
		s.movedAt[uint16(key)] = movedAt
	}
	s.at(movedAt.Sub(s.now), func() {
		from.moving--
		from.demand.Subtract(s.now, from.histogram.Demand(s.now, part.First, part.Last))
		from.ranges = slices.DeleteFunc(from.ranges, func(r simRange) bool { return r.closed && r.First == part.First })
		s.targets[to].ranges = append(s.targets[to].ranges, simRange{KeyRange: part, ownedAt: s.now})
		for key := int(part.First); key <= int(part.Last); key++ {
			delete(s.movedAt, uint16(key))
			s.owners[key] = uint8(to)
		}
		s.res.moves++
		s.res.moved += float64(int(part.Last)-int(part.First)+1) / 65536
	})
}

// closePart splits part off the range at index i and closes it.
func (t *simTarget) closePart(i int, part KeyRange) {
	r := t.ranges[i]
	t.ranges = slices.Delete(t.ranges, i, i+1)
	add := func(first, last int, closed bool) {
		if first <= last {
			piece := r
			piece.First, piece.Last, piece.closed = uint16(first), uint16(last), closed
			t.ranges = append(t.ranges, piece)
		}
	}
	add(int(r.First), int(part.First)-1, false)
	add(int(part.First), int(part.Last), true)
	add(int(part.Last)+1, int(r.Last), false)
}
