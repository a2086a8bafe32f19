package member

import (
	"time"

	"siskinknot/core/fleet"
	"siskinknot/core/lease"
	"siskinknot/io/boottime"
	"siskinknot/io/peer/peerpb"
)

// Times of the guard task.
const (
	guardInterval = 50 * time.Millisecond
	// takeoverRetryInterval is the minimum time between two attempts to take
	// over the units of the same member.
	takeoverRetryInterval = 60 * time.Millisecond
)

// guard is the task that detects lapses of this daemon's own lease and of those that
// it guards, and starts a takeover of the units of a lapsed holder. It also ends abandoned
// requests, and makes the follow task read again if records on the log are overdue.
func (m *Member) guard() error {
	for m.sleep(guardInterval) {
		now := boottime.Now()
		m.mu.Lock()
		m.leases.Tick(now)
		m.updateLeaseHeld(now)
		m.endAbandoned(now)
		leases := m.leases.LapsedLeases(now)
		behind := m.behind(now)
		m.mu.Unlock()
		if behind {
			m.RestartRead()
		}
		for _, lapsed := range leases {
			m.startTakeover(now, lapsed)
		}
	}
	return nil
}

// takeover is the state of the takeover of a member's units.
type takeover struct {
	// running is whether an attempt is in progress.
	running bool
	// next is when the next attempt may start.
	next time.Time
}

// startTakeover starts an attempt to take over the units of a holder whose lease
// has lapsed, unless an attempt is in progress or ended less than
// takeoverRetryInterval ago.
func (m *Member) startTakeover(now time.Time, lapsed lease.LapsedLease) {
	m.mu.Lock()
	last := m.takeovers[lapsed.Holder]
	due := !last.running && !now.Before(last.next)
	if due {
		m.takeovers[lapsed.Holder] = takeover{running: true}
	}
	other := m.state.Member(lapsed.Other)
	m.mu.Unlock()
	if !due {
		return
	}
	m.tomb.Go(func() error {
		m.takeOver(lapsed, other)
		m.mu.Lock()
		defer m.mu.Unlock()
		m.takeovers[lapsed.Holder] = takeover{next: boottime.Now().Add(takeoverRetryInterval)}
		return nil
	})
}

// takeOver makes one attempt to take over the units of a holder whose lease has
// lapsed: with a Revoke record if the log answers, or as the holder's heir if
// the log does not answer within probeTimeout. In the second case it tries the
// log once more afterwards, with a longer timeout.
func (m *Member) takeOver(lapsed lease.LapsedLease, other *fleet.Member) {
	if other != nil {
		m.askPromise(lapsed, other, false)
	}
	if m.logAnswers(probeTimeout) {
		m.revoke(lapsed)
		return
	}
	if lapsed.First && other != nil && m.holderInSameService(lapsed) {
		m.askPromise(lapsed, other, true)
		m.becomeHeir(lapsed)
	}
	if m.logAnswers(appendTimeout) {
		m.revoke(lapsed)
	}
}

// askPromise asks the other guardian to promise not to renew the lease, with an
// off-log promise if offLog is set, and records a given promise.
func (m *Member) askPromise(lapsed lease.LapsedLease, other *fleet.Member, offLog bool) {
	m.mu.Lock()
	id := m.id
	m.mu.Unlock()
	granted := m.ask(other, &peerpb.Call{Kind: &peerpb.Call_Promise{Promise: &peerpb.Promise{
		Holder: string(lapsed.Holder),
		Epoch:  lapsed.Epoch,
		From:   string(id),
		OffLog: offLog,
	}}})
	if !granted {
		return
	}
	req := lease.PromiseRequest{Holder: lapsed.Holder, Epoch: lapsed.Epoch, From: id, OffLog: offLog}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.leases.RecordPromise(boottime.Now(), other.ID, req)
}

// revoke appends the Revoke record of a lapsed lease if both guardians have
// promised not to renew it.
func (m *Member) revoke(lapsed lease.LapsedLease) {
	m.mu.Lock()
	rec, ok := m.leases.Revoke(boottime.Now(), lapsed.Holder)
	m.mu.Unlock()
	if !ok {
		return
	}
	m.metrics.revokes.Inc(1)
	if err := m.append(rec); err != nil {
		m.logger.Warn("revoke may not have taken effect", "of", lapsed.Holder, "error", err)
		return
	}
	m.logger.Info("revoked a lapsed member", "of", lapsed.Holder, "heir", rec.Heir)
	m.RestartRead()
}

// holderInSameService reports whether the holder of a lapsed lease is a member
// of this daemon's service.
func (m *Member) holderInSameService(lapsed lease.LapsedLease) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	holder := m.state.Member(lapsed.Holder)
	return holder != nil && holder.Service == m.cfg.Service
}

// becomeHeir makes this daemon the heir of the holder of a lapsed lease, if the
// rules of package lease allow it.
func (m *Member) becomeHeir(lapsed lease.LapsedLease) {
	m.mu.Lock()
	defer m.mu.Unlock()
	before := len(m.leases.HeirFor())
	if m.leases.BecomeHeir(boottime.Now(), lapsed.Holder) && len(m.leases.HeirFor()) > before {
		m.metrics.heirships.Inc(1)
		m.logger.Warn("serves as heir while the log is down", "of", lapsed.Holder)
	}
}
