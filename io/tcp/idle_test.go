package tcp

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"siskinknot/io/pipeline"
)

// deadlineConn is a connection that records whether a read was made to fail.
type deadlineConn struct {
	net.Conn
	closing bool
}

// SetReadDeadline implements net.Conn.
func (c *deadlineConn) SetReadDeadline(at time.Time) error {
	c.closing = c.closing || at.Before(time.Now())
	return nil
}

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
			conn := &deadlineConn{}
			for i, state := range tt.states {
				c.note(start.Add(time.Duration(i)*time.Second), conn, state)
			}
			c.sweep(start.Add(tt.after))
			require.Equal(t, tt.closed, conn.closing)
		})
	}
}

// TestLoweredIdleLimit guards against a lower limit that closes connections on which callers, which know the former
// one, are sending requests.
func TestLoweredIdleLimit(t *testing.T) {
	start := time.Unix(1000, 0)
	limit := 10 * time.Second
	c := NewIdleConnCloser(func() time.Duration { return limit })
	defer func() { require.NoError(t, c.Close()) }()
	before, after := &deadlineConn{}, &deadlineConn{}
	c.note(start, before, http.StateIdle)
	c.sweep(start.Add(time.Second))
	limit = 2 * time.Second
	c.note(start.Add(time.Second), after, http.StateIdle)
	c.sweep(start.Add(9 * time.Second))
	require.False(t, before.closing)
	require.True(t, after.closing)
	c.sweep(start.Add(10 * time.Second))
	require.True(t, before.closing)
}

// TestIdleConnWithRequest guards against a request that is dropped: it arrives while the process stands still, and
// the connection counts as idle for too long when the process runs again.
func TestIdleConnWithRequest(t *testing.T) {
	for _, row := range []struct {
		name    string
		request string
		err     error
	}{
		{"request waits", "GET", nil},
		{"no request", "", os.ErrDeadlineExceeded},
	} {
		t.Run(row.name, func(t *testing.T) {
			c := NewIdleConnCloser(func() time.Duration { return time.Hour })
			defer func() { require.NoError(t, c.Close()) }()
			caller, accepted := connectedPair(t)
			now := time.Now()
			c.note(now, accepted, http.StateIdle)
			_, err := io.WriteString(caller, row.request)
			require.NoError(t, err)
			time.Sleep(50 * time.Millisecond) // until the request has arrived
			c.sweep(now.Add(2 * time.Hour))
			data := make([]byte, 10)
			n, err := accepted.Read(data)
			require.Equal(t, row.request, string(data[:n]))
			require.ErrorIs(t, err, row.err)
		})
	}
}

// readConn is a connection that records whether bytes were read since the last response.
type readConn struct {
	net.Conn
	unanswered atomic.Bool
	dropped    *atomic.Int32
}

// Read implements net.Conn.
func (c *readConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.unanswered.Store(true)
	}
	return n, err
}

// Write implements net.Conn.
func (c *readConn) Write(p []byte) (int, error) {
	c.unanswered.Store(false)
	return c.Conn.Write(p)
}

// Close implements net.Conn.
func (c *readConn) Close() error {
	if c.unanswered.Swap(false) {
		c.dropped.Add(1)
	}
	return c.Conn.Close()
}

// SyscallConn implements syscall.Conn.
func (c *readConn) SyscallConn() (syscall.RawConn, error) { return c.Conn.(syscall.Conn).SyscallConn() }

// readListener accepts connections as readConn.
type readListener struct {
	net.Listener
	dropped *atomic.Int32
}

// Accept implements net.Listener.
func (l *readListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &readConn{Conn: conn, dropped: l.dropped}, nil
}

// TestDrainAnswersRequests guards against requests that a server drops at its end although it has read them: callers
// open connections until it accepts no more, and send a request on each.
func TestDrainAnswersRequests(t *testing.T) {
	const callers, rounds = 16, 20
	for range rounds {
		var dropped atomic.Int32
		c := NewIdleConnCloser(func() time.Duration { return 0 })
		inner, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		server := &http.Server{
			ReadHeaderTimeout: time.Minute,
			ConnState:         c.ConnState,
			Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Connection", "close")
				w.WriteHeader(http.StatusNoContent)
			}),
		}
		served := make(chan struct{})
		go func() {
			defer close(served)
			_ = server.Serve(&readListener{inner, &dropped})
		}()
		var sending sync.WaitGroup
		stop := make(chan struct{})
		for range callers {
			sending.Go(func() {
				for {
					select {
					case <-stop:
						return
					default:
						requestOnce(inner.Addr().String())
					}
				}
			})
		}
		time.Sleep(10 * time.Millisecond)
		require.NoError(t, inner.Close())
		<-served
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		require.True(t, c.Drain(ctx), "connections are left")
		cancel()
		close(stop)
		sending.Wait()
		require.NoError(t, server.Close())
		require.NoError(t, c.Close())
		require.Zero(t, dropped.Load())
	}
}

// requestOnce opens a connection, sends a request and waits for the end of the connection.
func requestOnce(addr string) {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
	_, _ = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	_, _ = io.Copy(io.Discard, conn)
}

// connectedPair returns both ends of a TCP connection.
func connectedPair(t *testing.T) (caller, accepted net.Conn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	caller, err = net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	accepted, err = listener.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { _, _ = caller.Close(), accepted.Close() })
	return caller, accepted
}

