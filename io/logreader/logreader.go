// Package logreader reconstructs a request's path from the logs of several daemons.
//
// Each log line is a JSON object, as daemons write it; text before the first brace
// of a line is ignored, and so are lines that are not JSON. Lines are ordered by
// their timestamps. The clocks of VMs may differ: if a daemon's line about the
// request has a timestamp outside the interval in which the ingress daemon handled
// the request, the daemon is reported with the smallest clock difference that
// explains the timestamp.
//
// # Usage
//
//	path, err := logreader.Find(id, 2*time.Second, file1, file2)
//	path.Print(os.Stdout)
package logreader

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// maxLineBytes is the maximum length of a log line, in bytes.
const maxLineBytes = 1 << 20

// Line is a parsed log line.
type Line struct {
	// At is the timestamp of the line, by the clock of the daemon that wrote it.
	At      time.Time
	Server  string
	Message string
	// MatchesRequest is set if the line carries the ID of the request. Other
	// lines report what else happened at the same daemon, such as a change of
	// its target, or that a request with the same fingerprint was quarantined.
	MatchesRequest bool
	Fields         map[string]any
}

// Path holds the log lines that concern a request.
type Path struct {
	// ID is the request ID.
	ID string
	// Lines are ordered by timestamp.
	Lines []Line
	// ClockSkews holds the smallest clock difference for each daemon whose
	// clock must differ from the ingress daemon's, by server name.
	ClockSkews map[string]time.Duration
}

// Find returns the lines about the request with the given ID. It also returns
// the lines about no request that the daemons on the request's path wrote in
// the period that begins window before the first of these lines and ends with
// the last, and the lines about its fingerprint, if the request has one. The error is that of a log that cannot be read or that has a line
// of over 1 MiB.
func Find(id string, window time.Duration, logs ...io.Reader) (*Path, error) {
	var lines []Line
	for _, log := range logs {
		logLines, err := readLines(log, id)
		if err != nil {
			return nil, err
		}
		lines = append(lines, logLines...)
	}
	p := &Path{ID: id, ClockSkews: map[string]time.Duration{}}
	servers := map[string]bool{}
	fingerprint := ""
	var first, last time.Time
	for _, l := range lines {
		if !l.MatchesRequest {
			continue
		}
		servers[l.Server] = true
		if f := stringValue(l.Fields["fingerprint"]); f != "" {
			fingerprint = f
		}
		if first.IsZero() || l.At.Before(first) {
			first = l.At
		}
		if l.At.After(last) {
			last = l.At
		}
	}
	for _, l := range lines {
		_, aboutRequest := l.Fields["request"]
		inWindow := !aboutRequest && servers[l.Server] && l.At.After(first.Add(-window)) && !l.At.After(last)
		sameFingerprint := fingerprint != "" && l.Fields["fingerprint"] == fingerprint && !l.isOutcome()
		if l.MatchesRequest || inWindow || sameFingerprint {
			p.Lines = append(p.Lines, l)
		}
	}
	sort.SliceStable(p.Lines, func(i, j int) bool { return p.Lines[i].At.Before(p.Lines[j].At) })
	p.findClockSkews()
	return p, nil
}

// isOutcome reports whether the line says how a request ended.
func (l *Line) isOutcome() bool { return l.Fields["outcome"] != nil }

// readLines returns the lines of a log that are about the request ID, about no request, or
// about a fingerprint.
func readLines(log io.Reader, id string) ([]Line, error) {
	var lines []Line
	scanner := bufio.NewScanner(log)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		brace := bytes.IndexByte(scanner.Bytes(), '{')
		if brace < 0 {
			continue
		}
		var fields map[string]any
		if json.Unmarshal(scanner.Bytes()[brace:], &fields) != nil {
			continue // a line of another program
		}
		request, isRequest := fields["request"]
		matches := isRequest && request == id
		if isRequest && !matches && stringValue(fields["fingerprint"]) == "" {
			continue
		}
		at, err := time.Parse(time.RFC3339Nano, stringValue(fields["@timestamp"]))
		if err != nil {
			continue
		}
		lines = append(lines, Line{
			At: at, Server: stringValue(fields["server"]), Message: stringValue(fields["@message"]), MatchesRequest: matches, Fields: fields,
		})
	}
	return lines, eris.Wrap(scanner.Err(), "read log")
}

// stringValue returns v if it is a string, and otherwise the empty string.
func stringValue(v any) string {
	s, _ := v.(string)
	return s
}

// findClockSkews compares the timestamps of the lines about the request with
// the interval in which the ingress daemon handled it. The ingress daemon is
// the one that logged the request as not answered or late, with the field
// late_ms. The start of the interval is computed from the field took_ms, which
// is rounded down to whole milliseconds; one millisecond is added for that.
func (p *Path) findClockSkews() {
	var ingress *Line
	for i := range p.Lines {
		if _, ok := p.Lines[i].Fields["late_ms"]; ok && p.Lines[i].MatchesRequest {
			ingress = &p.Lines[i]
		}
	}
	if ingress == nil {
		return
	}
	tookMs, _ := ingress.Fields["took_ms"].(float64)
	receivedAt := ingress.At.Add(-time.Duration(tookMs+1) * time.Millisecond)
	for _, l := range p.Lines {
		switch {
		case !l.MatchesRequest || l.Server == ingress.Server:
		case l.At.Before(receivedAt):
			p.ClockSkews[l.Server] = max(p.ClockSkews[l.Server], receivedAt.Sub(l.At))
		case l.At.After(ingress.At.Add(time.Millisecond)):
			p.ClockSkews[l.Server] = max(p.ClockSkews[l.Server], l.At.Sub(ingress.At))
		}
	}
}

// Print writes the path to w as text for operators.
func (p *Path) Print(w io.Writer) {
	if len(p.Lines) == 0 {
		_, _ = fmt.Fprintf(w, "no log line mentions request %s: it was answered in time, or its log lines were dropped\n", p.ID)
		return
	}
	for _, l := range p.Lines {
		marker := " "
		if l.MatchesRequest {
			marker = ">"
		}
		_, _ = fmt.Fprintf(w, "%s %s %s %s%s\n", marker, l.At.Format("15:04:05.000"), l.Server, l.Message, fieldsText(l.Fields))
	}
	for server, skew := range p.ClockSkews {
		_, _ = fmt.Fprintf(w, "the clock of %s differs from the ingress daemon's by at least %v, or the daemon was paused\n", server, skew.Round(time.Millisecond))
	}
}

// fieldsText formats the fields of a line, without those that Print shows
// separately.
func fieldsText(fields map[string]any) string {
	names := make([]string, 0, len(fields))
	for name := range fields {
		if !strings.HasPrefix(name, "@") && name != "server" && name != "request" {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	var b strings.Builder
	for _, name := range names {
		fmt.Fprintf(&b, " %s=%v", name, fields[name])
	}
	return b.String()
}
