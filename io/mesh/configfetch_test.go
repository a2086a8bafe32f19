package mesh

import (
	"context"
	"encoding/binary"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/require"

	"siskinknot/core/routing"
	"siskinknot/io/peer"
	"siskinknot/io/peer/peerpb"
)

// configPeer is a daemon that has a configuration. It does not answer the calls that stalls
// returns true for until released is closed, and closes called with the first of them.
type configPeer struct {
	peer.Handler
	stalls   func(*peerpb.Call) bool
	called   chan struct{}
	released chan struct{}
}

// HandleCall implements peer.Handler.
func (p *configPeer) HandleCall(_ context.Context, call *peerpb.Call) *peerpb.Reply {
	if p.stalls != nil && p.stalls(call) {
		select {
		case p.called <- struct{}{}:
		default:
		}
		<-p.released
	}
	return &peerpb.Reply{Config: binary.BigEndian.AppendUint64(nil, 2)}
}

// listenAs serves the calls of other daemons with handler until the test ends, and returns the
// address.
func listenAs(t *testing.T, handler peer.Handler) netip.AddrPort {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := peer.NewServer(listener, "peer", handler, hclog.NewNullLogger())
	t.Cleanup(func() { _ = server.Close() })
	return listener.Addr().(*net.TCPAddr).AddrPort()
}

// newConfiguredMesh returns a test mesh that can call other daemons and has version 1 of the
// configuration. Documents are the version alone, in eight bytes.
func newConfiguredMesh(t *testing.T) *Mesh {
	t.Helper()
	m := newTestMesh()
	m.loaded = true
	m.receivedHeartbeats = map[netip.AddrPort]peerHeartbeat{}
	m.pool = peer.NewPool("self", netip.MustParseAddr("127.0.0.1"), hclog.NewNullLogger())
	t.Cleanup(func() { _ = m.pool.Close() })
	m.decodeConfig = func(document []byte) (*routing.Table, error) {
		return routing.New(binary.BigEndian.Uint64(document), nil, nil, routing.Limits{})
	}
	var err error
	m.table, err = m.decodeConfig(binary.BigEndian.AppendUint64(nil, 1))
	require.NoError(t, err)
	return m
}

// TestSlowPeerDelaysConfiguration guards against a fetch from a daemon that does not answer, during which no other daemon is asked.
func TestSlowPeerDelaysConfiguration(t *testing.T) {
	const limit = 600 * time.Millisecond
	for _, row := range []struct {
		name   string
		stalls func(*peerpb.Call) bool
	}{
		{"no answer to a fetch of the directory", func(call *peerpb.Call) bool { return call.GetSnapshot() != nil }},
		{"no answer to a fetch of the configuration", func(call *peerpb.Call) bool { return call.GetFetchConfig() != nil }},
		{"no answer at all", func(*peerpb.Call) bool { return true }},
	} {
		t.Run(row.name, func(t *testing.T) {
			m := newConfiguredMesh(t)
			slow := &configPeer{stalls: row.stalls, called: make(chan struct{}, 1), released: make(chan struct{})}
			slowAddr, otherAddr := listenAs(t, slow), listenAs(t, &configPeer{})
			t.Cleanup(func() { close(slow.released) })
			m.handleHeartbeat(&peerpb.Heartbeat{From: slowAddr.String(), DirectoryEnd: m.dir.Version() + 1, ConfigVersion: 2})
			<-slow.called
			start := time.Now()
			for m.Table().Version != 2 && time.Since(start) < limit {
				m.handleHeartbeat(&peerpb.Heartbeat{From: otherAddr.String(), ConfigVersion: 2})
				time.Sleep(10 * time.Millisecond)
			}
			require.EqualValues(t, 2, m.Table().Version, "after %v", limit)
		})
	}
}

// TestFetchedConfigurationIsDecodedAgain guards against a daemon that spends its processor time on documents which it has applied meanwhile.
func TestFetchedConfigurationIsDecodedAgain(t *testing.T) {
	m := newConfiguredMesh(t)
	decode, decoded := m.decodeConfig, 0
	m.decodeConfig = func(document []byte) (*routing.Table, error) { decoded++; return decode(document) }
	slow := &configPeer{stalls: func(*peerpb.Call) bool { return true }, called: make(chan struct{}, 1), released: make(chan struct{})}
	addr := listenAs(t, slow)
	m.handleHeartbeat(&peerpb.Heartbeat{From: addr.String(), ConfigVersion: 2})
	<-slow.called
	document := binary.BigEndian.AppendUint64(nil, 2)
	table, err := decode(document)
	require.NoError(t, err)
	m.Configure(table, document)
	close(slow.released)
	require.Eventually(t, func() bool {
		m.mu.Lock()
		defer m.mu.Unlock()
		return len(m.configFetches.from) == 0
	}, time.Second, time.Millisecond)
	require.Zero(t, decoded)
}
