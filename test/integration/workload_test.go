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

// The load of a workload.
const (
	clients = 6
	// namesAtATime is how many names are fought over at a time; a new set
	// comes every nameLife.
	namesAtATime = 4
	nameLife     = 150 * time.Millisecond
	// requestDeadline is the deadline of a request.
	requestDeadline = 3 * time.Second
	bulkBytes       = 300 << 10
)

// workload is concurrent lookups and registrations with their history.
type workload struct {
	t     *testing.T
	fleet *processes.Fleet
	// entries are the daemons that the clients use.
	entries *processes.Entries
	tally   *load.Tally
	gaps    *load.Gaps
	stop    context.CancelFunc
	wg      sync.WaitGroup
	began   time.Time

	mu      sync.Mutex
	history []porcupine.Operation
	notRun  map[string]bool
}

// op is a request on a name in the history.
type op struct {
	name     string
	register bool
	value    string
}

// answer is what a request on a name returned.
type answer struct {
	// unknown means that a registration may have taken effect.
	unknown bool
	// registered means that a registration took effect.
	registered bool
	// value is the name's value, or "" if it is free.
	value string
}

// startWorkload starts clients of the fleet.
func startWorkload(t *testing.T, fleet *processes.Fleet) *workload {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	w := &workload{
		t: t, fleet: fleet, entries: processes.NewEntries(fleet), tally: load.NewTally(), gaps: load.NewGaps(), stop: cancel,
		began: time.Now(), notRun: map[string]bool{},
	}
	for client := range clients {
		rng := newRand(uint64(client))
		w.wg.Go(func() { w.client(ctx, client, rng) })
	}
	t.Cleanup(cancel)
	return w
}

// client is one client, which sends one request after the other.
func (w *workload) client(ctx context.Context, client int, rng *rand.Rand) {
	caller := load.NewCaller(fmt.Sprintf("client-%d", client))
	defer caller.Close()
	for i := 0; ctx.Err() == nil; i++ {
		set := int(time.Since(w.began) / nameLife)
		o := op{name: fmt.Sprintf("rosa-%d-%d", set, rng.IntN(namesAtATime)), register: rng.IntN(3) == 0}
		id := fmt.Sprintf("%d-%d", client, i)
		if o.register {
			o.value = id
		}
		w.request(caller, client, id, o, w.entries.Pick(rng.IntN))
	}
}

// request sends a request and adds it to the history.
func (w *workload) request(caller *load.Caller, client int, id string, o op, entry *processes.Server) {
	r := load.Request{
		Method: http.MethodGet, URL: entry.URL("/registry/" + o.name), ID: id,
		Class: request.Lookup, Deadline: requestDeadline,
	}
	if o.register {
		r.Method, r.Class, r.Body = http.MethodPost, request.Write, []byte(o.value)
	}
	sent := time.Now()
	res := caller.Do(context.Background(), r)
	end := time.Now()
	w.tally.Add(res, end.Sub(sent))
	w.gaps.Add(fmt.Sprint(entry.Spec.Name), sent, end, res.End == load.Answered)
	w.mu.Lock()
	defer w.mu.Unlock()
	if res.End == load.NotRun {
		w.notRun[fmt.Sprintf("client-%d/%s", client, id)] = true
		return
	}
	entered := porcupine.Operation{
		ClientId: client, Input: o, Call: sent.Sub(w.began).Nanoseconds(),
		Output: answerOf(o, res), Return: end.Sub(w.began).Nanoseconds(),
	}
	if !o.register && res.End != load.Answered {
		return // a lookup without an answer says nothing
	}
	w.history = append(w.history, entered)
}

// answerOf returns what a response says.
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

// nameModel is a name that can be registered once.
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

// finish ends the clients and checks every promise that they can see.
func (w *workload) finish() {
	w.t.Helper()
	w.stop()
	w.wg.Wait()
	w.report()
	w.checkHistory()
	w.checkRecord()
	if n := w.tally.Count(load.Wrong); n > 0 {
		w.t.Errorf("%d wrong answers passed for whole", n)
	}
	if w.tally.Count(load.Answered) == 0 {
		w.t.Error("no request was answered")
	}
}

// report logs what the clients saw.
func (w *workload) report() {
	w.t.Logf("answered %d, not run %d, unknown %d, longest wait or gap %v, reasons %v",
		w.tally.Count(load.Answered), w.tally.Count(load.NotRun), w.tally.Count(load.Unknown),
		w.gaps.Longest().Round(time.Millisecond), w.tally.Reasons())
}

// checkHistory checks that the history is linearizable for each name. A
// registration whose end is unknown may take effect at any later time.
func (w *workload) checkHistory() {
	w.t.Helper()
	last := time.Since(w.began).Nanoseconds()
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
		w.t.Errorf("the history of %d operations was not checked within %v", len(w.history), limit)
	case porcupine.Ok:
		w.t.Logf("the history of %d operations is linearizable", len(w.history))
	}
}

// checkRecord checks what the targets recorded.
func (w *workload) checkRecord() {
	w.t.Helper()
	runs, err := targetserver.Runs(w.fleet.Dir)
	if err != nil {
		w.t.Fatal(err)
	}
	audit := targetserver.Inspect(runs)
	if audit.Doubled > 0 || audit.MostOwners > 1 || audit.Stale > 0 {
		w.t.Errorf("doubled %d, most owners %d, stale %d: %v", audit.Doubled, audit.MostOwners, audit.Stale, audit.Faulty)
	}
	for _, run := range runs {
		if w.notRun[run.Caller+"/"+run.ID] && run.Method == http.MethodPost {
			w.t.Errorf("request %s of %s was said not to have run, but %s ran it", run.ID, run.Caller, run.Server)
		}
	}
}

// witness returns the first server that is none of past. Its daemon is asked
// about the fleet, as theirs may not answer or may see the fleet as it was.
func witness(fleet *processes.Fleet, past ...*processes.Server) *processes.Server {
	return fleet.Servers[slices.IndexFunc(fleet.Servers, func(s *processes.Server) bool { return !slices.Contains(past, s) })]
}

// ownerOf returns the server that owns a key, and its first guardian, as the
// witness sees them that is none of past.
func ownerOf(t *testing.T, fleet *processes.Fleet, key string, past ...*processes.Server) (owner, guardian *processes.Server) {
	t.Helper()
	asked := witness(fleet, past...)
	ex, err := asked.Operator.Explain(within(t), "registry", key)
	if err != nil {
		t.Fatal(err)
	}
	owner = fleet.ServerOf(ex.Owner)
	if owner == nil {
		t.Fatalf("owner %q of %q is of no server", ex.Owner, key)
	}
	return owner, guardiansOf(t, fleet, owner, asked)[0]
}

// keyOf returns a key that a server owns.
func keyOf(t *testing.T, fleet *processes.Fleet, server *processes.Server) string {
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

// guardiansOf returns the guardians of a server's daemon, as the daemon of asked
// sees them.
func guardiansOf(t *testing.T, fleet *processes.Fleet, s, asked *processes.Server) [2]*processes.Server {
	t.Helper()
	st, err := asked.Operator.Status(within(t))
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
