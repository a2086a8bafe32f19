package mesh

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"siskinknot/core/outcome"
	"siskinknot/core/request"
	"siskinknot/core/routing"
	"siskinknot/core/scheduling"
	"siskinknot/io/boottime"
	"siskinknot/io/forward"
	"siskinknot/io/targetconn"
)

const (
	coldPerSecond = 17
	coldTime      = 20 * time.Second
)

// countingTarget is a target that records when requests arrive, and answers health checks as set.
type countingTarget struct {
	Target
	mu      sync.Mutex
	arrived []time.Time
	// result is the result of requests; nil for an answer.
	result outcome.Result
	// health is the response to health checks, and healthErr their error. checkedAt is when they
	// arrived.
	health    TargetHealth
	healthErr error
	checkedAt []time.Time
}

// Send implements Target.
func (c *countingTarget) Send(context.Context, *request.Head, io.Reader, string) (*targetconn.Response, *request.TargetNotice, outcome.Result) {
	c.mu.Lock()
	c.arrived = append(c.arrived, boottime.Now())
	result := c.result
	c.mu.Unlock()
	if result != nil {
		return nil, nil, result
	}
	time.Sleep(10 * time.Millisecond)
	return &targetconn.Response{Status: http.StatusOK, Body: io.NopCloser(strings.NewReader(""))}, nil, nil
}

// RefusesConnections implements Target.
func (c *countingTarget) RefusesConnections(context.Context) bool { return false }

// HealthCheck implements Target.
func (c *countingTarget) HealthCheck(context.Context, string) (TargetHealth, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.checkedAt = append(c.checkedAt, boottime.Now())
	return c.health, c.healthErr
}

// mostPerSecond returns the largest number of requests that arrived in a second that ends at or
// after from.
func (c *countingTarget) mostPerSecond(from time.Time) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	most, first := 0, 0
	for i, at := range c.arrived {
		for at.Sub(c.arrived[first]) >= time.Second {
			first++
		}
		if !at.Before(from) {
			most = max(most, i-first+1)
		}
	}
	return most
}

// arrivedSince returns the number of requests that have arrived since from.
func (c *countingTarget) arrivedSince(from time.Time) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, at := range c.arrived {
		if !at.Before(from) {
			n++
		}
	}
	return n
}

// checks returns the number of health checks.
func (c *countingTarget) checks() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.checkedAt)
}

// newColdMesh returns a mesh beside target, which has 8 slots and does not divide its keys, with
// the given rate of cold targets. Its process started ten seconds ago.
func newColdMesh(t *testing.T, target Target, perSecond float64) *Mesh {
	t.Helper()
	m := newTestMesh()
	m.targetClient, m.loaded = target, true
	table, err := routing.New(1, nil, []routing.Service{{Name: "s", HealthPath: "/health", ColdStart: coldTime, ColdRate: perSecond}}, routing.Limits{})
	require.NoError(t, err)
	m.rate = newTargetRate(boottime.Now().Add(-10*time.Second), m.scheduler, m.metrics, m.log)
	m.Configure(table, nil)
	m.tomb.Go(m.runColdStart)
	t.Cleanup(func() { require.NoError(t, m.Close()) })
	return m
}

// heartbeat passes a heartbeat of the target's process born to m.
func (m *Mesh) heartbeat(born int64, coldFor time.Duration) {
	m.TargetHeartbeat(boottime.Now(), TargetState{Instance: fmt.Sprintf("i-%d", born), Born: born, Slots: 8, Ready: true, ColdFor: coldFor})
}

// callerResults counts the results that callers got.
type callerResults struct {
	mu                sync.Mutex
	answered, refused int
	// earliestRetry is the shortest delay before a retry that a rejection named.
	earliestRetry time.Duration
}

