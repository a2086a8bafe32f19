package mesh

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"siskinknot/core/directory"
	"siskinknot/core/placement"
	"siskinknot/core/tenure"
	"siskinknot/io/boottime"
	"siskinknot/io/peer/peerpb"
)

const (
	// failoverInterval is the longest time between two rounds. A round also runs when a
	// member that this one guards becomes unresponsive, and when the keys of a fenced
	// member become free.
	failoverInterval = 50 * time.Millisecond
	// justAfter is added to a time that has to have passed.
	justAfter = time.Nanosecond
	// maxRoundGap is the longest time between two rounds after which this
	// process assumes that it would have received the heartbeats of other
	// members in the meantime. After a longer gap it restarts their timeouts.
	maxRoundGap = 300 * time.Millisecond
	// rankDelay is the delay between the members that may all act on the same
	// failure, so that they do not act at the same time.
	rankDelay = 400 * time.Millisecond
	// nonGuardianTimeout is the time without a response after which any member
	// acts.
	nonGuardianTimeout = 5 * tenure.HeartbeatTimeout
	// fencedRetention is how long the entry of a fenced member without keys is
	// kept: other members keep sending to it, so that its next process gets
	// the directory from them. A restart takes a second or two.
	fencedRetention = 10 * time.Second
)

// runFailover is the task that fences unresponsive members and reassigns their
// keys.
func (m *Mesh) runFailover() error {
	f := failover{mesh: m, lastRound: boottime.Now(), askedAt: map[netip.AddrPort]time.Time{}}
	return m.runAt(failoverInterval, f.tick)
}

// failover is the state of the task.
type failover struct {
	mesh      *Mesh
	lastRound time.Time
	// askedAt is when other members were last asked whether they have heard from
	// an unresponsive member, or were last sent the fence of a member to confirm.
	askedAt map[netip.AddrPort]time.Time
}

// tick runs one round, and returns when the next one is due.
func (f *failover) tick(now time.Time) (next time.Time) {
	m := f.mesh
	next = now.Add(failoverInterval)
	m.mu.Lock()
	paused := now.Sub(f.lastRound) > maxRoundGap
	f.lastRound = now
	if !m.loaded || m.leaving {
		m.mu.Unlock()
		return next
	}
	var suspects, fenced []netip.AddrPort
	known := func(moment time.Time) {
		if moment.After(now) && moment.Before(next) {
			next = moment
		}
	}
	holdsLease := m.leases.Holds(now, m.dir)
	for _, member := range m.dir.Members() {
		addr := member.Address
		if addr == m.cfg.Self {
			continue
		}
		if paused || m.leases.LastHeartbeatAt(addr).IsZero() {
			m.leases.RecordHeartbeat(now, addr)
		}
		switch {
		case member.State == directory.Fenced:
			fenced = append(fenced, addr)
			if end, ok := m.leases.LeaseEnd(m.dir, addr); ok {
				known(end.Add(justAfter))
			}
		case holdsLease && now.Sub(m.leases.LastHeartbeatAt(addr)) > m.unresponsiveTimeout(member):
			suspects = append(suspects, addr)
		case member.HasGuardian(m.cfg.Self):
			known(m.leases.LastHeartbeatAt(addr).Add(m.unresponsiveTimeout(member) + justAfter))
		}
	}
	m.mu.Unlock()
	for _, addr := range suspects {
		f.fenceUnresponsive(now, addr)
	}
	for _, addr := range fenced {
		f.takeOver(now, addr)
	}
	return next
}

// unresponsiveTimeout returns how long member may be unresponsive before this
// member acts: its guardians act first, in their order, and then all other
// members by rank. The caller holds the mutex.
func (m *Mesh) unresponsiveTimeout(member *directory.Member) time.Duration {
	if i := slices.Index(member.Guardians, m.cfg.Self); i >= 0 {
		return tenure.HeartbeatTimeout + time.Duration(i)*rankDelay
	}
	return nonGuardianTimeout + m.heartbeatRotationTime() + time.Duration(m.rank(member.Address))*rankDelay
}

