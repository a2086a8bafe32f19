package measure

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	"siskinknot/core/request"
	"siskinknot/standin/faultproxy"
	"siskinknot/standin/load"
	"siskinknot/standin/logservice"
	"siskinknot/standin/processes"
	"siskinknot/standin/targetserver"
)

// Parameters of the recovery section.
const (
	recoveryRate = 600 // lookups per second
	recoveryKeys = 128
	recoveryTree = `{"values": {"default_deadline_ms": 8000}, "services": {
		"registry": {"kind": "divided", "slots": 128, "values": {"target_checks_grants": true, "balance_interval_ms": 500}}}}`
)

// recoveryFaults are the events whose effect is measured. The first one, in which
// nothing happens, is the baseline.
var recoveryFaults = []struct {
	name string
	run  func(t *trial) error
}{
	{"nothing", func(t *trial) error { sleep(t.ctx, time.Second); return nil }},
	{"VM lost", func(t *trial) error {
		t.victim.Kill()
		return t.waitOwnsNoSlots()
	}},
	{"availability zone lost", func(t *trial) error {
		lost := t.avoidZone()
		for _, s := range lost {
			s.Kill()
		}
		for _, s := range lost {
			t.victim = s
			if err := t.waitOwnsNoSlots(); err != nil {
				return err
			}
		}
		return nil
	}},
	{"daemon frozen", func(t *trial) error {
		t.victim.Daemon.Freeze()
		return t.waitOwnsNoSlots()
	}},
	{"VM cut off, silently", func(t *trial) error {
		t.fleet.SetPeerFault(t.victim, faultproxy.Drop, faultproxy.Drop)
		t.fleet.SetLogLinkFault(t.victim, faultproxy.Drop)
		return t.waitOwnsNoSlots()
	}},
	{"daemon restarted", func(t *trial) error {
		t.victim.Daemon.Kill()
		if err := t.victim.StartDaemon(); err != nil {
			return err
		}
		return t.fleet.WaitReady(t.ctx)
	}},
	{"VM lost while the log is down", func(t *trial) error {
		if err := t.fleet.SetLogFaults(logservice.Faults{Down: true}); err != nil {
			return err
		}
		sleep(t.ctx, 300*time.Millisecond)
		t.victim.Kill()
		sleep(t.ctx, 4*time.Second)
		if err := t.fleet.SetLogFaults(logservice.Faults{LoseAnswers: 1}); err != nil {
			return err
		}
		return t.waitOwnsNoSlots()
	}},
	{"log down for 4 s", func(t *trial) error {
		if err := t.fleet.SetLogFaults(logservice.Faults{Down: true}); err != nil {
			return err
		}
		sleep(t.ctx, 4*time.Second)
		return t.fleet.SetLogFaults(logservice.Faults{})
	}},
	{"open connections fall silent", func(t *trial) error {
		for _, s := range t.fleet.Servers {
			s.Proxy.BlackholeOpen()
		}
		t.fleet.LogProxy.BlackholeOpen()
		sleep(t.ctx, 2*time.Second)
		return nil
	}},
	{"target drains (planned leave)", func(t *trial) error {
		if err := t.victim.SetTargetFaults(targetserver.Faults{State: "draining"}); err != nil {
			return err
		}
		return t.waitOwnsNoSlots()
	}},
	{"daemon stopped in good order", func(t *trial) error {
		t.victim.Daemon.Signal(syscall.SIGTERM)
		_, err := t.victim.Daemon.Wait(t.ctx)
		return err
	}},
	{"server joins", func(t *trial) error {
		t.victim.Daemon.Signal(syscall.SIGTERM)
		if _, err := t.victim.Daemon.Wait(t.ctx); err != nil {
			return err
		}
		if err := t.victim.StartDaemon(); err != nil {
			return err
		}
		sleep(t.ctx, 4*time.Second)
		return nil
	}},
}

