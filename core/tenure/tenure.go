// Package tenure implements the ownership leases of a fleet. It decides when a
// member may act as the owner of its keys, and when other members may take over
// the keys of a member that does not respond.
//
// A member holds its keys under a lease. Two guardians, which are other members
// named in the directory, renew the lease. When a guardian cannot be reached, a
// read of the directory from the store renews the lease as well. The protocol
// has six rules; the function that enforces a rule is given in parentheses:
//
//   - Holding (LeaseTable.HeldUntil). The lease lasts for the length in the member's
//     entry (LeaseOf), counted from the moment the member sent a renewal request
//     that a guardian granted, or sent a read of the store that did not show the
//     member as fenced. A lease never starts before the member's process has read
//     the store, and never lasts longer than BlindLimit after the last read.
//   - Renewing (LeaseTable.MayRenew). A guardian grants a renewal only while its
//     own lease is valid and its directory shows the member as active and
//     itself as one of the member's guardians.
//   - Changing guardians (LeaseTable.RecordGuardianChange). Only the member
//     itself changes its guardians. From sending the change until its result is
//     known, renewals that the member requests do not extend its lease.
//   - Taking over (LeaseTable.MayTakeOver). The keys of a member are taken over
//     in two steps. First, the state in the member's entry is set to Fenced.
//     The keys are free once every guardian has confirmed that it has applied
//     that change and the length of the member's lease has passed since. A
//     guardian that is itself fenced counts as having confirmed when its own
//     lease has certainly expired. A guardian whose process has ended counts as
//     having confirmed at that time.
//     Without the confirmations, the keys are free BlindLimit after the fence.
//   - Restarting (LeaseTable.FormerChangesPending). A new process of a member has no
//     lease until the directory has gone beyond the version at which the process first
//     read it. Until then the store may still execute a change that the previous process
//     sent: a transfer of keys or a change of guardians. Every such change is conditional
//     on that version or an earlier one.
//   - Returning. A fenced member that is still running may set its state to
//     Active again. If that transaction succeeds, no other member has taken over
//     its keys.
//
// After the store came back from a copy, the members that did not say which version of the
// directory they knew are fenced, and keys keep their owners for a while (EraSettled).
//
// The length of a lease is part of the member's entry, so that the members that take
// over its keys wait as long as the member may hold them. Only the member itself
// changes it, and only to a longer one (ChooseLease): a fence that follows the change
// in the directory contains the new length, and after an earlier fence the change
// fails. A shorter length would have to wait for the grants under the longer one.
//
// Every change of owner is a transaction on the directory, so two members that
// take over the same keys cannot both succeed. A new process at a member's
// address proves that the previous process has ended, so the new process uses the
// member's entry as soon as no change of the previous process can be applied any more.
//
// The lease bounds what a member's daemon does, not what its target does: a target measures
// grants by a clock of its own and may apply them late. Lapse tells when a member's lease was
// interrupted, after which its target has to be told which keys are not its own.
//
// Clocks of different members are never compared; the protocol depends only on
// their rates, and Margin covers the difference in rate. The clock has to include
// the time during which a VM is suspended.
//
// Two alternatives were rejected. Leases based on the store's group memberships
// end when the store is down, and the store may reassign them at any time. Leases
// based only on recent reads of the store have to trade the length of the outages
// that they survive against the time to recover from the loss of a member.
//
// # Usage
//
//	leases := tenure.New(self)
//	leases.RecordStoreRead(sentAt, dir.Version())
//	until := leases.HeldUntil(dir)
package tenure

import (
	"net/netip"
	"slices"
	"time"

	"siskinknot/core/directory"
)

// Times of the lease protocol. All members of a fleet use the same values.
const (
	// MinLease is the length of the shortest lease. The keys of a lost member have
	// to be served again within 2 s where requests are short, of which the lease
	// may take just over half.
	MinLease = 1200 * time.Millisecond
	// RenewInterval is the interval between renewal requests. Two consecutive
	// renewals may be lost without the lease expiring.
	RenewInterval = 300 * time.Millisecond
	// marginDivisor sets the margin that is added to a lease when another member
	// waits for it to expire: 1/20 covers clocks whose rates differ by up to 5%.
	marginDivisor = 20
	// BlindLimit is the maximum time for which a member holds its keys without
	// reading the store. It is long enough for store outages of 10 s.
	BlindLimit = 13 * time.Second
	// blindMargin covers differing clock rates over BlindLimit.
	blindMargin = BlindLimit / marginDivisor
	// HeartbeatTimeout is how long a guardian waits for the next heartbeat of a
	// member before it acts. It allows for one lost heartbeat and half of the next
	// interval.
	HeartbeatTimeout = 500 * time.Millisecond
)

