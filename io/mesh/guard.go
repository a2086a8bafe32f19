package mesh

import (
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
	guardEvery = 50 * time.Millisecond
	// pauseLimit is the longest time between two rounds after which this
	// process trusts that it would have heard others meanwhile.
	pauseLimit = 300 * time.Millisecond
	// rankDelay keeps members that may all act on the same loss apart.
	rankDelay = 400 * time.Millisecond
	// orphanLimit is the silence after which any member acts.
	orphanLimit = 5 * tenure.SilenceLimit
	// emptyLimit is how long the entry of a fenced member without keys is kept:
	// others go on calling it, so that its next process learns the directory from
	// them. A restart takes a second or two.
	emptyLimit = 10 * time.Second
)

// guard is the task that fences silent members and passes on their keys.
func (m *Mesh) guard() error {
	g := guarding{mesh: m, lastRound: boottime.Now(), askedAt: map[netip.AddrPort]time.Time{}}
	return m.every(guardEvery, g.tick)
}

// guarding is the state of the task.
type guarding struct {
	mesh      *Mesh
	lastRound time.Time
	askedAt   map[netip.AddrPort]time.Time
}

// tick does one round.
func (g *guarding) tick(now time.Time) {
	m := g.mesh
	m.mu.Lock()
	paused := now.Sub(g.lastRound) > pauseLimit
	g.lastRound = now
	if !m.loaded || m.leaving {
		m.mu.Unlock()
		return
	}
	var suspects, fenced []netip.AddrPort
	holds := m.book.Holds(now, m.dir)
	for _, member := range m.dir.Members() {
		addr := member.Address
		if addr == m.cfg.Self {
			continue
		}
		if paused || m.book.HeardAt(addr).IsZero() {
			m.book.Heard(now, addr)
		}
		switch {
		case member.State == directory.Fenced:
			fenced = append(fenced, addr)
		case holds && now.Sub(m.book.HeardAt(addr)) > m.patience(member):
			suspects = append(suspects, addr)
		}
	}
	m.mu.Unlock()
	for _, addr := range suspects {
		g.suspect(now, addr)
	}
	for _, addr := range fenced {
		g.takeOver(now, addr)
	}
}

// patience returns the silence of member after which this one acts: guardians in
// their order, and then any other by rank. The caller holds the mutex.
func (m *Mesh) patience(member *directory.Member) time.Duration {
	if i := slices.Index(member.Guardians, m.cfg.Self); i >= 0 {
		return tenure.SilenceLimit + time.Duration(i)*rankDelay
	}
	return orphanLimit + m.turnTime() + time.Duration(m.rank(member.Address))*rankDelay
}

// rank returns the place of this member among all others but addr.
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

// suspect fences a silent member unless another of its guardians hears it.
func (g *guarding) suspect(now time.Time, addr netip.AddrPort) {
	m := g.mesh
	if now.Sub(g.askedAt[addr]) < rankDelay {
		return
	}
	g.askedAt[addr] = now
	go func() {
		if m.heardElsewhere(addr) {
			return
		}
		m.log.Warn("member is silent", "member", addr, "limit", tenure.SilenceLimit)
		m.logIf("fence", m.commit("fence", func(dir *directory.Directory) []directory.Entry {
			member := dir.Member(addr)
			if member == nil || member.State == directory.Fenced || boottime.Now().Sub(m.book.HeardAt(addr)) < tenure.SilenceLimit {
				return nil
			}
			fenced := *member
			fenced.State, fenced.FencedBy, fenced.FencedAt = directory.Fenced, m.cfg.Self, dir.End()
			return []directory.Entry{fenced.Put()}
		}))
	}()
}

// heardElsewhere reports whether another guardian of addr hears it.
func (m *Mesh) heardElsewhere(addr netip.AddrPort) bool {
	m.mu.Lock()
	var ask []netip.AddrPort
	if member := m.dir.Member(addr); member != nil {
		ask = slices.Clone(member.Guardians)
	}
	m.mu.Unlock()
	for _, other := range ask {
		if other == m.cfg.Self {
			continue
		}
		ctx, cancel := m.timeout(peerTimeout / 2)
		reply, err := m.pool.Ask(ctx, other, &peerpb.Call{Kind: &peerpb.Call_Heard{Heard: &peerpb.Heard{Member: addr.String()}}})
		cancel()
		if err == nil && reply.HeardMs >= 0 && time.Duration(reply.HeardMs)*time.Millisecond < tenure.SilenceLimit {
			return true
		}
	}
	return false
}

