package targetconn

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// newTestTarget starts a target that sends the given responses: responses[i]
// follows request i, after its headers and body were read. It returns a Client
// of the target, and a function that returns the number of connections accepted
// so far.
func newTestTarget(t *testing.T, responses ...string) (*Client, func() int) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	conns := make(chan int, 1)
	conns <- 0
	next := make(chan string, len(responses))
	for _, response := range responses {
		next <- response
	}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			conns <- <-conns + 1
			go serveResponses(conn, next)
		}
	}()
	c := New(Config{Address: l.Addr().(*net.TCPAddr).AddrPort(), RequestIDHeader: "Id"})
	t.Cleanup(c.Close)
	return c, func() int { n := <-conns; conns <- n; return n }
}

// serveResponses serves a connection. A response that ends with CLOSE closes the
// connection.
func serveResponses(conn net.Conn, next <-chan string) {
	defer func() { _ = conn.Close() }()
	in := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		text, closes := strings.CutSuffix(<-next, "CLOSE")
		_, _ = io.WriteString(conn, text)
		if closes {
			return
		}
	}
}

// respOK returns a response with status 200 that echoes id.
func respOK(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

// fetch sends a request and returns the body of its response.
func fetch(c *Client, id string) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	resp, failed := c.Do(ctx, &Request{Method: http.MethodGet, Path: "/", Host: "h", Header: http.Header{}, RequestID: id})
	if failed != nil {
		return "", failed
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.Status == http.StatusServiceUnavailable {
		resp.MarkRefused(id)
	}
	body, err := io.ReadAll(resp.Body)
	return string(body), err
}

func TestResponses(t *testing.T) {
	for _, row := range []struct {
		name      string
		responses []string
		// bodies are the response bodies of the requests 1, 2, ...; "!" means
		// that an error is expected.
		bodies []string
		// conns is the expected number of connections.
		conns int
	}{
		{"connection is reused", []string{respOK("1", "a"), respOK("2", "b")}, []string{"a", "b"}, 1},
		{"second response to the same request", []string{respOK("1", "a") + respOK("1", "x"), respOK("2", "b")}, []string{"a", "b"}, 2},
		{"late response to an earlier request first", []string{respOK("0", "x") + respOK("1", "a")}, []string{"a"}, 1},
		{"only a response to another request", []string{respOK("0", "x") + "CLOSE"}, []string{"!"}, 1},
		{"invalid response", []string{"garbage\r\n\r\n"}, []string{"!"}, 1},
		{"truncated body", []string{"HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 9\r\n\r\nabcCLOSE"}, []string{"!"}, 1},
		{"truncated chunk", []string{"HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nabcCLOSE"}, []string{"!"}, 1},
		{"chunked body", []string{"HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n", respOK("2", "b")}, []string{"abc", "b"}, 1},
		{"body without a length", []string{"HTTP/1.1 200 OK\r\nId: 1\r\n\r\nabcCLOSE", respOK("2", "b")}, []string{"abc", "b"}, 2},
		{"Connection: close", []string{"HTTP/1.1 200 OK\r\nId: 1\r\nConnection: close\r\nContent-Length: 1\r\n\r\na", respOK("2", "b")}, []string{"a", "b"}, 2},
		{"idle timeout of 0", []string{"HTTP/1.1 200 OK\r\nId: 1\r\nKeep-Alive: timeout=0\r\nContent-Length: 1\r\n\r\na", respOK("2", "b")}, []string{"a", "b"}, 2},
		{"status 000", []string{"HTTP/1.1 000 Trouble\r\nId: 1\r\nContent-Length: 1\r\n\r\na" + respOK("1", "b")}, []string{"!"}, 1},
		{"status 099", []string{"HTTP/1.1 099 Trouble\r\nId: 1\r\nContent-Length: 1\r\n\r\na" + respOK("1", "b")}, []string{"!"}, 1},
		{"status 101", []string{"HTTP/1.1 101 Switching Protocols\r\nId: 1\r\n\r\n" + respOK("1", "b")}, []string{"!"}, 1},
		{"status 600", []string{"HTTP/1.1 600 Trouble\r\nId: 1\r\nContent-Length: 1\r\n\r\na"}, []string{"!"}, 1},
		{"status 999", []string{"HTTP/1.1 999 Trouble\r\nId: 1\r\nContent-Length: 1\r\n\r\na"}, []string{"!"}, 1},
		{"status of two digits", []string{"HTTP/1.1 20 OK\r\nId: 1\r\nContent-Length: 1\r\n\r\na"}, []string{"!"}, 1},
		{"status of four digits", []string{"HTTP/1.1 2000 OK\r\nId: 1\r\nContent-Length: 1\r\n\r\na"}, []string{"!"}, 1},
		{"status with a sign", []string{"HTTP/1.1 +20 OK\r\nId: 1\r\nContent-Length: 1\r\n\r\na"}, []string{"!"}, 1},
		{"informational response first", []string{"HTTP/1.1 103 Early Hints\r\n\r\n" + respOK("1", "a")}, []string{"a"}, 1},
	} {
		t.Run(row.name, func(t *testing.T) {
			c, conns := newTestTarget(t, row.responses...)
			for i, want := range row.bodies {
				body, err := fetch(c, fmt.Sprint(i+1))
				if want == "!" {
					require.Error(t, err)
					continue
				}
				require.NoError(t, err)
				require.Equal(t, want, body)
				time.Sleep(5 * time.Millisecond) // allows further data to arrive
			}
			require.Equal(t, row.conns, conns())
		})
	}
}

// TestUnusedConnectionsAreClosed checks that surplus idle connections, which
// remain after a load peak, are closed by later exchanges. Those run one after
// the other, so that one connection remains.
func TestUnusedConnectionsAreClosed(t *testing.T) {
	const numIdle = 4
	var responses []string
	for i := range numIdle {
		responses = append(responses, respOK(fmt.Sprint(i), "a"))
	}
	c, _ := newTestTarget(t, responses...)
	for range numIdle {
		rawConn, err := c.dialer.Dial("tcp", c.cfg.Address.String())
		require.NoError(t, err)
		c.putIdle(&conn{Conn: rawConn, in: bufio.NewReader(rawConn), idleTimeout: defaultIdleTimeout})
	}
	require.Len(t, c.idle, numIdle)
	for _, cn := range c.idle[:numIdle-1] {
		cn.idleSince = cn.idleSince.Add(-2 * defaultIdleTimeout)
	}
	for i := range numIdle {
		_, err := fetch(c, fmt.Sprint(i))
		require.NoError(t, err)
	}
	require.Len(t, c.idle, 1)
}

// TestErrorFields checks the fields Sent and Refused of the Error of a request
// without a response: connection refused, and connection closed after the
// request was read.
func TestErrorFields(t *testing.T) {
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	addr := closed.Addr().(*net.TCPAddr).AddrPort()
	require.NoError(t, closed.Close())
	_, failed := fetch(New(Config{Address: addr}), "1")
	var e *Error
	require.ErrorAs(t, failed, &e)
	require.True(t, e.Refused)
	require.False(t, e.Sent)

	c, _ := newTestTarget(t, "CLOSE")
	_, failed = fetch(c, "1")
	require.ErrorAs(t, failed, &e)
	require.True(t, e.Sent)
}

// TestTruncatedRequestBody checks that a target cannot mistake a truncated
// request body for a complete one, with a chunked body and with a
// Content-Length.
func TestTruncatedRequestBody(t *testing.T) {
	for _, length := range []int64{-1, 100 << 10} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		readResult := make(chan error, 1)
		go func() {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			req, err := http.ReadRequest(bufio.NewReader(conn))
			if err == nil {
				_, err = io.Copy(io.Discard, req.Body)
			}
			readResult <- err
			_ = conn.Close()
		}()
		c := New(Config{Address: l.Addr().(*net.TCPAddr).AddrPort()})
		body := io.MultiReader(strings.NewReader(strings.Repeat("x", 20<<10)), failingReader{})
		_, failed := c.Do(context.Background(), &Request{Method: http.MethodPost, Path: "/", Host: "h", Body: body, ContentLength: length})
		require.NotNil(t, failed)
		require.Error(t, <-readResult)
		_ = l.Close()
	}
}

