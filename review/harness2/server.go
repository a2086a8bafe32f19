package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// slots is the number of requests that a server runs at the same time, and queue that of those that
// wait.
const (
	slots = 12
	queue = 48
)

// command is the body of a grant or a release.
type command struct {
	From   uint16 `json:"from"`
	Target uint16 `json:"target"`
	Fence  uint64 `json:"fence"`
	HoldMs int64  `json:"hold_ms"`
}

// keyState is what a server knows of a key.
type keyState struct {
	// seen is the highest generation number seen, held that of the grant, and until its end.
	seen, held uint64
	until      time.Time
}

// server is a stand-in of the application server beside a daemon. It behaves as the platform's
// page describes a sound one.
type server struct {
	vm   *vm
	id   string
	born int64
	http *http.Server

	mu       sync.Mutex
	keys     [65536]keyState
	running  map[int]int
	state    string
	sequence int
	ended    bool
	stopped  chan struct{}
	slots    chan struct{}
	queued   atomic.Int64
}

// serverCount numbers the servers.
var serverCount atomic.Uint64

// startServer starts a server on v, with a new id.
func startServer(v *vm) (*server, error) {
	l, err := net.Listen("tcp", v.addr(v.fleet.ports.app).String())
	if err != nil {
		return nil, err
	}
	s := &server{
		vm: v, id: fmt.Sprintf("i-%08x", 0x1000+serverCount.Add(1)), born: time.Now().UnixMilli(), running: map[int]int{},
		state: "ready", stopped: make(chan struct{}), slots: make(chan struct{}, slots),
	}
	s.http = &http.Server{Handler: http.HandlerFunc(s.serve), ReadHeaderTimeout: time.Minute}
	v.fleet.rec.note("%s: server %s of %s starts at %s", v.name, s.id, v.service, l.Addr())
	go func() { _ = s.http.Serve(l) }()
	go s.heartbeats()
	return s, nil
}

// serve handles a call.
func (s *server) serve(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/siskinknot/grant":
		s.grant(w, r)
	case "/siskinknot/release":
		s.release(w, r)
	case "/health":
		w.Header().Set("X-Instance-Id", s.id)
	default:
		s.run(w, r)
	}
}

// stop ends the server at once.
func (s *server) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended {
		return
	}
	s.ended = true
	close(s.stopped)
	s.vm.fleet.rec.endHolds(s.id, 0, 65535, ^uint64(0), time.Now())
	_ = s.http.Close()
}

// heartbeats sends the check-ins.
func (s *server) heartbeats() {
	for {
		s.heartbeat()
		select {
		case <-s.stopped:
			return
		case <-time.After(heartbeatMs * time.Millisecond):
		}
	}
}

// heartbeat sends one check-in, and reports whether it was acknowledged within a second.
func (s *server) heartbeat() bool {
	s.mu.Lock()
	s.sequence++
	body := fmt.Sprintf(`{"address":%q,"born":%d,"info":{"service":%q,"version":"v1","zone":%q,"slots":%d},"status":{"state":%q,"sequence":%d,"cold_left_ms":0}}`,
		s.vm.addr(s.vm.fleet.ports.app).String(), s.born, s.vm.service, s.vm.zone, slots, s.state, s.sequence)
	s.mu.Unlock()
	return s.tell(http.MethodPut, body)
}

// tell sends a call about the server to the daemon.
func (s *server) tell(method, body string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	url := "http://" + s.vm.addr(s.vm.fleet.ports.heartbeat).String() + "/siskinknot/instances/" + s.id
	req, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	return resp.StatusCode/100 == 2
}

// forAnother reports whether r names another server.
func (s *server) forAnother(r *http.Request) bool {
	instance := r.Header.Get("X-Target-Instance")
	return instance != "" && instance != s.id
}

// refuse answers a request that is not run.
func refuse(w http.ResponseWriter, status int) {
	w.Header().Set("X-Not-Executed", "1")
	w.WriteHeader(status)
}