// answerHeard says how long ago a member was heard.
func (m *Mesh) answerHeard(heard *peerpb.Heard) *peerpb.Reply {
	addr, err := netip.ParseAddrPort(heard.Member)
	if err != nil {
		return &peerpb.Reply{Error: "member " + heard.Member + " is not an address"}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	at := m.book.HeardAt(addr)
	if at.IsZero() {
		return &peerpb.Reply{HeardMs: -1}
	}
	return &peerpb.Reply{HeardMs: boottime.Now().Sub(at).Milliseconds()}
}

// takeOver gathers the confirmations of a member's fence, and passes on its keys
// once nothing is left of its lease.
func (g *guarding) takeOver(now time.Time, addr netip.AddrPort) {
	const confirmEvery = 100 * time.Millisecond
	m := g.mesh
	m.mu.Lock()
	member := m.dir.Member(addr)
	since, known := m.book.FencedSince(addr)
	mine := known && (member.FencedBy == m.cfg.Self ||
		now.Sub(since) > 2*tenure.Duration+time.Duration(m.rank(addr))*rankDelay)
	if !mine {
		m.mu.Unlock()
		return
	}
	may := m.book.MayTake(now, m.dir, addr)
	if len(m.dir.OwnedBy(addr)) == 0 && now.Sub(since) < emptyLimit {
		m.mu.Unlock()
		return
	}
	m.mu.Unlock()
	if may {
		m.logIf("take", m.commit("take", func(dir *directory.Directory) []directory.Entry {
			return m.takeEntries(dir, addr)
		}))
		return
	}
	if now.Sub(g.askedAt[addr]) < confirmEvery {
		return
	}
	g.askedAt[addr] = now
	m.mu.Lock()
	ask := m.book.Unconfirmed(m.dir, addr)
	m.mu.Unlock()
	for _, guardian := range ask {
		go m.bring(guardian, member.FencedAt)
	}
}

// takeEntries returns the entries that remove a fenced member and spread its
// keys over the others of its service.
func (m *Mesh) takeEntries(dir *directory.Directory, addr netip.AddrPort) []directory.Entry {
	now := boottime.Now()
	member := dir.Member(addr)
	if member == nil || !m.book.MayTake(now, dir, addr) {
		return nil
	}
	takers := placement.Receivers(m.takers(now, member.Service, addr))
	if len(takers) == 0 {
		return []directory.Entry{member.Drop()} // the planner spreads them once there is somebody
	}
	owned := dir.OwnedBy(addr)
	ranges := make([]directory.Assignment, 0, len(owned))
	for _, a := range owned {
		ranges = append(ranges, *a)
	}
	return append(spread(dir, ranges, takers), member.Drop())
}

// takers returns the members that take keys of a service, but for not, least
// loaded first. The caller holds the mutex.
func (m *Mesh) takers(now time.Time, service string, not netip.AddrPort) []placement.Load {
	return placement.Takers(slices.DeleteFunc(m.loadsOf(now, service), func(l placement.Load) bool { return l.Member == not }))
}

// spread returns the entries that give ranges to takers by their room. Wide
// ranges are cut up, and narrow ones go whole to one after the other: each range
// is a grant to renew, and an entry that all members read when they start.
func spread(dir *directory.Directory, ranges []directory.Assignment, takers []placement.Load) []directory.Entry {
	total := 0
	for i := range ranges {
		total += ranges[i].Width()
	}
	entries := make([]directory.Entry, 0, len(ranges)+len(takers))
	next := 0
	for _, a := range ranges {
		n := pieces(a.Width(), total, len(takers))
		receivers := rotate(takers, next)[:n]
		next += n
		owners := make([]netip.AddrPort, 0, len(receivers))
		weights := make([]float64, 0, len(receivers))
		for _, t := range receivers {
			owners = append(owners, t.Member)
			weights = append(weights, t.Room())
		}
		entries = append(entries, dir.Spread(a, owners, weights)...)
	}
	return entries
}

// pieces returns among how many of takers a range is divided that has width of the
// total number of keys: as many as is its share of the keys, or a few if that is less,
// since nothing is known of which of its keys are busy; and none gets a sliver.
func pieces(width, total, takers int) int {
	const leastWidth = 8
	if width < total/takers {
		return 1
	}
	share := (width*takers + total - 1) / total
	return max(1, min(takers, width/leastWidth, max(share, placement.MostReceivers)))
}

// rotate returns list beginning with its element i.
func rotate(list []placement.Load, i int) []placement.Load {
	i %= len(list)
	return append(slices.Clone(list[i:]), list[:i]...)
}
