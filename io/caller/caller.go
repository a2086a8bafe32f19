// Package caller implements the HTTP interface through which callers send
// requests to the fleet.
//
// A caller may send any request to any daemon, which is then the ingress daemon
// of that request:
//
//	METHOD /SERVICE/KEY[/REST][?QUERY]    a service divided by key
//	METHOD /SERVICE/REST[?QUERY]          a shared service
//
// KEY is one path segment, percent-encoded. The target receives the path
// without /SERVICE. These request headers are all optional:
//
//	Siskinknot-Request-Id    unique among the caller's requests
//	Siskinknot-Caller        name of the caller; fair queueing within a class uses it
//	Siskinknot-Class         lookup, write, bulk or internal
//	Siskinknot-Idempotent    true or false; default: true for GET, HEAD and OPTIONS
//	Siskinknot-Deadline-Ms   maximum time until the answer, in milliseconds
//
// Every answer has the header Siskinknot-Outcome. Its value "answered" means
// that the answer is the target's. "not_run" comes with status 503 (or 4xx for
// an invalid request) and means that the target did not run the request;
// Retry-After says when to retry. "unknown" comes with status 504 and means that
// the target may have run the request. With "not_run" and "unknown", the header
// Siskinknot-Reason gives the reason. If an answer fails after its header was
// sent, the daemon closes the connection, so that the caller never takes a
// truncated answer for a complete one.
//
// Siskinknot-Owner is the address of the owner's daemon. A caller that sends its
// next request for the key to that address saves a hop.
//
// # Usage
//
//	ingress := caller.New(member, runner, pool, tracer, metrics)
//	server := &http.Server{Handler: ingress.Handler()}
package caller

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/uber-go/tally/v4"
	"github.com/uptrace/bunrouter"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"siskinknot/core/balance"
	"siskinknot/core/outcome"
	"siskinknot/core/request"
	"siskinknot/core/retry"
	"siskinknot/core/settings"
	"siskinknot/io/boottime"
	"siskinknot/io/forward"
	"siskinknot/io/member"
	"siskinknot/io/peer"
	"siskinknot/io/target"
)

// Headers between callers and daemons, in addition to those of package target.
const (
	HeaderIdempotent = "Siskinknot-Idempotent"
	HeaderOutcome    = "Siskinknot-Outcome"
	HeaderReason     = "Siskinknot-Reason"
	HeaderOwner      = "Siskinknot-Owner"
	HeaderAttempts   = "Siskinknot-Attempts"
)

// headerPrefix is the prefix of the names of all headers that siskinknot defines.
const headerPrefix = "Siskinknot-"

// MaxHeaderBytes is the maximum size of the header of a caller's request, in
// bytes.
const MaxHeaderBytes = 64 << 10

// Ingress is the ingress side of a daemon: it serves the requests of callers and
// sends each to the daemon of a target that may run it. It is safe for
// concurrent use.
type Ingress struct {
	member   *member.Member
	runner   *target.Runner
	pool     *peer.Pool
	tracer   trace.Tracer
	metrics  metrics
	budget   *retry.Budget
	choosers balance.Choosers
}

// metrics are the counters and the latency histograms of an Ingress.
type metrics struct {
	answered tally.Counter
	notRun   tally.Counter
	unknown  tally.Counter
	cutOff   tally.Counter
	retries  tally.Counter
	latency  [request.NumClasses]tally.Histogram
}

func newMetrics(s tally.Scope) metrics {
	m := metrics{
		answered: s.Counter("requests_answered"),
		notRun:   s.Counter("requests_not_run"),
		unknown:  s.Counter("requests_unknown"),
		cutOff:   s.Counter("answers_cut_off"),
		retries:  s.Counter("request_retries"),
	}
	buckets := tally.MustMakeExponentialDurationBuckets(time.Millisecond/2, 2, 15)
	for c := range m.latency {
		class := request.Class(c).String()
		m.latency[c] = s.Tagged(map[string]string{"class": class}).Histogram("request_time", buckets)
	}
	return m
}

// New returns an Ingress that looks up owners in m, runs requests of the local
// target with runner, and forwards the others over sessions of pool.
func New(m *member.Member, runner *target.Runner, pool *peer.Pool, tracer trace.Tracer, scope tally.Scope) *Ingress {
	return &Ingress{
		member:  m,
		runner:  runner,
		pool:    pool,
		tracer:  tracer,
		metrics: newMetrics(scope),
		budget:  retry.NewBudget(retry.DefaultBurst),
	}
}

