package mesh

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"siskinknot/core/outcome"
	"siskinknot/core/request"
	"siskinknot/core/scheduling"
	"siskinknot/io/boottime"
	"siskinknot/io/forward"
)

const (
	// grantWait is the longest time that a request waits at its owner for a
	// grant of its key: about the duration of a transfer.
	grantWait = 300 * time.Millisecond
	// drainMargin is how long before the end of DrainTime a leaving target
	// receives its last request.
	drainMargin = 300 * time.Millisecond
)

// runRequest runs a request on the target beside this daemon, writes the answer
// to ex, and logs requests that are not answered in time.
func (m *Mesh) runRequest(ctx context.Context, head *request.Head, ex forward.Exchange) outcome.Result {
	m.unfinished.Add(1)
	defer m.unfinished.Add(-1)
	times := requestTimes{arrivedAt: boottime.Now()}
	res := m.runOnTarget(ctx, head, ex, &times)
	times.finishedAt = boottime.Now()
	if _, answered := res.(outcome.Answered); !answered || times.finishedAt.After(head.Objective) {
		m.logTargetOutcome(&times, head, res)
	}
	return res
}

// Load returns the load of the target beside this daemon, and the number of its requests that are not
// finished: those that run or wait, and those whose answers are being forwarded.
func (m *Mesh) Load() (load scheduling.Load, unfinished int) {
	return m.scheduler.Load(), int(m.unfinished.Load())
}

// requestTimes records when a request passed the stages at the owning daemon.
type requestTimes struct {
	arrivedAt time.Time
	// admittedAt is when the request got a slot; zero if it did not.
	admittedAt, finishedAt time.Time
	// grantedUntil is when the grant that was in force when the request was sent
	// ends, and targetWarm whether the target was no longer slow after its start.
	grantedUntil time.Time
	targetWarm   bool
}

// cutOff reports whether the target ended the request, answered with the given
// result at ended, because it outlasted its grant.
func (t *requestTimes) cutOff(ended time.Time, res outcome.Result) bool {
	const tolerance = 30 * time.Millisecond
	answered, ok := res.(outcome.Answered)
	return ok && answered.Status == http.StatusInternalServerError && ended.After(t.grantedUntil.Add(-tolerance))
}

// logTargetOutcome logs a request that was not answered here or was answered
// late, with the state that determined the outcome.
func (m *Mesh) logTargetOutcome(times *requestTimes, head *request.Head, res outcome.Result) {
	message, queued, ran := "request not answered by target", times.finishedAt.Sub(times.arrivedAt), time.Duration(0)
	if _, answered := res.(outcome.Answered); answered {
		message = "request answered late by target"
	}
	if !times.admittedAt.IsZero() {
		queued, ran = times.admittedAt.Sub(times.arrivedAt), times.finishedAt.Sub(times.admittedAt)
	}
	now := times.finishedAt
	if !m.requestLines.allow(now, requestLine{message, reasonOf(res)}) {
		return
	}
	load := m.scheduler.Load()
	m.mu.Lock()
	lease := m.leases.HeldUntil(m.dir)
	t, version := m.target, m.dir.Version()
	m.mu.Unlock()
	left := time.Duration(0)
	if lease.After(now) {
		left = lease.Sub(now)
	}
	m.requestLog.Info(message, "request", head.ID, "route", head.Route, "key", head.Key,
		"outcome", res.String(), "reason", reasonOf(res), "queued_ms", queued.Milliseconds(), "ran_ms", ran.Milliseconds(),
		"objective_left_ms", head.Objective.Sub(times.arrivedAt).Milliseconds(), "running", load.Running, "queued", load.Queued,
		"limit", load.Limit, "lease_left_ms", left.Milliseconds(), "directory", version, "instance", t.Instance,
		"target_down", t.down, "target_leaving", !t.leavingSince.IsZero(), "target_heard_ms", now.Sub(t.heardAt).Milliseconds(),
		"parent_route", head.ParentRoute)
}

