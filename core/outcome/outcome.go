// Package outcome defines how a request can end.
//
// A request ends as exactly one of three things. Answered means that the
// target's whole answer was passed on. NotRun means that the target certainly
// never began to run the request, so any component may send it again. Unknown
// means that the target may have run it; only a request that its caller marked
// as idempotent may be sent again.
//
// # Usage
//
//	switch res := result.(type) {
//	case outcome.Answered:
//		// res.Status is the target's HTTP status.
//	case outcome.NotRun:
//		// res.RetryAfter says when a retry may succeed.
//	case outcome.Unknown:
//		// Retry only an idempotent request.
//	}
package outcome

import (
	"fmt"
	"time"
)

// Result is the end of a request: Answered, NotRun or Unknown.
type Result interface {
	fmt.Stringer
	isResult()
}

// Answered is the result of a request whose whole answer was delivered.
type Answered struct {
	// Status is the target's HTTP status code.
	Status int
}

// String implements fmt.Stringer.
func (Answered) String() string { return "answered" }

func (Answered) isResult() {}

// NotRun is the result of a request that its target never began to run.
type NotRun struct {
	Reason Reason
	// RetryAfter is the shortest useful pause before a retry; zero if unknown.
	RetryAfter time.Duration
	// Offset is the log offset that the entry has to fold before it retries
	// when Reason is NotOwner; zero otherwise.
	Offset uint64
}

// String implements fmt.Stringer.
func (NotRun) String() string { return "not_run" }

func (NotRun) isResult() {}

// Unknown is the result of a request that its target may have run.
type Unknown struct {
	Reason Reason
}

// String implements fmt.Stringer.
func (Unknown) String() string { return "unknown" }

func (Unknown) isResult() {}

// Reason says why a request was not answered. Its values are part of the
// caller's interface and of the inner protocol.
type Reason string

// The reasons.
const (
	NotOwner      Reason = "not_owner"      // the daemon does not own the key
	NoOwner       Reason = "no_owner"       // nobody owns the key at present
	NoLease       Reason = "no_lease"       // the owner's lease has lapsed
	NoService     Reason = "no_service"     // the settings name no such service
	Starting      Reason = "starting"       // the daemon has not read the log yet
	Overloaded    Reason = "overloaded"     // the queue cannot meet the deadline
	QueueFull     Reason = "queue_full"     // the queue holds too many requests
	Draining      Reason = "draining"       // the daemon or its target is leaving
	Shed          Reason = "shed"           // the target refused the request as not run
	DeadlinePast  Reason = "deadline_past"  // the deadline passed before the request was sent
	Duplicate     Reason = "duplicate"      // the request id was seen before
	Unreachable   Reason = "unreachable"    // no connection to the daemon or target
	Cancelled     Reason = "cancelled"      // the caller went away
	ConnectionCut Reason = "connection_cut" // the connection ended before the answer did
	TimedOut      Reason = "timed_out"      // no progress within the time allowed
	Malformed     Reason = "malformed"      // the request breaks a rule of the interface
	TooLarge      Reason = "too_large"      // the body exceeds its limit
	Fenced        Reason = "fenced"         // the target refused a stale grant
)

// MayRetry reports whether a request that ended as res may be sent again.
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

// retryable reports whether a later attempt can end differently.
func retryable(r Reason) bool {
	switch r {
	case Duplicate, Malformed, TooLarge, Cancelled, DeadlinePast, NoService:
		return false
	default:
		return true
	}
}
