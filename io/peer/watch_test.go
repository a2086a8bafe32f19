package peer

import (
	"context"
	"encoding/binary"
	"io"
	"net"
	"testing"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/stretchr/testify/require"

	"siskinknot/io/meter"
)

// TestFullLinkClosesSession checks that a session whose pings are not answered stays open
// while other data comes, and is closed once nothing comes any more.
func TestFullLinkClosesSession(t *testing.T) {
	const every = 20 * time.Millisecond
	near, far := net.Pipe()
	defer func() { _ = far.Close() }()
	go func() { _, _ = io.Copy(io.Discard, far) }()
	stop := make(chan struct{})
	go func() {
		frame := make([]byte, 12) // version 0, the type ping, the flag SYN, stream 0, a number
		frame[1] = 2
		binary.BigEndian.PutUint16(frame[2:], 1)
		for {
			select {
			case <-stop:
				return
			case <-time.After(every):
				_, _ = far.Write(frame)
			}
		}
	}()
	conn := meter.NewConn(near, &meter.Traffic{})
	mux, err := yamux.Client(conn, yamuxConfig())
	require.NoError(t, err)
	defer func() { _ = mux.Close() }()
	w := newWatch(mux, conn, func() int { return 1 }, time.Millisecond)
	w.ping()
	time.Sleep(2 * pingTimeout)
	require.False(t, mux.IsClosed())
	require.True(t, w.notSilent(context.Background()))
	close(stop)
	time.Sleep(2 * every)
	w.ping()
	select {
	case <-mux.CloseChan():
	case <-time.After(2 * pingTimeout):
		t.Fatal("the session is open although nothing comes")
	}
}
