package tenure

import (
	"slices"
	"time"

	"siskinknot/core/directory"
)

// LongestLease is the longest time for which a member that does not hear of a change of the
// directory, or its target, may act on the former one.
const LongestLease = BlindLimit + blindMargin

// OwnerlessKeys holds since when keys have had no owner although none has given them up: an
// entry of another writer has replaced that of their owner or of their range. A target may
// hold such keys until the longest lease is over. The zero value has no keys. It is not safe
// for concurrent use.
type OwnerlessKeys struct {
	ranges []directory.Assignment
	since  time.Time
}

// Observe records that at now the keys in ranges are without an owner.
func (o *OwnerlessKeys) Observe(now time.Time, ranges []directory.Assignment) {
	for _, a := range ranges {
		known := slices.ContainsFunc(o.ranges, func(b directory.Assignment) bool { return b.First <= a.First && a.Last <= b.Last })
		if !known {
			o.since = now
		}
	}
	o.ranges = slices.Clone(ranges)
}

// Free reports whether at now certainly no target holds the keys any more.
func (o *OwnerlessKeys) Free(now time.Time) bool { return now.Sub(o.since) > LongestLease }
