package mesh

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/require"

	"siskinknot/core/directory"
	"siskinknot/core/outcome"
	"siskinknot/core/placement"
	"siskinknot/core/request"
	"siskinknot/core/retry"
	"siskinknot/core/routing"
	"siskinknot/io/boottime"
	"siskinknot/io/forward"
	"siskinknot/io/peer"
	"siskinknot/io/peer/peerpb"
)

// scriptedFleet is the daemons of a shared service. The requests that they receive have the
// given results in turn, the last one for all that follow.
type scriptedFleet struct {
	mu       sync.Mutex
	results  []outcome.Result
	received int
}

// next returns the result of the next request.
func (f *scriptedFleet) next() outcome.Result {
	f.mu.Lock()
	defer f.mu.Unlock()
	res := f.results[min(f.received, len(f.results)-1)]
	f.received++
	return res
}

// HandleCall implements peer.Handler.
func (*scriptedFleet) HandleCall(context.Context, *peerpb.Call) *peerpb.Reply {
	return &peerpb.Reply{}
}

// Forward implements peer.Handler.
func (f *scriptedFleet) Forward(ctx context.Context, in *peer.Incoming) {
	forward.Serve(ctx, in, func(context.Context, *request.Head, forward.Exchange) outcome.Result { return f.next() })
}

// newIngressMesh returns a Mesh without a target of its own, that forwards requests to
// four daemons of fleet in its zone. queued is the number of waiting requests that their
// targets with 10 slots report.
func newIngressMesh(t *testing.T, fleet *scriptedFleet, queued int) *Mesh {
	t.Helper()
	m := newTestMesh()
	table, err := routing.New(1, nil, []routing.Service{{Name: "s"}}, routing.Limits{})
	require.NoError(t, err)
	m.table, m.loaded, m.peerNotices = table, true, newNoticeTable()
	m.pool = peer.NewPool("a", netip.MustParseAddr("127.0.0.1"), hclog.NewNullLogger())
	t.Cleanup(func() { require.NoError(t, m.pool.Close()) })
	for range 4 {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		server := peer.NewServer(listener, "b", fleet, hclog.NewNullLogger())
		t.Cleanup(func() { require.NoError(t, server.Close()) })
		addr := listener.Addr().(*net.TCPAddr).AddrPort()
		entry := directory.Member{Address: addr, Service: "s", State: directory.Active}.PutEntry()
		m.dir.Apply(directory.Update{Base: m.dir.Version(), End: m.dir.Version() + 1, Entries: []directory.Entry{entry}})
		m.report(addr, queued)
	}
	return m
}

// report records a load report of the daemon at addr that arrives now.
func (m *Mesh) report(addr netip.AddrPort, queued int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.reports[addr] = loadReport{
		Load:       placement.Load{Member: addr, Accepting: true, Slots: 10, ServiceTime: 50 * time.Millisecond},
		receivedAt: boottime.Now(), inFlight: min(10, 2+queued), queued: queued,
	}
}

// newSharedCall returns a request for the shared service with the objective left.
func newSharedCall(left time.Duration, maxAttempts int) *call {
	now := boottime.Now()
	return &call{
		req: &Request{ReceivedAt: now, Body: Body{Data: []byte{}}},
		head: &request.Head{
			Service: "s", ID: "1", Method: http.MethodGet, Path: "/", Deadline: now.Add(10 * time.Second), Objective: now.Add(left),
		},
		route: &routing.Route{MaxAttempts: maxAttempts, LatencyObjective: 2 * time.Second}, sink: nullSink{},
	}
}

// overloadedFor returns a rejection before the target.
func overloadedFor(retryAfter time.Duration) outcome.Result {
	return outcome.NotRun{Reason: outcome.Overloaded, RetryAfter: retryAfter}
}

