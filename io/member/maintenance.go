package member

import (
	"math/rand/v2"
	"time"

	"github.com/google/uuid"

	"siskinknot/core/fleet"
	"siskinknot/core/lease"
	"siskinknot/core/record"
	"siskinknot/io/boottime"
	"siskinknot/io/peer/peerpb"
)

// Times of the maintain task.
const (
	// maintainInterval is the time between two runs of the task.
	maintainInterval = 50 * time.Millisecond
	// idleMaintainInterval is the time between two full runs while no records
	// are applied and this daemon is a member in a steady state.
	idleMaintainInterval = 500 * time.Millisecond
	// resendAfter is the time after which a record that was sent and is not
	// applied yet is sent again.
	resendAfter = time.Second
	// guardianTimeout is how long a guardian may fail to renew the lease before
	// this daemon replaces it.
	guardianTimeout = 2 * lease.Duration
	// betterPairInterval is the minimum time between two changes of a pair of
	// working guardians to a better placed one.
	betterPairInterval = 3 * time.Second
	// delayPerMember is, per member of the fleet, the maximum random delay
	// before a member performs an action that any member may perform.
	delayPerMember = 4 * time.Millisecond
	// joinQuietPeriod is the time without a join that has to pass before unowned
	// units are assigned.
	joinQuietPeriod = 400 * time.Millisecond
)

// maintain is the task that appends the records that this daemon's membership,
// its pair of guardians and the fleet need.
func (m *Member) maintain() error {
	var next uint64
	var last time.Time
	for m.sleep(maintainInterval) {
		now := boottime.Now()
		m.mu.Lock()
		idle := m.state.NextOffset() == next && m.steady(now)
		next = m.state.NextOffset()
		m.mu.Unlock()
		if idle && now.Sub(last) < idleMaintainInterval {
			continue
		}
		last = now
		m.maintainMembership(now)
		m.maintainPair(now)
		m.maintainFleet(now)
	}
	return nil
}

// steady reports whether this daemon is a member in a steady state: it holds its
// lease, its target is ready, and it neither leaves nor changes its guardians.
// Only newly applied records then require maintenance. The caller holds the
// mutex.
func (m *Member) steady(now time.Time) bool {
	self := m.state.Member(m.id)
	return self != nil && self.Epoch > 0 && !self.Leaving && !m.leaving &&
		m.target == TargetReady && m.leases.Holds(now) && !m.leases.PairPending()
}

// due reports whether the named action is due now: for the first time, or when
// interval has passed since it was last due. If so, it schedules the next time.
func (m *Member) due(now time.Time, name string, interval time.Duration) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if now.Before(m.nextDue[name]) {
		return false
	}
	m.nextDue[name] = now.Add(interval)
	return true
}

// dueForFleet reports whether this daemon should now perform the named action,
// which any member may perform. Each member delays it by a random time, up to a
// maximum that grows with the number of members. Usually one member then
// performs it, and the others see the result before their own delay has passed.
func (m *Member) dueForFleet(now time.Time, name string, members int) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	at, ok := m.nextDue[name]
	maxDelay := time.Duration(members) * delayPerMember
	if !ok {
		m.nextDue[name] = now.Add(rand.N(maxDelay + 1))
		return false
	}
	if now.Before(at) {
		return false
	}
	m.nextDue[name] = now.Add(resendAfter + rand.N(maxDelay+1))
	return true
}

// maintainMembership announces this daemon, answers an accusation, leaves the
// fleet when the target drains or is down, and joins again once the target is
// usable.
func (m *Member) maintainMembership(now time.Time) {
	m.mu.Lock()
	self, joined := m.self()
	target := m.target
	leaving := m.leaving
	id := m.id
	requests := len(m.requests)
	logOK := m.logOK
	grantsLast := max(0, m.formerGrantsEnd.Sub(now))
	m.mu.Unlock()
	usable := target == TargetReady || target == TargetCold
	switch {
	case !logOK:
	case !joined:
		if usable && !leaving && requests == 0 && m.due(now, "announce", resendAfter) {
			m.tryAppend(m.announcement(id, grantsLast))
		}
	case self.Accused != 0:
		if m.due(now, "alive", resendAfter) {
			m.tryAppend(record.Alive{By: id})
		}
	case !usable || leaving:
		if !self.Leaving && m.due(now, "leave", resendAfter) {
			m.tryAppend(record.Leave{By: id})
		}
		if self.Leaving {
			m.releaseAll(now)
		}
	case self.Leaving:
		m.rejoin(now)
	}
}

