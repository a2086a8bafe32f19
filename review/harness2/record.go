package main

import (
	"bufio"
	"fmt"
	"os"
	"sort"
	"strconv"
	"sync"
	"time"
)

// recorder writes record.txt, and keeps what the checks need.
type recorder struct {
	start time.Time

	mu   sync.Mutex
	file *os.File
	out  *bufio.Writer
	// holds has all periods, and active those of each server that have not ended.
	holds  []*hold
	active map[string][]*hold
	runs   []run
	ends   map[string]time.Time
	// ran has the servers that ran a request, by its id, and replies what clients got.
	ran     map[string][]string
	replies map[string]answer
	methods map[string]string
	sentAt  map[string]time.Time
	// cuts has when the connection of a request was closed while a server was at work on it, and got
	// when its client had its answer.
	cuts, got map[string]time.Time
}

// hold is a period in which a server holds keys.
type hold struct {
	fleet       int
	vm, server  string
	first, last int
	fence       uint64
	from, until time.Time
	// renews is set if the server held the keys already, with the same generation number.
	renews bool
}

// run is a request that a server began to work on.
type run struct {
	id, vm, server string
	path           string
	key            int
	at             time.Time
}

// newRecorder returns a recorder that writes to path.
func newRecorder(path string) (*recorder, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{
		start: time.Now(), file: file, out: bufio.NewWriter(file), active: map[string][]*hold{},
		ran: map[string][]string{}, replies: map[string]answer{}, methods: map[string]string{}, sentAt: map[string]time.Time{},
		cuts: map[string]time.Time{}, got: map[string]time.Time{},
	}, nil
}

// close completes the file.
func (r *recorder) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}

// since returns a time as seconds since the start.
func (r *recorder) since(t time.Time) string { return fmt.Sprintf("%9.4f", t.Sub(r.start).Seconds()) }

// note writes a line.
func (r *recorder) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.line(time.Now(), fmt.Sprintf(format, args...))
}

// line writes a line. The caller holds the mutex.
func (r *recorder) line(at time.Time, text string) {
	_, _ = fmt.Fprintf(r.out, "%s %s\n", r.since(at), text)
}

// sent records a request of a client.
func (r *recorder) sent(id, method string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.methods[id], r.sentAt[id] = method, time.Now()
}

// answered records what a client got for a request.
func (r *recorder) answered(q request, a answer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.replies[a.id], r.got[a.id] = a, time.Now()
	got := strconv.Itoa(a.status)
	if a.err != nil {
		got = a.err.Error()
	}
	r.line(time.Now(), fmt.Sprintf("%s %s %s key %d, sent at %s: %s", a.id, q.method, q.path, q.key, r.since(r.sentAt[a.id]), got))
}

// begin records that a server begins to work on a request.
func (r *recorder) begin(id, vm, server, path string, key int, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ran[id] = append(r.ran[id], server)
	r.runs = append(r.runs, run{id: id, vm: vm, server: server, path: path, key: key, at: at})
	r.line(at, fmt.Sprintf("%s begins %s", server, id))
}

// cutOff records that the connection of a request was closed while a server was at work on it.
func (r *recorder) cutOff(id, server string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cuts[id] = time.Now()
	r.line(r.cuts[id], fmt.Sprintf("%s is cut off from %s, on which it was at work", server, id))
}

// hold records that a server takes a grant, or a renewal of one.
func (r *recorder) hold(fleet int, vm, server string, c command, from, until time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, h := range r.active[server] {
		if h.fence == c.Fence && h.first == int(c.From) && h.last == int(c.Target) && !from.After(h.until) {
			h.until = later(h.until, until)
			return
		}
	}
	renews := r.holdsNow(server, c, from)
	r.cut(server, int(c.From), int(c.Target), ^uint64(0), from)
	h := &hold{fleet: fleet, vm: vm, server: server, first: int(c.From), last: int(c.Target), fence: c.Fence, from: from, until: until, renews: renews}
	r.add(h)
	if !renews {
		r.line(from, fmt.Sprintf("server %s (%s) is granted keys %d to %d, generation %d, for %d ms", server, vm, c.From, c.Target, c.Fence, c.HoldMs))
	}
}

// add adds a hold that has not ended. The caller holds the mutex.
func (r *recorder) add(h *hold) {
	r.holds = append(r.holds, h)
	r.active[h.server] = append(r.active[h.server], h)
}

// holdsNow reports whether the server holds the keys of c with its generation number. The caller
// holds the mutex.
func (r *recorder) holdsNow(server string, c command, at time.Time) bool {
	for _, h := range r.active[server] {
		if h.fence == c.Fence && h.first <= int(c.From) && int(c.Target) <= h.last && at.Before(h.until) {
			return true
		}
	}
	return false
}

