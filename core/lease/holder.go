package lease

import (
	"time"

	"siskinknot/core/record"
)

// HeldUntil returns when this incarnation stops holding unless it is renewed;
// the zero time if it is not a member.
func (b *Book) HeldUntil() time.Time {
	m := b.state.Member(b.me)
	if m == nil || m.Succeeded {
		return time.Time{}
	}
	if !b.on(ruleBlindLimit) {
		return b.heldUntil
	}
	return earlier(b.heldUntil, b.headReadAt.Add(m.BlindLimit))
}

// Holds reports whether this incarnation may act as owner at now.
func (b *Book) Holds(now time.Time) bool {
	return now.Before(b.HeldUntil())
}

// ReadHead notes that a read of the log sent at sentAt reached its head, and
// that all records up to there are folded.
func (b *Book) ReadHead(sentAt time.Time) {
	m := b.state.Member(b.me)
	if m != nil && m.Accused != 0 && b.on(ruleAccusedFreeze) {
		return
	}
	if sentAt.After(b.headReadAt) {
		b.headReadAt = sentAt
	}
}

// HeadReadAt returns when the last read that reached the log's head was sent.
func (b *Book) HeadReadAt() time.Time { return b.headReadAt }

// Renewal asks a guardian to renew the lease of Holder.
type Renewal struct {
	Holder record.Incarnation
	Epoch  uint64
	// Releases is the number of Release records that Holder has sent or is
	// about to send.
	Releases uint64
}

// Renewal returns the request to send to both guardians, and false if there is
// no pair to ask.
func (b *Book) Renewal() (Renewal, bool) {
	m := b.state.Member(b.me)
	if m == nil || m.Epoch == 0 {
		return Renewal{}, false
	}
	return Renewal{Holder: b.me, Epoch: m.Epoch, Releases: b.releases()}, true
}

// Renewed takes in that guardian granted req, which was sent at sentAt.
func (b *Book) Renewed(now, sentAt time.Time, guardian record.Incarnation, req Renewal) {
	b.Tick(now)
	m := b.state.Member(b.me)
	if m == nil || req.Epoch != m.Epoch || !m.Guards(guardian) {
		return
	}
	if b.sentEpoch > m.Epoch && b.on(ruleNoRenewals) {
		return
	}
	from := sentAt
	if !b.on(ruleSentAt) {
		from = now
	}
	if until := from.Add(Duration); until.After(b.heldUntil) {
		b.heldUntil = until
	}
	if guardian == m.Pair[0] && b.moving != nil && req.Releases >= b.moving.rec.Seq {
		b.moving.noticedIn = m.Epoch
	}
}

// earlier returns the earlier of two times.
func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
