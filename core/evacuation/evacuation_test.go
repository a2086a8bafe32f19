package evacuation

import (
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"siskinknot/core/directory"
)

var startedAt = time.Unix(1000, 0)

// stateAt returns a state with a set of the given version and zones.
func stateAt(version uint64, zones ...string) *State {
	s := NewState(startedAt)
	s.ApplySnapshot(startedAt, version, evacuate(zones...))
	return s
}

// evacuate returns a record that evacuates each of the zones.
func evacuate(zones ...string) []Record {
	var records []Record
	for _, zone := range zones {
		records = append(records, Record{Zone: zone, Kind: Evacuate})
	}
	return records
}

func TestApplyRecords(t *testing.T) {
	later := directory.VersionAt(2, 3)
	for _, row := range []struct {
		name          string
		state         *State
		base, version uint64
		records       []Record
		applied       bool
		want          Set
		change        Change
	}{
		{"begins", stateAt(4), 4, 5, evacuate("a"), true, Set{5, []string{"a"}}, Change{Begun: []string{"a"}}},
		{"ends", stateAt(4, "a", "b"), 4, 5, []Record{{"a", Remove}}, true, Set{5, []string{"b"}}, Change{Ended: []string{"a"}}},
		{"begins and ends", stateAt(4), 4, 6, []Record{{"a", Evacuate}, {"a", Remove}}, true, Set{Version: 6}, Change{}},
		{"malformed record of an evacuated zone", stateAt(4, "a"), 4, 5, []Record{{"a", Malformed}}, true, Set{5, []string{"a"}}, Change{}},
		{"malformed record of another zone", stateAt(4, "a"), 4, 5, []Record{{"b", Malformed}}, true, Set{5, []string{"a"}}, Change{}},
		{"another record of the topic", stateAt(4, "a"), 4, 5, nil, true, Set{5, []string{"a"}}, Change{}},
		{"a peer knew some of them", stateAt(5, "a"), 4, 6, []Record{{"a", Evacuate}, {"a", Remove}}, true, Set{Version: 6}, Change{Ended: []string{"a"}}},
		{"a peer knew more", stateAt(7, "a"), 4, 6, []Record{{"a", Remove}}, true, Set{7, []string{"a"}}, Change{}},
		{"records are missing", stateAt(4, "a"), 5, 6, evacuate("b"), false, Set{4, []string{"a"}}, Change{}},
		{"records of a later era", stateAt(4, "a"), later - 1, later, evacuate("b"), false, Set{4, []string{"a"}}, Change{}},
		{"nothing known", NewState(startedAt), 0, 1, evacuate("b"), false, Set{}, Change{}},
	} {
		t.Run(row.name, func(t *testing.T) {
			change, applied := row.state.ApplyRecords(startedAt, row.base, row.version, row.records)
			require.Equal(t, row.applied, applied)
			requireSet(t, row.want, row.state)
			requireChange(t, row.change, change)
		})
	}
}

// requireSet checks the set of s.
func requireSet(t require.TestingT, want Set, s *State) {
	got := s.Shared()
	require.Equal(t, want.Version, got.Version)
	require.ElementsMatch(t, want.Zones, got.Zones)
}

// requireChange checks a change.
func requireChange(t require.TestingT, want, got Change) {
	require.ElementsMatch(t, want.Begun, got.Begun)
	require.ElementsMatch(t, want.Ended, got.Ended)
	require.Equal(t, len(want.Begun)+len(want.Ended) == 0, got.IsEmpty())
}

