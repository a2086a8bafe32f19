// Package forward carries a request from the daemon that a caller chose, the
// entry, to the daemon of the key's owner, and the answer back, over the inner
// protocol.
//
// A body of up to peer.InlineBytes travels within the Forward message. A larger
// one, or one of unknown length, is sent only after the owner has admitted the
// request, so that a request which is refused before can be sent elsewhere.
// Neither side holds more than a few pieces of a larger body. The answer ends
// with an End that names the outcome; a stream that ends without one leaves the
// outcome unknown.
//
// # Usage
//
//	result := forward.Send(ctx, pool, addr, head, body, sink)   // at the entry
//	forward.Serve(ctx, incoming, run)                           // at the owner
package forward

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/netip"
	"time"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/propagation"

	"siskinknot/core/outcome"
	"siskinknot/core/request"
	"siskinknot/io/boottime"
	"siskinknot/io/peer"
	"siskinknot/io/peer/peerpb"
)

// Body is the body of a request at the entry.
type Body struct {
	// Inline is the whole body if IsInline is set.
	Inline   []byte
	IsInline bool
	// Stream is the body otherwise.
	Stream io.Reader
	// Abort ends a Read of Stream that is under way.
	Abort func()
	// Taken is set once reading of Stream began: the request can no longer be
	// sent to another owner.
	Taken bool
}

// Reader returns the body's reader.
func (b *Body) Reader() io.Reader {
	if b.IsInline {
		return &bytesReader{data: b.Inline}
	}
	b.Taken = true
	return b.Stream
}

// bytesReader reads data.
type bytesReader struct{ data []byte }

// Read implements io.Reader.
func (r *bytesReader) Read(p []byte) (int, error) {
	if len(r.data) == 0 {
		return 0, io.EOF
	}
	n := copy(p, r.data)
	r.data = r.data[n:]
	return n, nil
}

// Sink receives an answer at the entry.
type Sink interface {
	Head(status int, header http.Header, contentLength int64) error
	Write(data []byte) error
}

// purposeOf returns the kind of session for a class.
func purposeOf(class request.Class) peer.Purpose {
	if class == request.Bulk {
		return peer.Bulk
	}
	return peer.Requests
}

// Send forwards a request to the daemon at addr and passes its answer to sink.
func Send(ctx context.Context, pool *peer.Pool, addr netip.AddrPort, head *request.Head, body *Body, sink Sink) outcome.Result {
	stream, err := pool.Open(ctx, addr, purposeOf(head.Class))
	if err != nil {
		if ctx.Err() != nil {
			return outcome.NotRun{Reason: outcome.DeadlinePast}
		}
		return outcome.NotRun{Reason: outcome.Unreachable}
	}
	stop := context.AfterFunc(ctx, func() { _ = stream.SetDeadline(time.Unix(1, 0)) })
	res, clean := exchange(ctx, stream, head, body, sink)
	if stop() && clean {
		stream.Done()
	} else {
		_ = stream.Close()
	}
	return res
}

// exchange sends a request and receives its answer. It reports whether the
// stream is clean: nothing of the call can follow on it.
func exchange(ctx context.Context, stream *peer.Stream, head *request.Head, body *Body, sink Sink) (outcome.Result, bool) {
	if err := stream.Write(&peerpb.Call{Kind: &peerpb.Call_Forward{Forward: message(ctx, head, body)}}); err != nil {
		return outcome.Unknown{Reason: outcome.ConnectionCut}, false
	}
	var sent chan bool
	var part peerpb.Part
	for {
		part.Reset()
		if err := stream.Read(&part); err != nil {
			stopBody(stream, body, sent)
			return cut(ctx), false
		}
		if part.Admitted && !body.IsInline {
			sent = make(chan bool, 1)
			go func() { sent <- sendBody(stream, body.Stream) }()
			body.Taken = true
		}
		if err := deliver(&part, sink); err != nil {
			stopBody(stream, body, sent)
			return outcome.Unknown{Reason: outcome.Cancelled}, false
		}
		if part.Last {
			return fromEnd(part.End), body.IsInline || stopBody(stream, body, sent)
		}
	}
}

