package mesh

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/require"

	"siskinknot/core/directory"
	"siskinknot/core/outcome"
	"siskinknot/core/request"
	"siskinknot/core/routing"
	"siskinknot/io/boottime"
	"siskinknot/io/forward"
	"siskinknot/io/peer"
	"siskinknot/io/targetconn"
)

// TestRequestOutlivesStop guards against requests that are sent to the target although they may run beyond the end of the process.
func TestRequestOutlivesStop(t *testing.T) {
	const (
		stopsIn = 2 * time.Second
		shorter = stopsIn - time.Second
		longer  = stopsIn + time.Second
	)
	answered := outcome.Answered{Status: http.StatusOK}
	for _, row := range []struct {
		name    string
		timeout time.Duration
		// queued is set if the request waits for a slot when the stop begins.
		queued bool
		want   outcome.Result
	}{
		{"ends before", shorter, false, answered},
		{"may end later", longer, false, outcome.NotRun{Reason: outcome.Stopping}},
		{"queued, ends before", shorter, true, answered},
		{"queued, may end later", longer, true, outcome.NotRun{Reason: outcome.Stopping}},
	} {
		t.Run(row.name, func(t *testing.T) {
			running, end := make(chan struct{}), make(chan struct{})
			m := newCallingMesh(t, func(_ *Mesh, head *request.Head) int {
				if head.ID == "first" {
					close(running)
					<-end
				}
				return http.StatusOK
			})
			m.scheduler.SetSlots(boottime.Now(), 1)
			results := make(chan outcome.Result, 2)
			run := func(id string, timeout time.Duration) {
				deadline := boottime.Now().Add(timeout)
				head := &request.Head{ID: id, Service: "s", Route: "view", Header: http.Header{}, Objective: deadline, Deadline: deadline}
				body := &forward.Body{Inline: []byte{}, IsInline: true, Abort: func() {}}
				results <- m.runRequest(context.Background(), head, &localExchange{Sink: nullSink{}, body: body})
			}
			if row.queued {
				go run("first", shorter)
				<-running
				go run("second", row.timeout)
				require.Eventually(t, func() bool { return m.scheduler.Load().Queued == 1 }, time.Second, time.Millisecond)
			}
			now := boottime.Now()
			m.StopAt(now, now.Add(stopsIn))
			if row.queued {
				close(end)
				require.Equal(t, answered, <-results)
			} else {
				go run("second", row.timeout)
			}
			require.Equal(t, row.want, <-results)
		})
	}
}

// TestStoppingOwnerIsNotAwaited guards against requests that wait for another owner of their key, which is not to be expected while the store is away.
func TestStoppingOwnerIsNotAwaited(t *testing.T) {
	for _, row := range []struct {
		name     string
		storeOK  bool
		attempts bool // more than one
	}{
		{"store is away", false, false},
		{"store is reachable", true, true},
	} {
		t.Run(row.name, func(t *testing.T) {
			m := newDividedMesh(t, answeringTarget{}, directory.Assignment{Last: directory.MaxKey, Fence: 1})
			now := boottime.Now()
			m.leases.RecordStoreRead(now, 0)
			m.storeOK = row.storeOK
			m.target.Ready = true
			m.addMembers(now, zoneMember{netip.MustParseAddrPort("10.0.0.2:7400"), "s", ""})
			m.StopAt(now, now.Add(time.Second))
			c := newStoppingCall(now)
			res, ok := m.sendWithRetries(context.Background(), c).(outcome.NotRun)
			require.True(t, ok)
			require.Equal(t, outcome.Stopping, res.Reason)
			require.Equal(t, row.attempts, c.attempts > 1)
			if !row.storeOK {
				require.Greater(t, res.RetryAfter, lossRetryAfter)
				require.LessOrEqual(t, res.RetryAfter, time.Second)
			}
		})
	}
}

// silentStore is a Store whose calls get no answer.
type silentStore struct{ Store }

// Append implements Store.
func (silentStore) Append(ctx context.Context, _ directory.Update) directory.AppendResult {
	<-ctx.Done()
	return directory.Undetermined{Cause: ctx.Err()}
}

// Read implements Store.
func (silentStore) Read(ctx context.Context, _ uint64) (directory.Update, error) {
	<-ctx.Done()
	return directory.Update{}, ctx.Err()
}

// Era implements Store.
func (silentStore) Era() uint64 { return 0 }

// TestStopWaitsForStore guards against a daemon that is killed at the end of its grace time, since it waits for a store that does not answer.
func TestStopWaitsForStore(t *testing.T) {
	const limit = 200 * time.Millisecond
	m := newDividedMesh(t, answeringTarget{})
	m.store, m.storeOK = silentStore{}, true
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	began := time.Now()
	require.False(t, m.Leave(ctx))
	require.Less(t, time.Since(began), 2*limit)
	m.tomb.Kill(nil) // ends the call
}

