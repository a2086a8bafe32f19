package member

import (
	"time"

	"siskinknot/core/balance"
	"siskinknot/core/fleet"
	"siskinknot/core/record"
	"siskinknot/core/settings"
	"siskinknot/io/boottime"
	"siskinknot/io/peer/peerpb"
)

// Times of the planner, in intervals of the balance setting.
const (
	reportLife  = 3 // after which a report is out of date
	restAfter   = 4 // after a move before a unit moves again
	accuseAfter = 8 // without a report before a member is accused
)

// planning is what a planner knows of the members of its service.
type planning struct {
	reports map[record.Incarnation]timedReport
	// movedAt is when a unit was last told to move.
	movedAt map[unitID]time.Time
	// missedSince is when a member that never reported was first looked for, or
	// was last accused.
	missedSince map[record.Incarnation]time.Time
	slow        balance.SlowServers
}

// timedReport is a report with the time of its arrival.
type timedReport struct {
	at  time.Time
	msg *peerpb.Report
}

// unitID names a unit whoever owns it.
type unitID struct {
	slot int
	key  string
}

func newPlanning() planning {
	return planning{
		reports:     map[record.Incarnation]timedReport{},
		movedAt:     map[unitID]time.Time{},
		missedSince: map[record.Incarnation]time.Time{},
	}
}

// take keeps a report if me is the planner of its service.
func (p *planning) take(now time.Time, me record.Incarnation, state *fleet.State, msg *peerpb.Report) bool {
	svc := state.Service(msg.Service)
	if svc == nil || svc.Planner != me {
		return false
	}
	from := record.Incarnation(msg.From)
	p.reports[from] = timedReport{at: now, msg: msg}
	if msg.QuickUs > 0 && !msg.Cold {
		p.slow.Observe(now, from, time.Duration(msg.QuickUs)*time.Microsecond)
	}
	return true
}

// rest forgets the moves that were long enough ago for their units to move again.
func (p *planning) rest(now time.Time, interval time.Duration) {
	for id, at := range p.movedAt {
		if now.Sub(at) > restAfter*interval {
			delete(p.movedAt, id)
		}
	}
}

// forget drops what is known of members that are gone.
func (p *planning) forget(state *fleet.State) {
	for id := range p.reports {
		if state.Lost(id) {
			delete(p.reports, id)
		}
	}
	for id := range p.missedSince {
		if state.Lost(id) {
			delete(p.missedSince, id)
		}
	}
}

// claimPlanning makes this daemon planner of its service.
func (m *Member) claimPlanning(now time.Time) {
	m.mu.Lock()
	svc := m.state.Service(m.cfg.Service)
	if svc == nil || !m.book.Holds(now) {
		m.mu.Unlock()
		return
	}
	rec := record.Planner{By: m.me, Service: m.cfg.Service, Term: svc.Term + 1}
	members := len(m.state.Members())
	m.mu.Unlock()
	if m.dueByOne(now, "planner", members) {
		m.try(rec)
	}
}

// plan is the task that plans moves while this daemon is planner.
func (m *Member) plan() error {
	for {
		if !m.live(m.interval()) {
			return nil
		}
		now := boottime.Now()
		values := m.values()
		moves, term := m.choose(now, values)
		for from, list := range byOwner(moves) {
			m.sendMove(now, from, list, term)
		}
		for _, id := range m.silentMembers(now) {
			m.try(record.Accuse{By: m.Me(), Of: id})
		}
	}
}

// values returns the settings of this daemon's service.
func (m *Member) values() *settings.Values {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state.Settings().Effective(m.cfg.Service, "")
}

// memberInterval is the least time between two plans for each member of the
// service: it bounds what the reports cost the planner, however many there are.
const memberInterval = 10 * time.Millisecond

// interval returns the time between two plans.
func (m *Member) interval() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.intervalLocked()
}

// intervalLocked is interval for callers that hold the mutex.
func (m *Member) intervalLocked() time.Duration {
	members := 0
	for _, mem := range m.state.Members() {
		if mem.Service == m.cfg.Service {
			members++
		}
	}
	configured := m.state.Settings().Effective(m.cfg.Service, "").BalanceInterval()
	return max(configured, time.Duration(members)*memberInterval)
}

// choose returns the moves to make now, if this daemon is planner.
func (m *Member) choose(now time.Time, values *settings.Values) ([]balance.Move, uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	svc := m.state.Service(m.cfg.Service)
	if svc == nil || svc.Planner != m.me || !m.logOK || values.BalancePolicy == "none" {
		return nil, 0
	}
	interval := m.intervalLocked()
	takers := m.state.Takers(m.cfg.Service, "")
	m.findSlow(now, takers, values)
	servers := m.planServers(now, takers, interval)
	units := m.planUnits(svc)
	policy := balance.Policy{
		Threshold: float64(values.BalanceThresholdPercent) / 100,
		MaxMoves:  values.BalanceMaxMoves,
	}
	if values.BalancePolicy == "moves_and_keys" {
		policy.HotKeyShare = float64(values.HotKeyPercent) / 100
	}
	m.planning.rest(now, interval)
	moves := balance.Plan(servers, units, policy)
	for _, move := range moves {
		m.planning.movedAt[unitID{move.Slot, move.Key}] = now
	}
	return moves, svc.Term
}

