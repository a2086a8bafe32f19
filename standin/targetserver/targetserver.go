// Package targetserver simulates a target for tests: an HTTP server that stores
// names, takes a configured time for each request, and can be told to misbehave.
//
//	GET  /KEY           looks a name up: 200 with its value, or 404
//	GET  /KEY?bytes=N   returns N bytes that depend on the request id only
//	POST /KEY           registers a name: 201, or 409 if it is taken
//	PUT  /KEY           accepts a body: 200 with its size and hash
//	GET  /health, GET /load, PUT /grant, PUT /standin/faults
//
// A request with the parameter begin_after_ms=N is read N milliseconds late, and
// work_ms=N sets its service time.
//
// A target that owns keys caches the state of their names in memory for as long
// as the grant's token stays the same, and reads it from the shared directory
// again when the token changes. If a key had two owners at the same time, they
// would therefore give wrong answers, as real servers would. Each run is written
// to the shared record twice: its start before it happens and its end after it,
// both with a time on CLOCK_BOOTTIME.
//
// # Usage
//
//	srv, err := targetserver.New(targetserver.Config{Name: "registry-1", Slots: 12, SharedDir: dir})
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

// Config is the configuration of a target.
type Config struct {
	// Name identifies the target in the shared record.
	Name string
	// Slots is the number of requests that may run at a time; the target refuses
	// further ones as not run.
	Slots int
	// SharedDir is the directory that all targets of a test share. If it is
	// empty, the target keeps names in memory only and records no runs.
	SharedDir string
	// Lookup and Write are the service times of GET and POST requests. Chunk is the
	// service time for each 64 KiB of the body of a PUT request.
	Lookup time.Duration
	Write  time.Duration
	Chunk  time.Duration
	// Connect is the delay of the first request on each new connection.
	Connect time.Duration
	// CheckGrants makes the target refuse requests whose grant has expired or whose
	// deadline has passed.
	CheckGrants bool
	// IgnoreDeadlines makes the target run each request to its end, even after its
	// deadline has passed or its caller has closed the connection. With CheckGrants
	// such a request has no effect.
	IgnoreDeadlines bool
}

// Faults describes the faults that a target simulates. The zero value has none.
type Faults struct {
	// State is the state that /health reports. If it is empty, /health reports
	// "ready".
	State string `json:"state"`
	// Shed makes the target refuse every request as not run.
	Shed bool `json:"shed"`
	// Slow is the factor by which service times are multiplied; 0 means 1.
	Slow float64 `json:"slow"`
	// ReportNoLoad makes /load report that no requests are in flight.
	ReportNoLoad bool `json:"lie"`
	// CutAnswers makes the target abort the connection after half of the body of
	// an answer to GET /KEY?bytes=N.
	CutAnswers bool `json:"cut_answers"`
}

// Server is a simulated target. It implements http.Handler and is safe for
// concurrent use.
type Server struct {
	cfg         Config
	mux         *http.ServeMux
	record      *os.File
	inFlight    atomic.Int64
	maxInFlight atomic.Int64
	newConns    atomic.Int64

	mu     sync.Mutex
	faults Faults
	grant  target.GrantMessage
	names  map[string]cachedName  // by key
	locks  map[string]*sync.Mutex // guard the names, by key
}

// cachedName is the state of a name, valid for requests with the given token.
type cachedName struct {
	token  string
	exists bool
	value  string
}