// self returns a copy of this daemon's member state, and false if it is not a
// member. The caller holds the mutex.
func (m *Member) self() (fleet.Member, bool) {
	self := m.state.Member(m.id)
	if self == nil {
		return fleet.Member{}, false
	}
	return *self, true
}

// rejoin starts a new incarnation if this daemon owns no units any more. It is
// called when the target is usable again after this daemon left the fleet.
func (m *Member) rejoin(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	svc := m.state.Service(m.cfg.Service)
	if svc != nil && len(svc.UnitsOwnedBy(m.id)) > 0 {
		return
	}
	m.logger.Info("joins again", "former", m.id)
	m.startIncarnation(now)
}

// announcement returns the record with which incarnation id joins the fleet.
// grantsLast is rounded up to whole milliseconds.
func (m *Member) announcement(id record.Incarnation, grantsLast time.Duration) record.Announce {
	return record.Announce{
		By:            id,
		Server:        m.cfg.Server,
		Service:       m.cfg.Service,
		Region:        m.cfg.Region,
		Zone:          m.cfg.Zone,
		DaemonAddress: m.cfg.DaemonAddress,
		CallerAddress: m.cfg.CallerAddress,
		BootID:        m.cfg.BootID,
		BlindLimit:    record.Millis(m.cfg.BlindLimit),
		GrantsLast:    record.Millis((grantsLast + time.Millisecond - 1).Truncate(time.Millisecond)),
	}
}

// tryAppend appends rec and logs an error. Callers see from the fleet's state
// whether the record took effect.
func (m *Member) tryAppend(rec record.Record) {
	if err := m.append(rec); err != nil {
		m.logger.Debug("append failed", "type", record.Kind(rec), "error", err)
	}
}

// maintainPair names new guardians when there are none, when one is lost,
// unresponsive or leaving, and when a clearly better pair has become possible.
func (m *Member) maintainPair(now time.Time) {
	m.mu.Lock()
	self, joined := m.self()
	if !joined || !m.logOK {
		m.mu.Unlock()
		return
	}
	keep, replace := m.checkGuardians(now, self)
	pair, ok := lease.ChoosePair(m.state, m.id, keep, m.usableGuardian(now))
	pending := m.leases.PairPending()
	better := ok && !replace && !m.losses.several(now) && m.betterPair(self, &pair)
	wait := m.pairMustWait(now, self, replace && !pending)
	m.mu.Unlock()
	switch {
	case !ok, wait:
	case pending, self.Epoch == 0, replace:
		if m.due(now, "pair", resendAfter) {
			m.changePair(self, pair)
		}
	case better:
		if m.due(now, "better_pair", betterPairInterval+rand.N(betterPairInterval)) {
			m.changePair(self, pair)
		}
	}
}

// checkGuardians returns the guardians to keep, and whether one has to be
// replaced or there are none. The caller holds the mutex.
func (m *Member) checkGuardians(now time.Time, self fleet.Member) (keep [2]record.Incarnation, replace bool) {
	if self.Epoch == 0 {
		return keep, true
	}
	usable := m.usableGuardian(now)
	for i, id := range self.Pair {
		g := m.state.Member(id)
		if g == nil || g.Succeeded || g.Leaving || !usable(g) {
			replace = true
			continue
		}
		keep[i] = id
	}
	return keep, replace
}

// usableGuardian returns a function that reports whether a member may be named
// as guardian. A current guardian may not if it has not renewed the lease for
// guardianTimeout. The caller holds the mutex, also when it calls the function.
func (m *Member) usableGuardian(now time.Time) func(*fleet.Member) bool {
	self := m.state.Member(m.id)
	return func(g *fleet.Member) bool {
		for i, id := range self.Pair {
			if id != g.ID || m.renewedAt[i].IsZero() {
				continue
			}
			return now.Sub(m.renewedAt[i]) < guardianTimeout
		}
		return true
	}
}

// betterPair reports whether the best pair among all members is clearly better
// than the current one, and stores it in pair if it is. The caller holds the
// mutex.
func (m *Member) betterPair(self fleet.Member, pair *[2]record.Incarnation) bool {
	var none [2]record.Incarnation
	best, ok := lease.ChoosePair(m.state, m.id, none, func(*fleet.Member) bool { return true })
	if !ok || lease.PairCost(m.state, m.id, best) >= lease.PairCost(m.state, m.id, self.Pair) {
		return false
	}
	*pair = best
	return true
}

