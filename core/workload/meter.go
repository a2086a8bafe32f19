package workload

import (
	"sync"
	"time"
)

const (
	// maxMeasuredRoutes is the number of routes whose time a Meter keeps.
	maxMeasuredRoutes = 64
	// measuredWeight is the share of a new measurement in a mean time.
	measuredWeight = 1.0 / 12
)

// Meter measures the target beside a daemon: its pace, and the mean time of each route at
// its usual pace. The zero value is ready to use. It is safe for concurrent use.
type Meter struct {
	mu     sync.Mutex
	pace   Pace
	routes map[string]time.Duration
	mean   time.Duration
}

// RecordPace records the pace that an answer of the target gives.
func (m *Meter) RecordPace(now time.Time, pace float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.pace.Record(now, pace)
}

// Pace returns the expected pace at now and the average of the last seconds, both 0 if the
// target has reported no pace within the last minute.
func (m *Meter) Pace(now time.Time) (current, average float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.pace.At(now), m.pace.Average(now)
}

// RecordServed records a request of route that the target ran from started to ended, and
// that was sent at the given pace. It returns the time that the request would have taken
// at the usual pace. A pace of 0 is unknown and counts as the usual one. failed is set if
// the target answered with an error or not at all: with a known pace, such a request counts
// as at least the route's time, since a target that fails at once would otherwise seem the
// fastest and get most requests.
func (m *Meter) RecordServed(started, ended time.Time, route string, paceAtStart float64, failed bool) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	pace := 1.0
	if paceAtEnd := m.pace.At(ended); paceAtEnd > 0 {
		pace = paceAtEnd
		if paceAtStart > 0 {
			pace = (paceAtStart + paceAtEnd) / 2
		}
	}
	took := time.Duration(max(ended.Sub(started), 0).Seconds() / pace * float64(time.Second))
	if failed && m.pace.Known(ended) {
		took = max(took, m.routeTime(route))
	}
	if m.routes == nil {
		m.routes = map[string]time.Duration{}
	}
	if old, known := m.routes[route]; known || len(m.routes) < maxMeasuredRoutes {
		m.routes[route] = meanOf(old, took)
	}
	m.mean = meanOf(m.mean, took)
	return took
}

// RouteTime returns the mean time of a route at the usual pace, or that over all routes
// if the route has not been measured; 0 if none has.
func (m *Meter) RouteTime(route string) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.routeTime(route)
}

// routeTime is RouteTime for callers that hold the mutex.
func (m *Meter) routeTime(route string) time.Duration {
	if t, known := m.routes[route]; known {
		return t
	}
	return m.mean
}

// meanOf returns the moving average after the measurement took; 0 stands for no average.
func meanOf(old, took time.Duration) time.Duration {
	if old == 0 {
		return took
	}
	return old + time.Duration(float64(took-old)*measuredWeight)
}
