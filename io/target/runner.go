package target

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"siskinknot/core/admission"
	"siskinknot/core/dedup"
	"siskinknot/core/outcome"
	"siskinknot/core/request"
	"siskinknot/core/settings"
	"siskinknot/io/boottime"
	"siskinknot/io/member"
)

// Exchange connects a Runner with the origin of a request: it supplies the body and
// receives the response. The methods are called in the order in which they are
// declared; each is called at most once, except Write.
type Exchange interface {
	// Body returns the request's body. It is called only after the request is
	// admitted, since a body that has not been read can still be sent to another
	// owner.
	Body() (io.Reader, error)
	// Head passes on the status and the headers of the response. contentLength is
	// in bytes, or negative if the length is unknown.
	Head(status int, header http.Header, contentLength int64) error
	// Write passes on a part of the response body.
	Write(data []byte) error
}

// Runner runs requests at the target beside this daemon. It is safe for concurrent
// use.
type Runner struct {
	member  *member.Member
	client  *Client
	seenIDs *dedup.IDSet
	limiter *admission.Limiter
	metrics tally.Scope
	buffers sync.Pool
	latency [request.NumClasses]tally.Timer
}

// NewRunner returns a Runner that runs requests through client.
func NewRunner(m *member.Member, client *Client, seenIDs *dedup.IDSet, metrics tally.Scope) *Runner {
	r := &Runner{
		member:  m,
		client:  client,
		seenIDs: seenIDs,
		limiter: admission.New(admissionLimits(&settings.Defaults)),
		metrics: metrics,
		buffers: sync.Pool{New: func() any { return new([copyBufferBytes]byte) }},
	}
	for c := range r.latency {
		class := request.Class(c).String()
		r.latency[c] = metrics.Tagged(map[string]string{"class": class}).Timer("target_time")
	}
	return r
}

// copyBufferBytes is the size of the buffer for copying response bodies, in bytes.
const copyBufferBytes = 32 << 10

// reservedConnections is the number of connections to the target that are reserved
// for health checks and grants.
const reservedConnections = 2

// admissionLimits returns the admission limits that values set.
func admissionLimits(values *settings.Values) admission.Limits {
	return admission.Limits{
		Slots:        max(1, min(values.TargetSlots, values.TargetConnections-reservedConnections)),
		QueueLength:  values.QueueLength,
		BulkPercent:  values.BulkSharePercent,
		ClassQueues:  values.ClassQueues,
		FairQueueing: values.FairQueueing,
		EarlyRefusal: values.EarlyRefusal,
	}
}

// Load returns the load of the target as measured by this daemon.
func (r *Runner) Load() admission.Load { return r.limiter.Load() }

// StopAt declares that this process ends at stopsAt at the latest. Run then refuses the
// requests whose deadline is later.
func (r *Runner) StopAt(stopsAt time.Time) { r.limiter.StopAt(stopsAt) }

// OutlivesStop reports whether a request with the given deadline may still run when this
// process ends.
func (r *Runner) OutlivesStop(deadline time.Time) bool { return r.limiter.OutlivesStop(deadline) }

