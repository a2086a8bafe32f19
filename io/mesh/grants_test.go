package mesh

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"siskinknot/core/connbudget"
	"siskinknot/core/directory"
	"siskinknot/core/evacuation"
	"siskinknot/core/placement"
	"siskinknot/core/quarantine"
	"siskinknot/core/retry"
	"siskinknot/core/scheduling"
	"siskinknot/core/tenure"
	"siskinknot/io/boottime"
	"siskinknot/io/targetconn"
)

// self is the address of the member under test.
var self = netip.MustParseAddrPort("10.0.0.1:7400")

// newTestMesh returns a Mesh that runs no tasks and is a member with the given
// assignments.
func newTestMesh(assignments ...directory.Assignment) *Mesh {
	m := &Mesh{
		cfg:          Config{Self: self, Service: "s", MaxGrant: 10 * time.Second},
		log:          hclog.NewNullLogger(),
		dir:          directory.New(),
		changes:      directory.NewUpdateBuffer(),
		knownMembers: map[netip.AddrPort]*directory.Member{},
		leases:       tenure.New(self),
		budget:       retry.NewBudget(0),
		redirects:    newRedirects(),
		changed:      make(chan struct{}),
		wake:         make(chan struct{}, 1),
		metrics:      newMetrics(tally.NoopScope),
		keyLoad:      placement.NewLoadHistogram(time.Unix(1000, 0)),
		demand:       placement.NewDemand(),
		reports:      map[netip.AddrPort]loadReport{},

		requestLog: hclog.NewNullLogger(),

		scheduler: scheduling.New(1),
		delivery:  callDelivery{},

		evacuation:  evacuation.NewState(time.Time{}),
		fenceRaises: map[uint16]backoff{},
		releases:    newCallLimiter(connbudget.MaxReleases),
		running:     map[*run]struct{}{},
		attempts:    map[*attempt]struct{}{},
		suspects:    quarantine.NewList(),
	}
	m.rate = newTargetRate(time.Unix(0, 0), m.scheduler, m.metrics, m.log)
	entries := []directory.Entry{directory.Member{Address: self, Service: "s", State: directory.Active}.PutEntry()}
	end := uint64(1 + len(assignments))
	for _, a := range assignments {
		a.Service, a.Owner = "s", self
		entries = append(entries, a.PutEntry())
		end = max(end, a.Fence)
	}
	m.dir.Apply(directory.Update{End: end, Entries: entries})
	m.syncHoldings(time.Unix(1000, 0))
	for _, h := range m.holdings {
		h.unanswered = false // there was no former process
	}
	return m
}

// TestGrantTime checks that no grant outlasts the lease, and that there is none
// without a lease: the remaining time of a lease that never existed overflows a
// duration.
func TestGrantTime(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, row := range []struct {
		name    string
		readAgo time.Duration // time since the store was read; 0 if it was never read
		limit   time.Duration
	}{
		{"never read", 0, 0},
		{"just read", time.Millisecond, tenure.MinLease},
		{"half expired", tenure.MinLease / 2, tenure.MinLease / 2},
		{"expired", 2 * tenure.MinLease, 0},
	} {
		t.Run(row.name, func(t *testing.T) {
			m := newTestMesh()
			if row.readAgo > 0 {
				m.leases.RecordStoreRead(now.Add(-row.readAgo), 0)
			}
			got := m.grantDuration(now)
			require.LessOrEqual(t, time.Duration(float64(got)*1.02), row.limit, "on a clock that is 2% slow")
			require.Equal(t, row.limit > 0, got > 0)
		})
	}
}

