// Package lease decides when a daemon may act as the owner of the units that
// the log gives it, and when another may take them without its consent.
//
// Every daemon has two guardians, daemons of other incarnations named on the
// log (see record.Guardians), which it asks to renew its lease. The rules, each
// kept by the function named:
//
//   - Holding (Book.HeldUntil). A daemon holds while at least one guardian of
//     its pair renewed its lease less than Duration ago, counted from the moment
//     the request was sent.
//   - Renewing (Book.Renew). A guardian renews only while it holds itself, or
//     has read the log's head less than Duration ago and is not lost. The
//     second half lets a fleet start in which nobody holds.
//   - Taking (Book.Promise, Book.Revoke). Taking a daemon's units without its
//     consent needs both guardians. Each promises never to renew it again in
//     that epoch, and only once its last renewal has surely lapsed. Then a
//     Revoke goes on the log. A lost guardian counts as having promised, twice
//     Duration after its loss was folded.
//   - Changing guardians (Book.ProposePair, Book.Consent). A new pair carries
//     the consent of an old guardian that has not promised, or stands on the
//     loss of both. From sending it until the record is folded the daemon
//     accepts no renewal. A new guardian counts its time from the moment it
//     folded the record.
//   - Heir (Book.Inherit). While the log is down the first guardian may serve
//     the units itself, on the second's off-log promise. From then on only the
//     heir may revoke. The heir stands back if either guardian consented to a
//     new pair or sent a revoke, or if a release that the daemon gave notice of
//     is not in the heir's fold.
//   - Notice of releases (Book.Release). Before a daemon sends a Release it
//     tells its first guardian how many releases it has sent. Without this, an
//     heir with an old view of the log would serve units that were passed on.
//   - Blind limit (Book.ReadHead). A daemon stops holding when it has not read
//     the log's head for its blind limit, or for that long since an unanswered
//     accusation. That makes Book.RevokeAccused possible where lost daemons
//     guarded one another.
//
// A process that takes the place of an earlier one on the same boot of the same
// VM, at the same address, proves by its announcement that the earlier one has
// ended. Its guardians then need not wait for the lease to lapse; and if the
// first guardian is lost too, so that there can be no heir, nobody need.
//
// Clocks are never compared between daemons, only their rates; Margin covers
// the difference. The clock has to count the time that a VM is suspended.
//
// # Usage
//
//	book := lease.New(me, state, now)
//	verdict := state.Apply(offset, rec)
//	book.Observe(now, rec, verdict)
//	claim, refusal := book.Claim(now, "registry", "rosa-alba")
package lease

import (
	"time"

	"siskinknot/core/fleet"
	"siskinknot/core/outcome"
	"siskinknot/core/record"
)

// Times of the lease protocol. They are the same in the whole fleet.
const (
	// Duration is how long a renewal lasts.
	Duration = 1200 * time.Millisecond
	// RenewEvery is the time between two renewals.
	RenewEvery = Duration / 3
	// Margin covers clocks that run at rates up to 5% apart.
	Margin = Duration / 20
	// pauseLimit is the longest time between two calls of Tick after which a
	// guardian trusts that it received the renewals sent to it meanwhile.
	pauseLimit = RenewEvery
)

// rule names a clause that a test can switch off to show that it notices.
type rule uint

const (
	ruleSentAt         rule = 1 << iota // a lease counts from the sending of its request
	ruleRenewHolding                    // a guardian renews only while it holds or has read the head
	ruleLapsed                          // a promise waits for the last renewal to lapse
	rulePromiseBinds                    // a guardian that promised does not renew
	ruleBothPromise                     // a revoke needs the promises of both guardians
	ruleLostGuardian                    // a lost guardian counts after twice Duration
	ruleNoRenewals                      // no renewal is accepted while a new pair is under way
	ruleFoldedPair                      // a new guardian counts from its fold
	ruleConsent                         // consent is refused after a promise
	ruleConsentNeeded                   // a new pair needs consent or the loss of both guardians
	ruleHeirOnly                        // after an off-log promise only the heir revokes
	ruleHeirConsented                   // no heir after a consent
	ruleHeirRevokeSent                  // no heir after a revoke was sent
	ruleHeirOwnLease                    // an heir serves under its own lease
	ruleNotice                          // a release is sent after its notice was acknowledged
	ruleHeirNotice                      // an heir stands back over an unfolded release
	ruleReleaseStops                    // a unit is not served once its release is sent
	ruleBlindLimit                      // holding ends with the blind limit
	ruleAccusedFreeze                   // an accusation stops the growth of the blind limit
	ruleHeirAccused                     // an heir stops when it folds an accusation
)

