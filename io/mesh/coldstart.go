package mesh

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"siskinknot/core/coldstart"
	"siskinknot/core/outcome"
	"siskinknot/core/request"
	"siskinknot/core/routing"
	"siskinknot/core/scheduling"
	"siskinknot/io/boottime"
)

const (
	// healthCheckTimeout limits a health check, which a target answers at once.
	healthCheckTimeout = 300 * time.Millisecond
	// maxSendWait is the longest time that a request with a slot waits until the limit of a
	// cold target allows it. The scheduler spaces requests evenly, so that they come too early
	// only by the differences between the times from getting a slot to being sent.
	maxSendWait = 100 * time.Millisecond
	// recentArrival is how long after a request arrived the cold state of the target matters.
	recentArrival = time.Second
)

// TargetHealth is the response of the target to a health check.
type TargetHealth struct {
	// Status is the HTTP status code.
	Status int
	// Instance is the process that responded; empty if it does not say.
	Instance string
	// ColdKnown is set if the response says for how much longer the target is cold, and
	// ColdFor is that time.
	ColdKnown bool
	ColdFor   time.Duration
	// Load is the load that the target states, or nil.
	Load *request.ServerLoad
}

// targetRate controls the rate of the requests that are sent to the target beside this daemon:
// the lower one of the limit that the target names in its answers and of that of a cold target.
// The scheduler spreads the requests over time by priority, and send enforces the limit of a cold
// target exactly. It is safe for concurrent use, also by callers that hold Mesh.mu.
type targetRate struct {
	limiter   *coldstart.Limiter
	scheduler *scheduling.Scheduler
	metrics   *metrics
	log       hclog.Logger
	// wake wakes the task when the cold state or its relevance may have changed.
	wake chan struct{}

	mu sync.Mutex
	// limited is set while the target names a limit, and named is that limit.
	limited bool
	named   float64
	// configured is set while a rate of cold targets is configured, and invalid the first
	// heartbeat of the target's process if it has no valid cold time and that is not logged yet.
	configured bool
	invalid    *TargetState
	// state is the cold state as it was last applied to the scheduler, and coldSince when the
	// target was first found to be cold.
	state     coldstart.State
	coldSince time.Time
	// arrivedAt is when the last request for the target arrived, and awaitsArrival is set while
	// a health check is due as soon as one arrives.
	arrivedAt     time.Time
	awaitsArrival bool
}

// newTargetRate returns a targetRate for scheduler, of a process that started at now.
func newTargetRate(now time.Time, scheduler *scheduling.Scheduler, metrics *metrics, log hclog.Logger) *targetRate {
	return &targetRate{
		limiter: coldstart.New(now), scheduler: scheduler, metrics: metrics, log: log, wake: make(chan struct{}, 1),
	}
}

// configure puts the settings of the target's service into force.
func (r *targetRate) configure(now time.Time, svc routing.Service) {
	r.limiter.Configure(svc.ColdRate, svc.ColdStart)
	r.mu.Lock()
	r.configured = svc.ColdRate > 0
	r.logInvalid()
	r.mu.Unlock()
	r.update(now)
}

// logInvalid logs once that the target's process states no valid cold time, if that matters. The
// caller holds the mutex.
func (r *targetRate) logInvalid() {
	if state := r.invalid; state != nil && r.configured {
		r.invalid = nil
		r.log.Warn("target states no valid cold time", "instance", state.Instance, "missing", state.ColdUnknown, "used_ms", state.ColdFor.Milliseconds())
	}
}

// setNamed records the limit that the target names.
func (r *targetRate) setNamed(now time.Time, perSecond float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.limited, r.named = true, perSecond
	r.apply(now, r.limiter.State(now), true)
}

// clearNamed records that the target names no limit.
func (r *targetRate) clearNamed(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.limited = false
	r.apply(now, r.limiter.State(now), true)
}

// assume records that the target may be cold from now on, for the reason source.
func (r *targetRate) assume(now time.Time, source coldstart.Source) {
	r.limiter.Assume(now, source)
	r.update(now)
}

