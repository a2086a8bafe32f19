package member

import (
	"context"
	"time"

	"siskinknot/core/dedup"
	"siskinknot/core/fleet"
	"siskinknot/core/lease"
	"siskinknot/core/record"
	"siskinknot/io/boottime"
	"siskinknot/io/peer/peerpb"
)

// Times of a release.
const (
	// drainTimeout is how long units are closed to new requests while the
	// running ones end, before the release is cancelled.
	drainTimeout = 500 * time.Millisecond
	// releasePollInterval is the time between two checks whether the release can
	// continue.
	releasePollInterval = 5 * time.Millisecond
	// handoverTimeout is the timeout of one message that hands over request
	// ids.
	handoverTimeout = 300 * time.Millisecond
)

// acceptMove starts a release of the units that the planner wants to move, and
// reports whether it did. It refuses a request of a former planner.
func (m *Member) acceptMove(now time.Time, move *peerpb.Move) bool {
	m.mu.Lock()
	svc := m.state.Service(move.Service)
	current := svc != nil && svc.Term == move.Term
	m.mu.Unlock()
	if !current || move.Service != m.cfg.Service {
		return false
	}
	transfers := make([]record.Transfer, 0, len(move.Units))
	for _, u := range move.Units {
		transfers = append(transfers, record.Transfer{
			Unit: record.Unit{Slot: int(u.Slot), Key: u.Key, Token: u.Token},
			To:   record.Incarnation(u.To),
		})
	}
	return m.startRelease(now, transfers)
}

// releaseAll starts a release of this daemon's units while it leaves the fleet,
// first of those without running requests.
func (m *Member) releaseAll(now time.Time) {
	m.mu.Lock()
	svc := m.state.Service(m.cfg.Service)
	var transfers []record.Transfer
	if svc != nil && !m.releasing {
		transfers = m.leaveTransfers(svc)
	}
	m.mu.Unlock()
	if len(transfers) > 0 {
		m.startRelease(now, transfers)
	}
}

// leaveTransfers returns the transfers of all units without running requests, or
// of one unit if every unit has running requests. The caller holds the mutex.
func (m *Member) leaveTransfers(svc *fleet.Service) []record.Transfer {
	receivers := m.state.Receivers(m.cfg.Service, m.id)
	if len(receivers) == 0 {
		return nil
	}
	var idle, busy []record.Transfer
	for i, unit := range svc.UnitsOwnedBy(m.id) {
		t := record.Transfer{Unit: unit, To: receivers[i%len(receivers)]}
		if m.requestsOn(m.cfg.Service, t) > 0 {
			busy = append(busy, t)
			continue
		}
		idle = append(idle, t)
	}
	if len(idle) == 0 && len(busy) > 0 {
		return busy[:1]
	}
	return idle
}

// startRelease closes the units of transfers to new requests and starts the
// task that releases them. It reports whether it did; only one release runs at
// a time.
func (m *Member) startRelease(now time.Time, transfers []record.Transfer) bool {
	m.mu.Lock()
	started := !m.releasing && m.leases.StartRelease(now, m.cfg.Service, transfers)
	if started {
		m.releasing = true
	}
	m.mu.Unlock()
	if !started {
		return false
	}
	m.tomb.Go(func() error {
		defer m.endRelease()
		m.release(now, transfers)
		return nil
	})
	return true
}

// endRelease allows the next release to start.
func (m *Member) endRelease() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.releasing = false
}

// release is the task of one release. It waits until the running requests have
// ended, hands over the request ids, waits until the first guardian has notice
// of the release, and appends the Release record until it is applied. It
// cancels the release if the log does not answer or one of these steps takes
// too long.
func (m *Member) release(start time.Time, transfers []record.Transfer) {
	wake(m.renewNow[0])
	m.mu.Lock()
	answerLimit := probeTimeout
	if self := m.state.Member(m.id); self != nil && self.Leaving {
		answerLimit = appendTimeout
	}
	m.mu.Unlock()
	if !m.logAnswers(answerLimit) || !m.waitDrained(start, transfers) || !m.sendHandovers(transfers) {
		m.cancelRelease()
		return
	}
	id := m.Incarnation()
	for {
		m.mu.Lock()
		rec, ok := m.leases.Release(boottime.Now())
		_, _, pending := m.leases.PendingRelease()
		sameIncarnation := m.id == id
		m.mu.Unlock()
		if !pending || !sameIncarnation {
			return
		}
		if ok {
			m.metrics.releases.Inc(1)
			m.tryAppend(rec)
			m.waitReleaseApplied(id)
			continue
		}
		if boottime.Now().Sub(start) > drainTimeout+handoverTimeout {
			m.cancelRelease()
			return
		}
		wake(m.renewNow[0])
		if !m.sleep(releasePollInterval) {
			return
		}
	}
}

// waitReleaseApplied waits until the release that incarnation id sent is
// applied, at most for resendAfter.
func (m *Member) waitReleaseApplied(id record.Incarnation) {
	ctx, cancel := m.timeout(resendAfter)
	defer cancel()
	for {
		m.mu.Lock()
		_, sent, pending := m.leases.PendingRelease()
		done := !pending || !sent || m.id != id
		applied := m.applied
		m.mu.Unlock()
		if done {
			return
		}
		select {
		case <-applied:
		case <-ctx.Done():
			m.RestartRead()
			return
		}
	}
}

