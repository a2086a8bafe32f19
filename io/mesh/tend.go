package mesh

import (
	"net/netip"
	"slices"
	"time"

	"siskinknot/core/directory"
	"siskinknot/core/tenure"
	"siskinknot/io/boottime"
)

const (
	tendEvery = 50 * time.Millisecond
	// readEvery is the time between reads of the store while guardians renew:
	// four may fail within the blind limit.
	readEvery = 3 * time.Second
	// retryRead is the time between reads that stand in for renewals, and
	// between those that fail; every call to the store has a price.
	retryRead = 400 * time.Millisecond
	// lastRetry is the longest pause after a call that failed: entries that
	// lapsed while the store was away have to be back within 2 s.
	lastRetry = 1200 * time.Millisecond
	// firstHeartbeat is how long a new member waits for its target before it
	// joins without.
	firstHeartbeat = 2 * time.Second
	// settleTime is how long the members must have been the same before
	// guardians are named.
	settleTime = 400 * time.Millisecond
	// lastTurn bounds the time that members leave to one another to name their
	// guardians: without any, a member reads the store every 0.4 s instead.
	lastTurn = 2 * time.Second
	// guardianLimit is the silence after which a guardian is replaced.
	guardianLimit = 4 * tenure.SilenceLimit
)

// tend is the task that keeps this member's entry and reads the store.
func (m *Mesh) tend() error {
	t := tending{mesh: m, started: boottime.Now()}
	return m.every(tendEvery, t.tick)
}

// tending is the state of the task.
type tending struct {
	mesh    *Mesh
	started time.Time
	// members and since hold how many members there are, and since when.
	members int
	since   time.Time
	// read and write space the calls that fail.
	read, write backoff
}

// backoff spaces tries: the pause after a failure doubles from retryRead on.
type backoff struct {
	next  time.Time
	pause time.Duration
}

// due reports whether the next try may be made at now.
func (b *backoff) due(now time.Time) bool { return !now.Before(b.next) }

// tried notes a try at now.
func (b *backoff) tried(now time.Time, ok bool) {
	if ok {
		b.pause = 0
	} else {
		b.pause = min(max(2*b.pause, retryRead), lastRetry)
	}
	b.next = now.Add(max(b.pause, retryRead))
}

// tick does what is due at now.
func (t *tending) tick(now time.Time) {
	m := t.mesh
	if t.readDue(now) {
		t.read.tried(now, m.refresh())
	}
	m.mu.Lock()
	if n := len(m.dir.Members()); n != t.members {
		t.members, t.since = n, now
	}
	loaded, leaving := m.loaded, m.leaving
	mayWrite := loaded && !leaving && t.write.due(now)
	joinDue := mayWrite && m.joinDue(now, t.started)
	settled := now.Sub(t.since) - settleTime
	guardiansDue := mayWrite && settled > 0 && m.guardiansDue(now) && settled > m.turnToWrite()
	m.mu.Unlock()
	if joinDue {
		t.commit(now, "join", m.joinEntries)
	}
	if guardiansDue {
		t.commit(now, "guardians", m.guardianEntries)
	}
}

// turnToWrite returns how long this member leaves the directory to those before it
// when all members are about to change it. The caller holds the mutex.
func (m *Mesh) turnToWrite() time.Duration {
	return min(time.Duration(m.rank(m.cfg.Self))*appendTime, lastTurn)
}

// commit changes the directory; after a failure there is a pause.
func (t *tending) commit(now time.Time, what string, build func(*directory.Directory) []directory.Entry) {
	err := t.mesh.commitAt(patient, what, build)
	t.mesh.logIf(what, err)
	if err != nil {
		t.write.tried(now, false)
	} else {
		t.write = backoff{}
	}
}

// logIf logs a change of the directory that failed.
func (m *Mesh) logIf(what string, err error) {
	if err != nil && m.tomb.Alive() {
		m.log.Warn("directory not changed", "what", what, "error", err)
	}
}

