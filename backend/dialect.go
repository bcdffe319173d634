package backend

import "wisteriapond/outcome"

// Dialect names the headers in which facts about a request travel to and from
// backend servers. Empty names are not sent and not read.
type Dialect struct {
	// Timeout carries the remaining time, in whole milliseconds.
	Timeout string
	// Depth carries the number of entry hosts that the call has passed.
	Depth string
	// RequestID names a request. Backend servers repeat it in their answers; an
	// answer with another one belongs to another request.
	RequestID string
	// Instance names the instance that a request is meant for. Any other one
	// answers with status 421 and does not run the request.
	Instance string
	// RespondingInstance names the instance that answered a probe.
	RespondingInstance string
	// Load carries the load of a backend server, which ParseLoad reads.
	Load      string
	ParseLoad func(value []byte) outcome.LoadReport
	// FractionalRetryAfter says that callers understand fractions of a second in
	// Retry-After.
	FractionalRetryAfter bool
}

// DefaultDialect returns the headers of the project's own interface.
func DefaultDialect() Dialect {
	return Dialect{Timeout: HeaderTimeout, Depth: HeaderDepth}
}
