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

func asOpError(err error, op **net.OpError) bool { return errors.As(err, op) }

// Bounds of a histogram, in microseconds.
const (
	leastLatency = 1
	mostLatency  = 120_000_000
	digits       = 3
)

// Tally counts the ends of the requests of a group. It is safe for concurrent
// use.
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
		latency: hdrhistogram.New(leastLatency, mostLatency, digits),
	}
}

// Add counts a request that ended as res, after took.
func (t *Tally) Add(res Result, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counts[res.End]++
	if res.End != Answered {
		t.reasons[res.End.String()+": "+res.Reason]++
		return
	}
	_ = t.latency.RecordValue(min(max(took.Microseconds(), leastLatency), mostLatency))
}

// Count returns the number of requests with the given end.
func (t *Tally) Count(end End) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.counts[end]
}

// Reasons returns how often each reason for not answering was given.
func (t *Tally) Reasons() map[string]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	reasons := make(map[string]int, len(t.reasons))
	for reason, n := range t.reasons {
		reasons[reason] = n
	}
	return reasons
}

// Quantile returns the latency that a share q of the answered requests, from 0
// to 100, did not exceed.
func (t *Tally) Quantile(q float64) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return time.Duration(t.latency.ValueAtQuantile(q)) * time.Microsecond
}

// Generator offers requests at a steady rate.
type Generator struct {
	// Rate is the number of requests a second.
	Rate float64
	// Most bounds the requests under way; those beyond it count as unknown, as
	// the offering process could not send them.
	Most int
	// Send sends request number i.
	Send func(ctx context.Context, i int) Result
	// Tally counts the ends. Latency counts from when a request was due.
	Tally *Tally
	// Late counts those that were due in the last third of the time again; nil
	// counts none.
	Late *Tally
}

// Run offers requests for duration, and returns once all have ended. It returns
// how many were answered within duration.
func (g *Generator) Run(ctx context.Context, duration time.Duration) int {
	start := time.Now()
	slots := make(chan struct{}, g.Most)
	var answered atomic.Int64
	var wg sync.WaitGroup
	for i := 0; ; i++ {
		due := start.Add(time.Duration(float64(i) / g.Rate * float64(time.Second)))
		if due.Sub(start) >= duration || !sleepUntil(ctx, due) {
			wg.Wait()
			return int(answered.Load())
		}
		select {
		case slots <- struct{}{}:
		default:
			g.Tally.Add(Result{End: Unknown, Reason: "too many requests under way"}, 0)
			continue
		}
		wg.Go(func() {
			defer func() { <-slots }()
			res := g.Send(ctx, i)
			took := time.Since(due)
			g.Tally.Add(res, took)
			if g.Late != nil && 3*due.Sub(start) > 2*duration {
				g.Late.Add(res, took)
			}
			if res.End == Answered && time.Since(start) <= duration {
				answered.Add(1)
			}
		})
	}
}

// sleepUntil waits until t and reports whether ctx still goes on.
func sleepUntil(ctx context.Context, t time.Time) bool {
	pause := time.Until(t)
	if pause <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
