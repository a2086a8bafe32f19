// Package logreader finds a request's path in the log lines of several daemons.
//
// Lines are JSON objects, one a line, as daemons write them; what stands before
// the first brace of a line is passed over. The clocks of VMs may differ: lines
// are ordered by their own times, and a daemon whose line about the request lies
// outside the time in which its entry had it is reported with the least
// difference that explains it.
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

// maxLine bounds a line, in bytes.
const maxLine = 1 << 20

// Line is a log line.
type Line struct {
	At      time.Time
	Server  string
	Message string
	// About is set if the line is about the request, not about its surroundings.
	About  bool
	Fields map[string]any
}

// Path is what the logs say of a request.
type Path struct {
	ID    string
	Lines []Line
	// Skews holds, for daemons whose clock must differ from the entry's, the
	// least difference.
	Skews map[string]time.Duration
}

// Find returns the lines about the request id, and those that its daemons wrote
// of themselves in the time around before.
func Find(id string, around time.Duration, logs ...io.Reader) (*Path, error) {
	var lines []Line
	for _, log := range logs {
		more, err := read(log, id)
		if err != nil {
			return nil, err
		}
		lines = append(lines, more...)
	}
	p := &Path{ID: id, Skews: map[string]time.Duration{}}
	servers := map[string]bool{}
	var first, last time.Time
	for _, l := range lines {
		if !l.About {
			continue
		}
		servers[l.Server] = true
		if first.IsZero() || l.At.Before(first) {
			first = l.At
		}
		if l.At.After(last) {
			last = l.At
		}
	}
	for _, l := range lines {
		near := servers[l.Server] && l.At.After(first.Add(-around)) && !l.At.After(last)
		if l.About || near {
			p.Lines = append(p.Lines, l)
		}
	}
	sort.SliceStable(p.Lines, func(i, j int) bool { return p.Lines[i].At.Before(p.Lines[j].At) })
	p.findSkews()
	return p, nil
}

// read returns the lines of a log that are about id or about no request.
func read(log io.Reader, id string) ([]Line, error) {
	var lines []Line
	scanner := bufio.NewScanner(log)
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() {
		brace := bytes.IndexByte(scanner.Bytes(), '{')
		if brace < 0 {
			continue
		}
		var fields map[string]any
		if json.Unmarshal(scanner.Bytes()[brace:], &fields) != nil {
			continue // another program's line
		}
		request, isRequest := fields["request"]
		if isRequest && request != id {
			continue
		}
		at, err := time.Parse(time.RFC3339Nano, text(fields["@timestamp"]))
		if err != nil {
			continue
		}
		lines = append(lines, Line{
			At: at, Server: text(fields["server"]), Message: text(fields["@message"]), About: isRequest, Fields: fields,
		})
	}
	return lines, eris.Wrap(scanner.Err(), "read log")
}

// text returns v if it is a string.
func text(v any) string {
	s, _ := v.(string)
	return s
}

// findSkews compares the times of the lines about the request with the time in
// which the entry, which wrote that it was given up or late, had it.
func (p *Path) findSkews() {
	var entry *Line
	for i := range p.Lines {
		if _, ok := p.Lines[i].Fields["late_ms"]; ok && p.Lines[i].About {
			entry = &p.Lines[i]
		}
	}
	if entry == nil {
		return
	}
	took, _ := entry.Fields["took_ms"].(float64)
	began := entry.At.Add(-time.Duration(took+1) * time.Millisecond)
	for _, l := range p.Lines {
		switch {
		case !l.About || l.Server == entry.Server:
		case l.At.Before(began):
			p.Skews[l.Server] = max(p.Skews[l.Server], began.Sub(l.At))
		case l.At.After(entry.At.Add(time.Millisecond)):
			p.Skews[l.Server] = max(p.Skews[l.Server], l.At.Sub(entry.At))
		}
	}
}

// Print writes the path for a person.
func (p *Path) Print(w io.Writer) {
	if len(p.Lines) == 0 {
		_, _ = fmt.Fprintf(w, "no line is about request %s: it was served in time, or its lines were dropped\n", p.ID)
		return
	}
	for _, l := range p.Lines {
		mark := " "
		if l.About {
			mark = ">"
		}
		_, _ = fmt.Fprintf(w, "%s %s %s %s%s\n", mark, l.At.Format("15:04:05.000"), l.Server, l.Message, fieldsText(l.Fields))
	}
	for server, skew := range p.Skews {
		_, _ = fmt.Fprintf(w, "the clock of %s differs from the entry's by at least %v, or the daemon was paused\n", server, skew.Round(time.Millisecond))
	}
}

// fieldsText returns the fields of a line but for those that are shown already.
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
