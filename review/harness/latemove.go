package main

import (
	"fmt"
	"math/rand"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["late-move"] = lateMove }

const (
	// lateBy is how long after its arrival the store executes the append without an answer:
	// 1 to 6 s ("platform_lost", how late).
	lateBy = 3400 * time.Millisecond
	// restartDelay is how long a daemon that was killed is down.
	restartDelay = 100 * time.Millisecond
	// fleetsPerRun and roundsPerFleet are how often it is tried. Each round meets another daemon of
	// its fleet; no further fleet is started once the rule was broken.
	fleetsPerRun, roundsPerFleet = 3, 3
)

func lateMove(start func() (*fleet, error), trouble bool) (broken []string, err error) {
	for range fleetsPerRun {
		f, err := start()
		if err != nil {
			return nil, err
		}
		found, err := moveLate(f, trouble)
		f.close()
		if err != nil {
			return nil, err
		}
		if broken = append(broken, found...); len(broken) > 0 {
			break
		}
	}
	return broken, nil
}

// moveLate moves load between owners, so that they hand keys over. While the change of owner
// is on its way to the store, the store gives no answer and executes the call 3.4 s later; the
// daemon that sent it is killed and started again.
func moveLate(f *fleet, trouble bool) ([]string, error) {
	f.slots, f.work = 9, 10*time.Millisecond
	lookup := routeSpec{"lookup", "/lookup/", "safe", "registry", 1000, 400, 2, 2}
	register := routeSpec{"register", "/register/", "unsafe", "registry", 1200, 500, 1, 2}
	f.publish(lookup, register)
	for range 3 {
		if _, err := f.add("registry"); err != nil {
			return nil, err
		}
	}
	if err := f.waitServing(20 * time.Second); err != nil {
		return nil, err
	}
	byIP := map[netip.Addr]*machine{}
	for _, m := range f.machines {
		byIP[netip.MustParseAddr(m.ip)] = m
	}
	var mu sync.Mutex
	armed := false
	var victim *machine
	var moved grantCall
	lost := make(chan *machine, 1)
	for _, m := range f.machines {
		m.server.onRelease = func(s *server, c grantCall) {
			mu.Lock()
			defer mu.Unlock()
			if armed && victim == nil {
				victim, moved = m, c
			}
		}
	}
	f.store.onAppend = func(caller netip.Addr) (time.Duration, bool) {
		mu.Lock()
		defer mu.Unlock()
		if !armed || victim == nil || byIP[caller] != victim {
			return 0, false
		}
		armed = false
		lost <- victim
		return lateBy, true
	}
	// The busy keys are close to one another, and which ones are busy changes: they lie in the
	// range of one server.
	var busyFrom atomic.Int64
	busyFrom.Store(-1)
	stop := make(chan struct{})
	var wg sync.WaitGroup
	pick := func(from int64, width int) (*machine, routeSpec, int) {
		r := lookup
		if rand.Intn(4) == 0 {
			r = register
		}
		key := rand.Intn(65536)
		if from >= 0 {
			key = int(from) + rand.Intn(width)
		}
		return f.machines[rand.Intn(len(f.machines))], r, key
	}
	f.load(100, stop, &wg, func() (*machine, routeSpec, int) { return pick(-1, 0) }, 1000, nil, nil)
	f.load(300, stop, &wg, func() (*machine, routeSpec, int) { return pick(busyFrom.Load(), 4000) }, 1000, func() bool { return busyFrom.Load() >= 0 }, nil)
	// Requests for the keys of the move go on.
	f.load(150, stop, &wg, func() (*machine, routeSpec, int) {
		mu.Lock()
		c := moved
		mu.Unlock()
		return pick(int64(c.From), c.Target-c.From+1)
	}, 1000, func() bool { return busyFrom.Load() < 0 && trouble }, nil)
	for round := range roundsPerFleet {
		time.Sleep(2 * time.Second)
		busyFrom.Store(int64((round*22000 + 1000) % 60000))
		mu.Lock()
		armed, victim = trouble, nil
		mu.Unlock()
		f.rec.log("round %d: keys from %d on are busy", round+1, busyFrom.Load())
		if !trouble {
			time.Sleep(6 * time.Second)
			continue
		}
		select {
		case m := <-lost:
			busyFrom.Store(-1)
			f.restart(m, restartDelay)
			time.Sleep(lateBy + 3500*time.Millisecond)
		case <-time.After(8 * time.Second):
			f.rec.log("no keys were moved")
			mu.Lock()
			armed = false
			mu.Unlock()
		}
		busyFrom.Store(-1)
	}
	close(stop)
	wg.Wait()
	return ownersAtOnce(f), nil
}

// ownersAtOnce returns when two servers held the same keys at the same time and both began
// requests on such keys in that time, or held a key for over half a second.
func ownersAtOnce(f *fleet) []string {
	f.hist.mu.Lock()
	runs := slices.Clone(f.hist.runs)
	f.hist.mu.Unlock()
	type pair struct{ a, b string }
	type overlap struct {
		from, to time.Time
		// keys is the number of keys, runs that of the requests that either server began, and
		// longest the longest time for which both held one of the keys.
		keys    int
		runs    [2]int
		longest time.Duration
	}
	began := func(server string, key int, from, to time.Time) (n int) {
		for _, r := range runs {
			if r.server == server && r.key == key && !r.at.Before(from) && r.at.Before(to) {
				n++
			}
		}
		return n
	}
	keys := map[int]bool{}
	for _, r := range runs {
		keys[r.key] = true
	}
	byPair := map[pair][]overlap{}
	for key := range keys {
		spans := f.hist.spans(key)
		for a, as := range spans {
			for b, bs := range spans {
				if a >= b {
					continue
				}
				for _, x := range as {
					for _, y := range bs {
						if from, to := later(x.from, y.from), earlier(x.to, y.to); from.Before(to) {
							byPair[pair{a, b}] = append(byPair[pair{a, b}], overlap{from, to, 1, [2]int{began(a, key, from, to), began(b, key, from, to)}, to.Sub(from)})
						}
					}
				}
			}
		}
	}
	var broken []string
	for p, list := range byPair {
		slices.SortFunc(list, func(x, y overlap) int { return x.from.Compare(y.from) })
		var merged []overlap // the overlaps of the keys that coincide
		for _, o := range list {
			if n := len(merged); n > 0 && o.from.Before(merged[n-1].to) {
				m := &merged[n-1]
				m.to, m.longest = later(m.to, o.to), max(m.longest, o.longest)
				m.keys, m.runs[0], m.runs[1] = m.keys+o.keys, m.runs[0]+o.runs[0], m.runs[1]+o.runs[1]
				continue
			}
			merged = append(merged, o)
		}
		for _, o := range merged {
			line := fmt.Sprintf("%s and %s both held %d keys of those asked for, between %.3f s and %.3f s, a key for %d ms at most, and began %d and %d requests on them meanwhile",
				p.a, p.b, o.keys, o.from.Sub(f.rec.begin).Seconds(), o.to.Sub(f.rec.begin).Seconds(), o.longest.Milliseconds(), o.runs[0], o.runs[1])
			f.rec.log("two owners: %s", line)
			if (o.runs[0] > 0 && o.runs[1] > 0) || o.longest > 500*time.Millisecond {
				broken = append(broken, "OWNER: "+line)
			}
		}
	}
	return broken
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
