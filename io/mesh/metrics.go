package mesh

import (
	"time"

	"github.com/uber-go/tally/v4"

	"siskinknot/core/outcome"
)

// metrics are the counters and histograms of a Mesh.
type metrics struct {
	scope        tally.Scope
	storeReads   tally.Counter
	storeAppends tally.Counter
	latency      tally.Histogram
}

// newMetrics returns the metrics in scope.
func newMetrics(scope tally.Scope) *metrics {
	buckets := tally.MustMakeExponentialDurationBuckets(4*time.Millisecond, 2, 12)
	return &metrics{
		scope:        scope,
		storeReads:   scope.Counter("store_reads"),
		storeAppends: scope.Counter("store_appends"),
		latency:      scope.Histogram("request_time", buckets),
	}
}

// ended counts a request by its outcome and reason.
func (m *metrics) ended(res outcome.Result, took time.Duration) {
	m.scope.Tagged(map[string]string{"outcome": res.String(), "reason": string(reasonOf(res))}).Counter("requests").Inc(1)
	m.latency.RecordDuration(took)
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
