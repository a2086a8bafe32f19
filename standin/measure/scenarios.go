package measure

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"siskinknot/io/boottime"
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

// mostUnder bounds the requests of a stream that are under way.
const mostUnder = 6000

// scenarioTable is the name of the table of scenarios.
const scenarioTable = "Load scenarios"

// scenarios runs every scenario for each deployment, with the policy off and on.
func scenarios(ctx context.Context, opts Options) ([]Table, error) {
	table := Table{
		Name: scenarioTable,
		Note: fmt.Sprintf("open loop, %v before and %v during, unless the scenario takes longer; latency in ms counts from when a request was due, "+
			"and includes the way to the entry and back; answers a second are those that came within the phase, the end is its last third; "+
			"imbalance is the busiest server's target time over the mean of its service; moved counts units that changed owner; "+
			"unavailable is the longest time from a request for a key that was not answered, or that waited, to the answer, in ms; "+
			"all in the second phase, doubled in both; the baseline is the same with all policies off", phaseTime, phaseTime),
		Columns: []string{
			"deployment", "scenario", "policy", "load", "offered/s", "answered/s before", "p99 before", "answered/s",
			"p50", "p99", "p99.9", "p99 at the end", "refused", "unknown", "doubled", "imbalance", "moved", "unavailable",
		},
	}
	for _, d := range deployments {
		for _, sc := range scenarioList(d) {
			if !strings.Contains(sc.name, opts.Match) {
				continue
			}
			for _, policy := range []struct{ name, values string }{{"off", policyOff}, {"on", policyOn}} {
				rows, err := runScenario(ctx, opts, d, sc, policy.values)
				if err != nil {
					return []Table{table}, fmt.Errorf("%s, %s, policy %s: %w", d.name, sc.name, policy.name, err)
				}
				for _, row := range rows {
					table.Rows = append(table.Rows, append([]string{d.name, sc.name, policy.name}, row...))
				}
			}
		}
	}
	return []Table{table}, nil
}

// scenarioTree returns the settings tree of a deployment under a policy.
func scenarioTree(d deployment, policy string) (string, error) {
	values := map[string]any{"target_slots": d.slots, "target_connections": d.connections}
	if err := json.Unmarshal([]byte(policy), &values); err != nil {
		return "", err
	}
	tree, err := json.Marshal(map[string]any{
		"values": values,
		"services": map[string]any{
			d.divided.service: map[string]any{"kind": "divided", "slots": 256},
			d.shared.service:  map[string]any{"kind": "shared"},
		},
	})
	return string(tree), err
}

// runScenario runs one scenario and returns a row for each stream.
func runScenario(ctx context.Context, opts Options, d deployment, sc scenario, policy string) ([][]string, error) {
	tree, err := scenarioTree(d, policy)
	if err != nil {
		return nil, err
	}
	fleet, err := startFleet(ctx, opts, tree, processes.Options{Servers: specs(d.groups(sc.args)...), Proxies: true, ZoneDelay: d.zoneDelay})
	if err != nil {
		return nil, err
	}
	defer fleet.Close()
	t := &trial{ctx: ctx, fleet: fleet, victim: fleet.Servers[1], entries: processes.NewEntries(fleet), delay: d.callerDelay}
	before := t.offerAll(sc.always, 0, sc.phase)
	churnBefore, err := t.changes()
	if err != nil {
		return nil, err
	}
	streams := append(append([]stream(nil), sc.always...), sc.during...)
	began := boottime.Now()
	during, err := t.offerInTrouble(sc, streams)
	if err != nil {
		return nil, err
	}
	ended := boottime.Now()
	churn, err := t.changes()
	if err != nil {
		return nil, err
	}
	runs, err := targetserver.Runs(fleet.Dir)
	if err != nil {
		return nil, err
	}
	doubled := targetserver.Inspect(runs).Doubled
	rows := make([][]string, 0, len(streams))
	for i, s := range streams {
		answeredBefore, p99Before := "-", "-"
		if i < len(before) {
			answeredBefore, p99Before = before[i].goodput(sc.phase), ms(before[i].tally.Quantile(99))
		}
		row := append([]string{s.name, fmt.Sprintf("%.0f", s.rate), answeredBefore, p99Before}, during[i].cells(sc.phase)...)
		rows = append(rows, append(
			row, fmt.Sprint(doubled),
			fmt.Sprintf("%.2f", imbalance(fleet, s.service, runs, began, ended)),
			fmt.Sprint(churn[s.service]-churnBefore[s.service]), ms(during[i].gaps.Longest()),
		))
	}
	return rows, nil
}

