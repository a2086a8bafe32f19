package mesh

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"siskinknot/core/outcome"
	"siskinknot/core/request"
	"siskinknot/core/retry"
	"siskinknot/io/boottime"
)

const (
	// maxRedirects is how often a request is sent to another target after a daemon has
	// rejected it.
	maxRedirects = 2
	// failedRedirectPercent and failedRedirectBurst limit the redirects that are rejected
	// again: in an overload of all targets the reports are as old as a heartbeat, and
	// each redirect costs two daemons a message. Redirects that reach a target do not
	// count, so that the limit does not apply while one target is overloaded and the
	// others have room.
	failedRedirectPercent = 10
	failedRedirectBurst   = 20
	// redirectObjectiveShare is the share of a route's objective that has to be left for
	// a redirect, and redirectServiceTimes the number of mean service times of the
	// target: an answer after the objective is worth little, and the target's slot is
	// better used for another request. redirectWaitMargin is the factor by which the wait
	// at the target may exceed the one by its report, which is as old as a heartbeat.
	redirectObjectiveShare = 0.25
	redirectServiceTimes   = 1.5
	redirectWaitMargin     = 2
	// returnTolerance is how much less than its route's objective a request that is sent
	// for the first time may have left when it arrives at its target's daemon. Callers
	// that are told when to return wait longer than that.
	returnTolerance = 40 * time.Millisecond
)

// redirects limits the redirects of an ingress daemon. It is safe for concurrent use.
type redirects struct {
	budget *retry.Budget
	mu     sync.Mutex
	// rejectedAt is when a target's daemon last rejected a request as overloaded.
	rejectedAt map[netip.AddrPort]time.Time
}

func newRedirects() *redirects {
	return &redirects{budget: retry.NewBudget(failedRedirectBurst), rejectedAt: map[netip.AddrPort]time.Time{}}
}

// addRequest adds the share of a request to the limit of failed redirects.
func (r *redirects) addRequest() { r.budget.Deposit(failedRedirectPercent) }

// begin reports whether a request may be redirected, and counts it as a failed redirect
// until recordTaken is called.
func (r *redirects) begin() bool { return r.budget.Withdraw() }

// recordTaken records that a redirected request has reached a target.
func (r *redirects) recordTaken() { r.budget.Deposit(100) }

// recordRejection records that the daemon at addr has rejected a request at now.
func (r *redirects) recordRejection(now time.Time, addr netip.AddrPort) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rejectedAt[addr] = now
}

// rejectedSince reports whether the daemon at addr has rejected a request since reportAt.
func (r *redirects) rejectedSince(addr netip.AddrPort, reportAt time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	at, ok := r.rejectedAt[addr]
	if ok && !at.After(reportAt) {
		delete(r.rejectedAt, addr)
		return false
	}
	return ok
}

// redirect sends a request that a target's daemon has rejected with res, because that
// target is overloaded, to other targets that have room, and returns the result. If none
// accepts it, the result is the rejection with the earliest return. Other requests are not
// sent again.
func (m *Mesh) redirect(ctx context.Context, c *call, res outcome.Result) outcome.Result {
	rejection, ok := res.(outcome.NotRun)
	if c.divided || !ok || rejection.Reason != outcome.Overloaded {
		return res
	}
	for {
		now := boottime.Now()
		m.redirects.recordRejection(now, c.triedTargets[len(c.triedTargets)-1])
		if c.redirected >= maxRedirects || ctx.Err() != nil || c.sink.Started() || c.bodyConsumed || c.onTrial {
			return rejection
		}
		targets := m.targetsWithRoom(now, c)
		if len(targets) == 0 || !m.redirects.begin() {
			return rejection
		}
		c.unreached++
		c.redirected++
		c.attempts++
		m.metrics.redirects.Inc(1)
		res = m.sendToOneOf(ctx, c, now, targets)
		notRun, ok := res.(outcome.NotRun)
		switch {
		case reachedTarget(res):
			m.redirects.recordTaken()
			m.metrics.redirectsTaken.Inc(1)
			return res
		case !ok || !outcome.MayRetry(res, false):
			return res // the caller has left, or its time is over
		case notRun.Reason == outcome.Overloaded && (rejection.RetryAfter == 0 || 0 < notRun.RetryAfter && notRun.RetryAfter < rejection.RetryAfter):
			rejection = notRun
		}
	}
}

// targetsWithRoom returns the targets that c may be redirected to: they were not tried, are
// expected to answer it within its objective according to their reports, and have not
// rejected a request since. Those with free slots are preferred to others, and all of this
// zone to those of other zones.
func (m *Mesh) targetsWithRoom(now time.Time, c *call) []netip.AddrPort {
	left := c.head.Objective.Sub(now)
	if left < time.Duration(float64(c.route.LatencyObjective)*redirectObjectiveShare) {
		return nil
	}
	list := m.candidates(now, c)
	defer list.release()
	m.mu.Lock()
	defer m.mu.Unlock()
	var ranked [4][]netip.AddrPort
	for i := range list.count() {
		addr := list.at(i)
		r, known := m.reports[addr]
		if !known || slices.Contains(c.triedTargets, addr) || !r.hasRoom(left) || m.redirects.rejectedSince(addr, r.receivedAt) {
			continue
		}
		rank := 0
		if member := m.dir.Member(addr); member == nil || member.Zone != m.cfg.Zone {
			rank += 2
		}
		if r.queued > 0 || r.inFlight >= r.Slots {
			rank++
		}
		ranked[rank] = append(ranked[rank], addr)
	}
	for _, list := range ranked {
		if len(list) > 0 {
			return list
		}
	}
	return nil
}

// hasRoom reports whether the target is expected to answer another request within left: the
// requests that waited when it was reported are expected to run before, and the load is
// below the limit that the target names, if it names one.
func (r *loadReport) hasRoom(left time.Duration) bool {
	wait := float64(r.queued) / float64(max(r.Slots, 1)) * redirectWaitMargin
	inTime := float64(r.ServiceTime)*(wait+redirectServiceTimes) <= float64(left)
	return inTime && !r.Cold && (r.MaxRate == 0 || r.Demand < busyFraction*r.Capacity())
}

// reachedTarget reports whether a request with the result res was sent to a target or may
// have been.
func reachedTarget(res outcome.Result) bool {
	switch res := res.(type) {
	case outcome.Answered, outcome.Unknown:
		return true
	case outcome.NotRun:
		return res.Reason == outcome.Shed || res.Reason == outcome.Fenced
	default:
		return false
	}
}

// hasReturned reports whether a request that arrived at arrivedAt was rejected before: its
// objective counts from its caller's first attempt. The caller holds the mutex.
func (m *Mesh) hasReturned(arrivedAt time.Time, head *request.Head) bool {
	if m.table == nil {
		return false
	}
	route, ok := m.table.Route(head.Route)
	return ok && head.Objective.Sub(arrivedAt) < route.LatencyObjective-returnTolerance
}
