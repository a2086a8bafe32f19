package balance

import (
	"maps"
	"slices"
	"time"

	"siskinknot/core/record"
)

// Limits for the detection of slow servers.
const (
	// minExcess is the minimum time by which the requests of a slow server take
	// longer than those of the median server. With a smaller difference, callers
	// gain too little from moving its units.
	minExcess = 5 * time.Millisecond
	// minServers is the minimum number of servers with recent measurements. With
	// fewer, a slow server cannot be told from the others.
	minServers = 3
	// observationTTL is the time after which an observation expires.
	observationTTL = 10 * time.Second
	// firstPenalty is how long a server gets no units when it is found slow for
	// the first time, and maxPenalty is the longest such time.
	firstPenalty = 30 * time.Second
	maxPenalty   = 10 * time.Minute
)

// SlowServerDetector detects servers whose targets run requests far slower than
// those of the other servers. It uses measured latencies and nothing that the
// targets report.
//
// It compares the 25th percentiles of the latencies, so that a server which owns a
// few expensive keys does not count as slow. A server that is found slow counts as
// slow for a penalty period, which doubles each time it is found slow again. It is
// on probation for an equally long time afterwards. At most a third of the servers
// count as slow at a time: if more of them seem slow, the cause is likely something
// that they share.
//
// The zero value holds no observations. SlowServerDetector is not safe for
// concurrent use.
type SlowServerDetector struct {
	observations map[record.Incarnation]observation
	// detections holds the servers that are slow or on probation.
	detections map[record.Incarnation]detection
}

// observation is a measurement of the latency of a server.
type observation struct {
	at time.Time
	// p25 is the 25th percentile of the latency of recent requests.
	p25 time.Duration
}

// detection records that a server was found slow.
type detection struct {
	at      time.Time
	penalty time.Duration
	// slowness is the factor by which its requests took longer than those of the
	// median server.
	slowness float64
}

// penaltyOver reports whether the penalty period is over.
func (d *detection) penaltyOver(now time.Time) bool { return now.Sub(d.at) >= d.penalty }

// Observe records that p25 is the 25th percentile of the latency of a server's
// recent requests, as measured at now.
func (s *SlowServerDetector) Observe(now time.Time, id record.Incarnation, p25 time.Duration) {
	if s.observations == nil {
		s.observations = map[record.Incarnation]observation{}
	}
	s.observations[id] = observation{at: now, p25: p25}
}

// Detect returns the servers among ids that are newly found slow, ordered by id:
// their requests take more than limit times as long as those of the median server,
// and at least minExcess longer. It returns none if fewer than minServers servers
// have recent observations, or if more than a third of ids would count as slow.
// With a limit of 0 it returns none and removes all earlier detections.
func (s *SlowServerDetector) Detect(now time.Time, ids []record.Incarnation, limit float64) []record.Incarnation {
	s.prune(now, ids, limit)
	median, ok := s.medianLatency(now, ids)
	if !ok || limit == 0 {
		return nil
	}
	slow := 0
	found := map[record.Incarnation]float64{}
	for _, id := range ids {
		p25, known := s.recent(now, id)
		switch slowness := p25.Seconds() / median.Seconds(); {
		case s.Slowness(now, id) > 1:
			slow++
		case known && p25-median >= minExcess && slowness > limit:
			found[id] = slowness
		}
	}
	if 3*(slow+len(found)) > len(ids) {
		return nil
	}
	for id, slowness := range found {
		s.penalize(now, id, slowness)
	}
	return slices.Sorted(maps.Keys(found))
}

// Slowness returns the factor by which the requests of a server take longer
// than those of the median server, if it counts as slow at now; 1 otherwise.
func (s *SlowServerDetector) Slowness(now time.Time, id record.Incarnation) float64 {
	d, ok := s.detections[id]
	if !ok || d.penaltyOver(now) {
		return 1
	}
	return d.slowness
}

// OnProbation reports whether a server was found slow and its penalty is over,
// but not its probation.
func (s *SlowServerDetector) OnProbation(now time.Time, id record.Incarnation) bool {
	d, ok := s.detections[id]
	return ok && d.penaltyOver(now)
}

// penalize marks a server as slow. If it was on probation, its penalty is twice the
// last one, up to maxPenalty; otherwise it is firstPenalty.
func (s *SlowServerDetector) penalize(now time.Time, id record.Incarnation, slowness float64) {
	if s.detections == nil {
		s.detections = map[record.Incarnation]detection{}
	}
	penalty := firstPenalty
	if d, again := s.detections[id]; again {
		penalty = min(2*d.penalty, maxPenalty)
	}
	s.detections[id] = detection{at: now, penalty: penalty, slowness: slowness}
}

// medianLatency returns the 25th percentile of the latency of the median server. It
// returns false if fewer than minServers servers have recent observations.
func (s *SlowServerDetector) medianLatency(now time.Time, ids []record.Incarnation) (time.Duration, bool) {
	var known []time.Duration
	for _, id := range ids {
		if p25, ok := s.recent(now, id); ok {
			known = append(known, p25)
		}
	}
	if len(known) < minServers {
		return 0, false
	}
	slices.Sort(known)
	return max(known[len(known)/2], time.Microsecond), true
}

// recent returns the 25th percentile of the latency of a server, and whether there
// is a recent observation of it.
func (s *SlowServerDetector) recent(now time.Time, id record.Incarnation) (time.Duration, bool) {
	o, ok := s.observations[id]
	return o.p25, ok && now.Sub(o.at) <= observationTTL
}

// prune removes the data of servers that are not among ids, and the detections whose
// probation is over; with a limit of 0 it removes all detections.
func (s *SlowServerDetector) prune(now time.Time, ids []record.Incarnation, limit float64) {
	present := map[record.Incarnation]bool{}
	for _, id := range ids {
		present[id] = true
	}
	maps.DeleteFunc(s.observations, func(id record.Incarnation, _ observation) bool { return !present[id] })
	maps.DeleteFunc(s.detections, func(id record.Incarnation, d detection) bool {
		return limit == 0 || !present[id] || now.Sub(d.at) > 2*d.penalty
	})
}
