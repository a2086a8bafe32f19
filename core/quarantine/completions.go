package quarantine

import "slices"

const (
	// completionSets and completionWays give the size of Completions: about two minutes of
	// the requests of a target that runs 30 a second.
	completionSets = 1 << 10
	completionWays = 4
)

// Completions remembers which requests have completed recently, as a set-associative cache.
// A popular request stays, since each of its completions makes it the newest of its set. It
// is not safe for concurrent use.
type Completions struct {
	sets [completionSets][completionWays]uint64
}

// Add records that a request with the given fingerprint has completed.
func (c *Completions) Add(f Fingerprint) {
	h := mix(f.Head*31 + f.Body)
	set := &c.sets[h%completionSets]
	oldest := slices.Index(set[:], h)
	if oldest < 0 {
		oldest = completionWays - 1
	}
	copy(set[1:oldest+1], set[:oldest])
	set[0] = h
}

// Contains reports whether a request with the given fingerprint has completed recently.
func (c *Completions) Contains(f Fingerprint) bool {
	h := mix(f.Head*31 + f.Body)
	return h != 0 && slices.Contains(c.sets[h%completionSets][:], h)
}
