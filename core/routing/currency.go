package routing

import "time"

// Currency tells whether a daemon's configuration is known to be the newest one. A daemon that
// is short of processor time, or that reaches neither the store nor other daemons, can be
// behind for longer than a change may take to be in effect; a request for a route that its
// version lacks must then not be refused for good. The load that it answers is such a
// daemon's: it needs no call of its own, only the versions in replies that arrive anyway.
//
// The zero value knows of no version. Currency is not safe for concurrent use.
type Currency struct {
	// newest is the newest version that another daemon has reported.
	newest uint64
	// confirmedAt is when a daemon certainly had no newer version than confirmed.
	confirmedAt time.Time
	confirmed   uint64
}

// MaxConfirmationAge is how old a confirmation may be. It is three times the interval between
// the replies of other daemons, and half of the time in which a change has to be in effect.
const MaxConfirmationAge = time.Second

// Observe records that version was the newest one of another daemon or of the store at the
// given time. For a reply that is when the call was sent: there may be a newer one since.
func (c *Currency) Observe(at time.Time, version uint64) {
	c.newest = max(c.newest, version)
	if version >= c.confirmed && at.After(c.confirmedAt) {
		c.confirmed, c.confirmedAt = version, at
	}
}

// ConfirmedAt returns when version was last confirmed to be the newest one, or zero if that was
// never the case or a newer one is known.
func (c *Currency) ConfirmedAt(version uint64) time.Time {
	if c.newest > version || c.confirmed != version {
		return time.Time{}
	}
	return c.confirmedAt
}

// Current reports whether version is the newest one as far as is known at now: no daemon has
// reported a newer one, and one has confirmed it within MaxConfirmationAge.
func (c *Currency) Current(now time.Time, version uint64) bool {
	return c.newest <= version && c.confirmed == version && now.Sub(c.confirmedAt) <= MaxConfirmationAge
}
