package mesh

import (
	"net/netip"
	"slices"
	"syscall"
	"testing"
	"time"

	"siskinknot/standin/meshfleet"
	"siskinknot/standin/metastore"
)

// TestEvacuatedZoneGetsRequests evacuates a zone under load, while the store rejects the calls of some daemons
// there, restarts daemons of the zone, and freezes one before the record is stored. It guards against a request that reaches a target of the zone
// later than 5 s after the record was stored, and checks that the zone gets requests again after the record was removed.
func TestEvacuatedZoneGetsRequests(t *testing.T) {
	const (
		limit    = 5 * time.Second
		watchFor = 4 * time.Second // after limit
		key      = "evacuate/zone-a"
	)
	for _, row := range []struct {
		name    string
		options meshfleet.Options
	}{
		{"grants by calls", meshfleet.Options{Registry: 6, Archive: 6, MeanServiceTime: 10 * time.Millisecond}},
		{"grants in heartbeats", meshfleet.Options{Registry: 6, Archive: 6, MeanServiceTime: 10 * time.Millisecond, GrantsInHeartbeats: true}},
	} {
		t.Run(row.name, func(t *testing.T) {
			f := startWithOptions(t, row.options)
			f.load(f.VMs...)
			time.Sleep(time.Second)
			zone := []*meshfleet.VM{f.VMs[0], f.VMs[3], f.VMs[6], f.VMs[9]}
			cutOff := []netip.Addr{f.IP(3), f.IP(9)}
			f.Store.SetFault(metastore.Fault{Outage: metastore.Busy, AppliesTo: func(caller netip.Addr) bool { return slices.Contains(cutOff, caller) }})
			time.Sleep(6 * time.Second) // the reads that wait for a change end
			f.VMs[6].Signal(syscall.SIGSTOP)
			time.Sleep(500 * time.Millisecond)
			f.Store.Put("keyed.op", key, []byte("{}"))
			storedAt := time.Now()
			time.Sleep(limit / 2)
			for _, vm := range []*meshfleet.VM{f.VMs[0], f.VMs[9]} { // the store rejects the second one
				vm.Kill()
				if err := vm.StartDaemon(); err != nil {
					t.Fatal(err)
				}
			}
			time.Sleep(time.Until(storedAt.Add(limit + watchFor/2)))
			f.VMs[6].Signal(syscall.SIGCONT)
			time.Sleep(time.Until(storedAt.Add(limit + watchFor)))
			for i, vm := range zone {
				arrivals := vm.Server.Arrivals()
				if len(arrivals) == 0 {
					t.Fatalf("target %d of the zone got no requests before the evacuation", i)
				}
				last := arrivals[len(arrivals)-1].Sub(storedAt)
				t.Logf("target %d of the zone got the last request %v after the record was stored", i, last)
				if last > limit {
					t.Errorf("target %d of the zone got a request %v after the record was stored, want at most %v", i, last, limit)
				}
			}
			t.Logf("served since the record was stored: %.4f", f.servedSince(storedAt))
			if share := f.servedSince(storedAt.Add(limit)); share < 0.98 {
				t.Errorf("%.3f of the requests were served during the evacuation, want at least 0.98", share)
			}
			f.waitAllKeysServed(f.VMs[0])
			f.Store.SetFault(metastore.Fault{})
			f.Store.Put("keyed.op", key, nil)
			removedAt := time.Now()
			for _, vm := range zone[2:] { // the planner moves keys back only under more load
				waitFor(t, limit, func() bool { a := vm.Server.Arrivals(); return a[len(a)-1].After(removedAt) })
			}
		})
	}
}
