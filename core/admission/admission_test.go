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
	epoch   = time.Unix(1000, 0)
	generic = Limits{Slots: 4, Queue: 8, BulkPercent: 50, ClassQueues: true, Fair: true, EarlyRefusal: true}
)

// ask asks for a slot without waiting: the waiter is nil if it was admitted.
func ask(l *Limiter, class request.Class, caller string, deadline time.Duration) (*waiter, outcome.Result) {
	return l.enter(epoch, Request{Class: class, Caller: caller, Deadline: epoch.Add(deadline)})
}

// done gives a lookup's slot back after the target worked for took.
func done(l *Limiter, took time.Duration, use Use) {
	(&Permit{limiter: l, class: request.Lookup, started: epoch}).Done(epoch.Add(took), use)
}

func admitted(w *waiter) bool { return w != nil && len(w.done) == 1 }

func TestNeverMoreThanTheSlots(t *testing.T) {
	l := New(generic)
	for range 4 {
		w, refusal := ask(l, request.Lookup, "a", time.Second)
		require.Nil(t, w)
		require.Nil(t, refusal)
	}
	w, refusal := ask(l, request.Lookup, "a", time.Second)
	require.NotNil(t, w)
	require.Nil(t, refusal)
	require.Equal(t, Load{InFlight: 4, Queued: 1, Limit: 4, Service: l.service}, l.Load())
	done(l, time.Millisecond, Served)
	require.True(t, admitted(w))
}

func TestBulkHoldsItsShareOnly(t *testing.T) {
	l := New(generic)
	var waiting []*waiter
	for range 4 {
		w, _ := ask(l, request.Bulk, "a", time.Minute)
		if w != nil {
			waiting = append(waiting, w)
		}
	}
	require.Len(t, waiting, 2, "bulk gets 2 of 4 slots")
	w, _ := ask(l, request.Internal, "a", time.Second)
	require.Nil(t, w, "an internal check finds a slot")
}

func TestCallersTakeTurns(t *testing.T) {
	l := New(Limits{Slots: 1, Queue: 100, BulkPercent: 50, ClassQueues: true, Fair: true})
	_, _ = ask(l, request.Lookup, "first", time.Second)
	var flood []*waiter
	for range 10 {
		w, _ := ask(l, request.Lookup, "flood", time.Second)
		flood = append(flood, w)
	}
	other, _ := ask(l, request.Lookup, "other", time.Second)
	done(l, time.Millisecond, Served)
	require.True(t, admitted(flood[0]))
	done(l, time.Millisecond, Served)
	require.True(t, admitted(other), "the other caller is next, before nine of the flood")
}

func TestRefusals(t *testing.T) {
	tests := []struct {
		name     string
		limits   Limits
		queued   int
		deadline time.Duration
		caller   string
		want     outcome.Reason // empty if it waits
	}{
		{"in time", generic, 4, time.Second, "b", ""},
		{"too late", generic, 4, 15 * time.Millisecond, "a", outcome.Overloaded},
		{"in time for a caller with a short queue", generic, 8, 30 * time.Millisecond, "b", ""},
		{"the queue is full", generic, 8, time.Minute, "a", outcome.QueueFull},
		{"the queue is full of another caller's", generic, 8, time.Minute, "b", ""},
		{"the queue is full, unfair", Limits{Slots: 4, Queue: 8, ClassQueues: true}, 8, time.Minute, "b", outcome.QueueFull},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			l := New(tt.limits)
			for c := range l.service {
				l.service[c] = 10 * time.Millisecond
			}
			for range 4 + tt.queued {
				_, refusal := ask(l, request.Lookup, "a", time.Minute)
				require.Nil(t, refusal)
			}
			_, refusal := ask(l, request.Lookup, tt.caller, tt.deadline)
			if tt.want == "" {
				require.Nil(t, refusal)
				return
			}
			require.Equal(t, tt.want, refusal.(outcome.NotRun).Reason)
		})
	}
}

func TestSheddingIsBelieved(t *testing.T) {
	l := New(Limits{Slots: 10, Queue: 8})
	for range 20 {
		_, _ = ask(l, request.Lookup, "", time.Second)
		done(l, 0, Shed)
	}
	require.Equal(t, 2, l.Load().Limit, "a fifth of the slots is never given up")
	for range 400 {
		_, _ = ask(l, request.Lookup, "", time.Second)
		done(l, time.Millisecond, Served)
	}
	require.Equal(t, 10, l.Load().Limit)
}

func TestCancelledWaiterLeavesNothing(t *testing.T) {
	l := New(Limits{Slots: 1, Queue: 8, ClassQueues: true})
	_, _ = ask(l, request.Lookup, "", time.Second)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	permit, refusal := l.Acquire(ctx, epoch, Request{Class: request.Lookup, Deadline: epoch.Add(time.Minute)})
	require.Nil(t, permit)
	require.Equal(t, outcome.NotRun{Reason: outcome.Cancelled}, refusal)
	require.Equal(t, 0, l.Load().Queued)
}

func BenchmarkAcquire(b *testing.B) {
	l := New(generic)
	for i := range b.N {
		permit, _ := l.Acquire(context.Background(), epoch, Request{Caller: fmt.Sprint(i % 10), Deadline: epoch.Add(time.Second)})
		permit.Done(epoch, Served)
	}
}
