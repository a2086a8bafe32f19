// Package forward sends a request from the daemon that the caller sent it to
// (the ingress daemon) to the daemon of the key's owner, and returns the answer,
// over the protocol between daemons.
//
// A body of up to peer.InlineBytes is part of the Forward message. A larger one,
// or one of unknown length, is sent only after the owner has admitted the
// request, so that a request which the owner rejects can still be sent to another
// daemon. Neither side buffers more than a few pieces of a larger body. The
// answer ends with an End message that gives the outcome; if the stream ends
// without one, the outcome is unknown.
//
// # Usage
//
//	result := forward.Send(ctx, pool, addr, head, body, sink)   // at the ingress daemon
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

// Body is the body of a request at the ingress daemon.
type Body struct {
	// Inline is the whole body if IsInline is set.
	Inline   []byte
	IsInline bool
	// Stream provides the body if IsInline is not set.
	Stream io.Reader
	// Abort makes a Read of Stream that is in progress return an error.
	Abort func()
	// Consumed is set when the first Read of Stream may have begun. The request can
	// then no longer be sent again, since part of its body may be gone.
	Consumed bool
}

// Reader returns a reader of the body. If the body is not inline, it sets Consumed.
func (b *Body) Reader() io.Reader {
	if b.IsInline {
		return &bytesReader{data: b.Inline}
	}
	b.Consumed = true
	return b.Stream
}

// bytesReader is an io.Reader of data.
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

// Sink receives the answer to a request: its head, then its body in pieces. Its
// methods return an error if the rest of the answer cannot be delivered.
type Sink interface {
	// Head begins the answer. contentLength is negative if the length is unknown.
	Head(status int, header http.Header, contentLength int64) error
	// Write adds data to the body of the answer.
	Write(data []byte) error
}

// NoticeSink is a Sink that also receives what the answer states about the target.
type NoticeSink interface {
	Sink
	// Notice receives the notice of the answer that the next call of Head begins.
	Notice(notice *request.TargetNotice)
}

// LoadSink is a Sink that also receives the load of the target beside the daemon that ends
// the request.
type LoadSink interface {
	Sink
	// Load receives the load that comes with the end of the request, whether it was
	// answered or not.
	Load(load *peerpb.TargetLoad)
}

// sessionPurpose returns the purpose of the sessions that carry requests of class.
func sessionPurpose(class request.Class) peer.Purpose {
	if class == request.Bulk {
		return peer.Bulk
	}
	return peer.Requests
}

// Send forwards a request to the daemon at addr and passes the answer to sink.
// The result is the one that the End of the answer gives. It is NotRun if no
// stream to the daemon could be opened, and Unknown if the stream or sink failed,
// or ctx ended, before the End arrived.
func Send(ctx context.Context, pool *peer.Pool, addr netip.AddrPort, head *request.Head, body *Body, sink Sink) outcome.Result {
	return SendWhileOwned(ctx, ctx, pool, addr, head, body, sink)
}

// SendWhileOwned is Send for a key that the daemon at addr may lose meanwhile. owned is
// derived from ctx and ends when that daemon has certainly lost the key. If nothing was sent
// by then, the result is NotRun with the reason NotOwner. If an idempotent request was sent
// and its answer has not begun, the result is Unknown with the reason ConnectionCut. Any
// other request goes on: that daemon may have run it, and may still answer.
func SendWhileOwned(ctx, owned context.Context, pool *peer.Pool, addr netip.AddrPort, head *request.Head, body *Body, sink Sink) outcome.Result {
	stream, err := pool.OpenStream(owned, addr, sessionPurpose(head.Class))
	now := boottime.Now()
	if res := unsentResult(ctx, owned, now, head); res != nil {
		if err == nil {
			stream.Done()
		}
		return res
	}
	if err != nil {
		return outcome.NotRun{Reason: outcome.Unreachable}
	}
	interrupt := func() { _ = stream.SetDeadline(time.Unix(1, 0)) }
	stop := context.AfterFunc(ctx, interrupt)
	loss := newLossWatch(owned, head, interrupt)
	res, reusable := exchange(ctx, now, stream, head, body, sink, loss)
	uninterrupted := loss.end()
	if stop() && uninterrupted && reusable {
		stream.Done()
	} else {
		_ = stream.Close()
	}
	return res
}

// unsentResult returns the result of a request that must not be sent at now, or nil: its caller
// has left, its deadline has passed, or the daemon that it would be sent to has lost its key.
func unsentResult(ctx, owned context.Context, now time.Time, head *request.Head) outcome.Result {
	switch {
	case ctx.Err() == context.Canceled:
		return outcome.NotRun{Reason: outcome.Cancelled}
	case ctx.Err() != nil || !now.Before(head.Deadline):
		return outcome.NotRun{Reason: outcome.DeadlinePast}
	case owned.Err() != nil:
		return outcome.NotRun{Reason: outcome.NotOwner}
	default:
		return nil
	}
}

