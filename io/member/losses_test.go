package member

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestLossesWait checks for how long a daemon waits with a new pair, by when
// members were revoked.
func TestLossesWait(t *testing.T) {
	const ms = time.Millisecond
	tests := []struct {
		name     string
		revoked  []time.Duration // after the first
		min, max time.Duration   // when the wait ends, after the first
	}{
		{"none: the guardian is silent", nil, 0, ms},
		{"one loss", []time.Duration{0}, lossQuiet, lossQuiet + 2*pairSpread},
		{"two together", []time.Duration{0, 10 * ms}, 10*ms + lossQuiet, 10*ms + lossQuiet + 3*pairSpread},
		{"two far apart", []time.Duration{0, 4 * time.Second}, lossQuiet, lossQuiet + 2*pairSpread},
		{"many within a second", every(50*ms, 20), 950*ms + lossQuiet, 3*950*ms + lossQuiet},
		{"no end of losses", every(100*ms, 100), pairPatience, pairPatience + 10*ms},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var l losses
			began := time.Unix(1000, 0)
			left := tt.revoked
			for after := time.Duration(0); ; after += ms {
				now := began.Add(after)
				for len(left) > 0 && left[0] <= after {
					l.add(now)
					left = left[1:]
				}
				if !l.wait(now) {
					require.GreaterOrEqual(t, after, tt.min)
					require.LessOrEqual(t, after, tt.max)
					return
				}
			}
		})
	}
}

// every returns n times with the same interval.
func every(interval time.Duration, n int) []time.Duration {
	var list []time.Duration
	for i := range n {
		list = append(list, time.Duration(i)*interval)
	}
	return list
}
