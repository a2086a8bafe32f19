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

// Exchange is the other side of a request that a Runner runs. Its methods are
// called in order, each at most once but Write.
type Exchange interface {
	// Body returns the request's body. It is called once the request is
	// admitted; a body that was not asked for can be sent to another owner.
	Body() (io.Reader, error)
	// Head passes on the beginning of the answer.
	Head(status int, header http.Header, contentLength int64) error
	// Write passes on a piece of the answer's body.
	Write(data []byte) error
}

// Runner runs requests at the target beside this daemon.
type Runner struct {
	member  *member.Member
	client  *Client
	memory  *dedup.Memory
	limiter *admission.Limiter
	metrics tally.Scope
	buffers sync.Pool
	latency [request.Classes]tally.Timer
}

// NewRunner returns a Runner that runs requests through client.
func NewRunner(m *member.Member, client *Client, memory *dedup.Memory, metrics tally.Scope) *Runner {
	r := &Runner{
		member:  m,
		client:  client,
		memory:  memory,
		limiter: admission.New(limitsOf(&settings.Defaults)),
		metrics: metrics,
		buffers: sync.Pool{New: func() any { return new([copyBytes]byte) }},
	}
	for c := range r.latency {
		class := request.Class(c).String()
		r.latency[c] = metrics.Tagged(map[string]string{"class": class}).Timer("target_time")
	}
	return r
}

// copyBytes is the size of the pieces in which answers are passed on.
const copyBytes = 32 << 10

// reservedConnections are kept for health checks and grants.
const reservedConnections = 2

// limitsOf returns the admission limits in values.
func limitsOf(values *settings.Values) admission.Limits {
	return admission.Limits{
		Slots:        max(1, min(values.TargetSlots, values.TargetConnections-reservedConnections)),
		Queue:        values.QueueLength,
		BulkPercent:  values.BulkSharePercent,
		ClassQueues:  values.ClassQueues,
		Fair:         values.FairQueueing,
		EarlyRefusal: values.EarlyRefusal,
	}
}

// Load returns the load of the target as this daemon sees it.
func (r *Runner) Load() admission.Load { return r.limiter.Load() }

// Run runs a request for this daemon's target and passes its answer to ex.
func (r *Runner) Run(ctx context.Context, head *request.Head, ex Exchange) outcome.Result {
	values, kind, ok := r.member.Values(head.Service, head.Key)
	if !ok {
		return outcome.NotRun{Reason: outcome.NoService}
	}
	if head.Service != r.member.Service() {
		return outcome.NotRun{Reason: outcome.NotOwner}
	}
	if refusal := r.targetRefuses(kind); refusal != nil {
		return refusal
	}
	service, _, _ := r.member.Values(head.Service, "")
	r.limiter.SetLimits(limitsOf(service))
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
	permit.Start(now)
	res, use := x.run(ctx, now)
	end := boottime.Now()
	permit.Done(end, use)
	if use == admission.Served {
		r.latency[head.Class].Record(end.Sub(now))
	}
	return res
}

// targetRefuses returns why the target takes no request, or nil. An owner
// serves its keys while they are being released.
func (r *Runner) targetRefuses(kind string) outcome.Result {
	switch state := r.member.Target(); {
	case state == member.TargetDown || state == member.TargetUnknown:
		return outcome.NotRun{Reason: outcome.Unreachable}
	case kind == settings.Shared && (state == member.TargetDraining || r.member.Leaving()):
		return outcome.NotRun{Reason: outcome.Draining}
	default:
		return nil
	}
}

// execution is a request that holds a slot.
type execution struct {
	runner *Runner
	// cancel ends the exchange with the target.
	cancel context.CancelFunc
	head   *request.Head
	values *settings.Values
	kind   string
	ex     Exchange
}