func TestApplySnapshot(t *testing.T) {
	for _, row := range []struct {
		name    string
		state   *State
		version uint64
		records []Record
		want    Set
	}{
		{"first read", NewState(startedAt), 4, evacuate("a"), Set{4, []string{"a"}}},
		{"removal was trimmed", stateAt(4, "a", "b"), 9, evacuate("b"), Set{9, []string{"b"}}},
		{"a peer knew more", stateAt(9, "a"), 4, evacuate("b"), Set{9, []string{"a"}}},
		{"same version", stateAt(4, "a"), 4, evacuate("b"), Set{4, []string{"a", "b"}}},
		{"later era with a lower offset", stateAt(900, "a"), directory.VersionAt(2, 3), evacuate("b"), Set{directory.VersionAt(2, 3), []string{"b"}}},
		{"earlier era with a higher offset", stateAt(directory.VersionAt(2, 3), "a"), 900, nil, Set{directory.VersionAt(2, 3), []string{"a"}}},
		{"malformed record of an evacuated zone", stateAt(4, "a"), 9, []Record{{"a", Malformed}, {"b", Malformed}}, Set{9, []string{"a"}}},
		{"removal", stateAt(4, "a"), 9, []Record{{"a", Remove}}, Set{Version: 9}},
	} {
		t.Run(row.name, func(t *testing.T) {
			row.state.ApplySnapshot(startedAt, row.version, row.records)
			requireSet(t, row.want, row.state)
		})
	}
}

// TestRecordIsLostByStore guards against requests that are sent to an evacuated zone because the store came back from a
// copy without the record, and against a zone that stays evacuated when the operator does not write it again.
func TestRecordIsLostByStore(t *testing.T) {
	restored := directory.VersionAt(2, 3)
	at := startedAt.Add
	for _, row := range []struct {
		name   string
		events func(s *State)
		now    time.Time
		want   Verdict
	}{
		{"same era", func(s *State) { s.ApplySnapshot(startedAt, 9, nil) }, startedAt, Serve},
		{"lost", func(s *State) { s.ApplySnapshot(startedAt, restored, nil) }, startedAt, Evacuated},
		{"lost, says another daemon", func(s *State) { s.Merge(startedAt, Set{Version: restored}) }, startedAt, Evacuated},
		{"lost, and not written again", func(s *State) {
			s.ApplySnapshot(startedAt, restored, nil)
			require.True(t, s.Expire(at(RetainTime-1)).IsEmpty())
			requireChange(t, Change{Ended: []string{"a"}}, s.Expire(at(RetainTime)))
		}, at(RetainTime), Serve},
		{"written again", func(s *State) {
			s.ApplySnapshot(startedAt, restored, nil)
			change, _ := s.ApplyRecords(startedAt, restored, restored+1, evacuate("a"))
			requireChange(t, Change{}, change)
			requireChange(t, Change{}, s.Expire(at(RetainTime)))
		}, at(RetainTime), Evacuated},
		{"removed afterwards", func(s *State) {
			s.ApplySnapshot(startedAt, restored, nil)
			change, _ := s.ApplyRecords(startedAt, restored, restored+1, []Record{{"a", Remove}})
			requireChange(t, Change{Ended: []string{"a"}}, change)
		}, startedAt, Serve},
		{"removed afterwards, said another daemon before", func(s *State) {
			s.ApplySnapshot(startedAt, restored, nil)
			s.Merge(startedAt, Set{Version: restored + 1})
			change, _ := s.ApplyRecords(startedAt, restored, restored+1, []Record{{"a", Remove}})
			requireChange(t, Change{Ended: []string{"a"}}, change)
		}, startedAt, Serve},
		{"not lost", func(s *State) {
			s.ApplySnapshot(startedAt, restored, evacuate("a"))
			s.ApplyRecords(startedAt, restored, restored+1, []Record{{"a", Remove}})
		}, startedAt, Serve},
	} {
		t.Run(row.name, func(t *testing.T) {
			s := stateAt(4, "a")
			row.events(s)
			require.Equal(t, row.want, s.Verdict(row.now, "a"))
			require.Equal(t, row.want == Evacuated, s.Current().Contains("a"))
		})
	}
}

// TestOddSetOfPeer guards against a set of another daemon that no later one can replace, or that no message can contain.
func TestOddSetOfPeer(t *testing.T) {
	for _, row := range []struct {
		name  string
		other Set
		want  Set
	}{
		{"nothing known", Set{0, []string{"b"}}, Set{4, []string{"a"}}},
		{"version that no store reaches", Set{math.MaxUint64, []string{"b"}}, Set{4, []string{"a"}}},
		{"older", Set{3, []string{"b"}}, Set{4, []string{"a"}}},
		{"newer", Set{5, []string{"b"}}, Set{5, []string{"b"}}},
		{"same version", Set{4, []string{"b"}}, Set{4, []string{"a", "b"}}},
		{"not sorted, and twice", Set{5, []string{"c", "b", "c"}}, Set{5, []string{"b", "c"}}},
		{"names that are not valid", Set{5, []string{"", "\xff", "a\uFFFD", strings.Repeat("a", 256), "b"}}, Set{5, []string{"b"}}},
	} {
		t.Run(row.name, func(t *testing.T) {
			s := stateAt(4, "a")
			s.Merge(startedAt, row.other)
			requireSet(t, row.want, s)
			require.True(t, slices.IsSorted(s.Current().Zones))
		})
	}
}

