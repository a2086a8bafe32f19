// Package caller serves the callers of a fleet over HTTP.
//
// Any daemon takes any request:
//
//	METHOD /SERVICE/KEY[/REST][?QUERY]    a service divided by key
//	METHOD /SERVICE/REST[?QUERY]          a shared service
//
// KEY is one path segment, percent-encoded. The target receives the path
// without /SERVICE. The request's properties are headers, all optional:
//
//	Siskinknot-Request-Id    unique among the caller's requests
//	Siskinknot-Caller        who asks; requests of a class are served fairly by it
//	Siskinknot-Class         lookup, write, bulk or internal
//	Siskinknot-Idempotent    true or false; default: true for GET and HEAD
//	Siskinknot-Deadline-Ms   time the answer may take, in milliseconds
//
// An answer carries Siskinknot-Outcome. "answered" is the target's answer.
// "not_run" comes with status 503 (or 4xx for a request that breaks a rule) and
// means that the target did not run the request; Retry-After says when to try
// again. "unknown" comes with 504 and means that it may have run. Each of the
// latter names its cause in Siskinknot-Reason. An answer that breaks off after
// it has begun breaks the connection: a cut answer never looks whole.
//
// Siskinknot-Owner names the address of the owner's daemon; a caller that sends
// there saves a hop.
//
// # Usage
//
//	entry := caller.New(member, runner, pool, tracer, metrics)
//	server := &http.Server{Handler: entry.Handler()}
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

// The headers between caller and daemon, beside those of package target.
const (
	HeaderIdempotent = "Siskinknot-Idempotent"
	HeaderOutcome    = "Siskinknot-Outcome"
	HeaderReason     = "Siskinknot-Reason"
	HeaderOwner      = "Siskinknot-Owner"
	HeaderAttempts   = "Siskinknot-Attempts"
)

// headerPrefix begins the names of all headers of this system.
const headerPrefix = "Siskinknot-"

// MaxHeaderBytes bounds the header of a caller's request.
const MaxHeaderBytes = 64 << 10

// Entry serves callers. It is safe for concurrent use.
type Entry struct {
	member   *member.Member
	runner   *target.Runner
	pool     *peer.Pool
	tracer   trace.Tracer
	metrics  metrics
	budget   *retry.Budget
	choosers balance.Choosers
}

