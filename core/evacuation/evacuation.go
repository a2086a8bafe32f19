// Package evacuation keeps the set of availability zones that the operator has evacuated:
// zones whose targets are to receive no requests.
//
// The operator's records are the source of the set. A daemon reads them from the platform's
// metadata store, and daemons send one another the set that they know, so that one whose
// calls to the store fail, or that has just been restarted, learns the set as well. A set has
// the version of the operator's topic up to which it contains all records (with the era of
// the store, as in package directory). One with a higher version replaces one with a lower
// version.
//
// Two sets of the same version can differ: a read of the newest records can contain some that
// are newer than its version, and a malformed record leaves its zone as it was, which only a
// daemon that has read the earlier records knows. Sets of the same version are therefore
// merged, so that all daemons come to the same set and a doubtful zone counts as evacuated.
//
// A store that comes back from a copy may have lost the record of an evacuation, until the
// operator writes it again. A zone that is missing in the first set of a later era therefore
// stays evacuated for RetainTime at each daemon that knew it, unless a record removes it.
//
// # Usage
//
//	state := evacuation.NewState(startedAt)
//	change := state.ApplySnapshot(now, version, records)  // the newest record of each zone
//	change, ok := state.ApplyRecords(now, base, version, records)
//	change = state.Merge(now, setOfOtherDaemon)
//	change = state.Expire(now)
//	state.Tick(now)       // in intervals well below PauseLimit
//	state.Confirm(sentAt) // another daemon has replied to a message with the set
//	if state.Verdict(now, zone) == evacuation.Serve {
//		// requests may be sent to the targets of the zone
//	}
package evacuation

import (
	"maps"
	"slices"
	"sync"
	"time"
	"unicode/utf8"

	"siskinknot/core/directory"
)

// LearnTime is how long after its start a daemon that knows no set sends no requests to its
// target. Each of 70 daemons sends heartbeats to all others within 3 s, and to 16 others, other
// ones each time, every 0.6 s, so that a daemon that returns hears from several within 1 s.
const LearnTime = 2 * time.Second

// PauseLimit is the time without a call of Tick from which on a daemon takes itself for paused: it
// may have missed an evacuation. The messages that it finds when it goes on may be as old as the
// pause, so only a reply to a message that it sends afterwards confirms its set. After a shorter
// pause, at least 3 of the 5 s are left in which an evacuation has to be obeyed.
const PauseLimit = 2 * time.Second

// RetainTime is how long a zone stays evacuated whose record is missing in a later era of the
// store, so that the operator can write what the store has lost again.
const RetainTime = 10 * time.Second

// maxZoneBytes limits the name of a zone; the key of a record has at most 255 bytes.
const maxZoneBytes = 255

// Kind says what a record does to its zone.
type Kind int

// The kinds of records.
const (
	Evacuate  Kind = iota // the zone is evacuated
	Remove                // the evacuation has ended
	Malformed             // the value is not valid; the zone stays as it was
)

// Record is a record of the operator about a zone.
type Record struct {
	Zone string
	Kind Kind
}

// Set is the set of the evacuated zones as of a version. Its zones are sorted, and not
// modified. A Set of version 0 is that of a daemon that knows nothing, or of an empty topic.
type Set struct {
	Version uint64
	Zones   []string
}

// Contains reports whether zone is evacuated.
func (s Set) Contains(zone string) bool { return slices.Contains(s.Zones, zone) }

// Change lists the zones whose evacuation has begun or ended with a change of the set.
type Change struct{ Begun, Ended []string }

// IsEmpty reports whether the set is unchanged.
func (c Change) IsEmpty() bool { return len(c.Begun) == 0 && len(c.Ended) == 0 }

// ValidZone reports whether zone can be the name of a zone. Messages between daemons cannot
// contain a name that is not UTF-8. Reads of the newest records replace its invalid bytes, and
// reads of the history do not, so that a name with the replacement is not valid either.
func ValidZone(zone string) bool {
	return zone != "" && len(zone) <= maxZoneBytes && utf8.ValidString(zone) && !slices.Contains([]rune(zone), utf8.RuneError)
}

// Verdict says whether requests may be sent to the target of a zone.
type Verdict int

// The verdicts.
const (
	Serve     Verdict = iota // requests may be sent
	Evacuated                // the zone is evacuated
	Unknown                  // this daemon has started or was paused, and does not know the present set yet
)

// State is the set that a daemon knows. It is safe for concurrent use.
type State struct {
	startedAt time.Time

	mu  sync.Mutex
	set Set
	// known is set once the set was read or received.
	known bool
	// retained has the zones of an earlier era that are missing in the set, and until when they
	// stay evacuated. current has the zones of the set and these.
	retained map[string]time.Time
	current  Set
	// tickedAt is when Tick was last called. doubtedAt is when a pause was noticed after which
	// the set has not been confirmed, or zero.
	tickedAt, doubtedAt time.Time
}

// NewState returns the State of a daemon that was started at startedAt and knows no set.
func NewState(startedAt time.Time) *State {
	return &State{startedAt: startedAt, retained: map[string]time.Time{}}
}

// Current returns the zones that are evacuated for this daemon.
func (s *State) Current() Set {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current
}

// Shared returns the set for other daemons: without the zones that are retained here.
func (s *State) Shared() Set {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.set
}

