// Package faultproxy is a TCP proxy that injects faults between processes in
// tests: it cuts, silences and delays, in one or both directions, by the
// address that a connection comes from.
//
// # Usage
//
//	proxy, err := faultproxy.New(listenAddr, backendAddr)
//	proxy.SetRule(peerIP, faultproxy.Rule{ToBackend: faultproxy.Drop})
//	proxy.SilenceOpen()
package faultproxy

import (
	"errors"
	"io"
	"net"
	"net/netip"
	"sync"
	"time"
)

// acceptPause is the time between two attempts to accept a connection.
const acceptPause = 10 * time.Millisecond

// Action is what happens to data in one direction.
type Action int

// The actions.
const (
	Pass   Action = iota
	Drop          // data is swallowed, as if packets were lost
	Refuse        // connections are closed and refused
)

// Rule is what happens to the connections from one address.
type Rule struct {
	ToBackend   Action
	FromBackend Action
	// Delay is the one-way delay.
	Delay time.Duration
}

// Proxy forwards connections to a backend.
type Proxy struct {
	listener net.Listener
	backend  netip.AddrPort

	mu    sync.Mutex
	all   Rule
	rules map[netip.Addr]Rule
	conns map[*pair]bool
}

// pair is a connection with its counterpart.
type pair struct {
	source      netip.Addr
	front, back net.Conn
	silent      bool
}

// New returns a proxy that listens on listen.
func New(listen, backend netip.AddrPort) (*Proxy, error) {
	listener, err := net.Listen("tcp", listen.String())
	if err != nil {
		return nil, err
	}
	p := &Proxy{
		listener: listener,
		backend:  backend,
		rules:    map[netip.Addr]Rule{},
		conns:    map[*pair]bool{},
	}
	go func() {
		for {
			conn, err := listener.Accept()
			switch {
			case errors.Is(err, net.ErrClosed):
				return
			case err != nil: // such as too many open files
				time.Sleep(acceptPause)
			default:
				go p.serve(conn)
			}
		}
	}()
	return p, nil
}

// Addr returns the address that the proxy listens on.
func (p *Proxy) Addr() netip.AddrPort { return p.listener.Addr().(*net.TCPAddr).AddrPort() }

// SetBackend sends new connections to backend.
func (p *Proxy) SetBackend(backend netip.AddrPort) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.backend = backend
}

// SetRule sets the rule for connections from source; an invalid source means
// all others.
func (p *Proxy) SetRule(source netip.Addr, rule Rule) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if source.IsValid() {
		p.rules[source] = rule
	} else {
		p.all = rule
	}
	for c := range p.conns {
		if r := p.rule(c.source); r.ToBackend == Refuse || r.FromBackend == Refuse {
			c.close()
		}
	}
}

// SilenceOpen makes the connections that are open now lose all data, while new
// ones work.
func (p *Proxy) SilenceOpen() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		c.silent = true
	}
}

// CutOpen closes the connections that are open now.
func (p *Proxy) CutOpen() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		c.close()
	}
}

// Close ends the proxy.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	p.CutOpen()
}

func (p *Proxy) rule(source netip.Addr) Rule {
	if r, ok := p.rules[source]; ok {
		return r
	}
	return p.all
}

// serve forwards one connection.
func (p *Proxy) serve(front net.Conn) {
	defer front.Close()
	source := front.RemoteAddr().(*net.TCPAddr).AddrPort().Addr().Unmap()
	p.mu.Lock()
	rule := p.rule(source)
	backend := p.backend
	p.mu.Unlock()
	if rule.ToBackend == Refuse || rule.FromBackend == Refuse {
		return
	}
	back, err := net.Dial("tcp", backend.String())
	if err != nil {
		return
	}
	defer back.Close()
	c := &pair{source: source, front: front, back: back}
	p.mu.Lock()
	p.conns[c] = true
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		delete(p.conns, c)
		p.mu.Unlock()
	}()
	var wg sync.WaitGroup
	wg.Go(func() { p.copy(c, back, front, func(r Rule) Action { return r.ToBackend }) })
	wg.Go(func() { p.copy(c, front, back, func(r Rule) Action { return r.FromBackend }) })
	wg.Wait()
}

// chunk is data on its way.
type chunk struct {
	data []byte
	due  time.Time
}

// copy forwards one direction of c.
func (p *Proxy) copy(c *pair, dst, src net.Conn, action func(Rule) Action) {
	const inFlight = 1024 // chunks
	queue := make(chan chunk, inFlight)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for ch := range queue {
			time.Sleep(time.Until(ch.due))
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
		rule := p.rule(c.source)
		silent := c.silent
		p.mu.Unlock()
		if n > 0 && action(rule) == Pass && !silent {
			queue <- chunk{data: append([]byte(nil), buf[:n]...), due: time.Now().Add(rule.Delay)}
		}
	}
	close(queue)
	<-done
	p.mu.Lock()
	dropped := action(p.rule(c.source)) == Drop || c.silent
	p.mu.Unlock()
	// Whoever cannot be heard cannot be heard to close either.
	if tcp, ok := dst.(*net.TCPConn); ok && errors.Is(err, io.EOF) && !dropped {
		_ = tcp.CloseWrite()
		return
	}
	if !dropped {
		_ = dst.Close()
	}
}

// close closes both ends.
func (c *pair) close() {
	_ = c.front.Close()
	_ = c.back.Close()
}
