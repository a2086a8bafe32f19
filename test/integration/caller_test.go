package integration

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"siskinknot/core/request"
	"siskinknot/standin/load"
	"siskinknot/standin/processes"
	"siskinknot/standin/targetserver"
)

// TestMalformedRequests checks that an invalid request is answered with a 4xx
// status and a text that names the error, and that no part of it is run by a
// target.
func TestMalformedRequests(t *testing.T) {
	fleet := start(t, processes.Options{Servers: specs(3, 1), Settings: json.RawMessage(
		`{"values": {"max_body_bytes": 1000}, "services": {"registry": {"kind": "divided", "slots": 16}, "archive": {"kind": "shared"}}}`)})
	tests := []struct {
		name, path string
		header     [2]string
		body       string
		status     int
		want       string
	}{
		{name: "no service", path: "/", status: 400, want: "names no service"},
		{name: "an unknown service", path: "/nonsense/x", status: 404, want: `service "nonsense" does not exist`},
		{name: "no key", path: "/registry", status: 400, want: "names no key"},
		{name: "a long key", path: "/registry/" + strings.Repeat("k", 600), status: 400, want: "key has 600 bytes, limit 512"},
		{name: "a class", path: "/registry/x", header: [2]string{"Siskinknot-Class", "urgent"}, status: 400, want: `class "urgent"`},
		{name: "a deadline", path: "/registry/x", header: [2]string{"Siskinknot-Deadline-Ms", "soon"}, status: 400, want: `"soon" is not between`},
		{name: "idempotent", path: "/registry/x", header: [2]string{"Siskinknot-Idempotent", "perhaps"}, status: 400, want: "neither true nor false"},
		{name: "a long id", path: "/registry/x", header: [2]string{"Siskinknot-Request-Id", strings.Repeat("i", 200)}, status: 400, want: "request id has 200 bytes"},
		{name: "a large body", path: "/registry/x", body: strings.Repeat("b", 2000), status: 413, want: "body has 2000 bytes, limit 1000"},
	}
	for _, tt := range tests {
		req, err := http.NewRequest(http.MethodPost, fleet.Servers[0].URL(tt.path), strings.NewReader(tt.body))
		if err != nil {
			t.Fatal(err)
		}
		if tt.header[0] != "" {
			req.Header.Set(tt.header[0], tt.header[1])
		}
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if err != nil || resp.StatusCode != tt.status || !strings.Contains(string(body), tt.want) ||
			resp.Header.Get("Siskinknot-Outcome") != "not_run" {
			t.Errorf("%s: %d %s %q, %v, want %d %q", tt.name, resp.StatusCode, resp.Header.Get("Siskinknot-Outcome"), body, err, tt.status, tt.want)
		}
	}
	runs, err := targetserver.Runs(fleet.Dir)
	if err != nil || len(runs) > 0 {
		t.Errorf("%d requests ran, want none; error %v", len(runs), err)
	}
}

// TestConnectionsAreReused sends uploads and lookups in turn from one caller, which
// reuses its connections. It guards against an upload that leaves the connection
// in a state in which the requests after it fail.
func TestConnectionsAreReused(t *testing.T) {
	fleet := start(t, processes.Options{Servers: specs(3, 2)})
	c := load.NewCaller("photographer")
	photo := targetserver.Pattern("photo", bulkBytes)
	for i := range 20 {
		for _, ingress := range fleet.Servers {
			requests := []load.Request{
				{Method: http.MethodPut, URL: ingress.URL("/archive/photo"), Class: request.Bulk, Body: photo},
				{Method: http.MethodPut, URL: ingress.URL("/archive/photo"), Class: request.Bulk, Body: photo, Chunked: true},
				{Method: http.MethodGet, URL: ingress.URL("/registry/rosa")},
			}
			for n, r := range requests {
				r.ID = fmt.Sprintf("%d-%d-%s", i, n, ingress.Spec.Name)
				if res := c.Do(t.Context(), r); res.End != load.Answered {
					t.Fatalf("%s %s ended as %s: %s", r.Method, r.URL, res.End, res.Reason)
				}
			}
		}
	}
}

// TestCallerCutsBody closes a caller's connection in the middle of an upload. The
// run at the target has to end, so that its slot becomes free, and the partial
// body must not be taken for a complete one.
func TestCallerCutsBody(t *testing.T) {
	fleet := start(t, processes.Options{Servers: specs(3, 1)})
	for _, ingress := range fleet.Servers[2:] {
		conn, err := net.Dial("tcp", ingress.CallerAddr.String())
		if err != nil {
			t.Fatal(err)
		}
		const head = "PUT /archive/photo HTTP/1.1\r\nHost: x\r\nSiskinknot-Class: bulk\r\nContent-Length: 1000000\r\n\r\n"
		_, err = conn.Write(append([]byte(head), bytes.Repeat([]byte("x"), 100_000)...))
		if err != nil {
			t.Fatal(err)
		}
		waitRunsStarted(t, fleet, 1)
		_ = conn.Close()
		waitRunsEnded(t, fleet)
	}
}

// TestTraces checks that a span is recorded for each hop of a request, all in the
// trace that the caller passed in the traceparent header.
func TestTraces(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "traces.jsonl")
	fleet := start(t, processes.Options{
		Servers:     specs(3, 0),
		ExtraConfig: map[string]any{"tracing": map[string]any{"file": path, "sample_ratio": 0}},
	})
	const trace = "0123456789abcdef0123456789abcdef"
	owner, _ := ownerOf(t, fleet, "rosa")
	ingress := fleet.Servers[0]
	if ingress == owner {
		ingress = fleet.Servers[1]
	}
	req, err := http.NewRequest(http.MethodGet, ingress.URL("/registry/rosa"), http.NoBody)
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("traceparent", "00-"+trace+"-0123456789abcdef-01")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	err = processes.WaitFor(timeoutContext(t), func() string {
		names := spans(t, path, trace)
		for _, hop := range []string{"entry", "forward", "owner", "target"} {
			if !names[hop] {
				return fmt.Sprintf("no span %q among %v", hop, names)
			}
		}
		return ""
	})
	if err != nil {
		t.Error(err)
	}
}

// spans returns the set of names of the spans that the file at path holds for a
// trace.
func spans(t *testing.T, path, trace string) map[string]bool {
	t.Helper()
	file, err := os.Open(path)
	if err != nil {
		return nil
	}
	defer func() { _ = file.Close() }()
	names := map[string]bool{}
	scanner := bufio.NewScanner(file)
	scanner.Buffer(nil, 1<<20)
	for scanner.Scan() {
		var span struct {
			Name        string
			SpanContext struct{ TraceID string }
		}
		if json.Unmarshal(scanner.Bytes(), &span) == nil && span.SpanContext.TraceID == trace {
			names[span.Name] = true
		}
	}
	return names
}
