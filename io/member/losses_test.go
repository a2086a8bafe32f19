package member

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestLossesWait checks how long a daemon delays a new pair, depending on the
// times at which members were revoked.
func TestLossesWait(t *testing.T) {
	const ms = time.Millisecond
	tests := []struct {
		name     string
		revoked  []time.Duration // times of the revokes, from the start of the wait
		min, max time.Duration   // bounds of the length of the wait
	}{
		{"no loss, only an unresponsive guardian", nil, 0, ms},
		{"one loss", []time.Duration{0}, lossQuietPeriod, lossQuietPeriod + 2*pairDelayPerLoss},
		{"two losses at almost the same time", []time.Duration{0, 10 * ms}, 10*ms + lossQuietPeriod, 10*ms + lossQuietPeriod + 3*pairDelayPerLoss},
		{"two losses far apart", []time.Duration{0, 4 * time.Second}, lossQuietPeriod, lossQuietPeriod + 2*pairDelayPerLoss},
		{"many losses within a second", atIntervals(50*ms, 20), 950*ms + lossQuietPeriod, 3*950*ms + lossQuietPeriod},
		{"losses that continue", atIntervals(100*ms, 100), maxPairWait, maxPairWait + 10*ms},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var l losses
			start := time.Unix(1000, 0)
			remaining := tt.revoked
			for after := time.Duration(0); ; after += ms {
				now := start.Add(after)
				for len(remaining) > 0 && remaining[0] <= after {
					l.add(now)
					remaining = remaining[1:]
				}
				if !l.mustWait(now) {
					require.GreaterOrEqual(t, after, tt.min)
					require.LessOrEqual(t, after, tt.max)
					return
				}
			}
		})
	}
}

// atIntervals returns n times with the given interval, beginning at 0.
func atIntervals(interval time.Duration, n int) []time.Duration {
	var list []time.Duration
	for i := range n {
		list = append(list, time.Duration(i)*interval)
	}
	return list
}
