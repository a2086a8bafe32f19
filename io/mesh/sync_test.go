package mesh

import (
	"bytes"
	"compress/flate"
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"siskinknot/core/directory"
	"siskinknot/core/placement"
	"siskinknot/io/boottime"
	"siskinknot/io/peer"
	"siskinknot/io/peer/peerpb"
)

// TestOvertakenChangeFetchesDirectory checks that changes which arrive in the wrong
// order are applied, and that a member which has missed some is sent those alone.
func TestOvertakenChangeFetchesDirectory(t *testing.T) {
	m := holder()
	var updates []directory.Update
	for i := range 4 {
		base := m.dir.End() + uint64(i)
		updates = append(updates, directory.Update{
			Base: base, End: base + 1, Entries: []directory.Entry{{Key: fmt.Sprintf("other/%d", i), Value: []byte("1")}},
		})
	}
	first, last := m.dir.End(), updates[3].End
	for _, i := range []int{2, 1, 3, 0} {
		m.answerUpdate(toUpdate(updates[i]))
	}
	require.Equal(t, last, m.dir.End())
	for i, known := range []uint64{first, first + 3, last} {
		reply := m.answerSnapshot(&peerpb.Snapshot{Since: known})
		require.Equal(t, last, reply.NextOffset)
		require.Len(t, reply.GetUpdate().GetEntries(), []int{4, 1, 0}[i])
	}
	require.Zero(t, m.answerSnapshot(&peerpb.Snapshot{}).Update.Base, "a member that knows nothing gets all")
}

// evenRanges returns n assignments that together hold all keys.
func evenRanges(n int) []directory.Assignment {
	list := make([]directory.Assignment, n)
	for i := range list {
		list[i] = directory.Assignment{
			First: uint16(i << 16 / n), Last: uint16((i+1)<<16/n - 1), Fence: uint64(1 + i*7919), Handover: fmt.Sprintf("%016x", i*7919),
		}
	}
	return list
}

// countingStore is a store of one directory that counts its calls.
type countingStore struct {
	// taking is how long an append takes.
	taking time.Duration

	mu      sync.Mutex
	end     uint64
	appends int
}

// Read implements Store.
func (s *countingStore) Read(_ context.Context, since uint64) (directory.Update, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return directory.Update{Base: since, End: s.end}, nil
}

// Append implements Store.
func (s *countingStore) Append(_ context.Context, u directory.Update) (uint64, error) {
	time.Sleep(s.taking)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.appends++
	if u.Base != s.end {
		return 0, &Conflict{End: s.end}
	}
	s.end += uint64(len(u.Entries))
	return s.end, nil
}

// TestEvacuationAppendsOncePerRange passes all keys of a member on, and checks that
// ranges which are released at the same time share a change of the directory.
func TestEvacuationAppendsOncePerRange(t *testing.T) {
	const ranges = 16
	m := holder(evenRanges(ranges)...)
	store := &countingStore{end: m.dir.End(), taking: 20 * time.Millisecond}
	m.store, m.log = store, hclog.NewNullLogger()
	to := members(3)[2]
	var passing sync.WaitGroup
	for _, h := range m.holdings {
		passing.Go(func() { m.passOne(h, to) })
	}
	passing.Wait()
	require.Empty(t, m.dir.OwnedBy(self))
	require.Len(t, m.dir.OwnedBy(to), ranges)
	// What is released during the first change shares the second, and so on.
	require.LessOrEqual(t, store.appends, ranges/4)
}

// TestJoiningMembersExceedStoreRate lets the members of a fleet change the directory at
// the same moment, and checks that they stay within what a small installation's store
// takes in a second.
func TestJoiningMembersExceedStoreRate(t *testing.T) {
	const fleet, writesPerSecond = 76, 400
	store := &countingStore{taking: appendTime / 2}
	var joining sync.WaitGroup
	for i := range fleet {
		m := holder()
		m.store, m.log, m.cfg.Self = store, hclog.NewNullLogger(), members(fleet)[i]
		m.dir = directory.New()
		joining.Go(func() {
			if err := m.commitAt(patient, "join", m.joinEntries); err != nil {
				t.Error(err)
			}
		})
	}
	joining.Wait()
	t.Logf("%d appends", store.appends)
	require.LessOrEqual(t, store.appends, writesPerSecond)
}

