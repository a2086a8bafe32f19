package mesh

import (
	"bytes"
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/require"

	"siskinknot/core/directory"
	"siskinknot/core/evacuation"
	"siskinknot/core/outcome"
	"siskinknot/core/placement"
	"siskinknot/core/request"
	"siskinknot/core/routing"
	"siskinknot/io/boottime"
	"siskinknot/io/forward"
	"siskinknot/io/peer"
	"siskinknot/io/peer/peerpb"
)

// zoneMember is a member of a service in a zone.
type zoneMember struct {
	addr    netip.AddrPort
	service string
	zone    string
}

// addMembers adds members that accept requests and keys to the directory of m.
func (m *Mesh) addMembers(now time.Time, members ...zoneMember) {
	u := directory.Update{Base: m.dir.Version(), End: m.dir.Version() + uint64(len(members))}
	for _, member := range members {
		entry := directory.Member{Address: member.addr, Service: member.service, Zone: member.zone, State: directory.Active}
		u.Entries = append(u.Entries, entry.PutEntry())
		m.reports[member.addr] = loadReport{Load: placement.Load{Member: member.addr, Accepting: true, Slots: 8}, receivedAt: now}
	}
	m.apply(now, u)
}

// setEvacuated makes zones the set of evacuated zones.
func (m *Mesh) setEvacuated(zones ...string) {
	records := make([]evacuation.Record, 0, len(zones))
	for _, zone := range zones {
		records = append(records, evacuation.Record{Zone: zone, Kind: evacuation.Evacuate})
	}
	m.ApplyEvacuationSnapshot(m.evacuation.Current().Version+1, records)
}

// TestTargetOfEvacuatedZoneGetsRequests guards against a request that is sent to a target of an
// evacuated zone: one that arrives, and one that was accepted before.
func TestTargetOfEvacuatedZoneGetsRequests(t *testing.T) {
	now := boottime.Now()
	head := &request.Head{Service: "s", Key: "1", Deadline: now.Add(time.Minute)}
	for _, row := range []struct {
		name string
		set  func(m *Mesh)
		want outcome.Result
	}{
		{"nothing evacuated", func(*Mesh) {}, nil},
		{"other zone", func(m *Mesh) { m.setEvacuated("b") }, nil},
		{"own zone", func(m *Mesh) { m.setEvacuated("a", "b") }, outcome.NotRun{Reason: outcome.Evacuated}},
		{"evacuation has ended", func(m *Mesh) { m.setEvacuated("a"); m.setEvacuated() }, nil},
		{"restarted, and nothing known", func(m *Mesh) { m.evacuation = evacuation.NewState(now) }, outcome.NotRun{Reason: outcome.Starting}},
	} {
		t.Run(row.name, func(t *testing.T) {
			m := newDividedMesh(t, &releasingTarget{}, directory.Assignment{First: 0, Last: 99, Fence: 1})
			m.cfg.Zone, m.target.Ready, m.target.Slots = "a", true, 8
			m.leases.RecordStoreRead(now, 0)
			m.holdings[0].granted, m.holdings[0].grantedUntil = true, now.Add(time.Minute)
			row.set(m)
			_, _, refusal := m.checkRequest(now, head)
			require.Equal(t, row.want, refusal)
			require.Equal(t, row.want, m.sendRefusal(now, head, 1, true))
			require.Equal(t, row.want, m.startRun(&run{head: head}, 1, true, &requestTimes{}))
			require.Equal(t, row.want == nil, m.ownLoad(now).Accepting)
		})
	}
}

