package measure

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"siskinknot/core/request"
	"siskinknot/standin/load"
	"siskinknot/standin/processes"
	"siskinknot/standin/targetserver"
)

// The two sets of settings that the scenarios compare: the defaults, and the
// same limits with every policy off.
const (
	policyOn  = `{}`
	policyOff = `{"class_queues": false, "fair_queueing": false, "early_refusal": false, "balance_policy": "none",
		"retry_budget_percent": 100, "queue_length": 8192, "bulk_share_percent": 100, "shared_choice": "round_robin"}`
)

// Parameters of the scenarios.
const (
	phaseTime  = 5 * time.Second
	mostUnder  = 6000
	uploadSize = 512 << 10
)

// stream is a part of the load with a rate of its own.
type stream struct {
	name   string
	caller string
	class  request.Class
	rate   float64
	method string
	// path returns the path of request number i.
	path     func(i int) string
	body     []byte
	deadline time.Duration
}

// scenario is a situation with load in two phases: before something happens and
// while it lasts.
type scenario struct {
	name string
	// args are the arguments of the targets.
	args    []string
	always  []stream
	during  []stream
	trouble func(*processes.Fleet) error
}

// keys returns a path function that cycles through n keys.
func keys(service, prefix string, n int) func(int) string {
	return func(i int) string { return fmt.Sprintf("/%s/%s-%d", service, prefix, i*7919%n) }
}

// lookups returns a stream of lookups.
func lookups(name, caller string, rate float64, path func(int) string) stream {
	return stream{name: name, caller: caller, class: request.Lookup, rate: rate, method: http.MethodGet, path: path, deadline: 2 * time.Second}
}

// scenarioList returns the scenarios.
func scenarioList() []scenario {
	fast := []string{"-lookup", "10ms", "-write", "20ms", "-chunk", "40ms"}
	slow := []string{"-lookup", "40ms", "-write", "40ms"}
	writes := stream{
		name: "registrations", caller: "breeder", class: request.Write, rate: 60, method: http.MethodPost,
		path: keys("registry", "new", 1<<30), body: []byte("mine"), deadline: 2 * time.Second,
	}
	checks := stream{
		name: "internal checks", caller: "registry", class: request.Internal, rate: 100, method: http.MethodGet,
		path: keys("archive", "check", 1000), deadline: 2 * time.Second,
	}
	uploads := stream{
		name: "uploads", caller: "photographer", class: request.Bulk, rate: 150, method: http.MethodPut,
		path: keys("archive", "photo", 1<<30), body: targetserver.Pattern("photo", uploadSize), deadline: 20 * time.Second,
	}
	others := lookups("nine other callers", "", 540, keys("registry", "rosa", 500))
	flood := lookups("flooding caller", "flood", 4000, keys("registry", "rosa", 500))
	return []scenario{
		{
			name: "catalogue goes live", args: fast,
			always: []stream{lookups("lookups", "nursery", 400, keys("registry", "rosa", 500)), writes},
			during: []stream{lookups("catalogue", "fair", 4000, keys("registry", "spring", 5))},
		},
		{
			name: "upload storm", args: fast,
			always: []stream{lookups("lookups", "nursery", 100, keys("archive", "page", 1000)), checks},
			during: []stream{uploads},
		},
		{name: "one caller floods", args: slow, always: []stream{others}, during: []stream{flood}},
		{
			name: "a target slows tenfold, reports health", args: fast,
			always: []stream{
				lookups("lookups", "nursery", 400, keys("archive", "page", 1000)),
				lookups("registry lookups", "nursery", 400, keys("registry", "rosa", 500)),
			},
			trouble: func(f *processes.Fleet) error { return trouble(f, targetserver.Faults{Slow: 10, Lie: true}) },
		},
		{
			name: "a target sheds", args: fast,
			always:  []stream{lookups("lookups", "nursery", 400, keys("archive", "page", 1000))},
			trouble: func(f *processes.Fleet) error { return trouble(f, targetserver.Faults{Shed: true}) },
		},
		{
			name: "three times the capacity", args: slow,
			always: []stream{lookups("lookups", "nursery", 1900, keys("registry", "rosa", 500))},
			during: []stream{lookups("excess", "nursery", 4400, keys("registry", "rosa", 500))},
		},
	}
}

// trouble sets the faults of one archive and one registry target.
func trouble(f *processes.Fleet, faults targetserver.Faults) error {
	if err := f.Servers[0].SetFaults(faults); err != nil {
		return err
	}
	return f.Servers[7].SetFaults(faults)
}

