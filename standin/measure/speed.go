package measure

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"siskinknot/core/request"
	"siskinknot/standin/load"
	"siskinknot/standin/processes"
)

// Parameters of the speed section.
const (
	speedTime     = 4 * time.Second
	speedKeys     = 256
	latencyUsers  = 6  // half of the 12 slots of a target
	fullLoadUsers = 48 // for the cost at full load
)

// speedTree is the settings tree of the speed section. Its parameter is the slots
// of a target, which at full load exceed the requests that the users have in
// flight.
const speedTree = `{"services": {"registry": {"kind": "divided", "slots": 256, "values": {"target_slots": %d, "balance_policy": "none"}}}}`

// addedLatency measures the latency that the daemons add to a lookup. Lookups
// through the daemons alternate with lookups sent directly to the target.
func addedLatency(ctx context.Context, opts Options) ([]Table, error) {
	table := Table{
		Name:    "Latency added to a lookup",
		Note:    "6 users in a closed loop, each alternating both ways, 1 ms lookups at targets with 12 slots; medians of rounds (range), ms",
		Columns: []string{"way", "p50", "p99", "p99.9", "added p50", "added p99"},
	}
	ways := []string{"straight to the target", "entry is the owner", "entry and owner differ"}
	p50, p99, p999 := make([][]float64, 3), make([][]float64, 3), make([][]float64, 3)
	for range opts.Rounds {
		fleet, err := startFleet(ctx, opts, fmt.Sprintf(speedTree, 12), processes.Options{Servers: vmSpecs(group{"registry", 3, "mid", nil})})
		if err != nil {
			return []Table{table}, err
		}
		tallies := lookupEachWay(ctx, fleet)
		fleet.Close()
		for way, t := range tallies {
			p50[way] = append(p50[way], t.Quantile(50).Seconds()*1e3)
			p99[way] = append(p99[way], t.Quantile(99).Seconds()*1e3)
			p999[way] = append(p999[way], t.Quantile(99.9).Seconds()*1e3)
		}
	}
	for way, name := range ways {
		table.Rows = append(table.Rows, []string{
			name, medianAndRange("%.2f", p50[way]), medianAndRange("%.2f", p99[way]), medianAndRange("%.2f", p999[way]),
			fmt.Sprintf("%.2f", median(p50[way])-median(p50[0])), fmt.Sprintf("%.2f", median(p99[way])-median(p99[0])),
		})
	}
	return []Table{table}, nil
}

// lookupEachWay sends each lookup in three ways: directly to the target, through
// the owning daemon, and through another daemon. It returns a Tally for each way.
func lookupEachWay(ctx context.Context, fleet *processes.Fleet) [3]*load.Tally {
	tallies := [3]*load.Tally{load.NewTally(), load.NewTally(), load.NewTally()}
	owners := ownersOf(ctx, fleet)
	end := time.Now().Add(speedTime)
	var wg sync.WaitGroup
	for user := range latencyUsers {
		wg.Go(func() {
			c := load.NewCaller(fmt.Sprint("user-", user))
			for i := 0; time.Now().Before(end); i++ {
				key := (i*7 + user) % speedKeys
				owner := owners[key]
				other := fleet.Servers[(indexOf(fleet, owner)+1)%len(fleet.Servers)]
				urls := [3]string{
					fmt.Sprintf("http://%s/k%d", owner.TargetAddr, key),
					owner.URL(fmt.Sprintf("/registry/k%d", key)),
					other.URL(fmt.Sprintf("/registry/k%d", key)),
				}
				for way, url := range urls {
					res := c.Do(ctx, load.Request{Method: http.MethodGet, URL: url, ID: fmt.Sprint(user, "-", i), Class: request.Lookup})
					if way == 0 && res.Status == http.StatusNotFound {
						res.End = load.Answered // a target sends no outcome header
					}
					tallies[way].Add(res, res.Took)
				}
			}
		})
	}
	wg.Wait()
	return tallies
}

// ownersOf returns the server that owns each key.
func ownersOf(ctx context.Context, fleet *processes.Fleet) map[int]*processes.Server {
	owners := map[int]*processes.Server{}
	for key := range speedKeys {
		ex, err := fleet.Servers[0].Operator.Explain(ctx, "registry", fmt.Sprint("k", key))
		if err != nil {
			continue
		}
		owners[key] = fleet.ServerOf(ex.Owner)
	}
	return owners
}

// indexOf returns the index of s among the servers of the fleet, or 0.
func indexOf(fleet *processes.Fleet, s *processes.Server) int {
	for i, other := range fleet.Servers {
		if other == s {
			return i
		}
	}
	return 0
}