// TestChangeOfZonesIsLoggedOnce checks the log lines of a set that several sources report.
func TestChangeOfZonesIsLoggedOnce(t *testing.T) {
	var log bytes.Buffer
	now := boottime.Now()
	m := newTestMesh()
	m.log = hclog.New(&hclog.LoggerOptions{Output: &log})
	m.loaded, m.cfg.Zone = true, "a"
	m.addMembers(now, zoneMember{self, "s", "a"})
	set := &peerpb.Evacuations{Version: 7, Zones: []string{"a", "nowhere"}}
	for range 3 {
		m.mergeEvacuations(now, "10.0.0.9:7400", set)
		m.ApplyEvacuationSnapshot(7, []evacuation.Record{{Zone: "a"}, {Zone: "nowhere"}})
		require.True(t, m.ApplyEvacuationRecords(7, 8, nil))
		set.Version = 8
	}
	require.Equal(t, 2, strings.Count(log.String(), "\n"), log.String())
	require.Contains(t, log.String(), `evacuated zones changed: zones="a,nowhere" begun="a,nowhere" ended="" version=7 source=10.0.0.9:7400`)
	require.Contains(t, log.String(), "evacuated zone has no members: zone=nowhere")
	log.Reset()
	require.True(t, m.ApplyEvacuationRecords(8, 9, []evacuation.Record{{Zone: "a", Kind: evacuation.Remove}}))
	require.Equal(t, 2, strings.Count(log.String(), "\n"), log.String())
	require.Contains(t, log.String(), "evacuation of this zone has ended")
}

// TestTargetInEvacuatedZoneIsChosen guards against a request to a shared service that is sent to an evacuated zone.
func TestTargetInEvacuatedZoneIsChosen(t *testing.T) {
	addrs := testAddrs(6)
	for _, row := range []struct {
		name       string
		evacuated  []string
		avoided    []string
		tried      []netip.AddrPort
		want       []netip.AddrPort
		noneIsLeft bool
	}{
		{"nothing evacuated", nil, nil, nil, addrs[2:5], false},
		{"one zone", []string{"a"}, nil, nil, addrs[3:5], false},
		{"unknown zone", []string{"x"}, nil, nil, addrs[2:5], false},
		{"the only one that was not tried", []string{"a"}, nil, addrs[3:5], addrs[3:5], false},
		{"a daemon has rejected it", []string{"a"}, []string{"b"}, addrs[3:4], addrs[4:5], false},
		{"all zones", []string{"a", "b", "c"}, nil, nil, nil, true},
		{"all others have rejected it", []string{"a"}, []string{"b", "c"}, addrs[3:5], nil, true},
	} {
		t.Run(row.name, func(t *testing.T) {
			now := boottime.Now()
			m := newTestMesh()
			m.cfg.Zone = "a"
			m.addMembers(now, zoneMember{addrs[2], "t", "a"}, zoneMember{addrs[3], "t", "b"}, zoneMember{addrs[4], "t", "c"})
			m.setEvacuated(row.evacuated...)
			c := &call{head: &request.Head{Service: "t"}, avoidedZones: row.avoided, triedTargets: row.tried}
			list := m.candidates(now, c)
			require.ElementsMatch(t, row.want, slices.Concat(list.local, list.remote))
			require.Equal(t, row.noneIsLeft, c.allEvacuated)
			for _, addr := range list.local {
				require.Equal(t, "a", m.dir.Member(addr).Zone)
				require.NotContains(t, row.evacuated, "a")
			}
		})
	}
}

// newCallOf returns a call to service with the given key.
func newCallOf(service string, divided bool) *call {
	now := boottime.Now()
	return &call{
		req:   &Request{ReceivedAt: now, Body: Body{Data: []byte{}}},
		head:  &request.Head{Service: service, Key: "5", Deadline: now.Add(time.Minute)},
		route: &routing.Route{MaxAttempts: 2, LatencyObjective: time.Minute}, sink: nullSink{}, divided: divided, key: 5,
	}
}

// resultPeer is a daemon that ends all requests with a result, and counts them.
type resultPeer struct {
	peer.Handler
	result   outcome.Result
	requests *atomic.Int32
}

// Forward implements peer.Handler.
func (p resultPeer) Forward(ctx context.Context, in *peer.Incoming) {
	forward.Serve(ctx, in, func(_ context.Context, _ *request.Head, ex forward.Exchange) outcome.Result {
		p.requests.Add(1)
		if answered, ok := p.result.(outcome.Answered); ok {
			_ = ex.Head(answered.Status, nil, 0)
		}
		return p.result
	})
}

