package config

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"siskinknot/core/settings"
)

// examplesDir is the directory of the example files of the documentation.
const examplesDir = "../../docs/examples"

func TestExamples(t *testing.T) {
	if _, err := Load(filepath.Join(examplesDir, "daemon.json")); err != nil {
		t.Error(err)
	}
	for _, name := range []string{"midlands.json", "hcm.json"} {
		data, err := os.ReadFile(filepath.Join(examplesDir, name))
		if err != nil {
			t.Fatal(err)
		}
		if err := settings.Check(data); err != nil {
			t.Errorf("%s: %v", name, err)
		}
	}
}

func TestParseRejectsInvalidFields(t *testing.T) {
	tests := []struct {
		name  string
		field string
		value any // nil removes the field
		want  string
	}{
		{"unknown field", "sevrer", "x", "additional properties 'sevrer' not allowed"},
		{"missing field", "log_address", nil, "missing property 'log_address'"},
		{"invalid name", "server", "Registry 1", `/server: "Registry 1"`},
		{"host name instead of an IP address", "daemon_address", "localhost:7400", `/daemon_address: "localhost:7400"`},
		{"invalid IP address", "target_address", "300.0.0.1:80", `/target_address: "300.0.0.1:80": want an IP address`},
		{"invalid port", "caller_address", "10.0.0.1:70000", `/caller_address: "10.0.0.1:70000"`},
		{"port 0 in an address to connect to", "log_address", "10.0.0.1:0", "/log_address: 10.0.0.1:0: want a port"},
		{"unspecified IP address", "daemon_address", "0.0.0.0:7400", "/daemon_address: 0.0.0.0:7400"},
		{"negative duration", "blind_limit_ms", -1, "/blind_limit_ms: -1: minimum: got -1, want 5"},
		{"duration as a string", "blind_limit_ms", "1h", `/blind_limit_ms: "1h": got string, want integer`},
		{"snapshot_records of 0", "snapshot_records", 0, "/snapshot_records: 0"},
		{"unknown log level", "log_level", "loud", `/log_level: "loud"`},
		{"sample ratio above 1", "tracing", map[string]any{"sample_ratio": 2}, "/tracing/sample_ratio: 2"},
	}
	text, err := os.ReadFile(filepath.Join(examplesDir, "daemon.json"))
	if err != nil {
		t.Fatal(err)
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var fields map[string]any
			if err := json.Unmarshal(text, &fields); err != nil {
				t.Fatal(err)
			}
			fields[tt.field] = tt.value
			if tt.value == nil {
				delete(fields, tt.field)
			}
			data, err := json.Marshal(fields)
			if err != nil {
				t.Fatal(err)
			}
			if _, err := Parse(data); err == nil || !strings.Contains(err.Error(), tt.want) {
				t.Errorf("error %v, want %q", err, tt.want)
			}
		})
	}
}

func FuzzParse(f *testing.F) {
	text, err := os.ReadFile(filepath.Join(examplesDir, "daemon.json"))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(text)
	f.Add([]byte(`{"server": 1}`))
	f.Fuzz(func(_ *testing.T, data []byte) {
		_, _ = Parse(data) // must not panic
	})
}
