package peer

import (
	"context"
	"encoding/binary"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/stretchr/testify/require"

	"siskinknot/io/meter"
)

// TestSaturatedLinkKeepsSession checks that a session whose pings are not answered
// stays open while other data is received, as on a saturated link, and is closed
// once nothing is received any more.
func TestSaturatedLinkKeepsSession(t *testing.T) {
	const interval = 20 * time.Millisecond
	local, remote := net.Pipe()
	defer func() { _ = remote.Close() }()
	go func() { _, _ = io.Copy(io.Discard, remote) }()
	stop := make(chan struct{})
	go func() {
		frame := make([]byte, 12) // yamux header: version 0, type ping, flag SYN, stream 0, ping number 0
		frame[1] = 2
		binary.BigEndian.PutUint16(frame[2:], 1)
		for {
			select {
			case <-stop:
				return
			case <-time.After(interval):
				_, _ = remote.Write(frame)
			}
		}
	}()
	conn := meter.NewConn(local, &meter.Traffic{})
	mux, err := yamux.Client(conn, yamuxConfig())
	require.NoError(t, err)
	defer func() { _ = mux.Close() }()
	m := newMonitor(mux, conn, func() int { return 1 }, time.Millisecond)
	m.ping()
	time.Sleep(2 * pingTimeout)
	require.False(t, mux.IsClosed())
	require.True(t, m.responsive(context.Background()))
	close(stop)
	time.Sleep(2 * interval)
	m.ping()
	select {
	case <-mux.CloseChan():
	case <-time.After(2 * pingTimeout):
		t.Fatal("session is still open although nothing is received")
	}
}

// lateConn is a connection whose reads wait for the mutex.
type lateConn struct {
	*net.TCPConn
	reading *sync.Mutex
}

// Read implements net.Conn.
func (c lateConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p[:min(len(p), 1)])
	c.reading.Lock()
	defer c.reading.Unlock()
	return n, err
}

// TestLateReaderLosesSession guards against a session that is closed, with its requests, since this process has not read
// the answer to a ping that has arrived.
func TestLateReaderLosesSession(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	go func() {
		if remote, acceptErr := listener.Accept(); acceptErr == nil {
			_, _ = yamux.Server(remote, yamuxConfig()) // answers pings
		}
	}()
	raw, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	var reading sync.Mutex
	conn := meter.NewConn(lateConn{raw.(*net.TCPConn), &reading}, &meter.Traffic{})
	mux, err := yamux.Client(conn, yamuxConfig())
	require.NoError(t, err)
	defer func() { _ = mux.Close() }()
	m := newMonitor(mux, conn, func() int { return 1 }, time.Millisecond)
	reading.Lock()
	defer reading.Unlock()
	m.ping()
	time.Sleep(2 * pingTimeout)
	require.False(t, mux.IsClosed())
	require.True(t, m.responsive(context.Background()))
	time.Sleep(maxReadDelay)
	m.ping()
	require.Eventually(t, mux.IsClosed, 2*pingTimeout, time.Millisecond, "nothing is read for too long")
}
