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
	// trackedKeys is the number of keys whose load is counted.
	trackedKeys = 64
	// reportedUnits and reportedKeys bound the size of a report.
	reportedUnits = 32
	reportedKeys  = 8
	// plannerFailures is the number of reports that fail before a daemon takes
	// the planner for lost.
	plannerFailures = 3
	// fewRequests is the number of requests from which on the quickest quarter of
	// them says something about the target.
	fewRequests = 20
)

// loads counts the target time of this daemon's units.
type loads struct {
	keys  *hotkeys.Keys
	busy  map[int]time.Duration
	total time.Duration
	since time.Time
	// times are how long requests took, in microseconds; those that the target
	// shed count as taking the longest time that it holds.
	times *hdrhistogram.Histogram
}

// newLoads returns loads that have counted nothing.
func newLoads() loads {
	const longest, digits = int64(time.Hour / time.Microsecond), 1
	return loads{keys: hotkeys.New(trackedKeys), busy: map[int]time.Duration{}, times: hdrhistogram.New(1, longest, digits)}
}

// add counts a request's target time.
func (l *loads) add(slot int, key string, busy time.Duration, shed bool) {
	l.busy[slot] += busy
	l.total += busy
	l.keys.Add(key, busy)
	switch {
	case shed:
		_ = l.times.RecordValue(l.times.HighestTrackableValue())
	case busy > 0:
		_ = l.times.RecordValue(min(max(busy.Microseconds(), 1), l.times.HighestTrackableValue()))
	}
}

// quick returns how long the quickest quarter of the requests took at most, in
// microseconds, and begins anew; 0 while there are too few.
func (l *loads) quick() uint64 {
	if l.times.TotalCount() < fewRequests {
		return 0
	}
	quarter := l.times.ValueAtQuantile(25)
	l.times.Reset()
	return uint64(quarter)
}

// report is the task that tells the planner this daemon's load.
func (m *Member) report() error {
	failures := 0
	for {
		if !m.live(m.interval() / 2) {
			return nil
		}
		planner, msg := m.takeReport(boottime.Now())
		switch {
		case msg == nil:
			failures = 0
		case planner == nil, !m.ask(planner, &peerpb.Call{Kind: &peerpb.Call_Report{Report: msg}}):
			failures++
		default:
			failures = 0
		}
		if failures >= plannerFailures || (msg != nil && planner == nil) {
			m.claimPlanning(boottime.Now())
		}
	}
}

// takeReport returns the planner, if it is not lost, and the load since the
// last report; nil while this daemon has nothing to report.
func (m *Member) takeReport(now time.Time) (*fleet.Member, *peerpb.Report) {
	m.mu.Lock()
	defer m.mu.Unlock()
	svc := m.state.Service(m.cfg.Service)
	self := m.state.Member(m.me)
	if svc == nil || self == nil || self.Epoch == 0 {
		return nil, nil
	}
	elapsed := now.Sub(m.load.since)
	msg := &peerpb.Report{
		From:        string(m.me),
		Service:     m.cfg.Service,
		BusyUs:      perSecond(m.load.total, elapsed),
		TargetSlots: uint32(m.state.Settings().Effective(m.cfg.Service, "").TargetSlots),
		Cold:        m.target == TargetCold,
		Units:       m.unitLoads(svc, elapsed),
		QuickUs:     m.load.quick(),
	}
	m.load.busy = map[int]time.Duration{}
	m.load.total = 0
	m.load.since = now
	m.load.keys.Fade()
	planner := m.state.Member(svc.Planner)
	if planner != nil && planner.Succeeded {
		planner = nil
	}
	return planner, msg
}

// unitLoads returns the loads of the busiest units and keys. The caller holds
// the mutex.
func (m *Member) unitLoads(svc *fleet.Service, elapsed time.Duration) []*peerpb.UnitLoad {
	var units []*peerpb.UnitLoad
	for _, unit := range svc.UnitsOf(m.me) {
		if busy := m.load.busy[unit.Slot]; unit.Key == "" && busy > 0 {
			units = append(units, &peerpb.UnitLoad{
				Slot: uint32(unit.Slot), Token: unit.Token, BusyUs: perSecond(busy, elapsed),
			})
		}
	}
	slices.SortFunc(units, func(a, b *peerpb.UnitLoad) int { return cmp.Compare(b.BusyUs, a.BusyUs) })
	units = units[:min(len(units), reportedUnits)]
	for _, k := range m.load.keys.Top(reportedKeys) {
		unit, owner := svc.UnitOf(k.Key)
		if owner.ID != m.me {
			continue
		}
		// The counters fade by half at each report, so in the long run they
		// hold twice the time of one.
		units = append(units, &peerpb.UnitLoad{
			Slot: uint32(unit.Slot), Key: k.Key, Token: unit.Token, BusyUs: perSecond(k.Busy/2, elapsed),
		})
	}
	return units
}

// perSecond returns busy time a second, in microseconds.
func perSecond(busy, elapsed time.Duration) uint64 {
	if elapsed <= 0 {
		return 0
	}
	return uint64(busy.Seconds() / elapsed.Seconds() * 1e6)
}
