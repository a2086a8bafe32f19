// Package targetserver is a small stand-in of a target: a server that keeps
// names, runs each request for a while, and can misbehave on demand.
//
//	GET  /KEY           looks a name up: 200 with its value, or 404
//	GET  /KEY?bytes=N   returns N bytes that depend on the request id only
//	POST /KEY           registers a name: 201, or 409 if it is taken
//	PUT  /KEY           stores a body: 200 with its size and hash
//	GET  /health, GET /load, PUT /grant, PUT /standin/faults
//
// A target that owns keys keeps what it knows of them in memory for as long as
// the grant's token stays the same, and reads it from the shared directory when
// the token changes. Two owners at a time would therefore give wrong answers,
// as they would in a real one. Each run is written to the shared record, with
// its begin and end on CLOCK_BOOTTIME, before and after it happens.
//
// # Usage
//
//	srv, err := targetserver.New(targetserver.Config{Name: "registry-1", Slots: 12, Shared: dir})
//	http.Serve(listener, srv)
package targetserver

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"siskinknot/core/request"
	"siskinknot/io/boottime"
	"siskinknot/io/target"
)

// Config describes a target.
type Config struct {
	Name  string
	Slots int
	// Shared is the directory that all targets of a test share; empty for
	// none.
	Shared string
	// Lookup and Write are how long requests take; a body takes Chunk for each
	// 64 KiB.
	Lookup time.Duration
	Write  time.Duration
	Chunk  time.Duration
	// Connect is how long a new connection takes.
	Connect time.Duration
	// CheckGrants refuses requests whose grant has expired.
	CheckGrants bool
	// IgnoreDeadlines runs requests to their end whatever their deadline, and
	// whether or not anybody still waits for them.
	IgnoreDeadlines bool
}

// Faults are the ways in which a target misbehaves.
type Faults struct {
	// State is what /health says; empty is "ready".
	State string `json:"state"`
	// Shed refuses every request as not run.
	Shed bool `json:"shed"`
	// Slow multiplies the time that requests take; 0 is 1.
	Slow float64 `json:"slow"`
	// Lie makes /load report no load.
	Lie bool `json:"lie"`
	// CutAnswers closes connections in the middle of answers with a body.
	CutAnswers bool `json:"cut_answers"`
}

// Server is the stand-in. It implements http.Handler.
type Server struct {
	cfg      Config
	mux      *http.ServeMux
	record   *os.File
	inFlight atomic.Int64
	most     atomic.Int64
	newConns atomic.Int64

	mu     sync.Mutex
	faults Faults
	grant  target.GrantMessage
	names  map[string]cached
	locks  map[string]*sync.Mutex
}

// cached is what the target knows of a name under a token.
type cached struct {
	token  string
	exists bool
	value  string
}

// New returns a target that runs requests as cfg says.
func New(cfg Config) (*Server, error) {
	s := &Server{
		cfg:   cfg,
		mux:   http.NewServeMux(),
		names: map[string]cached{},
		locks: map[string]*sync.Mutex{},
	}
	if cfg.Shared != "" {
		record, err := openRecord(cfg.Shared)
		if err != nil {
			return nil, err
		}
		s.record = record
	}
	s.mux.HandleFunc("GET /health", s.health)
	s.mux.HandleFunc("GET /load", s.load)
	s.mux.HandleFunc("PUT /grant", s.putGrant)
	s.mux.HandleFunc("PUT /standin/faults", s.putFaults)
	s.mux.HandleFunc("/", s.serve)
	return s, nil
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// connKey marks whether a connection was used before.
type connKey struct{}

// HTTP returns an HTTP server for s, which takes Connect for each connection.
func (s *Server) HTTP() *http.Server {
	return &http.Server{
		Handler:           s,
		ReadHeaderTimeout: time.Minute,
		ConnContext: func(ctx context.Context, _ net.Conn) context.Context {
			s.newConns.Add(1)
			return context.WithValue(ctx, connKey{}, &sync.Once{})
		},
	}
}

// SetFaults replaces the faults.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

func (s *Server) getFaults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

func (s *Server) putFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(f)
}

func (s *Server) health(w http.ResponseWriter, _ *http.Request) {
	state := s.getFaults().State
	if state == "" {
		state = "ready"
	}
	writeJSON(w, target.Health{State: state})
}

func (s *Server) load(w http.ResponseWriter, _ *http.Request) {
	load := target.Load{InFlight: int(s.inFlight.Load()), Slots: s.cfg.Slots}
	if s.getFaults().Lie {
		load.InFlight = 0
	}
	writeJSON(w, load)
}

func (s *Server) putGrant(w http.ResponseWriter, r *http.Request) {
	var grant target.GrantMessage
	if err := json.NewDecoder(r.Body).Decode(&grant); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.grant = grant
}

// granted reports whether the grant under which r runs is in force now.
func (s *Server) granted(r *http.Request) bool {
	expires, err := strconv.ParseInt(r.Header.Get(target.HeaderExpires), 10, 64)
	if !s.cfg.CheckGrants || err != nil {
		return true
	}
	s.mu.Lock()
	if string(s.grant.Incarnation) == r.Header.Get(target.HeaderHolder) {
		expires = max(expires, s.grant.ExpiresBoottimeMs)
	}
	s.mu.Unlock()
	return boottime.Now().UnixMilli() < expires
}

