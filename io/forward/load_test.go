package forward

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/require"

	"siskinknot/core/outcome"
	"siskinknot/core/request"
	"siskinknot/io/boottime"
	"siskinknot/io/peer"
	"siskinknot/io/peer/peerpb"
)

// loadedOwner is a peer.Handler that ends each request with a result and a load, or without a load if it is nil.
type loadedOwner struct {
	result outcome.Result
	load   *peerpb.TargetLoad
}

// HandleCall implements peer.Handler.
func (o *loadedOwner) HandleCall(context.Context, *peerpb.Call) *peerpb.Reply { return &peerpb.Reply{} }

// Forward implements peer.Handler.
func (o *loadedOwner) Forward(ctx context.Context, in *peer.Incoming) {
	Serve(ctx, in, func(_ context.Context, _ *request.Head, ex Exchange) outcome.Result {
		if o.load != nil {
			ex.(LoadSink).Load(o.load)
		}
		return o.result
	})
}

// loadKeeper is a Sink that keeps the loads it receives.
type loadKeeper struct {
	discard
	loads []*peerpb.TargetLoad
}

// Load implements LoadSink.
func (k *loadKeeper) Load(load *peerpb.TargetLoad) { k.loads = append(k.loads, load) }

// TestLoadComesWithEnd guards against a load that is lost with a rejection, or invented where the owner sends none.
func TestLoadComesWithEnd(t *testing.T) {
	for _, row := range []struct {
		name   string
		result outcome.Result
		load   *peerpb.TargetLoad
	}{
		{"answered", outcome.Answered{Status: http.StatusOK}, &peerpb.TargetLoad{Slots: 4, BacklogUs: 7, Pace: 1.5}},
		{"rejected", outcome.NotRun{Reason: outcome.Overloaded}, &peerpb.TargetLoad{Slots: 4, RouteUs: 9}},
		{"unknown", outcome.Unknown{Reason: outcome.ConnectionCut}, &peerpb.TargetLoad{Slots: 4}},
		{"no load", outcome.NotRun{Reason: outcome.Overloaded}, nil},
	} {
		t.Run(row.name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			server := peer.NewServer(l, "b", &loadedOwner{row.result, row.load}, hclog.NewNullLogger())
			pool := peer.NewPool("a", netip.MustParseAddr("127.0.0.1"), hclog.NewNullLogger())
			deadline := boottime.Now().Add(10 * time.Second)
			head := &request.Head{Service: "s", ID: "1", Method: http.MethodGet, Path: "/", Deadline: deadline, Objective: deadline}
			keeper := &loadKeeper{discard: newDiscard()}
			res := Send(context.Background(), pool, l.Addr().(*net.TCPAddr).AddrPort(), head, &Body{IsInline: true}, keeper)
			require.NoError(t, pool.Close())
			require.NoError(t, server.Close())
			require.IsType(t, row.result, res)
			if row.load == nil {
				require.Empty(t, keeper.loads)
				return
			}
			require.Len(t, keeper.loads, 1)
			require.Equal(t, row.load.String(), keeper.loads[0].String())
		})
	}
}