// Handler returns the HTTP handler for callers.
func (ing *Ingress) Handler() http.Handler {
	router := bunrouter.New()
	for _, method := range []string{
		http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut,
		http.MethodPatch, http.MethodDelete, http.MethodOptions,
	} {
		router.Handle(method, "/*path", func(w http.ResponseWriter, req bunrouter.Request) error {
			ing.serve(w, req.Request)
			return nil
		})
	}
	return router
}

// serve serves one request of a caller from its parsing to the end of its
// answer.
func (ing *Ingress) serve(w http.ResponseWriter, req *http.Request) {
	start := boottime.Now()
	ctx := otel.GetTextMapPropagator().Extract(req.Context(), propagation.HeaderCarrier(req.Header))
	ctx, span := ing.tracer.Start(ctx, "entry", trace.WithSpanKind(trace.SpanKindServer))
	defer span.End()
	c, reqErr := ing.parse(start, req)
	if reqErr != nil {
		ing.reject(w, reqErr)
		return
	}
	span.SetAttributes(
		attribute.String("service", c.head.Service),
		attribute.String("key", c.head.Key),
		attribute.String("class", c.head.Class.String()),
		attribute.String("request_id", c.head.ID),
	)
	ctx, cancel := context.WithTimeout(ctx, c.head.Deadline.Sub(start))
	defer cancel()
	c.body.Stream = newProgressReader(w, req.Body, c)
	c.body.Abort = func() { _ = http.NewResponseController(w).SetReadDeadline(time.Now()) }
	sink := &responseSink{w: w}
	res := ing.sendWithRetries(ctx, c, sink)
	span.SetAttributes(attribute.String("outcome", res.String()))
	ing.metrics.latency[c.head.Class].RecordDuration(boottime.Now().Sub(start))
	ing.finish(w, sink, res)
}

// call is a caller's request that is in progress.
type call struct {
	head   *request.Head
	body   *forward.Body
	values *settings.Values
	kind   string
	// attempts is the number of attempts so far, including the current one.
	attempts int
}

// requestError describes an error that ends a request before it is sent to a
// target. reason and text are sent to the caller.
type requestError struct {
	status int
	reason outcome.Reason
	text   string
}

// malformed returns a requestError with status 400.
func malformed(format string, args ...any) *requestError {
	return &requestError{status: http.StatusBadRequest, reason: outcome.Malformed, text: fmt.Sprintf(format, args...)}
}

// parse validates a caller's request that arrived at now.
func (ing *Ingress) parse(now time.Time, req *http.Request) (*call, *requestError) {
	service, key, rest, err := splitPath(req.URL)
	if err != nil {
		return nil, malformed("%v", err)
	}
	if !ing.member.Ready() {
		return nil, &requestError{
			status: http.StatusServiceUnavailable,
			reason: outcome.Starting,
			text:   "the daemon has not read the log yet",
		}
	}
	values, kind, ok := ing.member.Values(service, key)
	if !ok {
		return nil, &requestError{
			status: http.StatusNotFound,
			reason: outcome.NoService,
			text:   fmt.Sprintf("service %q does not exist", service),
		}
	}
	if kind == settings.KindDivided && key == "" {
		return nil, malformed("path %q names no key", req.URL.Path)
	}
	if kind == settings.KindShared {
		key = ""
	}
	head := &request.Head{
		Service:       service,
		Key:           key,
		ID:            req.Header.Get(target.HeaderRequestID),
		Caller:        req.Header.Get(target.HeaderCaller),
		Method:        req.Method,
		Path:          rest,
		Header:        endToEnd(req.Header),
		ContentLength: req.ContentLength,
	}
	if reqErr := ing.parseHeaders(now, req, head, values); reqErr != nil {
		return nil, reqErr
	}
	if err := head.Validate(); err != nil {
		return nil, malformed("%v", err)
	}
	body, reqErr := readInlineBody(req, head, values)
	if reqErr != nil {
		return nil, reqErr
	}
	return &call{head: head, body: body, values: values, kind: kind}, nil
}

// splitPath returns the service, the key (the first segment after the service),
// and the path and query for the target. An error names the invalid part.
func splitPath(u *url.URL) (service, key, rest string, err error) {
	escaped := strings.TrimPrefix(u.EscapedPath(), "/")
	service, rest, _ = strings.Cut(escaped, "/")
	if service == "" {
		return "", "", "", fmt.Errorf("path %q names no service", u.Path)
	}
	segment, _, _ := strings.Cut(rest, "/")
	key, err = url.PathUnescape(segment)
	if err != nil {
		return "", "", "", fmt.Errorf("key %q: %w", segment, err)
	}
	rest = "/" + rest
	if u.RawQuery != "" {
		rest += "?" + u.RawQuery
	}
	return service, key, rest, nil
}

