package admission

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"siskinknot/core/outcome"
	"siskinknot/core/request"
)

var (
	testTime   = time.Unix(1000, 0)
	testLimits = Limits{Slots: 4, QueueLength: 8, BulkPercent: 50, ClassQueues: true, FairQueueing: true, EarlyRefusal: true}
)

// tryAcquire requests a slot without waiting for it. Both results are nil if the
// request is admitted.
func tryAcquire(l *Limiter, class request.Class, caller string, deadline time.Duration) (*waiter, outcome.Result) {
	return l.tryAdmit(testTime, Request{Class: class, Caller: caller, Deadline: testTime.Add(deadline)})
}

// release releases the slot of a lookup that was at the target for took.
func release(l *Limiter, took time.Duration, use SlotUse) {
	(&Permit{limiter: l, class: request.Lookup, sentAt: testTime}).Done(testTime.Add(took), use)
}

// admitted reports whether w was queued and has received its decision.
func admitted(w *waiter) bool { return w != nil && len(w.done) == 1 }

func TestNeverMoreThanTheSlots(t *testing.T) {
	l := New(testLimits)
	for range 4 {
		w, refusal := tryAcquire(l, request.Lookup, "a", time.Second)
		require.Nil(t, w)
		require.Nil(t, refusal)
	}
	w, refusal := tryAcquire(l, request.Lookup, "a", time.Second)
	require.NotNil(t, w)
	require.Nil(t, refusal)
	require.Equal(t, Load{InFlight: 4, Queued: 1, Limit: 4, ServiceTime: l.serviceTimes}, l.Load())
	release(l, time.Millisecond, Served)
	require.True(t, admitted(w))
}

func TestBulkHoldsItsShareOnly(t *testing.T) {
	l := New(testLimits)
	var waiting []*waiter
	for range 4 {
		w, _ := tryAcquire(l, request.Bulk, "a", time.Minute)
		if w != nil {
			waiting = append(waiting, w)
		}
	}
	require.Len(t, waiting, 2, "bulk requests get 2 of 4 slots")
	w, _ := tryAcquire(l, request.Internal, "a", time.Second)
	require.Nil(t, w, "an internal request gets a slot at once")
}

func TestCallersTakeTurns(t *testing.T) {
	l := New(Limits{Slots: 1, QueueLength: 100, BulkPercent: 50, ClassQueues: true, FairQueueing: true})
	_, _ = tryAcquire(l, request.Lookup, "first", time.Second)
	var burst []*waiter
	for range 10 {
		w, _ := tryAcquire(l, request.Lookup, "burst", time.Second)
		burst = append(burst, w)
	}
	other, _ := tryAcquire(l, request.Lookup, "other", time.Second)
	release(l, time.Millisecond, Served)
	require.True(t, admitted(burst[0]))
	release(l, time.Millisecond, Served)
	require.True(t, admitted(other), "the request of caller other runs before the nine remaining ones of caller burst")
}

func TestRefusals(t *testing.T) {
	tests := []struct {
		name     string
		limits   Limits
		queued   int
		deadline time.Duration
		caller   string
		want     outcome.Reason // of the refusal; empty if the request is queued
	}{
		{"expected to meet its deadline", testLimits, 4, time.Second, "b", ""},
		{"expected to miss its deadline", testLimits, 4, 15 * time.Millisecond, "a", outcome.Overloaded},
		{"expected to meet its deadline as its caller has a short queue", testLimits, 8, 30 * time.Millisecond, "b", ""},
		{"full queue of the same caller", testLimits, 8, time.Minute, "a", outcome.QueueFull},
		{"full queue of another caller", testLimits, 8, time.Minute, "b", ""},
		{"full queue without fair queueing", Limits{Slots: 4, QueueLength: 8, ClassQueues: true}, 8, time.Minute, "b", outcome.QueueFull},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			l := New(tt.limits)
			for c := range l.serviceTimes {
				l.serviceTimes[c] = 10 * time.Millisecond
			}
			for range 4 + tt.queued {
				_, refusal := tryAcquire(l, request.Lookup, "a", time.Minute)
				require.Nil(t, refusal)
			}
			_, refusal := tryAcquire(l, request.Lookup, tt.caller, tt.deadline)
			if tt.want == "" {
				require.Nil(t, refusal)
				return
			}
			require.Equal(t, tt.want, refusal.(outcome.NotRun).Reason)
		})
	}
}

// TestRequestOutlivesStop guards against requests that begin although the process may end before their deadline.
func TestRequestOutlivesStop(t *testing.T) {
	const stopsIn = time.Second
	l := New(Limits{Slots: 1, QueueLength: 8, BulkPercent: 50, ClassQueues: true, FairQueueing: true})
	_, refusal := tryAcquire(l, request.Lookup, "a", time.Minute)
	require.Nil(t, refusal)
	inTime, _ := tryAcquire(l, request.Lookup, "a", stopsIn)
	late, _ := tryAcquire(l, request.Lookup, "b", stopsIn+1)
	lateWrite, _ := tryAcquire(l, request.Write, "b", time.Minute)
	l.StopAt(testTime.Add(stopsIn))
	for _, w := range []*waiter{late, lateWrite} {
		require.True(t, admitted(w), "a waiting request is refused at once")
		require.Equal(t, outcome.NotRun{Reason: outcome.Stopping}, <-w.done)
	}
	require.Equal(t, 1, l.Load().Queued)
	_, refusal = tryAcquire(l, request.Internal, "a", stopsIn+1)
	require.Equal(t, outcome.NotRun{Reason: outcome.Stopping}, refusal)
	_, refusal = tryAcquire(l, request.Internal, "a", stopsIn)
	require.Nil(t, refusal)
	release(l, time.Millisecond, Served)
	require.True(t, admitted(inTime))
	require.Nil(t, <-inTime.done, "a request that ends in time runs")
}

func TestSheddingLowersLimit(t *testing.T) {
	l := New(Limits{Slots: 10, QueueLength: 8})
	for range 20 {
		_, _ = tryAcquire(l, request.Lookup, "", time.Second)
		release(l, 0, Shed)
	}
	require.Equal(t, 2, l.Load().Limit, "the limit is at least a fifth of the slots")
	for range 400 {
		_, _ = tryAcquire(l, request.Lookup, "", time.Second)
		release(l, time.Millisecond, Served)
	}
	require.Equal(t, 10, l.Load().Limit)
}

func TestCancelledWaiterLeavesNothing(t *testing.T) {
	l := New(Limits{Slots: 1, QueueLength: 8, ClassQueues: true})
	_, _ = tryAcquire(l, request.Lookup, "", time.Second)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	permit, refusal := l.Acquire(ctx, testTime, Request{Class: request.Lookup, Deadline: testTime.Add(time.Minute)})
	require.Nil(t, permit)
	require.Equal(t, outcome.NotRun{Reason: outcome.Cancelled}, refusal)
	require.Equal(t, 0, l.Load().Queued)
}

func BenchmarkAcquire(b *testing.B) {
	l := New(testLimits)
	for i := range b.N {
		permit, _ := l.Acquire(context.Background(), testTime, Request{Caller: fmt.Sprint(i % 10), Deadline: testTime.Add(time.Second)})
		permit.Done(testTime, Served)
	}
}
