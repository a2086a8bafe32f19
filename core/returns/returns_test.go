package returns

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// at returns the time ms milliseconds after the start of a test.
func at(ms int) time.Time { return time.Unix(100, 0).Add(time.Duration(ms) * time.Millisecond) }

// rejection returns a rejection of a request of 100 ms by a target with 10 slots of which
// new requests leave spare. The target has 200 ms of work waiting in each slot.
func rejection(priority int, spare float64, left time.Duration) Rejection {
	return Rejection{Priority: priority, Work: 100 * time.Millisecond, Waiting: 2 * time.Second, Capacity: 10, Spare: spare, Left: left}
}

// TestDelay checks the delay of the first rejection: it is no longer than needed, and honest
// if there is no room before the deadline.
func TestDelay(t *testing.T) {
	for _, row := range []struct {
		name      string
		rejection Rejection
		min, max  time.Duration
	}{
		{"load has ended", rejection(1, 10, 3*time.Second), 200 * time.Millisecond, 200*time.Millisecond + jitter},
		{"half of the capacity is left", rejection(1, 5, 3*time.Second), 400 * time.Millisecond, 400*time.Millisecond + jitter},
		{"nothing waits", Rejection{Work: 1, Capacity: 10, Spare: 10, Left: time.Second}, MinDelay, MinDelay + jitter},
		{"room after the caller returns", rejection(1, 1, 3*time.Second), 2 * time.Second, 2*time.Second + jitter},
		{"room after the deadline", rejection(1, 0.5, 3*time.Second), 4 * time.Second, 4*time.Second + jitter},
		{"room after the end of the book", rejection(1, 0.25, 3*time.Second), 8 * time.Second, 8*time.Second + jitter},
		{"room far away", Rejection{Work: 1, Waiting: time.Hour, Capacity: 10, Spare: 1, Left: time.Second}, MaxDelay, MaxDelay},
		{"no room", rejection(1, -3, 3*time.Second), MinDelay, time.Second},
		{"no time left", rejection(1, -3, 0), MinDelay, MinDelay},
		{"deadline past", rejection(1, 5, -time.Second), 400 * time.Millisecond, 400*time.Millisecond + jitter},
		{"no capacity", rejection(1, 0, 3*time.Second), MinDelay, time.Second},
	} {
		t.Run(row.name, func(t *testing.T) {
			delay := NewBook().Reserve(at(0), row.rejection)
			require.GreaterOrEqual(t, delay, row.min-time.Millisecond)
			require.LessOrEqual(t, delay, row.max+time.Millisecond)
		})
	}
}

// TestReturnsExceedCapacity guards against callers that are told the same time: while there
// is room, no more work returns in any time than the capacity that new requests leave and
// the work of one request and of the jitter.
func TestReturnsExceedCapacity(t *testing.T) {
	const spare = 5.0
	for _, waiting := range []time.Duration{0, 2 * time.Second} {
		b, work := NewBook(), make([]float64, 1000)
		for i := range 150 {
			now, r := i*3, rejection(1, spare, 30*time.Second)
			r.Waiting = waiting
			delay := b.Reserve(at(now), r)
			work[(now+int(delay.Milliseconds()))/100] += 0.1
		}
		for tenth, sum := range work {
			require.LessOrEqual(t, sum, spare*(0.1+jitter.Seconds())+0.11, "returns at %d ms, %v of work waiting", tenth*100, waiting)
		}
	}
}

// TestReservationsExpire checks that work counts no longer than until its time.
func TestReservationsExpire(t *testing.T) {
	b := NewBook()
	for range 100 {
		b.Reserve(at(0), rejection(1, 5, 30*time.Second))
	}
	require.Greater(t, b.Reserve(at(0), rejection(1, 5, 30*time.Second)), 2*time.Second)
	require.Less(t, b.Reserve(at(10_000), rejection(1, 5, 30*time.Second)), 400*time.Millisecond+jitter)
	require.InDelta(t, 0.1, b.levels[0].total, 1e-6)
}

// TestLowerPriorityReturnsFirst checks that a lower level is told later times than a higher
// one, and does not delay it.
func TestLowerPriorityReturnsFirst(t *testing.T) {
	for _, row := range []struct {
		name       string
		spare      float64
		rejections int // enough of them that random times differ on average
	}{{"room", 5, 50}, {"no room", -3, 2000}} {
		t.Run(row.name, func(t *testing.T) {
			var higher, lower time.Duration
			b := NewBook()
			for range row.rejections {
				lower += b.Reserve(at(0), rejection(2, row.spare, 3*time.Second))
				higher += b.Reserve(at(0), rejection(0, row.spare, 3*time.Second))
			}
			require.Greater(t, lower, higher)
		})
	}
	b, alone := NewBook(), NewBook()
	for range 50 {
		b.Reserve(at(0), rejection(2, 5, 30*time.Second))
	}
	require.InDelta(t, alone.Reserve(at(0), rejection(0, 5, 3*time.Second)), b.Reserve(at(0), rejection(0, 5, 3*time.Second)), float64(jitter))
}

// TestReserveBounds checks the bounds of the delay, and that the reserved work is that of
// the entries, for any rejections.
func TestReserveBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b, now := NewBook(), 0
		for range rapid.IntRange(1, 200).Draw(t, "rejections") {
			now += rapid.IntRange(-50, 500).Draw(t, "elapsed")
			r := Rejection{
				Priority: rapid.IntRange(0, 3).Draw(t, "priority"),
				Work:     time.Duration(rapid.IntRange(0, 2000).Draw(t, "work")) * time.Millisecond,
				Waiting:  time.Duration(rapid.IntRange(0, 100_000).Draw(t, "waiting")) * time.Millisecond,
				Capacity: rapid.Float64Range(0, 100).Draw(t, "capacity"),
				Left:     time.Duration(rapid.IntRange(-1000, 60_000).Draw(t, "left")) * time.Millisecond,
				Returned: rapid.Bool().Draw(t, "returned"),
			}
			r.Spare = r.Capacity - rapid.Float64Range(0, 200).Draw(t, "arrivals")
			delay := b.Reserve(at(now), r)
			require.GreaterOrEqual(t, delay, MinDelay)
			require.LessOrEqual(t, delay, MaxDelay)
			if r.Spare <= 0 {
				require.LessOrEqual(t, delay, r.window()+time.Millisecond)
			}
		}
		for _, l := range b.levels {
			sum := 0.0
			for _, work := range l.reserved {
				require.GreaterOrEqual(t, work, 0.0)
				sum += work
			}
			require.InDelta(t, sum, l.total, 1e-6)
		}
	})
}

// BenchmarkReserve measures a rejection while the book is full for 3 levels.
func BenchmarkReserve(b *testing.B) {
	for _, row := range []struct {
		name  string
		spare float64
	}{{"room", 0.5}, {"no_room", -3}} {
		b.Run(row.name, func(b *testing.B) {
			book := NewBook()
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				book.Reserve(at(i/10), rejection(i%3, row.spare, 3*time.Second))
			}
		})
	}
}
