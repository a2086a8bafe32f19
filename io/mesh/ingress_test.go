package mesh

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"siskinknot/core/directory"
	"siskinknot/core/request"
)

// TestEveryChangeWakesWaitingRequests checks that a request that waits for its
// key's next owner continues when the key gets a new owner, and keeps waiting
// when other keys do.
func TestEveryChangeWakesWaitingRequests(t *testing.T) {
	const key, delay = 5, 150 * time.Millisecond
	for _, row := range []struct {
		name  string
		moved uint16
		wakes bool
	}{
		{"its key moves", key, true},
		{"another key moves", 20, false},
	} {
		t.Run(row.name, func(t *testing.T) {
			m := newTestMesh(
				directory.Assignment{First: 0, Last: 9, Fence: 1},
				directory.Assignment{First: 10, Last: 99, Fence: 1},
			)
			c := &call{head: &request.Head{Service: "s"}, divided: true, key: key}
			previous := m.ownerOf(c)
			startedAt := time.Now()
			time.AfterFunc(delay/5, func() {
				m.mu.Lock()
				defer m.mu.Unlock()
				a := m.dir.AssignmentOf("s", row.moved)
				entries := m.dir.Move(a, []directory.Transfer{{First: a.First, Last: a.Last, To: testAddrs(3)[2]}})
				m.apply(time.Unix(1000, 0), directory.Update{Base: m.dir.Version(), End: m.dir.Version() + 1, Entries: entries})
			})
			m.awaitOwnerChange(context.Background(), c, previous, delay)
			require.Equal(t, row.wakes, time.Since(startedAt) < delay)
		})
	}
}
