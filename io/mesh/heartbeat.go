package mesh

import (
	"math"
	"net/netip"
	"time"

	"google.golang.org/protobuf/proto"

	"siskinknot/core/coldstart"
	"siskinknot/core/directory"
	"siskinknot/core/evacuation"
	"siskinknot/core/placement"
	"siskinknot/core/tenure"
	"siskinknot/core/workload"
	"siskinknot/io/boottime"
	"siskinknot/io/peer"
	"siskinknot/io/peer/peerpb"
)

const (
	// othersEveryRounds is the number of heartbeat rounds to guardians for each
	// round to other members, and maxOthersPerRound the largest number of other
	// members in such a round. The others get heartbeats in turn, so that the
	// traffic of a member does not grow with the fleet.
	othersEveryRounds = 2
	maxOthersPerRound = 16
	// maxReportAge is the age up to which a member's load report is used.
	maxReportAge = 2 * time.Second
	// maxServiceUs is the longest mean service time that is used of a report, in
	// microseconds.
	maxServiceUs = uint64(time.Hour / time.Microsecond)
	// maxColdMs is the longest cold time that is used of a report, in milliseconds.
	maxColdMs = uint64(coldstart.MaxColdTime / time.Millisecond)
)

// loadReport is the load that a member reported for its target.
type loadReport struct {
	placement.Load
	receivedAt time.Time
	inFlight   int
	queued     int
}

// runHeartbeats is the task that sends heartbeats.
func (m *Mesh) runHeartbeats() error {
	round, nextOther := 0, 0
	return m.runEvery(tenure.RenewInterval, func(now time.Time) {
		round++
		m.tickEvacuations(now)
		m.mu.Lock()
		load := m.ownLoad(now)
		me := m.dir.Member(m.cfg.Self)
		msg := &peerpb.Heartbeat{From: m.cfg.Self.String(), DirectoryEnd: m.dir.Version(), Load: load, StoreOk: m.storeOK, StoreEra: m.storeEra.Load()}
		msg.Evacuations = m.evacuationsToSend()
		if m.table != nil {
			msg.ConfigVersion = m.table.Version
		}
		loaded := m.loaded
		planner := m.firstActive()
		var guardians, others []netip.AddrPort
		for _, member := range m.dir.Members() {
			switch {
			case member.Address == m.cfg.Self:
			case me != nil && me.HasGuardian(member.Address):
				guardians = append(guardians, member.Address)
			case round%othersEveryRounds == 0:
				others = append(others, member.Address)
			}
		}
		m.mu.Unlock()
		if !loaded {
			return
		}
		renewal := proto.CloneOf(msg)
		renewal.Renew = true
		for _, addr := range guardians {
			go m.sendHeartbeat(addr, renewal)
		}
		for _, addr := range nextBatch(others, &nextOther) {
			go m.sendHeartbeat(addr, msg)
		}
		// The planner relies on recent reports, so it gets a heartbeat in every
		// such round.
		if len(others) > maxOthersPerRound && planner != m.cfg.Self {
			go m.sendHeartbeat(planner, msg)
		}
	})
}

// nextBatch returns the next maxOthersPerRound elements of list, starting at
// index *next, which it advances.
func nextBatch(list []netip.AddrPort, next *int) []netip.AddrPort {
	if len(list) <= maxOthersPerRound {
		return list
	}
	batch := make([]netip.AddrPort, 0, maxOthersPerRound)
	for i := range maxOthersPerRound {
		batch = append(batch, list[(*next+i)%len(list)])
	}
	*next = (*next + maxOthersPerRound) % len(list)
	return batch
}

// firstActive returns the first active member, which is the planner unless it
// is unresponsive. The caller holds the mutex.
func (m *Mesh) firstActive() netip.AddrPort {
	for _, member := range m.dir.Members() {
		if member.State == directory.Active {
			return member.Address
		}
	}
	return m.cfg.Self
}

// heartbeatRotationTime returns how much longer than one round it takes until
// each of the other members has been sent a heartbeat. Timeouts for
// unresponsive members are extended by this time. The caller holds the mutex.
func (m *Mesh) heartbeatRotationTime() time.Duration {
	others := len(m.dir.Members()) - 1
	return time.Duration(max(0, others-1)/maxOthersPerRound) * othersEveryRounds * tenure.RenewInterval
}

// sendHeartbeat sends a heartbeat to another member.
func (m *Mesh) sendHeartbeat(addr netip.AddrPort, msg *peerpb.Heartbeat) {
	ctx, cancel := m.withTimeout(peerTimeout)
	defer cancel()
	sentAt := boottime.Now()
	m.metrics.heartbeats.Inc(1)
	purpose := peer.Requests
	if msg.Renew {
		purpose = peer.Control
	}
	reply, err := m.pool.CallWithPurpose(ctx, addr, purpose, &peerpb.Call{Kind: &peerpb.Call_Heartbeat{Heartbeat: msg}})
	if err != nil {
		return
	}
	now := boottime.Now()
	m.observeEra(now, reply.StoreEra)
	m.mu.Lock()
	m.mergeEvacuations(now, addr.String(), reply.Evacuations)
	m.evacuation.Confirm(sentAt)
	m.configCurrency.Observe(sentAt, reply.SettingsVersion)
	m.heartbeatAnsweredAt = now
	m.leases.RecordHeartbeat(now, addr)
	m.leases.RecordConfirmation(now, addr, reply.NextOffset)
	if msg.Renew && reply.Granted {
		m.leases.RecordGrant(now, sentAt, addr)
	}
	m.fetch(now, addr, reply.NextOffset, reply.SettingsVersion)
	m.mu.Unlock()
	m.compareSuspects(now, addr, reply.SuspectsDigest)
}

