package quarantine

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"siskinknot/core/request"
)

var start = time.Unix(1000, 0)

// at returns the time s seconds after start.
func at(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }

// nth returns the nth of a series of fingerprints.
func nth(n int) Fingerprint { return Fingerprint{Head: uint64(n), Body: uint64(n % 3)} }

// TestVerdict checks the verdict on a request after crashes and completions.
func TestVerdict(t *testing.T) {
	type event struct {
		at        float64
		run       Run // of the request, unless completed is set
		completed bool
	}
	crash, known, trial := Run{}, Run{CompletedBefore: true}, Run{OnTrial: true}
	for _, row := range []struct {
		name   string
		events []event
		at     float64
		want   Verdict
	}{
		{"first crash", []event{{0, crash, false}}, 29, Quarantined{at(30)}},
		{"quarantine has ended", []event{{0, crash, false}}, 31, Trial{}},
		{"three crashes before any daemon knows of the first", []event{{0, crash, false}, {0.1, crash, false}, {0.2, crash, false}}, 29, Quarantined{at(30.2)}},
		{"trial crashes", []event{{0, crash, false}, {31, trial, false}}, 150, Quarantined{at(151)}},
		{"second trial crashes", []event{{0, crash, false}, {31, trial, false}, {152, trial, false}}, 600, Quarantined{at(632)}},
		{"trial completes", []event{{0, crash, false}, {31, trial, true}}, 31, Clear{}},
		{"it completes elsewhere at once", []event{{0, crash, false}, {0.1, crash, true}}, 0.1, Clear{}},
		{"has completed before", []event{{0, known, false}}, 0, Trial{}},
		{"has completed before, at three targets that end at once", []event{{0, known, false}, {0, known, false}, {0, known, false}}, 0, Trial{}},
		{"has completed before, and its trial crashes", []event{{0, known, false}, {0.2, trial, false}}, 1, Quarantined{at(30.2)}},
		{"cleared, and another crash", []event{{0, crash, false}, {31, trial, true}, {40, crash, false}}, 41, Quarantined{at(70)}},
		{"forgotten", []event{{0, crash, false}}, 631, Clear{}},
	} {
		t.Run(row.name, func(t *testing.T) {
			l := NewList()
			for i, e := range row.events {
				if e.completed {
					l.RecordCompletion(nth(1))
					continue
				}
				e.run.Fingerprint = nth(1)
				l.RecordCrash(at(e.at), CrashID(i), []Run{e.run})
			}
			l.Expire(at(row.at))
			require.Equal(t, row.want, l.Verdict(at(row.at), nth(1)))
		})
	}
}

// TestTrialExoneratesOthers checks that the requests beside a trial that ends with a crash are
// not suspected, and that no two trials of a request run at a time.
func TestTrialExoneratesOthers(t *testing.T) {
	l := NewList()
	l.RecordCrash(at(0), 1, []Run{{Fingerprint: nth(1)}})
	require.True(t, l.BeginTrial(nth(1)))
	require.False(t, l.BeginTrial(nth(1)))
	l.RecordCrash(at(31), 2, []Run{{Fingerprint: nth(2)}, {Fingerprint: nth(1), OnTrial: true}})
	l.EndTrial(nth(1))
	require.True(t, l.BeginTrial(nth(1)))
	require.Equal(t, Clear{}, l.Verdict(at(31), nth(2)))
	require.Equal(t, Quarantined{at(151)}, l.Verdict(at(31), nth(1)))
}

// TestSecondTargetCrashesAtOnce checks that the requests beside one that another target has
// crashed with a moment before are not suspected.
func TestSecondTargetCrashesAtOnce(t *testing.T) {
	l := NewList()
	l.RecordCrash(at(0), 1, []Run{{Fingerprint: nth(1)}, {Fingerprint: nth(2)}})
	l.RecordCrash(at(0.1), 2, []Run{{Fingerprint: nth(1)}, {Fingerprint: nth(3)}})
	require.Equal(t, Quarantined{at(30.1)}, l.Verdict(at(1), nth(1)))
	require.Equal(t, Quarantined{at(30)}, l.Verdict(at(1), nth(2)))
	require.Equal(t, Clear{}, l.Verdict(at(1), nth(3)))
}

// TestListsConverge merges the lists of several daemons in a random order and checks that
// all end with the same one.
func TestListsConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		lists := []*List{NewList(), NewList(), NewList()}
		for i := range rapid.IntRange(1, 30).Draw(t, "events") {
			l := rapid.SampledFrom(lists).Draw(t, "daemon")
			f := nth(rapid.IntRange(0, 4).Draw(t, "request"))
			switch rapid.IntRange(0, 2).Draw(t, "event") {
			case 0:
				l.RecordCrash(at(float64(i)), CrashID(i), []Run{{Fingerprint: f, CompletedBefore: i%2 == 0}})
			case 1:
				l.RecordCompletion(f)
			default:
				l.Merge(at(float64(i)), rapid.SampledFrom(lists).Draw(t, "peer").Suspects())
			}
		}
		for range lists {
			for _, a := range lists {
				for _, b := range lists {
					a.Merge(at(30), b.Suspects())
				}
			}
		}
		for _, l := range lists[1:] {
			require.Equal(t, lists[0].Digest(), l.Digest())
			for n := range 5 {
				require.Equal(t, lists[0].Verdict(at(31), nth(n)), l.Verdict(at(31), nth(n)))
			}
		}
	})
}

