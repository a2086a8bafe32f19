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
	maintenanceInterval = 50 * time.Millisecond
	// readInterval is the time between reads of the store while guardians renew
	// the lease. Four consecutive reads may fail within tenure.BlindLimit.
	readInterval = 3 * time.Second
	// readRetryInterval is the time between reads that replace renewals, and
	// the first delay after a failed call. It is not shorter because every call
	// to the store has a cost.
	readRetryInterval = 400 * time.Millisecond
	// maxBackoff is the longest delay after a failed call: entries that expired
	// while the store was unreachable have to be restored within 2 s.
	maxBackoff = 1200 * time.Millisecond
	// leaseCheckInterval is the time between two checks whether this member's
	// lease has to be longer.
	leaseCheckInterval = 500 * time.Millisecond
	// targetWait is how long a new member waits for the first heartbeat of its
	// target before it joins without one.
	targetWait = 2 * time.Second
	// maxRestartWriteDelay limits how long a restarted member waits for a change by
	// another one that was restarted at the same time: one change serves them all.
	maxRestartWriteDelay = 100 * time.Millisecond
	// guardianDelay is how long the set of members must be unchanged before
	// guardians are named.
	guardianDelay = 400 * time.Millisecond
	// maxGuardianWriteDelay limits how long a member waits for the members
	// before it to name their guardians. The limit is needed because a member
	// without guardians reads the store every 0.4 s instead.
	maxGuardianWriteDelay = 2 * time.Second
	// guardianTimeout is how long a guardian may be unresponsive before it is
	// replaced.
	guardianTimeout = 4 * tenure.HeartbeatTimeout
)

// runMaintenance is the task that maintains this member's entry and reads the
// store.
func (m *Mesh) runMaintenance() error {
	t := maintenance{mesh: m, started: boottime.Now()}
	return m.runEvery(maintenanceInterval, t.tick)
}

// maintenance is the state of the task.
type maintenance struct {
	mesh    *Mesh
	started time.Time
	// memberCount is the number of members, and stableSince when it last
	// changed.
	memberCount int
	stableSince time.Time
	// read and write delay the next call after a failed one.
	read, write backoff
	// leaseCheckedAt is when the length of the lease was last checked, and
	// leaseDueSince since when it has had to be longer, or zero.
	leaseCheckedAt, leaseDueSince time.Time
	// mergeCheckedAt is when this member last looked for ranges to merge.
	mergeCheckedAt time.Time
}

// backoff computes the delays between attempts. The delay starts at
// readRetryInterval and doubles after each failure, up to maxBackoff.
type backoff struct {
	nextAt time.Time
	delay  time.Duration
}

// due reports whether the next attempt may be made at now.
func (b *backoff) due(now time.Time) bool { return !now.Before(b.nextAt) }

// record records the result of an attempt at now.
func (b *backoff) record(now time.Time, ok bool) {
	if ok {
		b.delay = 0
	} else {
		b.delay = min(max(2*b.delay, readRetryInterval), maxBackoff)
	}
	b.nextAt = now.Add(max(b.delay, readRetryInterval))
}

// tick runs the work that is due at now.
func (t *maintenance) tick(now time.Time) {
	m := t.mesh
	m.expireEvacuations(now)
	if t.readDue(now) {
		t.read.record(now, m.refreshDirectory())
	}
	m.mu.Lock()
	if n := len(m.dir.Members()); n != t.memberCount {
		t.memberCount, t.stableSince = n, now
	}
	loaded, leaving := m.loaded, m.leaving
	mayWrite := loaded && !leaving && t.write.due(now)
	joinDue := mayWrite && m.joinDue(now, t.started)
	waited := now.Sub(t.stableSince) - guardianDelay
	guardiansDue := mayWrite && waited > 0 && m.guardiansDue(now) && waited > m.guardianWriteDelay()
	leaseDue := mayWrite && t.leaseDue(now)
	mergeDue := mayWrite && t.mergeDue(now)
	exitDue := loaded && t.write.due(now) && len(m.exitEntries(m.dir)) > 0
	m.mu.Unlock()
	if exitDue { // first: the target waits for the acknowledgement
		t.commit(now, urgentBackoff, "exit", m.exitEntries)
	}
	if joinDue {
		t.commit(now, relaxedBackoff, "join", m.joinEntries)
	}
	if leaseDue {
		t.commit(now, relaxedBackoff, "lease", m.leaseEntries)
	}
	if guardiansDue {
		t.commit(now, relaxedBackoff, "guardians", m.guardianEntries)
	}
	if mergeDue {
		m.merge(t)
	}
}

