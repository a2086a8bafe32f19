package mesh

import (
	runtimemetrics "runtime/metrics"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
	"golang.org/x/sys/unix"
)

// usageEvery is the time between two log lines of what the process uses: often
// enough to see a daemon slow down within an incident, and rare enough to cost
// nothing.
const usageEvery = 5 * time.Second

// counter counts events for the metrics and for the log lines of usage.
type counter struct {
	tally.Counter
	since atomic.Int64
}

// newCounter returns the counter of that name in scope.
func newCounter(scope tally.Scope, name string) *counter {
	return &counter{Counter: scope.Counter(name)}
}

// Inc implements tally.Counter.
func (c *counter) Inc(delta int64) {
	c.Counter.Inc(delta)
	c.since.Add(delta)
}

// take returns how many events there were since it was last called.
func (c *counter) take() int64 { return c.since.Swap(0) }

// lag measures how late timers run: a process that is short of processor time is
// late with its own work, and one that waits for others is not.
type lag struct {
	histogram tally.Histogram
	most      atomic.Int64
}

// note notes a timer that was due at due and ran at now.
func (l *lag) note(due, now time.Time) {
	late := max(0, now.Sub(due))
	l.histogram.RecordDuration(late)
	for most := l.most.Load(); int64(late) > most && !l.most.CompareAndSwap(most, int64(late)); {
		most = l.most.Load()
	}
}

// take returns the longest delay since it was last called.
func (l *lag) take() time.Duration { return time.Duration(l.most.Swap(0)) }

// usage is the task that logs what the process uses, and for what.
func (m *Mesh) usage() error {
	last := processorTime()
	return m.every(usageEvery, func(time.Time) {
		used := processorTime()
		c := m.metrics
		goroutines, heap := runtimeUse()
		m.mu.Lock()
		members, ranges, holdings := len(m.dir.Members()), m.dir.Ranges(), len(m.holdings)
		m.mu.Unlock()
		sessions := m.pool.Sessions()
		c.goroutines.Update(float64(goroutines))
		c.ranges.Update(float64(ranges))
		c.sessions.Update(float64(sessions))
		m.log.Info("usage", "processor_ms", (used - last).Milliseconds(), "timer_lag_ms", c.timerLag.take().Milliseconds(),
			"goroutines", goroutines, "heap_kb", heap>>10, "sessions", sessions, "members", members, "ranges", ranges,
			"holdings", holdings, "applied", c.applied.take(), "apply_us", c.applyTime.take(), "gaps", c.gaps.take(),
			"fetched", c.fetched.take(), "told", c.told.take(), "heartbeats", c.heartbeats.take(),
			"reads", c.storeReads.take(), "appends", c.storeAppends.take(), "conflicts", c.conflicts.take(),
			"requests", c.requests.take(), "late_or_refused", c.failed.take())
		last = used
	})
}

// processorTime returns the processor time that the process has used; 0 if the
// system does not say.
func processorTime() time.Duration {
	var use unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &use); err != nil {
		return 0
	}
	return time.Duration(use.Utime.Nano() + use.Stime.Nano())
}

// runtimeUse returns the number of goroutines, and the bytes of live and dead
// objects on the heap.
func runtimeUse() (goroutines, heap uint64) {
	samples := []runtimemetrics.Sample{{Name: "/sched/goroutines:goroutines"}, {Name: "/memory/classes/heap/objects:bytes"}}
	runtimemetrics.Read(samples)
	value := func(i int) uint64 {
		if samples[i].Value.Kind() != runtimemetrics.KindUint64 {
			return 0
		}
		return samples[i].Value.Uint64()
	}
	return value(0), value(1)
}
