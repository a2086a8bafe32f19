// Package mesh proves the promises of a fleet on the platform's metadata store
// with real processes, under failure. docs/PROOFS.md lists what each test shows.
package mesh

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"

	"siskinknot/standin/keyserver"
	"siskinknot/standin/meshfleet"
	"siskinknot/standin/metastore"
	"siskinknot/standin/processes"
)

// patience bounds every wait; it says nothing about how long things should take.
const patience = 30 * time.Second

var (
	binDir string
	seed   = uint64(1)
)

func TestMain(m *testing.M) {
	os.Exit(runTests(m))
}

// runTests builds the program if it was not given.
func runTests(m *testing.M) int {
	if n, err := strconv.ParseUint(os.Getenv("SISKINKNOT_SEED"), 10, 64); err == nil {
		seed = n
	}
	fmt.Println("seed", seed)
	if binDir = os.Getenv("SISKINKNOT_BIN"); binDir != "" {
		return m.Run()
	}
	dir, err := os.MkdirTemp("", "siskinknot-bin-")
	if err != nil {
		panic(err)
	}
	defer func() { _ = os.RemoveAll(dir) }()
	build := exec.Command("go", "build", "-o", dir, "siskinknot/cmd/siskinknot")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		fmt.Println("build:", err)
		return 1
	}
	binDir = dir
	return m.Run()
}

// fleet is a fleet under load.
type fleet struct {
	*meshfleet.Fleet
	t    *testing.T
	logs *os.File
	ctx  context.Context
	stop context.CancelFunc
	work sync.WaitGroup

	mu      sync.Mutex
	answers []answer
}

// answer is an answer and when it came.
type answer struct {
	meshfleet.Answer
	request meshfleet.Request
	sentAt  time.Time
	took    time.Duration
}

// start starts a fleet that serves.
func start(t *testing.T, registry, archive int) *fleet {
	t.Helper()
	return startWorking(t, registry, archive, 10*time.Millisecond)
}

