// Package lease decides when a daemon may act as the owner of the units that
// the log assigns to it, and when another daemon may take them without its
// consent.
//
// Each daemon has two guardians: daemons of other incarnations, named on the
// log (see record.Guardians), which it asks to renew its lease. A daemon whose
// lease is renewed is a lease holder. The protocol has the following rules; each
// names the functions that enforce it:
//
//   - Holding (Table.HeldUntil). A daemon holds its lease while at least one
//     guardian of its pair has renewed it less than Duration ago, counted from
//     the time at which the request was sent.
//   - Renewal (Table.GrantRenewal). A guardian grants renewals only while it
//     holds its own lease, or if it has read the log's head less than Duration
//     ago and is not lost. The second condition allows a fleet to start, when
//     no daemon holds a lease yet.
//   - Takeover (Table.GrantPromise, Table.Revoke). Taking a daemon's units
//     without its consent needs both guardians. Each promises never to renew
//     the lease again in that epoch, and gives the promise only once its last
//     renewal has certainly lapsed. Then a Revoke record is appended to the
//     log. A lost guardian counts as having promised when twice Duration, plus
//     twice ClockRateMargin, has passed since the record of its loss was
//     applied.
//   - Change of guardians (Table.ProposePair, Table.GrantConsent). A new pair
//     needs the consent of an old guardian that has not promised, or the loss of
//     both old guardians. From the time at which the daemon sends the Guardians
//     record until that record is applied, the daemon accepts no renewal. A new
//     guardian measures the lapse of the lease from the time at which it
//     applied the record.
//   - Heir (Table.BecomeHeir). While the log is down the first guardian may
//     serve the units itself, as heir, if the second guardian gave it an off-log
//     promise. From then on only the heir may revoke the lease. The first
//     guardian may not become heir if either guardian consented to a new pair
//     or sent a Revoke, or if the daemon gave notice of a release that the
//     first guardian has not applied.
//   - Notice of releases (Table.Release). Before a daemon sends a Release it
//     tells its first guardian how many releases it has sent. Without this
//     notice, an heir with an outdated state of the log would serve units that
//     were already transferred to another owner.
//   - Blind limit (Table.RecordHeadRead). A daemon's lease ends when the daemon
//     has not read the log's head for its blind limit, or when an accusation
//     has been unanswered for that long. Table.RevokeAccused relies on this to
//     revoke lost daemons that were guardians of one another.
//
// If a process replaces an earlier one on the same boot of the same VM and at
// the same address, its announcement proves that the earlier process has ended.
// The guardians of the earlier one then need not wait for its lease to lapse, but
// only for the grants that its target may still have (Table.grantsEnded). If its
// first guardian is lost too, it can have no heir, and any member may revoke it once
// the grants of both have ended.
//
// Clock readings are never compared between daemons; the protocol relies only on
// clock rates, and ClockRateMargin covers the difference between them. The clock
// has to include the time during which a VM is suspended.
//
// # Usage
//
//	table := lease.New(id, state, now)
//	result := state.Apply(offset, rec)
//	table.Observe(now, rec, result)
//	claim, refusal := table.Claim(now, "registry", "rosa-alba")
package lease

import (
	"time"

	"siskinknot/core/fleet"
	"siskinknot/core/outcome"
	"siskinknot/core/record"
)

// Times of the lease protocol. All daemons of a fleet use the same values.
const (
	// Duration is how long a renewal lasts.
	Duration = 1200 * time.Millisecond
	// RenewInterval is the time between two renewals.
	RenewInterval = Duration / 3
	// ClockRateMargin is added to Duration where one daemon waits for the lease
	// of another to lapse. It allows for clock rates that differ by up to 5%.
	ClockRateMargin = Duration / 20
	// maxTickGap is the longest time between two calls of Tick for which a
	// guardian assumes that it received all renewal requests sent to it in
	// between.
	maxTickGap = RenewInterval
)

// rule is a set of protocol rules, one bit each. A test disables a rule to show
// that the model then finds two holders of a key.
type rule uint