// failingReader is a reader that always returns an error.
type failingReader struct{}

func (failingReader) Read([]byte) (int, error) { return 0, errors.New("read failed") }

// newScriptedTarget starts a target that sends scripts[i] on the connection number i: one
// response for each request. It returns a Client of the target.
func newScriptedTarget(t *testing.T, scripts ...[]string) *Client {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for _, script := range scripts {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			responses := make(chan string, len(script))
			for _, response := range script {
				responses <- response
			}
			go serveResponses(conn, responses)
		}
	}()
	c := New(Config{Address: l.Addr().(*net.TCPAddr).AddrPort(), RequestIDHeader: "Id"})
	t.Cleanup(c.Close)
	return c
}

// TestRepeatedRefusalIsTakenForTheNextAnswer lets a target write a refusal a second time, when
// the same request comes again on the connection, before it answers that request.
func TestRepeatedRefusalIsTakenForTheNextAnswer(t *testing.T) {
	const refusal = "HTTP/1.1 503 Service Unavailable\r\nId: 1\r\nContent-Length: 0\r\n\r\n"
	c := newScriptedTarget(t, []string{refusal, refusal + respOK("1", "a")}, []string{respOK("1", "a")})
	for _, want := range []string{"", "a"} {
		body, err := fetch(c, "1")
		require.NoError(t, err)
		require.Equal(t, want, body)
	}
}