// TestVerdict guards against a daemon that was restarted in an evacuated zone and serves before
// it has learned of the evacuation, and against one that never serves because nobody tells it anything.
func TestVerdict(t *testing.T) {
	for _, row := range []struct {
		name  string
		state *State
		after time.Duration
		want  Verdict
	}{
		{"just started", NewState(startedAt), 0, Unknown},
		{"nobody told anything", NewState(startedAt), LearnTime, Serve},
		{"empty topic", stateAt(0), 0, Serve},
		{"other zone", stateAt(3, "b"), 0, Serve},
		{"own zone", stateAt(3, "a"), 0, Evacuated},
		{"own zone, later", stateAt(3, "a"), LearnTime, Evacuated},
	} {
		t.Run(row.name, func(t *testing.T) {
			require.Equal(t, row.want, row.state.Verdict(startedAt.Add(row.after), "a"))
		})
	}
}

// TestPausedDaemonServes guards against a daemon that was paused while its zone was evacuated, and that sends its
// target the requests that it finds when it goes on.
func TestPausedDaemonServes(t *testing.T) {
	at := startedAt.Add
	const pause = PauseLimit + time.Second
	for _, row := range []struct {
		name   string
		events func(s *State)
		after  time.Duration
		want   Verdict
	}{
		{"short pause", func(*State) {}, PauseLimit, Serve},
		{"pause not noticed yet", func(*State) {}, pause, Unknown},
		{"noticed", func(s *State) { require.True(t, s.Tick(at(pause))) }, pause, Unknown},
		{"reply to a heartbeat from before", func(s *State) { s.Tick(at(pause)); s.Confirm(at(pause - 1)) }, pause, Unknown},
		{"old set of another daemon", func(s *State) { s.Tick(at(pause)); s.Merge(at(pause), Set{Version: 5}) }, pause, Unknown},
		{"confirmed", func(s *State) { s.Tick(at(pause)); s.Confirm(at(pause)) }, pause, Serve},
		{"evacuated meanwhile", func(s *State) {
			s.Tick(at(pause))
			s.Merge(at(pause), Set{Version: 5, Zones: []string{"a"}})
			s.Confirm(at(pause))
		}, pause, Evacuated},
		{"nobody replies", func(s *State) {
			for after := pause; after <= pause+LearnTime; after += time.Second {
				s.Tick(at(after))
			}
		}, pause + LearnTime, Serve},
		{"runs without contact", func(s *State) {
			for after := time.Second; after <= time.Minute; after += time.Second {
				require.False(t, s.Tick(at(after)))
			}
		}, time.Minute, Serve},
	} {
		t.Run(row.name, func(t *testing.T) {
			s := stateAt(4)
			require.False(t, s.Tick(startedAt))
			row.events(s)
			require.Equal(t, row.want, s.Verdict(at(row.after), "a"))
		})
	}
}

