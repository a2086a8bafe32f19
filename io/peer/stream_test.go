package peer

import (
	"net"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/stretchr/testify/require"

	"siskinknot/io/meter"
	"siskinknot/io/peer/peerpb"
)

// slowCloseConn is a connection that takes a while to close.
type slowCloseConn struct {
	net.Conn
	closeTime time.Duration
}

// Close implements net.Conn.
func (c slowCloseConn) Close() error {
	time.Sleep(c.closeTime)
	return c.Conn.Close()
}

// processorTime returns the processor time that this process has used.
func processorTime(t *testing.T) time.Duration {
	t.Helper()
	var usage syscall.Rusage
	require.NoError(t, syscall.Getrusage(syscall.RUSAGE_SELF, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// TestReadersPollWhileTheirSessionEnds guards against waiting reads that occupy the processor until their session has ended.
func TestReadersPollWhileTheirSessionEnds(t *testing.T) {
	const streams, closeTime = 4, 200 * time.Millisecond
	for _, row := range []struct {
		name string
		end  func(local, remote *yamux.Session)
	}{
		{"closed here", func(local, _ *yamux.Session) { _ = local.Close() }},
		{"closed by the peer", func(_, remote *yamux.Session) { _ = remote.Close() }},
	} {
		t.Run(row.name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			defer func() { _ = listener.Close() }()
			conn, err := net.Dial("tcp", listener.Addr().String())
			require.NoError(t, err)
			accepted, err := listener.Accept()
			require.NoError(t, err)
			remote, err := yamux.Server(accepted, yamuxConfig())
			require.NoError(t, err)
			batched := newBatchConn(meter.NewConn(slowCloseConn{conn, closeTime}, &meter.Traffic{}))
			local, err := yamux.Client(batched, yamuxConfig())
			require.NoError(t, err)
			var readers sync.WaitGroup
			for range streams {
				raw, err := local.OpenStream()
				require.NoError(t, err)
				stream := newStream(raw, batched)
				require.NoError(t, stream.Write(&peerpb.Call{}))
				readers.Go(func() { _ = stream.Read(&peerpb.Call{}) })
			}
			time.Sleep(closeTime / 4) // until all wait
			before := processorTime(t)
			row.end(local, remote)
			readers.Wait()
			<-local.CloseChan()
			time.Sleep(closeTime)
			require.Less(t, processorTime(t)-before, closeTime/4)
		})
	}
}