// HeardLaterHeartbeat reports whether another member has received a later heartbeat
// of an unresponsive member than this one. ownSilence and otherSilence are the times
// since the last heartbeat that each of them received. Both usually receive the
// same heartbeat within milliseconds of each other, so that one of them may still be
// just within HeartbeatTimeout when the other is just beyond it; only a difference
// of about an interval shows that there was a later heartbeat.
func HeardLaterHeartbeat(ownSilence, otherSilence time.Duration) bool {
	return otherSilence < HeartbeatTimeout && otherSilence < ownSilence-RenewInterval/2
}

// rule is a bit mask of protocol rules. A test disables a rule to show that it
// detects the violation that the rule prevents.
type rule uint

const (
	ruleSentAt       rule = 1 << iota // the lease starts when the request was sent, not when it was granted
	ruleBlindLimit                    // the lease ends BlindLimit after the last read of the store
	ruleRenewHolding                  // a guardian grants renewals only while its own lease is valid
	ruleReadFirst                     // a process has no lease before it has read the store
	ruleRefuseFenced                  // a guardian does not renew the lease of a fenced member
	rulePending                       // renewals are ignored while a change of guardians is pending
	ruleConfirm                       // a takeover waits for the confirmations of all guardians
	ruleLapse                         // a takeover waits for the lease after the confirmations
	ruleLength                        // a takeover waits for the length in the member's entry
	ruleRestart                       // a process has no lease while changes of the previous process may still be applied
	ruleSettle                        // after the store came back from a copy, keys keep their owners until lost leases have expired
)

// fence holds the fence of one member and its confirmations, as far as this process
// has learned of them.
type fence struct {
	// baseVersion is the directory version that the change to Fenced was
	// conditional on.
	baseVersion uint64
	// learnedAt is when this process applied the change to Fenced.
	learnedAt time.Time
	// confirmedAt is when each guardian confirmed the fence.
	confirmedAt map[netip.AddrPort]time.Time
}

// LeaseTable holds what one process knows of leases: its own lease, the last
// heartbeat of each member, and the fences that it has learned of. It is not safe
// for concurrent use.
type LeaseTable struct {
	self     netip.AddrPort
	disabled rule
	// renewalSentAt is, for each guardian, when the last request that it granted
	// was sent.
	renewalSentAt map[netip.AddrPort]time.Time
	// storeReadAt is when the last applied read of the store was sent.
	storeReadAt time.Time
	// startVersion is the version of the directory that this process first read from the
	// store.
	startVersion uint64
	// changePending is set while the result of a change of guardians is unknown.
	// The change was sent at changeSentAt and is conditional on the directory
	// version changeBase.
	changePending bool
	changeBase    uint64
	changeSentAt  time.Time
	// heartbeatAt is when the last heartbeat of each member arrived.
	heartbeatAt map[netip.AddrPort]time.Time
	fences      map[netip.AddrPort]*fence
	returns     eraReturns
}

// New returns the lease table of the member at self, without a lease.
func New(self netip.AddrPort) *LeaseTable {
	return &LeaseTable{
		self:          self,
		renewalSentAt: map[netip.AddrPort]time.Time{},
		heartbeatAt:   map[netip.AddrPort]time.Time{},
		fences:        map[netip.AddrPort]*fence{},
	}
}

// enabled reports whether rule r is enabled.
func (t *LeaseTable) enabled(r rule) bool { return t.disabled&r == 0 }

// RecordStoreRead records that a read of the directory from the store, sent at
// sentAt, has been applied. version is the version that the store returned.
func (t *LeaseTable) RecordStoreRead(sentAt time.Time, version uint64) {
	if t.storeReadAt.IsZero() {
		t.startVersion = version
	}
	t.storeReadAt = Later(t.storeReadAt, sentAt)
}

// FormerChangesPending reports whether the store may still execute a change of the
// directory that the previous process of this member sent. Any change that follows the
// first read of this process rules that out.
func (t *LeaseTable) FormerChangesPending(dir *directory.Directory) bool {
	return !t.storeReadAt.IsZero() && dir.Version() <= t.startVersion
}

