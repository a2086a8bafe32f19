package mesh

import (
	"syscall"
	"testing"
	"time"

	"siskinknot/standin/meshfleet"
)

// TestColdTargetGetsMoreThanItSustains makes targets of both services cold while they serve, kills the daemon beside one
// of them, and replaces another one by a process that is cold from its start.
func TestColdTargetGetsMoreThanItSustains(t *testing.T) {
	const (
		perSecond = 17
		allowed   = perSecond*3/2 + 8
		// settleTime is the time in which a heartbeat tells the daemon that its target is cold,
		// and in which requests from before leave the window.
		settleTime = 1500 * time.Millisecond
		coldTime   = 9 * time.Second
	)
	f := startWithOptions(t, meshfleet.Options{Registry: 3, Archive: 3, MeanServiceTime: 10 * time.Millisecond, ColdPerSecond: perSecond})
	f.load(f.VMs...)
	for range 4 {
		f.background.Go(func() {
			for f.ctx.Err() == nil {
				f.send(f.VMs[5], meshfleet.Upload(1<<10))
				time.Sleep(5 * time.Millisecond)
			}
		})
	}
	time.Sleep(time.Second)
	cold := []*meshfleet.VM{f.VMs[0], f.VMs[1], f.VMs[3], f.VMs[5]}
	for _, vm := range cold {
		vm.Server.SetCold(coldTime)
	}
	time.Sleep(settleTime)
	coldFrom := time.Now()
	f.VMs[1].Signal(syscall.SIGKILL)
	f.VMs[1].Wait()
	if err := f.VMs[1].StartDaemon(); err != nil {
		t.Fatal(err)
	}
	replaced := f.VMs[4]
	if err := replaced.ReplaceServer(100 * time.Millisecond); err != nil {
		t.Fatal(err)
	}
	replaced.Server.SetCold(coldTime)
	time.Sleep(5 * time.Second)
	for i, vm := range append(cold, replaced) {
		arrivals := vm.Server.Arrivals()
		if got := maxInWindow(arrivals, coldFrom, time.Second); got > allowed {
			t.Errorf("target %d, which sustains %d requests per second, got %d in a second, want at most %d", i, perSecond, got, allowed)
		}
		if checks := vm.Server.HealthChecks(); checks > 0 {
			t.Errorf("target %d reports its state in heartbeats and got %d health checks", i, checks)
		}
		if len(arrivals) < 20 {
			t.Errorf("target %d got only %d requests", i, len(arrivals))
		}
		t.Logf("target %d: at most %d requests in a second", i, maxInWindow(arrivals, coldFrom, time.Second))
	}
	t.Logf("served while they were cold: %.3f", f.servedSince(coldFrom))
	time.Sleep(time.Until(coldFrom.Add(coldTime)))
	for began := time.Now(); maxInWindow(f.VMs[0].Server.Arrivals(), coldFrom.Add(coldTime), time.Second) <= allowed; {
		if time.Since(began) > waitTimeout {
			t.Fatalf("a target that is no longer cold gets at most %d requests in a second", allowed)
		}
		time.Sleep(100 * time.Millisecond)
	}
}
