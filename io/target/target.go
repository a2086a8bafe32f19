// Package target speaks HTTP to the target beside this daemon.
//
// A Client sends requests, reads the target's health and load, and renews the
// grant by which a target that checks grants knows how long its daemon holds.
// A Runner decides on each request: admission, the right of ownership, the
// request ids seen before; then it hands the request to the Client.
//
// A target gets each request under its path behind the service's name, with
// these headers beside the caller's own:
//
//	Siskinknot-Request-Id, -Caller, -Class   as the caller gave them
//	Siskinknot-Deadline-Ms                   time left, in milliseconds
//	Siskinknot-Grant-Token                   offset of the record of ownership
//	Siskinknot-Grant-Incarnation             the owner on the log
//	Siskinknot-Grant-Expires-Boottime-Ms     end of the lease on CLOCK_BOOTTIME
//
// A target that answers with the header Siskinknot-Not-Run says that it did not
// run the request: "shed" if it has too much to do, "fenced" if the grant has
// expired. Every other answer counts as the target's own.
//
// # Usage
//
//	client := target.NewClient(addr, tracer)
//	answer, refusal := client.Send(ctx, head, body, grant)
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
)

// The headers between daemon and target.
const (
	HeaderRequestID = "Siskinknot-Request-Id"
	HeaderCaller    = "Siskinknot-Caller"
	HeaderClass     = "Siskinknot-Class"
	HeaderDeadline  = "Siskinknot-Deadline-Ms"
	HeaderToken     = "Siskinknot-Grant-Token"
	HeaderHolder    = "Siskinknot-Grant-Incarnation"
	HeaderExpires   = "Siskinknot-Grant-Expires-Boottime-Ms"
	HeaderNotRun    = "Siskinknot-Not-Run"
)

// Values of HeaderNotRun.
const (
	NotRunShed   = "shed"
	NotRunFenced = "fenced"
)

// Grant is what a target is told of the right under which a request runs.
type Grant struct {
	Token   uint64
	Holder  record.Incarnation
	Expires time.Time
}

// Answer is the beginning of a target's answer. Its Body is read to the end or
// closed.
type Answer struct {
	Status        int
	Header        http.Header
	ContentLength int64
	Body          io.ReadCloser
}

// Client sends requests to one target. It is safe for concurrent use.
type Client struct {
	base      string
	transport *http.Transport
	conns     *connLimit
	tracer    trace.Tracer
}

