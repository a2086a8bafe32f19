package measure

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"siskinknot/core/request"
	"siskinknot/standin/targetserver"
)

// Parameters of the scenarios.
const (
	phaseTime  = 5 * time.Second
	longPhase  = 12 * time.Second // for scenarios in which balancing needs time
	uploadSize = 512 << 10
)

// deployment describes one of the users' fleets, with the sizes and delays that
// they gave.
type deployment struct {
	name            string
	divided, shared group
	// slots and connections are the limits of each server.
	slots, connections int
	// zoneDelay and callerDelay are the one-way network delays between
	// availability zones, and between callers and their ingress daemons.
	zoneDelay, callerDelay time.Duration
}

// deployments are the two users' fleets.
var deployments = []deployment{
	{
		name:    "Midlands",
		divided: group{service: "registry", servers: 7, zones: "mid"},
		shared:  group{service: "archive", servers: 3, zones: "mid"},
		slots:   12, connections: 110,
		zoneDelay: 500 * time.Microsecond, callerDelay: 3 * time.Millisecond,
	},
	{
		name:    "HCM",
		divided: group{service: "order-desk", servers: 8, zones: "hcm"},
		shared:  group{service: "scan-store", servers: 3, zones: "hcm"},
		slots:   9, connections: 75,
		zoneDelay: time.Millisecond, callerDelay: 8 * time.Millisecond,
	},
}

// groups returns the deployment's groups of servers, whose targets are started
// with args.
func (d deployment) groups(args []string) []group {
	args = append([]string{"-slots", strconv.Itoa(d.slots)}, args...)
	d.divided.args, d.shared.args = args, args
	return []group{d.divided, d.shared}
}

// capacity returns the requests per second that the servers of g can run if each
// request takes serviceTime.
func (d deployment) capacity(g group, serviceTime time.Duration) float64 {
	return float64(d.slots*g.servers) / serviceTime.Seconds()
}

// stream is a part of the load: requests of one kind at a steady rate.
type stream struct {
	name    string
	service string
	// caller is the name of the caller. If it is empty, the requests are spread over
	// defaultCallers.
	caller string
	class  request.Class
	// rate is in requests per second.
	rate   float64
	method string
	// keys returns, for a phase, a function from the number of a request to its
	// key.
	keys     func(phase int) func(i int) string
	body     []byte
	deadline time.Duration
}

// uniformKeys returns a generator of n keys that occur equally often, in a fixed
// scrambled order.
func uniformKeys(prefix string, n int) func(int) func(int) string {
	return func(int) func(int) string {
		return func(i int) string { return fmt.Sprintf("%s-%d", prefix, i*7919%n) }
	}
}

// zipfKeys returns a generator of keys whose frequencies follow Zipf's law. Each
// phase has different keys.
func zipfKeys(n int) func(int) func(int) string {
	return func(phase int) func(int) string {
		const sampleCount = 1 << 16
		zipf := rand.NewZipf(rand.New(rand.NewPCG(1, uint64(phase))), zipfS, 1, uint64(n-1))
		samples := make([]uint64, sampleCount)
		for i := range samples {
			samples[i] = zipf.Uint64()
		}
		return func(i int) string { return fmt.Sprintf("k%d-%d", phase, samples[i%sampleCount]) }
	}
}

// lookups returns a stream of lookups at rate requests per second.
func lookups(name, service, caller string, rate float64, keys func(int) func(int) string) stream {
	return stream{
		name: name, service: service, caller: caller, class: request.Lookup,
		rate: rate, method: http.MethodGet, keys: keys, deadline: 2 * time.Second,
	}
}

// scenario is a load in two phases of equal length: a first phase without
// disturbance, and a second one with additional load, an event, or other hot keys.
type scenario struct {
	name string
	// args are the arguments of the targets.
	args []string
	// phase is the length of each phase.
	phase time.Duration
	// baseStreams run in both phases, extraStreams only in the second.
	baseStreams  []stream
	extraStreams []stream
	// event happens during the second phase; nil if there is none.
	event func(t *trial) error
}

// Service times of a lookup at the targets of a scenario.
const (
	quickLookup = 10 * time.Millisecond
	slowLookup  = 40 * time.Millisecond
)

// Arguments of the targets of a scenario: quickTargets run lookups in quickLookup,
// slowTargets in slowLookup.
var (
	quickTargets = []string{"-lookup", quickLookup.String(), "-write", "20ms", "-chunk", "40ms"}
	slowTargets  = []string{"-lookup", slowLookup.String(), "-write", "40ms"}
)

// lookupKeys are the keys of lookups in the divided service.
var lookupKeys = uniformKeys("name", 500)

// dividedLookups returns lookups in the divided service, at a twentieth of its
// capacity.
func (d deployment) dividedLookups() stream {
	return lookups("lookups", d.divided.service, "nursery", d.capacity(d.divided, quickLookup)/20, lookupKeys)
}

