package peer

import (
	"sync"
	"time"

	"github.com/hashicorp/yamux"
)

// streamReads are the reads in progress from the streams of a session. When the session
// ends, a read of yamux polls, and occupies a processor, until yamux has closed the stream.
// That waits for the connection to close, and for goroutines that need the processor.
// A read with a deadline that has passed does not poll; it still returns data that has
// arrived.
type streamReads struct {
	mu      sync.Mutex
	ended   bool
	streams map[*yamux.Stream]struct{}
}

// begin records that a read from raw begins.
func (r *streamReads) begin(raw *yamux.Stream) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ended {
		endRead(raw)
		return
	}
	if r.streams == nil {
		r.streams = map[*yamux.Stream]struct{}{}
	}
	r.streams[raw] = struct{}{}
}

// end records that a read from raw has ended.
func (r *streamReads) end(raw *yamux.Stream) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.streams, raw)
}

// endAll ends the reads in progress, and those that begin later.
func (r *streamReads) endAll() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ended = true
	for raw := range r.streams {
		endRead(raw)
	}
}

// endRead ends a read from raw that waits for data.
func endRead(raw *yamux.Stream) { _ = raw.SetReadDeadline(time.Unix(1, 0)) }

// streamReader reads from a stream of the session on conn.
type streamReader struct {
	raw  *yamux.Stream
	conn *batchConn
}

// Read implements io.Reader.
func (r *streamReader) Read(p []byte) (int, error) {
	r.conn.reads.begin(r.raw)
	defer r.conn.reads.end(r.raw)
	return r.raw.Read(p)
}
