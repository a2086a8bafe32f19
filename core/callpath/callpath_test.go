package callpath

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// at returns the time ms milliseconds after the start of a test.
func at(ms int) time.Time { return time.Unix(100, 0).Add(time.Duration(ms) * time.Millisecond) }

// view is the route of most tests.
const view = "view"

// share returns the share of the requests of the route view that a admits at present.
func share(a *Admission, now time.Time) float64 {
	for _, r := range a.Report(now) {
		if r.Route == view {
			return r.Share
		}
	}
	return 1
}

// load is a simulated load: a request every interval milliseconds, whose run makes calls.
type load struct {
	interval, calls int
	// fails reports whether the call with the given number, which ends at ms, fails, with
	// failure as its result.
	fails   func(ms, n int) bool
	failure Result
}

// result counts the requests of a simulation.
type result struct{ admitted, rejected, lost, served int }

// run simulates the load on the route view from the time from until to. A run lasts 200 ms.
func (l load) run(a *Admission, from, to int) result {
	type end struct{ ms, startedAt int }
	var res result
	var ends []end
	n := 0
	for ms := from; ms < to; ms++ {
		for len(ends) > 0 && ends[0].ms == ms {
			ran, made := true, 0
			for range l.calls {
				n++
				made++
				if ran = !l.fails(ms, n); !ran {
					a.CallEnded(at(ms), view, at(ends[0].startedAt), l.failure)
					break
				}
				a.CallEnded(at(ms), view, at(ends[0].startedAt), Succeeded)
			}
			if ran {
				a.RunEnded(at(ms), view, made)
				res.served++
			} else {
				res.lost++
			}
			ends = ends[1:]
		}
		if (ms-from)%l.interval != 0 {
			continue
		}
		if _, admitted := a.Admit(at(ms), view); admitted {
			res.admitted++
			ends = append(ends, end{ms: ms + 200, startedAt: ms})
		} else {
			res.rejected++
		}
	}
	return res
}

// TestAdmittedShare checks the admitted share after a load of 10 s, and guards against
// limits on routes whose calls are served, and against requests that keep losing their
// work while all of them are admitted.
func TestAdmittedShare(t *testing.T) {
	every := func(n int) func(int, int) bool {
		return func(_, i int) bool { return i%n == 0 }
	}
	for _, row := range []struct {
		name     string
		load     load
		min, max float64
	}{
		{"no calls", load{interval: 10, calls: 0}, 1, 1},
		{"all calls succeed", load{interval: 10, calls: 2, fails: every(1 << 30)}, 1, 1},
		{"one in a hundred fails", load{interval: 10, calls: 2, fails: every(100), failure: Rejected}, 1, 1},
		{"one failure on a quiet route", load{interval: 1000, calls: 1, fails: func(_, i int) bool { return i == 3 }, failure: Rejected}, 1, 1},
		{"one in thirty is rejected", load{interval: 10, calls: 2, fails: every(30), failure: Rejected}, 1, 1},
		{"one in ten is answered with an error", load{interval: 10, calls: 1, fails: every(10), failure: Erred}, 1, 1},
		{"half are answered with an error", load{interval: 10, calls: 1, fails: every(2), failure: Erred}, 1, 1},
		{"half are rejected", load{interval: 10, calls: 2, fails: every(2), failure: Rejected}, probingShare, 0.15},
		{"all are rejected", load{interval: 10, calls: 2, fails: every(1), failure: Rejected}, probingShare, 0.15},
		{"half are rejected of one for each run", load{interval: 10, calls: 1, fails: every(2), failure: Rejected}, 1, 1},
	} {
		t.Run(row.name, func(t *testing.T) {
			var a Admission
			row.load.run(&a, 0, 10_000)
			got := share(&a, at(10_000))
			require.GreaterOrEqual(t, got, row.min)
			require.LessOrEqual(t, got, row.max)
		})
	}
}

// TestWorkIsNotLostWhileCallsHaveNoCapacity simulates a called service with capacity for
// half of the requests, and guards against runs that lose their work for its whole length.
// The capacity returns after 20 s; the test also guards against a share that does not recover.
func TestWorkIsNotLostWhileCallsHaveNoCapacity(t *testing.T) {
	// 100 requests/s with 2 calls each; the service can run 100 calls/s.
	tokens, last := 0.0, 0
	limited := func(ms, _ int) bool {
		tokens = min(10, tokens+float64(ms-last)*0.1)
		last = ms
		if tokens < 1 {
			return true
		}
		tokens--
		return false
	}
	var a Admission
	l := load{interval: 10, calls: 2, fails: limited, failure: Rejected}
	l.run(&a, 0, 5_000)
	res := l.run(&a, 5_000, 20_000)
	t.Logf("5 to 20 s: %+v", res)
	require.Less(t, float64(res.lost), 0.15*float64(res.served+res.lost))
	require.Greater(t, res.served, 500, "of 750 requests that the called service has capacity for")
	l.fails = func(int, int) bool { return false }
	l.run(&a, 20_000, 35_000)
	require.InDelta(t, 1, share(&a, at(35_000)), 0)
}

