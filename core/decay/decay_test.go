package decay

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestRate(t *testing.T) {
	now := time.Unix(100, 0)
	r := Rate{HalfLife: time.Second}
	require.Zero(t, r.PerSecond(now))
	for range 1000 {
		now = now.Add(10 * time.Millisecond)
		r.Add(now, 0.03)
	}
	require.InEpsilon(t, 3, r.PerSecond(now), 0.02)
	require.InEpsilon(t, 1.5, r.PerSecond(now.Add(time.Second)), 0.02)
	require.InEpsilon(t, 1.5, r.PerSecond(now), 0.02, "an earlier time does not change the rate")
	r.Subtract(now.Add(time.Second), 1)
	require.InEpsilon(t, 0.5, r.PerSecond(now.Add(time.Second)), 0.06)
	r.Subtract(now.Add(time.Second), 10)
	require.Zero(t, r.PerSecond(now.Add(time.Second)))
}
