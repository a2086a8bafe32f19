package scheduling

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"siskinknot/core/outcome"
)

// at returns the time ms milliseconds after the start of a test.
func at(ms int) time.Time { return time.Unix(100, 0).Add(time.Duration(ms) * time.Millisecond) }

// request returns a request that arrives at now, in milliseconds. Its objective is
// objective milliseconds later, and its deadline ten times as far away.
func request(route string, priority int, now, objective int) Request {
	return Request{Route: route, Priority: priority, Objective: at(now + objective), Deadline: at(now + 10*objective)}
}

// newBusyScheduler returns a Scheduler whose slots are all in use, with the permits
// for them. The service time of the routes lookup and register is set to service.
func newBusyScheduler(t *testing.T, slots int, service time.Duration) (*Scheduler, []*Permit) {
	t.Helper()
	s := New(slots)
	s.serviceTimes["lookup"], s.serviceTimes["register"], s.meanServiceTime = service, service, service
	permits := make([]*Permit, 0, slots)
	for range slots {
		p, refusal := s.Acquire(context.Background(), at(0), request("lookup", 2, 0, 400))
		require.Nil(t, refusal)
		permits = append(permits, p)
	}
	return s, permits
}

// TestRefusesWhatWouldBeLate fills the queue and checks that the first request that
// cannot meet its objective is refused at once with a delay before its retry.
func TestRefusesWhatWouldBeLate(t *testing.T) {
	s, _ := newBusyScheduler(t, 2, 100*time.Millisecond)
	queued := 0
	for {
		w, refusal := s.tryAdmit(at(0), request("lookup", 2, 0, 400))
		if refusal != nil {
			notRun, ok := refusal.(outcome.NotRun)
			require.True(t, ok)
			require.Equal(t, outcome.Overloaded, notRun.Reason)
			require.GreaterOrEqual(t, notRun.RetryAfter, minRetryAfter)
			require.Less(t, notRun.RetryAfter, time.Second)
			break
		}
		require.False(t, w.late)
		queued++
		require.Less(t, queued, 100)
	}
	// A request of 100 ms with an objective of 400 ms has to start after 300 ms.
	// Until then two slots provide 2 x 300 ms of service time.
	require.InDelta(t, 6, queued, 2)
}

// TestOrder releases the slot once for each waiting request and checks the order in
// which the requests get it.
func TestOrder(t *testing.T) {
	for _, row := range []struct {
		name       string
		requests   []Request
		releasedAt int      // when the slot is released, in milliseconds
		routes     []string // the routes of the requests in the order in which they run
	}{
		{"higher priority first", []Request{request("lookup", 2, 0, 900), request("register", 1, 0, 900)}, 10, []string{"register", "lookup"}},
		{"order of arrival within a priority", []Request{request("lookup", 2, 0, 900), request("register", 2, 0, 900)}, 10, []string{"lookup", "register"}},
		{"late request last", []Request{request("lookup", 1, 0, 250), request("register", 2, 0, 900)}, 200, []string{"register", "lookup"}},
	} {
		t.Run(row.name, func(t *testing.T) {
			s, permits := newBusyScheduler(t, 1, 100*time.Millisecond)
			var waiting []*waiter
			for _, r := range row.requests {
				w, refusal := s.tryAdmit(at(0), r)
				require.Nil(t, refusal)
				waiting = append(waiting, w)
			}
			var got []string
			permit := permits[0]
			for range row.requests {
				permit.Done(at(row.releasedAt), Unused)
				for i, w := range waiting {
					if w != nil && len(w.done) > 0 && <-w.done == nil {
						got = append(got, w.Route)
						permit = &Permit{scheduler: s, req: w.Request, sentAt: at(row.releasedAt)}
						waiting[i] = nil
						break
					}
				}
			}
			require.Equal(t, row.routes, got)
		})
	}
}

// TestLowerPriorityIsNotStarved checks that a lower priority gets its share of
// the slot although requests with a higher priority are always waiting.
func TestLowerPriorityIsNotStarved(t *testing.T) {
	s, permits := newBusyScheduler(t, 1, 10*time.Millisecond)
	permit, low, served := permits[0], 0, map[string]int{}
	var waiting []*waiter
	add := func(route string, priority, now int) {
		w, refusal := s.tryAdmit(at(now), request(route, priority, now, 5000))
		require.Nil(t, refusal)
		waiting = append(waiting, w)
	}
	for now := 0; now < 1000; now += 10 {
		add("register", 1, now)
		if low == 0 || served["lookup"] == low {
			add("lookup", 2, now)
			low++
		}
		permit.Done(at(now), Served)
		for i, w := range waiting {
			if len(w.done) > 0 {
				require.Nil(t, <-w.done)
				served[w.Route]++
				permit = &Permit{scheduler: s, req: w.Request, sentAt: at(now)}
				waiting = append(waiting[:i], waiting[i+1:]...)
				break
			}
		}
	}
	require.GreaterOrEqual(t, served["lookup"], 15)
	require.GreaterOrEqual(t, served["register"], 70)
}

// TestCallerLeaves checks that a request whose caller cancels it while it waits is
// removed from the queue.
func TestCallerLeaves(t *testing.T) {
	s, _ := newBusyScheduler(t, 1, 10*time.Millisecond)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, refusal := s.Acquire(ctx, at(0), request("lookup", 1, 0, 5000))
	require.Equal(t, outcome.NotRun{Reason: outcome.Cancelled}, refusal)
	require.Zero(t, s.Load().Queued)
}

// TestShedding checks that the concurrency limit shrinks while the target sheds, but
// to no less than 60% of the slots, and that it grows again as requests succeed.
func TestShedding(t *testing.T) {
	s, permits := newBusyScheduler(t, 10, 10*time.Millisecond)
	for _, p := range permits {
		p.Done(at(1), Shed)
	}
	shed := s.Load().Limit
	require.Equal(t, 6, shed)
	for range 40 {
		p, refusal := s.Acquire(context.Background(), at(2), request("lookup", 1, 2, 100))
		require.Nil(t, refusal)
		p.Done(at(3), Served)
	}
	require.Greater(t, s.Load().Limit, shed)
}
