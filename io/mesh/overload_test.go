package mesh

import (
	"net/http"
	"runtime"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"siskinknot/core/outcome"
	"siskinknot/core/request"
	"siskinknot/io/boottime"
)

// starve makes each goroutine wait about 40 ms for the processor until the test or release ends it.
func starve(t *testing.T) (release func()) {
	t.Helper()
	const goroutines, slice = 20, 2 * time.Millisecond
	procs := runtime.GOMAXPROCS(1)
	var stop atomic.Bool
	var running sync.WaitGroup
	for range goroutines {
		running.Go(func() {
			for !stop.Load() {
				for started := time.Now(); time.Since(started) < slice; {
				}
				runtime.Gosched()
			}
		})
	}
	release = sync.OnceFunc(func() {
		stop.Store(true)
		running.Wait()
		runtime.GOMAXPROCS(procs)
	})
	t.Cleanup(release)
	return release
}

// yieldingSink is a Sink that waits for the processor several times before it writes the answer.
type yieldingSink struct{ nullSink }

// Head implements forward.Sink.
func (yieldingSink) Head(int, http.Header, int64) error {
	const times = 12
	for range times {
		runtime.Gosched()
	}
	return nil
}

// TestStarvedDaemonHoldsRequests guards against requests that a daemon short of processor time accepts and holds until
// their callers give up, all of them.
func TestStarvedDaemonHoldsRequests(t *testing.T) {
	const timeout = 300 * time.Millisecond
	m := newCallingMesh(t, func(*Mesh, *request.Head) int { return http.StatusOK })
	release := starve(t)
	var sent, held atomic.Int64
	var inProgress sync.WaitGroup
	began := time.Now()
	for i := 0; time.Since(began) < 4*time.Second; i++ {
		settled := time.Since(began) > 2*time.Second
		inProgress.Go(func() {
			startedAt := boottime.Now()
			m.serveTo(yieldingSink{}, "list", strconv.Itoa(i), "", timeout)
			if settled {
				sent.Add(1)
				if boottime.Now().Sub(startedAt) >= timeout {
					held.Add(1)
				}
			}
		})
		time.Sleep(10 * time.Millisecond)
	}
	inProgress.Wait()
	require.Greater(t, sent.Load(), int64(50))
	require.LessOrEqual(t, held.Load(), sent.Load()/5, "of %d", sent.Load())
	release()
	answered := 0
	require.Eventually(t, func() bool {
		if answered++; m.serve("list", "after", "", timeout) != (outcome.Answered{Status: http.StatusOK}) {
			answered = 0
		}
		return answered == 20
	}, 10*time.Second, 10*time.Millisecond)
}
