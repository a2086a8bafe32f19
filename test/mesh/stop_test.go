package mesh

import (
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"siskinknot/standin/keyserver"
	"siskinknot/standin/meshfleet"
	"siskinknot/standin/metastore"
)

// TestRequestTakenLateInStopIsCutOff stops a daemon while its keys cannot be transferred, so
// that it takes requests for longer, and sends it requests that may run beyond its end.
func TestRequestTakenLateInStopIsCutOff(t *testing.T) {
	const (
		callers = 16
		// sendAfter counts from the signal. The daemon says that it is not ready for 2.2 s
		// before it may refuse requests, and exits after 6 s.
		sendAfter = 2500 * time.Millisecond
		timeout   = 5 * time.Second
	)
	f := startWithOptions(t, meshfleet.Options{Registry: 3, Archive: 2, MeanServiceTime: 10 * time.Millisecond, RouteTimeout: timeout})
	for _, vm := range f.VMs {
		vm.Server.SetFault(keyserver.Fault{Slow: 300}) // 3 s on average
	}
	f.Store.SetFault(metastore.Fault{Outage: metastore.Busy})
	f.VMs[1].Signal(syscall.SIGTERM)
	time.Sleep(sendAfter)
	for range callers {
		f.background.Go(func() {
			r := meshfleet.Upload(1 << 10)
			r.Deadline = timeout
			f.send(f.VMs[1], r)
		})
	}
	f.VMs[1].Wait()
	time.Sleep(100 * time.Millisecond)
	f.mu.Lock()
	defer f.mu.Unlock()
	refused := 0
	for _, a := range f.answers {
		runs := f.History.Runs(a.ID)
		switch {
		case a.Status == http.StatusServiceUnavailable:
			refused++
		case a.Status != http.StatusOK && runs > 0:
			t.Errorf("request %s has run, and its caller got status %d after %v", a.ID, a.Status, a.latency)
		}
	}
	t.Logf("%d of %d requests were refused", refused, callers)
}

// TestForwardedRequestOutlivesStoppingOwner guards against requests that a stopping daemon takes from other daemons and
// cuts off at its server when it ends: it cannot transfer its keys, since the store is down.
func TestForwardedRequestOutlivesStoppingOwner(t *testing.T) {
	t.Parallel()
	const (
		// outageBefore is how long before the signal the store goes down, so that the daemon knows it.
		outageBefore = 3 * time.Second
		sendAfter    = 4 * time.Second
	)
	for _, row := range []struct {
		name           string
		delay, timeout time.Duration
		// served is set if all requests end before the daemon does.
		served bool
	}{
		{"longer than the owner runs", 2 * time.Second, 5 * time.Second, false},
		{"shorter than the owner runs", 0, time.Second, true},
	} {
		t.Run(row.name, func(t *testing.T) {
			t.Parallel()
			f := startWithOptions(t, meshfleet.Options{Registry: 3, Archive: 2, MeanServiceTime: 10 * time.Millisecond, RouteTimeout: row.timeout})
			if !row.served {
				f.lengthenLeases()
			}
			for _, vm := range f.VMs {
				vm.Server.SetFault(keyserver.Fault{Slow: 1, Delay: row.delay})
			}
			f.Store.SetFault(metastore.Fault{Outage: metastore.Reset})
			time.Sleep(outageBefore)
			f.VMs[1].Signal(syscall.SIGTERM)
			time.Sleep(sendAfter)
			var sent []answer
			var sending sync.WaitGroup
			for key := 0; key < 65536; key += 2048 {
				sending.Go(func() {
					r := meshfleet.Lookup(uint16(key))
					r.Deadline = row.timeout
					a := f.send(f.VMs[0], r)
					f.mu.Lock()
					defer f.mu.Unlock()
					sent = append(sent, a)
				})
			}
			f.VMs[1].Wait()
			sending.Wait()
			refused := 0
			for _, a := range sent {
				runs := f.History.Runs(a.ID)
				switch {
				case a.Status == http.StatusServiceUnavailable && runs == 0 && !row.served:
					refused++
				case a.Status == http.StatusInternalServerError && f.History.CutOff(a.ID):
					// The server has answered.
				case a.Status != http.StatusOK && (a.latency < row.timeout || row.served):
					t.Errorf("request %s has run %d times, and its caller got status %d after %v", a.ID, runs, a.Status, a.latency)
				}
			}
			if !row.served && refused == 0 {
				t.Error("no request was refused")
			}
			t.Logf("%d of %d requests were refused", refused, len(sent))
		})
	}
}

