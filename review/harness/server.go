package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// checkInInterval is the platform's heartbeat_ms.
const checkInInterval = 870 * time.Millisecond

// seal is the signature of a server's answer to the request id.
func seal(id string) string {
	h := fnv.New64a()
	_, _ = io.WriteString(h, "seal:"+id)
	return fmt.Sprintf("%016x", h.Sum64())
}

// grantCall is the body of a grant or a release.
type grantCall struct {
	From     int    `json:"from"`
	Target   int    `json:"target"`
	Fence    uint64 `json:"fence"`
	HoldMs   int64  `json:"hold_ms"`
	Handover string `json:"handover"`
}

// holdEvent is a change of what a server holds: until is when the hold of the keys ends
// from the event on; a release ends it at once.
type holdEvent struct {
	server    string
	from, to  int
	fence     uint64
	at, until time.Time
	isRelease bool
	newlyHeld bool
}

// runEvent is a request that a server began to run.
type runEvent struct {
	server, id, service string
	key                 int
	at                  time.Time
	// end is when the run ended, and heldUntil when the hold of the key ended as of its start.
	end, heldUntil time.Time
}

// history is what all servers of a case did.
type history struct {
	mu    sync.Mutex
	holds []holdEvent
	runs  []*runEvent
	rec   *recorder
}

// server is a stand-in of a server: it runs requests in slots, holds keys under grants if its
// service is sharded, and checks in at the daemon beside it.
type server struct {
	name, id, service, addr, control, zone string
	slots, queue                           int
	sharded                                bool
	work                                   time.Duration
	born                                   int64
	hist                                   *history
	rec                                    *recorder
	http                                   *http.Server
	cancel                                 context.CancelFunc
	started                                time.Time

	mu        sync.Mutex
	sequence  int
	state     string
	silent    bool          // sends no further check-ins
	lateBy    time.Duration // how late check-ins arrive
	running   int
	waiting   int
	freed     chan struct{}
	heldUntil [65536]time.Time
	maxFence  [65536]uint64
	busyKeys  map[int]int
	onRelease func(s *server, c grantCall)
	ended     bool
}

func (s *server) start() error {
	s.id = fmt.Sprintf("i-%08x", rand.Uint32())
	s.born, s.state, s.freed, s.busyKeys = time.Now().UnixMilli(), "ready", make(chan struct{}), map[int]int{}
	s.started = time.Now()
	l, err := net.Listen("tcp", s.addr)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /siskinknot/grant", s.grant)
	mux.HandleFunc("POST /siskinknot/release", s.release)
	mux.HandleFunc("/", s.run)
	s.http = &http.Server{Handler: mux, IdleTimeout: 10 * time.Second}
	go func() { _ = s.http.Serve(l) }()
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	go s.checkIns(ctx)
	return nil
}

// endGracefully ends the server: it accepts no more connections, completes the requests that it is
// running, and exits.
func (s *server) endGracefully() {
	s.cancel()
	_ = s.http.Shutdown(context.Background())
	now := time.Now()
	s.hist.addHold(holdEvent{s.name, 0, 65535, 0, now, now, true, false})
}

// runningNow returns how many requests the server is running.
func (s *server) runningNow() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.running
}

// end ends the server as if its process had exited.
func (s *server) end() {
	s.mu.Lock()
	s.ended = true
	s.mu.Unlock()
	s.cancel()
	_ = s.http.Close()
}

func (s *server) checkIns(ctx context.Context) {
	time.Sleep(time.Duration(rand.Int63n(int64(200 * time.Millisecond))))
	for ctx.Err() == nil {
		s.mu.Lock()
		silent, lateBy := s.silent, s.lateBy
		s.mu.Unlock()
		switch {
		case silent:
		case lateBy > 0:
			checkIn := s.nextCheckIn()
			time.AfterFunc(lateBy, func() { _ = s.send(checkIn) })
		default:
			_ = s.send(s.nextCheckIn())
		}
		select {
		case <-ctx.Done():
		case <-time.After(checkInInterval):
		}
	}
}

// nextCheckIn returns the body of the next check-in.
func (s *server) nextCheckIn() []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sequence++
	body, _ := json.Marshal(map[string]any{
		"address": s.addr, "born": s.born,
		"info":   map[string]any{"service": s.service, "version": "v1", "zone": s.zone, "slots": s.slots},
		"status": map[string]any{"state": s.state, "sequence": s.sequence, "cold_left_ms": 0},
	})
	return body
}

// send sends a check-in and reports whether it was acknowledged.
func (s *server) send(body []byte) bool { return s.call(http.MethodPut, body) }

// leave sends the notice that the server is gone.
func (s *server) leave() bool {
	body, _ := json.Marshal(map[string]any{"born": s.born})
	return s.call(http.MethodDelete, body)
}

func (s *server) call(method string, body []byte) bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, _ := http.NewRequestWithContext(ctx, method, "http://"+s.control+"/siskinknot/instances/"+s.id, bytes.NewReader(body))
	req.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	return resp.StatusCode/100 == 2
}

func (s *server) otherInstance(r *http.Request) bool {
	want := r.Header.Get("X-Target-Instance")
	return want != "" && want != s.id
}

func refuse(w http.ResponseWriter, status int) {
	w.Header().Set("X-Not-Executed", "1")
	w.WriteHeader(status)
}

