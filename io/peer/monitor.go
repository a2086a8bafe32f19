package peer

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"

	"siskinknot/io/meter"
	"siskinknot/io/tcp"
)

// Intervals and timeouts of the monitor of a session.
const (
	// checkInterval is the time between two checks of a session with calls in
	// progress. It is shorter than most requests. A request that ends within it
	// costs no ping.
	checkInterval = 200 * time.Millisecond
	// pingGrace is how much longer than twice the last round trip a ping may take
	// before the peer is considered unresponsive.
	pingGrace = 100 * time.Millisecond
	// maxReceiveAge is the time without received data after which a new call
	// first waits for the answer to a ping. In a large fleet a session carries a
	// request or a heartbeat every second or two.
	maxReceiveAge = 1500 * time.Millisecond
	// maxReadDelay is how long data may wait to be read before the session is taken for failed.
	maxReadDelay = 2 * time.Second
	// sessionIdleTimeout is how long a session without calls stays open.
	sessionIdleTimeout = 30 * time.Second
)

// monitor checks whether the peer of a session responds. A peer answers pings
// immediately, even if its target is slow.
type monitor struct {
	mux  *yamux.Session
	conn *meter.Conn
	// activeCalls returns the number of calls in progress.
	activeCalls func() int
	// callStarted tells run that a call has started.
	callStarted chan struct{}
	// roundTrip is how long the last answered ping took, in nanoseconds. Before the
	// first ping it is the time of the handshake.
	roundTrip atomic.Int64
	// currentPing is the ping in progress, or nil.
	currentPing atomic.Pointer[ping]
}

// ping is a ping that was sent and is not answered yet.
type ping struct {
	sentAt time.Time
	// answered is closed when the answer has arrived.
	answered chan struct{}
}

// newMonitor returns the monitor of a session whose handshake took roundTrip.
func newMonitor(mux *yamux.Session, conn *meter.Conn, activeCalls func() int, roundTrip time.Duration) *monitor {
	m := &monitor{mux: mux, conn: conn, activeCalls: activeCalls, callStarted: make(chan struct{}, 1)}
	m.roundTrip.Store(int64(roundTrip))
	return m
}

// pingLimit returns how long a ping may take before the peer is considered
// unresponsive.
func (m *monitor) pingLimit() time.Duration {
	return pingGrace + 2*time.Duration(m.roundTrip.Load())
}

// wake tells run that a call has started.
func (m *monitor) wake() {
	select {
	case m.callStarted <- struct{}{}:
	default:
	}
}

// run pings the peer while calls are in progress and nothing is received. It
// closes the session when a ping fails, when there have been no calls for
// sessionIdleTimeout, or when dying is closed.
func (m *monitor) run(dying <-chan struct{}) {
	defer func() { _ = m.mux.Close() }()
	timer := time.NewTimer(sessionIdleTimeout)
	defer timer.Stop()
	for {
		select {
		case <-m.callStarted:
		case <-timer.C:
			if m.activeCalls() == 0 {
				return
			}
		case <-m.mux.CloseChan():
			return
		case <-dying:
			return
		}
		if !m.monitorCalls(dying) {
			return
		}
		timer.Reset(sessionIdleTimeout)
	}
}

// monitorCalls checks the session at every checkInterval until no call is in
// progress. It returns false if the session was closed or dying was closed.
func (m *monitor) monitorCalls(dying <-chan struct{}) bool {
	for {
		select {
		case <-time.After(checkInterval):
		case <-m.mux.CloseChan():
			return false
		case <-dying:
			return false
		}
		if m.activeCalls() == 0 {
			return true
		}
		if m.conn.SinceLastRead() > checkInterval {
			m.ping()
		}
	}
}

// receivedSince reports whether any data was received from the peer after t. Data that waits to
// be read counts as received, for maxReadDelay: this process is late, and the peer is not silent.
func (m *monitor) receivedSince(t time.Time) bool {
	sinceLastRead := m.conn.SinceLastRead()
	return sinceLastRead < time.Since(t) || (sinceLastRead < maxReadDelay && tcp.HasInput(m.conn))
}

// ping sends a ping unless one is in progress. It closes the session if the ping
// fails and no other data was received meanwhile: on a saturated link the answer
// may be queued behind other data. ping returns the ping in progress, or nil if its
// answer has just arrived.
func (m *monitor) ping() *ping {
	newPing := &ping{sentAt: time.Now(), answered: make(chan struct{})}
	if !m.currentPing.CompareAndSwap(nil, newPing) {
		return m.currentPing.Load()
	}
	go func() {
		roundTrip, err := m.mux.Ping()
		switch {
		case err == nil:
			m.roundTrip.Store(int64(roundTrip))
		case m.mux.IsClosed() || !m.receivedSince(newPing.sentAt):
			_ = m.mux.Close()
			return
		}
		m.currentPing.Store(nil)
		close(newPing.answered)
	}()
	return newPing
}

// responsive reports whether the peer seems to respond, without sending a ping. It
// returns false if a ping has been in progress for longer than pingLimit and
// nothing was received since it was sent.
func (m *monitor) responsive(context.Context) bool {
	p := m.currentPing.Load()
	return p == nil || time.Since(p.sentAt) <= m.pingLimit() || m.receivedSince(p.sentAt)
}

// checkResponse reports whether the peer seems to respond. If nothing was received
// for maxReceiveAge, it pings the peer and waits up to pingLimit for the answer.
func (m *monitor) checkResponse(ctx context.Context) bool {
	if m.conn.SinceLastRead() < maxReceiveAge {
		return m.responsive(ctx)
	}
	p := m.ping()
	if p == nil {
		return true
	}
	timer := time.NewTimer(m.pingLimit())
	defer timer.Stop()
	select {
	case <-p.answered:
		return true
	case <-timer.C:
		return m.receivedSince(p.sentAt)
	case <-ctx.Done():
		return false
	}
}
