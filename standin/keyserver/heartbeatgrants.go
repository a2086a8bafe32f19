package keyserver

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"time"
)

const (
	// answerTimeout is how long after it sent a heartbeat the server accepts the
	// answer, and maxAnswerBytes how large the answer may be.
	answerTimeout  = time.Second
	maxAnswerBytes = 4 << 10
	// releaseHeartbeatInterval is the time between heartbeats while keys are being
	// released.
	releaseHeartbeatInterval = 50 * time.Millisecond
)

// freed is a range that the server has released; it is reported until a heartbeat has
// been acknowledged.
type freed struct {
	first, last uint16
	handover    string
}

// grantLists returns the fields of a heartbeat that list the ranges which the server
// holds or still works on, and those that it has released. The caller holds the mutex.
func (s *Server) grantLists() string {
	if !s.cfg.GrantsInHeartbeats {
		return ""
	}
	now := time.Now()
	s.grants = slices.DeleteFunc(s.grants, func(g grant) bool { return !now.Before(g.expiresAt) })
	var released []grant
	s.releasing = slices.DeleteFunc(s.releasing, func(g grant) bool {
		if s.works(g) {
			return false
		}
		released = append(released, g)
		return true
	})
	for _, g := range released {
		s.freed = append(s.freed, freed{g.First, g.Last, fmt.Sprintf("h-%08x", rand.Uint32())})
	}
	var holds, freedRows []string
	for _, g := range slices.Concat(s.grants, s.releasing) {
		holds = append(holds, fmt.Sprintf("[%d,%d,%d]", g.First, g.Last, g.Fence))
	}
	for _, f := range s.freed {
		freedRows = append(freedRows, fmt.Sprintf("[%d,%d,%q]", f.first, f.last, f.handover))
	}
	return fmt.Sprintf(`,"holds":[%s],"freed":[%s]`, strings.Join(holds, ","), strings.Join(freedRows, ","))
}

// works reports whether a request for one of g's keys is running. The caller holds the
// mutex.
func (s *Server) works(g grant) bool {
	for key, n := range s.running {
		if n > 0 && g.First <= key && key <= g.Last {
			return true
		}
	}
	return false
}

// applyAnswer applies the answer to a heartbeat that was sent at sentAt, and reports
// whether a release is in progress. It drops the share of answers that the fault
// LoseHeartbeatAnswers gives.
func (s *Server) applyAnswer(sentAt time.Time, resp *http.Response) (releasing bool) {
	var answer struct {
		Holds  *[][4]json.RawMessage `json:"holds"`
		HoldMs int64                 `json:"hold_ms"`
	}
	err := json.NewDecoder(http.MaxBytesReader(nil, resp.Body, maxAnswerBytes)).Decode(&answer)
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	lost := s.losesHeartbeatAnswer()
	if err != nil || lost || resp.StatusCode != http.StatusOK || now.Sub(sentAt) > answerTimeout {
		return len(s.releasing) > 0
	}
	s.freed = nil
	if answer.Holds == nil {
		return len(s.releasing) > 0
	}
	former := s.grants
	s.grants = nil
	for _, row := range *answer.Holds {
		var g grant
		if json.Unmarshal(row[0], &g.First) != nil || json.Unmarshal(row[1], &g.Last) != nil || json.Unmarshal(row[2], &g.Fence) != nil {
			continue
		}
		if !s.raiseFences(g) {
			continue
		}
		g.HoldMs = answer.HoldMs
		g.expiresAt = sentAt.Add(time.Duration(answer.HoldMs) * time.Millisecond)
		s.grants = append(s.grants, g)
		s.cfg.History.recordGrant(s.id, g, sentAt)
	}
	for _, g := range former {
		s.releaseRest(g, now)
	}
	return len(s.releasing) > 0
}

// LoseNextHeartbeatAnswers makes the server lose the next n answers to its heartbeats.
func (s *Server) LoseNextHeartbeatAnswers(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loseNext = n
}

// losesHeartbeatAnswer reports whether the answer that arrives now is lost. Answers are lost
// at even intervals, so that the longest series of lost ones follows from the share. The
// caller holds the mutex.
func (s *Server) losesHeartbeatAnswer() bool {
	if s.loseNext > 0 {
		s.loseNext--
		return true
	}
	s.lossShare += s.fault.LoseHeartbeatAnswers
	if s.lossShare < 1 {
		return false
	}
	s.lossShare--
	return true
}

// releaseRest starts to release the keys of a former grant that the server no longer
// holds. The caller holds the mutex.
func (s *Server) releaseRest(former grant, now time.Time) {
	rest := []grant{former}
	for _, g := range s.grants {
		rest = subtractFromAll(rest, g)
	}
	for _, r := range rest {
		if now.Before(r.expiresAt) {
			s.releasing = append(s.releasing, r)
			s.cfg.History.recordRelease(s.id, r, now)
		}
	}
}

// subtractFromAll returns the parts of all grants in list without the keys of other.
func subtractFromAll(list []grant, other grant) []grant {
	parts := make([]grant, 0, len(list)+1)
	for _, g := range list {
		parts = append(parts, subtract(g, other)...)
	}
	return parts
}

// subtract returns the parts of g without the keys of other.
func subtract(g, other grant) []grant {
	if other.Last < g.First || g.Last < other.First {
		return []grant{g}
	}
	var parts []grant
	if g.First < other.First {
		before := g
		before.Last = other.First - 1
		parts = append(parts, before)
	}
	if g.Last > other.Last {
		after := g
		after.First = other.Last + 1
		parts = append(parts, after)
	}
	return parts
}
