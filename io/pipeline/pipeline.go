// Package pipeline lets an http.Server run the pipelined requests of a connection
// concurrently.
//
// A client that pipelines sends further requests before the first one is answered.
// net/http runs them one after the other, so that each waits for all before it. It also
// does not notice that the client has disconnected while bytes of a further request
// wait. This package wraps the listener and the handler of an http.Server. A request
// that arrives behind others is started at once, with a recorder as its response
// writer; net/http still reads every request, and writes the recorded response when it
// has reached that request. Order, framing and the end of connections stay with
// net/http.
//
// A request is started early only if its beginning is certain: every request before it
// on the connection has no body and is well-formed in the strict sense (all lines end in
// CRLF, HTTP/1.1, no upgrade, no close). Otherwise the connection is opaque from there
// on, and its requests run one after the other. The package also asks whether the
// request may run beside others, which requests with side effects may not. No request
// is started early behind one that may not.
//
// When the client disconnects, or the connection is closed for another reason, the
// contexts of all its requests are cancelled, also of those that net/http has not
// reached.
//
// A request that is not started early waits, but its client counts the time from when
// it was sent. ArrivedAt tells the handler when the request arrived, as far as that is
// known: from its head if that was parsed, otherwise from the byte that net/http reads
// while a request runs, and at the latest from the last read before the handler.
//
// # Usage
//
//	p := pipeline.New(handler, pipeline.Config{Depth: 8, MayStart: isIdempotent})
//	server := &http.Server{Handler: p, ConnContext: p.ConnContext}
//	err := server.Serve(p.Listener(listener))
//
//	deadline := pipeline.ArrivedAt(r.Context(), boottime.Now()).Add(timeout) // in the handler
package pipeline

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"

	"siskinknot/io/boottime"
)

const (
	// maxHeadBytes is the size of the largest request head that is parsed early.
	maxHeadBytes = 16 << 10
	// maxBufferedBytes limits the bytes of a connection that are read before net/http
	// needs them.
	maxBufferedBytes = 64 << 10
	// maxRecordedBytes limits the body of a response that is kept until net/http has
	// reached its request.
	maxRecordedBytes = 64 << 10
)

// Config has the settings of a Pipeline.
type Config struct {
	// Depth is the maximum number of requests of a connection that are started
	// early.
	Depth int
	// MayStart reports whether a request may run before those in front of it are
	// answered.
	MayStart func(*http.Request) bool
}

// Pipeline is an http.Handler that runs pipelined requests concurrently.
type Pipeline struct {
	next http.Handler
	cfg  Config
}

// New returns a Pipeline that runs requests with next.
func New(next http.Handler, cfg Config) *Pipeline { return &Pipeline{next: next, cfg: cfg} }

// Listener returns a listener that accepts the connections of l.
func (p *Pipeline) Listener(l net.Listener) net.Listener { return &listener{l, p} }

// connKey is the key of the connection in the context of a request.
type connKey struct{}

// ConnContext is the function for the field ConnContext of an http.Server.
func (p *Pipeline) ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// Pending reports whether requests that were started early on the connection of a
// request with context ctx have not been answered. The response must not close the
// connection then.
func Pending(ctx context.Context) bool {
	c, ok := ctx.Value(connKey{}).(*conn)
	if !ok {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.early) > 0
}

// ResetOnClose makes the connection of the request with context ctx end with a reset. A
// client of HTTP/1.0 takes the end of the connection for the end of a response that states no
// length, so that a truncated one would look complete.
func ResetOnClose(ctx context.Context) {
	c, ok := ctx.Value(connKey{}).(*conn)
	if !ok {
		return
	}
	if tcpConn, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcpConn.SetLinger(0)
	}
}

// arrivalKey is the key of the time of arrival in the context of a request.
type arrivalKey struct{}

// ArrivedAt returns when the request with context ctx arrived, on CLOCK_BOOTTIME: now, or
// earlier if it is known that the request has waited on its connection.
func ArrivedAt(ctx context.Context, now time.Time) time.Time {
	if at, ok := ctx.Value(arrivalKey{}).(time.Time); ok && at.Before(now) {
		return at
	}
	return now
}

// ServeHTTP implements http.Handler.
func (p *Pipeline) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c, ok := r.Context().Value(connKey{}).(*conn)
	if !ok {
		p.next.ServeHTTP(w, r)
		return
	}
	e, arrivedAt := c.begin(r)
	defer c.end()
	if e != nil {
		e.response.copyTo(w)
		return
	}
	ctx, cancel := context.WithCancel(context.WithValue(r.Context(), arrivalKey{}, arrivedAt))
	defer cancel()
	defer context.AfterFunc(c.ctx, cancel)()
	p.next.ServeHTTP(w, r.WithContext(ctx))
}