// LastStoreReadAt returns when the last applied read of the store was sent. It
// returns the zero time if this process has not read the store.
func (t *LeaseTable) LastStoreReadAt() time.Time { return t.storeReadAt }

// HeldUntil returns the time at which this member's lease expires. Until then the
// member may act as the owner of the keys that dir assigns to it. HeldUntil
// returns the zero time if the member is not in dir, is fenced, or has not read
// the store, and while changes of its previous process may still be applied.
func (t *LeaseTable) HeldUntil(dir *directory.Directory) time.Time {
	m := dir.Member(t.self)
	if m == nil || m.State == directory.Fenced || (t.storeReadAt.IsZero() && t.enabled(ruleReadFirst)) {
		return time.Time{}
	}
	if t.FormerChangesPending(dir) && t.enabled(ruleRestart) {
		return time.Time{}
	}
	length := LeaseOf(m)
	until := t.storeReadAt.Add(length)
	for _, g := range m.Guardians {
		until = Later(until, t.renewalSentAt[g].Add(length))
	}
	if limit := t.storeReadAt.Add(BlindLimit); until.After(limit) && t.enabled(ruleBlindLimit) && !t.storeReadAt.IsZero() {
		return limit
	}
	return until
}

// Holds reports whether this member's lease is valid at now.
func (t *LeaseTable) Holds(now time.Time, dir *directory.Directory) bool {
	return now.Before(t.HeldUntil(dir))
}

// RecordGrant records that guardian granted the renewal request that was sent at
// sentAt, and that the grant arrived at now. A request that was sent during a
// pending change of guardians is ignored.
func (t *LeaseTable) RecordGrant(now, sentAt time.Time, guardian netip.AddrPort) {
	if !t.enabled(ruleSentAt) {
		sentAt = now
	}
	if t.changePending && !sentAt.Before(t.changeSentAt) && t.enabled(rulePending) {
		return
	}
	t.renewalSentAt[guardian] = Later(t.renewalSentAt[guardian], sentAt)
}

// RecordGuardianChange records that a change of this member's guardians is sent
// at now. version is the directory version that the change is conditional on.
func (t *LeaseTable) RecordGuardianChange(now time.Time, version uint64) {
	t.changePending, t.changeBase, t.changeSentAt = true, version, now
}

// GuardianChangePending reports whether a change of this member's guardians is
// pending, that is, whether its result is unknown.
func (t *LeaseTable) GuardianChangePending() bool { return t.changePending }

// RecordHeartbeat records that a heartbeat of member arrived at now.
func (t *LeaseTable) RecordHeartbeat(now time.Time, member netip.AddrPort) {
	t.heartbeatAt[member] = now
}

// LastHeartbeatAt returns when the last heartbeat of member arrived. It returns
// the zero time if none has arrived.
func (t *LeaseTable) LastHeartbeatAt(member netip.AddrPort) time.Time { return t.heartbeatAt[member] }

// MayRenew reports whether this member, as a guardian, grants a renewal of the lease
// of member at now.
func (t *LeaseTable) MayRenew(now time.Time, dir *directory.Directory, member netip.AddrPort) bool {
	m := dir.Member(member)
	if m == nil || !m.HasGuardian(t.self) {
		return false
	}
	if m.State == directory.Fenced && t.enabled(ruleRefuseFenced) {
		return false
	}
	return t.Holds(now, dir) || !t.enabled(ruleRenewHolding)
}

// Observe updates the lease table for a change of the directory that was applied
// at now.
func (t *LeaseTable) Observe(now time.Time, dir *directory.Directory) {
	t.observeEra(now, dir)
	if dir.Version() > t.changeBase {
		t.changePending = false // the change of guardians has succeeded or failed
	}
	for _, m := range dir.Members() {
		if m.State != directory.Fenced {
			delete(t.fences, m.Address)
			continue
		}
		if f := t.fences[m.Address]; f == nil || f.baseVersion != m.FencedAt {
			t.fences[m.Address] = &fence{baseVersion: m.FencedAt, learnedAt: now, confirmedAt: map[netip.AddrPort]time.Time{}}
		}
	}
	for addr, f := range t.fences {
		m := dir.Member(addr)
		if m == nil {
			delete(t.fences, addr)
			continue
		}
		for _, g := range m.Guardians {
			// A guardian that is no longer a member has no lease and so grants no
			// renewals.
			if _, ok := f.confirmedAt[g]; !ok && dir.Member(g) == nil {
				f.confirmedAt[g] = now
			}
		}
	}
}