// Book holds what one incarnation knows about leases: its own, those it
// guards, and those it is heir to. It is not safe for concurrent use, and
// shares its State with its caller.
type Book struct {
	me    record.Incarnation
	state *fleet.State
	off   rule

	// heldUntil is the end of the latest accepted renewal.
	heldUntil time.Time
	// headReadAt is when the last read that reached the log's head was sent.
	headReadAt time.Time
	// sentEpoch is the latest epoch sent to the log in a Guardians record.
	sentEpoch uint64
	// moving is the release under way, or nil.
	moving *move

	wards     map[record.Incarnation]*ward
	lostAt    map[record.Incarnation]time.Time
	accusedAt map[record.Incarnation]time.Time
	// lastTick and awakeSince find the pauses of this process.
	lastTick   time.Time
	awakeSince time.Time
}

// New returns the Book of incarnation me, which holds nothing yet.
func New(me record.Incarnation, state *fleet.State, now time.Time) *Book {
	return &Book{
		me:         me,
		state:      state,
		wards:      map[record.Incarnation]*ward{},
		lostAt:     map[record.Incarnation]time.Time{},
		accusedAt:  map[record.Incarnation]time.Time{},
		lastTick:   now,
		awakeSince: now,
	}
}

// on reports whether clause r is in force.
func (b *Book) on(r rule) bool { return b.off&r == 0 }

// Me returns the incarnation of this Book.
func (b *Book) Me() record.Incarnation { return b.me }

// Tick notes that the process runs at now. Functions that decide call it, so a
// caller needs to call it only in idle times, more often than RenewEvery.
func (b *Book) Tick(now time.Time) {
	if now.Sub(b.lastTick) > pauseLimit {
		b.awakeSince = now
	}
	if now.After(b.lastTick) {
		b.lastTick = now
	}
}

// Observe follows a record that the State has just folded at now.
func (b *Book) Observe(now time.Time, rec record.Record, verdict fleet.Verdict) {
	b.Tick(now)
	b.settle(rec)
	if _, ok := verdict.(fleet.Accepted); !ok {
		return
	}
	switch rec := rec.(type) {
	case record.Announce:
		b.noteLosses(now)
	case record.Guardians:
		b.observePair(now, rec)
	case record.Revoke:
		b.lostAt[rec.Of] = now
		delete(b.wards, rec.Of)
		delete(b.accusedAt, rec.Of)
	case record.Accuse:
		b.accusedAt[rec.Of] = now
	case record.Alive:
		delete(b.accusedAt, rec.By)
	}
}

// noteLosses stamps the members that an announcement succeeded.
func (b *Book) noteLosses(now time.Time) {
	for _, m := range b.state.Members() {
		if _, ok := b.lostAt[m.ID]; m.Succeeded && !ok {
			b.lostAt[m.ID] = now
		}
	}
}

// lostSince returns since when this Book has known id to be lost.
func (b *Book) lostSince(now time.Time, id record.Incarnation) (time.Time, bool) {
	if !b.state.Lost(id) {
		return time.Time{}, false
	}
	at, ok := b.lostAt[id]
	if !ok {
		at = now
		b.lostAt[id] = now
	}
	return at, true
}

// surelyLost reports whether id was lost so long ago that no renewal which it
// gave can still be in force.
func (b *Book) surelyLost(now time.Time, id record.Incarnation) bool {
	at, lost := b.lostSince(now, id)
	if !b.on(ruleLostGuardian) {
		return lost
	}
	return lost && now.Sub(at) > 2*(Duration+Margin)
}

// Claim is the right to hand one request to the target.
type Claim struct {
	Unit record.Unit
	// Until is when the right ends unless the lease is renewed.
	Until time.Time
	// For is the owner on the log: this incarnation, or the one it is heir to.
	For record.Incarnation
}

// Claim returns the right to serve key at now, or why there is none. Callers
// ask immediately before they hand a request to the target.
func (b *Book) Claim(now time.Time, service, key string) (Claim, outcome.Result) {
	b.Tick(now)
	svc := b.state.Service(service)
	if svc == nil {
		return Claim{}, outcome.NotRun{Reason: outcome.NoService}
	}
	unit, owner := svc.UnitOf(key)
	claim := Claim{Unit: unit, For: owner.ID}
	switch {
	case owner.ID == "":
		return Claim{}, outcome.NotRun{Reason: outcome.NoOwner, Offset: b.state.Next()}
	case owner.ID == b.me:
		claim.Until = b.HeldUntil()
	case b.wards[owner.ID] != nil && b.wards[owner.ID].heir:
		claim.Until = b.inheritedUntil(owner.ID)
	default:
		return Claim{}, outcome.NotRun{Reason: outcome.NotOwner, Offset: b.state.Next()}
	}
	if b.moves(service, key, unit) {
		return Claim{}, outcome.NotRun{Reason: outcome.NoOwner}
	}
	if !now.Before(claim.Until) {
		return Claim{}, outcome.NotRun{Reason: outcome.NoLease}
	}
	return claim, nil
}