// lossWatch interrupts an idempotent request when its key is lost, until its answer begins
// or its body is sent.
type lossWatch struct {
	stop func() bool
	// ended is set once the watch has ended, and lost if it interrupted the request.
	ended, lost bool
}

// newLossWatch returns the watch of a request with the given head, which calls interrupt
// when owned ends.
func newLossWatch(owned context.Context, head *request.Head, interrupt func()) *lossWatch {
	if !head.Idempotent {
		return &lossWatch{ended: true}
	}
	return &lossWatch{stop: context.AfterFunc(owned, interrupt)}
}

// end ends the watch, and reports whether it has not interrupted the request.
func (w *lossWatch) end() bool {
	if !w.ended {
		w.ended, w.lost = true, !w.stop()
	}
	return !w.lost
}

// exchange sends a request on stream at now and receives its answer. It ends loss when the
// answer begins or the body is sent. It reports whether the stream is reusable, that is,
// whether no more messages of this call can arrive on it or be sent on it.
func exchange(ctx context.Context, now time.Time, stream *peer.Stream, head *request.Head, body *Body, sink Sink, loss *lossWatch) (outcome.Result, bool) {
	if err := stream.Write(&peerpb.Call{Kind: &peerpb.Call_Forward{Forward: forwardMessage(ctx, now, head, body)}}); err != nil {
		return outcome.Unknown{Reason: outcome.ConnectionCut}, false
	}
	var sent chan bool
	var part peerpb.Part
	for {
		part.Reset()
		if err := stream.Read(&part); err != nil {
			stopBody(stream, body, sent)
			return cutOffResult(ctx), false
		}
		begins := part.Head != nil || (part.Admitted && !body.IsInline)
		if begins && !loss.end() && !part.Last {
			return cutOffResult(ctx), false // the rest of the answer would not be received
		}
		if part.Admitted && !body.IsInline {
			sent = make(chan bool, 1)
			go func() { sent <- sendBody(stream, body.Stream) }()
			body.Consumed = true
		}
		if err := writeToSink(&part, sink); err != nil {
			stopBody(stream, body, sent)
			return outcome.Unknown{Reason: outcome.Cancelled}, false
		}
		if part.Last {
			passLoad(part.End, sink)
			return fromEnd(part.End), body.IsInline || stopBody(stream, body, sent)
		}
	}
}

// forwardMessage returns the Forward message of a request that is sent at now.
func forwardMessage(ctx context.Context, now time.Time, head *request.Head, body *Body) *peerpb.Forward {
	fwd := &peerpb.Forward{
		Service:       head.Service,
		Key:           head.Key,
		Id:            head.ID,
		Caller:        head.Caller,
		Class:         uint32(head.Class),
		Idempotent:    head.Idempotent,
		TimeoutUs:     head.Deadline.Sub(now).Microseconds(),
		Method:        head.Method,
		Path:          head.Path,
		Headers:       toHeaders(head.Header),
		ContentLength: head.ContentLength,
		Inline:        body.IsInline,
		Body:          body.Inline,
		Route:         head.Route,
		Priority:      uint32(max(head.Priority, 0)),
		ObjectiveUs:   head.Objective.Sub(now).Microseconds(),
		Target:        toNotice(head.Target),
		Call:          head.Call,
		ParentRoute:   head.ParentRoute,
	}
	carrier := propagation.MapCarrier{}
	otel.GetTextMapPropagator().Inject(ctx, carrier)
	fwd.Traceparent = carrier["traceparent"]
	return fwd
}

// stopBody stops sending the body if the answer ended before the body did, and
// reports whether all of it had been sent. sent is nil if sending never began.
func stopBody(stream *peer.Stream, body *Body, sent <-chan bool) bool {
	if sent == nil {
		return false
	}
	select {
	case complete := <-sent:
		return complete
	default:
	}
	_ = stream.SetDeadline(time.Unix(1, 0))
	body.Abort()
	<-sent
	return false
}

// cutOffResult returns the result of a request whose stream ended without an End.
func cutOffResult(ctx context.Context) outcome.Result {
	if ctx.Err() == context.DeadlineExceeded {
		return outcome.Unknown{Reason: outcome.TimedOut}
	}
	if ctx.Err() != nil {
		return outcome.Unknown{Reason: outcome.Cancelled}
	}
	return outcome.Unknown{Reason: outcome.ConnectionCut}
}

