package mesh

import (
	runtimemetrics "runtime/metrics"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
	"golang.org/x/sys/unix"

	"siskinknot/io/meter"
)

// usageInterval is the time between two usage log lines: short enough to show a
// daemon slowing down during an incident, and long enough to cost almost
// nothing.
const usageInterval = 5 * time.Second

// counter counts events for the metrics and for the usage log lines.
type counter struct {
	tally.Counter
	sinceLog atomic.Int64
}

// newCounter returns the counter with the given name in scope.
func newCounter(scope tally.Scope, name string) *counter {
	return &counter{Counter: scope.Counter(name)}
}

// Inc implements tally.Counter.
func (c *counter) Inc(delta int64) {
	c.Counter.Inc(delta)
	c.sinceLog.Add(delta)
}

// takeCount returns the number of events since its last call.
func (c *counter) takeCount() int64 { return c.sinceLog.Swap(0) }

// lagRecorder measures how late timers fire. Timers of a process that is short
// of CPU time fire late; those of a process that waits for others do not.
type lagRecorder struct {
	histogram tally.Histogram
	// longest and recent are the longest delays since the last calls of takeMax and takeRecentMax.
	longest, recent meter.Maximum
}

// record records a timer that was due at due and fired at now.
func (l *lagRecorder) record(due, now time.Time) {
	late := max(0, now.Sub(due))
	l.histogram.RecordDuration(late)
	l.longest.Record(late)
	l.recent.Record(late)
}

// takeMax returns the longest delay since its last call.
func (l *lagRecorder) takeMax() time.Duration { return l.longest.Take() }

// takeRecentMax is takeMax for the log of the state.
func (l *lagRecorder) takeRecentMax() time.Duration { return l.recent.Take() }

// runUsageLog is the task that logs the process's resource usage and activity.
func (m *Mesh) runUsageLog() error {
	last := cpuTime()
	return m.runEvery(usageInterval, func(now time.Time) {
		m.reportLimit(now)
		m.expireSuspects(now)
		m.reportCallPaths(now)
		used := cpuTime()
		c := m.metrics
		goroutines, heap := runtimeUsage()
		m.mu.Lock()
		members, ranges, holdings := len(m.dir.Members()), m.dir.RangeCount(), len(m.holdings)
		m.mu.Unlock()
		sessions := m.pool.Sessions()
		c.answerBytes.Update(float64(m.answers.used.Load()))
		c.goroutines.Update(float64(goroutines))
		c.ranges.Update(float64(ranges))
		c.sessions.Update(float64(sessions))
		m.log.Info("usage", "processor_ms", (used - last).Milliseconds(), "timer_lag_ms", c.timerLag.takeMax().Milliseconds(),
			"goroutines", goroutines, "heap_kb", heap>>10, "sessions", sessions, "members", members, "ranges", ranges,
			"holdings", holdings, "applied", c.applied.takeCount(), "apply_us", c.applyTime.takeCount(), "gaps", c.gaps.takeCount(),
			"fetched", c.fetched.takeCount(), "told", c.told.takeCount(), "heartbeats", c.heartbeats.takeCount(),
			"reads", c.storeReads.takeCount(), "appends", c.storeAppends.takeCount(), "conflicts", c.conflicts.takeCount(),
			"requests", c.requests.takeCount(), "late_or_refused", c.lateOrFailed.takeCount())
		last = used
	})
}

// cpuTime returns the CPU time that the process has used, or 0 if the system
// does not report it.
func cpuTime() time.Duration {
	var use unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &use); err != nil {
		return 0
	}
	return time.Duration(use.Utime.Nano() + use.Stime.Nano())
}

// runtimeUsage returns the number of goroutines, and the size in bytes of the
// objects on the heap, both live and not yet freed.
func runtimeUsage() (goroutines, heap uint64) {
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
