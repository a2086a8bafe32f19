// Package logservice simulates the platform's log service for tests. It has the
// HTTP interface that docs/PLATFORM-LOG.md describes, and faults that tests can
// switch on.
//
// # Usage
//
//	srv := logservice.New()
//	http.Serve(listener, srv)
//	srv.SetFaults(logservice.Faults{Down: true})
//
// The faults can also be set over HTTP with PUT /standin/faults.
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

// Faults describes the faults that the log simulates. The zero value has none.
type Faults struct {
	// Down makes every request fail with status 503 and without effect.
	Down bool `json:"down"`
	// DelayMs is the delay before each request is handled, in milliseconds.
	DelayMs int64 `json:"delay_ms"`
	// LoseAnswers is the number of future appends that take effect but whose
	// connections are closed before the answer.
	LoseAnswers int `json:"lose_answers"`
	// Retain is the number of newest records that are kept; 0 keeps all.
	Retain int `json:"retain"`
	// AppendsPerSecond limits the rate of appends; appends beyond the rate are
	// delayed. 0 means no limit.
	AppendsPerSecond int `json:"appends_per_second"`
}

// Server is a simulated log service. It implements http.Handler and is safe for
// concurrent use.
type Server struct {
	mux *http.ServeMux

	mu      sync.Mutex
	faults  Faults
	first   uint64 // the offset of the first retained record
	records []json.RawMessage
	// appended is closed and replaced at each append, and when the log goes down.
	appended chan struct{}
	// nextAppendAt is the earliest time of the next append under the fault
	// AppendsPerSecond.
	nextAppendAt time.Time
}

// New returns an empty log.
func New() *Server {
	s := &Server{mux: http.NewServeMux(), appended: make(chan struct{})}
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

// SetFaults replaces the faults that the log simulates.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.enforceRetention()
	if f.Down {
		s.wakeReaders()
	}
}

// Append appends data as an append request does, but without faults. It returns
// the offset of the new record.
func (s *Server) Append(data json.RawMessage) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.addRecord(data)
}

// Records returns a copy of the retained records.
func (s *Server) Records() []platformlog.Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	entries := make([]platformlog.Entry, len(s.records))
	for i, rec := range s.records {
		entries[i] = platformlog.Entry{Offset: s.first + uint64(i), Record: rec}
	}
	return entries
}

// addRecord appends data and returns its offset. The caller holds the mutex.
func (s *Server) addRecord(data json.RawMessage) uint64 {
	offset := s.first + uint64(len(s.records))
	s.records = append(s.records, data)
	s.enforceRetention()
	s.wakeReaders()
	return offset
}

// enforceRetention drops the oldest records beyond Faults.Retain. The caller holds
// the mutex.
func (s *Server) enforceRetention() {
	excess := len(s.records) - s.faults.Retain
	if s.faults.Retain == 0 || excess <= 0 {
		return
	}
	s.records = append([]json.RawMessage(nil), s.records[excess:]...)
	s.first += uint64(excess)
}

// wakeReaders wakes all readers that wait for a record. The caller holds the mutex.
func (s *Server) wakeReaders() {
	close(s.appended)
	s.appended = make(chan struct{})
}

// applyFaults applies the faults that affect every request. It returns false if the
// request must not be handled any further, because the log is down, in which case
// applyFaults has answered it, or because the client closed the connection.
func (s *Server) applyFaults(w http.ResponseWriter, r *http.Request) bool {
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
	if !s.applyFaults(w, r) {
		return
	}
	s.throttleAppend(r)
	s.mu.Lock()
	offset := s.addRecord(data)
	loseAnswer := s.faults.LoseAnswers > 0
	if loseAnswer {
		s.faults.LoseAnswers--
	}
	s.mu.Unlock()
	if loseAnswer {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, platformlog.AppendResponse{Offset: offset})
}

// throttleAppend waits until the fault AppendsPerSecond admits an append, or until
// the client closes the connection. The append takes effect in both cases.
func (s *Server) throttleAppend(r *http.Request) {
	s.mu.Lock()
	rate := s.faults.AppendsPerSecond
	if rate == 0 {
		s.mu.Unlock()
		return
	}
	now := time.Now()
	if s.nextAppendAt.Before(now) {
		s.nextAppendAt = now
	}
	wait := s.nextAppendAt.Sub(now)
	s.nextAppendAt = s.nextAppendAt.Add(time.Second / time.Duration(rate))
	s.mu.Unlock()
	select {
	case <-time.After(wait):
	case <-r.Context().Done():
	}
}

func (s *Server) read(w http.ResponseWriter, r *http.Request) {
	if !s.applyFaults(w, r) {
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
	s.waitForRecord(r, from, time.Duration(waitMs)*time.Millisecond)
	if s.isDown() {
		http.Error(w, "log is down", http.StatusServiceUnavailable)
		return
	}
	batch, ok := s.readBatch(from, limit)
	if !ok {
		http.Error(w, "offset is forgotten", http.StatusGone)
		return
	}
	writeJSON(w, batch)
}

// waitForRecord returns when there is a record at offset from or after it, the
// duration wait has passed, the log goes down or the client closes the connection.
func (s *Server) waitForRecord(r *http.Request, from uint64, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		s.mu.Lock()
		ready := from < s.first+uint64(len(s.records)) || s.faults.Down
		appended := s.appended
		s.mu.Unlock()
		if ready {
			return
		}
		select {
		case <-appended:
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

// readBatch returns up to limit records, starting at offset from. It returns false
// if the record at from is no longer retained.
func (s *Server) readBatch(from uint64, limit int) (platformlog.Batch, bool) {
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
	if !s.applyFaults(w, r) {
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
