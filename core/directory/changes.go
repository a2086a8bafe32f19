package directory

// Limits of what a Changes keeps.
const (
	// mostRecent is how many changes are kept for members that miss some: those of
	// some ten seconds in which many ranges move.
	mostRecent = 128
	// mostEarly is how many changes wait for one that is missing.
	mostEarly = 64
)

// Changes holds the updates that led to a directory's version, for members that
// have missed some of them, and those that came before one which is missing:
// members send changes at the same time, so that they come in any order. It is not
// safe for concurrent use.
type Changes struct {
	// recent are consecutive and end at the directory's version.
	recent []Update
	early  map[uint64]Update
}

// NewChanges returns a Changes that holds nothing.
func NewChanges() *Changes { return &Changes{early: map[uint64]Update{}} }

// Apply brings d up to date with u and with the changes that waited for it, and
// returns how many updates were applied. One that comes too early waits.
func (c *Changes) Apply(d *Directory, u Update) int {
	if u.Base > d.End() {
		c.wait(u)
		return 0
	}
	applied := 0
	for ok := true; ok && d.Apply(u); u, ok = c.next(d.End()) {
		c.note(u)
		applied++
	}
	return applied
}

// note notes that u has brought the directory to u.End.
func (c *Changes) note(u Update) {
	if n := len(c.recent); n > 0 && c.recent[n-1].End != u.Base {
		if rest, ok := u.after(c.recent[n-1].End); ok {
			u = rest
		} else {
			c.recent = nil
		}
	}
	if u.Base > 0 {
		c.recent = append(c.recent, u)
	}
	if len(c.recent) > mostRecent {
		c.recent = c.recent[1:]
	}
}

// Since returns what leads from version to the directory's version, and false if
// that is not kept.
func (c *Changes) Since(version uint64) (Update, bool) {
	for i, u := range c.recent {
		if u.Base != version {
			continue
		}
		all := Update{Base: version, End: c.recent[len(c.recent)-1].End}
		for _, later := range c.recent[i:] {
			all.Entries = append(all.Entries, later.Entries...)
		}
		return all, true
	}
	return Update{}, false
}

// wait keeps u, which continues a later version than the directory has.
func (c *Changes) wait(u Update) {
	if len(c.early) >= mostEarly {
		clear(c.early) // what is missing has to be fetched, and these with it
	}
	c.early[u.Base] = u
}

// next returns the update that came early and continues version, and forgets those
// that are of earlier versions.
func (c *Changes) next(version uint64) (Update, bool) {
	for base := range c.early {
		if base < version {
			delete(c.early, base)
		}
	}
	u, ok := c.early[version]
	delete(c.early, version)
	return u, ok
}