const (
	ruleCountFromSend            rule = 1 << iota // a lease is counted from the time at which its request was sent
	ruleRenewWhileHolding                         // a guardian renews only while it holds its lease or has read the head recently
	rulePromiseAfterLapse                         // a promise is given only once the last renewal has lapsed
	ruleNoRenewAfterPromise                       // a guardian that promised does not renew
	ruleBothPromises                              // a revoke needs the promises of both guardians
	ruleLostGuardianDelay                         // a lost guardian counts as having promised only after twice Duration plus twice ClockRateMargin
	ruleNoRenewalDuringChange                     // no renewal is accepted between sending a new pair and applying it
	ruleCountFromApply                            // a new guardian counts from the time at which it applied its pair
	ruleNoConsentAfterPromise                     // a guardian that promised refuses consent
	ruleConsentRequired                           // a new pair needs the consent of a guardian or the loss of both
	ruleOnlyHeirRevokes                           // after an off-log promise only the heir revokes
	ruleNoHeirAfterConsent                        // there is no heir after a guardian consented to a new pair
	ruleNoHeirAfterRevoke                         // there is no heir after a guardian sent a revoke
	ruleHeirOwnLease                              // an heir serves only while it holds its own lease
	ruleReleaseNotice                             // a release is sent only after its notice was acknowledged
	ruleHeirAppliedReleases                       // a guardian becomes heir only once it has applied all releases of which it has notice
	ruleSentReleaseCloses                         // a unit is not served once its release is sent
	ruleBlindLimit                                // a lease ends at the blind limit
	ruleAccusedFreezesBlindLimit                  // reads of the log do not extend the blind limit of an accused member
	ruleAccusedStopsHeir                          // an heir stops serving once it applied an accusation of the holder
)

// Table holds the lease state of one incarnation: its own lease, the leases of
// which it is a guardian, and those for which it serves as heir. It is not safe
// for concurrent use, and shares its fleet.State with the caller.
type Table struct {
	id    record.Incarnation
	state *fleet.State
	// disabledRules are the rules that a test has disabled.
	disabledRules rule

	// heldUntil is the end of the latest accepted renewal.
	heldUntil time.Time
	// headReadAt is when the last read that reached the log's head was sent.
	headReadAt time.Time
	// proposedEpoch is the latest epoch sent to the log in a Guardians record.
	proposedEpoch uint64
	// pending is the release in progress, or nil.
	pending *pendingRelease

	// guardedLeases are the leases of which this incarnation is a guardian, by
	// holder.
	guardedLeases map[record.Incarnation]*guardedLease
	// lostAt is when this incarnation first knew that a member is lost, and
	// accusedAt is when it applied the unanswered accusation of a member.
	lostAt    map[record.Incarnation]time.Time
	accusedAt map[record.Incarnation]time.Time
	// grantsEndAt is when the target certainly has no grants of a succeeded member
	// any more.
	grantsEndAt map[record.Incarnation]time.Time
	// lastTick is the time of the latest Tick, and runningSince is when the
	// process last resumed after a pause longer than maxTickGap, or started.
	lastTick     time.Time
	runningSince time.Time
}

// New returns the Table of incarnation id, which does not hold a lease yet.
func New(id record.Incarnation, state *fleet.State, now time.Time) *Table {
	return &Table{
		id:            id,
		state:         state,
		guardedLeases: map[record.Incarnation]*guardedLease{},
		lostAt:        map[record.Incarnation]time.Time{},
		accusedAt:     map[record.Incarnation]time.Time{},
		grantsEndAt:   map[record.Incarnation]time.Time{},
		lastTick:      now,
		runningSince:  now,
	}
}

// ruleEnabled reports whether rule r is enabled.
func (t *Table) ruleEnabled(r rule) bool { return t.disabledRules&r == 0 }

// ID returns the incarnation to which this Table belongs.
func (t *Table) ID() record.Incarnation { return t.id }

// Tick records that the process is running at now. The methods that make
// decisions call it themselves; a caller has to call it only while idle, at
// intervals shorter than RenewInterval.
func (t *Table) Tick(now time.Time) {
	if now.Sub(t.lastTick) > maxTickGap {
		t.runningSince = now
	}
	if now.After(t.lastTick) {
		t.lastTick = now
	}
}

