package logreader

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const ingressLog = `  12.3 vm-1 {"@level":"info","@message":"request not answered","@timestamp":"2026-12-04T10:00:01.500000Z","server":"vm-1",` +
	`"request":"r1","took_ms":400,"late_ms":100,"reason":"timed_out"}` + "\n" +
	`{"@message":"request not answered","@timestamp":"2026-12-04T10:00:01.600000Z","server":"vm-1","request":"r2","took_ms":1,"late_ms":0}
not json
{"@message":"broken`

const ownerLog = `{"@message":"target is down","@timestamp":"2026-12-04T10:00:00.200000Z","server":"vm-2","instance":"i-1"}
{"@message":"old news","@timestamp":"2026-12-04T09:00:00.200000Z","server":"vm-2"}
{"@message":"request not answered by target","@timestamp":"2026-12-04T10:00:00.900000Z","server":"vm-2","request":"r1","reason":"connection_cut"}`

const quarantineLog = `{"@message":"request quarantined","@timestamp":"2026-12-04T09:59:50.000000Z","server":"vm-3","request":"r0","fingerprint":"f1"}
{"@message":"request quarantined","@timestamp":"2026-12-04T09:59:50.000000Z","server":"vm-3","request":"r0","fingerprint":"f2"}
{"@message":"request not answered","@timestamp":"2026-12-04T10:00:01.000000Z","server":"vm-3","request":"r4","outcome":"not_run","fingerprint":"f1"}
{"@message":"request not answered","@timestamp":"2026-12-04T10:00:02.000000Z","server":"vm-3","request":"r5","outcome":"not_run","fingerprint":"f1"}`

func TestFind(t *testing.T) {
	for _, row := range []struct {
		name, id string
		messages []string
		skew     time.Duration
	}{
		{"two daemons", "r1", []string{"target is down", "request not answered by target", "request not answered"}, 199 * time.Millisecond},
		{"ingress daemon only", "r2", []string{"request not answered"}, 0},
		{"unknown request", "r3", nil, 0},
		{"quarantined because of another request", "r4", []string{"request quarantined", "request not answered"}, 0},
	} {
		t.Run(row.name, func(t *testing.T) {
			path, err := Find(row.id, 2*time.Second, strings.NewReader(ingressLog), strings.NewReader(ownerLog), strings.NewReader(quarantineLog))
			require.NoError(t, err)
			var messages []string
			for _, l := range path.Lines {
				messages = append(messages, l.Message)
			}
			require.Equal(t, row.messages, messages)
			require.Equal(t, row.skew, path.ClockSkews["vm-2"])
			var out strings.Builder
			path.Print(&out)
			require.NotEmpty(t, out.String())
		})
	}
}