// mergeDue reports whether this member's neighbouring ranges are to be merged. The caller
// holds the mutex.
func (t *maintenance) mergeDue(now time.Time) bool {
	if now.Sub(t.mergeCheckedAt) < mergeCheckInterval {
		return false
	}
	t.mergeCheckedAt = now
	return t.mesh.mergeDue(now)
}

// leaseDue reports whether this member's entry has to be written with a longer
// lease. Members that serve the same load find that at the same time, so they write
// one after the other. The caller holds the mutex.
func (t *maintenance) leaseDue(now time.Time) bool {
	m := t.mesh
	if now.Sub(t.leaseCheckedAt) >= leaseCheckInterval {
		t.leaseCheckedAt = now
		switch {
		case len(m.leaseEntries(m.dir)) == 0:
			t.leaseDueSince = time.Time{}
		case t.leaseDueSince.IsZero():
			t.leaseDueSince = now
		}
	}
	return !t.leaseDueSince.IsZero() && now.Sub(t.leaseDueSince) >= m.guardianWriteDelay()
}

// leaseEntries returns the entry that makes this member's lease longer if the
// measured requests need it.
func (m *Mesh) leaseEntries(dir *directory.Directory) []directory.Entry {
	me := dir.Member(m.cfg.Self)
	if me == nil || me.State != directory.Active || !m.divided() {
		return nil
	}
	length := m.chooseLease(dir)
	if length <= tenure.LeaseOf(me) {
		return nil
	}
	longer := *me
	longer.Lease = length
	return []directory.Entry{longer.PutEntry()}
}

// chooseLease returns the length of lease that this member needs. A member that has
// measured too few requests takes over the length that most members of its service
// have. The caller holds the mutex.
func (m *Mesh) chooseLease(dir *directory.Directory) time.Duration {
	current := tenure.MinLease
	var others []time.Duration
	for _, member := range dir.MembersOf(m.cfg.Service) {
		if member.Address == m.cfg.Self {
			current = tenure.LeaseOf(member)
		} else {
			others = append(others, tenure.LeaseOf(member))
		}
	}
	if m.serviceTimes.Unmeasured() && len(others) > 0 {
		slices.Sort(others)
		current = max(current, others[(len(others)-1)/2])
	}
	return min(tenure.ChooseLease(current, &m.serviceTimes, m.grantInterval()), directory.LeaseLimit)
}

// grantInterval returns the time between two grants of the same keys to the target.
// The caller holds the mutex.
func (m *Mesh) grantInterval() time.Duration {
	switch m.delivery.(type) {
	case callDelivery:
		return renewInterval
	case *heartbeatDelivery:
		return m.cfg.HeartbeatInterval
	default:
		panic("unknown delivery of grants")
	}
}

// guardianWriteDelay returns how long this member waits for the members before
// it to write when all members are about to change the directory. The caller
// holds the mutex.
func (m *Mesh) guardianWriteDelay() time.Duration {
	return min(time.Duration(m.rank(m.cfg.Self))*typicalAppendTime, maxGuardianWriteDelay)
}

// commit changes the directory, with the given delays between attempts, and delays the next
// change after a failure.
func (t *maintenance) commit(now time.Time, delays backoffRange, what string, build func(*directory.Directory) []directory.Entry) {
	err := t.mesh.commitAt(delays, what, build)
	t.mesh.logCommitError(what, err)
	if err != nil {
		t.write.record(now, false)
	} else {
		t.write = backoff{}
	}
}

// logCommitError logs a failed change of the directory.
func (m *Mesh) logCommitError(what string, err error) {
	if err != nil && m.tomb.Alive() {
		m.log.Warn("directory change failed", "what", what, "error", err)
	}
}

// readDue reports whether the store has to be read now.
func (t *maintenance) readDue(now time.Time) bool {
	m := t.mesh
	m.mu.Lock()
	defer m.mu.Unlock()
	if !t.read.due(now) {
		return false
	}
	if m.eraPending() || now.Sub(m.leases.LastStoreReadAt()) > readInterval {
		return true
	}
	if m.leaving && !m.storeOK && len(m.holdings) > 0 {
		return true // the keys can be transferred once the store answers
	}
	member := m.dir.Member(m.cfg.Self)
	return member != nil && m.leases.HeldUntil(m.dir).Sub(now) < tenure.MinLease/2
}

