package mesh

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"siskinknot/core/directory"
	"siskinknot/core/routing"
	"siskinknot/core/tenure"
	"siskinknot/io/boottime"
	"siskinknot/io/targetconn"
)

// parallelTarget is a target whose calls take callTime, and which counts those in progress.
type parallelTarget struct {
	Target
	callTime time.Duration

	mu                 sync.Mutex
	calls, most, ended int
}

// call is one call to the target.
func (c *parallelTarget) call() {
	c.mu.Lock()
	c.calls++
	c.most = max(c.most, c.calls)
	c.mu.Unlock()
	time.Sleep(c.callTime)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls--
	c.ended++
}

// Grant implements Target.
func (c *parallelTarget) Grant(_ context.Context, _ string, _ directory.Assignment, hold func() time.Duration) (GrantResult, targetconn.Timing) {
	c.call()
	if hold() == 0 {
		return GrantNotSent, targetconn.Timing{}
	}
	return GrantApplied, targetconn.Timing{WrittenAt: boottime.Now()}
}

// Release implements Target.
func (c *parallelTarget) Release(context.Context, directory.Assignment) (string, error) {
	c.call()
	return "", nil
}

// newMeshWithRanges returns a Mesh that owns the given number of ranges, none of which is
// granted, at a target that accepts maxConnections connections.
func newMeshWithRanges(t *testing.T, target Target, ranges, maxConnections int) *Mesh {
	t.Helper()
	var owned []directory.Assignment
	for i := range ranges {
		owned = append(owned, directory.Assignment{First: uint16(2 * i), Last: uint16(2 * i), Fence: 1})
	}
	m := newDividedMesh(t, target, owned...)
	var err error
	m.table, err = routing.New(1, nil, []routing.Service{{Name: "s", Divided: true, MaxConnections: maxConnections}}, routing.Limits{})
	require.NoError(t, err)
	me := *m.dir.Member(self)
	me.Instance = "i"
	m.apply(boottime.Now(), directory.Update{Base: m.dir.Version(), End: m.dir.Version() + 1, Entries: []directory.Entry{me.PutEntry()}})
	m.leases.RecordStoreRead(boottime.Now(), 0)
	return m
}

// TestGrantsTakeAllConnections guards against a member with more ranges than its target accepts connections, whose requests get none after a start.
func TestGrantsTakeAllConnections(t *testing.T) {
	const maxConnections = 73
	for _, row := range []struct {
		name   string
		ranges int
		most   int
	}{
		{"fewer ranges than connections for grants", 5, 5},
		{"more ranges than connections", 200, maxConnections / 4},
	} {
		t.Run(row.name, func(t *testing.T) {
			target := &parallelTarget{callTime: 5 * time.Millisecond}
			m := newMeshWithRanges(t, target, row.ranges, maxConnections)
			m.startDueGrants(boottime.Now())
			require.Eventually(t, func() bool {
				target.mu.Lock()
				defer target.mu.Unlock()
				return target.ended >= row.ranges
			}, tenure.MinLease, time.Millisecond)
			require.LessOrEqual(t, target.most, row.most)
		})
	}
}

// TestGrantsAreRenewedInTurn guards against ranges whose grants lapse while those of others are tried again.
func TestGrantsAreRenewedInTurn(t *testing.T) {
	m := newMeshWithRanges(t, &parallelTarget{}, 4, 73)
	now := boottime.Now()
	for i, h := range m.holdings {
		h.grantTriedAt = now.Add(-time.Duration(i) * time.Second)
	}
	due := m.dueGrants(now)
	require.Len(t, due, 4)
	require.Equal(t, uint16(6), due[0].First)
	require.Equal(t, uint16(0), due[3].First)
}

// TestReleasesTakeAllConnections guards against a member that releases more ranges at once than its target accepts connections.
func TestReleasesTakeAllConnections(t *testing.T) {
	target := &parallelTarget{callTime: 5 * time.Millisecond}
	m := newMeshWithRanges(t, target, 200, 73)
	m.releases.setLimit(m.connBudget().Releases)
	var calls sync.WaitGroup
	for _, h := range m.holdings {
		h.unanswered = true
		calls.Go(func() { m.release(context.Background(), h) })
	}
	calls.Wait()
	require.Equal(t, 200, target.ended)
	require.LessOrEqual(t, target.most, 73/6)
}

// TestReleaseWaitsForOthers guards against a release that waits beyond its time limit, or takes a place that it does not use.
func TestReleaseWaitsForOthers(t *testing.T) {
	l := newCallLimiter(1)
	require.NoError(t, l.begin(context.Background()))
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Millisecond)
	defer cancel()
	require.ErrorIs(t, l.begin(ctx), context.DeadlineExceeded)
	l.end()
	require.NoError(t, l.begin(context.Background()))
	l.setLimit(2)
	require.NoError(t, l.begin(context.Background()))
}

// TestRequestsExceedConnections guards against requests in slots for which the target accepts no connection.
func TestRequestsExceedConnections(t *testing.T) {
	for _, row := range []struct {
		name                        string
		slots, maxConnections, want int
	}{
		{"enough connections", 9, 73, 9},
		{"few connections", 9, 8, 3},
		{"no limit stated", 9, 0, 9},
	} {
		t.Run(row.name, func(t *testing.T) {
			m := newMeshWithRanges(t, &parallelTarget{}, 1, row.maxConnections)
			require.Equal(t, row.want, m.usableSlots(row.slots))
		})
	}
}

// resettingTarget is a target that resets each connection.
type resettingTarget struct {
	Target
	calls atomic.Int64
}

// Grant implements Target.
func (r *resettingTarget) Grant(context.Context, string, directory.Assignment, func() time.Duration) (GrantResult, targetconn.Timing) {
	r.calls.Add(1)
	return GrantNotSent, targetconn.Timing{}
}

// TestFailedGrantsAreRepeatedAtOnce guards against a daemon that spends its processor time on grants which its target does not take.
func TestFailedGrantsAreRepeatedAtOnce(t *testing.T) {
	const ranges, intervals = 10, 4
	target := &resettingTarget{}
	m := newMeshWithRanges(t, target, ranges, 73)
	for range intervals {
		m.startDueGrants(boottime.Now())
		time.Sleep(grantInterval)
	}
	require.LessOrEqual(t, target.calls.Load(), int64(ranges*(intervals+1)))
}
