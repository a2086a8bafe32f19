package mesh

import (
	"context"
	"slices"
	"time"

	"siskinknot/core/connbudget"
	"siskinknot/core/directory"
	"siskinknot/core/grantsync"
	"siskinknot/core/tenure"
	"siskinknot/io/boottime"
	"siskinknot/io/targetconn"
)

const (
	grantInterval = 50 * time.Millisecond
	// grantTimeout limits a grant call; the target is on the same VM.
	grantTimeout = 400 * time.Millisecond
	// grantTransit is how long a grant call may take to arrive at the target.
	grantTransit = 20 * time.Millisecond
	// minGrant is the shortest grant that is worth sending.
	minGrant = 150 * time.Millisecond
	// renewFraction is the fraction of a grant's duration after which it is
	// renewed, and renewInterval the longest time after which it is. A longer
	// grant leaves more time for the requests that begin just before a renewal.
	renewFraction = 0.4
	renewInterval = 450 * time.Millisecond
	// minRaiseDelay and maxRaiseDelay are the shortest and the longest time until the
	// fence of the same keys is raised again, if the target keeps refusing them.
	minRaiseDelay = 400 * time.Millisecond
	maxRaiseDelay = 30 * time.Second
)

// holding is a range that this member owns, with the state of its grant at the
// target.
type holding struct {
	directory.Assignment
	// granted is set while the target is known to hold the keys, until
	// grantedUntil.
	granted      bool
	grantedUntil time.Time
	grantedFor   time.Duration
	// grantOutdated is set while the target holds the keys by grants of ranges that the
	// directory has merged into this one.
	grantOutdated bool
	// grant holds until when the target may hold the keys.
	grant grantsync.Grant
	// grantInFlight is set while a grant call is in progress. unanswered is set once one
	// got no response, and unansweredUntil is when the last such grant has expired if the
	// target has received it by the time that the call was given up.
	grantInFlight   bool
	unanswered      bool
	unansweredUntil time.Time
	// grantTriedAt is when the last grant call began, and grantRetryAt when the next one may
	// begin after one that did not grant the keys.
	grantTriedAt, grantRetryAt time.Time
	// closing is set once the keys are being transferred to another owner.
	// closeRequested is set as well; if the target gets its grants in answers to
	// heartbeats, closing follows with the next answer, at closedAt. unlisted counts
	// the heartbeats since the range was last listed as held.
	closing        bool
	closeRequested bool
	closedAt       time.Time
	unlisted       int
	// ownedSince is when this member became the owner.
	ownedSince time.Time
	// heldElsewhereUntil is until when the target of another member may hold the keys,
	// because a stored range of that member contains them too, or did so until now; zero
	// if there is none.
	heldElsewhereUntil time.Time
	// fenceReused is set if another member may have had the keys with this fence or a
	// higher one. No member gives keys to another one so, but another writer may.
	fenceReused bool
}

// syncHoldings updates the holdings to the ranges that the directory assigns to
// this member. A part of an earlier holding keeps its grant. The caller holds
// the mutex.
func (m *Mesh) syncHoldings(now time.Time) {
	var next []*holding
	for _, a := range m.dir.OwnedBy(m.cfg.Self) {
		if a.Service != m.cfg.Service {
			continue
		}
		next = append(next, m.carryOver(now, a)...)
	}
	if slices.ContainsFunc(m.holdings, func(h *holding) bool { return h.mayHold(now) && !m.owns(h) }) {
		m.disowning.reopen()
	}
	m.holdings, m.syncedVersion = next, m.dir.Version()
}

// owns reports whether this member owns all keys of h. The caller holds the mutex.
func (m *Mesh) owns(h *holding) bool {
	a := m.dir.AssignmentOf(h.Service, h.First)
	return a != nil && a.Owner == m.cfg.Self && h.Last <= a.Last
}