// listener accepts connections for a Pipeline.
type listener struct {
	net.Listener
	pipeline *Pipeline
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: nc, pipeline: l.pipeline, early: map[int]*earlyRequest{}, arrivals: map[int]time.Time{}}
	c.changed = sync.NewCond(&c.mu)
	c.ctx, c.cancel = context.WithCancel(context.WithValue(context.Background(), connKey{}, c))
	return c, nil
}

// conn is a connection of a client.
//
// Until a request has been started early, reads go to the network connection directly.
// From then on a goroutine reads ahead, so that a disconnect is noticed while requests
// wait, and reads are served from its buffer.
type conn struct {
	net.Conn
	pipeline *Pipeline
	// ctx is cancelled when the client disconnects or the connection is closed.
	ctx    context.Context
	cancel context.CancelFunc

	mu sync.Mutex
	// changed is signalled when buffer, readErr, readDeadline or closed changes.
	changed *sync.Cond
	// opaque is set once the beginning of the next request is not certain.
	opaque bool
	// unparsed has the bytes after the last request that was parsed.
	unparsed []byte
	// parsed counts the requests that were parsed, begun those that net/http has
	// passed to the handler, and ended those whose handler has returned.
	parsed, begun, ended int
	// last is the request that was parsed last.
	last *http.Request
	// early has the requests that were started early and are not answered yet, by
	// their position on the connection.
	early map[int]*earlyRequest
	// readAt is when bytes were last read from the network, endedAt when a handler last
	// returned, and arrivals has when requests that net/http has not reached arrived, by
	// their position.
	readAt, endedAt time.Time
	arrivals        map[int]time.Time
	// readingAhead is set once the goroutine that reads ahead runs; the fields below
	// are used from then on, except buffer and readDeadline, which are always valid.
	readingAhead  bool
	buffer        []byte
	readErr       error
	readDeadline  time.Time
	deadlineTimer *time.Timer
	closed        bool
}

// earlyRequest is a request that was started early.
type earlyRequest struct {
	request  *http.Request
	response *recorder
	cancel   context.CancelFunc
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	c.mu.Lock()
	if len(c.buffer) > 0 || c.readingAhead {
		defer c.mu.Unlock()
		return c.readBuffer(p)
	}
	opaque := c.opaque
	c.mu.Unlock()
	if len(p) > 1 || opaque {
		n, err := c.Conn.Read(p)
		c.mu.Lock()
		defer c.mu.Unlock()
		c.recordRead(boottime.Now(), n, len(p))
		c.parse(p[:n])
		return n, err
	}
	// net/http reads a single byte to detect a disconnect while a request runs. What
	// arrives now is a pipelined request.
	data := make([]byte, 4<<10)
	n, err := c.Conn.Read(data)
	c.mu.Lock()
	defer c.mu.Unlock()
	if n == 0 {
		return 0, err
	}
	c.recordRead(boottime.Now(), n, len(p))
	p[0] = data[0]
	c.buffer = data[1:n]
	c.parse(data[:n])
	return 1, nil
}

// readBuffer reads from the buffer, and waits until it has data. The caller holds the
// mutex.
func (c *conn) readBuffer(p []byte) (int, error) {
	for len(c.buffer) == 0 {
		switch {
		case c.closed:
			return 0, net.ErrClosed
		case !c.readDeadline.IsZero() && !time.Now().Before(c.readDeadline):
			return 0, os.ErrDeadlineExceeded
		case c.readErr != nil:
			return 0, c.readErr
		}
		c.changed.Wait()
	}
	n := copy(p, c.buffer)
	c.buffer = c.buffer[n:]
	c.changed.Broadcast()
	return n, nil
}

// readAhead starts the goroutine that reads into the buffer. The caller holds the
// mutex.
func (c *conn) readAhead() {
	if c.readingAhead {
		return
	}
	c.readingAhead = true
	_ = c.Conn.SetReadDeadline(time.Time{})
	go func() {
		data := make([]byte, 4<<10)
		for {
			n, err := c.Conn.Read(data)
			c.mu.Lock()
			c.buffer = append(c.buffer, data[:n]...)
			c.recordRead(boottime.Now(), n, len(data))
			c.parse(data[:n])
			c.readErr = err
			c.changed.Broadcast()
			for err == nil && len(c.buffer) > maxBufferedBytes && !c.closed {
				c.changed.Wait()
			}
			c.mu.Unlock()
			if err != nil {
				c.cancel()
				return
			}
		}
	}()
}

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readDeadline = t
	if !c.readingAhead {
		return c.Conn.SetReadDeadline(t)
	}
	if c.deadlineTimer != nil {
		c.deadlineTimer.Stop()
	}
	if !t.IsZero() {
		c.deadlineTimer = time.AfterFunc(time.Until(t), func() {
			c.mu.Lock()
			defer c.mu.Unlock()
			c.changed.Broadcast()
		})
	}
	c.changed.Broadcast()
	return nil
}

