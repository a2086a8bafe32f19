package peer

import (
	"bytes"
	"context"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
	"google.golang.org/protobuf/encoding/protodelim"

	"siskinknot/io/peer/peerpb"
)

// echo is a Handler that returns the term of a Move as NextOffset, and the key of a
// Forward as data. A Forward with key "hang" waits until it is cancelled.
type echo struct{}

func (echo) HandleCall(_ context.Context, call *peerpb.Call) *peerpb.Reply {
	return &peerpb.Reply{Granted: true, NextOffset: call.GetMove().GetTerm()}
}

func (echo) Forward(ctx context.Context, in *Incoming) {
	if in.Forward.Key == "hang" {
		<-ctx.Done()
		return
	}
	_ = in.Write(&peerpb.Part{Last: true, Data: []byte(in.Forward.Key)})
}

// newPoolAndServer returns a Pool, and the address of a Server with an echo handler
// that it can connect to. Both are closed at the end of the test.
func newPoolAndServer(t *testing.T) (*Pool, netip.AddrPort) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	addr := listener.Addr().(*net.TCPAddr).AddrPort()
	server := NewServer(listener, "b", echo{}, hclog.NewNullLogger())
	pool := NewPool("a", netip.MustParseAddr("127.0.0.1"), hclog.NewNullLogger())
	t.Cleanup(func() {
		require.NoError(t, pool.Close())
		require.NoError(t, server.Close())
	})
	return pool, addr
}

// TestControlCallsOpenSecondSession checks that control calls that tolerate a delay,
// which use sessions for Requests, share a session with forwarded requests, and that
// control calls for leases, which use sessions for Control, have a separate one.
func TestControlCallsOpenSecondSession(t *testing.T) {
	pool, addr := newPoolAndServer(t)
	call := &peerpb.Call{Kind: &peerpb.Call_Move{Move: &peerpb.Move{Term: 1}}}
	stream, err := pool.OpenStream(context.Background(), addr, Requests)
	require.NoError(t, err)
	stream.Done()
	_, err = pool.CallWithPurpose(context.Background(), addr, Requests, call)
	require.NoError(t, err)
	require.Equal(t, 1, pool.Sessions())
	_, err = pool.Call(context.Background(), addr, call)
	require.NoError(t, err)
	require.Equal(t, 2, pool.Sessions())
}

func TestCallsShareASession(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	t.Run("calls", func(t *testing.T) {
		pool, addr := newPoolAndServer(t)
		for i := range uint64(50) {
			call := &peerpb.Call{Kind: &peerpb.Call_Move{Move: &peerpb.Move{Term: i}}}
			reply, err := pool.Call(context.Background(), addr, call)
			require.NoError(t, err)
			require.Equal(t, i, reply.NextOffset)
		}
		require.Equal(t, 1, pool.Sessions())
	})
}

func TestStreamsAreReused(t *testing.T) {
	pool, addr := newPoolAndServer(t)
	var first *Stream
	for _, key := range []string{"x", "y", "z"} {
		stream, err := pool.OpenStream(context.Background(), addr, Requests)
		require.NoError(t, err)
		if first == nil {
			first = stream
		}
		require.Same(t, first, stream)
		fwd := &peerpb.Forward{Key: key, Inline: true}
		require.NoError(t, stream.Write(&peerpb.Call{Kind: &peerpb.Call_Forward{Forward: fwd}}))
		var part peerpb.Part
		require.NoError(t, stream.Read(&part))
		require.Equal(t, key, string(part.Data))
		stream.Done()
	}
}

// TestUnusedStreamsAreClosed opens several streams at the same time, and checks
// that all but one are closed once they are older than streamIdleTimeout and
// calls are made one after the other.
func TestUnusedStreamsAreClosed(t *testing.T) {
	const concurrent = 8
	pool, addr := newPoolAndServer(t)
	open := func() *Stream {
		stream, err := pool.OpenStream(context.Background(), addr, Requests)
		require.NoError(t, err)
		return stream
	}
	streams := make([]*Stream, concurrent)
	for i := range streams {
		streams[i] = open()
	}
	s := streams[0].session
	for _, stream := range streams {
		stream.Done()
	}
	require.Len(t, s.idle, concurrent)
	for _, stream := range s.idle {
		stream.idleSince = stream.idleSince.Add(-2 * streamIdleTimeout)
	}
	for range concurrent {
		open().Done()
	}
	require.Len(t, s.idle, 1)
}

