// Package targetconn speaks HTTP/1.1 to the target beside this daemon over
// connections that it keeps.
//
// The standard client cannot be used: targets may send an answer that nobody
// waits for, late or beside the right one, on a connection that is kept. A
// Client compares the request id that answers echo, passes over answers to
// earlier requests, and keeps a connection only if it is certain that nothing
// can follow on it.
//
// # Usage
//
//	client := targetconn.New(targetconn.Config{Address: addr, MatchHeader: "X-Request-Id"})
//	resp, err := client.Do(ctx, &targetconn.Request{Method: "GET", Path: "/", MatchID: id})
//	if err != nil && !err.Sent {
//		// nothing of the request has reached the target
//	}
package targetconn

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"siskinknot/io/tcp"
)

const (
	// dialTimeout bounds the opening of a connection on the same VM.
	dialTimeout = 300 * time.Millisecond
	// defaultIdle is how long a connection is kept whose target does not say
	// for how long it keeps it.
	defaultIdle = 4 * time.Second
	// idleShare is the share of the target's own idle timeout for which a
	// connection is kept: a request that crosses the close may be lost.
	idleShare = 0.7
	// skipBytes is the largest body of an answer to an earlier request that is
	// read over.
	skipBytes = 256 << 10
	// skipAnswers is the most such answers on one exchange.
	skipAnswers = 4
	bufferBytes = 4 << 10
	// smallBody is the largest body that is written in one piece with the head.
	smallBody = 16 << 10
)

// Config is the configuration of a Client.
type Config struct {
	Address netip.AddrPort
	// MatchHeader is the header by which answers name their request.
	MatchHeader string
}

// Request is a request to the target.
type Request struct {
	Method string
	// Path is the escaped path with its query.
	Path   string
	Host   string
	Header http.Header
	Body   io.Reader
	// ContentLength is the length of Body in bytes, or -1 for chunks.
	ContentLength int64
	// MatchID is the id that the answer has to carry; empty accepts any answer.
	MatchID string
}

// Response is a target's answer. Its Body is read to the end or closed; an answer
// that breaks off ends with an error that is not io.EOF.
type Response struct {
	Status        int
	Header        http.Header
	ContentLength int64
	Body          io.ReadCloser
}

// Error says how an exchange failed.
type Error struct {
	// Sent is set if bytes of the request may have reached the target.
	Sent bool
	// Refused is set if nothing listens at the target's address.
	Refused bool
	Err     error
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("exchange with target (sent %t): %v", e.Sent, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Client keeps connections to one target. It is safe for concurrent use.
type Client struct {
	cfg    Config
	dialer *net.Dialer

	mu     sync.Mutex
	idle   []*conn
	closed bool
}

// New returns a Client without connections.
func New(cfg Config) *Client {
	return &Client{cfg: cfg, dialer: tcp.Dialer(netip.Addr{}, dialTimeout)}
}

// conn is a connection to the target.
type conn struct {
	net.Conn
	in *bufio.Reader
	// keep is how long the connection may stay idle, and idleSince since when
	// it is.
	keep      time.Duration
	idleSince time.Time
}

// Close closes the idle connections; those in use are closed when their exchange
// ends.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for _, cn := range c.idle {
		_ = cn.Close()
	}
	c.idle = nil
}

// Do sends req and returns the head of its answer. ctx bounds the whole exchange
// with the body of the answer.
func (c *Client) Do(ctx context.Context, req *Request) (*Response, *Error) {
	cn, err := c.get(ctx)
	if err != nil {
		return nil, &Error{Refused: errors.Is(err, syscall.ECONNREFUSED), Err: err}
	}
	stop := context.AfterFunc(ctx, func() { _ = cn.SetDeadline(time.Unix(1, 0)) })
	x := &exchange{client: c, conn: cn, req: req, stop: stop, sent: make(chan error, 1)}
	resp, xerr := x.run()
	if xerr != nil {
		stop()
		_ = cn.Close()
		if ctx.Err() != nil {
			xerr.Err = ctx.Err()
		}
		return nil, xerr
	}
	return resp, nil
}

