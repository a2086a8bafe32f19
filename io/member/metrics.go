package member

import "github.com/uber-go/tally/v4"

// metrics are the counters and gauges of a Member; docs/OPERATIONS.md explains
// each.
type metrics struct {
	applied           tally.Counter
	ignored           tally.Counter
	appends           tally.Counter
	appendErrors      tally.Counter
	readErrors        tally.Counter
	reloads           tally.Counter
	renewals          tally.Counter
	renewalErrors     tally.Counter
	renewalsGranted   tally.Counter
	renewalsRefused   tally.Counter
	promises          tally.Counter
	revokes           tally.Counter
	heirships         tally.Counter
	pairs             tally.Counter
	releases          tally.Counter
	cancelledReleases tally.Counter
	cancelledRequests tally.Counter
	lapses            tally.Counter
	rejoins           tally.Counter
	snapshots         tally.Counter
	movesPlanned      tally.Counter
	slowServers       tally.Counter
	leaseHeld         tally.Gauge
	nextOffset        tally.Gauge
	unitsOwned        tally.Gauge
	settingsVersion   tally.Gauge
}

func newMetrics(s tally.Scope) metrics {
	return metrics{
		applied:           s.Counter("log_records_folded"),
		ignored:           s.Counter("log_records_ignored"),
		appends:           s.Counter("log_appends"),
		appendErrors:      s.Counter("log_append_errors"),
		readErrors:        s.Counter("log_read_errors"),
		reloads:           s.Counter("log_reloads"),
		renewals:          s.Counter("lease_renewals"),
		renewalErrors:     s.Counter("lease_renewal_errors"),
		renewalsGranted:   s.Counter("lease_renewals_granted"),
		renewalsRefused:   s.Counter("lease_renewals_refused"),
		promises:          s.Counter("lease_promises_given"),
		revokes:           s.Counter("lease_revokes_sent"),
		heirships:         s.Counter("lease_heirships"),
		pairs:             s.Counter("lease_pairs_sent"),
		releases:          s.Counter("releases_sent"),
		cancelledReleases: s.Counter("releases_cancelled"),
		cancelledRequests: s.Counter("requests_cancelled_by_lapse"),
		lapses:            s.Counter("lease_lapses"),
		rejoins:           s.Counter("rejoins"),
		snapshots:         s.Counter("snapshots_sent"),
		movesPlanned:      s.Counter("moves_planned"),
		slowServers:       s.Counter("slow_targets_found"),
		leaseHeld:         s.Gauge("lease_held"),
		nextOffset:        s.Gauge("log_next_offset"),
		unitsOwned:        s.Gauge("units_owned"),
		settingsVersion:   s.Gauge("settings_version"),
	}
}
