// Package callpath limits the requests of routes whose runs make calls that fail.
//
// A target that runs a request may make calls to other services for it. If one of
// them is rejected or fails, the target answers the request with an error, and the
// work done for it is lost. It is cheaper to reject a part of such requests before
// they run. An Admission runs at the daemon beside the target. It sees the results
// of the calls and decides which share of the new requests of each route may start.
//
//   - Loss. From the mean number of calls of a run and the recent share of calls that
//     were rejected because of load, the expected share of the runs that lose their work is
//     computed. Only rejected calls count. Calls that end with an error fail for a reason that
//     fewer requests do not change, such as a defect of the called service.
//   - Decrease. While the loss is above maxLoss, the admitted share is multiplied by
//     the share of the runs that succeed, between minFactor and maxFactor. Only calls
//     of runs that started after a decrease count for the next one, since
//     earlier runs are not affected by it. A smaller loss is accepted: a rejected request
//     is lost to its caller as well, so that little is gained.
//   - One call. If a run makes one call in the mean or fewer, each call that is served
//     completes a run, however many are rejected, and some runs need none. Fewer runs
//     would then never mean more that succeed, so that such a route is not limited.
//   - Recovery. The share grows in steps while calls succeed, or while none is made.
//     At least probingShare of the requests is always admitted.
//
// Routes without observed calls are never limited. Requests that are calls themselves
// are not passed to an Admission: rejecting one loses the work of its parent.
//
// The requests to admit are chosen by accumulating the share, not at random, so that
// also few requests are admitted at the right share. A limit on the rate of requests
// was rejected: it would have to follow changes in the number of calls and in the
// capacity that other callers leave.
//
// # Usage
//
//	var a callpath.Admission
//	if retryAfter, admitted := a.Admit(now, route); !admitted {
//		return reject(retryAfter)
//	}
//	a.CallEnded(now, route, runStartedAt, callpath.Rejected)
//	a.RunEnded(now, route, calls)
package callpath

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"siskinknot/core/decay"
)

const (
	// maxLoss is the share of runs that may lose their work because of failed calls
	// without a decrease of the admitted share.
	maxLoss = 0.1
	// minFactor and maxFactor bound the factor of a decrease.
	minFactor, maxFactor = 0.5, 0.9
	// recoveryStep is the increase of the admitted share in a step of the recovery. In
	// TestWorkIsNotLostWhileCallsHaveNoCapacity a step of 0.05 lost 14% of the runs, and 0.03 10%.
	recoveryStep = 0.03
	// stepInterval is the minimum time between two changes of the admitted share. It
	// is about the time from the start of a run to the results of its calls.
	stepInterval = 400 * time.Millisecond
	// probingShare is the minimum share of requests that is admitted.
	probingShare = 0.05
	// idleTime is the time without any call after which the share recovers.
	idleTime = time.Second
	// callHalfLife is the age at which the result of a call counts half. The number
	// of calls of a run changes less often.
	callHalfLife, runHalfLife = 2 * time.Second, 10 * time.Second
	// unknownCalls is the number of calls of a run while none has succeeded.
	unknownCalls = 2.0
	// minFailures is the decayed number of failed calls below which no loss is
	// assumed, and assumedSuccesses is added to the number of calls. Both keep one or two
	// failures on a route with few requests from limiting it.
	minFailures, assumedSuccesses = 1.5, 4.0
	// minRetryAfter and maxRetryAfter bound the delay before the retry of a rejected
	// request, without jitter.
	minRetryAfter, maxRetryAfter = 100 * time.Millisecond, time.Second
	// forgetTime is how long a route without calls is remembered.
	forgetTime = 10 * time.Minute
)

// Result is the result of a call.
type Result int

// Results of calls.
const (
	Succeeded Result = iota // the call was answered without a server error
	Rejected                // the call was rejected because of load
	Erred                   // the call ended with an error
)

// route is what is known of a route whose runs make calls.
type route struct {
	// share is the share of new requests that are admitted. credit accumulates it
	// for each request; one is admitted for each whole unit.
	share, credit float64
	// steppedAt is when share last changed, and decreasedAt when it last decreased.
	steppedAt, decreasedAt time.Time
	// calls, rejected and erred are the rates of all calls, and of those that were rejected and
	// that were answered with an error, by runs that started after decreasedAt.
	// succeeded is set if one of them succeeded after steppedAt.
	calls, rejected, erred decay.Rate
	succeeded              bool
	// callAt is when the last call ended.
	callAt time.Time
	// runs and callsOfRuns are the rates of the runs without a failed call and of their calls.
	runs, callsOfRuns decay.Rate
	// notAdmitted is the number of rejected requests, and lowest the lowest share, since
	// the last report.
	notAdmitted int
	lowest      float64
}

// newRoute returns a route that is not limited.
func newRoute() *route {
	r := &route{share: 1, lowest: 1, runs: decay.Rate{HalfLife: runHalfLife}, callsOfRuns: decay.Rate{HalfLife: runHalfLife}}
	r.forgetCalls()
	return r
}

// forgetCalls forgets the results of calls.
func (r *route) forgetCalls() {
	r.calls, r.rejected, r.erred = decay.Rate{HalfLife: callHalfLife}, decay.Rate{HalfLife: callHalfLife}, decay.Rate{HalfLife: callHalfLife}
	r.succeeded = false
}

// callsPerRun returns the mean number of calls of a run, or unknownCalls if no run has ended.
func (r *route) callsPerRun(now time.Time) float64 {
	runs := r.runs.PerSecond(now)
	if runs <= 0 {
		return unknownCalls
	}
	return r.callsOfRuns.PerSecond(now) / runs
}

