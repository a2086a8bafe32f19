package mesh

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"siskinknot/core/balance"
	"siskinknot/core/outcome"
	"siskinknot/core/placement"
	"siskinknot/core/record"
	"siskinknot/core/retry"
	"siskinknot/core/scheduling"
)

// simulatedFleet is a shared service on a virtual clock: targets that differ in speed, and
// ingress daemons that see reports which are up to a heartbeat old.
type simulatedFleet struct {
	targets   []*simulatedTarget
	ingresses []*simulatedIngress
	redirects bool
	// slow is set if in each period of 400 ms one target is three times slower than usual.
	slow bool

	mu      sync.Mutex
	reports map[netip.AddrPort]loadReport
	result  fleetResult
}

// simulatedTarget is a target with the scheduler of its daemon.
type simulatedTarget struct {
	addr      netip.AddrPort
	scheduler *scheduling.Scheduler
	service   time.Duration
}

// simulatedIngress is the state of an ingress daemon.
type simulatedIngress struct {
	chooser   *balance.Chooser
	budget    *retry.Budget
	redirects *redirects
}

// fleetResult is what the callers got. sends counts the requests sent to targets' daemons.
type fleetResult struct{ requests, inTime, served, rejected, sends int }

func (r *fleetResult) add(other fleetResult) {
	r.requests += other.requests
	r.inTime += other.inTime
	r.served += other.served
	r.rejected += other.rejected
	r.sends += other.sends
}

const (
	fleetTargets   = 8
	fleetSlots     = 12
	fleetObjective = 600 * time.Millisecond
	fleetDeadline  = 3 * time.Second
	fleetHeartbeat = 400 * time.Millisecond
)

// newSimulatedFleet returns a fleet whose targets need 60 to 150 ms for a request.
func newSimulatedFleet(redirect, slow bool) *simulatedFleet {
	f := &simulatedFleet{redirects: redirect, slow: slow, reports: map[netip.AddrPort]loadReport{}}
	for i := range fleetTargets {
		f.targets = append(f.targets, &simulatedTarget{
			addr:      netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 1),
			scheduler: scheduling.New(fleetSlots),
			service:   60*time.Millisecond + time.Duration(i)*90*time.Millisecond/(fleetTargets-1),
		})
		f.ingresses = append(f.ingresses, &simulatedIngress{balance.NewChooser(), retry.NewBudget(2), newRedirects()})
	}
	return f
}

// report sends the reports of all targets until ctx ends.
func (f *simulatedFleet) report(ctx context.Context) {
	for i := 0; ctx.Err() == nil; i++ {
		target := f.targets[i%len(f.targets)]
		load := target.scheduler.Load()
		f.mu.Lock()
		f.reports[target.addr] = loadReport{
			Load:       placement.Load{Accepting: true, Slots: fleetSlots, ServiceTime: target.service},
			receivedAt: time.Now(), inFlight: load.Running, queued: load.Queued,
		}
		f.mu.Unlock()
		time.Sleep(fleetHeartbeat / fleetTargets)
	}
}

// pace returns by how much longer than usual work at target takes now.
func (f *simulatedFleet) pace(target *simulatedTarget) float64 {
	period := int(time.Now().UnixMilli() / 400)
	if f.slow && f.targets[period*3%len(f.targets)] == target {
		return 3
	}
	return 1
}

// send sends a request to one of the targets, and returns which and the result.
func (f *simulatedFleet) send(in *simulatedIngress, targets []*simulatedTarget, req scheduling.Request) (*simulatedTarget, outcome.Result) {
	ids := make([]record.Incarnation, len(targets))
	for i, target := range targets {
		ids[i] = record.Incarnation(target.addr.String())
	}
	now := time.Now()
	chosen := in.chooser.PickAmong(now, balance.TwoChoices, ids)
	var target *simulatedTarget
	for i, id := range ids {
		if id == chosen {
			target = targets[i]
		}
	}
	f.mu.Lock()
	f.result.sends++
	f.mu.Unlock()
	time.Sleep(time.Millisecond)
	permit, refusal := target.scheduler.Acquire(context.Background(), time.Now(), req)
	if refusal == nil {
		permit.MarkSent(time.Now())
		time.Sleep(time.Duration((0.5 + rand.Float64()) * f.pace(target) * float64(target.service)))
		permit.Done(time.Now(), scheduling.Served)
		refusal = outcome.Answered{}
	}
	in.chooser.Done(time.Now(), chosen, time.Since(now), refusal == outcome.Answered{})
	return target, refusal
}

