// Package target is the HTTP client of the target that runs beside this daemon.
//
// A Client sends requests, reads the target's health and load, and renews the
// target's grant. Targets that check grants learn from it until when their daemon
// holds its lease. A Runner decides whether a request may run: it checks admission,
// the ownership of the key, and whether the request ID was seen before. Then it
// passes the request to the Client.
//
// The path of a request to the target is the part of the caller's path after the
// service name. These headers are added to those of the caller:
//
//	Siskinknot-Request-Id, -Caller, -Class   as set by the caller
//	Siskinknot-Deadline-Ms                   remaining time when the daemon sent it, in milliseconds
//	Siskinknot-Deadline-Boottime-Ms          deadline on CLOCK_BOOTTIME
//	Siskinknot-Grant-Token                   log offset of the record of ownership
//	Siskinknot-Grant-Incarnation             incarnation of the owner on the log
//	Siskinknot-Grant-Expires-Boottime-Ms     end of the lease on CLOCK_BOOTTIME
//
// A response with the header Siskinknot-Not-Run means that the target did not
// run the request: "shed" if the target is overloaded, "fenced" if the grant
// has expired or the deadline has passed. Every other response is passed to the caller.
//
// # Usage
//
//	client := target.NewClient(addr, tracer)
//	resp, refusal := client.Send(ctx, head, body, grant, deadline)
package target

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"siskinknot/core/outcome"
	"siskinknot/core/record"
	"siskinknot/core/request"
	"siskinknot/io/boottime"
	"siskinknot/io/tcp"
)

// Headers exchanged between daemon and target.
const (
	HeaderRequestID = "Siskinknot-Request-Id"
	HeaderCaller    = "Siskinknot-Caller"
	HeaderClass     = "Siskinknot-Class"
	HeaderDeadline  = "Siskinknot-Deadline-Ms"
	// HeaderDeadlineBoottime tells the deadline as a time. A target that counts the
	// remaining time from when it reads a request runs a late one too late.
	HeaderDeadlineBoottime = "Siskinknot-Deadline-Boottime-Ms"
	HeaderToken            = "Siskinknot-Grant-Token"
	HeaderHolder           = "Siskinknot-Grant-Incarnation"
	HeaderExpires          = "Siskinknot-Grant-Expires-Boottime-Ms"
	HeaderNotRun           = "Siskinknot-Not-Run"
)

// maxResponseHeaderBytes is the maximum size of the headers of a target's response, in bytes.
const maxResponseHeaderBytes = 64 << 10

// Values of HeaderNotRun.
const (
	NotRunShed   = "shed"
	NotRunFenced = "fenced"
)

// Grant describes to a target the ownership under which a request runs.
type Grant struct {
	// Token is the log offset of the record of ownership.
	Token uint64
	// Holder is the owner. It is empty if the service's keys have no owners.
	Holder record.Incarnation
	// Expires is the end of the lease on CLOCK_BOOTTIME.
	Expires time.Time
}

// Response is the HTTP response of a target. Its user must read Body to the end
// or close it.
type Response struct {
	Status int
	Header http.Header
	// ContentLength is the length of Body in bytes, or -1 if it is unknown.
	ContentLength int64
	Body          io.ReadCloser
}

// Client sends requests to one target. It is safe for concurrent use.
type Client struct {
	base      string
	transport *http.Transport
	conns     *connLimiter
	tracer    trace.Tracer
}

// NewClient returns a client of the target at addr.
func NewClient(addr netip.AddrPort, tracer trace.Tracer) *Client {
	conns := &connLimiter{}
	dialer := &net.Dialer{Timeout: time.Second, Control: tcp.ReuseAddress}
	return &Client{
		base:   "http://" + addr.String(),
		conns:  conns,
		tracer: tracer,
		transport: &http.Transport{
			MaxResponseHeaderBytes: maxResponseHeaderBytes,

			DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
				return conns.dial(ctx, dialer, network, address)
			},
			MaxIdleConnsPerHost: 1024,
			IdleConnTimeout:     time.Minute,
			DisableCompression:  true,
		},
	}
}

// Close closes idle connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// SetConnections sets the maximum number of concurrently open connections.
func (c *Client) SetConnections(n int) { c.conns.limit.Store(int64(n)) }

