// Package workload chooses the target of a request to a shared service by its cost: the
// time at which the request is expected to end at each of a few targets.
//
// A target's daemon measures the target with a Meter: its pace, that is, how long work
// takes on the VM at present relative to the usual time, and the mean time of each route
// at the usual pace. It reports these with the expected remaining work of the requests
// that run and wait there. The ingress daemons keep the reports in a Table for each
// service, and correct them: for their age, for what they have sent there since, and for
// what they have measured of the answers themselves, so that a false report has a bounded
// effect. The expected end of a request is
//
//	(remaining work / slots + the route's time there) x pace
//
// A Table is used once one of the service's targets has reported a pace. Without paces the
// choice is that of package balance.
//
// # Usage
//
//	table := tables.ForService("registry")
//	table.RecordEnd(now, addr, "lookup", report)
//	if inForce, _ := table.InForce(now); inForce {
//		choice := table.Choose(now, "lookup", workload.Candidates{Local: local, Remote: remote, Own: own})
//		...
//		table.Done(end, choice, workload.Answered)
//	}
package workload

import (
	"math"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"
)

const (
	// maxTargets is the number of targets of a service that a Table keeps, and
	// maxRoutes the number of routes whose times it keeps for each.
	maxTargets = 1024
	maxRoutes  = 16
	// maxOpen is the number of open requests to a target that are counted.
	maxOpen = 256
	// MaxTime bounds the times of reports.
	MaxTime = time.Hour
	// maxSlots bounds the slots of reports.
	maxSlots = 1 << 16
	// utilizationOver is the time constant of the average utilization.
	utilizationOver = 5 * time.Second
	// meansEvery is the interval at which the means over the targets are computed. They
	// change slowly, and this takes longer than a choice.
	meansEvery = 50 * time.Millisecond
)

// Report is what a daemon reports of the target beside it.
type Report struct {
	// Slots is the number of requests that the target runs at the same time.
	Slots int
	// Backlog is the target time that the waiting and running requests need at the usual
	// pace.
	Backlog time.Duration
	// Demand is the target time that is requested per second, in seconds at the usual pace.
	Demand float64
	// Pace is the pace of the target, or 0 if it is unknown.
	Pace float64
	// ServiceTime is the mean target time of all requests, and RouteTime that of one route,
	// both at the usual pace and 0 if unknown.
	ServiceTime, RouteTime time.Duration
}

// bounded returns the report with its figures within bounds.
func (r Report) bounded() Report {
	return Report{
		Slots:       min(max(r.Slots, 0), maxSlots),
		Backlog:     min(max(r.Backlog, 0), MaxTime),
		Demand:      validDemand(r.Demand),
		Pace:        ValidPace(r.Pace),
		ServiceTime: min(max(r.ServiceTime, 0), MaxTime),
		RouteTime:   min(max(r.RouteTime, 0), MaxTime),
	}
}

// validDemand returns demand within its bounds, or 0 if it is no demand.
func validDemand(demand float64) float64 {
	if math.IsNaN(demand) || demand <= 0 {
		return 0
	}
	return min(demand, maxSlots)
}

// target is what is known of one target.
type target struct {
	report Report
	// reportAt is when the report arrived; zero if there is none. heartbeat is set if it
	// came with a heartbeat, which all daemons receive.
	reportAt  time.Time
	heartbeat bool
	pace      Pace
	// utilization is the average of the demand for each slot at the pace of the last
	// seconds, at reportAt.
	utilization float64
	// routeTimes has the mean times by the route's index in the Table, 0 if unknown.
	routeTimes [maxRoutes]float32
	// open has the requests of this daemon that are open there, in the order in which
	// they were sent.
	open []openRequest
	// slowness is the average time of this daemon's answers there relative to the mean of
	// all targets, 0 if unknown, the last of them at answeredAt.
	slowness   float64
	answeredAt time.Time
	// failures counts failures since the last answer, the last of them at failedAt.
	failures int
	failedAt time.Time
	usedAt   time.Time
}

