package mesh

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"siskinknot/core/callpath"
	"siskinknot/core/directory"
	"siskinknot/core/outcome"
	"siskinknot/core/placement"
	"siskinknot/core/request"
	"siskinknot/core/routing"
	"siskinknot/io/boottime"
	"siskinknot/io/targetconn"
)

// callingTarget is a Target that runs each request with the function run. It rejects a request as
// overloaded if run returns 0.
type callingTarget struct {
	Target
	run func(head *request.Head) (status int)
}

// Send implements Target.
func (t *callingTarget) Send(
	_ context.Context, head *request.Head, _ io.Reader, _ string,
) (*targetconn.Response, *request.TargetNotice, outcome.Result) {
	status := t.run(head)
	if status == 0 {
		return nil, nil, outcome.NotRun{Reason: outcome.Overloaded}
	}
	return &targetconn.Response{Status: status, Body: io.NopCloser(strings.NewReader(""))}, nil, nil
}

// newCallingMesh returns a Mesh whose target runs requests with run. The route view has the
// priority 0, a timeout of 1 s and an objective of 600 ms, the route lookup the priority 3, 400 ms and 150 ms.
func newCallingMesh(t *testing.T, run func(m *Mesh, head *request.Head) (status int)) *Mesh {
	t.Helper()
	route := func(name string, priority int, timeout, objective time.Duration) routing.Route {
		return routing.Route{
			Name: name, Host: "h", PathPrefix: "/" + name + "/", Kind: routing.Safe, Timeout: timeout, LatencyObjective: objective,
			Priority: priority, MaxAttempts: 1, Splits: []routing.Split{{Service: "s", Weight: 1}},
		}
	}
	routes := []routing.Route{
		route("view", 0, time.Second, 600*time.Millisecond), route("lookup", 3, 400*time.Millisecond, 150*time.Millisecond),
		route("list", 2, time.Second, 600*time.Millisecond),
	}
	table, err := routing.New(1, routes, []routing.Service{{Name: "s"}}, routing.Limits{})
	require.NoError(t, err)
	m := newTestMesh()
	m.table, m.loaded = table, true
	m.target.TargetState = TargetState{Instance: "i", Ready: true, Slots: 8}
	m.target.heardAt = boottime.Now()
	m.scheduler.SetSlots(boottime.Now(), 8)
	m.targetClient = &callingTarget{run: func(head *request.Head) int { return run(m, head) }}
	return m
}

// serve serves a request on route with the given IDs.
func (m *Mesh) serve(route, id, parentID string, timeout time.Duration) outcome.Result {
	return m.serveTo(nullSink{}, route, id, parentID, timeout)
}

// serveTo is serve with the sink of the answer.
func (m *Mesh) serveTo(sink Sink, route, id, parentID string, timeout time.Duration) outcome.Result {
	return m.Serve(context.Background(), &Request{
		Host: "h", Method: http.MethodGet, Path: "/" + route + "/x", PathAndQuery: "/" + route + "/x", Header: http.Header{},
		ID: id, ParentID: parentID, ReceivedAt: boottime.Now(), Timeout: timeout, Body: Body{Data: []byte{}},
	}, sink)
}

// TestCallHasPriorityOfParent checks the head with which a call arrives at its target, and that of a call that
// this call makes. It guards against calls that are served worse than the requests they are made for.
func TestCallHasPriorityOfParent(t *testing.T) {
	for _, row := range []struct {
		name     string
		timeout  time.Duration // of the parent
		deadline time.Duration // of the call, after its start
	}{
		{"deadline of its route", time.Second, 400 * time.Millisecond},
		{"deadline of the parent", 200 * time.Millisecond, 200 * time.Millisecond},
	} {
		t.Run(row.name, func(t *testing.T) {
			heads := map[string]*request.Head{}
			m := newCallingMesh(t, func(m *Mesh, head *request.Head) int {
				heads[head.ID] = head
				if parts := strings.Count(head.ID, "."); parts < 3 {
					require.Equal(t, outcome.Answered{Status: http.StatusOK}, m.serve("lookup", head.ID+".c", head.ID, time.Second))
				}
				return http.StatusOK
			})
			started := boottime.Now()
			require.Equal(t, outcome.Answered{Status: http.StatusOK}, m.serve("view", "a.b", "a", row.timeout))
			require.False(t, heads["a.b"].Call, "a is not running")
			for _, id := range []string{"a.b.c", "a.b.c.c"} {
				head := heads[id]
				require.True(t, head.Call)
				require.Zero(t, head.Priority)
				require.Equal(t, head.Deadline, head.Objective)
				require.WithinDuration(t, started.Add(row.deadline), head.Deadline, 100*time.Millisecond)
			}
			require.Equal(t, "view", heads["a.b.c"].ParentRoute)
			require.Equal(t, "lookup", heads["a.b.c.c"].ParentRoute)
			require.False(t, heads["a.b.c"].Deadline.After(heads["a.b"].Deadline))
			require.Empty(t, m.callPaths.running)
		})
	}
}

