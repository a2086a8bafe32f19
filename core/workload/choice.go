package workload

import (
	"math"
	"net/netip"
	"time"
)

const (
	// comparedTargets is the number of random targets that are compared in this zone, and
	// in the others. TestComparedTargets shows the effect of other numbers.
	comparedTargets = 3
	// reportHalfway is the age at which the reported remaining work counts as much as the
	// mean of all targets. The work that was reported ends, and other daemons send more.
	reportHalfway = 200 * time.Millisecond
	// transit is how much earlier than its arrival a report may have been made. Requests
	// that were sent in this time are not counted in it.
	transit = 3 * time.Millisecond
	// minRemaining is the least share of its work that an open request has left.
	minRemaining = 0.1
	// zoneGain is the ratio of the expected ends, and minZoneGain their difference, from
	// which on a target in another zone is chosen. Bytes between zones have a cost.
	zoneGain    = 2
	minZoneGain = 5 * time.Millisecond
	// slownessTrust is the share of the measured time of a target's answers below which
	// its reports are not believed.
	slownessTrust = 0.7
	// clearlySlow is the measured slowness beyond which it counts by its square: a target
	// that is much slower than it reports has to cost more than busy ones.
	clearlySlow = 2
	// slownessHalfLife is the time without answers in which the excess of a measured time
	// halves, so that a target that was slow is tried again.
	slownessHalfLife = 6 * time.Second
	// maxSlowness bounds the measured slowness.
	maxSlowness = 100
	// failurePenalty is the factor of the expected end after each of the first
	// maxFailures failures, within failurePenaltyFor of the last one.
	failurePenalty    = 10
	maxFailures       = 3
	failurePenaltyFor = 2 * time.Second
	// balancePower is the power of the utilization relative to the mean by which the cost
	// is multiplied, so that fast targets do not get most of the requests while all have
	// capacity. minRelative and maxRelative bound the relative utilization.
	balancePower = 2
	minRelative  = 0.3
	maxRelative  = 3
	// maxSpread is the largest exponent of the random factor of a cost whose report is old.
	maxSpread = 1.2
	// defaultRouteTime is the time of a request of which nothing is known.
	defaultRouteTime = 50 * time.Millisecond
)

// Reason says why a target was chosen.
type Reason string

// Reasons for a choice.
const (
	OnlyTarget  Reason = "only_target"  // there was no other
	Cheapest    Reason = "cheapest"     // the earliest expected end in this zone
	OtherZone   Reason = "other_zone"   // another zone's target ends clearly earlier
	NoLocal     Reason = "no_local"     // this zone has no target
	UnknownLoad Reason = "unknown_load" // there is no report of the chosen target
)

// Reasons lists all reasons.
var Reasons = []Reason{OnlyTarget, Cheapest, OtherZone, NoLocal, UnknownLoad}

// Choice is a chosen target. Done must be called with it at the end of the request.
type Choice struct {
	Target netip.AddrPort
	Reason Reason
	// ReportAge is the age of the report that the choice relied on, or negative if there
	// was none.
	ReportAge time.Duration

	id     uint64
	route  string
	sentAt time.Time
}

// Candidates are the targets that a request may be sent to.
type Candidates struct {
	// Local and Remote are the targets in this and in other zones.
	Local, Remote []netip.AddrPort
	// Own is the one of Local beside this daemon, or zero if it is none of them. It is
	// always compared, since its load is known best and its requests use no link.
	Own netip.AddrPort
}

// Choose returns the target of a request of route that is sent at now. There must be a
// candidate.
func (t *Table) Choose(now time.Time, route string, candidates Candidates) Choice {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.updateMeans(now)
	i := t.routeIndex(now, route)
	chosen, reason := t.choose(now, i, candidates)
	s := t.targetOf(now, chosen)
	age := time.Duration(-1)
	if s.reportAt.IsZero() {
		reason = UnknownLoad
	} else {
		age = max(now.Sub(s.reportAt), 0)
	}
	t.nextID++
	if len(s.open) < maxOpen {
		s.open = append(s.open, openRequest{sentAt: now, id: t.nextID, work: t.routeTime(s, i)})
	}
	return Choice{Target: chosen, Reason: reason, ReportAge: age, id: t.nextID, route: route, sentAt: now}
}

