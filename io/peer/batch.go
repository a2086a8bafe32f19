package peer

import (
	"net"
	"sync"
)

// maxBatchBytes is the most data that waits to be written to a connection.
const maxBatchBytes = 256 << 10

// batchConn writes in batches: yamux writes the header and the body of each
// frame on their own, and what several streams write at a time can go out in
// one system call. A write that fails is reported to the next one.
type batchConn struct {
	net.Conn

	mu      sync.Mutex
	cond    *sync.Cond
	pending []byte
	spare   []byte
	err     error
	closed  bool
}

// newBatchConn returns conn with batched writes. Its task ends with the
// connection.
func newBatchConn(conn net.Conn) *batchConn {
	c := &batchConn{Conn: conn}
	c.cond = sync.NewCond(&c.mu)
	go c.flush()
	return c
}

// Write implements net.Conn. It returns once the data is queued.
func (c *batchConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.pending) >= maxBatchBytes && c.err == nil && !c.closed {
		c.cond.Wait()
	}
	if c.closed {
		return 0, net.ErrClosed
	}
	if c.err != nil {
		return 0, c.err
	}
	c.pending = append(c.pending, p...)
	c.cond.Broadcast()
	return len(p), nil
}

// Close implements net.Conn.
func (c *batchConn) Close() error {
	c.mu.Lock()
	c.closed = true
	c.cond.Broadcast()
	c.mu.Unlock()
	return c.Conn.Close()
}

// flush is the task that writes what is queued.
func (c *batchConn) flush() {
	for {
		batch, ok := c.take()
		if !ok {
			return
		}
		_, err := c.Conn.Write(batch)
		c.mu.Lock()
		c.spare = batch[:0]
		if err != nil {
			c.err = err
		}
		c.cond.Broadcast()
		c.mu.Unlock()
		if err != nil {
			return
		}
	}
}

// take waits for data and returns it; false once the connection is closed.
func (c *batchConn) take() ([]byte, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.pending) == 0 && !c.closed {
		c.cond.Wait()
	}
	if c.closed {
		return nil, false
	}
	batch := c.pending
	c.pending = c.spare
	c.cond.Broadcast()
	return batch, true
}
