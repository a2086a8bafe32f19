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

// askTimeout is the timeout of a control call to another daemon. It leaves time
// for a second call on a new connection before a lease lapses.
const askTimeout = lease.RenewInterval * 3 / 4

// renew is the task that requests renewals of the lease from guardian number i
// (0 or 1).
func (m *Member) renew(i int) error {
	for {
		select {
		case <-m.tomb.Dying():
			return nil
		case <-time.After(m.renewDelay()):
		case <-m.renewNow[i]:
		}
		if !m.renewOnce(i) {
			// The first call may have failed because its connection stopped
			// responding; it was dropped, and the second call opens a new one.
			m.renewOnce(i)
		}
	}
}

// renewDelay returns the time until the next renewal request. It is shorter
// while this daemon holds no lease, since a guardian may refuse only because it
// has not applied the pair yet.
func (m *Member) renewDelay() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.leases.Holds(boottime.Now()) {
		return lease.RenewInterval
	}
	return lease.RenewInterval / 4
}

// renewOnce requests one renewal from guardian number i. It returns false if the
// guardian did not grant it, and true if there was nothing to request.
func (m *Member) renewOnce(i int) bool {
	m.mu.Lock()
	req, ok := m.leases.RenewalRequest()
	var guardian *fleet.Member
	if ok {
		guardian = m.state.Member(m.state.Member(m.id).Pair[i])
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
	m.leases.RecordRenewal(now, sentAt, guardian.ID, req)
	m.renewedAt[i] = now
	m.updateLeaseHeld(now)
	return true
}

// updateLeaseHeld records and logs whether this daemon holds its lease at now,
// if that has changed, and cancels all requests when the lease lapses. The
// caller holds the mutex.
func (m *Member) updateLeaseHeld(now time.Time) {
	holds := m.leases.Holds(now)
	if holds == m.leaseHeld {
		return
	}
	m.leaseHeld = holds
	if holds {
		m.metrics.leaseHeld.Update(1)
		m.logger.Info("lease held", "incarnation", m.id)
		return
	}
	m.metrics.leaseHeld.Update(0)
	m.metrics.lapses.Inc(1)
	m.logger.Warn("lease lapsed", "incarnation", m.id)
	m.cancelRequests(func(r *RunningRequest) bool { return true })
}

// ask sends a control call to mem and reports whether mem granted it.
func (m *Member) ask(mem *fleet.Member, call *peerpb.Call) bool {
	ctx, cancel := m.timeout(askTimeout)
	defer cancel()
	reply, err := m.pool.Call(ctx, mem.DaemonAddress, call)
	if err != nil {
		// The connection may have stopped responding where a new one works.
		m.pool.Disconnect(mem.DaemonAddress, peer.Control)
		return false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.noteHead(boottime.Now(), reply.NextOffset)
	return reply.Granted
}

// HandleCall handles a control call of another daemon and returns the reply.
func (m *Member) HandleCall(now time.Time, call *peerpb.Call) *peerpb.Reply {
	switch kind := call.Kind.(type) {
	case *peerpb.Call_Move:
		return &peerpb.Reply{Granted: m.acceptMove(now, kind.Move)}
	case *peerpb.Call_Handover:
		m.acceptHandover(now, kind.Handover)
		return &peerpb.Reply{Granted: true}
	default:
		return m.handleFromState(now, call)
	}
}

// handleFromState handles the calls that need nothing but the state guarded by
// the mutex.
func (m *Member) handleFromState(now time.Time, call *peerpb.Call) *peerpb.Reply {
	m.mu.Lock()
	defer m.mu.Unlock()
	reply := &peerpb.Reply{NextOffset: m.state.NextOffset()}
	switch kind := call.Kind.(type) {
	case *peerpb.Call_Renew:
		reply.Granted = m.leases.GrantRenewal(now, lease.RenewalRequest{
			Holder:   record.Incarnation(kind.Renew.Holder),
			Epoch:    kind.Renew.Epoch,
			Releases: kind.Renew.Releases,
		})
		if reply.Granted {
			m.metrics.renewalsGranted.Inc(1)
		} else {
			m.metrics.renewalsRefused.Inc(1)
		}
	case *peerpb.Call_Promise:
		reply.Granted = m.leases.GrantPromise(now, lease.PromiseRequest{
			Holder: record.Incarnation(kind.Promise.Holder),
			Epoch:  kind.Promise.Epoch,
			From:   record.Incarnation(kind.Promise.From),
			OffLog: kind.Promise.OffLog,
		})
		if reply.Granted {
			m.metrics.promises.Inc(1)
		}
	case *peerpb.Call_Consent:
		reply.Granted = m.leases.GrantConsent(now, record.Incarnation(kind.Consent.Holder), kind.Consent.Epoch)
	case *peerpb.Call_Report:
		reply.Granted = m.planning.accept(now, m.id, m.state, kind.Report)
	case *peerpb.Call_Probe:
		reply.Granted = true
		reply.SettingsVersion = m.state.Settings().Version()
		reply.Holds = m.leases.Holds(now)
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
