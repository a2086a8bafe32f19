package targetconn

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// endlessBody is a request body that never ends.
type endlessBody struct{}

// Read implements io.Reader.
func (endlessBody) Read(p []byte) (int, error) { return len(p), nil }

// newResettingTarget starts a target that answers each upload with status 200 and a body of
// bodyBytes without a length while the upload is still being written, and resets the
// connection after delay. firstOK is the number of requests on each connection that it serves
// as usual before.
func newResettingTarget(t *testing.T, bodyBytes, firstOK int, delay time.Duration) *Client {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	serve := func(conn net.Conn) {
		defer func() { _ = conn.Close() }()
		in := bufio.NewReader(conn)
		for n := 0; ; n++ {
			req, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			if n < firstOK {
				_, _ = io.Copy(io.Discard, req.Body)
				_, _ = io.WriteString(conn, respOK("0", "a"))
				continue
			}
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: 1\r\n\r\n"+strings.Repeat("x", bodyBytes))
			time.Sleep(delay)
			_ = conn.(*net.TCPConn).SetLinger(0)
			return
		}
	}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go serve(conn)
		}
	}()
	c := New(Config{Address: l.Addr().(*net.TCPAddr).AddrPort(), RequestIDHeader: "Id"})
	t.Cleanup(c.Close)
	return c
}

// TestResetDuringUpload guards against a truncated response that looks complete. The kernel
// reports a reset once: if the write of the request body gets the error, the read of a
// response that ends with its connection gets an end of file instead.
func TestResetDuringUpload(t *testing.T) {
	for _, row := range []struct {
		name      string
		bodyBytes int
		firstOK   int
		length    int64
		delay     time.Duration
	}{
		{"new connection", 3000, 0, 64 << 20, time.Millisecond},
		{"new connection, reset at once", 3000, 0, 64 << 20, 0},
		{"used connection", 3000, 1, 64 << 20, time.Millisecond},
		{"large response", 300_000, 0, 64 << 20, time.Millisecond},
		{"upload in chunks", 3000, 0, -1, time.Millisecond},
		{"upload in chunks on a used connection", 30_000, 1, -1, 5 * time.Millisecond},
	} {
		t.Run(row.name, func(t *testing.T) {
			c := newResettingTarget(t, row.bodyBytes, row.firstOK, row.delay)
			for range 60 {
				for range row.firstOK {
					body, err := fetch(c, "0")
					require.NoError(t, err)
					require.Equal(t, "a", body)
				}
				ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
				resp, failed := c.Do(ctx, &Request{
					Method: http.MethodPost, Path: "/", Host: "h", Header: http.Header{}, RequestID: "1",
					Body: endlessBody{}, ContentLength: row.length,
				})
				if failed == nil {
					_, err := io.ReadAll(resp.Body)
					_ = resp.Body.Close()
					require.Error(t, err, "the truncated response ended like a complete one")
				}
				cancel()
			}
		})
	}
}

// TestCompleteResponseDuringUpload guards against rejecting a response without a length that
// the target has sent completely before it has read the upload.
func TestCompleteResponseDuringUpload(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = l.Close() }()
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
					return
				}
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: 1\r\n\r\nabc")
				_ = conn.(*net.TCPConn).CloseWrite()
				_, _ = io.Copy(io.Discard, conn)
			}()
		}
	}()
	c := New(Config{Address: l.Addr().(*net.TCPAddr).AddrPort(), RequestIDHeader: "Id"})
	defer c.Close()
	for _, length := range []int64{8 << 20, -1} {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		resp, failed := c.Do(ctx, &Request{
			Method: http.MethodPost, Path: "/", Host: "h", Header: http.Header{}, RequestID: "1",
			Body: endlessBody{}, ContentLength: length,
		})
		require.Nil(t, failed)
		body, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		require.NoError(t, err)
		require.Equal(t, "abc", string(body))
		cancel()
	}
}
