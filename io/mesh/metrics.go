package mesh

import (
	"time"

	"github.com/uber-go/tally/v4"

	"siskinknot/core/outcome"
	"siskinknot/core/workload"
)

// metrics are the counters and histograms of a Mesh.
type metrics struct {
	scope        tally.Scope
	storeReads   *counter
	storeAppends *counter
	// conflicts counts the appends that conflicted with another change.
	conflicts *counter
	// applied counts the directory changes that were applied, and applyTime the
	// time this took in microseconds. gaps counts the changes that arrived
	// before their predecessor, fetched the requests to other members for
	// changes, and told the changes sent to other members.
	applied, applyTime, gaps, fetched, told *counter
	// entriesIgnored counts the entries of the directory that define nothing.
	entriesIgnored *counter
	heartbeats     *counter
	// offersDropped counts the ranges that did not fit into the answer to a heartbeat
	// of the target.
	offersDropped *counter
	// grantsWrittenLate counts the grant calls that were written so late that the target
	// may hold the keys beyond the lease.
	grantsWrittenLate *counter
	// requests counts the requests that finished at this ingress daemon, and
	// lateOrFailed those of them that were not answered or were answered late.
	requests, lateOrFailed *counter
	latency                tally.Histogram
	// retryAfter holds the delays that rejected callers are told. redirects counts the
	// requests that were sent to another target because one had rejected them before it
	// received them, and redirectsTaken those of them that the other did not reject.
	retryAfter                tally.Histogram
	redirects, redirectsTaken *counter
	// sentBeyondLimit counts the requests that were sent to the target while their
	// rate exceeded the limit that the target names. targetLimit and sentRate are that
	// limit and rate.
	sentBeyondLimit *counter
	// answersUnbuffered counts the answers that were forwarded in parts because the memory
	// for answers was used up, and answerBytes is how much of it is used.
	answersUnbuffered     *counter
	answerBytes           tally.Gauge
	targetLimit, sentRate tally.Gauge
	// targetCold is 1 while the target is cold and its rate is limited for that, coldRefusals
	// counts the requests that were rejected meanwhile since the limit or the slots did not
	// suffice, and healthChecks those that were sent to the target.
	targetCold                 tally.Gauge
	coldRefusals, healthChecks *counter
	// targetCrashes counts the times that the target's process ended, without having
	// announced it, while it ran requests.
	targetCrashes *counter
	// suspects is the number of requests that were running during a crash and are not
	// forgotten, and quarantined that of those that are rejected.
	suspects, quarantined tally.Gauge
	// evacuatedZones is the number of evacuated zones, and rejectedEvacuated counts the requests
	// that were not sent to the target because its zone is evacuated.
	evacuatedZones    tally.Gauge
	rejectedEvacuated *counter
	// rejectedForCalls counts the requests that were rejected because the calls of their route
	// fail.
	rejectedForCalls *counter
	// unconfirmedConfig counts the requests for unknown routes that were not refused for good,
	// since there may be a newer configuration.
	unconfirmedConfig *counter
	// storeEra is the era of the store.
	storeEra tally.Gauge
	// choices counts the choices of targets of shared services by reason, twoChoices those
	// without reports of a pace. reportAge is the age of the report of the chosen target.
	choices    map[workload.Reason]tally.Counter
	twoChoices tally.Counter
	reportAge  tally.Histogram
	timerLag   lagRecorder
	// goroutineWait is how long goroutines waited for the processor in the last second, and
	// configAge how long ago the configuration was confirmed to be the newest, in seconds.
	// acceptedShare is the share of callers' requests that the processor time suffices for.
	goroutineWait, configAge, acceptedShare tally.Gauge
	goroutines                              tally.Gauge
	ranges                                  tally.Gauge
	sessions                                tally.Gauge
}

