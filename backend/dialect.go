package backend

import "wisteriapond/outcome"

// Dialect defines the headers that carry metadata of requests and responses to
// and from backend servers. A header with an empty name is neither sent nor
// read.
type Dialect struct {
	// Timeout carries the remaining time in whole milliseconds.
	Timeout string
	// Depth carries the number of entry hosts that the chain of nested calls
	// has passed.
	Depth string
	// RequestID identifies a request. Backend servers repeat it in their
	// responses; a response with another ID belongs to another request.
	RequestID string
	// Instance names the instance that a request is meant for. Any other
	// instance responds with status 421 and does not run the request.
	Instance string
	// RespondingInstance names the instance that responded to a probe.
	RespondingInstance string
	// Load carries the load report of a backend server, which is parsed by
	// ParseLoad.
	Load      string
	ParseLoad func(value []byte) outcome.LoadReport
	// WarmUp carries the remaining warm-up time of a backend server, which is
	// parsed by ParseWarmUp.
	WarmUp      string
	ParseWarmUp func(value []byte) outcome.WarmUpReport
	// Leaving has the value 1 in the responses of a backend server that is leaving.
	Leaving string
	// FractionalRetryAfter is set if callers understand fractions of a second
	// in Retry-After.
	FractionalRetryAfter bool
}

// DefaultDialect returns the project's own headers.
func DefaultDialect() Dialect {
	return Dialect{Timeout: HeaderTimeout, Depth: HeaderDepth}
}
