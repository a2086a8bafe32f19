package integration

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"siskinknot/core/request"
	"siskinknot/standin/load"
	"siskinknot/standin/processes"
	"siskinknot/standin/targetserver"
)

// Parameters of a workload.
const (
	clients = 6
	// concurrentNames is the number of names that the clients use at the same
	// time, so that their requests conflict. Every nameLifetime they go on to a
	// new set of names.
	concurrentNames = 4
	nameLifetime    = 150 * time.Millisecond
	// requestDeadline is the deadline of a request, from when it is sent.
	requestDeadline = 3 * time.Second
	// bulkBytes is the size of the body of an upload.
	bulkBytes = 300 << 10
)

// workload sends lookups and registrations from concurrent clients and records
// their history.
type workload struct {
	t     *testing.T
	fleet *processes.Fleet
	// ingresses is the set of daemons that the clients send their requests to.
	ingresses *processes.Ingresses
	tally     *load.Tally
	gaps      *load.Gaps
	stop      context.CancelFunc
	wg        sync.WaitGroup
	startedAt time.Time

	mu      sync.Mutex
	history []porcupine.Operation
	// notRun holds "caller/id" of each request that was answered as not run.
	notRun map[string]bool
}

// op is a lookup or registration of a name; it is the input of an operation in the
// history.
type op struct {
	name     string
	register bool
	value    string
}

// answer is what a request for a name returned; it is the output of an operation in
// the history.
type answer struct {
	// unknown is set if the registration may or may not have taken effect.
	unknown bool
	// registered is set if the registration took effect.
	registered bool
	// value is the value of the name, or "" if it is not registered.
	value string
}

// startWorkload starts a workload on the fleet. It runs until finish is called or
// the test ends.
func startWorkload(t *testing.T, fleet *processes.Fleet) *workload {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	w := &workload{
		t: t, fleet: fleet, ingresses: processes.NewIngresses(fleet), tally: load.NewTally(), gaps: load.NewGaps(), stop: cancel,
		startedAt: time.Now(), notRun: map[string]bool{},
	}
	for client := range clients {
		rng := newRand(uint64(client))
		w.wg.Go(func() { w.client(ctx, client, rng) })
	}
	t.Cleanup(cancel)
	return w
}

// client sends the requests of one client, one after the other, until ctx ends.
func (w *workload) client(ctx context.Context, client int, rng *rand.Rand) {
	caller := load.NewCaller(fmt.Sprintf("client-%d", client))
	defer caller.Close()
	for i := 0; ctx.Err() == nil; i++ {
		set := int(time.Since(w.startedAt) / nameLifetime)
		o := op{name: fmt.Sprintf("rosa-%d-%d", set, rng.IntN(concurrentNames)), register: rng.IntN(3) == 0}
		id := fmt.Sprintf("%d-%d", client, i)
		if o.register {
			o.value = id
		}
		w.request(caller, client, id, o, w.ingresses.Pick(rng.IntN))
	}
}

// request sends a request to the ingress and records it in the history.
func (w *workload) request(caller *load.Caller, client int, id string, o op, ingress *processes.Server) {
	r := load.Request{
		Method: http.MethodGet, URL: ingress.URL("/registry/" + o.name), ID: id,
		Class: request.Lookup, Deadline: requestDeadline,
	}
	if o.register {
		r.Method, r.Class, r.Body = http.MethodPost, request.Write, []byte(o.value)
	}
	sentAt := time.Now()
	res := caller.Do(context.Background(), r)
	endedAt := time.Now()
	w.tally.Add(res, endedAt.Sub(sentAt))
	w.gaps.Add(fmt.Sprint(ingress.Spec.Name), sentAt, endedAt, res.End == load.Answered)
	w.mu.Lock()
	defer w.mu.Unlock()
	if res.End == load.NotRun {
		w.notRun[fmt.Sprintf("client-%d/%s", client, id)] = true
		return
	}
	operation := porcupine.Operation{
		ClientId: client, Input: o, Call: sentAt.Sub(w.startedAt).Nanoseconds(),
		Output: answerOf(o, res), Return: endedAt.Sub(w.startedAt).Nanoseconds(),
	}
	if !o.register && res.End != load.Answered {
		return // a lookup without an answer does not constrain the history
	}
	w.history = append(w.history, operation)
}

// answerOf returns the answer that a response contains.
func answerOf(o op, res load.Result) answer {
	switch {
	case res.End != load.Answered:
		return answer{unknown: true}
	case o.register && res.Status == http.StatusCreated:
		return answer{registered: true}
	case res.Status == http.StatusNotFound:
		return answer{}
	case o.register && res.Status == http.StatusConflict:
		// http.Error ends the body with a newline.
		return answer{value: string(res.Body[:len(res.Body)-1])}
	default:
		return answer{value: string(res.Body)}
	}
}

// nameModel is the sequential specification of a name that can be registered once.
// The history is checked for each name by itself.
var nameModel = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byName := map[string][]porcupine.Operation{}
		for _, o := range history {
			name := o.Input.(op).name
			byName[name] = append(byName[name], o)
		}
		parts := make([][]porcupine.Operation, 0, len(byName))
		for _, part := range byName {
			parts = append(parts, part)
		}
		return parts
	},
	Init: func() any { return "" },
	Step: func(state, input, output any) (bool, any) {
		value, in, out := state.(string), input.(op), output.(answer)
		switch {
		case !in.register:
			return out.value == value, value
		case out.unknown && value == "":
			return true, in.value
		case out.unknown:
			return true, value
		case out.registered:
			return value == "", in.value
		default:
			return value != "" && out.value == value, value
		}
	},
}

