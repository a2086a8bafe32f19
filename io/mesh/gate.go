package mesh

import (
	"bytes"
	"context"
	"errors"
	"io"
	"strconv"
	"time"

	"siskinknot/core/outcome"
	"siskinknot/core/request"
	"siskinknot/core/scheduling"
	"siskinknot/io/boottime"
	"siskinknot/io/forward"
	"siskinknot/io/targetconn"
)

const (
	// grantWait is the longest time that a request waits at its owner for keys
	// that are on their way there: about that of a move.
	grantWait = 300 * time.Millisecond
	// wholeAnswer is the largest answer that is read whole before it is passed
	// on, so that one which breaks off is not begun.
	wholeAnswer = 64 << 10
	// drainSlack is how long before the end of a leaving target's time it gets
	// its last request.
	drainSlack = 300 * time.Millisecond
)

// run runs a request at the target beside this daemon and passes its answer to
// ex.
func (m *Mesh) run(ctx context.Context, head *request.Head, ex forward.Exchange) outcome.Result {
	s := stay{came: boottime.Now()}
	res := m.runHere(ctx, head, ex, &s)
	s.left = boottime.Now()
	if _, answered := res.(outcome.Answered); !answered || s.left.After(head.Objective) {
		m.logStay(&s, head, res)
	}
	return res
}

// stay is the time of a request at the daemon of its target.
type stay struct {
	came time.Time
	// admitted is when the request got a slot; zero if it did not.
	admitted, left time.Time
}

// logStay logs a request that got no answer here, or a late one, with what
// decided that.
func (m *Mesh) logStay(s *stay, head *request.Head, res outcome.Result) {
	message, queued, ran := "request not answered by target", s.left.Sub(s.came), time.Duration(0)
	if _, answered := res.(outcome.Answered); answered {
		message = "request answered late by target"
	}
	if !s.admitted.IsZero() {
		queued, ran = s.admitted.Sub(s.came), s.left.Sub(s.admitted)
	}
	now := s.left
	load := m.scheduler.Load()
	m.mu.Lock()
	lease := m.book.HeldUntil(m.dir)
	t, end := m.target, m.dir.End()
	m.mu.Unlock()
	left := time.Duration(0)
	if lease.After(now) {
		left = lease.Sub(now)
	}
	m.log.Info(message, "request", head.ID, "route", head.Route, "key", head.Key,
		"outcome", res.String(), "reason", reasonOf(res), "queued_ms", queued.Milliseconds(), "ran_ms", ran.Milliseconds(),
		"objective_left_ms", head.Objective.Sub(s.came).Milliseconds(), "running", load.Running, "queued", load.Queued,
		"limit", load.Limit, "lease_left_ms", left.Milliseconds(), "directory", end, "instance", t.Instance,
		"target_down", t.down, "target_leaving", !t.leavingSince.IsZero(), "target_heard_ms", now.Sub(t.heardAt).Milliseconds())
}

// runHere is run without its log line; it notes when the request got a slot.
func (m *Mesh) runHere(ctx context.Context, head *request.Head, ex forward.Exchange, s *stay) outcome.Result {
	now := boottime.Now()
	key, divided, refusal := m.mayRun(now, head)
	if refusal != nil {
		return refusal
	}
	if divided {
		if refusal := m.awaitKey(ctx, head, key); refusal != nil {
			return refusal
		}
	}
	m.mu.Lock()
	asks := m.demand.Arrived(now, head.Class)
	if divided {
		m.heat.Add(now, key, asks)
	}
	m.mu.Unlock()
	permit, refusal := m.scheduler.Acquire(ctx, boottime.Now(), scheduling.Request{
		Route:     head.Route,
		Priority:  head.Priority,
		Objective: head.Objective,
		Deadline:  head.Deadline,
	})
	if refusal != nil {
		return refusal
	}
	started := boottime.Now()
	s.admitted = started
	permit.Start(started)
	res, use := m.admitted(ctx, head, ex, key, divided)
	ended := boottime.Now()
	permit.Done(ended, use)
	if use == scheduling.Served {
		m.mu.Lock()
		m.demand.Served(head.Class, ended.Sub(started))
		m.mu.Unlock()
	}
	return res
}

// mayRun reports whether requests of head's service run here at all, and which
// key it is for.
func (m *Mesh) mayRun(now time.Time, head *request.Head) (key uint16, divided bool, refusal outcome.Result) {
	m.mu.Lock()
	defer m.mu.Unlock()
	t := &m.target
	switch {
	case m.table == nil || !m.loaded:
		return 0, false, outcome.NotRun{Reason: outcome.Starting}
	case head.Service != m.cfg.Service:
		return 0, false, outcome.NotRun{Reason: outcome.NotOwner}
	case t.Instance == "" || t.down:
		return 0, false, outcome.NotRun{Reason: outcome.Unreachable}
	case m.finishing:
		return 0, false, outcome.NotRun{Reason: outcome.Draining}
	}
	divided = m.divided()
	if refusal := m.leavingRefuses(now, divided); refusal != nil || !divided {
		return 0, divided, refusal
	}
	n, err := strconv.ParseUint(head.Key, 10, 16)
	if err != nil {
		return 0, true, outcome.NotRun{Reason: outcome.Malformed}
	}
	return uint16(n), true, nil
}