// handleHeartbeat records another member's heartbeat, and renews the member's
// lease if the heartbeat requests it.
func (m *Mesh) handleHeartbeat(hb *peerpb.Heartbeat) *peerpb.Reply {
	from, err := netip.ParseAddrPort(hb.From)
	if err != nil {
		return &peerpb.Reply{Error: "sender " + hb.From + " is not an address"}
	}
	now := boottime.Now()
	m.observeEra(now, hb.StoreEra)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.mergeEvacuations(now, hb.From, hb.Evacuations)
	m.leases.RecordHeartbeat(now, from)
	m.receivedHeartbeats[from] = peerHeartbeat{receivedAt: now, storeOK: hb.StoreOk}
	m.recordReport(now, from, hb.Load)
	m.leases.RecordConfirmation(now, from, hb.DirectoryEnd)
	reply := &peerpb.Reply{NextOffset: m.dir.Version(), StoreEra: m.storeEra.Load(), SuspectsDigest: m.suspects.Digest()}
	reply.Evacuations = m.evacuationsInReply(hb.Evacuations)
	if m.table != nil {
		reply.SettingsVersion = m.table.Version
	}
	if hb.Renew {
		reply.Granted = m.leases.MayRenew(now, m.dir, from)
	}
	m.fetch(now, from, hb.DirectoryEnd, hb.ConfigVersion)
	return reply
}

// recordReport records the load that a member reports for its target. The
// caller holds the mutex.
func (m *Mesh) recordReport(now time.Time, from netip.AddrPort, load *peerpb.TargetLoad) {
	if load == nil {
		return
	}
	m.reports[from] = loadReport{
		Load: placement.Load{
			Member:      from,
			Accepting:   load.Accepting,
			Cold:        load.Cold,
			Slots:       int(load.Slots),
			Demand:      nonNegative(load.Demand),
			ServiceTime: time.Duration(min(load.ServiceUs, maxServiceUs)) * time.Microsecond,
			MaxRate:     nonNegative(load.MaxRate),
			ColdFor:     time.Duration(min(load.ColdMs, maxColdMs)) * time.Millisecond,
			Pace:        workload.ValidPace(load.Pace),
		},
		receivedAt: now,
		inFlight:   int(load.InFlight),
		queued:     int(load.Queued),
	}
	if member := m.dir.Member(from); member != nil && from != m.cfg.Self {
		m.recordWorkload(now, member.Service, from, load)
	}
}

// nonNegative returns x, or 0 if x is negative or not a finite number.
func nonNegative(x float64) float64 {
	if math.IsNaN(x) || math.IsInf(x, 0) {
		return 0
	}
	return max(x, 0)
}

// ownLoad returns the load report of this daemon's target. The caller holds the
// mutex.
func (m *Mesh) ownLoad(now time.Time) *peerpb.TargetLoad {
	load := m.scheduler.Load()
	cold := m.rate.cold(now)
	backlog, pace := m.ownBacklog(now)
	return &peerpb.TargetLoad{
		BacklogUs: uint64(backlog.Microseconds()),
		Pace:      pace,
		Accepting: m.target.accepting() && !m.leaving && m.evacuation.Verdict(now, m.cfg.Zone) == evacuation.Serve,
		Cold:      now.Before(m.target.coldUntil) || cold.Cold,
		ColdMs:    uint64(cold.Left.Milliseconds()),
		Slots:     uint32(max(m.target.Slots, 0)),
		Demand:    m.demand.PerSecond(now),
		ServiceUs: uint64(m.demand.MeanServiceTime().Microseconds()),
		InFlight:  uint32(load.Running),
		Queued:    uint32(load.Queued),
		MaxRate:   load.MaxRate,
	}
}

// loadsOf returns the recent load reports of a service's members, including
// this one. Those in evacuated zones accept no keys, also if they have not learned
// that yet. The caller holds the mutex.
func (m *Mesh) loadsOf(now time.Time, service string) []placement.Load {
	m.recordReport(now, m.cfg.Self, m.ownLoad(now))
	evacuated := m.evacuation.Current()
	var list []placement.Load
	for _, member := range m.dir.MembersOf(service) {
		r, ok := m.reports[member.Address]
		if !ok || now.Sub(r.receivedAt) > maxReportAge+m.heartbeatRotationTime() || member.State != directory.Active {
			continue
		}
		r.Accepting = r.Accepting && !evacuated.Contains(member.Zone)
		list = append(list, r.Load)
	}
	placement.AdjustCold(list)
	return list
}
