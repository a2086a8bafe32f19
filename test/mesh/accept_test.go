package mesh

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"syscall"
	"testing"
	"time"

	"siskinknot/standin/meshfleet"
)

// TestCallersWhileAddressIsInUse guards against a daemon that waits at its start for one address and leaves the connections
// of callers at another without an answer meanwhile.
func TestCallersWhileAddressIsInUse(t *testing.T) {
	t.Parallel()
	const occupied = 2 * time.Second
	f := start(t, 2, 1)
	vm := f.VMs[1]
	vm.Kill()
	listener, err := net.Listen("tcp", vm.HeartbeatAddress().String())
	if err != nil {
		t.Fatal(err)
	}
	if err := vm.StartDaemon(); err != nil {
		t.Fatal(err)
	}
	for begin := time.Now(); time.Since(begin) < occupied; time.Sleep(50 * time.Millisecond) {
		for _, addr := range []netip.AddrPort{vm.CallerAddress(), vm.DaemonAddress()} {
			conn, err := net.Dial("tcp", addr.String())
			if err == nil {
				_ = conn.Close()
				t.Errorf("%s accepts a connection %v after the start", addr, time.Since(begin).Round(time.Millisecond))
			} else if !errors.Is(err, syscall.ECONNREFUSED) {
				t.Error(err)
			}
		}
	}
	_ = listener.Close()
	f.waitReady(vm)
	f.waitAllKeysServed(vm)
}

// TestCallersBeyondDescriptors guards against a daemon that answers that it is ready and takes no new connection, and has
// none to its own target: callers keep more idle connections than the process has file descriptors.
func TestCallersBeyondDescriptors(t *testing.T) {
	t.Parallel()
	const (
		descriptors, idle, probes = 300, 400, 30
		maxWait                   = 500 * time.Millisecond
	)
	f := startWithOptions(t, meshfleet.Options{Registry: 2, Archive: 1, MeanServiceTime: 10 * time.Millisecond, MaxDescriptors: descriptors})
	vm := f.VMs[0]
	ready, err := net.Dial("tcp", vm.ReadyAddress().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ready.Close() }()
	unopened := 0
	for i := range idle {
		conn, err := net.Dial("tcp", vm.CallerAddress().String())
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = conn.Close() }()
		if !answered(conn, fmt.Sprintf(noRouteRequest, "idle", i), maxWait) {
			unopened++
		}
		if unopened > 10 {
			break
		}
	}
	without := 0
	for i := range probes {
		if !answered(ready, "GET /siskinknot/ready HTTP/1.1\r\nHost: h\r\n\r\n", maxWait) {
			t.Error("no readiness answer on a connection that is open")
		}
		conn, err := net.Dial("tcp", vm.CallerAddress().String())
		if err != nil {
			t.Fatal(err)
		}
		if !answered(conn, fmt.Sprintf(noRouteRequest, "new", i), maxWait) {
			without++
		}
		_ = conn.Close()
	}
	if unopened > 0 || without > 0 {
		t.Errorf("%d of %d first requests and %d of %d new connections had no answer within %v", unopened, idle, without, probes, maxWait)
	}
}

// noRouteRequest is a request without a route, which the daemon answers itself.
const noRouteRequest = "GET /none HTTP/1.1\r\nHost: names.example\r\nX-Request-Id: %s-%d\r\n\r\n"

// answered reports whether request gets an answer on conn within limit.
func answered(conn net.Conn, request string, limit time.Duration) bool {
	_ = conn.SetDeadline(time.Now().Add(limit))
	_, _ = io.WriteString(conn, request)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.Body.Close() == nil
}
