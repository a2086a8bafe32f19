package forward

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/propagation"

	"siskinknot/core/outcome"
	"siskinknot/core/request"
	"siskinknot/io/boottime"
	"siskinknot/io/peer"
	"siskinknot/io/peer/peerpb"
)

// Exchange is the owner's side of a forwarded request, as a runner needs it.
type Exchange interface {
	Sink
	Body() (io.Reader, error)
}

// Run runs a request at the owner.
type Run func(ctx context.Context, head *request.Head, ex Exchange) outcome.Result

// Serve runs a forwarded request and ends its stream.
func Serve(ctx context.Context, fwd *peerpb.Forward, stream *peer.Stream, run Run) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(fwd.TimeoutUs)*time.Microsecond)
	defer cancel()
	ctx = otel.GetTextMapPropagator().Extract(ctx, propagation.MapCarrier{"traceparent": fwd.Traceparent})
	ex := &streamExchange{stream: stream, fwd: fwd}
	head := headOf(fwd)
	if err := head.Check(); err != nil {
		ex.end(outcome.NotRun{Reason: outcome.Malformed})
		return
	}
	reader, pipe := io.Pipe()
	ex.body = reader
	gone := make(chan struct{})
	go func() {
		defer close(gone)
		readParts(stream, pipe)
		cancel()
	}()
	ex.end(run(ctx, head, ex))
	_ = reader.CloseWithError(errAnswered)
	_ = stream.Close()
	_ = stream.SetReadDeadline(time.Now().Add(lingerTimeout))
	<-gone
}

// lingerTimeout is how long an owner waits for the entry to close its side.
const lingerTimeout = time.Second

var (
	errAnswered = errors.New("the request was answered")
	errCutOff   = errors.New("the body was cut off")
)

// readParts feeds the parts of the body to pipe, and returns once the entry has
// closed its side.
func readParts(stream *peer.Stream, pipe *io.PipeWriter) {
	var part peerpb.Part
	for {
		part.Reset()
		if err := stream.Read(&part); err != nil {
			_ = pipe.CloseWithError(errCutOff)
			return
		}
		if len(part.Data) > 0 {
			// After the answer the pipe is closed, and the rest is discarded.
			_, _ = pipe.Write(part.Data)
		}
		if part.Last {
			_ = pipe.Close()
		}
	}
}

// headOf returns the request that fwd describes.
func headOf(fwd *peerpb.Forward) *request.Head {
	return &request.Head{
		Service:       fwd.Service,
		Key:           fwd.Key,
		ID:            fwd.Id,
		Caller:        fwd.Caller,
		Class:         request.Class(min(fwd.Class, uint32(request.Classes))),
		Idempotent:    fwd.Idempotent,
		Deadline:      boottime.Now().Add(time.Duration(fwd.TimeoutUs) * time.Microsecond),
		Method:        fwd.Method,
		Path:          fwd.Path,
		Header:        fromHeaders(fwd.Headers),
		ContentLength: fwd.ContentLength,
	}
}

// streamExchange passes an answer to the entry. It holds back small answers, to
// send them with their end in one message.
type streamExchange struct {
	stream  *peer.Stream
	fwd     *peerpb.Forward
	body    io.Reader
	pending *peerpb.Part
}

// Body implements Exchange.
func (e *streamExchange) Body() (io.Reader, error) {
	if e.fwd.Inline {
		return &bytesReader{data: e.fwd.Body}, nil
	}
	return e.body, e.stream.Write(&peerpb.Part{Admitted: true})
}

// Head implements Sink.
func (e *streamExchange) Head(status int, header http.Header, contentLength int64) error {
	e.pending = &peerpb.Part{Head: &peerpb.AnswerHead{
		Status:        uint32(status),
		Headers:       toHeaders(header),
		ContentLength: contentLength,
	}}
	if contentLength < 0 {
		return e.flush()
	}
	return nil
}

// Write implements Sink.
func (e *streamExchange) Write(data []byte) error {
	if e.pending != nil && len(e.pending.Data)+len(data) <= peer.InlineBytes {
		e.pending.Data = append(e.pending.Data, data...)
		return nil
	}
	if err := e.flush(); err != nil {
		return err
	}
	return e.stream.Write(&peerpb.Part{Data: data})
}

// flush sends what is held back.
func (e *streamExchange) flush() error {
	if e.pending == nil {
		return nil
	}
	part := e.pending
	e.pending = nil
	return e.stream.Write(part)
}

// end sends the outcome, with what is held back.
func (e *streamExchange) end(res outcome.Result) {
	part := e.pending
	if part == nil {
		part = &peerpb.Part{}
	}
	part.Last = true
	part.End = toEnd(res)
	_ = e.stream.Write(part)
}
