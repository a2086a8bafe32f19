// Package targetconn is an HTTP/1.1 client of the target beside this daemon that
// reuses connections.
//
// The client of net/http cannot be used, since targets may send a response that no
// request waits for on a connection that is kept open: a response to an earlier
// request that arrives late, or a second response to the same request. A Client
// compares the request ID that each response echoes, discards responses to earlier
// requests, and reuses a connection only if no further data can arrive on it.
//
// # Usage
//
//	client := targetconn.New(targetconn.Config{Address: addr, RequestIDHeader: "X-Request-Id"})
//	resp, err := client.Do(ctx, &targetconn.Request{Method: "GET", Path: "/", RequestID: id})
//	if err != nil && !err.Sent {
//		// nothing of the request has reached the target
//	}
package targetconn

import (
	"bufio"
	"bytes"
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

	"siskinknot/io/boottime"
	"siskinknot/io/tcp"
)

const (
	// dialTimeout limits how long it takes to open a connection, which stays on
	// this VM.
	dialTimeout = 300 * time.Millisecond
	// defaultIdleTimeout is how long an idle connection is kept if the target does
	// not state its idle timeout.
	defaultIdleTimeout = 4 * time.Second
	// idleTimeoutFraction is the fraction of the target's stated idle timeout for
	// which an idle connection is kept. A request that is sent while the target
	// closes the connection may be lost.
	idleTimeoutFraction = 0.7
	// maxKeepAliveSeconds is the longest idle timeout of a target that counts, in seconds.
	maxKeepAliveSeconds = 3600
	// maxSkippedBodyBytes is the maximum body size of a response to an earlier
	// request that is discarded. A larger body is an error.
	maxSkippedBodyBytes = 256 << 10
	// maxResponses is the maximum number of responses that are read in one exchange,
	// including those to earlier requests.
	maxResponses = 4
	// maxHeadBytes is the maximum size of the headers of the responses of one exchange,
	// including informational ones, and maxInformational the maximum number of those.
	// Parsed headers take several times their size, for each request in progress.
	maxHeadBytes     = 32 << 10
	maxInformational = 16
	// maxStatus is the highest status code of a response.
	maxStatus = 599
	// bufferBytes is the size of the read buffer of a connection.
	bufferBytes = 4 << 10
	// maxRefusedIDs is the number of refused requests after which a connection is closed.
	maxRefusedIDs = 64
	// maxInlineBodyBytes is the maximum size of a request body that is written
	// together with the headers in one call.
	maxInlineBodyBytes = 16 << 10
)

// Config is the configuration of a Client.
type Config struct {
	Address netip.AddrPort
	// RequestIDHeader is the response header that carries the ID of the request.
	RequestIDHeader string
	// MaxIdle is the maximum number of idle connections that are kept, or 0 if it is not
	// limited.
	MaxIdle int
}

// Request is a request to the target.
type Request struct {
	Method string
	// Path is the escaped path with the query.
	Path   string
	Host   string
	Header http.Header
	Body   io.Reader
	// ContentLength is the length of Body in bytes, or -1 for a chunked body.
	ContentLength int64
	// RequestID is the request ID that the response must carry. If it is empty, any
	// response is accepted.
	RequestID string
	// NewConnection is set if the request is not sent on a connection that was used
	// before: a late response to an earlier request could not be told from its own.
	NewConnection bool
	// Prepare completes the request when it has a connection and is about to be written,
	// for what depends on that moment. It may set Header, and a body of up to
	// maxInlineBodyBytes that is in memory. If it returns false, the request is not sent.
	// Prepare may be nil.
	Prepare func(*Request) bool
	// Timing is filled in while the request is sent, unless it is nil.
	Timing *Timing
}

// Timing describes how a request was sent.
type Timing struct {
	// NewConnection is set if a connection was opened for the request.
	NewConnection bool
	// WrittenAt is when the kernel had accepted the headers and a body of up to
	// maxInlineBodyBytes; zero if it has not.
	WrittenAt time.Time
}

// bodyInline reports whether the body is written together with the headers.
func (r *Request) bodyInline() bool {
	return r.ContentLength >= 0 && r.ContentLength <= maxInlineBodyBytes
}