// observeHeartbeat records the cold state in a heartbeat that arrived at now. started is set if
// it is the first one of a process, and returned if the target was down before.
func (r *targetRate) observeHeartbeat(now time.Time, state *TargetState, started, returned bool) {
	switch {
	case started:
		r.limiter.ObserveStart(now)
		r.mu.Lock()
		r.invalid = nil
		if state.ColdUnknown || state.ColdBounded {
			r.invalid = &TargetState{Instance: state.Instance, ColdUnknown: state.ColdUnknown, ColdFor: state.ColdFor}
		}
		r.logInvalid()
		r.mu.Unlock()
	case returned:
		r.limiter.Assume(now, coldstart.Returned)
	}
	if !state.ColdUnknown {
		r.limiter.ObserveHeartbeat(now, state.ColdFor)
	}
	r.update(now)
}

// observeHealthCheck records the cold state in the response to a health check that was sent at
// sentAt.
func (r *targetRate) observeHealthCheck(now, sentAt time.Time, left time.Duration) {
	r.limiter.ObserveHealthCheck(sentAt, left)
	r.update(now)
}

// update applies the cold state at now to the scheduler.
func (r *targetRate) update(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.apply(now, r.limiter.State(now), false)
}

// apply puts the lower limit into force at the scheduler, and logs and reports a change of the
// cold state. namedChanged is set if the limit that the target names may have changed. The caller
// holds the mutex.
func (r *targetRate) apply(now time.Time, state coldstart.State, namedChanged bool) {
	last := r.state
	r.state = state
	switch {
	case state.Cold:
		rate := float64(int(state.Rate))
		if r.limited {
			rate = min(rate, r.named)
		}
		if namedChanged || !last.Cold || last.Rate != state.Rate {
			r.scheduler.SetPacedRate(now, rate, r.limiter.Wait(now))
		}
	case !namedChanged && !last.Cold:
	case r.limited:
		r.scheduler.SetRate(now, r.named)
	default:
		r.scheduler.ClearRate(now)
	}
	if state.Cold != last.Cold || state.Source != last.Source || state.Rate != last.Rate {
		r.reportChange(now, last)
	}
	if state.Cold || last.Cold {
		r.wakeTask()
	}
}

// alignScheduler makes the scheduler admit no request before the limit of a cold target has room
// for it, after a request with a slot did not get any.
func (r *targetRate) alignScheduler(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if state := r.limiter.State(now); state.Cold {
		r.apply(now, state, true)
	}
}

// reportChange logs and reports that the cold state has changed from last at now. The caller
// holds the mutex.
func (r *targetRate) reportChange(now time.Time, last coldstart.State) {
	cold := 0.0
	if r.state.Cold {
		cold = 1
		if !last.Cold {
			r.coldSince = now
		}
		r.log.Info("target is cold", "source", string(r.state.Source), "cold_ms", r.state.Left.Milliseconds(), "per_second", r.state.Rate)
	} else {
		r.log.Info("target is no longer cold", "source", string(last.Source), "was_cold_ms", now.Sub(r.coldSince).Milliseconds())
	}
	r.metrics.targetCold.Update(cold)
}

// cold returns the cold state at now; it is not cold if no limit is configured.
func (r *targetRate) cold(now time.Time) coldstart.State { return r.limiter.State(now) }

// send records that a request is sent to the target at now, and returns nil, or returns why it
// may not be sent. Calls that overlap must be in the order of now.
func (r *targetRate) send(now time.Time) outcome.Result {
	if wait := r.limiter.Send(now); wait > 0 {
		return outcome.NotRun{Reason: outcome.Overloaded, RetryAfter: wait}
	}
	return nil
}

// forget removes a request that was sent at sentAt and ended with res from the count, if it did
// not reach the target or reached another process or an owner without the key.
func (r *targetRate) forget(sentAt time.Time, res outcome.Result) {
	notRun, ok := res.(outcome.NotRun)
	if ok && notRun.Reason != outcome.Shed && notRun.Reason != outcome.Malformed {
		r.limiter.Forget(sentAt)
	}
}

// recordArrival records that a request for the target arrived at now.
func (r *targetRate) recordArrival(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.arrivedAt = now
	if r.awaitsArrival {
		r.awaitsArrival = false
		r.wakeTask()
	}
}

// recordRefusal counts a request that was not sent at now with the result res, if that is because
// the target is cold.
func (r *targetRate) recordRefusal(now time.Time, res outcome.Result) {
	if reasonOf(res) == outcome.Overloaded && r.cold(now).Cold {
		r.metrics.coldRefusals.Inc(1)
	}
}

