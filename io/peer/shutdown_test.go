package peer

import (
	"context"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/yamux"
	"github.com/stretchr/testify/require"

	"siskinknot/core/outcome"
	"siskinknot/io/meter"
	"siskinknot/io/peer/peerpb"
)

// gate blocks the goroutines that pass it while it is closed.
type gate struct {
	mu      sync.Mutex
	cond    *sync.Cond
	closed  bool
	waiting int
}

// newGate returns an open gate.
func newGate() *gate {
	g := &gate{}
	g.cond = sync.NewCond(&g.mu)
	return g
}

// set closes or opens the gate.
func (g *gate) set(closed bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = closed
	g.cond.Broadcast()
}

// pass waits until the gate is open.
func (g *gate) pass() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.waiting++
	for g.closed {
		g.cond.Wait()
	}
	g.waiting--
}

// blocks reports whether a goroutine waits for the gate to open.
func (g *gate) blocks() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.waiting > 0
}

// heldConn is a TCP connection whose reads and writes can be held up.
type heldConn struct {
	*net.TCPConn
	reads, writes *gate
}

// newHeldConn returns conn, with nothing held up.
func newHeldConn(conn net.Conn) *heldConn {
	return &heldConn{TCPConn: conn.(*net.TCPConn), reads: newGate(), writes: newGate()}
}

// Read implements net.Conn.
func (c *heldConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	c.reads.pass()
	return n, err
}

// Write implements net.Conn.
func (c *heldConn) Write(p []byte) (int, error) {
	c.writes.pass()
	return c.TCPConn.Write(p)
}

// heldListener accepts connections as heldConns and passes them to accepted.
type heldListener struct {
	net.Listener
	accepted chan *heldConn
}

// Accept implements net.Listener.
func (l heldListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	held := newHeldConn(conn)
	l.accepted <- held
	return held, nil
}

// partsHandler is a Handler that answers each Forward with parts of partBytes. It writes the
// last one once lastPart is open.
type partsHandler struct {
	echo
	parts, partBytes int
	lastPart         *gate
	answered         sync.WaitGroup
}

// Forward implements Handler.
func (h *partsHandler) Forward(_ context.Context, in *Incoming) {
	defer h.answered.Done()
	data := make([]byte, h.partBytes)
	for range h.parts - 1 {
		_ = in.Write(&peerpb.Part{Data: data})
	}
	h.lastPart.pass()
	_ = in.Write(&peerpb.Part{Data: data, Last: true})
}

// newHeldServer returns a Server with handler, its address, and the connections that it accepts.
func newHeldServer(t *testing.T, handler Handler) (*Server, net.Addr, <-chan *heldConn) {
	t.Helper()
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	accepted := make(chan *heldConn, 8)
	return NewServer(heldListener{inner, accepted}, "b", handler, hclog.NewNullLogger()), inner.Addr(), accepted
}

// heldSession is a client's session over a heldConn.
type heldSession struct {
	*yamux.Session
	batched *batchConn
	conn    *heldConn
}

// dialHeld returns a session with the server that listens at addr. It is closed at the end of
// the test.
func dialHeld(t *testing.T, addr net.Addr) *heldSession {
	t.Helper()
	conn, err := net.Dial("tcp", addr.String())
	require.NoError(t, err)
	require.NoError(t, conn.(*net.TCPConn).SetReadBuffer(128<<10))
	require.NoError(t, clientHandshake(conn, "a", Requests))
	s := &heldSession{conn: newHeldConn(conn)}
	s.batched = newBatchConn(meter.NewConn(s.conn, &meter.Traffic{}))
	s.Session, err = yamux.Client(s.batched, yamuxConfig())
	require.NoError(t, err)
	t.Cleanup(func() {
		s.conn.reads.set(false)
		_ = s.Close()
	})
	return s
}

// send sends call on a new stream.
func (s *heldSession) send(t *testing.T, call *peerpb.Call) *Stream {
	t.Helper()
	raw, err := s.OpenStream()
	require.NoError(t, err)
	stream := newStream(raw, s.batched)
	require.NoError(t, stream.Write(call))
	return stream
}

// forwardCall returns the Call of a forwarded request.
func forwardCall() *peerpb.Call {
	return &peerpb.Call{Kind: &peerpb.Call_Forward{Forward: &peerpb.Forward{Inline: true}}}
}

// unsent returns how many bytes are queued in the sessions of server.
func unsent(server *Server) int {
	server.mu.Lock()
	defer server.mu.Unlock()
	bytes := 0
	for session := range server.open {
		bytes += session.conn.unsent()
	}
	return bytes
}

// readAnswer returns how many bytes of an answer arrive on stream, and whether it is complete.
func readAnswer(stream *Stream) (size int, complete bool) {
	for {
		var part peerpb.Part
		if stream.Read(&part) != nil {
			return size, false
		}
		size += len(part.Data)
		if part.Last {
			return size, true
		}
	}
}

