package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sync"
	"syscall"
	"time"
)

// cutAtStop: the daemons are stopped and started in turn while the store is down.
func cutAtStop(rec *recorder, trouble bool) ([]string, error) {
	const fleets = 10
	var all sync.WaitGroup
	errs, broken := make([]error, fleets), make([][]string, fleets)
	for i := range fleets {
		all.Go(func() { broken[i], errs[i] = cutAtStopIn(rec, i, trouble) })
	}
	all.Wait()
	if err := errors.Join(errs...); err != nil {
		return nil, err
	}
	var list []string
	for _, b := range broken {
		list = append(list, b...)
	}
	return list, nil
}

// stops has when each machine of a fleet got SIGTERM.
type stops struct {
	mu sync.Mutex
	at map[*vm]time.Time
}

// takesWork reports whether clients send to the daemon: not once two readiness checks in a row, one a
// second, have missed.
func (s *stops) takesWork(v *vm, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	at, stopped := s.at[v]
	return !stopped || now.Sub(at) < 2*time.Second
}

// cutAtStopIn plays the case in one fleet.
func cutAtStopIn(rec *recorder, number int, trouble bool) ([]string, error) {
	const (
		machines  = 6
		perSecond = 130
		downFor   = 8 * time.Second
		firstStop = 3 * time.Second
		gap       = time.Second
		timeout   = 5 * time.Second
	)
	f, err := startFleet(rec, number, machines, 0)
	if f != nil {
		defer f.close()
	}
	if err != nil {
		return nil, err
	}
	if err := f.waitServing(20 * time.Second); err != nil {
		return nil, err
	}
	f.work, f.spread, f.speeds = 300*time.Millisecond, 0.8, []float64{0.6, 1, 1.4}
	s := &stops{at: map[*vm]time.Time{}}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	ingress := map[string]*vm{}
	var sending sync.WaitGroup
	sending.Go(func() {
		for ctx.Err() == nil {
			time.Sleep(time.Duration(rand.ExpFloat64() / perSecond * float64(time.Second)))
			v := f.vms[rand.IntN(machines)]
			if !s.takesWork(v, time.Now()) {
				continue
			}
			sending.Go(func() {
				a := v.send(context.Background(), request{method: http.MethodGet, path: "/history/a", key: rand.IntN(65536), timeout: timeout})
				s.mu.Lock()
				ingress[a.id] = v
				s.mu.Unlock()
			})
		}
	})
	time.Sleep(3 * time.Second)
	if trouble {
		rec.note("fleet %d: the store resets all calls for %v", number, downFor)
		until := time.Now().Add(downFor)
		f.store.setFaults(func(netip.Addr, *http.Request) fate { return fate{reset: time.Now().Before(until)} })
	}
	time.Sleep(firstStop)
	var restarts sync.WaitGroup
	for _, v := range f.vms {
		s.mu.Lock()
		s.at[v] = time.Now()
		s.mu.Unlock()
		restarts.Go(v.restart)
		time.Sleep(gap)
	}
	time.Sleep(4 * time.Second)
	cancel()
	sending.Wait()
	restarts.Wait()
	return rec.checkGivenUp(s, ingress, timeout), nil
}

// restart stops the daemon with SIGTERM, within the time that the platform gives it, and starts it
// again.
func (v *vm) restart() {
	exited := v.exited
	v.signal(syscall.SIGTERM)
	select {
	case <-exited:
	case <-time.After(graceS * time.Second):
		v.signal(syscall.SIGKILL)
		<-exited
	}
	if err := v.startDaemon(); err != nil {
		v.fleet.rec.note("%s: daemon not started: %v", v.name, err)
	}
}

// checkGivenUp returns how the rule LOST was broken: after a SIGTERM of the machine that took a request
// from its client, the request is broken off while its server is at work, and the client gets no
// answer of the server. Not counted: the deadline or the route's timeout was reached, or the server was
// still at work in the last sixth of the grace time on a request that was sent no later than 3 s after
// the SIGTERM.
func (r *recorder) checkGivenUp(s *stops, ingress map[string]*vm, timeout time.Duration) []string {
	const grace = graceS * time.Second
	r.mu.Lock()
	defer r.mu.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	var broken []string
	for id, cut := range r.cuts {
		v, got, sent := ingress[id], r.got[id], r.sentAt[id]
		if v == nil || r.replies[id].seal != "" || got.Sub(sent) > timeout-100*time.Millisecond {
			continue
		}
		at, stopped := s.at[v]
		if !stopped || got.Before(at) || got.After(at.Add(grace+time.Second)) {
			continue
		}
		if cut.After(at.Add(grace*5/6)) && sent.Before(at.Add(3*time.Second)) {
			continue
		}
		broken = append(broken, fmt.Sprintf("%s got SIGTERM at %s; request %s, sent to it at %s, was broken off at %s while %s was at work on it, and its client got %d at %s (error: %v)",
			v.name, r.since(at), id, r.since(sent), r.since(cut), r.ran[id][len(r.ran[id])-1], r.replies[id].status, r.since(got), r.replies[id].err))
	}
	return broken
}
