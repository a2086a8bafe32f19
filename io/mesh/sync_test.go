package mesh

import (
	"bytes"
	"compress/flate"
	"context"
	"fmt"
	"strings"
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

// TestOvertakenChangeFetchesDirectory checks that changes that arrive out of
// order are applied, and that a member that has missed some changes is sent
// only those.
func TestOvertakenChangeFetchesDirectory(t *testing.T) {
	m := newTestMesh()
	var updates []directory.Update
	for i := range 4 {
		base := m.dir.Version() + uint64(i)
		updates = append(updates, directory.Update{
			Base: base, End: base + 1, Entries: []directory.Entry{{Key: fmt.Sprintf("other/%d", i), Value: []byte("1")}},
		})
	}
	first, last := m.dir.Version(), updates[3].End
	for _, i := range []int{2, 1, 3, 0} {
		m.handleUpdate(updateToProto(updates[i]))
	}
	require.Equal(t, last, m.dir.Version())
	for i, known := range []uint64{first, first + 3, last} {
		reply := m.handleSnapshot(&peerpb.Snapshot{Since: known})
		require.Equal(t, last, reply.NextOffset)
		require.Len(t, reply.GetUpdate().GetEntries(), []int{4, 1, 0}[i])
	}
	require.Zero(t, m.handleSnapshot(&peerpb.Snapshot{}).Update.Base, "a member without a directory gets the whole directory")
}

// TestIgnoredEntryIsLoggedOnce guards against an entry that is ignored without a log line, or with one for each change.
func TestIgnoredEntryIsLoggedOnce(t *testing.T) {
	var log bytes.Buffer
	m := newTestMesh()
	m.log = hclog.New(&hclog.LoggerOptions{Output: &log})
	odd := directory.Entry{Key: "member/10.0.0.9:7400", Value: []byte(`{"address":"10.0.0.9:99999"}`)}
	for range 3 {
		base := m.dir.Version()
		m.handleUpdate(updateToProto(directory.Update{Base: base, End: base + 1, Entries: []directory.Entry{odd}}))
	}
	require.Equal(t, 1, strings.Count(log.String(), "\n"), log.String())
	require.Contains(t, log.String(), "directory entry ignored: key=member/10.0.0.9:7400")
	require.Contains(t, log.String(), "99999")
}

// evenRanges returns n assignments of equal width that together contain all
// keys.
func evenRanges(n int) []directory.Assignment {
	list := make([]directory.Assignment, n)
	for i := range list {
		list[i] = directory.Assignment{
			First: uint16(i << 16 / n), Last: uint16((i+1)<<16/n - 1), Fence: uint64(1 + i*7919), Handover: fmt.Sprintf("%016x", i*7919),
		}
	}
	return list
}

// countingStore is a fake store that counts the appends to one directory.
type countingStore struct {
	// appendDelay is how long an append takes.
	appendDelay time.Duration

	mu      sync.Mutex
	version uint64
	appends int
}

// Read implements Store.
func (s *countingStore) Read(_ context.Context, since uint64) (directory.Update, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return directory.Update{Base: since, End: s.version}, nil
}

// Append implements Store.
func (s *countingStore) Append(_ context.Context, u directory.Update) directory.AppendResult {
	time.Sleep(s.appendDelay)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.appends++
	if u.Base != s.version {
		return directory.Conflicted{End: s.version}
	}
	s.version += uint64(len(u.Entries))
	return directory.Applied{End: s.version}
}

// ReadFormer implements Store.
func (s *countingStore) ReadFormer(context.Context, uint64) (directory.Update, error) {
	return directory.Update{}, nil
}

// ObserveEra implements Store.
func (s *countingStore) ObserveEra(uint64) {}

// Era implements Store.
func (s *countingStore) Era() uint64 { return directory.FirstEra }

// TestEvacuationAppendsOncePerRange transfers all keys of a member, and checks
// that ranges that are released at the same time share one directory change
// instead of each making its own.
func TestEvacuationAppendsOncePerRange(t *testing.T) {
	const ranges = 16
	m := newTestMesh(evenRanges(ranges)...)
	store := &countingStore{version: m.dir.Version(), appendDelay: 20 * time.Millisecond}
	m.store, m.log = store, hclog.NewNullLogger()
	to := testAddrs(3)[2]
	var transfers sync.WaitGroup
	for _, h := range m.holdings {
		transfers.Go(func() { m.transferRange(h, to) })
	}
	transfers.Wait()
	require.Empty(t, m.dir.OwnedBy(self))
	require.Len(t, m.dir.OwnedBy(to), ranges)
	// Ranges released during the first change share the second, and so on.
	require.LessOrEqual(t, store.appends, ranges/4)
}

// TestJoiningMembersExceedStoreRate lets the members of a fleet change the
// directory at the same time, and checks that they make no more appends than a
// small installation's store accepts per second.
func TestJoiningMembersExceedStoreRate(t *testing.T) {
	const fleetSize, writesPerSecond = 76, 400
	store := &countingStore{appendDelay: typicalAppendTime / 2}
	var joins sync.WaitGroup
	for i := range fleetSize {
		m := newTestMesh()
		m.store, m.log, m.cfg.Self = store, hclog.NewNullLogger(), testAddrs(fleetSize)[i]
		m.dir = directory.New()
		joins.Go(func() {
			if err := m.commitAt(relaxedBackoff, "join", m.joinEntries); err != nil {
				t.Error(err)
			}
		})
	}
	joins.Wait()
	t.Logf("%d appends", store.appends)
	require.LessOrEqual(t, store.appends, writesPerSecond)
}

// TestEvacuationSplitsIntoTooManyRanges checks that all keys of a leaving member
// are transferred, in few parts regardless of the number of other members.
func TestEvacuationSplitsIntoTooManyRanges(t *testing.T) {
	for _, row := range []struct{ ranges, others, maxParts int }{
		{1, 6, 6},
		{4, 6, evacuationParts},
		{6, 61, evacuationParts},
		{30, 61, 30},
	} {
		t.Run(fmt.Sprintf("%d ranges and %d others", row.ranges, row.others), func(t *testing.T) {
			m := newTestMesh(evenRanges(row.ranges)...)
			now := boottime.Now()
			join := directory.Update{Base: m.dir.Version(), End: m.dir.Version()}
			for _, addr := range testAddrs(row.others + 2)[2:] {
				join.Entries = append(join.Entries, directory.Member{Address: addr, Service: "s", State: directory.Active}.PutEntry())
				join.End++
				m.reports[addr] = loadReport{Load: placement.Load{Member: addr, Accepting: true, Slots: 8}, receivedAt: now}
			}
			m.apply(now, join)
			parts, owners := m.planEvacuation()
			require.Len(t, owners, len(parts))
			require.LessOrEqual(t, len(parts), row.maxParts)
			keys := 0
			for _, p := range parts {
				keys += p.Width()
			}
			require.Equal(t, directory.MaxKey+1, keys)
		})
	}
}

// TestWholeDirectoryFloodsLinks checks that a member that starts gets the whole
// directory in compressed form, and that a member serves only one such request
// at a time. Otherwise many members that start at the same time would fill the
// links that also carry requests.
func TestWholeDirectoryFloodsLinks(t *testing.T) {
	m := newTestMesh(evenRanges(1 << 10)...)
	reply := m.handleSnapshot(&peerpb.Snapshot{})
	require.Less(t, proto.Size(reply), proto.Size(updateToProto(m.dir.Snapshot()))/4)
	newMember := newTestMesh()
	newMember.dir, newMember.log = directory.New(), hclog.NewNullLogger()
	newMember.applyFetched(self, reply.Update)
	require.True(t, newMember.loaded)
	require.Equal(t, m.dir.Snapshot(), newMember.dir.Snapshot())

	m.snapshotMu.Lock()
	require.Nil(t, m.handleSnapshot(&peerpb.Snapshot{}).Update)
}

// TestWholeDirectoryExceedsMessage checks that a member that has missed more
// changes than are kept can be sent the whole directory in one update.
// Otherwise a guardian that is behind could not confirm a fence, and the keys
// could not be reassigned.
func TestWholeDirectoryExceedsMessage(t *testing.T) {
	m := newTestMesh(evenRanges(1 << 11)...)
	require.Greater(t, proto.Size(updateToProto(m.dir.Snapshot())), peer.MaxMessageBytes)
	packed, err := packUpdate(m.changesSince(1))
	require.NoError(t, err)
	require.Less(t, proto.Size(packed), peer.MaxMessageBytes/2)
	behind := newTestMesh()
	require.Equal(t, m.dir.Version(), behind.handleUpdate(packed).NextOffset)
	require.Equal(t, m.dir.Snapshot(), behind.dir.Snapshot())
}

// TestCorruptDirectoryIsApplied checks that an update that cannot be unpacked
// changes nothing.
func TestCorruptDirectoryIsApplied(t *testing.T) {
	valid, err := packUpdate(newTestMesh().dir.Snapshot())
	require.NoError(t, err)
	var notUpdate bytes.Buffer
	w, err := flate.NewWriter(&notUpdate, flate.BestSpeed)
	require.NoError(t, err)
	_, err = w.Write([]byte("directory"))
	require.NoError(t, err)
	require.NoError(t, w.Close())
	for _, row := range []struct {
		name   string
		packed []byte
	}{
		{"cut short", valid.Packed[:len(valid.Packed)/2]},
		{"not compressed", []byte("directory")},
		{"not an update", notUpdate.Bytes()},
	} {
		t.Run(row.name, func(t *testing.T) {
			m := newTestMesh()
			m.log = hclog.NewNullLogger()
			before := m.dir.Version()
			corrupt := &peerpb.Update{End: before + 1, Packed: row.packed}
			m.applyFetched(self, corrupt)
			require.NotEmpty(t, m.handleUpdate(corrupt).Error)
			require.Equal(t, before, m.dir.Version())
		})
	}
}

// TestAssignSplitsNarrowRanges assigns ranges that have lost their owner, and
// checks that all keys get an owner and that narrow ranges are not split into
// many parts.
func TestAssignSplitsNarrowRanges(t *testing.T) {
	for _, row := range []struct {
		name                      string
		ranges, width, candidates int
		maxRanges                 int
	}{
		{"all keys of a new service", 1, 1 << 16, 62, 62},
		{"all ranges of one owner", 4, 1 << 12, 6, 24},
		{"narrow ranges", 30, 10, 62, 60},
		{"single keys", 60, 1, 62, 60},
	} {
		t.Run(row.name, func(t *testing.T) {
			var candidates []placement.Load
			for _, addr := range testAddrs(row.candidates) {
				candidates = append(candidates, placement.Load{Member: addr, Slots: 8})
			}
			var ranges []directory.Assignment
			for i := range row.ranges {
				first := i * (1 << 16) / row.ranges
				ranges = append(ranges, directory.Assignment{Service: "s", First: uint16(first), Last: uint16(first + row.width - 1)})
			}
			dir := directory.New()
			entries := spreadRanges(dir, ranges, placement.NewDistribution(candidates, candidates))
			require.True(t, dir.Apply(directory.Update{End: 1, Entries: entries}))
			require.LessOrEqual(t, dir.RangeCount(), row.maxRanges)
			keys := 0
			for _, a := range dir.Assignments("s") {
				keys += a.Width()
			}
			require.Equal(t, row.ranges*row.width, keys)
		})
	}
}
