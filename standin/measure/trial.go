package measure

import (
	"context"
	"math/rand/v2"
	"syscall"
	"time"

	"siskinknot/io/member"
	"siskinknot/standin/processes"
	"siskinknot/standin/targetserver"
)

// trial is a fleet under load, to which something happens.
type trial struct {
	ctx    context.Context
	fleet  *processes.Fleet
	victim *processes.Server
	// entries are the daemons that the callers use.
	entries *processes.Entries
	// delay is the callers' to their entries.
	delay time.Duration
}

// zone returns the servers in the victim's availability zone, and keeps the
// callers from using their daemons.
func (t *trial) zone() []*processes.Server {
	var list []*processes.Server
	for _, s := range t.fleet.Servers {
		if s.Spec.Zone == t.victim.Spec.Zone {
			list = append(list, s)
			t.entries.Avoid(s)
		}
	}
	return list
}

// gone waits until the victim owns nothing.
func (t *trial) gone() error {
	return t.entries.Pick(rand.IntN).UntilStatus(t.ctx, func(st member.FleetStatus) string {
		return processes.OwnsNothing(st, t.victim.Spec.Name)
	})
}

// faults sets the faults of the targets with the given numbers.
func (t *trial) faults(f targetserver.Faults, numbers ...int) error {
	for _, n := range numbers {
		if err := t.fleet.Servers[n].SetFaults(f); err != nil {
			return err
		}
	}
	return nil
}

// replace stops the daemons with the given numbers in good order, one after the
// other, and starts each again.
func (t *trial) replace(numbers ...int) error {
	for _, n := range numbers {
		s := t.fleet.Servers[n]
		t.entries.Avoid(s)
		s.Daemon.Signal(syscall.SIGTERM)
		if _, err := s.Daemon.Wait(t.ctx); err != nil {
			return err
		}
		if err := s.StartDaemon(); err != nil {
			return err
		}
		if err := t.fleet.WaitReady(t.ctx); err != nil {
			return err
		}
		t.entries.Use(s)
	}
	return nil
}

// changes returns how often units of each service have changed owner.
func (t *trial) changes() (map[string]int, error) {
	st, err := t.entries.Pick(rand.IntN).Operator.Status(t.ctx)
	if err != nil {
		return nil, err
	}
	changes := map[string]int{}
	for _, svc := range st.Services {
		changes[svc.Name] = svc.Changes
	}
	return changes, nil
}