// Send sends a request to the target, which is told deadline, a time on
// CLOCK_BOOTTIME. The result is nil if the Response is not. Otherwise it is NotRun if
// nothing of the request reached the target or if the target says that it did not
// run it, and Unknown if the request may have run.
func (c *Client) Send(ctx context.Context, head *request.Head, body io.Reader, grant Grant, deadline time.Time) (*Response, outcome.Result) {
	ctx, span := c.tracer.Start(ctx, "target", trace.WithSpanKind(trace.SpanKindClient))
	defer span.End()
	span.SetAttributes(attribute.String("service", head.Service), attribute.String("class", head.Class.String()))
	var sent, late atomic.Bool
	header := http.Header{}
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if !setDeadline(boottime.Now(), header, deadline) {
				late.Store(true)
				_ = info.Conn.Close() // so that the transport writes nothing
			}
		},
		WroteHeaders: func() { sent.Store(true) },
	})
	req, err := http.NewRequestWithContext(ctx, head.Method, c.base+head.Path, singleUseBody(body))
	if err != nil {
		return nil, outcome.NotRun{Reason: outcome.Malformed}
	}
	req.ContentLength, req.Header = head.ContentLength, header
	setHeaders(ctx, header, head, grant, deadline)
	resp, err := c.transport.RoundTrip(req)
	if err != nil {
		span.SetStatus(codes.Error, err.Error())
		if late.Load() {
			return nil, outcome.NotRun{Reason: outcome.DeadlinePast}
		}
		return nil, failureResult(ctx, sent.Load())
	}
	span.SetAttributes(attribute.Int("status", resp.StatusCode))
	if refusal := notRunResult(resp); refusal != nil {
		_ = resp.Body.Close()
		return nil, refusal
	}
	return &Response{
		Status:        resp.StatusCode,
		Header:        resp.Header,
		ContentLength: resp.ContentLength,
		Body:          resp.Body,
	}, nil
}

// singleUseBody hides all methods of body but Read, so that the transport cannot
// send a request a second time.
func singleUseBody(body io.Reader) io.ReadCloser {
	if body == nil {
		body = bytes.NewReader(nil)
	}
	return io.NopCloser(struct{ io.Reader }{body})
}

// setHeaders sets the caller's headers and those that the daemon adds, except the time left.
func setHeaders(ctx context.Context, h http.Header, head *request.Head, grant Grant, deadline time.Time) {
	for name, values := range head.Header {
		h[name] = values
	}
	h.Set(HeaderRequestID, head.ID)
	h.Set(HeaderCaller, head.Caller)
	h.Set(HeaderClass, head.Class.String())
	h.Set(HeaderDeadlineBoottime, strconv.FormatInt(deadline.UnixMilli(), 10))
	if grant.Holder != "" {
		h.Set(HeaderToken, strconv.FormatUint(grant.Token, 10))
		h.Set(HeaderHolder, string(grant.Holder))
		h.Set(HeaderExpires, strconv.FormatInt(grant.Expires.UnixMilli(), 10))
	}
	otel.GetTextMapPropagator().Inject(ctx, propagation.HeaderCarrier(h))
}

// setDeadline sets the header with the time that is left at now, when the request is about
// to be written. It returns false if that is less than a millisecond.
func setDeadline(now time.Time, h http.Header, deadline time.Time) bool {
	left := deadline.Sub(now).Milliseconds()
	h.Set(HeaderDeadline, strconv.FormatInt(left, 10))
	return left > 0
}

// failureResult returns the result of a round trip without a response; sent tells
// whether the request's headers were written.
func failureResult(ctx context.Context, sent bool) outcome.Result {
	reason := outcome.ConnectionCut
	switch {
	case ctx.Err() == context.DeadlineExceeded:
		reason = outcome.TimedOut
	case ctx.Err() != nil:
		reason = outcome.Cancelled
	}
	if sent {
		return outcome.Unknown{Reason: reason}
	}
	if reason == outcome.ConnectionCut {
		reason = outcome.Unreachable
	}
	return outcome.NotRun{Reason: reason}
}

