// Package tcp opens connections that notice when the other side is gone, and
// closes those of a server that have been idle for too long (IdleLimit).
//
// A connection may go silent for good: a VM has lost power, or something on the
// way has forgotten the connection, while new connections to the same address
// work. Nothing but a probe or a time-out shows that. The kernel probes the
// connections of a Dialer while they are idle, and gives up on data that is not
// acknowledged, so that every read and write fails within SilenceLimit. The
// other side's process takes no part in that: one that works for long, or waits
// for something to tell, is not silent.
//
// # Usage
//
//	dialer := tcp.Dialer(netip.Addr{}, 500*time.Millisecond)
//	conn, err := dialer.DialContext(ctx, "tcp", address)
//
//	idle := tcp.NewIdleLimit(func() time.Duration { return table.Limits.IdleTimeout })
//	server := &http.Server{ConnState: idle.Note}
package tcp

import (
	"net"
	"net/netip"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// The probes of the kernel, in the whole seconds that it takes.
const (
	probeIdle     = time.Second
	probeInterval = time.Second
	probes        = 1
)

// SilenceLimit is the time after which a connection whose other side does not
// answer any more fails.
const SilenceLimit = probeIdle + probes*probeInterval

// Dialer returns a dialer whose attempts end after timeout. It connects from
// local, or from any address if local is not valid.
func Dialer(local netip.Addr, timeout time.Duration) *net.Dialer {
	d := &net.Dialer{
		Timeout: timeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     probeIdle,
			Interval: probeInterval,
			Count:    probes,
		},
		Control: func(_, _ string, raw syscall.RawConn) error {
			var err error
			if ctlErr := raw.Control(func(fd uintptr) { err = limitUnacknowledged(int(fd)) }); ctlErr != nil {
				return ctlErr
			}
			return err
		},
	}
	if local.IsValid() {
		d.LocalAddr = net.TCPAddrFromAddrPort(netip.AddrPortFrom(local, 0))
	}
	return d
}

// limitUnacknowledged bounds how long data that was sent may stay without an
// acknowledgement.
func limitUnacknowledged(fd int) error {
	return unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(SilenceLimit.Milliseconds()))
}