// writeToSink passes the head and the data of part to sink.
func writeToSink(part *peerpb.Part, sink Sink) error {
	if h := part.Head; h != nil {
		if noticeSink, ok := sink.(NoticeSink); ok && h.Target != nil {
			noticeSink.Notice(fromNotice(h.Target))
		}
		if err := sink.Head(int(h.Status), fromHeaders(h.Headers), h.ContentLength); err != nil {
			return err
		}
	}
	if len(part.Data) > 0 {
		return sink.Write(part.Data)
	}
	return nil
}

// passLoad passes the load that comes with end, if any, to sink.
func passLoad(end *peerpb.End, sink Sink) {
	if loadSink, ok := sink.(LoadSink); ok && end.GetLoad() != nil {
		loadSink.Load(end.Load)
	}
}

// sendBody sends the body in pieces and reports whether all of it was sent. If
// reading the body fails, sendBody closes the stream without a last Part, which
// tells the owner that the caller is gone.
func sendBody(stream *peer.Stream, body io.Reader) bool {
	buf := make([]byte, peer.PartBytes)
	for {
		n, err := body.Read(buf)
		if n > 0 {
			if writeErr := stream.Write(partCall(&peerpb.Part{Data: buf[:n]})); writeErr != nil {
				return false
			}
		}
		if errors.Is(err, io.EOF) {
			return stream.Write(partCall(&peerpb.Part{Last: true})) == nil
		}
		if err != nil {
			_ = stream.Close()
			return false
		}
	}
}

// partCall returns the Call message that carries a part of a body.
func partCall(part *peerpb.Part) *peerpb.Call {
	return &peerpb.Call{Kind: &peerpb.Call_Part{Part: part}}
}

// toHeaders converts h to the protocol's list of headers.
func toHeaders(h http.Header) []*peerpb.Header {
	list := make([]*peerpb.Header, 0, len(h))
	for name, values := range h {
		for _, value := range values {
			list = append(list, &peerpb.Header{Name: name, Value: value})
		}
	}
	return list
}

// fromHeaders converts the protocol's list of headers to an http.Header.
func fromHeaders(list []*peerpb.Header) http.Header {
	h := make(http.Header, len(list)+8)
	for _, header := range list {
		h[header.Name] = append(h[header.Name], header.Value)
	}
	return h
}

// toNotice converts notice, which may be nil, to its message.
func toNotice(notice *request.TargetNotice) *peerpb.TargetNotice {
	if notice == nil {
		return nil
	}
	return &peerpb.TargetNotice{
		Instance:  notice.Instance,
		Limited:   notice.Limited,
		Limit:     notice.Limit,
		Leaving:   notice.Leaving,
		LeavingMs: notice.LeavingFor.Milliseconds(),
	}
}

// fromNotice converts msg, which may be nil, to a notice.
func fromNotice(msg *peerpb.TargetNotice) *request.TargetNotice {
	if msg == nil {
		return nil
	}
	return &request.TargetNotice{
		Instance:   msg.Instance,
		Limited:    msg.Limited,
		Limit:      msg.Limit,
		Leaving:    msg.Leaving,
		LeavingFor: time.Duration(msg.LeavingMs) * time.Millisecond,
	}
}

// fromEnd converts an End message to a result.
func fromEnd(end *peerpb.End) outcome.Result {
	switch end.GetOutcome() {
	case peerpb.End_OUTCOME_ANSWERED:
		return outcome.Answered{}
	case peerpb.End_OUTCOME_NOT_RUN:
		return outcome.NotRun{
			Reason:     outcome.Reason(end.Reason),
			RetryAfter: time.Duration(end.RetryAfterMs) * time.Millisecond,
			MinOffset:  end.Offset,
		}
	default:
		return outcome.Unknown{Reason: outcome.Reason(end.GetReason())}
	}
}

// toEnd converts res to an End message.
func toEnd(res outcome.Result) *peerpb.End {
	switch res := res.(type) {
	case outcome.Answered:
		return &peerpb.End{Outcome: peerpb.End_OUTCOME_ANSWERED}
	case outcome.NotRun:
		return &peerpb.End{
			Outcome:      peerpb.End_OUTCOME_NOT_RUN,
			Reason:       string(res.Reason),
			RetryAfterMs: res.RetryAfter.Milliseconds(),
			Offset:       res.MinOffset,
		}
	case outcome.Unknown:
		return &peerpb.End{Outcome: peerpb.End_OUTCOME_UNKNOWN, Reason: string(res.Reason)}
	default:
		panic("unexpected outcome.Result")
	}
}
