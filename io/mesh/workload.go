package mesh

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"

	"siskinknot/core/balance"
	"siskinknot/core/outcome"
	"siskinknot/core/placement"
	"siskinknot/core/record"
	"siskinknot/core/request"
	"siskinknot/core/workload"
	"siskinknot/io/boottime"
	"siskinknot/io/forward"
	"siskinknot/io/peer/peerpb"
)

// busyFraction is the ratio of running and queued requests to slots at which a target in
// the same zone is no longer preferred, while no target of the service reports a pace.
const busyFraction = 0.75

// recordServerLoad records the load that an answer of the target gives; nil if none.
func (m *Mesh) recordServerLoad(now time.Time, load *request.ServerLoad) {
	if load != nil {
		m.meter.RecordPace(now, load.Pace)
	}
}

// succeeded reports whether the target answered a request without an error of its own.
func succeeded(res outcome.Result) bool {
	answered, ok := res.(outcome.Answered)
	return ok && answered.Status < http.StatusInternalServerError
}

// ownBacklog returns the expected remaining work of the target's requests at the usual
// pace, and the target's average pace, or 0 if it is unknown.
func (m *Mesh) ownBacklog(now time.Time) (backlog time.Duration, averagePace float64) {
	current, average := m.meter.Pace(now)
	if current == 0 {
		current = 1
	}
	return m.scheduler.Backlog(now, current, m.meter.RouteTime), average
}

// endLoad returns the load to send with the end of a request of route, or nil if the
// target reports no pace: other daemons do not use the load then.
func (m *Mesh) endLoad(now time.Time, route string) *peerpb.TargetLoad {
	if current, _ := m.meter.Pace(now); current == 0 {
		return nil
	}
	m.mu.Lock()
	load := m.ownLoad(now)
	m.mu.Unlock()
	if !m.describeNow(now, route, load) {
		return nil
	}
	return load
}

// describeNow sets the pace of load to that of this moment, and the time of route. It
// reports false if the pace is unknown.
func (m *Mesh) describeNow(now time.Time, route string, load *peerpb.TargetLoad) bool {
	current, _ := m.meter.Pace(now)
	if current == 0 {
		return false
	}
	load.Pace = current
	load.RouteUs = uint64(m.meter.RouteTime(route).Microseconds())
	return true
}

// attachLoad adds the load of the target to the end of a request that another daemon
// has forwarded.
func (m *Mesh) attachLoad(head *request.Head, ex forward.Exchange) {
	sink, ok := ex.(forward.LoadSink)
	if !ok {
		return
	}
	if load := m.endLoad(boottime.Now(), head.Route); load != nil {
		sink.Load(load)
	}
}

// workloadReport converts a load to the report of a Table.
func workloadReport(load *peerpb.TargetLoad) workload.Report {
	duration := func(us uint64) time.Duration { return time.Duration(min(us, maxServiceUs)) * time.Microsecond }
	return workload.Report{
		Slots:       int(load.Slots),
		Backlog:     duration(load.BacklogUs),
		Demand:      load.Demand,
		Pace:        load.Pace,
		ServiceTime: duration(load.ServiceUs),
		RouteTime:   duration(load.RouteUs),
	}
}

// recordWorkload records the load in a heartbeat of the daemon at addr, whose target
// belongs to service.
func (m *Mesh) recordWorkload(now time.Time, service string, addr netip.AddrPort, load *peerpb.TargetLoad) {
	m.workloads.ForService(service).RecordHeartbeat(now, addr, workloadReport(load))
}

// recordEndLoad records the load that came with the end of a request from the daemon at
// addr.
func (m *Mesh) recordEndLoad(addr netip.AddrPort, head *request.Head, load *peerpb.TargetLoad) {
	m.workloads.ForService(head.Service).RecordEnd(boottime.Now(), addr, head.Route, workloadReport(load))
}

// candidateList has the targets that a request may be sent to. Lists are reused, since a
// service may have hundreds of targets.
type candidateList struct {
	// local are those in this zone that are not cold, and remote the others. idle are those
	// of local that have free slots. tried were tried already.
	local, remote, idle, tried []netip.AddrPort
	// own is the one of local beside this daemon, or zero.
	own netip.AddrPort
	// loads has the loads of the members that are neither tried nor excluded, if the target
	// of one of them names a limit, and members their addresses and zones.
	loads   []placement.Load
	members []candidate
}

