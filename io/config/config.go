// Package config reads the configuration file of a daemon.
//
// The file is a JSON object; docs/OPERATIONS.md describes each field. It says
// only what differs between VMs: names, addresses and local limits. Everything
// else is in the settings tree on the platform's log. A file with an unknown
// field or a value that makes no sense is refused whole.
//
// # Usage
//
//	cfg, err := config.Load("/etc/siskinknot.json")
package config

import (
	_ "embed" // for the schema
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"time"

	"siskinknot/core/record"
	"siskinknot/core/schema"
)

//go:embed schema.json
var schemaText string

var fileSchema = schema.MustCompile("config.schema.json", schemaText)

// Config is the configuration of a daemon.
type Config struct {
	Server  string `json:"server"`
	Service string `json:"service"`
	// Region is left out in a fleet of one region.
	Region string `json:"region"`
	Zone   string `json:"availability_zone"`
	// Daemon, Caller and Operator are the addresses to listen on. Port 0 lets
	// the kernel choose one.
	Daemon   netip.AddrPort `json:"daemon_address"`
	Caller   netip.AddrPort `json:"caller_address"`
	Operator netip.AddrPort `json:"operator_address"`
	// Advertised is where other daemons reach Daemon, if that differs.
	Advertised netip.AddrPort `json:"daemon_advertised_address"`
	Target     netip.AddrPort `json:"target_address"`
	Log        netip.AddrPort `json:"log_address"`
	// Seeds are daemons to ask for the state of the fleet if the log is down
	// when this one starts.
	Seeds []netip.AddrPort `json:"seed_daemons"`
	// BlindLimit is how long this daemon owns keys without reading the log.
	BlindLimit record.Millis `json:"blind_limit_ms"`
	// SnapshotEvery and SnapshotRecords bound the part of the log that a
	// starting daemon has to read. Both together have to stay well below what
	// the log retains.
	SnapshotEvery   record.Millis `json:"snapshot_every_ms"`
	SnapshotRecords uint64        `json:"snapshot_records"`
	// ShutdownLimit is how long a daemon that was told to stop waits for the
	// requests under way.
	ShutdownLimit record.Millis `json:"shutdown_limit_ms"`
	LogLevel      string        `json:"log_level"`
	Tracing       Tracing       `json:"tracing"`
}

// Tracing says where traces go.
type Tracing struct {
	OTLP        netip.AddrPort `json:"otlp_address"`
	File        string         `json:"file"`
	SampleRatio float64        `json:"sample_ratio"`
}

// defaults are the values of the fields that a file leaves out.
var defaults = Config{
	BlindLimit:      record.Millis(time.Hour),
	SnapshotEvery:   record.Millis(10 * time.Minute),
	SnapshotRecords: 5_000,
	ShutdownLimit:   record.Millis(30 * time.Second),
	LogLevel:        "info",
	Tracing:         Tracing{SampleRatio: 0.01},
}

// Load reads the file at path. The error of a file that breaks a rule is a
// schema.Error.
func Load(path string) (Config, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Config{}, fmt.Errorf("read configuration: %w", err)
	}
	return Parse(data)
}

// Parse reads a configuration.
func Parse(data []byte) (Config, error) {
	if problems := fileSchema.Check(data); len(problems) > 0 {
		return Config{}, schema.Error(problems)
	}
	if problems := checkAddresses(data, addressFields); len(problems) > 0 {
		return Config{}, schema.Error(problems)
	}
	cfg := defaults
	if err := json.Unmarshal(data, &cfg); err != nil {
		return Config{}, fmt.Errorf("parse configuration: %w", err)
	}
	return cfg, cfg.check()
}

// addressFields are the fields of a Config that have to be addresses.
var addressFields = []string{"daemon_address", "caller_address", "operator_address", "target_address", "log_address"}

// checkAddresses finds the addresses that have the form of one but are none,
// such as 300.1.1.1:80.
func checkAddresses(data []byte, names []string) []schema.Problem {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(data, &fields); err != nil {
		return []schema.Problem{{Path: "/", Value: string(data), Want: "want an object"}}
	}
	var problems []schema.Problem
	for _, name := range names {
		var text string
		_ = json.Unmarshal(fields[name], &text)
		if _, err := netip.ParseAddrPort(text); err != nil {
			problems = append(problems, schema.Problem{
				Path:  "/" + name,
				Value: string(fields[name]),
				Want:  "want an IP address and a port such as 10.0.0.1:7400",
			})
		}
	}
	return problems
}

// check finds fields that do not go together.
func (c *Config) check() error {
	needPort := []struct {
		path string
		addr netip.AddrPort
	}{
		{"/target_address", c.Target},
		{"/log_address", c.Log},
	}
	for _, n := range needPort {
		if n.addr.Port() == 0 {
			return schema.Error{{Path: n.path, Value: n.addr.String(), Want: "want a port from 1 to 65535"}}
		}
	}
	if c.Daemon.Addr().IsUnspecified() {
		return schema.Error{{
			Path:  "/daemon_address",
			Value: c.Daemon.String(),
			Want:  "want the address that other daemons connect to",
		}}
	}
	if c.Caller.Addr().IsUnspecified() {
		return schema.Error{{
			Path:  "/caller_address",
			Value: c.Caller.String(),
			Want:  "want the address that callers connect to",
		}}
	}
	return nil
}
