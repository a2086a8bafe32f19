// Package config reads the configuration file of a daemon.
//
// The file is a JSON object; docs/OPERATIONS.md describes each field. It contains
// only what differs between VMs: names, addresses and local limits. All other
// settings are in the settings tree on the platform's log. A file with an unknown
// field or an invalid value is rejected as a whole.
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
	"sync"
	"time"

	"siskinknot/core/record"
	"siskinknot/core/schema"
)

//go:embed schema.json
var schemaText string

var fileSchema = sync.OnceValue(func() *schema.Schema { return schema.MustCompile("config.schema.json", schemaText) })

// Config is the configuration of a daemon.
type Config struct {
	Server  string `json:"server"`
	Service string `json:"service"`
	// Region is optional in a fleet of one region.
	Region string `json:"region"`
	Zone   string `json:"availability_zone"`
	// DaemonAddress, CallerAddress and OperatorAddress are the addresses to listen
	// on. If a port is 0, the kernel chooses one.
	DaemonAddress   netip.AddrPort `json:"daemon_address"`
	CallerAddress   netip.AddrPort `json:"caller_address"`
	OperatorAddress netip.AddrPort `json:"operator_address"`
	// AdvertisedAddress is the address at which other daemons reach this one, if
	// it is not DaemonAddress.
	AdvertisedAddress netip.AddrPort `json:"daemon_advertised_address"`
	TargetAddress     netip.AddrPort `json:"target_address"`
	LogAddress        netip.AddrPort `json:"log_address"`
	// Seeds are the daemons from which this one requests the state of the fleet if
	// the log is unavailable at startup.
	Seeds []netip.AddrPort `json:"seed_daemons"`
	// BlindLimit is how long this daemon continues to own keys while it cannot read
	// the log.
	BlindLimit record.Millis `json:"blind_limit_ms"`
	// SnapshotInterval and SnapshotRecords are the maximum time and the maximum
	// number of records between two snapshots. They limit the part of the log
	// that a starting daemon has to read. Together they must stay well below
	// what the log retains.
	SnapshotInterval record.Millis `json:"snapshot_every_ms"`
	SnapshotRecords  uint64        `json:"snapshot_records"`
	// ShutdownLimit is how long a daemon that is being stopped waits for the
	// requests in progress.
	ShutdownLimit record.Millis `json:"shutdown_limit_ms"`
	LogLevel      string        `json:"log_level"`
	Tracing       Tracing       `json:"tracing"`
}

// Tracing configures where traces are sent and which requests are traced.
type Tracing struct {
	// OTLP is the address of an OTLP endpoint. If it is not set, traces are written
	// to File, or discarded if File is empty.
	OTLP netip.AddrPort `json:"otlp_address"`
	File string         `json:"file"`
	// SampleRatio is the share of requests that are traced, from 0 to 1.
	SampleRatio float64 `json:"sample_ratio"`
}

// defaults contains the values of the fields that a file omits.
var defaults = Config{
	BlindLimit:       record.Millis(time.Hour),
	SnapshotInterval: record.Millis(10 * time.Minute),
	SnapshotRecords:  5_000,
	ShutdownLimit:    record.Millis(30 * time.Second),
	LogLevel:         "info",
	Tracing:          Tracing{SampleRatio: 0.01},
}

// Load reads and parses the file at path. The error is a schema.Error if the file
// contains an invalid field.
func Load(path string) (Config, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Config{}, fmt.Errorf("read configuration: %w", err)
	}
	return Parse(data)
}

// Parse parses a configuration. The error is a schema.Error if data contains an
// invalid field.
func Parse(data []byte) (Config, error) {
	if problems := fileSchema().Check(data); len(problems) > 0 {
		return Config{}, schema.Error(problems)
	}
	if problems := invalidAddresses(data, addressFields); len(problems) > 0 {
		return Config{}, schema.Error(problems)
	}
	cfg := defaults
	if err := json.Unmarshal(data, &cfg); err != nil {
		return Config{}, fmt.Errorf("parse configuration: %w", err)
	}
	return cfg, cfg.validate()
}

// addressFields are the required address fields of a Config.
var addressFields = []string{"daemon_address", "caller_address", "operator_address", "target_address", "log_address"}

// invalidAddresses returns a problem for each named field that is not a valid
// address. The schema checks only the form and accepts, for example, 300.1.1.1:80.
func invalidAddresses(data []byte, names []string) []schema.Problem {
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

// validate checks rules that the schema does not express: the addresses of the
// target and the log have a port other than 0, and the addresses to which other
// daemons and callers connect are not unspecified (0.0.0.0 or ::).
func (c *Config) validate() error {
	connectAddrs := []struct {
		path string
		addr netip.AddrPort
	}{
		{"/target_address", c.TargetAddress},
		{"/log_address", c.LogAddress},
	}
	for _, a := range connectAddrs {
		if a.addr.Port() == 0 {
			return schema.Error{{Path: a.path, Value: a.addr.String(), Want: "want a port from 1 to 65535"}}
		}
	}
	if c.DaemonAddress.Addr().IsUnspecified() {
		return schema.Error{{
			Path:  "/daemon_address",
			Value: c.DaemonAddress.String(),
			Want:  "want the address that other daemons connect to",
		}}
	}
	if c.CallerAddress.Addr().IsUnspecified() {
		return schema.Error{{
			Path:  "/caller_address",
			Value: c.CallerAddress.String(),
			Want:  "want the address that callers connect to",
		}}
	}
	return nil
}