// metrics are the counters of an Entry.
type metrics struct {
	answered tally.Counter
	notRun   tally.Counter
	unknown  tally.Counter
	cutOff   tally.Counter
	retries  tally.Counter
	latency  [request.Classes]tally.Histogram
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

// New returns an Entry.
func New(m *member.Member, runner *target.Runner, pool *peer.Pool, tracer trace.Tracer, scope tally.Scope) *Entry {
	return &Entry{
		member:  m,
		runner:  runner,
		pool:    pool,
		tracer:  tracer,
		metrics: newMetrics(scope),
		budget:  retry.NewBudget(retry.DefaultBurst),
	}
}

// Handler returns the HTTP handler for callers.
func (e *Entry) Handler() http.Handler {
	router := bunrouter.New()
	for _, method := range []string{
		http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut,
		http.MethodPatch, http.MethodDelete, http.MethodOptions,
	} {
		router.Handle(method, "/*path", func(w http.ResponseWriter, req bunrouter.Request) error {
			e.serve(w, req.Request)
			return nil
		})
	}
	return router
}

// serve serves one request of a caller.
func (e *Entry) serve(w http.ResponseWriter, req *http.Request) {
	start := boottime.Now()
	ctx := otel.GetTextMapPropagator().Extract(req.Context(), propagation.HeaderCarrier(req.Header))
	ctx, span := e.tracer.Start(ctx, "entry", trace.WithSpanKind(trace.SpanKindServer))
	defer span.End()
	c, problem := e.parse(start, req)
	if problem != nil {
		e.refuse(w, problem)
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
	c.body.Stream = progressing(w, req.Body, c)
	c.body.Abort = func() { _ = http.NewResponseController(w).SetReadDeadline(time.Now()) }
	sink := &responseSink{w: w}
	res := e.attempt(ctx, c, sink)
	span.SetAttributes(attribute.String("outcome", res.String()))
	e.metrics.latency[c.head.Class].RecordDuration(boottime.Now().Sub(start))
	e.finish(w, sink, res)
}

// call is a request of a caller under way.
type call struct {
	head   *request.Head
	body   *forward.Body
	values *settings.Values
	kind   string
	// tries counts the attempts.
	tries int
}

// problem is a request that breaks a rule of the interface.
type problem struct {
	status int
	reason outcome.Reason
	text   string
}

// malformed returns a problem with status 400.
func malformed(format string, args ...any) *problem {
	return &problem{status: http.StatusBadRequest, reason: outcome.Malformed, text: fmt.Sprintf(format, args...)}
}

// parse checks a caller's request.
func (e *Entry) parse(now time.Time, req *http.Request) (*call, *problem) {
	service, key, rest, err := splitPath(req.URL)
	if err != nil {
		return nil, malformed("%v", err)
	}
	if !e.member.Ready() {
		return nil, &problem{
			status: http.StatusServiceUnavailable,
			reason: outcome.Starting,
			text:   "the daemon has not read the log yet",
		}
	}
	values, kind, ok := e.member.Values(service, key)
	if !ok {
		return nil, &problem{
			status: http.StatusNotFound,
			reason: outcome.NoService,
			text:   fmt.Sprintf("service %q does not exist", service),
		}
	}
	if kind == settings.Divided && key == "" {
		return nil, malformed("path %q names no key", req.URL.Path)
	}
	if kind == settings.Shared {
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
	if p := e.parseHeaders(now, req, head, values); p != nil {
		return nil, p
	}
	if err := head.Check(); err != nil {
		return nil, malformed("%v", err)
	}
	body, p := readSmall(req, head, values)
	if p != nil {
		return nil, p
	}
	return &call{head: head, body: body, values: values, kind: kind}, nil
}

// splitPath returns the service, the key, and the path for the target.
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

// parseHeaders fills in head from the headers of this system.
func (e *Entry) parseHeaders(now time.Time, req *http.Request, head *request.Head, values *settings.Values) *problem {
	safe := req.Method == http.MethodGet || req.Method == http.MethodHead || req.Method == http.MethodOptions
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

// endToEnd returns the headers that are passed on: those of this system are not.
func endToEnd(h http.Header) http.Header {
	out := forward.EndToEnd(h)
	for name := range out {
		if strings.HasPrefix(name, headerPrefix) {
			delete(out, name)
		}
	}
	return out
}

// readSmall reads a small body, so that it can be sent more than once, and
// refuses one that is too large.
func readSmall(req *http.Request, head *request.Head, values *settings.Values) (*forward.Body, *problem) {
	if head.ContentLength > values.MaxBodyBytes {
		return nil, &problem{
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

// refuse answers a request that breaks a rule.
func (e *Entry) refuse(w http.ResponseWriter, p *problem) {
	e.metrics.notRun.Inc(1)
	w.Header().Set(HeaderOutcome, outcome.NotRun{}.String())
	w.Header().Set(HeaderReason, string(p.reason))
	http.Error(w, p.text, p.status)
}

// finish ends the answer to a caller.
func (e *Entry) finish(w http.ResponseWriter, sink *responseSink, res outcome.Result) {
	switch res := res.(type) {
	case outcome.Answered:
		e.metrics.answered.Inc(1)
		return
	case outcome.NotRun:
		e.metrics.notRun.Inc(1)
		if sink.started {
			e.abort()
		}
		w.Header().Set("Retry-After", strconv.Itoa(int(res.RetryAfter/time.Second)+1))
		writeFailure(w, http.StatusServiceUnavailable, res, res.Reason)
	case outcome.Unknown:
		e.metrics.unknown.Inc(1)
		if sink.started {
			e.abort()
		}
		writeFailure(w, http.StatusGatewayTimeout, res, res.Reason)
	default:
		panic(fmt.Sprintf("unexpected outcome.Result %T", res))
	}
}

// abort breaks the caller's connection, since the answer cannot be completed.
func (e *Entry) abort() {
	e.metrics.cutOff.Inc(1)
	panic(http.ErrAbortHandler)
}

// writeFailure answers a request that was not answered by its target.
func writeFailure(w http.ResponseWriter, status int, res outcome.Result, reason outcome.Reason) {
	w.Header().Set(HeaderOutcome, res.String())
	w.Header().Set(HeaderReason, string(reason))
	http.Error(w, fmt.Sprintf("%s: %s", res, reason), status)
}
