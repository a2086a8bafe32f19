package peer

import (
	"context"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/yamux"
	"github.com/rotisserie/eris"
	"gopkg.in/tomb.v2"

	"siskinknot/io/meter"
	"siskinknot/io/peer/peerpb"
	"siskinknot/io/tcp"
)

// Pool holds the sessions that this daemon has opened to other daemons. It is
// safe for concurrent use.
type Pool struct {
	server  string
	dialer  net.Dialer
	log     hclog.Logger
	traffic [numPurposes]meter.Traffic
	tomb    tomb.Tomb

	mu       sync.Mutex
	sessions map[sessionKey]*session
}

// sessionKey identifies a session of a Pool.
type sessionKey struct {
	addr    netip.AddrPort
	purpose Purpose
}

// session is a connection to a peer, or a connection attempt.
type session struct {
	// ready is closed once the connection attempt has ended. If it succeeded, conn, mux
	// and monitor are set; if it failed, err is set.
	ready   chan struct{}
	conn    *batchConn
	mux     *yamux.Session
	monitor *monitor
	err     error

	mu sync.Mutex
	// idle are the streams without a call, the most recently used last.
	idle []*Stream
}

// takeStream returns an idle stream, or a new one.
func (s *session) takeStream() (*Stream, error) {
	s.mu.Lock()
	if n := len(s.idle); n > 0 {
		stream := s.idle[n-1]
		s.idle = s.idle[:n-1]
		s.mu.Unlock()
		return stream, nil
	}
	s.mu.Unlock()
	raw, err := s.mux.OpenStream()
	if err != nil {
		return nil, err
	}
	stream := newStream(raw, s.conn)
	stream.session = s
	return stream, nil
}

// putStream returns a stream whose call has completed to the idle streams. The
// most recently used stream is reused first, so the oldest idle stream stays
// unused once there are fewer concurrent calls than before. putStream closes it
// when it has been idle for streamIdleTimeout, or when there are more than
// maxIdleStreams.
func (s *session) putStream(stream *Stream) {
	now := time.Now()
	stream.idleSince = now
	s.mu.Lock()
	s.idle = append(s.idle, stream)
	var unused *Stream
	if oldest := s.idle[0]; len(s.idle) > maxIdleStreams || now.Sub(oldest.idleSince) > streamIdleTimeout {
		unused = oldest
		s.idle = slices.Delete(s.idle, 0, 1)
	}
	s.mu.Unlock()
	if unused != nil {
		_ = unused.Close()
	}
}

// activeCalls returns the number of streams with a call in progress.
func (s *session) activeCalls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.mux.NumStreams() - len(s.idle)
}

// NewPool returns an empty Pool for the daemon of server. Its connections use the
// local address local.
func NewPool(server string, local netip.Addr, log hclog.Logger) *Pool {
	p := &Pool{server: server, log: log, sessions: map[sessionKey]*session{}}
	p.dialer.Control = tcp.ReuseAddress
	p.dialer.LocalAddr = net.TCPAddrFromAddrPort(netip.AddrPortFrom(local, 0))
	p.tomb.Go(func() error {
		<-p.tomb.Dying()
		p.closeAll()
		return nil
	})
	return p
}

// Close closes all sessions and waits until their goroutines have ended. Calls in
// progress fail. The error is always nil.
func (p *Pool) Close() error {
	p.tomb.Kill(nil)
	return p.tomb.Wait()
}

// Traffic returns the counters of the bytes that the sessions for purpose have
// received and sent.
func (p *Pool) Traffic(purpose Purpose) *meter.Traffic { return &p.traffic[purpose] }

// Sessions returns the number of sessions that are open or being opened.
func (p *Pool) Sessions() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.sessions)
}

// closeAll closes all open sessions.
func (p *Pool) closeAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.sessions {
		select {
		case <-s.ready:
			if s.mux != nil {
				_ = s.mux.Close()
			}
		default:
		}
	}
}

// errNoResponse is the error of a call to a peer that does not respond to pings.
var errNoResponse = eris.New("peer does not respond to pings")

// OpenStream returns a stream for a call to the daemon at addr. If it returns
// an error, nothing of the call was sent. OpenStream starts no call on a
// session whose peer does not respond, since the peer may or may not run a
// request that is sent to it. It opens a new session immediately instead, which
// works if only the connection failed and not the peer.
func (p *Pool) OpenStream(ctx context.Context, addr netip.AddrPort, purpose Purpose) (*Stream, error) {
	return p.open(ctx, addr, purpose, (*monitor).checkResponse)
}

// open returns a stream of a session for which usable returns true. It opens a new
// session if usable returns false for the current one.
func (p *Pool) open(ctx context.Context, addr netip.AddrPort, purpose Purpose, usable func(*monitor, context.Context) bool) (*Stream, error) {
	const attempts = 2 // the first attempt may find a session that has just closed
	var err error
	for range attempts {
		var s *session
		s, err = p.session(ctx, addr, purpose)
		if err != nil {
			return nil, err
		}
		if !usable(s.monitor, ctx) {
			err = errNoResponse
			p.removeSession(sessionKey{addr, purpose}, s)
			continue
		}
		var stream *Stream
		stream, err = s.takeStream()
		if err == nil {
			s.monitor.wake()
			return stream, nil
		}
		p.closeSession(sessionKey{addr, purpose}, s)
	}
	return nil, eris.Wrapf(err, "open stream to %s", addr)
}

