package mesh

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"siskinknot/core/directory"
	"siskinknot/core/request"
)

// TestEveryChangeWakesWaitingRequests checks that a request which waits for its key's
// next owner goes on when there is one, and not when other keys get theirs.
func TestEveryChangeWakesWaitingRequests(t *testing.T) {
	const key, pause = 5, 150 * time.Millisecond
	for _, row := range []struct {
		name  string
		moved uint16
		wakes bool
	}{
		{"its key moves", key, true},
		{"another key moves", 20, false},
	} {
		t.Run(row.name, func(t *testing.T) {
			m := holder(
				directory.Assignment{First: 0, Last: 9, Fence: 1},
				directory.Assignment{First: 10, Last: 99, Fence: 1},
			)
			c := &call{head: &request.Head{Service: "s"}, divided: true, key: key}
			before := m.ownerOf(c)
			began := time.Now()
			time.AfterFunc(pause/5, func() {
				m.mu.Lock()
				defer m.mu.Unlock()
				a := m.dir.AssignmentOf("s", row.moved)
				entries := m.dir.Move(a, []directory.Part{{First: a.First, Last: a.Last, To: members(3)[2]}})
				m.apply(time.Unix(1000, 0), directory.Update{Base: m.dir.End(), End: m.dir.End() + 1, Entries: entries})
			})
			m.awaitOwner(context.Background(), c, before, pause)
			require.Equal(t, row.wakes, time.Since(began) < pause)
		})
	}
}
