package keyserver

import (
	"net/http"
	"strconv"
	"time"
)

// SetCold makes the server report from now on that it is cold for the given time. It does not
// refuse requests beyond the rate that a cold server sustains.
func (s *Server) SetCold(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.coldUntil = time.Now().Add(d)
}

// HealthChecks returns the number of health checks that have arrived.
func (s *Server) HealthChecks() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.healthChecks
}

// coldLeftMs returns how much longer the server is cold, in milliseconds. The caller holds the
// mutex.
func (s *Server) coldLeftMs() int64 { return max(0, time.Until(s.coldUntil).Milliseconds()) }

// health handles a health check.
func (s *Server) health(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.healthChecks++
	w.Header().Set("X-Instance-Id", s.id)
	w.Header().Set("X-Cold-Ms", strconv.FormatInt(s.coldLeftMs(), 10))
}
