package target

import (
	"context"
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
	now := boottime.Now()
	permit.Start(now)
	res, use := r.runAdmitted(ctx, cancel, now, head, values, kind, ex)
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
	case state == member.TargetDraining && kind == settings.Shared:
		return outcome.NotRun{Reason: outcome.Draining}
	default:
		return nil
	}
}

// runAdmitted runs a request that holds a slot.
func (r *Runner) runAdmitted(ctx context.Context, cancel context.CancelFunc, now time.Time, head *request.Head, values *settings.Values, kind string, ex Exchange) (outcome.Result, admission.Use) {
	if !now.Before(head.Deadline) {
		return outcome.NotRun{Reason: outcome.DeadlinePast}, admission.Unused
	}
	if kind != settings.Divided {
		return r.runOnce(ctx, cancel, head, values, Grant{}, 0, ex)
	}
	work, refusal := r.member.Enter(now, head.Service, head.Key, cancel)
	if refusal != nil {
		return refusal, admission.Unused
	}
	grant := Grant{Token: work.Claim.Unit.Token, Holder: work.Claim.For, Expires: work.Claim.Until}
	res, use := r.runOnce(ctx, cancel, head, values, grant, work.Claim.Unit.Slot, ex)
	busy := time.Duration(0)
	if use == admission.Served {
		busy = boottime.Now().Sub(now)
	}
	work.Done(busy)
	return res, use
}

// runOnce runs a request unless its id was seen before.
func (r *Runner) runOnce(ctx context.Context, cancel context.CancelFunc, head *request.Head, values *settings.Values, grant Grant, slot int, ex Exchange) (outcome.Result, admission.Use) {
	if head.Idempotent || head.ID == "" {
		return r.exchange(ctx, cancel, head, values, grant, ex)
	}
	id := dedup.Hash(head.Caller, head.ID)
	if !r.memory.Begin(boottime.Now(), id, slot, values.RememberIDs()) {
		return outcome.Unknown{Reason: outcome.Duplicate}, admission.Unused
	}
	res, use := r.exchange(ctx, cancel, head, values, grant, ex)
	if _, ok := res.(outcome.NotRun); ok {
		r.memory.Forget(id)
	}
	return res, use
}

// exchange hands a request to the target and passes the answer on.
func (r *Runner) exchange(ctx context.Context, cancel context.CancelFunc, head *request.Head, values *settings.Values, grant Grant, ex Exchange) (outcome.Result, admission.Use) {
	body, err := ex.Body()
	if err != nil {
		return outcome.NotRun{Reason: outcome.Cancelled}, admission.Unused
	}
	left := timeLeft(head, values, grant)
	if left <= 0 {
		return outcome.NotRun{Reason: outcome.NoLease}, admission.Unused
	}
	timer := time.AfterFunc(left, cancel)
	defer timer.Stop()
	answer, refusal := r.client.Send(ctx, head, body, grant, left)
	if refusal != nil {
		return refusal, useOf(refusal)
	}
	defer answer.Body.Close()
	if err := r.passOn(answer, values, cancel, ex); err != nil {
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

// passOn copies the target's answer to ex. It gives up when the target makes no
// progress for the time set.
func (r *Runner) passOn(answer *Answer, values *settings.Values, cancel context.CancelFunc, ex Exchange) error {
	if err := ex.Head(answer.Status, answer.Header, answer.ContentLength); err != nil {
		return err
	}
	stalled := time.AfterFunc(values.ProgressTimeout(), cancel)
	defer stalled.Stop()
	buf := r.buffers.Get().(*[copyBytes]byte)
	defer r.buffers.Put(buf)
	for {
		n, err := answer.Body.Read(buf[:])
		if n > 0 {
			if werr := ex.Write(buf[:n]); werr != nil {
				return werr
			}
			stalled.Reset(values.ProgressTimeout())
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}
