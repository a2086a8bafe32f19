package load

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// asOpError is errors.As for a *net.OpError.
func asOpError(err error, op **net.OpError) bool { return errors.As(err, op) }

// Parameters of the latency histograms: the lowest and highest value in
// microseconds, and the precision in significant decimal digits.
const (
	minLatency    = 1
	maxLatency    = 120_000_000
	latencyDigits = 3
)

// Tally counts how the requests of a group ended, and records the latency of the
// answered ones. It is safe for concurrent use.
type Tally struct {
	mu      sync.Mutex
	counts  map[End]int
	reasons map[string]int
	latency *hdrhistogram.Histogram
}

// NewTally returns an empty Tally.
func NewTally() *Tally {
	return &Tally{
		counts:  map[End]int{},
		reasons: map[string]int{},
		latency: hdrhistogram.New(minLatency, maxLatency, latencyDigits),
	}
}

// Add counts a request with the result res. If it was answered, took is recorded
// as its latency.
func (t *Tally) Add(res Result, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counts[res.End]++
	if res.End != Answered {
		t.reasons[res.End.String()+": "+res.Reason]++
		return
	}
	_ = t.latency.RecordValue(min(max(took.Microseconds(), minLatency), maxLatency))
}

// Count returns the number of requests that ended as end.
func (t *Tally) Count(end End) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.counts[end]
}

// Reasons returns the number of requests that were not answered by how they ended
// and the reason given, such as "not run: REASON".
func (t *Tally) Reasons() map[string]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	reasons := make(map[string]int, len(t.reasons))
	for reason, n := range t.reasons {
		reasons[reason] = n
	}
	return reasons
}

// Quantile returns the q-th percentile of the latency of the answered requests,
// for q from 0 to 100.
func (t *Tally) Quantile(q float64) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return time.Duration(t.latency.ValueAtQuantile(q)) * time.Microsecond
}

// Generator sends requests at a constant rate, independently of when earlier ones
// end (an open loop).
type Generator struct {
	// Rate is the number of requests per second.
	Rate float64
	// MaxInFlight is the maximum number of requests in flight. Requests beyond
	// it count as Unknown, because this process could not send them.
	MaxInFlight int
	// Send sends request number i, counted from 0, and returns its result.
	Send func(ctx context.Context, i int) Result
	// Tally counts the results. The latency of a request is measured from the time
	// at which it was due.
	Tally *Tally
	// LastThird counts, in addition to Tally, the requests that were due in the last
	// third of the duration; if nil, they are not counted separately.
	LastThird *Tally
}

// Run sends requests for duration or until ctx ends, and returns once all have
// ended. It returns the number of requests answered within duration.
func (g *Generator) Run(ctx context.Context, duration time.Duration) int {
	start := time.Now()
	inFlight := make(chan struct{}, g.MaxInFlight)
	var answered atomic.Int64
	var wg sync.WaitGroup
	for i := 0; ; i++ {
		due := start.Add(time.Duration(float64(i) / g.Rate * float64(time.Second)))
		if due.Sub(start) >= duration || !sleepUntil(ctx, due) {
			wg.Wait()
			return int(answered.Load())
		}
		select {
		case inFlight <- struct{}{}:
		default:
			g.Tally.Add(Result{End: Unknown, Reason: "too many requests under way"}, 0)
			continue
		}
		wg.Go(func() {
			defer func() { <-inFlight }()
			res := g.Send(ctx, i)
			took := time.Since(due)
			g.Tally.Add(res, took)
			if g.LastThird != nil && 3*due.Sub(start) > 2*duration {
				g.LastThird.Add(res, took)
			}
			if res.End == Answered && time.Since(start) <= duration {
				answered.Add(1)
			}
		})
	}
}

// sleepUntil waits until t or until ctx ends, and reports whether ctx has not
// ended.
func sleepUntil(ctx context.Context, t time.Time) bool {
	delay := time.Until(t)
	if delay <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