// serve serves a request at an ingress daemon.
func (f *simulatedFleet) serve(in *simulatedIngress, req scheduling.Request) outcome.Result {
	in.budget.Deposit(10)
	in.redirects.addRequest()
	var tried []*simulatedTarget
	targets := f.targets
	for attempt := 1; ; attempt++ {
		target, res := f.send(in, targets, req)
		notRun, rejected := res.(outcome.NotRun)
		if !rejected {
			if attempt > 1 && f.redirects {
				in.redirects.recordTaken()
			}
			return res
		}
		if !f.redirects {
			// The rule that redirects have replaced: wait, and take a retry from the budget.
			notRun.RetryAfter = 50*time.Millisecond + rand.N(50*time.Millisecond)
			delay, ok := retry.Policy{MaxAttempts: 3}.NextDelay(time.Now(), req.Deadline, notRun, true, attempt, in.budget)
			if !ok {
				return res
			}
			time.Sleep(delay)
			continue
		}
		tried = append(tried, target)
		in.redirects.recordRejection(time.Now(), target.addr)
		targets = f.targetsWithRoom(in, tried, time.Until(req.Objective))
		if attempt > maxRedirects || len(targets) == 0 || !in.redirects.begin() {
			return res
		}
	}
}

// targetsWithRoom is Mesh.targetsWithRoom for one zone.
func (f *simulatedFleet) targetsWithRoom(in *simulatedIngress, tried []*simulatedTarget, left time.Duration) []*simulatedTarget {
	if left.Seconds() < redirectObjectiveShare*fleetObjective.Seconds() {
		return nil
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	var ranked [2][]*simulatedTarget
next:
	for _, target := range f.targets {
		for _, other := range tried {
			if other == target {
				continue next
			}
		}
		r, known := f.reports[target.addr]
		if !known || !r.hasRoom(left) || in.redirects.rejectedSince(target.addr, r.receivedAt) {
			continue
		}
		rank := 0
		if r.queued > 0 || r.inFlight >= r.Slots {
			rank++
		}
		ranked[rank] = append(ranked[rank], target)
	}
	if len(ranked[0]) > 0 {
		return ranked[0]
	}
	return ranked[1]
}

// call is a caller that retries twice.
func (f *simulatedFleet) call() {
	begin := time.Now()
	req := scheduling.Request{Route: "lookup", Priority: 1, Objective: begin.Add(fleetObjective), Deadline: begin.Add(fleetDeadline)}
	rejected, inTime, served := 0, 0, 0
	for attempt := range 3 {
		req.Returned = attempt > 0
		res := f.serve(f.ingresses[rand.N(len(f.ingresses))], req)
		notRun, ok := res.(outcome.NotRun)
		if !ok {
			served = 1
			if !time.Now().After(req.Objective) {
				inTime = 1
			}
			break
		}
		rejected++
		time.Sleep(min(notRun.RetryAfter, time.Until(req.Deadline)/3))
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.result.requests++
	f.result.rejected += rejected
	f.result.inTime += inTime
	f.result.served += served
}

// run plays a load of the given share of the capacity for total.
func (f *simulatedFleet) run(utilization float64, total time.Duration) fleetResult {
	perSecond := 0.0
	for _, target := range f.targets {
		perSecond += utilization * fleetSlots / target.service.Seconds()
	}
	ctx, cancel := context.WithCancel(context.Background())
	var reports, callers sync.WaitGroup
	reports.Go(func() { f.report(ctx) })
	for begin := time.Now(); time.Since(begin) < total; {
		callers.Go(f.call)
		time.Sleep(time.Duration(rand.ExpFloat64() / perSecond * float64(time.Second)))
	}
	callers.Wait()
	cancel()
	reports.Wait()
	return f.result
}

// TestRedirectsServeLess compares redirects with the rule that they have replaced, on loads
// of a fleet below and above its capacity.
func TestRedirectsServeLess(t *testing.T) {
	const (
		runs      = 8
		tolerance = 0.025 // the shares of a single run vary by 0.01
	)
	for _, row := range []struct {
		name        string
		utilization float64
		slow        bool
	}{
		{"below the capacity", 0.9, false},
		{"targets are slow in turn", 0.8, true},
		{"targets are slow in turn, at the capacity", 0.95, true},
		{"above the capacity", 1.3, false},
		{"twice the capacity", 2, false},
	} {
		t.Run(row.name, func(t *testing.T) {
			var before, now fleetResult
			for range runs {
				synctest.Test(t, func(*testing.T) {
					before.add(newSimulatedFleet(false, row.slow).run(row.utilization, 5*time.Second))
					now.add(newSimulatedFleet(true, row.slow).run(row.utilization, 5*time.Second))
				})
			}
			share := func(part int, of fleetResult) float64 { return float64(part) / float64(of.requests) }
			for _, r := range []fleetResult{before, now} {
				t.Logf("in time %.3f, served %.3f, rejections per request %.2f, sends per request %.2f",
					share(r.inTime, r), share(r.served, r), share(r.rejected, r), share(r.sends, r))
			}
			require.GreaterOrEqual(t, share(now.inTime, now), share(before.inTime, before)-tolerance)
			require.GreaterOrEqual(t, share(now.served, now), share(before.served, before)-tolerance)
		})
	}
}