// parseHeaders sets the class, idempotency, deadline and ID of head from the
// siskinknot headers of req, or to their defaults.
func (ing *Ingress) parseHeaders(now time.Time, req *http.Request, head *request.Head, values *settings.Values) *requestError {
	safe := request.SafeMethod(req.Method)
	head.Class = request.Write
	if safe {
		head.Class = request.Lookup
	}
	if name := req.Header.Get(target.HeaderClass); name != "" {
		class, err := request.ParseClass(name)
		if err != nil {
			return malformed("%s: %v", target.HeaderClass, err)
		}
		head.Class = class
	}
	head.Idempotent = safe
	if text := req.Header.Get(HeaderIdempotent); text != "" {
		idempotent, err := strconv.ParseBool(text)
		if err != nil {
			return malformed("%s: %q is neither true nor false", HeaderIdempotent, text)
		}
		head.Idempotent = idempotent
	}
	timeout := values.DefaultDeadline()
	if text := req.Header.Get(target.HeaderDeadline); text != "" {
		ms, err := strconv.ParseInt(text, 10, 64)
		if err != nil || ms < 1 || ms > values.MaxDeadlineMs {
			return malformed("%s: %q is not between 1 and %d", target.HeaderDeadline, text, values.MaxDeadlineMs)
		}
		timeout = time.Duration(ms) * time.Millisecond
	}
	head.Deadline = now.Add(timeout)
	if head.ID == "" {
		head.ID = uuid.NewString()
	}
	return nil
}

// endToEnd returns the headers of h that are forwarded: neither those that
// concern one connection only nor those that siskinknot defines.
func endToEnd(h http.Header) http.Header {
	out := forward.EndToEnd(h)
	for name := range out {
		if strings.HasPrefix(name, headerPrefix) {
			delete(out, name)
		}
	}
	return out
}

// readInlineBody reads a body of up to peer.InlineBytes, so that it can be sent
// more than once; for a larger one, or one of unknown length, it returns an
// empty Body. It returns an error for a body that exceeds the size limit or ends
// early.
func readInlineBody(req *http.Request, head *request.Head, values *settings.Values) (*forward.Body, *requestError) {
	if head.ContentLength > values.MaxBodyBytes {
		return nil, &requestError{
			status: http.StatusRequestEntityTooLarge,
			reason: outcome.TooLarge,
			text:   fmt.Sprintf("body has %d bytes, limit %d", head.ContentLength, values.MaxBodyBytes),
		}
	}
	if head.ContentLength < 0 || head.ContentLength > peer.InlineBytes {
		return &forward.Body{}, nil
	}
	data := make([]byte, head.ContentLength)
	if _, err := io.ReadFull(req.Body, data); err != nil {
		return nil, malformed("body has fewer than %d bytes", head.ContentLength)
	}
	return &forward.Body{Inline: data, IsInline: true}, nil
}

// reject answers a request that ends with reqErr.
func (ing *Ingress) reject(w http.ResponseWriter, reqErr *requestError) {
	ing.metrics.notRun.Inc(1)
	w.Header().Set(HeaderOutcome, outcome.NotRun{}.String())
	w.Header().Set(HeaderReason, string(reqErr.reason))
	http.Error(w, reqErr.text, reqErr.status)
}

// finish counts the outcome and answers a request that its target did not
// answer. If the answer has already started, it closes the connection instead.
func (ing *Ingress) finish(w http.ResponseWriter, sink *responseSink, res outcome.Result) {
	switch res := res.(type) {
	case outcome.Answered:
		ing.metrics.answered.Inc(1)
		return
	case outcome.NotRun:
		ing.metrics.notRun.Inc(1)
		if sink.started {
			ing.abort()
		}
		w.Header().Set("Retry-After", strconv.Itoa(int(res.RetryAfter/time.Second)+1))
		writeFailure(w, http.StatusServiceUnavailable, res, res.Reason)
	case outcome.Unknown:
		ing.metrics.unknown.Inc(1)
		if sink.started {
			ing.abort()
		}
		writeFailure(w, http.StatusGatewayTimeout, res, res.Reason)
	default:
		panic(fmt.Sprintf("unexpected outcome.Result %T", res))
	}
}

// abort closes the caller's connection, since the answer cannot be completed.
func (ing *Ingress) abort() {
	ing.metrics.cutOff.Inc(1)
	panic(http.ErrAbortHandler)
}

// writeFailure answers a request that its target did not answer.
func writeFailure(w http.ResponseWriter, status int, res outcome.Result, reason outcome.Reason) {
	w.Header().Set(HeaderOutcome, res.String())
	w.Header().Set(HeaderReason, string(reason))
	http.Error(w, fmt.Sprintf("%s: %s", res, reason), status)
}