// failedShares returns the recent shares of the calls that were rejected, and that were
// rejected or answered with an error.
func (r *route) failedShares(now time.Time) (rejected, failed float64) {
	window := callHalfLife.Seconds() / math.Ln2
	rejectedCalls := r.rejected.PerSecond(now) * window
	failedCalls := rejectedCalls + r.erred.PerSecond(now)*window
	if failedCalls < minFailures {
		return 0, 0
	}
	calls := r.calls.PerSecond(now)*window + assumedSuccesses
	return rejectedCalls / calls, failedCalls / calls
}

// loss returns the expected share of the runs that lose their work if the given share of
// calls is rejected. It is 0 if runs make one call at most in the mean.
func (r *route) loss(now time.Time, rejected float64) float64 {
	calls := r.callsPerRun(now)
	if calls <= 1 {
		return 0
	}
	return 1 - math.Pow(1-rejected, calls)
}

// step changes the admitted share if that is due at now.
func (r *route) step(now time.Time) {
	elapsed := now.Sub(r.steppedAt)
	if elapsed < stepInterval {
		return
	}
	rejected, _ := r.failedShares(now)
	loss := r.loss(now, rejected)
	switch idle := now.Sub(r.callAt) >= idleTime; {
	case loss > maxLoss && !idle:
		r.decrease(now, loss)
	case r.share >= 1:
	case idle:
		r.increase(now, int(elapsed/stepInterval))
	case r.succeeded && loss <= maxLoss/2:
		r.increase(now, 1)
	}
}

// decrease decreases the admitted share because of the given loss.
func (r *route) decrease(now time.Time, loss float64) {
	share := max(r.share*min(max(1-loss, minFactor), maxFactor), probingShare)
	if share >= r.share {
		return
	}
	r.share, r.lowest = share, min(r.lowest, share)
	r.steppedAt, r.decreasedAt = now, now
	r.forgetCalls()
}

// increase increases the admitted share by the given number of steps.
func (r *route) increase(now time.Time, steps int) {
	r.share = min(1, r.share+float64(steps)*recoveryStep)
	r.steppedAt, r.succeeded = now, false
	if r.share >= 1 {
		r.credit = 0
	}
}

// retryAfter returns the delay before the retry of a rejected request, which is longer the
// less is admitted, with jitter that keeps callers from retrying all at once.
func (r *route) retryAfter() time.Duration {
	delay := minRetryAfter + time.Duration((1-r.share)*float64(maxRetryAfter-minRetryAfter))
	return delay + rand.N(delay/2)
}

// Admission decides which requests of routes that make calls may start at a target. Its
// zero value is ready to use, and limits no route. It is safe for concurrent use.
type Admission struct {
	mu     sync.Mutex
	routes map[string]*route
}

// Admit decides whether a new request of the route may start at now. If not,
// retryAfter is the delay before its retry.
func (a *Admission) Admit(now time.Time, name string) (retryAfter time.Duration, admitted bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	r := a.routes[name]
	if r == nil {
		return 0, true
	}
	r.step(now)
	if r.share >= 1 {
		return 0, true
	}
	r.credit += r.share
	if r.credit >= 1 {
		r.credit--
		return 0, true
	}
	r.notAdmitted++
	return r.retryAfter(), false
}

// CallEnded records the result of a call that a run of the route has made. The run
// started at runStartedAt.
func (a *Admission) CallEnded(now time.Time, name string, runStartedAt time.Time, result Result) {
	a.mu.Lock()
	defer a.mu.Unlock()
	r := a.routes[name]
	if r == nil {
		r = newRoute()
		if a.routes == nil {
			a.routes = map[string]*route{}
		}
		a.routes[name] = r
	}
	r.callAt = now
	if !runStartedAt.Before(r.decreasedAt) {
		r.calls.Add(now, 1)
		switch result {
		case Succeeded:
			r.succeeded = true
		case Rejected:
			r.rejected.Add(now, 1)
		case Erred:
			r.erred.Add(now, 1)
		}
	}
	r.step(now)
}

// RunEnded records that a run of the route has ended and has made the given number of
// calls, none of which failed. A run ends with its first call that fails, so that others do
// not show how many calls a run needs.
func (a *Admission) RunEnded(now time.Time, name string, calls int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if r := a.routes[name]; r != nil {
		r.runs.Add(now, 1)
		r.callsOfRuns.Add(now, float64(calls))
	}
}

// RouteReport describes a route whose runs make calls.
type RouteReport struct {
	Route string
	// Share is the admitted share of new requests, and Lowest its lowest value since the last
	// report. Rejected is the number of requests rejected since then.
	Share, Lowest float64
	Rejected      int
	// CallsPerRun is the mean number of calls of a run, and FailedShare the recent
	// share of the calls that failed.
	CallsPerRun, FailedShare float64
}

// Report returns the state of all routes with calls, ordered by name, and begins the next
// interval of reports. It forgets routes that have made no call for a long time.
func (a *Admission) Report(now time.Time) []RouteReport {
	a.mu.Lock()
	defer a.mu.Unlock()
	list := make([]RouteReport, 0, len(a.routes))
	for name, r := range a.routes {
		r.step(now)
		_, failed := r.failedShares(now)
		list = append(list, RouteReport{
			Route: name, Share: r.share, Lowest: r.lowest, Rejected: r.notAdmitted,
			CallsPerRun: r.callsPerRun(now), FailedShare: failed,
		})
		r.notAdmitted, r.lowest = 0, r.share
		if now.Sub(r.callAt) > forgetTime {
			delete(a.routes, name)
		}
	}
	slices.SortFunc(list, func(a, b RouteReport) int { return cmp.Compare(a.Route, b.Route) })
	return list
}
