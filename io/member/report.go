package member

import (
	"cmp"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"siskinknot/core/fleet"
	"siskinknot/core/hotkeys"
	"siskinknot/io/boottime"
	"siskinknot/io/peer/peerpb"
)

// Limits of a load report.
const (
	// trackedKeys is the number of keys whose load is counted individually.
	trackedKeys = 64
	// reportedSlots and reportedKeys are the maximum numbers of slots and of
	// keys in a report, which limit its size.
	reportedSlots = 32
	reportedKeys  = 8
	// maxPlannerFailures is the number of consecutive failed reports after
	// which a daemon treats the planner as lost.
	maxPlannerFailures = 3
	// minQuartileRequests is the minimum number of requests for which the 25th
	// percentile of their service times is meaningful.
	minQuartileRequests = 20
)

// loadCounter counts the service time of the requests to this daemon's units.
type loadCounter struct {
	keys *hotkeys.Keys
	// busy is the service time by slot, and total is that of all slots, both
	// counted from since.
	busy  map[int]time.Duration
	total time.Duration
	since time.Time
	// durations are the service times of requests in microseconds. A request
	// that the target shed counts with the longest time that the histogram
	// holds.
	durations *hdrhistogram.Histogram
}

// newLoadCounter returns a loadCounter that has counted no requests.
func newLoadCounter() loadCounter {
	const maxMicros, significantDigits = int64(time.Hour / time.Microsecond), 1
	return loadCounter{keys: hotkeys.New(trackedKeys), busy: map[int]time.Duration{}, durations: hdrhistogram.New(1, maxMicros, significantDigits)}
}

// add counts a request for key with service time busy. busy is 0 for a request
// that the target did not run; shed is whether the target shed it.
func (l *loadCounter) add(slot int, key string, busy time.Duration, shed bool) {
	l.busy[slot] += busy
	l.total += busy
	l.keys.Add(key, busy)
	switch {
	case shed:
		_ = l.durations.RecordValue(l.durations.HighestTrackableValue())
	case busy > 0:
		_ = l.durations.RecordValue(min(max(busy.Microseconds(), 1), l.durations.HighestTrackableValue()))
	}
}

// lowerQuartile returns the 25th percentile of the service times in
// microseconds, and discards them. It returns 0 and keeps them while there are
// fewer than minQuartileRequests.
func (l *loadCounter) lowerQuartile() uint64 {
	if l.durations.TotalCount() < minQuartileRequests {
		return 0
	}
	quartile := l.durations.ValueAtQuantile(25)
	l.durations.Reset()
	return uint64(quartile)
}

// report is the task that reports this daemon's load to the planner. It claims
// the planner's role if there is no planner, or if the planner does not answer.
func (m *Member) report() error {
	failures := 0
	for {
		if !m.sleep(m.interval() / 2) {
			return nil
		}
		planner, msg := m.buildReport(boottime.Now())
		switch {
		case msg == nil:
			failures = 0
		case planner == nil, !m.ask(planner, &peerpb.Call{Kind: &peerpb.Call_Report{Report: msg}}):
			failures++
		default:
			failures = 0
		}
		if failures >= maxPlannerFailures || (msg != nil && planner == nil) {
			m.claimPlanner(boottime.Now())
		}
	}
}

// buildReport returns the planner and a report of the load since the last call.
// The planner is nil if it is lost. The report is nil while this daemon is not a
// member with guardians.
func (m *Member) buildReport(now time.Time) (*fleet.Member, *peerpb.Report) {
	m.mu.Lock()
	defer m.mu.Unlock()
	svc := m.state.Service(m.cfg.Service)
	self := m.state.Member(m.id)
	if svc == nil || self == nil || self.Epoch == 0 {
		return nil, nil
	}
	elapsed := now.Sub(m.load.since)
	msg := &peerpb.Report{
		From:        string(m.id),
		Service:     m.cfg.Service,
		BusyUs:      perSecond(m.load.total, elapsed),
		TargetSlots: uint32(m.state.Settings().Effective(m.cfg.Service, "").TargetSlots),
		Cold:        m.target == TargetCold,
		Units:       m.unitLoads(svc, elapsed),
		QuickUs:     m.load.lowerQuartile(),
	}
	m.load.busy = map[int]time.Duration{}
	m.load.total = 0
	m.load.since = now
	m.load.keys.Halve()
	planner := m.state.Member(svc.Planner)
	if planner != nil && planner.Succeeded {
		planner = nil
	}
	return planner, msg
}

// unitLoads returns the loads of the busiest slots and keys that this daemon
// owns, for a period of length elapsed. The caller holds the mutex.
func (m *Member) unitLoads(svc *fleet.Service, elapsed time.Duration) []*peerpb.UnitLoad {
	var units []*peerpb.UnitLoad
	for _, unit := range svc.UnitsOwnedBy(m.id) {
		if busy := m.load.busy[unit.Slot]; unit.Key == "" && busy > 0 {
			units = append(units, &peerpb.UnitLoad{
				Slot: uint32(unit.Slot), Token: unit.Token, BusyUs: perSecond(busy, elapsed),
			})
		}
	}
	slices.SortFunc(units, func(a, b *peerpb.UnitLoad) int { return cmp.Compare(b.BusyUs, a.BusyUs) })
	units = units[:min(len(units), reportedSlots)]
	for _, k := range m.load.keys.Top(reportedKeys) {
		unit, owner := svc.UnitOf(k.Key)
		if owner.ID != m.id {
			continue
		}
		// The counters are halved at each report, so under steady load they
		// hold twice the service time of one period.
		units = append(units, &peerpb.UnitLoad{
			Slot: uint32(unit.Slot), Key: k.Key, Token: unit.Token, BusyUs: perSecond(k.TargetTime/2, elapsed),
		})
	}
	return units
}

// perSecond returns the average service time per second, in microseconds, where
// busy is the service time during elapsed.
func perSecond(busy, elapsed time.Duration) uint64 {
	if elapsed <= 0 {
		return 0
	}
	return uint64(busy.Seconds() / elapsed.Seconds() * 1e6)
}
