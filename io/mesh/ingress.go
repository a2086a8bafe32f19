package mesh

import (
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"time"

	"siskinknot/core/directory"
	"siskinknot/core/outcome"
	"siskinknot/core/quarantine"
	"siskinknot/core/request"
	"siskinknot/core/retry"
	"siskinknot/core/routing"
	"siskinknot/io/boottime"
	"siskinknot/io/forward"
	"siskinknot/io/peer"
	"siskinknot/io/peer/peerpb"
)

const (
	// ownerWaitFraction is the fraction of a route's latency objective for
	// which a request waits for its key's next owner. During a transfer the
	// next owner is known soon. After the loss of an owner it takes longer, and
	// the caller is told when to retry instead.
	ownerWaitFraction = 0.5
	// moveRetryAfter and lossRetryAfter are the retry delays suggested to
	// callers when a key is changing owners and when its owner cannot be
	// reached.
	moveRetryAfter = 150 * time.Millisecond
	lossRetryAfter = 500 * time.Millisecond
	// budgetFraction is the fraction of the fleet's retry budget that is used,
	// because the daemons count independently of one another and not at the
	// same time.
	budgetFraction = 0.5
)

// Request is a caller's request.
type Request struct {
	Host   string
	Method string
	// Path is the escaped path without the query, and PathAndQuery the path with
	// the query.
	Path         string
	PathAndQuery string
	Header       http.Header
	ID           string
	// ParentID is the ID of the request that the request is a call for, according to its
	// own ID; empty if that names none.
	ParentID string
	// Key is the key in a divided service, a decimal number from 0 to 65535;
	// empty if the caller sent none.
	Key    string
	Caller string
	// ReceivedAt is when the request arrived, on CLOCK_BOOTTIME, and Timeout how
	// long the caller waits from then on.
	ReceivedAt    time.Time
	Timeout       time.Duration
	Body          Body
	ContentLength int64
}

// Body is the body of a request.
type Body struct {
	// Data is the whole body, which can be sent more than once. If it is nil,
	// the body is read from Stream.
	Data   []byte
	Stream io.Reader
	// Abort interrupts a Read of Stream that is in progress.
	Abort func()
}

// forAttempt returns the body to use for one attempt.
func (b *Body) forAttempt() *forward.Body {
	switch {
	case b.Data == nil:
		return &forward.Body{Stream: b.Stream, Abort: b.Abort}
	case len(b.Data) <= peer.InlineBytes:
		return &forward.Body{Inline: b.Data, IsInline: true, Abort: func() {}}
	default:
		return &forward.Body{Stream: bytes.NewReader(b.Data), Abort: func() {}}
	}
}

// Refused is the outcome of a request that cannot be routed: no route matches
// it, its body is too large, or its key is malformed.
type Refused struct {
	outcome.NotRun
	// Status is the HTTP status code to return.
	Status int
}

// Sink receives the answer to a request.
type Sink interface {
	forward.Sink
	// Started reports whether writing the answer has begun, after which no
	// other answer can be sent.
	Started() bool
}

// call is a request in progress.
type call struct {
	req   *Request
	head  *request.Head
	route *routing.Route
	sink  Sink
	// attempts counts the attempts, unreached those of them that reached no target, and
	// triedTargets lists the targets of a shared service that were tried.
	attempts, unreached int
	triedTargets        []netip.AddrPort
	// redirected counts the times that the request was redirected.
	redirected int
	// avoidedZones has the zones whose members have rejected the request because the zone is
	// evacuated. allEvacuated is set if no member of the service is left in another zone.
	avoidedZones []string
	allEvacuated bool
	// divided is set if the service is divided; key is then the request's key.
	divided bool
	key     uint16
	// headHash is the hash of the request without its body, or 0 if it was not needed.
	// fingerprint is set once the request may be a suspect, and onTrial if it is one
	// whose quarantine is over.
	headHash    uint64
	fingerprint quarantine.Fingerprint
	onTrial     bool
	// parent is the request that the request is a call for, or nil if it is no call. answer then
	// records the status of its answer.
	parent *run
	answer *statusSink
	// bodyConsumed is set once a body that can be read only once has been read.
	bodyConsumed bool
}

// Serve routes a caller's request and writes the answer to sink. The result is
// one of the results of package outcome, or Refused.
func (m *Mesh) Serve(ctx context.Context, req *Request, sink Sink) outcome.Result {
	res := m.route(ctx, req, sink)
	m.outcomes.add(res)
	return res
}

