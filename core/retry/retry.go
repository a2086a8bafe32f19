// Package retry decides whether and when a request that was not answered is
// retried.
//
// It distinguishes two kinds of failures. If the owner of the key is changing or
// unreachable, the request has put no load on any target, and the ingress daemon,
// which received it from the caller, may retry it until the deadline. If a target
// refuses a request or a connection broke, each retry adds load where there is already
// too much. Such retries use up a Budget that grows only with incoming requests,
// so that retries add at most a fixed share to the load.
//
// # Usage
//
//	policy := retry.Policy{MaxAttempts: 6}
//	delay, ok := policy.NextDelay(now, deadline, result, idempotent, attempt, budget)
package retry

import (
	"math/rand/v2"
	"sync"
	"time"

	"siskinknot/core/outcome"
)

// Upper limits of the delay after the first attempt and after any attempt, before
// RetryAfter of the result is taken into account.
const (
	initialBackoff = 5 * time.Millisecond
	maxBackoff     = 80 * time.Millisecond
)

// DefaultBurst is the maximum number of retries that a Budget saves while it is not
// used, unless a configured limit requires another number.
const DefaultBurst = 20

// Budget limits retries to a share of the incoming requests, as a token bucket. It
// is safe for concurrent use.
type Budget struct {
	mu sync.Mutex
	// tokens is the number of retries that are allowed at present.
	tokens float64
	// burst is the maximum of tokens.
	burst float64
}

// NewBudget returns a full Budget that saves at most burst retries.
func NewBudget(burst float64) *Budget {
	return &Budget{tokens: burst, burst: burst}
}

// SetBurst changes the maximum number of retries that the Budget saves.
func (b *Budget) SetBurst(burst float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.burst = burst
	b.tokens = min(b.tokens, burst)
}

// Deposit adds percent/100 retries to the budget. It is called for each incoming
// request.
func (b *Budget) Deposit(percent int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+float64(percent)/100, b.burst)
}

// Withdraw takes one retry from the budget and returns true, or returns false if the
// budget holds less than one.
func (b *Budget) Withdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Policy limits the attempts of one request.
type Policy struct {
	// MaxAttempts is the maximum number of attempts, which the caller raises by those that
	// reached no target. It does not limit retries while the owner of the key is unavailable.
	MaxAttempts int
}

// NextDelay returns the delay before the next attempt, after the attempt with
// the number attempt (counted from 1) ended with the result res. It returns
// false if the request is not to be retried: res rules out a retry, the
// deadline would pass during the delay, or the attempts or the budget are used
// up.
func (p Policy) NextDelay(now, deadline time.Time, res outcome.Result, idempotent bool, attempt int, budget *Budget) (time.Duration, bool) {
	if !outcome.MayRetry(res, idempotent) {
		return 0, false
	}
	delay := backoff(attempt)
	if notRun, ok := res.(outcome.NotRun); ok {
		delay = max(delay, notRun.RetryAfter)
	}
	if !now.Add(delay).Before(deadline) {
		return 0, false
	}
	if OwnerUnavailable(res) {
		return delay, true
	}
	if attempt >= p.MaxAttempts || !budget.Withdraw() {
		return 0, false
	}
	return delay, true
}

// OwnerUnavailable reports whether, according to res, no target ran the request because
// the owner of the key is changing, stopping or unreachable, because the zone of the target
// is evacuated, or because another request like it has to end first.
func OwnerUnavailable(res outcome.Result) bool {
	notRun, ok := res.(outcome.NotRun)
	if !ok {
		return false
	}
	switch notRun.Reason {
	case outcome.NotOwner, outcome.NoOwner, outcome.NoLease, outcome.Draining, outcome.Stopping, outcome.Evacuated, outcome.Unreachable,
		outcome.Fenced, outcome.OnTrial:
		return true
	default:
		return false
	}
}

// backoff returns the delay after the given attempt. Its upper limit doubles with
// each attempt up to maxBackoff, and the delay is random between half of the limit
// and the limit.
func backoff(attempt int) time.Duration {
	limit := initialBackoff << min(attempt-1, 10)
	limit = min(limit, maxBackoff)
	return limit/2 + rand.N(limit/2)
}