// load sends perSecond requests per second to m until ctx ends, and waits for their ends. Their
// objective is 300 ms.
func (m *Mesh) load(ctx context.Context, t *testing.T, perSecond int) *callerResults {
	res := &callerResults{earliestRetry: time.Hour}
	var callers sync.WaitGroup
	for i := 0; ctx.Err() == nil; i++ {
		callers.Go(func() {
			startedAt := boottime.Now()
			head := &request.Head{
				ID: fmt.Sprintf("r-%d", i), Service: "s", Route: "lookup", Priority: 1, Class: request.Lookup, Method: http.MethodGet, Path: "/",
				Objective: startedAt.Add(300 * time.Millisecond), Deadline: startedAt.Add(time.Second),
			}
			body := &forward.Body{Inline: []byte{}, IsInline: true, Abort: func() {}}
			result := m.runRequest(context.Background(), head, &localExchange{Sink: nullSink{}, body: body})
			res.mu.Lock()
			defer res.mu.Unlock()
			switch result := result.(type) {
			case outcome.Answered:
				res.answered++
			case outcome.NotRun:
				res.refused++
				if !assertOverloaded(t, result) {
					return
				}
				res.earliestRetry = min(res.earliestRetry, result.RetryAfter)
			case outcome.Unknown:
				t.Errorf("unexpected result %+v", result)
			}
		})
		time.Sleep(time.Second / time.Duration(perSecond))
	}
	callers.Wait()
	return res
}

// assertOverloaded reports whether res is a rejection because of the load, and fails the test if not.
func assertOverloaded(t *testing.T, res outcome.NotRun) bool {
	if res.Reason != outcome.Overloaded {
		t.Errorf("unexpected reason %q", res.Reason)
	}
	return res.Reason == outcome.Overloaded
}

// TestColdTargetIsFlooded guards against a target that gets more requests in a second than it sustains while it is cold:
// after a restart under load, when it becomes cold while it serves, and when an evacuation has ended and its state is
// not known.
func TestColdTargetIsFlooded(t *testing.T) {
	for _, row := range []struct {
		name     string
		health   TargetHealth
		err      error
		becomes  func(m *Mesh)
		checksOf func(checks int) bool
	}{
		{
			"restarts",
			TargetHealth{Status: http.StatusOK},
			nil,
			func(m *Mesh) { m.heartbeat(2, coldTime) },
			func(checks int) bool { return checks == 0 },
		},
		{
			"restarts and does not report its state",
			TargetHealth{},
			errors.New("no answer"),
			func(m *Mesh) {
				m.TargetHeartbeat(boottime.Now(), TargetState{Instance: "i-2", Born: 2, Slots: 8, Ready: true, ColdUnknown: true})
			},
			func(checks int) bool { return 2 <= checks && checks <= 5 },
		},
		{
			"becomes cold while it serves",
			TargetHealth{Status: http.StatusOK},
			nil,
			func(m *Mesh) { m.heartbeat(1, 5*time.Second) },
			func(checks int) bool { return checks == 0 },
		},
		{
			"evacuation ends, no answer to health checks",
			TargetHealth{},
			errors.New("no answer"),
			func(m *Mesh) { m.assumeCold(boottime.Now()) },
			func(checks int) bool { return 2 <= checks && checks <= 5 },
		},
		{
			"evacuation ends, health checks are rejected",
			TargetHealth{Status: http.StatusServiceUnavailable, ColdKnown: true},
			nil,
			func(m *Mesh) { m.assumeCold(boottime.Now()) },
			func(checks int) bool { return 2 <= checks && checks <= 5 },
		},
		{
			"evacuation ends, health check of another process",
			TargetHealth{Status: http.StatusOK, Instance: "i-7", ColdKnown: true},
			nil,
			func(m *Mesh) { m.assumeCold(boottime.Now()) },
			func(checks int) bool { return 2 <= checks && checks <= 5 },
		},
		{
			"evacuation ends, target is cold",
			TargetHealth{Status: http.StatusOK, Instance: "i-1", ColdKnown: true, ColdFor: 5 * time.Second},
			nil,
			func(m *Mesh) {
				m.mu.Lock()
				defer m.mu.Unlock()
				m.assumeCold(boottime.Now()) // its caller may hold the mutex
			},
			func(checks int) bool { return checks == 1 },
		},
		{
			"target was down",
			TargetHealth{},
			errors.New("no answer"),
			func(m *Mesh) {
				m.markTargetDown(process{"i-1", 1})
				m.heartbeat(1, 0)
			},
			func(checks int) bool { return 2 <= checks && checks <= 5 },
		},
	} {
		t.Run(row.name, func(t *testing.T) {
			t.Parallel()
			target := &countingTarget{health: row.health, healthErr: row.err}
			m := newColdMesh(t, target, coldPerSecond)
			m.heartbeat(1, 0)
			ctx, cancel := context.WithCancel(context.Background())
			var res *callerResults
			var load sync.WaitGroup
			load.Go(func() { res = m.load(ctx, t, 100) })
			isWarm := func() bool { return target.mostPerSecond(time.Time{}) > coldPerSecond+10 }
			require.Eventually(t, isWarm, 10*time.Second, time.Millisecond, "it is not limited while it is warm")
			require.Zero(t, target.checks())
			row.becomes(m)
			coldFrom := boottime.Now().Add(50 * time.Millisecond) // for requests on their way
			time.Sleep(2800 * time.Millisecond)
			m.mu.Lock()
			report := m.ownLoad(boottime.Now())
			m.mu.Unlock()
			cancel()
			load.Wait()
			// Requests are counted when they are sent, and arrive a little later.
			require.LessOrEqual(t, target.mostPerSecond(coldFrom), coldPerSecond+1)
			require.GreaterOrEqual(t, target.arrivedSince(coldFrom), 12, "the limit is used")
			require.LessOrEqual(t, target.arrivedSince(coldFrom), 3*coldPerSecond)
			require.Positive(t, res.refused)
			require.GreaterOrEqual(t, res.earliestRetry, 40*time.Millisecond, "callers are told when there is room")
			require.True(t, row.checksOf(target.checks()), "%d health checks", target.checks())
			require.True(t, report.Cold)
			require.Positive(t, report.ColdMs)
			require.EqualValues(t, coldPerSecond, report.MaxRate)
		})
	}
}