// TestLateResponseIsTakenForTheNextCommand lets a target write the response to a request
// without an ID a second time, before it answers the next one.
func TestLateResponseIsTakenForTheNextCommand(t *testing.T) {
	c := newScriptedTarget(t, []string{respOK("", "grant"), respOK("", "grant") + respOK("", "release")}, []string{respOK("", "release")})
	for _, want := range []string{"grant", "release"} {
		resp, err := c.Do(context.Background(), &Request{
			Method: http.MethodGet, Path: "/", Host: "h", Header: http.Header{}, NewConnection: want == "release",
		})
		require.Nil(t, err)
		body, readErr := io.ReadAll(resp.Body)
		require.NoError(t, readErr)
		require.NoError(t, resp.Body.Close())
		require.Equal(t, want, string(body))
	}
}

// TestAnswerCutWithinItsHead cuts a response after each of its bytes but the last.
func TestAnswerCutWithinItsHead(t *testing.T) {
	for _, response := range []string{
		respOK("1", "body"),
		"HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nConnection: close\r\nId: 1\r\n\r\n",
		"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 204 No Content\r\nId: 1\r\n\r\n",
	} {
		for n := range len(response) {
			c, _ := newTestTarget(t, response[:n]+"CLOSE")
			body, err := fetch(c, "1")
			if err == nil {
				t.Errorf("response %q is taken for a complete one with the body %q", response[:n], body)
			}
		}
	}
}

// newSlowReader starts a target that refuses the requests with a body once it has arrived,
// and that reads the body, if unread is set, only when the test ends. It answers the requests
// without a body. newSlowReader returns a Client of the target, and a function that returns
// the number of connections accepted so far.
func newSlowReader(t *testing.T, unread bool) (*Client, func() int) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	var conns atomic.Int64
	server := &http.Server{ConnState: func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			conns.Add(1)
		}
	}}
	end := make(chan struct{})
	t.Cleanup(func() { close(end); _ = server.Close() })
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Id", r.Header.Get("Id"))
		if r.ContentLength == 0 {
			return
		}
		time.Sleep(20 * time.Millisecond) // the body arrives
		w.Header().Set("Content-Length", "0")
		w.WriteHeader(http.StatusServiceUnavailable)
		_ = http.NewResponseController(w).Flush()
		if unread {
			<-end
		}
		_, _ = io.Copy(io.Discard, r.Body)
	})
	go func() { _ = server.Serve(l) }()
	c := New(Config{Address: l.Addr().(*net.TCPAddr).AddrPort(), RequestIDHeader: "Id"})
	t.Cleanup(c.Close)
	return c, func() int { return int(conns.Load()) }
}

