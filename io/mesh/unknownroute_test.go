package mesh

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"siskinknot/core/directory"
	"siskinknot/core/outcome"
	"siskinknot/core/routing"
	"siskinknot/io/boottime"
)

// TestUnknownRouteByOlderConfig guards against a request for a new route that a daemon refuses for good while it is behind.
func TestUnknownRouteByOlderConfig(t *testing.T) {
	now := boottime.Now()
	for _, row := range []struct {
		name  string
		alone bool
		setUp func(m *Mesh)
		final bool // refused for good
	}{
		{"confirmed by another daemon", false, func(m *Mesh) { m.configCurrency.Observe(now, 1) }, true},
		{"just read", false, func(m *Mesh) { m.Configure(m.table, nil) }, true},
		{"no other daemon has answered", false, func(*Mesh) {}, false},
		{"none has answered for a while", false, func(m *Mesh) { m.configCurrency.Observe(now.Add(-2*time.Second), 1) }, false},
		{"another daemon has a newer version", false, func(m *Mesh) { m.configCurrency.Observe(now, 2) }, false},
		{"no other daemons", true, func(*Mesh) {}, true},
		{"directory not read yet", true, func(m *Mesh) { m.loaded = false }, false},
	} {
		t.Run(row.name, func(t *testing.T) {
			m := newDividedMesh(t, nil)
			if !row.alone {
				other := directory.Member{Address: testAddrs(3)[2], Service: "s", State: directory.Active}
				m.apply(now, directory.Update{Base: m.dir.Version(), End: m.dir.Version() + 1, Entries: []directory.Entry{other.PutEntry()}})
			}
			row.setUp(m)
			table, err := routing.New(1, nil, nil, routing.Limits{})
			require.NoError(t, err)
			res := m.unknownRoute(now, table)
			if row.final {
				require.Equal(t, Refused{NotRun: outcome.NotRun{Reason: outcome.NoService}, Status: http.StatusNotFound}, res)
				return
			}
			require.Equal(t, outcome.NotRun{Reason: outcome.UnconfirmedConfig, RetryAfter: lossRetryAfter}, res)
		})
	}
}