// message returns the Forward of a request.
func message(ctx context.Context, head *request.Head, body *Body) *peerpb.Forward {
	fwd := &peerpb.Forward{
		Service:       head.Service,
		Key:           head.Key,
		Id:            head.ID,
		Caller:        head.Caller,
		Class:         uint32(head.Class),
		Idempotent:    head.Idempotent,
		TimeoutUs:     head.Deadline.Sub(boottime.Now()).Microseconds(),
		Method:        head.Method,
		Path:          head.Path,
		Headers:       toHeaders(head.Header),
		ContentLength: head.ContentLength,
		Inline:        body.IsInline,
		Body:          body.Inline,
		Route:         head.Route,
		Priority:      uint32(max(head.Priority, 0)),
		ObjectiveUs:   head.Objective.Sub(boottime.Now()).Microseconds(),
	}
	carrier := propagation.MapCarrier{}
	otel.GetTextMapPropagator().Inject(ctx, carrier)
	fwd.Traceparent = carrier["traceparent"]
	return fwd
}

// stopBody ends the sending of the body, if the answer came before its end, and
// reports whether all of it had been sent. sent is nil if sending never began.
func stopBody(stream *peer.Stream, body *Body, sent <-chan bool) bool {
	if sent == nil {
		return false
	}
	select {
	case whole := <-sent:
		return whole
	default:
	}
	_ = stream.SetDeadline(time.Unix(1, 0))
	body.Abort()
	<-sent
	return false
}

// cut returns the result of a stream that ended without an End.
func cut(ctx context.Context) outcome.Result {
	if ctx.Err() == context.DeadlineExceeded {
		return outcome.Unknown{Reason: outcome.TimedOut}
	}
	if ctx.Err() != nil {
		return outcome.Unknown{Reason: outcome.Cancelled}
	}
	return outcome.Unknown{Reason: outcome.ConnectionCut}
}

// deliver passes a part to sink.
func deliver(part *peerpb.Part, sink Sink) error {
	if h := part.Head; h != nil {
		if err := sink.Head(int(h.Status), fromHeaders(h.Headers), h.ContentLength); err != nil {
			return err
		}
	}
	if len(part.Data) > 0 {
		return sink.Write(part.Data)
	}
	return nil
}

// sendBody sends the body in pieces and reports whether all of it was sent. If it
// breaks off, the stream is closed without a last part, which tells the owner
// that the caller is gone.
func sendBody(stream *peer.Stream, body io.Reader) bool {
	buf := make([]byte, peer.PartBytes)
	for {
		n, err := body.Read(buf)
		if n > 0 {
			if werr := stream.Write(partOf(&peerpb.Part{Data: buf[:n]})); werr != nil {
				return false
			}
		}
		if errors.Is(err, io.EOF) {
			return stream.Write(partOf(&peerpb.Part{Last: true})) == nil
		}
		if err != nil {
			_ = stream.Close()
			return false
		}
	}
}

// partOf returns the message that carries a part of a body.
func partOf(part *peerpb.Part) *peerpb.Call {
	return &peerpb.Call{Kind: &peerpb.Call_Part{Part: part}}
}

// toHeaders returns h in the form of the protocol.
func toHeaders(h http.Header) []*peerpb.Header {
	list := make([]*peerpb.Header, 0, len(h))
	for name, values := range h {
		for _, value := range values {
			list = append(list, &peerpb.Header{Name: name, Value: value})
		}
	}
	return list
}

// fromHeaders returns the headers of a message.
func fromHeaders(list []*peerpb.Header) http.Header {
	h := make(http.Header, len(list)+8)
	for _, e := range list {
		h[e.Name] = append(h[e.Name], e.Value)
	}
	return h
}

// fromEnd returns the result that an End names.
func fromEnd(end *peerpb.End) outcome.Result {
	switch end.GetOutcome() {
	case peerpb.End_OUTCOME_ANSWERED:
		return outcome.Answered{}
	case peerpb.End_OUTCOME_NOT_RUN:
		return outcome.NotRun{
			Reason:     outcome.Reason(end.Reason),
			RetryAfter: time.Duration(end.RetryAfterMs) * time.Millisecond,
			Offset:     end.Offset,
		}
	default:
		return outcome.Unknown{Reason: outcome.Reason(end.GetReason())}
	}
}

// toEnd returns the End that names res.
func toEnd(res outcome.Result) *peerpb.End {
	switch res := res.(type) {
	case outcome.Answered:
		return &peerpb.End{Outcome: peerpb.End_OUTCOME_ANSWERED}
	case outcome.NotRun:
		return &peerpb.End{
			Outcome:      peerpb.End_OUTCOME_NOT_RUN,
			Reason:       string(res.Reason),
			RetryAfterMs: res.RetryAfter.Milliseconds(),
			Offset:       res.Offset,
		}
	case outcome.Unknown:
		return &peerpb.End{Outcome: peerpb.End_OUTCOME_UNKNOWN, Reason: string(res.Reason)}
	default:
		panic("unexpected outcome.Result")
	}
}
