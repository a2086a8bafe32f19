package targetconn

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// scripted is a target whose answers are written by the test: answers[i] goes to
// request i, after its head and body were read.
func scripted(t *testing.T, answers ...string) (*Client, func() int) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	conns := make(chan int, 1)
	conns <- 0
	next := make(chan string, len(answers))
	for _, a := range answers {
		next <- a
	}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			conns <- <-conns + 1
			go answer(conn, next)
		}
	}()
	c := New(Config{Address: l.Addr().(*net.TCPAddr).AddrPort(), MatchHeader: "Id"})
	t.Cleanup(c.Close)
	return c, func() int { n := <-conns; conns <- n; return n }
}

// answer serves a connection. The word CLOSE in an answer ends the connection.
func answer(conn net.Conn, next <-chan string) {
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

// ok returns an answer.
func ok(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

// get makes a request and returns the body of its answer.
func get(c *Client, id string) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	resp, failed := c.Do(ctx, &Request{Method: http.MethodGet, Path: "/", Host: "h", Header: http.Header{}, MatchID: id})
	if failed != nil {
		return "", failed
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return string(body), err
}

func TestAnswers(t *testing.T) {
	for _, row := range []struct {
		name    string
		answers []string
		// bodies are those that the requests 1, 2, ... get; "!" stands for an
		// error.
		bodies []string
		conns  int
	}{
		{"kept", []string{ok("1", "a"), ok("2", "b")}, []string{"a", "b"}, 1},
		{"extra at once", []string{ok("1", "a") + ok("1", "x"), ok("2", "b")}, []string{"a", "b"}, 2},
		{"late answer first", []string{ok("0", "x") + ok("1", "a")}, []string{"a"}, 1},
		{"only another's", []string{ok("0", "x") + "CLOSE"}, []string{"!"}, 1},
		{"bytes that are no answer", []string{"garbage\r\n\r\n"}, []string{"!"}, 1},
		{"cut in the body", []string{"HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 9\r\n\r\nabcCLOSE"}, []string{"!"}, 1},
		{"cut in a chunk", []string{"HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nabcCLOSE"}, []string{"!"}, 1},
		{"chunks", []string{"HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n", ok("2", "b")}, []string{"abc", "b"}, 1},
		{"no length", []string{"HTTP/1.1 200 OK\r\nId: 1\r\n\r\nabcCLOSE", ok("2", "b")}, []string{"abc", "b"}, 2},
		{"close announced", []string{"HTTP/1.1 200 OK\r\nId: 1\r\nConnection: close\r\nContent-Length: 1\r\n\r\na", ok("2", "b")}, []string{"a", "b"}, 2},
		{"no idle time", []string{"HTTP/1.1 200 OK\r\nId: 1\r\nKeep-Alive: timeout=0\r\nContent-Length: 1\r\n\r\na", ok("2", "b")}, []string{"a", "b"}, 2},
		{"informational first", []string{"HTTP/1.1 103 Early Hints\r\n\r\n" + ok("1", "a")}, []string{"a"}, 1},
	} {
		t.Run(row.name, func(t *testing.T) {
			c, conns := scripted(t, row.answers...)
			for i, want := range row.bodies {
				body, err := get(c, fmt.Sprint(i+1))
				if want == "!" {
					require.Error(t, err)
					continue
				}
				require.NoError(t, err)
				require.Equal(t, want, body)
				time.Sleep(5 * time.Millisecond) // lets what follows arrive
			}
			require.Equal(t, row.conns, conns())
		})
	}
}

// TestUnusedConnectionsAreClosed keeps connections of a busy time, and checks that
// later exchanges, one after the other, leave one.
func TestUnusedConnectionsAreClosed(t *testing.T) {
	const kept = 4
	var answers []string
	for i := range kept {
		answers = append(answers, ok(fmt.Sprint(i), "a"))
	}
	c, _ := scripted(t, answers...)
	for range kept {
		raw, err := c.dialer.Dial("tcp", c.cfg.Address.String())
		require.NoError(t, err)
		c.put(&conn{Conn: raw, in: bufio.NewReader(raw), keep: defaultIdle})
	}
	require.Len(t, c.idle, kept)
	for _, cn := range c.idle[:kept-1] {
		cn.idleSince = cn.idleSince.Add(-2 * defaultIdle)
	}
	for i := range kept {
		_, err := get(c, fmt.Sprint(i))
		require.NoError(t, err)
	}
	require.Len(t, c.idle, 1)
}

// TestSent checks what is said of a request that got no answer.
func TestSent(t *testing.T) {
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	addr := closed.Addr().(*net.TCPAddr).AddrPort()
	require.NoError(t, closed.Close())
	_, failed := get(New(Config{Address: addr}), "1")
	var e *Error
	require.ErrorAs(t, failed, &e)
	require.True(t, e.Refused)
	require.False(t, e.Sent)

	c, _ := scripted(t, "CLOSE")
	_, failed = get(c, "1")
	require.ErrorAs(t, failed, &e)
	require.True(t, e.Sent)
}

// TestBodyThatBreaksOff checks that a target never takes a part of a body for the
// whole.
func TestBodyThatBreaksOff(t *testing.T) {
	for _, length := range []int64{-1, 100 << 10} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		whole := make(chan error, 1)
		go func() {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			req, err := http.ReadRequest(bufio.NewReader(conn))
			if err == nil {
				_, err = io.Copy(io.Discard, req.Body)
			}
			whole <- err
			_ = conn.Close()
		}()
		c := New(Config{Address: l.Addr().(*net.TCPAddr).AddrPort()})
		body := io.MultiReader(strings.NewReader(strings.Repeat("x", 20<<10)), failing{})
		_, failed := c.Do(context.Background(), &Request{Method: http.MethodPost, Path: "/", Host: "h", Body: body, ContentLength: length})
		require.NotNil(t, failed)
		require.Error(t, <-whole)
		_ = l.Close()
	}
}

// failing is a reader that fails.
type failing struct{}

func (failing) Read([]byte) (int, error) { return 0, errors.New("broken") }