// run runs the request if it is in time and this daemon may serve its key.
func (x *execution) run(ctx context.Context, now time.Time) (outcome.Result, admission.Use) {
	if !now.Before(x.head.Deadline) {
		return outcome.NotRun{Reason: outcome.DeadlinePast}, admission.Unused
	}
	if x.kind != settings.Divided {
		return x.once(ctx, Grant{}, 0)
	}
	work, refusal := x.runner.member.Enter(now, x.head.Service, x.head.Key, x.cancel)
	if refusal != nil {
		return refusal, admission.Unused
	}
	grant := Grant{Token: work.Claim.Unit.Token, Holder: work.Claim.For, Expires: work.Claim.Until}
	res, use := x.once(ctx, grant, work.Claim.Unit.Slot)
	busy := time.Duration(0)
	if use == admission.Served {
		busy = boottime.Now().Sub(now)
	}
	work.Done(busy, use == admission.Shed)
	return res, use
}

// once runs the request unless its id was seen before.
func (x *execution) once(ctx context.Context, grant Grant, slot int) (outcome.Result, admission.Use) {
	if x.head.Idempotent || x.head.ID == "" {
		return x.exchange(ctx, grant)
	}
	id := dedup.Hash(x.head.Caller, x.head.ID)
	if !x.runner.memory.Begin(boottime.Now(), id, slot, x.values.RememberIDs()) {
		return outcome.Unknown{Reason: outcome.Duplicate}, admission.Unused
	}
	res, use := x.exchange(ctx, grant)
	if _, ok := res.(outcome.NotRun); ok {
		x.runner.memory.Forget(id)
	}
	return res, use
}

// exchange hands the request to the target and passes the answer on.
func (x *execution) exchange(ctx context.Context, grant Grant) (outcome.Result, admission.Use) {
	body, err := x.ex.Body()
	if err != nil {
		return outcome.NotRun{Reason: outcome.Cancelled}, admission.Unused
	}
	left := timeLeft(x.head, x.values, grant)
	if left <= 0 {
		return outcome.NotRun{Reason: outcome.NoLease}, admission.Unused
	}
	timer := time.AfterFunc(left, x.cancel)
	defer timer.Stop()
	answer, refusal := x.runner.client.Send(ctx, x.head, body, grant, left)
	if refusal != nil {
		return refusal, useOf(refusal)
	}
	defer func() { _ = answer.Body.Close() }()
	if err := x.passOn(answer); err != nil {
		return outcome.Unknown{Reason: outcome.ConnectionCut}, admission.Served
	}
	return outcome.Answered{Status: answer.Status}, admission.Served
}

// timeLeft returns how long the target may work on a request. A target that
// does not check its grant must not act after the lease: what it runs once is
// bounded by the lease.
func timeLeft(head *request.Head, values *settings.Values, grant Grant) time.Duration {
	now := boottime.Now()
	left := head.Deadline.Sub(now)
	if grant.Holder != "" && !values.TargetChecksGrants && !head.Idempotent {
		left = min(left, grant.Expires.Sub(now))
	}
	return left
}

// useOf returns what a request that ended as res made of its slot.
func useOf(res outcome.Result) admission.Use {
	notRun, ok := res.(outcome.NotRun)
	switch {
	case !ok:
		return admission.Served
	case notRun.Reason == outcome.Shed:
		return admission.Shed
	default:
		return admission.Unused
	}
}

// passOn copies the target's answer to the exchange. It gives up when the
// target makes no progress for the time set.
func (x *execution) passOn(answer *Answer) error {
	if err := x.ex.Head(answer.Status, answer.Header, answer.ContentLength); err != nil {
		return err
	}
	stalled := time.AfterFunc(x.values.ProgressTimeout(), x.cancel)
	defer stalled.Stop()
	buf := x.runner.buffers.Get().(*[copyBytes]byte)
	defer x.runner.buffers.Put(buf)
	for {
		n, err := answer.Body.Read(buf[:])
		if n > 0 {
			if werr := x.ex.Write(buf[:n]); werr != nil {
				return werr
			}
			stalled.Reset(x.values.ProgressTimeout())
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}