// newMetrics returns metrics registered in scope.
func newMetrics(scope tally.Scope) *metrics {
	buckets := tally.MustMakeExponentialDurationBuckets(4*time.Millisecond, 2, 12)
	choices := map[workload.Reason]tally.Counter{}
	for _, reason := range workload.Reasons {
		choices[reason] = choiceCounter(scope, string(reason))
	}
	return &metrics{
		choices:      choices,
		twoChoices:   choiceCounter(scope, "two_choices"),
		reportAge:    scope.Histogram("target_report_age", buckets),
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

		entriesIgnored: newCounter(scope, "directory_entries_ignored"),
		offersDropped:  newCounter(scope, "grant_offers_dropped"),

		grantsWrittenLate: newCounter(scope, "grants_written_late"),
		requests:          newCounter(scope, "requests_ended"),
		lateOrFailed:      newCounter(scope, "requests_late_or_failed"),
		latency:           scope.Histogram("request_time", buckets),
		retryAfter:        scope.Histogram("retry_after", buckets),
		redirects:         newCounter(scope, "redirects"),
		redirectsTaken:    newCounter(scope, "redirects_taken"),
		sentBeyondLimit:   newCounter(scope, "target_requests_beyond_limit"),
		answersUnbuffered: newCounter(scope, "answers_unbuffered"),
		answerBytes:       scope.Gauge("answer_bytes"),
		targetLimit:       scope.Gauge("target_limit_per_second"),
		targetCold:        scope.Gauge("target_cold"),
		coldRefusals:      newCounter(scope, "target_cold_rejections"),
		healthChecks:      newCounter(scope, "target_health_checks"),
		targetCrashes:     newCounter(scope, "target_crashes"),
		suspects:          scope.Gauge("suspects"),
		quarantined:       scope.Gauge("suspects_quarantined"),
		evacuatedZones:    scope.Gauge("evacuated_zones"),
		rejectedEvacuated: newCounter(scope, "requests_rejected_evacuated"),
		rejectedForCalls:  newCounter(scope, "requests_rejected_for_calls"),
		unconfirmedConfig: newCounter(scope, "requests_config_unconfirmed"),
		storeEra:          scope.Gauge("store_era"),
		sentRate:          scope.Gauge("target_requests_per_second"),
		timerLag:          lagRecorder{histogram: scope.Histogram("timer_lag", buckets)},
		goroutineWait:     scope.Gauge("goroutine_wait_seconds"),
		acceptedShare:     scope.Gauge("accepted_share"),
		configAge:         scope.Gauge("config_age_seconds"),
		goroutines:        scope.Gauge("goroutines"),
		ranges:            scope.Gauge("directory_ranges"),
		sessions:          scope.Gauge("sessions_open"),
	}
}

// choiceCounter returns the counter of the choices of targets for a reason.
func choiceCounter(scope tally.Scope, reason string) tally.Counter {
	return scope.Tagged(map[string]string{"reason": reason}).Counter("target_choices")
}

// recordChoice counts a choice of a target by its cost.
func (m *metrics) recordChoice(choice workload.Choice) {
	if counter, ok := m.choices[choice.Reason]; ok {
		counter.Inc(1)
	}
	if choice.ReportAge >= 0 {
		m.reportAge.RecordDuration(choice.ReportAge)
	}
}

// recordTwoChoices counts a choice of a target that relies on no pace.
func (m *metrics) recordTwoChoices() { m.twoChoices.Inc(1) }

// recordOutcome counts a request by outcome and reason, and records its
// duration.
func (m *metrics) recordOutcome(res outcome.Result, took time.Duration) {
	m.scope.Tagged(map[string]string{"outcome": res.String(), "reason": string(reasonOf(res))}).Counter("requests").Inc(1)
	m.latency.RecordDuration(took)
	m.requests.Inc(1)
	if notRun, ok := res.(outcome.NotRun); ok && notRun.RetryAfter > 0 {
		m.retryAfter.RecordDuration(notRun.RetryAfter)
	}
}

// reasonOf returns the reason of an outcome other than an answer, or "" for an
// answer.
func reasonOf(res outcome.Result) outcome.Reason {
	switch res := res.(type) {
	case outcome.NotRun:
		return res.Reason
	case Refused:
		return res.Reason
	case outcome.Unknown:
		return res.Reason
	default:
		return ""
	}
}
