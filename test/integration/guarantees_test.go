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

// TestFrozenInMidRequest freezes the owner's daemon while its target runs a long
// registration. The next owner takes the key over and accepts another
// registration of it, and then the first target completes its run. A target that
// neither checks its grant nor stops at its deadline acts as a second owner here:
// the last row turns both rules off and expects the guarantee to be violated.
func TestFrozenInMidRequest(t *testing.T) {
	tests := []struct {
		name     string
		args     []string
		violated bool
	}{
		{name: "the target checks its grant", args: []string{"-check_grants", "-ignore_deadlines"}},
		{name: "the target heeds its deadline"},
		{name: "the target does neither", args: []string{"-ignore_deadlines"}, violated: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			tree := `{"services": {"registry": {"kind": "divided", "slots": 16}}}`
			if len(tt.args) > 1 {
				tree = `{"services": {"registry": {"kind": "divided", "slots": 16, "values": {"target_checks_grants": true}}}}`
			}
			fleet := start(t, processes.Options{Servers: specs(4, 0, tt.args...), Settings: json.RawMessage(tree)})
			// Take the first server, whose daemon the tests ask about the fleet
			// unless it is excluded.
			owner := fleet.Servers[0]
			key := keyOwnedBy(t, fleet, owner)
			first := load.NewCaller("first")
			var wg sync.WaitGroup
			wg.Go(func() {
				first.Do(context.Background(), load.Request{
					Method: http.MethodPost, URL: owner.URL("/registry/" + key + "?work_ms=3500"), ID: "long",
					Class: request.Write, Deadline: 10 * time.Second, Body: []byte("first"),
				})
			})
			waitRunsStarted(t, fleet, 1)
			owner.Daemon.Freeze()
			r := &testRun{t: t, fleet: fleet}
			r.waitOwnsNoSlots(owner)
			next, _ := ownerOf(t, fleet, key, owner)
			second := load.NewCaller("second")
			res := second.Do(context.Background(), load.Request{
				Method: http.MethodPost, URL: next.URL("/registry/" + key), ID: "short",
				Class: request.Write, Deadline: 3 * time.Second, Body: []byte("second"),
			})
			if res.Status != http.StatusCreated {
				t.Fatalf("the next owner answered %d %s %s", res.Status, res.End, res.Reason)
			}
			waitRunsEnded(t, fleet)
			owner.Daemon.Thaw()
			wg.Wait()
			value := lookupAtNextOwner(t, fleet, key, owner)
			if violated := value != "second"; violated != tt.violated {
				t.Errorf("the registered value is %q, guarantee violated %v, want violated %v", value, violated, tt.violated)
			}
		})
	}
}

