package workload

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"siskinknot/core/balance"
	"siskinknot/core/record"
)

// A play simulates targets, the daemons beside them and ingress daemons that choose
// targets. Time, the targets, the callers and the transport are simulated.
type play struct {
	// speeds has, for each target, its time for a request relative to the mean.
	speeds []float64
	// spell is the factor of a target's time during a spell, and spellShare the share of
	// the time in spells of spellLength; 0 for none.
	spell, spellShare float64
	spellLength       time.Duration
	// paced is set if the targets report their pace in spells; paceHasSpeed if the pace
	// includes the speed.
	paced, paceHasSpeed bool
	// zones is the number of zones that the targets are in, in turn.
	zones int
	// beside is set if each ingress daemon is beside a target.
	beside      bool
	ingresses   int
	slots       int
	utilization float64
	service     time.Duration
	objective   time.Duration
	length      time.Duration
	// heartbeats is the interval of heartbeats. ends is set if loads come with ends.
	heartbeats time.Duration
	ends       bool
	// falsify changes the reports of a target; nil if none.
	falsify func(target int, r *Report)
	// today is set if the choice is that of package balance. compared is the number of
	// targets compared, or 0 for the usual one.
	today    bool
	compared int
}

// played are the results of a play.
type played struct {
	requests, inTime, attempts, remote int
	busy                               []float64
	// received has the number of requests that each target was sent.
	received []int
}

func (r *played) share() float64       { return float64(r.inTime) / float64(r.requests) }
func (r *played) remoteShare() float64 { return float64(r.remote) / float64(r.attempts) }

// busiest returns the highest utilization of a target divided by the mean.
func (r *played) busiest() float64 {
	highest, sum := 0.0, 0.0
	for _, b := range r.busy {
		highest = max(highest, b)
		sum += b
	}
	return highest / (sum / float64(len(r.busy)))
}

type playEvent struct {
	at  time.Time
	seq int
	run func()
}

type playEvents []playEvent

func (h playEvents) Len() int { return len(h) }
func (h playEvents) Less(i, j int) bool {
	return h[i].at.Before(h[j].at) || (h[i].at.Equal(h[j].at) && h[i].seq < h[j].seq)
}
func (h playEvents) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *playEvents) Push(x any)   { *h = append(*h, x.(playEvent)) }
func (h *playEvents) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// player is a running play.
type player struct {
	play
	rng        *rand.Rand
	now, start time.Time
	seq        int
	events     playEvents
	targets    []*playTarget
	ingress    []*playIngress
	byAddr     map[netip.AddrPort]*playTarget
	byID       map[record.Incarnation]*playTarget
	perSecond  float64
	res        played
}

type playTarget struct {
	addr     netip.AddrPort
	index    int
	meter    Meter
	running  []*playRequest
	queue    []*playRequest
	demand   float64
	demandAt time.Time
	phase    time.Duration
}

type playIngress struct {
	table  *Table
	choose *balance.Chooser
	zone   int
	// own is the target beside it, or nil.
	own *playTarget
	// local and remote are the targets in this and in other zones, and ids those that
	// today's choice is among.
	local, remote []netip.AddrPort
	ids           []record.Incarnation
}

type playRequest struct {
	in        *playIngress
	arrivedAt time.Time
	startedAt time.Time
	pace      float64
	work      time.Duration
	retried   bool
	counted   bool
	done      func(answered bool, report Report)
}

