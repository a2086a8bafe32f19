// Package quarantine decides which requests are kept from targets because they may crash
// them. Some requests, often called queries of death, end the process of each target that
// begins to run them. Without a quarantine, retries and repetitions of one such request
// take down one target after the other.
//
// # How a request gets into quarantine
//
// When a target's process ends unexpectedly, each request that it was running is a
// suspect. Several of them are innocent, and the process may have ended for another
// reason, but rejecting a few rare requests for a while costs less than another crash. A
// request that has completed at this target before is unlikely to be the cause. It stays
// usable, one at a time.
//
// A suspect is rejected until its quarantine ends. Then it is on trial: at most one such
// request runs at a time. A trial that completes clears the request, since a deadly request
// never completes. A trial that ends with a crash proves the request guilty: the other
// requests that the target was running are not suspected, and each such crash multiplies
// the length of the quarantine. So does one during which a request was running that has been
// quarantined since it was sent, as may be when it crashes several targets at once.
//
// # How the daemons agree
//
// A List is a set of suspects, each with a set of crashes. Crashes are only ever added and
// marked as cleared, so that lists can be merged in any order and any number of times, and
// daemons that exchange their lists end up with the same one. Times are exchanged as ages,
// as the clocks of VMs differ. The size of a List is bounded: it keeps the suspects with
// the most crashes.
//
// # Usage
//
//	suspects := list.RecordCrash(now, quarantine.NewCrashID(instance, born), runs)
//	switch v := list.Verdict(now, fingerprint).(type) {
//	case quarantine.Clear:
//	case quarantine.Quarantined:
//		// Reject the request until v.Until.
//	case quarantine.Trial:
//		if list.BeginTrial(fingerprint) {
//			defer list.EndTrial(fingerprint)
//			// Run it.
//		}
//	}
//	list.RecordCompletion(fingerprint)
package quarantine

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// firstQuarantine is the length of the quarantine after the first crash, and
	// maxQuarantine the longest one. Each further crash multiplies it by lengthFactor.
	firstQuarantine = 30 * time.Second
	maxQuarantine   = time.Hour
	lengthFactor    = 4
	// burstGap is the time within which crashes count as one. A request that arrives
	// often may crash several targets before any daemon knows of it.
	burstGap = 5 * time.Second
	// memory is how long a suspect is remembered after its quarantine. Within that time
	// another crash lengthens the quarantine.
	memory = 10 * time.Minute
	// capacity is the maximum number of suspects in a List, and maxCrashes that of the
	// crashes of a suspect.
	capacity   = 512
	maxCrashes = 16
)

// CrashID identifies an unexpected end of a target's process.
type CrashID uint64

// NewCrashID returns the ID of the end of the process instance that was started at born, in
// Unix milliseconds. Processes that follow each other may have the same instance.
func NewCrashID(instance string, born int64) CrashID {
	return CrashID(xxhash.Sum64String(fmt.Sprintf("%s %d", instance, born)))
}

// Crash is a crash during which a suspect was running.
type Crash struct {
	ID CrashID
	At time.Time
	// Weak is set if the request had completed at the same target before.
	Weak bool
	// Cleared is set once the request has completed at any target.
	Cleared bool
}

// Suspect is a request that was running during a crash.
type Suspect struct {
	Fingerprint Fingerprint
	// Crashes are in the order of their IDs.
	Crashes []Crash
}

// Run is a request that a target was running when its process ended.
type Run struct {
	Fingerprint Fingerprint
	// OnTrial is set if the request was known as a suspect when it was sent.
	OnTrial bool
	// CompletedBefore is set if the request had completed at the same target before.
	CompletedBefore bool
}

// Verdict says whether a request may run: Clear, Quarantined or Trial.
type Verdict interface{ isVerdict() }

// Clear is the verdict on a request that is no suspect.
type Clear struct{}

// Quarantined is the verdict on a request that may not run before Until.
type Quarantined struct{ Until time.Time }

// Trial is the verdict on a request that may run while no other one with the same
// fingerprint does.
type Trial struct{}

func (Clear) isVerdict()       {}
func (Quarantined) isVerdict() {}
func (Trial) isVerdict()       {}

