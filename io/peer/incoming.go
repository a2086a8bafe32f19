package peer

import (
	"context"
	"errors"
	"io"
	"time"

	"siskinknot/io/peer/peerpb"
)

// Errors that reading the body of an Incoming may return.
var (
	errAnswered  = errors.New("request was already answered")
	errTruncated = errors.New("stream ended before the end of the body")
)

// Incoming is a forwarded request at the daemon that serves it.
type Incoming struct {
	// Forward is the request.
	Forward *peerpb.Forward
	// ReceivedAt is when the request was read from its stream, on CLOCK_BOOTTIME.
	ReceivedAt time.Time
	ctx        context.Context
	cancel     context.CancelFunc
	stream     *Stream
	// bodyReader and bodyWriter are the two ends of a pipe for a body that is not
	// inline; they are nil for an inline body.
	bodyReader *io.PipeReader
	bodyWriter *io.PipeWriter
}

func newIncoming(now time.Time, fwd *peerpb.Forward, stream *Stream) *Incoming {
	in := &Incoming{Forward: fwd, ReceivedAt: now, stream: stream}
	in.ctx, in.cancel = context.WithCancel(context.Background())
	if !fwd.Inline {
		in.bodyReader, in.bodyWriter = io.Pipe()
	}
	return in
}

// Body returns a reader of a body that is not inline. Data arrives only after a
// Part with Admitted has been written.
func (in *Incoming) Body() io.Reader { return in.bodyReader }

// Write sends a part of the answer, or the admission of the request. It returns an
// error if the stream is closed or its deadline has passed.
func (in *Incoming) Write(part *peerpb.Part) error { return in.stream.Write(part) }

// receiveBody adds a part to the body. It blocks until the part has been read or
// the request has ended.
func (in *Incoming) receiveBody(part *peerpb.Part) {
	if in == nil || in.bodyWriter == nil {
		return
	}
	if len(part.Data) > 0 {
		// Once the request is answered the pipe is closed, and the rest of the body
		// is discarded.
		_, _ = in.bodyWriter.Write(part.Data)
	}
	if part.Last {
		_ = in.bodyWriter.Close()
	}
}

// cancelRequest cancels a request whose stream has ended. in may be nil.
func (in *Incoming) cancelRequest() {
	if in == nil {
		return
	}
	in.cancel()
	if in.bodyWriter != nil {
		_ = in.bodyWriter.CloseWithError(errTruncated)
	}
}

// finish releases the resources of a request that was served.
func (in *Incoming) finish() {
	in.cancel()
	if in.bodyReader != nil {
		_ = in.bodyReader.CloseWithError(errAnswered)
	}
}
