package mesh

import (
	"net/netip"
	"slices"
	"time"

	"siskinknot/core/directory"
	"siskinknot/core/placement"
	"siskinknot/core/routing"
	"siskinknot/core/tenure"
	"siskinknot/io/boottime"
	"siskinknot/io/peer"
	"siskinknot/io/peer/peerpb"
)

const (
	// planInterval is the interval between planning rounds, about that between
	// load reports.
	planInterval = 500 * time.Millisecond
	// assignDelay is how long the set of members of a service must be unchanged
	// before its keys are first assigned. Members that join later receive keys
	// through transfers.
	assignDelay = 900 * time.Millisecond
)

// runPlanner is the task that assigns keys without an owner and balances the
// load of the divided services. The first active member is the planner. If two
// members act as the planner at the same time, the only effect is additional
// transfers.
func (m *Mesh) runPlanner() error {
	p := planner{mesh: m, candidateCount: map[string]int{}, stableSince: map[string]time.Time{}}
	p.reset()
	return m.runEvery(planInterval, p.tick)
}

// planner is the state of the task.
type planner struct {
	mesh *Mesh
	// candidateCount and stableSince hold, for each service, how many members
	// accept keys and since when that number is unchanged.
	candidateCount map[string]int
	stableSince    map[string]time.Time
	// ownerless has, for each service, the keys that may be held although they have no
	// owner. damagedSince is since when its entries have had to be repaired.
	ownerless    map[string]*tenure.OwnerlessKeys
	damagedSince map[string]time.Time
}

// reset forgets what was observed while this member was the planner.
func (p *planner) reset() {
	p.ownerless = map[string]*tenure.OwnerlessKeys{}
	p.damagedSince = map[string]time.Time{}
}

// tick runs one round.
func (p *planner) tick(now time.Time) {
	m := p.mesh
	m.mu.Lock()
	if !m.isPlanner(now) {
		m.mu.Unlock()
		p.reset()
		return
	}
	services := m.table.Services()
	m.mu.Unlock()
	for _, svc := range services {
		if svc.Divided {
			p.planService(now, svc)
		}
	}
}

// isPlanner reports whether this member is the first one that is active and
// responsive. The caller holds the mutex.
func (m *Mesh) isPlanner(now time.Time) bool {
	if !m.loaded || m.leaving || m.table == nil || !m.leases.Holds(now, m.dir) {
		return false
	}
	for _, member := range m.dir.Members() {
		if member.Address == m.cfg.Self {
			return member.State == directory.Active
		}
		if member.State == directory.Active && now.Sub(m.leases.LastHeartbeatAt(member.Address)) < guardianTimeout+m.heartbeatRotationTime() {
			return false
		}
	}
	return false
}

// planService plans for one service.
func (p *planner) planService(now time.Time, svc routing.Service) {
	m := p.mesh
	m.mu.Lock()
	loads := m.loadsOf(now, svc.Name)
	candidates := placement.AcceptingLoads(loads)
	if len(candidates) != p.candidateCount[svc.Name] {
		p.candidateCount[svc.Name], p.stableSince[svc.Name] = len(candidates), now
	}
	free, ownerless := unownedRanges(m.dir, svc.Name)
	ownerlessFree := p.observeOwnerless(now, svc.Name, ownerless)
	unowned := len(free) > 0 || (len(ownerless) > 0 && ownerlessFree)
	mayReassign := m.mayReassign(now)
	stable := len(m.dir.Assignments(svc.Name)) > 0 || now.Sub(p.stableSince[svc.Name]) > assignDelay
	repair := p.repairDue(now, svc.Name)
	m.mu.Unlock()
	if !mayReassign {
		return
	}
	if repair {
		m.logCommitError("repair", m.commit("repair", func(dir *directory.Directory) []directory.Entry {
			return dir.RepairEntries(svc.Name)
		}))
		return
	}
	if unowned && stable && len(candidates) > 0 {
		m.logCommitError("assign", m.commit("assign", func(dir *directory.Directory) []directory.Entry {
			free, ownerless := unownedRanges(dir, svc.Name)
			if p.observeOwnerless(boottime.Now(), svc.Name, ownerless) {
				free = append(free, ownerless...)
			}
			return m.assignEntries(dir, svc.Name, free)
		}))
		return
	}
	for _, move := range placement.Plan(loads) {
		go m.requestYield(svc.Name, move)
	}
}

// observeOwnerless records the keys of a service that have no owner and may be held, and
// reports whether they are certainly free.
func (p *planner) observeOwnerless(now time.Time, service string, ranges []directory.Assignment) bool {
	o := p.ownerless[service]
	if o == nil {
		o = &tenure.OwnerlessKeys{}
		p.ownerless[service] = o
	}
	o.Observe(now, ranges)
	return o.Free(now)
}

// repairDue reports whether the entries of a service have to be repaired. Keys of
// overlapping ranges may be held by the owners of all of these for as long as the longest
// lease, and until then the entries show that. The caller holds the mutex.
func (p *planner) repairDue(now time.Time, service string) bool {
	if len(p.mesh.dir.RepairEntries(service)) == 0 {
		delete(p.damagedSince, service)
		return false
	}
	if p.damagedSince[service].IsZero() {
		p.damagedSince[service] = now
	}
	return now.Sub(p.damagedSince[service]) > tenure.LongestLease
}

// unownedRanges returns the ranges of a service that have no owner, or whose owner is no
// longer a member: those that are free, and those that may be held, because an entry of
// another writer has replaced that of the owner or of the range.
func unownedRanges(dir *directory.Directory, service string) (free, ownerless []directory.Assignment) {
	for _, a := range dir.Unassigned(service) {
		if dir.RangeIgnored(&a) {
			ownerless = append(ownerless, a)
		} else {
			free = append(free, a)
		}
	}
	for _, a := range dir.Assignments(service) {
		switch {
		case dir.Member(a.Owner) != nil:
		case dir.MemberIgnored(a.Owner), dir.Contested(a):
			ownerless = append(ownerless, *a)
		default:
			free = append(free, *a)
		}
	}
	return free, ownerless
}

// assignEntries returns the entries that assign ranges without an owner to the members
// that accept keys. The caller holds the mutex.
func (m *Mesh) assignEntries(dir *directory.Directory, service string, ranges []directory.Assignment) []directory.Entry {
	candidates := m.receiverCandidates(boottime.Now(), service, netip.AddrPort{})
	if len(candidates) == 0 || len(ranges) == 0 {
		return nil
	}
	// Sort by address, so that neighbours in the key space do not depend on
	// load.
	slices.SortFunc(candidates, func(a, b placement.Load) int { return a.Member.Compare(b.Member) })
	return spreadRanges(dir, ranges, placement.NewDistribution(candidates, candidates))
}

// requestYield asks the owner named in move to transfer some of its load.
func (m *Mesh) requestYield(service string, move placement.Move) {
	yield := &peerpb.Yield{Service: service, To: move.To.String(), Demand: move.Demand}
	if move.From == m.cfg.Self {
		m.handleYield(yield)
		return
	}
	ctx, cancel := m.withTimeout(peerTimeout)
	defer cancel()
	reply, err := m.pool.CallWithPurpose(ctx, move.From, peer.Requests, &peerpb.Call{Kind: &peerpb.Call_Yield{Yield: yield}})
	m.log.Debug("move planned", "from", move.From, "to", move.To, "demand", move.Demand, "granted", reply.GetGranted(), "error", err)
}
