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

// TestSocketOptions checks the socket options of a connection. It cannot test an
// unresponsive peer, since on the loopback interface the kernel itself acknowledges
// all data.
func TestSocketOptions(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	conn, err := Dialer(netip.MustParseAddr("127.0.0.1"), time.Second).DialContext(context.Background(), "tcp", listener.Addr().String())
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	raw, err := conn.(*net.TCPConn).SyscallConn()
	require.NoError(t, err)
	for _, tt := range []struct {
		name          string
		level, option int
		want          int
	}{
		{"keep-alive enabled", unix.SOL_SOCKET, unix.SO_KEEPALIVE, 1},
		{"idle time before the first probe, s", unix.IPPROTO_TCP, unix.TCP_KEEPIDLE, 1},
		{"interval between probes, s", unix.IPPROTO_TCP, unix.TCP_KEEPINTVL, 1},
		{"number of probes", unix.IPPROTO_TCP, unix.TCP_KEEPCNT, 1},
		{"timeout of unacknowledged data, ms", unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, 2000},
	} {
		t.Run(tt.name, func(t *testing.T) {
			var got int
			require.NoError(t, raw.Control(func(fd uintptr) { got, err = unix.GetsockoptInt(int(fd), tt.level, tt.option) }))
			require.NoError(t, err)
			require.Equal(t, tt.want, got)
		})
	}
}
