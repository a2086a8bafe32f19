package mesh

import (
	"sync"
	"time"

	"golang.org/x/time/rate"

	"siskinknot/core/outcome"
)

const (
	// requestLinesPerSecond limits the log lines on single requests with the same message and
	// reason, and requestLinesBurst how many may be written at once after a quiet time. The state
	// log counts all requests by reason.
	requestLinesPerSecond = 2
	requestLinesBurst     = 20
)

// requestLines limits the log lines on single requests, before they are formatted: when most
// requests fail, the lines would take the processor time that the others need.
type requestLines struct {
	mu       sync.Mutex
	limiters map[requestLine]*rate.Limiter
}

// requestLine is a kind of log line on a request.
type requestLine struct {
	message string
	reason  outcome.Reason
}

// allow reports whether a line may be written at now.
func (l *requestLines) allow(now time.Time, line requestLine) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	limiter := l.limiters[line]
	if limiter == nil {
		if l.limiters == nil {
			l.limiters = map[requestLine]*rate.Limiter{}
		}
		limiter = rate.NewLimiter(requestLinesPerSecond, requestLinesBurst)
		l.limiters[line] = limiter
	}
	return limiter.AllowN(now, 1)
}
