package peer

import (
	"context"
	"net"
	"net/netip"
	"testing"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/require"
)

// TestIdleStreamOfEndedSessionIsReused guards against a call that is made on a stream whose session has ended, and fails.
func TestIdleStreamOfEndedSessionIsReused(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := NewServer(listener, "b", echo{}, hclog.NewNullLogger())
	pool := NewPool("a", netip.MustParseAddr("127.0.0.1"), hclog.NewNullLogger())
	stream, err := pool.OpenStream(context.Background(), listener.Addr().(*net.TCPAddr).AddrPort(), Requests)
	require.NoError(t, err)
	ended := stream.session
	stream.Done()
	require.True(t, server.Shutdown(context.Background()))
	require.NoError(t, server.Close())
	<-ended.mux.CloseChan()
	_, err = ended.takeStream()
	require.Error(t, err)
	require.NoError(t, pool.Close())
}