// withBodyRead returns a copy of the request whose body, if it is inline, is in memory.
func (r *Request) withBodyRead() (*Request, error) {
	copied := *r
	if r.Body == nil || r.ContentLength == 0 || !r.bodyInline() {
		return &copied, nil
	}
	body := make([]byte, r.ContentLength)
	if n, err := io.ReadFull(r.Body, body); err != nil {
		return nil, fmt.Errorf("request body has %d of %d bytes: %w", n, r.ContentLength, err)
	}
	copied.Body = bytes.NewReader(body)
	return &copied, nil
}

// Response is the HTTP response of a target. Its user must close Body. A Body
// that is truncated ends with an error that is not io.EOF.
type Response struct {
	Status int
	Header http.Header
	// ContentLength is the length of Body in bytes, or -1 if it is unknown.
	ContentLength int64
	Body          io.ReadCloser

	exchange *exchange
}

// MarkRefused tells the Client that the response is a refusal, after which the same request
// may be sent again. It is not sent on the same connection: the target may write the refusal
// a second time, which could not be told from the response to the repeated request. No
// request is sent there if the target may not have read the body of the refused one.
// MarkRefused must be called before Body is closed.
func (r *Response) MarkRefused(requestID string) {
	cn := r.exchange.conn
	cn.refusedIDs = append(cn.refusedIDs, requestID)
	cn.bodyUnread = !r.exchange.req.bodyInline()
}

// Error describes a failed exchange.
type Error struct {
	// Sent is set if bytes of the request may have reached the target.
	Sent bool
	// Refused is set if no process listens at the target's address.
	Refused bool
	Err     error
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("exchange with target (request sent: %t): %v", e.Sent, e.Err)
}

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.Err }

// ErrWithdrawn is the error of a request for which Prepare returned false.
var ErrWithdrawn = errors.New("request was withdrawn before it was written")

// Client sends requests to one target over connections that it reuses. It is
// safe for concurrent use.
type Client struct {
	cfg    Config
	dialer *net.Dialer

	mu     sync.Mutex
	idle   []*conn
	closed bool
}

// New returns a Client. It opens connections when they are needed.
func New(cfg Config) *Client {
	return &Client{cfg: cfg, dialer: tcp.Dialer(netip.Addr{}, dialTimeout)}
}

// conn is a connection to the target.
type conn struct {
	net.Conn
	in *bufio.Reader
	// head limits what in reads while headers are read.
	head headLimiter
	// idleTimeout is how long the connection may stay idle. idleSince is when the
	// connection was last returned to the Client.
	idleTimeout time.Duration
	idleSince   time.Time
	// refusedIDs are the IDs of the requests on this connection that were refused.
	refusedIDs []string
	// bodyUnread is set if the target may have refused a request before it read the
	// body. It reads what is left of the body, possibly much later, before the next request.
	bodyUnread bool
}

// newConn returns a conn that reads from raw.
func newConn(raw net.Conn) *conn {
	cn := &conn{Conn: raw, idleTimeout: defaultIdleTimeout}
	cn.head.in = raw
	cn.in = bufio.NewReaderSize(&cn.head, bufferBytes)
	return cn
}

// errHeadTooLarge is the error of a response whose headers exceed maxHeadBytes.
var errHeadTooLarge = fmt.Errorf("headers of the response exceed %d bytes", maxHeadBytes)

// headLimiter is a reader that fails, while it is limited, once it has read left bytes. The
// parser of net/http keeps all headers, however many arrive.
type headLimiter struct {
	in      io.Reader
	limited bool
	left    int
}

// Read implements io.Reader.
func (l *headLimiter) Read(p []byte) (int, error) {
	if !l.limited {
		return l.in.Read(p)
	}
	if l.left <= 0 {
		return 0, errHeadTooLarge
	}
	n, err := l.in.Read(p[:min(len(p), l.left)])
	l.left -= n
	return n, err
}

// Close closes the idle connections. Connections in use are closed when their
// exchange ends.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for _, cn := range c.idle {
		_ = cn.Close()
	}
	c.idle = nil
}

