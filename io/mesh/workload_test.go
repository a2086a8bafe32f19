package mesh

import (
	"fmt"
	"math"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"siskinknot/core/directory"
	"siskinknot/core/request"
	"siskinknot/core/scheduling"
	"siskinknot/core/workload"
	"siskinknot/io/boottime"
	"siskinknot/io/peer/peerpb"
)

// newSharedMesh returns a Mesh of a shared service with n further members, of which every third is in its own zone.
func newSharedMesh(t testing.TB, n int) (*Mesh, []netip.AddrPort) {
	m := newTestMesh()
	m.cfg.Zone = "a"
	now := boottime.Now()
	addrs := testAddrs(n + 2)[2:]
	update := directory.Update{End: m.dir.Version() + 1}
	for i, addr := range addrs {
		zone := string(rune('a' + i%3))
		update.Entries = append(update.Entries, directory.Member{Address: addr, Service: "s", State: directory.Active, Zone: zone}.PutEntry())
	}
	require.True(t, m.dir.Apply(update))
	for _, addr := range addrs {
		m.recordReport(now, addr, &peerpb.TargetLoad{Accepting: true, Slots: 4, ServiceUs: 1000})
	}
	return m, addrs
}

// TestChoiceWithoutPaceIsTheFormer guards against a change for deployments whose targets report three figures: their daemons
// send no load with an end, and do not choose by cost.
func TestChoiceWithoutPaceIsTheFormer(t *testing.T) {
	m, addrs := newSharedMesh(t, 6)
	now := boottime.Now()
	m.recordServerLoad(now, nil)
	m.recordServerLoad(now, &request.ServerLoad{Running: 1, Slots: 4})
	require.Nil(t, m.endLoad(now, "r"))
	require.Zero(t, m.ownLoad(now).Pace)
	table := m.workloads.ForService("s")
	require.False(t, m.workloadInForce(now, "s", table))
	m.recordReport(now, addrs[0], &peerpb.TargetLoad{Accepting: true, Slots: 4, BacklogUs: 5000})
	require.False(t, m.workloadInForce(now, "s", table))
	m.recordReport(now, addrs[0], &peerpb.TargetLoad{Accepting: true, Slots: 4, Pace: 1.5})
	require.True(t, m.workloadInForce(now, "s", table))
	require.InDelta(t, 1.5, m.reports[addrs[0]].Pace, 0.001)
}

// TestEndLoad checks the load that is sent with the end of a request.
func TestEndLoad(t *testing.T) {
	m, addrs := newSharedMesh(t, 3)
	now := boottime.Now()
	m.recordServerLoad(now, &request.ServerLoad{Slots: 4, Pace: 1})
	m.scheduler.SetSlots(now, 4)
	m.target.Slots = 4
	m.meter.RecordServed(now.Add(-200*time.Millisecond), now, "r", 1, false)
	permit, refusal := m.scheduler.Acquire(t.Context(), now, scheduling.Request{Route: "r", Objective: now.Add(time.Minute), Deadline: now.Add(time.Minute)})
	require.Nil(t, refusal)
	permit.MarkSent(now)
	load := m.endLoad(now, "r")
	require.EqualValues(t, 200_000, load.BacklogUs)
	require.EqualValues(t, 200_000, load.RouteUs)
	require.InDelta(t, 1, load.Pace, 0.001)
	// A spell counts in full in the load of an end, and hardly in a heartbeat.
	m.recordServerLoad(now.Add(time.Second), &request.ServerLoad{Slots: 4, Pace: 3})
	require.InDelta(t, 3, m.endLoad(now.Add(time.Second), "r").Pace, 0.001)
	require.InDelta(t, 1, m.ownLoad(now.Add(time.Second)).Pace, 0.1)
	// The ingress daemon takes it over, and odd ones do no harm.
	sink := &noticeSink{mesh: m, addr: addrs[0], head: &request.Head{Service: "s", Route: "r"}}
	sink.Load(&peerpb.TargetLoad{Slots: math.MaxUint32, BacklogUs: math.MaxUint64, Pace: math.NaN(), RouteUs: math.MaxUint64})
	require.False(t, m.workloadInForce(now, "s", m.workloads.ForService("s")))
	sink.Load(load)
	require.True(t, m.workloadInForce(boottime.Now(), "s", m.workloads.ForService("s")))
}

