package mesh

import (
	"net/http"
	"slices"
	"sync"
	"time"

	"siskinknot/core/callpath"
	"siskinknot/core/outcome"
	"siskinknot/core/request"
	"siskinknot/io/boottime"
)

// maxCallTargets is the maximum number of targets of a shared service that a call is sent to in
// turn at once after rejections by their daemons. A rejection takes about a round trip.
const maxCallTargets = 3

// callPaths knows the requests that the local target is running by their IDs, in order to
// recognize the calls that the target makes for them, and decides which share of the requests
// may start whose calls fail. Its zero value is ready to use. It is safe for concurrent use.
type callPaths struct {
	admission callpath.Admission
	mu        sync.Mutex
	// running holds the requests that the target is running, by the ID that the target has got.
	// Callers do not coordinate their IDs, so that several may have the same one.
	running map[string][]*run
	// limited holds the routes that the log states to be limited.
	limited map[string]bool
}

// started records that r is sent to the target.
func (p *callPaths) started(r *run) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.running == nil {
		p.running = map[string][]*run{}
	}
	p.running[r.head.ID] = append(p.running[r.head.ID], r)
}

// ended records that the target no longer runs r. It does nothing if that is known.
func (p *callPaths) ended(now time.Time, r *run) {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.running[r.head.ID]
	i := slices.Index(list, r)
	if i < 0 {
		return
	}
	if list = slices.Delete(list, i, i+1); len(list) > 0 {
		p.running[r.head.ID] = list
	} else {
		delete(p.running, r.head.ID)
	}
	if !r.callFailed {
		p.admission.RunEnded(now, r.head.Route, r.calls)
	}
}

// beginCall counts a call for the request with the given ID and returns that request, or
// nil if the target is not running it. Of several, it is the one that was sent last.
func (p *callPaths) beginCall(parentID string) *run {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.running[parentID]
	if parentID == "" || len(list) == 0 {
		return nil
	}
	parent := list[len(list)-1]
	parent.calls++
	return parent
}

// endCall records that a call for parent has ended with result.
func (p *callPaths) endCall(now time.Time, parent *run, result callpath.Result) {
	p.mu.Lock()
	defer p.mu.Unlock()
	parent.callFailed = parent.callFailed || result != callpath.Succeeded
	p.admission.CallEnded(now, parent.head.Route, parent.sentAt, result)
}

// recognizeCall completes the head of c if c is a call that the local target makes for a request
// that it is running. A call has the priority of that request, so that it is not served worse
// than the request itself, and no objective before its deadline, which is not after that of the
// request.
func (m *Mesh) recognizeCall(c *call) {
	parent := m.callPaths.beginCall(c.req.ParentID)
	if parent == nil {
		return
	}
	head := c.head
	head.Call, head.ParentRoute, head.Priority = true, parent.head.Route, parent.head.Priority
	if parent.head.Deadline.Before(head.Deadline) {
		head.Deadline = parent.head.Deadline
	}
	head.Objective = head.Deadline
	c.parent, c.answer = parent, &statusSink{Sink: c.sink}
	c.sink = c.answer
}

// statusSink is a Sink that records the status of the answer.
type statusSink struct {
	Sink
	// status is 0 until the answer begins.
	status int
}

// Head implements forward.Sink.
func (s *statusSink) Head(status int, header http.Header, contentLength int64) error {
	s.status = status
	return s.Sink.Head(status, header, contentLength)
}

// mayTryElsewhere reports whether c, which ended with res, is a call that is sent to another target
// at once: the daemon of the first target has rejected it, and others are left.
func (m *Mesh) mayTryElsewhere(c *call, res outcome.Result) bool {
	notRun, ok := res.(outcome.NotRun)
	if c.parent == nil || c.divided || !ok || notRun.Reason != outcome.Overloaded ||
		len(c.triedTargets) >= maxCallTargets || !boottime.Now().Before(c.head.Deadline) {
		return false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, member := range m.dir.MembersOf(c.head.Service) {
		if r, known := m.reports[member.Address]; known && r.Accepting && !slices.Contains(c.triedTargets, member.Address) {
			return true
		}
	}
	return false
}

// recordCall records that c has ended with res at now, if it is a call.
func (m *Mesh) recordCall(now time.Time, c *call, res outcome.Result) {
	if c.parent == nil {
		return
	}
	m.metrics.scope.Tagged(map[string]string{"outcome": res.String(), "reason": string(reasonOf(res))}).Counter("calls").Inc(1)
	if result, counts := callResult(res, c.answer.status); counts {
		m.callPaths.endCall(now, c.parent, result)
	}
}

// callResult returns the result of a call that ended with res, and whose answer has the given status
// or 0 if there is none. counts is false if the call says nothing about whether later calls would fail:
// the target that made it has cancelled it, or it can never be served.
func callResult(res outcome.Result, status int) (result callpath.Result, counts bool) {
	if _, answered := res.(outcome.Answered); answered {
		if status >= http.StatusInternalServerError {
			return callpath.Erred, true
		}
		return callpath.Succeeded, true
	}
	switch reasonOf(res) {
	case outcome.Cancelled, outcome.NoService, outcome.Malformed, outcome.TooLarge, outcome.Duplicate:
		return 0, false
	case outcome.Overloaded, outcome.QueueFull, outcome.DeadlinePast, outcome.CallsFailing:
		return callpath.Rejected, true
	default:
		return callpath.Erred, true // does not depend on the load
	}
}

// callPathRefusal returns why a request may not run at the target at now because the calls
// of its route fail, or nil. Calls are never rejected for that, since it would
// lose the work of their parents.
func (m *Mesh) callPathRefusal(now time.Time, head *request.Head) outcome.Result {
	if head.Call {
		return nil
	}
	retryAfter, admitted := m.callPaths.admission.Admit(now, head.Route)
	if admitted {
		return nil
	}
	m.metrics.rejectedForCalls.Inc(1)
	return outcome.NotRun{Reason: outcome.CallsFailing, RetryAfter: retryAfter}
}

// reportCallPaths updates the metrics of the routes whose runs make calls, and logs which of them
// are limited. It is called at the interval of the usage log lines, which also bounds its own.
func (m *Mesh) reportCallPaths(now time.Time) {
	p := &m.callPaths
	for _, r := range p.admission.Report(now) {
		m.metrics.scope.Tagged(map[string]string{"route": r.Route}).Gauge("callpath_admitted_share").Update(r.Share)
		limited := r.Lowest < 1
		if !p.markLimited(r.Route, limited) {
			continue
		}
		message := "requests of route are no longer limited"
		if limited {
			message = "requests of route are limited because their calls fail"
		}
		m.log.Info(message, "route", r.Route, "share", r.Share, "lowest", r.Lowest, "rejected", r.Rejected,
			"calls_per_run", r.CallsPerRun, "failed_share", r.FailedShare)
	}
}

// markLimited records whether a route is limited, and reports whether that has changed.
func (p *callPaths) markLimited(route string, limited bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.limited[route] == limited {
		return false
	}
	if p.limited == nil {
		p.limited = map[string]bool{}
	}
	if limited {
		p.limited[route] = true
	} else {
		delete(p.limited, route)
	}
	return true
}