// Do sends req and returns the response when its headers have arrived. ctx limits
// the whole exchange, including the body of the response. After a failure the error
// is that of ctx if ctx has ended. A body of up to maxInlineBodyBytes is read before a
// connection is chosen.
func (c *Client) Do(ctx context.Context, req *Request) (*Response, *Error) {
	req, err := req.withBodyRead()
	if err != nil {
		return nil, &Error{Err: err}
	}
	cn, err := c.get(ctx, req)
	if err != nil {
		return nil, &Error{Refused: errors.Is(err, syscall.ECONNREFUSED), Err: err}
	}
	if req.Timing != nil {
		req.Timing.NewConnection = cn.idleSince.IsZero()
	}
	if req.Prepare != nil && !req.Prepare(req) {
		c.putIdle(cn)
		return nil, &Error{Err: ErrWithdrawn}
	}
	// The function below runs too late to prevent the write if ctx has already ended.
	if err := ctx.Err(); err != nil {
		c.putIdle(cn)
		return nil, &Error{Err: err}
	}
	stopCancel := context.AfterFunc(ctx, func() { _ = cn.SetDeadline(time.Unix(1, 0)) })
	x := &exchange{client: c, conn: cn, req: req, stopCancel: stopCancel, bodyWritten: make(chan error, 1)}
	resp, exchErr := x.run()
	if exchErr != nil {
		stopCancel()
		_ = cn.Close()
		if ctx.Err() != nil {
			exchErr.Err = ctx.Err()
		}
		return nil, exchErr
	}
	return resp, nil
}

// Refused opens a connection, closes it, and reports whether it was refused since no
// process listens at the target's address.
func (c *Client) Refused(ctx context.Context) bool {
	rawConn, err := c.dialer.DialContext(ctx, "tcp", c.cfg.Address.String())
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	_ = rawConn.Close()
	return false
}

// get returns an idle connection for req that has no unread input, or opens a new one.
func (c *Client) get(ctx context.Context, req *Request) (*conn, error) {
	for cn := c.takeIdle(req); cn != nil; cn = c.takeIdle(req) {
		if cn.withinIdleTimeout(time.Now()) && cn.hasNoInput() {
			return cn, nil
		}
		_ = cn.Close()
	}
	rawConn, err := c.dialer.DialContext(ctx, "tcp", c.cfg.Address.String())
	if err != nil {
		return nil, err
	}
	return newConn(rawConn), nil
}