// New returns a target with the configuration cfg. It returns an error if the
// shared record cannot be opened.
func New(cfg Config) (*Server, error) {
	s := &Server{
		cfg:   cfg,
		mux:   http.NewServeMux(),
		names: map[string]cachedName{},
		locks: map[string]*sync.Mutex{},
	}
	if cfg.SharedDir != "" {
		record, err := openRecord(cfg.SharedDir)
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

// connectOnceKey is the context key of a connection's *sync.Once, with which only
// the first request on the connection is delayed by Config.Connect.
type connectOnceKey struct{}

// HTTPServer returns an HTTPServer server for s that delays the first request
// on each connection by Config.Connect.
func (s *Server) HTTPServer() *http.Server {
	return &http.Server{
		Handler:           s,
		ReadHeaderTimeout: time.Minute,
		ConnContext: func(ctx context.Context, _ net.Conn) context.Context {
			s.newConns.Add(1)
			return context.WithValue(ctx, connectOnceKey{}, &sync.Once{})
		},
	}
}

// SetFaults replaces the faults that the target simulates.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

func (s *Server) currentFaults() Faults {
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
	state := s.currentFaults().State
	if state == "" {
		state = "ready"
	}
	writeJSON(w, target.Health{State: state})
}

func (s *Server) load(w http.ResponseWriter, _ *http.Request) {
	load := target.Load{InFlight: int(s.inFlight.Load()), Slots: s.cfg.Slots}
	if s.currentFaults().ReportNoLoad {
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

// grantValid reports whether the grant that r came with has not expired yet. If the
// last grant that the daemon has sent to the target is of the same holder and
// expires later, its expiry counts. grantValid returns true if the target does not
// check grants or r came without one.
func (s *Server) grantValid(r *http.Request) bool {
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

// serve handles a request of a caller: it refuses it as not run or runs it.
func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	if once, ok := r.Context().Value(connectOnceKey{}).(*sync.Once); ok {
		once.Do(func() { time.Sleep(s.cfg.Connect) })
	}
	faults := s.currentFaults()
	running := s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	s.maxInFlight.Store(max(s.maxInFlight.Load(), running))
	if faults.Shed || running > int64(s.cfg.Slots) {
		refuse(w, target.NotRunShed)
		return
	}
	readLate(r)
	if !s.grantValid(r) || !s.inTime(r) {
		refuse(w, target.NotRunFenced)
		return
	}
	ctx, cancel := s.withDeadline(r)
	defer cancel()
	r = r.WithContext(ctx)
	run := s.recordStart(r)
	defer s.recordEnd(run)
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

// readLate waits for the parameter begin_after_ms of r, if it has one.
func readLate(r *http.Request) {
	if ms, err := strconv.ParseInt(r.URL.Query().Get("begin_after_ms"), 10, 64); err == nil {
		time.Sleep(time.Duration(ms) * time.Millisecond)
	}
}

// withDeadline returns the context that r runs under: that of r with the deadline
// in its header, if it has one, or a context that is never cancelled if the target
// ignores deadlines.
func (s *Server) withDeadline(r *http.Request) (context.Context, context.CancelFunc) {
	if s.cfg.IgnoreDeadlines {
		return context.WithoutCancel(r.Context()), func() {}
	}
	deadline, ok := deadlineOf(r)
	if !ok {
		return r.Context(), func() {}
	}
	return context.WithTimeout(r.Context(), deadline.Sub(boottime.Now()))
}

// deadlineOf returns the deadline in the header of r, on CLOCK_BOOTTIME, and false if
// there is none.
func deadlineOf(r *http.Request) (time.Time, bool) {
	ms, err := strconv.ParseInt(r.Header.Get(target.HeaderDeadlineBoottime), 10, 64)
	return time.UnixMilli(ms), err == nil
}

// inTime reports whether the deadline of r has not passed yet. It returns true if r has
// none, or if the target ignores deadlines and does not check grants.
func (s *Server) inTime(r *http.Request) bool {
	deadline, ok := deadlineOf(r)
	ignored := s.cfg.IgnoreDeadlines && !s.cfg.CheckGrants
	return !ok || ignored || boottime.Now().Before(deadline)
}

// refuse answers a request with status 503 and the reason why it did not run.
func refuse(w http.ResponseWriter, reason string) {
	w.Header().Set(target.HeaderNotRun, reason)
	http.Error(w, reason, http.StatusServiceUnavailable)
}

// simulateWork waits for d, multiplied by the fault Slow, or for the parameter
// work_ms of the request if it has one. It returns false if the context of r is
// cancelled first.
func simulateWork(r *http.Request, d time.Duration, faults Faults) bool {
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

// lookup handles a GET request: it answers with the value of the name key.
func (s *Server) lookup(w http.ResponseWriter, r *http.Request, key string, faults Faults) {
	if !simulateWork(r, s.cfg.Lookup, faults) {
		return
	}
	if n, err := strconv.Atoi(r.URL.Query().Get("bytes")); err == nil {
		s.pattern(w, r, n, faults)
		return
	}
	lock := s.nameLock(key)
	lock.Lock()
	name := s.loadName(key, r)
	lock.Unlock()
	if !name.exists {
		http.Error(w, "free", http.StatusNotFound)
		return
	}
	_, _ = io.WriteString(w, name.value)
}

// pattern answers with n bytes that depend on the request id only, or with half of
// them if answers are to be cut.
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

// register handles a POST request: it registers the name key with the body as its
// value.
func (s *Server) register(w http.ResponseWriter, r *http.Request, key string, faults Faults) {
	value, err := io.ReadAll(io.LimitReader(r.Body, 1<<20))
	if err != nil {
		return
	}
	lock := s.nameLock(key)
	lock.Lock()
	defer lock.Unlock()
	name := s.loadName(key, r)
	if !simulateWork(r, s.cfg.Write, faults) {
		return
	}
	if name.exists {
		http.Error(w, name.value, http.StatusConflict)
		return
	}
	// The grant may have expired or the deadline passed during the work. This is the
	// last point at which the request can still be refused as not run.
	if !s.grantValid(r) || !s.inTime(r) {
		refuse(w, target.NotRunFenced)
		return
	}
	s.storeName(key, cachedName{token: r.Header.Get(target.HeaderToken), exists: true, value: string(value)})
	w.WriteHeader(http.StatusCreated)
}

// Stored is the body of the answer to a PUT request.
type Stored struct {
	// Bytes is the size of the request's body.
	Bytes int64 `json:"bytes"`
	// Hash is the XXH64 hash of the request's body, in hexadecimal.
	Hash string `json:"hash"`
}

// store handles a PUT request: it reads the body and answers with its size and
// hash.
func (s *Server) store(w http.ResponseWriter, r *http.Request, faults Faults) {
	hash := xxhash.New()
	buf := make([]byte, 64<<10)
	total := int64(0)
	for {
		n, err := io.ReadFull(r.Body, buf)
		_, _ = hash.Write(buf[:n])
		total += int64(n)
		if n > 0 && !simulateWork(r, s.cfg.Chunk, faults) {
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

// classOf returns the class in the header of r, or the class of lookups if there
// is none.
func classOf(r *http.Request) string {
	if class := r.Header.Get(target.HeaderClass); class != "" {
		return class
	}
	return request.Lookup.String()
}
