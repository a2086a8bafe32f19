package mesh

import (
	"net/netip"
	"time"

	"google.golang.org/protobuf/proto"

	"siskinknot/core/directory"
	"siskinknot/core/placement"
	"siskinknot/core/tenure"
	"siskinknot/io/boottime"
	"siskinknot/io/peer"
	"siskinknot/io/peer/peerpb"
)

const (
	// othersEvery is how many heartbeats to guardians there are for each round of
	// them to other members, and mostOthers the most in such a round: the others
	// get theirs in turn, so that the traffic of a member does not grow with the
	// fleet.
	othersEvery = 2
	mostOthers  = 16
	// reportLimit is how long a member's report of its load is believed.
	reportLimit = 2 * time.Second
)

// report is what another member said of its target, and when.
type report struct {
	placement.Load
	at       time.Time
	inFlight int
	queued   int
}

// beat is the task that sends heartbeats.
func (m *Mesh) beat() error {
	round, turn := 0, 0
	return m.every(tenure.RenewEvery, func(now time.Time) {
		round++
		m.mu.Lock()
		load := m.ownLoad(now)
		me := m.dir.Member(m.cfg.Self)
		msg := &peerpb.Heartbeat{From: m.cfg.Self.String(), DirectoryEnd: m.dir.End(), Load: load, StoreOk: m.storeOK}
		if m.table != nil {
			msg.ConfigVersion = m.table.Version
		}
		loaded := m.loaded
		planner := m.firstActive()
		var guardians, rest []netip.AddrPort
		for _, member := range m.dir.Members() {
			switch {
			case member.Address == m.cfg.Self:
			case me != nil && me.Guards(member.Address):
				guardians = append(guardians, member.Address)
			case round%othersEvery == 0:
				rest = append(rest, member.Address)
			}
		}
		m.mu.Unlock()
		if !loaded {
			return
		}
		renewing := proto.CloneOf(msg)
		renewing.Renew = true
		for _, addr := range guardians {
			go m.sendHeartbeat(addr, renewing)
		}
		for _, addr := range inTurn(rest, &turn) {
			go m.sendHeartbeat(addr, msg)
		}
		// The planner goes by what it hears.
		if len(rest) > mostOthers && planner != m.cfg.Self {
			go m.sendHeartbeat(planner, msg)
		}
	})
}

// inTurn returns the next mostOthers of list from place *turn on, which it
// advances.
func inTurn(list []netip.AddrPort, turn *int) []netip.AddrPort {
	if len(list) <= mostOthers {
		return list
	}
	chosen := make([]netip.AddrPort, 0, mostOthers)
	for i := range mostOthers {
		chosen = append(chosen, list[(*turn+i)%len(list)])
	}
	*turn = (*turn + mostOthers) % len(list)
	return chosen
}

// firstActive returns the first active member, which plans unless it is silent.
// The caller holds the mutex.
func (m *Mesh) firstActive() netip.AddrPort {
	for _, member := range m.dir.Members() {
		if member.State == directory.Active {
			return member.Address
		}
	}
	return m.cfg.Self
}

// turnTime returns how much longer than a round it takes in this fleet until each
// of the others has had a heartbeat: limits of silence are longer by that. The
// caller holds the mutex.
func (m *Mesh) turnTime() time.Duration {
	others := len(m.dir.Members()) - 1
	return time.Duration(max(0, others-1)/mostOthers) * othersEvery * tenure.RenewEvery
}

// sendHeartbeat sends a heartbeat to another member.
func (m *Mesh) sendHeartbeat(addr netip.AddrPort, msg *peerpb.Heartbeat) {
	ctx, cancel := m.timeout(peerTimeout)
	defer cancel()
	sentAt := boottime.Now()
	m.metrics.heartbeats.Inc(1)
	purpose := peer.Requests
	if msg.Renew {
		purpose = peer.Control
	}
	reply, err := m.pool.AskOver(ctx, addr, purpose, &peerpb.Call{Kind: &peerpb.Call_Heartbeat{Heartbeat: msg}})
	if err != nil {
		return
	}
	now := boottime.Now()
	m.mu.Lock()
	m.book.Heard(now, addr)
	m.book.Confirmed(now, addr, reply.NextOffset)
	if msg.Renew && reply.Granted {
		m.book.Granted(now, sentAt, addr)
	}
	m.mu.Unlock()
	m.fetch(addr, reply.NextOffset, reply.SettingsVersion)
}

// answerHeartbeat notes another member's heartbeat and renews its lease.
func (m *Mesh) answerHeartbeat(hb *peerpb.Heartbeat) *peerpb.Reply {
	from, err := netip.ParseAddrPort(hb.From)
	if err != nil {
		return &peerpb.Reply{Error: "sender " + hb.From + " is not an address"}
	}
	now := boottime.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.book.Heard(now, from)
	m.contacts[from] = contact{at: now, storeOK: hb.StoreOk}
	m.noteReport(now, from, hb.Load)
	m.book.Confirmed(now, from, hb.DirectoryEnd)
	reply := &peerpb.Reply{NextOffset: m.dir.End()}
	if m.table != nil {
		reply.SettingsVersion = m.table.Version
	}
	if hb.Renew {
		reply.Granted = m.book.Renew(now, m.dir, from)
	}
	if behindDir, behindConfig := m.behind(hb.DirectoryEnd, hb.ConfigVersion); behindDir || behindConfig {
		go m.fetch(from, hb.DirectoryEnd, hb.ConfigVersion)
	}
	return reply
}

// noteReport notes what a member says of its target. The caller holds the mutex.
func (m *Mesh) noteReport(now time.Time, from netip.AddrPort, load *peerpb.TargetLoad) {
	if load == nil {
		return
	}
	m.loads[from] = report{
		Load: placement.Load{
			Member:    from,
			Accepting: load.Accepting,
			Cold:      load.Cold,
			Slots:     int(load.Slots),
			Demand:    load.Demand,
			Service:   time.Duration(load.ServiceUs) * time.Microsecond,
		},
		at:       now,
		inFlight: int(load.InFlight),
		queued:   int(load.Queued),
	}
}

// ownLoad returns the report of this daemon's target. The caller holds the
// mutex.
func (m *Mesh) ownLoad(now time.Time) *peerpb.TargetLoad {
	load := m.scheduler.Load()
	return &peerpb.TargetLoad{
		Accepting: m.target.accepting() && !m.leaving,
		Cold:      now.Before(m.target.coldUntil),
		Slots:     uint32(max(m.target.Slots, 0)),
		Demand:    m.demand.PerSecond(now),
		ServiceUs: uint64(m.demand.MeanService().Microseconds()),
		InFlight:  uint32(load.Running),
		Queued:    uint32(load.Queued),
	}
}

// loadsOf returns the recent reports of a service's members, this one included.
// The caller holds the mutex.
func (m *Mesh) loadsOf(now time.Time, service string) []placement.Load {
	m.noteReport(now, m.cfg.Self, m.ownLoad(now))
	var list []placement.Load
	for _, member := range m.dir.MembersOf(service) {
		r, ok := m.loads[member.Address]
		if !ok || now.Sub(r.at) > reportLimit+m.turnTime() || member.State != directory.Active {
			continue
		}
		list = append(list, r.Load)
	}
	return list
}