// TestLimitOutlivesColdState guards against a limit that stays in force when the target is no longer cold.
func TestLimitOutlivesColdState(t *testing.T) {
	for _, row := range []struct {
		name string
		ends func(m *Mesh, target *countingTarget)
	}{
		{"heartbeat", func(m *Mesh, _ *countingTarget) { m.heartbeat(2, 0) }},
		{"health check after an evacuation", func(m *Mesh, target *countingTarget) {
			target.mu.Lock()
			target.health, target.healthErr = TargetHealth{Status: http.StatusOK, ColdKnown: true}, nil
			target.mu.Unlock()
			m.heartbeat(2, 0)
			m.assumeCold(boottime.Now())
		}},
		{"health check after a start without a report", func(m *Mesh, target *countingTarget) {
			target.mu.Lock()
			target.health, target.healthErr = TargetHealth{Status: http.StatusOK, Instance: "i-3", ColdKnown: true}, nil
			target.mu.Unlock()
			m.TargetHeartbeat(boottime.Now(), TargetState{Instance: "i-3", Born: 3, Slots: 8, Ready: true, ColdUnknown: true})
		}},
		{"time", func(*Mesh, *countingTarget) { time.Sleep(1200 * time.Millisecond) }},
	} {
		t.Run(row.name, func(t *testing.T) {
			t.Parallel()
			target := &countingTarget{healthErr: errors.New("no answer")}
			m := newColdMesh(t, target, coldPerSecond)
			m.heartbeat(1, 0)
			m.heartbeat(2, time.Second)
			ctx, cancel := context.WithCancel(context.Background())
			var load sync.WaitGroup
			load.Go(func() { m.load(ctx, t, 100) })
			row.ends(m, target)
			isWarm := func() bool { return target.mostPerSecond(time.Time{}) > coldPerSecond+10 }
			require.Eventually(t, isWarm, 10*time.Second, time.Millisecond)
			cancel()
			load.Wait()
			require.LessOrEqual(t, target.checks(), 1)
			m.mu.Lock()
			defer m.mu.Unlock()
			report := m.ownLoad(boottime.Now())
			require.False(t, report.Cold)
			require.Zero(t, report.ColdMs)
			require.Zero(t, report.MaxRate)
		})
	}
}

// TestDeploymentWithoutColdRateIsLimited guards against an effect on deployments that configure no rate.
func TestDeploymentWithoutColdRateIsLimited(t *testing.T) {
	target := &countingTarget{healthErr: errors.New("no answer")}
	m := newColdMesh(t, target, 0)
	m.heartbeat(1, coldTime)
	m.assumeCold(boottime.Now())
	ctx, cancel := context.WithTimeout(context.Background(), 600*time.Millisecond)
	defer cancel()
	res := m.load(ctx, t, 100)
	require.Zero(t, res.refused)
	require.Zero(t, target.checks())
	m.mu.Lock()
	defer m.mu.Unlock()
	report := m.ownLoad(boottime.Now())
	require.True(t, report.Cold, "as the heartbeat says")
	require.Zero(t, report.ColdMs)
	require.Zero(t, report.MaxRate)
}