// openRequest is a request that has been sent and has not ended.
type openRequest struct {
	sentAt time.Time
	id     uint64
	// work is the target time it needs, in seconds at the usual pace.
	work float64
}

// routeStats is what is known of a route.
type routeStats struct {
	name   string
	usedAt time.Time
	// measured is the mean time of this daemon's answers on the route, in seconds.
	measured float64
	// mean is the mean of the targets' times, in seconds; 0 if unknown.
	mean float64
}

// Table has what is known of the targets of one service. It is safe for concurrent use.
type Table struct {
	// random returns a random number in [0, n).
	random func(n int) int

	mu      sync.Mutex
	targets map[netip.AddrPort]*target
	routes  []routeStats
	// pacedAt is when a target last reported a pace.
	pacedAt time.Time
	// inForce is the result of the last call of InForce.
	inForce bool
	nextID  uint64
	// means has the means over the targets at meansAt.
	means   means
	meansAt time.Time
	// compared is the number of targets that are compared within a zone.
	compared int
}

// means are means over the targets of a service.
type means struct {
	// backlog is the remaining work for each slot, and service the mean service time, both
	// in seconds; pace is the mean of the average paces, slots that of the slots, and
	// utilization that of the utilizations.
	backlog, service, pace, slots, utilization float64
}

// NewTable returns an empty Table.
func NewTable() *Table {
	return &Table{random: rand.IntN, targets: map[netip.AddrPort]*target{}, compared: comparedTargets}
}

// RecordHeartbeat records a report from a heartbeat of the daemon at addr that arrived at
// now. Its pace is the average of the last seconds.
func (t *Table) RecordHeartbeat(now time.Time, addr netip.AddrPort, report Report) {
	report = report.bounded()
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.targetOf(now, addr)
	s.pace.RecordAverage(now, report.Pace)
	t.record(now, s, report, true)
}

// RecordEnd records a report that arrived at now with the end of a request of route, which
// the daemon at addr answered or rejected. Its pace is that of this moment.
func (t *Table) RecordEnd(now time.Time, addr netip.AddrPort, route string, report Report) {
	report = report.bounded()
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.targetOf(now, addr)
	s.pace.Record(now, report.Pace)
	t.record(now, s, report, false)
	if i := t.routeIndex(now, route); i >= 0 && report.RouteTime > 0 {
		s.routeTimes[i] = float32(report.RouteTime.Seconds())
	}
}

// record keeps a report of s unless a newer one is known. heartbeat is set if it came with
// a heartbeat. The caller holds the mutex.
func (t *Table) record(now time.Time, s *target, report Report, heartbeat bool) {
	if report.Pace > 0 && now.After(t.pacedAt) {
		t.pacedAt = now
	}
	if now.Before(s.reportAt) {
		return
	}
	if report.Slots > 0 {
		pace := s.pace.Average(now)
		if pace == 0 {
			pace = 1
		}
		utilization := report.Demand * pace / float64(report.Slots)
		weight := 1.0
		if !s.reportAt.IsZero() {
			weight -= math.Exp(-now.Sub(s.reportAt).Seconds() / utilizationOver.Seconds())
		}
		s.utilization += (utilization - s.utilization) * weight
	}
	s.report, s.reportAt, s.heartbeat = report, now, heartbeat
}

// InForce reports whether a target has reported a pace within the last minute, and
// whether that has changed since the last call.
func (t *Table) InForce(now time.Time) (inForce, changed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	inForce = !t.pacedAt.IsZero() && now.Sub(t.pacedAt) <= knownFor
	changed = inForce != t.inForce
	t.inForce = inForce
	return inForce, changed
}

// targetOf returns what is known of the target at addr, and adds it if necessary. The
// caller holds the mutex.
func (t *Table) targetOf(now time.Time, addr netip.AddrPort) *target {
	s := t.targets[addr]
	if s == nil {
		t.makeRoom()
		s = &target{}
		t.targets[addr] = s
	}
	s.usedAt = now
	return s
}

