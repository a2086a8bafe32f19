package integration

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"sync"
	"syscall"
	"testing"
	"time"

	"siskinknot/core/request"
	"siskinknot/core/settings"
	"siskinknot/io/member"
	"siskinknot/io/operator"
	"siskinknot/standin/faultproxy"
	"siskinknot/standin/load"
	"siskinknot/standin/logservice"
	"siskinknot/standin/processes"
	"siskinknot/standin/targetserver"
)

// TestFrozenInMidRequest freezes the owner's daemon while its target works on a
// long registration, has the key taken over and used by the next owner, and
// lets the target finish. A target that neither checks its grant nor heeds its
// deadline then acts as a second owner; that is the promise with its rule off.
func TestFrozenInMidRequest(t *testing.T) {
	tests := []struct {
		name   string
		args   []string
		broken bool
	}{
		{name: "the target checks its grant", args: []string{"-check_grants", "-ignore_deadlines"}},
		{name: "the target heeds its deadline"},
		{name: "the target does neither", args: []string{"-ignore_deadlines"}, broken: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			tree := `{"services": {"registry": {"kind": "divided", "slots": 16}}}`
			if len(tt.args) > 1 {
				tree = `{"services": {"registry": {"kind": "divided", "slots": 16, "values": {"target_checks_grants": true}}}}`
			}
			fleet := start(t, processes.Options{Servers: specs(4, 0, tt.args...), Tree: json.RawMessage(tree)})
			// The owner is the daemon that tests ask about the fleet if they can.
			owner := fleet.Servers[0]
			key := keyOf(t, fleet, owner)
			first := load.NewCaller("first")
			var wg sync.WaitGroup
			wg.Go(func() {
				first.Do(context.Background(), load.Request{
					Method: http.MethodPost, URL: owner.URL("/registry/" + key + "?work_ms=3500"), ID: "long",
					Class: request.Write, Deadline: 10 * time.Second, Body: []byte("first"),
				})
			})
			waitRuns(t, fleet, 1)
			owner.Daemon.Freeze()
			r := &run{t: t, fleet: fleet}
			r.gone(owner)
			next, _ := ownerOf(t, fleet, key, owner)
			second := load.NewCaller("second")
			res := second.Do(context.Background(), load.Request{
				Method: http.MethodPost, URL: next.URL("/registry/" + key), ID: "short",
				Class: request.Write, Deadline: 3 * time.Second, Body: []byte("second"),
			})
			if res.Status != http.StatusCreated {
				t.Fatalf("the next owner answered %d %s %s", res.Status, res.End, res.Reason)
			}
			waitEnded(t, fleet)
			owner.Daemon.Thaw()
			wg.Wait()
			value := lookup(t, fleet, key, owner)
			if broken := value != "second"; broken != tt.broken {
				t.Errorf("the name belongs to %q, broken %v, want broken %v", value, broken, tt.broken)
			}
		})
	}
}

// waitRuns waits until the targets have begun n runs.
func waitRuns(t *testing.T, fleet *processes.Fleet, n int) {
	t.Helper()
	err := processes.Until(within(t), func() string {
		runs, err := targetserver.Runs(fleet.Dir)
		if err != nil || len(runs) < n {
			return fmt.Sprintf("%d of %d runs, %v", len(runs), n, err)
		}
		return ""
	})
	if err != nil {
		t.Fatal(err)
	}
}

// waitEnded waits until every run has ended.
func waitEnded(t *testing.T, fleet *processes.Fleet) {
	t.Helper()
	err := processes.Until(within(t), func() string {
		runs, err := targetserver.Runs(fleet.Dir)
		if err != nil {
			return err.Error()
		}
		for _, run := range runs {
			if run.End.IsZero() {
				return run.ID + " has not ended"
			}
		}
		return ""
	})
	if err != nil {
		t.Fatal(err)
	}
}

// lookup returns the value of a name after every daemon has moved on: it makes
// the owner release the key's slot, so that the next owner reads it afresh. The
// daemon of past, which may see the fleet as it was, is not asked.
func lookup(t *testing.T, fleet *processes.Fleet, key string, past *processes.Server) string {
	t.Helper()
	owner, _ := ownerOf(t, fleet, key, past)
	if err := owner.SetFaults(targetserver.Faults{State: "draining"}); err != nil {
		t.Fatal(err)
	}
	r := &run{t: t, fleet: fleet}
	r.gone(owner)
	c := load.NewCaller("witness")
	res := c.Do(context.Background(), load.Request{
		Method: http.MethodGet, URL: witness(fleet, owner, past).URL("/registry/" + key), ID: "look", Deadline: 3 * time.Second,
	})
	if res.End != load.Answered {
		t.Fatalf("lookup ended as %s: %s", res.End, res.Reason)
	}
	return string(res.Body)
}