// finish stops the clients and checks the guarantees with the results of their
// requests and with the runs of the targets.
func (w *workload) finish() {
	w.t.Helper()
	w.stop()
	w.wg.Wait()
	w.report()
	w.checkHistory()
	w.checkRuns()
	if n := w.tally.Count(load.WrongAnswer); n > 0 {
		w.t.Errorf("%d wrong answers were taken for complete ones", n)
	}
	if w.tally.Count(load.Answered) == 0 {
		w.t.Error("no request was answered")
	}
}

// report logs how the requests of the clients ended.
func (w *workload) report() {
	w.t.Logf("answered %d, not run %d, unknown %d, longest latency or time without an answer %v, reasons %v",
		w.tally.Count(load.Answered), w.tally.Count(load.NotRun), w.tally.Count(load.Unknown),
		w.gaps.Longest().Round(time.Millisecond), w.tally.Reasons())
}

// checkHistory checks that the history is linearizable for each name. A
// registration whose outcome is unknown may take effect at any time until the
// workload ends.
func (w *workload) checkHistory() {
	w.t.Helper()
	last := time.Since(w.startedAt).Nanoseconds()
	for i, o := range w.history {
		if o.Output.(answer).unknown {
			w.history[i].Return = last
		}
	}
	const limit = 30 * time.Second
	switch porcupine.CheckOperationsTimeout(nameModel, w.history, limit) {
	case porcupine.Illegal:
		w.t.Errorf("the history of %d operations is not linearizable", len(w.history))
	case porcupine.Unknown:
		w.t.Errorf("the check of the history of %d operations did not end within %v", len(w.history), limit)
	case porcupine.Ok:
		w.t.Logf("the history of %d operations is linearizable", len(w.history))
	}
}

// checkRuns checks the runs that the targets recorded: no request ran twice, no key
// had two owners at the same time, no run had an outdated token, and no write that
// was answered as not run has run.
func (w *workload) checkRuns() {
	w.t.Helper()
	runs, err := targetserver.Runs(w.fleet.Dir)
	if err != nil {
		w.t.Fatal(err)
	}
	audit := targetserver.Inspect(runs)
	if audit.DuplicateRuns > 0 || audit.MaxOwners > 1 || audit.Stale > 0 {
		w.t.Errorf("doubled %d, most owners %d, stale %d: %v", audit.DuplicateRuns, audit.MaxOwners, audit.Stale, audit.Violations)
	}
	for _, run := range runs {
		if w.notRun[run.Caller+"/"+run.ID] && run.Method == http.MethodPost {
			w.t.Errorf("request %s of %s was answered as not run, but %s ran it", run.ID, run.Caller, run.Server)
		}
	}
}

// observer returns the first server that is not excluded. Tests ask its daemon
// about the fleet, since the daemons of the excluded servers may not answer or may
// have an outdated view of the fleet.
func observer(fleet *processes.Fleet, excluded ...*processes.Server) *processes.Server {
	return fleet.Servers[slices.IndexFunc(fleet.Servers, func(s *processes.Server) bool { return !slices.Contains(excluded, s) })]
}

// ownerOf returns the server that owns a key, and its first guardian, as reported
// by the daemon of the first server that is not excluded.
func ownerOf(t *testing.T, fleet *processes.Fleet, key string, excluded ...*processes.Server) (owner, guardian *processes.Server) {
	t.Helper()
	source := observer(fleet, excluded...)
	ex, err := source.Operator.Explain(timeoutContext(t), "registry", key)
	if err != nil {
		t.Fatal(err)
	}
	owner = fleet.ServerOf(ex.Owner)
	if owner == nil {
		t.Fatalf("owner %q of %q is not the daemon of a server of the fleet", ex.Owner, key)
	}
	return owner, guardiansOf(t, fleet, owner, source)[0]
}

// keyOwnedBy returns a key that a server owns.
func keyOwnedBy(t *testing.T, fleet *processes.Fleet, server *processes.Server) string {
	t.Helper()
	const tries = 1000
	for i := range tries {
		key := fmt.Sprint("rosa-alba-", i)
		if owner, _ := ownerOf(t, fleet, key); owner == server {
			return key
		}
	}
	t.Fatalf("%s owns none of %d keys", server.Spec.Name, tries)
	return ""
}

// guardiansOf returns the servers whose daemons are the guardians of the daemon of
// s, as reported by the daemon of source.
func guardiansOf(t *testing.T, fleet *processes.Fleet, s, source *processes.Server) [2]*processes.Server {
	t.Helper()
	st, err := source.Operator.Status(timeoutContext(t))
	if err != nil {
		t.Fatal(err)
	}
	for _, m := range st.Members {
		if fleet.ServerOf(m.ID) == s {
			return [2]*processes.Server{fleet.ServerOf(m.Guardians[0]), fleet.ServerOf(m.Guardians[1])}
		}
	}
	t.Fatalf("%s is not a member", s.Spec.Name)
	return [2]*processes.Server{}
}
