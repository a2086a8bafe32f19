package mesh

import (
	"maps"
	"sync"
	"time"

	"siskinknot/core/outcome"
	"siskinknot/io/goruntime"
)

// stateInterval is the time between two lines on the state of the daemon.
const stateInterval = time.Second

// runStateLog is the task that logs, each second, whether the daemon gets to run, how old what it
// knows of the fleet is, and how the requests of its callers ended. In an incident the lines of
// single requests are too many to be kept.
func (m *Mesh) runStateLog() error {
	last, waits := cpuTime(), goruntime.NewWaits()
	return m.runEvery(stateInterval, func(now time.Time) {
		used, wait := cpuTime(), waits.Take()
		requests, notAnswered := m.outcomes.take()
		m.mu.Lock()
		version := uint64(0)
		if m.table != nil {
			version = m.table.Version
		}
		configAge := age(now, m.configCurrency.ConfirmedAt(version))
		answerAge, storeAge := age(now, m.heartbeatAnsweredAt), age(now, m.storeAnsweredAt)
		m.mu.Unlock()
		share, _ := m.processor.shares(now)
		m.metrics.goroutineWait.Update(wait.Mean().Seconds())
		m.metrics.acceptedShare.Update(share)
		m.metrics.configAge.Update(float64(configAge) / 1000)
		m.log.Info("state", "processor_ms", (used - last).Milliseconds(), "lag_ms", m.metrics.timerLag.takeRecentMax().Milliseconds(),
			"wait_us", wait.Mean().Microseconds(), "wait_p90_us", wait.Quantile(0.9).Microseconds(), "waits", wait.Count(),
			"config", version, "config_age_ms", configAge, "answer_age_ms", answerAge, "store_age_ms", storeAge,
			"accepted_share", share, "requests", requests, "not_answered", notAnswered)
		last = used
	})
}

// age returns the milliseconds from at to now, or -1 if at is zero.
func age(now, at time.Time) int64 {
	if at.IsZero() {
		return -1
	}
	return now.Sub(at).Milliseconds()
}

// outcomeCounts counts the requests of callers that ended, and those without an answer by reason.
type outcomeCounts struct {
	mu          sync.Mutex
	ended       int
	notAnswered map[outcome.Reason]int
}

// add counts a request that ended with res.
func (c *outcomeCounts) add(res outcome.Result) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ended++
	if reason := reasonOf(res); reason != "" {
		if c.notAnswered == nil {
			c.notAnswered = map[outcome.Reason]int{}
		}
		c.notAnswered[reason]++
	}
}

// take returns the counts since its last call.
func (c *outcomeCounts) take() (ended int, notAnswered map[outcome.Reason]int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	ended, notAnswered = c.ended, maps.Clone(c.notAnswered)
	c.ended = 0
	clear(c.notAnswered)
	return ended, notAnswered
}