// TestSettings lets two operators publish edits, conflicting and not, while one
// daemon is cut off and answers of the log are lost.
func TestSettings(t *testing.T) {
	fleet := start(t, processes.Options{Servers: specs(3, 1), Proxies: true})
	cut := fleet.Servers[2]
	fleet.CutLog(cut, faultproxy.Drop)
	view, err := fleet.Servers[0].Operator.Settings(within(t), "", false)
	if err != nil {
		t.Fatal(err)
	}
	const rounds = 6
	fates := make([][2]settings.Fate, rounds)
	base := view.Version
	for round := range fates {
		if err := fleet.SetLogFaults(logservice.Faults{LoseAnswers: round % 3}); err != nil {
			t.Fatal(err)
		}
		fates[round] = race(t, fleet, base, round)
		for _, fate := range fates[round] {
			if fate.Accepted {
				base = max(base, fate.Offset+1)
			}
		}
	}
	for round, pair := range fates {
		accepted := 0
		for _, fate := range pair {
			if fate.Accepted {
				accepted++
			}
		}
		// In odd rounds both operators edit the same node.
		if want := 2 - round%2; accepted != want {
			t.Errorf("round %d: %d edits accepted, want %d: %+v", round, accepted, want, pair)
		}
	}
	fleet.Heal(cut)
	err = cut.UntilStatus(within(t), func(st member.FleetStatus) string { return processes.InForce(st, base) })
	if err != nil {
		t.Fatal(err)
	}
	sameTrees(t, fleet)
	acceptedStay(t, fleet, fates)
}

// race publishes two edits at a time.
func race(t *testing.T, fleet *processes.Fleet, base uint64, round int) [2]settings.Fate {
	t.Helper()
	nodes := [2]string{"/registry/rosa-", "/archive"}
	if round%2 == 1 {
		nodes[1] = nodes[0]
	}
	var fates [2]settings.Fate
	var wg sync.WaitGroup
	for i := range fates {
		wg.Go(func() {
			edit := settings.Edit{
				ID: fmt.Sprintf("edit-%d-%d", round, i), Base: base, Node: nodes[i],
				Patch: json.RawMessage(fmt.Sprintf(`{"values": {"max_deadline_ms": %d}}`, 500_000+10*round+i)),
			}
			fate, err := fleet.Servers[i].Operator.Publish(within(t), edit)
			if err != nil {
				t.Error(err)
			}
			fates[i] = fate
		})
	}
	wg.Wait()
	return fates
}

// sameTrees checks that all daemons have the same tree.
func sameTrees(t *testing.T, fleet *processes.Fleet) {
	t.Helper()
	var first member.SettingsView
	for i, s := range fleet.Servers {
		view, err := s.Operator.Settings(within(t), "", false)
		if err != nil {
			t.Fatal(err)
		}
		if i == 0 {
			first = view
		}
		if view.Version != first.Version || !bytes.Equal(view.Tree, first.Tree) {
			t.Errorf("%s has version %d and %s, want %d and %s", s.Spec.Name, view.Version, view.Tree, first.Version, first.Tree)
		}
	}
}

// acceptedStay checks that the last edit accepted for a node is in force.
func acceptedStay(t *testing.T, fleet *processes.Fleet, fates [][2]settings.Fate) {
	t.Helper()
	last := map[string]settings.Fate{}
	for _, pair := range fates {
		for _, fate := range pair {
			if fate.Accepted && fate.Offset >= last[fate.Edit.Node].Offset {
				last[fate.Edit.Node] = fate
			}
		}
	}
	for node, fate := range last {
		view, err := fleet.Servers[3].Operator.Settings(within(t), node, false)
		if err != nil {
			t.Fatal(err)
		}
		var patch struct {
			Values map[string]int `json:"values"`
		}
		var values map[string]json.RawMessage
		if err := errors.Join(json.Unmarshal(fate.Edit.Patch, &patch), json.Unmarshal(view.Node, &values)); err != nil {
			t.Fatal(err)
		}
		if got, want := string(values["max_deadline_ms"]), fmt.Sprint(patch.Values["max_deadline_ms"]); got != want {
			t.Errorf("node %s has max_deadline_ms %s, want %s", node, got, want)
		}
	}
}

