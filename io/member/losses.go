package member

import (
	"math/rand/v2"
	"time"

	"siskinknot/core/fleet"
)

// When many members are lost together, Revoke records and new pairs queue at the log.
// Keys are unavailable until the Revoke records are applied, so a member whose other
// guardian still runs delays its new pair. That also protects its lease, which is not
// renewed while the pair queues.

// Times of the delay of a new pair.
const (
	// lossWindow is how long a loss counts as recent.
	lossWindow = 3 * time.Second
	// lossQuietPeriod is the time without a revoke that has to pass before a new
	// pair is sent: at the first loss, a member cannot know whether many more
	// follow.
	lossQuietPeriod = 200 * time.Millisecond
	// pairDelayPerLoss is the minimum, per recent loss, of the time over which
	// members spread their new pairs at random. It suffices for the two pairs
	// that a loss causes at a few hundred appends per second.
	pairDelayPerLoss = 10 * time.Millisecond
	// maxPairWait is the longest delay of a new pair.
	maxPairWait = 5 * time.Second
)

// losses records the recent losses of members, and this daemon's delay of the
// pair that replaces a lost guardian.
type losses struct {
	// recent are the times at which members were revoked, oldest first.
	recent []time.Time
	// waitingSince is when this daemon first had to replace a guardian, and
	// sendAt is when it may send the new pair. Both are zero while it has no
	// guardian to replace; sendAt is also zero until lossQuietPeriod has passed.
	waitingSince, sendAt time.Time
}

// add records that a member was revoked at now.
func (l *losses) add(now time.Time) { l.recent = append(l.trim(now), now) }

// trim removes the losses that are no longer recent and returns the others.
func (l *losses) trim(now time.Time) []time.Time {
	for len(l.recent) > 0 && now.Sub(l.recent[0]) > lossWindow {
		l.recent = l.recent[1:]
	}
	return l.recent
}

// several reports whether more than one member was lost recently.
func (l *losses) several(now time.Time) bool { return len(l.trim(now)) > 1 }

// mustWait reports whether this daemon must still delay a pair that replaces a
// guardian.
func (l *losses) mustWait(now time.Time) bool {
	if l.waitingSince.IsZero() {
		l.waitingSince = now
	}
	if now.Sub(l.waitingSince) > maxPairWait {
		return false
	}
	recent := l.trim(now)
	if len(recent) > 0 && now.Sub(recent[len(recent)-1]) < lossQuietPeriod {
		l.sendAt = time.Time{}
		return true
	}
	if l.sendAt.IsZero() {
		l.sendAt = now.Add(rand.N(maxPairDelay(recent) + 1))
	}
	return now.Before(l.sendAt)
}

// maxPairDelay returns the time over which members spread their new pairs after
// the recent losses. Each loss causes two new pairs, and the log may accept them
// no faster than it accepted the Revoke records.
func maxPairDelay(recent []time.Time) time.Duration {
	if len(recent) == 0 {
		return 0
	}
	return max(time.Duration(len(recent))*pairDelayPerLoss, 2*recent[len(recent)-1].Sub(recent[0]))
}

// pairMustWait reports whether this daemon must delay its new pair so that more
// urgent records reach the log first. replace is whether it has to replace a
// guardian. A daemon that has no guardians, or has lost both, does not wait. The
// caller holds the mutex.
func (m *Member) pairMustWait(now time.Time, self fleet.Member, replace bool) bool {
	if !replace || self.Epoch == 0 {
		m.losses.waitingSince, m.losses.sendAt = time.Time{}, time.Time{}
		return false
	}
	if m.state.Lost(self.Pair[0]) && m.state.Lost(self.Pair[1]) {
		return false
	}
	return m.losses.mustWait(now)
}
