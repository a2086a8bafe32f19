package peer

import (
	"context"
	"errors"
	"io"
	"maps"
	"net"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/hashicorp/go-hclog"
	"github.com/rotisserie/eris"
	"gopkg.in/tomb.v2"

	"siskinknot/io/boottime"
	"siskinknot/io/meter"
	"siskinknot/io/peer/peerpb"
	"siskinknot/io/tcp"
)

// Handler serves the calls of other daemons. Its methods are called concurrently.
type Handler interface {
	// HandleCall serves a call of any kind but Forward and returns its reply.
	HandleCall(ctx context.Context, call *peerpb.Call) *peerpb.Reply
	// Forward serves a forwarded request. The last Part that it writes carries an
	// End. ctx ends when the client closes the stream or the session ends.
	Forward(ctx context.Context, in *Incoming)
}

// Server accepts the sessions that other daemons open.
type Server struct {
	listener net.Listener
	server   string
	handler  Handler
	log      hclog.Logger
	traffic  [numPurposes]meter.Traffic
	tomb     tomb.Tomb

	mu sync.Mutex
	// open holds the open sessions. It is nil once Close has begun to close them.
	open map[*serverSession]struct{}
	// stopping is set once no further session is accepted.
	stopping bool
}

// NewServer returns a Server for the daemon of server. It serves calls that arrive
// on listener with handler until Close.
func NewServer(listener net.Listener, server string, handler Handler, log hclog.Logger) *Server {
	listener = tcp.RetryAccept(listener, func(err error) { log.Warn("failed to accept connection", "error", err) })
	s := &Server{listener: listener, server: server, handler: handler, log: log, open: map[*serverSession]struct{}{}}
	s.tomb.Go(func() error {
		<-s.tomb.Dying()
		s.closeAll()
		if err := s.listener.Close(); !errors.Is(err, net.ErrClosed) {
			return err
		}
		return nil
	})
	s.tomb.Go(func() error {
		for {
			conn, err := s.listener.Accept()
			if err != nil {
				return s.acceptError(err)
			}
			s.tomb.Go(func() error {
				s.serveConn(conn)
				return nil
			})
		}
	})
	return s
}

// Shutdown ends all sessions gracefully. It accepts no further ones, waits until the forwarded
// requests in progress are answered or ctx ends, and sends the answers, for which it takes up
// to minFlushTime also if ctx has ended. Requests that arrive on a session with a request in
// progress are served, others are refused. Shutdown reports whether all requests were
// answered and the answers were sent. Close must be called afterwards.
func (s *Server) Shutdown(ctx context.Context) bool {
	s.mu.Lock()
	s.stopping = true
	s.mu.Unlock()
	_ = s.listener.Close()
	answered := s.forEachSession(func(session *serverSession) bool { return session.awaitForwards(ctx) })
	flushCtx, cancel := withMinTime(ctx, minFlushTime)
	defer cancel()
	sent := s.forEachSession(func(session *serverSession) bool { return session.finish(flushCtx) })
	return answered && sent
}

// forEachSession calls f concurrently for the open sessions, and reports whether it returned
// true for all.
func (s *Server) forEachSession(f func(*serverSession) bool) bool {
	s.mu.Lock()
	open := slices.Collect(maps.Keys(s.open))
	s.mu.Unlock()
	var failed atomic.Bool
	var calls sync.WaitGroup
	for _, session := range open {
		calls.Go(func() {
			if !f(session) {
				failed.Store(true)
			}
		})
	}
	calls.Wait()
	return !failed.Load()
}

// Close closes the listener and all sessions, and waits until their goroutines have
// ended. It returns the error with which accepting connections or closing the
// listener failed, if any.
func (s *Server) Close() error {
	s.tomb.Kill(nil)
	return s.tomb.Wait()
}

// Traffic returns the counters of the bytes that the sessions for purpose have
// received and sent.
func (s *Server) Traffic(purpose Purpose) *meter.Traffic { return &s.traffic[purpose] }

// track records an open session. It returns false if the server is closed. A session whose
// handshake ends during Shutdown refuses all forwarded requests.
func (s *Server) track(session *serverSession) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.open == nil {
		return false
	}
	if s.stopping {
		session.refuseForwards()
	}
	s.open[session] = struct{}{}
	return true
}

// closeSession closes a session that the client has ended, or that has failed, and
// removes it from the open sessions.
func (s *Server) closeSession(session *serverSession) {
	session.close(closedByClient)
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, session)
}

// closeAll closes all sessions.
func (s *Server) closeAll() {
	s.mu.Lock()
	open := s.open
	s.open, s.stopping = nil, true
	s.mu.Unlock()
	for session := range open {
		session.close(closedByServer)
	}
}

// acceptError returns the error that ends the accept loop: nil if Shutdown or Close closed
// the listener, otherwise err.
func (s *Server) acceptError(err error) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopping || !s.tomb.Alive() {
		return nil
	}
	return eris.Wrap(err, "accept")
}

// serveConn serves one connection until its session ends.
func (s *Server) serveConn(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	hello, err := serverHandshake(conn, s.server)
	if err != nil {
		s.log.Debug("connection rejected", "from", conn.RemoteAddr(), "error", err)
		return
	}
	counted := meter.NewConn(conn, &s.traffic[hello.Purpose])
	batched := newBatchConn(counted)
	session, err := newServerSession(batched, Purpose(hello.Purpose), s.log)
	if err != nil {
		s.log.Error("failed to start session", "from", conn.RemoteAddr(), "error", err)
		return
	}
	if !s.track(session) {
		session.close(closedByServer)
		return
	}
	defer s.closeSession(session)
	for {
		raw, err := session.mux.AcceptStream()
		if err != nil {
			return
		}
		s.tomb.Go(func() error {
			s.serveStream(session, newStream(raw, batched))
			return nil
		})
	}
}

// serveStream serves the calls of one stream, one after the other. While a
// forwarded request is being served in another goroutine, it reads the Parts of
// that request's body.
func (s *Server) serveStream(session *serverSession, stream *Stream) {
	defer func() { _ = stream.Close() }()
	forwards := make(chan *Incoming)
	defer close(forwards)
	var current *Incoming
	defer func() { current.cancelRequest() }()
	for {
		call := &peerpb.Call{}
		if err := stream.Read(call); err != nil {
			if !eris.Is(err, io.EOF) {
				s.log.Debug("failed to read call", "error", err)
			}
			return
		}
		switch kind := call.Kind.(type) {
		case *peerpb.Call_Forward:
			if !session.beginForward() {
				refuse(stream)
				continue
			}
			first := current == nil
			current = newIncoming(boottime.Now(), kind.Forward, stream)
			if first {
				s.tomb.Go(func() error {
					s.serveForwards(session, forwards)
					return nil
				})
			}
			forwards <- current
		case *peerpb.Call_Part:
			current.receiveBody(kind.Part)
		default:
			if stream.Write(s.handler.HandleCall(context.Background(), call)) != nil {
				return
			}
		}
	}
}

// serveForwards serves the forwarded requests of one stream, one after the other.
func (s *Server) serveForwards(session *serverSession, forwards <-chan *Incoming) {
	for in := range forwards {
		s.handler.Forward(in.ctx, in)
		in.finish()
		session.endForward()
	}
}
