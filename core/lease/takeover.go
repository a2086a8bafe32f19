package lease

import (
	"cmp"
	"slices"
	"time"

	"siskinknot/core/fleet"
	"siskinknot/core/record"
)

// secondGuardianDelay is how much longer than the first guardian the second
// guardian waits after a lapse before it starts a takeover itself.
const secondGuardianDelay = RenewInterval

// LapsedLease is a guarded lease that has lapsed as far as this guardian knows.
type LapsedLease struct {
	Holder record.Incarnation
	Epoch  uint64
	// Other is the other guardian.
	Other record.Incarnation
	// First is whether this incarnation is the first guardian.
	First bool
}

// LapsedLeases returns the lapsed leases that this guardian should take over,
// ordered by holder.
func (t *Table) LapsedLeases(now time.Time) []LapsedLease {
	t.Tick(now)
	var leases []LapsedLease
	for holder, g := range t.guardedLeases {
		m := t.state.Member(holder)
		if m == nil || !t.lapsed(now, holder, g) {
			continue
		}
		first := m.Pair[0] == t.id
		secondMayAct := t.state.Lost(m.Pair[0]) || t.grantsEnded(now, holder) || t.lapsed(now.Add(-secondGuardianDelay), holder, g)
		if !first && !secondMayAct {
			continue
		}
		other := m.Pair[0]
		if first {
			other = m.Pair[1]
		}
		leases = append(leases, LapsedLease{Holder: holder, Epoch: g.epoch, Other: other, First: first})
	}
	slices.SortFunc(leases, func(a, b LapsedLease) int { return cmp.Compare(a.Holder, b.Holder) })
	return leases
}

// PromiseRequest asks a guardian to promise never to renew the lease of Holder
// again in Epoch.
type PromiseRequest struct {
	Holder record.Incarnation
	Epoch  uint64
	From   record.Incarnation
	// OffLog asks for an off-log promise, on which only From may act, as heir.
	OffLog bool
}

// GrantPromise reports whether this guardian gives the promise that req asks
// for, and records a given one.
func (t *Table) GrantPromise(now time.Time, req PromiseRequest) bool {
	t.Tick(now)
	g := t.guardedLease(req.Holder, req.Epoch)
	m := t.state.Member(req.Holder)
	if g == nil || m == nil || !m.HasGuardian(req.From) || req.From == t.id {
		return false
	}
	if !g.promised && !t.lapsed(now, req.Holder, g) {
		return false
	}
	if req.OffLog {
		if req.From != m.Pair[0] || t.heirForbidden(g) {
			return false
		}
		g.promisedHeir = req.From
	}
	g.promised = true
	return true
}

// heirForbidden reports whether the lease may have no heir because this guardian
// consented to a new pair or sent a revoke.
func (t *Table) heirForbidden(g *guardedLease) bool {
	if g.consented && t.ruleEnabled(ruleNoHeirAfterConsent) {
		return true
	}
	return g.revokeSent && t.ruleEnabled(ruleNoHeirAfterRevoke)
}

// RecordPromise records that guardian from gave the promise that req asked for.
func (t *Table) RecordPromise(now time.Time, from record.Incarnation, req PromiseRequest) {
	t.Tick(now)
	g := t.guardedLease(req.Holder, req.Epoch)
	m := t.state.Member(req.Holder)
	if g == nil || m == nil || !m.HasGuardian(from) {
		return
	}
	g.otherPromised = true
	g.otherOffLog = g.otherOffLog || req.OffLog
	t.makeOwnPromise(now, req.Holder, g)
}

// makeOwnPromise gives this guardian's own promise if the lease of holder has
// lapsed.
func (t *Table) makeOwnPromise(now time.Time, holder record.Incarnation, g *guardedLease) {
	if t.lapsed(now, holder, g) {
		g.promised = true
	}
}

// Revoke returns the record that revokes holder, and false while the record
// may not be sent. The Table treats a returned record as sent.
func (t *Table) Revoke(now time.Time, holder record.Incarnation) (record.Revoke, bool) {
	t.Tick(now)
	g := t.guardedLeases[holder]
	m := t.state.Member(holder)
	if g == nil || m == nil || !t.bothPromised(now, g, m) {
		return record.Revoke{}, false
	}
	if g.promisedHeir != "" && !t.lostAndLapsed(now, g.promisedHeir) && t.ruleEnabled(ruleOnlyHeirRevokes) {
		return record.Revoke{}, false
	}
	g.revokeSent = true
	return record.Revoke{By: t.id, Of: holder, Epoch: g.epoch, Heir: g.servingAsHeir}, true
}

