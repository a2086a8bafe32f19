// Package meter counts the bytes of connections.
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
	"time"
)

// Traffic counts bytes of payload.
type Traffic struct {
	Received atomic.Int64
	Sent     atomic.Int64
}

// Conn is a connection whose bytes are counted.
type Conn struct {
	net.Conn
	// heardAt is when data was last received, on the clock of package time in
	// nanoseconds.
	heardAt atomic.Int64
	traffic *Traffic
}

// NewConn returns conn with its bytes counted in traffic.
func NewConn(conn net.Conn, traffic *Traffic) *Conn {
	c := &Conn{Conn: conn, traffic: traffic}
	c.heardAt.Store(time.Now().UnixNano())
	return c
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.heardAt.Store(time.Now().UnixNano())
	c.traffic.Received.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.traffic.Sent.Add(int64(n))
	return n, err
}

// QuietFor returns how long nothing has been received.
func (c *Conn) QuietFor() time.Duration {
	return time.Since(time.Unix(0, c.heardAt.Load()))
}