// sharedLookups returns lookups in the shared service, at a ninth of its capacity.
func (d deployment) sharedLookups() stream {
	return lookups("shared lookups", d.shared.service, "nursery", d.capacity(d.shared, quickLookup)/9, uniformKeys("page", 1000))
}

// writes returns writes in the divided service.
func (d deployment) writes() stream {
	return stream{
		name: "writes", service: d.divided.service, caller: "breeder", class: request.Write,
		rate: d.capacity(d.divided, quickLookup) / 140, method: http.MethodPost,
		keys: uniformKeys("new", 1<<30), body: []byte("mine"), deadline: 2 * time.Second,
	}
}

// internalChecks returns internal checks in the shared service.
func (d deployment) internalChecks() stream {
	return stream{
		name: "internal checks", service: d.shared.service, caller: "registry", class: request.Internal,
		rate: d.capacity(d.shared, quickLookup) / 36, method: http.MethodGet,
		keys: uniformKeys("check", 1000), deadline: 2 * time.Second,
	}
}

// uploads returns uploads that need 1.3 times the slots of the shared service:
// each upload occupies a slot for 8 chunks of 40 ms.
func (d deployment) uploads() stream {
	return stream{
		name: "uploads", service: d.shared.service, caller: "photographer", class: request.Bulk,
		rate: d.capacity(d.shared, quickLookup) / 24, method: http.MethodPut,
		keys: uniformKeys("photo", 1<<30), body: targetserver.Pattern("photo", uploadSize), deadline: 20 * time.Second,
	}
}

// scenarioList returns the scenarios of a deployment. The rates are proportional
// to its slots.
func scenarioList(d deployment) []scenario { return append(overloadCases(d), changeCases(d)...) }

// overloadCases returns the scenarios in which callers send more requests
// than the targets can run.
func overloadCases(d deployment) []scenario {
	dividedService := d.divided.service
	quickCapacity, slowCapacity := d.capacity(d.divided, quickLookup), d.capacity(d.divided, slowLookup)
	lightLookups := lookups("shared lookups", d.shared.service, "nursery", d.capacity(d.shared, quickLookup)/36, uniformKeys("page", 1000))
	return []scenario{
		{
			name: "lookups times ten on 5 keys", args: quickTargets, phase: phaseTime,
			baseStreams:  []stream{d.dividedLookups(), d.writes()},
			extraStreams: []stream{lookups("the catalogue", dividedService, "fair", quickCapacity/2, uniformKeys("spring", 5))},
		},
		{
			name: "upload storm", args: quickTargets, phase: phaseTime,
			baseStreams:  []stream{lightLookups, d.internalChecks()},
			extraStreams: []stream{d.uploads()},
		},
		{
			name: "one caller floods", args: slowTargets, phase: phaseTime,
			baseStreams:  []stream{lookups("nine other callers", dividedService, "", slowCapacity/4, lookupKeys)},
			extraStreams: []stream{lookups("the flooding caller", dividedService, "flood", 2*slowCapacity, lookupKeys)},
		},
		{
			name: "three times the capacity", args: slowTargets, phase: phaseTime,
			baseStreams:  []stream{lookups("lookups", dividedService, "nursery", 0.9*slowCapacity, lookupKeys)},
			extraStreams: []stream{lookups("the excess", dividedService, "nursery", 2.1*slowCapacity, lookupKeys)},
		},
	}
}

// changeCases returns the scenarios in which servers slow down, shed, leave,
// join or are lost, or the hot keys change.
func changeCases(d deployment) []scenario {
	all := []stream{d.dividedLookups(), d.writes(), d.sharedLookups()}
	skewedLookups := lookups("lookups", d.divided.service, "nursery", balanceLoad*d.capacity(d.divided, quickLookup), zipfKeys(balanceKeys))
	firstShared := d.divided.servers
	return []scenario{
		{
			name: "targets slow tenfold, report health", args: quickTargets, phase: longPhase, baseStreams: all,
			event: func(t *trial) error {
				return t.setFaults(targetserver.Faults{Slow: 10, ReportNoLoad: true}, 1, firstShared)
			},
		},
		{
			name: "targets shed", args: quickTargets, phase: longPhase, baseStreams: all,
			event: func(t *trial) error { return t.setFaults(targetserver.Faults{Shed: true}, 1, firstShared) },
		},
		{
			name: "servers leave and join", args: quickTargets, phase: phaseTime, baseStreams: all,
			event: func(t *trial) error { return t.restart(1, firstShared) },
		},
		{
			name: "a VM is lost", args: quickTargets, phase: phaseTime, baseStreams: all,
			event: func(t *trial) error {
				t.ingresses.Avoid(t.victim)
				t.victim.Kill()
				return t.waitOwnsNoSlots()
			},
		},
		{name: "hot keys move", args: quickTargets, phase: longPhase, baseStreams: []stream{skewedLookups}},
	}
}
