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
	watchEvery = 100 * time.Millisecond
	// pingGrace is how long a ping may be under way before the session counts
	// as silent.
	pingGrace = 100 * time.Millisecond
	// quietLimit is how long nothing may have come from the peer before the
	// next call waits for a ping.
	quietLimit = time.Second
	// idleLimit is how long a session without streams is kept.
	idleLimit = 30 * time.Second
)

// watch finds out whether the peer of a session still answers. A peer answers
// pings at once, however slow its target is.
type watch struct {
	mux  *yamux.Session
	conn *meter.Conn
	// pingedAt is when the ping under way was sent, on the clock of package
	// time in nanoseconds; 0 if there is none.
	pingedAt atomic.Int64
}

func newWatch(mux *yamux.Session, conn *meter.Conn) *watch {
	return &watch{mux: mux, conn: conn}
}

// run pings the peer while there are streams and nothing is received. It closes
// the session when a ping fails, when the session is idle for long, or when
// dying is closed.
func (w *watch) run(dying <-chan struct{}) {
	defer func() { _ = w.mux.Close() }()
	ticker := time.NewTicker(watchEvery)
	defer ticker.Stop()
	idleSince := time.Now()
	for {
		select {
		case <-ticker.C:
		case <-w.mux.CloseChan():
			return
		case <-dying:
			return
		}
		switch {
		case w.mux.NumStreams() > 0:
			idleSince = time.Now()
			if w.conn.QuietFor() > watchEvery {
				w.ping()
			}
		case time.Since(idleSince) > idleLimit:
			return
		}
	}
}

// ping sends a ping, unless one is under way, and closes the session if no
// answer comes.
func (w *watch) ping() {
	if !w.pingedAt.CompareAndSwap(0, time.Now().UnixNano()) {
		return
	}
	go func() {
		if _, err := w.mux.Ping(); err != nil {
			_ = w.mux.Close()
			return
		}
		w.pingedAt.Store(0)
	}()
}

// silent reports whether a ping has been under way for too long.
func (w *watch) silent() bool {
	at := w.pingedAt.Load()
	return at != 0 && time.Since(time.Unix(0, at)) > pingGrace
}

// answers reports whether the peer seems to answer. If nothing has come from it
// for a while it is pinged first.
func (w *watch) answers(ctx context.Context) bool {
	if w.conn.QuietFor() < quietLimit {
		return !w.silent()
	}
	w.ping()
	deadline := time.NewTimer(pingGrace)
	defer deadline.Stop()
	for w.pingedAt.Load() != 0 {
		select {
		case <-deadline.C:
			return false
		case <-ctx.Done():
			return false
		case <-time.After(time.Millisecond / 2):
		}
	}
	return true
}
