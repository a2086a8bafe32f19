package tenure

import "time"

// Lapse tracks whether this member's lease has been interrupted. Keys may have got other
// owners then, while the member's target still holds them or is about to: a target measures
// grants by a clock of its own from the moment at which it reads them, which may be long after
// they were sent. The zero value is the lapse of a process that has not had a lease yet.
type Lapse struct {
	// heldUntil is when the lease expires, as of the last Observe. A fence does not bring it
	// forward: the other members wait until then.
	heldUntil time.Time
	// held is set while the lease has not been interrupted, nor the lapse Reopened, since it
	// last Ended.
	held bool
	// expiredAt is when the lease was last interrupted, and noticedAt when that was observed.
	expiredAt, noticedAt time.Time
}

// Observe records that the lease, as known at now, expires at heldUntil (LeaseTable.HeldUntil).
func (l *Lapse) Observe(now, heldUntil time.Time) {
	if l.heldUntil.After(l.expiredAt) && !now.Before(l.heldUntil) {
		l.held, l.expiredAt, l.noticedAt = false, l.heldUntil, now
	}
	l.heldUntil = Later(l.heldUntil, heldUntil)
}

// Reopen records that this member has lost keys that its target may still be granted, without an
// interruption of the lease.
func (l *Lapse) Reopen() { l.held = false }

// Open reports whether End has not been called since the last interruption or Reopen.
func (l *Lapse) Open() bool { return !l.held }

// Known reports whether the lease has been interrupted and a read of the store that was sent
// at readAt shows what has become of the keys since then.
func (l *Lapse) Known(readAt time.Time) bool { return !l.held && readAt.After(l.expiredAt) }

// NoticedBefore reports whether the lease has been interrupted, and this was observed at or
// before at. It reports false for a process that has not had a lease.
func (l *Lapse) NoticedBefore(at time.Time) bool {
	return !l.held && !l.noticedAt.IsZero() && !at.Before(l.noticedAt)
}

// End records that the lease is valid again, if that is the case at now, and reports whether
// it is.
func (l *Lapse) End(now time.Time) bool {
	l.held = now.Before(l.heldUntil)
	return l.held
}
