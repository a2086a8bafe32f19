package balance

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"siskinknot/core/record"
)

var policy = Policy{Threshold: 0.15, MaxMoves: 8, HotKeyShare: 0.15}

// idleService returns n servers without load and slots units, which are
// assigned to the servers in round robin.
func idleService(n, slots int) ([]Server, []Unit) {
	var servers []Server
	for i := range n {
		servers = append(servers, Server{ID: record.Incarnation(fmt.Sprint("s", i)), Slots: 10})
	}
	var units []Unit
	for slot := range slots {
		units = append(units, Unit{Unit: record.Unit{Slot: slot}, Owner: servers[slot%n].ID, CooldownOver: true})
	}
	return servers, units
}

func TestPlan(t *testing.T) {
	tests := []struct {
		name   string
		change func(servers *[]Server, units *[]Unit)
		policy Policy
		want   string // the first move, empty for none
	}{
		{"no load", func(*[]Server, *[]Unit) {}, policy, ""},
		{"below the threshold", func(_ *[]Server, u *[]Unit) {
			for i := range *u {
				(*u)[i].Load = time.Second
			}
			(*u)[0].Load = 1100 * time.Millisecond
		}, policy, ""},
		{"the slot that reduces the imbalance most", func(_ *[]Server, u *[]Unit) {
			(*u)[0].Load, (*u)[3].Load = 4*time.Second, 3*time.Second
		}, policy, "slot 0 to s1"},
		{"a slot that has moved recently stays", func(_ *[]Server, u *[]Unit) {
			(*u)[0].Load, (*u)[3].Load = 4*time.Second, 3*time.Second
			(*u)[0].CooldownOver = false
		}, policy, "slot 3 to s1"},
		{"the only slot of a server does not move back and forth", func(_ *[]Server, u *[]Unit) {
			(*u)[0].Load = 4 * time.Second
			for i := 3; i < len(*u); i += 3 {
				(*u)[i].Owner = "s1"
			}
		}, policy, ""},
		{"a hot key is carved out", func(_ *[]Server, u *[]Unit) {
			(*u)[0].Load, (*u)[3].Load = 6*time.Second, 100*time.Millisecond
			*u = append(*u, Unit{Unit: record.Unit{Slot: 0, Key: "hot"}, Owner: "s0", Load: 3 * time.Second, Hot: true, CooldownOver: true})
			(*u)[0].CooldownOver = false
		}, policy, "key hot to s1"},
		{"a hot key is not carved out without a hot-key share", func(_ *[]Server, u *[]Unit) {
			(*u)[0].Load = 6 * time.Second
			*u = append(*u, Unit{Unit: record.Unit{Slot: 0, Key: "hot"}, Owner: "s0", Load: 3 * time.Second, Hot: true, CooldownOver: true})
			(*u)[0].CooldownOver = false
		}, Policy{Threshold: 2, MaxMoves: 8}, ""},
		{"a carved key with a low load returns to its slot", func(_ *[]Server, u *[]Unit) {
			*u = append(*u, Unit{Unit: record.Unit{Slot: 0, Key: "cool"}, Owner: "s2", CooldownOver: true})
		}, policy, "key cool to s0"},
		{"a server that joins gets slots", func(s *[]Server, _ *[]Unit) {
			*s = append(*s, Server{ID: "new", Slots: 10})
		}, policy, "slot 0 to new"},
		{"the slot with the highest load leaves a slow server first", func(s *[]Server, u *[]Unit) {
			(*s)[2].Slowness = 10
			(*u)[5].Load, (*u)[3].Load = time.Second, 50*time.Millisecond
		}, policy, "slot 5 to s1"},
		{"a slot that has moved recently leaves a slow server", func(s *[]Server, u *[]Unit) {
			(*s)[2].Slowness = 10
			(*u)[5].Load, (*u)[5].CooldownOver = time.Second, false
		}, policy, "slot 5 to s0"},
		{"no slot leaves a slow server if the others have no capacity left", func(s *[]Server, u *[]Unit) {
			(*s)[2].Slowness = 10
			(*u)[0].Load, (*u)[1].Load, (*u)[5].Load = 8*time.Second, 8*time.Second, time.Second
			(*u)[0].CooldownOver, (*u)[1].CooldownOver = false, false
		}, policy, ""},
		{"a slow server receives nothing", func(s *[]Server, u *[]Unit) {
			(*s)[1].Slowness, (*s)[2].Slowness = 10, 10
			for i := range *u {
				(*u)[i].Owner = "s0"
			}
			(*u)[0].Load = 9 * time.Second
		}, policy, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			servers, units := idleService(3, 12)
			tt.change(&servers, &units)
			got := ""
			if moves := Plan(servers, units, tt.policy); len(moves) > 0 {
				got = fmt.Sprintf("slot %d to %s", moves[0].Slot, moves[0].To)
				if moves[0].Key != "" {
					got = fmt.Sprintf("key %s to %s", moves[0].Key, moves[0].To)
				}
			}
			require.Equal(t, tt.want, got)
		})
	}
}

// TestPlanNeverIncreasesImbalance checks for random loads that a plan never
// increases the imbalance, moves units only from their owners and does not
// exceed the maximum number of moves.
func TestPlanNeverIncreasesImbalance(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		servers, units := idleService(rapid.IntRange(2, 9).Draw(t, "servers"), 32)
		for i := range units {
			units[i].Load = time.Duration(rapid.IntRange(0, 3000).Draw(t, "busy")) * time.Millisecond
		}
		before := Imbalance(servers, units)
		moves := Plan(servers, units, policy)
		if len(moves) > policy.MaxMoves {
			t.Fatalf("plan has %d moves, which is too many", len(moves))
		}
		for _, m := range moves {
			if units[m.Slot].Owner != m.From {
				t.Fatalf("slot %d moves from %s, which does not own it", m.Slot, m.From)
			}
			units[m.Slot].Owner = m.To
		}
		if after := Imbalance(servers, units); after > before+1e-9 {
			t.Fatalf("imbalance grows from %f to %f", before, after)
		}
	})
}

func BenchmarkPlan(b *testing.B) {
	servers, units := idleService(3200, 131072)
	for i := range units {
		units[i].Load = time.Duration(i*7919%1000) * time.Microsecond
	}
	b.ResetTimer()
	for range b.N {
		Plan(servers, units, policy)
	}
}
