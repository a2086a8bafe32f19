package meter

import (
	"sync/atomic"
	"time"
)

// Maximum is the longest of the durations that were recorded. The zero value has none. It is safe
// for concurrent use.
type Maximum struct{ nanoseconds atomic.Int64 }

// Record records d.
func (m *Maximum) Record(d time.Duration) {
	for longest := m.nanoseconds.Load(); int64(d) > longest && !m.nanoseconds.CompareAndSwap(longest, int64(d)); {
		longest = m.nanoseconds.Load()
	}
}

// Take returns the longest duration since its last call, or 0 if there is none.
func (m *Maximum) Take() time.Duration { return time.Duration(m.nanoseconds.Swap(0)) }