// TestHoldingsFollowTheDirectory splits holdings and changes the directory, and
// checks that the holdings and their grants match the directory.
func TestHoldingsFollowTheDirectory(t *testing.T) {
	m := newTestMesh(directory.Assignment{First: 0, Last: 99, Fence: 1}, directory.Assignment{First: 200, Last: 299, Fence: 1})
	whole := m.holdingOf(50)
	whole.granted = true
	part := m.splitAndClose(whole, 40, 59)
	require.Equal(t, []uint16{0, 40, 60, 200}, firstKeys(m))
	require.True(t, part.closing)
	require.True(t, m.holdingOf(10).granted, "the other parts stay granted")

	other := netip.MustParseAddrPort("10.0.0.2:7400")
	entries := m.dir.Move(m.dir.AssignmentOf("s", 40), []directory.Transfer{{First: 40, Last: 59, To: other}})
	m.apply(time.Unix(1000, 0), directory.Update{Base: m.dir.Version(), End: m.dir.Version() + uint64(len(entries)), Entries: entries})
	require.Equal(t, []uint16{0, 60, 200}, firstKeys(m))
	require.Nil(t, m.holdingOf(45))
	require.True(t, m.holdingOf(70).granted)

	entries = []directory.Entry{directory.Assignment{Service: "s", First: 0, Last: 39, Owner: self, Fence: m.dir.NextFence()}.PutEntry()}
	m.apply(time.Unix(1000, 0), directory.Update{Base: m.dir.Version(), End: m.dir.Version() + 1, Entries: entries})
	require.False(t, m.holdingOf(10).granted, "a new fence needs a new grant")
}

// firstKeys returns the first key of each holding.
func firstKeys(m *Mesh) []uint16 {
	var list []uint16
	for _, h := range m.holdings {
		list = append(list, h.First)
	}
	return list
}

// TestRestartedDaemonWaitsForFormerGrants guards against a daemon that has just
// started and transfers a range at once, as it does when it is told to stop: the
// target may still hold the range under a grant of the former process.
func TestRestartedDaemonWaitsForFormerGrants(t *testing.T) {
	m := newTestMesh(directory.Assignment{First: 0, Last: 99, Fence: 1})
	m.startedAt = time.Unix(1000, 0)
	m.holdings = nil
	m.syncHoldings(m.startedAt.Add(100 * time.Millisecond))
	m.target = localTarget{}
	m.log = hclog.NewNullLogger()
	m.TargetHeartbeat(m.startedAt.Add(200*time.Millisecond), TargetState{Instance: "i", Born: 1, Slots: 1, Ready: true})
	require.Len(t, m.holdings, 1)
	until := m.holdings[0].grant.MayHoldUntil
	require.False(t, until.Before(m.startedAt.Add(tenure.MinLease)), "the target may hold the range until %v", until)

	m.TargetHeartbeat(m.startedAt.Add(300*time.Millisecond), TargetState{Instance: "j", Born: 2, Slots: 1, Ready: true})
	require.Zero(t, m.holdings[0].grant.MayHoldUntil, "a new process of the target holds nothing")
}

// TestUnansweredGrantOfSplitRange guards against a range that is transferred before a grant that was sent before it was split has expired.
func TestUnansweredGrantOfSplitRange(t *testing.T) {
	const hold = time.Second
	m := newTestMesh(directory.Assignment{First: 0, Last: 99, Fence: 1})
	whole := m.holdings[0]
	sentAt := boottime.Now()
	whole.grantInFlight, whole.grant.MayHoldUntil = true, sentAt.Add(hold)
	m.apply(time.Unix(1000, 0), directory.Update{Base: m.dir.Version(), End: m.dir.Version() + 1, Entries: []directory.Entry{
		directory.Assignment{Service: "s", First: 0, Last: 49, Owner: self, Fence: 1}.PutEntry(),
	}})
	part := m.holdingOf(10)
	require.True(t, part.grantInFlight)
	m.recordGrantResult(&whole.Assignment, sentAt, hold, GrantUnknown)
	require.False(t, part.grantInFlight)
	require.False(t, part.unansweredUntil.Before(sentAt.Add(hold)))
}