// endHolds records that a server holds keys no longer.
func (r *recorder) endHolds(server string, first, last uint16, fence uint64, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cut(server, int(first), int(last), fence, at)
	r.line(at, fmt.Sprintf("server %s is released from keys %d to %d, generation %d", server, first, last, fence))
}

// cut ends the holds of a server on keys at a time. The caller holds the mutex.
func (r *recorder) cut(server string, first, last int, fence uint64, at time.Time) {
	list := r.active[server]
	r.active[server] = nil
	for _, h := range list {
		switch {
		case !at.Before(h.until):
			continue // it has ended
		case h.last < first || last < h.first || h.fence > fence:
			r.active[server] = append(r.active[server], h)
			continue
		}
		if h.first < first {
			before := *h
			before.last, before.renews = first-1, true
			before.from = at
			r.add(&before)
		}
		if h.last > last {
			after := *h
			after.first, after.renews = last+1, true
			after.from = at
			r.add(&after)
		}
		h.until = at
	}
}

// common is a time in which two servers hold the same keys.
type common struct {
	a, b        *hold
	first, last int
	from, until time.Time
}

// commons returns the times in which two servers hold the same keys.
func (r *recorder) commons() []common {
	var list []common
	for i, a := range r.holds {
		for _, b := range r.holds[i+1:] {
			c := common{a: a, b: b, first: max(a.first, b.first), last: min(a.last, b.last), from: later(a.from, b.from), until: earlier(a.until, b.until)}
			if a.fleet == b.fleet && a.server != b.server && c.first <= c.last && c.from.Before(c.until) {
				list = append(list, c)
			}
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].from.Before(list[j].from) })
	return list
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// checkOwner returns how the rule OWNER was broken: two servers hold the same keys at the same
// time and both begin requests on such keys in that time; or hold the same keys for over half a
// second; or a server takes keys with a generation number that is not above that of another.
func (r *recorder) checkOwner() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var broken []string
	merged := map[string]*common{}
	for _, c := range r.commons() {
		r.line(c.from, fmt.Sprintf("COMMON: keys %d to %d are held by %s (%s, generation %d) and %s (%s, generation %d) from %s to %s",
			c.first, c.last, c.a.server, c.a.vm, c.a.fence, c.b.server, c.b.vm, c.b.fence, r.since(c.from), r.since(c.until)))
		key := fmt.Sprintf("%s/%s/%d-%d", min(c.a.server, c.b.server), max(c.a.server, c.b.server), c.first, c.last)
		if m := merged[key]; m != nil && c.from.Sub(m.until) < time.Millisecond {
			m.until = later(m.until, c.until)
			continue
		} else if m != nil {
			broken = append(broken, r.judge(m)...)
		}
		merged[key] = &c
	}
	for _, m := range merged {
		broken = append(broken, r.judge(m)...)
	}
	for i, a := range r.holds {
		for _, b := range r.holds[i+1:] {
			if a.fleet != b.fleet || a.server == b.server || a.last < b.first || b.last < a.first {
				continue
			}
			x, y := a, b
			if y.from.Before(x.from) {
				x, y = y, x
			}
			if y.fence <= x.fence && !y.renews {
				broken = append(broken, fmt.Sprintf("at %s server %s takes keys %d to %d with generation %d after server %s had them with %d",
					r.since(y.from), y.server, max(a.first, b.first), min(a.last, b.last), y.fence, x.server, x.fence))
			}
		}
	}
	sort.Strings(broken)
	return broken
}

// judge returns how a time in which two servers hold the same keys breaks the rule. The caller
// holds the mutex.
func (r *recorder) judge(c *common) []string {
	var broken []string
	what := fmt.Sprintf("keys %d to %d are held by %s (%s) and %s (%s) from %s to %s",
		c.first, c.last, c.a.server, c.a.vm, c.b.server, c.b.vm, r.since(c.from), r.since(c.until))
	begun := map[string]run{}
	for _, x := range r.runs {
		if c.first <= x.key && x.key <= c.last && !x.at.Before(c.from) && x.at.Before(c.until) {
			if _, known := begun[x.server]; !known {
				begun[x.server] = x
			}
		}
	}
	a, inA := begun[c.a.server]
	b, inB := begun[c.b.server]
	if inA && inB {
		broken = append(broken, fmt.Sprintf("%s, and both begin requests: %s key %d at %s, %s key %d at %s", what, a.id, a.key, r.since(a.at), b.id, b.key, r.since(b.at)))
	}
	if c.until.Sub(c.from) > 500*time.Millisecond {
		broken = append(broken, what+", over half a second")
	}
	return broken
}
