package lease

import (
	"cmp"
	"slices"
	"time"

	"siskinknot/core/fleet"
	"siskinknot/core/record"
)

// secondAfter is how much longer than the first guardian the second waits
// before it begins a takeover itself.
const secondAfter = RenewEvery

// Lapse is a ward whose lease has lapsed as far as this guardian knows.
type Lapse struct {
	Holder record.Incarnation
	Epoch  uint64
	// Other is the other guardian.
	Other record.Incarnation
	// First is whether this incarnation is the first guardian.
	First bool
}

// Lapses returns the wards that this guardian should take over.
func (b *Book) Lapses(now time.Time) []Lapse {
	b.Tick(now)
	var lapses []Lapse
	for holder, w := range b.wards {
		m := b.state.Member(holder)
		if m == nil || !b.lapsed(now, holder, w) {
			continue
		}
		first := m.Pair[0] == b.me
		if !first && !b.state.Lost(m.Pair[0]) && !b.lapsed(now.Add(-secondAfter), holder, w) {
			continue
		}
		other := m.Pair[0]
		if first {
			other = m.Pair[1]
		}
		lapses = append(lapses, Lapse{Holder: holder, Epoch: w.epoch, Other: other, First: first})
	}
	slices.SortFunc(lapses, func(a, b Lapse) int { return cmp.Compare(a.Holder, b.Holder) })
	return lapses
}

// PromiseRequest asks a guardian never to renew Holder again in Epoch.
type PromiseRequest struct {
	Holder record.Incarnation
	Epoch  uint64
	From   record.Incarnation
	// OffLog asks that From alone may act on the promise, as heir.
	OffLog bool
}

// Promise gives or refuses a promise.
func (b *Book) Promise(now time.Time, req PromiseRequest) bool {
	b.Tick(now)
	w := b.ward(req.Holder, req.Epoch)
	m := b.state.Member(req.Holder)
	if w == nil || m == nil || !m.Guards(req.From) || req.From == b.me {
		return false
	}
	if !w.promised && !b.lapsed(now, req.Holder, w) {
		return false
	}
	if req.OffLog {
		if req.From != m.Pair[0] || b.heirForbidden(w) {
			return false
		}
		w.heirIs = req.From
	}
	w.promised = true
	return true
}

// heirForbidden reports whether w may have no heir because of what this
// guardian did.
func (b *Book) heirForbidden(w *ward) bool {
	if w.consented && b.on(ruleHeirConsented) {
		return true
	}
	return w.revokeSent && b.on(ruleHeirRevokeSent)
}

// Promised takes in that guardian from gave the promise req asked for.
func (b *Book) Promised(now time.Time, from record.Incarnation, req PromiseRequest) {
	b.Tick(now)
	w := b.ward(req.Holder, req.Epoch)
	m := b.state.Member(req.Holder)
	if w == nil || m == nil || !m.Guards(from) {
		return
	}
	w.otherPromised = true
	w.otherOffLog = w.otherOffLog || req.OffLog
	b.promiseSelf(now, req.Holder, w)
}

// promiseSelf makes this guardian's own promise if it may.
func (b *Book) promiseSelf(now time.Time, holder record.Incarnation, w *ward) {
	if b.lapsed(now, holder, w) {
		w.promised = true
	}
}

// Revoke returns the record that takes the units of holder, and false while it
// may not be sent. The Book takes it as sent.
func (b *Book) Revoke(now time.Time, holder record.Incarnation) (record.Revoke, bool) {
	b.Tick(now)
	w := b.wards[holder]
	m := b.state.Member(holder)
	if w == nil || m == nil || !b.bothPromised(now, w, m) {
		return record.Revoke{}, false
	}
	if w.heirIs != "" && !b.surelyLost(now, w.heirIs) && b.on(ruleHeirOnly) {
		return record.Revoke{}, false
	}
	w.revokeSent = true
	return record.Revoke{By: b.me, Of: holder, Epoch: w.epoch, Heir: w.heir}, true
}

