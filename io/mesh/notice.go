package mesh

import (
	"time"

	"siskinknot/core/request"
)

const (
	// limitEndDelay is how long after the last answer that names a limit an answer
	// without one ends the limit. Answers that the target sent in the other order may
	// be processed in between.
	limitEndDelay = 300 * time.Millisecond
	// limitLogRatio is the ratio between a limit and the one that was logged last
	// from which on the new one is logged too. Targets may compute a limit anew for
	// each answer.
	limitLogRatio = 1.25
	// sentRateHalfLife is the age at which a request that was sent counts half in the
	// rate of the requests sent.
	sentRateHalfLife = time.Second
)

// targetLimit is the limit that the target beside this daemon names in its answers.
type targetLimit struct {
	// limited is set while the target names a limit, and perSecond is the newest one.
	limited   bool
	perSecond float64
	// namedAt is when the last answer that names a limit arrived, and loggedPerSecond
	// the limit that was logged last.
	namedAt         time.Time
	loggedPerSecond float64
}

// recordNotice records what an answer of the target's process notice.Instance, which
// arrived at now, states about the target.
func (m *Mesh) recordNotice(now time.Time, notice *request.TargetNotice) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if notice.Instance != m.target.Instance {
		return
	}
	m.recordLimit(now, notice)
	m.target.answered = true
	if notice.Leaving {
		m.recordLeaving(now, "answer")
	}
}

// adoptNotice records what another daemon knows from an earlier answer of the target's
// current process, if this daemon does not know it because it was restarted since then.
// A nil notice has no effect.
func (m *Mesh) adoptNotice(now time.Time, notice *request.TargetNotice) {
	if notice == nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if notice.Instance != m.target.Instance {
		return
	}
	if notice.Limited && !m.target.answered && !m.target.limit.limited {
		m.recordLimit(now, notice)
	}
	if notice.Leaving {
		m.recordLeaving(now.Add(-notice.LeavingFor), "daemon")
	}
}

// recordLeaving records that the target has been leaving since the given time, as source
// tells: a heartbeat, an answer, another daemon, or the announced exit of its process.
// The caller holds the mutex.
func (m *Mesh) recordLeaving(since time.Time, source string) {
	t := &m.target
	if !t.leavingSince.IsZero() {
		return
	}
	m.log.Info("target leaves", "instance", t.Instance, "source", source)
	t.leavingSince = since
	t.Ready = false
	m.notify()
}

// recordLimit records the limit of a notice. The caller holds the mutex.
func (m *Mesh) recordLimit(now time.Time, notice *request.TargetNotice) {
	l := &m.target.limit
	switch {
	case notice.Limited:
		l.namedAt, l.perSecond = now, notice.Limit
		if changed := max(l.perSecond, l.loggedPerSecond) >= limitLogRatio*min(l.perSecond, l.loggedPerSecond); !l.limited || changed {
			l.loggedPerSecond = l.perSecond
			m.log.Info("target names a limit", "instance", notice.Instance, "per_second", notice.Limit, "sent_per_second", m.sentRate.PerSecond(now))
		}
		l.limited = true
		m.rate.setNamed(now, l.perSecond)
	case l.limited && now.Sub(l.namedAt) > limitEndDelay:
		m.log.Info("target names no limit any more", "instance", notice.Instance, "per_second", l.perSecond)
		*l = targetLimit{}
		m.rate.clearNamed(now)
	}
}

// recordSent counts a request that is sent to the target at now. The caller holds the
// mutex.
func (m *Mesh) recordSent(now time.Time) {
	m.sentRate.Add(now, 1)
	if l := &m.target.limit; l.limited && m.sentRate.PerSecond(now) > l.perSecond {
		m.metrics.sentBeyondLimit.Inc(1)
	}
}

// reportLimit sets the gauges of the target's limit and of the rate of requests that
// are sent to it. The limit is reported as -1 if there is none.
func (m *Mesh) reportLimit(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	limit := -1.0
	if m.target.limit.limited {
		limit = m.target.limit.perSecond
	}
	m.metrics.targetLimit.Update(limit)
	m.metrics.sentRate.Update(m.sentRate.PerSecond(now))
}