// changePair appends a new pair with the consent of an old guardian. No renewal
// counts from then until the record is applied. A daemon that holds its lease
// therefore first checks that the log answers within probeTimeout.
func (m *Member) changePair(self fleet.Member, pair [2]record.Incarnation) {
	m.mu.Lock()
	holds := m.leases.Holds(boottime.Now())
	m.mu.Unlock()
	if holds && !m.logAnswers(probeTimeout) {
		return
	}
	consent := m.askConsent(self)
	now := boottime.Now()
	m.mu.Lock()
	rec, ok := m.leases.ProposePair(now, self.Epoch, pair, consent)
	if ok {
		m.renewedAt = [2]time.Time{now, now}
	}
	m.mu.Unlock()
	if !ok {
		return
	}
	m.metrics.pairs.Inc(1)
	m.tryAppend(rec)
	m.RestartRead()
}

// askConsent returns the first guardian of self that consents to a new pair, or
// the empty incarnation if none does or self has no guardians.
func (m *Member) askConsent(self fleet.Member) record.Incarnation {
	if self.Epoch == 0 {
		return ""
	}
	for _, id := range self.Pair {
		m.mu.Lock()
		guardian, lost := m.state.Member(id), m.state.Lost(id)
		m.mu.Unlock()
		if lost {
			continue
		}
		call := &peerpb.Call{Kind: &peerpb.Call_Consent{Consent: &peerpb.Consent{
			Holder: string(self.ID),
			Epoch:  self.Epoch,
		}}}
		if m.ask(guardian, call) {
			return id
		}
	}
	return ""
}

// maintainFleet performs the actions that any member may perform for the fleet:
// it revokes lost members, assigns unowned units, and appends snapshots.
func (m *Member) maintainFleet(now time.Time) {
	m.mu.Lock()
	if m.state.Member(m.id) == nil || !m.logOK {
		m.mu.Unlock()
		return
	}
	members := len(m.state.Members())
	revokes := append(m.leases.RevokeUnguarded(now), m.leases.RevokeAccused(now)...)
	unowned := m.hasUnownedUnits()
	snapshotDue := m.lastSnapshot.due(now, m.state, m.cfg)
	id := m.id
	m.mu.Unlock()
	for _, rec := range revokes {
		if m.dueForFleet(now, "revoke "+string(rec.Of), members) {
			m.metrics.revokes.Inc(1)
			m.tryAppend(rec)
		}
	}
	if unowned && m.dueForFleet(now, "assign", members) {
		m.tryAppend(record.Assign{By: id, Service: m.cfg.Service})
	}
	if snapshotDue && m.dueForFleet(now, "snapshot", members) {
		m.appendSnapshot()
	}
}

// hasUnownedUnits reports whether units of this daemon's service have no owner
// although a member could receive them, and no member has joined within
// joinQuietPeriod. The caller holds the mutex.
func (m *Member) hasUnownedUnits() bool {
	svc := m.state.Service(m.cfg.Service)
	if svc == nil || !m.state.HasUnownedUnits(m.cfg.Service) {
		delete(m.nextDue, "assign")
		return false
	}
	return boottime.Now().Sub(m.journal.lastJoinAt) > joinQuietPeriod
}

// appendSnapshot appends a snapshot of the fleet's state.
func (m *Member) appendSnapshot() {
	m.mu.Lock()
	data, err := m.state.Encode()
	rec := record.Snapshot{By: m.id, AsOf: m.state.NextOffset(), State: data}
	m.mu.Unlock()
	if err != nil {
		m.logger.Error("cannot encode state of the fleet", "error", err)
		return
	}
	m.metrics.snapshots.Inc(1)
	m.tryAppend(rec)
}

// lastSnapshot is the time at which the latest snapshot was applied, and its
// offset.
type lastSnapshot struct {
	at     time.Time
	offset uint64
}

// set records that the snapshot at offset was applied at now.
func (s *lastSnapshot) set(now time.Time, offset uint64) {
	s.at = now
	s.offset = offset
}

// due reports whether a new snapshot should be appended at now.
func (s *lastSnapshot) due(now time.Time, state *fleet.State, cfg Config) bool {
	grown := state.NextOffset() - s.offset
	return grown > cfg.SnapshotRecords || (grown > 1 && now.Sub(s.at) > cfg.SnapshotInterval)
}

// NewEditID returns a new random id for a settings edit.
func NewEditID() string { return uuid.NewString() }