// TestKeysComeBackWithFormerFence guards against keys that another writer gives to a member with a fence that is not above that of their former owner.
func TestKeysComeBackWithFormerFence(t *testing.T) {
	const fence, foreign = 2, 3
	other := testAddrs(3)[2]
	part := directory.Assignment{Service: "s", First: 40, Last: 59}
	owned := func(by netip.AddrPort, fence uint64) directory.Entry {
		a := part
		a.Owner, a.Fence = by, fence
		return a.PutEntry()
	}
	for _, row := range []struct {
		name    string
		changes []directory.Entry
		raised  bool // whether the fence has to be raised before the keys are granted
	}{
		{"transferred away and back", []directory.Entry{owned(other, 10), owned(self, 11)}, false},
		{"a range of another writer is removed", []directory.Entry{owned(other, foreign), part.DeleteEntry()}, true},
		{"a range of another writer has the fence of the former owner", []directory.Entry{owned(other, foreign), owned(self, foreign)}, true},
	} {
		t.Run(row.name, func(t *testing.T) {
			m := newTestMesh(directory.Assignment{First: 0, Last: 99, Fence: fence}, directory.Assignment{First: 200, Last: 299, Fence: 9})
			m.store = &countingStore{version: m.dir.Version()}
			now := time.Unix(1000, 0)
			for _, e := range row.changes {
				require.True(t, m.apply(now, directory.Update{Base: m.dir.Version(), End: m.dir.Version() + 1, Entries: []directory.Entry{e}}))
			}
			require.Equal(t, !row.raised, m.holdingOf(50).mayBeGranted(now, m.dir, true))
			require.Empty(t, m.reusedFences(now), "the target of the other member may hold the keys")
			now = now.Add(tenure.LongestLease)
			require.Equal(t, !row.raised, m.holdingOf(50).mayBeGranted(now, m.dir, true))
			for _, a := range m.reusedFences(now) {
				m.store = &countingStore{version: m.dir.Version()}
				m.raiseFence(a)
			}
			require.Greater(t, m.holdingOf(50).Fence, uint64(foreign))
			require.True(t, m.holdingOf(50).mayBeGranted(now, m.dir, true))
		})
	}
}

// slowTarget is a target whose calls are written only after a pause.
type slowTarget struct {
	Target
	pause func()
	// granted is the duration of the last grant that was written.
	granted time.Duration
}

// Grant implements Target.
func (s *slowTarget) Grant(_ context.Context, _ string, _ directory.Assignment, hold func() time.Duration) (GrantResult, targetconn.Timing) {
	s.pause()
	if s.granted = hold(); s.granted == 0 {
		return GrantNotSent, targetconn.Timing{}
	}
	return GrantApplied, targetconn.Timing{WrittenAt: boottime.Now()}
}

// TestGrantIsWrittenAfterAPause guards against a grant that lasts as long as it could when it was found to be due.
func TestGrantIsWrittenAfterAPause(t *testing.T) {
	const pause = 50 * time.Millisecond
	for _, row := range []struct {
		name      string
		leaseLeft time.Duration
		pause     func(m *Mesh)
		sent      bool
	}{
		{"lease valid", tenure.MinLease, func(*Mesh) { time.Sleep(pause) }, true},
		{"lease too short afterwards", minGrant + pause, func(*Mesh) { time.Sleep(pause) }, false},
		{"range lost", tenure.MinLease, func(m *Mesh) {
			lost := directory.Assignment{Service: "s", First: 0, Last: 99, Owner: testAddrs(3)[2], Fence: m.dir.NextFence()}
			m.apply(boottime.Now(), directory.Update{Base: m.dir.Version(), End: m.dir.Version() + 1, Entries: []directory.Entry{lost.PutEntry()}})
		}, false},
		{"range closing", tenure.MinLease, func(m *Mesh) { m.splitAndClose(m.holdings[0], 40, 59) }, false},
		{"another process of the target", tenure.MinLease, func(m *Mesh) { m.target.Born++ }, false},
		{"target down", tenure.MinLease, func(m *Mesh) { m.target.down = true }, false},
		{"target replaced", tenure.MinLease, func(m *Mesh) { m.target.replaced = true }, false},
	} {
		t.Run(row.name, func(t *testing.T) {
			m := newTestMesh(directory.Assignment{First: 0, Last: 99, Fence: 1})
			expires := boottime.Now().Add(row.leaseLeft)
			m.leases.RecordStoreRead(expires.Add(-tenure.MinLease), 0)
			m.holdings[0].grantInFlight = true
			target := &slowTarget{pause: func() { row.pause(m) }}
			m.targetClient = target
			m.sendGrant(m.holdings[0].Assignment)
			require.Equal(t, row.sent, target.granted > 0)
			require.False(t, boottime.Now().Add(target.granted).After(expires), "the grant outlasts the lease")
			for _, h := range m.holdings {
				require.False(t, h.grantInFlight)
				require.Equal(t, row.sent, h.granted)
			}
		})
	}
}

