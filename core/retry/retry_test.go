package retry

import (
	"testing"
	"time"

	"siskinknot/core/outcome"
)

func TestNext(t *testing.T) {
	now := time.Unix(1000, 0)
	tests := []struct {
		name       string
		res        outcome.Result
		idempotent bool
		attempt    int
		left       time.Duration
		budget     float64
		want       bool
	}{
		{"answered", outcome.Answered{}, true, 1, time.Second, 5, false},
		{"not run", outcome.NotRun{Reason: outcome.Shed}, false, 1, time.Second, 5, true},
		{"not run, budget spent", outcome.NotRun{Reason: outcome.Shed}, false, 1, time.Second, 0, false},
		{"not run, attempts spent", outcome.NotRun{Reason: outcome.Shed}, false, 6, time.Second, 5, false},
		{"not run, delay exceeds the time left", outcome.NotRun{Reason: outcome.Shed}, false, 1, time.Millisecond, 5, false},
		{"not run, RetryAfter exceeds the time left", outcome.NotRun{Reason: outcome.Shed, RetryAfter: 2 * time.Second}, false, 1, time.Second, 5, false},
		{"owner changing, attempts and budget spent", outcome.NotRun{Reason: outcome.NoOwner}, false, 50, time.Second, 0, true},
		{"zone evacuated, attempts and budget spent", outcome.NotRun{Reason: outcome.Evacuated}, false, 50, time.Second, 0, true},
		{"malformed", outcome.NotRun{Reason: outcome.Malformed}, true, 1, time.Second, 5, false},
		{"unknown", outcome.Unknown{Reason: outcome.ConnectionCut}, false, 1, time.Second, 5, false},
		{"unknown, idempotent", outcome.Unknown{Reason: outcome.ConnectionCut}, true, 1, time.Second, 5, true},
		{"unknown, idempotent, budget spent", outcome.Unknown{Reason: outcome.ConnectionCut}, true, 1, time.Second, 0, false},
		{"duplicate", outcome.Unknown{Reason: outcome.Duplicate}, true, 1, time.Second, 5, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			budget := &Budget{tokens: tt.budget}
			delay, retried := Policy{MaxAttempts: 6}.NextDelay(now, now.Add(tt.left), tt.res, tt.idempotent, tt.attempt, budget)
			if retried != tt.want || retried && (delay <= 0 || delay > maxBackoff) {
				t.Errorf("delay %v, retried %v, want retried %v", delay, retried, tt.want)
			}
		})
	}
}

// TestBudgetBoundsRetries checks that retries add at most the allowed share of
// 20% to the requests, apart from the initial burst.
func TestBudgetBoundsRetries(t *testing.T) {
	budget := NewBudget(DefaultBurst)
	retries := 0
	for range 10_000 {
		budget.Deposit(20)
		for budget.Withdraw() {
			retries++
		}
	}
	if retries > 10_000/5+DefaultBurst {
		t.Errorf("%d retries for 10000 requests", retries)
	}
}
