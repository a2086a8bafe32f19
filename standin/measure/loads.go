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
	longPhase  = 12 * time.Second // where the balance needs time
	uploadSize = 512 << 10
)

// deployment is what the brief says about the users' fleets.
type deployment struct {
	name            string
	divided, shared group
	// slots and connections are those of each server.
	slots, connections int
	// zoneDelay and callerDelay are how long data takes one way between
	// availability zones, and between callers and entries.
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

// groups returns the deployment's servers, with targets started with args.
func (d deployment) groups(args []string) []group {
	args = append([]string{"-slots", strconv.Itoa(d.slots)}, args...)
	d.divided.args, d.shared.args = args, args
	return []group{d.divided, d.shared}
}

// capacity returns the requests a second that servers can run.
func (d deployment) capacity(g group, each time.Duration) float64 {
	return float64(d.slots*g.servers) / each.Seconds()
}

// stream is a part of the load with a rate of its own.
type stream struct {
	name    string
	service string
	caller  string
	class   request.Class
	// rate is in requests a second.
	rate   float64
	method string
	// keys returns, for a phase, a function from a request's number to its key.
	keys     func(phase int) func(i int) string
	body     []byte
	deadline time.Duration
}

// even returns keys that take turns.
func even(prefix string, n int) func(int) func(int) string {
	return func(int) func(int) string {
		return func(i int) string { return fmt.Sprintf("%s-%d", prefix, i*7919%n) }
	}
}

// skewed returns keys by Zipf's law, others in each phase.
func skewed(n int) func(int) func(int) string {
	return func(phase int) func(int) string {
		const picked = 1 << 16
		zipf := rand.NewZipf(rand.New(rand.NewPCG(1, uint64(phase))), zipfS, 1, uint64(n-1))
		picks := make([]uint64, picked)
		for i := range picks {
			picks[i] = zipf.Uint64()
		}
		return func(i int) string { return fmt.Sprintf("k%d-%d", phase, picks[i%picked]) }
	}
}

// lookups returns a stream of lookups.
func lookups(name, service, caller string, rate float64, keys func(int) func(int) string) stream {
	return stream{
		name: name, service: service, caller: caller, class: request.Lookup,
		rate: rate, method: http.MethodGet, keys: keys, deadline: 2 * time.Second,
	}
}

// scenario is a situation with load in two phases: before something happens and
// while it lasts.
type scenario struct {
	name string
	// args are the arguments of the targets.
	args []string
	// phase is the length of each phase.
	phase  time.Duration
	always []stream
	during []stream
	// trouble happens during the second phase.
	trouble func(t *trial) error
}

// How long requests take the targets of a scenario.
const (
	quickLookup = 10 * time.Millisecond
	slowLookup  = 40 * time.Millisecond
)

// The arguments of its targets.
var (
	quickTargets = []string{"-lookup", quickLookup.String(), "-write", "20ms", "-chunk", "40ms"}
	slowTargets  = []string{"-lookup", slowLookup.String(), "-write", "40ms"}
)

// names are the keys of ordinary lookups.
var names = even("name", 500)

// ordinary returns lookups in the divided service.
func (d deployment) ordinary() stream {
	return lookups("lookups", d.divided.service, "nursery", d.capacity(d.divided, quickLookup)/20, names)
}

// pages returns lookups in the shared service.
func (d deployment) pages() stream {
	return lookups("shared lookups", d.shared.service, "nursery", d.capacity(d.shared, quickLookup)/9, even("page", 1000))
}

// writes returns writes in the divided service.
func (d deployment) writes() stream {
	return stream{
		name: "writes", service: d.divided.service, caller: "breeder", class: request.Write,
		rate: d.capacity(d.divided, quickLookup) / 140, method: http.MethodPost,
		keys: even("new", 1<<30), body: []byte("mine"), deadline: 2 * time.Second,
	}
}

// checks returns internal checks in the shared service.
func (d deployment) checks() stream {
	return stream{
		name: "internal checks", service: d.shared.service, caller: "registry", class: request.Internal,
		rate: d.capacity(d.shared, quickLookup) / 36, method: http.MethodGet,
		keys: even("check", 1000), deadline: 2 * time.Second,
	}
}

// uploads returns uploads that take the slots of the shared service 1.3 times:
// each takes one for 8 chunks of 40 ms.
func (d deployment) uploads() stream {
	return stream{
		name: "uploads", service: d.shared.service, caller: "photographer", class: request.Bulk,
		rate: d.capacity(d.shared, quickLookup) / 24, method: http.MethodPut,
		keys: even("photo", 1<<30), body: targetserver.Pattern("photo", uploadSize), deadline: 20 * time.Second,
	}
}

// scenarioList returns the scenarios of a deployment. Rates follow its slots.
func scenarioList(d deployment) []scenario { return append(overloads(d), changes(d)...) }

// overloads returns the scenarios in which callers ask for too much.
func overloads(d deployment) []scenario {
	keyed := d.divided.service
	quick, slow := d.capacity(d.divided, quickLookup), d.capacity(d.divided, slowLookup)
	few := lookups("shared lookups", d.shared.service, "nursery", d.capacity(d.shared, quickLookup)/36, even("page", 1000))
	return []scenario{
		{
			name: "lookups times ten on 5 keys", args: quickTargets, phase: phaseTime,
			always: []stream{d.ordinary(), d.writes()},
			during: []stream{lookups("the catalogue", keyed, "fair", quick/2, even("spring", 5))},
		},
		{
			name: "upload storm", args: quickTargets, phase: phaseTime,
			always: []stream{few, d.checks()},
			during: []stream{d.uploads()},
		},
		{
			name: "one caller floods", args: slowTargets, phase: phaseTime,
			always: []stream{lookups("nine other callers", keyed, "", slow/4, names)},
			during: []stream{lookups("the flooding caller", keyed, "flood", 2*slow, names)},
		},
		{
			name: "three times the capacity", args: slowTargets, phase: phaseTime,
			always: []stream{lookups("lookups", keyed, "nursery", 0.9*slow, names)},
			during: []stream{lookups("the excess", keyed, "nursery", 2.1*slow, names)},
		},
	}
}

// changes returns the scenarios in which servers or hot keys change.
func changes(d deployment) []scenario {
	all := []stream{d.ordinary(), d.writes(), d.pages()}
	skew := lookups("lookups", d.divided.service, "nursery", balanceLoad*d.capacity(d.divided, quickLookup), skewed(balanceKeys))
	firstShared := d.divided.servers
	return []scenario{
		{
			name: "targets slow tenfold, report health", args: quickTargets, phase: longPhase, always: all,
			trouble: func(t *trial) error { return t.faults(targetserver.Faults{Slow: 10, Lie: true}, 1, firstShared) },
		},
		{
			name: "targets shed", args: quickTargets, phase: longPhase, always: all,
			trouble: func(t *trial) error { return t.faults(targetserver.Faults{Shed: true}, 1, firstShared) },
		},
		{
			name: "servers leave and join", args: quickTargets, phase: phaseTime, always: all,
			trouble: func(t *trial) error { return t.replace(1, firstShared) },
		},
		{
			name: "a VM is lost", args: quickTargets, phase: phaseTime, always: all,
			trouble: func(t *trial) error {
				t.entries.Avoid(t.victim)
				t.victim.Kill()
				return t.gone()
			},
		},
		{name: "hot keys move", args: quickTargets, phase: longPhase, always: []stream{skew}},
	}
}