// TestEvacuationShattersRanges checks that the keys of a member which leaves are all
// passed on, in few parts however many others there are.
func TestEvacuationShattersRanges(t *testing.T) {
	for _, row := range []struct{ ranges, others, most int }{
		{1, 6, 6},
		{4, 6, mostParts},
		{6, 61, mostParts},
		{30, 61, 30},
	} {
		t.Run(fmt.Sprintf("%d ranges and %d others", row.ranges, row.others), func(t *testing.T) {
			m := holder(evenRanges(row.ranges)...)
			now := boottime.Now()
			join := directory.Update{Base: m.dir.End(), End: m.dir.End()}
			for _, addr := range members(row.others + 2)[2:] {
				join.Entries = append(join.Entries, directory.Member{Address: addr, Service: "s", State: directory.Active}.Put())
				join.End++
				m.loads[addr] = report{Load: placement.Load{Member: addr, Accepting: true, Slots: 8}, at: now}
			}
			m.apply(now, join)
			parts, to := m.evacuation()
			require.Len(t, to, len(parts))
			require.LessOrEqual(t, len(parts), row.most)
			keys := 0
			for _, p := range parts {
				keys += p.Width()
			}
			require.Equal(t, directory.MaxKey+1, keys)
		})
	}
}

// TestWholeDirectoryFloodsLinks checks that a member which starts gets the whole
// directory in compressed form, and that one member does not serve several at a time.
func TestWholeDirectoryFloodsLinks(t *testing.T) {
	m := holder(evenRanges(1 << 10)...)
	reply := m.answerSnapshot(&peerpb.Snapshot{})
	require.Less(t, proto.Size(reply), proto.Size(toUpdate(m.dir.Snapshot()))/4)
	started := holder()
	started.dir, started.log = directory.New(), hclog.NewNullLogger()
	started.applyFetched(self, reply.Update)
	require.True(t, started.loaded)
	require.Equal(t, m.dir.Snapshot(), started.dir.Snapshot())

	m.packing.Lock()
	require.Nil(t, m.answerSnapshot(&peerpb.Snapshot{}).Update)
}

// TestWholeDirectoryExceedsMessage checks that a member which has missed more changes
// than are kept can be sent the whole directory as an update: a guardian has to confirm
// a fence before keys pass on.
func TestWholeDirectoryExceedsMessage(t *testing.T) {
	m := holder(evenRanges(1 << 11)...)
	require.Greater(t, proto.Size(toUpdate(m.dir.Snapshot())), peer.MaxMessageBytes)
	packed, err := packUpdate(m.changesSince(1))
	require.NoError(t, err)
	require.Less(t, proto.Size(packed), peer.MaxMessageBytes/2)
	behind := holder()
	require.Equal(t, m.dir.End(), behind.answerUpdate(packed).NextOffset)
	require.Equal(t, m.dir.Snapshot(), behind.dir.Snapshot())
}

// TestCorruptDirectoryIsApplied checks that what does not unpack changes nothing.
func TestCorruptDirectoryIsApplied(t *testing.T) {
	whole, err := packUpdate(holder().dir.Snapshot())
	require.NoError(t, err)
	var other bytes.Buffer
	w, err := flate.NewWriter(&other, flate.BestSpeed)
	require.NoError(t, err)
	_, err = w.Write([]byte("directory"))
	require.NoError(t, err)
	require.NoError(t, w.Close())
	for _, row := range []struct {
		name   string
		packed []byte
	}{
		{"cut short", whole.Packed[:len(whole.Packed)/2]},
		{"not compressed", []byte("directory")},
		{"not an update", other.Bytes()},
	} {
		t.Run(row.name, func(t *testing.T) {
			m := holder()
			m.log = hclog.NewNullLogger()
			before := m.dir.End()
			corrupt := &peerpb.Update{End: before + 1, Packed: row.packed}
			m.applyFetched(self, corrupt)
			require.NotEmpty(t, m.answerUpdate(corrupt).Error)
			require.Equal(t, before, m.dir.End())
		})
	}
}

// TestAssignShattersNarrowRanges gives away ranges that have lost their owner, and checks
// that all keys get one, in few parts.
func TestAssignShattersNarrowRanges(t *testing.T) {
	for _, row := range []struct {
		name                  string
		ranges, width, takers int
		most                  int
	}{
		{"all keys of a new service", 1, 1 << 16, 62, 62},
		{"the keys of one owner", 4, 1 << 12, 6, 24},
		{"narrow ranges", 30, 10, 62, 60},
		{"single keys", 60, 1, 62, 60},
	} {
		t.Run(row.name, func(t *testing.T) {
			var takers []placement.Load
			for _, addr := range members(row.takers) {
				takers = append(takers, placement.Load{Member: addr, Slots: 8})
			}
			var ranges []directory.Assignment
			for i := range row.ranges {
				first := i * (1 << 16) / row.ranges
				ranges = append(ranges, directory.Assignment{Service: "s", First: uint16(first), Last: uint16(first + row.width - 1)})
			}
			dir := directory.New()
			entries := spread(dir, ranges, takers)
			require.True(t, dir.Apply(directory.Update{End: 1, Entries: entries}))
			require.LessOrEqual(t, dir.Ranges(), row.most)
			keys := 0
			for _, a := range dir.Assignments("s") {
				keys += a.Width()
			}
			require.Equal(t, row.ranges*row.width, keys)
		})
	}
}
