package balance

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"siskinknot/core/record"
)

// TestSlowServers checks which servers are found slow from their latencies.
func TestSlowServers(t *testing.T) {
	const ms = time.Millisecond
	tests := []struct {
		name  string
		p25   []time.Duration // 25th percentiles of the latencies of the servers s0, s1, ...; 0 is unknown
		limit float64
		want  []record.Incarnation
	}{
		{"similar servers", []time.Duration{10 * ms, 11 * ms, 9 * ms}, 4, nil},
		{"one slow server of three", []time.Duration{10 * ms, 100 * ms, 9 * ms}, 4, []record.Incarnation{"s1"}},
		{"below the limit", []time.Duration{10 * ms, 39 * ms, 10 * ms}, 4, nil},
		{"difference below the minimum", []time.Duration{ms / 10, 4 * ms, ms / 10}, 4, nil},
		{"two servers only", []time.Duration{10 * ms, 100 * ms}, 4, nil},
		{"two servers with known latency", []time.Duration{10 * ms, 100 * ms, 0}, 4, nil},
		{"two slow servers of six", []time.Duration{10 * ms, 100 * ms, 9 * ms, 90 * ms, 10 * ms, 10 * ms}, 4, []record.Incarnation{"s1", "s3"}},
		{"two slow servers of five are too many", []time.Duration{10 * ms, 100 * ms, 9 * ms, 90 * ms, 10 * ms}, 4, nil},
		{"detection is off", []time.Duration{10 * ms, 100 * ms, 9 * ms}, 0, nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			var s SlowServerDetector
			require.Equal(t, tt.want, s.Detect(now, observe(&s, now, tt.p25), tt.limit))
			for _, id := range tt.want {
				require.Greater(t, s.Slowness(now, id), tt.limit)
			}
		})
	}
}

// observe records the latencies of the servers s0, s1, ... and returns their names.
// A latency of 0 is not recorded.
func observe(s *SlowServerDetector, now time.Time, p25 []time.Duration) []record.Incarnation {
	var ids []record.Incarnation
	for i, took := range p25 {
		id := record.Incarnation(fmt.Sprint("s", i))
		ids = append(ids, id)
		if took > 0 {
			s.Observe(now, id, took)
		}
	}
	return ids
}

// TestPenalty checks how long a server counts as slow if each observation finds
// it slow, and that penalties start again at the first one after its probation
// has ended.
func TestPenalty(t *testing.T) {
	const ms = time.Millisecond
	now := time.Unix(1000, 0)
	var s SlowServerDetector
	slow, fast := []time.Duration{10 * ms, 100 * ms, 9 * ms}, []time.Duration{10 * ms, 10 * ms, 9 * ms}
	for _, want := range []time.Duration{
		30 * time.Second, time.Minute, 2 * time.Minute, 4 * time.Minute, 8 * time.Minute, 10 * time.Minute, 10 * time.Minute,
	} {
		require.Len(t, s.Detect(now, observe(&s, now, slow), 4), 1)
		require.Empty(t, s.Detect(now, observe(&s, now, slow), 4), "a slow server is returned once")
		now = now.Add(want - 1)
		require.Greater(t, s.Slowness(now, "s1"), 1.0, "before %v", want)
		now = now.Add(1)
		require.Equal(t, 1.0, s.Slowness(now, "s1"), "after %v", want)
		require.True(t, s.OnProbation(now, "s1"))
	}
	now = now.Add(10*time.Minute + 1)
	require.Empty(t, s.Detect(now, observe(&s, now, fast), 4))
	require.False(t, s.OnProbation(now, "s1"))
	require.Len(t, s.Detect(now, observe(&s, now, slow), 4), 1)
	require.Equal(t, 1.0, s.Slowness(now.Add(30*time.Second), "s1"), "the penalty starts again at the first")
}

func BenchmarkFindSlow(b *testing.B) {
	now := time.Unix(1000, 0)
	var s SlowServerDetector
	ids := observe(&s, now, make([]time.Duration, 3200))
	for i, id := range ids {
		s.Observe(now, id, time.Duration(i%7)*time.Millisecond)
	}
	b.ResetTimer()
	for range b.N {
		s.Detect(now, ids, 4)
	}
}
