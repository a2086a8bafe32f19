// Package connbudget divides the connections that a target accepts among their uses.
//
// A target accepts a limited number of connections and resets all others. The daemon
// beside it is its only client, and uses connections for requests, for grants and for
// releases. A member may own more ranges of keys than its target accepts connections, and
// after a start all of them need a grant at the same time. The load that this package
// answers is that burst: with a limit of its own, it cannot take the connections that the
// requests need, whatever the number of ranges.
//
// # Usage
//
//	budget := connbudget.Divide(service.MaxConnections)
//	free := budget.Grants - grantsInProgress
package connbudget

// Budget is the maximum number of connections for each use.
type Budget struct {
	// Requests is the number of connections for requests, or 0 if it is not limited.
	Requests int
	// Grants and Releases are the numbers of calls in progress, each of which has a
	// connection of its own. They are at least 1.
	Grants, Releases int
}

// Bounds of the calls in progress at a target that accepts many connections. More calls finish
// no earlier on a VM with a fraction of a core.
const (
	MaxGrants   = 24
	MaxReleases = 16
)

const (
	// grantDivisor and releaseDivisor are the inverse shares of the grants and the
	// releases.
	grantDivisor   = 4
	releaseDivisor = 6
	// healthChecks is the number of connections for health checks and for probes of
	// whether the target listens.
	healthChecks = 2
)

// Divide returns the budget for a target that accepts maximum connections. A maximum that
// is not positive states no limit. Of a maximum of a few connections, each use gets one.
func Divide(maximum int) Budget {
	if maximum <= 0 {
		return Budget{Grants: MaxGrants, Releases: MaxReleases}
	}
	b := Budget{
		Grants:   min(max(1, maximum/grantDivisor), MaxGrants),
		Releases: min(max(1, maximum/releaseDivisor), MaxReleases),
	}
	b.Requests = max(1, maximum-b.Grants-b.Releases-healthChecks)
	return b
}
