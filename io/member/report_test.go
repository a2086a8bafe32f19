package member

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestLowerQuartile checks the 25th percentile of the service times that a report
// states. It is not stated for too few requests. Requests that the target shed
// count as slow, and requests that were not run for another reason do not
// count.
func TestLowerQuartile(t *testing.T) {
	const ms = time.Millisecond
	tests := []struct {
		name            string
		quick, slow     int // numbers of requests that took 10 ms and 100 ms
		shed, notRun    int // numbers of requests that were shed, or not run for another reason
		atLeast, atMost time.Duration
		kept            bool // the requests are kept for the next report
	}{
		{name: "too few requests", quick: 19, kept: true},
		{name: "requests that were not run do not count", quick: 19, notRun: 100, kept: true},
		{name: "all take the same time", quick: 40, atLeast: 9 * ms, atMost: 11 * ms},
		{name: "most are slow", quick: 12, slow: 28, atLeast: 9 * ms, atMost: 11 * ms},
		{name: "all are slow", slow: 40, atLeast: 90 * ms, atMost: 110 * ms},
		{name: "half are shed", quick: 20, shed: 20, atLeast: 9 * ms, atMost: 11 * ms},
		{name: "nearly all are shed", quick: 4, shed: 36, atLeast: time.Minute, atMost: 2 * time.Hour},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			l := newLoadCounter()
			for i, n := range []int{tt.quick, tt.slow, tt.shed, tt.notRun} {
				for range n {
					l.add(0, "key", []time.Duration{10 * ms, 100 * ms, 0, 0}[i], i == 2)
				}
			}
			got := time.Duration(l.lowerQuartile()) * time.Microsecond
			require.GreaterOrEqual(t, got, tt.atLeast)
			require.LessOrEqual(t, got, tt.atMost)
			require.Equal(t, tt.kept, l.durations.TotalCount() > 0)
		})
	}
}
