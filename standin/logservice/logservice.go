// Package logservice is a small stand-in of the platform's log service, with
// the interface of docs/PLATFORM-LOG.md and faults that tests can switch on.
//
// # Usage
//
//	srv := logservice.New()
//	http.Serve(listener, srv)
//	srv.SetFaults(logservice.Faults{Down: true})
//
// Over HTTP the faults are set with PUT /standin/faults.
package logservice

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"siskinknot/core/record"
	"siskinknot/io/platformlog"
)

// Faults are the ways in which the log misbehaves.
type Faults struct {
	// Down makes every request fail without effect.
	Down bool `json:"down"`
	// DelayMs delays every answer.
	DelayMs int64 `json:"delay_ms"`
	// LoseAnswers is the number of appends to come that take effect but whose
	// connections are cut before the answer.
	LoseAnswers int `json:"lose_answers"`
	// Retain is the number of records kept; 0 keeps all.
	Retain int `json:"retain"`
	// AppendsPerSecond bounds the appends; those beyond wait for their turn. 0 is
	// no bound.
	AppendsPerSecond int `json:"appends_per_second"`
}

// Server is the stand-in. It implements http.Handler.
type Server struct {
	mux *http.ServeMux

	mu      sync.Mutex
	faults  Faults
	first   uint64
	records []json.RawMessage
	// grown is closed and replaced at each append.
	grown chan struct{}
	// turn is when the next append may be carried out.
	turn time.Time
}

// New returns an empty log.
func New() *Server {
	s := &Server{mux: http.NewServeMux(), grown: make(chan struct{})}
	s.mux.HandleFunc("POST /v1/records", s.append)
	s.mux.HandleFunc("GET /v1/records", s.read)
	s.mux.HandleFunc("GET /v1/offsets", s.offsets)
	s.mux.HandleFunc("PUT /standin/faults", s.putFaults)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mux.ServeHTTP(w, r)
}

// SetFaults replaces the faults.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.forget()
	if f.Down {
		s.wake()
	}
}

// Append appends data as a request would, without faults.
func (s *Server) Append(data json.RawMessage) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.add(data)
}

// Records returns a copy of the records kept.
func (s *Server) Records() []platformlog.Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	entries := make([]platformlog.Entry, len(s.records))
	for i, rec := range s.records {
		entries[i] = platformlog.Entry{Offset: s.first + uint64(i), Record: rec}
	}
	return entries
}

func (s *Server) add(data json.RawMessage) uint64 {
	offset := s.first + uint64(len(s.records))
	s.records = append(s.records, data)
	s.forget()
	s.wake()
	return offset
}

// forget drops the records beyond the number retained.
func (s *Server) forget() {
	excess := len(s.records) - s.faults.Retain
	if s.faults.Retain == 0 || excess <= 0 {
		return
	}
	s.records = append([]json.RawMessage(nil), s.records[excess:]...)
	s.first += uint64(excess)
}

// wake ends the waits of readers.
func (s *Server) wake() {
	close(s.grown)
	s.grown = make(chan struct{})
}

// misbehave applies the faults that concern every request, and reports whether
// the request may go on.
func (s *Server) misbehave(w http.ResponseWriter, r *http.Request) bool {
	s.mu.Lock()
	faults := s.faults
	s.mu.Unlock()
	if faults.DelayMs > 0 {
		select {
		case <-time.After(time.Duration(faults.DelayMs) * time.Millisecond):
		case <-r.Context().Done():
			return false
		}
	}
	if faults.Down {
		http.Error(w, "log is down", http.StatusServiceUnavailable)
		return false
	}
	return true
}

func (s *Server) append(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(io.LimitReader(r.Body, record.MaxBytes+1))
	if err != nil {
		return
	}
	if len(data) > record.MaxBytes {
		http.Error(w, "record is too large", http.StatusRequestEntityTooLarge)
		return
	}
	if !json.Valid(data) {
		http.Error(w, "record is not JSON", http.StatusBadRequest)
		return
	}
	if !s.misbehave(w, r) {
		return
	}
	s.awaitTurn(r)
	s.mu.Lock()
	offset := s.add(data)
	lose := s.faults.LoseAnswers > 0
	if lose {
		s.faults.LoseAnswers--
	}
	s.mu.Unlock()
	if lose {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, platformlog.AppendAnswer{Offset: offset})
}

// awaitTurn waits until an append may be carried out, or its client has gone; it
// is carried out all the same.
func (s *Server) awaitTurn(r *http.Request) {
	s.mu.Lock()
	rate := s.faults.AppendsPerSecond
	if rate == 0 {
		s.mu.Unlock()
		return
	}
	now := time.Now()
	if s.turn.Before(now) {
		s.turn = now
	}
	wait := s.turn.Sub(now)
	s.turn = s.turn.Add(time.Second / time.Duration(rate))
	s.mu.Unlock()
	select {
	case <-time.After(wait):
	case <-r.Context().Done():
	}
}

func (s *Server) read(w http.ResponseWriter, r *http.Request) {
	if !s.misbehave(w, r) {
		return
	}
	from, err := strconv.ParseUint(r.FormValue("from"), 10, 64)
	if err != nil {
		http.Error(w, "from is not an offset", http.StatusBadRequest)
		return
	}
	limit, err := strconv.Atoi(r.FormValue("limit"))
	if err != nil || limit < 1 {
		limit = 1000
	}
	waitMs, _ := strconv.ParseInt(r.FormValue("wait_ms"), 10, 64)
	s.wait(r, from, time.Duration(waitMs)*time.Millisecond)
	if s.isDown() {
		http.Error(w, "log is down", http.StatusServiceUnavailable)
		return
	}
	batch, ok := s.batch(from, limit)
	if !ok {
		http.Error(w, "offset is forgotten", http.StatusGone)
		return
	}
	writeJSON(w, batch)
}

// wait returns once there is a record at from, wait has passed, or the log
// went down.
func (s *Server) wait(r *http.Request, from uint64, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		s.mu.Lock()
		ready := from < s.first+uint64(len(s.records)) || s.faults.Down
		grown := s.grown
		s.mu.Unlock()
		if ready {
			return
		}
		select {
		case <-grown:
		case <-timer.C:
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Server) isDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults.Down
}

// batch returns up to limit records from offset from on; false if it was
// forgotten.
func (s *Server) batch(from uint64, limit int) (platformlog.Batch, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := s.first + uint64(len(s.records))
	batch := platformlog.Batch{
		Offsets: platformlog.Offsets{Earliest: s.first, Next: next},
		Records: []platformlog.Entry{},
	}
	if from < s.first {
		return batch, false
	}
	for offset := from; offset < next && len(batch.Records) < limit; offset++ {
		batch.Records = append(batch.Records, platformlog.Entry{Offset: offset, Record: s.records[offset-s.first]})
	}
	return batch, true
}

func (s *Server) offsets(w http.ResponseWriter, r *http.Request) {
	if !s.misbehave(w, r) {
		return
	}
	s.mu.Lock()
	offsets := platformlog.Offsets{Earliest: s.first, Next: s.first + uint64(len(s.records))}
	s.mu.Unlock()
	writeJSON(w, offsets)
}

func (s *Server) putFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	if err := json.NewDecoder(r.Body).Decode(&faults); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(faults)
	writeJSON(w, faults)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
