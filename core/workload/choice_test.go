package workload

import (
	"fmt"
	"math"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// repeat returns n values that repeat those of list.
func repeat(n int, list ...float64) []float64 {
	all := make([]float64, n)
	for i := range all {
		all[i] = list[i%len(list)]
	}
	return all
}

// fleet is the play of a deployment: three zones with a daemon beside each target.
func fleet(speeds []float64) play {
	return play{
		speeds: speeds, zones: 3, beside: true, ingresses: len(speeds), slots: 4, utilization: 0.4, service: 100 * time.Millisecond,
		objective: 300 * time.Millisecond, length: 12 * time.Second, heartbeats: 1500 * time.Millisecond, ends: true, paced: true,
	}
}

// withSpells returns p with a fifth of the targets three times slower for 400 ms at a time.
func withSpells(p play) play {
	p.spell, p.spellShare, p.spellLength = 3, 0.2, 400*time.Millisecond
	return p
}

// mean plays p with a few seeds and returns the mean results.
func (p play) mean() (share, busiest, remote, attempts float64) {
	const seeds = 2
	for seed := range uint64(seeds) {
		res := p.run(seed)
		share += res.share() / seeds
		busiest += res.busiest() / seeds
		remote += res.remoteShare() / seeds
		attempts += float64(res.attempts) / float64(res.requests) / seeds
	}
	return share, busiest, remote, attempts
}

// TestChoiceUnderLoad plays loads with the choice by cost and with that of package balance. It guards against targets that
// are busier than the others, and against requests that are late because of the choice.
func TestChoiceUnderLoad(t *testing.T) {
	few := func(p play, ingresses int) play {
		p.zones, p.ingresses, p.slots, p.beside = 1, ingresses, 9, false
		return p
	}
	slow := fleet(repeat(66, 1, 6, 1, 1, 1, 6, 1, 6, 1))
	slow.paceHasSpeed = true
	stale := fleet(repeat(300, 0.7, 1, 1.3))
	stale.heartbeats, stale.ends, stale.zones, stale.ingresses, stale.beside = 2*time.Second, false, 1, 66, false
	stale.service, stale.objective, stale.utilization, stale.length = 400*time.Millisecond, 1200*time.Millisecond, 0.7, 20*time.Second
	for _, row := range []struct {
		name string
		play play
		// gain is the least difference of the share in time to that of the former choice, and
		// busiest and remote are the highest values.
		gain, busiest, remote float64
	}{
		{"different speeds", fleet(repeat(66, 0.7, 0.7, 1.6, 0.7)), -0.005, 1.3, 0.06},
		{"spells", withSpells(fleet(repeat(66, 0.5, 1, 1, 1.5))), 0, 1.45, 0.1},
		{"spells, few targets, more requests for each daemon", few(withSpells(fleet(repeat(12, 0.5, 1, 1, 1.5))), 4), 0, 1.3, 0},
		{"a third six times slower", slow, 0.07, 1.7, 0.22},
		{"stale reports", stale, -0.01, 1.3, 0},
	} {
		t.Run(row.name, func(t *testing.T) {
			former := row.play
			former.today = true
			formerShare, formerBusiest, _, _ := former.mean()
			share, busiest, remote, attempts := row.play.mean()
			t.Logf("in time %.3f, busiest %.2f, other zones %.2f, attempts %.3f; former choice %.3f, %.2f", share, busiest, remote, attempts, formerShare, formerBusiest)
			require.GreaterOrEqual(t, share, formerShare+row.gain)
			require.LessOrEqual(t, busiest, row.busiest)
			require.LessOrEqual(t, remote, row.remote)
		})
	}
}

// TestComparedTargets shows how the number of compared targets affects the results, and guards against a number that is
// clearly worse than others.
func TestComparedTargets(t *testing.T) {
	few := withSpells(fleet(repeat(12, 0.5, 1, 1, 1.5)))
	few.zones, few.ingresses, few.slots, few.beside = 1, 4, 9, false
	stale := fleet(repeat(66, 0.7, 1, 1.3))
	stale.heartbeats, stale.ends, stale.zones, stale.utilization, stale.beside = 2*time.Second, false, 1, 0.7, false
	for _, row := range []struct {
		name string
		play play
	}{{"spells", few}, {"stale reports", stale}} {
		t.Run(row.name, func(t *testing.T) {
			best, chosen := 0.0, 0.0
			for _, compared := range []int{1, 2, 3, 4, 8} {
				p := row.play
				p.compared = compared
				share, busiest, _, _ := p.mean()
				t.Logf("%d compared: in time %.3f, busiest %.2f", compared, share, busiest)
				best = max(best, share)
				if compared == comparedTargets {
					chosen = share
				}
			}
			require.GreaterOrEqual(t, chosen, best-0.02)
		})
	}
}

// TestFalseReports guards against a target that attracts most requests by what it claims.
func TestFalseReports(t *testing.T) {
	for _, row := range []struct {
		name    string
		falsify func(r *Report)
	}{
		{"always idle", func(r *Report) { r.Backlog, r.Demand = 0, 0 }},
		{"always idle and fast", func(r *Report) {
			*r = Report{Slots: math.MaxInt, Pace: MinPace, ServiceTime: 1, RouteTime: 1}
		}},
		{"no figures", func(r *Report) { *r = Report{Pace: 1} }},
		{"no pace", func(r *Report) { r.Pace = 0 }},
		{"negative figures", func(r *Report) {
			*r = Report{Slots: -1, Backlog: -time.Hour, Demand: -1, Pace: -1, ServiceTime: -1, RouteTime: -1}
		}},
		{"no numbers", func(r *Report) { r.Pace, r.Demand = math.NaN(), math.NaN() }},
		{"too high", func(r *Report) {
			*r = Report{Slots: 1, Backlog: math.MaxInt64, Demand: math.Inf(1), Pace: math.Inf(1), ServiceTime: math.MaxInt64, RouteTime: math.MaxInt64}
		}},
	} {
		for _, n := range []int{12, 3} {
			t.Run(fmt.Sprintf("%s, %d targets", row.name, n), func(t *testing.T) {
				last := n - 1 // the target that is six times slower
				p := fleet(append(repeat(last, 1), 6))
				p.zones, p.ingresses, p.beside = 1, min(n, 4), false
				p.falsify = func(target int, r *Report) {
					if target == last {
						row.falsify(r)
					}
				}
				former := p
				former.today = true
				formerShare, _, _, _ := former.mean()
				share, _, _, _ := p.mean()
				res := p.run(1)
				requests := 0
				for _, n := range res.received {
					requests += n
				}
				got := float64(res.received[last]) / float64(requests)
				t.Logf("in time %.3f, former choice %.3f; %.3f of the requests", share, formerShare, got)
				require.LessOrEqual(t, got, 0.5/float64(n))
				require.GreaterOrEqual(t, share, formerShare-0.05)
			})
		}
	}
}

// addresses returns n addresses.
func addresses(n int) []netip.AddrPort {
	list := make([]netip.AddrPort, n)
	for i := range list {
		list[i] = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7400)
	}
	return list
}