// candidate is a target that a request may be sent to.
type candidate struct {
	addr        netip.AddrPort
	local, idle bool
}

// candidateLists holds the lists that are not in use.
var candidateLists = sync.Pool{New: func() any { return &candidateList{} }}

// release makes the list available for other requests.
func (l *candidateList) release() {
	l.local, l.remote, l.idle, l.tried = l.local[:0], l.remote[:0], l.idle[:0], l.tried[:0]
	l.loads, l.members, l.own = l.loads[:0], l.members[:0], netip.AddrPort{}
	candidateLists.Put(l)
}

// candidates returns the candidates as a Table chooses among them. They are valid until
// the list is released.
func (l *candidateList) candidates() workload.Candidates {
	return workload.Candidates{Local: l.local, Remote: l.remote, Own: l.own}
}

// count returns the number of candidates.
func (l *candidateList) count() int { return len(l.local) + len(l.remote) }

// at returns the candidate with index i.
func (l *candidateList) at(i int) netip.AddrPort {
	if i < len(l.local) {
		return l.local[i]
	}
	return l.remote[i-len(l.local)]
}

// sample moves the members that take part in the choice to local, remote and idle. Members
// whose targets name a limit take part in proportion to their capacity. self is the address of
// this daemon.
func (l *candidateList) sample(self netip.AddrPort) {
	var takesPart []bool
	if len(l.loads) > 0 {
		takesPart = placement.SampleByCapacity(l.loads, rand.Float64)
	}
	for i, c := range l.members {
		if takesPart != nil && !takesPart[i] {
			continue
		}
		if c.idle {
			l.idle = append(l.idle, c.addr)
		}
		if c.local {
			l.local = append(l.local, c.addr)
			if c.addr == self {
				l.own = self
			}
		} else {
			l.remote = append(l.remote, c.addr)
		}
	}
}

// candidates returns the targets that a request to a shared service may be sent to.
// Targets that were tried already are returned only if there are no others, and targets in
// evacuated zones never: if only such are left, that is set in c. The caller must release
// the list.
func (m *Mesh) candidates(now time.Time, c *call) *candidateList {
	l := candidateLists.Get().(*candidateList)
	m.mu.Lock()
	defer m.mu.Unlock()
	own := m.ownLoad(now)
	m.recordReport(now, m.cfg.Self, own)
	if c.head.Service == m.cfg.Service && m.describeNow(now, c.head.Route, own) {
		m.workloads.ForService(m.cfg.Service).RecordEnd(now, m.cfg.Self, c.head.Route, workloadReport(own))
	}
	m.collectMembers(now, c, l)
	switch {
	case c.onTrial:
		for _, other := range l.members {
			l.tried = append(l.tried, other.addr)
		}
		l.remote = append(l.remote, trialTarget(l.tried, c.fingerprint)...)
	case len(l.members) == 0:
		l.remote = append(l.remote, l.tried...)
	default:
		l.sample(m.cfg.Self)
	}
	return l
}

// collectMembers adds the members of the service of c that take requests to l. The caller
// holds the mutex.
func (m *Mesh) collectMembers(now time.Time, c *call, l *candidateList) {
	oldest, limited := now.Add(-maxReportAge-m.heartbeatRotationTime()), false
	evacuated, excluded := m.evacuation.Current(), 0
	for _, member := range m.dir.MembersOf(c.head.Service) {
		if evacuated.Contains(member.Zone) || slices.Contains(c.avoidedZones, member.Zone) {
			excluded++
			continue
		}
		r, known := m.reports[member.Address]
		if (known && (!r.Accepting || r.receivedAt.Before(oldest))) || !m.reachable(member, r.receivedAt) {
			continue
		}
		if len(c.triedTargets) > 0 && slices.Contains(c.triedTargets, member.Address) {
			l.tried = append(l.tried, member.Address)
			continue
		}
		local := member.Zone == m.cfg.Zone
		idle := known && local && !r.Cold && float64(r.inFlight+r.queued) < busyFraction*float64(r.Slots)
		limited = limited || r.MaxRate > 0
		l.members = append(l.members, candidate{addr: member.Address, local: local && !r.Cold, idle: idle})
	}
	c.allEvacuated = excluded > 0 && len(l.members)+len(l.tried) == 0
	if !limited {
		return
	}
	for _, member := range l.members {
		l.loads = append(l.loads, m.reports[member.addr].Load)
	}
	placement.AdjustCold(l.loads)
}