// wakeTask wakes the task.
func (r *targetRate) wakeTask() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// checkDue reports whether a health check is due at now: the cold state is assumed, and a request
// has arrived recently. next is when the state or that may change, or zero if nothing is to be
// waited for.
func (r *targetRate) checkDue(now time.Time) (due bool, next time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	state := r.limiter.State(now)
	if !state.Cold {
		return false, time.Time{}
	}
	next = now.Add(state.Left)
	if !state.Assumed {
		return false, next
	}
	if r.awaitsArrival = r.arrivedAt.IsZero() || now.Sub(r.arrivedAt) > recentArrival; r.awaitsArrival {
		return false, next
	}
	due, checkAt := r.limiter.CheckDue(now)
	if checkAt.Before(next) {
		next = checkAt
	}
	return due, next
}

// runColdStart is the task that ends the limit when the target is no longer cold, and sends health
// checks. It sleeps while the target is not cold.
func (m *Mesh) runColdStart() error {
	r := m.rate
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-m.tomb.Dying():
			return nil
		case <-timer.C:
		case <-r.wake:
		}
		now := boottime.Now()
		r.update(now)
		due, next := r.checkDue(now)
		if due {
			m.checkHealth()
		}
		timer.Stop()
		if !next.IsZero() {
			timer.Reset(max(0, next.Sub(boottime.Now())))
		}
	}
}

// checkHealth sends a health check to the target and records what it says about the cold state.
// A failing one changes nothing.
func (m *Mesh) checkHealth() {
	path, instance := m.healthPath()
	if path == "" {
		return
	}
	m.metrics.healthChecks.Inc(1)
	ctx, cancel := m.withTimeout(healthCheckTimeout)
	defer cancel()
	sentAt := boottime.Now()
	health, err := m.targetClient.HealthCheck(ctx, path)
	_, current := m.healthPath()
	switch {
	case err != nil:
		m.log.Debug("health check failed", "instance", instance, "error", err)
	case health.Status != http.StatusOK || !health.ColdKnown:
		m.log.Debug("health check does not tell the cold state", "instance", instance, "status", health.Status)
	case instance != current || (health.Instance != "" && health.Instance != current):
		m.log.Debug("health check of another process", "instance", current, "responded", health.Instance)
	default:
		m.rate.observeHealthCheck(boottime.Now(), sentAt, health.ColdFor)
	}
}

// healthPath returns the path of the health checks of the target, or "" if none may be sent now,
// and the target's process.
func (m *Mesh) healthPath() (path, instance string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	t := &m.target
	if m.table == nil || t.Instance == "" || t.down || t.replaced || !t.refusingSince.IsZero() {
		return "", t.Instance
	}
	svc, _ := m.table.Service(m.cfg.Service)
	return svc.HealthPath, t.Instance
}

// assumeCold records that the target may have become cold until now, at the end of an evacuation
// of its zone: it counts as cold for the configured time, or until a heartbeat or a health check
// that was sent after now says otherwise. The caller may hold the mutex.
func (m *Mesh) assumeCold(now time.Time) { m.rate.assume(now, coldstart.EvacuationEnd) }

// startRunWhenAllowed is startRun for a request that may wait up to maxSendWait for the limit of a
// cold target. If the request is not sent, it also returns how its slot was used.
func (m *Mesh) startRunWhenAllowed(
	ctx context.Context, r *run, key uint16, divided bool, times *requestTimes,
) (outcome.Result, scheduling.SlotUse) {
	waitUntil := boottime.Now().Add(maxSendWait)
	for {
		refusal := m.startRun(r, key, divided, times)
		notRun, refused := refusal.(outcome.NotRun)
		if !refused || notRun.Reason != outcome.Overloaded {
			return refusal, scheduling.Unused
		}
		now := boottime.Now()
		if now.Add(notRun.RetryAfter).After(waitUntil) {
			m.rate.recordRefusal(now, refusal)
			m.rate.alignScheduler(now)
			// The request may have got its slot before the limit began. It must not return a
			// token that it has not taken.
			return refusal, scheduling.Declined
		}
		select {
		case <-time.After(notRun.RetryAfter):
		case <-ctx.Done():
			return outcome.NotRun{Reason: outcome.Cancelled}, scheduling.Unused
		}
	}
}
