package directory

// Limits on the number of updates that an UpdateBuffer keeps.
const (
	// maxRecent is the maximum number of applied updates that are kept for members
	// that have missed some. It covers about ten seconds in which many ranges
	// move.
	maxRecent = 128
	// maxEarly is the maximum number of updates that are kept until a missing
	// update arrives.
	maxEarly = 64
)

// UpdateBuffer is a buffer of directory updates. It keeps the most recent
// updates that were applied to a directory, for members that have missed some
// of them. It also keeps updates that arrived early, that is, before the updates
// that they follow: members send updates concurrently, so updates arrive in any
// order. It is not safe for concurrent use.
type UpdateBuffer struct {
	// recent has consecutive updates that end at the directory's version.
	recent []Update
	// early has the updates that wait for a missing one, by their Base.
	early map[uint64]Update
}

// NewUpdateBuffer returns an empty UpdateBuffer.
func NewUpdateBuffer() *UpdateBuffer { return &UpdateBuffer{early: map[uint64]Update{}} }

// Apply applies u and the updates that waited for it to d, and returns the number
// of applied updates. An update whose Base is newer than d is kept until the
// updates before it have been applied.
func (b *UpdateBuffer) Apply(d *Directory, u Update) int {
	if u.Base > d.Version() {
		b.addEarly(u)
		return 0
	}
	applied := 0
	for ok := true; ok && d.Apply(u); u, ok = b.takeEarly(d.Version()) {
		b.addRecent(u)
		applied++
	}
	return applied
}

// addRecent records that u has been applied to the directory, which is now at
// u.End. If u does not continue the recorded updates, they are discarded. A snapshot
// itself is not recorded.
func (b *UpdateBuffer) addRecent(u Update) {
	if n := len(b.recent); n > 0 && b.recent[n-1].End != u.Base {
		if rest, ok := u.after(b.recent[n-1].End); ok {
			u = rest
		} else {
			b.recent = nil
		}
	}
	if u.Base > 0 {
		b.recent = append(b.recent, u)
	}
	if len(b.recent) > maxRecent {
		b.recent = b.recent[1:]
	}
}

// Since returns an update that takes a directory from version to the current
// version. It reports false if the updates since version are not kept.
func (b *UpdateBuffer) Since(version uint64) (Update, bool) {
	for i, u := range b.recent {
		if u.Base != version {
			continue
		}
		merged := Update{Base: version, End: b.recent[len(b.recent)-1].End}
		for _, next := range b.recent[i:] {
			merged.Entries = append(merged.Entries, next.Entries...)
		}
		return merged, true
	}
	return Update{}, false
}

// addEarly keeps u, whose Base is newer than the directory.
func (b *UpdateBuffer) addEarly(u Update) {
	if len(b.early) >= maxEarly {
		clear(b.early) // the missing updates have to be fetched, and the cleared ones are fetched with them
	}
	b.early[u.Base] = u
}

// takeEarly removes and returns the early update that continues version. It also
// discards the early updates that are based on older versions.
func (b *UpdateBuffer) takeEarly(version uint64) (Update, bool) {
	for base := range b.early {
		if base < version {
			delete(b.early, base)
		}
	}
	u, ok := b.early[version]
	delete(b.early, version)
	return u, ok
}