// readDue reports whether the store is to be read now.
func (t *tending) readDue(now time.Time) bool {
	m := t.mesh
	m.mu.Lock()
	defer m.mu.Unlock()
	if !t.read.due(now) {
		return false
	}
	if now.Sub(m.book.ReadAt()) > readEvery {
		return true
	}
	member := m.dir.Member(m.cfg.Self)
	return member != nil && m.book.HeldUntil(m.dir).Sub(now) < tenure.Duration/2
}

// joinDue reports whether this member's entry has to be written. The caller
// holds the mutex.
func (m *Mesh) joinDue(now, started time.Time) bool {
	if m.target.Instance == "" && now.Sub(started) < firstHeartbeat {
		return false
	}
	return len(m.joinEntries(m.dir)) > 0
}

// joinEntries returns the entries that make this member active with the present
// life of its target. Keys that it has from an earlier life get a new fence.
func (m *Mesh) joinEntries(dir *directory.Directory) []directory.Entry {
	want := directory.Member{
		Address:  m.cfg.Self,
		Service:  m.cfg.Service,
		Zone:     m.cfg.Zone,
		Instance: m.target.Instance,
		Born:     m.target.Born,
		State:    directory.Active,
	}
	have := dir.Member(m.cfg.Self)
	if have != nil {
		want.Guardians = have.Guardians
		if want.Instance == "" {
			want.Instance, want.Born = have.Instance, have.Born
		}
		if have.State == directory.Active && have.Instance == want.Instance && have.Born == want.Born && have.Service == want.Service {
			return nil
		}
	}
	entries := []directory.Entry{want.Put()}
	if have != nil && have.Instance == want.Instance && have.Born == want.Born && have.Service == want.Service {
		return entries
	}
	for _, a := range dir.OwnedBy(m.cfg.Self) {
		if a.Service != m.cfg.Service {
			// The address had a member of another service, which has ended.
			entries = append(entries, a.Drop())
			continue
		}
		renewed := *a
		renewed.Fence, renewed.Handover = dir.Fence(), ""
		entries = append(entries, renewed.Put())
	}
	return entries
}

// guardiansDue reports whether this member needs other guardians. The caller
// holds the mutex.
func (m *Mesh) guardiansDue(now time.Time) bool {
	me := m.dir.Member(m.cfg.Self)
	if me == nil || me.State != directory.Active {
		return false
	}
	if m.book.Changing() {
		return true // the fate of the last change has to be known
	}
	usable := func(g *directory.Member) bool { return m.usable(now, g) }
	if len(me.Guardians) == 2 && m.allUsable(me.Guardians, usable) {
		return false
	}
	return !sameGuardians(me.Guardians, tenure.Choose(m.dir, m.cfg.Self, usable))
}

// allUsable reports whether all of addrs are members that usable admits.
func (m *Mesh) allUsable(addrs []netip.AddrPort, usable func(*directory.Member) bool) bool {
	return !slices.ContainsFunc(addrs, func(addr netip.AddrPort) bool {
		g := m.dir.Member(addr)
		return g == nil || g.State != directory.Active || !usable(g)
	})
}

// usable reports whether g may become or stay a guardian. A member that has
// never been heard is given the time to call.
func (m *Mesh) usable(now time.Time, g *directory.Member) bool {
	return now.Sub(m.book.HeardAt(g.Address)) < guardianLimit+m.turnTime()
}

// guardianEntries returns the entry that names this member's guardians anew.
func (m *Mesh) guardianEntries(dir *directory.Directory) []directory.Entry {
	now := boottime.Now()
	if !m.guardiansDue(now) {
		return nil
	}
	me := *dir.Member(m.cfg.Self)
	me.Guardians = tenure.Choose(dir, m.cfg.Self, func(g *directory.Member) bool { return m.usable(now, g) })
	m.book.GuardiansSent(now, dir.End())
	return []directory.Entry{me.Put()}
}

// sameGuardians reports whether a and b name the same members.
func sameGuardians(a, b []netip.AddrPort) bool {
	if len(a) != len(b) {
		return false
	}
	for _, addr := range a {
		if !slices.Contains(b, addr) {
			return false
		}
	}
	return true
}
