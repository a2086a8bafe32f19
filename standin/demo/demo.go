// Package demo runs a fleet through a bad day and says what happens: the
// program behind "make run".
//
// Six targets of two services in three availability zones serve lookups,
// registrations and uploads, while the owner of some keys is killed, another
// is frozen and woken, settings are edited, and a target drains. The targets
// and the callers count what became of the promises; the daemons are not asked.
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

// Rates of the load, in requests a second, and its keys.
const (
	lookupRate   = 300
	registerRate = 60
	uploadRate   = 4
	keys         = 96
	uploadBytes  = 768 << 10
	deadline     = 5 * time.Second
	deadlineBulk = 10 * time.Second
)

// tree is the settings tree of the demonstration.
const tree = `{
  "values": {"default_deadline_ms": 5000, "target_checks_grants": true},
  "services": {
    "registry": {"kind": "divided", "slots": 64, "values": {"target_slots": 12, "target_connections": 110}},
    "archive": {"kind": "shared", "values": {"target_slots": 12, "bulk_share_percent": 75}}
  }
}`

// Report is what the demonstration counted.
type Report struct {
	Answered, NotRun, Unknown, Wrong int
	Audit                            targetserver.Audit
	// Lied counts requests that were reported as not run and did run.
	Lied int
	// Unavailable is the longest time that a key was unavailable.
	Unavailable time.Duration
	// Settings is how long an edit took to be in force everywhere.
	Settings time.Duration
}

// Broken reports whether a promise was broken.
func (r Report) Broken() bool {
	return r.Audit.Doubled > 0 || r.Audit.MostOwners > 1 || r.Audit.Stale > 0 || r.Wrong > 0 || r.Lied > 0
}

// Last returns the last line of the demonstration.
func (r Report) Last() string {
	return fmt.Sprintf("answered %d, not run %d, unknown %d, doubled %d, most owners of a key at one time %d, "+
		"longest time that a key was unavailable %d ms, settings in force everywhere after %d ms",
		r.Answered, r.NotRun, r.Unknown, r.Audit.Doubled, r.Audit.MostOwners,
		r.Unavailable.Milliseconds(), r.Settings.Milliseconds())
}

// demo is a demonstration under way.
type demo struct {
	out   io.Writer
	fleet *processes.Fleet
	start time.Time
	tally *load.Tally
	gaps  *load.Gaps
	// entries are the daemons that callers use.
	entries *processes.Entries

	mu sync.Mutex
	// notRun are the ids of registrations that were reported as not run.
	notRun map[string]bool
}

// Run runs the demonstration with the programs in bin and writes to out.
func Run(ctx context.Context, bin string, out io.Writer) (Report, error) {
	specs := make([]processes.ServerSpec, 0, 6)
	for i, zone := range []string{"mid-a", "mid-b", "mid-c"} {
		args := []string{"-check_grants"}
		specs = append(specs,
			processes.ServerSpec{Name: fmt.Sprintf("registry-%d", i+1), Service: "registry", Zone: zone, Target: args},
			processes.ServerSpec{Name: fmt.Sprintf("archive-%d", i+1), Service: "archive", Zone: zone})
	}
	fleet, err := processes.Start(processes.Options{Bin: bin, Servers: specs, Tree: json.RawMessage(tree)})
	if err != nil {
		return Report{}, err
	}
	defer fleet.Close()
	d := &demo{
		out: out, fleet: fleet, start: time.Now(), tally: load.NewTally(), gaps: load.NewGaps(),
		notRun: map[string]bool{}, entries: processes.NewEntries(fleet),
	}
	return d.run(ctx)
}

// say prints a line with the time since the start.
func (d *demo) say(format string, args ...any) {
	fmt.Fprintf(d.out, "%6.2fs  %s\n", time.Since(d.start).Seconds(), fmt.Sprintf(format, args...))
}

