// Package meter counts the bytes that connections receive and send, and records
// when a connection last received any. A Maximum keeps the longest of recorded durations.
//
// # Usage
//
//	var traffic meter.Traffic
//	conn = meter.NewConn(conn, &traffic)
//	fmt.Println(traffic.Sent.Load())
package meter

import (
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
)

// Traffic counts bytes of payload, without the headers of TCP and IP. Several
// connections may share one Traffic.
type Traffic struct {
	Received atomic.Int64
	Sent     atomic.Int64
}

// Conn is a connection whose bytes are counted in a Traffic.
type Conn struct {
	net.Conn
	// lastReadAt is when the last Read returned, in nanoseconds since the Unix epoch
	// on the clock of package time. It is when the Conn was created if there was no
	// Read.
	lastReadAt atomic.Int64
	traffic    *Traffic
}

// NewConn returns a Conn that counts the bytes of conn in traffic.
func NewConn(conn net.Conn, traffic *Traffic) *Conn {
	c := &Conn{Conn: conn, traffic: traffic}
	c.lastReadAt.Store(time.Now().UnixNano())
	return c
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.lastReadAt.Store(time.Now().UnixNano())
	c.traffic.Received.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.traffic.Sent.Add(int64(n))
	return n, err
}

// CloseWrite ends the sending direction of the connection. It returns an error if the
// connection has no such operation, as those that are not TCP connections.
func (c *Conn) CloseWrite() error {
	conn, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok {
		return eris.Errorf("connection of type %T has no CloseWrite", c.Conn)
	}
	return conn.CloseWrite()
}

// SyscallConn implements syscall.Conn. It returns an error if the connection does not.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	conn, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, eris.Errorf("connection of type %T has no file descriptor", c.Conn)
	}
	return conn.SyscallConn()
}

// SinceLastRead returns the time since the last Read returned, that is, since
// data was last received on a working connection. If there was no Read, it is
// the time since the Conn was created.
func (c *Conn) SinceLastRead() time.Duration {
	return time.Since(time.Unix(0, c.lastReadAt.Load()))
}