// notRunResult returns the result for a response with HeaderNotRun, or nil.
func notRunResult(resp *http.Response) outcome.Result {
	switch resp.Header.Get(HeaderNotRun) {
	case NotRunShed:
		seconds, _ := strconv.Atoi(resp.Header.Get("Retry-After"))
		return outcome.NotRun{Reason: outcome.Shed, RetryAfter: time.Duration(seconds) * time.Second}
	case NotRunFenced:
		return outcome.NotRun{Reason: outcome.Fenced}
	default:
		return nil
	}
}

// Health is the body of a target's response to GET /health.
type Health struct {
	// State is "ready", "cold" or "draining".
	State string `json:"state"`
}

// Load is the body of a target's response to GET /load.
type Load struct {
	InFlight int `json:"in_flight"`
	Slots    int `json:"slots"`
}

// Health requests the target's health. It returns an error if the target does not
// respond with status 200 and a valid body.
func (c *Client) Health(ctx context.Context) (Health, error) {
	var health Health
	err := c.get(ctx, "/health", &health)
	return health, err
}

// Load requests the target's load. The reported load may be outdated or wrong. Load
// returns an error in the same cases as Health.
func (c *Client) Load(ctx context.Context) (Load, error) {
	var load Load
	err := c.get(ctx, "/load", &load)
	return load, err
}

// get sends a GET request for path and decodes the response into out. A status other
// than 200 is an error.
func (c *Client) get(ctx context.Context, path string, out any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+path, http.NoBody)
	if err != nil {
		return eris.Wrapf(err, "get %s", path)
	}
	resp, err := c.transport.RoundTrip(req)
	if err != nil {
		return eris.Wrapf(err, "get %s", path)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return eris.Errorf("get %s: status %d", path, resp.StatusCode)
	}
	const limit = 64 << 10
	return eris.Wrapf(json.NewDecoder(io.LimitReader(resp.Body, limit)).Decode(out), "decode %s", path)
}

// GrantMessage is the body of a PUT /grant request.
type GrantMessage struct {
	Incarnation record.Incarnation `json:"incarnation"`
	// ExpiresBoottimeMs is the end of the lease on the VM's CLOCK_BOOTTIME, in
	// milliseconds.
	ExpiresBoottimeMs int64 `json:"expires_boottime_ms"`
}

// RenewGrant tells the target until when its daemon, holder, holds its lease. It
// returns an error if the target does not respond with a status below 400.
func (c *Client) RenewGrant(ctx context.Context, holder record.Incarnation, expires time.Time) error {
	body, err := json.Marshal(GrantMessage{Incarnation: holder, ExpiresBoottimeMs: expires.UnixMilli()})
	if err != nil {
		return eris.Wrap(err, "encode grant")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, c.base+"/grant", bytes.NewReader(body))
	if err != nil {
		return eris.Wrap(err, "put /grant")
	}
	resp, err := c.transport.RoundTrip(req)
	if err != nil {
		return eris.Wrap(err, "put /grant")
	}
	_ = resp.Body.Close()
	if resp.StatusCode >= http.StatusBadRequest {
		return eris.Errorf("put /grant: status %d", resp.StatusCode)
	}
	return nil
}

// connLimiter limits the number of open connections to a target.
type connLimiter struct {
	limit atomic.Int64
	open  atomic.Int64
}

// errConnLimit is the error of a dial while the maximum number of connections is
// open.
var errConnLimit = eris.New("connection limit of the target is reached")

// dial opens a connection, or returns errConnLimit.
func (l *connLimiter) dial(ctx context.Context, d *net.Dialer, network, address string) (net.Conn, error) {
	if l.open.Add(1) > max(1, l.limit.Load()) {
		l.open.Add(-1)
		return nil, errConnLimit
	}
	conn, err := d.DialContext(ctx, network, address)
	if err != nil {
		l.open.Add(-1)
		return nil, err
	}
	return &limitedConn{Conn: conn, limit: l}, nil
}

// limitedConn is a connection that is counted by limit until it is closed.
type limitedConn struct {
	net.Conn
	limit  *connLimiter
	closed atomic.Bool
}

// Close implements net.Conn.
func (c *limitedConn) Close() error {
	if c.closed.CompareAndSwap(false, true) {
		c.limit.open.Add(-1)
	}
	return c.Conn.Close()
}