// offerInTrouble offers streams for the second phase of a scenario, while its
// trouble happens.
func (t *trial) offerInTrouble(sc scenario, streams []stream) ([]*offered, error) {
	var troubled sync.WaitGroup
	var failed error
	if sc.trouble != nil {
		troubled.Go(func() { failed = sc.trouble(t) })
	}
	during := t.offerAll(streams, 1, sc.phase)
	troubled.Wait()
	if failed != nil {
		return nil, failed
	}
	for _, s := range t.entries.Used() {
		if !s.Daemon.Running() {
			return nil, fmt.Errorf("the daemon of %s has ended", s.Spec.Name)
		}
	}
	return during, nil
}

// offered is what became of a stream.
type offered struct {
	// late counts the requests of the last third of the phase, tally all.
	tally, late *load.Tally
	gaps        *load.Gaps
	// inTime is the number of answers that came within the phase.
	inTime int
}

// goodput returns the answers a second that came within a phase.
func (o *offered) goodput(phase time.Duration) string {
	return fmt.Sprintf("%.0f", float64(o.inTime)/phase.Seconds())
}

// cells returns the cells of a table about what became of a stream in a phase.
func (o *offered) cells(phase time.Duration) []string {
	return []string{
		o.goodput(phase), ms(o.tally.Quantile(50)), ms(o.tally.Quantile(99)), ms(o.tally.Quantile(99.9)), ms(o.late.Quantile(99)),
		fmt.Sprint(o.tally.Count(load.NotRun)), fmt.Sprint(o.tally.Count(load.Unknown)),
	}
}

// offerAll offers streams for a phase, which has a number and a length.
func (t *trial) offerAll(streams []stream, phase int, length time.Duration) []*offered {
	results := make([]*offered, len(streams))
	var wg sync.WaitGroup
	for n, s := range streams {
		o := &offered{tally: load.NewTally(), late: load.NewTally(), gaps: load.NewGaps()}
		results[n] = o
		path := s.keys(phase)
		callers := callersOf(s, t.delay)
		g := load.Generator{Rate: s.rate, Most: mostUnder, Tally: o.tally, Late: o.late, Send: func(ctx context.Context, i int) load.Result {
			key := path(i)
			sent := time.Now()
			res := callers[i%len(callers)].Do(ctx, load.Request{
				Method: s.method, URL: t.entries.Pick(rand.IntN).URL("/" + s.service + "/" + key),
				ID: fmt.Sprintf("%d-%s-%d", phase, s.name, i), Class: s.class, Deadline: s.deadline, Body: s.body,
			})
			o.gaps.Add(key, sent, time.Now(), res.End == load.Answered)
			return res
		}}
		wg.Go(func() {
			o.inTime = g.Run(t.ctx, length)
			for _, c := range callers {
				c.Close()
			}
		})
	}
	wg.Wait()
	return results
}

// manyCallers are the callers of a stream that names none.
var manyCallers = strings.Fields("one two three four five six seven eight nine")

// callersOf returns the callers of a stream, at a delay from their entries.
func callersOf(s stream, delay time.Duration) []*load.Caller {
	callerNames := []string{s.caller}
	if s.caller == "" {
		callerNames = manyCallers
	}
	callers := make([]*load.Caller, 0, len(callerNames))
	for _, name := range callerNames {
		c := load.NewCaller(name)
		c.Delay = delay
		callers = append(callers, c)
	}
	return callers
}

// imbalance returns the target time of the busiest server of a service over
// their mean, for the runs that began in a span of time.
func imbalance(fleet *processes.Fleet, service string, runs []targetserver.Run, from, to time.Time) float64 {
	busy := map[string]time.Duration{}
	for _, s := range fleet.Servers {
		if s.Spec.Service == service {
			busy[s.Spec.Name] = 0
		}
	}
	for _, run := range runs {
		if _, ok := busy[run.Server]; ok && !run.Begin.Before(from) && run.Begin.Before(to) && !run.End.IsZero() {
			busy[run.Server] += run.End.Sub(run.Begin)
		}
	}
	total, most := time.Duration(0), time.Duration(0)
	for _, d := range busy {
		total += d
		most = max(most, d)
	}
	return most.Seconds() / max(total.Seconds()/float64(len(busy)), 1e-9)
}
