package measure

import (
	"context"
	"fmt"
	"math"
	"slices"
	"time"

	"siskinknot/io/boottime"
	"siskinknot/standin/load"
	"siskinknot/standin/processes"
	"siskinknot/standin/targetserver"
)

// Parameters of the balance section.
const (
	balanceTime = 12 * time.Second // with each set of hot keys
	balanceKeys = 2000
	windowTime  = 2 * time.Second
	// zipfS is the exponent of the skew of the keys.
	zipfS = 1.1
	// lookupTime is how long a lookup takes a target.
	lookupTime = 20 * time.Millisecond
	// balanceLoad is the share of the servers' slots that the load takes.
	balanceLoad = 0.35
	// mended is the imbalance below which hot keys count as spread.
	mended = 1.5
)

// balancing compares policies of balance under skewed keys whose hot ones
// change once.
func balancing(ctx context.Context, opts Options) ([]Table, error) {
	table := Table{
		Name: "Balance under skewed and moving hot keys",
		Note: fmt.Sprintf("Zipf %.1f over %d keys, lookups of %v at %.0f%% of all slots, hot keys change after %v; "+
			"imbalance is the busiest server's target time over the mean, in the last %v before and after the change; latency is that after it",
			zipfS, balanceKeys, lookupTime, 100*balanceLoad, balanceTime, windowTime),
		Columns: []string{
			"deployment", "policy", "least possible", "first 2 s", "before", "after", "mended after s", "again after s",
			"units moved", "p50 ms", "p99 ms", "refused", "longest wait ms",
		},
	}
	for _, d := range deployments {
		for _, policy := range []string{"none", "moves", "moves_and_keys"} {
			row, err := balanceOf(ctx, opts, d, policy)
			if err != nil {
				return []Table{table}, fmt.Errorf("%s, %s: %w", d.name, policy, err)
			}
			table.Rows = append(table.Rows, append([]string{d.name, policy}, row...))
		}
	}
	return []Table{table}, nil
}

// balanceOf runs one policy.
func balanceOf(ctx context.Context, opts Options, d deployment, policy string) ([]string, error) {
	g := d.groups([]string{"-lookup", lookupTime.String()})[0]
	tree := fmt.Sprintf(`{"services": {%q: {"kind": "divided", "slots": 256,
		"values": {"target_slots": %d, "balance_policy": %q, "balance_interval_ms": 1000}}}}`, g.service, d.slots, policy)
	fleet, err := startFleet(ctx, opts, tree, processes.Options{Servers: specs(g)})
	if err != nil {
		return nil, err
	}
	defer fleet.Close()
	t := &trial{ctx: ctx, fleet: fleet, entries: processes.NewEntries(fleet)}
	streams := []stream{lookups("lookups", g.service, "clinic", balanceLoad*d.capacity(g, lookupTime), skewed(balanceKeys))}
	start := boottime.Now()
	first := t.offerAll(streams, 0, balanceTime)[0]
	second := t.offerAll(streams, 1, balanceTime)[0]
	churn, err := t.changes()
	if err != nil {
		return nil, err
	}
	runs, err := targetserver.Runs(fleet.Dir)
	if err != nil {
		return nil, err
	}
	windows := make([]float64, 2*int(balanceTime/windowTime))
	for i := range windows {
		from := start.Add(time.Duration(i) * windowTime)
		windows[i] = imbalance(fleet, g.service, runs, from, from.Add(windowTime))
	}
	half := len(windows) / 2
	return []string{
		fmt.Sprintf("%.2f", leastImbalance(g.servers)),
		fmt.Sprintf("%.2f", windows[0]), fmt.Sprintf("%.2f", windows[half-1]), fmt.Sprintf("%.2f", windows[2*half-1]),
		mendedAfter(windows[:half]), mendedAfter(windows[half:]),
		fmt.Sprint(churn[g.service]), ms(second.tally.Quantile(50)), ms(second.tally.Quantile(99)),
		fmt.Sprint(first.tally.Count(load.NotRun) + second.tally.Count(load.NotRun)), ms(max(first.gaps.Longest(), second.gaps.Longest())),
	}, nil
}

// leastImbalance returns the imbalance of n servers if only the hottest key
// cannot be spread: it has one owner.
func leastImbalance(n int) float64 {
	total := 0.0
	for k := range balanceKeys {
		total += math.Pow(float64(k+1), -zipfS)
	}
	return max(1, float64(n)/total)
}

// mendedAfter returns when the imbalance went below mended for good.
func mendedAfter(windows []float64) string {
	i := len(windows)
	for i > 0 && windows[i-1] < mended {
		i--
	}
	if i == len(windows) {
		return "not"
	}
	return fmt.Sprintf("%.0f", (time.Duration(i) * windowTime).Seconds())
}

// shared compares ways to choose a target of a shared service.
func shared(ctx context.Context, opts Options) ([]Table, error) {
	table := Table{
		Name:    "Choice of a target of a shared service",
		Note:    "3 targets with 12 slots, one of them ten times as slow though it reports no load; 600 lookups/s of 10 ms, 5 s; ms",
		Columns: []string{"way", "p50", "p99", "p99.9", "refused", "share of the slow target %"},
	}
	for _, way := range []string{"random", "round_robin", "two_choices"} {
		tree := fmt.Sprintf(`{"services": {"archive": {"kind": "shared", "values": {"shared_choice": %q}}}}`, way)
		fleet, err := startFleet(ctx, opts, tree, processes.Options{Servers: specs(group{"archive", 3, "mid", []string{"-lookup", "10ms"}})})
		if err != nil {
			return []Table{table}, err
		}
		err = fleet.Servers[2].SetFaults(targetserver.Faults{Slow: 10, Lie: true})
		if err != nil {
			fleet.Close()
			return []Table{table}, err
		}
		t := &trial{ctx: ctx, fleet: fleet, entries: processes.NewEntries(fleet)}
		o := t.offerAll([]stream{lookups("lookups", "archive", "nursery", 600, even("page", 1000))}, 0, phaseTime)[0]
		runs, err := targetserver.Runs(fleet.Dir)
		slow := fleet.Servers[2].Spec.Name
		fleet.Close()
		if err != nil {
			return []Table{table}, err
		}
		atSlow := len(slices.DeleteFunc(slices.Clone(runs), func(r targetserver.Run) bool { return r.Server != slow }))
		table.Rows = append(table.Rows, []string{
			way, ms(o.tally.Quantile(50)), ms(o.tally.Quantile(99)), ms(o.tally.Quantile(99.9)), fmt.Sprint(o.tally.Count(load.NotRun)),
			fmt.Sprintf("%.1f", 100*float64(atSlow)/float64(max(len(runs), 1))),
		})
	}
	return []Table{table}, nil
}
