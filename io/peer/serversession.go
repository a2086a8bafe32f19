package peer

import (
	"net"
	"sync"

	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/yamux"
)

// serverSession is a session that another daemon has opened.
type serverSession struct {
	mux     *yamux.Session
	conn    *batchConn
	from    net.Addr
	purpose Purpose
	log     hclog.Logger

	mu sync.Mutex
	// forwards is the number of forwarded requests in progress.
	forwards int
	closed   bool
}

// newServerSession returns the session for purpose on conn.
func newServerSession(conn *batchConn, purpose Purpose, log hclog.Logger) (*serverSession, error) {
	mux, err := yamux.Server(conn, yamuxConfig())
	if err != nil {
		return nil, err
	}
	return &serverSession{mux: mux, conn: conn, from: conn.RemoteAddr(), purpose: purpose, log: log}, nil
}

// beginForward records that a forwarded request begins.
func (s *serverSession) beginForward() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.forwards++
}

// endForward records that a forwarded request has ended.
func (s *serverSession) endForward() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.forwards--
}

// close closes the session, and logs what it cuts off. by is the side that ends the
// session.
func (s *serverSession) close(by string) {
	s.mu.Lock()
	closed, forwards := s.closed, s.forwards
	s.closed = true
	s.mu.Unlock()
	unsent := s.conn.unsent()
	_ = s.mux.Close()
	if !closed && (forwards > 0 || unsent > 0) {
		s.log.Warn("session closed before its requests were answered", "from", s.from.String(), "purpose", s.purpose.String(),
			"closed_by", by, "requests", forwards, "unsent_bytes", unsent)
	}
}
