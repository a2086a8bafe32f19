package mesh

import (
	"context"
	"fmt"

	"siskinknot/core/outcome"
	"siskinknot/core/request"
	"siskinknot/io/boottime"
	"siskinknot/io/forward"
	"siskinknot/io/peer"
	"siskinknot/io/peer/peerpb"
)

// HandleCall implements peer.Handler.
func (m *Mesh) HandleCall(ctx context.Context, call *peerpb.Call) *peerpb.Reply {
	switch kind := call.Kind.(type) {
	case *peerpb.Call_Heartbeat:
		return m.handleHeartbeat(kind.Heartbeat)
	case *peerpb.Call_Update:
		return m.handleUpdate(kind.Update)
	case *peerpb.Call_Snapshot:
		return m.handleSnapshot(kind.Snapshot)
	case *peerpb.Call_Yield:
		return m.handleYield(kind.Yield)
	case *peerpb.Call_Relay:
		return m.handleRelay(ctx, kind.Relay)
	case *peerpb.Call_FetchConfig:
		m.mu.Lock()
		defer m.mu.Unlock()
		reply := &peerpb.Reply{Config: m.document}
		if m.table != nil {
			reply.SettingsVersion = m.table.Version
		}
		return reply
	case *peerpb.Call_Heard:
		return m.handleHeard(kind.Heard)
	case *peerpb.Call_EraSync:
		return m.handleEraSync(kind.EraSync)
	case *peerpb.Call_Suspects:
		return m.handleSuspects(kind.Suspects)
	default:
		return &peerpb.Reply{Error: fmt.Sprintf("call %T is not served here", kind)}
	}
}

// Forward implements peer.Handler.
func (m *Mesh) Forward(ctx context.Context, in *peer.Incoming) {
	forward.Serve(ctx, in, func(ctx context.Context, head *request.Head, ex forward.Exchange) outcome.Result {
		res := m.busyForwardRefusal(boottime.Now())
		if res == nil {
			res = m.runRequest(ctx, head, ex)
		}
		m.attachLoad(head, ex)
		return res
	})
}