// cancelRelease cancels the release, so that its units accept requests again.
func (m *Member) cancelRelease() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.leases.CancelRelease() {
		m.metrics.cancelledReleases.Inc(1)
	}
}

// waitDrained waits until no request runs on the units of transfers. It returns
// false if that takes longer than drainTimeout from start.
func (m *Member) waitDrained(start time.Time, transfers []record.Transfer) bool {
	for {
		m.mu.Lock()
		requests := 0
		for _, t := range transfers {
			requests += m.requestsOn(m.cfg.Service, t)
		}
		m.mu.Unlock()
		if requests == 0 {
			return true
		}
		if boottime.Now().Sub(start) > drainTimeout || !m.sleep(releasePollInterval) {
			return false
		}
	}
}

// requestsOn returns the number of requests on the unit of t that the target may
// be running. The caller holds the mutex.
func (m *Member) requestsOn(service string, t record.Transfer) int {
	if service != m.cfg.Service {
		return 0
	}
	n := 0
	for r := range m.requests {
		if lease.Covers(t.Unit, r.key, r.Claim.Unit) {
			n++
		}
	}
	for r := range m.abandoned {
		if lease.Covers(t.Unit, r.key, r.Claim.Unit) {
			n++
		}
	}
	return n
}

// sendHandovers sends the next owners the request ids that this daemon remembers
// for their units. It returns false if one of them did not receive its ids.
func (m *Member) sendHandovers(transfers []record.Transfer) bool {
	slots := map[record.Incarnation]map[int]bool{}
	for _, t := range transfers {
		if slots[t.To] == nil {
			slots[t.To] = map[int]bool{}
		}
		slots[t.To][t.Slot] = true
	}
	now := boottime.Now()
	for to, given := range slots {
		ids := m.requestIDs.EntriesInSlots(now, func(slot int) bool { return given[slot] })
		if len(ids) > 0 && !m.sendHandover(now, to, ids) {
			return false
		}
	}
	return true
}

// handoverBatchSize is the maximum number of request ids in one message.
const handoverBatchSize = 4096

// sendHandover sends ids to member to, and reports whether it received all of
// them.
func (m *Member) sendHandover(now time.Time, to record.Incarnation, ids []dedup.Entry) bool {
	m.mu.Lock()
	receiver := m.state.Member(to)
	m.mu.Unlock()
	if receiver == nil {
		return false
	}
	for len(ids) > 0 {
		n := min(len(ids), handoverBatchSize)
		msg := &peerpb.Handover{Service: m.cfg.Service}
		for _, e := range ids[:n] {
			msg.Ids = append(msg.Ids, &peerpb.RememberedID{
				IdHash:      uint64(e.ID),
				Slot:        uint32(e.Slot),
				ExpiresInMs: e.Expires.Sub(now).Milliseconds(),
			})
		}
		ids = ids[n:]
		ctx, cancel := m.timeout(handoverTimeout)
		_, err := m.pool.Call(ctx, receiver.DaemonAddress, &peerpb.Call{Kind: &peerpb.Call_Handover{Handover: msg}})
		cancel()
		if err != nil {
			return false
		}
	}
	return true
}

// acceptHandover stores the request ids that a former owner sent.
func (m *Member) acceptHandover(now time.Time, msg *peerpb.Handover) {
	entries := make([]dedup.Entry, 0, len(msg.Ids))
	for _, id := range msg.Ids {
		entries = append(entries, dedup.Entry{
			ID:      dedup.ID(id.IdHash),
			Slot:    int(id.Slot),
			Expires: now.Add(time.Duration(id.ExpiresInMs) * time.Millisecond),
		})
	}
	m.requestIDs.Add(now, entries)
}

// Leave removes this daemon from the fleet: it transfers its units once their
// requests have ended, and waits until no active member names it as guardian
// and no request is running. It returns true once that is done, and false if
// ctx ends first.
func (m *Member) Leave(ctx context.Context) bool {
	m.mu.Lock()
	m.leaving = true
	m.mu.Unlock()
	m.logger.Info("leaves the fleet")
	for {
		if m.hasLeft() {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-time.After(maintainInterval):
		}
	}
}

// Leaving reports whether this daemon is leaving the fleet.
func (m *Member) Leaving() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.leaving
}

// hasLeft reports whether this daemon has left the fleet: it owns no units, runs
// no requests and is a guardian of no active member.
func (m *Member) hasLeft() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.requests) > 0 || m.releasing {
		return false
	}
	self := m.state.Member(m.id)
	if self == nil {
		return true
	}
	if svc := m.state.Service(m.cfg.Service); svc != nil && len(svc.UnitsOwnedBy(m.id)) > 0 {
		return false
	}
	for _, mem := range m.state.Members() {
		if mem.HasGuardian(m.id) && !mem.Leaving && !mem.Succeeded {
			return false
		}
	}
	return self.Leaving
}
