package main

import (
	"fmt"
	"math/rand"
	"slices"
	"sync"
	"syscall"
	"time"
)

func init() { cases["forgotten-leave"] = forgottenLeave }

const (
	// drainTime is drain_ms, and stableTime is stable_ms.
	drainTime  = 2 * time.Second
	stableTime = 3 * time.Second
	// checkInLateBy is how late a check-in arrives: "seconds late".
	checkInLateBy = 3400 * time.Millisecond
	// servesOn is how long the server goes on serving after its notice was acknowledged:
	// drain_ms "and a little longer (at times many seconds)".
	servesOn = 12 * time.Second
)

// forgottenLeave lets a server say that it is gone (it never reports draining), while its last
// check-in is on its way. The daemon beside it acknowledges the notice, and is then stopped with
// SIGTERM and started again. The check-in arrives after that.
func forgottenLeave(start func() (*fleet, error), trouble bool) ([]string, error) {
	f, err := start()
	if err != nil {
		return nil, err
	}
	f.work = 300 * time.Millisecond
	lookup := routeSpec{"lookup", "/lookup/", "safe", "registry", 1000, 600, 2, 2}
	upload := routeSpec{"upload", "/upload/", "upload", "archive", 1200, 700, 1, 2}
	f.publish(lookup, upload)
	for _, service := range []string{"registry", "registry", "registry", "archive", "archive", "archive"} {
		if _, err := f.add(service); err != nil {
			return nil, err
		}
	}
	if err := f.waitServing(20 * time.Second); err != nil {
		return nil, err
	}
	leaver := f.machines[5]
	stop := make(chan struct{})
	var wg sync.WaitGroup
	var mu sync.Mutex
	answers := map[string]answer{}
	// Clients send new work to machines whose daemon is ready.
	f.load(100, stop, &wg, func() (*machine, routeSpec, int) {
		m := f.machines[rand.Intn(len(f.machines))]
		if m == leaver {
			m = f.machines[3]
		}
		if rand.Intn(6) == 0 {
			return m, lookup, rand.Intn(65536)
		}
		return m, upload, 0
	}, 1200, nil, func(a answer) {
		mu.Lock()
		defer mu.Unlock()
		answers[a.id] = a
	})
	time.Sleep(3 * time.Second)
	s := leaver.server
	s.mu.Lock()
	s.silent = true // its check-ins end with the notice
	s.mu.Unlock()
	checkIn := s.nextCheckIn()
	deliver := func() {
		f.rec.log("%s: check-in (ready, sequence %d) arrives, acknowledged=%v", s.name, s.sequence, s.send(checkIn))
	}
	f.rec.log("%s: check-in (ready, sequence %d) is sent", s.name, s.sequence)
	if trouble {
		time.AfterFunc(checkInLateBy, deliver)
	} else {
		deliver()
	}
	time.Sleep(100 * time.Millisecond)
	if !s.leave() {
		return nil, fmt.Errorf("the notice was not acknowledged")
	}
	acknowledged := time.Now()
	f.rec.log("%s: says that it is gone (DELETE); acknowledged", s.name)
	if trouble {
		_ = leaver.cmd.Process.Signal(syscall.SIGTERM)
		f.rec.log("%s: daemon gets SIGTERM", leaver.name)
		<-leaver.exited
		time.Sleep(100 * time.Millisecond)
		if err := f.startDaemon(leaver); err != nil {
			return nil, err
		}
	}
	time.Sleep(time.Until(acknowledged.Add(servesOn)))
	ended := time.Now()
	s.end()
	f.rec.log("%s: server exits", s.name)
	time.Sleep(2 * time.Second)
	close(stop)
	wg.Wait()
	// Machines are in touch again stable_ms after their start.
	from := acknowledged.Add(drainTime)
	if trouble {
		from = later(from, leaver.startedAt.Add(stableTime))
	}
	f.hist.mu.Lock()
	runs := slices.Clone(f.hist.runs)
	f.hist.mu.Unlock()
	late, cut := 0, 0
	for _, r := range runs {
		if r.server != s.name || r.at.Before(from) {
			continue
		}
		late++
		mu.Lock()
		whole := answers[r.id].whole
		mu.Unlock()
		if !whole && ended.Sub(r.at) < f.work+50*time.Millisecond {
			cut++
		}
	}
	f.rec.log("%s: %d requests reached it between %.3f s and %.3f s, later than drain_ms after the ack at %.3f s; %d of them were at work when it exited, and have no answer of a server",
		s.name, late, from.Sub(f.rec.begin).Seconds(), ended.Sub(f.rec.begin).Seconds(), acknowledged.Sub(f.rec.begin).Seconds(), cut)
	if late > 0 {
		return []string{fmt.Sprintf("DRAIN: %d requests reached a server that is gone later than drain_ms after the ack; %d of them were lost as it exited", late, cut)}, nil
	}
	return nil, nil
}
