package workload

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestPace checks that a pace is believed for a short time only, and that the average follows slowly.
func TestPace(t *testing.T) {
	const ms = time.Millisecond
	start := time.Unix(1000, 0)
	type record struct {
		at   time.Duration
		pace float64
	}
	steady := func(pace float64) []record {
		var list []record
		for at := time.Duration(0); at < 10*time.Second; at += 100 * ms {
			list = append(list, record{at, pace})
		}
		return list
	}
	for _, row := range []struct {
		name         string
		records      []record
		at           time.Duration
		now, average float64
	}{
		{"unknown", nil, 0, 0, 0},
		{"no paces", []record{{0, 0}, {0, -1}, {0, math.NaN()}, {0, math.Inf(1)}}, 0, 0, 0},
		{"bounded", []record{{0, 1e9}}, 0, MaxPace, MaxPace},
		{"steady", steady(2), 10 * time.Second, 2, 2},
		{"spell that has just begun", append(steady(1), record{10 * time.Second, 3}), 10 * time.Second, 3, 1},
		{"spell of 250 ms ago", append(steady(1), record{10 * time.Second, 3}), 10250 * ms, 2, 1},
		{"spell of 500 ms ago", append(steady(1), record{10 * time.Second, 3}), 10500 * ms, 1, 1},
		{"older record after a newer one", append(steady(1), record{5 * time.Second, 3}), 10 * time.Second, 1, 1},
		{"not reported for a minute", steady(1), 75 * time.Second, 0, 0},
		{"changed for ten seconds", append(steady(1), func() []record {
			var list []record
			for at := 10 * time.Second; at <= 20*time.Second; at += 100 * ms {
				list = append(list, record{at, 3})
			}
			return list
		}()...), 20 * time.Second, 3, 2.73},
	} {
		t.Run(row.name, func(t *testing.T) {
			var p Pace
			for _, r := range row.records {
				p.Record(start.Add(r.at), r.pace)
			}
			require.InDelta(t, row.now, p.At(start.Add(row.at)), 0.01)
			require.InDelta(t, row.average, p.Average(start.Add(row.at)), 0.01)
		})
	}
}

// TestMeter checks that the times of routes are those at the usual pace: a spell must not count both in the time and in the pace.
func TestMeter(t *testing.T) {
	now := time.Unix(1000, 0)
	var m Meter
	require.Zero(t, m.RouteTime("r"))
	require.Equal(t, 300*time.Millisecond, m.RecordServed(now, now.Add(300*time.Millisecond), "unpaced", 0, false))
	for range 100 {
		m.RecordPace(now, 3)
		before, _ := m.Pace(now)
		end := now.Add(300 * time.Millisecond)
		m.RecordPace(end, 3)
		m.RecordServed(now, end, "r", before, false)
		now = end
	}
	require.InDelta(t, 0.1, m.RouteTime("r").Seconds(), 0.001)
	require.InDelta(t, 0.1, m.RouteTime("other").Seconds(), 0.01)
	// Errors that come at once do not make the target seem fast.
	for range 50 {
		require.InDelta(t, 0.1, m.RecordServed(now, now.Add(time.Millisecond), "r", 3, true).Seconds(), 0.001)
	}
	require.InDelta(t, 0.1, m.RouteTime("r").Seconds(), 0.001)
	// Without a pace they count as before.
	later := now.Add(time.Hour)
	require.Equal(t, time.Millisecond, m.RecordServed(later, later.Add(time.Millisecond), "r", 0, true))
	for i := range 2 * maxMeasuredRoutes {
		m.RecordServed(now, now.Add(time.Second), string(rune('a'+i)), 1, false)
	}
	require.Len(t, m.routes, maxMeasuredRoutes)
}
