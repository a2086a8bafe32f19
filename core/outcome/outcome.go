// Package outcome defines the possible results of a request.
//
// Each request has exactly one of three results. Answered means that the whole
// response of the target was delivered to the caller. NotRun means that the target
// certainly did not start to run the request, so that any component may retry it.
// Unknown means that the target may have run the request, so that it may be retried
// only if its caller marked it as idempotent.
//
// # Usage
//
//	switch res := result.(type) {
//	case outcome.Answered:
//		// res.Status is the target's HTTP status.
//	case outcome.NotRun:
//		// res.RetryAfter is the minimum delay before a retry.
//	case outcome.Unknown:
//		// Retry only an idempotent request.
//	}
package outcome

import (
	"fmt"
	"time"
)

// Result is the result of a request: Answered, NotRun or Unknown.
type Result interface {
	fmt.Stringer
	isResult()
}

// Answered is the result of a request whose whole response was delivered.
type Answered struct {
	// Status is the target's HTTP status code.
	Status int
}

// String implements fmt.Stringer.
func (Answered) String() string { return "answered" }

func (Answered) isResult() {}

// NotRun is the result of a request that its target certainly did not start to run.
type NotRun struct {
	Reason Reason
	// RetryAfter is the minimum delay after which a retry may succeed; zero if it
	// is not known.
	RetryAfter time.Duration
	// MinOffset is the offset up to which the ingress daemon has to apply the
	// log, or the changes of the directory, before it retries; zero if there is
	// none.
	MinOffset uint64
}

// String implements fmt.Stringer.
func (NotRun) String() string { return "not_run" }

func (NotRun) isResult() {}

// Unknown is the result of a request that its target may or may not have run.
type Unknown struct {
	Reason Reason
}

// String implements fmt.Stringer.
func (Unknown) String() string { return "unknown" }

func (Unknown) isResult() {}

// Reason is the reason why a request was not answered. Its values are part of the
// interface to callers and of the inner protocol between daemons.
type Reason string

// Reasons why a request was not answered.
const (
	NotOwner  Reason = "not_owner"  // the daemon does not own the key
	NoOwner   Reason = "no_owner"   // the key has no owner at present
	NoLease   Reason = "no_lease"   // the owner's lease has lapsed (expired)
	NoService Reason = "no_service" // the settings contain no such service
	Starting  Reason = "starting"   // the daemon has not read the log yet
	// UnconfirmedConfig means that the configuration has no route for the request, and may not
	// be the newest one.
	UnconfirmedConfig Reason = "config_unconfirmed"
	Overloaded        Reason = "overloaded"     // the queue is too long for the request to end in time
	CallsFailing      Reason = "calls_failing"  // calls that targets make for such requests fail
	Busy              Reason = "busy"           // the daemon is short of processor time
	QueueFull         Reason = "queue_full"     // the queue holds too many requests
	Draining          Reason = "draining"       // the daemon or its target is about to leave the fleet
	Stopping          Reason = "stopping"       // the daemon ends before the deadline of the request
	Evacuated         Reason = "evacuated"      // the operator has evacuated the zone of the target
	Shed              Reason = "shed"           // the target refused the request and did not run it
	DeadlinePast      Reason = "deadline_past"  // the deadline passed before the request was sent
	Duplicate         Reason = "duplicate"      // the request id was seen before
	Unreachable       Reason = "unreachable"    // no connection to the owning daemon or the target could be made
	Cancelled         Reason = "cancelled"      // the caller cancelled the request or disconnected
	ConnectionCut     Reason = "connection_cut" // the connection closed before the response was complete
	TimedOut          Reason = "timed_out"      // the request made no progress within the time limit
	Malformed         Reason = "malformed"      // the request is invalid
	TooLarge          Reason = "too_large"      // the body exceeds the size limit
	Fenced            Reason = "fenced"         // the target refused the request because of a stale grant
	Quarantined       Reason = "quarantined"    // the request may crash targets
	OnTrial           Reason = "on_trial"       // the request may crash targets, and another one like it is running
	TargetCrashed     Reason = "target_crashed" // the target's process ended, and the request may have been the cause
)

// MayRetry reports whether a request with the result res may be retried. It panics
// if res is none of the three results.
func MayRetry(res Result, idempotent bool) bool {
	switch res := res.(type) {
	case Answered:
		return false
	case NotRun:
		return retryable(res.Reason)
	case Unknown:
		return idempotent && retryable(res.Reason)
	default:
		panic(fmt.Sprintf("unexpected outcome.Result %T", res))
	}
}

// retryable reports whether a retry can have a different result.
func retryable(r Reason) bool {
	switch r {
	case Duplicate, Malformed, TooLarge, Cancelled, DeadlinePast, NoService, Quarantined, TargetCrashed:
		return false
	default:
		return true
	}
}