// makeRoom removes the target that has not been used for the longest time if the table is
// full. The caller holds the mutex.
func (t *Table) makeRoom() {
	if len(t.targets) < maxTargets {
		return
	}
	var oldest netip.AddrPort
	var usedAt time.Time
	for addr, s := range t.targets {
		if !oldest.IsValid() || s.usedAt.Before(usedAt) {
			oldest, usedAt = addr, s.usedAt
		}
	}
	delete(t.targets, oldest)
}

// routeIndex returns the index of a route, and adds it if necessary. If there are
// maxRoutes others that were used within the last minute, it returns -1. The caller holds
// the mutex.
func (t *Table) routeIndex(now time.Time, name string) int {
	oldest := 0
	for i := range t.routes {
		r := &t.routes[i]
		if r.name == name {
			r.usedAt = now
			return i
		}
		if r.usedAt.Before(t.routes[oldest].usedAt) {
			oldest = i
		}
	}
	if len(t.routes) < maxRoutes {
		t.routes = append(t.routes, routeStats{name: name, usedAt: now})
		return len(t.routes) - 1
	}
	if now.Sub(t.routes[oldest].usedAt) < knownFor {
		return -1
	}
	t.routes[oldest] = routeStats{name: name, usedAt: now}
	for _, s := range t.targets {
		s.routeTimes[oldest] = 0
	}
	return oldest
}

// updateMeans computes the means over the targets if they are old. The caller holds the
// mutex.
func (t *Table) updateMeans(now time.Time) {
	if now.Sub(t.meansAt) < meansEvery && !now.Before(t.meansAt) && !t.meansAt.IsZero() {
		return
	}
	t.meansAt = now
	var backlog, service, pace, slots, utilization, count float64
	var logs, known [maxRoutes]float64
	for _, s := range t.targets {
		if s.reportAt.IsZero() || now.Sub(s.reportAt) > knownFor {
			continue
		}
		count++
		perSlot := float64(max(s.report.Slots, 1))
		// A figure counts up to a multiple of the last mean, so that a false one does not
		// determine the mean.
		backlog += min(s.report.Backlog.Seconds()/perSlot, 2*t.means.backlog+0.05)
		utilization += min(s.utilization, 2*t.means.utilization+0.05)
		service += min(s.report.ServiceTime.Seconds(), 2*t.means.service+0.05)
		slots += min(perSlot, 2*t.means.slots+10)
		pace += min(s.paceAt(now, 1), 2*t.means.pace+1)
		for i := range t.routes {
			if s.routeTimes[i] > 0 {
				logs[i] += math.Log(float64(s.routeTimes[i]))
				known[i]++
			}
		}
	}
	if count == 0 {
		t.means = means{pace: 1, slots: 1}
		return
	}
	t.means = means{
		backlog: backlog / count, service: service / count, pace: max(pace/count, MinPace), slots: max(slots/count, 1), utilization: utilization / count,
	}
	for i := range t.routes {
		t.routes[i].mean = 0
		if known[i] > 0 {
			t.routes[i].mean = math.Exp(logs[i] / known[i])
		}
	}
}

// paceAt returns the expected pace of s, or otherwise if it is unknown.
func (s *target) paceAt(now time.Time, otherwise float64) float64 {
	if pace := s.pace.At(now); pace > 0 {
		return pace
	}
	return otherwise
}

// Tables holds the Table of each service. The zero value is ready to use. It is safe for
// concurrent use.
type Tables struct{ byService sync.Map }

// ForService returns the Table of a service, and creates it if necessary.
func (t *Tables) ForService(service string) *Table {
	if found, ok := t.byService.Load(service); ok {
		return found.(*Table)
	}
	found, _ := t.byService.LoadOrStore(service, NewTable())
	return found.(*Table)
}
