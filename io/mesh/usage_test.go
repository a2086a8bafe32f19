package mesh

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestLongTaskCountsAsLag checks that a timer delayed by its own task does not
// count as late: the lag shows only how long the process waits for CPU time.
func TestLongTaskCountsAsLag(t *testing.T) {
	const interval, took = 20 * time.Millisecond, 400 * time.Millisecond
	m := newTestMesh()
	runs := 0
	m.tomb.Go(func() error {
		return m.runEvery(interval, func(time.Time) {
			if runs++; runs == 1 {
				time.Sleep(took)
			}
			if runs == 3 {
				m.tomb.Kill(nil)
			}
		})
	})
	require.NoError(t, m.tomb.Wait())
	require.Less(t, m.metrics.timerLag.takeMax(), took-interval-interval)
}
