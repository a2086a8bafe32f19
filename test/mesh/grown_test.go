package mesh

import (
	"math/rand/v2"
	"testing"
	"time"

	"siskinknot/standin/meshfleet"
)

// TestGrownFleetSinksUnderLoad sends a fleet of 60 servers a third of the load that
// its servers can serve. Part of it is for a small range of adjacent keys, which
// the fleet has to distribute over its servers. The test guards against a fleet of
// this size in which the share of served requests falls under load, or in which a
// new route takes effect too late.
func TestGrownFleetSinksUnderLoad(t *testing.T) {
	const (
		registry, archive = 48, 12
		// serviceTime is the mean service time of a request. perSecond is the rate
		// of requests that keeps a third of all slots busy.
		serviceTime    = 150 * time.Millisecond
		slotsPerServer = 8
		perSecond      = float64(registry+archive) * slotsPerServer / 3 / (float64(serviceTime) / float64(time.Second))
		warmUp         = 10 * time.Second
		measured       = 5 * time.Second
		minShare       = 0.98
		routeLimit     = 2500 * time.Millisecond
	)
	f := startWithServiceTime(t, registry, archive, serviceTime)
	f.openLoad(perSecond)
	time.Sleep(warmUp)
	began := time.Now()
	time.Sleep(measured)
	if share := f.servedSince(began); share < minShare {
		t.Errorf("%.3f of the requests were served after %v of load, want at least %.3f", share, warmUp, minShare)
	}
	f.checkNewRoute(routeLimit)
}

// openLoad sends perSecond requests per second on average, from random VMs, until
// the test ends. It does not wait for the answers of earlier requests. Two in five
// lookups and registrations are for keys of one small range, 1000 above its start
// on average.
func (f *fleet) openLoad(perSecond float64) {
	rng := rand.New(rand.NewPCG(seed, 0))
	rangeStart := rng.IntN(1 << 15)
	f.background.Go(func() {
		next := time.Now()
		for f.ctx.Err() == nil {
			next = next.Add(time.Duration(rng.ExpFloat64() / perSecond * float64(time.Second)))
			time.Sleep(time.Until(next))
			key := uint16(rng.IntN(1 << 16))
			if rng.IntN(5) < 2 {
				key = uint16(rangeStart + int(rng.ExpFloat64()*1000))
			}
			r := meshfleet.Lookup(key)
			switch n := rng.IntN(10); {
			case n == 0:
				r = meshfleet.Upload(60 << 10)
			case n < 4:
				r = meshfleet.Register(key)
			}
			vm := f.VMs[rng.IntN(len(f.VMs))]
			f.background.Go(func() { f.send(vm, r) })
		}
	})
}