// Unconfirmed returns the guardians of the fenced member that have not confirmed
// its fence yet, without this member itself. It returns nil if member is not
// fenced.
func (t *LeaseTable) Unconfirmed(dir *directory.Directory, member netip.AddrPort) []netip.AddrPort {
	m, f := dir.Member(member), t.fences[member]
	if m == nil || f == nil {
		return nil
	}
	var list []netip.AddrPort
	for _, g := range m.Guardians {
		if _, ok := f.confirmedAt[g]; !ok && g != t.self {
			list = append(list, g)
		}
	}
	return list
}

// RecordConfirmation records that guardian reported at now that it has applied the
// directory up to version. This confirms every fence that was set up to that
// version.
func (t *LeaseTable) RecordConfirmation(now time.Time, guardian netip.AddrPort, version uint64) {
	for _, f := range t.fences {
		if _, ok := f.confirmedAt[guardian]; !ok && version > f.baseVersion {
			f.confirmedAt[guardian] = now
		}
	}
}

// RecordProcessEnd records that a call to member that was sent at calledAt has shown that the
// member's process has ended, so that it grants no more renewals. A later process at the same
// address reads the store first, and so learns of all fences that this member had learned of
// when it sent the call, but perhaps not of later ones.
func (t *LeaseTable) RecordProcessEnd(now, calledAt time.Time, member netip.AddrPort) {
	for _, f := range t.fences {
		if _, ok := f.confirmedAt[member]; !ok && !f.learnedAt.After(calledAt) {
			f.confirmedAt[member] = now
		}
	}
}

// FencedSince returns when this member learned that member is fenced. It reports
// false if member is not fenced.
func (t *LeaseTable) FencedSince(member netip.AddrPort) (time.Time, bool) {
	f := t.fences[member]
	if f == nil {
		return time.Time{}, false
	}
	return f.learnedAt, true
}

// MayTakeOver reports whether the lease of the fenced member has certainly
// expired at now, so that other members may take over its keys.
func (t *LeaseTable) MayTakeOver(now time.Time, dir *directory.Directory, member netip.AddrPort) bool {
	end, known := t.LeaseEnd(dir, member)
	return known && now.After(end)
}

// LeaseEnd returns the time by which the lease of the fenced member has certainly
// expired, as far as is known now: a confirmation by a guardian may bring it forward. It
// reports false if member is not fenced.
func (t *LeaseTable) LeaseEnd(dir *directory.Directory, member netip.AddrPort) (time.Time, bool) {
	return t.leaseEnd(dir, member, nil)
}

// leaseEnd returns the time at which the lease of the fenced member has certainly
// expired, and reports false if that time is unknown. path holds the members whose
// leases are being resolved, to stop the recursion: the leases of members that are
// guardians of each other cannot be derived from one another.
func (t *LeaseTable) leaseEnd(dir *directory.Directory, member netip.AddrPort, path []netip.AddrPort) (time.Time, bool) {
	m, f := dir.Member(member), t.fences[member]
	if m == nil || f == nil || slices.Contains(path, member) {
		return time.Time{}, false
	}
	limit := f.learnedAt.Add(BlindLimit + blindMargin)
	last := f.learnedAt
	for _, g := range m.Guardians {
		at, known := t.renewalsEnd(dir, f, g, append(path, member))
		if !known && t.enabled(ruleConfirm) {
			return limit, true
		}
		last = Later(last, at)
	}
	if !t.enabled(ruleLapse) {
		return last, true
	}
	length := LeaseOf(m)
	if !t.enabled(ruleLength) {
		length = MinLease
	}
	if end := last.Add(length + length/marginDivisor); end.Before(limit) {
		return end, true
	}
	return limit, true
}

// renewalsEnd returns the time from which guardian has certainly granted no
// renewals of the lease that f ends, and reports false if that time is unknown. A
// guardian that is fenced itself grants renewals only while its own lease is
// valid.
func (t *LeaseTable) renewalsEnd(dir *directory.Directory, f *fence, guardian netip.AddrPort, path []netip.AddrPort) (time.Time, bool) {
	if guardian == t.self {
		return f.learnedAt, true
	}
	if at, ok := f.confirmedAt[guardian]; ok {
		return at, true
	}
	return t.leaseEnd(dir, guardian, path)
}

// Later returns the later of two times.
func Later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