// run plays with a seed.
func (p play) run(seed uint64) played {
	s := &player{
		play: p, rng: rand.New(rand.NewPCG(seed, 11)), start: time.Unix(1000, 0),
		byAddr: map[netip.AddrPort]*playTarget{}, byID: map[record.Incarnation]*playTarget{},
	}
	s.now = s.start
	s.zones = max(s.zones, 1)
	for i := range p.speeds {
		t := &playTarget{addr: addresses(i + 1)[i], index: i, phase: time.Duration(s.rng.Int64N(int64(max(p.spellLength, 1))))}
		s.targets = append(s.targets, t)
		s.byAddr[t.addr], s.byID[record.Incarnation(t.addr.String())] = t, t
		s.at(time.Duration(s.rng.Int64N(int64(p.heartbeats))), func() { s.heartbeat(t) })
	}
	s.res.busy, s.res.received = make([]float64, len(p.speeds)), make([]int, len(p.speeds))
	capacity := 0.0
	for _, f := range s.speeds {
		capacity += float64(s.slots) / f / s.service.Seconds()
	}
	s.perSecond = s.utilization * capacity / (1 + s.spellShare*(s.spell-1)) / float64(s.ingresses)
	for i := range p.ingresses {
		in := &playIngress{table: NewTable(), choose: balance.NewChooser(), zone: i % s.zones}
		in.table.random = s.rng.IntN
		if p.beside {
			in.own = s.targets[i]
		}
		if p.compared > 0 {
			in.table.compared = p.compared
		}
		for _, t := range s.targets {
			if t.index%s.zones == in.zone {
				in.local = append(in.local, t.addr)
				in.ids = append(in.ids, record.Incarnation(t.addr.String()))
			} else {
				in.remote = append(in.remote, t.addr)
			}
		}
		s.ingress = append(s.ingress, in)
		s.at(0, func() { s.arrive(in) })
	}
	for len(s.events) > 0 {
		next := heap.Pop(&s.events).(playEvent)
		s.now = next.at
		if s.now.Sub(s.start) > p.length {
			break
		}
		next.run()
	}
	return s.res
}

func (s *player) at(d time.Duration, f func()) {
	s.seq++
	heap.Push(&s.events, playEvent{s.now.Add(d), s.seq, f})
}

// factor returns the time of work at t at this moment relative to its usual time.
func (s *player) factor(t *playTarget, at time.Time) float64 {
	if s.spellShare == 0 {
		return 1
	}
	n := uint64(at.Sub(s.start)+t.phase) / uint64(s.spellLength)
	h := (n*2654435761 + uint64(t.index+1)*40503) * 0x9E3779B97F4A7C15
	if float64((h>>20)&0xffff)/65536 < s.spellShare {
		return s.spell
	}
	return 1
}

// duration returns how long work takes at t from now on.
func (s *player) duration(t *playTarget, work time.Duration) time.Duration {
	const step = 10 * time.Millisecond
	left, took := work.Seconds()*s.speeds[t.index], time.Duration(0)
	for {
		f := s.factor(t, s.now.Add(took))
		if need := time.Duration(left * f * float64(time.Second)); need <= step {
			return took + need
		}
		left -= step.Seconds() / f
		took += step
	}
}

// pace returns the pace that t reports.
func (s *player) pace(t *playTarget) float64 {
	switch {
	case !s.paced:
		return 0
	case s.paceHasSpeed:
		return s.factor(t, s.now) * s.speeds[t.index]
	default:
		return s.factor(t, s.now)
	}
}

// arrive sends a request of a caller at in.
func (s *player) arrive(in *playIngress) {
	s.at(time.Duration(s.rng.ExpFloat64()/s.perSecond*float64(time.Second)), func() { s.arrive(in) })
	counted := s.now.Sub(s.start) > s.length/4 && s.now.Sub(s.start) < s.length-2*s.objective
	if counted {
		s.res.requests++
	}
	const spread = 0.5
	work := time.Duration(float64(s.service) * math.Exp(spread*s.rng.NormFloat64()-spread*spread/2))
	s.send(&playRequest{in: in, arrivedAt: s.now, work: work, counted: counted}, nil)
}

// without returns list without x.
func without[T comparable](list []T, x T) []T {
	return slices.DeleteFunc(slices.Clone(list), func(other T) bool { return other == x })
}

