package main

import (
	"bytes"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"siskinknot/io/tcp"
)

// TestAcceptsAreLogged guards against an interface that accepts nothing without a log line, and against lines that
// repeat.
func TestAcceptsAreLogged(t *testing.T) {
	const late, again = "connections are accepted late", "connections are accepted in time again"
	for _, row := range []struct {
		name  string
		loads []tcp.AcceptLoad
		lines []string
	}{
		{"in time", []tcp.AcceptLoad{{Accepted: 1}, {Accepted: 9, Queued: 1, LongestHold: time.Millisecond}, {Accepted: 9}}, nil},
		{"a queue that is served", []tcp.AcceptLoad{{Accepted: 5, Queued: 4}, {Accepted: 8, Queued: 4}}, nil},
		{"one connection has just arrived", []tcp.AcceptLoad{{}, {Queued: 1}, {Accepted: 1}}, nil},
		{"queue is not served", []tcp.AcceptLoad{{Queued: 1}, {Queued: 3}, {Queued: 5}, {Accepted: 5}, {Accepted: 5}}, []string{late, again}},
		{"goroutine is held up", []tcp.AcceptLoad{{LongestHold: time.Second}, {LongestHold: 2 * time.Second}, {Accepted: 3}}, []string{late, again}},
		{"queue is unknown", []tcp.AcceptLoad{{Queued: -1}, {Queued: -1}}, nil},
	} {
		t.Run(row.name, func(t *testing.T) {
			var out bytes.Buffer
			log := hclog.New(&hclog.LoggerOptions{Output: &out, JSONFormat: true})
			w := watchAccepts(log, func() bool { return true }, nil, nil)
			require.NoError(t, w.Close())
			i := newWatchedInterface("callers", nil, tally.NoopScope)
			for _, load := range row.loads {
				w.check(i, load, 0)
			}
			lines := bytes.Count(out.Bytes(), []byte("\n"))
			require.Equal(t, len(row.lines), lines, out.String())
			for _, line := range row.lines {
				require.Contains(t, out.String(), line)
			}
		})
	}
}
