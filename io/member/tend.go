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

// Times of the tend task.
const (
	tendEvery = 50 * time.Millisecond
	// tendIdle is the time between two looks at everything while nothing
	// happens.
	tendIdle = 500 * time.Millisecond
	// resendAfter is how long a record may stay unfolded before it is sent
	// again.
	resendAfter = time.Second
	// guardianSilence is how long a guardian may fail to renew before it is
	// replaced.
	guardianSilence = 2 * lease.Duration
	// betterPairEvery is the least time between two changes to a pair that is
	// only better placed.
	betterPairEvery = 3 * time.Second
	// memberSpread is the time over which a duty is spread for each member.
	memberSpread = 4 * time.Millisecond
	// settleTime is how long nobody may have joined before free units are
	// spread.
	settleTime = 400 * time.Millisecond
)

// tend is the task that keeps this daemon's records on the log in order.
func (m *Member) tend() error {
	var next uint64
	var last time.Time
	for m.live(tendEvery) {
		now := boottime.Now()
		m.mu.Lock()
		idle := m.state.Next() == next && m.settled(now)
		next = m.state.Next()
		m.mu.Unlock()
		if idle && now.Sub(last) < tendIdle {
			continue
		}
		last = now
		m.tendMembership(now)
		m.tendPair(now)
		m.tendDuties(now)
	}
	return nil
}

// settled reports whether this daemon holds its lease in good order, so that
// there is nothing to tend but what the log brings. The caller holds the mutex.
func (m *Member) settled(now time.Time) bool {
	self := m.state.Member(m.me)
	return self != nil && self.Epoch > 0 && !self.Leaving && !m.leaving &&
		m.target == TargetReady && m.book.Holds(now) && !m.book.PairUnderWay()
}

// due reports whether the duty called name should be done now: again after
// every, or for the first time.
func (m *Member) due(now time.Time, name string, every time.Duration) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if now.Before(m.duties[name]) {
		return false
	}
	m.duties[name] = now.Add(every)
	return true
}

// dueByOne reports whether this daemon should do a duty that any member may do.
// Each member waits for a random part of a time that grows with the fleet, so
// that mostly one does it and the rest see it done.
func (m *Member) dueByOne(now time.Time, name string, members int) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	at, ok := m.duties[name]
	spread := time.Duration(members) * memberSpread
	if !ok {
		m.duties[name] = now.Add(rand.N(spread + 1))
		return false
	}
	if now.Before(at) {
		return false
	}
	m.duties[name] = now.Add(resendAfter + rand.N(spread+1))
	return true
}

// tendMembership announces this daemon, answers an accusation, and leaves when
// the target drains or is down.
func (m *Member) tendMembership(now time.Time) {
	m.mu.Lock()
	self, joined := m.self()
	target := m.target
	leaving := m.leaving
	me := m.me
	works := len(m.works)
	logOK := m.logOK
	m.mu.Unlock()
	usable := target == TargetReady || target == TargetCold
	switch {
	case !logOK:
	case !joined:
		if usable && !leaving && works == 0 && m.due(now, "announce", resendAfter) {
			m.try(m.announcement(me))
		}
	case self.Accused != 0:
		if m.due(now, "alive", resendAfter) {
			m.try(record.Alive{By: me})
		}
	case !usable || leaving:
		if !self.Leaving && m.due(now, "leave", resendAfter) {
			m.try(record.Leave{By: me})
		}
		if self.Leaving {
			m.releaseAll(now)
		}
	case self.Leaving:
		m.rejoin(now)
	}
}

// self returns a copy of this daemon as a member, and whether it is one. The
// caller holds the mutex.
func (m *Member) self() (fleet.Member, bool) {
	self := m.state.Member(m.me)
	if self == nil {
		return fleet.Member{}, false
	}
	return *self, true
}

// rejoin begins a new incarnation once the target takes work again after it
// had left, and nothing is owned any more.
func (m *Member) rejoin(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	svc := m.state.Service(m.cfg.Service)
	if svc != nil && len(svc.UnitsOf(m.me)) > 0 {
		return
	}
	m.logger.Info("joins again", "former", m.me)
	m.renounce(now)
}

// announcement returns the record by which me joins the fleet.
func (m *Member) announcement(me record.Incarnation) record.Announce {
	return record.Announce{
		By:         me,
		Server:     m.cfg.Server,
		Service:    m.cfg.Service,
		Region:     m.cfg.Region,
		Zone:       m.cfg.Zone,
		Daemon:     m.cfg.Daemon,
		Caller:     m.cfg.Caller,
		BootID:     m.cfg.BootID,
		BlindLimit: record.Millis(m.cfg.BlindLimit),
	}
}

// try appends rec; whoever appended it looks for its effect in the fold.
func (m *Member) try(rec record.Record) {
	if err := m.append(rec); err != nil {
		m.logger.Debug("append failed", "type", record.Kind(rec), "error", err)
	}
}

// tendPair names guardians when there are none, when one is lost, silent or
// leaving, and when a clearly better pair has become possible.
func (m *Member) tendPair(now time.Time) {
	m.mu.Lock()
	self, joined := m.self()
	if !joined || !m.logOK {
		m.mu.Unlock()
		return
	}
	keep, bad := m.goodGuardians(now, self)
	pair, ok := lease.ChoosePair(m.state, m.me, keep, m.usableGuardian(now))
	underWay := m.book.PairUnderWay()
	better := ok && !bad && !m.losses.many(now) && m.betterPair(self, &pair)
	wait := m.pairWaits(now, self, bad && !underWay)
	m.mu.Unlock()
	switch {
	case !ok, wait:
	case underWay, self.Epoch == 0, bad:
		if m.due(now, "pair", resendAfter) {
			m.changePair(self, pair)
		}
	case better:
		if m.due(now, "better_pair", betterPairEvery+rand.N(betterPairEvery)) {
			m.changePair(self, pair)
		}
	}
}

