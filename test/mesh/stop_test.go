package mesh

import (
	"net/http"
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