// Call makes a control call over a session for Control and returns its reply, like
// CallWithPurpose.
func (p *Pool) Call(ctx context.Context, addr netip.AddrPort, call *peerpb.Call) (*peerpb.Reply, error) {
	return p.CallWithPurpose(ctx, addr, Control, call)
}

// CallWithPurpose makes a control call over a session of the given purpose and
// returns its reply. A control call can be repeated, so a session that has
// received nothing for a while is not pinged first: the call itself shows
// whether the peer responds. CallWithPurpose returns an error if the call
// failed or the peer rejected it.
func (p *Pool) CallWithPurpose(ctx context.Context, addr netip.AddrPort, purpose Purpose, call *peerpb.Call) (*peerpb.Reply, error) {
	stream, err := p.open(ctx, addr, purpose, (*monitor).responsive)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, func() { _ = stream.SetDeadline(time.Unix(1, 0)) })
	var reply peerpb.Reply
	err = stream.Write(call)
	if err == nil {
		err = readMessage(stream.in, &reply, maxReplyBytes)
	}
	if stop() && err == nil {
		stream.Done()
	} else {
		_ = stream.Close()
	}
	if err != nil {
		return nil, eris.Wrapf(err, "call to %s", addr)
	}
	// A complete reply is returned even if ctx ended while it arrived.
	if reply.Error != "" {
		return nil, eris.Errorf("%s rejected the call: %s", addr, reply.Error)
	}
	return &reply, nil
}

// Disconnect closes the session for purpose to addr, if it is open, so that the next
// call opens a new one.
func (p *Pool) Disconnect(addr netip.AddrPort, purpose Purpose) {
	key := sessionKey{addr, purpose}
	p.mu.Lock()
	s := p.sessions[key]
	p.mu.Unlock()
	if s == nil {
		return
	}
	select {
	case <-s.ready:
		p.closeSession(key, s)
	default:
	}
}

// session returns the open session for purpose to addr. If there is none it opens
// one, and waits for it for up to connectWait.
func (p *Pool) session(ctx context.Context, addr netip.AddrPort, purpose Purpose) (*session, error) {
	key := sessionKey{addr, purpose}
	p.mu.Lock()
	s := p.sessions[key]
	if s == nil {
		if !p.tomb.Alive() {
			p.mu.Unlock()
			return nil, eris.New("peer pool is closed")
		}
		s = &session{ready: make(chan struct{})}
		p.sessions[key] = s
		p.tomb.Go(func() error {
			p.run(key, s)
			return nil
		})
	}
	p.mu.Unlock()
	timer := time.NewTimer(connectWait)
	defer timer.Stop()
	select {
	case <-s.ready:
		return s, s.err
	case <-timer.C:
		return nil, eris.Errorf("no connection to %s after %v", addr, connectWait)
	case <-ctx.Done():
		return nil, eris.Wrapf(ctx.Err(), "connect to %s", addr)
	}
}

// connectWait is how long a call waits for a connection. After that the call fails,
// so that its caller can look up the owner again, which may have changed. The
// connection attempt continues for later calls.
const connectWait = 150 * time.Millisecond

// run is the goroutine of one session: it connects to the peer, and then monitors
// the session until it is closed.
func (p *Pool) run(key sessionKey, s *session) {
	s.err = p.connect(key, s)
	close(s.ready)
	if s.err == nil {
		s.monitor.run(p.tomb.Dying())
	}
	p.closeSession(key, s)
}

// connect dials the peer, performs the handshake and starts the yamux session.
func (p *Pool) connect(key sessionKey, s *session) error {
	ctx, cancel := context.WithTimeout(p.tomb.Context(nil), handshakeTimeout) //nolint:staticcheck // tomb accepts nil
	defer cancel()
	conn, err := p.dialer.DialContext(ctx, "tcp", key.addr.String())
	if err != nil {
		return eris.Wrapf(err, "dial %s", key.addr)
	}
	handshakeAt := time.Now()
	if err := clientHandshake(conn, p.server, key.purpose); err != nil {
		_ = conn.Close()
		return eris.Wrapf(err, "handshake with %s", key.addr)
	}
	counted := meter.NewConn(conn, &p.traffic[key.purpose])
	s.conn = newBatchConn(counted)
	s.mux, err = yamux.Client(s.conn, yamuxConfig())
	if err != nil {
		_ = conn.Close()
		return eris.Wrapf(err, "start session with %s", key.addr)
	}
	s.monitor = newMonitor(s.mux, counted, s.activeCalls, time.Since(handshakeAt))
	return nil
}

// removeSession removes s from the pool, so that the next call opens a new session.
// The calls of s continue.
func (p *Pool) removeSession(key sessionKey, s *session) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.sessions[key] == s {
		delete(p.sessions, key)
	}
}

// closeSession removes s from the pool and closes it.
func (p *Pool) closeSession(key sessionKey, s *session) {
	p.removeSession(key, s)
	if s.mux != nil {
		_ = s.mux.Close()
	}
}
