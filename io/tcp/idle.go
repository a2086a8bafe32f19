package tcp

import (
	"context"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
	"gopkg.in/tomb.v2"
)

const (
	// sweepInterval is the time between two searches for connections to close. A
	// connection may stay open for this time beyond the limit.
	sweepInterval = time.Second
	// drainInterval is the time between two searches while connections are drained.
	drainInterval = 5 * time.Millisecond
	// firstRequestWait is how long a connection that is drained may stay open without a
	// request. A caller opens one when it has a request to send.
	firstRequestWait = 300 * time.Millisecond
)

// IdleConnCloser closes the connections of an HTTP server that have been idle for
// longer than a limit. It exists because http.Server.IdleTimeout cannot change
// while the server runs, and because each connection that the server keeps costs
// a goroutine and two buffers. It is safe for concurrent use.
//
// The limit must be longer than the time for which callers keep idle connections:
// a caller may send its next request on any connection that is still open. A request may
// also arrive while this process stands still, and a caller may know a longer limit that was
// lowered since: a connection with unread input stays open, and a lower limit holds for the
// connections that become idle under it.
//
// Drain closes all connections at the end of the server, each when it has no request.
// http.Server.Shutdown drops requests that it has read on connections that were new.
type IdleConnCloser struct {
	// limit returns the current limit; 0 or less means no limit.
	limit func() time.Duration
	tomb  tomb.Tomb

	mu    sync.Mutex
	conns map[net.Conn]*trackedConn
	// connLimit limits the number of conns.
	connLimit connLimit
}

// trackedConn describes an open connection.
type trackedConn struct {
	// active is set while a request is being read or run.
	active bool
	// openedAt is when the connection was opened, if no request has arrived yet, and idleSince
	// when it became idle after a request; otherwise they are zero.
	openedAt, idleSince time.Time
	// limit is the longest limit that was in force at a sweep since then.
	limit time.Duration
	// readsEnded is set once the reads of the connection were made to fail, and closing if it
	// was evicted because of LimitConns.
	readsEnded, closing bool
}

// NewIdleConnCloser returns an IdleConnCloser whose current limit is limit(); 0
// or less means no limit. It acts on the HTTP servers whose ConnState field is
// set to its ConnState method. It runs a goroutine until Close.
func NewIdleConnCloser(limit func() time.Duration) *IdleConnCloser {
	c := &IdleConnCloser{limit: limit, conns: map[net.Conn]*trackedConn{}}
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
	now := time.Now()
	c.note(now, conn, state)
	if state == http.StateNew && !c.makeRoom(now, conn) {
		_ = conn.Close()
	}
}

// note is ConnState with the current time as a parameter.
func (c *IdleConnCloser) note(now time.Time, conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if tracked := c.conns[conn]; tracked != nil && tracked.closing {
		c.connLimit.closing--
	}
	switch state {
	case http.StateNew:
		c.conns[conn] = &trackedConn{openedAt: now}
	case http.StateActive:
		if tracked := c.conns[conn]; tracked != nil && tracked.readsEnded {
			// The server had already read a request.
			_ = conn.SetReadDeadline(time.Time{})
		}
		c.conns[conn] = &trackedConn{active: true}
	case http.StateIdle:
		c.conns[conn] = &trackedConn{idleSince: now}
	default:
		delete(c.conns, conn)
	}
}

// sweep closes the connections that at now have been idle for the limit or longer.
func (c *IdleConnCloser) sweep(now time.Time) {
	limit := c.limit()
	if limit <= 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn, tracked := range c.conns {
		if tracked.idleSince.IsZero() {
			continue
		}
		tracked.limit = max(tracked.limit, limit)
		if now.Sub(tracked.idleSince) >= tracked.limit {
			tracked.endReads(conn)
		}
	}
}

// Drain closes each connection when it has no request, and returns when none is left. It
// reports false if ctx ends first. The server must have returned from Serve since its listener
// is closed, and the responses must close their connections.
func (c *IdleConnCloser) Drain(ctx context.Context) bool {
	ticker := time.NewTicker(drainInterval)
	defer ticker.Stop()
	for c.closeUnused(time.Now()) > 0 {
		select {
		case <-ctx.Done():
			return false
		case <-ticker.C:
		}
	}
	return true
}

// closeUnused closes the connections that have no request at now and need not wait for their
// first one, and returns the number of those that were open.
func (c *IdleConnCloser) closeUnused(now time.Time) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn, tracked := range c.conns {
		if !tracked.active && now.Sub(tracked.openedAt) >= firstRequestWait {
			tracked.endReads(conn)
		}
	}
	return len(c.conns)
}

// endReads makes the HTTP server close conn, unless a request has begun to arrive: the server
// closes a connection whose read fails. If the server has read the beginning of a request, it
// resets the deadline, and if it has read the head, note does.
func (t *trackedConn) endReads(conn net.Conn) {
	if !HasInput(conn) {
		t.readsEnded = true
		_ = conn.SetReadDeadline(time.Unix(1, 0))
	}
}

// HasInput reports whether conn has input that the process has not read.
func HasInput(conn net.Conn) bool {
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	n := 0
	controlErr := raw.Control(func(fd uintptr) {
		var peeked [1]byte
		n, _, err = unix.Recvfrom(int(fd), peeked[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	})
	return controlErr == nil && err == nil && n > 0
}