// TestRefusedEdits checks that a refused edit says which field and why.
func TestRefusedEdits(t *testing.T) {
	fleet := start(t, processes.Options{Servers: specs(3, 0)})
	tests := []struct {
		node, patch, want string
	}{
		{"/", `{"values": {"queue_length": -1}}`, "/values/queue_length: -1: minimum: got -1, want 0"},
		{"/registry", `{"values": {"nonsense": 1}}`, "additional properties 'nonsense' not allowed"},
		{"/registry", `{"slots": 64}`, "/services/registry/slots: 64: the number of slots is fixed, want 32"},
		{"/registry/a/b", `{"values": {}}`, `node "/registry/a/b" is none of`},
		{"/registry", `{"values": {"default_deadline_ms": 3600000, "max_deadline_ms": 5}}`, "exceeds max_deadline_ms 5"},
	}
	for i, tt := range tests {
		edit := settings.Edit{ID: fmt.Sprint("refused-", i), Node: tt.node, Patch: json.RawMessage(tt.patch)}
		fate, err := fleet.Servers[0].Operator.Publish(within(t), edit)
		if err != nil || fate.Accepted || !bytes.Contains([]byte(fate.Reason), []byte(tt.want)) {
			t.Errorf("%s %s: accepted %v, reason %q, error %v, want %q", tt.node, tt.patch, fate.Accepted, fate.Reason, err, tt.want)
		}
	}
}

// TestWholeAnswers checks that every caller gets its own whole answer or an
// error, whatever happens to the connections between daemons and to targets.
func TestWholeAnswers(t *testing.T) {
	fleet := start(t, processes.Options{Servers: specs(3, 2), Proxies: true})
	const bytesWanted = 200_000
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	tally := load.NewTally()
	var wg sync.WaitGroup
	for client := range clients {
		rng := newRand(uint64(100 + client))
		wg.Go(func() {
			c := load.NewCaller(fmt.Sprint("reader-", client))
			for i := 0; ctx.Err() == nil; i++ {
				entry := fleet.Servers[rng.IntN(len(fleet.Servers))]
				path := fmt.Sprintf("/registry/rosa-%d?bytes=%d", rng.IntN(50), bytesWanted)
				if i%3 == 0 {
					path = fmt.Sprintf("/archive/photo?bytes=%d", bytesWanted)
				}
				tally.Add(c.Do(context.Background(), load.Request{
					Method: http.MethodGet, URL: entry.URL(path), ID: fmt.Sprint(client, "-", i),
					Deadline: requestDeadline, WantBytes: bytesWanted,
				}), 0)
			}
		})
	}
	for round := range 4 * long {
		for _, s := range fleet.Servers {
			switch round % 4 {
			case 0:
				s.Proxy.SetRule(netip.Addr{}, faultproxy.Rule{Delay: 20 * time.Millisecond})
			case 1:
				s.Proxy.CutOpen()
			case 2:
				s.Proxy.SetRule(netip.Addr{}, faultproxy.Rule{})
				s.Proxy.SilenceOpen()
			case 3:
				if err := s.SetFaults(targetserver.Faults{CutAnswers: true}); err != nil {
					t.Fatal(err)
				}
			}
		}
		settle()
	}
	stop()
	wg.Wait()
	t.Logf("answered %d, not run %d, unknown %d, wrong %d: %v", tally.Count(load.Answered), tally.Count(load.NotRun),
		tally.Count(load.Unknown), tally.Count(load.Wrong), tally.Reasons())
	if tally.Count(load.Wrong) > 0 || tally.Count(load.Answered) == 0 || tally.Count(load.Unknown) == 0 {
		t.Error("want answers and errors, and nothing wrong")
	}
}

