package member

import (
	"time"

	"siskinknot/core/fleet"
	"siskinknot/core/lease"
	"siskinknot/core/record"
	"siskinknot/io/boottime"
	"siskinknot/io/peer"
	"siskinknot/io/peer/peerpb"
)

// askTimeout bounds a question to a guardian. It leaves time for another one on
// a new connection before a lease lapses.
const askTimeout = lease.RenewEvery * 3 / 4

// renew is the task that asks guardian number i (0 or 1) for renewals.
func (m *Member) renew(i int) error {
	for {
		select {
		case <-m.tomb.Dying():
			return nil
		case <-time.After(m.renewPause()):
		case <-m.renewNow[i]:
		}
		if !m.renewOnce(i) {
			// Without an answer the connection was dropped, and a new one may work.
			m.renewOnce(i)
		}
	}
}

// renewPause returns the time until the next renewal: shorter without a lease,
// since a guardian may just not have folded the pair yet.
func (m *Member) renewPause() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.book.Holds(boottime.Now()) {
		return lease.RenewEvery
	}
	return lease.RenewEvery / 4
}

// renewOnce asks guardian number i for one renewal, and reports whether there was
// none to ask for or it was granted.
func (m *Member) renewOnce(i int) bool {
	m.mu.Lock()
	req, ok := m.book.Renewal()
	var guardian *fleet.Member
	if ok {
		guardian = m.state.Member(m.state.Member(m.me).Pair[i])
	}
	m.mu.Unlock()
	if guardian == nil {
		return true
	}
	sentAt := boottime.Now()
	granted := m.ask(guardian, &peerpb.Call{Kind: &peerpb.Call_Renew{Renew: &peerpb.Renew{
		Holder:   string(req.Holder),
		Epoch:    req.Epoch,
		Releases: req.Releases,
	}}})
	m.metrics.renewals.Inc(1)
	if !granted {
		m.metrics.renewalErrors.Inc(1)
		return false
	}
	now := boottime.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.book.Renewed(now, sentAt, guardian.ID, req)
	m.renewedAt[i] = now
	m.noteHold(now)
	return true
}

// noteHold follows changes of whether this daemon holds its lease. The caller
// holds the mutex.
func (m *Member) noteHold(now time.Time) {
	holds := m.book.Holds(now)
	if holds == m.held {
		return
	}
	m.held = holds
	if holds {
		m.metrics.holds.Update(1)
		m.logger.Info("lease held", "incarnation", m.me)
		return
	}
	m.metrics.holds.Update(0)
	m.metrics.lapses.Inc(1)
	m.logger.Warn("lease lapsed", "incarnation", m.me)
	m.cancelWorks(func(w *Work) bool { return true })
}

// ask makes a control call to mem and reports whether it was granted.
func (m *Member) ask(mem *fleet.Member, call *peerpb.Call) bool {
	ctx, cancel := m.timeout(askTimeout)
	defer cancel()
	reply, err := m.pool.Ask(ctx, mem.Daemon, call)
	if err != nil {
		// The connection may have gone silent while a new one would work.
		m.pool.Drop(mem.Daemon, peer.Control)
		return false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expect(boottime.Now(), reply.NextOffset)
	return reply.Granted
}

// Answer serves a control call of another daemon.
func (m *Member) Answer(now time.Time, call *peerpb.Call) *peerpb.Reply {
	switch kind := call.Kind.(type) {
	case *peerpb.Call_Move:
		return &peerpb.Reply{Granted: m.acceptMove(now, kind.Move)}
	case *peerpb.Call_Handover:
		m.takeHandover(now, kind.Handover)
		return &peerpb.Reply{Granted: true}
	default:
		return m.answer(now, call)
	}
}

// answer serves the calls that only need the state.
func (m *Member) answer(now time.Time, call *peerpb.Call) *peerpb.Reply {
	m.mu.Lock()
	defer m.mu.Unlock()
	reply := &peerpb.Reply{NextOffset: m.state.Next()}
	switch kind := call.Kind.(type) {
	case *peerpb.Call_Renew:
		reply.Granted = m.book.Renew(now, lease.Renewal{
			Holder:   record.Incarnation(kind.Renew.Holder),
			Epoch:    kind.Renew.Epoch,
			Releases: kind.Renew.Releases,
		})
		if reply.Granted {
			m.metrics.granted.Inc(1)
		} else {
			m.metrics.refused.Inc(1)
		}
	case *peerpb.Call_Promise:
		reply.Granted = m.book.Promise(now, lease.PromiseRequest{
			Holder: record.Incarnation(kind.Promise.Holder),
			Epoch:  kind.Promise.Epoch,
			From:   record.Incarnation(kind.Promise.From),
			OffLog: kind.Promise.OffLog,
		})
		if reply.Granted {
			m.metrics.promises.Inc(1)
		}
	case *peerpb.Call_Consent:
		reply.Granted = m.book.Consent(now, record.Incarnation(kind.Consent.Holder), kind.Consent.Epoch)
	case *peerpb.Call_Report:
		reply.Granted = m.planning.take(now, m.me, m.state, kind.Report)
	case *peerpb.Call_Probe:
		reply.Granted = true
		reply.SettingsVersion = m.state.Settings().Version()
		reply.Holds = m.book.Holds(now)
	case *peerpb.Call_Fetch:
		state, err := m.state.Encode()
		if err != nil {
			reply.Error = err.Error()
		}
		reply.State = state
	default:
		reply.Error = "call does not exist"
	}
	return reply
}
