// Package routing maps a request to the service that runs it.
//
// The operator publishes a Table as a whole: routes, services and limits. A
// request belongs to the route of its host whose path prefix is the longest that
// its path begins with. What may be repeated follows from the route's kind
// alone.
//
// # Usage
//
//	table, err := routing.New(version, routes, services, limits)
//	route, ok := table.Match("names.example", "/lookup/rosa-alba")
//	service := route.Pick(rand.Float64())
package routing

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Kind says what may be repeated.
type Kind string

// The kinds.
const (
	Safe   Kind = "safe"   // may run more than once
	Unsafe Kind = "unsafe" // runs at most once
	Upload Kind = "upload" // runs at most once and has a large body
)

// Idempotent reports whether requests of the kind may run more than once.
func (k Kind) Idempotent() bool { return k == Safe }

// Split is a service's share of a route's requests.
type Split struct {
	Service string
	// Weight is relative to the sum of the route's weights.
	Weight float64
}

// Route is a rule for the requests of a host below a path.
type Route struct {
	Name       string
	Host       string
	PathPrefix string
	Kind       Kind
	// Timeout bounds the time that a request is kept waiting.
	Timeout time.Duration
	// LatencyObjective is the time within which an answer is worth most.
	LatencyObjective time.Duration
	// Priority ranks the route; 0 is the highest.
	Priority int
	// MaxAttempts is the most targets that one request may be sent to.
	MaxAttempts int
	Splits      []Split
}

// Pick returns the service for a request; at is uniform in [0, 1).
func (r *Route) Pick(at float64) string {
	total := 0.0
	for _, s := range r.Splits {
		total += s.Weight
	}
	at *= total
	for _, s := range r.Splits {
		if at < s.Weight {
			return s.Service
		}
		at -= s.Weight
	}
	return r.Splits[len(r.Splits)-1].Service
}

// Service is a set of targets.
type Service struct {
	Name       string
	HealthPath string
	// MaxConnections is the most connections that a target takes.
	MaxConnections int
	// Divided services run a request only at the owner of its key.
	Divided bool
	// Warmup is how long keys that come without a handover are slow.
	Warmup time.Duration
}

// Limits bound what a caller may send.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Table is a version of the configuration. It does not change.
type Table struct {
	Version  uint64
	Limits   Limits
	services map[string]Service
	// byHost holds the routes of each host, longest prefix first.
	byHost map[string][]*Route
}

// New returns a Table, or an error that names what is wrong.
func New(version uint64, routes []Route, services []Service, limits Limits) (*Table, error) {
	t := &Table{Version: version, Limits: limits, services: map[string]Service{}, byHost: map[string][]*Route{}}
	for _, s := range services {
		t.services[s.Name] = s
	}
	for _, r := range routes {
		if err := t.check(&r); err != nil {
			return nil, err
		}
		host := strings.ToLower(r.Host)
		t.byHost[host] = append(t.byHost[host], &r)
	}
	for _, list := range t.byHost {
		slices.SortStableFunc(list, func(a, b *Route) int { return len(b.PathPrefix) - len(a.PathPrefix) })
	}
	return t, nil
}

// check reports what is wrong with r.
func (t *Table) check(r *Route) error {
	switch {
	case r.Host == "":
		return fmt.Errorf("route %q: host is empty", r.Name)
	case !strings.HasPrefix(r.PathPrefix, "/") || !strings.HasSuffix(r.PathPrefix, "/"):
		return fmt.Errorf("route %q: path prefix %q does not begin and end with a slash", r.Name, r.PathPrefix)
	case r.Kind != Safe && r.Kind != Unsafe && r.Kind != Upload:
		return fmt.Errorf("route %q: kind %q does not exist", r.Name, r.Kind)
	case r.Timeout <= 0:
		return fmt.Errorf("route %q: timeout %v is not positive", r.Name, r.Timeout)
	case r.MaxAttempts < 1:
		return fmt.Errorf("route %q: %d attempts, want at least 1", r.Name, r.MaxAttempts)
	case len(r.Splits) == 0:
		return fmt.Errorf("route %q: no service", r.Name)
	}
	total := 0.0
	for _, s := range r.Splits {
		if _, ok := t.services[s.Service]; !ok {
			return fmt.Errorf("route %q: service %q does not exist", r.Name, s.Service)
		}
		if s.Weight < 0 {
			return fmt.Errorf("route %q: weight %v of service %q is negative", r.Name, s.Weight, s.Service)
		}
		total += s.Weight
	}
	if total <= 0 {
		return fmt.Errorf("route %q: weights add up to %v", r.Name, total)
	}
	return nil
}

// Service returns the named service.
func (t *Table) Service(name string) (Service, bool) {
	s, ok := t.services[name]
	return s, ok
}

// Match returns the route of a request, and false if there is none.
func (t *Table) Match(host, path string) (*Route, bool) {
	for _, r := range t.byHost[hostName(host)] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r, true
		}
	}
	return nil, false
}

// hostName returns a Host header without its port, in lower case.
func hostName(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}

// Services returns all services, ordered by name.
func (t *Table) Services() []Service {
	list := make([]Service, 0, len(t.services))
	for _, s := range t.services {
		list = append(list, s)
	}
	slices.SortFunc(list, func(a, b Service) int { return strings.Compare(a.Name, b.Name) })
	return list
}
