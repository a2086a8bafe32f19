package routing

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestCurrency guards against a version that counts as the newest one on the word of daemons that are behind themselves, or long ago.
func TestCurrency(t *testing.T) {
	start := time.Unix(1000, 0)
	type reply struct {
		sentAfter time.Duration
		version   uint64
	}
	for _, row := range []struct {
		name    string
		replies []reply
		own     uint64
		after   time.Duration
		current bool
	}{
		{"no reply", nil, 3, 0, false},
		{"same version", []reply{{0, 3}}, 3, MaxConfirmationAge, true},
		{"same version, long ago", []reply{{0, 3}}, 3, MaxConfirmationAge + 1, false},
		{"older version only", []reply{{0, 2}}, 3, 0, false},
		{"newer version", []reply{{0, 3}, {0, 4}}, 3, 0, false},
		{"newer version, then the same of another daemon", []reply{{0, 4}, {time.Second, 3}}, 3, time.Second, false},
		{"newer version, received since", []reply{{0, 4}}, 4, time.Second, true},
		{"older version after the same", []reply{{0, 3}, {time.Second, 2}}, 3, time.Second, true},
		{"replies out of order", []reply{{time.Second, 3}, {0, 3}}, 3, 2 * time.Second, true},
	} {
		t.Run(row.name, func(t *testing.T) {
			var c Currency
			for _, r := range row.replies {
				c.Observe(start.Add(r.sentAfter), r.version)
			}
			require.Equal(t, row.current, c.Current(start.Add(row.after), row.own))
		})
	}
}