// Observe updates the Table after the State has applied rec with the given
// result at now.
func (t *Table) Observe(now time.Time, rec record.Record, result fleet.Result) {
	t.Tick(now)
	t.clearRelease(rec)
	if _, ok := result.(fleet.Accepted); !ok {
		return
	}
	switch rec := rec.(type) {
	case record.Announce:
		t.recordLosses(now, rec)
	case record.Guardians:
		t.observePair(now, rec)
	case record.Revoke:
		t.lostAt[rec.Of] = now
		delete(t.guardedLeases, rec.Of)
		delete(t.accusedAt, rec.Of)
		delete(t.grantsEndAt, rec.Of)
	case record.Accuse:
		t.accusedAt[rec.Of] = now
	case record.Alive:
		delete(t.accusedAt, rec.By)
	}
}

// recordLosses records now as the time of loss of each member that an
// announcement has succeeded, and when the grants end of those that rec succeeded.
func (t *Table) recordLosses(now time.Time, rec record.Announce) {
	last := rec.GrantsLast.Duration()
	for _, m := range t.state.Members() {
		if _, ok := t.lostAt[m.ID]; !m.Succeeded || ok {
			continue
		}
		t.lostAt[m.ID] = now
		if m.SucceededBy(rec) {
			t.grantsEndAt[m.ID] = now.Add(last + last*ClockRateMargin/Duration)
		}
	}
}

// grantsEnded reports whether the target of id certainly has no request with a grant
// of id any more, because id is revoked, or its process has ended and its last grant
// has expired.
func (t *Table) grantsEnded(now time.Time, id record.Incarnation) bool {
	m := t.state.Member(id)
	if m == nil || !m.Succeeded {
		return m == nil
	}
	end, ok := t.grantsEndAt[id]
	if !ok {
		// The state was loaded after the announcement.
		end = t.lastTick.Add(Duration + ClockRateMargin)
		t.grantsEndAt[id] = end
	}
	return !now.Before(end)
}

// lostSince returns when this Table first knew that id is lost, and false if id
// is not lost.
func (t *Table) lostSince(now time.Time, id record.Incarnation) (time.Time, bool) {
	if !t.state.Lost(id) {
		return time.Time{}, false
	}
	at, ok := t.lostAt[id]
	if !ok {
		at = now
		t.lostAt[id] = now
	}
	return at, true
}

// lostAndLapsed reports whether id was lost so long ago that every renewal that
// it granted has lapsed: more than twice Duration plus twice ClockRateMargin
// ago.
func (t *Table) lostAndLapsed(now time.Time, id record.Incarnation) bool {
	at, lost := t.lostSince(now, id)
	if !t.ruleEnabled(ruleLostGuardianDelay) {
		return lost
	}
	return lost && now.Sub(at) > 2*(Duration+ClockRateMargin)
}

// Claim is the right to send one request to the target.
type Claim struct {
	Unit record.Unit
	// Until is when the claim ends unless the lease is renewed.
	Until time.Time
	// Owner is the owner of Unit on the log: this incarnation, or the one for
	// which it serves as heir.
	Owner record.Incarnation
}

// Claim returns the right to serve key at now, or the reason why there is none.
// Callers call it immediately before they send a request to the target.
func (t *Table) Claim(now time.Time, service, key string) (Claim, outcome.Result) {
	t.Tick(now)
	svc := t.state.Service(service)
	if svc == nil {
		return Claim{}, outcome.NotRun{Reason: outcome.NoService}
	}
	unit, owner := svc.UnitOf(key)
	claim := Claim{Unit: unit, Owner: owner.ID}
	switch {
	case owner.ID == "":
		return Claim{}, outcome.NotRun{Reason: outcome.NoOwner, MinOffset: t.state.NextOffset()}
	case owner.ID == t.id:
		claim.Until = t.HeldUntil()
	case t.guardedLeases[owner.ID] != nil && t.guardedLeases[owner.ID].servingAsHeir:
		claim.Until = t.heirUntil(owner.ID)
	default:
		return Claim{}, outcome.NotRun{Reason: outcome.NotOwner, MinOffset: t.state.NextOffset()}
	}
	if t.closedByRelease(service, key, unit) {
		return Claim{}, outcome.NotRun{Reason: outcome.NoOwner}
	}
	if !now.Before(claim.Until) {
		return Claim{}, outcome.NotRun{Reason: outcome.NoLease}
	}
	return claim, nil
}
