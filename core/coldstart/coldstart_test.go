package coldstart

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// at returns the time ms milliseconds after the creation of the limiter of a test.
func at(ms int) time.Time { return time.Unix(1000, 0).Add(time.Duration(ms) * time.Millisecond) }

// sentRequest is a request that a limiter allowed.
type sentRequest struct {
	at time.Time
	// cold is set if the target was known to be cold, and limit the rate at that time.
	cold  bool
	limit int
}

// TestColdTargetGetsTooManyRequests guards against more requests in any second than a cold target sustains, whatever
// the order of reports, restarts, changes of the configuration and requests that do not arrive.
func TestColdTargetGetsTooManyRequests(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := at(0)
		l := New(now)
		l.Configure(rapid.Float64Range(0, 30).Draw(t, "rate"), 5*time.Second)
		var sent []sentRequest
		millis := func(name string, most int) time.Duration {
			return time.Duration(rapid.IntRange(0, most).Draw(t, name)) * time.Millisecond
		}
		events := map[string]func(*rapid.T){
			"start":      func(*rapid.T) { l.ObserveStart(now) },
			"assume":     func(*rapid.T) { l.Assume(now, EvacuationEnd) },
			"heartbeat":  func(*rapid.T) { l.ObserveHeartbeat(now, millis("left", 3000)) },
			"health":     func(*rapid.T) { l.ObserveHealthCheck(now.Add(-millis("took", 300)), millis("left", 3000)) },
			"configure":  func(t *rapid.T) { l.Configure(rapid.Float64Range(0, 30).Draw(t, "rate"), millis("time", 9000)) },
			"wait":       func(*rapid.T) { now = now.Add(millis("gap", 400)) },
			"wait short": func(*rapid.T) { now = now.Add(millis("gap", 30)) },
			"forget": func(t *rapid.T) {
				if len(sent) == 0 {
					return
				}
				i := rapid.IntRange(0, len(sent)-1).Draw(t, "request")
				l.Forget(sent[i].at)
				sent = append(sent[:i], sent[i+1:]...)
			},
			"send": func(t *rapid.T) {
				for range rapid.IntRange(1, 40).Draw(t, "requests") {
					state, expected := l.State(now), l.Wait(now)
					wait := l.Send(now)
					require.Equal(t, expected, wait)
					if wait == 0 {
						sent = append(sent, sentRequest{now, state.Cold, int(state.Rate)})
					}
				}
			},
			"": func(t *rapid.T) {
				last := len(sent) - 1
				if last < 0 || !sent[last].cold {
					return
				}
				require.GreaterOrEqual(t, sent[last].at.Sub(at(0)), windowLength, "requests of a former daemon are not known")
				within := 0
				for _, s := range sent {
					if sent[last].at.Sub(s.at) < windowLength {
						within++
					}
				}
				require.LessOrEqual(t, within, sent[last].limit)
			},
		}
		t.Repeat(events)
	})
}

// TestRoomIsNamedTooEarlyOrTooLate guards against a rejection that names a time at which there is no room, or a later
// one than the first at which there is.
func TestRoomIsNamedTooEarlyOrTooLate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := at(0)
		l := New(now)
		l.Configure(float64(rapid.IntRange(1, 20).Draw(t, "rate")), MaxColdTime)
		for range rapid.IntRange(0, 60).Draw(t, "before") {
			now = now.Add(time.Duration(rapid.IntRange(0, 50).Draw(t, "gap")) * time.Millisecond)
			require.Zero(t, l.Send(now), "the target is not known to be cold")
		}
		l.ObserveHeartbeat(now, 30*time.Second)
		for range 100 {
			wait := l.Send(now)
			if wait > 0 {
				require.Positive(t, l.Send(now.Add(wait-time.Nanosecond)))
				require.Zero(t, l.Send(now.Add(wait)))
				now = now.Add(wait)
			}
			now = now.Add(time.Duration(rapid.IntRange(0, 50).Draw(t, "gap")) * time.Millisecond)
		}
	})
}

