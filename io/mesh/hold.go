package mesh

import (
	"context"
	"time"

	"siskinknot/core/directory"
	"siskinknot/io/boottime"
)

const (
	holdEvery = 50 * time.Millisecond
	// grantTimeout bounds a grant; the target is on the same VM.
	grantTimeout = 400 * time.Millisecond
	// clockRate covers a target whose clock runs slow by up to 2%, and ours.
	clockRate = 1.03
	// leastHold is the shortest grant worth making.
	leastHold = 150 * time.Millisecond
	// renewShare is the share of a grant after which it is renewed.
	renewShare = 0.4
)

// holding is an assignment of this member, and its grant at the target.
type holding struct {
	directory.Assignment
	// granted is set while the target is known to hold the keys, until
	// grantedUntil.
	granted      bool
	grantedUntil time.Time
	grantedFor   time.Duration
	// mayHoldUntil is when the target has surely ceased to hold the keys if
	// nothing more is sent.
	mayHoldUntil time.Time
	// calling is set while a grant is under way, and unansweredUntil is when the
	// last grant without an answer has surely run out, if it is applied late.
	calling         bool
	unansweredUntil time.Time
	// closing is set once the keys are on their way to another owner.
	closing bool
	// since is when the keys came to this member.
	since time.Time
}

// syncHoldings makes the holdings those that the directory gives this member. A
// part of a former holding keeps its grant. The caller holds the mutex.
func (m *Mesh) syncHoldings(now time.Time) {
	var next []*holding
	for _, a := range m.dir.OwnedBy(m.cfg.Self) {
		if a.Service != m.cfg.Service {
			continue
		}
		next = append(next, m.carryOver(now, a)...)
	}
	m.holdings = next
}

// carryOver returns the holdings for a: the present ones where they have the
// same fence, and new ones elsewhere.
func (m *Mesh) carryOver(now time.Time, a *directory.Assignment) []*holding {
	var list []*holding
	next := int(a.First)
	fresh := func(last int) {
		if next <= last {
			part := &holding{Assignment: *a, since: now}
			part.First, part.Last = uint16(next), uint16(last)
			list = append(list, part)
		}
	}
	for _, h := range m.holdings {
		if h.Service != a.Service || h.Fence != a.Fence || h.Last < a.First || a.Last < h.First {
			continue
		}
		fresh(int(h.First) - 1)
		if h.First < a.First || h.Last > a.Last {
			part := *h
			part.First, part.Last, part.calling = max(h.First, a.First), min(h.Last, a.Last), false
			h = &part
		}
		list = append(list, h)
		next = int(h.Last) + 1
	}
	fresh(int(a.Last))
	return list
}

// dropGrants forgets all grants: the target's process has ended. The caller
// holds the mutex.
func (m *Mesh) dropGrants() {
	for _, h := range m.holdings {
		h.granted, h.grantedUntil, h.mayHoldUntil = false, time.Time{}, time.Time{}
	}
}

// holdingOf returns the holding that key belongs to, or nil. The caller holds
// the mutex.
func (m *Mesh) holdingOf(key uint16) *holding {
	for _, h := range m.holdings {
		if h.Has(key) {
			return h
		}
	}
	return nil
}

// hold is the task that grants the target its keys and renews the grants.
func (m *Mesh) hold() error {
	ticker := time.NewTicker(holdEvery)
	defer ticker.Stop()
	for {
		select {
		case <-m.tomb.Dying():
			return nil
		case <-ticker.C:
		case <-m.wake:
		}
		m.grantDue(boottime.Now())
		m.evacuateIfLeaving()
	}
}

// grantDue starts the grants that are due.
func (m *Mesh) grantDue(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.draining || !m.divided() || !m.mayGrant() {
		return
	}
	hold := m.grantTime(now)
	if hold < leastHold {
		return
	}
	for _, h := range m.holdings {
		if h.calling || h.closing || !h.grantIsDue(now) {
			continue
		}
		h.calling = true
		go m.grant(h, h.Assignment)
	}
}

// mayGrant reports whether the target is the life that the directory names, and
// takes keys or had them before it began to leave. The caller holds the mutex.
func (m *Mesh) mayGrant() bool {
	me := m.dir.Member(m.cfg.Self)
	return me != nil && m.target.Instance != "" && !m.target.down &&
		me.Instance == m.target.Instance && me.Born == m.target.Born
}