// bothPromised reports whether neither guardian of m will renew its lease again.
func (t *Table) bothPromised(now time.Time, g *guardedLease, m *fleet.Member) bool {
	other := m.Pair[0]
	if other == t.id {
		other = m.Pair[1]
	}
	otherStopped := g.otherPromised || t.lostAndLapsed(now, other) || !t.ruleEnabled(ruleBothPromises)
	if otherStopped {
		t.makeOwnPromise(now, m.ID, g)
	}
	return otherStopped && g.promised
}

// BecomeHeir makes this incarnation the heir of holder if the rules allow it,
// and reports whether they do.
func (t *Table) BecomeHeir(now time.Time, holder record.Incarnation) bool {
	t.Tick(now)
	g := t.guardedLeases[holder]
	m := t.state.Member(holder)
	if g == nil || m == nil || m.Pair[0] != t.id {
		return false
	}
	if !g.promised || !g.otherOffLog || t.heirForbidden(g) {
		return false
	}
	if g.noticedReleases > m.Releases && t.ruleEnabled(ruleHeirAppliedReleases) {
		return false
	}
	g.servingAsHeir = true
	return true
}

// heirUntil returns when this incarnation stops serving as heir of holder
// unless its own lease is renewed.
func (t *Table) heirUntil(holder record.Incarnation) time.Time {
	m := t.state.Member(holder)
	if m == nil || (m.Accused != 0 && t.ruleEnabled(ruleAccusedStopsHeir)) {
		return time.Time{}
	}
	until := t.HeldUntil()
	if !t.ruleEnabled(ruleHeirOwnLease) {
		until = t.lastTick.Add(Duration)
	}
	if !t.ruleEnabled(ruleBlindLimit) {
		return until
	}
	return earlier(until, t.headReadAt.Add(m.BlindLimit))
}

// HeirFor returns the incarnations for which this one serves as heir, sorted.
func (t *Table) HeirFor() []record.Incarnation {
	var ids []record.Incarnation
	for holder, g := range t.guardedLeases {
		if g.servingAsHeir {
			ids = append(ids, holder)
		}
	}
	slices.Sort(ids)
	return ids
}

// RevokeUnguarded returns Revoke records that any member may send: for members
// whose guardians are both lost, and for members whose process has ended and
// whose first guardian is lost, so that they have no heir, once the grants of both
// have ended. A member that lost
// both guardians could name new ones itself, and has an additional Duration to
// do so.
func (t *Table) RevokeUnguarded(now time.Time) []record.Revoke {
	t.Tick(now)
	var revokes []record.Revoke
	for _, m := range t.state.Members() {
		if m.ID == t.id {
			continue
		}
		if m.Epoch == 0 && !m.Succeeded {
			continue
		}
		noHeir := t.grantsEnded(now, m.ID) && t.grantsEnded(now, m.Pair[0])
		if m.Epoch > 0 && !noHeir && (!t.lapsedPastGrace(now, m.Pair[0]) || !t.lapsedPastGrace(now, m.Pair[1])) {
			continue
		}
		revokes = append(revokes, record.Revoke{By: t.id, Of: m.ID, Epoch: m.Epoch})
	}
	return revokes
}

// lapsedPastGrace reports whether guardian is lost and every renewal that it
// granted had already lapsed Duration before now.
func (t *Table) lapsedPastGrace(now time.Time, guardian record.Incarnation) bool {
	return t.lostAndLapsed(now.Add(-Duration), guardian)
}

// RevokeAccused returns Revoke records for the members that left an accusation
// unanswered for longer than a member may hold its lease without reading the
// log, ordered by member.
func (t *Table) RevokeAccused(now time.Time) []record.Revoke {
	t.Tick(now)
	var revokes []record.Revoke
	for accused, at := range t.accusedAt {
		m := t.state.Member(accused)
		if m == nil || m.Accused == 0 || accused == t.id {
			continue
		}
		if now.Sub(at) <= m.BlindLimit+m.BlindLimit/20+ClockRateMargin {
			continue
		}
		revokes = append(revokes, record.Revoke{By: t.id, Of: accused, Epoch: m.Epoch, Accused: m.Accused})
	}
	slices.SortFunc(revokes, func(a, b record.Revoke) int { return cmp.Compare(a.Of, b.Of) })
	return revokes
}