// get returns a connection on which nothing is waiting to be read.
func (c *Client) get(ctx context.Context) (*conn, error) {
	for {
		c.mu.Lock()
		n := len(c.idle)
		if n == 0 {
			c.mu.Unlock()
			break
		}
		cn := c.idle[n-1]
		c.idle = c.idle[:n-1]
		c.mu.Unlock()
		if cn.keeps(time.Now()) && cn.quiet() {
			return cn, nil
		}
		_ = cn.Close()
	}
	raw, err := c.dialer.DialContext(ctx, "tcp", c.cfg.Address.String())
	if err != nil {
		return nil, err
	}
	return &conn{Conn: raw, in: bufio.NewReaderSize(raw, bufferBytes), keep: defaultIdle}, nil
}

// put keeps cn for a later exchange. The connection that was used last is used
// first, so that those of a busy time would stay at the other end for ever: the
// oldest goes once its time is over.
func (c *Client) put(cn *conn) {
	now := time.Now()
	cn.idleSince = now
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		_ = cn.Close()
		return
	}
	if len(c.idle) > 0 && !c.idle[0].keeps(now) {
		_ = c.idle[0].Close()
		c.idle = slices.Delete(c.idle, 0, 1)
	}
	c.idle = append(c.idle, cn)
}

// keeps reports whether the target keeps the connection, which is idle, at now.
func (c *conn) keeps(now time.Time) bool { return now.Sub(c.idleSince) < c.keep }

// quiet reports whether the connection is open and has nothing to read.
func (c *conn) quiet() bool {
	if c.in.Buffered() > 0 {
		return false
	}
	raw, err := c.Conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return false
	}
	var peekErr error
	var one [1]byte
	err = raw.Read(func(fd uintptr) bool {
		_, _, peekErr = unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		return true
	})
	return err == nil && (errors.Is(peekErr, unix.EAGAIN) || errors.Is(peekErr, unix.EWOULDBLOCK))
}

// exchange is a request and its answer on one connection.
type exchange struct {
	client *Client
	conn   *conn
	req    *Request
	// stop ends the watch over the context; it reports false if the connection
	// was cut by it.
	stop func() bool
	// sent receives the result of writing the body.
	sent chan error
}

// run writes the request and reads the head of its answer. The body of the
// request is written meanwhile, since a target may answer before it has read it.
func (x *exchange) run() (*Response, *Error) {
	n, err := x.writeHead()
	if err != nil {
		return nil, &Error{Sent: n > 0, Err: err}
	}
	if x.req.ContentLength >= 0 && x.req.ContentLength <= smallBody {
		x.sent <- nil
	} else {
		go func() { x.sent <- x.writeBody() }()
	}
	for range skipAnswers {
		resp, err := x.readHead() //nolint:bodyclose // skip reads it, or its user closes it
		if err != nil {
			return nil, &Error{Sent: true, Err: err}
		}
		if x.matches(resp) {
			return x.response(resp), nil
		}
		if err := skip(resp); err != nil {
			return nil, &Error{Sent: true, Err: err}
		}
	}
	return nil, &Error{Sent: true, Err: errors.New("only answers to other requests came")}
}

// writeHead writes the request line and the headers, and a small body, and
// returns how many bytes were written.
func (x *exchange) writeHead() (int, error) {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", x.req.Method, x.req.Path, x.req.Host)
	switch {
	case x.req.Body == nil || x.req.ContentLength == 0:
		if x.req.Method != http.MethodGet && x.req.Method != http.MethodHead {
			b.WriteString("Content-Length: 0\r\n")
		}
	case x.req.ContentLength > 0:
		fmt.Fprintf(&b, "Content-Length: %d\r\n", x.req.ContentLength)
	default:
		b.WriteString("Transfer-Encoding: chunked\r\n")
	}
	// Header.WriteSubset replaces line breaks in values.
	if err := x.req.Header.WriteSubset(&b, ownHeaders); err != nil {
		return 0, err
	}
	b.WriteString("\r\n")
	if x.req.Body != nil && x.req.ContentLength > 0 && x.req.ContentLength <= smallBody {
		body := make([]byte, x.req.ContentLength)
		if n, err := io.ReadFull(x.req.Body, body); err != nil {
			return 0, fmt.Errorf("body has %d of %d bytes: %w", n, x.req.ContentLength, err)
		}
		b.Write(body)
	}
	return io.WriteString(x.conn, b.String())
}