// send sends a request to a target other than tried.
func (s *player) send(r *playRequest, tried *playTarget) {
	local, remote, ids := r.in.local, r.in.remote, r.in.ids
	if tried != nil {
		local, remote = without(local, tried.addr), without(remote, tried.addr)
		ids = without(ids, record.Incarnation(tried.addr.String()))
	}
	if len(ids) == 0 {
		ids = r.in.ids
	}
	if r.counted {
		s.res.attempts++
	}
	var t *playTarget
	var choice Choice
	var id record.Incarnation
	if s.today {
		id = r.in.choose.Pick(s.now, balance.TwoChoices, ids)
		t = s.byID[id]
	} else {
		var own netip.AddrPort
		if r.in.own != nil && r.in.own != tried {
			own = r.in.own.addr
			r.in.table.RecordEnd(s.now, own, "r", s.report(r.in.own, false))
		}
		choice = r.in.table.Choose(s.now, "r", Candidates{Local: local, Remote: remote, Own: own})
		t = s.byAddr[choice.Target]
	}
	if r.counted {
		s.res.received[t.index]++
	}
	if r.counted && t.index%s.zones != r.in.zone {
		s.res.remote++
	}
	sentAt := s.now
	const way = time.Millisecond / 2
	r.done = func(answered bool, report Report) {
		s.at(way, func() {
			if s.today {
				r.in.choose.Done(s.now, id, s.now.Sub(sentAt), answered)
			} else {
				if s.ends {
					r.in.table.RecordEnd(s.now, t.addr, "r", report)
				}
				end := Failed
				if answered {
					end = Answered
				}
				r.in.table.Done(s.now, choice, end)
			}
			switch {
			case answered && r.counted && s.now.Sub(r.arrivedAt) <= s.objective:
				s.res.inTime++
			case !answered && !r.retried:
				r.retried = true
				s.send(r, t)
			}
		})
	}
	s.at(way, func() { s.receive(t, r) })
}

// decayDemand returns the demand of t at now.
func (t *playTarget) decayDemand(now time.Time) float64 {
	t.demand *= math.Exp2(-now.Sub(t.demandAt).Seconds())
	t.demandAt = now
	return t.demand * math.Ln2
}

// receive receives a request at the daemon of t.
func (s *player) receive(t *playTarget, r *playRequest) {
	mean := t.meter.RouteTime("r")
	t.decayDemand(s.now)
	t.demand += mean.Seconds()
	if len(t.running) < s.slots {
		s.runRequest(t, r)
		return
	}
	_, pace := t.meter.Pace(s.now)
	if pace == 0 {
		pace = 1
	}
	wait := time.Duration(float64(mean) * pace * (1 + float64(len(t.queue)+1)/float64(s.slots)))
	if s.now.Add(wait).Sub(r.arrivedAt) > s.objective {
		r.done(false, s.report(t, false))
		return
	}
	t.queue = append(t.queue, r)
}

func (s *player) runRequest(t *playTarget, r *playRequest) {
	r.startedAt = s.now
	r.pace, _ = t.meter.Pace(s.now)
	took := s.duration(t, r.work)
	if r.counted {
		s.res.busy[t.index] += took.Seconds()
	}
	t.running = append(t.running, r)
	s.at(took, func() {
		for i, other := range t.running {
			if other == r {
				t.running = append(t.running[:i], t.running[i+1:]...)
				break
			}
		}
		t.meter.RecordPace(s.now, s.pace(t))
		t.meter.RecordServed(r.startedAt, s.now, "r", r.pace, false)
		if len(t.queue) > 0 {
			next := t.queue[0]
			t.queue = t.queue[1:]
			s.runRequest(t, next)
		}
		r.done(true, s.report(t, false))
	})
}

// report returns the report of t.
func (s *player) report(t *playTarget, heartbeat bool) Report {
	current, average := t.meter.Pace(s.now)
	if heartbeat {
		current = average
	}
	mean := t.meter.RouteTime("r")
	r := Report{Slots: s.slots, Demand: t.decayDemand(s.now), Pace: current, ServiceTime: mean, RouteTime: mean}
	r.Backlog = time.Duration(len(t.queue)) * mean
	for _, running := range t.running {
		r.Backlog += max(mean-time.Duration(float64(s.now.Sub(running.startedAt))/max(average, 1)), mean/10)
	}
	if s.falsify != nil {
		s.falsify(t.index, &r)
	}
	return r
}

// heartbeat sends a report of t to all ingress daemons.
func (s *player) heartbeat(t *playTarget) {
	s.at(s.heartbeats, func() { s.heartbeat(t) })
	r := s.report(t, true)
	for _, in := range s.ingress {
		in.table.RecordHeartbeat(s.now, t.addr, r)
	}
}