// Run runs a request at this daemon's target and passes the response to ex. The
// result says whether the request ran.
func (r *Runner) Run(ctx context.Context, head *request.Head, ex Exchange) outcome.Result {
	values, kind, ok := r.member.Values(head.Service, head.Key)
	if !ok {
		return outcome.NotRun{Reason: outcome.NoService}
	}
	if head.Service != r.member.Service() {
		return outcome.NotRun{Reason: outcome.NotOwner}
	}
	if refusal := r.targetRefusal(kind); refusal != nil {
		return refusal
	}
	service, _, _ := r.member.Values(head.Service, "")
	r.limiter.SetLimits(admissionLimits(service))
	r.client.SetConnections(service.TargetConnections)
	permit, refusal := r.limiter.Acquire(ctx, boottime.Now(), admission.Request{
		Class:    head.Class,
		Caller:   head.Caller,
		Deadline: head.Deadline,
	})
	if refusal != nil {
		return refusal
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	x := &execution{runner: r, cancel: cancel, head: head, values: values, kind: kind, ex: ex}
	now := boottime.Now()
	permit.MarkSent(now)
	result, use := x.run(ctx, now)
	end := boottime.Now()
	permit.Done(end, use)
	if use == admission.Served {
		r.latency[head.Class].Record(end.Sub(now))
	}
	return result
}

// targetRefusal returns NotRun with the reason if no request may be sent to the
// target in its current state, and otherwise nil. While the target drains or the
// daemon leaves the fleet, only requests for shared services are refused: an owner
// serves its keys while they are being released.
func (r *Runner) targetRefusal(kind string) outcome.Result {
	switch state := r.member.Target(); {
	case state == member.TargetDown || state == member.TargetUnknown:
		return outcome.NotRun{Reason: outcome.Unreachable}
	case kind == settings.KindShared && (state == member.TargetDraining || r.member.Leaving()):
		return outcome.NotRun{Reason: outcome.Draining}
	default:
		return nil
	}
}

// execution is an admitted request, which occupies a slot of the target.
type execution struct {
	runner *Runner
	// cancel aborts the HTTP exchange with the target.
	cancel context.CancelFunc
	head   *request.Head
	values *settings.Values
	kind   string
	ex     Exchange
	// deadline is the deadline that the target was told.
	deadline time.Time
	// abandoned is set if this daemon closed the connection to the target before the
	// end of the answer. A target that closes it itself no longer runs the request.
	abandoned bool
}

// run runs the request if its deadline has not passed and this daemon may serve its
// key.
func (x *execution) run(ctx context.Context, now time.Time) (outcome.Result, admission.SlotUse) {
	if !now.Before(x.head.Deadline) {
		return outcome.NotRun{Reason: outcome.DeadlinePast}, admission.Unused
	}
	if x.kind != settings.KindDivided {
		return x.runUnlessDuplicate(ctx, Grant{}, 0)
	}
	running, refusal := x.runner.member.StartRequest(now, x.head.Service, x.head.Key, x.cancel)
	if refusal != nil {
		return refusal, admission.Unused
	}
	grant := Grant{Token: running.Claim.Unit.Token, Holder: running.Claim.Owner, Expires: running.Claim.Until}
	result, use := x.runUnlessDuplicate(ctx, grant, running.Claim.Unit.Slot)
	serviceTime := time.Duration(0)
	if use == admission.Served {
		serviceTime = boottime.Now().Sub(now)
	}
	if x.abandoned {
		running.Abandon(serviceTime, x.deadline)
		return result, use
	}
	running.Done(serviceTime, use == admission.Shed)
	return result, use
}

// runUnlessDuplicate runs the request unless it is not idempotent and its ID
// was seen before. slot is the slot of its key.
func (x *execution) runUnlessDuplicate(ctx context.Context, grant Grant, slot int) (outcome.Result, admission.SlotUse) {
	if x.head.Idempotent || x.head.ID == "" {
		return x.exchange(ctx, grant)
	}
	id := dedup.Hash(x.head.Caller, x.head.ID)
	if !x.runner.seenIDs.AddIfNew(boottime.Now(), id, slot, x.values.RememberIDs()) {
		return outcome.Unknown{Reason: outcome.Duplicate}, admission.Unused
	}
	result, use := x.exchange(ctx, grant)
	if _, ok := result.(outcome.NotRun); ok {
		x.runner.seenIDs.Remove(id)
	}
	return result, use
}

// exchange sends the request to the target and passes the response on.
func (x *execution) exchange(ctx context.Context, grant Grant) (outcome.Result, admission.SlotUse) {
	body, err := x.ex.Body()
	if err != nil {
		return outcome.NotRun{Reason: outcome.Cancelled}, admission.Unused
	}
	x.deadline = targetDeadline(x.head, x.values, grant)
	remaining := x.deadline.Sub(boottime.Now())
	if remaining <= 0 {
		return outcome.NotRun{Reason: outcome.NoLease}, admission.Unused
	}
	timer := time.AfterFunc(remaining, x.cancel)
	defer timer.Stop()
	resp, refusal := x.runner.client.Send(ctx, x.head, body, grant, x.deadline)
	if refusal != nil {
		_, unknown := refusal.(outcome.Unknown)
		x.abandoned = unknown && ctx.Err() != nil
		return refusal, slotUse(refusal)
	}
	defer func() { _ = resp.Body.Close() }()
	if err := x.copyResponse(ctx, resp); err != nil {
		return outcome.Unknown{Reason: outcome.ConnectionCut}, admission.Served
	}
	return outcome.Answered{Status: resp.Status}, admission.Served
}

// targetDeadline returns until when the target may work on a request. A target that
// does not check its grant could still act after the lease has ended. Therefore the
// deadline of requests that may write is then the end of the lease at the latest. That
// includes idempotent writes, which could undo what the next owner has written.
func targetDeadline(head *request.Head, values *settings.Values, grant Grant) time.Time {
	mayWrite := !head.Idempotent || !request.SafeMethod(head.Method)
	if grant.Holder != "" && !values.TargetChecksGrants && mayWrite && grant.Expires.Before(head.Deadline) {
		return grant.Expires
	}
	return head.Deadline
}

// slotUse returns how a request that ended with result used its slot.
func slotUse(result outcome.Result) admission.SlotUse {
	notRun, ok := result.(outcome.NotRun)
	switch {
	case !ok:
		return admission.Served
	case notRun.Reason == outcome.Shed:
		return admission.Shed
	default:
		return admission.Unused
	}
}

// copyResponse copies the target's response to the Exchange. It cancels the request
// if the target sends no data for the configured progress timeout.
func (x *execution) copyResponse(ctx context.Context, resp *Response) error {
	if err := x.ex.Head(resp.Status, resp.Header, resp.ContentLength); err != nil {
		x.abandoned = true
		return err
	}
	progressTimer := time.AfterFunc(x.values.ProgressTimeout(), x.cancel)
	defer progressTimer.Stop()
	buf := x.runner.buffers.Get().(*[copyBufferBytes]byte)
	defer x.runner.buffers.Put(buf)
	for {
		n, err := resp.Body.Read(buf[:])
		if n > 0 {
			if werr := x.ex.Write(buf[:n]); werr != nil {
				x.abandoned = true
				return werr
			}
			progressTimer.Reset(x.values.ProgressTimeout())
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			x.abandoned = ctx.Err() != nil
			return err
		}
	}
}
