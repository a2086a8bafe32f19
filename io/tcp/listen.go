package tcp

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"
)

const (
	// listenRetryInterval is the time between two attempts to listen on an address that is
	// in use.
	listenRetryInterval = 50 * time.Millisecond
	// ListenTimeout is how long Listen tries to listen on an address that is in use. The port
	// of an outgoing connection stays in use for a minute after the connection has ended.
	ListenTimeout = 75 * time.Second
)

// Listen opens TCP sockets that listen at addrs, in this order. While an address is in use, it
// tries again until ctx ends or ListenTimeout has passed: a former process may not have ended
// yet, or any process on the VM may have an outgoing connection from that port. It calls waiting
// once with the first such error.
//
// No socket listens while Listen waits for another: the kernel accepts connections for a
// listening socket, and clients would wait for answers of a process that does not serve yet.
func Listen(ctx context.Context, addrs []netip.AddrPort, waiting func(error)) ([]net.Listener, error) {
	ctx, cancel := context.WithTimeout(ctx, ListenTimeout)
	defer cancel()
	ticker := time.NewTicker(listenRetryInterval)
	defer ticker.Stop()
	inUse := 0
	for first := true; ; first = false {
		var listeners []net.Listener
		var err error
		listeners, inUse, err = listenAll(ctx, addrs, inUse)
		if err == nil || !errors.Is(err, syscall.EADDRINUSE) {
			return listeners, err
		}
		if first {
			waiting(err)
		}
		select {
		case <-ctx.Done():
			return nil, err
		case <-ticker.C:
		}
	}
}

// listenAll opens TCP sockets that listen at addrs, or none after an error. It begins with the
// address that has the index first, and returns the index of the one that failed.
func listenAll(ctx context.Context, addrs []netip.AddrPort, first int) (listeners []net.Listener, failed int, err error) {
	var lc net.ListenConfig
	listeners = make([]net.Listener, len(addrs))
	for i := range addrs {
		i = (first + i) % len(addrs)
		if listeners[i], err = lc.Listen(ctx, "tcp", addrs[i].String()); err != nil {
			closeAll(listeners)
			return nil, i, eris.Wrapf(err, "listen on %s", addrs[i])
		}
	}
	return listeners, 0, nil
}

// closeAll closes those of listeners that are not nil.
func closeAll(listeners []net.Listener) {
	for _, l := range listeners {
		if l != nil {
			_ = l.Close()
		}
	}
}

// ReuseAddress is the Control function of a net.Dialer that lets a listener use the local port
// of the connection, also while it is open.
func ReuseAddress(_, _ string, raw syscall.RawConn) error {
	return setOption(raw, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1)
}

// setOption sets a socket option with an integer value.
func setOption(raw syscall.RawConn, level, option, value int) error {
	var err error
	if controlErr := raw.Control(func(fd uintptr) { err = unix.SetsockoptInt(int(fd), level, option, value) }); controlErr != nil {
		return controlErr
	}
	return err
}
