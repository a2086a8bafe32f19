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

// Times of the planner, as multiples of the interval between two plans.
const (
	reportLifetime = 3 // time after which a report is outdated
	moveCooldown   = 4 // minimum time between two moves of a unit
	accuseAfter    = 8 // time without a report after which a member is accused
)

// planning is what the planner knows about the members of its service.
type planning struct {
	// reports are the latest reports, by member.
	reports map[record.Incarnation]receivedReport
	// movedAt is when the planner last chose a move of a unit.
	movedAt map[unitID]time.Time
	// unreportedSince is when the planner first missed the report of a member
	// that has never reported, or last accused a member.
	unreportedSince map[record.Incarnation]time.Time
	slowServers     balance.SlowServerDetector
}

// receivedReport is a report and the time of its arrival.
type receivedReport struct {
	at  time.Time
	msg *peerpb.Report
}

// unitID identifies a unit, whichever member owns it. key is empty for a slot.
type unitID struct {
	slot int
	key  string
}

func newPlanning() planning {
	return planning{
		reports:         map[record.Incarnation]receivedReport{},
		movedAt:         map[unitID]time.Time{},
		unreportedSince: map[record.Incarnation]time.Time{},
	}
}

// accept stores a report if member id is the planner of the report's service,
// and reports whether it is.
func (p *planning) accept(now time.Time, id record.Incarnation, state *fleet.State, msg *peerpb.Report) bool {
	svc := state.Service(msg.Service)
	if svc == nil || svc.Planner != id {
		return false
	}
	from := record.Incarnation(msg.From)
	p.reports[from] = receivedReport{at: now, msg: msg}
	if msg.QuickUs > 0 && !msg.Cold {
		p.slowServers.Observe(now, from, time.Duration(msg.QuickUs)*time.Microsecond)
	}
	return true
}

// expireCooldowns removes the moves that were long enough ago for their units to
// move again.
func (p *planning) expireCooldowns(now time.Time, interval time.Duration) {
	for id, at := range p.movedAt {
		if now.Sub(at) > moveCooldown*interval {
			delete(p.movedAt, id)
		}
	}
}

// removeLost removes what is known about members that are lost.
func (p *planning) removeLost(state *fleet.State) {
	for id := range p.reports {
		if state.Lost(id) {
			delete(p.reports, id)
		}
	}
	for id := range p.unreportedSince {
		if state.Lost(id) {
			delete(p.unreportedSince, id)
		}
	}
}

// claimPlanner tries to make this daemon the planner of its service.
func (m *Member) claimPlanner(now time.Time) {
	m.mu.Lock()
	svc := m.state.Service(m.cfg.Service)
	if svc == nil || !m.leases.Holds(now) {
		m.mu.Unlock()
		return
	}
	rec := record.Planner{By: m.id, Service: m.cfg.Service, Term: svc.Term + 1}
	members := len(m.state.Members())
	m.mu.Unlock()
	if m.dueForFleet(now, "planner", members) {
		m.tryAppend(rec)
	}
}

// plan is the task that plans moves, and accuses members that do not report,
// while this daemon is the planner.
func (m *Member) plan() error {
	for {
		if !m.sleep(m.interval()) {
			return nil
		}
		now := boottime.Now()
		values := m.values()
		moves, term := m.chooseMoves(now, values)
		for from, list := range movesByOwner(moves) {
			m.sendMove(now, from, list, term)
		}
		for _, id := range m.unresponsiveMembers(now) {
			m.tryAppend(record.Accuse{By: m.Incarnation(), Of: id})
		}
	}
}

// values returns the settings in effect for this daemon's service.
func (m *Member) values() *settings.Values {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state.Settings().Effective(m.cfg.Service, "")
}

// planIntervalPerMember is the minimum time between two plans, per member of the
// service. It limits the rate of reports to the planner, and so their cost,
// whatever the number of members.
const planIntervalPerMember = 10 * time.Millisecond

// interval returns the time between two plans. Members send two reports in that
// time.
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
	return max(configured, time.Duration(members)*planIntervalPerMember)
}

// chooseMoves returns the moves to make now and the planner's term, or no moves
// if this daemon is not the planner, the log does not answer, or the settings
// turn balancing off.
func (m *Member) chooseMoves(now time.Time, values *settings.Values) ([]balance.Move, uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	svc := m.state.Service(m.cfg.Service)
	if svc == nil || svc.Planner != m.id || !m.logOK || values.BalancePolicy == "none" {
		return nil, 0
	}
	interval := m.intervalLocked()
	receivers := m.state.Receivers(m.cfg.Service, "")
	m.detectSlowServers(now, receivers, values)
	servers := m.balanceServers(now, receivers, interval)
	units := m.balanceUnits(svc)
	policy := balance.Policy{
		Threshold: float64(values.BalanceThresholdPercent) / 100,
		MaxMoves:  values.BalanceMaxMoves,
	}
	if values.BalancePolicy == "moves_and_keys" {
		policy.HotKeyShare = float64(values.HotKeyPercent) / 100
	}
	m.planning.expireCooldowns(now, interval)
	moves := balance.Plan(servers, units, policy)
	for _, move := range moves {
		m.planning.movedAt[unitID{move.Slot, move.Key}] = now
	}
	return moves, svc.Term
}

