// Package peer is the inner protocol, which siskinknot daemons speak to one
// another.
//
// A connection opens with a Hello and a HelloAnswer, which carry the protocol's
// version, and then carries a yamux session. Calls travel on yamux streams, one
// after the other on each: the caller writes a Call, and reads either one Reply
// or, for a Forward, the Parts of an answer that ends with an End. A stream that
// is closed before that cancels its call. Messages are protobuf, each preceded
// by its length as a varint.
//
// Sessions are opened on demand, one for each peer and Purpose, so that bulk
// data cannot delay other requests, nor requests the renewals of leases. Control
// calls that can wait go over the sessions of requests, since a session has a price
// also when it is idle: tasks, buffers, and stacks that are scanned. A
// session without streams is closed after a while. A session that has streams
// but receives nothing is pinged; if no answer comes it is closed, which ends
// its streams, and the next call opens a new one.
//
// # Usage
//
//	pool := peer.NewPool("registry-1", localIP, logger)
//	reply, err := pool.Ask(ctx, addr, &peerpb.Call{Kind: &peerpb.Call_Renew{...}})
//
//	server := peer.NewServer(listener, "registry-1", handler, logger)
//	defer server.Close()
package peer

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	"siskinknot/core/record"
	"siskinknot/io/peer/peerpb"
)

// Version is the version of the protocol. Daemons refuse other versions.
const Version = 1

// Purpose is what a session is for.
type Purpose uint32

// The purposes.
const (
	Control  Purpose = iota // leases and membership
	Requests                // forwarded requests but bulk
	Bulk                    // forwarded bulk requests
	purposes
)

// String returns the purpose's name in metrics.
func (p Purpose) String() string {
	switch p {
	case Control:
		return "control"
	case Requests:
		return "requests"
	case Bulk:
		return "bulk"
	default:
		return fmt.Sprintf("purpose(%d)", uint32(p))
	}
}

// Limits of the protocol.
const (
	// MaxMessageBytes bounds every message but a Reply with a state.
	MaxMessageBytes = 256 << 10
	// maxStateBytes bounds a Reply with a state.
	maxStateBytes = 2 * record.MaxBytes
	// PartBytes is the most data sent in one Part.
	PartBytes = 32 << 10
	// InlineBytes is the largest body sent within its Forward.
	InlineBytes = 16 << 10

	handshakeTimeout = time.Second
	// pingTimeout bounds a ping and a blocked write.
	pingTimeout = 600 * time.Millisecond
	// acceptBacklog is how many streams may be opened and not yet taken by the other
	// side; a session reserves room for them.
	acceptBacklog = 128
	// maxIdleStreams is the most streams of a session that are kept, and
	// streamIdleLimit for how long: each costs two tasks and buffers on the
	// other side, and opening one costs no round trip.
	maxIdleStreams  = 256
	streamIdleLimit = 3 * time.Second
)

// NewIncarnation returns a name for a run of the daemon of server.
func NewIncarnation(server, random string) record.Incarnation {
	return record.Incarnation(server + "#" + random)
}

// yamuxConfig returns the settings of a session. Keep-alive is done by watch,
// which pings only where there is something to lose.
func yamuxConfig() *yamux.Config {
	cfg := yamux.DefaultConfig()
	cfg.EnableKeepAlive = false
	cfg.ConnectionWriteTimeout = pingTimeout
	cfg.StreamOpenTimeout = 0
	cfg.StreamCloseTimeout = 30 * time.Second
	cfg.MaxStreamWindowSize = 256 << 10
	cfg.AcceptBacklog = acceptBacklog
	cfg.LogOutput = io.Discard
	return cfg
}

// Stream carries calls, one after the other. Writes and reads may be concurrent
// with one another. The side that made the calls ends the stream with Close, or
// with Done if the last call came to its end and nothing of it can follow.
type Stream struct {
	raw *yamux.Stream
	in  *bufio.Reader
	// session is the session of the side that makes the calls, and idleSince
	// when its last call ended.
	session   *session
	idleSince time.Time
}