// recovery measures, for each of recoveryFaults, for how long keys are unavailable
// and how many slots change owner.
func recovery(ctx context.Context, opts Options) ([]Table, error) {
	table := Table{
		Name: "Unavailable time and churn",
		Note: fmt.Sprintf("7 servers, 128 slots, %d lookups/s on %d keys at all entries but the one concerned; "+
			"the time from a lookup that was not answered, or that waited, to the answer; worst of %d rounds", recoveryRate, recoveryKeys, opts.Rounds),
		Columns: []string{"what happens", "longest ms", "99 in 100 keys ms", "median key ms", "not run", "unknown", "slots moved", "least that had to"},
	}
	for _, fault := range recoveryFaults {
		if !strings.Contains(fault.name, opts.Match) {
			continue
		}
		var longest, p99, p50 time.Duration
		notRun, unknown, moved, owned := 0, 0, 0, 0
		for round := range opts.Rounds {
			r, err := runFault(ctx, opts, fault.run, round)
			if err != nil {
				return []Table{table}, fmt.Errorf("%s: %w", fault.name, err)
			}
			longest = max(longest, r.gaps.Longest())
			p99 = max(p99, quantile(r.gaps.PerKey(), 0.99))
			p50 = max(p50, quantile(r.gaps.PerKey(), 0.5))
			notRun += r.tally.Count(load.NotRun)
			unknown += r.tally.Count(load.Unknown)
			moved = max(moved, r.moved)
			owned = max(owned, r.owned)
		}
		table.Rows = append(table.Rows, []string{
			fault.name, ms(longest), ms(p99), ms(p50), fmt.Sprint(notRun), fmt.Sprint(unknown), fmt.Sprint(moved), fmt.Sprint(owned),
		})
	}
	return []Table{table}, nil
}

// faultResult is the result of a trial with one fault.
type faultResult struct {
	tally *load.Tally
	gaps  *load.Gaps
	// moved is the number of slots that changed owner, owned the number that the
	// victim owned before the fault.
	moved, owned int
}

// runFault starts a fleet, runs fault while the fleet serves lookups, and returns
// the result. The victim depends on round.
func runFault(ctx context.Context, opts Options, fault func(*trial) error, round int) (faultResult, error) {
	r := faultResult{tally: load.NewTally(), gaps: load.NewGaps()}
	fleet, err := startFleet(ctx, opts, recoveryTree, processes.Options{Servers: vmSpecs(group{"registry", 7, "mid", []string{"-check_grants"}}), Proxies: true})
	if err != nil {
		return r, err
	}
	defer fleet.Close()
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	victim := fleet.Servers[1+round%6]
	t := &trial{ctx: ctx, fleet: fleet, victim: victim, ingresses: processes.NewIngresses(fleet, victim)}
	st, err := fleet.Servers[0].Operator.Status(ctx)
	if err != nil {
		return r, err
	}
	before := st.Services[0].OwnerChanges
	for _, m := range st.Members {
		if strings.HasPrefix(string(m.ID), t.victim.Spec.Name+"#") {
			r.owned = m.Slots
		}
	}
	loadCtx, stop := context.WithCancel(ctx)
	var wg sync.WaitGroup
	wg.Go(func() { t.offerLookups(loadCtx, r) })
	sleep(ctx, time.Second)
	err = fault(t)
	sleep(ctx, time.Second)
	stop()
	wg.Wait()
	if err != nil {
		return r, err
	}
	st, err = t.ingresses.Pick(rand.IntN).Operator.Status(ctx)
	if err == nil {
		r.moved = st.Services[0].OwnerChanges - before
	}
	return r, err
}

// offerLookups sends lookups to the ingress daemons in use until ctx ends, and
// counts them in r.
func (t *trial) offerLookups(ctx context.Context, r faultResult) {
	c := load.NewCaller("nursery")
	defer c.Close()
	g := load.Generator{Rate: recoveryRate, MaxInFlight: 10_000, Tally: r.tally, Send: func(_ context.Context, i int) load.Result {
		key := fmt.Sprintf("k%d", i%recoveryKeys)
		sent := time.Now()
		res := c.Do(context.Background(), load.Request{
			Method: http.MethodGet, URL: t.ingresses.Pick(rand.IntN).URL("/registry/" + key), ID: fmt.Sprint(i),
			Class: request.Lookup, Deadline: 8 * time.Second,
		})
		r.gaps.Add(key, sent, time.Now(), res.End == load.Answered)
		return res
	}}
	g.Run(ctx, time.Hour)
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