// NewClient returns a client of the target at addr.
func NewClient(addr netip.AddrPort, tracer trace.Tracer) *Client {
	conns := &connLimit{}
	dialer := &net.Dialer{Timeout: time.Second}
	return &Client{
		base:   "http://" + addr.String(),
		conns:  conns,
		tracer: tracer,
		transport: &http.Transport{
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

// SetConnections sets the most connections that are open at a time.
func (c *Client) SetConnections(n int) { c.conns.limit.Store(int64(n)) }

// Send hands a request to the target. A nil result comes with an Answer. The
// result is NotRun if nothing of the request reached the target, or if the
// target said so.
func (c *Client) Send(ctx context.Context, head *request.Head, body io.Reader, grant Grant, left time.Duration) (*Answer, outcome.Result) {
	ctx, span := c.tracer.Start(ctx, "target", trace.WithSpanKind(trace.SpanKindClient))
	defer span.End()
	span.SetAttributes(attribute.String("service", head.Service), attribute.String("class", head.Class.String()))
	var sent atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		WroteHeaders: func() { sent.Store(true) },
	})
	req, err := http.NewRequestWithContext(ctx, head.Method, c.base+head.Path, oneShot(body))
	if err != nil {
		return nil, outcome.NotRun{Reason: outcome.Malformed}
	}
	req.ContentLength = head.ContentLength
	setHeaders(ctx, req.Header, head, grant, left)
	resp, err := c.transport.RoundTrip(req)
	if err != nil {
		span.SetStatus(codes.Error, err.Error())
		return nil, failure(ctx, sent.Load())
	}
	span.SetAttributes(attribute.Int("status", resp.StatusCode))
	if refusal := notRun(resp); refusal != nil {
		_ = resp.Body.Close()
		return nil, refusal
	}
	return &Answer{
		Status:        resp.StatusCode,
		Header:        resp.Header,
		ContentLength: resp.ContentLength,
		Body:          resp.Body,
	}, nil
}

// oneShot hides all but Read of body, so that the transport never sends a
// request twice on its own.
func oneShot(body io.Reader) io.ReadCloser {
	if body == nil {
		body = bytes.NewReader(nil)
	}
	return io.NopCloser(struct{ io.Reader }{body})
}

// setHeaders sets what the target is told about the request.
func setHeaders(ctx context.Context, h http.Header, head *request.Head, grant Grant, left time.Duration) {
	for name, values := range head.Header {
		h[name] = values
	}
	h.Set(HeaderRequestID, head.ID)
	h.Set(HeaderCaller, head.Caller)
	h.Set(HeaderClass, head.Class.String())
	h.Set(HeaderDeadline, strconv.FormatInt(left.Milliseconds(), 10))
	if grant.Holder != "" {
		h.Set(HeaderToken, strconv.FormatUint(grant.Token, 10))
		h.Set(HeaderHolder, string(grant.Holder))
		h.Set(HeaderExpires, strconv.FormatInt(grant.Expires.UnixMilli(), 10))
	}
	otel.GetTextMapPropagator().Inject(ctx, propagation.HeaderCarrier(h))
}

// failure returns the result of a round trip without an answer.
func failure(ctx context.Context, sent bool) outcome.Result {
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

// notRun returns the refusal that resp carries, or nil.
func notRun(resp *http.Response) outcome.Result {
	switch resp.Header.Get(HeaderNotRun) {
	case NotRunShed:
		after, _ := strconv.Atoi(resp.Header.Get("Retry-After"))
		return outcome.NotRun{Reason: outcome.Shed, RetryAfter: time.Duration(after) * time.Second}
	case NotRunFenced:
		return outcome.NotRun{Reason: outcome.Fenced}
	default:
		return nil
	}
}

// Health is the answer of a target's /health.
type Health struct {
	// State is "ready", "cold" or "draining".
	State string `json:"state"`
}

// Load is the answer of a target's /load.
type Load struct {
	InFlight int `json:"in_flight"`
	Slots    int `json:"slots"`
}

// Health asks the target for its health.
func (c *Client) Health(ctx context.Context) (Health, error) {
	var health Health
	err := c.get(ctx, "/health", &health)
	return health, err
}

// Load asks the target for its load. The answer may lag or be wrong.
func (c *Client) Load(ctx context.Context) (Load, error) {
	var load Load
	err := c.get(ctx, "/load", &load)
	return load, err
}

// get decodes the answer to a GET of path into out.
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

// GrantMessage is the body of a PUT of /grant.
type GrantMessage struct {
	Incarnation record.Incarnation `json:"incarnation"`
	// ExpiresBoottimeMs is the end of the lease on the VM's CLOCK_BOOTTIME.
	ExpiresBoottimeMs int64 `json:"expires_boottime_ms"`
}

// RenewGrant tells the target until when its daemon holds.
func (c *Client) RenewGrant(ctx context.Context, holder record.Incarnation, until time.Time) error {
	body, err := json.Marshal(GrantMessage{Incarnation: holder, ExpiresBoottimeMs: until.UnixMilli()})
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

// connLimit bounds the connections to a target.
type connLimit struct {
	limit atomic.Int64
	open  atomic.Int64
}

// errTooManyConns is returned by a dial beyond the limit.
var errTooManyConns = eris.New("the target's connections are all in use")

// dial opens a connection unless the limit is reached.
func (l *connLimit) dial(ctx context.Context, d *net.Dialer, network, address string) (net.Conn, error) {
	if l.open.Add(1) > max(1, l.limit.Load()) {
		l.open.Add(-1)
		return nil, errTooManyConns
	}
	conn, err := d.DialContext(ctx, network, address)
	if err != nil {
		l.open.Add(-1)
		return nil, err
	}
	return &limitedConn{Conn: conn, limit: l}, nil
}

// limitedConn gives its place back when it is closed.
type limitedConn struct {
	net.Conn
	limit  *connLimit
	closed atomic.Bool
}

// Close implements net.Conn.
func (c *limitedConn) Close() error {
	if c.closed.CompareAndSwap(false, true) {
		c.limit.open.Add(-1)
	}
	return c.Conn.Close()
}
