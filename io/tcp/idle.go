package tcp

import (
	"net"
	"net/http"
	"sync"
	"time"

	"gopkg.in/tomb.v2"
)

// sweepInterval is the time between two searches for connections to close. A
// connection may stay open for this time beyond the limit.
const sweepInterval = time.Second

// IdleConnCloser closes the connections of an HTTP server that have been idle for
// longer than a limit. It exists because http.Server.IdleTimeout cannot change
// while the server runs, and because each connection that the server keeps costs
// a goroutine and two buffers. It is safe for concurrent use.
//
// The limit must be longer than the time for which callers keep idle connections:
// a caller may send its next request on any connection that is still open.
type IdleConnCloser struct {
	// limit returns the current limit; 0 or less means no limit.
	limit func() time.Duration
	tomb  tomb.Tomb

	mu sync.Mutex
	// idleSince contains the idle connections and when each became idle.
	idleSince map[net.Conn]time.Time
}

// NewIdleConnCloser returns an IdleConnCloser whose current limit is limit(); 0
// or less means no limit. It acts on the HTTP servers whose ConnState field is
// set to its ConnState method. It runs a goroutine until Close.
func NewIdleConnCloser(limit func() time.Duration) *IdleConnCloser {
	c := &IdleConnCloser{limit: limit, idleSince: map[net.Conn]time.Time{}}
	c.tomb.Go(func() error {
		ticker := time.NewTicker(sweepInterval)
		defer ticker.Stop()
		for {
			select {
			case <-c.tomb.Dying():
				return nil
			case now := <-ticker.C:
				c.sweep(now)
			}
		}
	})
	return c
}

// Close ends the goroutine. It closes no connections, and always returns nil.
func (c *IdleConnCloser) Close() error {
	c.tomb.Kill(nil)
	return c.tomb.Wait()
}

// ConnState records a change of the state of a connection. It is for the
// ConnState field of an http.Server.
func (c *IdleConnCloser) ConnState(conn net.Conn, state http.ConnState) {
	c.note(time.Now(), conn, state)
}

// note is ConnState with the current time as a parameter.
func (c *IdleConnCloser) note(now time.Time, conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if state == http.StateIdle {
		c.idleSince[conn] = now
		return
	}
	delete(c.idleSince, conn)
}

// sweep closes the connections that at now have been idle for the limit or longer.
func (c *IdleConnCloser) sweep(now time.Time) {
	limit := c.limit()
	if limit <= 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn, idleSince := range c.idleSince {
		if now.Sub(idleSince) >= limit {
			_ = conn.Close()
			delete(c.idleSince, conn)
		}
	}
}
