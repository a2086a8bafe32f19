// Package tenure decides when a member may act as the owner of its keys, and
// when others may take the keys of a member that does not answer.
//
// A member holds its keys under a lease that two guardians renew, other members
// named in the directory. While a guardian cannot be asked, a read of the
// directory from the store serves as well. The rules, each kept by the function
// named:
//
//   - Holding (Book.HeldUntil). A member holds for Duration from the moment it
//     sent a request that a guardian granted, or a read of the store that did
//     not show it fenced; never before its process has read the store, and never
//     longer than BlindLimit after the last such read.
//   - Renewing (Book.Renew). A guardian renews while it holds itself and its
//     directory shows the member active and itself as a guardian.
//   - Changing guardians (Book.GuardiansSent). Only the member itself names its
//     guardians. From sending the change until its fate is known it counts no
//     renewal.
//   - Taking (Book.MayTake). The keys of a member pass on in two steps. First
//     its entry is set to Fenced. The keys are free once each guardian has
//     confirmed that it has applied that change, and Duration has passed since;
//     a guardian that is itself fenced counts as having confirmed Duration after
//     its own fence, and one whose process has ended from then on. Without the
//     confirmations the keys are free BlindLimit
//     after the fence.
//   - Returning. A fenced member that still lives may set itself to Active
//     again: if that succeeds, nobody has taken its keys.
//
// Every change of owner is a transaction on the directory, so that two members
// which take the same keys cannot both succeed. A new process at a member's
// address proves that the former one has ended, so it goes on with the member's
// entry as soon as it has read the store.
//
// Clocks are never compared between members, only their rates; Margin covers the
// difference. The clock has to count the time that a VM is suspended.
//
// Weighed and left: leases from the store's group memberships stop with the
// store and may be dealt anew at any time; a lease on the store's freshness
// alone has to choose between outages that it outlasts and losses that it heals
// quickly.
//
// # Usage
//
//	book := tenure.New(self)
//	book.ReadStore(sentAt)
//	until := book.HeldUntil(dir)
package tenure

import (
	"net/netip"
	"slices"
	"time"

	"siskinknot/core/directory"
)

// Times of the lease protocol. They are the same in the whole fleet.
const (
	// Duration is how long a renewal lasts: a lost member's keys have to be
	// served again within 2 s, of which the lease may take just over half.
	Duration = 1200 * time.Millisecond
	// RenewEvery is the time between two renewals: two may be lost.
	RenewEvery = 300 * time.Millisecond
	// Margin covers clocks that run at rates up to 5% apart.
	Margin = Duration / 20
	// BlindLimit is how long a member holds without reading the store. It
	// bridges outages of 10 s.
	BlindLimit = 13 * time.Second
	// blindMargin covers clocks over BlindLimit, as Margin does over Duration.
	blindMargin = BlindLimit / 20
	// SilenceLimit is how long a member's heartbeats may be missing before its
	// guardian acts: one lost heartbeat and half of the next.
	SilenceLimit = 500 * time.Millisecond
)

// rule names a clause that a test can switch off to show that it notices.
type rule uint

const (
	ruleSentAt       rule = 1 << iota // a lease counts from the sending of its request
	ruleBlindLimit                    // holding ends with BlindLimit
	ruleRenewHolding                  // a guardian renews only while it holds itself
	ruleReadFirst                     // a process holds only after it has read the store
	ruleFenceBinds                    // a guardian does not renew a fenced member
	rulePending                       // no renewal counts while a change of guardians is under way
	ruleConfirm                       // taking waits for both guardians
	ruleLapse                         // taking waits Duration after the confirmations
)

// fence is what is known of a fenced member.
type fence struct {
	// at is the version that the fence was conditional on.
	at        uint64
	learnedAt time.Time
	confirmed map[netip.AddrPort]time.Time
}

