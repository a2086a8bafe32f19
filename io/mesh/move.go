package mesh

import (
	"cmp"
	"context"
	"errors"
	"net/netip"
	"slices"
	"time"

	"siskinknot/core/directory"
	"siskinknot/core/outcome"
	"siskinknot/core/placement"
	"siskinknot/core/request"
	"siskinknot/io/boottime"
	"siskinknot/io/peer/peerpb"
)

const (
	// releaseTimeout limits how long a release may wait for the requests in
	// progress on its keys.
	releaseTimeout = 1500 * time.Millisecond
	// evacuationParts is the approximate number of parts into which all keys of
	// a member are split when they are transferred. Each part costs a grant to
	// renew, and an entry that all members read at startup.
	evacuationParts = 24
)

// handleYield transfers some of this member's load to another member.
func (m *Mesh) handleYield(yield *peerpb.Yield) *peerpb.Reply {
	to, err := netip.ParseAddrPort(yield.To)
	if err != nil {
		return &peerpb.Reply{Error: "receiver " + yield.To + " is not an address"}
	}
	now := boottime.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.zoneEvacuated() {
		return &peerpb.Reply{}
	}
	if m.transfers >= placement.MaxMoves || m.merging || m.leaving || m.evacuating {
		return &peerpb.Reply{}
	}
	if !m.mayReassign(now) || yield.Service != m.cfg.Service || !m.leases.Holds(now, m.dir) {
		return &peerpb.Reply{}
	}
	h, ok := m.pickRange(yield.Demand)
	if !ok {
		return &peerpb.Reply{}
	}
	m.transfers++
	m.log.Info("passing keys on", "first", h.First, "last", h.Last, "to", to, "demand", yield.Demand)
	go func() {
		m.transferAll([]*holding{h}, func(int) netip.AddrPort { return to })
		m.mu.Lock()
		m.transfers--
		m.mu.Unlock()
	}()
	return &peerpb.Reply{Granted: true}
}

// pickRange chooses a range of keys with about the given demand, and closes it.
// The caller holds the mutex.
func (m *Mesh) pickRange(demand float64) (*holding, bool) {
	now := boottime.Now()
	var movable []*holding
	var ranges []placement.KeyRange
	for _, h := range m.holdings {
		if !h.closeRequested && !h.grantInFlight && h.granted && now.Sub(h.ownedSince) >= placement.MinMoveInterval {
			movable = append(movable, h)
			ranges = append(ranges, placement.KeyRange{First: h.First, Last: h.Last})
		}
	}
	i, part, ok := m.keyLoad.Choose(now, ranges, len(m.holdings), demand)
	if !ok {
		return nil, false
	}
	return m.splitAndClose(movable[i], part.First, part.Last), true
}