// TestListIsBounded crashes targets with ever new requests beside one that comes again, and
// checks that the list stays bounded and keeps the latter.
func TestListIsBounded(t *testing.T) {
	l := NewList()
	l.RecordCrash(at(0), 1, []Run{{Fingerprint: nth(0)}})
	l.RecordCrash(at(31), 2, []Run{{Fingerprint: nth(0), OnTrial: true}})
	for n := 1; n < 3*capacity; n++ {
		l.RecordCrash(at(32), CrashID(n+2), []Run{{Fingerprint: nth(n)}})
	}
	require.Equal(t, capacity, l.Len())
	require.IsType(t, Quarantined{}, l.Verdict(at(40), nth(0)))
	l.Expire(at(10_000))
	require.Zero(t, l.Len())
	require.Empty(t, l.heads)
}

// TestFingerprint checks which requests are the same.
func TestFingerprint(t *testing.T) {
	base := request.Head{Method: "POST", Path: "/a/b", Key: "7", Caller: "desk", Header: http.Header{"Host": {"h"}}}
	change := func(f func(*request.Head)) request.Head {
		head := base
		f(&head)
		return head
	}
	body := strings.Repeat("x", MaxBodyPrefix)
	for _, row := range []struct {
		name string
		head request.Head
		body string
		same bool
	}{
		{"other id and deadline", change(func(h *request.Head) { h.ID, h.Deadline = "other", start }), body, true},
		{"body without a stated length", change(func(h *request.Head) { h.ContentLength = -1 }), body, true},
		{"end of a long body", base, body + "y", true},
		{"method", change(func(h *request.Head) { h.Method = "PUT" }), body, false},
		{"path", change(func(h *request.Head) { h.Path = "/a/c" }), body, false},
		{"key", change(func(h *request.Head) { h.Key = "8" }), body, false},
		{"caller", change(func(h *request.Head) { h.Caller = "store" }), body, false},
		{"host", change(func(h *request.Head) { h.Header = http.Header{"Host": {"i"}} }), body, false},
		{"fields that join to the same text", change(func(h *request.Head) { h.Path, h.Key = "/a/b7", "" }), body, false},
		{"body", base, "y" + body[1:], false},
		{"no body", base, "", false},
	} {
		t.Run(row.name, func(t *testing.T) {
			fingerprintOf := func(head request.Head, body string) Fingerprint {
				prefix, err := ReadPrefix(strings.NewReader(body), -1)
				require.NoError(t, err)
				return Fingerprint{Head: HashHead(&head), Body: HashBody(prefix)}
			}
			require.Equal(t, row.same, fingerprintOf(base, body) == fingerprintOf(row.head, row.body))
		})
	}
}

// BenchmarkFingerprint measures what a request costs while nothing is suspected.
func BenchmarkFingerprint(b *testing.B) {
	for _, size := range []int{0, 1 << 10, MaxBodyPrefix} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			head := request.Head{Method: "GET", Path: "/lookup/rosa-alba", Key: "4711", Caller: "registry", Header: http.Header{"Host": {"names.example"}}}
			body := make([]byte, size)
			var completions Completions
			for b.Loop() {
				completions.Add(Fingerprint{Head: HashHead(&head), Body: HashBody(body)})
			}
		})
	}
}

// fleetPlay plays the load of a fleet of targets in steps of 10 ms: requests run for 0.1 s
// each, one in ten of a few popular kinds and the others unique, beside a deadly one that
// comes 7 times a second, from half a minute on. Each daemon has its own list and hears of
// the others' crashes 50 ms later. The deadly request has a key, which gets another owner
// 0.1 s after its owner has crashed.
type fleetPlay struct {
	rng     *rand.Rand
	lists   []*List
	done    []Completions
	downFor []time.Duration
	running []map[*playRun]struct{}
	// powerLossAt is when three targets lose power at the same time, or zero.
	powerLossAt time.Duration
	inbox       []playMessage
	// owner is the target that owns the deadly request's key, and ownerDownFor how long it
	// has been down.
	owner        int
	ownerDownFor time.Duration

	crashes             int
	innocents, rejected int
}

type playRun struct {
	Run
	endsAt time.Duration
	deadly bool
}

type playMessage struct {
	at       time.Duration
	suspects []Suspect
}

const (
	playStep     = 10 * time.Millisecond
	playRunTime  = 100 * time.Millisecond
	playRestart  = 3 * time.Second
	playFailover = 100 * time.Millisecond
	playDeadlyAt = 30 * time.Second
)