// TestRejectionsAreRedirected checks which requests are sent to another target, how often,
// and what their callers are told.
func TestRejectionsAreRedirected(t *testing.T) {
	const ms = time.Millisecond
	answered, shed := outcome.Answered{}, outcome.NotRun{Reason: outcome.Shed, RetryAfter: 10 * ms}
	for _, row := range []struct {
		name        string
		results     []outcome.Result
		queued      int
		left        time.Duration
		maxAttempts int
		budget      float64 // retries that the budget allows
		want        outcome.Result
		received    int
		retries     float64 // retries that are taken from the budget
	}{
		{"another target has room", []outcome.Result{overloadedFor(500 * ms), answered}, 0, 2 * time.Second, 1, 0, answered, 2, 0},
		{"a third target has room", []outcome.Result{overloadedFor(500 * ms), overloadedFor(400 * ms), answered}, 0, 2 * time.Second, 1, 0, answered, 3, 0},
		{
			"all targets reject",
			[]outcome.Result{overloadedFor(500 * ms), overloadedFor(300 * ms), overloadedFor(400 * ms)},
			0, 2 * time.Second, 6, 10, overloadedFor(300 * ms), 3, 0,
		},
		{"no other target has room", []outcome.Result{overloadedFor(500 * ms)}, 200, 2 * time.Second, 6, 10, overloadedFor(500 * ms), 1, 0},
		{"another target has a short queue", []outcome.Result{overloadedFor(500 * ms), answered}, 50, 2 * time.Second, 1, 0, answered, 2, 0},
		{"objective nearly over", []outcome.Result{overloadedFor(500 * ms)}, 0, 300 * ms, 6, 10, overloadedFor(500 * ms), 1, 0},
		{"objective over", []outcome.Result{overloadedFor(500 * ms)}, 0, -time.Second, 6, 10, overloadedFor(500 * ms), 1, 0},
		{"target sheds, no budget", []outcome.Result{shed, answered}, 0, 2 * time.Second, 6, 0, shed, 1, 0},
		{"target sheds", []outcome.Result{shed, answered}, 0, 2 * time.Second, 6, 10, answered, 2, 1},
		{"target sheds, one attempt", []outcome.Result{shed, answered}, 0, 2 * time.Second, 1, 10, shed, 1, 0},
		{"redirected to a target that sheds", []outcome.Result{overloadedFor(500 * ms), shed, answered}, 0, 2 * time.Second, 1, 10, shed, 2, 0},
		{"two attempts that reach targets", []outcome.Result{overloadedFor(500 * ms), shed, answered}, 0, 2 * time.Second, 2, 10, answered, 3, 1},
		{
			"redirected to a target without connection",
			[]outcome.Result{overloadedFor(500 * ms), outcome.NotRun{Reason: outcome.Unreachable}, answered},
			0, 2 * time.Second, 1, 0, answered, 3, 0,
		},
		{
			"result not known after a redirect",
			[]outcome.Result{overloadedFor(500 * ms), outcome.Unknown{Reason: outcome.ConnectionCut}},
			0, 2 * time.Second, 6, 10,
			outcome.Unknown{Reason: outcome.ConnectionCut},
			2, 0,
		},
		{"rejection of an older daemon", []outcome.Result{overloadedFor(0)}, 200, 2 * time.Second, 6, 10, overloadedFor(500 * ms), 1, 0},
	} {
		t.Run(row.name, func(t *testing.T) {
			fleet := &scriptedFleet{results: row.results}
			m := newIngressMesh(t, fleet, row.queued)
			m.budget = retry.NewBudget(row.budget)
			res := m.sendWithRetries(context.Background(), newSharedCall(row.left, row.maxAttempts))
			require.Equal(t, row.want, res)
			require.Equal(t, row.received, fleet.received)
			left := 0.0
			for m.budget.Withdraw() {
				left++
			}
			require.InDelta(t, row.budget-row.retries, left, 0.01)
		})
	}
}

// TestOverloadMultipliesRedirects guards against daemons that bounce requests between them:
// all targets reject, while their reports always say that they have room.
func TestOverloadMultipliesRedirects(t *testing.T) {
	const requests = 600
	fleet := &scriptedFleet{results: []outcome.Result{overloadedFor(time.Second)}}
	m := newIngressMesh(t, fleet, 0)
	for range requests {
		for _, member := range m.dir.MembersOf("s") {
			if member.Address != self {
				m.report(member.Address, 0)
			}
		}
		require.Equal(t, overloadedFor(time.Second), m.sendWithRetries(context.Background(), newSharedCall(2*time.Second, 6)))
	}
	require.LessOrEqual(t, fleet.received, requests*(100+failedRedirectPercent)/100+failedRedirectBurst)
}

// TestRejectionIsKnownUntilNextReport checks that no request is redirected to a target that
// has rejected one since its last report.
func TestRejectionIsKnownUntilNextReport(t *testing.T) {
	fleet := &scriptedFleet{results: []outcome.Result{overloadedFor(time.Second)}}
	m := newIngressMesh(t, fleet, 0)
	for range 10 {
		m.sendWithRetries(context.Background(), newSharedCall(2*time.Second, 6))
	}
	require.LessOrEqual(t, fleet.received, 10+3, "four targets, the first choice is no redirect")
}

// TestReturnedRequestCountsAsNew checks which requests count as returned: the objective of a
// caller's later attempt began with its first one.
func TestReturnedRequestCountsAsNew(t *testing.T) {
	table, err := routing.New(1, []routing.Route{{
		Name: "r", Host: "h", PathPrefix: "/", Kind: routing.Safe, Timeout: 3 * time.Second, LatencyObjective: 400 * time.Millisecond, MaxAttempts: 1,
		Splits: []routing.Split{{Service: "s", Weight: 1}},
	}}, []routing.Service{{Name: "s"}}, routing.Limits{})
	require.NoError(t, err)
	route, ok := table.Match("h", "/")
	require.True(t, ok)
	now := boottime.Now()
	for _, row := range []struct {
		name    string
		timeout time.Duration
		route   string
		transit time.Duration
		want    bool
	}{
		{"first attempt", 3 * time.Second, "r", 10 * time.Millisecond, false},
		{"first attempt with a longer time than the route", 5 * time.Second, "r", 10 * time.Millisecond, false},
		{"second attempt", 2950 * time.Millisecond, "r", 10 * time.Millisecond, true},
		{"second attempt after the objective", 2 * time.Second, "r", 0, true},
		{"unknown route", 2 * time.Second, "other", 0, false},
	} {
		t.Run(row.name, func(t *testing.T) {
			m := newTestMesh()
			m.table = table
			head := &request.Head{Route: row.route, Objective: objective(&Request{ReceivedAt: now, Timeout: row.timeout}, route)}
			require.Equal(t, row.want, m.hasReturned(now.Add(row.transit), head))
		})
	}
	require.False(t, newTestMesh().hasReturned(now, &request.Head{Route: "r"}), "no configuration")
}