// TestShutdownCutsAnswers guards against answers that their handlers have written, or are writing, and that are lost when the
// server ends: queued in the session, or destroyed by the reset of a connection that is closed with unread bytes.
func TestShutdownCutsAnswers(t *testing.T) {
	const holdTime = 50 * time.Millisecond
	for _, row := range []struct {
		name                      string
		requests, parts           int
		holdWrites, holdLastPart  bool
		holdClientReads, unreadIn bool
	}{
		{name: "queued in the batch", requests: 4, parts: 1, holdWrites: true},
		{name: "still being written", requests: 4, parts: 2, holdLastPart: true},
		{name: "bytes of the client are unread", requests: 8, parts: 4, holdClientReads: true, unreadIn: true},
	} {
		t.Run(row.name, func(t *testing.T) {
			handler := &partsHandler{parts: row.parts, partBytes: PartBytes, lastPart: newGate()}
			handler.answered.Add(row.requests)
			server, addr, accepted := newHeldServer(t, handler)
			client := dialHeld(t, addr)
			serverConn := <-accepted
			hold := func(closed bool) {
				serverConn.writes.set(closed && row.holdWrites)
				handler.lastPart.set(closed && row.holdLastPart)
				client.conn.reads.set(closed && row.holdClientReads)
			}
			hold(true)
			streams := make([]*Stream, row.requests)
			for i := range streams {
				streams[i] = client.send(t, forwardCall())
			}
			if row.holdLastPart {
				require.Eventually(t, handler.lastPart.blocks, 5*time.Second, time.Millisecond)
			} else {
				handler.answered.Wait()
				require.Eventually(t, func() bool { return row.holdWrites || unsent(server) == 0 }, 5*time.Second, time.Millisecond)
			}
			if row.unreadIn {
				serverConn.reads.set(true)
				part := &peerpb.Call{Kind: &peerpb.Call_Part{Part: &peerpb.Part{Data: make([]byte, PartBytes)}}}
				client.send(t, part)
				require.Eventually(t, serverConn.reads.blocks, 5*time.Second, time.Millisecond)
				client.send(t, part)
				time.Sleep(holdTime)
			}
			ended := make(chan bool)
			go func() {
				ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
				defer cancel()
				complete := server.Shutdown(ctx) && client.IsClosed()
				_ = server.Close()
				ended <- complete
			}()
			time.Sleep(holdTime)
			serverConn.reads.set(false)
			time.Sleep(holdTime)
			hold(false)
			for i, stream := range streams {
				size, complete := readAnswer(stream)
				require.True(t, complete, "answer %d ends after %d of %d bytes", i, size, row.parts*PartBytes)
				require.Equal(t, row.parts*PartBytes, size)
			}
			require.True(t, <-ended)
		})
	}
}

// TestShutdownRunsLateRequest guards against a request that arrives while the server ends, runs, and gets no answer.
func TestShutdownRunsLateRequest(t *testing.T) {
	handler := &partsHandler{parts: 1, lastPart: newGate()}
	handler.answered.Add(1)
	server, addr, _ := newHeldServer(t, handler)
	busy, unused := dialHeld(t, addr), dialHeld(t, addr)
	handler.lastPart.set(true)
	running := busy.send(t, forwardCall())
	require.Eventually(t, handler.lastPart.blocks, 5*time.Second, time.Millisecond)
	ended := make(chan bool)
	go func() { ended <- server.Shutdown(context.Background()) }()
	require.Eventually(t, func() bool { return refusing(server) == 1 }, 5*time.Second, time.Millisecond)
	var part peerpb.Part
	require.NoError(t, unused.send(t, forwardCall()).Read(&part))
	require.Equal(t, peerpb.End_OUTCOME_NOT_RUN, part.End.GetOutcome())
	require.Equal(t, string(outcome.Draining), part.End.GetReason())
	handler.lastPart.set(false)
	_, complete := readAnswer(running)
	require.True(t, complete)
	require.True(t, <-ended)
	require.NoError(t, server.Close())
}

// refusing returns how many sessions of server refuse forwarded requests.
func refusing(server *Server) int {
	server.mu.Lock()
	defer server.mu.Unlock()
	n := 0
	for session := range server.open {
		session.mu.Lock()
		if session.refusing {
			n++
		}
		session.mu.Unlock()
	}
	return n
}

// TestShutdownWaitsForFrozenClient guards against a stop that uses up its time because another daemon is frozen.
func TestShutdownWaitsForFrozenClient(t *testing.T) {
	const limit = 20 * time.Second
	handler := &partsHandler{parts: 1, lastPart: newGate()}
	handler.answered.Add(1)
	server, addr, _ := newHeldServer(t, handler)
	client := dialHeld(t, addr)
	client.conn.reads.set(true)
	client.send(t, forwardCall())
	handler.answered.Wait()
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	startedAt := time.Now()
	server.Shutdown(ctx)
	require.Less(t, time.Since(startedAt), limit/2)
	require.NoError(t, server.Close())
}

// TestFlushEndsWithItsContext guards against answers that are dropped because the time of the stop is used up.
func TestFlushEndsWithItsContext(t *testing.T) {
	const flushTime = 100 * time.Millisecond
	for _, row := range []struct {
		name       string
		left, want time.Duration
	}{
		{"context has ended", 0, flushTime},
		{"context ends sooner", flushTime / 2, flushTime},
		{"context ends later", 3 * flushTime, 3 * flushTime},
	} {
		t.Run(row.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithTimeout(context.Background(), row.left)
				defer cancel()
				startedAt := time.Now()
				flushCtx, cancelFlush := withMinTime(ctx, flushTime)
				defer cancelFlush()
				<-flushCtx.Done()
				require.Equal(t, row.want, time.Since(startedAt))
			})
		})
	}
}