// sendToShared sends a request to one target of a shared service.
func (m *Mesh) sendToShared(ctx context.Context, c *call) outcome.Result {
	now := boottime.Now()
	list := m.candidates(now, c)
	if list.count() == 0 {
		list.release()
		if c.allEvacuated {
			return outcome.NotRun{Reason: outcome.Evacuated}
		}
		return outcome.NotRun{Reason: outcome.NoOwner}
	}
	table := m.workloads.ForService(c.head.Service)
	if m.workloadInForce(now, c.head.Service, table) {
		choice := table.Choose(now, c.head.Route, list.candidates())
		list.release()
		return m.sendByCost(ctx, c, table, choice)
	}
	n, at := list.count(), list.at
	if len(list.idle) > 0 {
		n, at = len(list.idle), func(i int) netip.AddrPort { return list.idle[i] }
	}
	chooser := m.choosers.ForService(c.head.Service)
	_, chosen := chooser.PickIndex(now, balance.TwoChoices, n, func(i int) record.Incarnation { return record.Incarnation(at(i).String()) })
	list.release()
	return m.sendByLatency(ctx, c, now, chooser, chosen)
}

// sendToOneOf chooses one of targets, of which there is at least one, and sends a redirected
// request to it.
func (m *Mesh) sendToOneOf(ctx context.Context, c *call, now time.Time, targets []netip.AddrPort) outcome.Result {
	table := m.workloads.ForService(c.head.Service)
	if m.workloadInForce(now, c.head.Service, table) {
		return m.sendByCost(ctx, c, table, table.Choose(now, c.head.Route, workload.Candidates{Local: targets}))
	}
	ids := make([]record.Incarnation, 0, len(targets))
	for _, addr := range targets {
		ids = append(ids, record.Incarnation(addr.String()))
	}
	chooser := m.choosers.ForService(c.head.Service)
	return m.sendByLatency(ctx, c, now, chooser, chooser.PickAmong(now, balance.TwoChoices, ids))
}

// sendByLatency sends a request to the target that chooser has chosen by its own measurements.
func (m *Mesh) sendByLatency(ctx context.Context, c *call, now time.Time, chooser *balance.Chooser, chosen record.Incarnation) outcome.Result {
	m.metrics.recordTwoChoices()
	res := m.sendToChosen(ctx, c, netip.MustParseAddrPort(string(chosen)))
	ended := boottime.Now()
	_, answered := res.(outcome.Answered)
	chooser.Done(ended, chosen, ended.Sub(now), answered || reasonOf(res) == outcome.Cancelled)
	return res
}

// sendByCost sends a request to the target that table has chosen.
func (m *Mesh) sendByCost(ctx context.Context, c *call, table *workload.Table, choice workload.Choice) outcome.Result {
	m.metrics.recordChoice(choice)
	res := m.sendToChosen(ctx, c, choice.Target)
	end := workload.Failed
	if _, answered := res.(outcome.Answered); answered {
		end = workload.Answered
	} else if reasonOf(res) == outcome.Cancelled {
		end = workload.Left
	}
	table.Done(boottime.Now(), choice, end)
	return res
}

// sendToChosen sends a request to the target of a shared service whose daemon is at addr.
func (m *Mesh) sendToChosen(ctx context.Context, c *call, addr netip.AddrPort) outcome.Result {
	c.triedTargets = append(c.triedTargets, addr)
	res := m.sendTo(ctx, ctx, addr, c)
	if reasonOf(res) == outcome.Evacuated {
		m.avoidZoneOf(c, addr)
	}
	return res
}

// workloadInForce reports whether the targets of a service are chosen by table, and logs
// changes.
func (m *Mesh) workloadInForce(now time.Time, service string, table *workload.Table) bool {
	inForce, changed := table.InForce(now)
	if changed {
		m.log.Debug("choice of targets changed", "service", service, "by_cost", inForce)
	}
	return inForce
}
