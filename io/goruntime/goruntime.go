// Package goruntime reads from the Go runtime how long goroutines wait for the processor.
//
// A goroutine that can run waits while others run, and while the operating system runs
// another process. In a process with enough processor time the wait is well below a
// millisecond. A request passes many goroutines, each of which waits: what a request is
// delayed by is a multiple of the wait. The runtime measures the wait of one goroutine in
// eight (runtime/metrics, /sched/latencies:seconds).
//
// # Usage
//
//	waits := goruntime.NewWaits()
//	...
//	d := waits.Take() // since NewWaits
//	log.Info("state", "wait_us", d.Mean().Microseconds())
package goruntime

import (
	"math"
	"runtime/metrics"
	"time"
)

// waitsMetric is the histogram of the runtime.
const waitsMetric = "/sched/latencies:seconds"

// Waits reads the waits of goroutines for the processor. It is not safe for concurrent use.
type Waits struct {
	sample []metrics.Sample
	last   []uint64
}

// NewWaits returns a Waits whose first distribution begins now.
func NewWaits() *Waits {
	w := &Waits{sample: []metrics.Sample{{Name: waitsMetric}}}
	w.Take()
	return w
}

// Take returns the distribution of the waits that ended since the last call.
func (w *Waits) Take() Distribution {
	metrics.Read(w.sample)
	if w.sample[0].Value.Kind() != metrics.KindFloat64Histogram {
		return Distribution{}
	}
	histogram := w.sample[0].Value.Float64Histogram()
	if len(w.last) != len(histogram.Counts) {
		w.last = make([]uint64, len(histogram.Counts))
	}
	d := Distribution{bounds: histogram.Buckets, counts: make([]uint64, len(histogram.Counts))}
	for i, n := range histogram.Counts {
		d.counts[i] = n - w.last[i]
		d.total += d.counts[i]
	}
	copy(w.last, histogram.Counts)
	return d
}

// Distribution is a distribution of waits. The zero value has none.
type Distribution struct {
	// bounds are the bounds of the buckets in seconds: counts[i] waits are between bounds[i] and
	// bounds[i+1].
	bounds []float64
	counts []uint64
	total  uint64
}

// Count returns the number of waits.
func (d *Distribution) Count() uint64 { return d.total }

// Quantile returns an upper bound of the wait that the share q of the waits does not exceed, or 0
// if there are no waits.
func (d *Distribution) Quantile(q float64) time.Duration {
	left := int64(math.Ceil(q * float64(d.total)))
	for i, n := range d.counts {
		if left -= int64(n); n > 0 && left <= 0 {
			return seconds(d.upper(i))
		}
	}
	return 0
}

// Mean returns the mean wait, rounded up to the bounds of the buckets, or 0 if there are no waits.
func (d *Distribution) Mean() time.Duration {
	if d.total == 0 {
		return 0
	}
	sum := 0.0
	for i, n := range d.counts {
		if n > 0 {
			sum += float64(n) * d.upper(i)
		}
	}
	return seconds(sum / float64(d.total))
}

// upper returns the upper bound of bucket i, or the lower one if it has none.
func (d *Distribution) upper(i int) float64 {
	if math.IsInf(d.bounds[i+1], 1) {
		return d.bounds[i]
	}
	return d.bounds[i+1]
}

// seconds converts a number of seconds to a time.Duration.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
