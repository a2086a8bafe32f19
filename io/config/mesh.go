package config

import (
	_ "embed" // for the schema
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"net/netip"
	"os"
	"sync"

	"siskinknot/core/record"
	"siskinknot/core/schema"
)

//go:embed mesh_schema.json
var meshSchemaText string

var meshSchema = sync.OnceValue(func() *schema.Schema { return schema.MustCompile("mesh.schema.json", meshSchemaText) })

// Mesh is the configuration of a daemon whose fleet coordinates through a metadata
// store.
type Mesh struct {
	Server  string `json:"server"`
	Service string `json:"service"`
	Zone    string `json:"availability_zone"`
	// DaemonAddress, CallerAddress, ReadyAddress, HeartbeatAddress and
	// MetricsAddress are the addresses to listen on. MetricsAddress is optional.
	DaemonAddress    netip.AddrPort `json:"daemon_address"`
	CallerAddress    netip.AddrPort `json:"caller_address"`
	ReadyAddress     netip.AddrPort `json:"ready_address"`
	HeartbeatAddress netip.AddrPort `json:"heartbeat_address"`
	MetricsAddress   netip.AddrPort `json:"metrics_address,omitzero"`
	TargetAddress    netip.AddrPort `json:"target_address"`
	StoreAddress     netip.AddrPort `json:"store_address"`
	// MaxGrant is the longest duration of a grant that the target accepts. Drain is
	// how long the target accepts requests after its departure was acknowledged.
	MaxGrant record.Millis `json:"max_grant_ms"`
	Drain    record.Millis `json:"drain_ms"`
	// HeartbeatInterval is the time between two heartbeats of the target.
	HeartbeatInterval record.Millis `json:"heartbeat_interval_ms"`
	// PipelineDepth is the maximum number of pipelined requests of a connection that
	// run beside the one in front.
	PipelineDepth int `json:"pipeline_depth"`
	// ShutdownLimitS is the maximum duration of a shutdown of the daemon, in
	// seconds.
	ShutdownLimitS float64 `json:"shutdown_limit_s"`
	// RetryRatio and RetryBurst are the fleet's retry budget: the ratio of
	// retries to requests, and the number of further retries that may be sent
	// in a burst.
	RetryRatio float64 `json:"retry_ratio"`
	RetryBurst float64 `json:"retry_extra"`
	LogLevel   string  `json:"log_level"`
	// MaxLogLinesPerSecond is the maximum number of log lines per second.
	MaxLogLinesPerSecond int `json:"log_lines_per_s"`
}

// meshDefaults contains the values of the fields that a file omits. For limits
// that the platform sets, such as MaxGrant and Drain, they are the platform's
// usual values.
var meshDefaults = Mesh{
	MaxGrant:             10_000 * millisecond,
	Drain:                2_000 * millisecond,
	HeartbeatInterval:    1_000 * millisecond,
	PipelineDepth:        8,
	ShutdownLimitS:       6,
	RetryRatio:           0.2,
	RetryBurst:           20,
	LogLevel:             "info",
	MaxLogLinesPerSecond: 200,
}

// millisecond is one millisecond as a record.Millis.
const millisecond = record.Millis(1_000_000)

// IncompleteError is the error of a file that does not exist or is not JSON, as while it is
// being written.
type IncompleteError struct{ Err error }

// Error implements error.
func (e *IncompleteError) Error() string { return e.Err.Error() }

// Unwrap returns the underlying error.
func (e *IncompleteError) Unwrap() error { return e.Err }

// LoadMesh reads and parses the file at path. The error is a schema.Error if
// the file contains an invalid field, and an *IncompleteError if the file may not have been
// written completely.
func LoadMesh(path string) (Mesh, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		err = fmt.Errorf("read configuration: %w", err)
		if errors.Is(err, fs.ErrNotExist) {
			return Mesh{}, &IncompleteError{err}
		}
		return Mesh{}, err
	}
	cfg, err := ParseMesh(data)
	if err != nil && !json.Valid(data) {
		return Mesh{}, &IncompleteError{err}
	}
	return cfg, err
}

// ParseMesh parses a configuration. The error is a schema.Error if data contains an
// invalid field.
func ParseMesh(data []byte) (Mesh, error) {
	if problems := meshSchema().Check(data); len(problems) > 0 {
		return Mesh{}, schema.Error(problems)
	}
	addresses := []string{
		"daemon_address", "caller_address", "ready_address", "heartbeat_address", "target_address", "store_address",
	}
	if problems := invalidAddresses(data, addresses); len(problems) > 0 {
		return Mesh{}, schema.Error(problems)
	}
	cfg := meshDefaults
	if err := json.Unmarshal(data, &cfg); err != nil {
		return Mesh{}, fmt.Errorf("parse configuration: %w", err)
	}
	return cfg, nil
}
