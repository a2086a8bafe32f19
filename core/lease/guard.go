package lease

import (
	"time"

	"siskinknot/core/record"
)

// guardedLease is what a guardian records about one lease holder, for one epoch
// of the holder.
type guardedLease struct {
	epoch uint64
	// pairAppliedAt is when the Guardians record of the epoch was applied.
	pairAppliedAt time.Time
	// renewedAt is when this guardian last granted a renewal.
	renewedAt time.Time
	// promised is set once this guardian must never renew the lease again.
	promised bool
	// otherPromised is set once the other guardian promised not to renew the
	// lease, and otherOffLog once it gave this guardian an off-log promise.
	otherPromised bool
	otherOffLog   bool
	// promisedHeir is the guardian that received this guardian's off-log
	// promise, and servingAsHeir is set while this guardian serves the holder's
	// units as heir.
	promisedHeir  record.Incarnation
	servingAsHeir bool
	// consented is set once this guardian agreed to a next pair, and revokeSent
	// once it returned a Revoke record to send.
	consented  bool
	revokeSent bool
	// noticedReleases is the highest number of releases of which the holder has
	// given notice.
	noticedReleases uint64
}

// observePair records the pair of guardians that rec names.
func (t *Table) observePair(now time.Time, rec record.Guardians) {
	delete(t.guardedLeases, rec.By)
	if rec.Pair[0] != t.id && rec.Pair[1] != t.id {
		return
	}
	t.guardedLeases[rec.By] = &guardedLease{epoch: rec.Epoch, pairAppliedAt: now, noticedReleases: rec.Releases}
}

// guardedLease returns what this incarnation records as guardian of holder in
// epoch, or nil if it is not a guardian of that epoch.
func (t *Table) guardedLease(holder record.Incarnation, epoch uint64) *guardedLease {
	g := t.guardedLeases[holder]
	if g == nil || g.epoch != epoch {
		return nil
	}
	return g
}

// GrantRenewal reports whether this guardian grants the renewal that req asks
// for, and records a granted one.
func (t *Table) GrantRenewal(now time.Time, req RenewalRequest) bool {
	t.Tick(now)
	g := t.guardedLease(req.Holder, req.Epoch)
	if g == nil || (g.promised && t.ruleEnabled(ruleNoRenewAfterPromise)) {
		return false
	}
	if !t.mayRenew(now) {
		return false
	}
	if now.After(g.renewedAt) {
		g.renewedAt = now
	}
	g.noticedReleases = max(g.noticedReleases, req.Releases)
	return true
}

// mayRenew reports whether this incarnation may renew the leases of others at
// now.
func (t *Table) mayRenew(now time.Time) bool {
	if !t.ruleEnabled(ruleRenewWhileHolding) || t.Holds(now) {
		return true
	}
	return !t.state.Lost(t.id) && now.Sub(t.headReadAt) < Duration
}

// lapsed reports whether every renewal that this guardian or the guardians
// before it granted to holder has certainly ended, and this process has run
// without a pause for that long, so that it received the renewals sent to it.
// If the holder's process has ended, the end of the grants that it gave suffices.
func (t *Table) lapsed(now time.Time, holder record.Incarnation, g *guardedLease) bool {
	if !t.ruleEnabled(rulePromiseAfterLapse) || t.grantsEnded(now, holder) {
		return true
	}
	last := g.renewedAt
	if g.pairAppliedAt.After(last) && t.ruleEnabled(ruleCountFromApply) {
		last = g.pairAppliedAt
	}
	if t.runningSince.After(last) {
		last = t.runningSince
	}
	return now.Sub(last) > Duration+ClockRateMargin
}

// GrantConsent reports whether this guardian agrees that holder replaces the
// pair of epoch by a new one, and records its consent.
func (t *Table) GrantConsent(now time.Time, holder record.Incarnation, epoch uint64) bool {
	t.Tick(now)
	g := t.guardedLease(holder, epoch)
	if g == nil || g.servingAsHeir || (g.promised && t.ruleEnabled(ruleNoConsentAfterPromise)) {
		return false
	}
	g.consented = true
	return true
}