// Book holds what one process knows about leases: its own, those that it renews,
// and the fences. It is not safe for concurrent use.
type Book struct {
	self netip.AddrPort
	off  rule
	// renewed holds, for each guardian, when the last granted request was sent.
	renewed map[netip.AddrPort]time.Time
	// readAt is when the last read of the store that was applied was sent.
	readAt time.Time
	// changing is set while a change of guardians is under way, and changedFrom
	// is the version that it is conditional on.
	changing    bool
	changedFrom uint64
	changedAt   time.Time
	// heardAt holds when each member's last heartbeat came.
	heardAt map[netip.AddrPort]time.Time
	fences  map[netip.AddrPort]*fence
}

// New returns the Book of the member at self, which holds nothing yet.
func New(self netip.AddrPort) *Book {
	return &Book{
		self:    self,
		renewed: map[netip.AddrPort]time.Time{},
		heardAt: map[netip.AddrPort]time.Time{},
		fences:  map[netip.AddrPort]*fence{},
	}
}

// on reports whether clause r is in force.
func (b *Book) on(r rule) bool { return b.off&r == 0 }

// ReadStore notes that a read of the directory from the store, sent at sentAt,
// has been applied.
func (b *Book) ReadStore(sentAt time.Time) {
	if sentAt.After(b.readAt) {
		b.readAt = sentAt
	}
}

// ReadAt returns when the last read of the store was sent.
func (b *Book) ReadAt() time.Time { return b.readAt }

// HeldUntil returns until when this member may act as the owner of the keys that
// dir gives it.
func (b *Book) HeldUntil(dir *directory.Directory) time.Time {
	m := dir.Member(b.self)
	if m == nil || m.State == directory.Fenced || (b.readAt.IsZero() && b.on(ruleReadFirst)) {
		return time.Time{}
	}
	until := b.readAt.Add(Duration)
	for _, g := range m.Guardians {
		until = later(until, b.renewed[g].Add(Duration))
	}
	if limit := b.readAt.Add(BlindLimit); until.After(limit) && b.on(ruleBlindLimit) && !b.readAt.IsZero() {
		return limit
	}
	return until
}

// Holds reports whether this member holds its keys at now.
func (b *Book) Holds(now time.Time, dir *directory.Directory) bool {
	return now.Before(b.HeldUntil(dir))
}

// Granted notes that guardian granted the renewal which was sent at sentAt and
// answered at now.
func (b *Book) Granted(now, sentAt time.Time, guardian netip.AddrPort) {
	if !b.on(ruleSentAt) {
		sentAt = now
	}
	if b.changing && !sentAt.Before(b.changedAt) && b.on(rulePending) {
		return
	}
	b.renewed[guardian] = later(b.renewed[guardian], sentAt)
}

// GuardiansSent notes that a change of this member's guardians, conditional on
// version, is sent at now.
func (b *Book) GuardiansSent(now time.Time, version uint64) {
	b.changing, b.changedFrom, b.changedAt = true, version, now
}

// Changing reports whether the fate of a change of guardians is unknown.
func (b *Book) Changing() bool { return b.changing }

// Heard notes a heartbeat of member at now.
func (b *Book) Heard(now time.Time, member netip.AddrPort) { b.heardAt[member] = now }

// HeardAt returns when member's last heartbeat came; zero if none did.
func (b *Book) HeardAt(member netip.AddrPort) time.Time { return b.heardAt[member] }

// Renew reports whether this member, as a guardian, renews the lease of member.
func (b *Book) Renew(now time.Time, dir *directory.Directory, member netip.AddrPort) bool {
	m := dir.Member(member)
	if m == nil || !m.Guards(b.self) {
		return false
	}
	if m.State == directory.Fenced && b.on(ruleFenceBinds) {
		return false
	}
	return b.Holds(now, dir) || !b.on(ruleRenewHolding)
}

