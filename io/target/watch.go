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

// Times of the watch.
const (
	healthEvery = 300 * time.Millisecond
	// loadEvery is the number of health checks for each look at the load.
	loadEvery     = 4
	healthTimeout = 400 * time.Millisecond
	// downAfter is the number of failed health checks after which a target
	// counts as down.
	downAfter = 2
)

// Watch reads the target's health and load, tells the Member, and renews the
// target's grant.
type Watch struct {
	tomb tomb.Tomb
}

// NewWatch starts the tasks of a Watch.
func NewWatch(m *member.Member, client *Client, runner *Runner, metrics tally.Scope, log hclog.Logger) *Watch {
	w := &Watch{}
	w.tomb.Go(func() error {
		failures := 0
		for i := 0; w.live(healthEvery); i++ {
			health, err := w.health(client)
			if err != nil {
				failures++
			} else {
				failures = 0
			}
			if failures == 0 || failures >= downAfter {
				m.SetTarget(stateOf(health, err))
			}
			if i%loadEvery == 0 {
				w.compareLoad(client, runner, metrics)
			}
		}
		return nil
	})
	w.tomb.Go(func() error {
		for w.live(lease.RenewEvery) {
			w.renewGrant(m, client, log)
		}
		return nil
	})
	return w
}

// Close ends the tasks.
func (w *Watch) Close() error {
	w.tomb.Kill(nil)
	return w.tomb.Wait()
}

// live reports whether the tasks should go on, after a pause.
func (w *Watch) live(pause time.Duration) bool {
	select {
	case <-w.tomb.Dying():
		return false
	case <-time.After(pause):
		return true
	}
}

// health asks the target once.
func (w *Watch) health(client *Client) (Health, error) {
	ctx, cancel := context.WithTimeout(context.Background(), healthTimeout)
	defer cancel()
	return client.Health(ctx)
}

// stateOf returns the state that a health check shows.
func stateOf(health Health, err error) member.TargetState {
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

// compareLoad counts load reports that disagree with what this daemon itself
// sees; nothing is decided by what a target reports.
func (w *Watch) compareLoad(client *Client, runner *Runner, metrics tally.Scope) {
	const tolerance = 3 // requests
	ctx, cancel := context.WithTimeout(context.Background(), healthTimeout)
	defer cancel()
	reported, err := client.Load(ctx)
	if err != nil {
		metrics.Counter("target_load_errors").Inc(1)
		return
	}
	seen := runner.Load()
	metrics.Gauge("target_in_flight").Update(float64(seen.InFlight))
	metrics.Gauge("target_queued").Update(float64(seen.Queued))
	metrics.Gauge("target_limit").Update(float64(seen.Limit))
	if reported.InFlight+tolerance < seen.InFlight || seen.InFlight+tolerance < reported.InFlight {
		metrics.Counter("target_load_disagreements").Inc(1)
	}
}

// renewGrant tells a target that checks grants until when its daemon holds.
func (w *Watch) renewGrant(m *member.Member, client *Client, log hclog.Logger) {
	values, _, ok := m.Values(m.Service(), "")
	if !ok || !values.TargetChecksGrants {
		return
	}
	until := m.HeldUntil()
	if !until.After(boottime.Now()) {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), healthTimeout)
	defer cancel()
	if err := client.RenewGrant(ctx, m.Me(), until); err != nil {
		log.Debug("grant not renewed", "error", err)
	}
}