// ownHeaders are written by writeHead itself.
var ownHeaders = map[string]bool{
	"Host": true, "Content-Length": true, "Transfer-Encoding": true, "Connection": true, "Trailer": true,
}

// writeBody writes the body with its length or in chunks.
func (x *exchange) writeBody() error {
	if x.req.ContentLength > 0 {
		n, err := io.Copy(x.conn, io.LimitReader(x.req.Body, x.req.ContentLength))
		if err == nil && n < x.req.ContentLength {
			err = io.ErrUnexpectedEOF
		}
		return x.broken(err)
	}
	buf := make([]byte, 16<<10)
	for {
		n, err := x.req.Body.Read(buf)
		if n > 0 {
			if _, werr := fmt.Fprintf(x.conn, "%x\r\n%s\r\n", n, buf[:n]); werr != nil {
				return werr
			}
		}
		if errors.Is(err, io.EOF) {
			_, err = io.WriteString(x.conn, "0\r\n\r\n")
			return x.broken(err)
		}
		if err != nil {
			return x.broken(err)
		}
	}
}

// broken ends the connection if the body could not be written whole, so that the
// target does not take it for complete.
func (x *exchange) broken(err error) error {
	if err != nil {
		_ = x.conn.SetDeadline(time.Unix(1, 0))
	}
	return err
}

// readHead reads the head of an answer, passing over informational ones.
func (x *exchange) readHead() (*http.Response, error) {
	for {
		resp, err := http.ReadResponse(x.conn.in, &http.Request{Method: x.req.Method})
		if err != nil {
			return nil, err
		}
		if resp.StatusCode >= http.StatusOK {
			return resp, nil
		}
	}
}

// matches reports whether resp answers the request.
func (x *exchange) matches(resp *http.Response) bool {
	return x.req.MatchID == "" || resp.Header.Get(x.client.cfg.MatchHeader) == x.req.MatchID
}

// skip reads over an answer to another request.
func skip(resp *http.Response) error {
	if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
		return errors.New("answer to another request has no end")
	}
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, skipBytes+1))
	if err == nil && n > skipBytes {
		return fmt.Errorf("answer to another request has over %d bytes", skipBytes)
	}
	return err
}

// response returns resp with a body that gives the connection back.
func (x *exchange) response(resp *http.Response) *Response {
	if seconds, ok := keepAliveTimeout(resp.Header); ok {
		x.conn.keep = time.Duration(float64(seconds) * idleShare * float64(time.Second))
	}
	framed := resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
	return &Response{
		Status:        resp.StatusCode,
		Header:        resp.Header,
		ContentLength: resp.ContentLength,
		Body:          &body{x: x, in: resp.Body, reuse: framed && !resp.Close},
	}
}

// keepAliveTimeout returns the idle timeout that a target states, in seconds.
func keepAliveTimeout(h http.Header) (int, bool) {
	for _, field := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if strings.EqualFold(name, "timeout") {
			seconds, err := strconv.Atoi(strings.TrimSpace(value))
			return seconds, err == nil && seconds >= 0
		}
	}
	return 0, false
}

// body is the body of an answer.
type body struct {
	x     *exchange
	in    io.ReadCloser
	reuse bool
	done  bool
	ended bool
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.in.Read(p)
	if errors.Is(err, io.EOF) {
		b.ended = true
	}
	return n, err
}

// Close ends the exchange. The connection is kept if the answer was read to its
// end, the request had been written whole, and nothing else has come.
func (b *body) Close() error {
	if b.done {
		return nil
	}
	b.done = true
	uncut := b.x.stop()
	if b.ended && b.reuse && uncut && b.x.wroteAll() && b.x.conn.in.Buffered() == 0 {
		b.x.client.put(b.x.conn)
		return nil
	}
	return b.x.conn.Close()
}

// wroteAll reports whether the request has been written whole.
func (x *exchange) wroteAll() bool {
	select {
	case err := <-x.sent:
		return err == nil
	default:
		return false
	}
}
