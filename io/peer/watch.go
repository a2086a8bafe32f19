package peer

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"

	"siskinknot/io/meter"
)

// Times of the watch over a session.
const (
	// watchEvery is shorter than most requests: those that end before it cost no
	// ping.
	watchEvery = 200 * time.Millisecond
	// pingGrace is how long a ping may be under way, beside twice its usual
	// time, before the session counts as silent.
	pingGrace = 100 * time.Millisecond
	// quietLimit is how long nothing may have come from the peer before the
	// next call waits for a ping. In a large fleet a session carries a request or
	// a heartbeat each second or two.
	quietLimit = 1500 * time.Millisecond
	// idleLimit is how long a session without calls is kept.
	idleLimit = 30 * time.Second
)

// watch finds out whether the peer of a session still answers. A peer answers
// pings at once, however slow its target is.
type watch struct {
	mux  *yamux.Session
	conn *meter.Conn
	// busy returns the number of calls under way.
	busy func() int
	// woken tells run that a call has begun.
	woken chan struct{}
	// roundTrip is how long the last ping took, in nanoseconds.
	roundTrip atomic.Int64
	// pinging is the ping under way, or nil.
	pinging atomic.Pointer[ping]
}

// ping is a ping under way.
type ping struct {
	sentAt time.Time
	// answered is closed when the answer has come.
	answered chan struct{}
}

// newWatch returns the watch of a session whose handshake took roundTrip.
func newWatch(mux *yamux.Session, conn *meter.Conn, busy func() int, roundTrip time.Duration) *watch {
	w := &watch{mux: mux, conn: conn, busy: busy, woken: make(chan struct{}, 1)}
	w.roundTrip.Store(int64(roundTrip))
	return w
}

// grace returns how long a ping may be under way before the session counts as
// silent.
func (w *watch) grace() time.Duration {
	return pingGrace + 2*time.Duration(w.roundTrip.Load())
}

// wake tells the watch that a call has begun.
func (w *watch) wake() {
	select {
	case w.woken <- struct{}{}:
	default:
	}
}

// run pings the peer while there are calls and nothing is received. It closes
// the session when a ping fails, when there have been no calls for idleLimit, or
// when dying is closed.
func (w *watch) run(dying <-chan struct{}) {
	defer func() { _ = w.mux.Close() }()
	timer := time.NewTimer(idleLimit)
	defer timer.Stop()
	for {
		select {
		case <-w.woken:
		case <-timer.C:
			if w.busy() == 0 {
				return
			}
		case <-w.mux.CloseChan():
			return
		case <-dying:
			return
		}
		if !w.whileBusy(dying) {
			return
		}
		timer.Reset(idleLimit)
	}
}

// whileBusy looks after the session until no call is under way, and reports
// whether it is still open.
func (w *watch) whileBusy(dying <-chan struct{}) bool {
	for {
		select {
		case <-time.After(watchEvery):
		case <-w.mux.CloseChan():
			return false
		case <-dying:
			return false
		}
		if w.busy() == 0 {
			return true
		}
		if w.conn.QuietFor() > watchEvery {
			w.ping()
		}
	}
}

// heardSince reports whether anything has come from the peer after t.
func (w *watch) heardSince(t time.Time) bool { return w.conn.QuietFor() < time.Since(t) }

// ping sends a ping, unless one is under way, and closes the session if neither an
// answer nor anything else comes: on a link that is full an answer may wait behind
// other data. It returns the ping under way, or nil if its answer has come.
func (w *watch) ping() *ping {
	next := &ping{sentAt: time.Now(), answered: make(chan struct{})}
	if !w.pinging.CompareAndSwap(nil, next) {
		return w.pinging.Load()
	}
	go func() {
		roundTrip, err := w.mux.Ping()
		switch {
		case err == nil:
			w.roundTrip.Store(int64(roundTrip))
		case w.mux.IsClosed() || !w.heardSince(next.sentAt):
			_ = w.mux.Close()
			return
		}
		w.pinging.Store(nil)
		close(next.answered)
	}()
	return next
}

// notSilent reports whether no ping has been under way for too long while nothing
// came from the peer.
func (w *watch) notSilent(context.Context) bool {
	p := w.pinging.Load()
	return p == nil || time.Since(p.sentAt) <= w.grace() || w.heardSince(p.sentAt)
}

// answers reports whether the peer seems to answer. If nothing has come from it
// for a while it is pinged first.
func (w *watch) answers(ctx context.Context) bool {
	if w.conn.QuietFor() < quietLimit {
		return w.notSilent(ctx)
	}
	p := w.ping()
	if p == nil {
		return true
	}
	deadline := time.NewTimer(w.grace())
	defer deadline.Stop()
	select {
	case <-p.answered:
		return true
	case <-deadline.C:
		return w.heardSince(p.sentAt)
	case <-ctx.Done():
		return false
	}
}