// route is Serve, without counting the result.
func (m *Mesh) route(ctx context.Context, req *Request, sink Sink) outcome.Result {
	table := m.Table()
	if table == nil {
		return outcome.NotRun{Reason: outcome.Starting, RetryAfter: lossRetryAfter}
	}
	route, ok := table.Match(req.Host, req.Path)
	if !ok {
		return m.unknownRoute(boottime.Now(), table)
	}
	if req.ContentLength > table.Limits.MaxBodyBytes && table.Limits.MaxBodyBytes > 0 {
		return Refused{NotRun: outcome.NotRun{Reason: outcome.TooLarge}, Status: http.StatusRequestEntityTooLarge}
	}
	c := m.newCall(req, route, sink)
	m.recognizeCall(c)
	if refusal := m.busyRefusal(boottime.Now(), c); refusal != nil {
		m.metrics.recordOutcome(refusal, boottime.Now().Sub(req.ReceivedAt))
		m.logOutcome(c, table, refusal)
		return refusal
	}
	if svc, ok := table.Service(c.head.Service); ok {
		c.divided = svc.Divided
	}
	if c.divided {
		key, err := strconv.ParseUint(req.Key, 10, 16)
		if err != nil {
			return Refused{NotRun: outcome.NotRun{Reason: outcome.Malformed}, Status: http.StatusBadRequest}
		}
		c.key = uint16(key)
	}
	now := boottime.Now()
	ctx, cancel := context.WithTimeout(ctx, c.head.Deadline.Sub(now))
	defer cancel()
	var res outcome.Result = outcome.NotRun{Reason: outcome.Stopping, RetryAfter: lossRetryAfter}
	if !m.outlivesStop(now, c.head.Deadline) {
		res = m.sendWithRetries(ctx, c)
	}
	m.metrics.recordOutcome(res, boottime.Now().Sub(req.ReceivedAt))
	m.recordCall(boottime.Now(), c, res)
	m.logOutcome(c, table, res)
	return res
}

// newCall returns the call for a request on route.
func (m *Mesh) newCall(req *Request, route *routing.Route, sink Sink) *call {
	class := request.Write
	switch route.Kind {
	case routing.Safe:
		class = request.Lookup
	case routing.Upload:
		class = request.Bulk
	case routing.Unsafe:
	}
	return &call{
		req:   req,
		route: route,
		sink:  sink,
		head: &request.Head{
			Service:       route.PickService(rand.Float64()),
			Key:           req.Key,
			ID:            req.ID,
			Caller:        req.Caller,
			Class:         class,
			Idempotent:    route.Kind.Idempotent(),
			Deadline:      req.ReceivedAt.Add(min(req.Timeout, route.Timeout)),
			Route:         route.Name,
			Priority:      route.Priority,
			Objective:     objective(req, route),
			Method:        req.Method,
			Path:          req.PathAndQuery,
			Header:        req.Header,
			ContentLength: req.ContentLength,
		},
	}
}

// objective returns the time by which req should be answered. The caller
// measures latency from its first attempt, and a later attempt has less than
// the route's timeout left.
func objective(req *Request, route *routing.Route) time.Time {
	elapsed := max(0, route.Timeout-req.Timeout)
	return req.ReceivedAt.Add(route.LatencyObjective - elapsed)
}

// sendWithRetries sends a request until it is answered or may not be retried.
func (m *Mesh) sendWithRetries(ctx context.Context, c *call) outcome.Result {
	m.budget.Deposit(int(100 * m.cfg.RetryRatio * budgetFraction))
	m.redirects.addRequest()
	ownerWaitEnd := c.req.ReceivedAt.Add(time.Duration(float64(c.route.LatencyObjective) * ownerWaitFraction))
	if c.parent != nil {
		ownerWaitEnd = c.head.Deadline // the parent loses its work if the call is rejected
	}
	for {
		if refusal := m.quarantineRefusal(ctx, c); refusal != nil {
			return refusal
		}
		c.attempts++
		previousOwner := m.ownerOf(c)
		res := m.redirect(ctx, c, m.sendOnce(ctx, c))
		if !reachedTarget(res) {
			c.unreached++
		}
		if c.sink.Started() || c.bodyConsumed {
			return res
		}
		now := boottime.Now()
		if (ownerStops(c, res) || retry.OwnerUnavailable(res) && now.After(ownerWaitEnd)) && m.ownerOf(c) == previousOwner {
			return m.withRetryAfter(c, res)
		}
		if m.mayTryElsewhere(c, res) {
			continue
		}
		if noOtherTarget(c, res) {
			return m.withRetryAfter(c, res)
		}
		policy := retry.Policy{MaxAttempts: c.route.MaxAttempts + c.unreached}
		delay, retryable := policy.NextDelay(now, c.head.Deadline, res, c.head.Idempotent, c.attempts, m.budget)
		if !retryable || ctx.Err() != nil {
			return m.withRetryAfter(c, res)
		}
		m.awaitOwnerChange(ctx, c, previousOwner, delay)
	}
}

