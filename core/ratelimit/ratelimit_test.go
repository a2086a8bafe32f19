package ratelimit

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestLimitIsExceededInSomeInterval offers events at random moments and checks each
// interval between two events against the bound in the package comment.
func TestLimitIsExceededInSomeInterval(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Float64Range(0, 50).Draw(t, "rate")
		now := time.Unix(100, 0)
		limiter := Limiter{}
		limiter.Set(now, rate)
		var events []time.Time
		for range 300 {
			now = now.Add(time.Duration(rapid.IntRange(0, 80).Draw(t, "gap_ms")) * time.Millisecond)
			if limiter.Allows(now) {
				limiter.Take(now)
				events = append(events, now)
			}
		}
		for i := range events {
			for j := i; j < len(events); j++ {
				interval := events[j].Sub(events[i])
				bound := max(rate, minRate)*(interval+burstTime).Seconds() + 2
				require.LessOrEqual(t, float64(j-i+1), bound)
			}
		}
	})
}

func TestWait(t *testing.T) {
	start := time.Unix(100, 0)
	for _, row := range []struct {
		name string
		rate float64
		took int // events at the start
		n    float64
		want time.Duration
	}{
		{"first event", 10, 0, 1, 0},
		{"next event", 10, 1, 1, 100 * time.Millisecond},
		{"several events", 10, 1, 3, 300 * time.Millisecond},
		{"limit of 0", 0, 1, 1, 2 * time.Second},
	} {
		t.Run(row.name, func(t *testing.T) {
			limiter := Limiter{}
			limiter.Set(start, row.rate)
			for range row.took {
				limiter.Take(start)
			}
			require.Equal(t, row.want, limiter.Wait(start, row.n))
		})
	}
	limiter := Limiter{}
	require.Zero(t, limiter.Wait(start, 5), "without a limit")
}

// TestPacedEventsAreUneven guards against events of a paced limit that come closer to each other than its rate allows,
// also after a time without events, and against a first event before the delay has passed.
func TestPacedEventsAreUneven(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := float64(rapid.IntRange(1, 50).Draw(t, "rate"))
		delay := time.Duration(rapid.IntRange(0, 1000).Draw(t, "delay_ms")) * time.Millisecond
		now := time.Unix(100, 0)
		limiter := Limiter{}
		if rapid.Bool().Draw(t, "was limited") {
			limiter.Set(now, 100)
			now = now.Add(time.Second)
		}
		limiter.SetPaced(now, rate, delay)
		const rounding = time.Microsecond
		allowedFrom := now.Add(delay - rounding)
		for range 200 {
			now = now.Add(time.Duration(rapid.IntRange(0, 80).Draw(t, "gap_ms")) * time.Millisecond)
			if limiter.Allows(now) {
				require.False(t, now.Before(allowedFrom))
				limiter.Take(now)
				allowedFrom = now.Add(time.Duration(float64(time.Second)/rate) - rounding)
			}
		}
	})
	limiter := Limiter{}
	limiter.SetPaced(time.Unix(100, 0), 10, 0)
	limiter.Take(time.Unix(200, 0))
	require.Equal(t, 100*time.Millisecond, limiter.Wait(time.Unix(200, 0), 1), "unused tokens are not saved")
	limiter.Set(time.Unix(300, 0), 10)
	limiter.Take(time.Unix(300, 0))
	require.Equal(t, 100*time.Millisecond, limiter.Wait(time.Unix(300, 0), 1))
	require.Zero(t, limiter.Wait(time.Unix(301, 0), 5), "a limit that is not paced saves them")
}
