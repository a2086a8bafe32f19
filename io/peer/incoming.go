package peer

import (
	"context"
	"errors"
	"io"

	"siskinknot/io/peer/peerpb"
)

// Errors of reading the body of an Incoming.
var (
	errAnswered = errors.New("the request was answered")
	errCutOff   = errors.New("the body was cut off")
)

// Incoming is a forwarded request at the daemon that serves it.
type Incoming struct {
	// Forward is the request.
	Forward *peerpb.Forward
	ctx     context.Context
	cancel  context.CancelFunc
	stream  *Stream
	// body and parts are the ends of a pipe that carries a body which is not
	// inline.
	body  *io.PipeReader
	parts *io.PipeWriter
}

func newIncoming(fwd *peerpb.Forward, stream *Stream) *Incoming {
	in := &Incoming{Forward: fwd, stream: stream}
	in.ctx, in.cancel = context.WithCancel(context.Background())
	if !fwd.Inline {
		in.body, in.parts = io.Pipe()
	}
	return in
}

// Body returns the body of a request that is not inline. Data arrives once the
// other side has been told that the request is admitted.
func (in *Incoming) Body() io.Reader { return in.body }

// Write sends a part of the answer.
func (in *Incoming) Write(part *peerpb.Part) error { return in.stream.Write(part) }

// deliver passes on a part of the body.
func (in *Incoming) deliver(part *peerpb.Part) {
	if in == nil || in.parts == nil {
		return
	}
	if len(part.Data) > 0 {
		// After the answer the pipe is closed, and the rest is discarded.
		_, _ = in.parts.Write(part.Data)
	}
	if part.Last {
		_ = in.parts.Close()
	}
}

// abandon ends a request whose other side is gone.
func (in *Incoming) abandon() {
	if in == nil {
		return
	}
	in.cancel()
	if in.parts != nil {
		_ = in.parts.CloseWithError(errCutOff)
	}
}

// finish ends a request that was served.
func (in *Incoming) finish() {
	in.cancel()
	if in.body != nil {
		_ = in.body.CloseWithError(errAnswered)
	}
}