// choose compares random targets of this zone and, if there are any, of other zones. The
// caller holds the mutex.
func (t *Table) choose(now time.Time, route int, candidates Candidates) (netip.AddrPort, Reason) {
	local, remote := candidates.Local, candidates.Remote
	if len(local)+len(remote) == 1 {
		if len(local) == 1 {
			return local[0], OnlyTarget
		}
		return remote[0], OnlyTarget
	}
	near, nearEnd := t.cheapest(now, route, candidates.Own, local)
	far, farEnd := t.cheapest(now, route, netip.AddrPort{}, remote)
	switch {
	case len(local) == 0:
		return far, NoLocal
	case len(remote) > 0 && nearEnd > zoneGain*farEnd && nearEnd-farEnd > minZoneGain.Seconds():
		return far, OtherZone
	default:
		return near, Cheapest
	}
}

// cheapest returns the target with the lowest cost of own, unless it is zero, and a few
// random ones of list, and its cost. The caller holds the mutex.
func (t *Table) cheapest(now time.Time, route int, own netip.AddrPort, list []netip.AddrPort) (netip.AddrPort, float64) {
	c := comparison{lowest: math.Inf(1)}
	if own.IsValid() {
		t.consider(now, route, own, &c)
	}
	// An index is drawn from those after the ones compared before, which are in order.
	var drawn [maxCompared]int
	for k := range min(t.compared, len(list), maxCompared) {
		index := t.random(len(list) - k)
		at := 0
		for ; at < k && drawn[at] <= index; at++ {
			index++
		}
		copy(drawn[at+1:k+1], drawn[at:k])
		drawn[at] = index
		t.consider(now, route, list[index], &c)
	}
	return c.best, c.cost
}

// comparison is the best of the targets compared so far.
type comparison struct {
	best netip.AddrPort
	// cost is its cost, and lowest that with its random factor.
	cost, lowest float64
}

// consider adds the target at addr to a comparison. The caller holds the mutex.
func (t *Table) consider(now time.Time, route int, addr netip.AddrPort, c *comparison) {
	s := t.targets[addr]
	if s == nil {
		s = &unknown
	}
	cost := t.cost(now, s, route)
	if drawn := cost * t.uncertainty(now, s); drawn < c.lowest {
		*c = comparison{best: addr, cost: cost, lowest: drawn}
	}
}

// maxCompared bounds the number of targets that are compared.
const maxCompared = 16

// cost returns the time, in seconds, after which a request of route is expected to end at
// s, with the surcharges for failures and for a high utilization. The caller holds the mutex.
func (t *Table) cost(now time.Time, s *target, route int) float64 {
	pace := s.paceAt(now, t.means.pace)
	slots := t.means.slots
	if s.report.Slots > 0 {
		slots = float64(s.report.Slots)
	}
	work := t.routeTime(s, route)
	cost := (t.remaining(now, s, slots, pace) + work) * pace
	if t.means.utilization > 0 && !s.reportAt.IsZero() {
		cost *= math.Pow(min(max(s.utilization/t.means.utilization, minRelative), maxRelative), balancePower)
	}
	cost = max(cost, s.measuredBound(now, work*t.means.pace, t.measured(route)))
	if s.failures > 0 && now.Sub(s.failedAt) < failurePenaltyFor {
		cost *= float64(1 + failurePenalty*min(s.failures, maxFailures))
	}
	return cost
}

// unknown is a target of which nothing is known.
var unknown target

// remaining returns the expected remaining work for each slot of s, in seconds at the
// usual pace. The caller holds the mutex.
func (t *Table) remaining(now time.Time, s *target, slots, pace float64) float64 {
	backlog := t.means.backlog
	if !s.reportAt.IsZero() {
		age := s.reportAge(now).Seconds()
		reported := s.report.Backlog.Seconds() / slots
		backlog += (reported - backlog) * math.Exp2(-age/reportHalfway.Seconds())
	}
	since := s.reportAt.Add(-transit)
	for i := len(s.open) - 1; i >= 0 && !s.open[i].sentAt.Before(since); i-- {
		o := &s.open[i]
		backlog += max(o.work-now.Sub(o.sentAt).Seconds()/pace, o.work*minRemaining) / slots
	}
	return backlog
}