// listen serves the calls of other daemons until the test ends, and returns the address.
func listen(t *testing.T, handler peer.Handler) netip.AddrPort {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := peer.NewServer(listener, "peer", handler, hclog.NewNullLogger())
	t.Cleanup(func() { _ = server.Close() })
	return listener.Addr().(*net.TCPAddr).AddrPort()
}

// TestRejectedRequestUsesRetryBudget guards against a request that is not sent to another zone because the budget
// for retries is used up, or that is sent to the same zone again: its ingress daemon learns of the evacuation last.
func TestRejectedRequestUsesRetryBudget(t *testing.T) {
	m := newConfiguredMesh(t)
	m.peerNotices = newNoticeTable()
	var rejected, served atomic.Int32
	for range 3 {
		addr := listen(t, resultPeer{result: outcome.NotRun{Reason: outcome.Evacuated}, requests: &rejected})
		m.addMembers(boottime.Now(), zoneMember{addr, "t", "a"})
	}
	addr := listen(t, resultPeer{result: outcome.Answered{Status: http.StatusOK}, requests: &served})
	m.addMembers(boottime.Now(), zoneMember{addr, "t", "b"})
	m.reports[addr] = loadReport{Load: placement.Load{Member: addr, Accepting: true, Slots: 1}, receivedAt: boottime.Now(), inFlight: 9}
	const requests = 20
	for i := range requests {
		c := newCallOf("t", false)
		c.head.ID, c.head.Method, c.head.Path, c.route.MaxAttempts = "r-"+strconv.Itoa(i), http.MethodGet, "/", 1
		require.IsType(t, outcome.Answered{}, m.sendWithRetries(context.Background(), c))
		require.LessOrEqual(t, c.attempts, 2)
	}
	require.Positive(t, rejected.Load())
	require.EqualValues(t, requests, served.Load())
}

// TestRequestWaitsAlthoughAllZonesAreEvacuated guards against a request that is retried, or waits, while no
// target can run it, and against one that is rejected although its key gets an owner in another zone.
func TestRequestWaitsAlthoughAllZonesAreEvacuated(t *testing.T) {
	const wait = 100 * time.Millisecond
	addrs := testAddrs(4)
	for _, row := range []struct {
		name      string
		service   string
		evacuated []string
		waits     bool
	}{
		{"shared service", "t", []string{"a", "b"}, false},
		{"divided service", "s", []string{"a", "b"}, false},
		{"divided service, another zone is left", "s", []string{"a"}, true},
	} {
		t.Run(row.name, func(t *testing.T) {
			m := newDividedMesh(t, &releasingTarget{}, directory.Assignment{First: 0, Last: 99, Fence: 1})
			m.cfg.Zone = "a"
			now := boottime.Now()
			m.addMembers(now, zoneMember{self, "s", "a"}, zoneMember{addrs[2], "s", "b"}, zoneMember{addrs[3], "t", "b"})
			m.setEvacuated(row.evacuated...)
			ctx, cancel := context.WithTimeout(context.Background(), wait)
			defer cancel()
			c := newCallOf(row.service, row.service == "s")
			res := m.sendWithRetries(ctx, c)
			require.Equal(t, outcome.Evacuated, reasonOf(res))
			require.Positive(t, res.(outcome.NotRun).RetryAfter)
			require.Equal(t, row.waits, ctx.Err() != nil)
			if !row.waits {
				require.Equal(t, 1, c.attempts)
			}
		})
	}
}

