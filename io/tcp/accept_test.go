package tcp

import (
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// failingListener is a listener whose first calls of Accept return the given errors.
type failingListener struct {
	net.Listener
	errs []error
}

// Accept implements net.Listener.
func (l *failingListener) Accept() (net.Conn, error) {
	if len(l.errs) > 0 {
		err := l.errs[0]
		l.errs = l.errs[1:]
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: err}
	}
	return l.Listener.Accept()
}

// TestServerOutlivesFailedAccepts guards against an interface that stops while its process runs on: net/http stops to
// serve after an error of accept that it does not know to be temporary.
func TestServerOutlivesFailedAccepts(t *testing.T) {
	for _, err := range []error{
		syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM,
		syscall.EPROTO, syscall.EPERM, syscall.ENETDOWN, syscall.EHOSTUNREACH,
	} {
		t.Run(err.Error(), func(t *testing.T) {
			inner, listenErr := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, listenErr)
			failures := 0
			listener := RetryAccept(&failingListener{inner, []error{err, err}}, func(error) { failures++ })
			server := &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.NotFoundHandler()}
			served := make(chan error, 1)
			go func() { served <- server.Serve(listener) }()
			client := &http.Client{Timeout: 5 * time.Second}
			resp, getErr := client.Get("http://" + inner.Addr().String())
			require.NoError(t, getErr)
			require.NoError(t, resp.Body.Close())
			require.NoError(t, server.Close())
			require.ErrorIs(t, <-served, http.ErrServerClosed)
			require.Equal(t, 2, failures)
		})
	}
}

// TestAcceptLoad guards against a server that accepts no connections while its process answers elsewhere that all is
// well, and leaves no trace of it: ConnState runs in the goroutine that accepts.
func TestAcceptLoad(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	acceptor := RetryAccept(inner, func(error) {})
	proceed := make(chan struct{})
	server := &http.Server{
		ReadHeaderTimeout: time.Minute,
		Handler:           http.NotFoundHandler(),
		ConnState: func(_ net.Conn, state http.ConnState) {
			if state == http.StateNew {
				<-proceed
			}
		},
	}
	go func() { _ = server.Serve(acceptor) }()
	defer func() { _ = server.Close() }()
	require.Equal(t, AcceptLoad{}, acceptor.TakeLoad(time.Now()))
	for range 3 {
		conn, dialErr := net.Dial("tcp", inner.Addr().String())
		require.NoError(t, dialErr)
		defer func() { _ = conn.Close() }()
	}
	require.Eventually(t, func() bool { return acceptor.TakeLoad(time.Now()).Accepted == 1 }, 5*time.Second, time.Millisecond)
	time.Sleep(20 * time.Millisecond)
	held := acceptor.TakeLoad(time.Now())
	require.Equal(t, int64(1), held.Accepted)
	require.Equal(t, 2, held.Queued)
	require.GreaterOrEqual(t, held.LongestHold, 20*time.Millisecond)
	close(proceed)
	require.Eventually(t, func() bool { return acceptor.TakeLoad(time.Now()).Accepted == 3 }, 5*time.Second, time.Millisecond)
	require.Eventually(t, func() bool { return acceptor.TakeLoad(time.Now()).LongestHold == 0 }, 5*time.Second, time.Millisecond)
	require.Zero(t, acceptor.TakeLoad(time.Now()).Queued)
}

// TestQueueUnknown guards against a system that does not tell the queue of a listening socket: that is no error.
func TestQueueUnknown(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	acceptor := RetryAccept(&failingListener{Listener: inner}, func(error) {})
	require.Equal(t, -1, acceptor.TakeLoad(time.Now()).Queued)
	require.NoError(t, acceptor.Close())
	require.Equal(t, -1, RetryAccept(inner, nil).TakeLoad(time.Now()).Queued, "closed listener")
}
