// Package request describes a request on its way from caller to target.
//
// The entry daemon builds a Head from the caller's HTTP request; the owner's
// daemon receives the same Head over the inner protocol. The body is never part
// of it: bodies are streamed.
//
// # Usage
//
//	class, err := request.ParseClass("bulk")
//	head := request.Head{Service: "registry", Key: "rosa-alba", Class: class}
package request

import (
	"fmt"
	"net/http"
	"time"
)

// Class groups requests that share limits and a queue.
type Class uint8

// The classes.
const (
	Lookup   Class = iota // a short read
	Write                 // a short update
	Bulk                  // a large upload or download
	Internal              // a check that one server makes with another
	// Classes is the number of classes.
	Classes
)

var classNames = [Classes]string{"lookup", "write", "bulk", "internal"}

// String returns the name of the class in headers, settings and metrics.
func (c Class) String() string {
	if c >= Classes {
		return fmt.Sprintf("class(%d)", uint8(c))
	}
	return classNames[c]
}

// ParseClass returns the class with the given name.
func ParseClass(name string) (Class, error) {
	for i, n := range classNames {
		if n == name {
			return Class(i), nil
		}
	}
	return 0, fmt.Errorf("class %q is none of lookup, write, bulk, internal", name)
}

// Limits on the parts of a Head, in bytes.
const (
	MaxKeyBytes    = 512
	MaxIDBytes     = 128
	MaxCallerBytes = 128
)

// Head is everything about a request but its body.
type Head struct {
	Service string
	// Key is empty for a service whose kind is shared.
	Key string
	// ID identifies the request among all requests of its caller.
	ID     string
	Caller string
	Class  Class
	// Idempotent requests may be run more than once.
	Idempotent bool
	// Deadline is on the clock of the daemon that holds the Head.
	Deadline time.Time
	// Route, Priority (0 is the highest) and Objective, until when an answer is
	// worth most, order requests where they have to queue; they may be zero.
	Route     string
	Priority  int
	Objective time.Time
	Method    string
	// Path is the escaped path with its query, as the target receives it.
	Path   string
	Header http.Header
	// ContentLength is the body's length in bytes, or -1 if unknown.
	ContentLength int64
}

// Check reports the first rule of the interface that h breaks.
func (h *Head) Check() error {
	switch {
	case h.Service == "":
		return fmt.Errorf("service is empty")
	case len(h.Key) > MaxKeyBytes:
		return fmt.Errorf("key has %d bytes, limit %d", len(h.Key), MaxKeyBytes)
	case len(h.ID) > MaxIDBytes:
		return fmt.Errorf("request id has %d bytes, limit %d", len(h.ID), MaxIDBytes)
	case len(h.Caller) > MaxCallerBytes:
		return fmt.Errorf("caller has %d bytes, limit %d", len(h.Caller), MaxCallerBytes)
	case h.Class >= Classes:
		return fmt.Errorf("class %d does not exist", h.Class)
	}
	return nil
}