// findSlow looks for servers whose targets are slow. The caller holds the mutex.
func (m *Member) findSlow(now time.Time, takers []record.Incarnation, values *settings.Values) {
	found := m.planning.slow.Find(now, takers, float64(values.SlowServerPercent)/100)
	for _, id := range found {
		m.metrics.slowServers.Inc(1)
		m.logger.Warn("found a slow target", "incarnation", id, "factor", m.planning.slow.Factor(now, id))
	}
}

// planServers returns the takers that take part in the balance. The caller holds
// the mutex.
func (m *Member) planServers(now time.Time, takers []record.Incarnation, interval time.Duration) []balance.Server {
	var servers []balance.Server
	for _, id := range takers {
		r, ok := m.planning.reports[id]
		if !ok || now.Sub(r.at) > reportLife*interval {
			continue
		}
		servers = append(servers, balance.Server{
			ID:       id,
			Slots:    int(r.msg.TargetSlots),
			Cold:     r.msg.Cold || m.planning.slow.OnProbation(now, id),
			Slowness: m.planning.slow.Factor(now, id),
		})
	}
	return servers
}

// planUnits returns the units with their reported loads. The caller holds the
// mutex.
func (m *Member) planUnits(svc *fleet.Service) []balance.Unit {
	busy := m.reportedLoads()
	var units []balance.Unit
	for slot := range svc.Slots() {
		owner := svc.Slot(slot)
		units = append(units, m.planUnit(owner, record.Unit{Slot: slot, Token: owner.Token}, busy))
	}
	for _, key := range svc.Carved() {
		owner, _ := svc.CarvedOwner(key)
		unit := record.Unit{Slot: svc.SlotOf(key), Key: key, Token: owner.Token}
		units = append(units, m.planUnit(owner, unit, busy))
	}
	for id := range busy {
		if id.key == "" {
			continue
		}
		if unit, owner := svc.UnitOf(id.key); unit.Key == "" {
			u := m.planUnit(owner, record.Unit{Slot: unit.Slot, Key: id.key, Token: owner.Token}, busy)
			u.Hot = true
			units = append(units, u)
		}
	}
	return units
}

// planUnit returns a unit with its reported load. The caller holds the mutex.
func (m *Member) planUnit(owner fleet.Owner, unit record.Unit, busy map[unitID]time.Duration) balance.Unit {
	id := unitID{unit.Slot, unit.Key}
	_, moved := m.planning.movedAt[id]
	return balance.Unit{
		Unit:   unit,
		Owner:  owner.ID,
		Busy:   busy[id],
		Rested: !moved,
	}
}

// reportedLoads returns the loads of the units in all reports. The caller holds
// the mutex.
func (m *Member) reportedLoads() map[unitID]time.Duration {
	busy := map[unitID]time.Duration{}
	for _, r := range m.planning.reports {
		for _, u := range r.msg.Units {
			busy[unitID{int(u.Slot), u.Key}] = time.Duration(u.BusyUs) * time.Microsecond
		}
	}
	return busy
}

// byOwner groups moves by the owner that has to make them.
func byOwner(moves []balance.Move) map[record.Incarnation][]balance.Move {
	groups := map[record.Incarnation][]balance.Move{}
	for _, move := range moves {
		groups[move.From] = append(groups[move.From], move)
	}
	return groups
}

// sendMove asks an owner to release units.
func (m *Member) sendMove(now time.Time, from record.Incarnation, moves []balance.Move, term uint64) {
	msg := &peerpb.Move{Service: m.cfg.Service, Term: term}
	for _, move := range moves {
		msg.Units = append(msg.Units, &peerpb.MoveUnit{
			Slot: uint32(move.Slot), Key: move.Key, Token: move.Token, To: string(move.To),
		})
	}
	m.metrics.moves.Inc(int64(len(moves)))
	m.mu.Lock()
	owner := m.state.Member(from)
	local := from == m.me
	m.mu.Unlock()
	switch {
	case local:
		m.acceptMove(now, msg)
	case owner != nil:
		m.ask(owner, &peerpb.Call{Kind: &peerpb.Call_Move{Move: msg}})
	}
}

// silentMembers returns the members of the service that have not reported for
// long, though nobody could revoke them: their guardians may be lost as well.
func (m *Member) silentMembers(now time.Time) []record.Incarnation {
	m.mu.Lock()
	defer m.mu.Unlock()
	svc := m.state.Service(m.cfg.Service)
	if svc == nil || svc.Planner != m.me || !m.logOK {
		return nil
	}
	limit := accuseAfter * m.intervalLocked()
	var silent []record.Incarnation
	for _, mem := range m.state.Members() {
		if mem.Service != m.cfg.Service || mem.Accused != 0 || mem.ID == m.me {
			continue
		}
		seen, ok := m.planning.missedSince[mem.ID]
		if r, reported := m.planning.reports[mem.ID]; reported {
			seen, ok = r.at, true
		}
		if !ok {
			m.planning.missedSince[mem.ID] = now
			continue
		}
		if now.Sub(seen) > limit {
			silent = append(silent, mem.ID)
			m.planning.missedSince[mem.ID] = now
		}
	}
	return silent
}
