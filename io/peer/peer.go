// Package peer implements the protocol between siskinknot daemons (the inner
// protocol).
//
// A connection starts with a handshake, a Hello and a HelloAnswer that carry the
// protocol's version, and then carries a yamux session. Each yamux stream of the
// session carries one call at a time: the client writes a Call, and reads either
// one Reply or, for a Forward, the Parts of an answer that ends with an End. If
// the client closes the stream before that, it cancels the call. Messages are
// protobuf, each preceded by its length as a varint.
//
// Sessions are opened on demand, one for each peer and Purpose, so that bulk
// data cannot delay other requests, and requests cannot delay the renewals of
// leases. Control calls that tolerate a delay use the sessions of requests, since
// even an idle session costs goroutines, buffers, and stacks that the garbage
// collector scans. A session without calls is closed after a while. If a session
// has calls in progress but receives nothing, the peer is pinged. If the peer
// does not answer the ping, the session is closed, which ends its streams, and
// the next call opens a new session.
//
// # Usage
//
//	pool := peer.NewPool("registry-1", localIP, logger)
//	reply, err := pool.Call(ctx, addr, &peerpb.Call{Kind: &peerpb.Call_Renew{...}})
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

// Version is the version of the protocol. Daemons reject connections of other
// versions.
const Version = 1

// Purpose is the kind of calls that a session carries.
type Purpose uint32

// The purposes.
const (
	Control  Purpose = iota // leases and membership
	Requests                // forwarded requests of all classes but bulk
	Bulk                    // forwarded requests of class bulk
	numPurposes
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
	// MaxMessageBytes is the maximum size of every message but a Reply, in bytes.
	MaxMessageBytes = 256 << 10
	// maxReplyBytes is the maximum size of a Reply, in bytes. A Reply may contain
	// the state of the fleet.
	maxReplyBytes = 2 * record.MaxBytes
	// PartBytes is the maximum data of one Part, in bytes.
	PartBytes = 32 << 10
	// InlineBytes is the maximum size, in bytes, of a body that is sent within its
	// Forward.
	InlineBytes = 16 << 10

	// handshakeTimeout is the maximum time of a handshake, and of dialling a peer.
	handshakeTimeout = time.Second
	// pingTimeout is the maximum time of a ping and of a blocked write.
	pingTimeout = 600 * time.Millisecond
	// acceptBacklog is the maximum number of opened streams that the other side has
	// not accepted yet. A session allocates space for all of them.
	acceptBacklog = 128
	// maxIdleStreams is the maximum number of idle streams that a session keeps for
	// reuse, and streamIdleTimeout how long it keeps them. Each costs two goroutines
	// and buffers on the other side, while opening a stream takes no round trip.
	maxIdleStreams    = 256
	streamIdleTimeout = 3 * time.Second
)

// NewIncarnation returns the name of one run (process) of the daemon of server.
// random distinguishes it from other runs.
func NewIncarnation(server, random string) record.Incarnation {
	return record.Incarnation(server + "#" + random)
}

// yamuxConfig returns the yamux settings of a session. The keep-alive of yamux is
// off, because a monitor pings the peer, and only while calls are in progress.
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

// Stream carries calls, one at a time. One goroutine may write while another
// reads. After each call the client either closes the stream with Close, or
// returns it to its session with Done if no more messages of the call can be sent
// or received.
type Stream struct {
	raw *yamux.Stream
	in  *bufio.Reader
	// session is the session of the stream at the client, nil at the server;
	// idleSince is when the last call ended.
	session   *session
	idleSince time.Time
}

// newStream returns the stream raw of the session on conn.
func newStream(raw *yamux.Stream, conn *batchConn) *Stream {
	return &Stream{raw: raw, in: bufio.NewReaderSize(&streamReader{raw, conn}, 4<<10)}
}

// Write sends msg. It returns an error if the stream is closed or its deadline
// has passed.
func (s *Stream) Write(msg proto.Message) error {
	if _, err := protodelim.MarshalTo(s.raw, msg); err != nil {
		return eris.Wrap(err, "write message")
	}
	return nil
}

// Read receives a message of at most MaxMessageBytes into msg. It returns io.EOF
// if the other side closed the stream, and another error if the message is too large
// or malformed, or the deadline has passed.
func (s *Stream) Read(msg proto.Message) error {
	return readMessage(s.in, msg, MaxMessageBytes)
}

// SetDeadline sets the deadline of reads and writes. t is on the clock of package
// time.
func (s *Stream) SetDeadline(t time.Time) error { return s.raw.SetDeadline(t) }

// SetReadDeadline sets the deadline of reads. t is on the clock of package time.
func (s *Stream) SetReadDeadline(t time.Time) error { return s.raw.SetReadDeadline(t) }

// Done returns the stream to its session, which reuses it for a later call.
func (s *Stream) Done() { s.session.putStream(s) }

// Close ends the stream in both directions.
func (s *Stream) Close() error { return s.raw.Close() }

// readMessage reads a message of at most limit bytes.
func readMessage(in protodelim.Reader, msg proto.Message, limit int64) error {
	opts := protodelim.UnmarshalOptions{MaxSize: limit}
	return opts.UnmarshalFrom(in, msg)
}

// byteReader reads single bytes without buffering. The handshake uses it, since
// the data that follows belongs to yamux.
type byteReader struct{ io.Reader }

// ReadByte implements io.ByteReader.
func (r byteReader) ReadByte() (byte, error) {
	var b [1]byte
	_, err := io.ReadFull(r.Reader, b[:])
	return b[0], err
}

// clientHandshake performs the handshake on conn for the side that dialled.
func clientHandshake(conn net.Conn, server string, purpose Purpose) error {
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
		return eris.Errorf("peer rejected the connection: %s", answer.Error)
	}
	return eris.Wrap(conn.SetDeadline(time.Time{}), "clear handshake deadline")
}

// serverHandshake performs the handshake on conn for the side that accepted it,
// and returns the Hello of the client. It returns an error if it rejects the
// connection.
func serverHandshake(conn net.Conn, server string) (*peerpb.Hello, error) {
	if err := conn.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return nil, eris.Wrap(err, "set handshake deadline")
	}
	var hello peerpb.Hello
	if err := readMessage(byteReader{conn}, &hello, MaxMessageBytes); err != nil {
		return nil, eris.Wrap(err, "read hello")
	}
	answer := &peerpb.HelloAnswer{Version: Version, Server: server, Error: rejectReason(&hello)}
	if _, err := protodelim.MarshalTo(conn, answer); err != nil {
		return nil, eris.Wrap(err, "write hello answer")
	}
	if answer.Error != "" {
		return nil, eris.Errorf("rejected hello: %s", answer.Error)
	}
	return &hello, eris.Wrap(conn.SetDeadline(time.Time{}), "clear handshake deadline")
}

// rejectReason returns the reason why a connection with this hello is rejected,
// or "" if it is accepted. The reason is sent to the client.
func rejectReason(hello *peerpb.Hello) string {
	if hello.Version != Version {
		return fmt.Sprintf("protocol version %d, want %d", hello.Version, Version)
	}
	if Purpose(hello.Purpose) >= numPurposes {
		return fmt.Sprintf("purpose %d does not exist", hello.Purpose)
	}
	return ""
}