// SyscallConn implements syscall.Conn.
func (c *conn) SyscallConn() (syscall.RawConn, error) {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	return sc.SyscallConn()
}

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(t time.Time) error {
	if err := c.SetReadDeadline(t); err != nil {
		return err
	}
	return c.SetWriteDeadline(t)
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.cancel()
	c.mu.Lock()
	c.closed = true
	if c.deadlineTimer != nil {
		c.deadlineTimer.Stop()
	}
	c.changed.Broadcast()
	c.mu.Unlock()
	return c.Conn.Close()
}

// recordRead records that a read for up to size bytes has returned n bytes at now. net/http
// reads a single byte while a request whose body has arrived is running: the first one of
// the next request. The caller holds the mutex.
func (c *conn) recordRead(now time.Time, n, size int) {
	if n == 0 {
		return
	}
	c.readAt = now
	if size == 1 && c.begun > c.ended {
		c.recordArrival(c.begun)
	}
}

// recordArrival records that the request at position has arrived with the bytes that were
// read last, unless it has begun to arrive before. The caller holds the mutex.
func (c *conn) recordArrival(position int) {
	if _, known := c.arrivals[position]; !known && position >= c.begun {
		c.arrivals[position] = c.readAt
	}
}

// parse parses the requests in data, which follows what was parsed before, and starts
// those that are behind others. The caller holds the mutex.
func (c *conn) parse(data []byte) {
	if c.opaque || len(data) == 0 {
		return
	}
	c.unparsed = append(c.unparsed, data...)
	for !c.opaque && len(c.unparsed) > 0 {
		end := bytes.Index(c.unparsed, []byte("\r\n\r\n"))
		if end < 0 {
			c.opaque = len(c.unparsed) > maxHeadBytes
			return
		}
		head := c.unparsed[:end+4]
		c.recordArrival(c.parsed)
		r, ok := parseHead(head)
		if !ok {
			c.opaque = true
			break
		}
		c.unparsed = c.unparsed[end+4:]
		c.add(r)
	}
	if c.opaque {
		c.unparsed = nil
	}
}

// parseHead parses the head of a request. It reports false if it is not certain that
// the next request follows directly.
func parseHead(head []byte) (*http.Request, bool) {
	if bytes.Count(head, []byte("\n")) != bytes.Count(head, []byte("\r\n")) {
		return nil, false
	}
	r, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(head)))
	if err != nil || r.ProtoMajor != 1 || r.ProtoMinor != 1 || r.Close || r.ContentLength != 0 || len(r.TransferEncoding) > 0 {
		return nil, false
	}
	if r.Method != http.MethodGet && r.Method != http.MethodHead {
		return nil, false
	}
	for _, name := range []string{"Content-Length", "Transfer-Encoding", "Connection", "Upgrade", "Expect", "Trailer"} {
		if values := r.Header.Values(name); len(values) > 0 && !strings.EqualFold(values[0], "keep-alive") {
			return nil, false
		}
	}
	return r, true
}

// add adds a request that was parsed, and starts it if it is behind others. The caller
// holds the mutex.
func (c *conn) add(r *http.Request) {
	position, previous := c.parsed, c.last
	c.parsed++
	c.last = r
	if position <= c.ended {
		return // it is the next one
	}
	if !c.pipeline.cfg.MayStart(previous) || !c.pipeline.cfg.MayStart(r) {
		c.opaque = true
		return
	}
	if len(c.early) >= c.pipeline.cfg.Depth {
		return // net/http runs it when it has reached it
	}
	ctx, cancel := context.WithCancel(c.ctx)
	e := &earlyRequest{request: r, response: newRecorder(ctx), cancel: cancel}
	c.early[position] = e
	c.readAhead()
	go func() {
		defer cancel()
		e.response.record(c.pipeline.next, r.WithContext(ctx))
	}()
}

// begin records that net/http has passed r to the handler. It returns the request that
// was started early at this position, or nil if there is none, and when the request arrived.
func (c *conn) begin(r *http.Request) (*earlyRequest, time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	position := c.begun
	c.begun++
	e := c.early[position]
	arrivedAt, known := c.arrivals[position]
	if !known || !arrivedAt.Before(c.endedAt) {
		arrivedAt = c.readAt // it has not waited for the one in front
	}
	delete(c.early, position)
	delete(c.arrivals, position)
	if e == nil {
		return nil, arrivedAt
	}
	if e.request.Method != r.Method || e.request.RequestURI != r.RequestURI || e.request.Host != r.Host {
		// This must not happen; the early response must not be used.
		e.cancel()
		c.opaque = true
		return nil, arrivedAt
	}
	return e, arrivedAt
}

// end records that the handler of the request at the front has returned.
func (c *conn) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ended++
	c.endedAt = boottime.Now()
}