// carryOver returns the holdings for a: existing ones where they have the same
// fence, and new ones elsewhere.
func (m *Mesh) carryOver(now time.Time, a *directory.Assignment) []*holding {
	if merged := m.mergedHolding(now, a); merged != nil {
		return []*holding{merged}
	}
	var list []*holding
	next := int(a.First)
	addNew := func(last int) {
		if next <= last {
			part := &holding{Assignment: *a, ownedSince: now}
			part.First, part.Last = uint16(next), uint16(last)
			part.grant.MayHoldUntil = m.formerGrantsEnd(now)
			// A grant of this daemon's former process may be applied long after it has expired.
			part.unanswered = !m.loaded || !part.grant.MayHoldUntil.IsZero()
			m.inheritGrants(part)
			part.fenceReused = a.Fence <= m.syncedVersion && !part.hasFormerFence(m.dir)
			contested := m.dir.Contested(&part.Assignment)
			if part.fenceReused || contested {
				part.heldElsewhereUntil = now.Add(tenure.LongestLease)
				m.log.Warn("keys may be held by the target of another owner", "first", part.First, "last", part.Last, "fence", part.Fence,
					"overlap", contested, "fence_reused", part.fenceReused, "granted_in_ms", tenure.LongestLease.Milliseconds())
			}
			list = append(list, part)
		}
	}
	for _, h := range m.holdings {
		if h.Service != a.Service || h.Fence != a.Fence || h.Last < a.First || a.Last < h.First {
			continue
		}
		addNew(int(h.First) - 1)
		if h.First < a.First || h.Last > a.Last {
			part := *h
			part.First, part.Last = max(h.First, a.First), min(h.Last, a.Last)
			h = &part
		}
		list = append(list, h)
		next = int(h.Last) + 1
	}
	addNew(int(a.Last))
	return list
}

// inheritGrants records what the target may still hold of part, a new holding, by grants with
// former fences. The caller holds the mutex.
func (m *Mesh) inheritGrants(part *holding) {
	for _, h := range m.holdings {
		if h.Service != part.Service || h.Last < part.First || part.Last < h.First {
			continue
		}
		part.extendMayHold(h.grant.MayHoldUntil)
		part.unanswered = part.unanswered || h.unanswered || h.grantInFlight
		part.unansweredUntil = tenure.Later(part.unansweredUntil, h.unansweredUntil)
	}
}

// formerGrantsEnd returns the time until which the target may hold keys under grants of
// this daemon's former process, or zero if that is certainly over. The former process
// granted keys for no longer than its lease. The caller holds the mutex.
func (m *Mesh) formerGrantsEnd(now time.Time) time.Time {
	me := m.dir.Member(m.cfg.Self)
	if me == nil {
		return time.Time{}
	}
	end := m.startedAt.Add(grantsync.LongestHold(tenure.LeaseOf(me)))
	if now.After(end) {
		return time.Time{}
	}
	return end
}

// dropGrants clears the state of all grants after the target's process has exited. If
// sameInstance is set, the next process has the same instance, and may have applied grants
// before its first heartbeat that were meant for the former one. The caller holds the mutex.
func (m *Mesh) dropGrants(sameInstance bool) {
	_, byCall := m.delivery.(callDelivery)
	for _, h := range m.holdings {
		h.granted, h.grantedUntil = false, time.Time{}
		h.unlisted = 0
		if sameInstance && byCall {
			h.unanswered = true
			continue
		}
		h.grant = grantsync.Grant{}
	}
	clear(m.fenceRaises)
}

// holdingOf returns the holding that contains key, or nil. The caller holds the
// mutex.
func (m *Mesh) holdingOf(key uint16) *holding {
	for _, h := range m.holdings {
		if h.Contains(key) {
			return h
		}
	}
	return nil
}

// runGrants is the task that grants the target its keys and renews the grants.
func (m *Mesh) runGrants() error {
	ticker := time.NewTicker(grantInterval)
	defer ticker.Stop()
	for {
		select {
		case <-m.tomb.Dying():
			return nil
		case <-ticker.C:
		case <-m.wake:
		}
		m.disownAfterLapse()
		for _, a := range m.reusedFences(boottime.Now()) {
			go m.raiseFence(a)
		}
		m.startDueGrants(boottime.Now())
		m.evacuateIfLeaving()
	}
}