// TestRangeIsPassedOnBeforeItsGrantsExpire guards against a transfer that forgets a grant which the target may still apply.
func TestRangeIsPassedOnBeforeItsGrantsExpire(t *testing.T) {
	const hold = 200 * time.Millisecond
	for _, row := range []struct {
		name       string
		unanswered int // releases that get no answer
		before     func(m *Mesh, now time.Time)
	}{
		{"expired by the daemon's clock, which includes a pause", 0, func(m *Mesh, now time.Time) {
			m.recordGrant(now.Add(-time.Minute), m.holdings[0], now.Add(-time.Minute), hold, GrantUnknown)
		}},
		{"fence raised", 0, func(m *Mesh, now time.Time) {
			m.recordGrantResult(&m.holdings[0].Assignment, now, hold, GrantUnknown)
			raised := directory.Assignment{Service: "s", First: 0, Last: 99, Owner: self, Fence: m.dir.NextFence()}
			m.apply(now, directory.Update{Base: m.dir.Version(), End: m.dir.Version() + 1, Entries: []directory.Entry{raised.PutEntry()}})
		}},
		{"shorter grant answered, and no answer to the release", 4, func(m *Mesh, now time.Time) {
			m.recordGrantResult(&m.holdings[0].Assignment, now, hold, GrantUnknown)
			m.recordGrantResult(&m.holdings[0].Assignment, now, hold/4, GrantApplied)
		}},
	} {
		t.Run(row.name, func(t *testing.T) {
			target := &releasingTarget{}
			m := newDividedMesh(t, target, directory.Assignment{First: 0, Last: 99, Fence: 1})
			target.reset(row.unanswered)
			now := boottime.Now()
			row.before(m, now)
			mayHoldUntil := m.holdings[0].unansweredUntil
			_, ok := m.release(context.Background(), m.holdings[0])
			require.True(t, ok)
			require.True(t, target.refuses(0, 1))
			require.False(t, boottime.Now().Before(mayHoldUntil))
		})
	}
}

// TestRangeIsPassedOnThatNextProcessHolds guards against keys that are passed on while the next process of the target holds them by a grant for the former one.
func TestRangeIsPassedOnThatNextProcessHolds(t *testing.T) {
	const hold = 200 * time.Millisecond
	for _, row := range []struct {
		name     string
		next     string // the instance of the next process
		released bool
	}{
		{"same instance", "i-1", true},
		{"another instance, which refuses the grants of the former one", "i-2", false},
	} {
		t.Run(row.name, func(t *testing.T) {
			target := &releasingTarget{}
			m := newDividedMesh(t, target, directory.Assignment{First: 0, Last: 99, Fence: 1})
			target.reset(0)
			now := boottime.Now()
			m.target.TargetState = TargetState{Instance: "i-1", Born: 1}
			m.recordGrantResult(&m.holdings[0].Assignment, now, hold, GrantApplied)
			m.TargetHeartbeat(now, TargetState{Instance: row.next, Born: 2, Slots: 1, Ready: true})
			require.False(t, m.holdings[0].granted)
			_, ok := m.release(context.Background(), m.holdings[0])
			require.True(t, ok)
			require.Equal(t, row.released, target.refuses(0, 1))
		})
	}
}

