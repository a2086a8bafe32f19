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

	"siskinknot/core/balance"
	"siskinknot/core/directory"
	"siskinknot/core/outcome"
	"siskinknot/core/record"
	"siskinknot/core/request"
	"siskinknot/core/retry"
	"siskinknot/core/routing"
	"siskinknot/io/boottime"
	"siskinknot/io/forward"
	"siskinknot/io/peer"
)

const (
	// waitShare is the share of a route's latency objective for which a request
	// waits for its key's next owner. After a move that is soon; after a loss it
	// is not, and the caller is told when to come back.
	waitShare = 0.5
	// moveRetryAfter and lossRetryAfter are when a key whose owner is changing,
	// or is out of reach, is to be expected back.
	moveRetryAfter = 150 * time.Millisecond
	lossRetryAfter = 500 * time.Millisecond
	// budgetShare is the share of the fleet's budget for second sends that is
	// used: the daemons count on their own, and not at the same time.
	budgetShare = 0.5
	// busyShare is the share of its slots from which a target of the same zone
	// is not preferred any more.
	busyShare = 0.75
)

// Request is a caller's request.
type Request struct {
	Host   string
	Method string
	// Path is the escaped path without its query, and Target with it.
	Path   string
	Target string
	Header http.Header
	ID     string
	// Key is the key in a divided service, a number from 0 to 65535 in decimal;
	// empty if the caller named none.
	Key    string
	Caller string
	// Received is when the request came, on CLOCK_BOOTTIME, and Left how long
	// the caller waits from then on.
	Received      time.Time
	Left          time.Duration
	Body          Body
	ContentLength int64
}

// Body is the body of a request.
type Body struct {
	// Data is the whole body, which can be sent more than once; nil if the body
	// is read from Stream instead.
	Data   []byte
	Stream io.Reader
	// Abort ends a Read of Stream that is under way.
	Abort func()
}

// attempt returns the body for one attempt.
func (b *Body) attempt() *forward.Body {
	switch {
	case b.Data == nil:
		return &forward.Body{Stream: b.Stream, Abort: b.Abort}
	case len(b.Data) <= peer.InlineBytes:
		return &forward.Body{Inline: b.Data, IsInline: true}
	default:
		return &forward.Body{Stream: bytes.NewReader(b.Data), Abort: func() {}}
	}
}

// Refused is the outcome of a request that no route allows.
type Refused struct {
	outcome.NotRun
	// Status is the HTTP status that says why.
	Status int
}

// Sink receives an answer.
type Sink interface {
	forward.Sink
	// Started reports whether the answer has begun, so that no other can be
	// sent.
	Started() bool
}

// call is a request under way.
type call struct {
	req   *Request
	head  *request.Head
	route *routing.Route
	sink  Sink
	// tries counts the sends, and tried holds the targets of a shared service
	// that were sent to.
	tries int
	tried []netip.AddrPort
	// divided is set if the service is, and key is then the request's key.
	divided bool
	key     uint16
	// spent is set once a body that cannot be read twice has been taken.
	spent bool
}

// Serve runs a caller's request and passes the answer to sink. The result is an
// outcome, or Refused.
func (m *Mesh) Serve(ctx context.Context, req *Request, sink Sink) outcome.Result {
	table := m.Table()
	if table == nil {
		return outcome.NotRun{Reason: outcome.Starting, RetryAfter: lossRetryAfter}
	}
	route, ok := table.Match(req.Host, req.Path)
	if !ok {
		return Refused{NotRun: outcome.NotRun{Reason: outcome.NoService}, Status: http.StatusNotFound}
	}
	if req.ContentLength > table.Limits.MaxBodyBytes && table.Limits.MaxBodyBytes > 0 {
		return Refused{NotRun: outcome.NotRun{Reason: outcome.TooLarge}, Status: http.StatusRequestEntityTooLarge}
	}
	c := m.newCall(req, route, sink)
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
	ctx, cancel := context.WithTimeout(ctx, c.head.Deadline.Sub(boottime.Now()))
	defer cancel()
	res := m.attempts(ctx, c)
	m.metrics.ended(res, boottime.Now().Sub(req.Received))
	m.logEnd(c, table, res)
	return res
}