// runOnTarget runs a request as runRequest does, without logging, and records
// when it got a slot.
func (m *Mesh) runOnTarget(ctx context.Context, head *request.Head, ex forward.Exchange, times *requestTimes) outcome.Result {
	now := boottime.Now()
	m.adoptNotice(now, head.Target)
	key, divided, refusal := m.checkRequest(now, head)
	if refusal != nil {
		return refusal
	}
	if divided {
		if refusal := m.awaitGrant(ctx, head, key); refusal != nil {
			return refusal
		}
	}
	m.mu.Lock()
	m.rate.recordArrival(now)
	returned := m.hasReturned(times.arrivedAt, head)
	targetTime := m.demand.RecordArrival(now, head.Class)
	if divided {
		m.keyLoad.Add(now, key, targetTime)
	}
	m.mu.Unlock()
	if refusal := m.callPathRefusal(boottime.Now(), head); refusal != nil {
		return refusal
	}
	permit, refusal := m.scheduler.Acquire(ctx, boottime.Now(), scheduling.Request{
		Route:     head.Route,
		Priority:  head.Priority,
		Objective: head.Objective,
		Deadline:  head.Deadline,
		Call:      head.Call,
		Returned:  returned,
	})
	if refusal != nil {
		m.rate.recordRefusal(boottime.Now(), refusal)
		return refusal
	}
	started := boottime.Now()
	times.admittedAt = started
	permit.MarkSent(started)
	slot := &usedSlot{mesh: m, permit: permit, head: head, divided: divided, startedAt: started, times: times}
	slot.pace, _ = m.meter.Pace(started)
	res, use := m.sendToTarget(ctx, head, ex, key, divided, slot)
	slot.release(boottime.Now(), res, use)
	return res
}

// checkRequest returns why requests of head's service cannot run here, or nil,
// and the key of the request if the service is divided.
func (m *Mesh) checkRequest(now time.Time, head *request.Head) (key uint16, divided bool, refusal outcome.Result) {
	m.mu.Lock()
	defer m.mu.Unlock()
	t := &m.target
	switch {
	case m.table == nil || !m.loaded:
		return 0, false, outcome.NotRun{Reason: outcome.Starting}
	case head.Service != m.cfg.Service:
		return 0, false, outcome.NotRun{Reason: outcome.NotOwner}
	case t.Instance == "" || t.down || !t.refusingSince.IsZero():
		return 0, false, outcome.NotRun{Reason: outcome.Unreachable}
	case m.draining:
		return 0, false, outcome.NotRun{Reason: outcome.Draining}
	}
	if refusal := m.zoneRefusal(now); refusal != nil {
		return 0, false, refusal
	}
	divided = m.divided()
	if refusal := m.leavingRefusal(now, divided); refusal != nil {
		return 0, divided, refusal
	}
	if !divided {
		return 0, false, m.stopRefusal(now, head, 0, false)
	}
	n, err := strconv.ParseUint(head.Key, 10, 16)
	if err != nil {
		return 0, true, outcome.NotRun{Reason: outcome.Malformed}
	}
	return uint16(n), true, m.stopRefusal(now, head, uint16(n), true)
}

// leavingRefusal returns why a leaving target accepts no request, or nil. An
// owner keeps serving its keys until they are transferred, within DrainTime.
// The caller holds the mutex.
func (m *Mesh) leavingRefusal(now time.Time, divided bool) outcome.Result {
	t := &m.target
	if t.leavingSince.IsZero() {
		return nil
	}
	if !divided || now.Sub(t.leavingSince) > m.cfg.DrainTime-drainMargin {
		return outcome.NotRun{Reason: outcome.Draining}
	}
	return nil
}

// ownershipRefusal returns why the target may not be sent a request for key at
// now, or nil. The caller holds the mutex.
func (m *Mesh) ownershipRefusal(now time.Time, key uint16) outcome.Result {
	h := m.holdingOf(key)
	switch {
	case h == nil || h.closing:
		return outcome.NotRun{Reason: outcome.NotOwner, MinOffset: m.dir.Version()}
	case !m.leases.Holds(now, m.dir):
		return outcome.NotRun{Reason: outcome.NoLease}
	case !h.granted || !now.Before(h.grantedUntil):
		return outcome.NotRun{Reason: outcome.NoOwner}
	default:
		return nil
	}
}

// awaitGrant waits until the target holds a grant of key, and returns nil then.
// It returns why the request is refused if this member does not own the key, or
// if the grant does not arrive in time. If it is known that it will not, the request is
// refused at once.
func (m *Mesh) awaitGrant(ctx context.Context, head *request.Head, key uint16) outcome.Result {
	var timeout <-chan time.Time
	for {
		now := boottime.Now()
		m.mu.Lock()
		refusal := m.ownershipRefusal(now, key)
		grantIn := m.nextGrantIn(now)
		changed := m.changed
		m.mu.Unlock()
		notRun, refused := refusal.(outcome.NotRun)
		if !refused {
			return nil
		}
		if notRun.Reason == outcome.NotOwner {
			return refusal
		}
		wait := min(max(grantWait, m.cfg.HeartbeatInterval/2), head.Deadline.Sub(now)/3)
		if grantIn > wait {
			notRun.RetryAfter = grantIn
			return notRun
		}
		if timeout == nil {
			timeout = time.After(wait)
		}
		select {
		case <-changed:
		case <-timeout:
			return refusal
		case <-ctx.Done():
			return outcome.NotRun{Reason: outcome.Cancelled}
		}
	}
}

