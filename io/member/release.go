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
	// drainLimit is how long units stay closed for the requests under way to
	// end, before the release is cancelled.
	drainLimit   = 500 * time.Millisecond
	releaseRetry = 5 * time.Millisecond
	// handoverTimeout bounds the handing over of request ids.
	handoverTimeout = 300 * time.Millisecond
)

// acceptMove starts the moves that the planner asks for, and reports whether it
// did.
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

// releaseAll passes on all units, while this daemon leaves: first those without
// requests under way.
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

// leaveTransfers returns the transfers of all units whose requests have ended,
// or of one unit if there are none such. The caller holds the mutex.
func (m *Member) leaveTransfers(svc *fleet.Service) []record.Transfer {
	takers := m.state.Takers(m.cfg.Service, m.me)
	if len(takers) == 0 {
		return nil
	}
	var idle, busy []record.Transfer
	for i, unit := range svc.UnitsOf(m.me) {
		t := record.Transfer{Unit: unit, To: takers[i%len(takers)]}
		if m.worksOn(m.cfg.Service, t) > 0 {
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

// startRelease closes the units of transfers and starts the task that releases
// them; it reports whether it did.
func (m *Member) startRelease(now time.Time, transfers []record.Transfer) bool {
	m.mu.Lock()
	started := !m.releasing && m.book.StartRelease(now, m.cfg.Service, transfers)
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

// endRelease lets the next release start.
func (m *Member) endRelease() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.releasing = false
}

// release is the task of one release: it waits until the requests under way
// have ended and the first guardian has notice of the release, hands over the
// request ids, and appends the record until it is folded.
func (m *Member) release(start time.Time, transfers []record.Transfer) {
	poke(m.renewNow[0])
	m.mu.Lock()
	patience := probeTimeout
	if self := m.state.Member(m.me); self != nil && self.Leaving {
		patience = appendTimeout
	}
	m.mu.Unlock()
	if !m.logAnswers(patience) || !m.drained(start, transfers) || !m.handOver(transfers) {
		m.cancelRelease()
		return
	}
	me := m.Me()
	for {
		m.mu.Lock()
		rec, ok := m.book.Release(boottime.Now())
		_, _, moving := m.book.Moving()
		same := m.me == me
		m.mu.Unlock()
		if !moving || !same {
			return
		}
		if ok {
			m.metrics.releases.Inc(1)
			m.try(rec)
			m.waitSettled(me)
			continue
		}
		if boottime.Now().Sub(start) > drainLimit+handoverTimeout {
			m.cancelRelease()
			return
		}
		poke(m.renewNow[0])
		if !m.live(releaseRetry) {
			return
		}
	}
}

// waitSettled waits until the release that was sent is folded, or for
// resendAfter.
func (m *Member) waitSettled(me record.Incarnation) {
	ctx, cancel := m.timeout(resendAfter)
	defer cancel()
	for {
		m.mu.Lock()
		_, sent, moving := m.book.Moving()
		settled := !moving || !sent || m.me != me
		folded := m.folded
		m.mu.Unlock()
		if settled {
			return
		}
		select {
		case <-folded:
		case <-ctx.Done():
			m.Kick()
			return
		}
	}
}

// cancelRelease opens the units again.
func (m *Member) cancelRelease() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.book.CancelRelease() {
		m.metrics.cancelledMove.Inc(1)
	}
}

// drained waits until no request is under way on the units of transfers, and
// reports false if that takes too long.
func (m *Member) drained(start time.Time, transfers []record.Transfer) bool {
	for {
		m.mu.Lock()
		works := 0
		for _, t := range transfers {
			works += m.worksOn(m.cfg.Service, t)
		}
		m.mu.Unlock()
		if works == 0 {
			return true
		}
		if boottime.Now().Sub(start) > drainLimit || !m.live(releaseRetry) {
			return false
		}
	}
}

// worksOn returns the number of requests under way on the unit of t. The caller
// holds the mutex.
func (m *Member) worksOn(service string, t record.Transfer) int {
	n := 0
	for w := range m.works {
		if service == m.cfg.Service && lease.Covers(t.Unit, w.key, w.Claim.Unit) {
			n++
		}
	}
	return n
}

// handOver tells the next owners which request ids this one remembers. It
// reports false if one of them did not take them.
func (m *Member) handOver(transfers []record.Transfer) bool {
	slots := map[record.Incarnation]map[int]bool{}
	for _, t := range transfers {
		if slots[t.To] == nil {
			slots[t.To] = map[int]bool{}
		}
		slots[t.To][t.Slot] = true
	}
	now := boottime.Now()
	for to, owned := range slots {
		ids := m.memory.OfSlots(now, func(slot int) bool { return owned[slot] })
		if len(ids) > 0 && !m.sendHandover(now, to, ids) {
			return false
		}
	}
	return true
}

// handoverChunk is the number of request ids in one message.
const handoverChunk = 4096

// sendHandover sends ids to the member to.
func (m *Member) sendHandover(now time.Time, to record.Incarnation, ids []dedup.Entry) bool {
	m.mu.Lock()
	next := m.state.Member(to)
	m.mu.Unlock()
	if next == nil {
		return false
	}
	for len(ids) > 0 {
		n := min(len(ids), handoverChunk)
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
		_, err := m.pool.Ask(ctx, next.Daemon, &peerpb.Call{Kind: &peerpb.Call_Handover{Handover: msg}})
		cancel()
		if err != nil {
			return false
		}
	}
	return true
}

// takeHandover remembers request ids of a former owner.
func (m *Member) takeHandover(now time.Time, msg *peerpb.Handover) {
	entries := make([]dedup.Entry, 0, len(msg.Ids))
	for _, id := range msg.Ids {
		entries = append(entries, dedup.Entry{
			ID:      dedup.ID(id.IdHash),
			Slot:    int(id.Slot),
			Expires: now.Add(time.Duration(id.ExpiresInMs) * time.Millisecond),
		})
	}
	m.memory.Add(now, entries)
}

// Leave takes this daemon out of the fleet in good order: it passes on its
// units once their requests have ended, waits until nobody names it as guardian
// and no request is under way, or until ctx ends. It reports whether all was
// done.
func (m *Member) Leave(ctx context.Context) bool {
	m.mu.Lock()
	m.leaving = true
	m.mu.Unlock()
	m.logger.Info("leaves the fleet")
	for {
		if m.left() {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-time.After(tendEvery):
		}
	}
}

// Leaving reports whether this daemon is leaving the fleet.
func (m *Member) Leaving() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.leaving
}

// left reports whether this daemon owns, runs and guards nothing any more.
func (m *Member) left() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.works) > 0 || m.releasing {
		return false
	}
	self := m.state.Member(m.me)
	if self == nil {
		return true
	}
	if svc := m.state.Service(m.cfg.Service); svc != nil && len(svc.UnitsOf(m.me)) > 0 {
		return false
	}
	for _, mem := range m.state.Members() {
		if mem.Guards(m.me) && !mem.Leaving && !mem.Succeeded {
			return false
		}
	}
	return self.Leaving
}
