package mesh

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"siskinknot/standin/meshfleet"
)

// maxDeadlyCrashes is how many targets one request may crash before it is recognised.
const maxDeadlyCrashes = 3

// TestOneRequestCrashesTargetAfterTarget sends a request that crashes each target that
// begins to run it, from several VMs, and restarts a daemon meanwhile.
func TestOneRequestCrashesTargetAfterTarget(t *testing.T) {
	const (
		deadlyInterval = 40 * time.Millisecond
		minServed      = 0.9
	)
	for _, row := range []struct {
		name    string
		request meshfleet.Request
	}{
		{"lookup", meshfleet.Request{Method: http.MethodGet, Path: "/lookup/deadly", Key: "4711"}},
		{"registration", meshfleet.Request{Method: http.MethodPost, Path: "/register/deadly", Key: "4711", Body: "deadly"}},
		{"upload", meshfleet.Request{Method: http.MethodPost, Path: "/upload/deadly", Body: strings.Repeat("d", 100<<10)}},
	} {
		t.Run(row.name, func(t *testing.T) {
			row.request.Deadline = 2 * time.Second
			f := startWithOptions(t, meshfleet.Options{
				Registry: 5, Archive: 3, MeanServiceTime: 10 * time.Millisecond, DeadlyPath: row.request.Path,
			})
			f.load(f.VMs[1], f.VMs[5])
			began := time.Now()
			callers := []*meshfleet.VM{f.VMs[0], f.VMs[5], f.VMs[6]} // of two services
			for _, vm := range callers {
				f.background.Go(func() {
					for f.ctx.Err() == nil {
						vm.Send(f.ctx, row.request)
						time.Sleep(deadlyInterval)
					}
				})
			}
			time.Sleep(4 * time.Second)
			for _, vm := range f.VMs[2:5] {
				vm.Kill()
				if err := vm.StartDaemon(); err != nil {
					t.Fatal(err)
				}
			}
			time.Sleep(5 * time.Second)
			crashes := len(f.History.Crashes())
			share := f.servedSince(began)
			t.Logf("%d targets crashed; %.3f of the other requests are served", crashes, share)
			if crashes == 0 || crashes > maxDeadlyCrashes {
				t.Errorf("%d targets crashed, want at least 1 and at most %d", crashes, maxDeadlyCrashes)
			}
			if share < minServed {
				t.Errorf("%.3f of the other requests are served, want at least %v", share, minServed)
			}
		})
	}
}
