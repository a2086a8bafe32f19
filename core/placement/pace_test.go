package placement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestBalanceOnQuietDay guards against targets that stay up to twice as busy as the mean, because no target is busy enough
// to pass keys on. It applies where targets report a pace; other services move no more keys than before.
func TestBalanceOnQuietDay(t *testing.T) {
	const (
		seeds = 6
		// The first seconds are not counted: the keys are divided evenly then.
		settled, end = 8, 38
		maxImbalance = 1.3
		maxMoved     = 0.6 // of all keys, in 40 s from an even division on
		// maxLost is the share of the requests that the moves may make late.
		maxLost = 0.01
	)
	different := []float64{0.7, 0.8, 1, 1, 1.1, 1.2, 1.4, 1.5}
	wide := []float64{0.5, 0.7, 0.7, 0.7, 1, 1, 1.6, 1.6}
	for _, row := range []struct {
		name        string
		timeFactors []float64
		perSecond   float64
		// unpaced is the least imbalance without paces that the row shows, or 0.
		unpaced float64
	}{
		{"a twentieth of the capacity", different, 30, 1.6},
		{"a tenth of the capacity", different, 60, 1.3},
		{"a quarter of the capacity", different, 110, 0},
		{"half of the capacity", different, 260, 0},
		{"targets of very different speeds", wide, 200, 0},
		{"targets of very different speeds, little load", wide, 80, 0},
	} {
		t.Run(row.name, func(t *testing.T) {
			measure := func(paced bool) (imbalance, moved, served float64) {
				e := experiment{
					slots: 9, timeFactors: row.timeFactors, perSecond: row.perSecond, service: 150 * time.Millisecond, objective: 400 * time.Millisecond,
					skew: 0.78, popular: 30000, length: 40 * time.Second, plan: Plan, paced: paced,
				}
				for seed := range uint64(seeds) {
					res := e.simulate(seed)
					imbalance += res.imbalance(settled, end, e.timeFactors) / seeds
					moved += res.moved / seeds
					served += res.served() / seeds
				}
				return imbalance, moved, served
			}
			imbalance, moved, served := measure(true)
			former, formerMoved, formerServed := measure(false)
			t.Logf("with paces: imbalance %.2f, moved %.2f, in time %.3f; without: %.2f, %.2f, %.3f", imbalance, moved, served, former, formerMoved, formerServed)
			require.LessOrEqual(t, imbalance, maxImbalance)
			require.LessOrEqual(t, moved, maxMoved)
			require.GreaterOrEqual(t, served, formerServed-maxLost)
			require.GreaterOrEqual(t, former, row.unpaced)
		})
	}
}

// TestSpellsMoveKeys guards against keys that move with each spell of a target: the capacity is weighed by the average pace.
func TestSpellsMoveKeys(t *testing.T) {
	const seeds = 6
	measure := func(instantaneous bool) (imbalance, moved, served float64) {
		e := experiment{
			slots: 9, timeFactors: []float64{0.7, 0.8, 1, 1, 1.1, 1.2, 1.4, 1.5}, perSecond: 120, service: 150 * time.Millisecond,
			objective: 600 * time.Millisecond, skew: 0.78, popular: 30000, length: 40 * time.Second, plan: Plan,
			paced: true, spells: true, instantaneous: instantaneous,
		}
		for seed := range uint64(seeds) {
			res := e.simulate(seed)
			imbalance += res.imbalance(8, 38, e.timeFactors) / seeds
			moved += res.moved / seeds
			served += res.served() / seeds
		}
		return imbalance, moved, served
	}
	imbalance, moved, served := measure(false)
	instantImbalance, instantMoved, instantServed := measure(true)
	t.Logf("average pace: imbalance %.2f, moved %.2f, in time %.3f; of the moment: %.2f, %.2f, %.3f",
		imbalance, moved, served, instantImbalance, instantMoved, instantServed)
	require.LessOrEqual(t, imbalance, 1.3)
	require.LessOrEqual(t, moved, instantMoved/2)
	require.GreaterOrEqual(t, served, instantServed)
}

// TestPaceWeighsCapacity guards against a slow target that gets as many keys as a fast one, and against odd paces.
func TestPaceWeighsCapacity(t *testing.T) {
	load := func(i int, demand, pace float64) Load {
		return Load{Member: server(i), Accepting: true, Slots: 10, Demand: demand, ServiceTime: 100 * time.Millisecond, Pace: pace}
	}
	for _, row := range []struct {
		name  string
		loads []Load
		from  int // the owner that passes keys on, or 0
	}{
		{"equal", []Load{load(1, 4, 1), load(2, 4, 1)}, 0},
		{"a slow target passes keys on", []Load{load(1, 4, 1), load(2, 4, 3)}, 2},
		{"a slow target with its share", []Load{load(1, 6, 1), load(2, 2, 3)}, 0},
		{"little load without paces", []Load{load(1, 2.4, 0), load(2, 0.5, 0)}, 0},
		{"little load with paces", []Load{load(1, 2.4, 1), load(2, 0.5, 1)}, 1},
		{"hardly any load", []Load{load(1, 0.3, 1), load(2, 0, 1)}, 0},
	} {
		t.Run(row.name, func(t *testing.T) {
			moves := Plan(row.loads)
			if row.from == 0 {
				require.Empty(t, moves)
				return
			}
			require.NotEmpty(t, moves)
			require.Equal(t, server(row.from), moves[0].From)
		})
	}
}
