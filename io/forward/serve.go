package forward

import (
	"context"
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

// Exchange provides the body of a request and receives its answer at the daemon
// that runs the request.
type Exchange interface {
	Sink
	// Body returns a reader of the body. For a body that is not inline it first
	// admits the request, that is, asks the ingress daemon to send the body; the
	// error is set if that fails.
	Body() (io.Reader, error)
}

// Run runs a request at the owner and returns its outcome. It writes the answer,
// if there is one, to ex.
type Run func(ctx context.Context, head *request.Head, ex Exchange) outcome.Result

// Serve runs a forwarded request with run and sends the answer and the outcome to
// the ingress daemon. A request that is invalid, or whose deadline has passed, is not run.
func Serve(ctx context.Context, in *peer.Incoming, run Run) {
	ex := &streamExchange{in: in}
	head := requestHead(in.ReceivedAt, in.Forward)
	if err := head.Validate(); err != nil {
		ex.end(outcome.NotRun{Reason: outcome.Malformed})
		return
	}
	left := head.Deadline.Sub(boottime.Now())
	if left <= 0 {
		ex.end(outcome.NotRun{Reason: outcome.DeadlinePast})
		return
	}
	ctx, cancel := context.WithTimeout(ctx, left)
	defer cancel()
	ctx = otel.GetTextMapPropagator().Extract(ctx, propagation.MapCarrier{"traceparent": in.Forward.Traceparent})
	ex.end(run(ctx, head, ex))
}

// requestHead converts a Forward message that was received at receivedAt to the head of a
// request.
func requestHead(receivedAt time.Time, fwd *peerpb.Forward) *request.Head {
	return &request.Head{
		Service:       fwd.Service,
		Key:           fwd.Key,
		ID:            fwd.Id,
		Caller:        fwd.Caller,
		Class:         request.Class(min(fwd.Class, uint32(request.NumClasses))),
		Idempotent:    fwd.Idempotent,
		Deadline:      receivedAt.Add(time.Duration(fwd.TimeoutUs) * time.Microsecond),
		Method:        fwd.Method,
		Path:          fwd.Path,
		Header:        fromHeaders(fwd.Headers),
		ContentLength: fwd.ContentLength,
		Route:         fwd.Route,
		Priority:      int(fwd.Priority),
		Objective:     receivedAt.Add(time.Duration(fwd.ObjectiveUs) * time.Microsecond),
		Target:        fromNotice(fwd.Target),
		Call:          fwd.Call,
		ParentRoute:   fwd.ParentRoute,
	}
}

// streamExchange sends an answer to the ingress daemon. It buffers a small answer
// and sends it together with its End in one message.
type streamExchange struct {
	in *peer.Incoming
	// pending is the buffered start of the answer, or nil.
	pending *peerpb.Part
	// notice is what the answer states about the target, or nil.
	notice *request.TargetNotice
	// load is the load to send with the end, or nil.
	load *peerpb.TargetLoad
}

// Body implements Exchange.
func (e *streamExchange) Body() (io.Reader, error) {
	if e.in.Forward.Inline {
		return &bytesReader{data: e.in.Forward.Body}, nil
	}
	return e.in.Body(), e.in.Write(&peerpb.Part{Admitted: true})
}

// Notice implements NoticeSink.
func (e *streamExchange) Notice(notice *request.TargetNotice) { e.notice = notice }

// Load implements LoadSink.
func (e *streamExchange) Load(load *peerpb.TargetLoad) { e.load = load }

// Head implements Sink.
func (e *streamExchange) Head(status int, header http.Header, contentLength int64) error {
	e.pending = &peerpb.Part{Head: &peerpb.AnswerHead{
		Status:        uint32(status),
		Headers:       toHeaders(header),
		ContentLength: contentLength,
		Target:        toNotice(e.notice),
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
	return e.in.Write(&peerpb.Part{Data: data})
}

// flush sends the buffered part.
func (e *streamExchange) flush() error {
	if e.pending == nil {
		return nil
	}
	part := e.pending
	e.pending = nil
	return e.in.Write(part)
}

// end sends the outcome, together with the buffered part.
func (e *streamExchange) end(res outcome.Result) {
	part := e.pending
	if _, answered := res.(outcome.Answered); part == nil || !answered {
		// The buffered start of an incomplete answer is of no use to the caller.
		part = &peerpb.Part{}
	}
	part.Last = true
	part.End = toEnd(res)
	part.End.Load = e.load
	_ = e.in.Write(part)
}