// startWorking starts a fleet that serves, whose servers take work for a request.
func startWorking(t *testing.T, registry, archive int, work time.Duration) *fleet {
	t.Helper()
	logs, err := os.CreateTemp("", "siskinknot-mesh-*.log")
	if err != nil {
		t.Fatal(err)
	}
	f := &fleet{t: t, logs: logs}
	f.ctx, f.stop = context.WithTimeout(context.Background(), 3*patience)
	f.Fleet, err = meshfleet.Start(meshfleet.Options{
		Bin: binDir, Seed: seed, Registry: registry, Archive: archive, Work: work, Logs: logs,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.finish)
	ctx, cancel := context.WithTimeout(f.ctx, patience)
	defer cancel()
	if err := f.WaitServing(ctx); err != nil {
		t.Fatal(err)
	}
	return f
}

// finish ends the load and checks what must always hold.
func (f *fleet) finish() {
	f.stop()
	f.work.Wait()
	f.Close()
	for _, problem := range f.Record.Problems() {
		f.t.Error(problem)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, a := range f.answers {
		switch {
		case a.Status == http.StatusOK && !a.Whole():
			f.t.Errorf("request %s: answer %+v is not its own whole answer", a.ID, a.Answer)
		case a.Status == http.StatusServiceUnavailable && a.request.Method != http.MethodGet && f.Record.Runs(a.ID) > 0:
			f.t.Errorf("request %s was refused as not run and has run", a.ID)
		}
	}
	if f.t.Failed() {
		f.t.Logf("logs of the daemons: %s", f.logs.Name())
		return
	}
	_ = os.Remove(f.logs.Name())
}

// load sends requests from all VMs until the test ends.
func (f *fleet) load(vms ...*meshfleet.VM) {
	const perVM = 2
	for i := range perVM * len(vms) {
		rng := rand.New(rand.NewPCG(seed, uint64(i)))
		f.work.Go(func() {
			for f.ctx.Err() == nil {
				f.send(vms[i%len(vms)], f.draw(rng))
				time.Sleep(time.Duration(rng.IntN(10)) * time.Millisecond)
			}
		})
	}
}

// draw returns a random request.
func (f *fleet) draw(rng *rand.Rand) meshfleet.Request {
	key := uint16(rng.IntN(65536))
	switch n := rng.IntN(10); {
	case n < 6:
		return meshfleet.Lookup(key)
	case n < 9:
		return meshfleet.Register(key)
	default:
		return meshfleet.Upload(1 << rng.IntN(18))
	}
}

// send sends a request and notes the answer.
func (f *fleet) send(vm *meshfleet.VM, r meshfleet.Request) answer {
	sentAt := time.Now()
	a := answer{Answer: vm.Send(f.ctx, r), request: r, sentAt: sentAt, took: time.Since(sentAt)}
	if f.ctx.Err() == nil {
		f.mu.Lock()
		f.answers = append(f.answers, a)
		f.mu.Unlock()
	}
	return a
}

// servedSince returns the share of the requests sent since at that were served.
func (f *fleet) servedSince(at time.Time) float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	served, all := 0, 0
	for _, a := range f.answers {
		if a.sentAt.Before(at) {
			continue
		}
		all++
		if a.Whole() {
			served++
		}
	}
	if all == 0 {
		return 0
	}
	return float64(served) / float64(all)
}

// allKeysServed waits until all keys are served through vm, and returns how long
// that took.
func (f *fleet) allKeysServed(vm *meshfleet.VM) time.Duration {
	f.t.Helper()
	const every = 2048
	began := time.Now()
	var asking sync.WaitGroup
	for key := 0; key < 65536; key += every {
		question := meshfleet.Lookup(uint16(key))
		question.Deadline = 250 * time.Millisecond
		asking.Go(func() {
			for !f.send(vm, question).Whole() && time.Since(began) < patience {
				time.Sleep(5 * time.Millisecond)
			}
		})
	}
	asking.Wait()
	took := time.Since(began)
	if took >= patience {
		f.t.Fatalf("some keys are not served after %v", patience)
	}
	return took
}

func TestCalmDay(t *testing.T) {
	t.Parallel()
	f := start(t, 4, 2)
	began := time.Now()
	f.load(f.VMs...)
	time.Sleep(2 * time.Second)
	if share := f.servedSince(began); share < 0.999 {
		t.Errorf("%.4f of the requests were served, want all", share)
	}
}

// TestLoss ends daemons in the ways that daemons end, and checks that the keys of
// their servers are back within the promised time.
func TestLoss(t *testing.T) {
	const promised = 2 * time.Second
	for _, row := range []struct {
		name string
		lose func(f *fleet)
		// more is what two losses at once may take beyond one.
		more time.Duration
	}{
		{"daemon killed", func(f *fleet) { f.VMs[1].Kill() }, 0},
		{"daemon frozen", func(f *fleet) { f.VMs[1].Signal(syscall.SIGSTOP) }, 0},
		{"server crashed", func(f *fleet) { f.VMs[1].Server.Kill() }, 0},
		{"two daemons killed", func(f *fleet) { f.VMs[1].Kill(); f.VMs[2].Kill() }, time.Second},
	} {
		t.Run(row.name, func(t *testing.T) {
			t.Parallel()
			f := start(t, 4, 3)
			f.load(f.VMs[0], f.VMs[3])
			row.lose(f)
			took := f.allKeysServed(f.VMs[0])
			t.Logf("keys are back after %v", took)
			if took > promised+row.more {
				t.Errorf("keys are back after %v, want %v", took, promised+row.more)
			}
			f.VMs[1].Signal(syscall.SIGCONT)
			time.Sleep(time.Second)
			f.allKeysServed(f.VMs[0])
		})
	}
}

// TestStoreAway takes the store away and checks that all keys go on being served.
func TestStoreAway(t *testing.T) {
	for _, row := range []struct {
		name  string
		fault metastore.Fault
		// vms are those that the fault concerns; all if there are none.
		vms []int
	}{
		{"busy", metastore.Fault{Down: metastore.Busy}, nil},
		{"silent", metastore.Fault{Down: metastore.Silent}, nil},
		{"reset", metastore.Fault{Down: metastore.Reset}, nil},
		{"slow", metastore.Fault{Slow: 400 * time.Millisecond}, nil},
		{"silent for two daemons", metastore.Fault{Down: metastore.Silent}, []int{0, 1}},
		{"losing answers", metastore.Fault{Lost: 0.5, Late: 0.5, LateBy: time.Second}, nil},
	} {
		t.Run(row.name, func(t *testing.T) {
			t.Parallel()
			f := start(t, 4, 2)
			f.load(f.VMs...)
			began := time.Now()
			if row.vms != nil {
				row.fault.For = func(caller netip.Addr) bool {
					return slices.ContainsFunc(row.vms, func(i int) bool { return f.IP(i) == caller })
				}
			}
			f.Store.SetFault(row.fault)
			time.Sleep(4 * time.Second)
			if share := f.servedSince(began); share < 0.98 {
				t.Errorf("%.3f of the requests were served while the store was away", share)
			}
			f.Store.SetFault(metastore.Fault{})
			f.Store.Forget()
			f.allKeysServed(f.VMs[0])
		})
	}
}

// TestLeaving stops daemons and drains servers, and checks that no request is cut
// off and that nothing is sent to a server that has left.
func TestLeaving(t *testing.T) {
	f := start(t, 4, 2)
	f.load(f.VMs[0], f.VMs[3])
	began := time.Now()
	f.VMs[1].Signal(syscall.SIGTERM)
	f.VMs[1].Wait()
	f.VMs[2].Server.Drain()
	time.Sleep(2 * time.Second)
	if share := f.servedSince(began); share < 0.999 {
		t.Errorf("%.4f of the requests were served, want all", share)
	}
	for key := 0; key < 65536; key += 64 {
		if f.VMs[2].Server.Holds(uint16(key)) {
			t.Fatalf("key %d is held by a server that has left", key)
		}
	}
	if err := f.VMs[1].StartDaemon(); err != nil {
		t.Fatal(err)
	}
	f.allKeysServed(f.VMs[1])
}

// TestStopsWhole stops a daemon of each service under load, while servers take a
// fifth of a second for a request, and checks that each request which has run got
// its server's answer, unless the time of its route was over.
func TestStopsWhole(t *testing.T) {
	const routeTimeout = 2 * time.Second
	f := start(t, 2, 2)
	for _, vm := range f.VMs {
		vm.Server.SetFault(keyserver.Fault{Slow: 20})
	}
	f.load(f.VMs[1], f.VMs[1], f.VMs[3], f.VMs[3])
	for _, i := range []int{0, 2} {
		f.VMs[i].Signal(syscall.SIGTERM)
		f.VMs[i].Wait()
	}
	time.Sleep(routeTimeout) // for the answers of the last requests
	f.mu.Lock()
	defer f.mu.Unlock()
	ran := 0
	for _, a := range f.answers {
		if f.Record.Runs(a.ID) == 0 || a.took >= routeTimeout {
			continue
		}
		ran++
		if !a.Whole() {
			t.Errorf("request %s has run, and its caller got status %d after %v", a.ID, a.Status, a.took)
		}
	}
	if ran == 0 {
		t.Error("no request has run")
	}
}

// TestSharedRestart stops the only daemon of the shared service and starts it
// again while the store is slow or away, and checks how soon it serves: it needs
// nothing that other daemons cannot tell it.
func TestSharedRestart(t *testing.T) {
	const promised = 2 * time.Second
	for _, row := range []struct {
		name  string
		fault metastore.Fault
		stop  syscall.Signal
	}{
		{"stopped, slow store", metastore.Fault{Slow: 300 * time.Millisecond}, syscall.SIGTERM},
		{"killed, slow store", metastore.Fault{Slow: 300 * time.Millisecond}, syscall.SIGKILL},
		{"stopped, no store", metastore.Fault{Down: metastore.Silent}, syscall.SIGTERM},
		{"killed, no store", metastore.Fault{Down: metastore.Silent}, syscall.SIGKILL},
	} {
		t.Run(row.name, func(t *testing.T) {
			t.Parallel()
			f := start(t, 3, 1)
			f.load(f.VMs[0])
			shared := f.VMs[3]
			f.Store.SetFault(row.fault)
			shared.Signal(row.stop)
			shared.Wait()
			if err := shared.StartDaemon(); err != nil {
				t.Fatal(err)
			}
			began := time.Now()
			for !f.send(f.VMs[0], meshfleet.Upload(1<<10)).Whole() {
				if time.Since(began) > patience {
					t.Fatalf("the shared service is not served after %v", patience)
				}
				time.Sleep(5 * time.Millisecond)
			}
			if took := time.Since(began); took > promised {
				t.Errorf("the shared service is served after %v, want %v", took, promised)
			}
		})
	}
}

// TestAllKilled ends all daemons at once and starts them again.
func TestAllKilled(t *testing.T) {
	const promised = 3 * time.Second
	f := start(t, 4, 2)
	f.load(f.VMs[0])
	for _, vm := range f.VMs {
		vm.Kill()
	}
	for _, vm := range f.VMs {
		if err := vm.StartDaemon(); err != nil {
			t.Fatal(err)
		}
	}
	if took := f.allKeysServed(f.VMs[0]); took > promised {
		t.Errorf("keys are back after %v, want %v", took, promised)
	}
}

// TestBadServers lets servers misbehave and checks what callers get.
func TestBadServers(t *testing.T) {
	for _, row := range []struct {
		name  string
		fault keyserver.Fault
		share float64
	}{
		{"extra answers", keyserver.Fault{ExtraAnswers: 0.3, Slow: 1}, 0.99},
		{"lost answers", keyserver.Fault{LoseAnswers: 0.1, Slow: 1}, 0.85},
		{"unanswered grants", keyserver.Fault{LoseGrants: 0.5, Slow: 1}, 0.95},
		{"slow", keyserver.Fault{Slow: 4}, 0.95},
	} {
		t.Run(row.name, func(t *testing.T) {
			t.Parallel()
			f := start(t, 3, 2)
			began := time.Now()
			f.load(f.VMs...)
			for _, vm := range f.VMs {
				vm.Server.SetFault(row.fault)
			}
			time.Sleep(2500 * time.Millisecond)
			if share := f.servedSince(began); share < row.share {
				t.Errorf("%.3f of the requests were served, want %.3f", share, row.share)
			}
		})
	}
}

// TestCallersLeave lets callers leave while servers work on their requests, at the
// server beside their daemon or behind another, and checks that the servers stop.
func TestCallersLeave(t *testing.T) {
	const promised = 500 * time.Millisecond
	for _, row := range []struct {
		name    string
		request func(i int) meshfleet.Request
	}{
		{"lookups", func(i int) meshfleet.Request { return meshfleet.Lookup(uint16(i * 8192)) }},
		{"registrations", func(i int) meshfleet.Request { return meshfleet.Register(uint16(i * 8192)) }},
		{"small uploads", func(int) meshfleet.Request { return meshfleet.Upload(1 << 10) }},
		{"large uploads", func(int) meshfleet.Request { return meshfleet.Upload(1 << 19) }},
	} {
		t.Run(row.name, func(t *testing.T) {
			t.Parallel()
			const callers = 8
			f := start(t, 2, 1)
			for _, vm := range f.VMs {
				vm.Server.SetFault(keyserver.Fault{Slow: 10_000})
			}
			busy := func() int {
				n := 0
				for _, vm := range f.VMs {
					n += vm.Server.Busy()
				}
				return n
			}
			ctx, leave := context.WithCancel(f.ctx)
			defer leave()
			for i := range callers {
				r := row.request(i)
				r.Deadline = patience
				f.work.Go(func() { f.VMs[0].Send(ctx, r) })
			}
			within(t, patience, func() bool { return busy() >= callers/2 })
			leave()
			within(t, promised, func() bool { return busy() == 0 })
		})
	}
}

// within waits until is reports true, for at most limit.
func within(t *testing.T, limit time.Duration, is func() bool) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	err := processes.Until(ctx, func() string {
		if is() {
			return ""
		}
		return "it is not so"
	})
	if err != nil {
		t.Fatalf("after %v: %v", limit, err)
	}
}

