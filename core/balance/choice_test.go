package balance

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"siskinknot/core/record"
)

// TestTwoChoices checks which share of the requests a target gets that is slow for a
// period and fast afterwards. One caller sends the requests one after the other.
func TestTwoChoices(t *testing.T) {
	const (
		fast   = 10 * time.Millisecond
		period = 30 * time.Second
	)
	tests := []struct {
		name     string
		targets  int
		latency  time.Duration // of the first target in the first period; fast in the later ones
		min, max float64       // bounds of its share of the requests in the first period; a slow target is tried sometimes
	}{
		{name: "as fast as the others", targets: 3, latency: fast, min: 0.2, max: 0.5},
		{name: "ten times as slow as two others", targets: 3, latency: 10 * fast, min: 0.0001, max: 0.01},
		{name: "ten times as slow as one other", targets: 2, latency: 10 * fast, min: 0.0001, max: 0.01},
		{name: "the only target", targets: 1, latency: 10 * fast, min: 1, max: 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			ids := []record.Incarnation{"slow", "b", "c"}[:tt.targets]
			c := NewChooser()
			now := time.Unix(1000, 0)
			measureShare := func(latency time.Duration) float64 {
				end, slowCount, total := now.Add(period), 0, 0
				for now.Before(end) {
					chosen, took := c.Pick(now, TwoChoices, ids), fast
					if chosen == "slow" {
						took = latency
						slowCount++
					}
					total++
					now = now.Add(took)
					c.Done(now, chosen, took, true)
				}
				return float64(slowCount) / float64(total)
			}
			if got := measureShare(tt.latency); got < tt.min || got > tt.max {
				t.Errorf("share %.4f, want %.4f to %.4f", got, tt.min, tt.max)
			}
			measureShare(fast) // the average latency of the target recovers
			fair := 1 / float64(tt.targets)
			if got := measureShare(fast); got < fair/2 {
				t.Errorf("share %.4f after the target became fast, want at least %.4f", got, fair/2)
			}
		})
	}
}

// TestPickAmongForgetsOthers guards against a choice among a few targets that loses the failures of the others.
func TestPickAmongForgetsOthers(t *testing.T) {
	now, chooser := time.Unix(1000, 0), NewChooser()
	all := []record.Incarnation{"a", "b", "c", "d", "e"}
	for range 50 {
		chosen := chooser.Pick(now, TwoChoices, all)
		chooser.Done(now, chosen, time.Millisecond, chosen != "a")
	}
	for range 50 {
		require.Equal(t, record.Incarnation("b"), chooser.PickAmong(now, TwoChoices, all[1:2]))
		chooser.Done(now, "b", time.Millisecond, true)
	}
	require.Len(t, chooser.stats, len(all))
	require.Positive(t, chooser.stats["a"].failures)
}