func newFleetPlay(seed uint64, targets int) *fleetPlay {
	p := &fleetPlay{rng: rand.New(rand.NewPCG(seed, 0)), done: make([]Completions, targets), downFor: make([]time.Duration, targets)}
	for range targets {
		p.lists = append(p.lists, NewList())
		p.running = append(p.running, map[*playRun]struct{}{})
	}
	return p
}

// crash ends target i.
func (p *fleetPlay) crash(now time.Duration, i int) {
	var runs []Run
	for r := range p.running[i] {
		r.CompletedBefore = p.done[i].Contains(r.Fingerprint)
		runs = append(runs, r.Run)
		p.lists[i].EndTrial(r.Fingerprint)
	}
	clear(p.running[i])
	p.downFor[i] = playRestart
	p.crashes++
	suspects := p.lists[i].RecordCrash(start.Add(now), CrashID(p.rng.Uint64()), runs)
	p.inbox = append(p.inbox, playMessage{now + 5*playStep, suspects})
}

// arrive sends a request to target i, if its daemon lets it run.
func (p *fleetPlay) arrive(now time.Duration, i int, f Fingerprint, deadly bool) {
	r := &playRun{Run: Run{Fingerprint: f}, endsAt: now + playRunTime, deadly: deadly}
	if !deadly {
		p.innocents++
	}
	switch p.lists[i].Verdict(start.Add(now), f).(type) {
	case Quarantined:
		if !deadly {
			p.rejected++
		}
		return
	case Trial:
		if !p.lists[i].BeginTrial(f) {
			return // it waits for the trial
		}
		r.OnTrial = true
	case Clear:
	}
	p.running[i][r] = struct{}{}
}

// step plays one step.
func (p *fleetPlay) step(now time.Duration) {
	for i := range p.lists {
		p.downFor[i] = max(0, p.downFor[i]-playStep)
		for r := range p.running[i] {
			switch {
			case r.deadly && now >= r.endsAt-playRunTime/2:
				p.crash(now, i)
			case now >= r.endsAt:
				delete(p.running[i], r)
				p.lists[i].EndTrial(r.Fingerprint)
				p.done[i].Add(r.Fingerprint)
				if s, active := p.lists[i].RecordCompletion(r.Fingerprint); active {
					p.inbox = append(p.inbox, playMessage{now + 5*playStep, []Suspect{s}})
				}
			}
		}
	}
	for len(p.inbox) > 0 && p.inbox[0].at <= now {
		for _, l := range p.lists {
			l.Merge(start.Add(now), p.inbox[0].suspects)
		}
		p.inbox = p.inbox[1:]
	}
	if now == p.powerLossAt && now > 0 {
		for i := range 3 {
			p.crash(now, i)
		}
	}
	for i := range p.lists {
		if p.downFor[i] == 0 && p.rng.Float64() < 0.3 {
			f := Fingerprint{Head: p.rng.Uint64()}
			if p.rng.IntN(10) == 0 {
				f = nth(p.rng.IntN(5) + 10)
			}
			p.arrive(now, i, f, false)
		}
	}
	p.moveKey()
	if now >= playDeadlyAt && p.downFor[p.owner] == 0 && p.rng.Float64() < 0.07 {
		p.arrive(now, p.owner, nth(1), true)
	}
}

// moveKey gives the key of the deadly request to another target if its owner is down for
// long enough.
func (p *fleetPlay) moveKey() {
	if p.downFor[p.owner] == 0 {
		p.ownerDownFor = 0
		return
	}
	if p.ownerDownFor += playStep; p.ownerDownFor >= playFailover {
		p.owner = slices.Index(p.downFor, 0)
	}
}

// TestDeadlyRequestAmongOthers plays a quarter of an hour in which one request crashes each
// target that runs it, and checks how many targets that costs, and that next to no other
// request is rejected.
func TestDeadlyRequestAmongOthers(t *testing.T) {
	const (
		duration    = 15 * time.Minute
		maxCrashes  = 4 // the first, and trials after 30 s, 2 min and 8 min
		maxRejected = 0.001
	)
	for seed := range uint64(5) {
		p := newFleetPlay(seed, 8)
		for now := time.Duration(0); now < duration; now += playStep {
			p.step(now)
		}
		if p.crashes < 1 || p.crashes > maxCrashes {
			t.Errorf("seed %d: %d targets crashed, want 1 to %d", seed, p.crashes, maxCrashes)
		}
		if share := float64(p.rejected) / float64(p.innocents); share > maxRejected {
			t.Errorf("seed %d: %.5f of the other requests are rejected, want at most %v", seed, share, maxRejected)
		}
	}
}

// TestPopularRequestsDuringPowerLoss lets three targets lose power at the same moment, and
// checks that none of the popular requests that they were running is rejected.
func TestPopularRequestsDuringPowerLoss(t *testing.T) {
	for seed := range uint64(20) {
		p := newFleetPlay(seed, 8)
		p.powerLossAt = 20 * time.Second
		for now := time.Duration(0); now < playDeadlyAt; now += playStep {
			p.step(now)
		}
		if p.rejected > 0 {
			t.Errorf("seed %d: %d requests are rejected, want none", seed, p.rejected)
		}
	}
}