// serve runs a request.
func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	if once, ok := r.Context().Value(connKey{}).(*sync.Once); ok {
		once.Do(func() { time.Sleep(s.cfg.Connect) })
	}
	faults := s.getFaults()
	running := s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	s.most.Store(max(s.most.Load(), running))
	if faults.Shed || running > int64(s.cfg.Slots) {
		refuse(w, target.NotRunShed)
		return
	}
	if !s.granted(r) {
		refuse(w, target.NotRunFenced)
		return
	}
	ctx, cancel := s.deadline(r)
	defer cancel()
	r = r.WithContext(ctx)
	run := s.begin(r)
	defer s.end(run)
	key := strings.TrimPrefix(r.URL.Path, "/")
	switch r.Method {
	case http.MethodPost:
		s.register(w, r, key, faults)
	case http.MethodPut:
		s.store(w, r, faults)
	default:
		s.lookup(w, r, key, faults)
	}
}

// deadline returns the context that a request runs under.
func (s *Server) deadline(r *http.Request) (context.Context, context.CancelFunc) {
	if s.cfg.IgnoreDeadlines {
		return context.WithoutCancel(r.Context()), func() {}
	}
	ms, err := strconv.ParseInt(r.Header.Get(target.HeaderDeadline), 10, 64)
	if err != nil {
		return r.Context(), func() {}
	}
	return context.WithTimeout(r.Context(), time.Duration(ms)*time.Millisecond)
}

// refuse answers that a request did not run.
func refuse(w http.ResponseWriter, why string) {
	w.Header().Set(target.HeaderNotRun, why)
	http.Error(w, why, http.StatusServiceUnavailable)
}

// work takes d, as long as the request's caller waits.
func work(r *http.Request, d time.Duration, faults Faults) bool {
	if faults.Slow > 0 {
		d = time.Duration(float64(d) * faults.Slow)
	}
	if ms, err := strconv.ParseInt(r.FormValue("work_ms"), 10, 64); err == nil {
		d = time.Duration(ms) * time.Millisecond
	}
	if d == 0 {
		return true
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.Context().Done():
		return false
	}
}

// lookup answers a GET.
func (s *Server) lookup(w http.ResponseWriter, r *http.Request, key string, faults Faults) {
	if !work(r, s.cfg.Lookup, faults) {
		return
	}
	if n, err := strconv.Atoi(r.URL.Query().Get("bytes")); err == nil {
		s.pattern(w, r, n, faults)
		return
	}
	lock := s.lock(key)
	lock.Lock()
	name := s.name(key, r)
	lock.Unlock()
	if !name.exists {
		http.Error(w, "free", http.StatusNotFound)
		return
	}
	_, _ = io.WriteString(w, name.value)
}

// pattern answers with n bytes that depend on the request id only.
func (s *Server) pattern(w http.ResponseWriter, r *http.Request, n int, faults Faults) {
	body := Pattern(r.Header.Get(target.HeaderRequestID), n)
	if !faults.CutAnswers {
		_, _ = w.Write(body)
		return
	}
	_, _ = w.Write(body[:n/2])
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

// Pattern returns n bytes that depend on id only.
func Pattern(id string, n int) []byte {
	body := make([]byte, 0, n+16)
	for i := 0; len(body) < n; i++ {
		body = fmt.Appendf(body, "%016x", xxhash.Sum64String(id+strconv.Itoa(i)))
	}
	return body[:n]
}

// register answers a POST.
func (s *Server) register(w http.ResponseWriter, r *http.Request, key string, faults Faults) {
	value, err := io.ReadAll(io.LimitReader(r.Body, 1<<20))
	if err != nil {
		return
	}
	lock := s.lock(key)
	lock.Lock()
	defer lock.Unlock()
	name := s.name(key, r)
	if !work(r, s.cfg.Write, faults) {
		return
	}
	if name.exists {
		http.Error(w, name.value, http.StatusConflict)
		return
	}
	// The last moment to notice that the grant has expired meanwhile.
	if !s.granted(r) {
		refuse(w, target.NotRunFenced)
		return
	}
	s.setName(key, cached{token: r.Header.Get(target.HeaderToken), exists: true, value: string(value)})
	w.WriteHeader(http.StatusCreated)
}

// Stored is the answer to a PUT.
type Stored struct {
	Bytes int64  `json:"bytes"`
	Hash  string `json:"hash"`
}

// store answers a PUT.
func (s *Server) store(w http.ResponseWriter, r *http.Request, faults Faults) {
	hash := xxhash.New()
	buf := make([]byte, 64<<10)
	total := int64(0)
	for {
		n, err := io.ReadFull(r.Body, buf)
		_, _ = hash.Write(buf[:n])
		total += int64(n)
		if n > 0 && !work(r, s.cfg.Chunk, faults) {
			return
		}
		if err == io.EOF || err == io.ErrUnexpectedEOF && n < len(buf) && r.Context().Err() == nil && total == max(total, r.ContentLength) {
			break
		}
		if err != nil {
			return
		}
	}
	writeJSON(w, Stored{Bytes: total, Hash: fmt.Sprintf("%016x", hash.Sum64())})
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

// classOf returns the class that a request says it has.
func classOf(r *http.Request) string {
	if class := r.Header.Get(target.HeaderClass); class != "" {
		return class
	}
	return request.Lookup.String()
}
