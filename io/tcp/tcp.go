// Package tcp provides a dialer whose connections fail when the peer becomes
// unreachable, Listen, which waits for addresses that are in use, RetryAccept, with
// which a listener outlives failures, and IdleConnCloser, which closes the
// connections of a server that have been idle for too long, and limits their number.
//
// A connection may stop delivering data without an error: a VM has lost power, or
// a device on the path has dropped its record of the connection, while new
// connections to the same address work. Only a probe or a timeout detects this.
// The kernel probes the connections of a Dialer while they are idle, and limits
// how long sent data may stay unacknowledged, so that every read and write fails
// within PeerTimeout. The kernel of the peer's VM answers the probes, not the peer
// process: a connection to a process that computes for a long time, or that has
// nothing to send, does not fail.
//
// # Usage
//
//	dialer := tcp.Dialer(netip.Addr{}, 500*time.Millisecond)
//	conn, err := dialer.DialContext(ctx, "tcp", address)
//
//	listeners, err := tcp.Listen(ctx, addrs, func(err error) { log.Warn("waiting for address", "error", err) })
//
//	idle := tcp.NewIdleConnCloser(func() time.Duration { return table.Limits.IdleTimeout })
//	server := &http.Server{ConnState: idle.ConnState}
package tcp

import (
	"net"
	"net/netip"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Keep-alive settings of the kernel. It accepts times in whole seconds only.
const (
	probeIdle     = time.Second
	probeInterval = time.Second
	probeCount    = 1
)

// PeerTimeout is the time after which a connection fails if its peer no longer
// responds.
const PeerTimeout = probeIdle + probeCount*probeInterval

// Dialer returns a dialer whose connection attempts fail after timeout. Its
// connections use the local address local, or any if local is not valid.
func Dialer(local netip.Addr, timeout time.Duration) *net.Dialer {
	d := &net.Dialer{
		Timeout: timeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     probeIdle,
			Interval: probeInterval,
			Count:    probeCount,
		},
		Control: func(network, address string, raw syscall.RawConn) error {
			if err := ReuseAddress(network, address, raw); err != nil {
				return err
			}
			// Limits how long sent data may stay unacknowledged.
			return setOption(raw, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(PeerTimeout.Milliseconds()))
		},
	}
	if local.IsValid() {
		d.LocalAddr = net.TCPAddrFromAddrPort(netip.AddrPortFrom(local, 0))
	}
	return d
}
