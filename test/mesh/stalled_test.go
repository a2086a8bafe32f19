package mesh

import (
	"fmt"
	"net"
	"testing"
	"time"

	"siskinknot/standin/meshfleet"
)

// TestStalledBodyIsAnsweredAtItsDeadline sends the start of an upload and nothing more.
func TestStalledBodyIsAnsweredAtItsDeadline(t *testing.T) {
	const (
		head = "POST /upload/a HTTP/1.1\r\nHost: names.example\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 1000\r\n" +
			"Transfer-Encoding: chunked\r\n\r\n400\r\n"
		limit = 1500 * time.Millisecond
	)
	f := start(t, 2, 1)
	for _, row := range []struct {
		name, id string
		vm       *meshfleet.VM
	}{{"beside the target", "stalled-1", f.VMs[2]}, {"beside another target", "stalled-2", f.VMs[0]}} {
		t.Run(row.name, func(t *testing.T) {
			conn, err := net.Dial("tcp", row.vm.CallerAddress().String())
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = conn.Close() }()
			began := time.Now()
			if _, err := fmt.Fprintf(conn, head, row.id); err != nil {
				t.Fatal(err)
			}
			_ = conn.SetReadDeadline(began.Add(2 * limit))
			_, err = conn.Read(make([]byte, 1))
			if elapsed := time.Since(began); err != nil || elapsed > limit {
				t.Errorf("answered after %v (%v), want at most %v", elapsed, err, limit)
			}
		})
	}
}
