package tcp

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// limitedServer is a server with a limit of connections. A request for /wait ends when proceed is closed.
type limitedServer struct {
	addr    string
	conns   *IdleConnCloser
	proceed chan struct{}
}

// newLimitedServer starts a server with at most limit connections.
func newLimitedServer(t *testing.T, limit int) *limitedServer {
	t.Helper()
	s := &limitedServer{conns: NewIdleConnCloser(func() time.Duration { return time.Hour }), proceed: make(chan struct{})}
	s.conns.LimitConns(limit)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s.addr = inner.Addr().String()
	server := &http.Server{
		ReadHeaderTimeout: time.Minute,
		ConnState:         s.conns.ConnState,
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/wait" {
				<-s.proceed
			}
			w.WriteHeader(http.StatusNoContent)
		}),
	}
	go func() { _ = server.Serve(inner) }()
	t.Cleanup(func() {
		require.NoError(t, server.Close())
		require.NoError(t, s.conns.Close())
	})
	return s
}

// open opens a connection and sends a request for path on it.
func (s *limitedServer) open(t *testing.T, path string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", s.addr)
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	send(conn, path)
	return conn
}

// send sends a request for path.
func send(conn net.Conn, path string) {
	_, _ = fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: h\r\n\r\n", path)
}

// answered reads the status of an answer, or 0 if the connection ends without one.
func answered(t *testing.T, conn net.Conn) int {
	t.Helper()
	require.NoError(t, conn.SetDeadline(time.Now().Add(5*time.Second)))
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		require.NotErrorIs(t, err, os.ErrDeadlineExceeded)
		return 0
	}
	require.NoError(t, resp.Body.Close())
	return resp.StatusCode
}

// TestIdleConnsMakeRoom guards against idle connections that keep callers with requests out.
func TestIdleConnsMakeRoom(t *testing.T) {
	const limit, evicted = 32, 2
	s := newLimitedServer(t, limit)
	defer close(s.proceed)
	waiting := s.open(t, "/wait")
	var idle []net.Conn
	for range limit - 1 {
		conn := s.open(t, "/")
		require.Equal(t, http.StatusNoContent, answered(t, conn))
		idle = append(idle, conn)
		// The server records that a connection is idle after its response was written.
		require.Eventually(t, func() bool { return s.conns.Load().Idle == len(idle) }, 5*time.Second, 100*time.Microsecond)
	}
	require.Zero(t, s.conns.Load().Evicted)
	require.Equal(t, http.StatusNoContent, answered(t, s.open(t, "/")))
	require.Eventually(t, func() bool { return s.conns.Load().Open == limit+1-evicted }, 5*time.Second, time.Millisecond)
	load := s.conns.Load()
	require.Equal(t, int64(evicted), load.Evicted)
	require.Zero(t, load.Rejected)
	for i, conn := range idle {
		send(conn, "/")
		want := http.StatusNoContent
		if i < evicted {
			want = 0 // idle for longest
		}
		require.Equal(t, want, answered(t, conn), "connection %d", i)
	}
	require.NoError(t, waiting.SetReadDeadline(time.Now().Add(10*time.Millisecond)))
	_, err := waiting.Read(make([]byte, 1))
	require.ErrorIs(t, err, os.ErrDeadlineExceeded, "the connection with a request is open")
}

// TestConnBeyondLimitIsRejected guards against connections that wait, or take the descriptors of others, while every one
// has a request: the new one ends at once, and there is room when a request has ended.
func TestConnBeyondLimitIsRejected(t *testing.T) {
	const limit = 8
	s := newLimitedServer(t, limit)
	var waiting []net.Conn
	for range limit {
		waiting = append(waiting, s.open(t, "/wait"))
	}
	require.Eventually(t, func() bool { return s.conns.Load() == ConnLoad{Open: limit} }, 5*time.Second, time.Millisecond)
	for range 3 {
		require.Zero(t, answered(t, s.open(t, "/")))
	}
	require.Eventually(t, func() bool { return s.conns.Load() == ConnLoad{Open: limit, Rejected: 3} }, 5*time.Second, time.Millisecond)
	close(s.proceed)
	for _, conn := range waiting {
		require.Equal(t, http.StatusNoContent, answered(t, conn))
	}
	require.Eventually(t, func() bool { return s.conns.Load().Idle == limit }, 5*time.Second, time.Millisecond)
	time.Sleep(searchInterval)
	require.Equal(t, http.StatusNoContent, answered(t, s.open(t, "/")), "evicts idle connections")
	require.Zero(t, s.conns.connLimit.closing)
}
