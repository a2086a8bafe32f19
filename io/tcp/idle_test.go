package tcp

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestIdleLimit(t *testing.T) {
	start := time.Unix(1000, 0)
	for _, row := range []struct {
		name   string
		limit  time.Duration
		states []http.ConnState // one each second
		after  time.Duration    // since the start
		closed bool
	}{
		{"idle for the limit", 5 * time.Second, []http.ConnState{http.StateNew, http.StateActive, http.StateIdle}, 7 * time.Second, true},
		{"idle for less", 5 * time.Second, []http.ConnState{http.StateNew, http.StateActive, http.StateIdle}, 6 * time.Second, false},
		{"used again", 5 * time.Second, []http.ConnState{http.StateActive, http.StateIdle, http.StateActive, http.StateIdle}, 7 * time.Second, false},
		{"in use", 5 * time.Second, []http.ConnState{http.StateActive, http.StateIdle, http.StateActive}, time.Minute, false},
		{"new", 5 * time.Second, []http.ConnState{http.StateNew}, time.Minute, false},
		{"no limit", 0, []http.ConnState{http.StateActive, http.StateIdle}, time.Hour, false},
	} {
		t.Run(row.name, func(t *testing.T) {
			l := NewIdleLimit(func() time.Duration { return row.limit })
			defer func() { require.NoError(t, l.Close()) }()
			conn, other := net.Pipe()
			defer func() { _ = other.Close() }()
			for i, state := range row.states {
				l.note(start.Add(time.Duration(i)*time.Second), conn, state)
			}
			l.sweep(start.Add(row.after))
			// A pipe takes no deadline once an end of it is closed.
			require.Equal(t, row.closed, conn.SetDeadline(start) != nil)
		})
	}
}
