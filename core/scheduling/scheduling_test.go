package scheduling

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"siskinknot/core/outcome"
)

// at returns a time of the tests.
func at(ms int) time.Time { return time.Unix(100, 0).Add(time.Duration(ms) * time.Millisecond) }

// request returns a request that comes at now with a wide deadline.
func request(route string, priority int, now, objective int) Request {
	return Request{Route: route, Priority: priority, Objective: at(now + objective), Deadline: at(now + 10*objective)}
}

// busy returns a Scheduler all of whose slots are taken, with a known target time.
func busy(t *testing.T, slots int, service time.Duration) (*Scheduler, []*Permit) {
	t.Helper()
	s := New(slots)
	s.service["lookup"], s.service["register"], s.mean = service, service, service
	permits := make([]*Permit, 0, slots)
	for range slots {
		p, refusal := s.Acquire(context.Background(), at(0), request("lookup", 2, 0, 400))
		require.Nil(t, refusal)
		permits = append(permits, p)
	}
	return s, permits
}

// TestRefusesWhatWouldBeLate fills the queue: what cannot end in time is refused
// at once, and told when there is room.
func TestRefusesWhatWouldBeLate(t *testing.T) {
	s, _ := busy(t, 2, 100*time.Millisecond)
	queued := 0
	for {
		w, refusal := s.enter(at(0), request("lookup", 2, 0, 400))
		if refusal != nil {
			notRun, ok := refusal.(outcome.NotRun)
			require.True(t, ok)
			require.Equal(t, outcome.Overloaded, notRun.Reason)
			require.GreaterOrEqual(t, notRun.RetryAfter, leastRetryAfter)
			require.Less(t, notRun.RetryAfter, time.Second)
			break
		}
		require.False(t, w.late)
		queued++
		require.Less(t, queued, 100)
	}
	// Two slots do 2 x 300 ms of work until a request of 100 ms has to begin.
	require.InDelta(t, 6, queued, 2)
}

// TestOrder lets slots become free one by one and checks who gets them.
func TestOrder(t *testing.T) {
	for _, row := range []struct {
		name     string
		requests []Request
		freed    int
		routes   []string
	}{
		{"higher rank first", []Request{request("lookup", 2, 0, 900), request("register", 1, 0, 900)}, 10, []string{"register", "lookup"}},
		{"in turn within a rank", []Request{request("lookup", 2, 0, 900), request("register", 2, 0, 900)}, 10, []string{"lookup", "register"}},
		{"too late goes last", []Request{request("lookup", 1, 0, 250), request("register", 2, 0, 900)}, 200, []string{"register", "lookup"}},
	} {
		t.Run(row.name, func(t *testing.T) {
			s, permits := busy(t, 1, 100*time.Millisecond)
			var waiting []*waiter
			for _, r := range row.requests {
				w, refusal := s.enter(at(0), r)
				require.Nil(t, refusal)
				waiting = append(waiting, w)
			}
			var got []string
			permit := permits[0]
			for range row.requests {
				permit.Done(at(row.freed), Unused)
				for i, w := range waiting {
					if w != nil && len(w.done) > 0 && <-w.done == nil {
						got = append(got, w.Route)
						permit = &Permit{scheduler: s, req: w.Request, started: at(row.freed)}
						waiting[i] = nil
						break
					}
				}
			}
			require.Equal(t, row.routes, got)
		})
	}
}

// TestLowerRankIsNotStarved keeps a higher rank waiting all the time.
func TestLowerRankIsNotStarved(t *testing.T) {
	s, permits := busy(t, 1, 10*time.Millisecond)
	permit, low, served := permits[0], 0, map[string]int{}
	var waiting []*waiter
	add := func(route string, priority, now int) {
		w, refusal := s.enter(at(now), request(route, priority, now, 5000))
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
				permit = &Permit{scheduler: s, req: w.Request, started: at(now)}
				waiting = append(waiting[:i], waiting[i+1:]...)
				break
			}
		}
	}
	require.GreaterOrEqual(t, served["lookup"], 15)
	require.GreaterOrEqual(t, served["register"], 70)
}

// TestCallerLeaves takes a waiting request out of the queue.
func TestCallerLeaves(t *testing.T) {
	s, _ := busy(t, 1, 10*time.Millisecond)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, refusal := s.Acquire(ctx, at(0), request("lookup", 1, 0, 5000))
	require.Equal(t, outcome.NotRun{Reason: outcome.Cancelled}, refusal)
	require.Zero(t, s.Load().Queued)
}

// TestShedding checks that a target which refuses gets less, but never less than
// 60% of its slots, and more again.
func TestShedding(t *testing.T) {
	s, permits := busy(t, 10, 10*time.Millisecond)
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
