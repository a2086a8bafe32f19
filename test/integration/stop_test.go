package integration

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"siskinknot/core/outcome"
	"siskinknot/core/request"
	"siskinknot/io/caller"
	"siskinknot/io/target"
	"siskinknot/standin/load"
	"siskinknot/standin/logservice"
	"siskinknot/standin/processes"
	"siskinknot/standin/targetserver"
)

// shutdownLimit is the shutdown limit of a daemon that the tests of this file stop.
const shutdownLimit = 4 * time.Second

// startWithoutLog starts a fleet whose log is down, so that a daemon that stops cannot transfer its keys. It returns a
// daemon, its key, and another daemon.
func startWithoutLog(t *testing.T, tree string) (fleet *processes.Fleet, stopping, other *processes.Server, key string) {
	t.Helper()
	fleet = start(t, processes.Options{
		Servers:     specs(4, 0, "-check_grants"),
		Settings:    json.RawMessage(tree),
		ExtraConfig: map[string]any{"shutdown_limit_ms": shutdownLimit.Milliseconds()},
	})
	stopping, other = fleet.Servers[0], fleet.Servers[1]
	key = keyOwnedBy(t, fleet, stopping)
	r := &testRun{t: t, fleet: fleet}
	r.setLogFaults(logservice.Faults{Down: true})
	letRequestsRun()
	return fleet, stopping, other, key
}

// upload stores a body at key, with the given service time, and returns the result. The request is idempotent, so that
// it is sent again if the session with the stopping daemon ends before the refusal arrives.
func upload(t *testing.T, from *load.Caller, ingress *processes.Server, key, id string, work, deadline time.Duration) load.Result {
	t.Helper()
	return from.Do(t.Context(), load.Request{
		Method: http.MethodPut, URL: ingress.URL(fmt.Sprintf("/registry/%s?work_ms=%d", key, work.Milliseconds())), ID: id,
		Class: request.Write, Idempotent: true, Deadline: deadline, Body: []byte(id),
	})
}

// runsByID returns the number of runs of each request.
func runsByID(t *testing.T, fleet *processes.Fleet) map[string]int {
	t.Helper()
	runs, err := targetserver.Runs(fleet.Dir)
	if err != nil {
		t.Fatal(err)
	}
	counts := map[string]int{}
	for _, run := range runs {
		counts[run.ID]++
	}
	return counts
}

// TestRequestOutlivesStoppingDaemon guards against a request that a daemon takes after SIGTERM and cuts off at its target when its process ends.
func TestRequestOutlivesStoppingDaemon(t *testing.T) {
	const (
		sendAfter = time.Second
		perRow    = 2
		// tooLong is a service time that ends after the daemon, and lateDeadline a deadline after that. The lease
		// of the daemon lasts longer, so that no other daemon runs the request before the deadline.
		tooLong      = 3050 * time.Millisecond
		lateDeadline = 3100 * time.Millisecond
	)
	fleet, stopping, other, key := startWithoutLog(t, testTree)
	rows := []struct {
		name           string
		ingress        *processes.Server
		work, deadline time.Duration
		want           load.End
	}{
		{"forwarded, longer than the daemon runs", other, tooLong, lateDeadline, load.NotRun},
		{"forwarded, long enough for the next owner", other, tooLong, 10 * time.Second, load.Answered},
		{"forwarded, ends in time", other, 500 * time.Millisecond, 1500 * time.Millisecond, load.Answered},
		{"own caller, longer than the daemon runs", stopping, tooLong, 10 * time.Second, load.NotRun},
		{"own caller, ends in time", stopping, 500 * time.Millisecond, 1500 * time.Millisecond, load.Answered},
	}
	results := make([][perRow]load.Result, len(rows))
	stopping.Daemon.Signal(syscall.SIGTERM)
	time.Sleep(sendAfter)
	var sending sync.WaitGroup
	for i, row := range rows {
		for n := range perRow {
			sending.Go(func() {
				results[i][n] = upload(t, load.NewCaller(row.name), row.ingress, key, fmt.Sprint(i, "-", n), row.work, row.deadline)
			})
		}
	}
	sending.Wait()
	runs := runsByID(t, fleet)
	for i, row := range rows {
		for n, res := range results[i] {
			wantRuns := 0
			if row.want == load.Answered {
				wantRuns = 1
			}
			if got := runs[fmt.Sprint(i, "-", n)]; res.End != row.want || got != wantRuns {
				t.Errorf("%s: %s (%d %s) after %v, %d runs, want %s and %d", row.name, res.End, res.Status, res.Reason, res.Took, got, row.want, wantRuns)
			}
		}
	}
}

