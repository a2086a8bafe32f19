package mesh

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"siskinknot/core/directory"
	"siskinknot/io/peer/peerpb"
)

// TestOvertakenChangeFetchesDirectory checks that changes which arrive in the wrong
// order are applied, and that a member which has missed some is sent those alone.
func TestOvertakenChangeFetchesDirectory(t *testing.T) {
	m := holder()
	var updates []directory.Update
	for i := range 4 {
		base := m.dir.End() + uint64(i)
		updates = append(updates, directory.Update{
			Base: base, End: base + 1, Entries: []directory.Entry{{Key: fmt.Sprintf("other/%d", i), Value: []byte("1")}},
		})
	}
	first, last := m.dir.End(), updates[3].End
	for _, i := range []int{2, 1, 3, 0} {
		m.answerUpdate(toUpdate(updates[i]))
	}
	require.Equal(t, last, m.dir.End())
	for i, known := range []uint64{first, first + 3, last} {
		reply := m.answerSnapshot(&peerpb.Snapshot{Since: known})
		require.Equal(t, last, reply.NextOffset)
		require.Len(t, reply.GetUpdate().GetEntries(), []int{4, 1, 0}[i])
	}
	require.Zero(t, m.answerSnapshot(&peerpb.Snapshot{}).Update.Base, "a member that knows nothing gets all")
}
