package caller

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"siskinknot/core/outcome"
	"siskinknot/core/record"
	"siskinknot/core/retry"
	"siskinknot/core/settings"
	"siskinknot/io/boottime"
	"siskinknot/io/forward"
	"siskinknot/io/member"
)

// attempt sends a request until it is answered or may not be sent again.
func (e *Entry) attempt(ctx context.Context, c *call, sink *responseSink) outcome.Result {
	e.budget.Deposit(c.values.RetryBudgetPercent)
	policy := retry.Policy{Attempts: c.values.RetryAttempts}
	var last outcome.Result
	for {
		c.tries++
		res := e.once(ctx, c, sink, last)
		last = res
		if sink.started || c.body.Taken {
			return res
		}
		pause, again := policy.Next(boottime.Now(), c.head.Deadline, res, c.head.Idempotent, c.tries, e.budget)
		if !again {
			return res
		}
		e.metrics.retries.Inc(1)
		e.wait(ctx, pause, res)
		if ctx.Err() != nil {
			return res
		}
	}
}

// wait pauses before a retry. If this daemon's view of the log was behind the
// owner's, it waits for the fold to catch up instead.
func (e *Entry) wait(ctx context.Context, pause time.Duration, res outcome.Result) {
	if notRun, ok := res.(outcome.NotRun); ok && notRun.Offset > 0 {
		bounded, cancel := context.WithTimeout(ctx, 10*pause)
		defer cancel()
		e.member.WaitFolded(bounded, notRun.Offset)
	}
	select {
	case <-time.After(pause):
	case <-ctx.Done():
	}
}

// once makes one attempt.
func (e *Entry) once(ctx context.Context, c *call, sink *responseSink, last outcome.Result) outcome.Result {
	if c.kind == settings.Divided {
		return e.toOwner(ctx, c, sink, last)
	}
	return e.toShared(ctx, c, sink)
}

// toOwner sends a request to the owner of its key, or to the owner's heir if
// the owner did not serve it.
func (e *Entry) toOwner(ctx context.Context, c *call, sink *responseSink, last outcome.Result) outcome.Result {
	route, heir, refusal := e.member.Owner(c.head.Service, c.head.Key)
	if refusal != nil {
		return refusal
	}
	if heir.ID != "" && c.tries%2 == 0 && mayHaveHeir(last) {
		route = heir
	}
	return e.to(ctx, route, c, sink)
}

// mayHaveHeir reports whether an owner that ended a request as res may have
// lapsed, so that its heir serves.
func mayHaveHeir(res outcome.Result) bool {
	switch res := res.(type) {
	case outcome.NotRun:
		return res.Reason == outcome.Unreachable || res.Reason == outcome.NoLease || res.Reason == outcome.NotOwner
	case outcome.Unknown:
		return true
	default:
		return false
	}
}

// toShared sends a request to one target of a shared service.
func (e *Entry) toShared(ctx context.Context, c *call, sink *responseSink) outcome.Result {
	routes := e.member.Shared(c.head.Service)
	if len(routes) == 0 {
		return outcome.NotRun{Reason: outcome.NoOwner}
	}
	byID := make(map[record.Incarnation]member.Route, len(routes))
	ids := make([]record.Incarnation, 0, len(routes))
	for _, route := range routes {
		byID[route.ID] = route
		ids = append(ids, route.ID)
	}
	start := boottime.Now()
	chooser := e.choosers.Of(c.head.Service)
	chosen := chooser.Pick(start, c.values.SharedChoice, ids)
	res := e.to(ctx, byID[chosen], c, sink)
	end := boottime.Now()
	_, answered := res.(outcome.Answered)
	chooser.Done(end, chosen, end.Sub(start), answered)
	return res
}

// to sends a request along route.
func (e *Entry) to(ctx context.Context, route member.Route, c *call, sink *responseSink) outcome.Result {
	sink.owner = route.Caller.String()
	sink.tries = c.tries
	if route.Local {
		return e.runner.Run(ctx, c.head, &localExchange{responseSink: sink, body: c.body})
	}
	ctx, span := e.tracer.Start(ctx, "forward")
	defer span.End()
	return forward.Send(ctx, e.pool, route.Daemon, c.head, c.body, sink)
}

// localExchange serves a request whose owner is beside the entry.
type localExchange struct {
	*responseSink
	body *forward.Body
}

// Body implements target.Exchange.
func (x *localExchange) Body() (io.Reader, error) { return x.body.Reader(), nil }

// responseSink writes an answer to the caller.
type responseSink struct {
	w       http.ResponseWriter
	owner   string
	tries   int
	started bool
	// flush is set for answers of unknown length, which are passed on piece by
	// piece.
	flush bool
}

// Head implements forward.Sink.
func (s *responseSink) Head(status int, header http.Header, contentLength int64) error {
	s.started = true
	h := s.w.Header()
	for name, values := range endToEnd(header) {
		h[name] = values
	}
	h.Set(HeaderOutcome, outcome.Answered{}.String())
	h.Set(HeaderOwner, s.owner)
	h.Set(HeaderAttempts, strconv.Itoa(s.tries))
	if contentLength >= 0 {
		h.Set("Content-Length", strconv.FormatInt(contentLength, 10))
	}
	s.flush = contentLength < 0
	s.w.WriteHeader(status)
	return nil
}

// Write implements forward.Sink.
func (s *responseSink) Write(data []byte) error {
	if _, err := s.w.Write(data); err != nil {
		return err
	}
	if s.flush {
		return http.NewResponseController(s.w).Flush()
	}
	return nil
}

// progressing returns a reader of a caller's body that gives up when no data
// comes for the time set, or more comes than is allowed.
func progressing(w http.ResponseWriter, body io.ReadCloser, c *call) io.Reader {
	return &progressReader{
		body:    http.MaxBytesReader(w, body, c.values.MaxBodyBytes),
		control: http.NewResponseController(w),
		timeout: c.values.ProgressTimeout(),
	}
}

// progressReader bounds the time of each read.
type progressReader struct {
	body    io.Reader
	control *http.ResponseController
	timeout time.Duration
}

// Read implements io.Reader.
func (r *progressReader) Read(p []byte) (int, error) {
	// The deadline of a connection is on the clock of package time.
	if err := r.control.SetReadDeadline(time.Now().Add(r.timeout)); err != nil {
		return 0, err
	}
	n, err := r.body.Read(p)
	if err == io.EOF {
		// The server now watches the connection for the caller's leaving, which
		// the deadline of the body must not end.
		if derr := r.control.SetReadDeadline(time.Time{}); derr != nil {
			return n, derr
		}
	}
	return n, err
}