// joinDue reports whether this member's entry has to be written. The caller
// holds the mutex.
func (m *Mesh) joinDue(now, started time.Time) bool {
	if m.formerChangesDue(m.dir) {
		return now.Sub(m.leases.LastStoreReadAt()) >= min(m.guardianWriteDelay(), maxRestartWriteDelay)
	}
	if m.target.Instance == "" && now.Sub(started) < targetWait {
		return false
	}
	return len(m.joinEntries(m.dir)) > 0
}

// formerChangesDue reports whether this member, which is active in dir, has to change the
// directory so that no change of its previous process can be applied any more. The caller
// holds the mutex.
func (m *Mesh) formerChangesDue(dir *directory.Directory) bool {
	me := dir.Member(m.cfg.Self)
	return me != nil && me.State == directory.Active && m.leases.FormerChangesPending(dir)
}

// joinEntries returns the entries that make this member active with the current
// process of its target. Keys that the member owned with an earlier process get
// a new fence.
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
		want.Guardians, want.Lease = have.Guardians, have.Lease
		if want.Instance == "" {
			want.Instance, want.Born = have.Instance, have.Born
		}
		if have.State == directory.Active && have.Instance == want.Instance && have.Born == want.Born && have.Service == want.Service && !m.formerChangesDue(dir) {
			return nil
		}
	}
	if _, byHeartbeat := m.delivery.(*heartbeatDelivery); byHeartbeat || m.divided() {
		want.Lease = max(want.Lease, m.chooseLease(dir))
	}
	entries := []directory.Entry{want.PutEntry()}
	if exit := dir.ExitAt(m.cfg.Self); exit.Instance != "" && exit.Born < m.target.Born {
		entries = append(entries, exit.DeleteEntry())
	}
	if have != nil && have.Instance == want.Instance && have.Born == want.Born && have.Service == want.Service {
		return entries
	}
	return append(entries, m.renewalEntries(dir)...)
}

// renewalEntries returns the entries that give all keys of this member a new fence, in as few
// ranges as possible, since the target's new process holds none of them.
func (m *Mesh) renewalEntries(dir *directory.Directory) []directory.Entry {
	var entries []directory.Entry
	merged := map[*directory.Assignment]bool{}
	for _, run := range dir.Adjacent(m.cfg.Self, m.cfg.Service, func(*directory.Assignment) bool { return true }) {
		entries = append(entries, dir.Merge(run)...)
		for _, a := range run {
			merged[a] = true
		}
	}
	for _, a := range dir.OwnedBy(m.cfg.Self) {
		switch {
		case merged[a]:
		case a.Service != m.cfg.Service:
			// The address belonged to a member of another service, which has
			// stopped.
			entries = append(entries, a.DeleteEntry())
		default:
			renewed := *a
			renewed.Fence, renewed.Handover = dir.NextFence(), ""
			entries = append(entries, renewed.PutEntry())
		}
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
	if m.leases.GuardianChangePending() {
		return true // the result of the last change has to be known first
	}
	usable := func(g *directory.Member) bool { return m.usable(now, g) }
	if len(me.Guardians) == 2 && m.allUsable(me.Guardians, usable) {
		return false
	}
	return !sameGuardians(me.Guardians, tenure.ChooseGuardians(m.dir, m.cfg.Self, usable))
}

// allUsable reports whether all addrs are active members for which usable
// returns true.
func (m *Mesh) allUsable(addrs []netip.AddrPort, usable func(*directory.Member) bool) bool {
	return !slices.ContainsFunc(addrs, func(addr netip.AddrPort) bool {
		g := m.dir.Member(addr)
		return g == nil || g.State != directory.Active || !usable(g)
	})
}

// usable reports whether g may become or stay a guardian. A new member gets the
// full timeout for its first heartbeat, since the arrival of its entry counts as
// one (recordChangedMembers).
func (m *Mesh) usable(now time.Time, g *directory.Member) bool {
	return now.Sub(m.leases.LastHeartbeatAt(g.Address)) < guardianTimeout+m.heartbeatRotationTime()
}

// guardianEntries returns the entry that names new guardians for this member.
func (m *Mesh) guardianEntries(dir *directory.Directory) []directory.Entry {
	now := boottime.Now()
	if !m.guardiansDue(now) {
		return nil
	}
	me := *dir.Member(m.cfg.Self)
	me.Guardians = tenure.ChooseGuardians(dir, m.cfg.Self, func(g *directory.Member) bool { return m.usable(now, g) })
	m.leases.RecordGuardianChange(now, dir.Version())
	return []directory.Entry{me.PutEntry()}
}

// sameGuardians reports whether a and b contain the same members.
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
