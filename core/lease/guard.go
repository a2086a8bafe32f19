package lease

import (
	"time"

	"siskinknot/core/record"
)

// ward is what a guardian keeps about a daemon it guards, for one epoch.
type ward struct {
	epoch uint64
	// foldedAt is when the Guardians record of the epoch was folded.
	foldedAt  time.Time
	renewedAt time.Time
	// promised is set once this guardian will never renew the ward again.
	promised bool
	// otherPromised and otherOffLog are what the other guardian answered.
	otherPromised bool
	otherOffLog   bool
	// heirIs is who got this guardian's off-log promise; heir is whether this
	// guardian itself serves the ward's units.
	heirIs record.Incarnation
	heir   bool
	// consented is set once this guardian agreed to a next pair.
	consented  bool
	revokeSent bool
	// noticed is the highest number of releases that the ward spoke of.
	noticed uint64
}

// observePair follows a new pair of guardians.
func (b *Book) observePair(now time.Time, rec record.Guardians) {
	delete(b.wards, rec.By)
	if rec.Pair[0] != b.me && rec.Pair[1] != b.me {
		return
	}
	b.wards[rec.By] = &ward{epoch: rec.Epoch, foldedAt: now, noticed: rec.Releases}
}

// ward returns what this incarnation keeps as guardian of holder in epoch, or
// nil.
func (b *Book) ward(holder record.Incarnation, epoch uint64) *ward {
	w := b.wards[holder]
	if w == nil || w.epoch != epoch {
		return nil
	}
	return w
}

// Renew grants or refuses a renewal.
func (b *Book) Renew(now time.Time, req Renewal) bool {
	b.Tick(now)
	w := b.ward(req.Holder, req.Epoch)
	if w == nil || (w.promised && b.on(rulePromiseBinds)) {
		return false
	}
	if !b.mayRenew(now) {
		return false
	}
	if now.After(w.renewedAt) {
		w.renewedAt = now
	}
	w.noticed = max(w.noticed, req.Releases)
	return true
}

// mayRenew reports whether this incarnation may renew others at now.
func (b *Book) mayRenew(now time.Time) bool {
	if !b.on(ruleRenewHolding) || b.Holds(now) {
		return true
	}
	return !b.state.Lost(b.me) && now.Sub(b.headReadAt) < Duration
}

// lapsed reports whether every renewal that this guardian gave holder, or that
// the guardians before it gave, has surely ended, and the guardian was awake to
// hear of it. A holder whose process has ended needs no waiting for.
func (b *Book) lapsed(now time.Time, holder record.Incarnation, w *ward) bool {
	if m := b.state.Member(holder); !b.on(ruleLapsed) || (m != nil && m.Succeeded) {
		return true
	}
	last := w.renewedAt
	if w.foldedAt.After(last) && b.on(ruleFoldedPair) {
		last = w.foldedAt
	}
	if b.awakeSince.After(last) {
		last = b.awakeSince
	}
	return now.Sub(last) > Duration+Margin
}

// Consent agrees, or not, to holder naming a new pair after epoch.
func (b *Book) Consent(now time.Time, holder record.Incarnation, epoch uint64) bool {
	b.Tick(now)
	w := b.ward(holder, epoch)
	if w == nil || w.heir || (w.promised && b.on(ruleConsent)) {
		return false
	}
	w.consented = true
	return true
}
