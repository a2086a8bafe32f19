package peer

import (
	"context"
	"io"
	"net"
	"sync"

	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/yamux"
	"github.com/rotisserie/eris"
	"gopkg.in/tomb.v2"

	"siskinknot/io/meter"
	"siskinknot/io/peer/peerpb"
)

// Handler serves the calls of other daemons.
type Handler interface {
	// Answer serves every call but a Forward.
	Answer(ctx context.Context, call *peerpb.Call) *peerpb.Reply
	// Forward serves a forwarded request and ends it with a Part that carries
	// an End. ctx ends when the other side is gone.
	Forward(ctx context.Context, in *Incoming)
}

// Server accepts the sessions of other daemons.
type Server struct {
	listener net.Listener
	server   string
	handler  Handler
	log      hclog.Logger
	traffic  [purposes]meter.Traffic
	tomb     tomb.Tomb

	mu sync.Mutex
	// open are the sessions to close at the end; nil once they have been.
	open map[*yamux.Session]struct{}
}

// NewServer serves handler on listener until Close.
func NewServer(listener net.Listener, server string, handler Handler, log hclog.Logger) *Server {
	s := &Server{listener: listener, server: server, handler: handler, log: log, open: map[*yamux.Session]struct{}{}}
	s.tomb.Go(func() error {
		<-s.tomb.Dying()
		s.closeAll()
		return s.listener.Close()
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

// Close ends all sessions and waits for their tasks.
func (s *Server) Close() error {
	s.tomb.Kill(nil)
	return s.tomb.Wait()
}

// Traffic returns the byte counts of the sessions for purpose.
func (s *Server) Traffic(purpose Purpose) *meter.Traffic { return &s.traffic[purpose] }

// keep notes an open session, and reports false if the server ends.
func (s *Server) keep(mux *yamux.Session) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.open == nil {
		return false
	}
	s.open[mux] = struct{}{}
	return true
}

// forget closes a session.
func (s *Server) forget(mux *yamux.Session) {
	_ = mux.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, mux)
}

// closeAll closes all sessions.
func (s *Server) closeAll() {
	s.mu.Lock()
	open := s.open
	s.open = nil
	s.mu.Unlock()
	for mux := range open {
		_ = mux.Close()
	}
}

// acceptError returns err unless it comes from Close.
func (s *Server) acceptError(err error) error {
	if !s.tomb.Alive() {
		return nil
	}
	return eris.Wrap(err, "accept")
}

// serveConn is the task of one connection.
func (s *Server) serveConn(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	hello, err := welcome(conn, s.server)
	if err != nil {
		s.log.Debug("connection refused", "from", conn.RemoteAddr(), "error", err)
		return
	}
	counted := meter.NewConn(conn, &s.traffic[hello.Purpose])
	mux, err := yamux.Server(newBatchConn(counted), yamuxConfig())
	if err != nil {
		s.log.Error("session did not start", "from", conn.RemoteAddr(), "error", err)
		return
	}
	if !s.keep(mux) {
		_ = mux.Close()
		return
	}
	defer s.forget(mux)
	for {
		raw, err := mux.AcceptStream()
		if err != nil {
			return
		}
		s.tomb.Go(func() error {
			s.serveStream(newStream(raw))
			return nil
		})
	}
}

// serveStream is the task of one stream: it reads one call after the other, and
// the parts of a forwarded request while that is being served.
func (s *Server) serveStream(stream *Stream) {
	defer func() { _ = stream.Close() }()
	work := make(chan *Incoming)
	defer close(work)
	var current *Incoming
	defer func() { current.abandon() }()
	for {
		call := &peerpb.Call{}
		if err := stream.Read(call); err != nil {
			if !eris.Is(err, io.EOF) {
				s.log.Debug("call does not parse", "error", err)
			}
			return
		}
		switch kind := call.Kind.(type) {
		case *peerpb.Call_Forward:
			first := current == nil
			current = newIncoming(kind.Forward, stream)
			if first {
				s.tomb.Go(func() error {
					s.serveForwards(work)
					return nil
				})
			}
			work <- current
		case *peerpb.Call_Part:
			current.deliver(kind.Part)
		default:
			if stream.Write(s.handler.Answer(context.Background(), call)) != nil {
				return
			}
		}
	}
}

// serveForwards is the task that serves the forwarded requests of a stream.
func (s *Server) serveForwards(work <-chan *Incoming) {
	for in := range work {
		s.handler.Forward(in.ctx, in)
		in.finish()
	}
}