// TestStateFollowsReports checks which of several reports and events determine the cold state.
func TestStateFollowsReports(t *testing.T) {
	const coldTime = 20 * time.Second
	for _, row := range []struct {
		name   string
		events func(l *Limiter)
		want   State // at 5 s
	}{
		{"nothing known", func(*Limiter) {}, State{}},
		{"new process", func(l *Limiter) { l.ObserveStart(at(4000)) }, State{Cold: true, Left: 19 * time.Second, Source: Started, Assumed: true}},
		{"new process that is warm", func(l *Limiter) {
			l.ObserveStart(at(4000))
			l.ObserveHeartbeat(at(4000), 0)
		}, State{}},
		{"new process says less", func(l *Limiter) {
			l.ObserveStart(at(4000))
			l.ObserveHeartbeat(at(4000), 3*time.Second)
		}, State{Cold: true, Left: 2 * time.Second, Source: Heartbeat}},
		{"becomes cold while serving", func(l *Limiter) {
			l.ObserveHeartbeat(at(3000), 0)
			l.ObserveHeartbeat(at(4000), 8*time.Second)
		}, State{Cold: true, Left: 7 * time.Second, Source: Heartbeat}},
		{"later heartbeat ends it", func(l *Limiter) {
			l.ObserveHeartbeat(at(3000), 8*time.Second)
			l.ObserveHeartbeat(at(3100), 0)
		}, State{}},
		{"time is over", func(l *Limiter) { l.ObserveHeartbeat(at(3000), 2*time.Second) }, State{}},
		{"absurd time", func(l *Limiter) { l.ObserveHeartbeat(at(5000), time.Hour) }, State{Cold: true, Left: MaxColdTime, Source: Heartbeat}},
		{"negative time", func(l *Limiter) { l.ObserveHeartbeat(at(5000), -time.Hour) }, State{}},
		{"evacuation ends, heartbeat may be older", func(l *Limiter) {
			l.Assume(at(4000), EvacuationEnd)
			l.ObserveHeartbeat(at(4900), 0)
		}, State{Cold: true, Left: 19 * time.Second, Source: EvacuationEnd, Assumed: true}},
		{"evacuation ends, heartbeat says more", func(l *Limiter) {
			l.Assume(at(4000), EvacuationEnd)
			l.ObserveHeartbeat(at(4900), 30*time.Second)
		}, State{Cold: true, Left: 29900 * time.Millisecond, Source: Heartbeat}},
		{"evacuation ends, heartbeat is newer", func(l *Limiter) {
			l.Assume(at(1000), EvacuationEnd)
			l.ObserveHeartbeat(at(3000), 0)
		}, State{}},
		{"evacuation ends after a longer report", func(l *Limiter) {
			l.ObserveHeartbeat(at(4000), 50*time.Second)
			l.Assume(at(4500), EvacuationEnd)
			l.ObserveHeartbeat(at(4900), 0)
		}, State{Cold: true, Left: 49 * time.Second, Source: EvacuationEnd, Assumed: true}},
		{"evacuation ends, health check sent before", func(l *Limiter) {
			l.Assume(at(4000), EvacuationEnd)
			l.ObserveHealthCheck(at(3999), 0)
		}, State{Cold: true, Left: 19 * time.Second, Source: EvacuationEnd, Assumed: true}},
		{"evacuation ends, health check sent after", func(l *Limiter) {
			l.Assume(at(4000), EvacuationEnd)
			l.ObserveHealthCheck(at(4001), 0)
		}, State{}},
		{"health check says less", func(l *Limiter) {
			l.Assume(at(4000), Returned)
			l.ObserveHealthCheck(at(4500), time.Second)
		}, State{Cold: true, Left: 500 * time.Millisecond, Source: HealthCheck}},
		{"next process after an assumption", func(l *Limiter) {
			l.Assume(at(4000), EvacuationEnd)
			l.ObserveStart(at(4200))
			l.ObserveHeartbeat(at(4200), 0)
		}, State{}},
	} {
		t.Run(row.name, func(t *testing.T) {
			l := New(at(0))
			l.Configure(17, coldTime)
			row.events(l)
			if row.want.Cold {
				row.want.Rate = 17
			}
			require.Equal(t, row.want, l.State(at(5000)))
		})
	}
}

// TestNothingIsLimitedWithoutARate guards against an effect on deployments that configure no rate.
func TestNothingIsLimitedWithoutARate(t *testing.T) {
	for _, rate := range []float64{0, -1, math.NaN(), math.Inf(-1)} {
		l := New(at(0))
		l.Configure(rate, 20*time.Second)
		l.ObserveStart(at(0))
		l.Assume(at(1), EvacuationEnd)
		for range 1000 {
			require.Zero(t, l.Send(at(2)))
		}
		due, next := l.CheckDue(at(3))
		require.False(t, due)
		require.Zero(t, next)
		require.Equal(t, State{}, l.State(at(3)))
	}
}

func TestBoundRate(t *testing.T) {
	for _, row := range []struct {
		rate, want float64
		absurd     bool
	}{
		{0, 0, false},
		{17, 17, false},
		{17.5, 17.5, false},
		{0.2, MinRate, true},
		{-3, 0, true},
		{1e300, MaxRate, true},
		{math.Inf(1), MaxRate, true},
		{math.NaN(), 0, true},
	} {
		bounded, absurd := BoundRate(row.rate)
		require.Equal(t, row.want, bounded, row.rate)
		require.Equal(t, row.absurd, absurd, row.rate)
	}
}

// TestHealthChecksCostTooMuch guards against health checks that nothing depends on, or that follow each other without
// a pause while they fail.
func TestHealthChecksCostTooMuch(t *testing.T) {
	l := New(at(0))
	l.Configure(17, 20*time.Second)
	l.ObserveHeartbeat(at(0), 10*time.Second)
	due, _ := l.CheckDue(at(0))
	require.False(t, due, "the target reports its state")
	l.Assume(at(100), EvacuationEnd)
	var checks []int
	for ms := 100; ms < 20_100; ms += 10 {
		if due, _ := l.CheckDue(at(ms)); due {
			checks = append(checks, ms)
		}
	}
	require.Equal(t, []int{100, 350, 850, 1850, 3850}, checks[:5])
	require.Len(t, checks, 13)
	due, _ = l.CheckDue(at(20_100))
	require.False(t, due, "the assumed time is over")
}

// TestWindowForgetsTooMany guards against requests that are missing in the count because the window had to drop them.
func TestWindowForgetsTooMany(t *testing.T) {
	w := window{}
	for i := range maxEvents + 10 {
		w.add(at(0).Add(time.Duration(i) * time.Microsecond))
	}
	require.Len(t, w.events, maxEvents)
	for len(w.events) > 0 {
		w.remove(w.events[0])
	}
	require.Equal(t, 9*time.Microsecond+windowLength, w.wait(at(0), 1), "of those that were dropped the last one counts")
}

// BenchmarkSend measures what the limit adds to each request.
func BenchmarkSend(b *testing.B) {
	for _, cold := range []time.Duration{0, time.Minute} {
		b.Run(cold.String(), func(b *testing.B) {
			now := at(0)
			l := New(now)
			l.Configure(100, time.Minute)
			for b.Loop() {
				now = now.Add(time.Millisecond)
				l.ObserveHeartbeat(now, cold)
				l.Send(now)
			}
		})
	}
}
