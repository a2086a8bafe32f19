package scheduling

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestBacklog guards against a load report that omits waiting requests, or counts the past time of running ones.
func TestBacklog(t *testing.T) {
	const mean = 100 * time.Millisecond
	for _, row := range []struct {
		name            string
		running, queued int
		ran             time.Duration
		pace            float64
		want            time.Duration
	}{
		{"idle", 0, 0, 0, 1, 0},
		{"just started", 2, 0, 0, 1, 2 * mean},
		{"half done", 2, 0, mean / 2, 1, mean},
		{"half done at a slow pace", 1, 0, mean, 2, mean / 2},
		{"longer than the mean", 2, 0, 10 * mean, 1, 30 * time.Millisecond},
		{"clock of the request ahead", 1, 0, -mean, 1, mean},
		{"some wait", 2, 3, mean / 2, 1, 4 * mean},
	} {
		t.Run(row.name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			s := New(2)
			var permits []*Permit
			req := Request{Route: "r", Objective: now.Add(time.Minute), Deadline: now.Add(time.Minute)}
			for range row.running {
				p, refusal := s.Acquire(context.Background(), now, req)
				require.Nil(t, refusal)
				p.MarkSent(now)
				permits = append(permits, p)
			}
			for range row.queued {
				w, refusal := s.tryAdmit(now, req)
				require.Nil(t, refusal)
				require.NotNil(t, w)
			}
			serviceTime := func(string) time.Duration { return mean }
			require.Equal(t, row.want, s.Backlog(now.Add(row.ran), row.pace, serviceTime))
			for _, p := range permits {
				p.Done(now, Unused)
			}
			require.Empty(t, s.sent)
		})
	}
}