func newStream(raw *yamux.Stream) *Stream {
	return &Stream{raw: raw, in: bufio.NewReaderSize(raw, 4<<10)}
}

// Write sends msg.
func (s *Stream) Write(msg proto.Message) error {
	if _, err := protodelim.MarshalTo(s.raw, msg); err != nil {
		return eris.Wrap(err, "write message")
	}
	return nil
}

// Read receives a message into msg.
func (s *Stream) Read(msg proto.Message) error {
	return readMessage(s.in, msg, MaxMessageBytes)
}

// SetDeadline bounds reads and writes; t is on the clock of package time.
func (s *Stream) SetDeadline(t time.Time) error { return s.raw.SetDeadline(t) }

// SetReadDeadline bounds reads; t is on the clock of package time.
func (s *Stream) SetReadDeadline(t time.Time) error { return s.raw.SetReadDeadline(t) }

// Done keeps the stream for a later call.
func (s *Stream) Done() { s.session.putStream(s) }

// Close ends the stream in both directions.
func (s *Stream) Close() error { return s.raw.Close() }

// readMessage reads a message of at most limit bytes.
func readMessage(in protodelim.Reader, msg proto.Message, limit int64) error {
	opts := protodelim.UnmarshalOptions{MaxSize: limit}
	return opts.UnmarshalFrom(in, msg)
}

// byteReader reads single bytes without reading ahead, for the handshake.
type byteReader struct{ io.Reader }

// ReadByte implements io.ByteReader.
func (r byteReader) ReadByte() (byte, error) {
	var b [1]byte
	_, err := io.ReadFull(r.Reader, b[:])
	return b[0], err
}

// greet opens conn as the side that dialled.
func greet(conn net.Conn, server string, purpose Purpose) error {
	hello := &peerpb.Hello{Version: Version, Server: server, Purpose: uint32(purpose)}
	if err := conn.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return eris.Wrap(err, "set handshake deadline")
	}
	if _, err := protodelim.MarshalTo(conn, hello); err != nil {
		return eris.Wrap(err, "write hello")
	}
	var answer peerpb.HelloAnswer
	if err := readMessage(byteReader{conn}, &answer, MaxMessageBytes); err != nil {
		return eris.Wrap(err, "read hello answer")
	}
	if answer.Error != "" {
		return eris.Errorf("peer refused the connection: %s", answer.Error)
	}
	return eris.Wrap(conn.SetDeadline(time.Time{}), "clear handshake deadline")
}

// welcome opens conn as the side that was dialled.
func welcome(conn net.Conn, server string) (*peerpb.Hello, error) {
	if err := conn.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return nil, eris.Wrap(err, "set handshake deadline")
	}
	var hello peerpb.Hello
	if err := readMessage(byteReader{conn}, &hello, MaxMessageBytes); err != nil {
		return nil, eris.Wrap(err, "read hello")
	}
	answer := &peerpb.HelloAnswer{Version: Version, Server: server, Error: refusal(&hello)}
	if _, err := protodelim.MarshalTo(conn, answer); err != nil {
		return nil, eris.Wrap(err, "write hello answer")
	}
	if answer.Error != "" {
		return nil, eris.Errorf("refused a connection: %s", answer.Error)
	}
	return &hello, eris.Wrap(conn.SetDeadline(time.Time{}), "clear handshake deadline")
}

// refusal says why a connection with this hello is refused, or "".
func refusal(hello *peerpb.Hello) string {
	if hello.Version != Version {
		return fmt.Sprintf("protocol version %d, want %d", hello.Version, Version)
	}
	if Purpose(hello.Purpose) >= purposes {
		return fmt.Sprintf("purpose %d does not exist", hello.Purpose)
	}
	return ""
}