// splitAndClose splits the holding h, which has no grant call in progress, so
// that the keys from first to last form a holding of their own, and closes that
// holding: at once, or with the next answer to a heartbeat of the target if that is
// what releases them. The caller holds the mutex.
func (m *Mesh) splitAndClose(h *holding, first, last uint16) *holding {
	part := *h
	_, byCall := m.delivery.(callDelivery)
	part.First, part.Last, part.closeRequested, part.closing = first, last, true, byCall
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

// transferAll releases closed holdings and transfers the i-th one to the member
// receiver(i), each as soon as its own requests have finished.
func (m *Mesh) transferAll(parts []*holding, receiver func(i int) netip.AddrPort) {
	done := make(chan struct{}, len(parts))
	for i, h := range parts {
		go func() {
			m.transferRange(h, receiver(i))
			done <- struct{}{}
		}()
	}
	for range parts {
		<-done
	}
}

// transferRange releases a closed holding and transfers it to another member.
// If the directory cannot be changed, the holding is reopened.
func (m *Mesh) transferRange(h *holding, to netip.AddrPort) {
	startedAt := boottime.Now()
	ctx, cancel := m.withTimeout(releaseTimeout)
	handover, ok := m.release(ctx, h)
	cancel()
	if !ok {
		m.reopen(h)
		return
	}
	releasedAt := boottime.Now()
	err := m.reassign(&rangeTransfer{holding: h, to: to, handover: handover})
	if err == nil {
		m.mu.Lock()
		now := boottime.Now()
		// Requests for these keys no longer arrive here.
		m.demand.Subtract(now, m.keyLoad.Demand(now, h.First, h.Last))
		m.mu.Unlock()
	}
	m.log.Info("keys passed on", "first", h.First, "last", h.Last, "to", to, "warm", handover != "",
		"release_ms", releasedAt.Sub(startedAt).Milliseconds(), "write_ms", boottime.Now().Sub(releasedAt).Milliseconds())
	var pending *pendingChangeError
	if errors.As(err, &pending) {
		m.settle(pending.base)
	}
	if err != nil {
		m.reopen(h)
	}
}

// rangeTransfer is a closed holding whose keys the target has released.
type rangeTransfer struct {
	holding  *holding
	to       netip.AddrPort
	handover string
	// result receives nil once the directory names the new owner, or the error
	// if it does not. It is created by reassign.
	result chan error
}

// reassign assigns released keys to their new owner. Keys that are released
// while a directory change is in progress share the next change, since each
// change delays all others.
func (m *Mesh) reassign(t *rangeTransfer) error {
	t.result = make(chan error, 1)
	m.mu.Lock()
	m.pendingTransfers = append(m.pendingTransfers, t)
	flushing := !m.reassigning
	m.reassigning = true
	m.mu.Unlock()
	for flushing {
		m.reassignPending()
		m.mu.Lock()
		flushing = len(m.pendingTransfers) > 0
		m.reassigning = flushing
		m.mu.Unlock()
	}
	return <-t.result
}

// reassignPending assigns all pending transfers to their new owners.
func (m *Mesh) reassignPending() {
	var batch []*rangeTransfer
	err := m.commit("move", func(dir *directory.Directory) []directory.Entry {
		batch = append(batch, m.pendingTransfers...)
		m.pendingTransfers = nil
		return m.transferEntries(dir, batch)
	})
	m.logCommitError("move", err)
	m.mu.Lock()
	defer m.mu.Unlock()
	if batch == nil { // the change was not attempted
		batch, m.pendingTransfers = m.pendingTransfers, nil
	}
	for _, t := range batch {
		if err != nil && m.stillOwns(m.dir, t.holding) != nil {
			t.result <- err
			continue
		}
		t.result <- nil
	}
}

// transferEntries returns the entries that assign the keys of batch to their
// new owners.
func (m *Mesh) transferEntries(dir *directory.Directory, batch []*rangeTransfer) []directory.Entry {
	slices.SortFunc(batch, func(a, b *rangeTransfer) int { return cmp.Compare(a.holding.First, b.holding.First) })
	m.replaceReceivers(dir, batch)
	transfers := map[*directory.Assignment][]directory.Transfer{}
	var order []*directory.Assignment
	for _, t := range batch {
		a := m.stillOwns(dir, t.holding)
		if a == nil {
			continue
		}
		if len(transfers[a]) == 0 {
			order = append(order, a)
		}
		transfers[a] = append(transfers[a], directory.Transfer{First: t.holding.First, Last: t.holding.Last, To: t.to, Handover: t.handover})
	}
	entries := make([]directory.Entry, 0, 2*len(batch))
	for _, a := range order {
		entries = append(entries, dir.Move(a, transfers[a])...)
	}
	return entries
}

// replaceReceivers gives keys whose receiver has left since the transfer began to other members
// in turn: the keys of a member that has left have no owner until the planner assigns them. The
// caller holds the mutex.
func (m *Mesh) replaceReceivers(dir *directory.Directory, batch []*rangeTransfer) {
	var others []placement.Load
	for i, t := range batch {
		if member := dir.Member(t.to); member != nil && member.State == directory.Active {
			continue
		}
		if others == nil {
			others = m.receiverCandidates(boottime.Now(), t.holding.Service, m.cfg.Self)
		}
		if len(others) > 0 {
			t.to = others[i%len(others)].Member
		}
	}
}

// stillOwns returns the assignment by which this member owns the keys of h, or
// nil.
func (m *Mesh) stillOwns(dir *directory.Directory, h *holding) *directory.Assignment {
	a := dir.AssignmentOf(h.Service, h.First)
	if a == nil || a.Owner != m.cfg.Self || a.Fence != h.Fence || a.Last < h.Last {
		return nil
	}
	return a
}

// reopen lets this member serve the keys of h again if it still owns them.
func (m *Mesh) reopen(h *holding) {
	m.mu.Lock()
	defer m.mu.Unlock()
	h.closeRequested, h.closing, h.granted = false, false, false
	m.notify()
}

// evacuateIfLeaving transfers all keys if the target is leaving, accepts no connections or
// has exited, or if its zone is evacuated.
func (m *Mesh) evacuateIfLeaving() {
	m.mu.Lock()
	defer m.mu.Unlock()
	targetLeaving := m.target.down || !m.target.refusingSince.IsZero() || !m.target.leavingSince.IsZero() || m.zoneEvacuated()
	if m.leaving {
		return // Leave transfers the keys
	}
	m.evacuating = targetLeaving && m.mayTransferAll(boottime.Now())
	if targetLeaving {
		m.evacuate()
	}
}

// evacuate starts to transfer all keys, unless a transfer or a grant call is in
// progress, or the store is unreachable: released keys could not be assigned to
// anyone. The caller holds the mutex.
func (m *Mesh) evacuate() {
	if m.transfers > 0 || m.merging || !m.divided() || !m.mayTransferAll(boottime.Now()) {
		return
	}
	if slices.ContainsFunc(m.holdings, func(h *holding) bool { return h.grantInFlight }) {
		return
	}
	parts, owners := m.planEvacuation()
	if len(parts) == 0 {
		m.evacuating = false
		return
	}
	m.log.Info("transferring all keys", "parts", len(parts))
	m.transfers++
	go func() {
		m.transferAll(parts, func(i int) netip.AddrPort { return owners[i] })
		m.mu.Lock()
		m.transfers--
		m.notify()
		m.mu.Unlock()
	}()
}

// planEvacuation closes all holdings, split so that several members receive
// load in proportion to their capacity, and returns the parts and the new owner
// of each. The caller holds the mutex.
func (m *Mesh) planEvacuation() ([]*holding, []netip.AddrPort) {
	now := boottime.Now()
	candidates := m.receiverCandidates(now, m.cfg.Service, m.cfg.Self)
	if len(candidates) == 0 {
		return nil, nil
	}
	distribution := placement.NewDistribution(candidates, placement.Receivers(candidates))
	partsPerHolding := max(1, evacuationParts/max(1, len(m.holdings)))
	var parts []*holding
	var owners []netip.AddrPort
	for _, h := range slices.Clone(m.holdings) {
		if h.closeRequested {
			continue
		}
		before, after := m.dir.Neighbours(&h.Assignment)
		receivers := distribution.Choose(partsPerHolding, before, after)
		weights := make([]float64, len(receivers))
		for j, r := range receivers {
			weights[j] = r.Capacity()
		}
		remaining := h
		for j, cut := range m.keyLoad.Divide(now, h.First, h.Last, weights) {
			if cut.First > cut.Last {
				continue
			}
			part := m.splitAndClose(remaining, cut.First, cut.Last)
			if cut.Last < h.Last {
				remaining = m.holdingOf(cut.Last + 1)
			}
			parts = append(parts, part)
			owners = append(owners, receivers[j].Member)
		}
	}
	return parts, owners
}

// Leave transfers this member's keys to others and removes its entry from the
// directory. It reports whether that was done before ctx ended. Requests are
// served meanwhile. A member of a shared service whose target stays up keeps
// its entry: it has no keys, and its next process can serve as soon as another
// member sends it the directory.
func (m *Mesh) Leave(ctx context.Context) bool {
	m.mu.Lock()
	m.leaving = true
	m.notify()
	m.mu.Unlock()
	m.log.Info("leaving")
	for m.evacuateRemaining(ctx) {
		time.Sleep(leavePollInterval)
	}
	if ctx.Err() != nil {
		return false
	}
	m.mu.Lock()
	staysMember := !m.divided() && m.target.accepting()
	keysLeft := len(m.holdings) > 0 && m.divided()
	m.mu.Unlock()
	if keysLeft || staysMember {
		return staysMember
	}
	exitEnded := m.exitEnded(ctx)
	removed := make(chan error, 1)
	go func() { removed <- m.removeOwnEntry(exitEnded) }()
	select {
	case err := <-removed:
		return err == nil
	case <-ctx.Done(): // the store may not answer
		return false
	}
}

// removeOwnEntry removes this member's entry from the directory if it has no keys, and that of its
// target's exit if exitEnded is set.
func (m *Mesh) removeOwnEntry(exitEnded bool) error {
	return m.commit("leave", func(dir *directory.Directory) []directory.Entry {
		me := dir.Member(m.cfg.Self)
		if me == nil || len(dir.OwnedBy(m.cfg.Self)) > 0 {
			return nil
		}
		entries := []directory.Entry{me.DeleteEntry()}
		if exit := dir.ExitAt(m.cfg.Self); exit.Instance != "" && exitEnded {
			entries = append(entries, exit.DeleteEntry())
		}
		return entries
	})
}

// StopAt declares that this process ends at stopsAt. Requests whose deadline is later than that
// are not sent to the local target any more, and from lateFrom on, Serve refuses them: they
// might be cut off while they run. Callers have not noticed before lateFrom that this daemon
// is leaving; other daemons are told with the next heartbeat.
func (m *Mesh) StopAt(lateFrom, stopsAt time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lateFrom, m.stopsAt = lateFrom, stopsAt
}

// outlivesStop reports whether a request that arrives at now and has the given deadline may
// still run when this process ends.
func (m *Mesh) outlivesStop(now, deadline time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return !m.stopsAt.IsZero() && !now.Before(m.lateFrom) && deadline.After(m.stopsAt)
}

// stopRefusal returns why a request that may still run when this process ends is not sent to
// the target, or nil; nil also if this member does not own the key, which ownershipRefusal
// tells. The caller holds the mutex.
func (m *Mesh) stopRefusal(now time.Time, head *request.Head, key uint16, divided bool) outcome.Result {
	if m.stopsAt.IsZero() || !head.Deadline.After(m.stopsAt) {
		return nil
	}
	if h := m.holdingOf(key); divided && (h == nil || h.closing) {
		return nil
	}
	refusal := outcome.NotRun{Reason: outcome.Stopping}
	if divided && (!m.mayTransferAll(now) || len(m.receiverCandidates(now, m.cfg.Service, m.cfg.Self)) == 0) {
		refusal.RetryAfter = max(m.stopsAt.Sub(now), lossRetryAfter) // no other member gets the key before
	}
	return refusal
}

// Drain refuses further requests for this daemon's target and waits until the
// requests in progress have finished and their answers are forwarded, and the target has
// released the keys that others got: nobody tells it to once this process has ended. It
// reports false if ctx ends first.
func (m *Mesh) Drain(ctx context.Context) bool {
	m.mu.Lock()
	m.draining = true
	m.mu.Unlock()
	for {
		if m.unfinished.Load() == 0 && !m.disownPending() {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-time.After(leavePollInterval):
		}
	}
}

// leavePollInterval is how often a leaving daemon checks whether its keys have
// been transferred and its requests have finished.
const leavePollInterval = 10 * time.Millisecond

// evacuateRemaining transfers the keys that this member still has, and reports
// whether Leave has to keep waiting.
func (m *Mesh) evacuateRemaining(ctx context.Context) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if ctx.Err() != nil || len(m.holdings) == 0 || !m.divided() {
		return false
	}
	mayTransfer := m.mayTransferAll(boottime.Now())
	m.evacuating = mayTransfer
	m.evacuate()
	return m.transfers > 0 || m.evacuating || !mayTransfer
}