// TestOtherRoutesAreNotLimited guards against rejecting requests of a route because the calls
// of another one fail.
func TestOtherRoutesAreNotLimited(t *testing.T) {
	var a Admission
	load{interval: 10, calls: 1, fails: func(int, int) bool { return true }, failure: Rejected}.run(&a, 0, 5_000)
	a.CallEnded(at(5_000), "list", at(4_900), Succeeded)
	for _, route := range []string{"list", "unknown"} {
		for range 100 {
			_, admitted := a.Admit(at(5_000), route)
			require.True(t, admitted, route)
		}
	}
}

// TestRunsFromBeforeDecreaseDoNotCount guards against decreasing the share several times
// because of calls of requests that were admitted before the first decrease.
func TestRunsFromBeforeDecreaseDoNotCount(t *testing.T) {
	var a Admission
	for i := range 1000 {
		a.CallEnded(at(i), view, at(-100), Rejected)
	}
	require.GreaterOrEqual(t, share(&a, at(1000)), minFactor)
}

// TestShareRecoversWithoutCalls guards against a route that stays limited because it has no
// requests whose calls could succeed.
func TestShareRecoversWithoutCalls(t *testing.T) {
	var a Admission
	load{interval: 10, calls: 1, fails: func(int, int) bool { return true }, failure: Rejected}.run(&a, 0, 5_000)
	require.Less(t, share(&a, at(5_000)), 0.2)
	require.InDelta(t, 1, share(&a, at(20_000)), 0)
}

// TestRoutesAreForgotten guards against memory that grows with each route that the
// configuration has ever had.
func TestRoutesAreForgotten(t *testing.T) {
	var a Admission
	for i := range 100 {
		a.CallEnded(at(i), fmt.Sprint(i), at(0), Succeeded)
	}
	a.Report(at(100).Add(forgetTime))
	a.CallEnded(at(0).Add(2*forgetTime), view, at(0).Add(2*forgetTime), Succeeded)
	a.Report(at(0).Add(2 * forgetTime))
	require.Len(t, a.routes, 1)
}

// TestShareIsBounded checks with random operations that the share stays between
// probingShare and 1, that its changes are at least stepInterval apart and no decrease is
// larger than minFactor allows, that the share of the requests that are admitted
// follows it, and that each rejection names a delay within its bounds.
func TestShareIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var a Admission
		now, previous, changedAt := at(0), 1.0, time.Time{}
		for range rapid.IntRange(1, 300).Draw(t, "operations") {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 2).Draw(t, "operation") {
			case 0:
				retryAfter, admitted := a.Admit(now, view)
				if !admitted {
					require.GreaterOrEqual(t, retryAfter, minRetryAfter)
					require.Less(t, retryAfter, maxRetryAfter*3/2)
				}
			case 1:
				started := now.Add(-time.Duration(rapid.IntRange(0, 500).Draw(t, "age")) * time.Millisecond)
				a.CallEnded(now, view, started, Result(rapid.IntRange(0, 2).Draw(t, "result")))
			default:
				a.RunEnded(now, view, rapid.IntRange(0, 3).Draw(t, "calls"))
			}
			got := share(&a, now)
			require.GreaterOrEqual(t, got, probingShare)
			require.LessOrEqual(t, got, 1.0)
			if got == previous {
				continue
			}
			require.GreaterOrEqual(t, got, previous*minFactor-1e-9)
			require.GreaterOrEqual(t, now.Sub(changedAt), stepInterval)
			previous, changedAt = got, now
		}
		admitted := 0
		for range 1000 { // at one time, so that the share does not change
			if _, ok := a.Admit(now, view); ok {
				admitted++
			}
		}
		require.InDelta(t, previous*1000, admitted, 2)
	})
}

func BenchmarkAdmit(b *testing.B) {
	for _, row := range []struct {
		name    string
		failing bool
	}{{"not limited", false}, {"limited", true}} {
		b.Run(row.name, func(b *testing.B) {
			var a Admission
			for i := range 100 {
				a.CallEnded(at(i), view, at(i), map[bool]Result{true: Rejected, false: Succeeded}[row.failing])
			}
			b.ReportAllocs()
			for b.Loop() {
				a.Admit(at(100), view)
			}
		})
	}
}
