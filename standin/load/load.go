// Package load sends requests to a fleet and counts how they end.
//
// A Caller stands for one caller, such as a breeder or a clinic. It sends requests
// with the headers of the interface for callers and checks each answer against the
// request. A Generator sends requests at a given rate whether or not earlier ones
// have ended (an open loop), so that a stall adds to the latency of every request
// that was due during it. A Tally counts the results and their latencies. Gaps
// measures for how long keys are unavailable.
//
// # Usage
//
//	c := load.NewCaller("midland-roses")
//	res := c.Do(ctx, load.Request{Method: http.MethodGet, URL: url, Class: request.Lookup, ID: "1"})
//	if res.End != load.Answered { ... }
package load

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"siskinknot/core/request"
	"siskinknot/io/caller"
	"siskinknot/io/target"
	"siskinknot/standin/targetserver"
)

// End is how a request ended, as its caller sees it.
type End int

// How a request ends.
const (
	Answered    End = iota // the complete answer of the target was received
	NotRun                 // the request certainly did not run: the daemon says so, or no connection was made
	Unknown                // the request may have run, for example because the connection broke
	WrongAnswer            // an answer that was marked as complete has the wrong content
)

// String returns the name of e, as reports print it.
func (e End) String() string {
	return [...]string{"answered", "not run", "unknown", "wrong"}[e]
}

// Request describes a request of a Caller.
type Request struct {
	Method string
	URL    string
	ID     string
	Class  request.Class
	// Idempotent marks the request as one that may run more than once.
	Idempotent bool
	// Deadline is the time allowed for the answer; if 0, the deadline of the
	// settings applies.
	Deadline time.Duration
	Body     []byte
	// Chunked sends the body in chunks, without its length.
	Chunked bool
	// WantBytes is the expected length of an answer with the pattern of the target
	// stand-in; if 0, no such answer is expected.
	WantBytes int
}

// Result is the result of a request.
type Result struct {
	End End
	// Status is the HTTP status, or 0 without a response.
	Status int
	// Reason says why there is no answer: the error, or the reason that the daemon
	// gives.
	Reason string
	Body   []byte
	// Took is the time from the start of the request to the end of its answer,
	// including the delays of the Caller.
	Took time.Duration
	// Owner is the address of the owning daemon that served the request.
	Owner string
}

// Caller sends requests under one caller name. It is safe for concurrent use.
type Caller struct {
	// Delay is the one-way network delay to the ingress daemon. A request is sent
	// that much later, and its answer is returned that much later.
	Delay time.Duration
	name  string
	http  *http.Client
}

// NewCaller returns a Caller with the given name.
func NewCaller(name string) *Caller {
	dialer := &net.Dialer{Timeout: time.Second}
	return &Caller{name: name, http: &http.Client{Transport: &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: 256,
		DisableCompression:  true,
	}}}
}

// Close closes idle connections.
func (c *Caller) Close() { c.http.CloseIdleConnections() }

// Do sends a request, waits for its end and checks its answer. A failure is
// reported in the Result.
func (c *Caller) Do(ctx context.Context, r Request) Result {
	start := time.Now()
	time.Sleep(c.Delay)
	res := c.do(ctx, r)
	time.Sleep(c.Delay)
	res.Took = time.Since(start)
	return res
}

// do is Do without Delay and Result.Took.
func (c *Caller) do(ctx context.Context, r Request) Result {
	req, err := c.request(ctx, r)
	if err != nil {
		return Result{End: Unknown, Reason: err.Error()}
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return Result{End: failedEnd(err), Reason: err.Error()}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return Result{End: Unknown, Status: resp.StatusCode, Reason: err.Error()}
	}
	res := Result{
		Status: resp.StatusCode,
		Reason: resp.Header.Get(caller.HeaderReason),
		Owner:  resp.Header.Get(caller.HeaderOwner),
		Body:   body,
	}
	switch resp.Header.Get(caller.HeaderOutcome) {
	case "answered":
		res.End = verify(r, res)
	case "not_run":
		res.End = NotRun
	default:
		res.End = Unknown
	}
	return res
}

// failedEnd returns the End of a request that failed with err without a response.
// The request certainly did not run if no connection could be made.
func failedEnd(err error) End {
	var op *net.OpError
	if asOpError(err, &op) && op.Op == "dial" {
		return NotRun
	}
	return Unknown
}

// request returns the HTTP request for r.
func (c *Caller) request(ctx context.Context, r Request) (*http.Request, error) {
	var body io.Reader = http.NoBody
	if r.Body != nil {
		body = bytes.NewReader(r.Body)
	}
	if r.Chunked {
		body = struct{ io.Reader }{body}
	}
	req, err := http.NewRequestWithContext(ctx, r.Method, r.URL, body)
	if err != nil {
		return nil, err
	}
	// The HTTP client must not send a request a second time.
	req.GetBody = nil
	req.Header.Set(target.HeaderRequestID, r.ID)
	req.Header.Set(target.HeaderCaller, c.name)
	req.Header.Set(target.HeaderClass, r.Class.String())
	if r.Idempotent {
		req.Header.Set(caller.HeaderIdempotent, "true")
	}
	if r.Deadline > 0 {
		req.Header.Set(target.HeaderDeadline, strconv.FormatInt(r.Deadline.Milliseconds(), 10))
	}
	return req, nil
}

// verify checks the content of an answer that was marked as complete. It returns
// Answered or WrongAnswer.
func verify(r Request, res Result) End {
	if r.WantBytes > 0 && res.Status == http.StatusOK {
		if !bytes.Equal(res.Body, targetserver.Pattern(r.ID, r.WantBytes)) {
			return WrongAnswer
		}
	}
	if r.Method == http.MethodPut && res.Status == http.StatusOK {
		want := fmt.Sprintf(`{"bytes":%d,"hash":"%016x"}`+"\n", len(r.Body), xxhash.Sum64(r.Body))
		if string(res.Body) != want {
			return WrongAnswer
		}
	}
	return Answered
}
