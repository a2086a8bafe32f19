package balance

import (
	"maps"
	"slices"
	"time"

	"siskinknot/core/record"
)

// Bounds of finding slow servers.
const (
	// leastExcess is by how much a slow server's requests take longer at least:
	// below it, callers gain too little from moving its units.
	leastExcess = 5 * time.Millisecond
	// leastServers is the number of servers from which on one can be told from
	// the others.
	leastServers = 3
	// observationLife is how long an observation counts.
	observationLife = 10 * time.Second
	// firstPenalty and mostPenalty are how long a server stays without units
	// when it is found slow for the first time, and at most.
	firstPenalty = 30 * time.Second
	mostPenalty  = 10 * time.Minute
)

// SlowServers finds the servers whose targets run requests far slower than those
// of the others, whatever they report of themselves.
//
// It compares how long each target takes for the quickest quarter of its
// requests: that a server owns a few costly keys does not make it slow. A server
// that is found slow stays so for a penalty, which doubles each time it is found
// again, and is on probation for as long afterwards. No more than a third of the
// servers are slow at a time: if more seem so, something that they share is.
//
// The zero value has seen nothing. It is not safe for concurrent use.
type SlowServers struct {
	observed map[record.Incarnation]observation
	found    map[record.Incarnation]finding
}

// observation is how long a target took.
type observation struct {
	at    time.Time
	quick time.Duration
}

// finding is that a server was slow.
type finding struct {
	at      time.Time
	penalty time.Duration
	// factor is how much longer its requests took.
	factor float64
}

// served reports whether the penalty is over.
func (f *finding) served(now time.Time) bool { return now.Sub(f.at) >= f.penalty }

// Observe notes that the quickest quarter of a server's recent requests took up
// to quick.
func (s *SlowServers) Observe(now time.Time, id record.Incarnation, quick time.Duration) {
	if s.observed == nil {
		s.observed = map[record.Incarnation]observation{}
	}
	s.observed[id] = observation{at: now, quick: quick}
}

// Find returns the servers among ids that are newly found slow: their requests
// take more than limit times those of the median server. A limit of 0 finds none
// and forgets all findings.
func (s *SlowServers) Find(now time.Time, ids []record.Incarnation, limit float64) []record.Incarnation {
	s.forget(now, ids, limit)
	typical, ok := s.typical(now, ids)
	if !ok || limit == 0 {
		return nil
	}
	slow := 0
	found := map[record.Incarnation]float64{}
	for _, id := range ids {
		quick, known := s.recent(now, id)
		switch factor := quick.Seconds() / typical.Seconds(); {
		case s.Factor(now, id) > 1:
			slow++
		case known && quick-typical >= leastExcess && factor > limit:
			found[id] = factor
		}
	}
	if 3*(slow+len(found)) > len(ids) {
		return nil
	}
	for id, factor := range found {
		s.penalize(now, id, factor)
	}
	return slices.Sorted(maps.Keys(found))
}

// Factor returns how much longer a server's requests take, if it is slow now; 1
// otherwise.
func (s *SlowServers) Factor(now time.Time, id record.Incarnation) float64 {
	f, ok := s.found[id]
	if !ok || f.served(now) {
		return 1
	}
	return f.factor
}

// OnProbation reports whether a server was slow not long ago.
func (s *SlowServers) OnProbation(now time.Time, id record.Incarnation) bool {
	f, ok := s.found[id]
	return ok && f.served(now)
}

// penalize marks a server as slow.
func (s *SlowServers) penalize(now time.Time, id record.Incarnation, factor float64) {
	if s.found == nil {
		s.found = map[record.Incarnation]finding{}
	}
	penalty := firstPenalty
	if f, again := s.found[id]; again {
		penalty = min(2*f.penalty, mostPenalty)
	}
	s.found[id] = finding{at: now, penalty: penalty, factor: factor}
}

// typical returns how long the quick requests of the median server take, if
// enough servers are known.
func (s *SlowServers) typical(now time.Time, ids []record.Incarnation) (time.Duration, bool) {
	var known []time.Duration
	for _, id := range ids {
		if quick, ok := s.recent(now, id); ok {
			known = append(known, quick)
		}
	}
	if len(known) < leastServers {
		return 0, false
	}
	slices.Sort(known)
	return max(known[len(known)/2], time.Microsecond), true
}

// recent returns how long a server's target took, if that is known.
func (s *SlowServers) recent(now time.Time, id record.Incarnation) (time.Duration, bool) {
	o, ok := s.observed[id]
	return o.quick, ok && now.Sub(o.at) <= observationLife
}

// forget drops what concerns other servers than ids, and findings whose
// probation is over.
func (s *SlowServers) forget(now time.Time, ids []record.Incarnation, limit float64) {
	present := map[record.Incarnation]bool{}
	for _, id := range ids {
		present[id] = true
	}
	maps.DeleteFunc(s.observed, func(id record.Incarnation, _ observation) bool { return !present[id] })
	maps.DeleteFunc(s.found, func(id record.Incarnation, f finding) bool {
		return limit == 0 || !present[id] || now.Sub(f.at) > 2*f.penalty
	})
}