// lengthenLeases sends requests that take longer than the first leases, so that the daemons get longer ones: a server
// ends requests that outlast their grants.
func (f *fleet) lengthenLeases() {
	const requestsPerCaller = 6
	for _, vm := range f.VMs {
		vm.Server.SetFault(keyserver.Fault{Slow: 1, Delay: 1500 * time.Millisecond})
	}
	var sending sync.WaitGroup
	for caller := range 32 {
		sending.Go(func() {
			for i := range requestsPerCaller {
				r := meshfleet.Lookup(uint16(2048*caller + i))
				r.Deadline = 5 * time.Second
				f.send(f.VMs[caller%3], r)
			}
		})
	}
	sending.Wait()
}

// TestKeysMoveWhileCallersAreDrained guards against keys that stay with a daemon until it ends, since it does not
// try to transfer them while a request of a caller is running.
func TestKeysMoveWhileCallersAreDrained(t *testing.T) {
	t.Parallel()
	const (
		outageBefore = 3 * time.Second
		// The times below count from the signal. The daemon closes its listener after 3 s and ends after 6 s.
		sendAfter, storeBackAfter = 1500 * time.Millisecond, 3300 * time.Millisecond
		serviceTime               = 3600 * time.Millisecond
		// maxGap is less than the time after which the keys of a lost daemon get another owner.
		maxGap = 600 * time.Millisecond
	)
	f := startWithOptions(t, meshfleet.Options{Registry: 3, Archive: 2, MeanServiceTime: 10 * time.Millisecond, RouteTimeout: 5 * time.Second})
	for _, vm := range f.VMs[3:] {
		vm.Server.SetFault(keyserver.Fault{Slow: 1, Delay: serviceTime})
	}
	f.Store.SetFault(metastore.Fault{Outage: metastore.Reset})
	time.Sleep(outageBefore)
	f.VMs[1].Signal(syscall.SIGTERM)
	time.Sleep(sendAfter)
	answered := make(chan answer, 1)
	f.background.Go(func() {
		r := meshfleet.Upload(1 << 10)
		r.Deadline = 5 * time.Second
		answered <- f.send(f.VMs[1], r)
	})
	time.Sleep(storeBackAfter - sendAfter)
	f.Store.SetFault(metastore.Fault{})
	f.VMs[1].Wait()
	if gap := f.waitAllKeysServed(f.VMs[0]); gap > maxGap {
		t.Errorf("some keys were not served for %v after the daemon had ended, want at most %v", gap, maxGap)
	}
	if a := <-answered; !a.Complete() {
		t.Errorf("the caller got %+v after %v", a.Answer, a.latency)
	}
}

// TestStopDuringShortOutage guards against requests that are refused by a stopping daemon that could long have transferred
// its keys: the store rejects calls for a moment around the signal, and the daemon does not ask it again for seconds.
func TestStopDuringShortOutage(t *testing.T) {
	t.Parallel()
	const (
		outage  = 300 * time.Millisecond
		wait    = 600 * time.Millisecond // after the outage, for the transfer
		timeout = 5 * time.Second
	)
	f := startWithOptions(t, meshfleet.Options{Registry: 3, Archive: 2, MeanServiceTime: 10 * time.Millisecond, RouteTimeout: timeout})
	f.Store.SetFault(metastore.Fault{Outage: metastore.Busy})
	f.VMs[1].Signal(syscall.SIGTERM)
	time.Sleep(outage)
	f.Store.SetFault(metastore.Fault{})
	time.Sleep(wait)
	var mu sync.Mutex
	refused := 0
	var sending sync.WaitGroup
	for key := 0; key < 65536; key += 2048 {
		sending.Go(func() {
			r := meshfleet.Lookup(uint16(key))
			r.Deadline = timeout
			if a := f.send(f.VMs[0], r); a.Status == http.StatusServiceUnavailable {
				mu.Lock()
				defer mu.Unlock()
				refused++
				t.Logf("%+v after %v", a.Answer, a.latency)
			}
		})
	}
	sending.Wait()
	if refused > 0 {
		t.Errorf("%d of 32 requests were refused %v after the store had come back", refused, wait)
	}
	f.VMs[1].Wait()
}
