package peer

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/yamux"

	"siskinknot/core/outcome"
	"siskinknot/io/peer/peerpb"
	"siskinknot/io/tcp"
)

const (
	// minFlushTime is how long Shutdown may take to send what is queued, also if its context
	// ends sooner.
	minFlushTime = 150 * time.Millisecond
	// clientCloseTimeout is how long a session waits for the client to acknowledge more of
	// what was sent, or to close the connection after all of it. A client that takes longer
	// does not answer pings either.
	clientCloseTimeout = pingTimeout
	// closePollInterval is how often a session checks what the client has acknowledged.
	closePollInterval = 20 * time.Millisecond
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
	// refusing is set once no further forwarded request is served.
	refusing bool
	// cond is signalled when forwards becomes 0.
	cond *sync.Cond
}

// newServerSession returns the session for purpose on conn.
func newServerSession(conn *batchConn, purpose Purpose, log hclog.Logger) (*serverSession, error) {
	mux, err := yamux.Server(conn, yamuxConfig())
	if err != nil {
		return nil, err
	}
	s := &serverSession{mux: mux, conn: conn, from: conn.RemoteAddr(), purpose: purpose, log: log}
	s.cond = sync.NewCond(&s.mu)
	return s, nil
}

// beginForward records that a forwarded request begins. It returns false if the request must
// not be served.
func (s *serverSession) beginForward() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.refusing {
		return false
	}
	s.forwards++
	return true
}

// endForward records that a forwarded request has ended.
func (s *serverSession) endForward() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.forwards--
	if s.forwards == 0 {
		s.cond.Broadcast()
	}
}

// refuseForwards makes beginForward return false from now on.
func (s *serverSession) refuseForwards() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refusing = true
}

// awaitForwards waits until no forwarded request is in progress, or ctx ends. From then on
// none is served. It reports whether none is in progress.
func (s *serverSession) awaitForwards(ctx context.Context) bool {
	stop := context.AfterFunc(ctx, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.cond.Broadcast()
	})
	defer stop()
	s.mu.Lock()
	defer s.mu.Unlock()
	for s.forwards > 0 && ctx.Err() == nil {
		s.cond.Wait()
	}
	s.refusing = true
	return s.forwards == 0
}

// finish sends what is queued, and then the end of the connection. It reads the client's data
// until the client has closed the connection: a TCP connection that is closed with unread
// data is reset, which destroys what the client has not received. finish returns once ctx has
// ended, and reports whether everything was sent.
func (s *serverSession) finish(ctx context.Context) bool {
	return s.conn.CloseWrite(ctx) == nil && s.awaitClientClose(ctx)
}

// awaitClientClose waits until the client has closed the session, makes no progress for
// clientCloseTimeout, or ctx ends. It reports whether the client has closed the session or
// acknowledged all data.
func (s *serverSession) awaitClientClose(ctx context.Context) bool {
	const endOfData = 1 // the end of the connection counts as one byte of the send queue
	ticker := time.NewTicker(closePollInterval)
	defer ticker.Stop()
	queued, err := tcp.SendQueue(s.conn)
	for progressAt := time.Now(); err == nil && time.Since(progressAt) < clientCloseTimeout; {
		select {
		case <-s.mux.CloseChan():
			return true
		case <-ctx.Done():
			return queued <= endOfData
		case <-ticker.C:
		}
		var left int
		if left, err = tcp.SendQueue(s.conn); left < queued {
			queued, progressAt = left, time.Now()
		}
	}
	return queued <= endOfData
}

// withMinTime returns a context that ends with ctx, but not before d has passed.
func withMinTime(ctx context.Context, d time.Duration) (context.Context, context.CancelFunc) {
	longer, cancel := context.WithCancel(context.WithoutCancel(ctx))
	time.AfterFunc(d, func() { context.AfterFunc(ctx, cancel) })
	return longer, cancel
}

// refuse answers a forwarded request that is not served.
func refuse(stream *Stream) {
	end := &peerpb.End{Outcome: peerpb.End_OUTCOME_NOT_RUN, Reason: string(outcome.Draining)}
	_ = stream.Write(&peerpb.Part{Last: true, End: end})
}

// The sides that may end a session, as they are logged.
const (
	closedByServer = "server"
	closedByClient = "client"
)

// close closes the session, and logs what it cuts off. by is the side that ends the
// session.
func (s *serverSession) close(by string) {
	s.mu.Lock()
	closed, forwards := s.closed, s.forwards
	s.closed = true
	if s.refusing {
		by = closedByServer // the client only follows
	}
	s.mu.Unlock()
	unsent := s.conn.unsent()
	_ = s.mux.Close()
	if !closed && (forwards > 0 || unsent > 0) {
		s.log.Warn("session closed before its requests were answered", "from", s.from.String(), "purpose", s.purpose.String(),
			"closed_by", by, "requests", forwards, "unsent_bytes", unsent)
	}
}
