// Package platformlog is a client of the platform's append-only log service.
//
// The service stores records, which are JSON values, under consecutive offsets, and
// discards old records. Its HTTP interface, described in docs/PLATFORM-LOG.md, is:
//
//	POST /v1/records                              appends the body as a record
//	GET  /v1/records?from=N&wait_ms=T&limit=K     reads, waits for new records
//	GET  /v1/offsets                              earliest and next offset
//
// If the response to an append is lost, the record may have been appended, or may
// be appended later. To find out, read the log and look for the record.
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
	"siskinknot/io/tcp"
)

// maxResponseBytes is the maximum size of the body of a response, in bytes.
const maxResponseBytes = 4 * record.MaxBytes

// maxResponseHeaderBytes is the maximum size of the headers of a response, in bytes.
const maxResponseHeaderBytes = 64 << 10

// connectTimeout limits how long it takes to open a connection.
const connectTimeout = time.Second

// maxReadRecords is the maximum number of records requested in one read.
const maxReadRecords = 1000

// Entry is a record with its offset.
type Entry struct {
	Offset uint64          `json:"offset"`
	Record json.RawMessage `json:"record"`
}

// Offsets are the bounds of the retained part of the log.
type Offsets struct {
	// Earliest is the offset of the oldest retained record.
	Earliest uint64 `json:"earliest_offset"`
	// Next is the offset that the next append will get.
	Next uint64 `json:"next_offset"`
}

// Batch is the response to a read.
type Batch struct {
	Offsets
	Records []Entry `json:"records"`
}

// AppendResponse is the response to an append.
type AppendResponse struct {
	Offset uint64 `json:"offset"`
}

// NotRetainedError reports a read from an offset that the log no longer retains.
type NotRetainedError struct {
	From uint64
	Offsets
}

// Error implements error.
func (e *NotRetainedError) Error() string {
	return fmt.Sprintf("log offset %d is no longer retained, the earliest retained offset is %d", e.From, e.Earliest)
}

// StatusError reports a response with an unexpected HTTP status.
type StatusError struct {
	Status int
	Body   string
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("log service responded with status %d: %s", e.Status, e.Body)
}

// Log is a client of the log service. It is safe for concurrent use.
type Log struct {
	base string
	// pooled reuses connections. unpooled opens a new connection for each request,
	// since a reused connection may have stopped responding.
	pooled   *http.Client
	unpooled *http.Client
	traffic  meter.Traffic
}

// New returns a client of the log service at addr. Its connections use local as
// their source address.
func New(addr netip.AddrPort, local netip.Addr) *Log {
	l := &Log{base: "http://" + addr.String()}
	dialer := &net.Dialer{
		Control:   tcp.ReuseAddress,
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
	l.pooled = &http.Client{Transport: &http.Transport{DialContext: dial, IdleConnTimeout: time.Minute, MaxResponseHeaderBytes: maxResponseHeaderBytes}}
	l.unpooled = &http.Client{Transport: &http.Transport{DialContext: dial, DisableKeepAlives: true, MaxResponseHeaderBytes: maxResponseHeaderBytes}}
	return l
}

// Traffic returns the byte counts of all connections to the log service.
func (l *Log) Traffic() *meter.Traffic { return &l.traffic }

// Close closes idle connections.
func (l *Log) Close() { l.pooled.CloseIdleConnections() }

// Append appends data, which is a JSON value, and returns its offset. If the error
// is not a StatusError, the record may have been appended or may be appended later.
func (l *Log) Append(ctx context.Context, data []byte) (uint64, error) {
	var response AppendResponse
	if err := l.send(ctx, l.unpooled, http.MethodPost, "/v1/records", data, &response); err != nil {
		return 0, eris.Wrap(err, "append to log")
	}
	return response.Offset, nil
}

// Read returns up to 1000 records, starting at offset from. If there are none, it
// waits up to wait for one. The error is a NotRetainedError if the log no longer
// retains the record at from.
func (l *Log) Read(ctx context.Context, from uint64, wait time.Duration) (Batch, error) {
	path := fmt.Sprintf("/v1/records?from=%d&wait_ms=%d&limit=%d", from, wait.Milliseconds(), maxReadRecords)
	var batch Batch
	err := l.send(ctx, l.pooled, http.MethodGet, path, nil, &batch)
	var statusErr *StatusError
	if errors.As(err, &statusErr) && statusErr.Status == http.StatusGone {
		offsets, offsetsErr := l.Offsets(ctx)
		if offsetsErr != nil {
			return Batch{}, offsetsErr
		}
		return Batch{}, &NotRetainedError{From: from, Offsets: offsets}
	}
	if err != nil {
		return Batch{}, eris.Wrapf(err, "read log from %d", from)
	}
	for i, entry := range batch.Records {
		if entry.Offset != from+uint64(i) {
			return Batch{}, eris.Errorf("log service returned offset %d, want %d", entry.Offset, from+uint64(i))
		}
	}
	return batch, nil
}

// Offsets returns the earliest and the next offset of the log. It returns an
// error if the log service does not respond with status 200 and a valid body.
func (l *Log) Offsets(ctx context.Context) (Offsets, error) {
	var offsets Offsets
	if err := l.send(ctx, l.unpooled, http.MethodGet, "/v1/offsets", nil, &offsets); err != nil {
		return Offsets{}, eris.Wrap(err, "read log offsets")
	}
	return offsets, nil
}

// send sends a request through client and decodes the response into out. The error
// is a StatusError if the status is not 200.
func (l *Log) send(ctx context.Context, client *http.Client, method, path string, body []byte, out any) error {
	req, err := http.NewRequestWithContext(ctx, method, l.base+path, bytes.NewReader(body))
	if err != nil {
		return eris.Wrap(err, "create request")
	}
	// An append must not be sent twice. Without GetBody the transport cannot repeat
	// a request.
	req.GetBody = nil
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes+1))
	if err != nil {
		return eris.Wrap(err, "read response")
	}
	if resp.StatusCode != http.StatusOK {
		return &StatusError{Status: resp.StatusCode, Body: string(data)}
	}
	if len(data) > maxResponseBytes {
		return eris.Errorf("response exceeds %d bytes", maxResponseBytes)
	}
	return eris.Wrap(json.Unmarshal(data, out), "decode response")
}
