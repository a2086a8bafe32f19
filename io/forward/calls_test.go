package forward

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"siskinknot/core/request"
)

// TestCallIsForwarded guards against calls that the owner's daemon takes for ordinary requests.
func TestCallIsForwarded(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, head := range []*request.Head{
		{Service: "s", Route: "lookup", Deadline: now, Objective: now},
		{Service: "s", Route: "lookup", Deadline: now, Objective: now, Call: true, ParentRoute: "view"},
	} {
		got := requestHead(now, forwardMessage(context.Background(), now, head, &Body{}))
		require.Equal(t, head.Call, got.Call)
		require.Equal(t, head.ParentRoute, got.ParentRoute)
	}
}
