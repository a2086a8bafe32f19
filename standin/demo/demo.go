// Package demo runs a fleet through a series of faults and changes and prints what
// happens. "make run" runs it.
//
// Six targets of two services in three availability zones serve lookups,
// registrations and uploads. Meanwhile the owner of some keys is killed, another
// one is frozen until its lease has ended and then resumed, settings are edited,
// and a target drains. Whether the guarantees were kept is checked only with the
// records of the targets and the callers, not with reports of the daemons.
//
// # Usage
//
//	report, err := demo.Run(ctx, "bin", os.Stdout)
//	if report.Broken() { ... }
package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"siskinknot/core/request"
	"siskinknot/core/settings"
	"siskinknot/io/member"
	"siskinknot/standin/load"
	"siskinknot/standin/processes"
	"siskinknot/standin/targetserver"
)

// Parameters of the load: rates in requests per second, the number of keys, the
// size of an upload in bytes, and deadlines.
const (
	lookupRate   = 300
	registerRate = 60
	uploadRate   = 4
	keyCount     = 96
	uploadBytes  = 768 << 10
	deadline     = 5 * time.Second
	bulkDeadline = 10 * time.Second
)

// settingsTree is the settings tree of the demonstration.
const settingsTree = `{
  "values": {"default_deadline_ms": 5000, "target_checks_grants": true},
  "services": {
    "registry": {"kind": "divided", "slots": 64, "values": {"target_slots": 12, "target_connections": 110}},
    "archive": {"kind": "shared", "values": {"target_slots": 12, "bulk_share_percent": 75}}
  }
}`

// Report is the result of the demonstration.
type Report struct {
	// Answered, NotRun, Unknown and Wrong are the numbers of requests by how they
	// ended.
	Answered, NotRun, Unknown, Wrong int
	// Audit is the result of the check of the targets' records.
	Audit targetserver.Audit
	// WronglyRefused is the number of registrations that were reported as not
	// run but did run.
	WronglyRefused int
	// LongestOutage is the longest time that a key was unavailable.
	LongestOutage time.Duration
	// SettingsDelay is the time from the publishing of an edit until all
	// daemons reported it in effect.
	SettingsDelay time.Duration
}

// Broken reports whether a guarantee was violated: a duplicate run, two owners of a
// key at one time, a run under an outdated token, a wrong answer, or a request that
// was reported as not run but did run.
func (r Report) Broken() bool {
	return r.Audit.DuplicateRuns > 0 || r.Audit.MaxOwners > 1 || r.Audit.Stale > 0 || r.Wrong > 0 || r.WronglyRefused > 0
}

// Summary returns the summary, the last line that the demonstration prints.
func (r Report) Summary() string {
	return fmt.Sprintf("answered %d, not run %d, unknown %d, doubled %d, most owners of a key at one time %d, "+
		"longest time that a key was unavailable %d ms, settings in force everywhere after %d ms",
		r.Answered, r.NotRun, r.Unknown, r.Audit.DuplicateRuns, r.Audit.MaxOwners,
		r.LongestOutage.Milliseconds(), r.SettingsDelay.Milliseconds())
}

// demo is a running demonstration.
type demo struct {
	out   io.Writer
	fleet *processes.Fleet
	start time.Time
	tally *load.Tally
	gaps  *load.Gaps
	// ingresses are the daemons that callers use.
	ingresses *processes.Ingresses

	mu sync.Mutex
	// notRun are the ids of registrations that were reported as not run.
	notRun map[string]bool
}

// Run runs the demonstration with the programs in the directory bin and writes what
// happens to out. It returns an error if the fleet does not start, or a step fails
// or takes too long.
func Run(ctx context.Context, bin string, out io.Writer) (Report, error) {
	specs := make([]processes.ServerSpec, 0, 6)
	for i, zone := range []string{"mid-a", "mid-b", "mid-c"} {
		args := []string{"-check_grants"}
		specs = append(specs,
			processes.ServerSpec{Name: fmt.Sprintf("registry-%d", i+1), Service: "registry", Zone: zone, TargetArgs: args},
			processes.ServerSpec{Name: fmt.Sprintf("archive-%d", i+1), Service: "archive", Zone: zone})
	}
	fleet, err := processes.Start(processes.Options{Bin: bin, Servers: specs, Settings: json.RawMessage(settingsTree)})
	if err != nil {
		return Report{}, err
	}
	defer fleet.Close()
	d := &demo{
		out: out, fleet: fleet, start: time.Now(), tally: load.NewTally(), gaps: load.NewGaps(),
		notRun: map[string]bool{}, ingresses: processes.NewIngresses(fleet),
	}
	return d.run(ctx)
}