// ownerStops reports whether, according to res, the owner of the key of c is about to end and no
// other owner is expected before. A call waits all the same: its parent loses its work if the call
// is rejected.
func ownerStops(c *call, res outcome.Result) bool {
	notRun, ok := res.(outcome.NotRun)
	return ok && c.parent == nil && notRun.Reason == outcome.Stopping && notRun.RetryAfter > 0
}

// noOtherTarget reports whether another attempt at c, which ended with res, would end in the same
// way: all zones are evacuated, the calls of the route fail, no other target has room, or the
// service is divided and has no other target for the key.
func noOtherTarget(c *call, res outcome.Result) bool {
	reason := reasonOf(res)
	return c.allEvacuated || reason == outcome.CallsFailing || reason == outcome.Overloaded
}

// owner is the owner of a key of a divided service according to the directory;
// zero if the key has none.
type owner struct {
	address netip.AddrPort
	fence   uint64
}

// ownerOf returns the owner of the key of c, or zero if there is none or the
// service is not divided.
func (m *Mesh) ownerOf(c *call) owner {
	if !c.divided {
		return owner{}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if a := m.dir.AssignmentOf(c.head.Service, c.key); a != nil {
		return owner{a.Owner, a.Fence}
	}
	return owner{}
}

// awaitOwnerChange waits for delay before the next attempt, or until the owner
// of the key of c differs from previous. Other changes of the directory do not
// end the wait.
func (m *Mesh) awaitOwnerChange(ctx context.Context, c *call, previous owner, delay time.Duration) {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	for {
		m.mu.Lock()
		changed := m.changed
		m.mu.Unlock()
		if m.ownerOf(c) != previous {
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// withRetryAfter returns res with a suggested retry delay if the request was
// not run.
func (m *Mesh) withRetryAfter(c *call, res outcome.Result) outcome.Result {
	notRun, ok := res.(outcome.NotRun)
	if !ok || notRun.RetryAfter > 0 {
		return res
	}
	switch notRun.Reason {
	case outcome.NotOwner, outcome.NoOwner:
		notRun.RetryAfter = moveRetryAfter
	case outcome.Evacuated:
		notRun.RetryAfter = moveRetryAfter
		if c.allEvacuated {
			notRun.RetryAfter = lossRetryAfter
		}
	case outcome.Unreachable, outcome.NoLease, outcome.Draining, outcome.Stopping, outcome.Fenced:
		notRun.RetryAfter = lossRetryAfter
	default:
		notRun.RetryAfter = c.route.LatencyObjective / 4
	}
	return notRun
}

// unknownRoute returns the result of a request that table has no route for: it is refused for
// good only if table is known to be the newest version.
func (m *Mesh) unknownRoute(now time.Time, table *routing.Table) outcome.Result {
	m.mu.Lock()
	current := m.loaded && (!m.hasOtherMembers() || m.configCurrency.Current(now, table.Version))
	m.mu.Unlock()
	if current {
		return Refused{NotRun: outcome.NotRun{Reason: outcome.NoService}, Status: http.StatusNotFound}
	}
	m.metrics.unconfirmedConfig.Inc(1)
	return outcome.NotRun{Reason: outcome.UnconfirmedConfig, RetryAfter: lossRetryAfter}
}

// hasOtherMembers reports whether another daemon can tell which versions there are. The caller
// holds the mutex.
func (m *Mesh) hasOtherMembers() bool {
	return slices.ContainsFunc(m.dir.Members(), func(member *directory.Member) bool {
		return member.Address != m.cfg.Self && member.State == directory.Active
	})
}

// sendOnce makes one attempt to send the request.
func (m *Mesh) sendOnce(ctx context.Context, c *call) outcome.Result {
	if !c.divided {
		return m.sendToShared(ctx, c)
	}
	if refusal := m.evacuatedOwnerRefusal(c); refusal != nil {
		return refusal
	}
	a := m.beginAttempt(ctx, c)
	if a == nil {
		return outcome.NotRun{Reason: outcome.NoOwner}
	}
	defer m.endAttempt(a)
	return m.sendTo(ctx, a.owned, a.owner, c)
}

// reachable reports whether member, whose last report arrived at heardAt, is
// active or has returned since it was fenced: its reports arrive before its
// entry in the directory changes. The caller holds the mutex.
func (m *Mesh) reachable(member *directory.Member, heardAt time.Time) bool {
	if member.State == directory.Active {
		return true
	}
	since, fenced := m.leases.FencedSince(member.Address)
	return fenced && heardAt.After(since)
}

// sendTo sends a request to the daemon at addr, or runs it on the local target
// if this is that daemon. owned is derived from ctx and ends when that daemon has lost the
// request's key.
func (m *Mesh) sendTo(ctx, owned context.Context, addr netip.AddrPort, c *call) outcome.Result {
	body := c.req.Body.forAttempt()
	defer func() { c.bodyConsumed = body.Consumed && c.req.Body.Data == nil }()
	if addr == m.cfg.Self {
		// A read that goes on would hold the response back.
		defer context.AfterFunc(ctx, body.Abort)()
		return m.runRequest(ctx, c.head, &localExchange{Sink: c.sink, body: body})
	}
	head := *c.head
	head.Target = m.peerNotices.get(boottime.Now(), addr)
	return forward.SendWhileOwned(ctx, owned, m.pool, addr, &head, body, &noticeSink{Sink: c.sink, mesh: m, addr: addr, head: c.head})
}

// noticeSink is the sink of an answer from the daemon at addr. It keeps what the answer
// states about the target there.
type noticeSink struct {
	Sink
	mesh *Mesh
	addr netip.AddrPort
	head *request.Head
	// notice is that of the answer, or nil if the target states nothing.
	notice *request.TargetNotice
}

// Notice implements forward.NoticeSink.
func (s *noticeSink) Notice(notice *request.TargetNotice) { s.notice = notice }

// Load implements forward.LoadSink.
func (s *noticeSink) Load(load *peerpb.TargetLoad) { s.mesh.recordEndLoad(s.addr, s.head, load) }

// Head implements forward.Sink.
func (s *noticeSink) Head(status int, header http.Header, contentLength int64) error {
	s.mesh.peerNotices.record(boottime.Now(), s.addr, s.notice)
	return s.Sink.Head(status, header, contentLength)
}

// localExchange is the exchange of a request whose target is beside the ingress
// daemon.
type localExchange struct {
	Sink
	body *forward.Body
}

// Body implements forward.Exchange.
func (x *localExchange) Body() (io.Reader, error) { return x.body.Reader(), nil }

// logOutcome logs a request that was not answered or was answered late, with
// the state that the ingress daemon routed it by.
func (m *Mesh) logOutcome(c *call, table *routing.Table, res outcome.Result) {
	now := boottime.Now()
	_, answered := res.(outcome.Answered)
	if answered && !now.After(c.head.Objective) {
		return
	}
	m.metrics.lateOrFailed.Inc(1)
	message := "request not answered"
	if answered {
		message = "request answered late"
	}
	if !m.requestLines.allow(now, requestLine{message, reasonOf(res)}) {
		return
	}
	m.mu.Lock()
	version, storeOK := m.dir.Version(), m.storeOK
	owner, fence, age := m.lastOwner(now, c)
	m.mu.Unlock()
	fields := []any{
		"request", c.head.ID, "route", c.route.Name, "service", c.head.Service,
		"key", c.head.Key, "outcome", res.String(), "reason", reasonOf(res), "tries", c.attempts,
		"took_ms", now.Sub(c.req.ReceivedAt).Milliseconds(), "left_ms", c.head.Deadline.Sub(now).Milliseconds(),
		"late_ms", now.Sub(c.head.Objective).Milliseconds(), "config", table.Version, "directory", version, "store_ok", storeOK,
		"owner", owner, "fence", fence, "report_age_ms", age.Milliseconds(),
	}
	if c.parent != nil {
		fields = append(fields, "parent", c.parent.head.ID, "parent_route", c.head.ParentRoute)
	}
	if c.fingerprint != (quarantine.Fingerprint{}) {
		fields = append(fields, "fingerprint", c.fingerprint.String())
	}
	m.requestLog.Info(message, fields...)
}

// lastOwner returns the member that a request was last sent to, the fence of
// its key, and the age of that member's last report. The caller holds the
// mutex.
func (m *Mesh) lastOwner(now time.Time, c *call) (owner string, fence uint64, age time.Duration) {
	addr := netip.AddrPort{}
	if len(c.triedTargets) > 0 {
		addr = c.triedTargets[len(c.triedTargets)-1]
	}
	if c.divided {
		if a := m.dir.AssignmentOf(c.head.Service, c.key); a != nil {
			addr, fence = a.Owner, a.Fence
		}
	}
	if !addr.IsValid() {
		return "", fence, 0
	}
	if r, ok := m.reports[addr]; ok {
		age = now.Sub(r.receivedAt)
	}
	return addr.String(), fence, age
}