// TestLeave stops a daemon in good order under long uploads: none is cut off,
// and after a few seconds its target receives no new work.
func TestLeave(t *testing.T) {
	fleet := start(t, processes.Options{Servers: specs(3, 3)})
	leaving := fleet.Servers[3]
	body := targetserver.Pattern("photo", 8<<20) // 128 chunks of work_ms each
	var wg sync.WaitGroup
	results := make([]load.Result, 9)
	for i := range results {
		wg.Go(func() {
			c := load.NewCaller(fmt.Sprint("photographer-", i))
			results[i] = c.Do(context.Background(), load.Request{
				Method: http.MethodPut, URL: fleet.Servers[i%3].URL("/archive/photo?work_ms=20"), ID: fmt.Sprint("up-", i),
				Class: request.Bulk, Deadline: 30 * time.Second, Body: body,
			})
		})
	}
	waitRuns(t, fleet, len(results))
	w := startWorkload(t, fleet)
	w.entries.Avoid(leaving)
	leaving.Daemon.Signal(syscall.SIGTERM)
	err := fleet.Servers[0].UntilStatus(within(t), func(st member.FleetStatus) string {
		for _, m := range st.Members {
			if m.Daemon == leaving.DaemonAddr && !m.Leaving {
				return "not yet leaving"
			}
		}
		return ""
	})
	if err != nil {
		t.Fatal(err)
	}
	const bound = 3 * time.Second // a target that is leaving gets no new work after a few seconds
	late := time.Now().Add(bound)
	code, err := leaving.Daemon.Wait(within(t))
	if err != nil || code != 0 {
		t.Errorf("the daemon ended with %d, %v", code, err)
	}
	wg.Wait()
	for i, res := range results {
		if res.End != load.Answered || res.Status != http.StatusOK {
			t.Errorf("upload %d ended as %s (%d %s)", i, res.End, res.Status, res.Reason)
		}
	}
	runs, err := targetserver.Runs(fleet.Dir)
	if err != nil {
		t.Fatal(err)
	}
	bootLate := late.UnixNano() - time.Now().UnixNano() + bootNow()
	for _, run := range runs {
		if run.Server == leaving.Spec.Name && run.Begin.UnixNano() > bootLate {
			t.Errorf("%s received %s after it left", run.Server, run.ID)
		}
	}
	w.finish()
}

// TestRetention has the log forget old records: snapshots take their place, a
// restarted daemon begins from one, and a daemon that was cut off for longer
// than the log remembers starts afresh.
func TestRetention(t *testing.T) {
	fleet := start(t, processes.Options{
		Servers: specs(4, 0, "-check_grants"), Proxies: true,
		Config: map[string]any{"snapshot_records": 15, "snapshot_every_ms": 1000},
	})
	cut := fleet.Servers[3]
	w := startWorkload(t, fleet)
	w.entries.Avoid(cut)
	r := &run{t: t, fleet: fleet, load: w}
	fleet.CutLog(cut, faultproxy.Drop)
	r.logFaults(logservice.Faults{Retain: 40})
	for i := range 60 {
		edit := settings.Edit{ID: fmt.Sprint("edit-", i), Node: "/registry", Patch: json.RawMessage(`{"values": {"queue_length": 200}}`)}
		if _, err := fleet.Servers[0].Operator.Publish(within(t), edit); err != nil {
			t.Fatal(err)
		}
	}
	restarted := fleet.Servers[1]
	w.entries.Avoid(restarted)
	restarted.Daemon.Kill()
	r.restart(restarted)
	fleet.Heal(cut)
	if err := cut.Daemon.WaitMessage("log forgot records before they were folded"); err != nil {
		t.Fatal(err)
	}
	r.ready()
	sameTrees(t, fleet)
	w.finish()
}

// TestStartWithoutLog starts a daemon while the log is down: it takes the state
// of the fleet from a peer and serves as entry.
func TestStartWithoutLog(t *testing.T) {
	fleet := start(t, processes.Options{Servers: specs(4, 0)})
	fresh := fleet.Servers[3]
	const key = "rosa-alba"
	owner, _ := ownerOf(t, fleet, key)
	if owner == fresh {
		fresh = fleet.Servers[2]
	}
	fresh.Seeds = []netip.AddrPort{fleet.Servers[0].DaemonAddr, fleet.Servers[1].DaemonAddr}
	if err := fleet.SetLogFaults(logservice.Faults{Down: true}); err != nil {
		t.Fatal(err)
	}
	fresh.Daemon.Kill()
	if err := fresh.StartDaemon(); err != nil {
		t.Fatal(err)
	}
	c := load.NewCaller("breeder")
	err := processes.Until(within(t), func() string {
		res := c.Do(context.Background(), load.Request{
			Method: http.MethodGet, URL: fresh.URL("/registry/" + key), ID: "1", Deadline: requestDeadline,
		})
		if res.End != load.Answered {
			return res.Reason
		}
		return ""
	})
	if err != nil {
		t.Error(err)
	}
	if err := fleet.SetLogFaults(logservice.Faults{}); err != nil {
		t.Fatal(err)
	}
	if err := fleet.WaitReady(within(t)); err != nil {
		t.Error(err)
	}
}