// takeIdle removes the connection that became idle last from the idle ones and returns it,
// or nil if there is none. It passes over those on which a request with the ID of req was
// refused.
func (c *Client) takeIdle(req *Request) *conn {
	if req.NewConnection {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, cn := range slices.Backward(c.idle) {
		if !slices.Contains(cn.refusedIDs, req.RequestID) {
			c.idle = slices.Delete(c.idle, i, i+1)
			return cn
		}
	}
	return nil
}

// putIdle keeps cn for a later exchange. Idle connections are reused in last-in,
// first-out order, so that get would never reach the surplus connections that remain
// after a load peak. Therefore putIdle closes the connection that has been idle for
// longest if its idle timeout has passed.
func (c *Client) putIdle(cn *conn) {
	now := time.Now()
	cn.idleSince = now
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || (c.cfg.MaxIdle > 0 && len(c.idle) >= c.cfg.MaxIdle) {
		_ = cn.Close()
		return
	}
	if len(c.idle) > 0 && !c.idle[0].withinIdleTimeout(now) {
		_ = c.idle[0].Close()
		c.idle = slices.Delete(c.idle, 0, 1)
	}
	c.idle = append(c.idle, cn)
}

// withinIdleTimeout reports whether the idle timeout of the connection has not
// passed at now.
func (c *conn) withinIdleTimeout(now time.Time) bool { return now.Sub(c.idleSince) < c.idleTimeout }

// hasNoInput reports whether the connection is open and has no unread input.
func (c *conn) hasNoInput() bool {
	if c.in.Buffered() > 0 {
		return false
	}
	rawConn, err := c.Conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return false
	}
	var peekErr error
	var peeked [1]byte
	err = rawConn.Read(func(fd uintptr) bool {
		_, _, peekErr = unix.Recvfrom(int(fd), peeked[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		return true
	})
	return err == nil && (errors.Is(peekErr, unix.EAGAIN) || errors.Is(peekErr, unix.EWOULDBLOCK))
}

// exchange is a request and its response on one connection.
type exchange struct {
	client *Client
	conn   *conn
	req    *Request
	// stopCancel detaches the connection from the context. It returns false if the
	// end of the context has already aborted the connection.
	stopCancel func() bool
	// bodyWritten receives the result of writing the request body. requestWritten moves it
	// to written.
	bodyWritten chan error
	written     bool
}

// run writes the request and reads the headers of its response. A large request body
// is written concurrently, since a target may respond before it has read the body.
func (x *exchange) run() (*Response, *Error) {
	n, err := x.writeHead()
	if err != nil {
		return nil, &Error{Sent: n > 0, Err: err}
	}
	if x.req.Timing != nil {
		x.req.Timing.WrittenAt = boottime.Now()
	}
	if x.req.bodyInline() {
		x.bodyWritten <- nil
	} else {
		go func() { x.bodyWritten <- x.writeBody() }()
	}
	x.conn.head.left = maxHeadBytes
	for range maxResponses {
		resp, err := x.readHead() //nolint:bodyclose // discardResponse reads the body, or the user closes it
		if err != nil {
			return nil, &Error{Sent: true, Err: err}
		}
		if x.matches(resp) {
			return x.response(resp), nil
		}
		if err := discardResponse(resp); err != nil {
			return nil, &Error{Sent: true, Err: err}
		}
	}
	return nil, &Error{Sent: true, Err: errors.New("received only responses to other requests")}
}

// writeHead writes the request line, the headers and a body of up to
// maxInlineBodyBytes. It returns the number of bytes written.
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
	if x.req.Body != nil && x.req.ContentLength > 0 && x.req.bodyInline() {
		body := make([]byte, x.req.ContentLength)
		if n, err := io.ReadFull(x.req.Body, body); err != nil {
			return 0, fmt.Errorf("request body has %d of %d bytes: %w", n, x.req.ContentLength, err)
		}
		b.Write(body)
	}
	return io.WriteString(x.conn, b.String())
}

// ownHeaders are the headers that writeHead sets itself or omits.
var ownHeaders = map[string]bool{
	"Host": true, "Content-Length": true, "Transfer-Encoding": true, "Connection": true, "Trailer": true,
}

// writeBody writes the request body: ContentLength bytes, or chunks if the length is
// unknown.
func (x *exchange) writeBody() error {
	if x.req.ContentLength > 0 {
		n, err := io.Copy(x.conn, io.LimitReader(x.req.Body, x.req.ContentLength))
		if err == nil && n < x.req.ContentLength {
			err = io.ErrUnexpectedEOF
		}
		return x.abortOnError(err)
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
			return x.abortOnError(err)
		}
		if err != nil {
			return x.abortOnError(err)
		}
	}
}

// abortOnError aborts the connection if err is not nil, so that the target does not
// treat a partly written body as complete. It returns err.
func (x *exchange) abortOnError(err error) error {
	if err != nil {
		_ = x.conn.SetDeadline(time.Unix(1, 0))
	}
	return err
}

// readHead reads the headers of a response. It ignores informational responses (1xx), but
// not 101, after which the connection would carry another protocol. A status that is none of
// HTTP (RFC 9110, section 15) is an error.
func (x *exchange) readHead() (*http.Response, error) {
	x.conn.head.limited = true
	defer func() { x.conn.head.limited = false }()
	for range maxInformational + 1 {
		resp, err := http.ReadResponse(x.conn.in, &http.Request{Method: x.req.Method})
		if err != nil {
			return nil, err
		}
		switch {
		case resp.StatusCode < http.StatusContinue, resp.StatusCode > maxStatus, resp.StatusCode == http.StatusSwitchingProtocols:
			return nil, fmt.Errorf("response has status %q", resp.Status)
		case resp.StatusCode >= http.StatusOK:
			return resp, nil
		}
	}
	return nil, fmt.Errorf("received more than %d informational responses", maxInformational)
}