// rank returns the number of active members that precede this one in the
// directory, not counting addr.
func (m *Mesh) rank(addr netip.AddrPort) int {
	rank := 0
	for _, member := range m.dir.Members() {
		if member.Address == m.cfg.Self {
			break
		}
		if member.Address != addr && member.State == directory.Active {
			rank++
		}
	}
	return rank
}

// fenceUnresponsive fences a member that is unresponsive, unless another of its
// guardians receives its heartbeats.
func (f *failover) fenceUnresponsive(now time.Time, addr netip.AddrPort) {
	m := f.mesh
	if now.Sub(f.askedAt[addr]) < rankDelay {
		return
	}
	f.askedAt[addr] = now
	go func() {
		if m.heardByOtherGuardian(addr) {
			return
		}
		m.log.Warn("member is silent", "member", addr, "limit", tenure.HeartbeatTimeout)
		m.logCommitError("fence", m.commit("fence", func(dir *directory.Directory) []directory.Entry {
			member := dir.Member(addr)
			if member == nil || member.State == directory.Fenced || boottime.Now().Sub(m.leases.LastHeartbeatAt(addr)) < tenure.HeartbeatTimeout {
				return nil
			}
			fenced := *member
			fenced.State, fenced.FencedBy, fenced.FencedAt = directory.Fenced, m.cfg.Self, dir.Version()
			return []directory.Entry{fenced.PutEntry()}
		}))
	}()
}

// heardByOtherGuardian reports whether another guardian of addr has received a later
// heartbeat from it than this member.
func (m *Mesh) heardByOtherGuardian(addr netip.AddrPort) bool {
	m.mu.Lock()
	ownSilence := boottime.Now().Sub(m.leases.LastHeartbeatAt(addr))
	var guardians []netip.AddrPort
	if member := m.dir.Member(addr); member != nil {
		guardians = slices.Clone(member.Guardians)
	}
	m.mu.Unlock()
	for _, guardian := range guardians {
		if guardian == m.cfg.Self {
			continue
		}
		ctx, cancel := m.withTimeout(peerTimeout / 2)
		reply, err := m.pool.Call(ctx, guardian, &peerpb.Call{Kind: &peerpb.Call_Heard{Heard: &peerpb.Heard{Member: addr.String()}}})
		cancel()
		if err == nil && reply.HeardMs >= 0 && tenure.HeardLaterHeartbeat(ownSilence, time.Duration(reply.HeardMs)*time.Millisecond) {
			return true
		}
	}
	return false
}

