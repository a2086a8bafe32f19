package scheduling

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"siskinknot/core/coldstart"
	"siskinknot/core/outcome"
)

// TestColdTargetUnderLoad plays a load of several times the rate that a cold target sustains, after requests at a
// higher rate. It guards against requests that get a slot and are then rejected by the limit of a cold target, against
// a limit that is not used, and against urgent requests that are rejected for others.
func TestColdTargetUnderLoad(t *testing.T) {
	const (
		perSecond          = 17
		total              = 20 * time.Second
		objective, service = 400 * time.Millisecond, 100 * time.Millisecond
	)
	synctest.Test(t, func(t *testing.T) {
		s := New(12)
		var mu sync.Mutex
		var sent []time.Time
		limiter := coldstart.New(time.Now().Add(-time.Second))
		limiter.Configure(perSecond, time.Minute)
		refusedAtSend, served, refused := 0, map[string]int{}, map[string]int{}
		run := func(route string, priority int) {
			now := time.Now()
			req := Request{Route: route, Priority: priority, Objective: now.Add(objective), Deadline: now.Add(2 * objective)}
			permit, refusal := s.Acquire(context.Background(), now, req)
			mu.Lock()
			defer mu.Unlock()
			if refusal != nil {
				refused[route]++
				require.GreaterOrEqual(t, refusal.(outcome.NotRun).RetryAfter, minRetryAfter)
				return
			}
			permit.MarkSent(time.Now())
			wait := limiter.Send(time.Now())
			if 0 < wait && wait < time.Microsecond { // the times of tokens are rounded
				time.Sleep(wait)
				wait = limiter.Send(time.Now())
			}
			if wait > 0 {
				refusedAtSend++
				permit.Done(time.Now(), Declined)
				return
			}
			sent = append(sent, time.Now())
			served[route]++
			mu.Unlock()
			time.Sleep(service)
			permit.Done(time.Now(), Served)
			mu.Lock()
		}
		var requests sync.WaitGroup
		offer := func(route string, priority, perSecond int, total time.Duration) {
			for end := time.Now().Add(total); time.Now().Before(end); time.Sleep(time.Second / time.Duration(perSecond)) {
				requests.Go(func() { run(route, priority) })
			}
		}
		offer("lookup", 2, 60, time.Second)
		requests.Wait()
		limiter.ObserveHeartbeat(time.Now(), time.Minute)
		s.SetPacedRate(time.Now(), perSecond, limiter.Wait(time.Now()))
		clear(served)
		coldFrom := time.Now()
		requests.Go(func() { offer("register", 1, 8, total) })
		requests.Go(func() { offer("lookup", 2, 60, total) })
		requests.Wait()
		t.Logf("served %v, refused %v", served, refused)
		require.Zero(t, refusedAtSend)
		for i := range sent {
			if i >= perSecond && sent[i].After(coldFrom) {
				require.GreaterOrEqual(t, sent[i].Sub(sent[i-perSecond]), time.Second)
			}
		}
		require.GreaterOrEqual(t, float64(served["register"]+served["lookup"]), 0.9*perSecond*total.Seconds())
		require.GreaterOrEqual(t, float64(served["register"]), 0.9*8*total.Seconds(), "of the urgent requests")
	})
}

// TestRejectedRequestFindsNoRoom guards against a rejection that tells a time at which a cold target has no room for
// the request.
func TestRejectedRequestFindsNoRoom(t *testing.T) {
	const objective = 400 * time.Millisecond
	for _, row := range []struct {
		name  string
		rate  float64
		delay time.Duration
	}{
		{"the limit has begun", 17, 0},
		{"requests from before the limit fill the second", 17, time.Second},
		{"low limit", 2, 700 * time.Millisecond},
	} {
		t.Run(row.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := New(12)
				s.SetPacedRate(time.Now(), row.rate, row.delay)
				var requests sync.WaitGroup
				acquire := func() outcome.Result {
					now := time.Now()
					permit, refusal := s.Acquire(context.Background(), now, Request{Route: "lookup", Objective: now.Add(objective), Deadline: now.Add(2 * objective)})
					if refusal == nil {
						permit.Done(time.Now(), Served)
					}
					return refusal
				}
				results := make(chan outcome.Result, 30)
				for range cap(results) {
					requests.Go(func() { results <- acquire() })
				}
				synctest.Wait()
				var refusal outcome.NotRun
				select {
				case res := <-results:
					refusal, _ = res.(outcome.NotRun)
				default:
				}
				for refusal.Reason == "" {
					refusal, _ = (<-results).(outcome.NotRun)
				}
				require.Equal(t, outcome.Overloaded, refusal.Reason)
				time.Sleep(refusal.RetryAfter)
				require.Nil(t, acquire())
				requests.Wait()
			})
		})
	}
}
