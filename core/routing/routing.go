// Package routing maps requests to services.
//
// A Table holds a version of the routes, services and limits, which the operator
// publishes together. A request matches the route of its host with the longest path
// prefix that its path begins with. Only the kind of the route determines whether
// its requests may run more than once.
//
// # Usage
//
//	table, err := routing.New(version, routes, services, limits)
//	route, ok := table.Match("names.example", "/lookup/rosa-alba")
//	service := route.PickService(rand.Float64())
package routing

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"time"
)

// Kind is the kind of a route. It determines whether requests may run more than
// once.
type Kind string

// Kinds of routes.
const (
	Safe   Kind = "safe"   // may run more than once
	Unsafe Kind = "unsafe" // runs at most once
	Upload Kind = "upload" // runs at most once and has a large body
)

// Idempotent reports whether requests of the kind may run more than once.
func (k Kind) Idempotent() bool { return k == Safe }

// Split is the share of a route's requests that one service gets.
type Split struct {
	Service string
	// Weight divided by the sum of the route's weights is the share.
	Weight float64
}

// Route describes the requests to a host whose paths begin with a prefix, and how
// they are handled.
type Route struct {
	Name       string
	Host       string
	PathPrefix string
	Kind       Kind
	// Timeout is the maximum time that a request waits for its answer.
	Timeout time.Duration
	// LatencyObjective is the time within which a request should be answered; a
	// later answer is worth less.
	LatencyObjective time.Duration
	// Priority is the priority of the route's requests; 0 is the highest.
	Priority int
	// MaxAttempts is the maximum number of targets that a request is sent to.
	MaxAttempts int
	Splits      []Split
}

// PickService returns the service for a request, chosen according to the weights.
// The caller passes a random number with uniform distribution in [0, 1).
func (r *Route) PickService(random float64) string {
	total := 0.0
	for _, s := range r.Splits {
		total += s.Weight
	}
	random *= total
	for _, s := range r.Splits {
		if random < s.Weight {
			return s.Service
		}
		random -= s.Weight
	}
	return r.Splits[len(r.Splits)-1].Service
}

// Service is a set of targets.
type Service struct {
	Name       string
	HealthPath string
	// MaxConnections is the maximum number of connections to a target.
	MaxConnections int
	// Divided is set if the service's keys are divided among its targets, so that
	// only the owner of a key runs the requests for it.
	Divided bool
	// Warmup is how long requests for a key are slow at a target that became its
	// owner without a handover.
	Warmup time.Duration
	// ColdStart is how long a target is cold after its start, and ColdRate the requests per
	// second that a cold target sustains; 0 for no limit.
	ColdStart time.Duration
	ColdRate  float64
}

// Limits are the limits on the requests and connections of callers.
type Limits struct {
	// MaxHeaderBytes is the maximum size of a request's header, in bytes.
	MaxHeaderBytes int
	// MaxBodyBytes is the maximum size of a request's body, in bytes.
	MaxBodyBytes int64
	// HeaderTimeout is the maximum time in which the header must arrive.
	HeaderTimeout time.Duration
	// IdleTimeout is the maximum time that a connection may be idle.
	IdleTimeout time.Duration
}

// Table is a version of the routing configuration. It is immutable.
type Table struct {
	Version uint64
	Limits  Limits
	// Adjusted names the values that were out of bounds and were replaced by a bound, for
	// the log.
	Adjusted []string
	services map[string]Service
	// byHost holds the routes by host name in lower case, longest prefix first.
	byHost map[string][]*Route
	byName map[string]*Route
}

// New returns a Table, or an error that describes the first invalid route.
func New(version uint64, routes []Route, services []Service, limits Limits) (*Table, error) {
	t := &Table{Version: version, Limits: limits, services: map[string]Service{}, byHost: map[string][]*Route{}, byName: map[string]*Route{}}
	for _, s := range services {
		t.services[s.Name] = s
	}
	for _, r := range routes {
		if err := t.check(&r); err != nil {
			return nil, err
		}
		host := strings.ToLower(r.Host)
		t.byHost[host] = append(t.byHost[host], &r)
		t.byName[r.Name] = &r
	}
	for _, list := range t.byHost {
		slices.SortStableFunc(list, func(a, b *Route) int { return len(b.PathPrefix) - len(a.PathPrefix) })
	}
	return t, nil
}

// check returns an error if r is invalid.
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
	if total <= 0 || math.IsInf(total, 0) {
		return fmt.Errorf("route %q: weights add up to %v", r.Name, total)
	}
	return nil
}

// Service returns the service with the given name, and false if there is none.
func (t *Table) Service(name string) (Service, bool) {
	s, ok := t.services[name]
	return s, ok
}

// Route returns the route with the given name, and false if there is none.
func (t *Table) Route(name string) (*Route, bool) {
	r, ok := t.byName[name]
	return r, ok
}

// Match returns the route for a request with the given Host header and path, and
// false if there is none.
func (t *Table) Match(host, path string) (*Route, bool) {
	for _, r := range t.byHost[hostName(host)] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r, true
		}
	}
	return nil, false
}

// hostName returns the host name in a Host header: without its port, in lower case.
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
