package tcp

import (
	"net"
	"net/http"
	"sync"
	"time"

	"gopkg.in/tomb.v2"
)

// sweepEvery is the time between two looks for connections that have been idle
// for too long; it is how much longer than their limit they may stay.
const sweepEvery = time.Second

// IdleLimit closes the connections of an HTTP server that have been idle for too
// long. The server's own limit cannot change while it runs, and each connection
// that it keeps costs a task and two buffers. It is safe for concurrent use.
//
// A caller may use a connection again as long as it is open: the limit has to be
// longer than the time for which callers keep theirs.
type IdleLimit struct {
	// limit returns the limit in force; 0 is none.
	limit func() time.Duration
	tomb  tomb.Tomb

	mu sync.Mutex
	// since holds the idle connections, and since when they are.
	since map[net.Conn]time.Time
}

// NewIdleLimit returns an IdleLimit for the servers whose ConnState is its Note.
func NewIdleLimit(limit func() time.Duration) *IdleLimit {
	l := &IdleLimit{limit: limit, since: map[net.Conn]time.Time{}}
	l.tomb.Go(func() error {
		ticker := time.NewTicker(sweepEvery)
		defer ticker.Stop()
		for {
			select {
			case <-l.tomb.Dying():
				return nil
			case now := <-ticker.C:
				l.sweep(now)
			}
		}
	})
	return l
}

// Close ends the task; the connections stay as they are.
func (l *IdleLimit) Close() error {
	l.tomb.Kill(nil)
	return l.tomb.Wait()
}

// Note follows a connection; it is the ConnState of a server.
func (l *IdleLimit) Note(conn net.Conn, state http.ConnState) {
	l.note(time.Now(), conn, state)
}

// note is Note at now.
func (l *IdleLimit) note(now time.Time, conn net.Conn, state http.ConnState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if state == http.StateIdle {
		l.since[conn] = now
		return
	}
	delete(l.since, conn)
}

// sweep closes the connections that have been idle for the limit at now.
func (l *IdleLimit) sweep(now time.Time) {
	limit := l.limit()
	if limit <= 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for conn, since := range l.since {
		if now.Sub(since) >= limit {
			_ = conn.Close()
			delete(l.since, conn)
		}
	}
}