// grant handles a grant.
func (s *server) grant(w http.ResponseWriter, r *http.Request) {
	if s.forAnother(r) {
		refuse(w, http.StatusMisdirectedRequest)
		return
	}
	var c command
	if json.NewDecoder(r.Body).Decode(&c) != nil || c.From > c.Target || c.HoldMs <= 0 || c.HoldMs > holdMaxMs {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for k := int(c.From); k <= int(c.Target); k++ {
		if s.keys[k].seen > c.Fence {
			w.WriteHeader(http.StatusConflict)
			return
		}
	}
	until := now.Add(time.Duration(c.HoldMs) * time.Millisecond)
	for k := int(c.From); k <= int(c.Target); k++ {
		s.keys[k] = keyState{seen: c.Fence, held: c.Fence, until: until}
	}
	s.vm.fleet.rec.hold(s.vm.fleet.number, s.vm.name, s.id, c, now, until)
}

// release handles a release. It is answered once the work on the keys has ended.
func (s *server) release(w http.ResponseWriter, r *http.Request) {
	var c command
	if json.NewDecoder(r.Body).Decode(&c) != nil || c.From > c.Target {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	for k := int(c.From); k <= int(c.Target); k++ {
		key := &s.keys[k]
		key.seen = max(key.seen, c.Fence)
		if key.held <= c.Fence {
			key.held, key.until = 0, time.Time{}
		}
	}
	s.vm.fleet.rec.endHolds(s.id, c.From, c.Target, c.Fence, time.Now())
	for s.busy(c) {
		s.mu.Unlock()
		time.Sleep(time.Millisecond)
		s.mu.Lock()
	}
	s.mu.Unlock()
	w.Header().Set("X-Handover", fmt.Sprintf("%016x", rand.Uint64()))
}

// busy reports whether work on the keys of c is running. The caller holds the mutex.
func (s *server) busy(c command) bool {
	for k, n := range s.running {
		if n > 0 && int(c.From) <= k && k <= int(c.Target) {
			return true
		}
	}
	return false
}

// run handles a request.
func (s *server) run(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	if s.forAnother(r) {
		refuse(w, http.StatusMisdirectedRequest)
		return
	}
	if s.queued.Add(1) > int64(slots+queue) {
		s.queued.Add(-1)
		refuse(w, http.StatusServiceUnavailable)
		return
	}
	defer s.queued.Add(-1)
	select {
	case s.slots <- struct{}{}:
	case <-r.Context().Done():
		return
	}
	defer func() { <-s.slots }()
	key, err := strconv.Atoi(r.Header.Get("X-Shard-Key"))
	sharded := s.vm.service == registry
	if sharded && err != nil {
		refuse(w, http.StatusBadRequest)
		return
	}
	begun := time.Now()
	s.mu.Lock()
	if s.ended {
		s.mu.Unlock()
		return
	}
	until := begun.Add(time.Hour)
	if sharded {
		until = s.keys[key].until
		if !begun.Before(until) {
			s.mu.Unlock()
			refuse(w, http.StatusMisdirectedRequest)
			return
		}
	}
	s.running[key]++
	s.mu.Unlock()
	s.vm.fleet.rec.begin(id, s.vm.name, s.id, r.RequestURI, key, begun)
	_, _ = io.Copy(io.Discard, r.Body)
	work := s.vm.fleet.workTime(s.vm.fleet.speeds[s.vm.number%len(s.vm.fleet.speeds)])
	cut := begun.Add(work).After(until)
	if cut {
		work = time.Until(until)
	}
	select {
	case <-time.After(work):
	case <-r.Context().Done():
		s.vm.fleet.rec.cutOff(id, s.id)
	}
	s.mu.Lock()
	if s.running[key]--; s.running[key] == 0 {
		delete(s.running, key)
	}
	s.mu.Unlock()
	w.Header().Set("X-Response-Seal", "seal-"+id)
	if cut {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	_, _ = io.WriteString(w, "answer to "+id)
}
