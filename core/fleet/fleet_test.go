package fleet

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"fmt"
	"io"
	"net/netip"
	"runtime"
	"strings"
	"testing"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"

	"siskinknot/core/record"
)

// testState is a State whose methods apply each record at the next offset.
type testState struct {
	*State
	t testing.TB
}

// newTestState returns a state with one service divided by key, "registry", of the
// given number of slots.
func newTestState(t testing.TB, slots int) *testState {
	ts := &testState{State: New(), t: t}
	ts.mustApply(record.Edit{ID: "first", Node: "/", Patch: json.RawMessage(
		fmt.Sprintf(`{"services": {"registry": {"kind": "divided", "slots": %d}}}`, slots))})
	return ts
}

// apply applies rec at the next offset.
func (ts *testState) apply(rec record.Record) Result { return ts.Apply(ts.NextOffset(), rec) }

// mustApply applies rec and fails the test if the record is ignored.
func (ts *testState) mustApply(rec record.Record) {
	ts.t.Helper()
	if v, ok := ts.apply(rec).(Ignored); ok {
		ts.t.Fatalf("%s ignored: %s", record.Kind(rec), v.Reason)
	}
}

// join adds n members and returns them in the order of their announcements. The
// guardians of each are the next two members.
func (ts *testState) join(n int) []record.Incarnation {
	ts.t.Helper()
	ids := make([]record.Incarnation, n)
	for i := range ids {
		ids[i] = record.Incarnation(fmt.Sprintf("s%d#%016x", i, xxhash.Sum64String(fmt.Sprint(i))))
		ts.mustApply(announcement(i, ids[i]))
	}
	for i := range ids {
		pair := [2]record.Incarnation{ids[(i+1)%n], ids[(i+2)%n]}
		ts.mustApply(record.Guardians{By: ids[i], Epoch: 1, Pair: pair})
	}
	return ids
}

// announcement returns the Announce of id, a process on the server with number i.
func announcement(i int, id record.Incarnation) record.Announce {
	addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7400)
	return record.Announce{
		By: id, Server: fmt.Sprint("s", i), Service: "registry", Zone: "z" + fmt.Sprint(i%3),
		DaemonAddress: addr, CallerAddress: addr, BootID: "boot",
	}
}

// TestApplyIgnoresInvalidRecords checks that records that are stale or invalid
// are ignored, and why.
func TestApplyIgnoresInvalidRecords(t *testing.T) {
	ts := newTestState(t, 4)
	ids := ts.join(4)
	ts.mustApply(record.Assign{By: ids[0], Service: "registry"})
	svc := ts.Service("registry")
	unit := func(slot int) record.Unit { return record.Unit{Slot: slot, Token: svc.SlotOwner(slot).Token} }
	stale := unit(0)
	first := svc.SlotOwner(0).ID
	other := ids[1]
	if first == other {
		other = ids[2]
	}
	release := func(seq uint64, by, to record.Incarnation, u record.Unit) record.Release {
		return record.Release{By: by, Service: "registry", Seq: seq, Transfers: []record.Transfer{{Unit: u, To: to}}}
	}
	ts.mustApply(release(1, first, other, stale))
	tests := []struct {
		name string
		rec  record.Record
		want string
	}{
		{"release with the seq of an earlier one", release(1, first, other, stale), "settled before"},
		{"release of a unit of another owner", release(2, first, other, unit(0)), "can pass on"},
		{"release with an old token", release(1, other, first, stale), "can pass on"},
		{"release to the sender itself", release(2, other, other, unit(0)), "can pass on"},
		{"release of a slot that does not exist", release(3, other, first, record.Unit{Slot: 99}), "can pass on"},
		{"second announcement of an incarnation", announcement(0, ids[0]), "announced before"},
		{"guardians that skip an epoch", record.Guardians{By: ids[0], Epoch: 3, Pair: [2]record.Incarnation{ids[1], ids[2]}}, "is not 2"},
		{"guardians without consent", record.Guardians{By: ids[0], Epoch: 2, Pair: [2]record.Incarnation{ids[1], ids[2]}}, "consented"},
		{"guardian that is not a member", record.Guardians{By: ids[0], Epoch: 2, Pair: [2]record.Incarnation{ids[1], "x"}}, "is lost"},
		{"member as its own guardian", record.Guardians{By: ids[0], Epoch: 2, Pair: [2]record.Incarnation{ids[0], ids[1]}}, "two others"},
		{"revoke by a member that is not a guardian", record.Revoke{By: ids[3], Of: ids[0], Epoch: 1}, "does not guard"},
		{"revoke of the sender itself", record.Revoke{By: ids[0], Of: ids[0], Epoch: 1}, "itself"},
		{"revoke with an old epoch", record.Revoke{By: ids[1], Of: ids[0], Epoch: 0}, "is not 1"},
		{"second guardian as heir", record.Revoke{By: ids[2], Of: ids[0], Epoch: 1, Heir: true}, "first guardian"},
		{"revoke for an accusation that does not exist", record.Revoke{By: ids[1], Of: ids[0], Accused: 5}, "was answered"},
		{"planner that skips a term", record.Planner{By: ids[0], Service: "registry", Term: 2}, "is not 1"},
		{"assign without a free unit", record.Assign{By: ids[0], Service: "registry"}, "no free unit"},
		{"record that does not decode", nil, "decode"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			v, ok := ts.apply(tt.rec).(Ignored)
			if !ok || !strings.Contains(v.Reason, tt.want) {
				t.Errorf("Apply returned %+v, want Ignored with a reason that contains %q", v, tt.want)
			}
		})
	}
}

