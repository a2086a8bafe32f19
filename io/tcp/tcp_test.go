package tcp

import (
	"context"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

// TestProbes checks what the kernel was told: a silent connection cannot be had
// on loopback, where the kernel itself acknowledges.
func TestProbes(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	conn, err := Dialer(netip.MustParseAddr("127.0.0.1"), time.Second).DialContext(context.Background(), "tcp", listener.Addr().String())
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	raw, err := conn.(*net.TCPConn).SyscallConn()
	require.NoError(t, err)
	for _, row := range []struct {
		name          string
		level, option int
		want          int
	}{
		{"probes are on", unix.SOL_SOCKET, unix.SO_KEEPALIVE, 1},
		{"first probe, s", unix.IPPROTO_TCP, unix.TCP_KEEPIDLE, 1},
		{"further probes, s", unix.IPPROTO_TCP, unix.TCP_KEEPINTVL, 1},
		{"number of probes", unix.IPPROTO_TCP, unix.TCP_KEEPCNT, 1},
		{"unacknowledged data, ms", unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, 2000},
	} {
		t.Run(row.name, func(t *testing.T) {
			var got int
			require.NoError(t, raw.Control(func(fd uintptr) { got, err = unix.GetsockoptInt(int(fd), row.level, row.option) }))
			require.NoError(t, err)
			require.Equal(t, row.want, got)
		})
	}
}