// scenarios runs every scenario with the policy on and off.
func scenarios(ctx context.Context, opts Options) ([]Table, error) {
	table := Table{
		Name: "Load scenarios",
		Note: fmt.Sprintf("7 registry and 3 archive servers with 12 slots and 110 connections; open loop, %v before and %v during; "+
			"latency in ms counts from when a request was due; the baseline is the same with all policies off", phaseTime, phaseTime),
		Columns: []string{
			"scenario", "policy", "load", "offered/s", "answered/s before", "p99 before", "answered/s",
			"p50", "p99", "p99.9", "refused", "unknown", "doubled",
		},
	}
	for _, sc := range scenarioList() {
		if !strings.Contains(sc.name, opts.Match) {
			continue
		}
		for _, policy := range []struct{ name, values string }{{"off", policyOff}, {"on", policyOn}} {
			rows, err := runScenario(ctx, opts, sc, policy.name, policy.values)
			if err != nil {
				return []Table{table}, fmt.Errorf("%s, policy %s: %w", sc.name, policy.name, err)
			}
			table.Rows = append(table.Rows, rows...)
		}
	}
	return []Table{table}, nil
}

// scenarioTree returns the settings tree of a scenario.
func scenarioTree(values string) (string, error) {
	var firm map[string]any
	if err := json.Unmarshal([]byte(values), &firm); err != nil {
		return "", err
	}
	tree, err := json.Marshal(map[string]any{
		"values": firm,
		"services": map[string]any{
			"registry": map[string]any{"kind": "divided", "slots": 256},
			"archive":  map[string]any{"kind": "shared"},
		},
	})
	return string(tree), err
}

// runScenario runs one scenario and returns a row for each stream.
func runScenario(ctx context.Context, opts Options, sc scenario, policy, values string) ([][]string, error) {
	tree, err := scenarioTree(values)
	if err != nil {
		return nil, err
	}
	fleet, err := startFleet(ctx, opts, tree, false, specs(group{"registry", 7, "mid", sc.args}, group{"archive", 3, "mid", sc.args}))
	if err != nil {
		return nil, err
	}
	defer fleet.Close()
	before := offer(ctx, fleet, sc.always, "before")
	if sc.trouble != nil {
		if err := sc.trouble(fleet); err != nil {
			return nil, err
		}
	}
	streams := append(append([]stream(nil), sc.always...), sc.during...)
	during := offer(ctx, fleet, streams, "during")
	runs, err := targetserver.Runs(fleet.Dir)
	if err != nil {
		return nil, err
	}
	audit := targetserver.Inspect(runs)
	var rows [][]string
	for i, s := range streams {
		answeredBefore, p99Before := "-", "-"
		if i < len(before) {
			answeredBefore = fmt.Sprintf("%.0f", float64(before[i].Count(load.Answered))/phaseTime.Seconds())
			p99Before = ms(before[i].Quantile(99))
		}
		t := during[i]
		rows = append(rows, []string{
			sc.name, policy, s.name, fmt.Sprintf("%.0f", s.rate), answeredBefore, p99Before,
			fmt.Sprintf("%.0f", float64(t.Count(load.Answered))/phaseTime.Seconds()),
			ms(t.Quantile(50)), ms(t.Quantile(99)), ms(t.Quantile(99.9)),
			fmt.Sprint(t.Count(load.NotRun)), fmt.Sprint(t.Count(load.Unknown)), fmt.Sprint(audit.Doubled),
		})
	}
	return rows, nil
}

// callersOf returns the callers of a stream: one, or nine if it names none.
func callersOf(s stream) []*load.Caller {
	if s.caller != "" {
		return []*load.Caller{load.NewCaller(s.caller)}
	}
	callers := make([]*load.Caller, 9)
	for i := range callers {
		callers[i] = load.NewCaller(fmt.Sprint("caller-", i))
	}
	return callers
}

// offer offers streams for a phase and returns a Tally for each.
func offer(ctx context.Context, fleet *processes.Fleet, streams []stream, phase string) []*load.Tally {
	tallies := make([]*load.Tally, len(streams))
	var wg sync.WaitGroup
	for n, s := range streams {
		tallies[n] = load.NewTally()
		callers := callersOf(s)
		g := load.Generator{Rate: s.rate, Most: mostUnder, Tally: tallies[n], Send: func(ctx context.Context, i int) load.Result {
			return callers[i%len(callers)].Do(ctx, load.Request{
				Method: s.method, URL: fleet.Servers[i%len(fleet.Servers)].URL(s.path(i)),
				ID: fmt.Sprintf("%s-%s-%d", phase, s.name, i), Class: s.class, Deadline: s.deadline, Body: s.body,
			})
		}}
		wg.Go(func() { g.Run(ctx, phaseTime) })
	}
	wg.Wait()
	return tallies
}
