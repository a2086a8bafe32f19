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
)

// Pool keeps the sessions that this daemon opened. It is safe for concurrent
// use.
type Pool struct {
	server  string
	dialer  net.Dialer
	log     hclog.Logger
	traffic [purposes]meter.Traffic
	tomb    tomb.Tomb

	mu       sync.Mutex
	sessions map[sessionKey]*session
}

type sessionKey struct {
	addr    netip.AddrPort
	purpose Purpose
}

// session is a connection to a peer, or the attempt to make one.
type session struct {
	// ready is closed once mux or err is set.
	ready chan struct{}
	mux   *yamux.Session
	watch *watch
	err   error

	mu sync.Mutex
	// idle are the streams whose last call has ended, latest last.
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
	stream := newStream(raw)
	stream.session = s
	return stream, nil
}

// putStream keeps a stream whose last call has ended in good order. The stream
// that was used last is used first: one at the other end that has not been used
// for streamIdleLimit is left from a busier time, and goes.
func (s *session) putStream(stream *Stream) {
	now := time.Now()
	stream.idleSince = now
	s.mu.Lock()
	s.idle = append(s.idle, stream)
	var unused *Stream
	if oldest := s.idle[0]; len(s.idle) > maxIdleStreams || now.Sub(oldest.idleSince) > streamIdleLimit {
		unused = oldest
		s.idle = slices.Delete(s.idle, 0, 1)
	}
	s.mu.Unlock()
	if unused != nil {
		_ = unused.Close()
	}
}

// busy returns the number of streams with a call under way.
func (s *session) busy() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.mux.NumStreams() - len(s.idle)
}

// NewPool returns an empty pool for the daemon of server, which connects from
// the address local.
func NewPool(server string, local netip.Addr, log hclog.Logger) *Pool {
	p := &Pool{server: server, log: log, sessions: map[sessionKey]*session{}}
	p.dialer.LocalAddr = net.TCPAddrFromAddrPort(netip.AddrPortFrom(local, 0))
	p.tomb.Go(func() error {
		<-p.tomb.Dying()
		p.closeAll()
		return nil
	})
	return p
}

// Close closes all sessions and waits for their tasks.
func (p *Pool) Close() error {
	p.tomb.Kill(nil)
	return p.tomb.Wait()
}

// Traffic returns the byte counts of the sessions for purpose.
func (p *Pool) Traffic(purpose Purpose) *meter.Traffic { return &p.traffic[purpose] }

// Sessions returns the number of open sessions.
func (p *Pool) Sessions() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.sessions)
}

// closeAll closes the sessions at the end of the pool.
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

// errSilent is returned for a peer that does not answer pings.
var errSilent = eris.New("the peer does not answer")

// Open starts a call to the daemon at addr. An error means that nothing of the
// call was sent. A session that has gone silent gets no new calls: what is sent
// into it may or may not be run. A new session takes its place at once: if only
// the connection is dead, the new one works.
func (p *Pool) Open(ctx context.Context, addr netip.AddrPort, purpose Purpose) (*Stream, error) {
	return p.open(ctx, addr, purpose, (*watch).answers)
}

// open starts a call on a session that usable admits.
func (p *Pool) open(ctx context.Context, addr netip.AddrPort, purpose Purpose, usable func(*watch, context.Context) bool) (*Stream, error) {
	const attempts = 2 // the first may meet a session that has just closed
	var err error
	for range attempts {
		var s *session
		s, err = p.session(ctx, addr, purpose)
		if err != nil {
			return nil, err
		}
		if !usable(s.watch, ctx) {
			err = errSilent
			p.forget(sessionKey{addr, purpose}, s)
			continue
		}
		var stream *Stream
		stream, err = s.takeStream()
		if err == nil {
			s.watch.wake()
			return stream, nil
		}
		p.drop(sessionKey{addr, purpose}, s)
	}
	return nil, eris.Wrapf(err, "open stream to %s", addr)
}