// newCall returns the call of a request along route.
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
			Service:       route.Pick(rand.Float64()),
			Key:           req.Key,
			ID:            req.ID,
			Caller:        req.Caller,
			Class:         class,
			Idempotent:    route.Kind.Idempotent(),
			Deadline:      req.Received.Add(min(req.Left, route.Timeout)),
			Route:         route.Name,
			Priority:      route.Priority,
			Objective:     objective(req, route),
			Method:        req.Method,
			Path:          req.Target,
			Header:        req.Header,
			ContentLength: req.ContentLength,
		},
	}
}

// objective returns until when an answer to req is worth most: the caller counts
// from its first attempt, and a later one has less than the route's timeout left.
func objective(req *Request, route *routing.Route) time.Time {
	spent := max(0, route.Timeout-req.Left)
	return req.Received.Add(route.LatencyObjective - spent)
}

// attempts sends a request until it is answered or may not be sent again.
func (m *Mesh) attempts(ctx context.Context, c *call) outcome.Result {
	m.budget.Deposit(int(100 * m.cfg.RetryRatio * budgetShare))
	policy := retry.Policy{Attempts: c.route.MaxAttempts}
	giveUp := c.req.Received.Add(time.Duration(float64(c.route.LatencyObjective) * waitShare))
	for {
		c.tries++
		before := m.ownerOf(c)
		res := m.once(ctx, c)
		if c.sink.Started() || c.spent {
			return res
		}
		now := boottime.Now()
		if retry.OwnerChanging(res) && now.After(giveUp) {
			return m.comeBack(c, res)
		}
		if c.divided && reasonOf(res) == outcome.Overloaded {
			return res // there is no other target
		}
		pause, again := policy.Next(now, c.head.Deadline, res, c.head.Idempotent, c.tries, m.budget)
		if !again || ctx.Err() != nil {
			return m.comeBack(c, res)
		}
		m.awaitOwner(ctx, c, before, pause)
	}
}

// owner is whom the directory names for a key of a divided service; zero if nobody.
type owner struct {
	address netip.AddrPort
	fence   uint64
}

// ownerOf returns the owner of the key of c.
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

