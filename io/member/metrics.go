package member

import "github.com/uber-go/tally/v4"

// metrics are the counters of a Member; docs/OPERATIONS.md explains each.
type metrics struct {
	folded        tally.Counter
	ignored       tally.Counter
	appends       tally.Counter
	appendErrors  tally.Counter
	readErrors    tally.Counter
	reloads       tally.Counter
	renewals      tally.Counter
	renewalErrors tally.Counter
	granted       tally.Counter
	refused       tally.Counter
	promises      tally.Counter
	revokes       tally.Counter
	heirs         tally.Counter
	pairs         tally.Counter
	releases      tally.Counter
	cancelledMove tally.Counter
	cancelled     tally.Counter
	lapses        tally.Counter
	rejoins       tally.Counter
	snapshots     tally.Counter
	moves         tally.Counter
	slowServers   tally.Counter
	holds         tally.Gauge
	next          tally.Gauge
	units         tally.Gauge
	version       tally.Gauge
}

func newMetrics(s tally.Scope) metrics {
	return metrics{
		folded:        s.Counter("log_records_folded"),
		ignored:       s.Counter("log_records_ignored"),
		appends:       s.Counter("log_appends"),
		appendErrors:  s.Counter("log_append_errors"),
		readErrors:    s.Counter("log_read_errors"),
		reloads:       s.Counter("log_reloads"),
		renewals:      s.Counter("lease_renewals"),
		renewalErrors: s.Counter("lease_renewal_errors"),
		granted:       s.Counter("lease_renewals_granted"),
		refused:       s.Counter("lease_renewals_refused"),
		promises:      s.Counter("lease_promises_given"),
		revokes:       s.Counter("lease_revokes_sent"),
		heirs:         s.Counter("lease_heirships"),
		pairs:         s.Counter("lease_pairs_sent"),
		releases:      s.Counter("releases_sent"),
		cancelledMove: s.Counter("releases_cancelled"),
		cancelled:     s.Counter("requests_cancelled_by_lapse"),
		lapses:        s.Counter("lease_lapses"),
		rejoins:       s.Counter("rejoins"),
		snapshots:     s.Counter("snapshots_sent"),
		moves:         s.Counter("moves_planned"),
		slowServers:   s.Counter("slow_targets_found"),
		holds:         s.Gauge("lease_held"),
		next:          s.Gauge("log_next_offset"),
		units:         s.Gauge("units_owned"),
		version:       s.Gauge("settings_version"),
	}
}
