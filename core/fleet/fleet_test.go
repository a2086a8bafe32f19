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

// fold is a State with the next offset to apply.
type fold struct {
	*State
	t testing.TB
}

func newFold(t testing.TB, slots int) *fold {
	f := &fold{State: New(), t: t}
	f.accept(record.Edit{ID: "first", Node: "/", Patch: json.RawMessage(
		fmt.Sprintf(`{"services": {"registry": {"kind": "divided", "slots": %d}}}`, slots))})
	return f
}

func (f *fold) apply(rec record.Record) Verdict { return f.Apply(f.Next(), rec) }

func (f *fold) accept(rec record.Record) {
	f.t.Helper()
	if v, ok := f.apply(rec).(Ignored); ok {
		f.t.Fatalf("%s ignored: %s", record.Kind(rec), v.Reason)
	}
}

// join adds members a, b, c, ... each guarded by the next two.
func (f *fold) join(n int) []record.Incarnation {
	f.t.Helper()
	ids := make([]record.Incarnation, n)
	for i := range ids {
		ids[i] = record.Incarnation(fmt.Sprintf("s%d#%016x", i, xxhash.Sum64String(fmt.Sprint(i))))
		f.accept(announcement(i, ids[i]))
	}
	for i := range ids {
		pair := [2]record.Incarnation{ids[(i+1)%n], ids[(i+2)%n]}
		f.accept(record.Guardians{By: ids[i], Epoch: 1, Pair: pair})
	}
	return ids
}

func announcement(i int, id record.Incarnation) record.Announce {
	addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7400)
	return record.Announce{
		By: id, Server: fmt.Sprint("s", i), Service: "registry", Zone: "z" + fmt.Sprint(i%3),
		Daemon: addr, Caller: addr, BootID: "boot",
	}
}

func TestFold(t *testing.T) {
	f := newFold(t, 4)
	ids := f.join(4)
	f.accept(record.Assign{By: ids[0], Service: "registry"})
	svc := f.Service("registry")
	unit := func(slot int) record.Unit { return record.Unit{Slot: slot, Token: svc.Slot(slot).Token} }
	stale := unit(0)
	first := svc.Slot(0).ID
	other := ids[1]
	if first == other {
		other = ids[2]
	}
	release := func(seq uint64, by, to record.Incarnation, u record.Unit) record.Release {
		return record.Release{By: by, Service: "registry", Seq: seq, Transfers: []record.Transfer{{Unit: u, To: to}}}
	}
	f.accept(release(1, first, other, stale))
	tests := []struct {
		name string
		rec  record.Record
		want string
	}{
		{"a release settles once", release(1, first, other, stale), "settled before"},
		{"a release of what another owns", release(2, first, other, unit(0)), "can pass on"},
		{"a release with an old token", release(1, other, first, stale), "can pass on"},
		{"a release to the owner itself", release(2, other, other, unit(0)), "can pass on"},
		{"a release of a slot that does not exist", release(3, other, first, record.Unit{Slot: 99}), "can pass on"},
		{"a second announcement", announcement(0, ids[0]), "announced before"},
		{"a pair that skips an epoch", record.Guardians{By: ids[0], Epoch: 3, Pair: [2]record.Incarnation{ids[1], ids[2]}}, "is not 2"},
		{"a pair without consent", record.Guardians{By: ids[0], Epoch: 2, Pair: [2]record.Incarnation{ids[1], ids[2]}}, "consented"},
		{"a pair with a stranger", record.Guardians{By: ids[0], Epoch: 2, Pair: [2]record.Incarnation{ids[1], "x"}}, "is lost"},
		{"a daemon that guards itself", record.Guardians{By: ids[0], Epoch: 2, Pair: [2]record.Incarnation{ids[0], ids[1]}}, "two others"},
		{"a revoke by no guardian", record.Revoke{By: ids[3], Of: ids[0], Epoch: 1}, "does not guard"},
		{"a revoke of itself", record.Revoke{By: ids[0], Of: ids[0], Epoch: 1}, "itself"},
		{"a revoke of an old epoch", record.Revoke{By: ids[1], Of: ids[0], Epoch: 0}, "is not 1"},
		{"an heir that is the second guardian", record.Revoke{By: ids[2], Of: ids[0], Epoch: 1, Heir: true}, "first guardian"},
		{"a revoke on no accusation", record.Revoke{By: ids[1], Of: ids[0], Accused: 5}, "was answered"},
		{"a planner that skips a term", record.Planner{By: ids[0], Service: "registry", Term: 2}, "is not 1"},
		{"an assignment without free units", record.Assign{By: ids[0], Service: "registry"}, "no free unit"},
		{"a record that does not decode", nil, "decode"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			v, ok := f.apply(tt.rec).(Ignored)
			if !ok || !strings.Contains(v.Reason, tt.want) {
				t.Errorf("verdict %+v, want it ignored with %q", v, tt.want)
			}
		})
	}
}