// TestServerClosesIdleConn guards against idle connections that stay open: the server closes one whose read fails.
func TestServerClosesIdleConn(t *testing.T) {
	c := NewIdleConnCloser(func() time.Duration { return time.Nanosecond })
	defer func() { require.NoError(t, c.Close()) }()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := &http.Server{
		ReadHeaderTimeout: time.Minute,
		ConnState:         c.ConnState,
		Handler:           http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) }),
	}
	go func() { _ = server.Serve(listener) }()
	defer func() { _ = server.Close() }()
	conn, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	require.NoError(t, conn.SetDeadline(time.Now().Add(10*time.Second)))
	_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	require.NoError(t, err)
	in := bufio.NewReader(conn)
	resp, err := http.ReadResponse(in, nil)
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	_, err = in.ReadByte() // the closer sweeps once a second
	require.ErrorIs(t, err, io.EOF)
}

// TestRequestReadDuringSearch guards against requests that fail because the closer searches for unused connections after
// the server has read their heads and before it reports their connections as active.
func TestRequestReadDuringSearch(t *testing.T) {
	searches := []struct {
		name   string
		search func(*IdleConnCloser)
	}{
		{"drain", func(c *IdleConnCloser) { c.closeUnused(time.Now().Add(time.Hour)) }},
		{"idle for too long", func(c *IdleConnCloser) { c.sweep(time.Now().Add(time.Hour)) }},
	}
	for _, row := range []struct {
		name string
		// pipelines is set if the connections are those of package pipeline, and pipelined if
		// the first requests are sent at once, so that a goroutine reads ahead.
		pipelines, pipelined bool
		body                 string
	}{
		{"no body", false, false, ""},
		{"body follows", false, false, "body"},
		{"package pipeline, body follows", true, false, "body"},
		{"package pipeline, reading ahead, body follows", true, true, "body"},
	} {
		for _, s := range searches {
			t.Run(s.name+", "+row.name, func(t *testing.T) {
				client := newSearchedClient(t, row.pipelines, s.search)
				if row.pipelined {
					client.write(strings.Repeat("GET / HTTP/1.1\r\nHost: h\r\n\r\n", 3))
					for range 3 {
						<-client.active
						client.read("")
					}
				}
				for range 3 {
					client.write(fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", len(row.body)))
					<-client.active
					client.write(row.body)
					client.read(row.body)
				}
			})
		}
	}
}

// searchedClient has a connection to a server whose closer searches for unused connections each time before a connection
// is reported as active. The server answers with the body of the request.
type searchedClient struct {
	t    *testing.T
	conn net.Conn
	in   *bufio.Reader
	// active receives a value each time a connection was reported as active.
	active chan struct{}
}

// newSearchedClient returns a searchedClient that is connected. The connections are those of package pipeline if
// pipelines is set.
func newSearchedClient(t *testing.T, pipelines bool, search func(*IdleConnCloser)) *searchedClient {
	t.Helper()
	c := NewIdleConnCloser(func() time.Duration { return time.Minute })
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	addr := listener.Addr().String()
	client := &searchedClient{t: t, active: make(chan struct{}, 16)}
	server := &http.Server{
		Handler:           http.HandlerFunc(echoSlowly),
		ReadHeaderTimeout: time.Minute,
		ConnState: func(conn net.Conn, state http.ConnState) {
			if state == http.StateActive {
				search(c)
			}
			c.ConnState(conn, state)
			if state == http.StateActive {
				client.active <- struct{}{}
			}
		},
	}
	if pipelines {
		p := pipeline.New(server.Handler, pipeline.Config{Depth: 8, MayStart: func(r *http.Request) bool { return r.Method == http.MethodGet }})
		server.Handler, server.ConnContext, listener = p, p.ConnContext, p.Listener(listener)
	}
	go func() { _ = server.Serve(listener) }()
	client.conn, err = net.Dial("tcp", addr)
	require.NoError(t, err)
	t.Cleanup(func() {
		_, _ = client.conn.Close(), server.Close()
		require.NoError(t, c.Close())
	})
	require.NoError(t, client.conn.SetDeadline(time.Now().Add(10*time.Second)))
	client.in = bufio.NewReader(client.conn)
	return client
}

// echoSlowly answers a request with its body after a moment, and with status 502 if it is cancelled before.
func echoSlowly(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	select {
	case <-r.Context().Done():
		w.WriteHeader(http.StatusBadGateway)
	case <-time.After(30 * time.Millisecond):
		_, _ = w.Write(body)
	}
}

// write sends data to the server.
func (c *searchedClient) write(data string) {
	c.t.Helper()
	_, err := io.WriteString(c.conn, data)
	require.NoError(c.t, err)
}

// read reads a response, which must be successful and have the given body.
func (c *searchedClient) read(want string) {
	c.t.Helper()
	resp, err := http.ReadResponse(c.in, nil)
	require.NoError(c.t, err)
	body, err := io.ReadAll(resp.Body)
	require.NoError(c.t, err)
	require.NoError(c.t, resp.Body.Close())
	require.Equal(c.t, http.StatusOK, resp.StatusCode)
	require.Equal(c.t, want, string(body))
}
