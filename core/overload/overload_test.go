package overload

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestShareFollowsWait guards against requests that are rejected because of a pause, and against a share that stays
// where it is while the wait does.
func TestShareFollowsWait(t *testing.T) {
	for _, row := range []struct {
		name     string
		waits    []time.Duration // of one interval each
		min, max float64
	}{
		{"no wait", []time.Duration{0, 0, 0, 0}, 1, 1},
		{"a pause", []time.Duration{0, 9 * MaxWait, 9 * MaxWait, 0, 9 * MaxWait, 9 * MaxWait}, 1, 1},
		{"slightly above", []time.Duration{2 * MaxWait, 2 * MaxWait, MaxWait * 21 / 20, MaxWait * 21 / 20}, 0.85, 0.95},
		{"far above", []time.Duration{9 * MaxWait, 9 * MaxWait, 9 * MaxWait, 9 * MaxWait, 9 * MaxWait}, 0.1, 0.2},
		{"after an overload", []time.Duration{9 * MaxWait, 9 * MaxWait, 9 * MaxWait, MaxWait, MaxWait}, 0.55, 0.6},
	} {
		t.Run(row.name, func(t *testing.T) {
			var c Controller
			now := time.Unix(1000, 0)
			for _, wait := range row.waits {
				require.True(t, c.Due(now))
				c.Observe(now, wait)
				require.False(t, c.Due(now))
				now = now.Add(Interval)
			}
			require.GreaterOrEqual(t, c.Share(), row.min)
			require.LessOrEqual(t, c.Share(), row.max)
		})
	}
	var c Controller
	require.Equal(t, 1.0, c.ForwardedShare())
	for range 1000 {
		c.Observe(time.Unix(1000, 0), time.Second)
		require.GreaterOrEqual(t, c.ForwardedShare(), c.Share())
	}
	require.Greater(t, c.Share(), 0.0)
}