// matches reports whether resp is the response to the request.
func (x *exchange) matches(resp *http.Response) bool {
	return x.req.RequestID == "" || resp.Header.Get(x.client.cfg.RequestIDHeader) == x.req.RequestID
}

// discardResponse reads and discards a response to another request. It returns an
// error if the end of the response cannot be determined or if the body is too large.
func discardResponse(resp *http.Response) error {
	if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
		return errors.New("response to another request has no length")
	}
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxSkippedBodyBytes+1))
	if err == nil && n > maxSkippedBodyBytes {
		return fmt.Errorf("response to another request exceeds %d bytes", maxSkippedBodyBytes)
	}
	return err
}

// response returns resp with a body that returns the connection to the Client.
func (x *exchange) response(resp *http.Response) *Response {
	if seconds, ok := keepAliveTimeout(resp.Header); ok {
		x.conn.idleTimeout = time.Duration(float64(seconds) * idleTimeoutFraction * float64(time.Second))
	}
	delimited := resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
	return &Response{
		Status:        resp.StatusCode,
		Header:        resp.Header,
		ContentLength: resp.ContentLength,
		Body:          &responseBody{x: x, in: resp.Body, delimited: delimited, reuse: delimited && !resp.Close},
		exchange:      x,
	}
}

// keepAliveTimeout returns the idle timeout that a target states in the Keep-Alive
// header, in seconds, of which an hour at most counts.
func keepAliveTimeout(h http.Header) (int, bool) {
	for _, field := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if strings.EqualFold(name, "timeout") {
			seconds, err := strconv.Atoi(strings.TrimSpace(value))
			return min(seconds, maxKeepAliveSeconds), err == nil && seconds >= 0
		}
	}
	return 0, false
}

// responseBody is the body of a response. It returns the connection to the Client
// when it is closed.
type responseBody struct {
	x  *exchange
	in io.ReadCloser
	// delimited is set if the response states where its body ends. Otherwise the body ends
	// with the connection.
	delimited bool
	// reuse is set if the length of the body is delimited and the target keeps the
	// connection open.
	reuse  bool
	closed bool
	// reachedEOF is set once Read has returned io.EOF.
	reachedEOF bool
}

// Read implements io.Reader.
func (b *responseBody) Read(p []byte) (int, error) {
	n, err := b.in.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	if !b.delimited && !b.x.closedInOrder() {
		return n, io.ErrUnexpectedEOF
	}
	b.reachedEOF = true
	return n, err
}

// closedInOrder reports whether an end of file on the connection means that the target has
// closed it. The kernel reports a reset only once, so that after one which a write of the
// request body has reported, a read returns an end of file as well.
func (x *exchange) closedInOrder() bool {
	if x.requestWritten() {
		return true // no write has failed
	}
	rawConn, err := x.conn.Conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return false
	}
	const closeWait = 8 // TCP_CLOSE_WAIT in Linux: the peer has closed the connection, and not reset it
	inOrder := false
	err = rawConn.Control(func(fd uintptr) {
		info, infoErr := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		inOrder = infoErr == nil && info.State == closeWait
	})
	return err == nil && inOrder
}

// Close ends the exchange. The connection is reused if the response was read to its
// end, the request was written completely and not refused before its body was read, ctx
// has not ended, and no further input has arrived. Otherwise it is closed.
func (b *responseBody) Close() error {
	if b.closed {
		return nil
	}
	b.closed = true
	notCancelled := b.x.stopCancel()
	reuse := b.reuse && !b.x.conn.bodyUnread && len(b.x.conn.refusedIDs) < maxRefusedIDs
	if b.reachedEOF && reuse && notCancelled && b.x.requestWritten() && b.x.conn.in.Buffered() == 0 {
		b.x.client.putIdle(b.x.conn)
		return nil
	}
	return b.x.conn.Close()
}

// requestWritten reports whether the request was written completely. It is called by the
// user of the response's body, one call at a time.
func (x *exchange) requestWritten() bool {
	select {
	case err := <-x.bodyWritten:
		x.written = err == nil
	default:
	}
	return x.written
}
