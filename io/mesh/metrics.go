package mesh

import (
	"time"

	"github.com/uber-go/tally/v4"

	"siskinknot/core/outcome"
)

// metrics are the counters and histograms of a Mesh.
type metrics struct {
	scope        tally.Scope
	storeReads   *counter
	storeAppends *counter
	// conflicts counts the appends that met another change.
	conflicts *counter
	// applied counts the changes of the directory that were applied, and
	// applyTime their time in microseconds; gaps counts those that had to wait for
	// one before them, fetched the times that changes were asked of other members,
	// and told the changes sent to them.
	applied, applyTime, gaps, fetched, told *counter
	heartbeats                              *counter
	// requests counts the requests that ended at this entry, and failed those of
	// them that were not answered, or late.
	requests, failed *counter
	latency          tally.Histogram
	timerLag         lag
	goroutines       tally.Gauge
	ranges           tally.Gauge
	sessions         tally.Gauge
}

// newMetrics returns the metrics in scope.
func newMetrics(scope tally.Scope) *metrics {
	buckets := tally.MustMakeExponentialDurationBuckets(4*time.Millisecond, 2, 12)
	return &metrics{
		scope:        scope,
		storeReads:   newCounter(scope, "store_reads"),
		storeAppends: newCounter(scope, "store_appends"),
		conflicts:    newCounter(scope, "store_conflicts"),
		applied:      newCounter(scope, "directory_changes_applied"),
		applyTime:    newCounter(scope, "directory_apply_us"),
		gaps:         newCounter(scope, "directory_gaps"),
		fetched:      newCounter(scope, "directory_fetches"),
		told:         newCounter(scope, "directory_changes_told"),
		heartbeats:   newCounter(scope, "heartbeats_sent"),
		requests:     newCounter(scope, "requests_ended"),
		failed:       newCounter(scope, "requests_late_or_failed"),
		latency:      scope.Histogram("request_time", buckets),
		timerLag:     lag{histogram: scope.Histogram("timer_lag", buckets)},
		goroutines:   scope.Gauge("goroutines"),
		ranges:       scope.Gauge("directory_ranges"),
		sessions:     scope.Gauge("sessions_open"),
	}
}

// ended counts a request by its outcome and reason.
func (m *metrics) ended(res outcome.Result, took time.Duration) {
	m.scope.Tagged(map[string]string{"outcome": res.String(), "reason": string(reasonOf(res))}).Counter("requests").Inc(1)
	m.latency.RecordDuration(took)
	m.requests.Inc(1)
}

// reasonOf returns the reason of an outcome that is no answer.
func reasonOf(res outcome.Result) outcome.Reason {
	switch res := res.(type) {
	case outcome.NotRun:
		return res.Reason
	case outcome.Unknown:
		return res.Reason
	default:
		return ""
	}
}