// TestAllDaemonsConverge has daemons read a topic at different times, in parts or as snapshots,
// and exchange their sets. All must have the set of the topic in the end. It guards against a daemon
// that keeps an evacuation that has ended or misses one that has begun, whatever it read and heard, and in which order.
func TestAllDaemonsConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		zones := []string{"a", "b", "c"}
		var topic []Record
		daemons := make([]*State, 3)
		next, hasRead := make([]uint64, len(daemons)), make([]bool, len(daemons)) // up to which version each has read
		for i := range daemons {
			daemons[i] = NewState(startedAt)
		}
		newest := func(end uint64) []Record {
			var records []Record
			for _, zone := range zones {
				for i := int(end) - 1; i >= 0; i-- {
					if topic[i].Zone == zone {
						records = append(records, topic[i])
						break
					}
				}
			}
			return records
		}
		read := func(i int, snapshot bool) {
			end := uint64(len(topic))
			if hasRead[i] && !snapshot {
				_, ok := daemons[i].ApplyRecords(startedAt, next[i], end, topic[next[i]:])
				require.True(t, ok)
			} else {
				// The records of a snapshot can be newer than its version.
				version := uint64(rapid.IntRange(0, len(topic)).Draw(t, "version"))
				daemons[i].ApplySnapshot(startedAt, version, newest(end))
				end = version
			}
			next[i], hasRead[i] = end, true
		}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			i := rapid.IntRange(0, len(daemons)-1).Draw(t, "daemon")
			switch rapid.SampledFrom([]string{"write", "read", "snapshot", "send", "restart"}).Draw(t, "step") {
			case "write":
				zone := rapid.SampledFrom(zones).Draw(t, "zone")
				topic = append(topic, Record{Zone: zone, Kind: Kind(rapid.IntRange(0, 1).Draw(t, "kind"))})
			case "read":
				read(i, false)
			case "snapshot":
				read(i, true)
			case "send":
				daemons[rapid.IntRange(0, len(daemons)-1).Draw(t, "to")].Merge(startedAt, daemons[i].Current())
			case "restart":
				daemons[i], hasRead[i] = NewState(startedAt), false
			}
		}
		topic = append(topic, Record{Zone: "d", Kind: Remove})
		reader := rapid.IntRange(0, len(daemons)-1).Draw(t, "reader")
		read(reader, false)
		read(reader, false) // the first read may have been a snapshot of an earlier version
		want := Set{Version: uint64(len(topic))}
		for _, r := range newest(uint64(len(topic))) {
			if r.Kind == Evacuate {
				want.Zones = append(want.Zones, r.Zone)
			}
		}
		for _, d := range daemons {
			d.Merge(startedAt, daemons[reader].Current())
			requireSet(t, want, d)
		}
	})
}

// TestOneDaemonReachesStore spreads a set by heartbeats in a fleet of which only one daemon reaches the store, while a
// tenth of the messages is lost and daemons are restarted. It guards against an evacuation that some daemon learns of too late.
func TestOneDaemonReachesStore(t *testing.T) {
	const (
		daemons, guardians, others = 70, 2, 16 // others get a heartbeat every second round
		round                      = 300 * time.Millisecond
		limit                      = 3 * time.Second
	)
	slowest := time.Duration(0)
	for seed := range uint64(100) {
		rng := rand.New(rand.NewPCG(seed, 1))
		states, next := make([]*State, daemons), make([]int, daemons)
		for i := range states {
			states[i], next[i] = stateAt(4), rng.IntN(daemons)
		}
		states[rng.IntN(daemons)].ApplyRecords(startedAt, 4, 5, evacuate("a"))
		sent := make([]Set, daemons) // the sets at the start of a round
		exchange := func(from, to int) {
			if rng.IntN(10) == 0 {
				return
			}
			states[to].Merge(startedAt, sent[from])
			states[from].Merge(startedAt, sent[to])
		}
		informed := func() bool {
			return !slices.ContainsFunc(states, func(s *State) bool { return s.Verdict(startedAt, "a") != Evacuated })
		}
		elapsed := time.Duration(0)
		for n := 1; !informed(); n++ {
			if n == 2 {
				states[rng.IntN(daemons)] = NewState(startedAt)
			}
			elapsed += round
			for i, s := range states {
				sent[i] = s.Shared()
			}
			for i := range states {
				for g := range guardians {
					exchange(i, (i+g+1)%daemons)
				}
				for range others * (n % 2) {
					next[i]++
					if to := next[i] % daemons; to != i {
						exchange(i, to)
					}
				}
			}
			require.Less(t, elapsed, limit, "seed %d", seed)
		}
		slowest = max(slowest, elapsed)
	}
	t.Logf("all daemons know the set after at most %v", slowest)
}

// BenchmarkVerdict measures the decision for one request.
func BenchmarkVerdict(b *testing.B) {
	s := stateAt(4, "zone-a", "zone-b")
	for b.Loop() {
		if s.Verdict(startedAt, "zone-c") != Serve {
			b.Fatal("not served")
		}
	}
}