// TestDeclinedRequestsCount guards against requests that the target did not take, because they were meant for another
// process or owner or did not reach it, that count for the limit.
func TestDeclinedRequestsCount(t *testing.T) {
	for _, row := range []struct {
		reason outcome.Reason
		counts bool
	}{
		{outcome.Fenced, false},
		{outcome.Cancelled, false},
		{outcome.Shed, true},
		{outcome.Malformed, true},
	} {
		t.Run(string(row.reason), func(t *testing.T) {
			target := &countingTarget{result: outcome.NotRun{Reason: row.reason}}
			m := newColdMesh(t, target, coldPerSecond)
			m.heartbeat(1, 0)
			for i := range 3 * coldPerSecond {
				now := boottime.Now()
				head := &request.Head{ID: fmt.Sprint(i), Service: "s", Route: "lookup", Objective: now.Add(time.Second), Deadline: now.Add(time.Second)}
				m.runRequest(context.Background(), head, &localExchange{Sink: nullSink{}, body: &forward.Body{IsInline: true, Abort: func() {}}})
			}
			m.heartbeat(1, 5*time.Second)
			require.Equal(t, row.counts, m.rate.limiter.Wait(boottime.Now()) > 0)
		})
	}
}

// TestLowerLimitIsInForce checks which of the limit that a target names and that of a cold target is in force.
func TestLowerLimitIsInForce(t *testing.T) {
	m := newColdMesh(t, &countingTarget{}, coldPerSecond)
	notice := func(limit float64) *request.TargetNotice {
		return &request.TargetNotice{Instance: "i-1", Limited: true, Limit: limit}
	}
	now := boottime.Now()
	rate := func() float64 { return m.scheduler.Load().MaxRate }
	m.heartbeat(1, 0)
	m.recordNotice(now, notice(30))
	require.EqualValues(t, 30, rate())
	m.heartbeat(1, 5*time.Second)
	require.EqualValues(t, coldPerSecond, rate())
	m.recordNotice(now, notice(5))
	require.EqualValues(t, 5, rate())
	m.recordNotice(now, notice(40))
	require.EqualValues(t, coldPerSecond, rate())
	m.heartbeat(1, 0)
	require.EqualValues(t, 40, rate())
	m.heartbeat(1, 5*time.Second)
	m.recordNotice(now.Add(time.Second), &request.TargetNotice{Instance: "i-1"})
	require.EqualValues(t, coldPerSecond, rate())
	m.heartbeat(1, 0)
	require.Zero(t, rate())
}

// TestInvalidColdTimeIsLogged guards against a missing line about a heartbeat without a valid cold time, against one for
// each heartbeat, and against one where no rate is configured.
func TestInvalidColdTimeIsLogged(t *testing.T) {
	const line = "target states no valid cold time"
	var logged bytes.Buffer
	log := hclog.New(&hclog.LoggerOptions{Output: &logged})
	now := time.Unix(1000, 0)
	r := newTargetRate(now, scheduling.New(1), newMetrics(tally.NoopScope), log)
	r.configure(now, routing.Service{})
	r.observeHeartbeat(now, &TargetState{Instance: "i-1", ColdUnknown: true}, true, false)
	require.NotContains(t, logged.String(), line)
	r.configure(now, routing.Service{ColdRate: coldPerSecond, ColdStart: coldTime})
	require.Equal(t, 1, strings.Count(logged.String(), line))
	r.observeHeartbeat(now, &TargetState{Instance: "i-1", ColdUnknown: true}, false, false)
	r.observeHeartbeat(now, &TargetState{Instance: "i-2"}, true, false)
	require.Equal(t, 1, strings.Count(logged.String(), line))
	r.observeHeartbeat(now, &TargetState{Instance: "i-3", ColdBounded: true}, true, false)
	require.Equal(t, 2, strings.Count(logged.String(), line))
}
