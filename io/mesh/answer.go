package mesh

import (
	"bytes"
	"errors"
	"io"
	"sync/atomic"
	"time"

	"siskinknot/core/outcome"
	"siskinknot/core/request"
	"siskinknot/core/scheduling"
	"siskinknot/io/forward"
	"siskinknot/io/targetconn"
)

const (
	// maxBufferedAnswer is the largest body, in bytes, that is read completely
	// before it is forwarded. If the target's connection breaks during such an
	// answer, no part of it has been forwarded.
	maxBufferedAnswer = 64 << 10
	// answerPartBytes is the size of the parts in which a larger body is forwarded.
	answerPartBytes = 16 << 10
	// maxAnswerMemory is the maximum size of all bodies of answers that are in memory, in
	// bytes. The callers of the answers may read slowly.
	maxAnswerMemory = 32 << 20
)

// answerMemory counts the bytes of the bodies of answers that are in memory. It is safe for
// concurrent use.
type answerMemory struct{ used atomic.Int64 }

// reserve reserves n bytes, and reports false if that would exceed maxAnswerMemory.
func (a *answerMemory) reserve(n int) bool {
	if a.used.Add(int64(n)) <= maxAnswerMemory {
		return true
	}
	a.used.Add(int64(-n))
	return false
}

// release releases n reserved bytes.
func (a *answerMemory) release(n int) { a.used.Add(int64(-n)) }

// usedSlot is the slot of a request that is at the target. It is released when the target has
// ended the request, which may be long before a slow caller has read the answer.
type usedSlot struct {
	mesh      *Mesh
	permit    *scheduling.Permit
	head      *request.Head
	divided   bool
	startedAt time.Time
	times     *requestTimes
	// pace is how long work took at the target when the request started.
	pace     float64
	released bool
}

// release releases the slot at ended, unless it is released already, and records the service
// time of a request that the target has run with the result res.
func (s *usedSlot) release(ended time.Time, res outcome.Result, use scheduling.SlotUse) {
	if s.released {
		return
	}
	s.released = true
	s.permit.Done(ended, use)
	if use != scheduling.Served {
		return
	}
	m := s.mesh
	atUsualPace := m.meter.RecordServed(s.startedAt, ended, s.head.Route, s.pace, !succeeded(res))
	m.mu.Lock()
	defer m.mu.Unlock()
	m.demand.RecordServed(s.head.Class, atUsualPace)
	if s.divided && s.times.targetWarm {
		m.serviceTimes.Add(ended.Sub(s.startedAt), s.times.cutOff(ended, res))
	}
}

// deliverAnswer forwards an answer to ex. It calls received, with the result for the target,
// when the target has sent all of an answer that is forwarded afterwards.
func (m *Mesh) deliverAnswer(resp *targetconn.Response, ex forward.Exchange, received func(outcome.Result)) outcome.Result {
	defer func() { _ = resp.Body.Close() }()
	limit := maxBufferedAnswer
	if !m.answers.reserve(limit) {
		limit = answerPartBytes
		m.answers.used.Add(int64(limit)) // each request needs this much
		m.metrics.answersUnbuffered.Inc(1)
	}
	reserved := limit
	defer func() { m.answers.release(reserved) }()
	prefix, err := readPrefix(resp, limit)
	if err != nil {
		return outcome.Unknown{Reason: outcome.ConnectionCut}
	}
	answered := outcome.Answered{Status: resp.Status}
	length, whole := resp.ContentLength, len(prefix) <= limit
	if whole {
		m.answers.release(reserved - len(prefix))
		reserved = len(prefix)
		length = int64(len(prefix))
		_ = resp.Body.Close() // the connection serves the next request
		received(answered)
	}
	if ex.Head(resp.Status, resp.Header, length) != nil || ex.Write(prefix) != nil {
		return outcome.Unknown{Reason: outcome.Cancelled}
	}
	if whole {
		return answered
	}
	if res := forwardRest(resp.Body, ex); res != nil {
		return res
	}
	return answered
}

// forwardRest forwards the rest of an answer in parts. It returns nil if all of it was
// forwarded.
func forwardRest(body io.Reader, ex forward.Exchange) outcome.Result {
	buf := make([]byte, answerPartBytes)
	for {
		n, err := body.Read(buf)
		if n > 0 && ex.Write(buf[:n]) != nil {
			return outcome.Unknown{Reason: outcome.Cancelled}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return outcome.Unknown{Reason: outcome.ConnectionCut}
		}
	}
}

// readPrefix reads up to limit+1 bytes of the body of an answer.
func readPrefix(resp *targetconn.Response, limit int) ([]byte, error) {
	size := min(max(resp.ContentLength, 0), int64(limit)) + bytes.MinRead
	body := bytes.NewBuffer(make([]byte, 0, size))
	_, err := body.ReadFrom(io.LimitReader(resp.Body, int64(limit)+1))
	return body.Bytes(), err
}
