package placement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestBalance simulates the loads of the users' divided services. It checks the
// share of requests that are answered in time, the balance of the load, and the
// number of keys that move.
func TestBalance(t *testing.T) {
	const (
		seeds = 10
		// The load is balanced within settleTime seconds after it changes. The
		// imbalance is measured over the following measureTime seconds: in a single
		// second, chance alone makes one of eight targets a quarter busier than the
		// mean.
		settleTime, measureTime = 4, 4
		maxImbalance            = 1.3
		maxMoved                = 0.5 // of all keys
	)
	equal := []float64{1, 1, 1, 1, 1, 1, 1, 1}
	different := []float64{0.7, 0.8, 1, 1, 1.1, 1.2, 1.4, 1.5}
	hotAt := func(at time.Duration, keys int) []hotRange {
		return []hotRange{{at: at, until: at + 10*time.Second, share: 0.4, first: 9000, keys: keys}}
	}
	for _, row := range []struct {
		name        string
		timeFactors []float64
		perSecond   float64
		hot         []hotRange
		// changed is when the load changed for the last time, in seconds.
		changed int
	}{
		{"skewed keys", equal, 300, nil, 0},
		{"targets with different speeds", different, 260, nil, 0},
		{"hot range of 200 keys", equal, 300, hotAt(8*time.Second, 200), 8},
		{"hot range of 60 keys", equal, 300, hotAt(8*time.Second, 60), 8},
		{"hot range, targets with different speeds", different, 260, hotAt(8*time.Second, 200), 8},
		{"load above the capacity of all targets", equal, 500, hotAt(8*time.Second, 200), 8},
	} {
		t.Run(row.name, func(t *testing.T) {
			e := experiment{
				slots: 9, timeFactors: row.timeFactors, perSecond: row.perSecond, service: 150 * time.Millisecond, objective: 400 * time.Millisecond,
				skew: 0.78, popular: 30000, hot: row.hot, length: 18 * time.Second, plan: Plan,
			}
			unplanned := e
			unplanned.plan = nil
			var served, servedUnplanned, moved, imbalance float64
			for seed := range uint64(seeds) {
				res, resUnplanned := e.simulate(seed), unplanned.simulate(seed)
				served += res.served() / seeds
				servedUnplanned += resUnplanned.served() / seeds
				moved += res.moved / seeds
				imbalance += res.imbalance(row.changed+settleTime, row.changed+settleTime+measureTime, e.timeFactors) / seeds
			}
			t.Logf("served in time %.3f, without moves %.3f; imbalance %.2f; %.2f of all keys moved", served, servedUnplanned, imbalance, moved)
			// Placement has to answer in time at least half of the requests
			// that fail or are late with equal ranges.
			require.LessOrEqual(t, 1-served, (1-servedUnplanned)/2)
			require.LessOrEqual(t, imbalance, maxImbalance)
			require.LessOrEqual(t, moved, maxMoved)
		})
	}
}