// printf prints a line with the seconds since the start.
func (d *demo) printf(format string, args ...any) {
	fmt.Fprintf(d.out, "%6.2fs  %s\n", time.Since(d.start).Seconds(), fmt.Sprintf(format, args...))
}

// run waits for the fleet, runs the steps under load and returns the counts.
func (d *demo) run(ctx context.Context) (Report, error) {
	d.printf("6 targets of 2 services (registry: divided by key, archive: shared), a daemon beside each, in 3 availability zones")
	if err := d.fleet.WaitReady(ctx); err != nil {
		return Report{}, err
	}
	d.printf("every daemon holds its lease, every slot of the registry has an owner")
	loadCtx, stop := context.WithCancel(ctx)
	defer stop()
	var wg sync.WaitGroup
	d.startLoad(loadCtx, &wg)
	report, err := d.runSteps(ctx)
	stop()
	wg.Wait()
	if err != nil {
		return Report{}, err
	}
	return d.evaluate(report)
}

// runSteps runs the steps of the demonstration.
func (d *demo) runSteps(ctx context.Context) (report Report, err error) {
	sleep(ctx, 3*time.Second)
	if err := d.loseVM(ctx, d.fleet.Servers[0]); err != nil {
		return report, err
	}
	if err := d.freezeDaemon(ctx, d.fleet.Servers[2]); err != nil {
		return report, err
	}
	report.SettingsDelay, err = d.editSettings(ctx)
	if err != nil {
		return report, err
	}
	drained := d.fleet.Servers[4]
	d.printf("the target of %s drains", drained.Spec.Name)
	if err := drained.SetTargetFaults(targetserver.Faults{State: "draining"}); err != nil {
		return report, err
	}
	if err := d.waitOwnsNoSlots(ctx, drained.Spec.Name); err != nil {
		return report, err
	}
	d.printf("%s has transferred its keys; none was in use at the time", drained.Spec.Name)
	sleep(ctx, 2*time.Second)
	return report, nil
}

// loseVM kills the daemon and the target of a VM, waits until other servers own its
// keys, and starts both again.
func (d *demo) loseVM(ctx context.Context, killed *processes.Server) error {
	d.printf("%s loses its VM: the daemon and the target are killed", killed.Spec.Name)
	d.ingresses.Avoid(killed)
	killed.Kill()
	if err := d.waitOwnsNoSlots(ctx, killed.Spec.Name); err != nil {
		return err
	}
	d.printf("other servers own the keys of %s", killed.Spec.Name)
	sleep(ctx, time.Second)
	d.printf("%s gets a new VM", killed.Spec.Name)
	if err := killed.StartTarget(); err != nil {
		return err
	}
	if err := killed.StartDaemon(); err != nil {
		return err
	}
	sleep(ctx, 2*time.Second)
	d.ingresses.Use(killed)
	return nil
}

// freezeDaemon suspends a daemon until its lease has ended and other servers own its
// keys, and resumes it.
func (d *demo) freezeDaemon(ctx context.Context, frozen *processes.Server) error {
	d.printf("the daemon of %s is frozen", frozen.Spec.Name)
	d.ingresses.Avoid(frozen)
	frozen.Daemon.Freeze()
	if err := d.waitOwnsNoSlots(ctx, frozen.Spec.Name); err != nil {
		return err
	}
	d.printf("other servers own the keys of %s", frozen.Spec.Name)
	frozen.Daemon.Thaw()
	d.printf("%s runs again, finds its incarnation revoked and joins as a new one", frozen.Spec.Name)
	sleep(ctx, 2*time.Second)
	d.ingresses.Use(frozen)
	return nil
}

// sleep waits for d or until ctx ends, while the load continues.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// waitOwnsNoSlots waits until the server owns no slot and every slot has an owner.
func (d *demo) waitOwnsNoSlots(ctx context.Context, server string) error {
	ctx, cancel := context.WithTimeout(ctx, 15*time.Second)
	defer cancel()
	return d.ingresses.Pick(rand.IntN).WaitStatus(ctx, func(st member.FleetStatus) string {
		return processes.OwnsNoSlots(st, server)
	})
}