// leavingRefuses returns why a leaving target takes no request, or nil: an owner
// serves its keys until they are passed on, within its time. The caller holds
// the mutex.
func (m *Mesh) leavingRefuses(now time.Time, divided bool) outcome.Result {
	t := &m.target
	if t.leavingSince.IsZero() {
		return nil
	}
	if !divided || now.Sub(t.leavingSince) > m.cfg.DrainTime-drainSlack {
		return outcome.NotRun{Reason: outcome.Draining}
	}
	return nil
}

// holds returns why the target may not be sent a request for key at now, or nil.
// The caller holds the mutex.
func (m *Mesh) holds(now time.Time, key uint16) outcome.Result {
	h := m.holdingOf(key)
	switch {
	case h == nil || h.closing:
		return outcome.NotRun{Reason: outcome.NotOwner, Offset: m.dir.End()}
	case !m.book.Holds(now, m.dir):
		return outcome.NotRun{Reason: outcome.NoLease}
	case !h.granted || !now.Before(h.grantedUntil):
		return outcome.NotRun{Reason: outcome.NoOwner}
	default:
		return nil
	}
}

// awaitKey waits until the target holds key, if this member owns it or is about
// to, and returns why not otherwise.
func (m *Mesh) awaitKey(ctx context.Context, head *request.Head, key uint16) outcome.Result {
	var limit <-chan time.Time
	for {
		now := boottime.Now()
		m.mu.Lock()
		refusal := m.holds(now, key)
		changed := m.changed
		m.mu.Unlock()
		notRun, refused := refusal.(outcome.NotRun)
		if !refused {
			return nil
		}
		if notRun.Reason == outcome.NotOwner {
			return refusal
		}
		if limit == nil {
			limit = time.After(min(grantWait, head.Deadline.Sub(now)/3))
		}
		select {
		case <-changed:
		case <-limit:
			return refusal
		case <-ctx.Done():
			return outcome.NotRun{Reason: outcome.Cancelled}
		}
	}
}

// admitted hands a request that holds a slot to the target, if the target holds
// its key at this moment.
func (m *Mesh) admitted(ctx context.Context, head *request.Head, ex forward.Exchange, key uint16, divided bool) (outcome.Result, scheduling.Use) {
	now := boottime.Now()
	m.mu.Lock()
	refusal := m.leavingRefuses(now, divided)
	if divided && refusal == nil {
		refusal = m.holds(now, key)
	}
	instance := m.target.Instance
	m.mu.Unlock()
	switch {
	case refusal != nil:
		return refusal, scheduling.Unused
	case !now.Before(head.Deadline):
		return outcome.NotRun{Reason: outcome.DeadlinePast}, scheduling.Unused
	}
	body, err := ex.Body()
	if err != nil {
		return outcome.NotRun{Reason: outcome.Cancelled}, scheduling.Unused
	}
	resp, res := m.out.Send(ctx, head, body, instance)
	if res != nil {
		return m.failed(res, key, divided)
	}
	return m.deliver(resp, ex), scheduling.Served
}

// failed follows a request without an answer.
func (m *Mesh) failed(res outcome.Result, key uint16, divided bool) (outcome.Result, scheduling.Use) {
	notRun, ok := res.(outcome.NotRun)
	if !ok {
		return res, scheduling.Served
	}
	switch notRun.Reason {
	case outcome.Shed:
		return res, scheduling.Shed
	case outcome.Fenced:
		// The target does not hold the key: its grant is made anew.
		m.mu.Lock()
		if h := m.holdingOf(key); divided && h != nil {
			h.granted = false
		}
		m.notify()
		m.mu.Unlock()
	case outcome.Unreachable:
		m.targetDown()
	default:
	}
	return res, scheduling.Unused
}

// deliver passes an answer on.
func (m *Mesh) deliver(resp *targetconn.Response, ex forward.Exchange) outcome.Result {
	defer func() { _ = resp.Body.Close() }()
	whole, err := readWhole(resp)
	if err != nil {
		return outcome.Unknown{Reason: outcome.ConnectionCut}
	}
	length := resp.ContentLength
	if len(whole) <= wholeAnswer {
		length = int64(len(whole))
	}
	if ex.Head(resp.Status, resp.Header, length) != nil || ex.Write(whole) != nil {
		return outcome.Unknown{Reason: outcome.Cancelled}
	}
	if len(whole) <= wholeAnswer {
		return outcome.Answered{Status: resp.Status}
	}
	buf := make([]byte, 16<<10)
	for {
		n, err := resp.Body.Read(buf)
		if n > 0 && ex.Write(buf[:n]) != nil {
			return outcome.Unknown{Reason: outcome.Cancelled}
		}
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return outcome.Unknown{Reason: outcome.ConnectionCut}
		}
	}
	return outcome.Answered{Status: resp.Status}
}

// readWhole reads the body of an answer, or a little more than wholeAnswer of it.
func readWhole(resp *targetconn.Response) ([]byte, error) {
	size := min(max(resp.ContentLength, 0), wholeAnswer) + bytes.MinRead
	body := bytes.NewBuffer(make([]byte, 0, size))
	_, err := body.ReadFrom(io.LimitReader(resp.Body, wholeAnswer+1))
	return body.Bytes(), err
}