// requestCost measures the processor time and the allocations of a lookup at full
// load.
func requestCost(ctx context.Context, opts Options) ([]Table, error) {
	table := Table{
		Name: "Cost of a lookup",
		Note: "48 users in a closed loop, lookups that take the target no time, every request crosses entry and owner; " +
			"medians of rounds (range)",
		Columns: []string{
			"requests/s", "entry us", "owner us", "requests/s a core (entry)", "requests/s a core (owner)",
			"allocations entry", "allocations owner", "idle MiB",
		},
	}
	var rate, ingressUs, ownerUs, ingressAllocs, ownerAllocs, idle []float64
	for range opts.Rounds {
		args := []string{"-lookup", "0", "-connect", "0", "-slots", "64"}
		fleet, err := startFleet(ctx, opts, fmt.Sprintf(speedTree, 64), processes.Options{Servers: vmSpecs(group{"registry", 3, "mid", args})})
		if err != nil {
			return []Table{table}, err
		}
		c, err := measureFullLoad(ctx, fleet)
		fleet.Close()
		if err != nil {
			return []Table{table}, err
		}
		rate = append(rate, c.rate)
		ingressUs = append(ingressUs, c.ingressUs)
		ownerUs = append(ownerUs, c.ownerUs)
		ingressAllocs = append(ingressAllocs, c.ingressAllocs)
		ownerAllocs = append(ownerAllocs, c.ownerAllocs)
		idle = append(idle, c.idle)
	}
	table.Rows = append(table.Rows, []string{
		medianAndRange("%.0f", rate), medianAndRange("%.1f", ingressUs), medianAndRange("%.1f", ownerUs),
		fmt.Sprintf("%.0f", 1e6/median(ingressUs)), fmt.Sprintf("%.0f", 1e6/median(ownerUs)),
		medianAndRange("%.0f", ingressAllocs), medianAndRange("%.0f", ownerAllocs), medianAndRange("%.1f", idle),
	})
	return []Table{table}, nil
}

// costs are the costs of a request: rate in requests per second, processor time of
// the ingress and the owning daemon in microseconds, allocations in objects, and
// the resident memory of the idle ingress daemon in MiB.
type costs struct {
	rate, ingressUs, ownerUs, ingressAllocs, ownerAllocs, idle float64
}

// measureFullLoad sends lookups for the keys of one owner through one other daemon,
// without pause, and returns their costs.
func measureFullLoad(ctx context.Context, fleet *processes.Fleet) (costs, error) {
	owners := ownersOf(ctx, fleet)
	ingress, owner := fleet.Servers[0], fleet.Servers[1]
	var keys []int
	for key, s := range owners {
		if s == owner {
			keys = append(keys, key)
		}
	}
	c := costs{idle: resident(ingress.Daemon.Pid())}
	before, err := allocations(ingress, owner)
	if err != nil {
		return c, err
	}
	cpuBefore := [2]time.Duration{cpu(ingress.Daemon.Pid()), cpu(owner.Daemon.Pid())}
	tally := load.NewTally()
	start := time.Now()
	var wg sync.WaitGroup
	for user := range fullLoadUsers {
		wg.Go(func() {
			caller := load.NewCaller(fmt.Sprint("user-", user))
			for i := 0; time.Since(start) < speedTime; i++ {
				url := ingress.URL(fmt.Sprintf("/registry/k%d", keys[i%len(keys)]))
				res := caller.Do(ctx, load.Request{Method: http.MethodGet, URL: url, ID: fmt.Sprint(user, "-", i), Class: request.Lookup})
				tally.Add(res, res.Took)
			}
		})
	}
	wg.Wait()
	elapsed := time.Since(start)
	n := float64(tally.Count(load.Answered))
	after, err := allocations(ingress, owner)
	if err != nil {
		return c, err
	}
	c.rate = n / elapsed.Seconds()
	c.ingressUs = float64((cpu(ingress.Daemon.Pid()) - cpuBefore[0]).Microseconds()) / n
	c.ownerUs = float64((cpu(owner.Daemon.Pid()) - cpuBefore[1]).Microseconds()) / n
	c.ingressAllocs = (after[0] - before[0]) / n
	c.ownerAllocs = (after[1] - before[1]) / n
	return c, nil
}

// allocations returns, for each daemon, the number of objects allocated so far.
func allocations(servers ...*processes.Server) ([]float64, error) {
	var list []float64
	for _, s := range servers {
		values, err := metrics(s)
		if err != nil {
			return nil, err
		}
		list = append(list, values["go_memstats_mallocs_total"])
	}
	return list, nil
}