// TestConfig publishes a route while the store turns some daemons away.
func TestConfig(t *testing.T) {
	for _, row := range []struct {
		name string
		down metastore.Outage
		// vms are the daemons that the store turns away.
		vms []int
	}{
		{"calm", metastore.Up, nil},
		{"busy for one", metastore.Busy, []int{0}},
		{"silent for all but one", metastore.Silent, []int{0, 1, 2}},
		{"resets all but one", metastore.Reset, []int{1, 2, 3}},
	} {
		t.Run(row.name, func(t *testing.T) {
			t.Parallel()
			f := start(t, 3, 1)
			f.Store.SetFault(metastore.Fault{Down: row.down, For: func(caller netip.Addr) bool {
				return slices.ContainsFunc(row.vms, func(i int) bool { return f.IP(i) == caller })
			}})
			f.Store.Silence() // so that the reads which wait are turned away as well
			time.Sleep(2 * time.Second)
			f.checkNewRoute(2 * time.Second)
		})
	}
}

// checkNewRoute publishes a route and checks that it is in force at all daemons
// within inForce.
func (f *fleet) checkNewRoute(inForce time.Duration) {
	t := f.t
	t.Helper()
	f.Publish(map[string]string{"/new/": meshfleet.Archive})
	published := time.Now()
	var asking sync.WaitGroup
	for _, vm := range f.VMs {
		asking.Go(func() {
			r := meshfleet.Request{Method: http.MethodGet, Path: "/new/a", Deadline: time.Second}
			for f.send(vm, r).Status != http.StatusOK && time.Since(published) < patience {
				time.Sleep(5 * time.Millisecond)
			}
		})
	}
	asking.Wait()
	if took := time.Since(published); took > inForce {
		t.Errorf("the new route is in force after %v, want %v", took, inForce)
	}
	if a := f.send(f.VMs[0], meshfleet.Request{Method: http.MethodGet, Path: "/old/a", Deadline: time.Second}); a.Status != http.StatusNotFound {
		t.Errorf("a route that never was: status %d, want 404", a.Status)
	}
}