// TestDuplicateID checks that a request id runs at most once, also when its key
// moves between the attempts.
func TestDuplicateID(t *testing.T) {
	fleet := start(t, processes.Options{Servers: specs(3, 0)})
	const key = "rosa-alba"
	c := load.NewCaller("breeder")
	post := func() load.Result {
		return c.Do(context.Background(), load.Request{
			Method: http.MethodPost, URL: fleet.Servers[0].URL("/registry/" + key), ID: "the-same",
			Class: request.Write, Deadline: requestDeadline, Body: []byte("mine"),
		})
	}
	if res := post(); res.Status != http.StatusCreated {
		t.Fatalf("first: %d %s", res.Status, res.Reason)
	}
	if res := post(); res.End != load.Unknown || res.Reason != "duplicate" {
		t.Errorf("again: %s %s, want unknown duplicate", res.End, res.Reason)
	}
	owner, _ := ownerOf(t, fleet, key)
	if err := owner.SetFaults(targetserver.Faults{State: "draining"}); err != nil {
		t.Fatal(err)
	}
	(&run{t: t, fleet: fleet}).gone(owner)
	if res := post(); res.End != load.Unknown || res.Reason != "duplicate" {
		t.Errorf("after a planned move: %s %s, want unknown duplicate", res.End, res.Reason)
	}
}

// TestMovesWaitForRequests has a key move while a registration is under way at
// its owner: the next owner runs nothing for it before that has ended.
func TestMovesWaitForRequests(t *testing.T) {
	fleet := start(t, processes.Options{Servers: specs(3, 0)})
	owner := fleet.Servers[0]
	key := keyOf(t, fleet, owner)
	var wg sync.WaitGroup
	wg.Go(func() {
		res := load.NewCaller("breeder").Do(context.Background(), load.Request{
			Method: http.MethodPost, URL: owner.URL("/registry/" + key + "?work_ms=350"), ID: "long",
			Class: request.Write, Deadline: requestDeadline, Body: []byte("mine"),
		})
		if res.Status != http.StatusCreated {
			t.Errorf("the registration ended as %s: %d %s", res.End, res.Status, res.Reason)
		}
	})
	waitRuns(t, fleet, 1)
	if err := owner.SetFaults(targetserver.Faults{State: "draining"}); err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	nursery := load.NewCaller("nursery")
	wg.Go(func() {
		for i := 0; ctx.Err() == nil; i++ {
			nursery.Do(context.Background(), load.Request{
				Method: http.MethodGet, URL: fleet.Servers[i%3].URL("/registry/" + key), ID: fmt.Sprint(i), Deadline: requestDeadline,
			})
		}
	})
	(&run{t: t, fleet: fleet}).gone(owner)
	next, _ := ownerOf(t, fleet, key, owner)
	res := nursery.Do(context.Background(), load.Request{
		Method: http.MethodGet, URL: next.URL("/registry/" + key), ID: "last", Deadline: requestDeadline,
	})
	stop()
	wg.Wait()
	if string(res.Body) != "mine" {
		t.Errorf("the next owner knows %q (%s %s)", res.Body, res.End, res.Reason)
	}
	runs, err := targetserver.Runs(fleet.Dir)
	if err != nil {
		t.Fatal(err)
	}
	if audit := targetserver.Inspect(runs); audit.MostOwners > 1 || audit.Stale > 0 {
		t.Errorf("%d owners at a time, %d stale", audit.MostOwners, audit.Stale)
	}
}

// TestOperators checks the operators' interface as the commands use it.
func TestOperators(t *testing.T) {
	fleet := start(t, processes.Options{Servers: specs(3, 1)})
	client := fleet.Servers[3].Operator
	ex, err := client.Explain(within(t), "registry", "rosa/alba")
	if err != nil || ex.Owner == "" || ex.Cause == 0 || len(ex.Records) == 0 {
		t.Errorf("explanation %+v, %v", ex, err)
	}
	view, err := client.Settings(within(t), "/registry", true)
	if err != nil || view.Effective["target_checks_grants"].Node != "/registry" || view.Effective["default_deadline_ms"].Node != "/" ||
		view.Effective["queue_length"].Node != "default" {
		t.Errorf("effective settings %+v, %v", view.Effective, err)
	}
	var refused *operator.RefusedError
	if _, err := client.Explain(within(t), "nonsense", "key"); !errors.As(err, &refused) || refused.Status != http.StatusNotFound {
		t.Errorf("explanation of a service that does not exist: %v", err)
	}
	if history, err := client.History(within(t)); err != nil || len(history) != 1 {
		t.Errorf("history %+v, %v", history, err)
	}
}
