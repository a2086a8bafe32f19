package mesh

import (
	"context"
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"siskinknot/core/directory"
	"siskinknot/core/outcome"
	"siskinknot/core/request"
	"siskinknot/core/routing"
	"siskinknot/io/boottime"
	"siskinknot/io/forward"
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
			m.StopAt(now, now.Add(time.Second))
			c := newCallOf("s", true)
			c.req = &Request{ReceivedAt: now, Body: Body{Data: []byte{}}}
			c.route = &routing.Route{LatencyObjective: 200 * time.Millisecond, MaxAttempts: 1}
			c.head.Key, c.head.Idempotent = "7", true
			c.head.Objective, c.head.Deadline = now.Add(200*time.Millisecond), now.Add(3*time.Second)
			c.sink = nullSink{}
			res, ok := m.sendWithRetries(context.Background(), c).(outcome.NotRun)
			require.True(t, ok)
			require.Equal(t, outcome.Stopping, res.Reason)
			require.Equal(t, row.attempts, c.attempts > 1)
			if !row.storeOK {
				require.InDelta(t, time.Second, res.RetryAfter, float64(100*time.Millisecond))
			}
		})
	}
}

// silentStore is a Store whose calls get no answer.
type silentStore struct{ Store }

// Append implements Store.
func (silentStore) Append(ctx context.Context, _ directory.Update) (uint64, error) {
	<-ctx.Done()
	return 0, ctx.Err()
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