// TestCandidates checks which targets a request may be sent to.
func TestCandidates(t *testing.T) {
	m, addrs := newSharedMesh(t, 7) // zones a, b, c, a, b, c, a
	now := boottime.Now()
	head := &request.Head{Service: "s", Route: "r"}
	m.recordReport(now, addrs[0], &peerpb.TargetLoad{Accepting: true, Slots: 4, InFlight: 3})
	m.recordReport(now, addrs[1], &peerpb.TargetLoad{Accepting: false, Slots: 4})
	m.recordReport(now, addrs[6], &peerpb.TargetLoad{Accepting: true, Cold: true, Slots: 4})
	m.target.Instance, m.target.Ready = "", false // this daemon's own target does not accept
	for _, row := range []struct {
		name                string
		tried               []netip.AddrPort
		local, remote, idle []netip.AddrPort
	}{
		{"none tried", nil, []netip.AddrPort{addrs[0], addrs[3]}, []netip.AddrPort{addrs[2], addrs[4], addrs[5], addrs[6]}, []netip.AddrPort{addrs[3]}},
		{"one tried", addrs[3:4], addrs[:1], []netip.AddrPort{addrs[2], addrs[4], addrs[5], addrs[6]}, nil},
		{"all tried", addrs, nil, []netip.AddrPort{addrs[0], addrs[2], addrs[3], addrs[4], addrs[5], addrs[6]}, nil},
	} {
		t.Run(row.name, func(t *testing.T) {
			l := m.candidates(now, &call{head: head, triedTargets: row.tried})
			defer l.release()
			require.ElementsMatch(t, row.local, l.local)
			require.ElementsMatch(t, row.remote, l.remote)
			require.ElementsMatch(t, row.idle, l.idle)
		})
	}
}

// TestLimitedTargetIsSampled guards against a target that accepts few requests and gets its full share, because its slots are free.
func TestLimitedTargetIsSampled(t *testing.T) {
	const choices = 400
	m, addrs := newSharedMesh(t, 3)
	now := boottime.Now()
	for _, addr := range addrs {
		m.recordReport(now, addr, &peerpb.TargetLoad{Accepting: true, Slots: 10, ServiceUs: 100_000})
	}
	m.recordReport(now, addrs[1], &peerpb.TargetLoad{Accepting: true, Slots: 10, ServiceUs: 100_000, MaxRate: 10}) // a tenth of its slots
	offered := 0
	for range choices {
		l := m.candidates(now, &call{head: &request.Head{Service: "s"}})
		for i := range l.count() {
			if l.at(i) == addrs[1] {
				offered++
			}
		}
		l.release()
	}
	require.Less(t, offered, choices/5)
	require.Positive(t, offered)
}

// TestChoicesAreCounted checks the metrics of a choice.
func TestChoicesAreCounted(t *testing.T) {
	scope := tally.NewTestScope("", nil)
	m := newMetrics(scope)
	m.recordChoice(workload.Choice{Reason: workload.OtherZone, ReportAge: time.Second})
	m.recordChoice(workload.Choice{Reason: workload.UnknownLoad, ReportAge: -1})
	m.recordTwoChoices()
	snapshot := scope.Snapshot()
	for _, reason := range []string{"other_zone", "unknown_load", "two_choices"} {
		require.EqualValues(t, 1, snapshot.Counters()["target_choices+reason="+reason].Value(), reason)
	}
	require.EqualValues(t, 1, snapshot.Histograms()["target_report_age+"].Durations()[1024*time.Millisecond])
}

// BenchmarkCandidates measures the candidates and the choice for a request to a service of 300 targets.
func BenchmarkCandidates(b *testing.B) {
	for _, paced := range []bool{false, true} {
		b.Run(fmt.Sprintf("paced=%v", paced), func(b *testing.B) {
			m, addrs := newSharedMesh(b, 300)
			now := boottime.Now()
			c := &call{head: &request.Head{Service: "s", Route: "r"}}
			table := m.workloads.ForService("s")
			for _, addr := range addrs {
				if paced {
					m.recordReport(now, addr, &peerpb.TargetLoad{Accepting: true, Slots: 4, ServiceUs: 1000, Pace: 1})
				}
			}
			b.ReportAllocs()
			for b.Loop() {
				l := m.candidates(now, c)
				if paced {
					table.Done(now, table.Choose(now, "r", l.candidates()), workload.Answered)
				}
				l.release()
			}
		})
	}
}
