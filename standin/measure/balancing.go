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
	balanceTime = 12 * time.Second // for each set of hot keys
	balanceKeys = 2000
	windowTime  = 2 * time.Second
	// zipfS is the exponent of the Zipf distribution of the keys.
	zipfS = 1.1
	// lookupTime is the service time of a lookup at a target.
	lookupTime = 20 * time.Millisecond
	// balanceLoad is the share of the servers' slots that the load occupies.
	balanceLoad = 0.35
	// balancedLimit is the imbalance below which the load counts as balanced.
	balancedLimit = 1.5
)

// balancing compares the values of balance_policy under skewed keys. The hot keys
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
			row, err := measureBalance(ctx, opts, d, policy)
			if err != nil {
				return []Table{table}, fmt.Errorf("%s, %s: %w", d.name, policy, err)
			}
			table.Rows = append(table.Rows, append([]string{d.name, policy}, row...))
		}
	}
	return []Table{table}, nil
}

// measureBalance measures one policy in a deployment and returns its cells.
func measureBalance(ctx context.Context, opts Options, d deployment, policy string) ([]string, error) {
	g := d.groups([]string{"-lookup", lookupTime.String()})[0]
	tree := fmt.Sprintf(`{"services": {%q: {"kind": "divided", "slots": 256,
		"values": {"target_slots": %d, "balance_policy": %q, "balance_interval_ms": 1000}}}}`, g.service, d.slots, policy)
	fleet, err := startFleet(ctx, opts, tree, processes.Options{Servers: vmSpecs(g)})
	if err != nil {
		return nil, err
	}
	defer fleet.Close()
	t := &trial{ctx: ctx, fleet: fleet, ingresses: processes.NewIngresses(fleet)}
	streams := []stream{lookups("lookups", g.service, "clinic", balanceLoad*d.capacity(g, lookupTime), zipfKeys(balanceKeys))}
	start := boottime.Now()
	firstPhase := t.offerStreams(streams, 0, balanceTime)[0]
	secondPhase := t.offerStreams(streams, 1, balanceTime)[0]
	changes, err := t.ownerChanges()
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
	phaseWindows := len(windows) / 2
	return []string{
		fmt.Sprintf("%.2f", minImbalance(g.servers)),
		fmt.Sprintf("%.2f", windows[0]), fmt.Sprintf("%.2f", windows[phaseWindows-1]), fmt.Sprintf("%.2f", windows[2*phaseWindows-1]),
		balancedAfter(windows[:phaseWindows]), balancedAfter(windows[phaseWindows:]),
		fmt.Sprint(changes[g.service]), ms(secondPhase.tally.Quantile(50)), ms(secondPhase.tally.Quantile(99)),
		fmt.Sprint(firstPhase.tally.Count(load.NotRun) + secondPhase.tally.Count(load.NotRun)), ms(max(firstPhase.gaps.Longest(), secondPhase.gaps.Longest())),
	}, nil
}

// minImbalance returns the lowest possible imbalance of n servers. The hottest key
// has one owner, so its load cannot be split; the load of all other keys is taken to
// be spread evenly.
func minImbalance(n int) float64 {
	total := 0.0
	for k := range balanceKeys {
		total += math.Pow(float64(k+1), -zipfS)
	}
	return max(1, float64(n)/total)
}

// balancedAfter returns the seconds after which the imbalance stays below
// balancedLimit up to the last window, or "not" if there is no such time.
func balancedAfter(windows []float64) string {
	i := len(windows)
	for i > 0 && windows[i-1] < balancedLimit {
		i--
	}
	if i == len(windows) {
		return "not"
	}
	return fmt.Sprintf("%.0f", (time.Duration(i) * windowTime).Seconds())
}

// shared compares the values of shared_choice, the choice of a target of a shared
// service.
func shared(ctx context.Context, opts Options) ([]Table, error) {
	table := Table{
		Name:    "Choice of a target of a shared service",
		Note:    "3 targets with 12 slots, one of them ten times as slow though it reports no load; 600 lookups/s of 10 ms, 5 s; ms",
		Columns: []string{"way", "p50", "p99", "p99.9", "refused", "share of the slow target %"},
	}
	for _, way := range []string{"random", "round_robin", "two_choices"} {
		tree := fmt.Sprintf(`{"services": {"archive": {"kind": "shared", "values": {"shared_choice": %q}}}}`, way)
		fleet, err := startFleet(ctx, opts, tree, processes.Options{Servers: vmSpecs(group{"archive", 3, "mid", []string{"-lookup", "10ms"}})})
		if err != nil {
			return []Table{table}, err
		}
		err = fleet.Servers[2].SetTargetFaults(targetserver.Faults{Slow: 10, ReportNoLoad: true})
		if err != nil {
			fleet.Close()
			return []Table{table}, err
		}
		t := &trial{ctx: ctx, fleet: fleet, ingresses: processes.NewIngresses(fleet)}
		result := t.offerStreams([]stream{lookups("lookups", "archive", "nursery", 600, uniformKeys("page", 1000))}, 0, phaseTime)[0]
		runs, err := targetserver.Runs(fleet.Dir)
		slowServer := fleet.Servers[2].Spec.Name
		fleet.Close()
		if err != nil {
			return []Table{table}, err
		}
		runsAtSlow := len(slices.DeleteFunc(slices.Clone(runs), func(r targetserver.Run) bool { return r.Server != slowServer }))
		table.Rows = append(table.Rows, []string{
			way, ms(result.tally.Quantile(50)), ms(result.tally.Quantile(99)), ms(result.tally.Quantile(99.9)), fmt.Sprint(result.tally.Count(load.NotRun)),
			fmt.Sprintf("%.1f", 100*float64(runsAtSlow)/float64(max(len(runs), 1))),
		})
	}
	return []Table{table}, nil
}