// grantIsDue reports whether h has to be granted or renewed.
func (h *holding) grantIsDue(now time.Time) bool {
	if !h.granted {
		return true
	}
	return h.grantedUntil.Sub(now) < time.Duration(float64(h.grantedFor)*(1-renewShare))
}

// grantTime returns how long a grant sent at now may last: no longer than the
// lease, on the slowest clock; 0 without a lease. The caller holds the mutex.
func (m *Mesh) grantTime(now time.Time) time.Duration {
	const transit = 20 * time.Millisecond
	until := m.book.HeldUntil(m.dir).Add(-transit)
	if !until.After(now) {
		return 0 // the difference to a zero time would overflow
	}
	return min(time.Duration(float64(until.Sub(now))/clockRate), m.cfg.MaxHold)
}

// grant makes one grant.
func (m *Mesh) grant(h *holding, a directory.Assignment) {
	ctx, cancel := m.timeout(grantTimeout)
	defer cancel()
	m.mu.Lock()
	// Time may have passed since the grant was found to be due.
	sentAt := boottime.Now()
	hold := m.grantTime(sentAt)
	if hold < leastHold {
		h.calling = false
		m.mu.Unlock()
		return
	}
	if until := sentAt.Add(grantTimeout + time.Duration(float64(hold)*clockRate)); until.After(h.mayHoldUntil) {
		h.mayHoldUntil = until
	}
	m.mu.Unlock()
	res := m.out.Grant(ctx, a, hold)
	now := boottime.Now()
	m.mu.Lock()
	h.calling = false
	switch res {
	case GrantDone:
		first := !h.granted
		h.granted, h.grantedFor = true, hold
		h.grantedUntil = sentAt.Add(hold)
		h.mayHoldUntil = now.Add(time.Duration(float64(hold) * clockRate))
		if first {
			m.log.Info("keys granted", "first", a.First, "last", a.Last, "fence", a.Fence, "warm", a.Handover != "")
			m.notify()
		}
	case GrantStale:
		h.granted = false
		m.log.Warn("target has seen a higher fence", "first", a.First, "last", a.Last, "fence", a.Fence)
	case GrantUnknown:
		h.granted = h.granted && now.Before(h.grantedUntil)
		h.unansweredUntil = h.mayHoldUntil
	case GrantDown:
	}
	m.mu.Unlock()
	switch res {
	case GrantDown:
		m.targetDown()
	case GrantStale:
		m.renewFence(a)
	default:
	}
}

// renewFence gives an assignment of this member a higher fence.
func (m *Mesh) renewFence(a directory.Assignment) {
	m.logIf("fence", m.commit("raise fence", func(dir *directory.Directory) []directory.Entry {
		now := dir.AssignmentOf(a.Service, a.First)
		if now == nil || now.Owner != m.cfg.Self || now.Fence != a.Fence {
			return nil
		}
		raised := *now
		raised.Fence, raised.Handover = dir.Fence(), ""
		return []directory.Entry{raised.Put()}
	}))
}

// release ends the target's grant of the holding h, which is closing, and
// returns the handover for the next owner; it is empty if the target did not
// answer and the grant had to run out.
func (m *Mesh) release(ctx context.Context, h *holding) (handover string, ok bool) {
	m.mu.Lock()
	idle := !h.granted && boottime.Now().After(h.mayHoldUntil)
	m.mu.Unlock()
	if idle {
		return "", true
	}
	handover, err := m.out.Release(ctx, h.Assignment)
	if err != nil && ctx.Err() == nil {
		handover, err = m.out.Release(ctx, h.Assignment)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if err != nil {
		m.log.Warn("target did not release keys", "first", h.First, "last", h.Last, "fence", h.Fence, "error", err)
		return "", m.lapse(h.mayHoldUntil)
	}
	h.granted = false
	// A grant that has not been answered may be applied after the release.
	return handover, m.lapse(h.unansweredUntil)
}

// lapse waits until the clock reads until, and reports false if the daemon ends
// first. The caller holds the mutex, which is released meanwhile.
func (m *Mesh) lapse(until time.Time) bool {
	m.mu.Unlock()
	defer m.mu.Lock()
	for {
		left := until.Sub(boottime.Now())
		if left <= 0 {
			return true
		}
		select {
		case <-m.tomb.Dying():
			return false
		case <-time.After(min(left, holdEvery)):
		}
	}
}
