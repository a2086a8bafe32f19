package keyserver

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// tenure is a time in which a server held keys.
type tenure struct {
	server      string
	first, last uint16
	fence       uint64
	from, until time.Time
}

// Record notes what servers did. It is safe for concurrent use.
type Record struct {
	mu      sync.Mutex
	runs    map[string][]string
	methods map[string]string
	held    []tenure
}

// NewRecord returns an empty Record.
func NewRecord() *Record {
	return &Record{runs: map[string][]string{}, methods: map[string]string{}}
}

// ran notes that server began to run a request.
func (r *Record) ran(id, method, server string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[id] = append(r.runs[id], server)
	r.methods[id] = method
}

// granted notes a grant.
func (r *Record) granted(server string, g grant, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.held = append(r.held, tenure{server: server, first: g.First, last: g.Last, fence: g.Fence, from: at, until: g.until})
}

// released notes a release. The caller is the server that held the keys.
func (r *Record) released(server string, g grant, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i, t := range r.held {
		if t.server != server || t.until.Before(at) || t.last < g.First || g.Last < t.first {
			continue
		}
		if t.first < g.First {
			before := t
			before.last = g.First - 1
			r.held = append(r.held, before)
		}
		if t.last > g.Last {
			after := t
			after.first = g.Last + 1
			r.held = append(r.held, after)
		}
		r.held[i].first, r.held[i].last = max(t.first, g.First), min(t.last, g.Last)
		r.held[i].until = at
	}
}

// ended notes that a server's process has ended.
func (r *Record) ended(server string, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i, t := range r.held {
		if t.server == server && t.until.After(at) {
			r.held[i].until = at
		}
	}
}

// Runs returns how often the request id began to run.
func (r *Record) Runs(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.runs[id])
}

// Total returns how many runs there were.
func (r *Record) Total() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	total := 0
	for _, servers := range r.runs {
		total += len(servers)
	}
	return total
}

// Problems returns what must never happen and did: keys held by two servers at a
// time, fences that do not rise, and requests that ran twice and are not reads.
func (r *Record) Problems() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []string
	for id, servers := range r.runs {
		if len(servers) > 1 && r.methods[id] != http.MethodGet {
			list = append(list, fmt.Sprintf("request %s ran at %v", id, servers))
		}
	}
	for i, a := range r.held {
		for _, b := range r.held[i+1:] {
			if a.server == b.server || a.last < b.first || b.last < a.first {
				continue
			}
			early, late := a, b
			if late.from.Before(early.from) {
				early, late = late, early
			}
			if late.from.Before(early.until) {
				list = append(list, fmt.Sprintf("keys %d to %d are held by %s until %v and by %s from %v",
					max(a.first, b.first), min(a.last, b.last), early.server, early.until, late.server, late.from))
			}
			if late.fence <= early.fence {
				list = append(list, fmt.Sprintf("%s has keys with fence %d after %s had them with %d",
					late.server, late.fence, early.server, early.fence))
			}
		}
	}
	return list
}
