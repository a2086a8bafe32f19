// Package platformlog speaks to the platform's append-only log service.
//
// The service keeps records, JSON values, under offsets that grow by one, and
// forgets old ones. Its HTTP interface, described in docs/PLATFORM-LOG.md, is:
//
//	POST /v1/records                              appends the body
//	GET  /v1/records?from=N&wait_ms=T&limit=K     reads, waiting for news
//	GET  /v1/offsets                              earliest and next offset
//
// An append whose answer is lost may have taken effect, and may take effect
// later. A caller that needs to know looks for its record in the log.
//
// # Usage
//
//	log := platformlog.New(addr, localIP)
//	offset, err := log.Append(ctx, data)
//	batch, err := log.Read(ctx, next, time.Second)
package platformlog

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/rotisserie/eris"

	"siskinknot/core/record"
	"siskinknot/io/meter"
)

// maxAnswerBytes bounds what one read may return.
const maxAnswerBytes = 4 * record.MaxBytes

// connectTimeout bounds the opening of a connection.
const connectTimeout = time.Second

// readLimit is the most records asked for in one read.
const readLimit = 1000

// Entry is a record with its offset.
type Entry struct {
	Offset uint64          `json:"offset"`
	Record json.RawMessage `json:"record"`
}

// Offsets are the ends of the log.
type Offsets struct {
	// Earliest is the offset of the oldest record kept.
	Earliest uint64 `json:"earliest_offset"`
	// Next is the offset that the next append will get.
	Next uint64 `json:"next_offset"`
}

// Batch is the answer to a read.
type Batch struct {
	Offsets
	Records []Entry `json:"records"`
}

// AppendAnswer is the answer to an append.
type AppendAnswer struct {
	Offset uint64 `json:"offset"`
}

// ForgottenError reports a read of records that the log no longer keeps.
type ForgottenError struct {
	From uint64
	Offsets
}

// Error implements error.
func (e *ForgottenError) Error() string {
	return fmt.Sprintf("log offset %d is forgotten, earliest is %d", e.From, e.Earliest)
}

// StatusError reports an answer with an unexpected HTTP status.
type StatusError struct {
	Status int
	Body   string
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("log service answered %d: %s", e.Status, e.Body)
}

// Log is a client of the log service. It is safe for concurrent use.
type Log struct {
	base string
	// reads keeps its connections; fresh takes a new one for each request,
	// since an old one may have gone silent.
	reads   *http.Client
	fresh   *http.Client
	traffic meter.Traffic
}

// New returns a client of the log service at addr, which connects from the
// address local.
func New(addr netip.AddrPort, local netip.Addr) *Log {
	l := &Log{base: "http://" + addr.String()}
	dialer := &net.Dialer{
		Timeout:   connectTimeout,
		LocalAddr: net.TCPAddrFromAddrPort(netip.AddrPortFrom(local, 0)),
	}
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return meter.NewConn(conn, &l.traffic), nil
	}
	l.reads = &http.Client{Transport: &http.Transport{DialContext: dial, IdleConnTimeout: time.Minute}}
	l.fresh = &http.Client{Transport: &http.Transport{DialContext: dial, DisableKeepAlives: true}}
	return l
}

// Traffic returns the byte counts of all connections to the log.
func (l *Log) Traffic() *meter.Traffic { return &l.traffic }

// Close closes idle connections.
func (l *Log) Close() { l.reads.CloseIdleConnections() }

// Append appends data, a JSON value, and returns its offset. After an error
// other than a StatusError the record may still be appended.
func (l *Log) Append(ctx context.Context, data []byte) (uint64, error) {
	var answer AppendAnswer
	if err := l.call(ctx, l.fresh, http.MethodPost, "/v1/records", data, &answer); err != nil {
		return 0, eris.Wrap(err, "append to log")
	}
	return answer.Offset, nil
}

// Read returns the records from offset from on. If there are none it waits up
// to wait for one. The error is a ForgottenError if from was forgotten.
func (l *Log) Read(ctx context.Context, from uint64, wait time.Duration) (Batch, error) {
	path := fmt.Sprintf("/v1/records?from=%d&wait_ms=%d&limit=%d", from, wait.Milliseconds(), readLimit)
	var batch Batch
	err := l.call(ctx, l.reads, http.MethodGet, path, nil, &batch)
	var gone *StatusError
	if errors.As(err, &gone) && gone.Status == http.StatusGone {
		offsets, offErr := l.Offsets(ctx)
		if offErr != nil {
			return Batch{}, offErr
		}
		return Batch{}, &ForgottenError{From: from, Offsets: offsets}
	}
	if err != nil {
		return Batch{}, eris.Wrapf(err, "read log from %d", from)
	}
	for i, entry := range batch.Records {
		if entry.Offset != from+uint64(i) {
			return Batch{}, eris.Errorf("log returned offset %d, want %d", entry.Offset, from+uint64(i))
		}
	}
	return batch, nil
}

// Offsets returns the ends of the log.
func (l *Log) Offsets(ctx context.Context) (Offsets, error) {
	var offsets Offsets
	if err := l.call(ctx, l.fresh, http.MethodGet, "/v1/offsets", nil, &offsets); err != nil {
		return Offsets{}, eris.Wrap(err, "read log offsets")
	}
	return offsets, nil
}

// call sends a request through client and decodes the answer into out.
func (l *Log) call(ctx context.Context, client *http.Client, method, path string, body []byte, out any) error {
	req, err := http.NewRequestWithContext(ctx, method, l.base+path, bytes.NewReader(body))
	if err != nil {
		return eris.Wrap(err, "make request")
	}
	// An append must not be repeated by the transport.
	req.GetBody = nil
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes+1))
	if err != nil {
		return eris.Wrap(err, "read answer")
	}
	if resp.StatusCode != http.StatusOK {
		return &StatusError{Status: resp.StatusCode, Body: string(data)}
	}
	if len(data) > maxAnswerBytes {
		return eris.Errorf("answer exceeds %d bytes", maxAnswerBytes)
	}
	return eris.Wrap(json.Unmarshal(data, out), "decode answer")
}