// goodGuardians returns the guardians to keep and whether one has to go. The
// caller holds the mutex.
func (m *Member) goodGuardians(now time.Time, self fleet.Member) (keep [2]record.Incarnation, bad bool) {
	if self.Epoch == 0 {
		return keep, true
	}
	usable := m.usableGuardian(now)
	for i, id := range self.Pair {
		g := m.state.Member(id)
		if g == nil || g.Succeeded || g.Leaving || !usable(g) {
			bad = true
			continue
		}
		keep[i] = id
	}
	return keep, bad
}

// usableGuardian returns a function that tells whether a member may be named as
// guardian: not one that has been silent. The caller holds the mutex, also when
// it calls the function.
func (m *Member) usableGuardian(now time.Time) func(*fleet.Member) bool {
	self := m.state.Member(m.me)
	return func(g *fleet.Member) bool {
		for i, id := range self.Pair {
			if id != g.ID || m.renewedAt[i].IsZero() {
				continue
			}
			return now.Sub(m.renewedAt[i]) < guardianSilence
		}
		return true
	}
}

// betterPair reports whether a pair chosen afresh would be clearly better than
// the present one, and returns it in pair. The caller holds the mutex.
func (m *Member) betterPair(self fleet.Member, pair *[2]record.Incarnation) bool {
	var none [2]record.Incarnation
	fresh, ok := lease.ChoosePair(m.state, m.me, none, func(*fleet.Member) bool { return true })
	if !ok || lease.PairCost(m.state, m.me, fresh) >= lease.PairCost(m.state, m.me, self.Pair) {
		return false
	}
	*pair = fresh
	return true
}

// changePair appends a new pair with the consent of an old guardian. Because no
// renewal counts until the record is folded, a daemon that has a lease to lose
// first makes sure that the log answers soon.
func (m *Member) changePair(self fleet.Member, pair [2]record.Incarnation) {
	m.mu.Lock()
	holds := m.book.Holds(boottime.Now())
	m.mu.Unlock()
	if holds && !m.logAnswers(probeTimeout) {
		return
	}
	consent := m.askConsent(self)
	now := boottime.Now()
	m.mu.Lock()
	rec, ok := m.book.ProposePair(now, self.Epoch, pair, consent)
	if ok {
		m.renewedAt = [2]time.Time{now, now}
	}
	m.mu.Unlock()
	if !ok {
		return
	}
	m.metrics.pairs.Inc(1)
	m.try(rec)
	m.Kick()
}

// askConsent returns the first guardian of self that agrees to a new pair.
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

// tendDuties does what any one member has to do for the fleet.
func (m *Member) tendDuties(now time.Time) {
	m.mu.Lock()
	if m.state.Member(m.me) == nil || !m.logOK {
		m.mu.Unlock()
		return
	}
	members := len(m.state.Members())
	revokes := append(m.book.Orphans(now), m.book.RevokeAccused(now)...)
	free := m.freeUnits()
	snapshotDue := m.snapshot.due(now, m.state, m.cfg)
	me := m.me
	m.mu.Unlock()
	for _, rec := range revokes {
		if m.dueByOne(now, "revoke "+string(rec.Of), members) {
			m.metrics.revokes.Inc(1)
			m.try(rec)
		}
	}
	if free && m.dueByOne(now, "assign", members) {
		m.try(record.Assign{By: me, Service: m.cfg.Service})
	}
	if snapshotDue && m.dueByOne(now, "snapshot", members) {
		m.appendSnapshot()
	}
}

// freeUnits reports whether units of this daemon's service have no owner though
// a member could take them, and nobody joined just now. The caller holds the
// mutex.
func (m *Member) freeUnits() bool {
	svc := m.state.Service(m.cfg.Service)
	if svc == nil || !m.state.HasFree(m.cfg.Service) {
		delete(m.duties, "assign")
		return false
	}
	return boottime.Now().Sub(m.journal.joinedAt) > settleTime
}

// appendSnapshot appends a snapshot of the state.
func (m *Member) appendSnapshot() {
	m.mu.Lock()
	data, err := m.state.Encode()
	rec := record.Snapshot{By: m.me, AsOf: m.state.Next(), State: data}
	m.mu.Unlock()
	if err != nil {
		m.logger.Error("state does not encode", "error", err)
		return
	}
	m.metrics.snapshots.Inc(1)
	m.try(rec)
}

// snapshotClock notes when the last snapshot was folded.
type snapshotClock struct {
	at     time.Time
	offset uint64
}

// seen notes a snapshot at offset.
func (c *snapshotClock) seen(now time.Time, offset uint64) {
	c.at = now
	c.offset = offset
}

// due reports whether a new snapshot should be appended.
func (c *snapshotClock) due(now time.Time, state *fleet.State, cfg Config) bool {
	grown := state.Next() - c.offset
	return grown > cfg.SnapshotRecords || (grown > 1 && now.Sub(c.at) > cfg.SnapshotEvery)
}

// NewEditID returns an id for a settings edit.
func NewEditID() string { return uuid.NewString() }
