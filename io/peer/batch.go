package peer

import (
	"context"
	"net"
	"sync"

	"github.com/rotisserie/eris"

	"siskinknot/io/meter"
)

// maxBatchBytes is the amount of queued data, in bytes, from which on Write
// blocks.
const maxBatchBytes = 256 << 10

// batchConn is a connection that queues writes and sends the queued data in
// batches. yamux writes the header and the body of each frame separately, and
// several streams write concurrently: a batch takes one system call. If sending a
// batch fails, the next Write returns the error.
type batchConn struct {
	*meter.Conn

	mu   sync.Mutex
	cond *sync.Cond
	// pending is the queued data.
	pending []byte
	// writing is the size of the batch that is being sent, or whose sending failed, in
	// bytes.
	writing int
	// spare is the buffer of the previous batch, for reuse.
	spare  []byte
	err    error
	closed bool
	// writeClosed is set once CloseWrite has ended the sending direction.
	writeClosed bool

	reads streamReads
}

// newBatchConn returns conn with batched writes. It starts a goroutine, which
// ends when the connection is closed or a write fails.
func newBatchConn(conn *meter.Conn) *batchConn {
	c := &batchConn{Conn: conn}
	c.cond = sync.NewCond(&c.mu)
	go c.writeLoop()
	return c
}

// Write implements net.Conn. It returns as soon as the data is queued. After CloseWrite it
// discards the data: an error would make yamux close the connection.
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
	if c.writeClosed {
		return len(p), nil
	}
	c.pending = append(c.pending, p...)
	c.cond.Broadcast()
	return len(p), nil
}

// CloseWrite sends the queued data and then ends the sending direction of the connection.
// It returns an error if ctx ends before the data is sent, or the connection fails.
func (c *batchConn) CloseWrite(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.cond.Broadcast()
	})
	defer stop()
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.pending)+c.writing > 0 && c.err == nil && !c.closed && ctx.Err() == nil {
		c.cond.Wait()
	}
	switch {
	case c.closed:
		return net.ErrClosed
	case c.err != nil:
		return c.err
	case len(c.pending)+c.writing > 0:
		return eris.Wrap(ctx.Err(), "send queued data")
	}
	c.writeClosed = true
	return c.Conn.CloseWrite()
}

// Close implements net.Conn.
func (c *batchConn) Close() error {
	c.mu.Lock()
	c.closed = true
	c.cond.Broadcast()
	c.mu.Unlock()
	c.reads.endAll()
	return c.Conn.Close()
}

// writeLoop writes the queued data to the connection, batch by batch.
func (c *batchConn) writeLoop() {
	for {
		batch, ok := c.nextBatch()
		if !ok {
			return
		}
		_, err := c.Conn.Write(batch)
		c.mu.Lock()
		c.spare = batch[:0]
		if err != nil {
			c.err = err
		} else {
			c.writing = 0
		}
		c.cond.Broadcast()
		c.mu.Unlock()
		if err != nil {
			return
		}
	}
}

// nextBatch waits for data and returns all that is queued, or false if the
// connection is closed.
func (c *batchConn) nextBatch() ([]byte, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.pending) == 0 && !c.closed {
		c.cond.Wait()
	}
	if c.closed {
		return nil, false
	}
	batch := c.pending
	c.pending, c.writing = c.spare, len(batch)
	c.cond.Broadcast()
	return batch, true
}

// unsent returns how many bytes were written with Write and not sent.
func (c *batchConn) unsent() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.pending) + c.writing
}