// sendCountingTarget counts the requests that it answers.
type sendCountingTarget struct {
	answeringTarget
	requests atomic.Int32
}

// Send implements Target.
func (c *sendCountingTarget) Send(
	ctx context.Context, head *request.Head, body io.Reader, instance string,
) (*targetconn.Response, *request.TargetNotice, outcome.Result) {
	c.requests.Add(1)
	return c.answeringTarget.Send(ctx, head, body, instance)
}

// TestRequestSentAfterDrain guards against requests that reach the target after Drain has reported that all have
// ended, when the daemon closes its sessions: they wait for the grant of their key when Drain begins.
func TestRequestSentAfterDrain(t *testing.T) {
	target := &sendCountingTarget{}
	m := newDividedMesh(t, target, directory.Assignment{Last: directory.MaxKey, Fence: 1})
	now := boottime.Now()
	m.leases.RecordStoreRead(now, 0)
	m.cfg.HeartbeatInterval = 2 * time.Second // the request waits for 1 s
	m.target.Ready = true
	m.scheduler.SetSlots(now, 1)
	m.disowning.released = true
	m.StopAt(now, now.Add(10*time.Second))
	result := make(chan outcome.Result, 1)
	go func() {
		head := &request.Head{ID: "r", Service: "s", Key: "7", Header: http.Header{}, Objective: now.Add(5 * time.Second), Deadline: now.Add(5 * time.Second)}
		body := &forward.Body{Inline: []byte{}, IsInline: true, Abort: func() {}}
		result <- m.runRequest(context.Background(), head, &localExchange{Sink: nullSink{}, body: body})
	}()
	require.Eventually(t, func() bool { _, unfinished := m.Load(); return unfinished == 1 }, time.Second, time.Millisecond)
	time.Sleep(50 * time.Millisecond) // it waits for the grant
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	drained := m.Drain(ctx)
	sentBefore := target.requests.Load()
	m.mu.Lock()
	h := m.holdingOf(7)
	h.granted, h.grantedUntil = true, boottime.Now().Add(time.Second)
	m.notify()
	m.mu.Unlock()
	t.Logf("the request ended with %v", <-result)
	require.False(t, drained && target.requests.Load() > sentBefore, "the request was sent after Drain had reported that all have ended")
}

// TestLeaveWithoutReceivers guards against a stop that takes its keys for transferred while it has them all, since no
// other member accepts keys at the moment, as when daemons are stopped in turn: stop does not try again.
func TestLeaveWithoutReceivers(t *testing.T) {
	m := newDividedMesh(t, answeringTarget{}, directory.Assignment{Last: directory.MaxKey, Fence: 1})
	now := boottime.Now()
	m.store = &countingStore{version: m.dir.Version()}
	m.leases.RecordStoreRead(now, 0)
	m.storeOK, m.target.Ready = true, true
	ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
	defer cancel()
	complete := m.Leave(ctx)
	require.NotEmpty(t, m.dir.OwnedBy(self))
	require.False(t, complete, "all keys are still here")
}

// TestStoppingOwnerWithoutReceiversIsNotAwaited guards against requests that wait for another owner of their key although
// no other member can get it: the store is reachable, and the stopping daemon is the only member of its service.
func TestStoppingOwnerWithoutReceiversIsNotAwaited(t *testing.T) {
	m := newDividedMesh(t, answeringTarget{}, directory.Assignment{Last: directory.MaxKey, Fence: 1})
	now := boottime.Now()
	m.leases.RecordStoreRead(now, 0)
	m.storeOK, m.target.Ready = true, true
	m.StopAt(now, now.Add(time.Second))
	c := newStoppingCall(now)
	res := m.sendWithRetries(context.Background(), c)
	require.Equal(t, outcome.Stopping, reasonOf(res))
	require.Equal(t, 1, c.attempts, "took %v", boottime.Now().Sub(now))
}

// newStoppingCall returns a request for the key 7 that may run for 3 s.
func newStoppingCall(now time.Time) *call {
	c := newCallOf("s", true)
	c.req = &Request{ReceivedAt: now, Body: Body{Data: []byte{}}}
	c.route = &routing.Route{LatencyObjective: 400 * time.Millisecond, MaxAttempts: 1}
	c.key, c.head.Key, c.head.Idempotent, c.head.ID, c.head.Method, c.head.Path = 7, "7", true, "r", http.MethodGet, "/"
	c.head.Objective, c.head.Deadline = now.Add(400*time.Millisecond), now.Add(3*time.Second)
	c.sink = nullSink{}
	return c
}

