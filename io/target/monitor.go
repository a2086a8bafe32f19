package target

import (
	"context"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/uber-go/tally/v4"
	"gopkg.in/tomb.v2"

	"siskinknot/core/lease"
	"siskinknot/io/boottime"
	"siskinknot/io/member"
)

// Intervals and limits of the health checks.
const (
	// healthInterval is the time between two health checks.
	healthInterval = 300 * time.Millisecond
	// healthChecksPerLoad is the number of health checks per request for the load.
	healthChecksPerLoad = 4
	// healthTimeout limits one request for health or load, and one renewal of the
	// grant.
	healthTimeout = 400 * time.Millisecond
	// failuresUntilDown is the number of consecutive failed health checks after
	// which a target is considered down.
	failuresUntilDown = 2
)

// Monitor checks the target's health periodically, reports the state to the
// Member, compares the reported load with the measured one, and renews the target's
// grant.
type Monitor struct {
	tomb tomb.Tomb
}

// NewMonitor starts a Monitor with its background goroutines. Close stops them.
func NewMonitor(m *member.Member, client *Client, runner *Runner, metrics tally.Scope, log hclog.Logger) *Monitor {
	mon := &Monitor{}
	mon.tomb.Go(func() error {
		failures := 0
		for i := 0; mon.wait(healthInterval); i++ {
			health, err := mon.health(client)
			if err != nil {
				failures++
			} else {
				failures = 0
			}
			if failures == 0 || failures >= failuresUntilDown {
				m.SetTarget(targetState(health, err))
			}
			if i%healthChecksPerLoad == 0 {
				mon.checkReportedLoad(client, runner, metrics)
			}
		}
		return nil
	})
	mon.tomb.Go(func() error {
		for mon.wait(lease.RenewInterval) {
			mon.renewGrant(m, client, log)
		}
		return nil
	})
	return mon
}

// Close stops the background goroutines and waits for them. The error is always nil.
func (mon *Monitor) Close() error {
	mon.tomb.Kill(nil)
	return mon.tomb.Wait()
}

// wait waits for delay. It returns false if Close was called meanwhile.
func (mon *Monitor) wait(delay time.Duration) bool {
	select {
	case <-mon.tomb.Dying():
		return false
	case <-time.After(delay):
		return true
	}
}

// health requests the target's health once.
func (mon *Monitor) health(client *Client) (Health, error) {
	ctx, cancel := context.WithTimeout(context.Background(), healthTimeout)
	defer cancel()
	return client.Health(ctx)
}

// targetState returns the state of the target that follows from a health check. A
// failed check and an unknown state mean TargetDown.
func targetState(health Health, err error) member.TargetState {
	switch {
	case err != nil:
		return member.TargetDown
	case health.State == "ready":
		return member.TargetReady
	case health.State == "cold":
		return member.TargetCold
	case health.State == "draining":
		return member.TargetDraining
	default:
		return member.TargetDown
	}
}

// checkReportedLoad counts load reports that disagree with the load that this daemon
// measures. No decision is based on the load that a target reports.
func (mon *Monitor) checkReportedLoad(client *Client, runner *Runner, metrics tally.Scope) {
	const tolerance = 3 // requests
	ctx, cancel := context.WithTimeout(context.Background(), healthTimeout)
	defer cancel()
	reported, err := client.Load(ctx)
	if err != nil {
		metrics.Counter("target_load_errors").Inc(1)
		return
	}
	observed := runner.Load()
	metrics.Gauge("target_in_flight").Update(float64(observed.InFlight))
	metrics.Gauge("target_queued").Update(float64(observed.Queued))
	metrics.Gauge("target_limit").Update(float64(observed.Limit))
	if reported.InFlight+tolerance < observed.InFlight || observed.InFlight+tolerance < reported.InFlight {
		metrics.Counter("target_load_disagreements").Inc(1)
	}
}

// renewGrant tells a target that checks grants until when its daemon holds its
// lease.
func (mon *Monitor) renewGrant(m *member.Member, client *Client, log hclog.Logger) {
	values, _, ok := m.Values(m.Service(), "")
	if !ok || !values.TargetChecksGrants {
		return
	}
	expires := m.HeldUntil()
	if !expires.After(boottime.Now()) {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), healthTimeout)
	defer cancel()
	if err := client.RenewGrant(ctx, m.Incarnation(), expires); err != nil {
		log.Debug("grant not renewed", "error", err)
	}
}