func TestRevokeDistributesEvenly(t *testing.T) {
	ts := newTestState(t, 64)
	ids := ts.join(4)
	ts.mustApply(record.Assign{By: ids[0], Service: "registry"})
	ts.mustApply(record.Revoke{By: ids[1], Of: ids[0], Epoch: 1})
	svc := ts.Service("registry")
	for _, id := range ids[1:] {
		if n := svc.NumSlotsOf(id); n < 21 || n > 22 {
			t.Errorf("%s owns %d of 64 slots, want 21 or 22", id, n)
		}
	}
	if svc.OwnerChanges() != 16 {
		t.Errorf("%d slots changed owner, want only the 16 of the revoked member", svc.OwnerChanges())
	}
	if v, ok := ts.apply(announcement(0, ids[0])).(Ignored); !ok {
		t.Errorf("late announcement of a revoked member: %+v, want Ignored", v)
	}
}

// TestCarvedKey transfers a single key to the owner of another slot and back. The
// key is carved out of its slot and then rejoins it.
func TestCarvedKey(t *testing.T) {
	ts := newTestState(t, 4)
	ids := ts.join(3)
	ts.mustApply(record.Assign{By: ids[0], Service: "registry"})
	svc := ts.Service("registry")
	const key = "hot"
	owner := svc.SlotOwner(svc.SlotOf(key)).ID
	to := ids[0]
	if owner == to {
		to = ids[1]
	}
	// move releases the key, whose owner must be from, to another member.
	move := func(from, to record.Incarnation) {
		unit, current := svc.UnitOf(key)
		require.Equal(t, from, current.ID)
		unit.Key = key
		ts.mustApply(record.Release{
			By: from, Service: "registry", Seq: ts.Member(from).Releases + 1,
			Transfers: []record.Transfer{{Unit: unit, To: to}},
		})
	}
	move(owner, to)
	require.Equal(t, []string{key}, svc.CarvedKeys())
	before := svc.SlotOwner(svc.SlotOf(key)).Token
	move(to, owner)
	require.Empty(t, svc.CarvedKeys())
	require.Greater(t, svc.SlotOwner(svc.SlotOf(key)).Token, before)
}

