package mesh

import (
	"context"
	"errors"
	"net/netip"
	"testing"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/require"

	"siskinknot/core/directory"
	"siskinknot/io/boottime"
	"siskinknot/io/peer"
	"siskinknot/io/peer/peerpb"
)

// fixedStore is a store whose appends have a fixed result.
type fixedStore struct {
	*countingStore
	result directory.AppendResult
}

// Append implements Store.
func (s fixedStore) Append(context.Context, directory.Update) directory.AppendResult { return s.result }

// Read implements Store.
func (fixedStore) Read(context.Context, uint64) (directory.Update, error) {
	return directory.Update{}, errRejected
}

// relayPeer is another daemon that answers relayed appends as a daemon with the given store.
type relayPeer struct {
	peer.Handler
	mesh *Mesh
}

// HandleCall implements peer.Handler.
func (p *relayPeer) HandleCall(ctx context.Context, call *peerpb.Call) *peerpb.Reply {
	return p.mesh.handleRelay(ctx, call.GetRelay())
}

// TestRelayedAppendIsDoneLate guards against a change that counts as not applied while the store may still make it for the daemon that relayed it.
func TestRelayedAppendIsDoneLate(t *testing.T) {
	rejected := directory.NotApplied{Cause: errRejected}
	open := directory.Undetermined{Cause: errors.New("no answer")}
	for _, row := range []struct {
		name   string
		own    directory.AppendResult
		relays []directory.AppendResult
		want   directory.AppendResult
	}{
		{"rejected by the store alone", rejected, nil, rejected},
		{"rejected at each relay", rejected, []directory.AppendResult{rejected, rejected}, rejected},
		{"no answer at the relay", rejected, []directory.AppendResult{open}, directory.Undetermined{Cause: errRelayUndetermined}},
		{"no answer at both relays", rejected, []directory.AppendResult{open, open}, directory.Undetermined{Cause: errRelayUndetermined}},
		{"no answer, then rejected at the relay", open, []directory.AppendResult{rejected}, open},
		{"applied by the relay", rejected, []directory.AppendResult{directory.Applied{End: 9}}, directory.Applied{End: 9}},
		{"conflict at the relay", open, []directory.AppendResult{directory.Conflicted{End: 9}}, directory.Conflicted{End: 9}},
	} {
		t.Run(row.name, func(t *testing.T) {
			m := newTestMesh()
			m.store = fixedStore{&countingStore{}, row.own}
			m.receivedHeartbeats = map[netip.AddrPort]peerHeartbeat{}
			m.pool = peer.NewPool("self", netip.MustParseAddr("127.0.0.1"), hclog.NewNullLogger())
			t.Cleanup(func() { _ = m.pool.Close() })
			for _, result := range row.relays {
				other := newTestMesh()
				other.store = fixedStore{&countingStore{}, result}
				m.receivedHeartbeats[listenAs(t, &relayPeer{mesh: other})] = peerHeartbeat{receivedAt: boottime.Now(), storeOK: true}
			}
			require.Equal(t, row.want, m.appendToStore(directory.Update{Base: 1}))
		})
	}
}