func (s *server) grant(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	var c grantCall
	if s.otherInstance(r) {
		refuse(w, http.StatusMisdirectedRequest)
		return
	}
	if !s.sharded || json.NewDecoder(r.Body).Decode(&c) != nil || c.From > c.Target || c.HoldMs > 10000 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for k := c.From; k <= c.Target; k++ {
		if s.maxFence[k] > c.Fence {
			w.WriteHeader(http.StatusConflict)
			return
		}
	}
	until := arrived.Add(time.Duration(c.HoldMs) * time.Millisecond)
	newly := !arrived.Before(s.heldUntil[c.From])
	for k := c.From; k <= c.Target; k++ {
		s.maxFence[k], s.heldUntil[k] = c.Fence, until
	}
	s.hist.addHold(holdEvent{s.name, c.From, c.Target, c.Fence, arrived, until, false, newly})
	w.WriteHeader(http.StatusOK)
}

func (s *server) release(w http.ResponseWriter, r *http.Request) {
	var c grantCall
	if json.NewDecoder(r.Body).Decode(&c) != nil || c.From > c.Target {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	now := time.Now()
	s.mu.Lock()
	held := false
	for k := c.From; k <= c.Target; k++ {
		held = held || now.Before(s.heldUntil[k])
		s.heldUntil[k] = now
		s.maxFence[k] = max(s.maxFence[k], c.Fence)
	}
	hook := s.onRelease
	s.mu.Unlock()
	s.hist.addHold(holdEvent{s.name, c.From, c.Target, c.Fence, now, now, true, false})
	if held && hook != nil {
		hook(s, c)
	}
	for s.busy(c.From, c.Target) {
		time.Sleep(time.Millisecond)
	}
	w.Header().Set("X-Handover", fmt.Sprintf("%016x", rand.Uint64()))
	w.WriteHeader(http.StatusOK)
}

func (s *server) busy(from, to int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for k, n := range s.busyKeys {
		if n > 0 && from <= k && k <= to {
			return true
		}
	}
	return false
}

func (s *server) run(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	if r.URL.Path == "/health" {
		w.Header().Set("X-Instance-Id", s.id)
		return
	}
	switch {
	case id == "":
		refuse(w, http.StatusBadRequest)
		return
	case s.otherInstance(r):
		refuse(w, http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if !s.takeSlot(r.Context()) {
		refuse(w, http.StatusServiceUnavailable)
		return
	}
	defer s.freeSlot()
	key := -1
	now := time.Now()
	var until time.Time
	if s.sharded {
		key, err = strconv.Atoi(r.Header.Get("X-Shard-Key"))
		s.mu.Lock()
		if err == nil {
			until = s.heldUntil[key]
		}
		if err != nil || !now.Before(until) {
			s.mu.Unlock()
			refuse(w, http.StatusMisdirectedRequest)
			return
		}
		s.busyKeys[key]++
		s.mu.Unlock()
		defer func() {
			s.mu.Lock()
			s.busyKeys[key]--
			s.mu.Unlock()
		}()
	}
	event := &runEvent{server: s.name, id: id, service: s.service, key: key, at: now, heldUntil: until}
	s.hist.addRun(event)
	defer s.hist.endRun(event)
	work := s.work
	cut := s.sharded && now.Add(work).After(until)
	if cut {
		work = time.Until(until)
	}
	select {
	case <-time.After(work):
	case <-r.Context().Done():
		return // most servers drop a request when its connection closes
	}
	s.mu.Lock()
	load := fmt.Sprintf("%d,%d,%d", s.running, s.waiting, s.slots)
	s.mu.Unlock()
	w.Header().Set("X-Server-Load", load)
	w.Header().Set("X-Response-Seal", seal(id))
	if cut {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	_, _ = io.WriteString(w, "answer to "+id+" "+strconv.Itoa(len(body)))
}

func (s *server) takeSlot(ctx context.Context) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running >= s.slots && s.waiting >= s.queue {
		return false
	}
	s.waiting++
	defer func() { s.waiting-- }()
	for s.running >= s.slots {
		freed := s.freed
		s.mu.Unlock()
		select {
		case <-freed:
		case <-ctx.Done():
		}
		s.mu.Lock()
		if ctx.Err() != nil {
			return false
		}
	}
	s.running++
	return true
}

func (s *server) freeSlot() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
	close(s.freed)
	s.freed = make(chan struct{})
}

func (h *history) addHold(e holdEvent) {
	h.mu.Lock()
	h.holds = append(h.holds, e)
	h.mu.Unlock()
	switch {
	case e.isRelease:
		h.rec.log("%s: release of keys %d-%d, generation %d", e.server, e.from, e.to, e.fence)
	case e.newlyHeld:
		h.rec.log("%s: takes keys %d-%d, generation %d, for %d ms", e.server, e.from, e.to, e.fence, e.until.Sub(e.at).Milliseconds())
	}
}

func (h *history) addRun(e *runEvent) {
	h.mu.Lock()
	h.runs = append(h.runs, e)
	h.mu.Unlock()
	h.rec.trace("%s: runs %s, key %d", e.server, e.id, e.key)
}

func (h *history) endRun(e *runEvent) {
	h.mu.Lock()
	defer h.mu.Unlock()
	e.end = time.Now()
}

// span is a time in which a server held a key.
type span struct{ from, to time.Time }

// spans returns when each server held key.
func (h *history) spans(key int) map[string][]span {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := map[string][]span{}
	for _, e := range h.holds {
		if key < e.from || e.to < key {
			continue
		}
		list := out[e.server]
		n := len(list)
		open := n > 0 && e.at.Before(list[n-1].to)
		switch {
		case open:
			list[n-1].to = e.until // renewed, or released
		case !e.isRelease:
			list = append(list, span{e.at, e.until})
		}
		out[e.server] = list
	}
	return out
}
