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

// sendWithRetries sends a request until it is answered or may not be sent again:
// once its answer has started, once part of its body stream was read, or when
// the retry policy allows no further attempt. A request that may still run when this
// process ends is not sent either, whoever owns its key: its answer could not be delivered.
func (ing *Ingress) sendWithRetries(ctx context.Context, c *call, sink *responseSink) outcome.Result {
	ing.budget.Deposit(c.values.RetryBudgetPercent)
	policy := retry.Policy{MaxAttempts: c.values.RetryAttempts}
	var last outcome.Result
	for {
		if ing.runner.OutlivesStop(c.head.Deadline) {
			return refusedByStop(last)
		}
		c.attempts++
		res := ing.sendOnce(ctx, c, sink, last)
		last = res
		if sink.started || c.body.Consumed {
			return res
		}
		delay, retryAllowed := policy.NextDelay(boottime.Now(), c.head.Deadline, res, c.head.Idempotent, c.attempts, ing.budget)
		if !retryAllowed {
			return res
		}
		ing.metrics.retries.Inc(1)
		ing.waitBeforeRetry(ctx, delay, res)
		if ctx.Err() != nil {
			return res
		}
	}
}

// refusedByStop returns the result of a request that is not sent because this process ends.
// last is the result of its previous attempt, or nil.
func refusedByStop(last outcome.Result) outcome.Result {
	if unknown, ok := last.(outcome.Unknown); ok {
		return unknown
	}
	return outcome.NotRun{Reason: outcome.Stopping}
}

// waitBeforeRetry waits for delay before a retry. If res names a log offset,
// this daemon's state was older than the owner's; waitBeforeRetry then first
// waits until that offset is applied, for up to 10 times delay.
func (ing *Ingress) waitBeforeRetry(ctx context.Context, delay time.Duration, res outcome.Result) {
	if notRun, ok := res.(outcome.NotRun); ok && notRun.MinOffset > 0 {
		waitCtx, cancel := context.WithTimeout(ctx, 10*delay)
		defer cancel()
		ing.member.WaitApplied(waitCtx, notRun.MinOffset)
	}
	select {
	case <-time.After(delay):
	case <-ctx.Done():
	}
}

// sendOnce makes one attempt. last is the result of the previous attempt, or nil.
func (ing *Ingress) sendOnce(ctx context.Context, c *call, sink *responseSink, last outcome.Result) outcome.Result {
	if c.kind == settings.KindDivided {
		return ing.sendToOwner(ctx, c, sink, last)
	}
	return ing.sendToShared(ctx, c, sink)
}

// sendToOwner sends a request to the owner of its key. Every second attempt goes
// to the owner's heir, if there is one and the result of the previous attempt
// allows that the heir serves.
func (ing *Ingress) sendToOwner(ctx context.Context, c *call, sink *responseSink, last outcome.Result) outcome.Result {
	route, heir, notRun := ing.member.OwnerRoutes(c.head.Service, c.head.Key)
	if notRun != nil {
		return notRun
	}
	if heir.ID != "" && c.attempts%2 == 0 && heirMayServe(last) {
		route = heir
	}
	return ing.send(ctx, route, c, sink)
}

// heirMayServe reports whether the lease of an owner whose attempt ended with
// res may have lapsed, so that its heir serves its keys.
func heirMayServe(res outcome.Result) bool {
	switch res := res.(type) {
	case outcome.NotRun:
		return res.Reason == outcome.Unreachable || res.Reason == outcome.NoLease || res.Reason == outcome.NotOwner
	case outcome.Unknown:
		return true
	default:
		return false
	}
}

// sendToShared sends a request to one of the targets of a shared service.
func (ing *Ingress) sendToShared(ctx context.Context, c *call, sink *responseSink) outcome.Result {
	routes := ing.member.SharedRoutes(c.head.Service)
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
	chooser := ing.choosers.ForService(c.head.Service)
	chosen := chooser.Pick(start, c.values.SharedChoice, ids)
	res := ing.send(ctx, byID[chosen], c, sink)
	end := boottime.Now()
	_, answered := res.(outcome.Answered)
	chooser.Done(end, chosen, end.Sub(start), answered)
	return res
}

// send sends a request to the daemon of route, or runs it if the target of route
// is local.
func (ing *Ingress) send(ctx context.Context, route member.Route, c *call, sink *responseSink) outcome.Result {
	sink.owner = route.CallerAddress.String()
	sink.attempts = c.attempts
	if route.Local {
		return ing.runner.Run(ctx, c.head, &localExchange{responseSink: sink, body: c.body})
	}
	ctx, span := ing.tracer.Start(ctx, "forward")
	defer span.End()
	return forward.Send(ctx, ing.pool, route.DaemonAddress, c.head, c.body, sink)
}

// localExchange is the target.Exchange of a request whose target is beside the
// ingress daemon.
type localExchange struct {
	*responseSink
	body *forward.Body
}

// Body implements target.Exchange.
func (x *localExchange) Body() (io.Reader, error) { return x.body.Reader(), nil }

// responseSink writes an answer to the caller. It implements forward.Sink.
type responseSink struct {
	w        http.ResponseWriter
	owner    string
	attempts int
	started  bool
	// flush is set for answers of unknown length: each piece is sent to the caller
	// as it arrives.
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
	h.Set(HeaderAttempts, strconv.Itoa(s.attempts))
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

// newProgressReader returns a reader of a caller's body. Its Read returns an
// error if no data arrives for the progress timeout of the settings, or if the
// body is larger than the settings allow.
func newProgressReader(w http.ResponseWriter, body io.ReadCloser, c *call) io.Reader {
	return &progressReader{
		body:    http.MaxBytesReader(w, body, c.values.MaxBodyBytes),
		control: http.NewResponseController(w),
		timeout: c.values.ProgressTimeout(),
	}
}

// progressReader sets a read deadline for each read of a body.
type progressReader struct {
	body    io.Reader
	control *http.ResponseController
	timeout time.Duration
}

// Read implements io.Reader.
func (r *progressReader) Read(p []byte) (int, error) {
	// Deadlines of connections are on the clock of package time, not on that of
	// package boottime.
	if err := r.control.SetReadDeadline(time.Now().Add(r.timeout)); err != nil {
		return 0, err
	}
	n, err := r.body.Read(p)
	if err == io.EOF {
		// The HTTP server now reads from the connection to notice when the caller
		// closes it; the read deadline of the body must not end that read.
		if derr := r.control.SetReadDeadline(time.Time{}); derr != nil {
			return n, derr
		}
	}
	return n, err
}