// TestKeysOfEvacuatedZone guards against keys that stay in an evacuated zone, or that move to another
// evacuated zone, and against an owner that gives its keys up although no zone is left.
func TestKeysOfEvacuatedZone(t *testing.T) {
	addrs := []netip.AddrPort{self, self, unusedAddr(t), unusedAddr(t), unusedAddr(t)}
	for _, row := range []struct {
		name      string
		evacuated []string
		want      []netip.AddrPort // the owners
	}{
		{"other zone", []string{"b"}, []netip.AddrPort{self}},
		{"own zone", []string{"a"}, addrs[3:5]},
		{"own zone and another one", []string{"a", "b"}, addrs[4:5]},
		{"all zones", []string{"a", "b", "c"}, []netip.AddrPort{self}},
	} {
		t.Run(row.name, func(t *testing.T) {
			now := boottime.Now()
			m := newDividedMesh(t, &releasingTarget{}, directory.Assignment{First: 0, Last: directory.MaxKey, Fence: 1})
			m.cfg.Zone, m.target.Ready, m.target.Slots, m.storeOK = "a", true, 8, true
			m.addMembers(now, zoneMember{self, "s", "a"}, zoneMember{addrs[2], "s", "a"}, zoneMember{addrs[3], "s", "b"}, zoneMember{addrs[4], "s", "c"})
			m.store = &countingStore{version: m.dir.Version()}
			m.pool = peer.NewPool("self", netip.MustParseAddr("127.0.0.1"), hclog.NewNullLogger())
			defer func() { require.NoError(t, m.pool.Close()) }()
			m.leases.RecordStoreRead(now, m.dir.Version())
			m.setEvacuated(row.evacuated...)
			for range 2 {
				m.evacuateIfLeaving()
				require.Eventually(t, func() bool {
					m.mu.Lock()
					defer m.mu.Unlock()
					return m.transfers == 0
				}, 3*time.Second, time.Millisecond)
			}
			m.mu.Lock()
			defer m.mu.Unlock()
			owners := map[netip.AddrPort]bool{}
			for _, a := range m.dir.Assignments("s") {
				owners[a.Owner] = true
			}
			require.Len(t, owners, len(row.want))
			for _, addr := range row.want {
				require.True(t, owners[addr], "%v", addr)
			}
			require.False(t, m.evacuating && len(m.holdings) > 0, "the grants of the keys that stay are renewed")
			// A report that was sent before its sender learned of the evacuation counts no more.
			for _, load := range m.receiverCandidates(boottime.Now(), "s", netip.AddrPort{}) {
				require.NotContains(t, row.evacuated, m.dir.Member(load.Member).Zone)
			}
		})
	}
}

// TestYieldInEvacuatedZone guards against an owner that gives keys to one other member, in its own zone, at the
// request of a planner that has not learned of the evacuation.
func TestYieldInEvacuatedZone(t *testing.T) {
	for _, row := range []struct {
		name  string
		zones []string
	}{{"nothing evacuated", nil}, {"own zone evacuated", []string{"a"}}} {
		t.Run(row.name, func(t *testing.T) {
			m := newDividedMesh(t, &releasingTarget{}, directory.Assignment{First: 0, Last: directory.MaxKey, Fence: 1})
			now := boottime.Now()
			to := unusedAddr(t)
			m.cfg.Zone, m.storeOK = "a", true
			m.addMembers(now, zoneMember{to, "s", "a"})
			m.store = &countingStore{version: m.dir.Version()}
			m.pool = peer.NewPool("self", netip.MustParseAddr("127.0.0.1"), hclog.NewNullLogger())
			defer func() { require.NoError(t, m.pool.Close()) }()
			m.leases.RecordStoreRead(now, 0)
			m.holdings[0].granted, m.holdings[0].ownedSince = true, now.Add(-time.Hour)
			m.keyLoad = placement.NewLoadHistogram(now)
			for key := range uint16(1000) {
				m.keyLoad.Add(now, 64*key, 10*time.Millisecond)
			}
			m.setEvacuated(row.zones...)
			reply := m.handleYield(&peerpb.Yield{Service: "s", To: to.String(), Demand: m.keyLoad.Demand(now, 0, directory.MaxKey) / 2})
			require.Equal(t, row.zones == nil, reply.Granted)
			require.Eventually(t, func() bool {
				m.mu.Lock()
				defer m.mu.Unlock()
				return m.transfers == 0
			}, 3*time.Second, time.Millisecond)
		})
	}
}