// TestSnapshotKeepsTheState checks that a decoded snapshot equals the state that was
// encoded, and stays equal when both apply the next record.
func TestSnapshotKeepsTheState(t *testing.T) {
	ts := newTestState(t, 16)
	ids := ts.join(5)
	ts.mustApply(record.Assign{By: ids[0], Service: "registry"})
	ts.mustApply(record.Revoke{By: ids[1], Of: ids[0], Epoch: 1})
	ts.mustApply(record.Accuse{By: ids[1], Of: ids[2]})
	ts.mustApply(record.Leave{By: ids[3]})
	data, err := ts.Encode()
	require.NoError(t, err)
	decoded, err := Decode(data)
	require.NoError(t, err)
	reencoded, err := decoded.Encode()
	require.NoError(t, err)
	require.Equal(t, data, reencoded)
	// The decoded state and the original apply a further record with the same
	// result.
	rec := record.Revoke{By: ids[2], Of: ids[1], Epoch: 1}
	ts.mustApply(rec)
	decoded.Apply(decoded.NextOffset(), rec)
	for slot := range 16 {
		require.Equal(t, ts.Service("registry").SlotOwner(slot), decoded.Service("registry").SlotOwner(slot))
	}
}

func FuzzDecode(f *testing.F) {
	state := newTestState(f, 8)
	state.join(3)
	data, err := state.Encode()
	if err != nil {
		f.Fatal(err)
	}
	zipReader, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		f.Fatal(err)
	}
	text, err := io.ReadAll(zipReader)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(text)
	f.Add([]byte(`{"services": [{"name": "x", "slots": 3, "groups": [{"steps": [-1]}]}]}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		var zipped bytes.Buffer
		zipWriter := gzip.NewWriter(&zipped)
		_, _ = zipWriter.Write(text)
		_ = zipWriter.Close()
		// Decode must not panic, and must accept what Encode returns for a
		// state that it decoded.
		s, err := Decode(zipped.Bytes())
		if err != nil {
			return
		}
		data, err := s.Encode()
		if err != nil {
			t.Fatal(err)
		}
		if _, err := Decode(data); err != nil {
			t.Fatal(err)
		}
	})
}

// Sizes of the state in the benchmarks: the fleet size that the project targets, for
// one service.
const (
	benchMembers = 3200
	benchSlots   = 131072
)

// newBenchState returns a state with benchMembers members and benchSlots slots, all
// of which have an owner.
func newBenchState(b *testing.B) (*testState, []record.Incarnation) {
	b.Helper()
	ts := newTestState(b, benchSlots)
	ids := ts.join(benchMembers)
	ts.mustApply(record.Assign{By: ids[0], Service: "registry"})
	return ts, ids
}

func BenchmarkRevokeAndJoin(b *testing.B) {
	ts, ids := newBenchState(b)
	b.ResetTimer()
	for i := range b.N {
		n := i % (benchMembers - 3)
		guardian := ts.Member(ids[n]).Pair[0]
		if ts.Lost(guardian) {
			guardian = ts.Member(ids[n]).Pair[1]
		}
		ts.apply(record.Revoke{By: guardian, Of: ids[n], Epoch: ts.Member(ids[n]).Epoch})
		id := record.Incarnation(fmt.Sprintf("s%d#%d", n, i+2))
		ts.apply(announcement(n, id))
		ts.apply(record.Guardians{By: id, Epoch: 1, Pair: [2]record.Incarnation{ids[benchMembers-1], ids[benchMembers-2]}})
		ids[n] = id
	}
}

func BenchmarkEncode(b *testing.B) {
	ts, _ := newBenchState(b)
	b.ResetTimer()
	size := 0
	for range b.N {
		data, err := ts.Encode()
		if err != nil {
			b.Fatal(err)
		}
		size = len(data)
	}
	b.ReportMetric(float64(size), "bytes")
}

func BenchmarkDecode(b *testing.B) {
	ts, _ := newBenchState(b)
	data, err := ts.Encode()
	if err != nil {
		b.Fatal(err)
	}
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	b.ReportAllocs()
	b.ResetTimer()
	var s *State
	for range b.N {
		s, err = Decode(data)
		if err != nil {
			b.Fatal(err)
		}
	}
	b.StopTimer()
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc), "resident-bytes")
	runtime.KeepAlive(s)
}