// TestCallIsRecognizedByRunningParent guards against requests that are taken for calls, and calls that
// are not recognized.
func TestCallIsRecognizedByRunningParent(t *testing.T) {
	for _, row := range []struct {
		name, running, id, parentID string
		want                        bool
	}{
		{"parent is running", "a", "a.1", "a", true},
		{"parent with a dot", "a.1", "a.1.x", "a.1", true},
		{"parent that is its own prefix", "a.a", "a.a.a", "a.a", true},
		{"unknown parent", "a", "b.1", "b", false},
		{"ID without a dot", "a", "a1", "", false},
		{"prefix of the ID of a running request", "a.b", "a.1", "a", false},
		{"its own ID is running", "a.a", "a.a", "a", false},
		{"no ID, request without ID is running", "", "", "", false},
	} {
		t.Run(row.name, func(t *testing.T) {
			recognized := false
			m := newCallingMesh(t, func(m *Mesh, head *request.Head) int {
				if head.Route == "lookup" {
					recognized = head.Call
					return http.StatusOK
				}
				m.serve("lookup", row.id, row.parentID, time.Second)
				return http.StatusOK
			})
			m.serve("view", row.running, "", time.Second)
			require.Equal(t, row.want, recognized)
		})
	}
}

// TestEndedParentHasNoCalls guards against calls for a request that has ended, by an answer or with the
// target's process.
func TestEndedParentHasNoCalls(t *testing.T) {
	for _, row := range []struct {
		name string
		end  func(m *Mesh, r *run)
	}{
		{"answered", func(m *Mesh, r *run) { m.endRun(context.Background(), r, outcome.Answered{Status: http.StatusOK}) }},
		{"target ended", func(m *Mesh, r *run) { m.markTargetDown(r.process) }},
	} {
		t.Run(row.name, func(t *testing.T) {
			m := newTestMesh()
			m.target.Instance = "i"
			var runs []*run
			for range 2 { // two callers may use the same ID
				r := &run{head: &request.Head{ID: "a", Route: "view", Deadline: boottime.Now().Add(time.Minute)}}
				require.Nil(t, m.startRun(r, 0, false, &requestTimes{}))
				runs = append(runs, r)
			}
			require.Same(t, runs[1], m.callPaths.beginCall("a"))
			row.end(m, runs[1])
			if row.name == "answered" {
				require.Same(t, runs[0], m.callPaths.beginCall("a"))
				row.end(m, runs[0])
			}
			require.Nil(t, m.callPaths.beginCall("a"))
			require.Empty(t, m.callPaths.running)
			m.callPaths.ended(boottime.Now(), runs[0]) // has no effect
		})
	}
}

// TestRequestsWhoseCallsFailAreLimited lets the calls of a route fail, and guards against running its
// requests all the same, against rejecting requests of other routes or calls, and against
// rejections without a delay before the retry.
func TestRequestsWhoseCallsFailAreLimited(t *testing.T) {
	rejected := func(m *Mesh, route string) int {
		n := 0
		for i := range 100 {
			res := m.serve(route, fmt.Sprint(i), "", time.Second)
			if reasonOf(res) == outcome.CallsFailing {
				require.Positive(t, res.(outcome.NotRun).RetryAfter)
				n++
			}
		}
		return n
	}
	failing := true
	m := newCallingMesh(t, func(m *Mesh, head *request.Head) int {
		if head.Route == "lookup" {
			if failing {
				return 0
			}
			return http.StatusOK
		}
		if head.Route == "list" {
			return http.StatusOK
		}
		for _, suffix := range []string{".1", ".2"} {
			if m.serve("lookup", head.ID+suffix, head.ID, time.Second) != (outcome.Answered{Status: http.StatusOK}) || failing {
				return http.StatusInternalServerError
			}
		}
		return http.StatusOK
	})
	require.Positive(t, rejected(m, "view"))
	require.Zero(t, rejected(m, "list"))
	require.Zero(t, rejected(m, "lookup"), "the route of the calls makes no calls")
	m.reportCallPaths(boottime.Now())
	require.True(t, m.callPaths.limited["view"])
	for range 20 {
		require.Nil(t, m.callPathRefusal(boottime.Now(), &request.Head{Route: "view", Call: true}))
	}
	failing = false
	later := boottime.Now().Add(time.Minute)
	m.reportCallPaths(later)
	m.reportCallPaths(later)
	require.Empty(t, m.callPaths.limited)
	require.Nil(t, m.callPathRefusal(later, &request.Head{Route: "view"}))
}