// TestRetainedZoneExpires guards against a zone that stays evacuated because the store has lost its record.
func TestRetainedZoneExpires(t *testing.T) {
	m := newTestMesh()
	now := boottime.Now()
	m.cfg.Zone, m.loaded = "a", true
	m.setEvacuated("a")
	m.mergeEvacuations(now, "10.0.0.9:7400", &peerpb.Evacuations{Version: directory.VersionAt(2, 1)})
	require.True(t, m.zoneEvacuated())
	require.Empty(t, m.evacuationsToSend().Zones, "other daemons know themselves what they have lost")
	task := maintenance{mesh: m}
	task.read.nextAt = now.Add(time.Hour)
	task.tick(now.Add(evacuation.RetainTime - time.Second))
	require.True(t, m.zoneEvacuated())
	task.tick(now.Add(evacuation.RetainTime))
	require.False(t, m.zoneEvacuated())
}

// TestUnknownZoneIsLoggedAfterStart guards against a zone without members that is not logged, because it was evacuated
// before the daemon knew the directory.
func TestUnknownZoneIsLoggedAfterStart(t *testing.T) {
	var log bytes.Buffer
	m := newTestMesh()
	m.log = hclog.New(&hclog.LoggerOptions{Output: &log})
	m.addMembers(boottime.Now(), zoneMember{self, "s", "a"})
	m.setEvacuated("a", "nowhere")
	require.NotContains(t, log.String(), "no members")
	m.markLoaded("store")
	m.markLoaded("store")
	require.Equal(t, 1, strings.Count(log.String(), "evacuated zone has no members: zone=nowhere"))
	require.Equal(t, 1, strings.Count(log.String(), "no members"))
}

// TestHeartbeatsCarryEvacuations checks that a daemon learns the set from a heartbeat and from the reply to
// its own, and that replies do not repeat what the sender knows.
func TestHeartbeatsCarryEvacuations(t *testing.T) {
	from := testAddrs(3)[2].String()
	for _, row := range []struct {
		name         string
		known        []string
		version      uint64
		received     *peerpb.Evacuations
		want         []string
		wantVersion  uint64
		replyVersion uint64 // 0 if the reply has no set
	}{
		{"both know nothing", nil, 0, nil, nil, 0, 0},
		{"sender knows more", nil, 3, &peerpb.Evacuations{Version: 5, Zones: []string{"a"}}, []string{"a"}, 5, 0},
		{"receiver was restarted", nil, 0, &peerpb.Evacuations{Version: 5, Zones: []string{"a"}}, []string{"a"}, 5, 0},
		{"sender was restarted", []string{"a"}, 5, nil, []string{"a"}, 5, 5},
		{"sender knows less", []string{"a"}, 5, &peerpb.Evacuations{Version: 3}, []string{"a"}, 5, 5},
		{"same", []string{"a"}, 5, &peerpb.Evacuations{Version: 5, Zones: []string{"a"}}, []string{"a"}, 5, 0},
		{"same version, other zones", []string{"a"}, 5, &peerpb.Evacuations{Version: 5, Zones: []string{"b"}}, []string{"a", "b"}, 5, 5},
	} {
		t.Run(row.name, func(t *testing.T) {
			m := newConfiguredMesh(t)
			m.store = &countingStore{}
			if row.version > 0 {
				var records []evacuation.Record
				for _, zone := range row.known {
					records = append(records, evacuation.Record{Zone: zone})
				}
				m.ApplyEvacuationSnapshot(row.version, records)
			}
			reply := m.handleHeartbeat(&peerpb.Heartbeat{From: from, Evacuations: row.received})
			require.ElementsMatch(t, row.want, m.evacuation.Current().Zones)
			require.Equal(t, row.wantVersion, m.evacuation.Current().Version)
			require.Equal(t, row.replyVersion, reply.GetEvacuations().GetVersion())
			if row.replyVersion > 0 {
				require.ElementsMatch(t, row.want, reply.Evacuations.Zones)
			}
		})
	}
}

// toldPeer is a daemon that knows of an evacuation.
type toldPeer struct{ peer.Handler }