// Verdict returns whether requests may be sent at now to the target of this daemon, which is in
// zone. A daemon whose set is neither learned nor confirmed within LearnTime serves: neither the
// store nor any other daemon tells of an evacuation.
func (s *State) Verdict(now time.Time, zone string) Verdict {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.current.Contains(zone):
		return Evacuated
	case !s.known && now.Sub(s.startedAt) < LearnTime, s.paused(now), now.Sub(s.doubtedAt) < LearnTime:
		return Unknown
	default:
		return Serve
	}
}

// paused reports whether the daemon did nothing for more than PauseLimit before now. The caller
// holds the mutex.
func (s *State) paused(now time.Time) bool {
	return !s.tickedAt.IsZero() && now.Sub(s.tickedAt) > PauseLimit
}

// Tick records that the daemon is running at now, and reports whether it was paused.
func (s *State) Tick(now time.Time) (paused bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	paused = s.paused(now)
	if paused {
		s.doubtedAt = now
	}
	s.tickedAt = now
	return paused
}

// Confirm records that another daemon has replied to a message that was sent at sentAt and
// contained the set. What the reply contains has been merged before.
func (s *State) Confirm(sentAt time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !sentAt.Before(s.doubtedAt) {
		s.doubtedAt = time.Time{}
	}
}

// Expire ends the evacuation of zones that were retained until now.
func (s *State) Expire(now time.Time) Change {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.retained) == 0 {
		return Change{}
	}
	return s.update(now)
}

// ApplySnapshot applies a read of the newest record of each zone, which contains all records
// before version. Zones that it does not list are not evacuated as of that version.
func (s *State) ApplySnapshot(now time.Time, version uint64, records []Record) Change {
	s.mu.Lock()
	defer s.mu.Unlock()
	zones := map[string]struct{}{}
	for _, r := range records {
		if r.Kind == Evacuate || (r.Kind == Malformed && s.set.Contains(r.Zone)) {
			zones[r.Zone] = struct{}{}
		}
	}
	return s.adopt(now, Set{Version: version, Zones: slices.Sorted(maps.Keys(zones))})
}

// ApplyRecords applies the records from version base on, in their order; version is that after
// the last one. It does nothing and returns false if the set is older than base, so that
// records are missing between them: a snapshot is needed. Records that the set contains
// already may be applied again.
func (s *State) ApplyRecords(now time.Time, base, version uint64, records []Record) (Change, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.known || s.set.Version < base || directory.EraOf(s.set.Version) < directory.EraOf(version) {
		return Change{}, false
	}
	zones := map[string]struct{}{}
	for _, zone := range s.set.Zones {
		zones[zone] = struct{}{}
	}
	for _, r := range records {
		switch r.Kind {
		case Evacuate:
			zones[r.Zone] = struct{}{}
		case Remove:
			delete(zones, r.Zone)
			delete(s.retained, r.Zone)
		case Malformed:
		}
	}
	if s.set.Version >= version {
		return s.update(now), true // only the retained zones can have changed
	}
	return s.adopt(now, Set{Version: version, Zones: slices.Sorted(maps.Keys(zones))}), true
}

// Merge applies the set of another daemon. It ignores one of a daemon that knows nothing, of a
// version that no store reaches, and names that are not valid.
func (s *State) Merge(now time.Time, other Set) Change {
	if other.Version == 0 || directory.EraOf(other.Version) > directory.LastEra {
		return Change{}
	}
	zones := slices.DeleteFunc(slices.Clone(other.Zones), func(zone string) bool { return !ValidZone(zone) })
	slices.Sort(zones)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.adopt(now, Set{Version: other.Version, Zones: slices.Compact(zones)})
}

// adopt replaces the set by next if that is newer, or merges them if they have the same
// version. The caller holds the mutex.
func (s *State) adopt(now time.Time, next Set) Change {
	same := s.known && next.Version == s.set.Version && slices.Equal(next.Zones, s.set.Zones)
	if same || (s.known && next.Version < s.set.Version) {
		return Change{}
	}
	if s.known && next.Version == s.set.Version {
		next.Zones = slices.Concat(next.Zones, s.set.Zones)
		slices.Sort(next.Zones)
		next.Zones = slices.Compact(next.Zones)
	}
	if s.known && directory.EraOf(next.Version) > directory.EraOf(s.set.Version) {
		for _, zone := range without(s.set.Zones, next.Zones) {
			s.retained[zone] = now.Add(RetainTime)
		}
	}
	s.set, s.known = next, true
	return s.update(now)
}

// update determines the current zones, and returns how they have changed. The caller holds the
// mutex.
func (s *State) update(now time.Time) Change {
	maps.DeleteFunc(s.retained, func(zone string, until time.Time) bool { return !now.Before(until) || s.set.Contains(zone) })
	zones := slices.Concat(s.set.Zones, slices.Collect(maps.Keys(s.retained)))
	slices.Sort(zones)
	change := Change{Begun: without(zones, s.current.Zones), Ended: without(s.current.Zones, zones)}
	s.current = Set{Version: s.set.Version, Zones: zones}
	return change
}

// without returns the elements of list that are not in other.
func without(list, other []string) []string {
	return slices.DeleteFunc(slices.Clone(list), func(zone string) bool { return slices.Contains(other, zone) })
}