// awaitOwner pauses before the next try; if the key of c gets another owner than
// before, the pause ends. Other changes of the directory say nothing of the request.
func (m *Mesh) awaitOwner(ctx context.Context, c *call, before owner, pause time.Duration) {
	over := time.NewTimer(pause)
	defer over.Stop()
	for {
		m.mu.Lock()
		changed := m.changed
		m.mu.Unlock()
		if m.ownerOf(c) != before {
			return
		}
		select {
		case <-changed:
		case <-over.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// comeBack returns res with the time after which a refused request is worth
// another try.
func (m *Mesh) comeBack(c *call, res outcome.Result) outcome.Result {
	notRun, ok := res.(outcome.NotRun)
	if !ok || notRun.RetryAfter > 0 {
		return res
	}
	switch notRun.Reason {
	case outcome.NotOwner, outcome.NoOwner:
		notRun.RetryAfter = moveRetryAfter
	case outcome.Unreachable, outcome.NoLease, outcome.Draining, outcome.Fenced:
		notRun.RetryAfter = lossRetryAfter
	default:
		notRun.RetryAfter = c.route.LatencyObjective / 4
	}
	return notRun
}

// once makes one attempt.
func (m *Mesh) once(ctx context.Context, c *call) outcome.Result {
	if !c.divided {
		return m.toShared(ctx, c)
	}
	m.mu.Lock()
	a := m.dir.AssignmentOf(c.head.Service, c.key)
	m.mu.Unlock()
	if a == nil {
		return outcome.NotRun{Reason: outcome.NoOwner}
	}
	return m.to(ctx, a.Owner, c)
}

// toShared sends a request to one target of a shared service.
func (m *Mesh) toShared(ctx context.Context, c *call) outcome.Result {
	now := boottime.Now()
	candidates, local := m.candidates(now, c)
	if len(candidates) == 0 {
		return outcome.NotRun{Reason: outcome.NoOwner}
	}
	if len(local) > 0 {
		candidates = local
	}
	ids := make([]record.Incarnation, 0, len(candidates))
	for _, addr := range candidates {
		ids = append(ids, record.Incarnation(addr.String()))
	}
	chooser := m.choosers.Of(c.head.Service)
	chosen := chooser.Pick(now, balance.TwoChoices, ids)
	addr := netip.MustParseAddrPort(string(chosen))
	c.tried = append(c.tried, addr)
	res := m.to(ctx, addr, c)
	ended := boottime.Now()
	_, answered := res.(outcome.Answered)
	chooser.Done(ended, chosen, ended.Sub(now), answered || reasonOf(res) == outcome.Cancelled)
	return res
}

// candidates returns the targets that a shared request may go to, and those of
// them in this zone that have room. Targets that were tried come only if there
// are no others.
func (m *Mesh) candidates(now time.Time, c *call) (all, local []netip.AddrPort) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.noteReport(now, m.cfg.Self, m.ownLoad(now))
	limit := reportLimit + m.turnTime()
	var again []netip.AddrPort
	for _, member := range m.dir.MembersOf(c.head.Service) {
		r, known := m.loads[member.Address]
		if (known && (!r.Accepting || now.Sub(r.at) > limit)) || !m.reachable(member, r.at) {
			continue
		}
		if slices.Contains(c.tried, member.Address) {
			again = append(again, member.Address)
			continue
		}
		all = append(all, member.Address)
		if known && member.Zone == m.cfg.Zone && !r.Cold && float64(r.inFlight+r.queued) < busyShare*float64(r.Slots) {
			local = append(local, member.Address)
		}
	}
	if len(all) == 0 {
		return again, nil
	}
	return all, local
}

// reachable reports whether member, which was last heard at heardAt, is active or
// has come back since it was fenced: its reports come before its entry says so.
// The caller holds the mutex.
func (m *Mesh) reachable(member *directory.Member, heardAt time.Time) bool {
	since, fenced := m.book.FencedSince(member.Address)
	return member.State == directory.Active || (fenced && heardAt.After(since))
}

// to sends a request to the daemon at addr, or runs it here.
func (m *Mesh) to(ctx context.Context, addr netip.AddrPort, c *call) outcome.Result {
	body := c.req.Body.attempt()
	defer func() { c.spent = body.Taken && c.req.Body.Data == nil }()
	if addr == m.cfg.Self {
		return m.run(ctx, c.head, &localExchange{Sink: c.sink, body: body})
	}
	return forward.Send(ctx, m.pool, addr, c.head, body, c.sink)
}

// localExchange serves a request whose target is beside the entry.
type localExchange struct {
	Sink
	body *forward.Body
}

// Body implements forward.Exchange.
func (x *localExchange) Body() (io.Reader, error) { return x.body.Reader(), nil }

// logEnd logs a request that was not answered, or answered late, with what the
// entry went by.
func (m *Mesh) logEnd(c *call, table *routing.Table, res outcome.Result) {
	now := boottime.Now()
	_, answered := res.(outcome.Answered)
	if answered && !now.After(c.head.Objective) {
		return
	}
	m.metrics.failed.Inc(1)
	message := "request not answered"
	if answered {
		message = "request answered late"
	}
	m.mu.Lock()
	end, storeOK := m.dir.End(), m.storeOK
	owner, fence, age := m.lastOwner(now, c)
	m.mu.Unlock()
	m.log.Info(message, "request", c.head.ID, "route", c.route.Name, "service", c.head.Service,
		"key", c.head.Key, "outcome", res.String(), "reason", reasonOf(res), "tries", c.tries,
		"took_ms", now.Sub(c.req.Received).Milliseconds(), "left_ms", c.head.Deadline.Sub(now).Milliseconds(),
		"late_ms", now.Sub(c.head.Objective).Milliseconds(), "config", table.Version, "directory", end, "store_ok", storeOK,
		"owner", owner, "fence", fence, "report_age_ms", age.Milliseconds())
}

// lastOwner returns where a request was sent to last, the fence of its key, and
// how old the report of that member is. The caller holds the mutex.
func (m *Mesh) lastOwner(now time.Time, c *call) (owner string, fence uint64, age time.Duration) {
	addr := netip.AddrPort{}
	if len(c.tried) > 0 {
		addr = c.tried[len(c.tried)-1]
	}
	if c.divided {
		if a := m.dir.AssignmentOf(c.head.Service, c.key); a != nil {
			addr, fence = a.Owner, a.Fence
		}
	}
	if !addr.IsValid() {
		return "", fence, 0
	}
	if r, ok := m.loads[addr]; ok {
		age = now.Sub(r.at)
	}
	return addr.String(), fence, age
}