// TestChoose checks which target is chosen of two or three that are all compared.
func TestChoose(t *testing.T) {
	const ms = time.Millisecond
	report := Report{Slots: 4, Backlog: 200 * ms, Demand: 1, Pace: 1, ServiceTime: 100 * ms, RouteTime: 100 * ms}
	changed := func(change func(r *Report)) Report {
		r := report
		change(&r)
		return r
	}
	slow := changed(func(r *Report) { r.Pace = 5 })
	busy := changed(func(r *Report) { r.Backlog = 2 * time.Second })
	for _, row := range []struct {
		name          string
		reports       []Report
		local         int // the first targets are in this zone
		before        func(table *Table, now time.Time, addrs []netip.AddrPort)
		want          int
		reason        Reason
		reportedAfter time.Duration
	}{
		{name: "the only target", reports: []Report{slow}, local: 1, want: 0, reason: OnlyTarget},
		{name: "less remaining work", reports: []Report{busy, report}, local: 2, want: 1, reason: Cheapest},
		{name: "a slower pace", reports: []Report{report, slow}, local: 2, want: 0, reason: Cheapest},
		{name: "this zone", reports: []Report{changed(func(r *Report) { r.Backlog = 300 * ms }), report}, local: 1, want: 0, reason: Cheapest},
		{name: "a clear gain in another zone", reports: []Report{slow, report}, local: 1, want: 1, reason: OtherZone},
		{name: "none in this zone", reports: []Report{slow, report}, local: 0, want: 1, reason: NoLocal},
		{name: "failed", reports: []Report{report, busy}, local: 2, want: 1, reason: Cheapest, before: func(table *Table, now time.Time, addrs []netip.AddrPort) {
			choice := table.Choose(now, "r", Candidates{Local: addrs[:1]})
			table.Done(now, choice, Failed)
		}},
		{name: "sent there", reports: []Report{report, report}, local: 2, want: 1, before: func(table *Table, now time.Time, addrs []netip.AddrPort) {
			for range 20 {
				table.Choose(now, "r", Candidates{Local: addrs[:1]})
			}
		}},
	} {
		t.Run(row.name, func(t *testing.T) {
			table := NewTable()
			table.random = func(n int) int { return n / 2 }
			now := time.Unix(1000, 0)
			addrs := addresses(len(row.reports))
			for i, r := range row.reports {
				table.RecordEnd(now, addrs[i], "r", r)
			}
			if row.before != nil {
				row.before(table, now, addrs)
			}
			choice := table.Choose(now, "r", Candidates{Local: addrs[:row.local], Remote: addrs[row.local:]})
			require.Equal(t, addrs[row.want], choice.Target)
			if row.reason == "" {
				row.reason = Cheapest
			}
			require.Equal(t, row.reason, choice.Reason)
			require.Zero(t, choice.ReportAge)
		})
	}
}

