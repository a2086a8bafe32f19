package forward

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/require"

	"siskinknot/core/outcome"
	"siskinknot/core/request"
	"siskinknot/io/boottime"
	"siskinknot/io/peer"
	"siskinknot/io/peer/peerpb"
)

// TestUnsentRequestIsUnknown guards against a request that is reported as possibly run though its stream had ended before any of it
// was sent: the owner has stopped since the stream was taken.
func TestUnsentRequestIsUnknown(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	owner := &slowOwner{}
	server := peer.NewServer(listener, "b", owner, hclog.NewNullLogger())
	pool := peer.NewPool("a", netip.MustParseAddr("127.0.0.1"), hclog.NewNullLogger())
	defer func() { _ = pool.Close() }()
	ctx := context.Background()
	stream, err := pool.OpenStream(ctx, listener.Addr().(*net.TCPAddr).AddrPort(), peer.Requests)
	require.NoError(t, err)
	require.True(t, server.Shutdown(ctx))
	require.NoError(t, server.Close())
	require.Eventually(t, func() bool { return errors.Is(stream.Read(&peerpb.Part{}), io.EOF) }, 5*time.Second, time.Millisecond)
	deadline := boottime.Now().Add(time.Minute)
	head := &request.Head{Service: "s", ID: "1", Class: request.Lookup, Method: http.MethodPost, Path: "/", Deadline: deadline, Objective: deadline}
	res, _ := exchange(ctx, boottime.Now(), stream, head, &Body{IsInline: true}, newDiscard(), newLossWatch(ctx, head, func() {}))
	require.Equal(t, outcome.NotRun{Reason: outcome.Unreachable}, res)
	require.Zero(t, owner.received.Load())
}
