// Package keyserver stands in for a server of the users that owns keys
// exclusively, written from its description: slots and a short queue, grants with
// generation numbers and hold times, releases that wait for the work under way,
// heartbeats to the daemon beside it, draining, and answers that it loses, sends
// twice or sends late.
//
// A Record shared by all servers notes who ran what while holding which keys, so
// that a test can check what callers and servers have seen.
//
// # Usage
//
//	record := keyserver.NewRecord()
//	server, err := keyserver.New(keyserver.Config{Address: addr, Daemon: control, Record: record, ...})
//	defer server.Kill()
package keyserver

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"time"
)

// Config is the configuration of a Server.
type Config struct {
	Address netip.AddrPort
	// Daemon is where heartbeats go.
	Daemon  netip.AddrPort
	Service string
	Slots   int
	Queue   int
	// Divided servers run a request only while they hold its key.
	Divided bool
	// Work is the mean time of a request.
	Work   time.Duration
	Beat   time.Duration
	Record *Record
}

// Fault is what is wrong with a server.
type Fault struct {
	// LoseAnswers and ExtraAnswers are shares of the answers that are lost, and
	// that are followed by another.
	LoseAnswers, ExtraAnswers float64
	// LoseGrants is the share of grants that are done and not answered.
	LoseGrants float64
	// Slow multiplies the time of work.
	Slow float64
}

// grant is a range of keys that the server holds.
type grant struct {
	First    uint16 `json:"from"`
	Last     uint16 `json:"target"`
	Fence    uint64 `json:"fence"`
	HoldMs   int64  `json:"hold_ms"`
	Handover string `json:"handover"`
	until    time.Time
}

// Server is a running stand-in.
type Server struct {
	cfg      Config
	id       string
	born     int64
	server   *http.Server
	stopBeat context.CancelFunc

	mu       sync.Mutex
	grants   []grant
	seen     map[uint16]uint64 // the highest fence of each block of keys
	running  map[uint16]int
	busy     int
	waiting  int
	freed    chan struct{}
	draining bool
	sequence int
	fault    Fault
}

// blockKeys is the resolution at which fences are remembered.
const blockKeys = 8

// New starts a server.
func New(cfg Config) (*Server, error) {
	l, err := net.Listen("tcp", cfg.Address.String())
	if err != nil {
		return nil, err
	}
	s := &Server{
		cfg:     cfg,
		id:      fmt.Sprintf("i-%08x", rand.Uint32()),
		born:    time.Now().UnixMilli(),
		seen:    map[uint16]uint64{},
		running: map[uint16]int{},
		freed:   make(chan struct{}),
		fault:   Fault{Slow: 1},
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /siskinknot/grant", s.grant)
	mux.HandleFunc("POST /siskinknot/release", s.release)
	mux.HandleFunc("/", s.run)
	s.server = &http.Server{Handler: mux, ReadHeaderTimeout: time.Minute}
	ctx, cancel := context.WithCancel(context.Background())
	s.stopBeat = cancel
	go func() { _ = s.server.Serve(&extraListener{Listener: l, server: s}) }()
	go s.beat(ctx)
	return s, nil
}

// ID returns the id of this life.
func (s *Server) ID() string { return s.id }

// SetFault sets what is wrong from now on.
func (s *Server) SetFault(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

// Kill ends the server at once.
func (s *Server) Kill() {
	s.stopBeat()
	_ = s.server.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.grants = nil
	s.cfg.Record.ended(s.id, time.Now())
}

// Drain says from now on that the server leaves.
func (s *Server) Drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
}

// Holds reports whether the server holds key.
func (s *Server) Holds(key uint16) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.holds(key)
}

func (s *Server) holds(key uint16) bool {
	now := time.Now()
	for _, g := range s.grants {
		if g.First <= key && key <= g.Last && now.Before(g.until) {
			return true
		}
	}
	return false
}

