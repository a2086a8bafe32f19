package mesh

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestLongTaskCountsAsLag checks that a timer which waited for its own task does not
// count as late: only a process that does not get to run is.
func TestLongTaskCountsAsLag(t *testing.T) {
	const interval, took = 20 * time.Millisecond, 400 * time.Millisecond
	m := holder()
	runs := 0
	m.tomb.Go(func() error {
		return m.every(interval, func(time.Time) {
			if runs++; runs == 1 {
				time.Sleep(took)
			}
			if runs == 3 {
				m.tomb.Kill(nil)
			}
		})
	})
	require.NoError(t, m.tomb.Wait())
	require.Less(t, m.metrics.timerLag.take(), took-interval-interval)
}
