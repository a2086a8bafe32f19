package mesh

import (
	"math/rand/v2"
	"testing"
	"time"

	"siskinknot/standin/meshfleet"
)

// TestGrownFleetSinksUnderLoad loads a grown fleet to a third of what its servers
// can do, with busy neighbouring keys that have to be spread, and checks that
// service does not sink and that a new route is in force in time.
func TestGrownFleetSinksUnderLoad(t *testing.T) {
	const (
		registry, archive = 48, 12
		// work is the mean time of a request at its server, and slots are those of
		// a server: a third of them is busy.
		work      = 150 * time.Millisecond
		slots     = 8
		perSecond = float64(registry+archive) * slots / 3 / (float64(work) / float64(time.Second))
		settle    = 10 * time.Second
		watched   = 5 * time.Second
		least     = 0.98
		inForce   = 2500 * time.Millisecond
	)
	f := startWorking(t, registry, archive, work)
	f.openLoad(perSecond)
	time.Sleep(settle)
	began := time.Now()
	time.Sleep(watched)
	if share := f.servedSince(began); share < least {
		t.Errorf("%.3f of the requests were served after %v of load, want %.3f", share, settle, least)
	}
	f.checkNewRoute(inForce)
}

// openLoad sends perSecond requests a second from all VMs until the test ends,
// whether or not they are answered. Two in five are for neighbouring keys.
func (f *fleet) openLoad(perSecond float64) {
	rng := rand.New(rand.NewPCG(seed, 0))
	hot := rng.IntN(1 << 15)
	f.work.Go(func() {
		next := time.Now()
		for f.ctx.Err() == nil {
			next = next.Add(time.Duration(rng.ExpFloat64() / perSecond * float64(time.Second)))
			time.Sleep(time.Until(next))
			key := uint16(rng.IntN(1 << 16))
			if rng.IntN(5) < 2 {
				key = uint16(hot + int(rng.ExpFloat64()*1000))
			}
			r := meshfleet.Lookup(key)
			switch n := rng.IntN(10); {
			case n == 0:
				r = meshfleet.Upload(60 << 10)
			case n < 4:
				r = meshfleet.Register(key)
			}
			vm := f.VMs[rng.IntN(len(f.VMs))]
			f.work.Go(func() { f.send(vm, r) })
		}
	})
}
