package tcp

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestIdleConnCloser(t *testing.T) {
	start := time.Unix(1000, 0)
	for _, tt := range []struct {
		name   string
		limit  time.Duration
		states []http.ConnState // one per second from the start
		after  time.Duration    // time of the sweep since the start
		closed bool
	}{
		{"idle for the limit", 5 * time.Second, []http.ConnState{http.StateNew, http.StateActive, http.StateIdle}, 7 * time.Second, true},
		{"idle for less", 5 * time.Second, []http.ConnState{http.StateNew, http.StateActive, http.StateIdle}, 6 * time.Second, false},
		{"used again", 5 * time.Second, []http.ConnState{http.StateActive, http.StateIdle, http.StateActive, http.StateIdle}, 7 * time.Second, false},
		{"in use", 5 * time.Second, []http.ConnState{http.StateActive, http.StateIdle, http.StateActive}, time.Minute, false},
		{"new", 5 * time.Second, []http.ConnState{http.StateNew}, time.Minute, false},
		{"no limit", 0, []http.ConnState{http.StateActive, http.StateIdle}, time.Hour, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := NewIdleConnCloser(func() time.Duration { return tt.limit })
			defer func() { require.NoError(t, c.Close()) }()
			conn, other := net.Pipe()
			defer func() { _ = other.Close() }()
			for i, state := range tt.states {
				c.note(start.Add(time.Duration(i)*time.Second), conn, state)
			}
			c.sweep(start.Add(tt.after))
			// SetDeadline on a pipe returns an error once one end is closed.
			require.Equal(t, tt.closed, conn.SetDeadline(start) != nil)
		})
	}
}