// startDueGrants starts the grant calls that are due, as far as the connections for grants
// suffice. sendGrant calls it again when a call has ended.
func (m *Mesh) startDueGrants(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, byCall := m.delivery.(callDelivery); !byCall {
		return // the answers to the target's heartbeats grant the keys
	}
	if m.evacuating || !m.divided() || !m.mayGrant() {
		return
	}
	hold := m.grantDuration(now)
	m.logLease(now, hold >= minGrant)
	if hold < minGrant {
		return
	}
	due := m.dueGrants(now)
	for _, h := range due[:min(len(due), max(0, m.connBudget().Grants-m.grantCalls))] {
		h.grantInFlight, h.grantTriedAt = true, now
		m.grantCalls++
		go m.sendGrant(h.Assignment)
	}
}

// dueGrants returns the holdings whose grants are due, those first that have waited longest
// since their last call: a target that leaves some grants unanswered gets the others all the
// same. The caller holds the mutex.
func (m *Mesh) dueGrants(now time.Time) []*holding {
	mayGrantNew := m.mayGrantNew(now)
	var due []*holding
	for _, h := range m.holdings {
		if h.grantInFlight || h.closing || now.Before(h.grantRetryAt) || !h.grantIsDue(now) || !h.mayBeGranted(now, m.dir, mayGrantNew) {
			continue
		}
		if m.disowning.covers(h) {
			continue // the target would drop the keys again
		}
		due = append(due, h)
	}
	slices.SortStableFunc(due, func(a, b *holding) int { return a.grantTriedAt.Compare(b.grantTriedAt) })
	return due
}

// connBudget returns how many connections to the target each use may have. The caller holds
// the mutex.
func (m *Mesh) connBudget() connbudget.Budget {
	if m.table == nil {
		return connbudget.Divide(0)
	}
	svc, _ := m.table.Service(m.cfg.Service)
	return connbudget.Divide(svc.MaxConnections)
}

// logLease logs when this member's lease stops to cover a grant, and when it does so again.
// The caller holds the mutex.
func (m *Mesh) logLease(now time.Time, covers bool) {
	if covers == m.leaseCovers {
		return
	}
	m.leaseCovers = covers
	message := "lease covers no grant"
	if covers {
		message = "lease covers grants"
	}
	m.log.Info(message, "expires_in_ms", m.leases.HeldUntil(m.dir).Sub(now).Milliseconds(), "version", m.dir.Version(),
		"store_read_ms", now.Sub(m.leases.LastStoreReadAt()).Milliseconds())
}

// mayGrant reports whether the target is up and its process is the one that the
// directory names. A target that is leaving keeps its grants until its keys are
// transferred. The caller holds the mutex.
func (m *Mesh) mayGrant() bool {
	me := m.dir.Member(m.cfg.Self)
	return me != nil && m.target.Instance != "" && !m.target.down && !m.target.replaced &&
		me.Instance == m.target.Instance && me.Born == m.target.Born
}

// mayGrantTo reports whether p is still the target's current process as far as is known. The
// caller holds the mutex.
func (m *Mesh) mayGrantTo(p process) bool {
	return m.target.process() == p && !m.target.down && !m.target.replaced
}

// mayGrantNew reports whether keys may be granted that the target does not hold. After the
// store came back from a copy, another target may hold them for a while by a change that
// the store has lost. The caller holds the mutex.
func (m *Mesh) mayGrantNew(now time.Time) bool {
	return !m.eraPending() && m.leases.EraSettled(now, m.dir)
}

// mayHold reports whether the target may hold the keys of h at now, or later without a further
// grant.
func (h *holding) mayHold(now time.Time) bool {
	return h.granted || h.unanswered || h.grantInFlight || now.Before(h.grant.MayHoldUntil)
}