// TestStoppingDaemonRefusesForNextOwner guards against requests that are rejected since a daemon that stops takes itself
// for the owner of keys that it has transferred, or is transferring.
func TestStoppingDaemonRefusesForNextOwner(t *testing.T) {
	now := boottime.Now()
	for _, row := range []struct {
		name string
		key  uint16
		want outcome.Reason
	}{
		{"own key", 7, outcome.Stopping},
		{"key is being transferred", 150, outcome.NotOwner},
		{"key of another member", 250, outcome.NotOwner},
	} {
		t.Run(row.name, func(t *testing.T) {
			m := newDividedMesh(t, answeringTarget{}, directory.Assignment{Last: 99, Fence: 1}, directory.Assignment{First: 100, Last: 199, Fence: 1})
			m.leases.RecordStoreRead(now, 0)
			m.target.Ready = true
			m.holdingOf(150).closing = true
			m.StopAt(now, now.Add(time.Second))
			head := &request.Head{Service: "s", Key: strconv.Itoa(int(row.key)), Objective: now.Add(time.Minute), Deadline: now.Add(time.Minute)}
			body := &forward.Body{Inline: []byte{}, IsInline: true, Abort: func() {}}
			res := m.runRequest(context.Background(), head, &localExchange{Sink: nullSink{}, body: body})
			require.Equal(t, row.want, reasonOf(res))
		})
	}
}

// TestCallAwaitsNextOwnerOfStoppingDaemon guards against calls that are rejected while their key is about to get another
// owner, so that the work of their parents is lost: the store is away for a moment when the daemon is stopped. Requests of
// callers may be told to return instead.
func TestCallAwaitsNextOwnerOfStoppingDaemon(t *testing.T) {
	m := newDividedMesh(t, answeringTarget{}, directory.Assignment{Last: directory.MaxKey, Fence: 1})
	m.peerNotices = newNoticeTable()
	m.pool = peer.NewPool("self", netip.MustParseAddr("127.0.0.1"), hclog.NewNullLogger())
	defer func() { require.NoError(t, m.pool.Close()) }()
	var served atomic.Int32
	next := listen(t, resultPeer{result: outcome.Answered{Status: http.StatusOK}, requests: &served})
	now := boottime.Now()
	m.addMembers(now, zoneMember{next, "s", ""})
	m.leases.RecordStoreRead(now, 0)
	m.storeOK, m.target.Ready = false, true
	m.StopAt(now, now.Add(2*time.Second))
	go func() {
		time.Sleep(100 * time.Millisecond)
		m.mu.Lock()
		defer m.mu.Unlock()
		m.storeOK = true
		entries := m.dir.Move(m.dir.AssignmentOf("s", 7), []directory.Transfer{{Last: directory.MaxKey, To: next}})
		m.apply(boottime.Now(), directory.Update{Base: m.dir.Version(), End: m.dir.Version() + uint64(len(entries)), Entries: entries})
	}()
	c := newStoppingCall(now)
	c.parent, c.answer = &run{head: &request.Head{ID: "p"}}, &statusSink{Sink: c.sink}
	require.Equal(t, outcome.Answered{}, m.sendWithRetries(context.Background(), c)) // the status goes to the sink
}

// TestStoreIsAskedAgainAfterRejectedTransfer guards against a stop that does not transfer its keys because the store has
// rejected a single change, as it does when more calls are made than it allows: whether the store answers again has to be
// known well before Leave ends 3 s after the signal.
func TestStoreIsAskedAgainAfterRejectedTransfer(t *testing.T) {
	m := newDividedMesh(t, answeringTarget{}, directory.Assignment{Last: directory.MaxKey, Fence: 1})
	now := boottime.Now()
	m.store = &countingStore{version: m.dir.Version()}
	me := *m.dir.Member(self)
	addrs := testAddrs(4)
	me.Guardians = addrs[2:4]
	m.apply(now, directory.Update{Base: m.dir.Version(), End: m.dir.Version() + 1, Entries: []directory.Entry{me.PutEntry()}})
	task := maintenance{mesh: m, started: now}
	m.leases.RecordStoreRead(now, 0)
	m.storeOK, m.leaving = true, true
	m.recordStoreResult(errRejected)
	require.False(t, m.storeOK)
	for _, g := range me.Guardians { // the guardians renew the lease
		m.leases.RecordGrant(now.Add(900*time.Millisecond), now.Add(900*time.Millisecond), g)
	}
	require.True(t, task.readDue(now.Add(time.Second)), "the next call to the store is after %v", readInterval)
}