func TestRevokeSpreadsEvenly(t *testing.T) {
	f := newFold(t, 64)
	ids := f.join(4)
	f.accept(record.Assign{By: ids[0], Service: "registry"})
	f.accept(record.Revoke{By: ids[1], Of: ids[0], Epoch: 1})
	svc := f.Service("registry")
	for _, id := range ids[1:] {
		if n := svc.Count(id); n < 21 || n > 22 {
			t.Errorf("%s owns %d of 64 slots, want 21 or 22", id, n)
		}
	}
	if svc.Changes() != 16 {
		t.Errorf("%d slots changed owner, want the 16 that had to", svc.Changes())
	}
	if v, ok := f.apply(announcement(0, ids[0])).(Ignored); !ok {
		t.Errorf("a late announcement of a revoked member: %+v", v)
	}
}

func TestCarvedKey(t *testing.T) {
	f := newFold(t, 4)
	ids := f.join(3)
	f.accept(record.Assign{By: ids[0], Service: "registry"})
	svc := f.Service("registry")
	const key = "hot"
	owner := svc.Slot(svc.SlotOf(key)).ID
	to := ids[0]
	if owner == to {
		to = ids[1]
	}
	move := func(from, to record.Incarnation) {
		unit, held := svc.UnitOf(key)
		require.Equal(t, from, held.ID)
		unit.Key = key
		f.accept(record.Release{
			By: from, Service: "registry", Seq: f.Member(from).Releases + 1,
			Transfers: []record.Transfer{{Unit: unit, To: to}},
		})
	}
	move(owner, to)
	require.Equal(t, []string{key}, svc.Carved())
	before := svc.Slot(svc.SlotOf(key)).Token
	move(to, owner)
	require.Empty(t, svc.Carved())
	require.Greater(t, svc.Slot(svc.SlotOf(key)).Token, before)
}

func TestSnapshotKeepsTheState(t *testing.T) {
	f := newFold(t, 16)
	ids := f.join(5)
	f.accept(record.Assign{By: ids[0], Service: "registry"})
	f.accept(record.Revoke{By: ids[1], Of: ids[0], Epoch: 1})
	f.accept(record.Accuse{By: ids[1], Of: ids[2]})
	f.accept(record.Leave{By: ids[3]})
	data, err := f.Encode()
	require.NoError(t, err)
	copied, err := Decode(data)
	require.NoError(t, err)
	again, err := copied.Encode()
	require.NoError(t, err)
	require.Equal(t, data, again)
	// Both go on alike.
	rec := record.Revoke{By: ids[2], Of: ids[1], Epoch: 1}
	f.accept(rec)
	copied.Apply(copied.Next(), rec)
	for slot := range 16 {
		require.Equal(t, f.Service("registry").Slot(slot), copied.Service("registry").Slot(slot))
	}
}

func FuzzDecode(f *testing.F) {
	src := newFold(f, 8)
	src.join(3)
	data, err := src.Encode()
	if err != nil {
		f.Fatal(err)
	}
	plain, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		f.Fatal(err)
	}
	text, err := io.ReadAll(plain)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(text)
	f.Add([]byte(`{"services": [{"name": "x", "slots": 3, "groups": [{"steps": [-1]}]}]}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		var zipped bytes.Buffer
		zip := gzip.NewWriter(&zipped)
		_, _ = zip.Write(text)
		_ = zip.Close()
		// It must refuse or accept, never panic, and accept what it encodes.
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

// Sizes of the benchmarks: the target size, for one service.
const (
	benchMembers = 3200
	benchSlots   = 131072
)

// bigFold returns a state at the target size.
func bigFold(b *testing.B) (*fold, []record.Incarnation) {
	b.Helper()
	f := newFold(b, benchSlots)
	ids := f.join(benchMembers)
	f.accept(record.Assign{By: ids[0], Service: "registry"})
	return f, ids
}

func BenchmarkRevokeAndJoin(b *testing.B) {
	f, ids := bigFold(b)
	b.ResetTimer()
	for i := range b.N {
		n := i % (benchMembers - 3)
		guardian := f.Member(ids[n]).Pair[0]
		if f.Lost(guardian) {
			guardian = f.Member(ids[n]).Pair[1]
		}
		f.apply(record.Revoke{By: guardian, Of: ids[n], Epoch: f.Member(ids[n]).Epoch})
		id := record.Incarnation(fmt.Sprintf("s%d#%d", n, i+2))
		f.apply(announcement(n, id))
		f.apply(record.Guardians{By: id, Epoch: 1, Pair: [2]record.Incarnation{ids[benchMembers-1], ids[benchMembers-2]}})
		ids[n] = id
	}
}

func BenchmarkEncode(b *testing.B) {
	f, _ := bigFold(b)
	b.ResetTimer()
	size := 0
	for range b.N {
		data, err := f.Encode()
		if err != nil {
			b.Fatal(err)
		}
		size = len(data)
	}
	b.ReportMetric(float64(size), "bytes")
}

func BenchmarkDecode(b *testing.B) {
	f, _ := bigFold(b)
	data, err := f.Encode()
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