// beat sends heartbeats.
func (s *Server) beat(ctx context.Context) {
	for ctx.Err() == nil {
		s.mu.Lock()
		s.sequence++
		state := "ready"
		if s.draining {
			state = "draining"
		}
		body := fmt.Sprintf(`{"address":%q,"born":%d,"info":{"service":%q,"version":"v1","zone":"z","slots":%d},`+
			`"status":{"state":%q,"sequence":%d,"cold_left_ms":0}}`,
			s.cfg.Address, s.born, s.cfg.Service, s.cfg.Slots, state, s.sequence)
		s.mu.Unlock()
		url := fmt.Sprintf("http://%s/siskinknot/instances/%s", s.cfg.Daemon, s.id)
		req, err := http.NewRequestWithContext(ctx, http.MethodPut, url, bytes.NewReader([]byte(body)))
		if err == nil {
			if resp, err := http.DefaultClient.Do(req); err == nil {
				_ = resp.Body.Close()
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(s.cfg.Beat):
		}
	}
}

// grant serves a grant.
func (s *Server) grant(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	var g grant
	if json.NewDecoder(r.Body).Decode(&g) != nil || g.First > g.Last {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for b := g.First / blockKeys; b <= g.Last/blockKeys; b++ {
		if s.seen[b] > g.Fence {
			w.WriteHeader(http.StatusConflict)
			return
		}
	}
	for b := g.First / blockKeys; b <= g.Last/blockKeys; b++ {
		s.seen[b] = g.Fence
	}
	g.until = arrived.Add(time.Duration(g.HoldMs) * time.Millisecond)
	s.cut(g.First, g.Last)
	s.grants = append(s.grants, g)
	s.cfg.Record.granted(s.id, g, arrived)
	if rand.Float64() < s.fault.LoseGrants {
		panic(http.ErrAbortHandler)
	}
}

// cut takes keys out of the grants. The caller holds the mutex.
func (s *Server) cut(first, last uint16) {
	var rest []grant
	for _, g := range s.grants {
		if g.Last < first || last < g.First {
			rest = append(rest, g)
			continue
		}
		if g.First < first {
			before := g
			before.Last = first - 1
			rest = append(rest, before)
		}
		if g.Last > last {
			after := g
			after.First = last + 1
			rest = append(rest, after)
		}
	}
	s.grants = rest
}

// release serves a release: it is answered when the work on the keys has ended.
func (s *Server) release(w http.ResponseWriter, r *http.Request) {
	var g grant
	if json.NewDecoder(r.Body).Decode(&g) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	s.cut(g.First, g.Last)
	s.cfg.Record.released(s.id, g, time.Now())
	s.mu.Unlock()
	for s.works(g) {
		time.Sleep(time.Millisecond)
	}
	w.Header().Set("X-Handover", fmt.Sprintf("h-%08x", rand.Uint32()))
}

// works reports whether a request for one of g's keys runs.
func (s *Server) works(g grant) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, n := range s.running {
		if n > 0 && g.First <= key && key <= g.Last {
			return true
		}
	}
	return false
}

// run serves a request.
func (s *Server) run(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	if want := r.Header.Get("X-Target-Instance"); want != "" && want != s.id {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if !s.enter(r.Context()) {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer s.leave()
	key, _ := strconv.ParseUint(r.Header.Get("X-Shard-Key"), 10, 16)
	s.mu.Lock()
	if s.cfg.Divided && !s.holds(uint16(key)) {
		s.mu.Unlock()
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	s.running[uint16(key)]++
	f := s.fault
	s.mu.Unlock()
	s.cfg.Record.ran(id, r.Method, s.id)
	// The end of a connection shows only once the body has been read.
	_, _ = io.Copy(io.Discard, r.Body)
	work := time.Duration(rand.ExpFloat64() * float64(s.cfg.Work) * f.Slow)
	select {
	case <-time.After(work):
	case <-r.Context().Done():
	}
	s.mu.Lock()
	s.running[uint16(key)]--
	s.mu.Unlock()
	s.answer(w, id, f)
}

// enter takes a slot, after waiting for one in the queue.
func (s *Server) enter(ctx context.Context) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.busy >= s.cfg.Slots && s.waiting >= s.cfg.Queue {
		return false
	}
	s.waiting++
	for s.busy >= s.cfg.Slots {
		freed := s.freed
		s.mu.Unlock()
		select {
		case <-freed:
		case <-ctx.Done():
		}
		s.mu.Lock()
		if ctx.Err() != nil {
			s.waiting--
			return false
		}
	}
	s.waiting--
	s.busy++
	return true
}

// Busy returns how many requests the server works on.
func (s *Server) Busy() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.busy
}

// leave gives a slot back.
func (s *Server) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.busy--
	close(s.freed)
	s.freed = make(chan struct{})
}

// answer answers a request with its id as the body, or loses the answer.
func (s *Server) answer(w http.ResponseWriter, id string, f Fault) {
	if rand.Float64() < f.LoseAnswers {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("X-Response-Seal", "seal-"+id)
	_, _ = w.Write([]byte(id))
}