// Ask makes a control call and returns its reply.
func (p *Pool) Ask(ctx context.Context, addr netip.AddrPort, call *peerpb.Call) (*peerpb.Reply, error) {
	return p.AskOver(ctx, addr, Control, call)
}

// AskOver makes a control call over a session of the given purpose, and returns its
// reply. The call may be made again, so that a session which has been quiet is not
// pinged before it is used: the call itself finds out.
func (p *Pool) AskOver(ctx context.Context, addr netip.AddrPort, purpose Purpose, call *peerpb.Call) (*peerpb.Reply, error) {
	stream, err := p.open(ctx, addr, purpose, (*watch).notSilent)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, func() { _ = stream.SetDeadline(time.Unix(1, 0)) })
	var reply peerpb.Reply
	err = stream.Write(call)
	if err == nil {
		err = readMessage(stream.in, &reply, maxStateBytes)
	}
	if stop() && err == nil {
		stream.Done()
	} else {
		_ = stream.Close()
	}
	if err != nil {
		return nil, eris.Wrapf(err, "call to %s", addr)
	}
	// A reply that came just as ctx ended is a reply.
	if reply.Error != "" {
		return nil, eris.Errorf("%s refused the call: %s", addr, reply.Error)
	}
	return &reply, nil
}

// Drop closes the session to addr, so that the next call opens a new one.
func (p *Pool) Drop(addr netip.AddrPort, purpose Purpose) {
	key := sessionKey{addr, purpose}
	p.mu.Lock()
	s := p.sessions[key]
	p.mu.Unlock()
	if s == nil {
		return
	}
	select {
	case <-s.ready:
		p.drop(key, s)
	default:
	}
}

// session returns the open session to addr, and opens it if there is none.
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
	patience := time.NewTimer(connectPatience)
	defer patience.Stop()
	select {
	case <-s.ready:
		return s, s.err
	case <-patience.C:
		return nil, eris.Errorf("connection to %s takes longer than %v", addr, connectPatience)
	case <-ctx.Done():
		return nil, eris.Wrapf(ctx.Err(), "connect to %s", addr)
	}
}

// connectPatience is how long a call waits for a connection. The attempt goes
// on for later calls; the owner may have changed by then.
const connectPatience = 150 * time.Millisecond

// run is the task of one session: it connects and then watches the session.
func (p *Pool) run(key sessionKey, s *session) {
	s.err = p.connect(key, s)
	close(s.ready)
	if s.err == nil {
		s.watch.run(p.tomb.Dying())
	}
	p.drop(key, s)
}

// connect dials and greets the peer.
func (p *Pool) connect(key sessionKey, s *session) error {
	ctx, cancel := context.WithTimeout(p.tomb.Context(nil), handshakeTimeout) //nolint:staticcheck // tomb takes nil
	defer cancel()
	conn, err := p.dialer.DialContext(ctx, "tcp", key.addr.String())
	if err != nil {
		return eris.Wrapf(err, "dial %s", key.addr)
	}
	greeted := time.Now()
	if err := greet(conn, p.server, key.purpose); err != nil {
		_ = conn.Close()
		return eris.Wrapf(err, "greet %s", key.addr)
	}
	counted := meter.NewConn(conn, &p.traffic[key.purpose])
	s.mux, err = yamux.Client(newBatchConn(counted), yamuxConfig())
	if err != nil {
		_ = conn.Close()
		return eris.Wrapf(err, "start session with %s", key.addr)
	}
	s.watch = newWatch(s.mux, counted, s.busy, time.Since(greeted))
	return nil
}

// forget lets the next call open a new session. The calls of s go on.
func (p *Pool) forget(key sessionKey, s *session) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.sessions[key] == s {
		delete(p.sessions, key)
	}
}

// drop closes s and forgets it.
func (p *Pool) drop(key sessionKey, s *session) {
	p.forget(key, s)
	if s.mux != nil {
		_ = s.mux.Close()
	}
}
