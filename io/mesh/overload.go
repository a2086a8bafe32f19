package mesh

import (
	"math/rand/v2"
	"sync"
	"time"

	"siskinknot/core/outcome"
	"siskinknot/core/overload"
	"siskinknot/io/goruntime"
)

const (
	// minBusyRetryAfter and maxBusyRetryAfter are the limits of the delay that callers are told
	// whose requests are rejected for want of processor time. Each gets another one, so that they
	// do not return together.
	minBusyRetryAfter = 200 * time.Millisecond
	maxBusyRetryAfter = 800 * time.Millisecond
)

// processorLimit rejects requests while the process is short of processor time. The zero value is
// ready to use.
type processorLimit struct {
	mu         sync.Mutex
	controller overload.Controller
	waits      *goruntime.Waits
}

// shares returns the shares of callers' requests and of forwarded ones that are accepted at now.
func (l *processorLimit) shares(now time.Time) (callers, forwarded float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.waits == nil {
		l.waits = goruntime.NewWaits()
	}
	if l.controller.Due(now) {
		waits := l.waits.Take()
		l.controller.Observe(now, waits.Mean())
	}
	return l.controller.Share(), l.controller.ForwardedShare()
}

// busyRefusal returns the rejection of a caller's request that arrives at now, or nil if it is
// accepted. Calls of requests that the target is running are not rejected: the work on these
// requests would be lost.
func (m *Mesh) busyRefusal(now time.Time, c *call) outcome.Result {
	if share, _ := m.processor.shares(now); c.parent != nil || rand.Float64() < share {
		return nil
	}
	return outcome.NotRun{Reason: outcome.Busy, RetryAfter: busyRetryAfter()}
}

// busyForwardRefusal is busyRefusal for a request that another daemon forwards. To that daemon it
// is the same as a target without room: it tries another one if the service has one.
func (m *Mesh) busyForwardRefusal(now time.Time) outcome.Result {
	if _, share := m.processor.shares(now); rand.Float64() < share {
		return nil
	}
	return outcome.NotRun{Reason: outcome.Overloaded, RetryAfter: busyRetryAfter()}
}

// busyRetryAfter returns the delay that the caller of a rejected request is told.
func busyRetryAfter() time.Duration {
	return minBusyRetryAfter + rand.N(maxBusyRetryAfter-minBusyRetryAfter)
}
