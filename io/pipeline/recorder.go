package pipeline

import (
	"context"
	"maps"
	"net/http"
	"sync"
)

// recorder is the response writer of a request that was started early. It keeps the
// response until copyTo is called, and passes what follows on.
type recorder struct {
	ctx    context.Context
	header http.Header

	mu      sync.Mutex
	changed *sync.Cond
	// status is 0 until the head of the response is complete; sent is the header at
	// that time.
	status int
	sent   http.Header
	body   []byte
	// to receives the rest of the response; nil until the recorded part was copied.
	to http.ResponseWriter
	// done is set when the handler has returned, and aborted if the response is not
	// complete: the handler panicked with http.ErrAbortHandler, or a write failed.
	done, aborted bool
}

// newRecorder returns a recorder for a request with context ctx.
func newRecorder(ctx context.Context) *recorder {
	r := &recorder{ctx: ctx, header: http.Header{}}
	r.changed = sync.NewCond(&r.mu)
	return r
}

// record runs a request with handler.
func (r *recorder) record(handler http.Handler, req *http.Request) {
	defer context.AfterFunc(r.ctx, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.changed.Broadcast()
	})()
	defer func() {
		cause := recover()
		r.mu.Lock()
		r.done, r.aborted = true, r.aborted || cause != nil
		r.complete(http.StatusOK)
		r.changed.Broadcast()
		r.mu.Unlock()
		if cause != nil && cause != http.ErrAbortHandler { //nolint:errorlint // net/http compares it like this as well
			panic(cause)
		}
	}()
	handler.ServeHTTP(r, req)
}

// Header implements http.ResponseWriter.
func (r *recorder) Header() http.Header { return r.header }

// WriteHeader implements http.ResponseWriter.
func (r *recorder) WriteHeader(status int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.complete(status)
}

// complete records the head of the response, unless it is complete already. The caller
// holds the mutex.
func (r *recorder) complete(status int) {
	if r.status != 0 {
		return
	}
	r.status, r.sent = status, maps.Clone(r.header)
	r.changed.Broadcast()
}

// Write implements http.ResponseWriter. It waits while the recorded part of the body is
// at its limit.
func (r *recorder) Write(data []byte) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.complete(http.StatusOK)
	for r.to == nil && len(r.body)+len(data) > maxRecordedBytes && r.ctx.Err() == nil {
		r.changed.Wait()
	}
	switch {
	case r.to != nil:
		return r.to.Write(data)
	case r.ctx.Err() != nil:
		r.aborted = true // what is recorded must not pass for the complete response
		return 0, r.ctx.Err()
	default:
		r.body = append(r.body, data...)
		return len(data), nil
	}
}

// Flush implements http.Flusher.
func (r *recorder) Flush() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.to != nil {
		_ = http.NewResponseController(r.to).Flush()
	}
}

// copyTo writes the response to w, and returns when the response is complete. It
// panics with http.ErrAbortHandler if the handler did.
func (r *recorder) copyTo(w http.ResponseWriter) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for r.status == 0 {
		r.changed.Wait()
	}
	if r.aborted && len(r.body) == 0 {
		panic(http.ErrAbortHandler)
	}
	maps.Copy(w.Header(), r.sent)
	w.WriteHeader(r.status)
	_, _ = w.Write(r.body) // the handler learns of an error from its own next write
	r.body, r.to = nil, w
	r.changed.Broadcast()
	for !r.done {
		r.changed.Wait()
	}
	if r.aborted {
		panic(http.ErrAbortHandler)
	}
}