// TestInForce checks that the choice is in force only within a minute of a report of a pace.
func TestInForce(t *testing.T) {
	now := time.Unix(1000, 0)
	addr := addresses(1)[0]
	table := NewTable()
	requireInForce := func(now time.Time, want, wantChanged bool) {
		t.Helper()
		got, changed := table.InForce(now)
		require.Equal(t, want, got)
		require.Equal(t, wantChanged, changed)
	}
	requireInForce(now, false, false)
	table.RecordHeartbeat(now, addr, Report{Slots: 4, Backlog: time.Second})
	requireInForce(now, false, false)
	table.RecordHeartbeat(now, addr, Report{Slots: 4, Pace: 1})
	requireInForce(now, true, true)
	requireInForce(now.Add(time.Minute), true, false)
	requireInForce(now.Add(time.Minute+1), false, true)
}

// TestOddReports checks for random reports that a target is chosen, that its cost is a positive number, and that the Table
// keeps within its bounds.
func TestOddReports(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := NewTable()
		now := time.Unix(1000, 0)
		addrs := addresses(6)
		figure := rapid.OneOf(rapid.Float64(), rapid.SampledFrom([]float64{0, -1, math.NaN(), math.Inf(1), math.Inf(-1), 1, math.MaxFloat64}))
		duration := rapid.Map(rapid.Int64(), func(n int64) time.Duration { return time.Duration(n) })
		for i := range rapid.IntRange(0, 40).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.Int64Range(-int64(time.Second), int64(time.Minute)).Draw(t, "step")))
			addr := rapid.SampledFrom(addrs).Draw(t, "addr")
			r := Report{
				Slots: rapid.Int().Draw(t, "slots"), Backlog: duration.Draw(t, "backlog"), Demand: figure.Draw(t, "demand"),
				Pace: figure.Draw(t, "pace"), ServiceTime: duration.Draw(t, "service"), RouteTime: duration.Draw(t, "route"),
			}
			route := fmt.Sprint(rapid.IntRange(0, 30).Draw(t, "route name"))
			if i%2 == 0 {
				table.RecordEnd(now, addr, route, r)
			} else {
				table.RecordHeartbeat(now, addr, r)
			}
			choice := table.Choose(now, route, Candidates{Local: addrs[:3], Remote: addrs[3:], Own: addrs[0]})
			if !choice.Target.IsValid() {
				t.Fatal("no target chosen")
			}
			if c := table.cost(now, table.targets[choice.Target], -1); !(c > 0) || math.IsInf(c, 0) {
				t.Fatalf("cost %v", c)
			}
			end := rapid.SampledFrom([]End{Answered, Failed, Left}).Draw(t, "end")
			table.Done(now.Add(duration.Draw(t, "took")%time.Hour), choice, end)
			if len(table.routes) > maxRoutes {
				t.Fatal("too many routes")
			}
		}
	})
}

// TestTableIsBounded checks that a Table forgets the targets that were not used for the longest time.
func TestTableIsBounded(t *testing.T) {
	table := NewTable()
	now := time.Unix(1000, 0)
	addrs := addresses(maxTargets + 10)
	for i, addr := range addrs {
		table.RecordHeartbeat(now.Add(time.Duration(i)), addr, Report{Slots: 1})
	}
	require.Len(t, table.targets, maxTargets)
	require.NotContains(t, table.targets, addrs[0])
	for range 2 * maxOpen {
		table.Choose(now, "r", Candidates{Local: addrs[len(addrs)-1:]})
	}
	require.Len(t, table.targets[addrs[len(addrs)-1]].open, maxOpen)
}

// BenchmarkChoose measures a choice among 300 targets and the end of its request.
func BenchmarkChoose(b *testing.B) {
	table := NewTable()
	now := time.Unix(1000, 0)
	addrs := addresses(300)
	for _, addr := range addrs {
		table.RecordEnd(now, addr, "r", Report{Slots: 4, Backlog: time.Second, Demand: 1, Pace: 1, ServiceTime: time.Second, RouteTime: time.Second})
	}
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(100 * time.Microsecond)
		choice := table.Choose(now, "r", Candidates{Local: addrs[:100], Remote: addrs[100:], Own: addrs[0]})
		table.Done(now.Add(time.Millisecond), choice, Answered)
	}
}