// verdict returns the verdict on the suspect at now.
func (s *Suspect) verdict(now time.Time) Verdict {
	if !s.active() {
		return Clear{}
	}
	if until := s.quarantinedUntil(); now.Before(until) {
		return Quarantined{Until: until}
	}
	return Trial{}
}

// active reports whether the suspect has a crash that is not cleared.
func (s *Suspect) active() bool {
	return slices.ContainsFunc(s.Crashes, func(c Crash) bool { return !c.Cleared })
}

// lastCrashAt returns when the suspect's last crash was.
func (s *Suspect) lastCrashAt() time.Time {
	var last time.Time
	for _, c := range s.Crashes {
		if c.At.After(last) {
			last = c.At
		}
	}
	return last
}

// quarantinedUntil returns when the quarantine ends, or zero if there is none.
func (s *Suspect) quarantinedUntil() time.Time {
	var times []time.Time
	for _, c := range s.Crashes {
		if !c.Cleared && !c.Weak {
			times = append(times, c.At)
		}
	}
	if len(times) == 0 {
		return time.Time{}
	}
	slices.SortFunc(times, time.Time.Compare)
	length := firstQuarantine
	for i, at := range times {
		if i > 0 && at.Sub(times[i-1]) > burstGap {
			length = min(length*lengthFactor, maxQuarantine)
		}
	}
	return times[len(times)-1].Add(length)
}

// forgottenAt returns when the suspect is removed from the List.
func (s *Suspect) forgottenAt() time.Time {
	end := s.lastCrashAt()
	if until := s.quarantinedUntil(); until.After(end) {
		end = until
	}
	return end.Add(memory)
}

// add adds a crash, or marks it as cleared if c is. It reports whether that changed
// anything.
func (s *Suspect) add(c Crash) bool {
	i, found := slices.BinarySearchFunc(s.Crashes, c.ID, func(have Crash, id CrashID) int { return cmp.Compare(have.ID, id) })
	switch {
	case found && c.Cleared && !s.Crashes[i].Cleared:
		s.Crashes[i].Cleared = true
		return true
	case found || len(s.Crashes) >= maxCrashes:
		return false
	default:
		s.Crashes = slices.Insert(s.Crashes, i, c)
		return true
	}
}

// clone returns a copy of the suspect that shares nothing with it.
func (s *Suspect) clone() Suspect {
	return Suspect{Fingerprint: s.Fingerprint, Crashes: slices.Clone(s.Crashes)}
}

// List is a set of suspects. It is not safe for concurrent use.
type List struct {
	suspects map[Fingerprint]*Suspect
	// heads counts the suspects by the Head of their fingerprints.
	heads map[uint64]int
	// trials holds the suspects of which a request is running as a trial.
	trials map[Fingerprint]struct{}
}

// NewList returns an empty List.
func NewList() *List {
	return &List{suspects: map[Fingerprint]*Suspect{}, heads: map[uint64]int{}, trials: map[Fingerprint]struct{}{}}
}

// Len returns the number of suspects, including those that were cleared and are not
// forgotten yet.
func (l *List) Len() int { return len(l.suspects) }

// Rejected returns the number of suspects that are quarantined at now.
func (l *List) Rejected(now time.Time) int {
	n := 0
	for _, s := range l.suspects {
		if now.Before(s.quarantinedUntil()) {
			n++
		}
	}
	return n
}

// HasHead reports whether a suspect's fingerprint has the given Head.
func (l *List) HasHead(head uint64) bool { return l.heads[head] > 0 }

// Verdict returns the verdict at now on requests with the given fingerprint.
func (l *List) Verdict(now time.Time, f Fingerprint) Verdict {
	s, ok := l.suspects[f]
	if !ok {
		return Clear{}
	}
	return s.verdict(now)
}

// RecordCrash records that a target's process ended at now while it was running runs. It
// returns the suspects, as they are to be announced to the other daemons.
func (l *List) RecordCrash(now time.Time, id CrashID, runs []Run) []Suspect {
	explained := func(r Run) bool {
		_, quarantined := l.Verdict(now, r.Fingerprint).(Quarantined)
		return r.OnTrial || quarantined
	}
	if slices.ContainsFunc(runs, explained) {
		runs = slices.DeleteFunc(slices.Clone(runs), func(r Run) bool { return !explained(r) })
	}
	var changed []Suspect
	for _, r := range runs {
		s := l.suspect(r.Fingerprint)
		if s.add(Crash{ID: id, At: now, Weak: r.CompletedBefore && !r.OnTrial}) {
			changed = append(changed, s.clone())
		}
	}
	l.evict()
	return changed
}