// clearGrants records that the target neither holds the keys nor will by a grant that was sent.
func (h *holding) clearGrants() { h.granted, h.unanswered, h.grant = false, false, grantsync.Grant{} }

// isHeld reports whether the target holds the keys of h at now.
func (h *holding) isHeld(now time.Time) bool { return h.granted && now.Before(h.grantedUntil) }

// mayBeGranted reports whether the keys of h may be granted at now: the target holds them,
// or mayGrantNew is set, the fence is of dir's era and new, and no other target may hold them.
// Another member may have had the keys with a higher fence of an earlier era by a change
// that the store has lost.
func (h *holding) mayBeGranted(now time.Time, dir *directory.Directory, mayGrantNew bool) bool {
	return h.isHeld(now) || (mayGrantNew && !h.hasFormerFence(dir) && !h.fenceReused && !now.Before(h.heldElsewhereUntil))
}

// hasFormerFence reports whether the fence of h is of an earlier era than dir.
func (h *holding) hasFormerFence(dir *directory.Directory) bool {
	return directory.EraOf(h.Fence) < directory.EraOf(dir.Version())
}

// formerFenceEntries returns the entries that give a fence of dir's era to the ranges of
// this member that its target does not hold and that are not being transferred. The caller
// holds the mutex.
func (m *Mesh) formerFenceEntries(now time.Time, dir *directory.Directory) []directory.Entry {
	var entries []directory.Entry
	for _, a := range dir.OwnedBy(m.cfg.Self) {
		held := slices.ContainsFunc(m.holdings, func(h *holding) bool {
			return h.Fence == a.Fence && a.Contains(h.First) && (h.isHeld(now) || h.closeRequested)
		})
		if a.Service != m.cfg.Service || held || directory.EraOf(a.Fence) == directory.EraOf(dir.Version()) {
			continue
		}
		raised := *a
		raised.Fence, raised.Handover = dir.NextFence(), ""
		entries = append(entries, raised.PutEntry())
	}
	return entries
}

// grantIsDue reports whether h has to be granted or renewed.
func (h *holding) grantIsDue(now time.Time) bool {
	if !h.granted || h.grantOutdated {
		return true
	}
	renewAfter := min(time.Duration(float64(h.grantedFor)*renewFraction), renewInterval)
	return h.grantedUntil.Sub(now) < h.grantedFor-renewAfter
}

// grantDuration returns how long a grant sent at now may last: no longer than
// the lease, even on the slowest clock; 0 without a lease. The caller holds the
// mutex.
func (m *Mesh) grantDuration(now time.Time) time.Duration {
	until := m.leases.HeldUntil(m.dir).Add(-grantTransit)
	if !until.After(now) {
		return 0 // subtracting from a zero time would overflow
	}
	return min(time.Duration(float64(until.Sub(now))/grantsync.ClockRateMargin), m.cfg.MaxGrant)
}

// sendGrant sends one grant to the target and records the result.
func (m *Mesh) sendGrant(a directory.Assignment) {
	ctx, cancel := m.withTimeout(grantTimeout)
	defer cancel()
	m.mu.Lock()
	process := m.target.process()
	m.mu.Unlock()
	var sentAt time.Time
	var hold time.Duration
	res, timing := m.targetClient.Grant(ctx, process.instance, a, func() time.Duration {
		sentAt = boottime.Now()
		hold = m.holdForGrant(sentAt, &a, process)
		return hold
	})
	m.mu.Lock()
	m.grantCalls--
	m.mu.Unlock()
	m.recordGrantResult(&a, sentAt, hold, res)
	m.startDueGrants(boottime.Now())
	m.logGrantCall(&a, sentAt, hold, res, timing)
	switch res {
	case GrantTargetDown:
		m.recordRefusedConnection(process)
	case GrantMisdirected:
		m.markTargetReplaced(process)
	case GrantStale:
		m.raiseFence(a)
	default:
	}
}

