package mesh

import (
	"context"
	"sync"
)

// callLimiter limits the calls of one kind that are in progress, in the order of their
// arrival. It is safe for concurrent use.
type callLimiter struct {
	mu sync.Mutex
	// limit is the maximum number of calls in progress, and used their number.
	limit, used int
	// waiting has a channel for each call that waits, which is closed when it may begin.
	waiting []chan struct{}
}

// newCallLimiter returns a callLimiter for limit calls at a time.
func newCallLimiter(limit int) *callLimiter { return &callLimiter{limit: limit} }

// setLimit changes the limit. Calls in progress are not affected.
func (l *callLimiter) setLimit(limit int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limit = limit
	l.admit()
}

// begin waits until a call may begin, and then counts it until end is called. It returns the
// error of ctx if ctx ends first.
func (l *callLimiter) begin(ctx context.Context) error {
	l.mu.Lock()
	admitted := make(chan struct{})
	l.waiting = append(l.waiting, admitted)
	l.admit()
	l.mu.Unlock()
	select {
	case <-admitted:
		return nil
	case <-ctx.Done():
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for i, other := range l.waiting {
		if other == admitted {
			l.waiting = append(l.waiting[:i], l.waiting[i+1:]...)
			return ctx.Err()
		}
	}
	return nil // admitted at the same time
}

// end records that a call has ended.
func (l *callLimiter) end() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.used--
	l.admit()
}

// admit lets waiting calls begin, as far as the limit allows. The caller holds the mutex.
func (l *callLimiter) admit() {
	for l.used < l.limit && len(l.waiting) > 0 {
		close(l.waiting[0])
		l.waiting = l.waiting[1:]
		l.used++
	}
}
