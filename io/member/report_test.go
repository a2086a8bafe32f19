package member

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestQuick checks what a report says of the quickest quarter of a target's
// requests.
func TestQuick(t *testing.T) {
	const ms = time.Millisecond
	tests := []struct {
		name            string
		quick, slow     int // requests that took 10 and 100 ms
		shed, unrun     int
		atLeast, atMost time.Duration
		kept            bool // the requests wait for more
	}{
		{name: "too few to tell", quick: 19, kept: true},
		{name: "those that were not run do not count", quick: 19, unrun: 100, kept: true},
		{name: "all alike", quick: 40, atLeast: 9 * ms, atMost: 11 * ms},
		{name: "most are slow", quick: 12, slow: 28, atLeast: 9 * ms, atMost: 11 * ms},
		{name: "all are slow", slow: 40, atLeast: 90 * ms, atMost: 110 * ms},
		{name: "half is shed", quick: 20, shed: 20, atLeast: 9 * ms, atMost: 11 * ms},
		{name: "nearly all is shed", quick: 4, shed: 36, atLeast: time.Minute, atMost: 2 * time.Hour},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			l := newLoads()
			for i, n := range []int{tt.quick, tt.slow, tt.shed, tt.unrun} {
				for range n {
					l.add(0, "key", []time.Duration{10 * ms, 100 * ms, 0, 0}[i], i == 2)
				}
			}
			got := time.Duration(l.quick()) * time.Microsecond
			require.GreaterOrEqual(t, got, tt.atLeast)
			require.LessOrEqual(t, got, tt.atMost)
			require.Equal(t, tt.kept, l.times.TotalCount() > 0)
		})
	}
}