// TestRefusedUploadDelaysTheNextRequest guards against a request that waits on a connection until the target reads a refused body.
func TestRefusedUploadDelaysTheNextRequest(t *testing.T) {
	for _, row := range []struct {
		name                string
		size, contentLength int64
		unread              bool
		conns               int
	}{
		{"body with a length", 20 << 10, 20 << 10, true, 2},
		{"chunked body", 20 << 10, -1, true, 2},
		{"short chunked body", 100, -1, true, 2},
		{"body that comes with the headers", 100, 100, false, 1},
	} {
		t.Run(row.name, func(t *testing.T) {
			c, conns := newSlowReader(t, row.unread)
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			refused, err := c.Do(ctx, &Request{
				Method: http.MethodPost, Path: "/", Host: "h", Header: http.Header{"Id": {"1"}}, RequestID: "1",
				Body: strings.NewReader(strings.Repeat("x", int(row.size))), ContentLength: row.contentLength,
			})
			require.Nil(t, err)
			require.Equal(t, http.StatusServiceUnavailable, refused.Status)
			refused.MarkRefused("1")
			_, _ = io.Copy(io.Discard, refused.Body)
			require.NoError(t, refused.Body.Close())
			next, err := c.Do(ctx, &Request{Method: http.MethodGet, Path: "/", Host: "h", Header: http.Header{"Id": {"2"}}, RequestID: "2"})
			require.Nil(t, err)
			require.Equal(t, http.StatusOK, next.Status)
			require.NoError(t, next.Body.Close())
			require.Equal(t, row.conns, conns())
		})
	}
}

// TestRequestIsPreparedBeforeItsConnectionOpens guards against a request that is completed before a wait for its connection.
func TestRequestIsPreparedBeforeItsConnectionOpens(t *testing.T) {
	const wait = 100 * time.Millisecond
	c, _ := newTestTarget(t, respOK("1", "a"))
	c.dialer.Control = func(string, string, syscall.RawConn) error {
		time.Sleep(wait)
		return nil
	}
	startedAt := time.Now()
	var preparedAfter time.Duration
	resp, failed := c.Do(context.Background(), &Request{
		Method: http.MethodGet, Path: "/", Host: "h", Header: http.Header{}, RequestID: "1",
		Prepare: func(*Request) bool {
			preparedAfter = time.Since(startedAt)
			return true
		},
	})
	require.Nil(t, failed)
	require.NoError(t, resp.Body.Close())
	require.GreaterOrEqual(t, preparedAfter, wait)
}

// TestOddKeepAliveDependsOnProcessor guards against an idle timeout that processors convert to different times.
func TestOddKeepAliveDependsOnProcessor(t *testing.T) {
	for _, row := range []struct {
		value string
		want  int
		ok    bool
	}{
		{"timeout=5, max=100", 5, true},
		{"timeout=9223372036854775807", maxKeepAliveSeconds, true},
		{"timeout=9223372036854775808", 0, false},
		{"timeout=-1", 0, false},
	} {
		t.Run(row.value, func(t *testing.T) {
			seconds, ok := keepAliveTimeout(http.Header{"Keep-Alive": {row.value}})
			require.Equal(t, row.ok, ok)
			if row.ok {
				require.Equal(t, row.want, seconds)
			}
		})
	}
}

// TestRequestIsSentAfterItsCallerLeft guards against a request that is written although its context ended while it waited.
func TestRequestIsSentAfterItsCallerLeft(t *testing.T) {
	const rounds = 50
	var requests atomic.Int32
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		requests.Add(1)
		w.Header().Set("Id", r.Header.Get("Id"))
	}))
	defer server.Close()
	c := New(Config{Address: netip.MustParseAddrPort(server.Listener.Addr().String()), RequestIDHeader: "Id"})
	defer c.Close()
	left, leave := context.WithCancel(context.Background())
	leave()
	request := &Request{Method: http.MethodGet, Path: "/", Host: "h", Header: http.Header{"Id": {"1"}}, RequestID: "1"}
	for range rounds {
		resp, err := c.Do(context.Background(), request) // leaves an idle connection
		require.Nil(t, err)
		_, readErr := io.ReadAll(resp.Body)
		require.NoError(t, readErr)
		require.NoError(t, resp.Body.Close())
		_, err = c.Do(left, request)
		require.NotNil(t, err)
		require.ErrorIs(t, err.Err, context.Canceled)
		require.False(t, err.Sent, "the request may have reached the target")
	}
	require.EqualValues(t, rounds, requests.Load())
}
