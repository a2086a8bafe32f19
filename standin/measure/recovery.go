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
	recoveryRate = 600 // lookups a second
	recoveryKeys = 128
	recoveryTree = `{"values": {"default_deadline_ms": 8000}, "services": {
		"registry": {"kind": "divided", "slots": 128, "values": {"target_checks_grants": true, "balance_interval_ms": 500}}}}`
)

// recoveryFaults are the things that happen.
var recoveryFaults = []struct {
	name string
	run  func(t *trial) error
}{
	{"nothing", func(t *trial) error { pause(t.ctx, time.Second); return nil }},
	{"VM lost", func(t *trial) error {
		t.victim.Kill()
		return t.gone()
	}},
	{"availability zone lost", func(t *trial) error {
		lost := t.zone()
		for _, s := range lost {
			s.Kill()
		}
		for _, s := range lost {
			t.victim = s
			if err := t.gone(); err != nil {
				return err
			}
		}
		return nil
	}},
	{"daemon frozen", func(t *trial) error {
		t.victim.Daemon.Freeze()
		return t.gone()
	}},
	{"VM cut off, silently", func(t *trial) error {
		t.fleet.Cut(t.victim, faultproxy.Drop, faultproxy.Drop)
		t.fleet.CutLog(t.victim, faultproxy.Drop)
		return t.gone()
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
		pause(t.ctx, 300*time.Millisecond)
		t.victim.Kill()
		pause(t.ctx, 4*time.Second)
		if err := t.fleet.SetLogFaults(logservice.Faults{LoseAnswers: 1}); err != nil {
			return err
		}
		return t.gone()
	}},
	{"log down for 4 s", func(t *trial) error {
		if err := t.fleet.SetLogFaults(logservice.Faults{Down: true}); err != nil {
			return err
		}
		pause(t.ctx, 4*time.Second)
		return t.fleet.SetLogFaults(logservice.Faults{})
	}},
	{"open connections fall silent", func(t *trial) error {
		for _, s := range t.fleet.Servers {
			s.Proxy.SilenceOpen()
		}
		t.fleet.LogProxy.SilenceOpen()
		pause(t.ctx, 2*time.Second)
		return nil
	}},
	{"target drains (planned leave)", func(t *trial) error {
		if err := t.victim.SetFaults(targetserver.Faults{State: "draining"}); err != nil {
			return err
		}
		return t.gone()
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
		pause(t.ctx, 4*time.Second)
		return nil
	}},
}

// recovery measures for how long keys are unavailable when things fail.
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
		var longest, p99, mid time.Duration
		notRun, unknown, moved, owned := 0, 0, 0, 0
		for round := range opts.Rounds {
			r, err := tryFault(ctx, opts, fault.run, round)
			if err != nil {
				return []Table{table}, fmt.Errorf("%s: %w", fault.name, err)
			}
			longest = max(longest, r.gaps.Longest())
			p99 = max(p99, quantile(r.gaps.Each(), 0.99))
			mid = max(mid, quantile(r.gaps.Each(), 0.5))
			notRun += r.tally.Count(load.NotRun)
			unknown += r.tally.Count(load.Unknown)
			moved = max(moved, r.moved)
			owned = max(owned, r.owned)
		}
		table.Rows = append(table.Rows, []string{
			fault.name, ms(longest), ms(p99), ms(mid), fmt.Sprint(notRun), fmt.Sprint(unknown), fmt.Sprint(moved), fmt.Sprint(owned),
		})
	}
	return []Table{table}, nil
}

// tried is the result of a trial.
type tried struct {
	tally *load.Tally
	gaps  *load.Gaps
	// moved is how many slots changed owner, owned how many the victim had.
	moved, owned int
}

// tryFault runs a trial.
func tryFault(ctx context.Context, opts Options, fault func(*trial) error, round int) (tried, error) {
	r := tried{tally: load.NewTally(), gaps: load.NewGaps()}
	fleet, err := startFleet(ctx, opts, recoveryTree, processes.Options{Servers: specs(group{"registry", 7, "mid", []string{"-check_grants"}}), Proxies: true})
	if err != nil {
		return r, err
	}
	defer fleet.Close()
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	victim := fleet.Servers[1+round%6]
	t := &trial{ctx: ctx, fleet: fleet, victim: victim, entries: processes.NewEntries(fleet, victim)}
	st, err := fleet.Servers[0].Operator.Status(ctx)
	if err != nil {
		return r, err
	}
	before := st.Services[0].Changes
	for _, m := range st.Members {
		if strings.HasPrefix(string(m.ID), t.victim.Spec.Name+"#") {
			r.owned = m.Slots
		}
	}
	loadCtx, stop := context.WithCancel(ctx)
	var wg sync.WaitGroup
	wg.Go(func() { t.offer(loadCtx, r) })
	pause(ctx, time.Second)
	err = fault(t)
	pause(ctx, time.Second)
	stop()
	wg.Wait()
	if err != nil {
		return r, err
	}
	st, err = t.entries.Pick(rand.IntN).Operator.Status(ctx)
	if err == nil {
		r.moved = st.Services[0].Changes - before
	}
	return r, err
}

// offer offers lookups until ctx ends.
func (t *trial) offer(ctx context.Context, r tried) {
	c := load.NewCaller("nursery")
	defer c.Close()
	g := load.Generator{Rate: recoveryRate, Most: 10_000, Tally: r.tally, Send: func(_ context.Context, i int) load.Result {
		key := fmt.Sprintf("k%d", i%recoveryKeys)
		sent := time.Now()
		res := c.Do(context.Background(), load.Request{
			Method: http.MethodGet, URL: t.entries.Pick(rand.IntN).URL("/registry/" + key), ID: fmt.Sprint(i),
			Class: request.Lookup, Deadline: 8 * time.Second,
		})
		r.gaps.Add(key, sent, time.Now(), res.End == load.Answered)
		return res
	}}
	g.Run(ctx, time.Hour)
}

// pause waits for t.
func pause(ctx context.Context, t time.Duration) {
	select {
	case <-time.After(t):
	case <-ctx.Done():
	}
}
