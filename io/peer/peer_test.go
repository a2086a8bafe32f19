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

// echo answers every call with the settings version of the call's term.
type echo struct{}

func (echo) Answer(_ context.Context, call *peerpb.Call) *peerpb.Reply {
	return &peerpb.Reply{Granted: true, NextOffset: call.GetMove().GetTerm()}
}

func (echo) Forward(ctx context.Context, in *Incoming) {
	if in.Forward.Key == "hang" {
		<-ctx.Done()
		return
	}
	_ = in.Write(&peerpb.Part{Last: true, Data: []byte(in.Forward.Key)})
}

// pair returns a pool and a server that it can connect to.
func pair(t *testing.T) (*Pool, netip.AddrPort) {
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

// TestControlCallsOpenSecondSession checks that control calls which can wait and
// forwarded requests share a session, and that those of leases do not.
func TestControlCallsOpenSecondSession(t *testing.T) {
	pool, addr := pair(t)
	call := &peerpb.Call{Kind: &peerpb.Call_Move{Move: &peerpb.Move{Term: 1}}}
	stream, err := pool.Open(context.Background(), addr, Requests)
	require.NoError(t, err)
	stream.Done()
	_, err = pool.AskOver(context.Background(), addr, Requests, call)
	require.NoError(t, err)
	require.Equal(t, 1, pool.Sessions())
	_, err = pool.Ask(context.Background(), addr, call)
	require.NoError(t, err)
	require.Equal(t, 2, pool.Sessions())
}

func TestCallsShareASession(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	t.Run("calls", func(t *testing.T) {
		pool, addr := pair(t)
		for i := range uint64(50) {
			call := &peerpb.Call{Kind: &peerpb.Call_Move{Move: &peerpb.Move{Term: i}}}
			reply, err := pool.Ask(context.Background(), addr, call)
			require.NoError(t, err)
			require.Equal(t, i, reply.NextOffset)
		}
		require.Equal(t, 1, pool.Sessions())
	})
}

func TestStreamsAreReused(t *testing.T) {
	pool, addr := pair(t)
	var first *Stream
	for _, key := range []string{"x", "y", "z"} {
		stream, err := pool.Open(context.Background(), addr, Requests)
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

// TestUnusedStreamsAreClosed opens streams for calls at the same time, and checks
// that later calls, one after the other, leave one.
func TestUnusedStreamsAreClosed(t *testing.T) {
	const atOnce = 8
	pool, addr := pair(t)
	open := func() *Stream {
		stream, err := pool.Open(context.Background(), addr, Requests)
		require.NoError(t, err)
		return stream
	}
	streams := make([]*Stream, atOnce)
	for i := range streams {
		streams[i] = open()
	}
	s := streams[0].session
	for _, stream := range streams {
		stream.Done()
	}
	require.Len(t, s.idle, atOnce)
	for _, stream := range s.idle {
		stream.idleSince = stream.idleSince.Add(-2 * streamIdleLimit)
	}
	for range atOnce {
		open().Done()
	}
	require.Len(t, s.idle, 1)
}

func TestClosingCancels(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	t.Run("hang", func(t *testing.T) {
		pool, addr := pair(t)
		stream, err := pool.Open(context.Background(), addr, Requests)
		require.NoError(t, err)
		fwd := &peerpb.Forward{Key: "hang", Inline: true}
		require.NoError(t, stream.Write(&peerpb.Call{Kind: &peerpb.Call_Forward{Forward: fwd}}))
		require.NoError(t, stream.Close())
		// Closing the server waits for the handler, which waits for the
		// cancellation.
	})
}

func TestSilentPeerGetsNoCalls(t *testing.T) {
	// A listener that accepts and greets, and then never answers.
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	go func() {
		conn, err := listener.Accept()
		if err == nil {
			_, _ = welcome(conn, "silent")
		}
	}()
	pool := NewPool("a", netip.MustParseAddr("127.0.0.1"), hclog.NewNullLogger())
	defer func() { require.NoError(t, pool.Close()) }()
	addr := listener.Addr().(*net.TCPAddr).AddrPort()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	stream, err := pool.Open(ctx, addr, Requests)
	require.NoError(t, err)
	require.NoError(t, stream.Write(&peerpb.Call{}))
	// A new session takes its place, which this peer does not answer either.
	require.Eventually(t, func() bool {
		_, err := pool.Open(ctx, addr, Requests)
		return err != nil
	}, 20*time.Second, 10*time.Millisecond)
}

func TestHandshakeRefuses(t *testing.T) {
	tests := []struct {
		name  string
		hello *peerpb.Hello
		want  string
	}{
		{"another version", &peerpb.Hello{Version: Version + 1}, "protocol version 2, want 1"},
		{"another purpose", &peerpb.Hello{Version: Version, Purpose: 9}, "purpose 9 does not exist"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			client, server := net.Pipe()
			defer func() { _ = client.Close() }()
			go func() { _, _ = welcome(server, "b") }()
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
		// Neither a call nor a hello may panic, or take more than its limit.
		_ = readMessage(byteReader{bytes.NewReader(data)}, &peerpb.Call{}, MaxMessageBytes)
		var hello peerpb.Hello
		if readMessage(byteReader{bytes.NewReader(data)}, &hello, MaxMessageBytes) == nil {
			_ = refusal(&hello)
		}
	})
}

// TestAskAtItsDeadline checks that a call whose context ends just as the reply
// comes returns the reply or an error.
func TestAskAtItsDeadline(t *testing.T) {
	pool, addr := pair(t)
	const calls, longest = 4000, 200 * time.Microsecond
	replies := 0
	for i := range calls {
		ctx, cancel := context.WithCancel(context.Background())
		timer := time.AfterFunc(longest*time.Duration(i)/calls, cancel)
		reply, err := pool.Ask(ctx, addr, &peerpb.Call{Kind: &peerpb.Call_Move{Move: &peerpb.Move{Term: uint64(i)}}})
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
