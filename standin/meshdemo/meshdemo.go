// Package meshdemo runs a fleet on the platform's stand-ins through a bad day and
// says what callers and servers saw: the second half of "make run".
//
// Four servers of a divided service and two of a shared one, a daemon beside
// each, serve lookups, registrations and uploads, while a daemon is killed,
// another frozen, the store goes away, a server drains and a route is added.
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

// Options say where the programs are and where lines go.
type Options struct {
	Bin string
	Out io.Writer
	// Logs receives the daemons' log lines; nil discards them.
	Logs io.Writer
}

// Report is what the demonstration counted.
type Report struct {
	Answered, Refused, Failed int
	// Lied counts requests that were refused as not run and did run.
	Lied int
	// Problems are keys held twice, fences that did not rise, and requests that
	// ran twice.
	Problems []string
	// Longest is the longest time for which a key was not served.
	Longest time.Duration
}

// Broken reports whether a promise was broken.
func (r Report) Broken() bool { return r.Lied > 0 || len(r.Problems) > 0 }

// Last returns the last line of the demonstration.
func (r Report) Last() string {
	return fmt.Sprintf("answered %d, refused as not run %d, failed %d, refused though run %d, problems %d, "+
		"longest time that a key was not served %d ms",
		r.Answered, r.Refused, r.Failed, r.Lied, len(r.Problems), r.Longest.Milliseconds())
}

// demo is a demonstration under way.
type demo struct {
	Options
	fleet *meshfleet.Fleet
	start time.Time

	mu     sync.Mutex
	report Report
	// downSince holds the keys that are not served, and since when.
	downSince map[uint16]time.Time
}

// Run runs the demonstration.
func Run(ctx context.Context, opts Options) (Report, error) {
	fleet, err := meshfleet.Start(meshfleet.Options{
		Bin: opts.Bin, Seed: 1, Registry: 4, Archive: 2, Work: 5 * time.Millisecond, Logs: opts.Logs,
	})
	if err != nil {
		return Report{}, err
	}
	defer fleet.Close()
	d := &demo{Options: opts, fleet: fleet, start: time.Now(), downSince: map[uint16]time.Time{}}
	d.say("4 servers divided by key and 2 shared ones, a daemon beside each, on a metadata store")
	if err := fleet.WaitServing(ctx); err != nil {
		return Report{}, err
	}
	d.say("every key is served")
	loadCtx, stop := context.WithCancel(ctx)
	var load sync.WaitGroup
	for i, entry := range []*meshfleet.VM{fleet.VMs[0], fleet.VMs[3], fleet.VMs[5]} {
		rng := rand.New(rand.NewPCG(1, uint64(i)))
		load.Go(func() { d.offer(loadCtx, entry, rng) })
	}
	err = d.day(ctx)
	stop()
	load.Wait()
	d.report.Problems = fleet.Record.Problems()
	return d.report, err
}

// say prints a line with the time since the start.
func (d *demo) say(format string, args ...any) {
	_, _ = fmt.Fprintf(d.Out, "%6.2fs  %s\n", time.Since(d.start).Seconds(), fmt.Sprintf(format, args...))
}

// day makes things happen.
func (d *demo) day(ctx context.Context) error {
	killed, frozen, drained := d.fleet.VMs[1], d.fleet.VMs[2], d.fleet.VMs[2]
	pause(ctx, time.Second)
	d.say("a daemon is killed, its server lives on")
	killed.Kill()
	pause(ctx, 2500*time.Millisecond)
	d.say("it starts again")
	if err := killed.StartDaemon(); err != nil {
		return err
	}
	pause(ctx, time.Second)
	d.say("the store stops answering for 3 s")
	d.fleet.Store.SetFault(metastore.Fault{Down: metastore.Silent})
	pause(ctx, 3*time.Second)
	d.fleet.Store.SetFault(metastore.Fault{})
	d.fleet.Store.Forget()
	d.say("it is back, without its history; a daemon freezes for 3 s")
	frozen.Signal(syscall.SIGSTOP)
	pause(ctx, 3*time.Second)
	frozen.Signal(syscall.SIGCONT)
	pause(ctx, 1500*time.Millisecond)
	d.say("the operator adds a route")
	published := time.Now()
	d.fleet.Publish(map[string]string{"/new/": meshfleet.Archive})
	r := meshfleet.Request{Method: http.MethodGet, Path: "/new/a", Deadline: time.Second}
	for d.fleet.VMs[4].Send(ctx, r).Status != http.StatusOK && ctx.Err() == nil {
		pause(ctx, 5*time.Millisecond)
	}
	d.say("it is in force after %d ms; a server drains", time.Since(published).Milliseconds())
	drained.Server.Drain()
	pause(ctx, 2*time.Second)
	return ctx.Err()
}

// offer sends requests until ctx ends.
func (d *demo) offer(ctx context.Context, vm *meshfleet.VM, rng *rand.Rand) {
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
			d.count(key, r, a)
		}
		pause(ctx, 4*time.Millisecond)
	}
}

// count notes an answer.
func (d *demo) count(key uint16, r meshfleet.Request, a meshfleet.Answer) {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case a.Whole():
		d.report.Answered++
		if since, down := d.downSince[key]; down && r.Key != "" {
			d.report.Longest = max(d.report.Longest, time.Since(since))
			delete(d.downSince, key)
		}
		return
	case a.Status == http.StatusServiceUnavailable:
		d.report.Refused++
		if r.Method != http.MethodGet && d.fleet.Record.Runs(a.ID) > 0 {
			d.report.Lied++
		}
	default:
		d.report.Failed++
	}
	if _, down := d.downSince[key]; !down && r.Key != "" {
		d.downSince[key] = time.Now()
	}
}

// pause waits for d or until ctx ends.
func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
