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

// trial is a fleet under load in which faults or changes are caused.
type trial struct {
	ctx   context.Context
	fleet *processes.Fleet
	// victim is the server that is lost, stopped or cut off.
	victim *processes.Server
	// ingresses are the ingress daemons that the callers use.
	ingresses *processes.Ingresses
	// delay is the one-way delay between the callers and their ingress daemons.
	delay time.Duration
}

// avoidZone returns the servers in the victim's availability zone, and stops the
// callers from using their daemons.
func (t *trial) avoidZone() []*processes.Server {
	var list []*processes.Server
	for _, s := range t.fleet.Servers {
		if s.Spec.Zone == t.victim.Spec.Zone {
			list = append(list, s)
			t.ingresses.Avoid(s)
		}
	}
	return list
}

// waitOwnsNoSlots waits until the victim owns no slot and every slot has an owner.
func (t *trial) waitOwnsNoSlots() error {
	return t.ingresses.Pick(rand.IntN).WaitStatus(t.ctx, func(st member.FleetStatus) string {
		return processes.OwnsNoSlots(st, t.victim.Spec.Name)
	})
}

// setFaults sets the faults of the targets of the servers with the given indexes.
func (t *trial) setFaults(f targetserver.Faults, numbers ...int) error {
	for _, n := range numbers {
		if err := t.fleet.Servers[n].SetTargetFaults(f); err != nil {
			return err
		}
	}
	return nil
}

// restart restarts the daemons of the servers with the given indexes, one after
// the other. Each is stopped with SIGTERM, and the fleet is ready again before the
// next one.
func (t *trial) restart(numbers ...int) error {
	for _, n := range numbers {
		s := t.fleet.Servers[n]
		t.ingresses.Avoid(s)
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
		t.ingresses.Use(s)
	}
	return nil
}

// ownerChanges returns, by service, how often its units have changed owner.
func (t *trial) ownerChanges() (map[string]int, error) {
	st, err := t.ingresses.Pick(rand.IntN).Operator.Status(t.ctx)
	if err != nil {
		return nil, err
	}
	counts := map[string]int{}
	for _, svc := range st.Services {
		counts[svc.Name] = svc.OwnerChanges
	}
	return counts, nil
}
