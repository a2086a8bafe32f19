package measure

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"time"

	"siskinknot/core/request"
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

// deployments are the two deployments' services divided by key.
var deployments = []struct {
	name    string
	group   group
	slots   int
	targets int
}{
	{"Midlands registry", group{service: "registry", servers: 7, zones: "mid"}, 12, 7},
	{"HCM order-desk", group{service: "order-desk", servers: 8, zones: "hcm"}, 9, 8},
}

// balancing compares policies of balance under skewed keys whose hot ones
// change once.
func balancing(ctx context.Context, opts Options) ([]Table, error) {
	table := Table{
		Name: "Balance under skewed and moving hot keys",
		Note: fmt.Sprintf("Zipf %.1f over %d keys, lookups of %v at %.0f%% of all slots, hot keys change after %v; "+
			"imbalance is the busiest server's target time over the mean, in the last %v before and after the change",
			zipfS, balanceKeys, lookupTime, 100*balanceLoad, balanceTime, windowTime),
		Columns: []string{
			"deployment", "policy", "least possible", "first 2 s", "before", "after", "mended after s", "again after s",
			"units moved", "p50 ms", "p99 ms", "refused", "longest wait ms",
		},
	}
	for _, d := range deployments {
		for _, policy := range []string{"none", "moves", "moves_and_keys"} {
			d.group.args = []string{"-lookup", lookupTime.String(), "-slots", strconv.Itoa(d.slots)}
			tree := fmt.Sprintf(`{"services": {%q: {"kind": "divided", "slots": 256,
				"values": {"target_slots": %d, "balance_policy": %q, "balance_interval_ms": 1000}}}}`, d.group.service, d.slots, policy)
			row, err := balanceOf(ctx, opts, tree, d.group, d.slots)
			if err != nil {
				return []Table{table}, fmt.Errorf("%s, %s: %w", d.name, policy, err)
			}
			table.Rows = append(table.Rows, append([]string{d.name, policy}, row...))
		}
	}
	return []Table{table}, nil
}

// balanceOf runs one policy.
func balanceOf(ctx context.Context, opts Options, tree string, g group, slots int) ([]string, error) {
	fleet, err := startFleet(ctx, opts, tree, false, specs(g))
	if err != nil {
		return nil, err
	}
	defer fleet.Close()
	rate := balanceLoad * float64(slots*g.servers) / lookupTime.Seconds()
	tally, gaps := load.NewTally(), load.NewGaps()
	c := load.NewCaller("clinic")
	start := boottime.Now()
	for phase := range 2 {
		zipf := rand.NewZipf(rand.New(rand.NewPCG(1, uint64(phase))), zipfS, 1, balanceKeys-1)
		picks := make([]uint64, int(rate*balanceTime.Seconds())+1)
		for i := range picks {
			picks[i] = zipf.Uint64()
		}
		gen := load.Generator{Rate: rate, Most: mostUnder, Tally: tally, Send: func(ctx context.Context, i int) load.Result {
			key := fmt.Sprintf("k%d-%d", phase, picks[i])
			sent := time.Now()
			res := c.Do(ctx, load.Request{
				Method: http.MethodGet, URL: fleet.Servers[i%g.servers].URL("/" + g.service + "/" + key),
				ID: fmt.Sprint(phase, "-", i), Class: request.Lookup, Deadline: 2 * time.Second,
			})
			gaps.Add(key, sent, time.Now(), res.End == load.Answered)
			return res
		}}
		gen.Run(ctx, balanceTime)
	}
	st, err := fleet.Servers[0].Operator.Status(ctx)
	if err != nil {
		return nil, err
	}
	runs, err := targetserver.Runs(fleet.Dir)
	if err != nil {
		return nil, err
	}
	windows := imbalances(fleet, runs, start)
	half := int(balanceTime / windowTime)
	return []string{
		fmt.Sprintf("%.2f", leastImbalance(g.servers)),
		fmt.Sprintf("%.2f", windows[0]), fmt.Sprintf("%.2f", windows[half-1]), fmt.Sprintf("%.2f", windows[2*half-1]),
		mendedAfter(windows[:half]), mendedAfter(windows[half:]),
		fmt.Sprint(st.Services[0].Changes), ms(tally.Quantile(50)), ms(tally.Quantile(99)),
		fmt.Sprint(tally.Count(load.NotRun)), ms(gaps.Longest()),
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

// imbalances returns the imbalance of each window since start.
func imbalances(fleet *processes.Fleet, runs []targetserver.Run, start time.Time) []float64 {
	n := int(2 * balanceTime / windowTime)
	busy := make([]map[string]time.Duration, n)
	for i := range busy {
		busy[i] = map[string]time.Duration{}
	}
	for _, run := range runs {
		if i := int(run.Begin.Sub(start) / windowTime); i >= 0 && i < n && !run.End.IsZero() {
			busy[i][run.Server] += run.End.Sub(run.Begin)
		}
	}
	list := make([]float64, n)
	for i, b := range busy {
		total, most := time.Duration(0), time.Duration(0)
		for _, d := range b {
			total += d
			most = max(most, d)
		}
		list[i] = most.Seconds() / max(total.Seconds()/float64(len(fleet.Servers)), 1e-9)
	}
	return list
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
		fleet, err := startFleet(ctx, opts, tree, false, specs(group{"archive", 3, "mid", []string{"-lookup", "10ms"}}))
		if err != nil {
			return []Table{table}, err
		}
		err = fleet.Servers[2].SetFaults(targetserver.Faults{Slow: 10, Lie: true})
		if err != nil {
			fleet.Close()
			return []Table{table}, err
		}
		t := offer(ctx, fleet, []stream{lookups("lookups", "nursery", 600, keys("archive", "page", 1000))}, way)[0]
		runs, err := targetserver.Runs(fleet.Dir)
		slow := fleet.Servers[2].Spec.Name
		fleet.Close()
		if err != nil {
			return []Table{table}, err
		}
		atSlow := len(slices.DeleteFunc(slices.Clone(runs), func(r targetserver.Run) bool { return r.Server != slow }))
		table.Rows = append(table.Rows, []string{
			way, ms(t.Quantile(50)), ms(t.Quantile(99)), ms(t.Quantile(99.9)), fmt.Sprint(t.Count(load.NotRun)),
			fmt.Sprintf("%.1f", 100*float64(atSlow)/float64(max(len(runs), 1))),
		})
	}
	return []Table{table}, nil
}