func TestClosingStreamCancelsCall(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	t.Run("hang", func(t *testing.T) {
		pool, addr := newPoolAndServer(t)
		stream, err := pool.OpenStream(context.Background(), addr, Requests)
		require.NoError(t, err)
		fwd := &peerpb.Forward{Key: "hang", Inline: true}
		require.NoError(t, stream.Write(&peerpb.Call{Kind: &peerpb.Call_Forward{Forward: fwd}}))
		require.NoError(t, stream.Close())
		// The cleanup closes the server, which waits for the handler. The handler
		// returns only when closing the stream has cancelled its context.
	})
}

func TestUnresponsivePeerGetsNoCalls(t *testing.T) {
	// This listener accepts a connection and completes the handshake, and then
	// never sends anything.
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	go func() {
		conn, err := listener.Accept()
		if err == nil {
			_, _ = serverHandshake(conn, "silent")
		}
	}()
	pool := NewPool("a", netip.MustParseAddr("127.0.0.1"), hclog.NewNullLogger())
	defer func() { require.NoError(t, pool.Close()) }()
	addr := listener.Addr().(*net.TCPAddr).AddrPort()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	stream, err := pool.OpenStream(ctx, addr, Requests)
	require.NoError(t, err)
	require.NoError(t, stream.Write(&peerpb.Call{}))
	// OpenStream replaces the unresponsive session with a new one, to which the
	// listener does not respond either.
	require.Eventually(t, func() bool {
		_, err := pool.OpenStream(ctx, addr, Requests)
		return err != nil
	}, 20*time.Second, 10*time.Millisecond)
}

func TestHandshakeRejects(t *testing.T) {
	tests := []struct {
		name  string
		hello *peerpb.Hello
		want  string
	}{
		{"unsupported version", &peerpb.Hello{Version: Version + 1}, "protocol version 2, want 1"},
		{"unknown purpose", &peerpb.Hello{Version: Version, Purpose: 9}, "purpose 9 does not exist"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			client, server := net.Pipe()
			defer func() { _ = client.Close() }()
			go func() { _, _ = serverHandshake(server, "b") }()
			_, err := protodelim.MarshalTo(client, tt.hello)
			require.NoError(t, err)
			var answer peerpb.HelloAnswer
			require.NoError(t, readMessage(byteReader{client}, &answer, MaxMessageBytes))
			require.Equal(t, tt.want, answer.Error)
		})
	}
}

func TestMessagesAreBounded(t *testing.T) {
	var buf bytes.Buffer
	_, err := protodelim.MarshalTo(&buf, &peerpb.Part{Data: make([]byte, MaxMessageBytes+1)})
	require.NoError(t, err)
	err = readMessage(byteReader{&buf}, &peerpb.Part{}, MaxMessageBytes)
	var tooLarge *protodelim.SizeTooLargeError
	require.ErrorAs(t, err, &tooLarge)
}

func FuzzMessage(f *testing.F) {
	var buf bytes.Buffer
	_, _ = protodelim.MarshalTo(&buf, &peerpb.Call{Kind: &peerpb.Call_Forward{Forward: &peerpb.Forward{Service: "registry"}}})
	f.Add(buf.Bytes())
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0x0f})
	f.Fuzz(func(_ *testing.T, data []byte) {
		// Reading a Call or a Hello must neither panic nor allocate more than the
		// message limit.
		_ = readMessage(byteReader{bytes.NewReader(data)}, &peerpb.Call{}, MaxMessageBytes)
		var hello peerpb.Hello
		if readMessage(byteReader{bytes.NewReader(data)}, &hello, MaxMessageBytes) == nil {
			_ = rejectReason(&hello)
		}
	})
}

// TestCallAtItsDeadline checks that a call whose context ends at the moment at which
// the reply arrives returns either the reply or an error.
func TestCallAtItsDeadline(t *testing.T) {
	pool, addr := newPoolAndServer(t)
	const calls, maxTimeout = 4000, 200 * time.Microsecond
	replies := 0
	for i := range calls {
		ctx, cancel := context.WithCancel(context.Background())
		timer := time.AfterFunc(maxTimeout*time.Duration(i)/calls, cancel)
		reply, err := pool.Call(ctx, addr, &peerpb.Call{Kind: &peerpb.Call_Move{Move: &peerpb.Move{Term: uint64(i)}}})
		timer.Stop()
		cancel()
		if err != nil {
			require.Nil(t, reply)
			continue
		}
		require.NotNil(t, reply, "call %d of %d", i, calls)
		require.Equal(t, uint64(i), reply.NextOffset)
		replies++
	}
	t.Logf("%d of %d calls were answered", replies, calls)
}
