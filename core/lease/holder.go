package lease

import (
	"time"

	"siskinknot/core/record"
)

// HeldUntil returns when this incarnation's lease ends unless it is renewed. It
// returns the zero time if this incarnation is not a member or was succeeded.
func (t *Table) HeldUntil() time.Time {
	m := t.state.Member(t.id)
	if m == nil || m.Succeeded {
		return time.Time{}
	}
	if !t.ruleEnabled(ruleBlindLimit) {
		return t.heldUntil
	}
	return earlier(t.heldUntil, t.headReadAt.Add(m.BlindLimit))
}

// Holds reports whether this incarnation holds its lease at now, so that it may
// act as the owner of its units.
func (t *Table) Holds(now time.Time) bool {
	return now.Before(t.HeldUntil())
}

// GrantsEnd returns when the last of the grants that this incarnation may have given
// its target ends. Unlike HeldUntil it counts after this incarnation was revoked or
// succeeded.
func (t *Table) GrantsEnd() time.Time { return t.heldUntil }

// RecordHeadRead records that a read of the log sent at sentAt reached the head,
// and that all records up to the head are applied.
func (t *Table) RecordHeadRead(sentAt time.Time) {
	m := t.state.Member(t.id)
	if m != nil && m.Accused != 0 && t.ruleEnabled(ruleAccusedFreezesBlindLimit) {
		return
	}
	if sentAt.After(t.headReadAt) {
		t.headReadAt = sentAt
	}
}

// HeadReadAt returns when the latest read that reached the log's head was sent.
func (t *Table) HeadReadAt() time.Time { return t.headReadAt }

// RenewalRequest asks a guardian to renew the lease of Holder in Epoch.
type RenewalRequest struct {
	Holder record.Incarnation
	Epoch  uint64
	// Releases is the number of Release records that Holder has sent or is
	// about to send.
	Releases uint64
}

// RenewalRequest returns the renewal request to send to both guardians, and
// false if this incarnation has no pair of guardians.
func (t *Table) RenewalRequest() (RenewalRequest, bool) {
	m := t.state.Member(t.id)
	if m == nil || m.Epoch == 0 {
		return RenewalRequest{}, false
	}
	return RenewalRequest{Holder: t.id, Epoch: m.Epoch, Releases: t.releaseCount()}, true
}

// RecordRenewal records that guardian granted req, which was sent at sentAt. It
// ignores a grant for another epoch or from a former guardian, and any grant
// while a new pair is sent and not applied yet.
func (t *Table) RecordRenewal(now, sentAt time.Time, guardian record.Incarnation, req RenewalRequest) {
	t.Tick(now)
	m := t.state.Member(t.id)
	if m == nil || req.Epoch != m.Epoch || !m.HasGuardian(guardian) {
		return
	}
	if t.proposedEpoch > m.Epoch && t.ruleEnabled(ruleNoRenewalDuringChange) {
		return
	}
	from := sentAt
	if !t.ruleEnabled(ruleCountFromSend) {
		from = now
	}
	if until := from.Add(Duration); until.After(t.heldUntil) {
		t.heldUntil = until
	}
	if guardian == m.Pair[0] && t.pending != nil && req.Releases >= t.pending.rec.Seq {
		t.pending.noticeEpoch = m.Epoch
	}
}

// earlier returns the earlier of two times.
func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
