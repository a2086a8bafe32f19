// Package request defines the metadata of a request, as daemons pass it from the
// caller to the target.
//
// The ingress daemon, which receives the caller's HTTP request, builds a Head from
// it. The owning daemon receives the same Head over the inner protocol between
// daemons. A Head never contains the body: bodies are streamed.
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

// Classes of requests.
const (
	Lookup   Class = iota // a short read
	Write                 // a short update
	Bulk                  // a large upload or download
	Internal              // a check that one server sends to another
	// NumClasses is the number of classes; it is not a class itself.
	NumClasses
)

var classNames = [NumClasses]string{"lookup", "write", "bulk", "internal"}

// String returns the name of the class in headers, settings and metrics.
func (c Class) String() string {
	if c >= NumClasses {
		return fmt.Sprintf("class(%d)", uint8(c))
	}
	return classNames[c]
}

// ParseClass returns the class with the given name, or an error if there is none.
func ParseClass(name string) (Class, error) {
	for i, n := range classNames {
		if n == name {
			return Class(i), nil
		}
	}
	return 0, fmt.Errorf("class %q is none of lookup, write, bulk, internal", name)
}

// Maximum lengths of fields of a Head, in bytes.
const (
	MaxKeyBytes    = 512
	MaxIDBytes     = 128
	MaxCallerBytes = 128
)

// SafeMethod reports whether requests with the HTTP method only read (RFC 9110,
// section 9.2.1).
func SafeMethod(method string) bool {
	return method == http.MethodGet || method == http.MethodHead || method == http.MethodOptions
}

// Head is the metadata of a request: everything but its body.
type Head struct {
	Service string
	// Key is the key that the request is for. It is empty if the service is
	// shared.
	Key string
	// ID identifies the request among all requests of its caller.
	ID     string
	Caller string
	Class  Class
	// Idempotent is set if the request may run more than once.
	Idempotent bool
	// Deadline is the time by which the request has to end, on the clock of the
	// daemon that holds the Head.
	Deadline time.Time
	// Route, Priority and Objective determine the order in which queued requests
	// run. Route is the name of the request's route. The highest priority is 0.
	// Objective is the time by which the request should be answered. All three may
	// be zero.
	Route     string
	Priority  int
	Objective time.Time
	// Call is set if a target makes the request for another one that it is running, its
	// parent, and ParentRoute is then the route of the parent. Priority is then that of the
	// parent, and Objective is Deadline.
	Call        bool
	ParentRoute string
	Method      string
	// Path is the escaped path with its query string, as sent to the target.
	Path   string
	Header http.Header
	// ContentLength is the length of the body in bytes, or -1 if it is unknown.
	ContentLength int64
	// Target is the latest notice that the ingress daemon has received from the
	// target that the request is sent to, or nil if it has none.
	Target *TargetNotice
}

// Validate returns an error that describes the first invalid field of h, or nil
// if h is valid.
func (h *Head) Validate() error {
	switch {
	case h.Service == "":
		return fmt.Errorf("service is empty")
	case len(h.Key) > MaxKeyBytes:
		return fmt.Errorf("key has %d bytes, limit %d", len(h.Key), MaxKeyBytes)
	case len(h.ID) > MaxIDBytes:
		return fmt.Errorf("request id has %d bytes, limit %d", len(h.ID), MaxIDBytes)
	case len(h.Caller) > MaxCallerBytes:
		return fmt.Errorf("caller has %d bytes, limit %d", len(h.Caller), MaxCallerBytes)
	case h.Class >= NumClasses:
		return fmt.Errorf("class %d does not exist", h.Class)
	}
	return nil
}
