package config

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const meshConfigJSON = `{"server":"vm-1","service":"s","availability_zone":"z","daemon_address":"10.0.0.1:7400",
  "caller_address":"10.0.0.1:7401","ready_address":"10.0.0.1:7402","heartbeat_address":"10.0.0.1:7403",
  "target_address":"10.0.0.1:8080","store_address":"10.9.0.1:8142","max_grant_ms":9000}`

func TestParseMesh(t *testing.T) {
	cfg, err := ParseMesh([]byte(meshConfigJSON))
	require.NoError(t, err)
	require.Equal(t, 9*time.Second, cfg.MaxGrant.Duration())
	require.Equal(t, 2*time.Second, cfg.Drain.Duration())
	require.False(t, cfg.MetricsAddress.IsValid())
	for _, row := range []struct{ name, old, new, want string }{
		{"not JSON", "{", "", ""},
		{"unknown field", `"server"`, `"sever":"x","server"`, "sever"},
		{"missing field", `"service":"s",`, "", "service"},
		{"invalid IP address", "10.0.0.1:8080", "10.0.0.300:8080", "/target_address"},
		{"string instead of a number", "9000", `"long"`, "max_grant_ms"},
		{"duration below the minimum", "9000", "100", "max_grant_ms"},
		{"heartbeat interval below the minimum", `"max_grant_ms":9000`, `"heartbeat_interval_ms":9`, "heartbeat_interval_ms"},
		{"pipeline depth negative", `"max_grant_ms":9000`, `"pipeline_depth":-1`, "pipeline_depth"},
	} {
		t.Run(row.name, func(t *testing.T) {
			_, err := ParseMesh([]byte(strings.Replace(meshConfigJSON, row.old, row.new, 1)))
			require.ErrorContains(t, err, row.want)
		})
	}
}