// holdForGrant returns for how long a grant of a that is written at now may last, and records
// it. It returns 0 if the grant may not be sent any more: time has passed since it was found
// to be due.
func (m *Mesh) holdForGrant(now time.Time, a *directory.Assignment, process process) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	hold := m.grantDuration(now)
	if hold < minGrant || !m.mayGrantTo(process) {
		return 0
	}
	current := m.dir.AssignmentOf(a.Service, a.First)
	if current == nil || current.Owner != m.cfg.Self || current.Fence != a.Fence || current.Last < a.Last {
		return 0
	}
	holdings := m.holdingsWithin(a)
	if slices.ContainsFunc(holdings, func(h *holding) bool { return h.closing }) {
		return 0
	}
	for _, h := range holdings {
		h.extendMayHold(now.Add(grantTimeout + grantsync.LongestHold(hold)))
	}
	return hold
}

// holdingsWithin returns the holdings with the fence of a whose keys are in a. The caller
// holds the mutex.
func (m *Mesh) holdingsWithin(a *directory.Assignment) []*holding {
	var list []*holding
	for _, h := range m.holdings {
		if h.Service == a.Service && h.Fence == a.Fence && a.First <= h.First && h.Last <= a.Last {
			list = append(list, h)
		}
	}
	return list
}

// extendMayHold records that the target may hold the keys until the given time.
func (h *holding) extendMayHold(until time.Time) {
	h.grant.MayHoldUntil = tenure.Later(h.grant.MayHoldUntil, until)
}

// logGrantCall logs a grant of a that got no answer or was not sent, and one that was written
// so long after sentAt, when its duration was determined, that the target may hold the keys
// beyond the lease.
func (m *Mesh) logGrantCall(a *directory.Assignment, sentAt time.Time, hold time.Duration, res GrantResult, timing targetconn.Timing) {
	message := "grant got no answer"
	switch {
	case timing.WrittenAt.Sub(sentAt) > grantTransit && !sentAt.IsZero():
		m.metrics.grantsWrittenLate.Inc(1)
		message = "grant was written late"
	case res == GrantNotSent:
		m.log.Warn("grant was not sent", "first", a.First, "last", a.Last, "fence", a.Fence, "connected", !sentAt.IsZero())
		return
	case res != GrantUnknown:
		return
	}
	now := boottime.Now()
	m.mu.Lock()
	heardAgo, mayHoldUntil := now.Sub(m.target.heardAt), now
	for _, h := range m.holdingsWithin(a) {
		mayHoldUntil = h.grant.MayHoldUntil
	}
	m.mu.Unlock()
	m.log.Warn(message, "result", res.String(), "first", a.First, "last", a.Last, "fence", a.Fence, "granted_ms", hold.Milliseconds(),
		"waited_ms", now.Sub(sentAt).Milliseconds(), "written_ms", max(-1, timing.WrittenAt.Sub(sentAt).Milliseconds()),
		"new_connection", timing.NewConnection, "expires_in_ms", mayHoldUntil.Sub(now).Milliseconds(), "target_heard_ms", heardAgo.Milliseconds())
}

// recordGrantResult records the result of a grant of a for the duration hold, which was
// written at sentAt. The range may have been split since then.
func (m *Mesh) recordGrantResult(a *directory.Assignment, sentAt time.Time, hold time.Duration, res GrantResult) {
	now := boottime.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, h := range m.holdingsWithin(a) {
		h.grantInFlight = false
		if res != GrantApplied {
			h.grantRetryAt = now.Add(grantInterval)
		}
		m.recordGrant(now, h, sentAt, hold, res)
	}
}

