// Package meshdemo runs a demonstration of the mesh under faults and reports what
// callers and servers observed. It is the second half of "make run".
//
// The fleet runs on the stand-ins for the platform. It has four servers of a
// divided service, whose keys are divided among its servers, and two servers of a
// shared service, with a daemon beside each server. It serves lookups,
// registrations and uploads while one daemon is killed and restarted, the metadata
// store stops answering and then loses its history, another daemon is frozen, the
// operator adds a route and a server drains.
//
// # Usage
//
//	report, err := meshdemo.Run(ctx, meshdemo.Options{Bin: "bin", Out: os.Stdout})
//	if report.Broken() { ... }
package meshdemo

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"

	"siskinknot/standin/meshfleet"
	"siskinknot/standin/metastore"
)

// Options are the options of a demonstration.
type Options struct {
	// Bin is the directory of the program siskinknot.
	Bin string
	// Out receives the lines that the demonstration prints.
	Out io.Writer
	// Logs receives the daemons' log lines; nil discards them.
	Logs io.Writer
}

// Report is the result of a demonstration.
type Report struct {
	// Answered counts the requests that received a server's complete answer, Refused
	// those that were refused as not run, and Failed all others.
	Answered, Refused, Failed int
	// WronglyRefused counts the requests other than reads that were refused as
	// not run although a server had run them.
	WronglyRefused int
	// Violations describes the violations that the servers recorded: keys held
	// by two servers at the same time, fences that did not rise, and requests
	// other than reads that ran more than once.
	Violations []string
	// LongestOutage is the longest time during which a key was not served. A
	// key counts once it is served again.
	LongestOutage time.Duration
}

// Broken reports whether a guarantee was violated.
func (r Report) Broken() bool { return r.WronglyRefused > 0 || len(r.Violations) > 0 }

// Summary returns the summary that is the last line of the demonstration.
func (r Report) Summary() string {
	return fmt.Sprintf("answered %d, refused as not run %d, failed %d, refused though run %d, problems %d, "+
		"longest time that a key was not served %d ms",
		r.Answered, r.Refused, r.Failed, r.WronglyRefused, len(r.Violations), r.LongestOutage.Milliseconds())
}

// demo is a running demonstration.
type demo struct {
	Options
	fleet     *meshfleet.Fleet
	startedAt time.Time

	mu     sync.Mutex
	report Report
	// unservedSince holds, for each key that is not served, the time at which a
	// request for it first failed.
	unservedSince map[uint16]time.Time
}

// Run runs the demonstration. It returns an error if the fleet does not start or
// ctx ends; a violated guarantee is not an error, but part of the report.
func Run(ctx context.Context, opts Options) (Report, error) {
	fleet, err := meshfleet.Start(meshfleet.Options{
		Bin: opts.Bin, Seed: 1, Registry: 4, Archive: 2, MeanServiceTime: 5 * time.Millisecond, Logs: opts.Logs,
	})
	if err != nil {
		return Report{}, err
	}
	defer fleet.Close()
	d := &demo{Options: opts, fleet: fleet, startedAt: time.Now(), unservedSince: map[uint16]time.Time{}}
	d.printLine("4 servers divided by key and 2 shared ones, a daemon beside each, on a metadata store")
	if err := fleet.WaitServing(ctx); err != nil {
		return Report{}, err
	}
	d.printLine("every key is served")
	loadCtx, stop := context.WithCancel(ctx)
	var load sync.WaitGroup
	for i, vm := range []*meshfleet.VM{fleet.VMs[0], fleet.VMs[3], fleet.VMs[5]} {
		rng := rand.New(rand.NewPCG(1, uint64(i)))
		load.Go(func() { d.sendRequests(loadCtx, vm, rng) })
	}
	err = d.runScenario(ctx)
	stop()
	load.Wait()
	d.report.Violations = fleet.History.Violations()
	return d.report, err
}

// printLine prints a line that begins with the time since the start, in seconds.
func (d *demo) printLine(format string, args ...any) {
	_, _ = fmt.Fprintf(d.Out, "%6.2fs  %s\n", time.Since(d.startedAt).Seconds(), fmt.Sprintf(format, args...))
}

// runScenario injects the faults and the changes one after another. It returns an
// error if a daemon cannot be started again or ctx ends.
func (d *demo) runScenario(ctx context.Context) error {
	killed, frozen, drained := d.fleet.VMs[1], d.fleet.VMs[2], d.fleet.VMs[2]
	sleep(ctx, time.Second)
	d.printLine("a daemon is killed, its server keeps running")
	killed.Kill()
	sleep(ctx, 2500*time.Millisecond)
	d.printLine("it starts again")
	if err := killed.StartDaemon(); err != nil {
		return err
	}
	sleep(ctx, time.Second)
	d.printLine("the store does not respond for 3 s")
	d.fleet.Store.SetFault(metastore.Fault{Outage: metastore.NoAnswer})
	sleep(ctx, 3*time.Second)
	d.fleet.Store.SetFault(metastore.Fault{})
	d.fleet.Store.DropHistory()
	d.printLine("it responds again, without its history; a daemon is frozen for 3 s")
	frozen.Signal(syscall.SIGSTOP)
	sleep(ctx, 3*time.Second)
	frozen.Signal(syscall.SIGCONT)
	sleep(ctx, 1500*time.Millisecond)
	d.printLine("the operator adds a route")
	published := time.Now()
	d.fleet.Publish(map[string]string{"/new/": meshfleet.Archive})
	r := meshfleet.Request{Method: http.MethodGet, Path: "/new/a", Deadline: time.Second}
	for d.fleet.VMs[4].Send(ctx, r).Status != http.StatusOK && ctx.Err() == nil {
		sleep(ctx, 5*time.Millisecond)
	}
	d.printLine("it is in effect after %d ms; a server drains", time.Since(published).Milliseconds())
	drained.Server.Drain()
	sleep(ctx, 2*time.Second)
	return ctx.Err()
}

// sendRequests sends requests of a random kind for random keys to the daemon of vm,
// one after another, until ctx ends.
func (d *demo) sendRequests(ctx context.Context, vm *meshfleet.VM, rng *rand.Rand) {
	const keys = 64
	for ctx.Err() == nil {
		key := uint16(rng.IntN(keys) * (65536 / keys))
		r := meshfleet.Lookup(key)
		switch n := rng.IntN(10); {
		case n == 0:
			r = meshfleet.Upload(32 << 10)
		case n < 4:
			r = meshfleet.Register(key)
		}
		a := vm.Send(ctx, r)
		if ctx.Err() == nil {
			d.countAnswer(key, r, a)
		}
		sleep(ctx, 4*time.Millisecond)
	}
}

// countAnswer adds the answer a to the request r for key to the report.
func (d *demo) countAnswer(key uint16, r meshfleet.Request, a meshfleet.Answer) {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case a.Complete():
		d.report.Answered++
		if since, unserved := d.unservedSince[key]; unserved && r.Key != "" {
			d.report.LongestOutage = max(d.report.LongestOutage, time.Since(since))
			delete(d.unservedSince, key)
		}
		return
	case a.Status == http.StatusServiceUnavailable:
		d.report.Refused++
		if r.Method != http.MethodGet && d.fleet.History.Runs(a.ID) > 0 {
			d.report.WronglyRefused++
		}
	default:
		d.report.Failed++
	}
	if _, unserved := d.unservedSince[key]; !unserved && r.Key != "" {
		d.unservedSince[key] = time.Now()
	}
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
