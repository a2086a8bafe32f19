package mesh

import (
	"cmp"
	"context"
	"errors"
	"net/netip"
	"slices"
	"time"

	"siskinknot/core/directory"
	"siskinknot/core/placement"
	"siskinknot/io/boottime"
	"siskinknot/io/peer/peerpb"
)

const (
	// releaseTimeout is how long a release may wait for the work on its keys.
	releaseTimeout = 1500 * time.Millisecond
	// mostParts is about into how many parts all keys of a member are cut up when
	// they are passed on; each is a grant to renew, and an entry that all members
	// read when they start.
	mostParts = 24
)

// answerYield passes some of this member's work on to another.
func (m *Mesh) answerYield(yield *peerpb.Yield) *peerpb.Reply {
	to, err := netip.ParseAddrPort(yield.To)
	if err != nil {
		return &peerpb.Reply{Error: "receiver " + yield.To + " is not an address"}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.moves >= placement.MostMoves || m.leaving || m.draining || !m.storeOK || yield.Service != m.cfg.Service || !m.book.Holds(boottime.Now(), m.dir) {
		return &peerpb.Reply{}
	}
	h, ok := m.pickPart(yield.Demand)
	if !ok {
		return &peerpb.Reply{}
	}
	m.moves++
	m.log.Info("passing keys on", "first", h.First, "last", h.Last, "to", to, "demand", yield.Demand)
	go func() {
		m.pass([]*holding{h}, func(int) netip.AddrPort { return to })
		m.mu.Lock()
		m.moves--
		m.mu.Unlock()
	}()
	return &peerpb.Reply{Granted: true}
}

// pickPart chooses keys that make up about demand, and closes them. The caller
// holds the mutex.
func (m *Mesh) pickPart(demand float64) (*holding, bool) {
	now := boottime.Now()
	var movable []*holding
	var ranges []placement.Stretch
	for _, h := range m.holdings {
		if !h.closing && !h.calling && h.granted && now.Sub(h.since) >= placement.RestTime {
			movable = append(movable, h)
			ranges = append(ranges, placement.Stretch{First: h.First, Last: h.Last})
		}
	}
	i, part, ok := m.heat.Choose(now, ranges, len(m.holdings), demand)
	if !ok {
		return nil, false
	}
	return m.closePart(movable[i], part.First, part.Last), true
}

// closePart splits the holding h, of which no grant is under way, so that the
// keys from first to last are one of their own, and closes that one. The caller
// holds the mutex.
func (m *Mesh) closePart(h *holding, first, last uint16) *holding {
	part := *h
	part.First, part.Last, part.closing = first, last, true
	list := slices.DeleteFunc(slices.Clone(m.holdings), func(other *holding) bool { return other == h })
	if h.First < first {
		before := *h
		before.Last = first - 1
		list = append(list, &before)
	}
	if last < h.Last {
		after := *h
		after.First = last + 1
		list = append(list, &after)
	}
	list = append(list, &part)
	slices.SortFunc(list, func(a, b *holding) int { return cmp.Compare(a.First, b.First) })
	m.holdings = list
	m.notify()
	return &part
}

// pass releases closed holdings and gives each to the member that to names for
// it, each as soon as its own work has ended.
func (m *Mesh) pass(parts []*holding, to func(i int) netip.AddrPort) {
	done := make(chan struct{}, len(parts))
	for i, h := range parts {
		go func() {
			m.passOne(h, to(i))
			done <- struct{}{}
		}()
	}
	for range parts {
		<-done
	}
}

// passOne releases a closed holding and gives it to another member. If the
// directory cannot be changed, the keys are opened again.
func (m *Mesh) passOne(h *holding, to netip.AddrPort) {
	started := boottime.Now()
	ctx, cancel := m.timeout(releaseTimeout)
	handover, ok := m.release(ctx, h)
	cancel()
	if !ok {
		m.reopen(h)
		return
	}
	released := boottime.Now()
	err := m.reassign(&passing{holding: h, to: to, handover: handover})
	if err == nil {
		m.mu.Lock()
		now := boottime.Now()
		// Their requests will not come here any more.
		m.demand.Take(now, m.heat.Demand(now, h.First, h.Last))
		m.mu.Unlock()
	}
	m.log.Info("keys passed on", "first", h.First, "last", h.Last, "to", to, "warm", handover != "",
		"release_ms", released.Sub(started).Milliseconds(), "write_ms", boottime.Now().Sub(released).Milliseconds())
	var open *undecided
	if errors.As(err, &open) {
		m.settle(open.base)
	}
	if err != nil {
		m.reopen(h)
	}
}

// passing is a closed holding whose keys the target has released.
type passing struct {
	holding  *holding
	to       netip.AddrPort
	handover string
	// moved receives nil once the directory names the new owner, or why it does
	// not. It is made by reassign.
	moved chan error
}

// reassign gives released keys to their new owner. Keys that are released while a
// change is under way share the next one: each change of the directory is in the way
// of all others.
func (m *Mesh) reassign(p *passing) error {
	p.moved = make(chan error, 1)
	m.mu.Lock()
	m.released = append(m.released, p)
	first := !m.reassigning
	m.reassigning = true
	m.mu.Unlock()
	for first {
		m.reassignReleased()
		m.mu.Lock()
		first = len(m.released) > 0
		m.reassigning = first
		m.mu.Unlock()
	}
	return <-p.moved
}

// reassignReleased gives all released keys to their new owners.
func (m *Mesh) reassignReleased() {
	var batch []*passing
	err := m.commit("move", func(dir *directory.Directory) []directory.Entry {
		batch = append(batch, m.released...)
		m.released = nil
		return m.moveEntries(dir, batch)
	})
	m.logIf("move", err)
	m.mu.Lock()
	defer m.mu.Unlock()
	if batch == nil { // the change was not even tried
		batch, m.released = m.released, nil
	}
	for _, p := range batch {
		if err != nil && m.stillOwns(m.dir, p.holding) != nil {
			p.moved <- err
			continue
		}
		p.moved <- nil
	}
}

// moveEntries returns the entries that give the keys of batch to their new owners.
func (m *Mesh) moveEntries(dir *directory.Directory, batch []*passing) []directory.Entry {
	slices.SortFunc(batch, func(a, b *passing) int { return cmp.Compare(a.holding.First, b.holding.First) })
	parts := map[*directory.Assignment][]directory.Part{}
	var order []*directory.Assignment
	for _, p := range batch {
		a := m.stillOwns(dir, p.holding)
		if a == nil {
			continue
		}
		if len(parts[a]) == 0 {
			order = append(order, a)
		}
		parts[a] = append(parts[a], directory.Part{First: p.holding.First, Last: p.holding.Last, To: p.to, Handover: p.handover})
	}
	entries := make([]directory.Entry, 0, 2*len(batch))
	for _, a := range order {
		entries = append(entries, dir.Move(a, parts[a])...)
	}
	return entries
}

// stillOwns returns the assignment by which this member owns the keys of h, or nil.
func (m *Mesh) stillOwns(dir *directory.Directory, h *holding) *directory.Assignment {
	a := dir.AssignmentOf(h.Service, h.First)
	if a == nil || a.Owner != m.cfg.Self || a.Fence != h.Fence || a.Last < h.Last {
		return nil
	}
	return a
}

// reopen lets this member serve the keys of h again, if they are still its own.
func (m *Mesh) reopen(h *holding) {
	m.mu.Lock()
	defer m.mu.Unlock()
	h.closing, h.granted = false, false
	m.notify()
}

// evacuateIfLeaving passes all keys on if the target leaves or has ended.
func (m *Mesh) evacuateIfLeaving() {
	m.mu.Lock()
	defer m.mu.Unlock()
	gone := m.target.down || !m.target.leavingSince.IsZero()
	if m.leaving {
		return // Leave does it
	}
	m.draining = gone && m.storeOK
	if gone {
		m.evacuate()
	}
}

// evacuate starts to pass on all keys, unless a move or a grant is under way, or
// the store is away: keys that were released could go nowhere. The caller holds
// the mutex.
func (m *Mesh) evacuate() {
	if m.moves > 0 || !m.divided() || !m.storeOK || slices.ContainsFunc(m.holdings, func(h *holding) bool { return h.calling }) {
		return
	}
	parts, to := m.evacuation()
	if len(parts) == 0 {
		m.draining = false
		return
	}
	m.log.Info("passing all keys on", "parts", len(parts))
	m.moves++
	go func() {
		m.pass(parts, func(i int) netip.AddrPort { return to[i] })
		m.mu.Lock()
		m.moves--
		m.notify()
		m.mu.Unlock()
	}()
}

// evacuation closes all holdings, cut up so that several members get work by their
// room, and names the receiver of each part. The caller holds the mutex.
func (m *Mesh) evacuation() ([]*holding, []netip.AddrPort) {
	now := boottime.Now()
	takers := placement.Receivers(m.takers(now, m.cfg.Service, m.cfg.Self))
	if len(takers) == 0 {
		return nil, nil
	}
	each := max(1, min(len(takers), mostParts/max(1, len(m.holdings))))
	var parts []*holding
	var to []netip.AddrPort
	for i, h := range slices.Clone(m.holdings) {
		if h.closing {
			continue
		}
		receivers := rotate(takers, i*each)[:each]
		weights := make([]float64, each)
		for j, t := range receivers {
			weights[j] = t.Room()
		}
		rest := h
		for j, cut := range m.heat.Divide(now, h.First, h.Last, weights) {
			if cut.First > cut.Last {
				continue
			}
			part := m.closePart(rest, cut.First, cut.Last)
			if cut.Last < h.Last {
				rest = m.holdingOf(cut.Last + 1)
			}
			parts = append(parts, part)
			to = append(to, receivers[j].Member)
		}
	}
	return parts, to
}

// Leave passes this member's keys on and takes its entry out of the directory. It
// reports whether that was done before ctx ended. Requests are served meanwhile. A
// member of a shared service whose target stays keeps its entry: it has no keys,
// and its next process serves as soon as another member tells it the directory.
func (m *Mesh) Leave(ctx context.Context) bool {
	m.mu.Lock()
	m.leaving = true
	m.notify()
	m.mu.Unlock()
	m.log.Info("leaving")
	for m.hasKeysToPass(ctx) {
		time.Sleep(leavePoll)
	}
	if ctx.Err() != nil {
		return false
	}
	m.mu.Lock()
	returns := !m.divided() && m.target.accepting()
	m.mu.Unlock()
	if returns {
		return true
	}
	err := m.commit("leave", func(dir *directory.Directory) []directory.Entry {
		me := dir.Member(m.cfg.Self)
		if me == nil || len(dir.OwnedBy(m.cfg.Self)) > 0 {
			return nil
		}
		return []directory.Entry{me.Drop()}
	})
	return err == nil
}

// Finish refuses further requests for this daemon's target and waits until those
// under way have ended. It reports false if ctx ends first.
func (m *Mesh) Finish(ctx context.Context) bool {
	m.mu.Lock()
	m.finishing = true
	m.mu.Unlock()
	for {
		load := m.scheduler.Load()
		if load.Running == 0 && load.Queued == 0 {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-time.After(leavePoll):
		}
	}
}

// leavePoll is how often a leaving daemon looks whether its keys are passed on.
const leavePoll = 10 * time.Millisecond

// hasKeysToPass passes on what this member has, and reports whether there is
// more to wait for.
func (m *Mesh) hasKeysToPass(ctx context.Context) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if ctx.Err() != nil || len(m.holdings) == 0 || !m.divided() {
		return false
	}
	m.draining = m.storeOK
	m.evacuate()
	return m.moves > 0 || m.draining || !m.storeOK
}
