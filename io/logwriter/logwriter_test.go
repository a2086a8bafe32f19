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

// buffer collects what is written.
type buffer struct {
	mu   sync.Mutex
	text strings.Builder
}

func (b *buffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

// TestNobodyReads writes to a reader that has stopped: the author goes on, and
// the lines beyond the queue are counted.
func TestNobodyReads(t *testing.T) {
	_, blocked := io.Pipe()
	w := New(blocked, 1<<20)
	const lines = 10 * queueLines
	began := time.Now()
	for i := range lines {
		_, err := fmt.Fprintf(w, "line %d\n", i)
		require.NoError(t, err)
	}
	require.Less(t, time.Since(began), 2*time.Second)
	require.GreaterOrEqual(t, w.Dropped(), int64(lines-queueLines-1))
	began = time.Now()
	w.Close()
	require.Less(t, time.Since(began), 2*time.Second)
}

// TestLimit checks the number of lines a second, and that drops are reported.
func TestLimit(t *testing.T) {
	out := &buffer{}
	w := New(out, 5)
	now := time.Unix(100, 0)
	for i := range 20 {
		w.add(now, fmt.Appendf(nil, "line %d\n", i))
	}
	w.add(now.Add(time.Second), []byte("next second\n"))
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
