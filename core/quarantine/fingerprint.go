package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"siskinknot/core/request"
)

// MaxBodyPrefix is the number of bytes at the start of a body that are part of a
// fingerprint. Requests that differ only in what follows have the same fingerprint.
const MaxBodyPrefix = 16 << 10

// Fingerprint identifies all requests with the same content: the same method, host, path
// with query, key, caller, and start of the body. The ID and the other headers of a
// request are not part of it.
type Fingerprint struct {
	// Head is the hash of everything but the body, and Body that of the body's first
	// MaxBodyPrefix bytes; 0 if the body is empty.
	Head, Body uint64
}

// String returns the fingerprint in hexadecimal, as it appears in log lines.
func (f Fingerprint) String() string { return fmt.Sprintf("%016x%016x", f.Head, f.Body) }

// HashHead returns the Head of the fingerprint of the request head.
func HashHead(head *request.Head) uint64 {
	var buf [256]byte // enough for most requests
	data := buf[:0]
	for _, field := range [...]string{head.Method, head.Header.Get("Host"), head.Path, head.Key, head.Caller} {
		data = binary.AppendUvarint(data, uint64(len(field))) // so that no two lists of fields have the same encoding
		data = append(data, field...)
	}
	return hash(data)
}

// HashBody returns the Body of the fingerprint of a request whose body begins with prefix.
func HashBody(prefix []byte) uint64 {
	if len(prefix) == 0 {
		return 0
	}
	return hash(prefix[:min(len(prefix), MaxBodyPrefix)])
}

// hash returns the first 64 bits of the SHA-256 hash of data. A faster hash would let a
// caller construct a request with the fingerprint of another caller's.
func hash(data []byte) uint64 {
	sum := sha256.Sum256(data)
	return binary.BigEndian.Uint64(sum[:8])
}

// ReadPrefix reads the first MaxBodyPrefix bytes of a body, or all of it if it is shorter.
// contentLength is the length of the body, or -1 if it is unknown. body may be nil if the
// length is 0.
func ReadPrefix(body io.Reader, contentLength int64) ([]byte, error) {
	if body == nil || contentLength == 0 {
		return nil, nil
	}
	size := int64(MaxBodyPrefix)
	if contentLength > 0 {
		size = min(size, contentLength)
	}
	prefix := make([]byte, size)
	n, err := io.ReadFull(body, prefix)
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		err = nil
	}
	return prefix[:n], err
}
