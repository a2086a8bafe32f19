package goruntime

import (
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestWaits guards against waits that are not measured, or counted twice.
func TestWaits(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	const busy, goroutines = 20 * time.Millisecond, 100
	waits := NewWaits()
	for range goroutines {
		go runtime.Gosched()
	}
	for started := time.Now(); time.Since(started) < busy; {
	}
	time.Sleep(time.Millisecond)
	d := waits.Take()
	require.Greater(t, d.Count(), uint64(goroutines/20))
	require.GreaterOrEqual(t, d.Quantile(1), busy/2)
	require.LessOrEqual(t, d.Mean(), d.Quantile(1))
	d = waits.Take()
	require.Less(t, d.Count(), uint64(goroutines/20))
	require.Zero(t, (&Distribution{}).Mean()+(&Distribution{}).Quantile(1))
}

// BenchmarkTake measures a read of the waits.
func BenchmarkTake(b *testing.B) {
	waits := NewWaits()
	for b.Loop() {
		_ = waits.Take()
	}
}