// TestShortRequestsCutAtEndOfStop guards against short requests that arrive until the process ends and are cut off with the connections.
func TestShortRequestsCutAtEndOfStop(t *testing.T) {
	const (
		callers    = 8
		work       = 20 * time.Millisecond
		deadline   = 500 * time.Millisecond
		retryAfter = time.Millisecond
	)
	fleet, stopping, other, key := startWithoutLog(t, testTree)
	stopping.Daemon.Signal(syscall.SIGTERM)
	var sending sync.WaitGroup
	var gone atomic.Bool
	var mu sync.Mutex
	unknown := map[string]string{}
	counts := map[load.End]int{}
	for _, ingress := range []*processes.Server{stopping, other} {
		for i := range callers {
			sending.Go(func() {
				from := load.NewCaller(fmt.Sprint("caller-", i))
				for n := 0; !gone.Load(); n++ {
					id := fmt.Sprintf("%s-%d-%d", ingress.Spec.Name, i, n)
					res := upload(t, from, ingress, key, id, work, deadline)
					if res.End != load.Answered {
						time.Sleep(retryAfter)
					}
					mu.Lock()
					counts[res.End]++
					if res.End == load.Unknown {
						unknown[id] = fmt.Sprintf("%d %s after %v", res.Status, res.Reason, res.Took)
					}
					mu.Unlock()
				}
			})
		}
	}
	if _, err := stopping.Daemon.Wait(timeoutContext(t)); err != nil {
		t.Error(err)
	}
	gone.Store(true)
	sending.Wait()
	runs := runsByID(t, fleet)
	for id, result := range unknown {
		// A connection that is reset was not accepted before the listener was closed.
		if runs[id] > 0 || strings.Contains(result, "EOF") {
			t.Errorf("request %s ended as unknown (%s), %d runs", id, result, runs[id])
		}
	}
	t.Logf("answered %d, not run %d, unknown %d", counts[load.Answered], counts[load.NotRun], counts[load.Unknown])
	if counts[load.Answered] == 0 {
		t.Error("no request was answered")
	}
}

// TestWaitForLogLeavesNoTimeForAnswers guards against a daemon that waits for the log until its shutdown limit and then drops requests of callers.
func TestWaitForLogLeavesNoTimeForAnswers(t *testing.T) {
	_, stopping, _, key := startWithoutLog(t, testTree)
	conn, err := net.Dial("tcp", stopping.CallerAddr.String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	_, _ = fmt.Fprintf(conn, "PUT /registry/%s HTTP/1.1\r\nHost: stopping\r\nContent-Length: 1\r\n%s: 20000\r\n\r\n", key, target.HeaderDeadline)
	letRequestsRun()
	stopping.Daemon.Signal(syscall.SIGTERM)
	err = processes.WaitFor(timeoutContext(t), func() string {
		probe, err := net.Dial("tcp", stopping.CallerAddr.String())
		if err != nil {
			return ""
		}
		_ = probe.Close()
		return "the daemon accepts connections"
	})
	if err != nil {
		t.Fatal(err)
	}
	_, _ = conn.Write([]byte("x")) // the rest of the body
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatalf("the request got no answer: %v", err)
	}
	defer func() { _ = resp.Body.Close() }()
	if reason := resp.Header.Get(caller.HeaderReason); reason != string(outcome.Stopping) {
		t.Errorf("answer %d %s, want not run because of %s", resp.StatusCode, reason, outcome.Stopping)
	}
}

// TestQueuedRequestOutlivesStoppingDaemon guards against a request that leaves the queue after SIGTERM and is cut off when the process ends.
func TestQueuedRequestOutlivesStoppingDaemon(t *testing.T) {
	const (
		runningWork = 2 * time.Second
		queuedWork  = 3 * time.Second
		deadline    = 20 * time.Second
		// refusalLimit is how long after SIGTERM a queued request may wait for its refusal.
		refusalLimit = time.Second
	)
	fleet, stopping, _, key := startWithoutLog(t,
		`{"services": {"registry": {"kind": "divided", "slots": 16, "values": {"target_checks_grants": true, "target_slots": 1}}}}`)
	var sending sync.WaitGroup
	var running, queued load.Result
	sending.Go(func() { running = upload(t, load.NewCaller("first"), stopping, key, "running", runningWork, deadline) })
	waitInFlight(t, stopping, 1)
	sending.Go(func() { queued = upload(t, load.NewCaller("second"), stopping, key, "queued", queuedWork, deadline) })
	letRequestsRun()
	stopping.Daemon.Signal(syscall.SIGTERM)
	sending.Wait()
	runs := runsByID(t, fleet)
	if running.End != load.Answered {
		t.Errorf("the running request ended as %s (%d %s), want answered", running.End, running.Status, running.Reason)
	}
	if queued.End != load.NotRun || queued.Reason != string(outcome.Stopping) || queued.Took > refusalLimit || runs["queued"] > 0 {
		t.Errorf("the queued request ended as %s (%d %s) after %v, %d runs, want not run because of %s within %v",
			queued.End, queued.Status, queued.Reason, queued.Took, runs["queued"], outcome.Stopping, refusalLimit)
	}
}
