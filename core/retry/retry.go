// Package retry decides whether and when a request that was not answered is
// sent again.
//
// Two kinds of failure are told apart. If the owner of the key is changing, no
// target was troubled, and the entry may try until the deadline. If a target is
// overloaded or a connection broke, each retry adds load where there is too
// much: these draw on a Budget that grows only with the requests that came in,
// so that retries can add no more than a fixed share of the load.
//
// # Usage
//
//	policy := retry.Policy{Attempts: 6}
//	pause, ok := policy.Next(now, deadline, result, idempotent, tries, budget)
package retry

import (
	"math/rand/v2"
	"sync"
	"time"

	"siskinknot/core/outcome"
)

// Pauses between attempts.
const (
	firstPause = 5 * time.Millisecond
	lastPause  = 80 * time.Millisecond
)

// DefaultBurst is the number of retries that a quiet Budget has saved up, unless
// its user has a limit to keep.
const DefaultBurst = 20

// Budget limits retries to a share of the requests. It is safe for concurrent
// use.
type Budget struct {
	mu     sync.Mutex
	tokens float64
	burst  float64
}

// NewBudget returns a full Budget that saves up to burst retries.
func NewBudget(burst float64) *Budget {
	return &Budget{tokens: burst, burst: burst}
}

// SetBurst changes how many retries the Budget saves up.
func (b *Budget) SetBurst(burst float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.burst = burst
	b.tokens = min(b.tokens, burst)
}

// Deposit notes an incoming request, which allows percent/100 retries.
func (b *Budget) Deposit(percent int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+float64(percent)/100, b.burst)
}

// Withdraw takes one retry from the budget if it holds one.
func (b *Budget) Withdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Policy bounds the attempts of one request.
type Policy struct {
	// Attempts is the most attempts that reach a target's daemon with load.
	Attempts int
}

// Next returns the pause before the next attempt after attempt number tries
// (from 1) ended as res, and false if there is to be none.
func (p Policy) Next(now, deadline time.Time, res outcome.Result, idempotent bool, tries int, budget *Budget) (time.Duration, bool) {
	if !outcome.MayRetry(res, idempotent) {
		return 0, false
	}
	pause := backoff(tries)
	if notRun, ok := res.(outcome.NotRun); ok {
		pause = max(pause, notRun.RetryAfter)
	}
	if !now.Add(pause).Before(deadline) {
		return 0, false
	}
	if OwnerChanging(res) {
		return pause, true
	}
	if tries >= p.Attempts || !budget.Withdraw() {
		return 0, false
	}
	return pause, true
}

// OwnerChanging reports whether res says that no target got the request because
// the key's owner is changing or out of reach.
func OwnerChanging(res outcome.Result) bool {
	notRun, ok := res.(outcome.NotRun)
	if !ok {
		return false
	}
	switch notRun.Reason {
	case outcome.NotOwner, outcome.NoOwner, outcome.NoLease, outcome.Draining, outcome.Unreachable, outcome.Fenced:
		return true
	default:
		return false
	}
}

// backoff returns a pause that grows with the attempts, with full jitter.
func backoff(tries int) time.Duration {
	limit := firstPause << min(tries-1, 10)
	limit = min(limit, lastPause)
	return limit/2 + rand.N(limit/2)
}