// RecordCompletion clears the requests with the given fingerprint, one of which has
// completed. It returns the suspect as it is to be announced to the other daemons, and
// false if the fingerprint was none of an active suspect.
func (l *List) RecordCompletion(f Fingerprint) (Suspect, bool) {
	s, ok := l.suspects[f]
	if !ok || !s.active() {
		return Suspect{}, false
	}
	for i := range s.Crashes {
		s.Crashes[i].Cleared = true
	}
	return s.clone(), true
}

// BeginTrial reports whether a request with the given fingerprint, on which the verdict is
// Trial, may run now. If so, no other one may until EndTrial.
func (l *List) BeginTrial(f Fingerprint) bool {
	if _, running := l.trials[f]; running {
		return false
	}
	l.trials[f] = struct{}{}
	return true
}

// EndTrial records that the request that BeginTrial admitted has ended.
func (l *List) EndTrial(f Fingerprint) { delete(l.trials, f) }

// Merge adds what another daemon knows, and reports whether that changed the list.
func (l *List) Merge(now time.Time, suspects []Suspect) bool {
	changed := false
	for _, other := range suspects {
		if len(other.Crashes) == 0 || !now.Before(other.forgottenAt()) {
			continue
		}
		s := l.suspect(other.Fingerprint)
		for _, c := range other.Crashes {
			changed = s.add(c) || changed
		}
	}
	l.evict()
	return changed
}

// Suspects returns a copy of all suspects.
func (l *List) Suspects() []Suspect {
	list := make([]Suspect, 0, len(l.suspects))
	for _, s := range l.suspects {
		list = append(list, s.clone())
	}
	return list
}

// Digest returns a hash of the suspects and their crashes, without the times. Lists that
// have the same suspects have the same digest; that of an empty List is 0.
func (l *List) Digest() uint64 {
	digest := uint64(0)
	for f, s := range l.suspects {
		sum := f.Head*31 + f.Body
		for _, c := range s.Crashes {
			sum = sum*31 + uint64(c.ID)
			if c.Cleared {
				sum = sum*31 + 1
			}
		}
		digest ^= mix(sum)
	}
	return digest
}

// Expire removes the suspects that are to be forgotten at now.
func (l *List) Expire(now time.Time) {
	for f, s := range l.suspects {
		if !now.Before(s.forgottenAt()) {
			l.remove(f)
		}
	}
}

// suspect returns the suspect with the given fingerprint, which it adds if there is none.
func (l *List) suspect(f Fingerprint) *Suspect {
	s, ok := l.suspects[f]
	if !ok {
		s = &Suspect{Fingerprint: f}
		l.suspects[f] = s
		l.heads[f.Head]++
	}
	return s
}

// remove removes a suspect.
func (l *List) remove(f Fingerprint) {
	delete(l.suspects, f)
	if l.heads[f.Head]--; l.heads[f.Head] == 0 {
		delete(l.heads, f.Head)
	}
}

// evict removes the least suspicious suspects beyond capacity: those that were cleared,
// then those with the fewest crashes, then those whose last crash is the oldest.
func (l *List) evict() {
	excess := len(l.suspects) - capacity
	if excess <= 0 {
		return
	}
	list := make([]*Suspect, 0, len(l.suspects))
	for _, s := range l.suspects {
		list = append(list, s)
	}
	slices.SortFunc(list, func(a, b *Suspect) int {
		if a.active() != b.active() {
			if b.active() {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(len(a.Crashes), len(b.Crashes)), a.lastCrashAt().Compare(b.lastCrashAt()))
	})
	for _, s := range list[:excess] {
		l.remove(s.Fingerprint)
	}
}

// mix spreads the bits of a hash, so that the hashes of similar values differ in all bits.
func mix(h uint64) uint64 {
	h ^= h >> 32
	h *= 0x9e3779b97f4a7c15
	return h ^ h>>29
}