// waitRunsStarted waits until the targets have started at least n runs.
func waitRunsStarted(t *testing.T, fleet *processes.Fleet, n int) {
	t.Helper()
	err := processes.WaitFor(timeoutContext(t), func() string {
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

// waitRunsEnded waits until every run that the targets have started has ended.
func waitRunsEnded(t *testing.T, fleet *processes.Fleet) {
	t.Helper()
	err := processes.WaitFor(timeoutContext(t), func() string {
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

// lookupAtNextOwner returns the value of a name at the owner after the current
// one: it drains the current owner, so that it releases the key's slot and the
// next owner reads the value from storage. The daemon of previous is not asked,
// since its view of the fleet may be outdated.
func lookupAtNextOwner(t *testing.T, fleet *processes.Fleet, key string, previous *processes.Server) string {
	t.Helper()
	owner, _ := ownerOf(t, fleet, key, previous)
	if err := owner.SetTargetFaults(targetserver.Faults{State: "draining"}); err != nil {
		t.Fatal(err)
	}
	r := &testRun{t: t, fleet: fleet}
	r.waitOwnsNoSlots(owner)
	c := load.NewCaller("witness")
	res := c.Do(context.Background(), load.Request{
		Method: http.MethodGet, URL: observer(fleet, owner, previous).URL("/registry/" + key), ID: "look", Deadline: 3 * time.Second,
	})
	if res.End != load.Answered {
		t.Fatalf("lookup ended as %s: %s", res.End, res.Reason)
	}
	return string(res.Body)
}

// TestSettings publishes edits of two operators at the same time, which conflict
// in every other round, while one daemon is cut off from the log and answers of
// the log are lost. It checks how many edits are accepted, that all daemons end up
// with the same settings tree, and that the last accepted edits are in effect.
func TestSettings(t *testing.T) {
	fleet := start(t, processes.Options{Servers: specs(3, 1), Proxies: true})
	cut := fleet.Servers[2]
	fleet.SetLogLinkFault(cut, faultproxy.Drop)
	view, err := fleet.Servers[0].Operator.Settings(timeoutContext(t), "", false)
	if err != nil {
		t.Fatal(err)
	}
	const rounds = 6
	results := make([][2]settings.EditResult, rounds)
	base := view.Version
	for round := range results {
		if err := fleet.SetLogFaults(logservice.Faults{LoseAnswers: round % 3}); err != nil {
			t.Fatal(err)
		}
		results[round] = publishConcurrently(t, fleet, base, round)
		for _, result := range results[round] {
			if result.Accepted {
				base = max(base, result.Offset+1)
			}
		}
	}
	for round, pair := range results {
		accepted := 0
		for _, result := range pair {
			if result.Accepted {
				accepted++
			}
		}
		// In odd rounds both operators edit the same node.
		if want := 2 - round%2; accepted != want {
			t.Errorf("round %d: %d edits accepted, want %d: %+v", round, accepted, want, pair)
		}
	}
	fleet.ClearLinkFaults(cut)
	err = cut.WaitStatus(timeoutContext(t), func(st member.FleetStatus) string { return processes.SettingsInEffect(st, base) })
	if err != nil {
		t.Fatal(err)
	}
	checkSameTrees(t, fleet)
	checkLastAccepted(t, fleet, results)
}

// publishConcurrently publishes an edit at each of two daemons at the same time, and
// returns their results. In odd rounds both edits are of the same node.
func publishConcurrently(t *testing.T, fleet *processes.Fleet, base uint64, round int) [2]settings.EditResult {
	t.Helper()
	nodes := [2]string{"/registry/rosa-", "/archive"}
	if round%2 == 1 {
		nodes[1] = nodes[0]
	}
	var results [2]settings.EditResult
	var wg sync.WaitGroup
	for i := range results {
		wg.Go(func() {
			edit := settings.Edit{
				ID: fmt.Sprintf("edit-%d-%d", round, i), Base: base, Node: nodes[i],
				Patch: json.RawMessage(fmt.Sprintf(`{"values": {"max_deadline_ms": %d}}`, 500_000+10*round+i)),
			}
			result, err := fleet.Servers[i].Operator.Publish(timeoutContext(t), edit)
			if err != nil {
				t.Error(err)
			}
			results[i] = result
		})
	}
	wg.Wait()
	return results
}

// checkSameTrees checks that all daemons have the same version of the settings tree.
func checkSameTrees(t *testing.T, fleet *processes.Fleet) {
	t.Helper()
	var first member.SettingsView
	for i, s := range fleet.Servers {
		view, err := s.Operator.Settings(timeoutContext(t), "", false)
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

// checkLastAccepted checks that the last edit accepted for each node is in effect.
func checkLastAccepted(t *testing.T, fleet *processes.Fleet, results [][2]settings.EditResult) {
	t.Helper()
	last := map[string]settings.EditResult{}
	for _, pair := range results {
		for _, result := range pair {
			if result.Accepted && result.Offset >= last[result.Edit.Node].Offset {
				last[result.Edit.Node] = result
			}
		}
	}
	for node, result := range last {
		view, err := fleet.Servers[3].Operator.Settings(timeoutContext(t), node, false)
		if err != nil {
			t.Fatal(err)
		}
		var patch struct {
			Values map[string]int `json:"values"`
		}
		var values map[string]json.RawMessage
		if err := errors.Join(json.Unmarshal(result.Edit.Patch, &patch), json.Unmarshal(view.Node, &values)); err != nil {
			t.Fatal(err)
		}
		if got, want := string(values["max_deadline_ms"]), fmt.Sprint(patch.Values["max_deadline_ms"]); got != want {
			t.Errorf("node %s has max_deadline_ms %s, want %s", node, got, want)
		}
	}
}

// TestRefusedEdits checks that the result of a refused edit names the field and the
// reason.
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
		result, err := fleet.Servers[0].Operator.Publish(timeoutContext(t), edit)
		if err != nil || result.Accepted || !bytes.Contains([]byte(result.Reason), []byte(tt.want)) {
			t.Errorf("%s %s: accepted %v, reason %q, error %v, want %q", tt.node, tt.patch, result.Accepted, result.Reason, err, tt.want)
		}
	}
}

// TestCompleteAnswers checks that every caller gets the complete answer to its own
// request or an error, while connections between daemons are delayed, cut or no
// longer pass data, and targets cut off their answers.
func TestCompleteAnswers(t *testing.T) {
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
				ingress := fleet.Servers[rng.IntN(len(fleet.Servers))]
				path := fmt.Sprintf("/registry/rosa-%d?bytes=%d", rng.IntN(50), bytesWanted)
				if i%3 == 0 {
					path = fmt.Sprintf("/archive/photo?bytes=%d", bytesWanted)
				}
				tally.Add(c.Do(context.Background(), load.Request{
					Method: http.MethodGet, URL: ingress.URL(path), ID: fmt.Sprint(client, "-", i),
					Deadline: requestDeadline, WantBytes: bytesWanted,
				}), 0)
			}
		})
	}
	for round := range 4 * durationFactor {
		for _, s := range fleet.Servers {
			switch round % 4 {
			case 0:
				s.Proxy.SetRule(netip.Addr{}, faultproxy.Rule{Delay: 20 * time.Millisecond})
			case 1:
				s.Proxy.CloseOpen()
			case 2:
				s.Proxy.SetRule(netip.Addr{}, faultproxy.Rule{})
				s.Proxy.BlackholeOpen()
			case 3:
				if err := s.SetTargetFaults(targetserver.Faults{CutAnswers: true}); err != nil {
					t.Fatal(err)
				}
			}
		}
		letRequestsRun()
	}
	stop()
	wg.Wait()
	t.Logf("answered %d, not run %d, unknown %d, wrong %d: %v", tally.Count(load.Answered), tally.Count(load.NotRun),
		tally.Count(load.Unknown), tally.Count(load.WrongAnswer), tally.Reasons())
	if tally.Count(load.WrongAnswer) > 0 || tally.Count(load.Answered) == 0 || tally.Count(load.Unknown) == 0 {
		t.Error("want complete answers, requests with unknown outcome, and no wrong answers")
	}
}

// TestLeave stops a daemon with SIGTERM while long uploads run, and checks that no
// upload is cut off and that its target receives no new requests 3 s after the
// daemon has announced that it leaves.
func TestLeave(t *testing.T) {
	fleet := start(t, processes.Options{Servers: specs(3, 3)})
	leaving := fleet.Servers[3]
	body := targetserver.Pattern("photo", 8<<20) // 128 chunks, each of which takes work_ms
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
	waitRunsStarted(t, fleet, len(results))
	w := startWorkload(t, fleet)
	w.ingresses.Avoid(leaving)
	leaving.Daemon.Signal(syscall.SIGTERM)
	err := fleet.Servers[0].WaitStatus(timeoutContext(t), func(st member.FleetStatus) string {
		for _, m := range st.Members {
			if m.DaemonAddress == leaving.DaemonAddr && !m.Leaving {
				return "not yet leaving"
			}
		}
		return ""
	})
	if err != nil {
		t.Fatal(err)
	}
	const newWorkLimit = 3 * time.Second // after it, the target of a leaving daemon gets no new requests
	cutoff := time.Now().Add(newWorkLimit)
	code, err := leaving.Daemon.Wait(timeoutContext(t))
	if err != nil || code != 0 {
		t.Errorf("the daemon exited with code %d, error %v, want code 0", code, err)
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
	bootCutoff := cutoff.UnixNano() - time.Now().UnixNano() + bootNow()
	for _, run := range runs {
		if run.Server == leaving.Spec.Name && run.Begin.UnixNano() > bootCutoff {
			t.Errorf("%s received request %s after the limit for new requests", run.Server, run.ID)
		}
	}
	w.finish()
}

// TestRetention limits the number of records that the log retains. Snapshots
// replace the older records: a restarted daemon starts from a snapshot, and a
// daemon that was cut off until the records it had yet to read were no longer
// retained starts anew.
func TestRetention(t *testing.T) {
	fleet := start(t, processes.Options{
		Servers: specs(4, 0, "-check_grants"), Proxies: true,
		ExtraConfig: map[string]any{"snapshot_records": 15, "snapshot_every_ms": 1000},
	})
	cut := fleet.Servers[3]
	w := startWorkload(t, fleet)
	w.ingresses.Avoid(cut)
	r := &testRun{t: t, fleet: fleet, load: w}
	fleet.SetLogLinkFault(cut, faultproxy.Drop)
	r.setLogFaults(logservice.Faults{Retain: 40})
	for i := range 60 {
		edit := settings.Edit{ID: fmt.Sprint("edit-", i), Node: "/registry", Patch: json.RawMessage(`{"values": {"queue_length": 200}}`)}
		if _, err := fleet.Servers[0].Operator.Publish(timeoutContext(t), edit); err != nil {
			t.Fatal(err)
		}
	}
	restarted := fleet.Servers[1]
	w.ingresses.Avoid(restarted)
	restarted.Daemon.Kill()
	r.restart(restarted)
	fleet.ClearLinkFaults(cut)
	if err := cut.Daemon.WaitLogMessage("log forgot records before they were folded"); err != nil {
		t.Fatal(err)
	}
	r.waitReady()
	checkSameTrees(t, fleet)
	w.finish()
}

// TestStartWithoutLog starts a daemon while the log is down, and checks that it
// gets the state of the fleet from a peer and serves as an ingress.
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
	err := processes.WaitFor(timeoutContext(t), func() string {
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
	if err := fleet.WaitReady(timeoutContext(t)); err != nil {
		t.Error(err)
	}
}

// TestDuplicateID checks that requests with the same id run at most once, even if
// the key is transferred to another owner between the attempts.
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
		t.Fatalf("first attempt: %d %s", res.Status, res.Reason)
	}
	if res := post(); res.End != load.Unknown || res.Reason != "duplicate" {
		t.Errorf("second attempt: %s %s, want unknown duplicate", res.End, res.Reason)
	}
	owner, _ := ownerOf(t, fleet, key)
	if err := owner.SetTargetFaults(targetserver.Faults{State: "draining"}); err != nil {
		t.Fatal(err)
	}
	(&testRun{t: t, fleet: fleet}).waitOwnsNoSlots(owner)
	if res := post(); res.End != load.Unknown || res.Reason != "duplicate" {
		t.Errorf("after a planned transfer: %s %s, want unknown duplicate", res.End, res.Reason)
	}
}

// TestMovesWaitForRequests transfers a key while a registration is running at its
// owner, and checks that the next owner runs no request for the key before the
// registration has ended.
func TestMovesWaitForRequests(t *testing.T) {
	fleet := start(t, processes.Options{Servers: specs(3, 0)})
	owner := fleet.Servers[0]
	key := keyOwnedBy(t, fleet, owner)
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
	waitRunsStarted(t, fleet, 1)
	if err := owner.SetTargetFaults(targetserver.Faults{State: "draining"}); err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	reader := load.NewCaller("nursery")
	wg.Go(func() {
		for i := 0; ctx.Err() == nil; i++ {
			reader.Do(context.Background(), load.Request{
				Method: http.MethodGet, URL: fleet.Servers[i%3].URL("/registry/" + key), ID: fmt.Sprint(i), Deadline: requestDeadline,
			})
		}
	})
	(&testRun{t: t, fleet: fleet}).waitOwnsNoSlots(owner)
	next, _ := ownerOf(t, fleet, key, owner)
	res := reader.Do(context.Background(), load.Request{
		Method: http.MethodGet, URL: next.URL("/registry/" + key), ID: "last", Deadline: requestDeadline,
	})
	stop()
	wg.Wait()
	if string(res.Body) != "mine" {
		t.Errorf("the next owner returned %q, want \"mine\" (%s %s)", res.Body, res.End, res.Reason)
	}
	runs, err := targetserver.Runs(fleet.Dir)
	if err != nil {
		t.Fatal(err)
	}
	if audit := targetserver.Inspect(runs); audit.MaxOwners > 1 || audit.Stale > 0 {
		t.Errorf("%d owners at the same time, %d stale runs, want 1 at most and none", audit.MaxOwners, audit.Stale)
	}
}

// TestOperators checks the operators' interface through the client that the
// commands use.
func TestOperators(t *testing.T) {
	fleet := start(t, processes.Options{Servers: specs(3, 1)})
	client := fleet.Servers[3].Operator
	ex, err := client.Explain(timeoutContext(t), "registry", "rosa/alba")
	if err != nil || ex.Owner == "" || ex.Cause == 0 || len(ex.Records) == 0 {
		t.Errorf("explanation %+v, %v", ex, err)
	}
	view, err := client.Settings(timeoutContext(t), "/registry", true)
	if err != nil || view.Effective["target_checks_grants"].Node != "/registry" || view.Effective["default_deadline_ms"].Node != "/" ||
		view.Effective["queue_length"].Node != "default" {
		t.Errorf("effective settings %+v, %v", view.Effective, err)
	}
	var statusErr *operator.StatusError
	if _, err := client.Explain(timeoutContext(t), "nonsense", "key"); !errors.As(err, &statusErr) || statusErr.Status != http.StatusNotFound {
		t.Errorf("explanation of a service that does not exist: %v", err)
	}
	if history, err := client.History(timeoutContext(t)); err != nil || len(history) != 1 {
		t.Errorf("history %+v, %v", history, err)
	}
}