// TestCallResults guards against limiting the requests of a route because of calls that their target has
// cancelled or that no target can serve.
func TestCallResults(t *testing.T) {
	for _, row := range []struct {
		res    outcome.Result
		status int
		want   callpath.Result
		counts bool
	}{
		{outcome.Answered{}, http.StatusOK, callpath.Succeeded, true},
		{outcome.Answered{}, http.StatusNotFound, callpath.Succeeded, true},
		{outcome.Answered{}, http.StatusInternalServerError, callpath.Erred, true},
		{outcome.NotRun{Reason: outcome.Overloaded}, 0, callpath.Rejected, true},
		{outcome.Unknown{Reason: outcome.TimedOut}, 0, callpath.Erred, true},
		{outcome.Unknown{Reason: outcome.ConnectionCut}, http.StatusOK, callpath.Erred, true},
		{outcome.Unknown{Reason: outcome.TargetCrashed}, 0, callpath.Erred, true},
		{outcome.NotRun{Reason: outcome.Cancelled}, 0, 0, false},
		{outcome.NotRun{Reason: outcome.Malformed}, 0, 0, false},
	} {
		result, counts := callResult(row.res, row.status)
		require.Equal(t, row.counts, counts, row)
		require.Equal(t, row.want, result, row)
	}
}

// TestCallIsSentElsewhere guards against failing a call whose first target is busy while another one is not, and
// against sending one again that a target may have received.
func TestCallIsSentElsewhere(t *testing.T) {
	overloaded := outcome.NotRun{Reason: outcome.Overloaded}
	others := testAddrs(4)[1:]
	for _, row := range []struct {
		name     string
		call     call
		res      outcome.Result
		accepted bool // the other targets accept requests
		want     bool
	}{
		{"another target is left", call{parent: &run{}, triedTargets: others[:1]}, overloaded, true, true},
		{"no target accepts", call{parent: &run{}, triedTargets: others[:1]}, overloaded, false, false},
		{"all were tried", call{parent: &run{}, triedTargets: others}, overloaded, true, false},
		{"no call", call{triedTargets: others[:1]}, overloaded, true, false},
		{"divided service", call{parent: &run{}, divided: true}, overloaded, true, false},
		{"the target has received it", call{parent: &run{}, triedTargets: others[:1]}, outcome.NotRun{Reason: outcome.Shed}, true, false},
		{"the target may have run it", call{parent: &run{}, triedTargets: others[:1]}, outcome.Unknown{Reason: outcome.TimedOut}, true, false},
	} {
		t.Run(row.name, func(t *testing.T) {
			m := newTestMesh()
			var entries []directory.Entry
			for _, addr := range others {
				entries = append(entries, directory.Member{Address: addr, Service: "s", State: directory.Active}.PutEntry())
				m.reports[addr] = loadReport{Load: placement.Load{Accepting: row.accepted}}
			}
			m.dir.Apply(directory.Update{Base: m.dir.Version(), End: m.dir.Version() + 1, Entries: entries})
			c := row.call
			c.head = &request.Head{Service: "s", Deadline: boottime.Now().Add(time.Minute)}
			require.Equal(t, row.want, m.mayTryElsewhere(&c, row.res))
			c.head.Deadline = boottime.Now()
			require.False(t, m.mayTryElsewhere(&c, row.res))
		})
	}
}

// TestCallsOfTheirOwnRouteEnd guards against requests that wait for one another beyond their deadline, and against a
// route that stays limited because its own calls are: each run calls its own route, until no slot is left.
func TestCallsOfTheirOwnRouteEnd(t *testing.T) {
	deepest, most := 0, 100
	m := newCallingMesh(t, func(m *Mesh, head *request.Head) int {
		depth := strings.Count(head.ID, ".")
		deepest = max(deepest, depth)
		if depth < most && m.serve("lookup", head.ID+".1", head.ID, time.Second) != (outcome.Answered{Status: http.StatusOK}) {
			return http.StatusInternalServerError
		}
		return http.StatusOK
	})
	started := boottime.Now()
	require.Equal(t, outcome.Answered{Status: http.StatusInternalServerError}, m.serve("lookup", "a", "", time.Second))
	require.Less(t, boottime.Now().Sub(started), time.Second, "the deadline is after 400 ms")
	require.Equal(t, 7, deepest, "the target has 8 slots")
	require.Zero(t, m.scheduler.Load().Running)
	most = 3
	for i := range 5 { // the failures have limited the route, but not its calls
		if res := m.serve("lookup", fmt.Sprint(i), "", time.Second); reasonOf(res) != outcome.CallsFailing {
			require.Equal(t, outcome.Answered{Status: http.StatusOK}, res)
		}
	}
	require.Equal(t, outcome.Answered{Status: http.StatusOK}, m.serve("view", "b", "", time.Second))
}
