package mesh

import (
	"net/netip"
	"slices"
	"time"

	"siskinknot/core/directory"
	"siskinknot/core/placement"
	"siskinknot/core/routing"
	"siskinknot/io/boottime"
	"siskinknot/io/peer"
	"siskinknot/io/peer/peerpb"
)

const (
	// planEvery is about the time between two reports.
	planEvery = 500 * time.Millisecond
	// assignSettle is how long the members of a service must have been the same
	// before its keys are first assigned: later ones would get theirs by moves.
	assignSettle = 900 * time.Millisecond
)

// plan is the task that assigns keys without an owner and evens out the load of
// the divided services. The first active member plans; two that both take
// themselves for the first cost moves, nothing else.
func (m *Mesh) plan() error {
	p := planning{mesh: m, members: map[string]int{}, since: map[string]time.Time{}}
	return m.every(planEvery, p.tick)
}

// planning is the state of the task.
type planning struct {
	mesh *Mesh
	// members and since hold how many members of each service accept keys, and
	// since when.
	members map[string]int
	since   map[string]time.Time
}

// tick does one round.
func (p *planning) tick(now time.Time) {
	m := p.mesh
	m.mu.Lock()
	if !m.planner(now) {
		m.mu.Unlock()
		return
	}
	services := m.table.Services()
	m.mu.Unlock()
	for _, svc := range services {
		if svc.Divided {
			p.service(now, svc)
		}
	}
}

// planner reports whether this member is the first that is active and heard.
// The caller holds the mutex.
func (m *Mesh) planner(now time.Time) bool {
	if !m.loaded || m.leaving || m.table == nil || !m.book.Holds(now, m.dir) {
		return false
	}
	for _, member := range m.dir.Members() {
		if member.Address == m.cfg.Self {
			return member.State == directory.Active
		}
		if member.State == directory.Active && now.Sub(m.book.HeardAt(member.Address)) < guardianLimit+m.turnTime() {
			return false
		}
	}
	return false
}

// service plans for one service.
func (p *planning) service(now time.Time, svc routing.Service) {
	m := p.mesh
	m.mu.Lock()
	loads := m.loadsOf(now, svc.Name)
	takers := placement.Takers(loads)
	if len(takers) != p.members[svc.Name] {
		p.members[svc.Name], p.since[svc.Name] = len(takers), now
	}
	unowned := len(m.unowned(m.dir, svc.Name)) > 0
	settled := len(m.dir.Assignments(svc.Name)) > 0 || now.Sub(p.since[svc.Name]) > assignSettle
	m.mu.Unlock()
	if unowned && settled && len(takers) > 0 {
		m.logIf("assign", m.commit("assign", func(dir *directory.Directory) []directory.Entry {
			return m.assignEntries(dir, svc.Name)
		}))
		return
	}
	for _, move := range placement.Plan(loads) {
		go m.askToYield(svc.Name, move)
	}
}

// unowned returns the ranges of a service that have no owner, or one that is no
// member any more.
func (m *Mesh) unowned(dir *directory.Directory, service string) []directory.Assignment {
	list := dir.Free(service)
	for _, a := range dir.Assignments(service) {
		if dir.Member(a.Owner) == nil {
			list = append(list, *a)
		}
	}
	return list
}

// assignEntries returns the entries that give the ranges without an owner to the
// members that take keys. The caller holds the mutex.
func (m *Mesh) assignEntries(dir *directory.Directory, service string) []directory.Entry {
	takers := m.takers(boottime.Now(), service, netip.AddrPort{})
	if len(takers) == 0 {
		return nil
	}
	// By address, so that neighbours in the key space do not depend on load.
	slices.SortFunc(takers, func(a, b placement.Load) int { return a.Member.Compare(b.Member) })
	return spread(dir, m.unowned(dir, service), takers)
}

// askToYield asks the owner that a move names to pass work on.
func (m *Mesh) askToYield(service string, move placement.Move) {
	yield := &peerpb.Yield{Service: service, To: move.To.String(), Demand: move.Demand}
	if move.From == m.cfg.Self {
		m.answerYield(yield)
		return
	}
	ctx, cancel := m.timeout(peerTimeout)
	defer cancel()
	reply, err := m.pool.AskOver(ctx, move.From, peer.Requests, &peerpb.Call{Kind: &peerpb.Call_Yield{Yield: yield}})
	m.log.Debug("move planned", "from", move.From, "to", move.To, "demand", move.Demand, "granted", reply.GetGranted(), "error", err)
}