// run goes through the day.
func (d *demo) run(ctx context.Context) (Report, error) {
	d.say("6 targets of 2 services (registry: divided by key, archive: shared), a daemon beside each, in 3 availability zones")
	if err := d.fleet.WaitReady(ctx); err != nil {
		return Report{}, err
	}
	d.say("every daemon holds its lease, every slot of the registry has an owner")
	loadCtx, stop := context.WithCancel(ctx)
	defer stop()
	var wg sync.WaitGroup
	d.offer(loadCtx, &wg)
	report, err := d.day(ctx)
	stop()
	wg.Wait()
	if err != nil {
		return Report{}, err
	}
	return d.count(report)
}

// day makes things happen.
func (d *demo) day(ctx context.Context) (report Report, err error) {
	pause(ctx, 3*time.Second)
	if err := d.loseVM(ctx, d.fleet.Servers[0]); err != nil {
		return report, err
	}
	if err := d.freeze(ctx, d.fleet.Servers[2]); err != nil {
		return report, err
	}
	report.Settings, err = d.edit(ctx)
	if err != nil {
		return report, err
	}
	drained := d.fleet.Servers[4]
	d.say("the target of %s drains", drained.Spec.Name)
	if err := drained.SetFaults(targetserver.Faults{State: "draining"}); err != nil {
		return report, err
	}
	if err := d.awaitOwned(ctx, drained.Spec.Name); err != nil {
		return report, err
	}
	d.say("%s has passed on its keys, none was in use meanwhile", drained.Spec.Name)
	pause(ctx, 2*time.Second)
	return report, nil
}

// loseVM kills a VM and replaces it.
func (d *demo) loseVM(ctx context.Context, killed *processes.Server) error {
	d.say("%s loses its VM: the daemon and the target are killed", killed.Spec.Name)
	d.entries.Avoid(killed)
	killed.Kill()
	if err := d.awaitOwned(ctx, killed.Spec.Name); err != nil {
		return err
	}
	d.say("other servers own the keys of %s", killed.Spec.Name)
	pause(ctx, time.Second)
	d.say("%s gets a new VM", killed.Spec.Name)
	if err := killed.StartTarget(); err != nil {
		return err
	}
	if err := killed.StartDaemon(); err != nil {
		return err
	}
	pause(ctx, 2*time.Second)
	d.entries.Use(killed)
	return nil
}

// freeze stops a daemon past its lease and wakes it.
func (d *demo) freeze(ctx context.Context, frozen *processes.Server) error {
	d.say("%s freezes", frozen.Spec.Name)
	d.entries.Avoid(frozen)
	frozen.Daemon.Freeze()
	if err := d.awaitOwned(ctx, frozen.Spec.Name); err != nil {
		return err
	}
	d.say("other servers own the keys of %s", frozen.Spec.Name)
	frozen.Daemon.Thaw()
	d.say("%s wakes, finds itself revoked and joins as a stranger", frozen.Spec.Name)
	pause(ctx, 2*time.Second)
	d.entries.Use(frozen)
	return nil
}

// pause waits for t while the load goes on.
func pause(ctx context.Context, t time.Duration) {
	select {
	case <-time.After(t):
	case <-ctx.Done():
	}
}

// awaitOwned waits until the server owns no slot and every slot has an owner.
func (d *demo) awaitOwned(ctx context.Context, server string) error {
	ctx, cancel := context.WithTimeout(ctx, 15*time.Second)
	defer cancel()
	return d.entries.Pick(rand.IntN).UntilStatus(ctx, func(st member.FleetStatus) string {
		return processes.OwnsNothing(st, server)
	})
}

