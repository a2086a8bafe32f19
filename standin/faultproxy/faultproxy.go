// Package faultproxy is a TCP proxy that injects network faults between processes
// in tests. It closes connections, drops their data in one direction or in both, or
// delays the data of both directions. A rule applies to the connections from one
// source address.
//
// # Usage
//
//	proxy, err := faultproxy.New(listenAddr, backendAddr)
//	proxy.SetRule(peerIP, faultproxy.Rule{ToBackend: faultproxy.Drop})
//	proxy.BlackholeOpen()
package faultproxy

import (
	"errors"
	"io"
	"net"
	"net/netip"
	"sync"
	"time"
)

// acceptRetryDelay is the delay before another attempt to accept a connection after
// an error.
const acceptRetryDelay = 10 * time.Millisecond

// Action is the treatment of the data in one direction of a connection.
type Action int

// The actions.
const (
	Pass   Action = iota // data is forwarded
	Drop                 // data is dropped, as if all packets were lost
	Refuse               // open connections are closed and new ones refused
)

// Rule describes the faults of the connections from one source address. The zero
// value forwards all data without a delay.
type Rule struct {
	// ToBackend and FromBackend are the actions in each direction. If either is
	// Refuse, the connection is refused.
	ToBackend   Action
	FromBackend Action
	// Delay is the delay in each direction.
	Delay time.Duration
}

// Proxy forwards connections to a backend. It is safe for concurrent use.
type Proxy struct {
	listener net.Listener
	backend  netip.AddrPort

	mu          sync.Mutex
	defaultRule Rule // for sources without an entry in rules
	rules       map[netip.Addr]Rule
	conns       map[*proxiedConn]bool
}

// proxiedConn is a connection from a source together with the connection to the
// backend that its data is forwarded on.
type proxiedConn struct {
	source                  netip.Addr
	sourceConn, backendConn net.Conn
	blackholed              bool // data in both directions is dropped
}

// New starts a proxy that listens on the address listen and forwards connections to
// backend. It returns an error if it cannot listen.
func New(listen, backend netip.AddrPort) (*Proxy, error) {
	listener, err := net.Listen("tcp", listen.String())
	if err != nil {
		return nil, err
	}
	p := &Proxy{
		listener: listener,
		backend:  backend,
		rules:    map[netip.Addr]Rule{},
		conns:    map[*proxiedConn]bool{},
	}
	go func() {
		for {
			conn, err := listener.Accept()
			switch {
			case errors.Is(err, net.ErrClosed):
				return
			case err != nil: // for example, too many open files
				time.Sleep(acceptRetryDelay)
			default:
				go p.serve(conn)
			}
		}
	}()
	return p, nil
}

// Addr returns the address that the proxy listens on.
func (p *Proxy) Addr() netip.AddrPort { return p.listener.Addr().(*net.TCPAddr).AddrPort() }

// SetBackend makes the proxy forward new connections to backend.
func (p *Proxy) SetBackend(backend netip.AddrPort) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.backend = backend
}

// SetRule sets the rule for connections from source. If source is the zero Addr, it
// sets the rule for all sources that have no rule of their own. Open connections
// whose rule is now to refuse are closed.
func (p *Proxy) SetRule(source netip.Addr, rule Rule) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if source.IsValid() {
		p.rules[source] = rule
	} else {
		p.defaultRule = rule
	}
	for c := range p.conns {
		if r := p.ruleFor(c.source); r.ToBackend == Refuse || r.FromBackend == Refuse {
			c.close()
		}
	}
}

// BlackholeOpen drops all further data on the connections that are open now, without
// closing them. Connections that are opened later work normally.
func (p *Proxy) BlackholeOpen() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		c.blackholed = true
	}
}

// CloseOpen closes the connections that are open now.
func (p *Proxy) CloseOpen() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		c.close()
	}
}

// Close stops listening and closes the open connections.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	p.CloseOpen()
}

// ruleFor returns the rule for connections from source. The caller holds the mutex.
func (p *Proxy) ruleFor(source netip.Addr) Rule {
	if r, ok := p.rules[source]; ok {
		return r
	}
	return p.defaultRule
}

// serve forwards one connection until both directions have ended.
func (p *Proxy) serve(sourceConn net.Conn) {
	defer sourceConn.Close()
	source := sourceConn.RemoteAddr().(*net.TCPAddr).AddrPort().Addr().Unmap()
	p.mu.Lock()
	rule := p.ruleFor(source)
	backend := p.backend
	p.mu.Unlock()
	if rule.ToBackend == Refuse || rule.FromBackend == Refuse {
		return
	}
	backendConn, err := net.Dial("tcp", backend.String())
	if err != nil {
		return
	}
	defer backendConn.Close()
	c := &proxiedConn{source: source, sourceConn: sourceConn, backendConn: backendConn}
	p.mu.Lock()
	p.conns[c] = true
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		delete(p.conns, c)
		p.mu.Unlock()
	}()
	var wg sync.WaitGroup
	wg.Go(func() { p.forward(c, backendConn, sourceConn, func(r Rule) Action { return r.ToBackend }) })
	wg.Go(func() { p.forward(c, sourceConn, backendConn, func(r Rule) Action { return r.FromBackend }) })
	wg.Wait()
}

// chunk is data that was read from one connection and waits to be sent on the other.
type chunk struct {
	data   []byte
	sendAt time.Time // when to send the data
}

// forward copies data from src to dst, which are the two connections of c. The
// function action selects the rule's action for this direction.
func (p *Proxy) forward(c *proxiedConn, dst, src net.Conn, action func(Rule) Action) {
	const maxQueued = 1024 // chunks
	queue := make(chan chunk, maxQueued)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for ch := range queue {
			time.Sleep(time.Until(ch.sendAt))
			if _, err := dst.Write(ch.data); err != nil {
				_ = src.Close()
			}
		}
	}()
	buf := make([]byte, 64<<10)
	var err error
	for err == nil {
		var n int
		n, err = src.Read(buf)
		p.mu.Lock()
		rule := p.ruleFor(c.source)
		blackholed := c.blackholed
		p.mu.Unlock()
		if n > 0 && action(rule) == Pass && !blackholed {
			queue <- chunk{data: append([]byte(nil), buf[:n]...), sendAt: time.Now().Add(rule.Delay)}
		}
	}
	close(queue)
	<-done
	p.mu.Lock()
	dropped := action(p.ruleFor(c.source)) == Drop || c.blackholed
	p.mu.Unlock()
	// If the data of this direction is dropped, so is the end of the connection: the
	// other side must not notice that it was closed.
	if tcp, ok := dst.(*net.TCPConn); ok && errors.Is(err, io.EOF) && !dropped {
		_ = tcp.CloseWrite()
		return
	}
	if !dropped {
		_ = dst.Close()
	}
}

// close closes both connections.
func (c *proxiedConn) close() {
	_ = c.sourceConn.Close()
	_ = c.backendConn.Close()
}
