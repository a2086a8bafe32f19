package keyserver

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"
)

// ownership is a period during which a server held the keys first to last.
type ownership struct {
	server      string
	first, last uint16
	fence       uint64
	from, until time.Time
}

// History collects which requests the servers ran and which keys they held at
// which times. It is safe for concurrent use.
type History struct {
	mu         sync.Mutex
	runs       map[string][]string // servers that ran a request, by request id
	cutOff     map[string]bool     // requests that a server ended since they outlasted their grants
	methods    map[string]string   // HTTP methods, by request id
	ownerships []ownership
	crashes    []time.Time
	bodies     map[string]int64 // sizes of the bodies that were read, by request id
}

// NewHistory returns an empty History.
func NewHistory() *History {
	return &History{runs: map[string][]string{}, cutOff: map[string]bool{}, methods: map[string]string{}, bodies: map[string]int64{}}
}

// recordRun records that server started to run the request id.
func (h *History) recordRun(id, method, server string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.runs[id] = append(h.runs[id], server)
	h.methods[id] = method
}

// recordCutOff records that a server ended the request id, since it outlasted the grant
// under which it began.
func (h *History) recordCutOff(id string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.cutOff[id] = true
}

// recordBody records that a server has read size bytes of the body of the request id.
func (h *History) recordBody(id string, size int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.bodies[id] = size
}

// BodyBytes returns how many bytes of the body of the request id a server has read.
func (h *History) BodyBytes(id string) int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.bodies[id]
}

// CutOff reports whether a server ended the request id, since it outlasted the grant
// under which it began. The server answers such a request with status 500.
func (h *History) CutOff(id string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.cutOff[id]
}

// recordGrant records that server holds the keys of g from at until g expires.
func (h *History) recordGrant(server string, g grant, at time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ownerships = append(h.ownerships, ownership{server: server, first: g.First, last: g.Last, fence: g.Fence, from: at, until: g.expiresAt})
}

// recordRelease records that server, which held the keys of g, released them at
// the given time. An ownership that covers more keys than g is split.
func (h *History) recordRelease(server string, g grant, at time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for i, o := range h.ownerships {
		if o.server != server || o.until.Before(at) || o.last < g.First || g.Last < o.first {
			continue
		}
		if o.first < g.First {
			before := o
			before.last = g.First - 1
			h.ownerships = append(h.ownerships, before)
		}
		if o.last > g.Last {
			after := o
			after.first = g.Last + 1
			h.ownerships = append(h.ownerships, after)
		}
		h.ownerships[i].first, h.ownerships[i].last = max(o.first, g.First), min(o.last, g.Last)
		h.ownerships[i].until = at
	}
}

// recordProcessEnd records that the process of server ended at the given time,
// which ends all of its ownerships.
func (h *History) recordProcessEnd(server string, at time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for i, o := range h.ownerships {
		if o.server == server && o.until.After(at) {
			h.ownerships[i].until = at
		}
	}
}

// recordCrash records that a request has crashed a server at the given time.
func (h *History) recordCrash(at time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.crashes = append(h.crashes, at)
}

// Crashes returns when requests have crashed servers.
func (h *History) Crashes() []time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Clone(h.crashes)
}

// Runs returns how many times a server started to run the request id.
func (h *History) Runs(id string) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.runs[id])
}

// Total returns the number of runs of all requests.
func (h *History) Total() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	total := 0
	for _, servers := range h.runs {
		total += len(servers)
	}
	return total
}

// Violations describes each recorded violation of the guarantees: keys held by two
// servers at the same time, a fence that is not higher than that of an earlier
// owner, and requests other than reads that ran more than once. It returns nil if
// there are none.
func (h *History) Violations() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	var violations []string
	for id, servers := range h.runs {
		if len(servers) > 1 && h.methods[id] != http.MethodGet {
			violations = append(violations, fmt.Sprintf("request %s ran at %v", id, servers))
		}
	}
	for i, a := range h.ownerships {
		for _, b := range h.ownerships[i+1:] {
			if a.server == b.server || a.last < b.first || b.last < a.first {
				continue
			}
			earlier, later := a, b
			if later.from.Before(earlier.from) {
				earlier, later = later, earlier
			}
			if later.from.Before(earlier.until) {
				violations = append(violations, fmt.Sprintf("keys %d to %d are held by %s until %v and by %s from %v",
					max(a.first, b.first), min(a.last, b.last), earlier.server, earlier.until, later.server, later.from))
			}
			if later.fence <= earlier.fence {
				violations = append(violations, fmt.Sprintf("%s has keys with fence %d after %s had them with %d",
					later.server, later.fence, earlier.server, earlier.fence))
			}
		}
	}
	return violations
}