// editSettings publishes a settings edit and waits until it is in effect on every
// daemon. It returns the time that this took.
func (d *demo) editSettings(ctx context.Context) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, 16*time.Second)
	defer cancel()
	start := time.Now()
	result, err := d.ingresses.Pick(rand.IntN).Operator.Publish(ctx, settings.Edit{
		ID:     member.NewEditID(),
		Node:   "/registry/rosa-",
		Patch:  json.RawMessage(`{"values": {"default_deadline_ms": 4000}}`),
		Author: "owner",
	})
	if err != nil || !result.Accepted {
		return 0, fmt.Errorf("settings edit was not accepted: %s %w", result.Reason, err)
	}
	d.printf("a settings edit is accepted as version %d", result.Offset+1)
	err = d.ingresses.Pick(rand.IntN).WaitStatus(ctx, func(st member.FleetStatus) string {
		return processes.SettingsInEffect(st, result.Offset+1)
	})
	if err != nil {
		return 0, err
	}
	d.printf("it is in effect on every daemon")
	return time.Since(start), nil
}

// startLoad starts the load, which runs until ctx ends. wg counts its goroutines.
func (d *demo) startLoad(ctx context.Context, wg *sync.WaitGroup) {
	breeder, nursery, photographer := load.NewCaller("breeder"), load.NewCaller("nursery"), load.NewCaller("photographer")
	const maxLoadTime = time.Hour
	run := func(g load.Generator) {
		g.Tally = d.tally
		g.MaxInFlight = 2000
		wg.Go(func() { g.Run(ctx, maxLoadTime) })
	}
	run(load.Generator{Rate: lookupRate, Send: func(_ context.Context, i int) load.Result {
		key := fmt.Sprintf("rosa-%d", i%keyCount)
		return d.send(nursery, "lookup", i, key, load.Request{
			Method: http.MethodGet, URL: "/registry/" + key, Class: request.Lookup, Deadline: deadline,
		})
	}})
	run(load.Generator{Rate: registerRate, Send: func(_ context.Context, i int) load.Result {
		key := fmt.Sprintf("rosa-%d", i%keyCount)
		return d.send(breeder, "register", i, key, load.Request{
			Method: http.MethodPost, URL: "/registry/" + key, Class: request.Write, Deadline: deadline,
			Body: fmt.Appendf(nil, "registration %d", i),
		})
	}})
	photo := targetserver.Pattern("photo", uploadBytes)
	run(load.Generator{Rate: uploadRate, Send: func(_ context.Context, i int) load.Result {
		return d.send(photographer, "upload", i, "", load.Request{
			Method: http.MethodPut, URL: fmt.Sprintf("/archive/photo-%d", i), Class: request.Bulk,
			Deadline: bulkDeadline, Body: photo,
		})
	}})
}

// send sends a request to a random ingress daemon and records how it ended. key is
// the key whose unavailability is measured; if empty, none is.
func (d *demo) send(c *load.Caller, kind string, i int, key string, r load.Request) load.Result {
	r.ID = fmt.Sprintf("%s-%d", kind, i)
	r.URL = d.ingresses.Pick(rand.IntN).URL(r.URL)
	sent := time.Now()
	res := c.Do(context.Background(), r)
	if key != "" {
		d.gaps.Add(key, sent, time.Now(), res.End == load.Answered)
	}
	if res.End == load.NotRun && r.Method == http.MethodPost {
		d.mu.Lock()
		d.notRun[r.ID] = true
		d.mu.Unlock()
	}
	return res
}

// evaluate adds the records of the targets and the callers to report, and prints the
// counts and the first 10 violations.
func (d *demo) evaluate(report Report) (Report, error) {
	runs, err := targetserver.Runs(d.fleet.Dir)
	if err != nil {
		return report, err
	}
	report.Audit = targetserver.Inspect(runs)
	for _, run := range runs {
		if d.notRun[run.ID] && run.Method == http.MethodPost {
			report.WronglyRefused++
		}
	}
	report.Answered = d.tally.Count(load.Answered)
	report.NotRun = d.tally.Count(load.NotRun)
	report.Unknown = d.tally.Count(load.Unknown)
	report.Wrong = d.tally.Count(load.WrongAnswer)
	report.LongestOutage = d.gaps.Longest()
	reasons := d.tally.Reasons()
	sortedReasons := make([]string, 0, len(reasons))
	for reason := range reasons {
		sortedReasons = append(sortedReasons, reason)
	}
	slices.Sort(sortedReasons)
	for _, reason := range sortedReasons {
		d.printf("%d requests ended as %s", reasons[reason], reason)
	}
	d.printf("the targets ran %d requests; %d wrong or truncated answers were delivered as complete; %d were reported as not run but ran",
		report.Audit.Runs, report.Wrong, report.WronglyRefused)
	for _, violation := range report.Audit.Violations[:min(len(report.Audit.Violations), 10)] {
		d.printf("BROKEN: %s", violation)
	}
	return report, nil
}