// recordGrant records the result, known at now, of a grant of h that was written at sentAt.
// The caller holds the mutex.
func (m *Mesh) recordGrant(now time.Time, h *holding, sentAt time.Time, hold time.Duration, res GrantResult) {
	switch res {
	case GrantApplied:
		delete(m.fenceRaises, h.First)
		newlyGranted := !h.granted
		h.granted, h.grantOutdated, h.grantedFor = true, false, hold
		h.grantedUntil = sentAt.Add(hold)
		h.grant.MayHoldUntil = now.Add(grantsync.LongestHold(hold))
		if newlyGranted {
			m.log.Info("keys granted", "first", h.First, "last", h.Last, "fence", h.Fence, "warm", h.Handover != "")
			m.notify()
		}
	case GrantStale:
		h.granted = false
		m.log.Warn("target has seen a higher fence", "first", h.First, "last", h.Last, "fence", h.Fence)
	case GrantUnknown:
		h.granted = h.granted && now.Before(h.grantedUntil)
		h.extendMayHold(now.Add(grantsync.LongestHold(hold)))
		h.unanswered, h.unansweredUntil = true, h.grant.MayHoldUntil
	case GrantMisdirected:
		h.granted = false
	case GrantTargetDown, GrantNotSent:
	}
}

// raiseFence gives an assignment of this member a higher fence, unless that was done
// recently and the target has not taken the keys since. A target that has seen a fence
// which the directory cannot reach refuses all of them.
func (m *Mesh) raiseFence(a directory.Assignment) {
	if !m.raiseDue(boottime.Now(), a.First) {
		return
	}
	m.logCommitError("fence", m.commit("raise fence", func(dir *directory.Directory) []directory.Entry {
		current := dir.AssignmentOf(a.Service, a.First)
		if current == nil || current.Owner != m.cfg.Self || current.Fence != a.Fence {
			return nil
		}
		raised := *current
		raised.Fence, raised.Handover = dir.NextFence(), ""
		return []directory.Entry{raised.PutEntry()}
	}))
}

// reusedFences returns the ranges whose fences have to be raised at now, since another member
// may have had the keys with them, and whose keys no target holds any more.
func (m *Mesh) reusedFences(now time.Time) []directory.Assignment {
	m.mu.Lock()
	defer m.mu.Unlock()
	var list []directory.Assignment
	for _, h := range m.holdings {
		if h.fenceReused && !now.Before(h.heldElsewhereUntil) {
			list = append(list, h.Assignment)
		}
	}
	return list
}

// raiseDue reports whether the fence of the range from first may be raised at now, and
// records that it is.
func (m *Mesh) raiseDue(now time.Time, first uint16) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	last := m.fenceRaises[first]
	if now.Before(last.nextAt) {
		return false
	}
	delay := min(max(2*last.delay, minRaiseDelay), maxRaiseDelay)
	m.fenceRaises[first] = backoff{nextAt: now.Add(delay), delay: delay}
	return true
}

// release ends the target's grant of the holding h, which is closing or is to close,
// and returns the handover for the next owner. The handover is empty if the grant had
// to expire. ok is false if the daemon stopped first.
func (m *Mesh) release(ctx context.Context, h *holding) (handover string, ok bool) {
	m.mu.Lock()
	idle := !h.granted && !h.unanswered && boottime.Now().After(h.grant.MayHoldUntil)
	d := m.delivery
	m.mu.Unlock()
	if idle {
		return "", true
	}
	switch d := d.(type) {
	case callDelivery:
		return m.releaseByCall(ctx, h)
	case *heartbeatDelivery:
		return m.awaitRelease(d, h)
	default:
		panic("unknown delivery of grants")
	}
}

// waitUntil waits until the clock reaches until, which may change meanwhile, and reports
// false if the daemon stops first. The caller holds the mutex, which is unlocked during
// the wait.
func (m *Mesh) waitUntil(until func() time.Time) bool {
	for {
		left := until().Sub(boottime.Now())
		if left <= 0 {
			return true
		}
		m.mu.Unlock()
		select {
		case <-m.tomb.Dying():
			m.mu.Lock()
			return false
		case <-time.After(min(left, grantInterval)):
		}
		m.mu.Lock()
	}
}
