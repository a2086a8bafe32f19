package tenure

import (
	"net/netip"
	"time"

	"siskinknot/core/directory"
)

// eraReturns holds what a LeaseTable has observed since the directory was written into an
// era of the store (directory.EraStart).
type eraReturns struct {
	era uint64
	// appliedAt is when the directory of the era was applied, and at when each member
	// that was unheard at its start was first seen without its fence.
	appliedAt time.Time
	at        map[netip.AddrPort]time.Time
}

// observeEra updates the eraReturns for a change of the directory that was applied at now.
func (t *LeaseTable) observeEra(now time.Time, dir *directory.Directory) {
	start := dir.EraStart()
	if t.returns.era != start.Era {
		t.returns = eraReturns{era: start.Era, appliedAt: now, at: map[netip.AddrPort]time.Time{}}
	}
	for _, addr := range start.Unheard {
		member := dir.Member(addr)
		if _, known := t.returns.at[addr]; !known && (member == nil || member.State != directory.Fenced) {
			t.returns.at[addr] = now
		}
	}
}

// EraSettled reports whether, at now, nobody holds keys by a change that the store has lost
// when it came back from a copy. Until then no keys may get a new owner, and a member may
// only renew grants that are still valid. Such a change was known only to
// members that were unheard at the start of the era, or to processes that have ended. It
// has no effect any more once their leases have certainly expired: those of members that
// are still fenced as for a takeover, and otherwise the longest lease after the member
// has returned, or, if no member had the directory, after the start of the era.
func (t *LeaseTable) EraSettled(now time.Time, dir *directory.Directory) bool {
	const longest = MaxLease + MaxLease/marginDivisor
	start := dir.EraStart()
	if !t.enabled(ruleSettle) {
		return true
	}
	if start.FromCopy && now.Sub(t.returns.appliedAt) < longest {
		return false
	}
	for _, addr := range start.Unheard {
		if member := dir.Member(addr); member != nil && member.State == directory.Fenced {
			if !t.MayTakeOver(now, dir, addr) {
				return false
			}
			continue
		}
		if now.Sub(t.returns.at[addr]) < longest {
			return false
		}
	}
	return true
}