// HandleCall implements peer.Handler.
func (toldPeer) HandleCall(context.Context, *peerpb.Call) *peerpb.Reply {
	return &peerpb.Reply{Evacuations: &peerpb.Evacuations{Version: 5, Zones: []string{"a"}}}
}

// TestReplyToHeartbeatTellsOfEvacuation guards against a daemon that was restarted in an evacuated zone, and that
// learns of the evacuation only from the store.
func TestReplyToHeartbeatTellsOfEvacuation(t *testing.T) {
	m := newConfiguredMesh(t)
	m.store, m.cfg.Zone = &countingStore{}, "a"
	now := boottime.Now()
	m.evacuation = evacuation.NewState(now)
	addr := listen(t, toldPeer{})
	m.sendHeartbeat(addr, &peerpb.Heartbeat{From: self.String(), Evacuations: m.evacuationsToSend()})
	require.Equal(t, evacuation.Evacuated, m.evacuation.Verdict(now, "a"))

	// The reply also ends the doubt after a pause.
	m.tickEvacuations(now.Add(-2 * evacuation.PauseLimit))
	m.tickEvacuations(now)
	require.Equal(t, evacuation.Unknown, m.evacuation.Verdict(now, "b"))
	m.sendHeartbeat(addr, &peerpb.Heartbeat{From: self.String(), Evacuations: m.evacuationsToSend()})
	require.Equal(t, evacuation.Serve, m.evacuation.Verdict(now, "b"))
}

// errRejected is the error of a call that a store rejects.
var errRejected = errors.New("rejected")

// rejectingStore is a store that rejects the calls of this daemon.
type rejectingStore struct{ *countingStore }

// Append implements Store.
func (rejectingStore) Append(context.Context, directory.Update) directory.AppendResult {
	return directory.NotApplied{Cause: errRejected}
}

// Read implements Store.
func (rejectingStore) Read(context.Context, uint64) (directory.Update, error) {
	return directory.Update{}, errRejected
}

// TestStoreRejectsDaemonOfEvacuatedZone guards against keys that stay in an evacuated zone, where no request for
// them is served, because the store rejects the calls of their owner alone.
func TestStoreRejectsDaemonOfEvacuatedZone(t *testing.T) {
	for _, row := range []struct {
		name   string
		reach  bool // whether the other daemon reaches the store
		zones  []string
		leaves bool // whether the keys leave
	}{
		{"other daemon reaches the store", true, []string{"a"}, true},
		{"no daemon reaches the store", false, []string{"a"}, false},
		{"nothing evacuated", true, nil, false},
	} {
		t.Run(row.name, func(t *testing.T) {
			now := boottime.Now()
			m := newDividedMesh(t, &releasingTarget{}, directory.Assignment{First: 0, Last: directory.MaxKey, Fence: 1})
			relay := newTestMesh()
			other := listen(t, relay)
			m.cfg.Zone, m.target.Ready, m.target.Slots, m.storeOK = "a", true, 8, false
			m.addMembers(now, zoneMember{self, "s", "a"}, zoneMember{other, "s", "b"})
			store := &countingStore{version: m.dir.Version()}
			m.store, relay.store = rejectingStore{store}, store
			m.pool = peer.NewPool("self", netip.MustParseAddr("127.0.0.1"), hclog.NewNullLogger())
			defer func() { require.NoError(t, m.pool.Close()) }()
			m.receivedHeartbeats = map[netip.AddrPort]peerHeartbeat{other: {receivedAt: now, storeOK: row.reach}}
			m.leases.RecordStoreRead(now, m.dir.Version())
			m.setEvacuated(row.zones...)
			m.evacuateIfLeaving()
			require.Eventually(t, func() bool {
				m.mu.Lock()
				defer m.mu.Unlock()
				return m.transfers == 0
			}, 3*time.Second, time.Millisecond)
			m.mu.Lock()
			defer m.mu.Unlock()
			require.Equal(t, row.leaves, len(m.dir.OwnedBy(self)) == 0)
		})
	}
}