// edit publishes a settings edit and waits until it is in force everywhere.
func (d *demo) edit(ctx context.Context) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, 16*time.Second)
	defer cancel()
	start := time.Now()
	fate, err := d.entries.Pick(rand.IntN).Operator.Publish(ctx, settings.Edit{
		ID:     member.NewEditID(),
		Node:   "/registry/rosa-",
		Patch:  json.RawMessage(`{"values": {"default_deadline_ms": 4000}}`),
		Author: "owner",
	})
	if err != nil || !fate.Accepted {
		return 0, fmt.Errorf("edit was not accepted: %s %w", fate.Reason, err)
	}
	d.say("a settings edit is accepted as version %d", fate.Offset+1)
	err = d.entries.Pick(rand.IntN).UntilStatus(ctx, func(st member.FleetStatus) string {
		return processes.InForce(st, fate.Offset+1)
	})
	if err != nil {
		return 0, err
	}
	d.say("it is in force on every daemon")
	return time.Since(start), nil
}

// offer starts the load.
func (d *demo) offer(ctx context.Context, wg *sync.WaitGroup) {
	breeder, nursery, photographer := load.NewCaller("breeder"), load.NewCaller("nursery"), load.NewCaller("photographer")
	const endless = time.Hour
	run := func(g load.Generator) {
		g.Tally = d.tally
		g.Most = 2000
		wg.Go(func() { g.Run(ctx, endless) })
	}
	run(load.Generator{Rate: lookupRate, Send: func(_ context.Context, i int) load.Result {
		key := fmt.Sprintf("rosa-%d", i%keys)
		return d.send(nursery, "lookup", i, key, load.Request{
			Method: http.MethodGet, URL: "/registry/" + key, Class: request.Lookup, Deadline: deadline,
		})
	}})
	run(load.Generator{Rate: registerRate, Send: func(_ context.Context, i int) load.Result {
		key := fmt.Sprintf("rosa-%d", i%keys)
		return d.send(breeder, "register", i, key, load.Request{
			Method: http.MethodPost, URL: "/registry/" + key, Class: request.Write, Deadline: deadline,
			Body: fmt.Appendf(nil, "registration %d", i),
		})
	}})
	photo := targetserver.Pattern("photo", uploadBytes)
	run(load.Generator{Rate: uploadRate, Send: func(_ context.Context, i int) load.Result {
		return d.send(photographer, "upload", i, "", load.Request{
			Method: http.MethodPut, URL: fmt.Sprintf("/archive/photo-%d", i), Class: request.Bulk,
			Deadline: deadlineBulk, Body: photo,
		})
	}})
}

// send sends a request to a random entry and notes how it ended.
func (d *demo) send(c *load.Caller, kind string, i int, key string, r load.Request) load.Result {
	r.ID = fmt.Sprintf("%s-%d", kind, i)
	r.URL = d.entries.Pick(rand.IntN).URL(r.URL)
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

// count adds up what the targets and the callers saw.
func (d *demo) count(report Report) (Report, error) {
	runs, err := targetserver.Runs(d.fleet.Dir)
	if err != nil {
		return report, err
	}
	report.Audit = targetserver.Inspect(runs)
	for _, run := range runs {
		if d.notRun[run.ID] && run.Method == http.MethodPost {
			report.Lied++
		}
	}
	report.Answered = d.tally.Count(load.Answered)
	report.NotRun = d.tally.Count(load.NotRun)
	report.Unknown = d.tally.Count(load.Unknown)
	report.Wrong = d.tally.Count(load.Wrong)
	report.Unavailable = d.gaps.Longest()
	reasons := d.tally.Reasons()
	names := make([]string, 0, len(reasons))
	for reason := range reasons {
		names = append(names, reason)
	}
	slices.Sort(names)
	for _, reason := range names {
		d.say("%d requests ended as %s", reasons[reason], reason)
	}
	d.say("the targets ran %d requests; %d wrong or cut answers passed for whole; %d were said not to have run and did",
		report.Audit.Runs, report.Wrong, report.Lied)
	for _, faulty := range report.Audit.Faulty[:min(len(report.Audit.Faulty), 10)] {
		d.say("BROKEN: %s", faulty)
	}
	return report, nil
}
