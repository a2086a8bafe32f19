package placement

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestColdTargetIsOfferedMoreThanItSustains guards against a cold target that is offered keys or requests by its target
// time, which is longer than that of the others or not known yet.
func TestColdTargetIsOfferedMoreThanItSustains(t *testing.T) {
	const perSecond, sustained = 240, 17
	warm := func(i int) Load {
		return Load{Member: server(i), Accepting: true, Slots: 9, ServiceTime: 100 * time.Millisecond, Demand: 4}
	}
	cold := func(i int, serviceTime time.Duration, demand float64) Load {
		return Load{
			Member: server(i), Accepting: true, Slots: 9, Cold: true, ColdFor: 10 * time.Second, MaxRate: sustained,
			ServiceTime: serviceTime, Demand: demand,
		}
	}
	for _, row := range []struct {
		name  string
		loads []Load
		// utilization is that of the first target, which is cold.
		utilization float64
	}{
		{"as quick as the others", []Load{cold(1, 100*time.Millisecond, 1.7), warm(2), warm(3), warm(4)}, 1},
		{"slower", []Load{cold(1, 400*time.Millisecond, 3.4), warm(2), warm(3), warm(4)}, 0.5},
		{"not measured yet", []Load{cold(1, 0, 0), warm(2), warm(3), warm(4)}, 0},
		{"two of four", []Load{cold(1, 0, 0), cold(2, time.Second, 0), warm(3), warm(4)}, 0},
	} {
		t.Run(row.name, func(t *testing.T) {
			AdjustCold(row.loads)
			require.InDelta(t, row.utilization, row.loads[0].utilization(), 1e-9)
			require.InDelta(t, 1.7, row.loads[0].Capacity(), 1e-9)
			rng := rand.New(rand.NewPCG(1, 2))
			offered := 0.0
			const seconds = 60
			for range perSecond * seconds {
				var chosen []int
				for i, ok := range SampleByCapacity(row.loads, rng.Float64) {
					if ok {
						chosen = append(chosen, i)
					}
				}
				if chosen[rng.IntN(len(chosen))] == 0 {
					offered += 1.0 / seconds
				}
			}
			require.LessOrEqual(t, offered, 1.35*sustained)
		})
	}
}

// TestOtherLoadsAreAdjusted guards against changes of loads where no target is cold, or where nothing is known to compare
// the cold ones with.
func TestOtherLoadsAreAdjusted(t *testing.T) {
	limited := Load{Slots: 9, Cold: true, MaxRate: 17, ServiceTime: 300 * time.Millisecond, Demand: 2}
	cold := limited
	cold.ColdFor = time.Second
	for _, loads := range [][]Load{
		{},
		{limited, {Slots: 9, ServiceTime: 100 * time.Millisecond}},
		{cold, cold},
		{cold, {Slots: 9}},
	} {
		adjusted := append([]Load{}, loads...)
		AdjustCold(adjusted)
		require.Equal(t, loads, adjusted)
	}
}
