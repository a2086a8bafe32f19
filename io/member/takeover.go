package member

import (
	"time"

	"siskinknot/core/fleet"
	"siskinknot/core/lease"
	"siskinknot/io/boottime"
	"siskinknot/io/peer/peerpb"
)

// Times of the guard.
const (
	guardEvery = 50 * time.Millisecond
	// attemptEvery is the least time between two attempts to take over a ward.
	attemptEvery = 60 * time.Millisecond
)

// guard is the task that notices lapses: of the wards, which it takes over, and
// of this daemon's own lease.
func (m *Member) guard() error {
	for m.live(guardEvery) {
		now := boottime.Now()
		m.mu.Lock()
		m.book.Tick(now)
		m.noteHold(now)
		lapses := m.book.Lapses(now)
		behind := m.behind(now)
		m.mu.Unlock()
		if behind {
			m.Kick()
		}
		for _, lapse := range lapses {
			m.startTakeover(now, lapse)
		}
	}
	return nil
}

// attempt is the state of the takeover of a ward.
type attempt struct {
	running bool
	// next is when the next attempt may start.
	next time.Time
}

// startTakeover starts an attempt to take over a ward, unless one is under way
// or was just now.
func (m *Member) startTakeover(now time.Time, lapse lease.Lapse) {
	m.mu.Lock()
	last := m.attempts[lapse.Holder]
	due := !last.running && !now.Before(last.next)
	if due {
		m.attempts[lapse.Holder] = attempt{running: true}
	}
	other := m.state.Member(lapse.Other)
	m.mu.Unlock()
	if !due {
		return
	}
	m.tomb.Go(func() error {
		m.takeOver(lapse, other)
		m.mu.Lock()
		defer m.mu.Unlock()
		m.attempts[lapse.Holder] = attempt{next: boottime.Now().Add(attemptEvery)}
		return nil
	})
}

// takeOver makes one attempt to take the units of a lapsed ward: with a Revoke
// if the log answers, as its heir if it does not answer soon.
func (m *Member) takeOver(lapse lease.Lapse, other *fleet.Member) {
	if other != nil {
		m.askPromise(lapse, other, false)
	}
	if m.logAnswers(probeTimeout) {
		m.revoke(lapse)
		return
	}
	if lapse.First && other != nil && m.sameService(lapse) {
		m.askPromise(lapse, other, true)
		m.inherit(lapse)
	}
	if m.logAnswers(appendTimeout) {
		m.revoke(lapse)
	}
}

// askPromise asks the other guardian for its promise.
func (m *Member) askPromise(lapse lease.Lapse, other *fleet.Member, offLog bool) {
	m.mu.Lock()
	me := m.me
	m.mu.Unlock()
	granted := m.ask(other, &peerpb.Call{Kind: &peerpb.Call_Promise{Promise: &peerpb.Promise{
		Holder: string(lapse.Holder),
		Epoch:  lapse.Epoch,
		From:   string(me),
		OffLog: offLog,
	}}})
	if !granted {
		return
	}
	req := lease.PromiseRequest{Holder: lapse.Holder, Epoch: lapse.Epoch, From: me, OffLog: offLog}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.book.Promised(boottime.Now(), other.ID, req)
}

// revoke appends the Revoke of a lapsed ward if both guardians promised.
func (m *Member) revoke(lapse lease.Lapse) {
	m.mu.Lock()
	rec, ok := m.book.Revoke(boottime.Now(), lapse.Holder)
	m.mu.Unlock()
	if !ok {
		return
	}
	m.metrics.revokes.Inc(1)
	if err := m.append(rec); err != nil {
		m.logger.Warn("revoke may not have taken effect", "of", lapse.Holder, "error", err)
		return
	}
	m.logger.Info("revoked a lapsed member", "of", lapse.Holder, "heir", rec.Heir)
	m.Kick()
}

// sameService reports whether the ward's target is of this daemon's service.
func (m *Member) sameService(lapse lease.Lapse) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	ward := m.state.Member(lapse.Holder)
	return ward != nil && ward.Service == m.cfg.Service
}

// inherit makes this daemon the heir of a lapsed ward if it may be.
func (m *Member) inherit(lapse lease.Lapse) {
	m.mu.Lock()
	defer m.mu.Unlock()
	was := len(m.book.Inherited())
	if m.book.Inherit(boottime.Now(), lapse.Holder) && len(m.book.Inherited()) > was {
		m.metrics.heirs.Inc(1)
		m.logger.Warn("serves as heir while the log is down", "of", lapse.Holder)
	}
}