// sendToTarget sends a request that holds a slot to the target, if the target
// still holds the request's key.
func (m *Mesh) sendToTarget(
	ctx context.Context, head *request.Head, ex forward.Exchange, key uint16, divided bool, slot *usedSlot,
) (outcome.Result, scheduling.SlotUse) {
	if refusal := m.sendRefusal(boottime.Now(), head, key, divided); refusal != nil {
		return refusal, scheduling.Unused
	}
	body, err := ex.Body()
	if err != nil {
		return outcome.NotRun{Reason: outcome.Cancelled}, scheduling.Unused
	}
	content, body, err := fingerprint(ctx, head, body)
	switch {
	case errors.Is(err, context.DeadlineExceeded):
		return outcome.NotRun{Reason: outcome.DeadlinePast}, scheduling.Unused
	case err != nil:
		return outcome.NotRun{Reason: outcome.Cancelled}, scheduling.Unused
	}
	r := &run{head: head, fingerprint: content}
	if refusal, use := m.startRunWhenAllowed(ctx, r, key, divided, slot.times); refusal != nil {
		return refusal, use
	}
	resp, notice, res := m.targetClient.Send(ctx, head, body, r.process.instance)
	if notice != nil {
		m.recordNotice(boottime.Now(), notice)
		m.recordServerLoad(boottime.Now(), notice.Load)
	}
	if res != nil {
		m.rate.forget(r.sentAt, res)
		return m.handleFailure(m.endRun(ctx, r, res), r.process, key, divided)
	}
	if noticeSink, ok := ex.(forward.NoticeSink); ok && notice != nil && (notice.Limited || notice.Leaving) {
		noticeSink.Notice(notice)
	}
	received := false
	res = m.deliverAnswer(resp, ex, func(answered outcome.Result) {
		received = true
		m.endRun(ctx, r, answered)
		slot.release(boottime.Now(), answered, scheduling.Served)
	})
	if !received {
		res = m.endRun(ctx, r, res)
	}
	return res, scheduling.Served
}

// sendRefusal returns why a request that holds a slot may not be sent to the target at
// now, or nil.
func (m *Mesh) sendRefusal(now time.Time, head *request.Head, key uint16, divided bool) outcome.Result {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.sendRefusalLocked(now, head, key, divided)
}

// sendRefusalLocked is sendRefusal for callers that hold the mutex.
func (m *Mesh) sendRefusalLocked(now time.Time, head *request.Head, key uint16, divided bool) outcome.Result {
	if refusal := m.zoneRefusal(now); refusal != nil {
		return refusal
	}
	if refusal := m.stopRefusal(now, head, key, divided); refusal != nil {
		return refusal
	}
	refusal := m.leavingRefusal(now, divided)
	if divided && refusal == nil {
		refusal = m.ownershipRefusal(now, key)
	}
	if refusal == nil && !now.Before(head.Deadline) {
		return outcome.NotRun{Reason: outcome.DeadlinePast}
	}
	return refusal
}

// startRun records that r is sent to the target's current process, unless it may not be
// sent; the result says why. Time may have passed since sendRefusal while the start of the
// body arrived.
func (m *Mesh) startRun(r *run, key uint16, divided bool, times *requestTimes) outcome.Result {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := boottime.Now() // the limit of a cold target counts sends in the order of their times
	if refusal := m.sendRefusalLocked(now, r.head, key, divided); refusal != nil {
		return refusal
	}
	if refusal := m.rate.send(now); refusal != nil {
		return refusal
	}
	if refusal := m.admitSuspect(now, r); refusal != nil {
		m.rate.forget(now, refusal)
		return refusal
	}
	if divided {
		times.grantedUntil, times.targetWarm = m.holdingOf(key).grantedUntil, !now.Before(m.target.coldUntil)
	}
	r.process, r.sentAt = m.target.process(), now
	m.running[r] = struct{}{}
	m.callPaths.started(r)
	m.recordSent(now)
	return nil
}

// handleFailure updates the state of the target and its grants after a request that its
// process p did not answer.
func (m *Mesh) handleFailure(res outcome.Result, p process, key uint16, divided bool) (outcome.Result, scheduling.SlotUse) {
	notRun, ok := res.(outcome.NotRun)
	if !ok {
		return res, scheduling.Served
	}
	switch notRun.Reason {
	case outcome.Shed:
		return res, scheduling.Shed
	case outcome.Fenced:
		// The target does not hold the key, so the key is granted again.
		m.mu.Lock()
		if h := m.holdingOf(key); divided && h != nil {
			h.granted = false
		}
		m.notify()
		m.mu.Unlock()
		return res, scheduling.Declined
	case outcome.Malformed:
		return res, scheduling.Declined
	case outcome.Unreachable:
		m.recordRefusedConnection(p)
	default:
	}
	return res, scheduling.Unused
}