// misdirectedTarget is a target whose current process refuses what is meant for the former one.
type misdirectedTarget struct{ Target }

// Grant implements Target.
func (misdirectedTarget) Grant(_ context.Context, _ string, _ directory.Assignment, hold func() time.Duration) (GrantResult, targetconn.Timing) {
	hold()
	return GrantMisdirected, targetconn.Timing{WrittenAt: boottime.Now()}
}

// TestGrantsGoOnToReplacedTarget guards against grants that are repeated while the target's next process is not known.
func TestGrantsGoOnToReplacedTarget(t *testing.T) {
	m := newDividedMesh(t, misdirectedTarget{}, directory.Assignment{First: 0, Last: 99, Fence: 1})
	m.target = localTarget{TargetState: TargetState{Instance: "i-1"}}
	me := *m.dir.Member(self)
	me.Instance = "i-1"
	m.apply(boottime.Now(), directory.Update{Base: m.dir.Version(), End: m.dir.Version() + 1, Entries: []directory.Entry{me.PutEntry()}})
	m.holdings[0].granted = true
	require.True(t, m.mayGrant())
	m.sendGrant(m.holdings[0].Assignment)
	require.False(t, m.mayGrant())
	require.False(t, m.holdings[0].granted)
	m.TargetHeartbeat(boottime.Now(), TargetState{Instance: "i-1", Slots: 1, Ready: true})
	require.True(t, m.mayGrant())
}

// TestRefusedKeysWriteWithoutEnd guards against a write to the store for each grant that is refused for an unreachable fence.
func TestRefusedKeysWriteWithoutEnd(t *testing.T) {
	m := newTestMesh(directory.Assignment{First: 0, Last: 99, Fence: 1})
	store := &countingStore{version: m.dir.Version()}
	m.store = store
	refuse := func() {
		h := m.holdingOf(0)
		m.recordGrantResult(&h.Assignment, time.Now(), time.Second, GrantStale)
		m.raiseFence(h.Assignment)
	}
	for range 20 {
		refuse()
	}
	require.Equal(t, 1, store.appends)
	h := m.holdingOf(0)
	m.recordGrantResult(&h.Assignment, time.Now(), time.Second, GrantApplied)
	refuse()
	require.Equal(t, 2, store.appends, "the target has taken the keys meanwhile")

	now := time.Now()
	var raised []time.Duration
	for after := time.Duration(0); after < 3*time.Minute; after += 100 * time.Millisecond {
		if m.raiseDue(now.Add(after), 200) {
			raised = append(raised, after)
		}
	}
	require.Less(t, len(raised), 15)
	require.Equal(t, []time.Duration{0, 400 * time.Millisecond, 1200 * time.Millisecond}, raised[:3])
	require.Greater(t, raised[len(raised)-1], 2*time.Minute)
}

// TestFormerGrantsForgotten guards against a range that is passed on without a release while its target may apply a former process's grant late.
func TestFormerGrantsForgotten(t *testing.T) {
	for _, row := range []struct {
		name     string
		syncedIn time.Duration // how long after the start the directory is read
		loaded   bool          // whether this process knew the directory before
		released bool
	}{
		{"directory read at once", 100 * time.Millisecond, false, true},
		{"directory read after the longest hold", 5 * time.Second, false, true},
		{"range received later", 5 * time.Second, true, false},
	} {
		t.Run(row.name, func(t *testing.T) {
			target := &releasingTarget{}
			m := newDividedMesh(t, target, directory.Assignment{First: 0, Last: 99, Fence: 1})
			m.startedAt = boottime.Now().Add(-row.syncedIn)
			m.loaded, m.holdings = row.loaded, nil
			m.syncHoldings(boottime.Now())
			target.reset(0)
			h := m.splitAndClose(m.holdings[0], 0, 99)
			h.grant.MayHoldUntil = time.Time{} // as after the wait for it
			_, ok := m.release(context.Background(), h)
			require.True(t, ok)
			require.Equal(t, row.released, target.refuses(10, 1))
		})
	}
}