// routeTime returns the time of a route at s, in seconds at the usual pace. If it has not
// been reported, it is the mean of the others in the ratio of the service times. The caller
// holds the mutex.
func (t *Table) routeTime(s *target, route int) float64 {
	service := s.report.ServiceTime.Seconds()
	if route < 0 || (s.routeTimes[route] == 0 && t.routes[route].mean == 0) {
		switch {
		case service > 0:
			return service
		case t.means.service > 0:
			return t.means.service
		default:
			return defaultRouteTime.Seconds()
		}
	}
	if known := float64(s.routeTimes[route]); known > 0 {
		return known
	}
	if service > 0 && t.means.service > 0 {
		return t.routes[route].mean * min(max(service/t.means.service, 1.0/3), 3)
	}
	return t.routes[route].mean
}

// measured returns the mean time of this daemon's answers on a route, in seconds, or 0 if
// it is unknown. The caller holds the mutex.
func (t *Table) measured(route int) float64 {
	if route < 0 {
		return 0
	}
	return t.routes[route].measured
}

// measuredBound returns the least cost of s that this daemon's own measurements of its
// answers allow. otherwise is the time of a request if no answer has been measured.
func (s *target) measuredBound(now time.Time, otherwise, measured float64) float64 {
	if s.slowness == 0 {
		return 0
	}
	if measured == 0 {
		measured = otherwise
	}
	excess := s.slowness - 1
	if excess > 0 {
		excess *= math.Exp2(-max(now.Sub(s.answeredAt).Seconds(), 0) / slownessHalfLife.Seconds())
	}
	slowness := 1 + excess
	return slownessTrust * slowness * max(slowness/clearlySlow, 1) * measured
}

// End says how the request of a choice ended.
type End int

// Ends of a request.
const (
	Answered End = iota // the target answered
	Failed              // the request was rejected, or there was no answer
	Left                // the caller left before the answer
)

// Done records the end of the request of a choice.
func (t *Table) Done(now time.Time, choice Choice, end End) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.targets[choice.Target]
	if s == nil {
		return
	}
	for i := range s.open {
		if s.open[i].id == choice.id {
			s.open = append(s.open[:i], s.open[i+1:]...)
			break
		}
	}
	took := max(now.Sub(choice.sentAt), time.Microsecond).Seconds()
	switch end {
	case Answered:
		s.failures = 0
		t.recordAnswer(now, s, choice.route, took)
	case Failed:
		s.failures = min(s.failures+1, maxFailures)
		s.failedAt = now
	case Left:
		// A caller that waited long left a slow target; one that left soon says nothing.
		if i := t.routeIndex(now, choice.route); i >= 0 && took > t.routes[i].measured {
			t.recordAnswer(now, s, choice.route, took)
		}
	}
}

// recordAnswer updates what is measured of the answers of s and of a route after an answer
// that took took seconds. The caller holds the mutex.
func (t *Table) recordAnswer(now time.Time, s *target, route string, took float64) {
	const targetWeight, routeWeight = 1.0 / 8, 1.0 / 64
	i := t.routeIndex(now, route)
	if i < 0 {
		return
	}
	measured := &t.routes[i].measured
	if *measured == 0 {
		*measured = took
	}
	// One long answer moves the mean little.
	*measured += (min(took, 10**measured) - *measured) * routeWeight
	relative := min(took / *measured, maxSlowness)
	weight := targetWeight
	if s.slowness == 0 || now.Sub(s.answeredAt) > slownessHalfLife {
		weight = 1
	}
	s.slowness += (relative - s.slowness) * weight
	s.answeredAt = now
}

// uncertainty returns a random factor of the cost of s. The older the report, the more it
// spreads: all daemons see the same old reports, and would otherwise send most of their
// requests to the same targets, however little these differ from the others.
func (t *Table) uncertainty(now time.Time, s *target) float64 {
	const steps = 1 << 16
	spread := maxSpread * (1 - math.Exp2(-s.reportAge(now).Seconds()/reportHalfway.Seconds()))
	draw := float64(t.random(steps)+t.random(steps)-steps) / steps // from -1 to 1, most likely 0
	return math.Exp(spread * draw)
}

// reportAge returns the age of the report of s. That of a heartbeat counts as older, since
// other daemons have received the same one.
func (s *target) reportAge(now time.Time) time.Duration {
	age := max(now.Sub(s.reportAt), 0)
	if s.heartbeat {
		age += reportHalfway
	}
	return age
}