// handleHeard returns how long ago this member last heard from another one, in
// milliseconds, or -1 if it never did.
func (m *Mesh) handleHeard(heard *peerpb.Heard) *peerpb.Reply {
	addr, err := netip.ParseAddrPort(heard.Member)
	if err != nil {
		return &peerpb.Reply{Error: "member " + heard.Member + " is not an address"}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	at := m.leases.LastHeartbeatAt(addr)
	if at.IsZero() {
		return &peerpb.Reply{HeardMs: -1}
	}
	return &peerpb.Reply{HeardMs: boottime.Now().Sub(at).Milliseconds()}
}

// takeOver gathers the confirmations of a member's fence, and reassigns the
// member's keys once its lease can no longer be valid.
func (f *failover) takeOver(now time.Time, addr netip.AddrPort) {
	const confirmInterval = 100 * time.Millisecond
	m := f.mesh
	m.mu.Lock()
	member := m.dir.Member(addr)
	since, known := m.leases.FencedSince(addr)
	responsible := known && (member.FencedBy == m.cfg.Self ||
		now.Sub(since) > 2*tenure.LeaseOf(member)+time.Duration(m.rank(addr))*rankDelay)
	if !responsible {
		m.mu.Unlock()
		return
	}
	mayTakeOver := m.leases.MayTakeOver(now, m.dir, addr)
	settled := m.leases.EraSettled(now, m.dir)
	if len(m.dir.OwnedBy(addr)) == 0 && now.Sub(since) < fencedRetention {
		m.mu.Unlock()
		return
	}
	m.mu.Unlock()
	if mayTakeOver {
		if !settled {
			return
		}
		m.logCommitError("take", m.commit("take", func(dir *directory.Directory) []directory.Entry {
			return m.takeoverEntries(dir, addr)
		}))
		return
	}
	if now.Sub(f.askedAt[addr]) < confirmInterval {
		return
	}
	f.askedAt[addr] = now
	m.mu.Lock()
	unconfirmed := m.leases.Unconfirmed(m.dir, addr)
	m.mu.Unlock()
	for _, guardian := range unconfirmed {
		go m.bringUpToDate(guardian, member.FencedAt)
	}
}

// takeoverEntries returns the entries that remove a fenced member and
// distribute its keys among the other members of its service.
func (m *Mesh) takeoverEntries(dir *directory.Directory, addr netip.AddrPort) []directory.Entry {
	now := boottime.Now()
	member := dir.Member(addr)
	if member == nil || !m.leases.MayTakeOver(now, dir, addr) || !m.leases.EraSettled(now, dir) {
		return nil
	}
	candidates := m.receiverCandidates(now, member.Service, addr)
	if len(candidates) == 0 {
		return []directory.Entry{member.DeleteEntry()} // the planner assigns the keys once a member accepts them
	}
	entries, ranges := joinNeighbours(dir, addr)
	entries = append(entries, spreadRanges(dir, ranges, placement.NewDistribution(candidates, placement.Receivers(candidates)))...)
	return append(entries, member.DeleteEntry())
}

// joinNeighbours returns the ranges of the member at addr, with neighbouring ones joined, and
// the entries that remove those that were joined to the one before them.
func joinNeighbours(dir *directory.Directory, addr netip.AddrPort) ([]directory.Entry, []directory.Assignment) {
	var entries []directory.Entry
	var ranges []directory.Assignment
	for _, a := range dir.OwnedBy(addr) {
		if n := len(ranges); n > 0 && ranges[n-1].Service == a.Service && int(ranges[n-1].Last)+1 == int(a.First) {
			entries = append(entries, a.DeleteEntry())
			ranges[n-1].Last = a.Last
			continue
		}
		ranges = append(ranges, *a)
	}
	return entries, ranges
}

// receiverCandidates returns the members that accept keys of a service, except
// exclude, least loaded first. The caller holds the mutex.
func (m *Mesh) receiverCandidates(now time.Time, service string, exclude netip.AddrPort) []placement.Load {
	return placement.AcceptingLoads(slices.DeleteFunc(m.loadsOf(now, service), func(l placement.Load) bool { return l.Member == exclude }))
}

// spreadRanges returns the entries that assign ranges to the receivers of distribution in
// proportion to their capacity. The widest ranges are split, and narrow ones are
// assigned whole: each range costs a grant to renew, and an entry that all members read at
// startup.
func spreadRanges(dir *directory.Directory, ranges []directory.Assignment, distribution *placement.Distribution) []directory.Entry {
	total := 0
	for i := range ranges {
		total += ranges[i].Width()
	}
	slices.SortStableFunc(ranges, func(a, b directory.Assignment) int { return cmp.Compare(b.Width(), a.Width()) })
	parts := max(len(ranges), distribution.Len(), evacuationParts)
	entries := make([]directory.Entry, 0, parts)
	for i, a := range ranges {
		others := len(ranges) - i - 1 // each of which needs a part
		count := min(splitCount(a.Width(), total, distribution.Len()), parts-others)
		parts -= count
		before, after := dir.Neighbours(&a)
		receivers := distribution.Choose(count, before, after)
		owners := make([]netip.AddrPort, 0, len(receivers))
		weights := make([]float64, 0, len(receivers))
		for _, r := range receivers {
			owners = append(owners, r.Member)
			weights = append(weights, r.Capacity())
		}
		entries = append(entries, dir.Distribute(a, owners, weights)...)
	}
	return entries
}

// splitCount returns the number of members among which a range of the given
// width is split, out of a total number of keys: in proportion to its share of
// the keys, or placement.MaxReceivers if that is more, since it is not known
// which of its keys are busy. A range is not split into parts narrower than
// minWidth keys, and a range narrower than an equal share of the keys is not
// split at all.
func splitCount(width, total, candidates int) int {
	const minWidth = 8
	if width < total/candidates {
		return 1
	}
	share := (width*candidates + total - 1) / total
	return max(1, min(candidates, width/minWidth, max(share, placement.MaxReceivers)))
}