// bothPromised reports whether neither guardian will renew the ward again.
func (b *Book) bothPromised(now time.Time, w *ward, m *fleet.Member) bool {
	other := m.Pair[0]
	if other == b.me {
		other = m.Pair[1]
	}
	otherDone := w.otherPromised || b.surelyLost(now, other) || !b.on(ruleBothPromise)
	if otherDone {
		b.promiseSelf(now, m.ID, w)
	}
	return otherDone && w.promised
}

// Inherit makes this incarnation the heir of holder if it may be.
func (b *Book) Inherit(now time.Time, holder record.Incarnation) bool {
	b.Tick(now)
	w := b.wards[holder]
	m := b.state.Member(holder)
	if w == nil || m == nil || m.Pair[0] != b.me {
		return false
	}
	if !w.promised || !w.otherOffLog || b.heirForbidden(w) {
		return false
	}
	if w.noticed > m.Releases && b.on(ruleHeirNotice) {
		return false
	}
	w.heir = true
	return true
}

// inheritedUntil returns when this incarnation stops serving as heir of holder.
func (b *Book) inheritedUntil(holder record.Incarnation) time.Time {
	m := b.state.Member(holder)
	if m == nil || (m.Accused != 0 && b.on(ruleHeirAccused)) {
		return time.Time{}
	}
	until := b.HeldUntil()
	if !b.on(ruleHeirOwnLease) {
		until = b.lastTick.Add(Duration)
	}
	if !b.on(ruleBlindLimit) {
		return until
	}
	return earlier(until, b.headReadAt.Add(m.BlindLimit))
}

// Inherited returns the incarnations that this one is heir to.
func (b *Book) Inherited() []record.Incarnation {
	var ids []record.Incarnation
	for holder, w := range b.wards {
		if w.heir {
			ids = append(ids, holder)
		}
	}
	slices.Sort(ids)
	return ids
}

// Orphans returns the revokes that any member may send: of members whose
// guardians are both lost, and of members whose process has ended and whose
// first guardian is lost, so that they have no heir. A member that lost both
// guardians could name new ones itself, and is given another Duration to do so.
func (b *Book) Orphans(now time.Time) []record.Revoke {
	b.Tick(now)
	var revokes []record.Revoke
	for _, m := range b.state.Members() {
		if m.ID == b.me {
			continue
		}
		if m.Epoch == 0 && !m.Succeeded {
			continue
		}
		noHeir := m.Succeeded && b.state.Lost(m.Pair[0])
		if m.Epoch > 0 && !noHeir && (!b.orphanedBy(now, m.Pair[0]) || !b.orphanedBy(now, m.Pair[1])) {
			continue
		}
		revokes = append(revokes, record.Revoke{By: b.me, Of: m.ID, Epoch: m.Epoch})
	}
	return revokes
}

// orphanedBy reports whether guardian was lost long enough ago.
func (b *Book) orphanedBy(now time.Time, guardian record.Incarnation) bool {
	return b.surelyLost(now.Add(-Duration), guardian)
}

// RevokeAccused returns the revokes of members that left an accusation
// unanswered for longer than they may hold without reading the log.
func (b *Book) RevokeAccused(now time.Time) []record.Revoke {
	b.Tick(now)
	var revokes []record.Revoke
	for id, at := range b.accusedAt {
		m := b.state.Member(id)
		if m == nil || m.Accused == 0 || id == b.me {
			continue
		}
		if now.Sub(at) <= m.BlindLimit+m.BlindLimit/20+Margin {
			continue
		}
		revokes = append(revokes, record.Revoke{By: b.me, Of: id, Epoch: m.Epoch, Accused: m.Accused})
	}
	slices.SortFunc(revokes, func(a, b record.Revoke) int { return cmp.Compare(a.Of, b.Of) })
	return revokes
}