// Observe follows a change of the directory that was applied at now.
func (b *Book) Observe(now time.Time, dir *directory.Directory) {
	if dir.End() > b.changedFrom {
		b.changing = false // the change has succeeded or failed
	}
	for _, m := range dir.Members() {
		if m.State != directory.Fenced {
			delete(b.fences, m.Address)
			continue
		}
		if f := b.fences[m.Address]; f == nil || f.at != m.FencedAt {
			b.fences[m.Address] = &fence{at: m.FencedAt, learnedAt: now, confirmed: map[netip.AddrPort]time.Time{}}
		}
	}
	for addr, f := range b.fences {
		m := dir.Member(addr)
		if m == nil {
			delete(b.fences, addr)
			continue
		}
		for _, g := range m.Guardians {
			// Who is no member any more holds nothing, so that it renews nothing.
			if _, ok := f.confirmed[g]; !ok && dir.Member(g) == nil {
				f.confirmed[g] = now
			}
		}
	}
}

// Unconfirmed returns the guardians of the fenced member that have yet to
// confirm its fence.
func (b *Book) Unconfirmed(dir *directory.Directory, member netip.AddrPort) []netip.AddrPort {
	m, f := dir.Member(member), b.fences[member]
	if m == nil || f == nil {
		return nil
	}
	var list []netip.AddrPort
	for _, g := range m.Guardians {
		if _, ok := f.confirmed[g]; !ok && g != b.self {
			list = append(list, g)
		}
	}
	return list
}

// Confirmed notes that guardian has applied the directory up to end, which it
// said at now.
func (b *Book) Confirmed(now time.Time, guardian netip.AddrPort, end uint64) {
	for _, f := range b.fences {
		if _, ok := f.confirmed[guardian]; !ok && end > f.at {
			f.confirmed[guardian] = now
		}
	}
}

// Ended notes that the process of member is known at now to have ended: it renews
// nothing any more. A later process at its address reads the store first, and so
// sees the fences that there are.
func (b *Book) Ended(now time.Time, member netip.AddrPort) {
	for _, f := range b.fences {
		if _, ok := f.confirmed[member]; !ok {
			f.confirmed[member] = now
		}
	}
}

// FencedSince returns when this member learned that member is fenced.
func (b *Book) FencedSince(member netip.AddrPort) (time.Time, bool) {
	f := b.fences[member]
	if f == nil {
		return time.Time{}, false
	}
	return f.learnedAt, true
}

// MayTake reports whether nothing is left of the lease of the fenced member, so
// that its keys may go to others.
func (b *Book) MayTake(now time.Time, dir *directory.Directory, member netip.AddrPort) bool {
	over, known := b.leaseOver(dir, member, nil)
	return known && now.After(over)
}

// leaseOver returns when the lease of the fenced member has surely ended. path
// holds the members whose leases are being asked about: guardians that guard
// one another say nothing of each other.
func (b *Book) leaseOver(dir *directory.Directory, member netip.AddrPort, path []netip.AddrPort) (time.Time, bool) {
	m, f := dir.Member(member), b.fences[member]
	if m == nil || f == nil || slices.Contains(path, member) {
		return time.Time{}, false
	}
	blind := f.learnedAt.Add(BlindLimit + blindMargin)
	last := f.learnedAt
	for _, g := range m.Guardians {
		at, known := b.stopped(dir, f, g, append(path, member))
		if !known && b.on(ruleConfirm) {
			return blind, true
		}
		last = later(last, at)
	}
	if !b.on(ruleLapse) {
		return last, true
	}
	if over := last.Add(Duration + Margin); over.Before(blind) {
		return over, true
	}
	return blind, true
}

// stopped returns since when guardian has surely not renewed the lease that f
// ends. A guardian that is fenced itself renews only while it holds.
func (b *Book) stopped(dir *directory.Directory, f *fence, guardian netip.AddrPort, path []netip.AddrPort) (time.Time, bool) {
	if guardian == b.self {
		return f.learnedAt, true
	}
	if at, ok := f.confirmed[guardian]; ok {
		return at, true
	}
	return b.leaseOver(dir, guardian, path)
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
