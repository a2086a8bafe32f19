package scheduling

import (
	"container/heap"
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"siskinknot/core/outcome"
)

// target simulates a target and its Scheduler in steps of a millisecond.
type target struct {
	s       *Scheduler
	running runHeap
	waiting []*simulated
}

// simulated is a request in a simulation. It takes service milliseconds, and calls ended with the
// time and the result when it has ended or is refused.
type simulated struct {
	Request
	service int
	ended   func(now int, served bool)
	w       *waiter
	giveUp  time.Time
	endsAt  int
}

// runHeap holds the running requests, the one that ends first on top.
type runHeap []*simulated

func (h runHeap) Len() int           { return len(h) }
func (h runHeap) Less(i, j int) bool { return h[i].endsAt < h[j].endsAt }
func (h runHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *runHeap) Push(x any)        { *h = append(*h, x.(*simulated)) }

func (h *runHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// newTarget returns a target with the given number of slots.
func newTarget(slots int) *target { return &target{s: New(slots)} }

// offer offers a request to the target.
func (tg *target) offer(now int, r *simulated) {
	w, refusal := tg.s.tryAdmit(at(now), r.Request)
	switch {
	case refusal != nil:
		r.ended(now, false)
	case w == nil:
		tg.start(now, r)
	default:
		r.w, r.giveUp = w, at(now).Add(w.maxWait)
		tg.waiting = append(tg.waiting, r)
	}
}

// start starts a request that has a slot.
func (tg *target) start(now int, r *simulated) {
	r.endsAt = now + r.service
	heap.Push(&tg.running, r)
}

// advance ends the requests that are complete at now, and starts or refuses waiting ones.
func (tg *target) advance(now int) {
	for len(tg.running) > 0 && tg.running[0].endsAt <= now {
		r := heap.Pop(&tg.running).(*simulated)
		permit := &Permit{scheduler: tg.s, req: r.Request, sentAt: at(r.endsAt - r.service)}
		permit.Done(at(now), Served)
		r.ended(now, true)
	}
	waiting := tg.waiting
	tg.waiting = nil
	for _, r := range waiting {
		if len(r.w.done) == 0 && !r.giveUp.After(at(now)) {
			_, _ = tg.s.abandon(r.w, at(now), outcome.NotRun{Reason: outcome.Overloaded})
			r.ended(now, false)
			continue
		}
		select {
		case refusal := <-r.w.done:
			if refusal != nil {
				r.ended(now, false)
				continue
			}
			tg.start(now, r)
		default:
			tg.waiting = append(tg.waiting, r)
		}
	}
}

// counts are the results of the requests of one kind.
type counts struct{ served, failed int }

// add counts one request.
func (c *counts) add(served bool) {
	if served {
		c.served++
	} else {
		c.failed++
	}
}

// failedShare returns the share of the requests that failed.
func (c *counts) failedShare() float64 { return float64(c.failed) / float64(max(1, c.served+c.failed)) }

// busyService simulates a target that gets calls of urgent requests, and other requests, which
// take 120 to 540 ms, at 1.6 times the rate that it can serve.
type busyService struct {
	target *target
	// call returns the request for a call at now, whose parent has the priority 0 and ends by the
	// given deadline. others is the priority of the other requests.
	call   func(now int, parentDeadline time.Time) Request
	others int
	// timers holds functions by the time at which they run.
	timers map[int][]func(now int)
	// parents, calls and other count the urgent requests, their calls, and the other requests.
	parents, calls, other counts
}

// work runs the parent from now on for the 60 ms before its next call, if n calls are left
// to make, and ends it otherwise.
func (b *busyService) work(now int, parentDeadline time.Time, n int) {
	if n == 0 {
		b.parents.add(true)
		return
	}
	b.timers[now+60] = append(b.timers[now+60], func(now int) {
		b.target.offer(now, &simulated{Request: b.call(now, parentDeadline), service: 35, ended: func(now int, served bool) {
			b.calls.add(served)
			if !served {
				b.parents.add(false) // all of its work is lost
				return
			}
			b.work(now, parentDeadline, n-1)
		}})
	})
}

// run simulates 30 s with 20 urgent requests a second of two calls each, and 40 other requests.
func (b *busyService) run() {
	b.target, b.timers = newTarget(8), map[int][]func(int){}
	b.target.s.serviceTimes["lookup"] = 35 * time.Millisecond // measured before the overload
	for now := range 30_000 {
		b.target.advance(now)
		for _, f := range b.timers[now] {
			f(now)
		}
		delete(b.timers, now)
		if now%50 == 0 {
			b.work(now, at(now+1000), 2)
		}
		if now%25 == 0 { // 8 slots serve 24 requests of 330 ms a second
			other := Request{Route: "list", Priority: b.others, Objective: at(now + 900), Deadline: at(now + 2000)}
			b.target.offer(now, &simulated{Request: other, service: 120 + now/25*97%421, ended: func(_ int, served bool) { b.other.add(served) }})
		}
	}
}

// callOf returns the request for a call of a parent with the given priority.
func callOf(priority, now int, parentDeadline time.Time) Request {
	deadline := at(now + 400)
	if parentDeadline.Before(deadline) {
		deadline = parentDeadline
	}
	return Request{Route: "lookup", Priority: priority, Objective: deadline, Deadline: deadline, Call: true}
}

// TestUrgentWorkIsLostAtBusyService guards against refusing the calls of urgent requests at a
// target that is overloaded by other requests, which loses the work done for them. The rows without
// Call show what such a load costs if calls are queued like any request.
func TestUrgentWorkIsLostAtBusyService(t *testing.T) {
	for _, row := range []struct {
		name             string
		call             func(now int, parentDeadline time.Time) Request
		others           int
		minLost, maxLost float64
	}{
		{"calls are not recognized", func(now int, _ time.Time) Request {
			return Request{Route: "lookup", Priority: 3, Objective: at(now + 150), Deadline: at(now + 400)}
		}, 2, 0.3, 1},
		{"calls with the priority of the parent only", func(now int, d time.Time) Request {
			req := callOf(0, now, d)
			req.Call, req.Objective = false, at(now+150)
			return req
		}, 0, 0.3, 1},
		{"calls, less urgent requests", func(now int, d time.Time) Request { return callOf(0, now, d) }, 2, 0, 0.02},
		{"calls, requests as urgent", func(now int, d time.Time) Request { return callOf(0, now, d) }, 0, 0, 0.02},
	} {
		t.Run(row.name, func(t *testing.T) {
			b := &busyService{call: row.call, others: row.others}
			b.run()
			t.Logf("parents %+v, calls %+v, other %+v", b.parents, b.calls, b.other)
			require.GreaterOrEqual(t, b.parents.failedShare(), row.minLost)
			require.LessOrEqual(t, b.parents.failedShare(), row.maxLost)
			require.Greater(t, b.other.served, 300)
		})
	}
}

// TestFloodDoesNotStarve guards against calls that keep other requests from running, and against
// other requests that keep calls from running. Each row offers more than the target can run.
func TestFloodDoesNotStarve(t *testing.T) {
	const seconds = 20
	for _, row := range []struct {
		name string
		// calls are offered at callPriority, and others at otherPriority, each every so many
		// milliseconds.
		callPriority, callEvery, otherPriority, otherEvery int
		// minCalls and minOthers are the minimum shares of the target's time.
		minCalls, minOthers float64
	}{
		{"flood of calls, other requests of the same level", 1, 2, 1, 50, 0.6, 0.15},
		{"flood of calls, requests of a lower level", 1, 2, 2, 50, 0.6, 0.15},
		{"flood of other requests, calls of the same level", 1, 35, 1, 10, 0.2, 0.5},
		{"flood of other requests, calls of a lower level", 2, 20, 1, 10, 0.15, 0.5},
		{"flood of both, calls of a lower level", 2, 2, 1, 10, 0.15, 0.5},
	} {
		t.Run(row.name, func(t *testing.T) {
			tg := newTarget(4)
			used := map[string]int{}
			var calls, others counts
			for now := range seconds * 1000 {
				tg.advance(now)
				if now%row.callEvery == 0 {
					tg.offer(now, &simulated{Request: callOf(row.callPriority, now, at(now+5000)), service: 35, ended: func(_ int, served bool) {
						calls.add(served)
						if served {
							used["calls"] += 35
						}
					}})
				}
				if now%row.otherEvery == 0 {
					req := Request{Route: "list", Priority: row.otherPriority, Objective: at(now + 1500), Deadline: at(now + 3000)}
					tg.offer(now, &simulated{Request: req, service: 200, ended: func(_ int, served bool) {
						others.add(served)
						if served {
							used["others"] += 200
						}
					}})
				}
			}
			total := float64(4 * 1000 * seconds)
			t.Logf("calls %+v, others %+v, share of time %.2f and %.2f", calls, others, float64(used["calls"])/total, float64(used["others"])/total)
			require.GreaterOrEqual(t, float64(used["calls"])/total, row.minCalls)
			require.GreaterOrEqual(t, float64(used["others"])/total, row.minOthers)
		})
	}
}

// TestCallIsRefusedOnlyAtItsDeadline guards against refusing a call because of its objective, and
// against queueing one that cannot end in time.
func TestCallIsRefusedOnlyAtItsDeadline(t *testing.T) {
	for _, row := range []struct {
		name               string
		objective, timeout int
		queued             bool
	}{
		{"past its objective", -10, 400, true},
		{"ends just in time", 250, 250, true},
		{"cannot end in time", 150, 150, false},
	} {
		t.Run(row.name, func(t *testing.T) {
			s, permits := newBusyScheduler(t, 1, 100*time.Millisecond)
			w, refusal := s.tryAdmit(at(0), Request{Route: "lookup", Priority: 1, Objective: at(row.objective), Deadline: at(row.timeout), Call: true})
			require.Equal(t, row.queued, refusal == nil)
			if !row.queued {
				require.Positive(t, refusal.(outcome.NotRun).RetryAfter)
				return
			}
			require.False(t, w.late)
			require.Equal(t, time.Duration(row.timeout-100)*time.Millisecond, w.maxWait)
			permits[0].Done(at(row.timeout-100), Unused)
			require.Len(t, w.done, 1)
			require.Nil(t, <-w.done)
		})
	}
}

// TestWaitingCallIsRefusedWhenItCannotEnd guards against sending a call to the target that has
// no time left to end there.
func TestWaitingCallIsRefusedWhenItCannotEnd(t *testing.T) {
	s, permits := newBusyScheduler(t, 1, 100*time.Millisecond)
	w, refusal := s.tryAdmit(at(0), Request{Route: "lookup", Objective: at(300), Deadline: at(300), Call: true})
	require.Nil(t, refusal)
	permits[0].Done(at(201), Unused)
	require.NotNil(t, <-w.done)
	require.Zero(t, s.Load().Queued)
}

// TestCallsOfUnknownRouteAreMeasured guards against refusing all calls of a route because no call
// of it has been measured.
func TestCallsOfUnknownRouteAreMeasured(t *testing.T) {
	s, _ := newBusyScheduler(t, 2, 500*time.Millisecond)
	_, refusal := s.tryAdmit(at(0), Request{Route: "unknown", Objective: at(400), Deadline: at(400), Call: true})
	require.Nil(t, refusal)
}

// TestCallAbandoned checks that a call whose caller leaves while it waits is removed from the queue.
func TestCallAbandoned(t *testing.T) {
	s, _ := newBusyScheduler(t, 1, 10*time.Millisecond)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, refusal := s.Acquire(ctx, at(0), Request{Route: "lookup", Objective: at(5000), Deadline: at(5000), Call: true})
	require.Equal(t, outcome.NotRun{Reason: outcome.Cancelled}, refusal)
	require.Zero(t, s.Load().Queued)
}

// TestFloodOfCallsAtRateLimit guards against calls that take all of the rate which a target in
// need accepts, and against refusing calls that the rate suffices for.
func TestFloodOfCallsAtRateLimit(t *testing.T) {
	for _, row := range []struct {
		name                  string
		perSecond             float64
		callsEvery            time.Duration
		minCalls, minRequests int
	}{
		{"few calls", 20, 100 * time.Millisecond, 199, 150},
		{"more calls than the rate", 20, 25 * time.Millisecond, 200, 25},
		{"low rate", 5, 25 * time.Millisecond, 50, 5},
	} {
		t.Run(row.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const total = 20 * time.Second
				s := New(12)
				s.SetRate(time.Now(), row.perSecond)
				var served [2]atomic.Int64
				var loads sync.WaitGroup
				for kind, every := range []time.Duration{row.callsEvery, 50 * time.Millisecond} {
					loads.Go(func() {
						for end := time.Now().Add(total); time.Now().Before(end); time.Sleep(every) {
							loads.Go(func() {
								now := time.Now()
								req := Request{Route: "list", Priority: 1, Objective: now.Add(500 * time.Millisecond), Deadline: now.Add(time.Second)}
								service := 100 * time.Millisecond
								if kind == 0 {
									req, service = Request{Route: "lookup", Priority: 1, Objective: req.Deadline, Deadline: req.Deadline, Call: true}, 35*time.Millisecond
								}
								permit, refusal := s.Acquire(context.Background(), now, req)
								if refusal != nil {
									return
								}
								permit.MarkSent(time.Now())
								time.Sleep(service)
								permit.Done(time.Now(), Served)
								served[kind].Add(1)
							})
						}
					})
				}
				loads.Wait()
				t.Logf("calls %d, others %d", served[0].Load(), served[1].Load())
				require.GreaterOrEqual(t, served[0].Load(), int64(row.minCalls))
				require.GreaterOrEqual(t, served[1].Load(), int64(row.minRequests))
			})
		})
	}
}
