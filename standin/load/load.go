// Package load makes requests of a fleet and counts how they end.
//
// A Caller is a breeder or a clinic: it sends requests with the headers of the
// caller's interface and checks each answer against what it asked for. A
// Generator offers requests at a given rate whether or not earlier ones have
// ended, so that a stall counts against every request that was due in it.
//
// # Usage
//
//	c := load.NewCaller("midland-roses")
//	end := c.Do(ctx, load.Request{URL: url, Class: request.Lookup, ID: "1"})
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

// End is how a request ended for its caller.
type End int

// The ends.
const (
	Answered End = iota // the whole answer of the target
	NotRun              // the system says that it did not run
	Unknown             // it may have run, or the connection broke
	Wrong               // an answer that passed for whole and is not the right one
)

// String returns the end's name.
func (e End) String() string {
	return [...]string{"answered", "not run", "unknown", "wrong"}[e]
}

// Request is a request of a Caller.
type Request struct {
	Method string
	URL    string
	ID     string
	Class  request.Class
	// Deadline is the time that the answer may take; 0 leaves it to the
	// settings.
	Deadline time.Duration
	Body     []byte
	// Chunked hides the length of the body.
	Chunked bool
	// WantBytes is the length of the patterned answer that is expected; 0 if
	// none is.
	WantBytes int
}

// Result is how a request ended.
type Result struct {
	End    End
	Status int
	Reason string
	Body   []byte
	Took   time.Duration
	// Owner is the address of the daemon that had the request served.
	Owner string
}

// Caller sends requests under one name.
type Caller struct {
	// Delay is how long data takes one way to the entry: a request leaves that
	// much later and its answer comes that much later.
	Delay time.Duration
	name  string
	http  *http.Client
}

// NewCaller returns a Caller.
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

// Do sends a request and checks its answer.
func (c *Caller) Do(ctx context.Context, r Request) Result {
	start := time.Now()
	time.Sleep(c.Delay)
	res := c.do(ctx, r)
	time.Sleep(c.Delay)
	res.Took = time.Since(start)
	return res
}

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

// failedEnd returns the end of a request without an answer: it certainly did
// not run if there was no connection.
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
	// The client itself must not send a request twice.
	req.GetBody = nil
	req.Header.Set(target.HeaderRequestID, r.ID)
	req.Header.Set(target.HeaderCaller, c.name)
	req.Header.Set(target.HeaderClass, r.Class.String())
	if r.Deadline > 0 {
		req.Header.Set(target.HeaderDeadline, strconv.FormatInt(r.Deadline.Milliseconds(), 10))
	}
	return req, nil
}

// verify checks an answer that passes for whole.
func verify(r Request, res Result) End {
	if r.WantBytes > 0 && res.Status == http.StatusOK {
		if !bytes.Equal(res.Body, targetserver.Pattern(r.ID, r.WantBytes)) {
			return Wrong
		}
	}
	if r.Method == http.MethodPut && res.Status == http.StatusOK {
		want := fmt.Sprintf(`{"bytes":%d,"hash":"%016x"}`+"\n", len(r.Body), xxhash.Sum64(r.Body))
		if string(res.Body) != want {
			return Wrong
		}
	}
	return Answered
}
