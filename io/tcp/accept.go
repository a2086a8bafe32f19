package tcp

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"siskinknot/io/meter"
)

// Delays after a failed attempt to accept a connection. They double with each failure in a
// row.
const (
	minAcceptDelay = 5 * time.Millisecond
	maxAcceptDelay = 100 * time.Millisecond
)

// Acceptor is a listener whose Accept fails only once it is closed, and which measures how
// its server accepts connections. Only one goroutine may call Accept.
type Acceptor struct {
	net.Listener
	failed    func(error)
	closed    chan struct{}
	closeOnce sync.Once

	accepted, failures atomic.Int64
	// returnedAt is when Accept returned a connection, in nanoseconds since started, or 0 while
	// a call of Accept is in progress. longestHold is the longest time between two calls since
	// the last call of TakeLoad.
	started     time.Time
	returnedAt  atomic.Int64
	longestHold meter.Maximum
}

// AcceptLoad describes how a server accepts connections.
type AcceptLoad struct {
	// Accepted and Failed count the connections that were accepted and the errors of accept(2)
	// since the listener was created.
	Accepted, Failed int64
	// LongestHold is the longest time between the end of a call of Accept and the next call,
	// since the last AcceptLoad was taken. No connection is accepted meanwhile.
	LongestHold time.Duration
	// Queued is the number of connections that wait to be accepted, or -1 if the system does
	// not tell.
	Queued int
}

// RetryAccept returns a listener for l whose Accept fails only once it is closed. After
// another error it calls failed and tries again: the process may have no free file
// descriptor, and accept(2) reports network errors that are pending on a new connection.
// net/http stops to serve after most of these errors.
func RetryAccept(l net.Listener, failed func(error)) *Acceptor {
	return &Acceptor{Listener: l, failed: failed, closed: make(chan struct{}), started: time.Now()}
}

// Accept implements net.Listener.
func (l *Acceptor) Accept() (net.Conn, error) {
	l.endHold(time.Now())
	for delay := minAcceptDelay; ; delay = min(2*delay, maxAcceptDelay) {
		conn, err := l.Listener.Accept()
		if err == nil {
			l.accepted.Add(1)
			l.returnedAt.Store(int64(time.Since(l.started)))
			return conn, nil
		}
		if errors.Is(err, net.ErrClosed) {
			return nil, err
		}
		l.failures.Add(1)
		l.failed(err)
		select {
		case <-l.closed:
			return nil, net.ErrClosed
		case <-time.After(delay):
		}
	}
}

// endHold records that the server calls Accept at now.
func (l *Acceptor) endHold(now time.Time) {
	l.recordHold(now)
	l.returnedAt.Store(0)
}

// recordHold records how long the server has held the last connection at now.
func (l *Acceptor) recordHold(now time.Time) {
	returnedAt := l.returnedAt.Load()
	if returnedAt == 0 {
		return
	}
	l.longestHold.Record(now.Sub(l.started) - time.Duration(returnedAt))
}

// TakeLoad returns the AcceptLoad at now, which includes the time since the last connection was
// accepted if the server has not called Accept again.
func (l *Acceptor) TakeLoad(now time.Time) AcceptLoad {
	l.recordHold(now)
	return AcceptLoad{
		Accepted:    l.accepted.Load(),
		Failed:      l.failures.Load(),
		LongestHold: l.longestHold.Take(),
		Queued:      queuedConns(l.Listener),
	}
}

// listenState is TCP_LISTEN, the state of a listening socket in struct tcp_info.
const listenState = 10

// queuedConns returns the number of connections that wait to be accepted by l, or -1 if the
// system does not tell. Linux reports it as tcpi_unacked of a listening socket (tcp(7)).
func queuedConns(l net.Listener) int {
	sc, ok := l.(syscall.Conn)
	if !ok {
		return -1
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return -1
	}
	var info *unix.TCPInfo
	controlErr := raw.Control(func(fd uintptr) {
		info, err = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	if controlErr != nil || err != nil || info.State != listenState {
		return -1
	}
	return int(info.Unacked)
}

// Close implements net.Listener.
func (l *Acceptor) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return l.Listener.Close()
}
