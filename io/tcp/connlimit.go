package tcp

import (
	"net"
	"slices"
	"syscall"
	"time"
)

const (
	// callerShare is the share of the process's file descriptors that connections of callers
	// may take. The others are for readiness checks, other daemons, the target and the store:
	// without them the daemon could not answer the callers that it has.
	callerShare = 0.75
	// evictedShare is the share of the limit that is evicted at once, so that the search for the
	// connections to evict is not repeated for each new one.
	evictedShare = 1.0 / 16
	// closingShare is the share of the limit that connections may take besides, which are evicted
	// and not closed yet. The server takes long to close them while the process is short of
	// processor time, and they keep their descriptors until then.
	closingShare = 1.0 / 8
	// searchInterval is the time between two searches while none is found.
	searchInterval = 50 * time.Millisecond
)

// ConnLoad describes the connections of a server.
type ConnLoad struct {
	// Open is the number of connections, and Idle that of those without a request.
	Open, Idle int
	// Evicted and Rejected count the connections that were closed because of LimitConns.
	Evicted, Rejected int64
}

// connLimit is the state of LimitConns.
type connLimit struct {
	// max is the maximum number of connections; 0 for no limit.
	max int
	// closing is the number of connections that were evicted and are not closed yet.
	closing int
	// searchedAt is when a search last found no connection to evict.
	searchedAt        time.Time
	evicted, rejected int64
}

// MaxCallerConns returns how many connections of callers the process may have by its limit of
// file descriptors; 0 if that is not known.
func MaxCallerConns() int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return 0
	}
	const unlimited = 1 << 30
	return int(callerShare * float64(min(limit.Cur, unlimited)))
}

// LimitConns limits the number of connections to maximum; 0 for no limit. A new connection
// beyond the limit makes the server close those that have been idle for longest. If all have a
// request, the new one is closed before anything is read from it, so that its caller can try
// again at once. It must be called before the server runs.
func (c *IdleConnCloser) LimitConns(maximum int) { c.connLimit.max = maximum }

// Load returns the ConnLoad of the server.
func (c *IdleConnCloser) Load() ConnLoad {
	c.mu.Lock()
	defer c.mu.Unlock()
	load := ConnLoad{Open: len(c.conns), Evicted: c.connLimit.evicted, Rejected: c.connLimit.rejected}
	for _, tracked := range c.conns {
		if !tracked.active {
			load.Idle++
		}
	}
	return load
}

// makeRoom keeps the limit of connections after conn was opened at now. It reports false if conn
// must be closed.
func (c *IdleConnCloser) makeRoom(now time.Time, conn net.Conn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	l := &c.connLimit
	if l.max <= 0 {
		return true
	}
	if len(c.conns)-l.closing > l.max && now.Sub(l.searchedAt) >= searchInterval &&
		c.evict(now, max(1, int(evictedShare*float64(l.max)))) == 0 {
		l.searchedAt = now
	}
	if len(c.conns)-l.closing <= l.max && len(c.conns) <= l.max+int(closingShare*float64(l.max)) {
		return true
	}
	delete(c.conns, conn)
	l.rejected++
	return false
}

// evict closes up to n connections without a request, those first that have had none for longest,
// and returns their number. The caller holds the mutex.
func (c *IdleConnCloser) evict(now time.Time, n int) int {
	var unused []net.Conn
	for conn, tracked := range c.conns {
		if !tracked.active && !tracked.closing && now.Sub(tracked.openedAt) >= firstRequestWait {
			unused = append(unused, conn)
		}
	}
	slices.SortFunc(unused, func(a, b net.Conn) int {
		return c.conns[a].unusedSince().Compare(c.conns[b].unusedSince())
	})
	unused = unused[:min(n, len(unused))]
	for _, conn := range unused {
		c.conns[conn].endReads(conn)
		c.conns[conn].closing = true
	}
	c.connLimit.closing += len(unused)
	c.connLimit.evicted += int64(len(unused))
	return len(unused)
}

// unusedSince returns since when a connection that is not active has had no request.
func (t *trackedConn) unusedSince() time.Time {
	if t.idleSince.IsZero() {
		return t.openedAt
	}
	return t.idleSince
}
