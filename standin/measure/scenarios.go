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

// Settings that the scenarios compare: the defaults, and the same limits with
// every policy switched off.
const (
	policyOn  = `{}`
	policyOff = `{"class_queues": false, "fair_queueing": false, "early_refusal": false, "balance_policy": "none",
		"retry_budget_percent": 100, "queue_length": 8192, "bulk_share_percent": 100, "shared_choice": "round_robin"}`
)

// maxInFlight is the maximum number of requests of a stream in flight.
const maxInFlight = 6000

// scenarioTable is the name of the table of scenarios.
const scenarioTable = "Load scenarios"

// scenarios runs every scenario for each deployment, with the policies off and on.
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

// scenarioTree returns the settings tree of a deployment with the values of
// policy.
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
	fleet, err := startFleet(ctx, opts, tree, processes.Options{Servers: vmSpecs(d.groups(sc.args)...), Proxies: true, ZoneDelay: d.zoneDelay})
	if err != nil {
		return nil, err
	}
	defer fleet.Close()
	t := &trial{ctx: ctx, fleet: fleet, victim: fleet.Servers[1], ingresses: processes.NewIngresses(fleet), delay: d.callerDelay}
	before := t.offerStreams(sc.baseStreams, 0, sc.phase)
	changesBefore, err := t.ownerChanges()
	if err != nil {
		return nil, err
	}
	streams := append(append([]stream(nil), sc.baseStreams...), sc.extraStreams...)
	startedAt := boottime.Now()
	during, err := t.offerDuringEvent(sc, streams)
	if err != nil {
		return nil, err
	}
	endedAt := boottime.Now()
	changes, err := t.ownerChanges()
	if err != nil {
		return nil, err
	}
	runs, err := targetserver.Runs(fleet.Dir)
	if err != nil {
		return nil, err
	}
	doubled := targetserver.Inspect(runs).DuplicateRuns
	rows := make([][]string, 0, len(streams))
	for i, s := range streams {
		answeredBefore, p99Before := "-", "-"
		if i < len(before) {
			answeredBefore, p99Before = before[i].goodput(sc.phase), ms(before[i].tally.Quantile(99))
		}
		row := append([]string{s.name, fmt.Sprintf("%.0f", s.rate), answeredBefore, p99Before}, during[i].cells(sc.phase)...)
		rows = append(rows, append(
			row, fmt.Sprint(doubled),
			fmt.Sprintf("%.2f", imbalance(fleet, s.service, runs, startedAt, endedAt)),
			fmt.Sprint(changes[s.service]-changesBefore[s.service]), ms(during[i].gaps.Longest()),
		))
	}
	return rows, nil
}

// offerDuringEvent sends the streams of the second phase of a scenario while its
// event happens. It returns an error if the event fails or if an ingress daemon in
// use has ended.
func (t *trial) offerDuringEvent(sc scenario, streams []stream) ([]*streamResult, error) {
	var eventDone sync.WaitGroup
	var eventErr error
	if sc.event != nil {
		eventDone.Go(func() { eventErr = sc.event(t) })
	}
	during := t.offerStreams(streams, 1, sc.phase)
	eventDone.Wait()
	if eventErr != nil {
		return nil, eventErr
	}
	for _, s := range t.ingresses.Used() {
		if !s.Daemon.Running() {
			return nil, fmt.Errorf("the daemon of %s is no longer running", s.Spec.Name)
		}
	}
	return during, nil
}

// streamResult is the result of a stream in a phase.
type streamResult struct {
	// tally counts all requests, lastThird those of the last third of the phase.
	tally, lastThird *load.Tally
	gaps             *load.Gaps
	// inTime is the number of requests that were answered within the phase.
	inTime int
}

// goodput returns the rate of the answers within the phase, per second.
func (r *streamResult) goodput(phase time.Duration) string {
	return fmt.Sprintf("%.0f", float64(r.inTime)/phase.Seconds())
}

// cells returns the result as cells of the table.
func (r *streamResult) cells(phase time.Duration) []string {
	return []string{
		r.goodput(phase), ms(r.tally.Quantile(50)), ms(r.tally.Quantile(99)), ms(r.tally.Quantile(99.9)), ms(r.lastThird.Quantile(99)),
		fmt.Sprint(r.tally.Count(load.NotRun)), fmt.Sprint(r.tally.Count(load.Unknown)),
	}
}

// offerStreams sends streams for the phase with the given number and length, and
// returns their results in the same order once all requests have ended.
func (t *trial) offerStreams(streams []stream, phase int, length time.Duration) []*streamResult {
	results := make([]*streamResult, len(streams))
	var wg sync.WaitGroup
	for n, s := range streams {
		r := &streamResult{tally: load.NewTally(), lastThird: load.NewTally(), gaps: load.NewGaps()}
		results[n] = r
		keyOf := s.keys(phase)
		callers := callersOf(s, t.delay)
		g := load.Generator{Rate: s.rate, MaxInFlight: maxInFlight, Tally: r.tally, LastThird: r.lastThird, Send: func(ctx context.Context, i int) load.Result {
			key := keyOf(i)
			sent := time.Now()
			res := callers[i%len(callers)].Do(ctx, load.Request{
				Method: s.method, URL: t.ingresses.Pick(rand.IntN).URL("/" + s.service + "/" + key),
				ID: fmt.Sprintf("%d-%s-%d", phase, s.name, i), Class: s.class, Deadline: s.deadline, Body: s.body,
			})
			r.gaps.Add(key, sent, time.Now(), res.End == load.Answered)
			return res
		}}
		wg.Go(func() {
			r.inTime = g.Run(t.ctx, length)
			for _, c := range callers {
				c.Close()
			}
		})
	}
	wg.Wait()
	return results
}

// defaultCallers are the names of the callers of a stream that names no caller.
var defaultCallers = strings.Fields("one two three four five six seven eight nine")

// callersOf returns the callers of a stream, with delay as the one-way delay to
// their ingress daemons.
func callersOf(s stream, delay time.Duration) []*load.Caller {
	callerNames := []string{s.caller}
	if s.caller == "" {
		callerNames = defaultCallers
	}
	callers := make([]*load.Caller, 0, len(callerNames))
	for _, name := range callerNames {
		c := load.NewCaller(name)
		c.Delay = delay
		callers = append(callers, c)
	}
	return callers
}

// imbalance returns the target time of the busiest server of a service divided by
// the mean of its servers, for the runs that started at from or later and before
// to.
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
	total, busiest := time.Duration(0), time.Duration(0)
	for _, d := range busy {
		total += d
		busiest = max(busiest, d)
	}
	return busiest.Seconds() / max(total.Seconds()/float64(len(busy)), 1e-9)
}
