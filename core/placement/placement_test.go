package placement

import (
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// server returns the address of a member of the tests.
func server(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 7400)
}

func TestPlan(t *testing.T) {
	load := func(i int, demand float64) Load {
		return Load{Member: server(i), Accepting: true, Slots: 10, Demand: demand, Service: 100 * time.Millisecond}
	}
	cold := load(2, 0)
	cold.Cold = true
	leaving := load(2, 0)
	leaving.Accepting = false
	slow := load(2, 1)
	slow.Service = 200 * time.Millisecond
	for _, row := range []struct {
		name  string
		loads []Load
		moves []Move
	}{
		{"nobody", nil, nil},
		{"alone", []Load{load(1, 9)}, nil},
		{"even", []Load{load(1, 5), load(2, 5.5)}, nil},
		{"idle", []Load{load(1, 1), load(2, 0)}, nil},
		{"one busy", []Load{load(1, 8), load(2, 2)}, []Move{{server(1), server(2), 3}}},
		{"at most a part", []Load{load(1, 20), load(2, 0)}, []Move{{server(1), server(2), 4}}},
		{"to a cold one less", []Load{load(1, 6), cold}, []Move{{server(1), server(2), 2}}},
		{"to a slow one less", []Load{load(1, 7), slow}, []Move{{server(1), server(2), 2}}},
		{"not to one that leaves", []Load{load(1, 9), leaving}, nil},
		{
			"several receivers",
			[]Load{load(1, 16), load(2, 2), load(3, 1), load(4, 1)},
			[]Move{{server(1), server(4), 4}, {server(1), server(3), 4}, {server(1), server(2), 3}},
		},
		{"in pairs", []Load{load(1, 9), load(2, 8), load(3, 1), load(4, 0)}, []Move{{server(1), server(4), 4}, {server(2), server(3), 3.5}}},
	} {
		t.Run(row.name, func(t *testing.T) {
			got := Plan(row.loads)
			require.Len(t, got, len(row.moves))
			for i, move := range row.moves {
				require.Equal(t, move.From, got[i].From)
				require.Equal(t, move.To, got[i].To)
				require.InDelta(t, move.Demand, got[i].Demand, 0.01)
			}
		})
	}
}

// TestPick plays a hot stretch of 64 keys among 8,192 and asks for parts of it.
func TestPick(t *testing.T) {
	now := time.Unix(100, 0)
	heat := NewHeat(now)
	for i := range 6400 {
		now = now.Add(time.Millisecond)
		key := uint16(4000 + i%64)
		if i%2 == 0 {
			key = uint16(i * 37 % 8192)
		}
		heat.Add(now, key, 2*time.Millisecond)
	}
	all := heat.Demand(now, 0, 8191)
	require.InDelta(t, 2, all, 0.4)
	for _, row := range []struct {
		name   string
		demand float64
		width  int
		found  bool
	}{
		{"a third of the stretch", 0.33, 32, true},
		{"half", 0.5, 48, true},
		{"more than there is", 2 * all, 0, false},
		{"nearly all", 0.9 * all, 8191, true},
	} {
		t.Run(row.name, func(t *testing.T) {
			s, found := heat.Pick(now, 0, 8191, row.demand)
			require.Equal(t, row.found, found)
			if found {
				require.LessOrEqual(t, int(s.Last)-int(s.First), row.width)
				require.InEpsilon(t, row.demand, s.Demand, 0.3)
			}
		})
	}
}

func TestDivide(t *testing.T) {
	now := time.Unix(100, 0)
	for _, row := range []struct {
		name        string
		first, last uint16
		hot         uint16
		weights     []float64
	}{
		{"even", 0, 65535, 0, []float64{1, 1, 1}},
		{"by weight", 100, 9000, 0, []float64{1, 3}},
		{"hot at the end", 0, 8000, 7900, []float64{1, 1}},
		{"fewer keys than parts", 10, 12, 0, []float64{1, 1, 1, 1, 1}},
		{"one taker of several", 0, 100, 0, []float64{0, 1, 0}},
	} {
		t.Run(row.name, func(t *testing.T) {
			heat := NewHeat(now)
			if row.hot > 0 {
				heat.Add(now, row.hot, time.Second)
			}
			cuts := heat.Divide(now, row.first, row.last, row.weights)
			require.Len(t, cuts, len(row.weights))
			next := int(row.first)
			for _, c := range cuts {
				if c.First > c.Last {
					continue
				}
				require.Equal(t, next, int(c.First))
				next = int(c.Last) + 1
			}
			require.Equal(t, int(row.last)+1, next)
		})
	}
}

// TestPlanNamesMoreMovesThanMembersFollow plans for a large service whose loads differ
// by chance, and checks that few moves are named and that the most loaded go first.
func TestPlanNamesMoreMovesThanMembersFollow(t *testing.T) {
	for _, row := range []struct{ members, most int }{{2, 1}, {7, mostPlanned}, {62, mostPlanned}, {3200, mostPlanned}} {
		rng := rand.New(rand.NewPCG(1, uint64(row.members)))
		loads := make([]Load, row.members)
		for i := range loads {
			loads[i] = Load{
				Member: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7400), Accepting: true, Slots: 9,
				Demand: 5 * (1 + 0.3*rng.NormFloat64()), Service: 150 * time.Millisecond,
			}
		}
		loads[row.members/2].Demand = 20
		moves := Plan(loads)
		require.NotEmpty(t, moves)
		require.LessOrEqual(t, len(moves), row.most)
		require.Equal(t, loads[row.members/2].Member, moves[0].From)
	}
}

// TestLeavingMemberIsDividedAmongAll checks that the work of a member that leaves goes to
// a few others, however many there are, and to the least loaded.
func TestLeavingMemberIsDividedAmongAll(t *testing.T) {
	for _, row := range []struct{ members, receivers int }{{0, 0}, {1, 1}, {6, 6}, {61, MostReceivers}, {3199, MostReceivers}} {
		loads := make([]Load, row.members)
		for i := range loads {
			loads[i] = Load{Member: server(i % 256), Accepting: true, Slots: 10, Demand: float64(i)}
		}
		receivers := Receivers(Takers(loads))
		require.Len(t, receivers, row.receivers)
		for _, r := range receivers {
			require.Less(t, r.Demand, float64(2*MostReceivers))
		}
	}
}
