package main

import (
	"fmt"
	"math/rand"
	"sync"
	"time"
)

func init() { cases["exit-at-work"] = exitAtWork }

const (
	// checkInsLateBy is how late the check-ins of a leaving server arrive: "seconds late".
	checkInsLateBy = 4 * time.Second
	// exitsAfter is how long after its first report a server that gets no ack exits:
	// "some seconds later".
	exitsAfter = 3 * time.Second
)

// exitAtWork lets servers of the sharded service leave, one after the other. Each reports
// draining; its check-ins arrive 4 s late, so that it gets no ack and exits anyway after 3 s: it
// accepts no more connections, completes the requests that it is running, and ends.
func exitAtWork(start func() (*fleet, error), trouble bool) ([]string, error) {
	f, err := start()
	if err != nil {
		return nil, err
	}
	f.slots, f.work = 12, 300*time.Millisecond
	lookup := routeSpec{"lookup", "/lookup/", "safe", "registry", 1000, 600, 2, 2}
	register := routeSpec{"register", "/register/", "unsafe", "registry", 1200, 700, 1, 2}
	f.publish(lookup, register)
	for range 4 {
		if _, err := f.add("registry"); err != nil {
			return nil, err
		}
	}
	if err := f.waitServing(20 * time.Second); err != nil {
		return nil, err
	}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	f.load(80, stop, &wg, func() (*machine, routeSpec, int) {
		r := lookup
		if rand.Intn(3) == 0 {
			r = register
		}
		return f.machines[rand.Intn(len(f.machines))], r, rand.Intn(65536)
	}, 1200, nil, nil)
	for _, m := range f.machines[1:3] {
		time.Sleep(4 * time.Second)
		s := m.server
		s.mu.Lock()
		s.state = "draining"
		if trouble {
			s.lateBy = checkInsLateBy
		}
		s.mu.Unlock()
		f.rec.log("%s: server reports draining from now on", s.name)
		if trouble {
			time.Sleep(exitsAfter)
		} else {
			acked := s.send(s.nextCheckIn())
			f.rec.log("%s: draining, acknowledged=%v", s.name, acked)
			time.Sleep(drainTime + time.Second)
			f.rec.log("%s: says that it is gone (DELETE), acknowledged=%v", s.name, s.leave())
		}
		f.rec.log("%s: server exits: it accepts no more connections and completes %d running requests", s.name, s.runningNow())
		s.endGracefully()
		f.rec.log("%s: server has ended", s.name)
		// Another server starts beside the daemon.
		time.Sleep(4 * time.Second)
		if err := f.replaceServer(m); err != nil {
			return nil, err
		}
	}
	time.Sleep(3 * time.Second)
	close(stop)
	wg.Wait()
	return append(givenWhileAtWork(f), ownersAtOnce(f)...), nil
}

// givenWhileAtWork returns when a server was given keys on which another was still at work,
// before the hold of that one had run out.
func givenWhileAtWork(f *fleet) []string {
	f.hist.mu.Lock()
	defer f.hist.mu.Unlock()
	type pair struct{ from, to string }
	count := map[pair]int{}
	example := map[pair]string{}
	for _, g := range f.hist.holds {
		if g.isRelease || !g.newlyHeld {
			continue
		}
		for _, r := range f.hist.runs {
			if r.server == g.server || r.key < g.from || g.to < r.key || !r.at.Before(g.at) || !g.at.Before(r.end) || !g.at.Before(r.heldUntil) {
				continue
			}
			p := pair{r.server, g.server}
			count[p]++
			if example[p] == "" {
				at := func(t time.Time) float64 { return t.Sub(f.rec.begin).Seconds() }
				example[p] = fmt.Sprintf("request %s, key %d, runs at %s from %.3f s to %.3f s under a hold until %.3f s or later; %s takes the key at %.3f s with generation %d",
					r.id, r.key, r.server, at(r.at), at(r.end), at(r.heldUntil), g.server, at(g.at), g.fence)
			}
		}
	}
	var broken []string
	for p, n := range count {
		broken = append(broken, fmt.Sprintf("OWNER: %s was given keys on which %s was still at work, %d times; the first: %s", p.to, p.from, n, example[p]))
	}
	return broken
}
