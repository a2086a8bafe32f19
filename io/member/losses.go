package member

import (
	"math/rand/v2"
	"time"

	"siskinknot/core/fleet"
)

// When many members are lost together, as with an availability zone, the log has
// to take a revoke for each and a new pair for each that they guarded. Keys wait
// for the revokes. A member whose other guardian lives can wait with its pair,
// and has to: from when it sends one until that is folded its lease is not
// renewed, so that a pair which queues for long costs the lease.

// Times of waiting with a new pair.
const (
	// lossWindow is for how long a loss counts as recent.
	lossWindow = 3 * time.Second
	// lossQuiet is how long no member may have been revoked before pairs are sent:
	// nobody knows at the first loss that it is the first of many.
	lossQuiet = 200 * time.Millisecond
	// pairSpread is the least time over which pairs are spread for each recent
	// loss: two pairs, at a few hundred appends a second.
	pairSpread = 10 * time.Millisecond
	// pairPatience bounds the wait.
	pairPatience = 5 * time.Second
)

// losses knows of the members that were revoked lately, and of this daemon's
// wait to replace a guardian among them.
type losses struct {
	recent []time.Time
	// since is when this daemon first had to replace a guardian, turn when it
	// may; both are zero while it need not.
	since, turn time.Time
}

// add notes that a member was revoked.
func (l *losses) add(now time.Time) { l.recent = append(l.trim(now), now) }

// trim drops the losses that are no longer recent, and returns the others.
func (l *losses) trim(now time.Time) []time.Time {
	for len(l.recent) > 0 && now.Sub(l.recent[0]) > lossWindow {
		l.recent = l.recent[1:]
	}
	return l.recent
}

// many reports whether several members were lost lately.
func (l *losses) many(now time.Time) bool { return len(l.trim(now)) > 1 }

// wait reports whether a pair that replaces a guardian should wait.
func (l *losses) wait(now time.Time) bool {
	if l.since.IsZero() {
		l.since = now
	}
	if now.Sub(l.since) > pairPatience {
		return false
	}
	recent := l.trim(now)
	if len(recent) > 0 && now.Sub(recent[len(recent)-1]) < lossQuiet {
		l.turn = time.Time{}
		return true
	}
	if l.turn.IsZero() {
		l.turn = now.Add(rand.N(spread(recent) + 1))
	}
	return now.Before(l.turn)
}

// spread returns the time over which the pairs after some losses are spread: each
// loss costs two, and the log may take them no faster than it took the revokes.
func spread(recent []time.Time) time.Duration {
	if len(recent) == 0 {
		return 0
	}
	return max(time.Duration(len(recent))*pairSpread, 2*recent[len(recent)-1].Sub(recent[0]))
}

// pairWaits reports whether this daemon should wait with a new pair, if it has to
// replace a guardian, and leave the log to more urgent records. A daemon without
// any guardian does not wait. The caller holds the mutex.
func (m *Member) pairWaits(now time.Time, self fleet.Member, replace bool) bool {
	if !replace || self.Epoch == 0 {
		m.losses.since, m.losses.turn = time.Time{}, time.Time{}
		return false
	}
	if m.state.Lost(self.Pair[0]) && m.state.Lost(self.Pair[1]) {
		return false
	}
	return m.losses.wait(now)
}
