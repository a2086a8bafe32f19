package logwriter

import (
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// buffer is a writer that keeps all data in memory.
type buffer struct {
	mu   sync.Mutex
	text strings.Builder
}

func (b *buffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

// TestNobodyReads checks that Write and Close do not block while the output is
// blocked, and that the lines that do not fit into the queue are counted as
// dropped.
func TestNobodyReads(t *testing.T) {
	_, blocked := io.Pipe()
	w := New(blocked, 1<<20)
	const lines = 10 * queueLines
	start := time.Now()
	for i := range lines {
		_, err := fmt.Fprintf(w, "line %d\n", i)
		require.NoError(t, err)
	}
	require.Less(t, time.Since(start), 2*time.Second)
	require.GreaterOrEqual(t, w.Dropped(), int64(lines-queueLines-1))
	start = time.Now()
	w.Close()
	require.Less(t, time.Since(start), 2*time.Second)
}

// TestLimit checks that the limit of lines per second is enforced, and that the
// number of dropped lines is written.
func TestLimit(t *testing.T) {
	out := &buffer{}
	w := New(out, 5)
	now := time.Unix(100, 0)
	for i := range 20 {
		w.enqueue(now, fmt.Appendf(nil, "line %d\n", i))
	}
	w.enqueue(now.Add(time.Second), []byte("next second\n"))
	w.Close()
	require.EqualValues(t, 15, w.Dropped())
	require.Contains(t, out.text.String(), "line 4\nnext second\n")
	require.Contains(t, out.text.String(), `"lines":15`)
}

func BenchmarkLine(b *testing.B) {
	w := New(io.Discard, 1<<30)
	defer w.Close()
	line := []byte(strings.Repeat("x", 300))
	for b.Loop() {
		_, _ = w.Write(line)
	}
}