// detectSlowServers updates which of the receivers have slow targets, and logs
// those that are newly detected. The caller holds the mutex.
func (m *Member) detectSlowServers(now time.Time, receivers []record.Incarnation, values *settings.Values) {
	found := m.planning.slowServers.Detect(now, receivers, float64(values.SlowServerPercent)/100)
	for _, id := range found {
		m.metrics.slowServers.Inc(1)
		m.logger.Warn("found a slow target", "incarnation", id, "factor", m.planning.slowServers.Slowness(now, id))
	}
}

// balanceServers returns the receivers whose reports are up to date, as servers
// for package balance. The caller holds the mutex.
func (m *Member) balanceServers(now time.Time, receivers []record.Incarnation, interval time.Duration) []balance.Server {
	var servers []balance.Server
	for _, id := range receivers {
		r, ok := m.planning.reports[id]
		if !ok || now.Sub(r.at) > reportLifetime*interval {
			continue
		}
		servers = append(servers, balance.Server{
			ID:       id,
			Slots:    int(r.msg.TargetSlots),
			Cold:     r.msg.Cold || m.planning.slowServers.OnProbation(now, id),
			Slowness: m.planning.slowServers.Slowness(now, id),
		})
	}
	return servers
}

// balanceUnits returns the units of svc with their reported loads, as units for
// package balance. A reported key that is not carved yet is added as a hot key.
// The caller holds the mutex.
func (m *Member) balanceUnits(svc *fleet.Service) []balance.Unit {
	loads := m.reportedLoads()
	var units []balance.Unit
	for slot := range svc.NumSlots() {
		owner := svc.SlotOwner(slot)
		units = append(units, m.balanceUnit(owner, record.Unit{Slot: slot, Token: owner.Token}, loads))
	}
	for _, key := range svc.CarvedKeys() {
		owner, _ := svc.CarvedOwner(key)
		unit := record.Unit{Slot: svc.SlotOf(key), Key: key, Token: owner.Token}
		units = append(units, m.balanceUnit(owner, unit, loads))
	}
	for id := range loads {
		if id.key == "" {
			continue
		}
		if unit, owner := svc.UnitOf(id.key); unit.Key == "" {
			u := m.balanceUnit(owner, record.Unit{Slot: unit.Slot, Key: id.key, Token: owner.Token}, loads)
			u.Hot = true
			units = append(units, u)
		}
	}
	return units
}

// balanceUnit returns one unit with its reported load. The caller holds the
// mutex.
func (m *Member) balanceUnit(owner fleet.Owner, unit record.Unit, loads map[unitID]time.Duration) balance.Unit {
	id := unitID{unit.Slot, unit.Key}
	_, moved := m.planning.movedAt[id]
	return balance.Unit{
		Unit:         unit,
		Owner:        owner.ID,
		Load:         loads[id],
		CooldownOver: !moved,
	}
}

// reportedLoads returns the loads of the units in all reports, in service time
// per second. The caller holds the mutex.
func (m *Member) reportedLoads() map[unitID]time.Duration {
	loads := map[unitID]time.Duration{}
	for _, r := range m.planning.reports {
		for _, u := range r.msg.Units {
			loads[unitID{int(u.Slot), u.Key}] = time.Duration(u.BusyUs) * time.Microsecond
		}
	}
	return loads
}

// movesByOwner groups moves by the current owner of the unit, which has to
// release it.
func movesByOwner(moves []balance.Move) map[record.Incarnation][]balance.Move {
	groups := map[record.Incarnation][]balance.Move{}
	for _, move := range moves {
		groups[move.From] = append(groups[move.From], move)
	}
	return groups
}

// sendMove asks member from to release the units of moves.
func (m *Member) sendMove(now time.Time, from record.Incarnation, moves []balance.Move, term uint64) {
	msg := &peerpb.Move{Service: m.cfg.Service, Term: term}
	for _, move := range moves {
		msg.Units = append(msg.Units, &peerpb.MoveUnit{
			Slot: uint32(move.Slot), Key: move.Key, Token: move.Token, To: string(move.To),
		})
	}
	m.metrics.movesPlanned.Inc(int64(len(moves)))
	m.mu.Lock()
	owner := m.state.Member(from)
	local := from == m.id
	m.mu.Unlock()
	switch {
	case local:
		m.acceptMove(now, msg)
	case owner != nil:
		m.ask(owner, &peerpb.Call{Kind: &peerpb.Call_Move{Move: msg}})
	}
}

// unresponsiveMembers returns the members of the service that have not reported
// for accuseAfter plan intervals and are not accused yet. The guardians of a
// lost member normally revoke it, but they may be lost as well. It returns none
// if this daemon is not the planner or the log does not answer.
func (m *Member) unresponsiveMembers(now time.Time) []record.Incarnation {
	m.mu.Lock()
	defer m.mu.Unlock()
	svc := m.state.Service(m.cfg.Service)
	if svc == nil || svc.Planner != m.id || !m.logOK {
		return nil
	}
	limit := accuseAfter * m.intervalLocked()
	var unresponsive []record.Incarnation
	for _, mem := range m.state.Members() {
		if mem.Service != m.cfg.Service || mem.Accused != 0 || mem.ID == m.id {
			continue
		}
		seen, ok := m.planning.unreportedSince[mem.ID]
		if r, reported := m.planning.reports[mem.ID]; reported {
			seen, ok = r.at, true
		}
		if !ok {
			m.planning.unreportedSince[mem.ID] = now
			continue
		}
		if now.Sub(seen) > limit {
			unresponsive = append(unresponsive, mem.ID)
			m.planning.unreportedSince[mem.ID] = now
		}
	}
	return unresponsive
}
