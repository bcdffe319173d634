// Package outcome names what can become of a request and of its attempts, and
// classifies attempts.
package outcome

import "time"

// Class says what is known about an attempt after its end.
type Class int

// The classes of attempts.
const (
	// NotRun means that the backend server cannot have run the request.
	NotRun Class = iota + 1
	// Unknown means that the backend server may have run the request.
	Unknown
	// Responded means that a whole answer came.
	Responded
)

// String returns the name used in logs and metrics.
func (c Class) String() string {
	switch c {
	case NotRun:
		return "not_run"
	case Unknown:
		return "unknown"
	case Responded:
		return "answered"
	}
	return "invalid"
}

// Cause says how an attempt ended.
type Cause int

// The causes. CauseNone stands for a whole answer.
const (
	CauseNone Cause = iota
	CauseDial
	CauseExpired
	CauseReset
	CauseTimeout
	CauseTruncated
	CauseMalformed
	CauseCanceled
	CauseRequestBody
	// CauseConnectionLimit means that this host already has all the
	// connections that it may open to the address. It says nothing about the
	// backend server.
	CauseConnectionLimit
	// CauseInternal means a fault of this process.
	CauseInternal
)

var causeNames = [...]string{"none", "dial", "expired", "reset", "timeout", "truncated", "malformed", "canceled", "request_body", "connection_limit", "internal"}

// String returns the name used in logs and metrics.
func (c Cause) String() string {
	if int(c) < 0 || int(c) >= len(causeNames) {
		return "invalid"
	}
	return causeNames[c]
}

// LoadReport is what a backend server says about its load.
type LoadReport struct {
	Known   bool
	Running int
	Waiting int
	Slots   int
	// Slowdown is how long work takes at this moment, in percent of the usual
	// time; 0 when not told.
	Slowdown int
}

// Facts is what the transport saw of an attempt. It holds no judgement.
type Facts struct {
	Cause Cause
	// Wrote is set from right before the first byte was handed to the
	// connection: the byte may have left even when the write failed.
	Wrote bool
	// Status is the status of the answer, 0 when no head came.
	Status int
	// NotRunHeader is set when the answer carries the header and value that
	// the service names in its not-run form.
	NotRunHeader bool
	// GaveUp is set when the answer carries the mark that a lower layer has
	// already used up its retries.
	GaveUp bool
	// RetryAfter is the wait that the backend server asked for, 0 for none.
	RetryAfter time.Duration
	// Draining is set when the backend server says that it is leaving.
	Draining bool
	// Load is the load that the backend server reports, in requests running;
	// -1 when it reports none.
	Load int
	// Told is the load report of a backend server that tells more than one
	// number.
	Told LoadReport
	// BodyTaken is set when a part of a streamed request body was read. The
	// request cannot be sent again, whatever the class of the attempt.
	BodyTaken bool
	// Bytes is the size of the answer's body as far as it was read.
	Bytes int64
}

// Classify returns the class of an attempt. notRunStatus is the status of the
// service's not-run form, 0 when the header alone says it.
func Classify(f Facts, notRunStatus int) Class {
	if !f.Wrote {
		return NotRun
	}
	if f.Cause != CauseNone {
		return Unknown
	}
	if f.NotRunHeader && (notRunStatus == 0 || f.Status == notRunStatus) {
		return NotRun
	}
	return Responded
}

// Refusal is the reason why a request was refused without being run.
type Refusal string

// The refusal reasons. They are a stable interface for callers and metrics.
const (
	RefusedNoService           Refusal = "no_service"
	RefusedNoHost              Refusal = "no_host"
	RefusedQueueFull           Refusal = "queue_full"
	RefusedDeadline            Refusal = "deadline"
	RefusedDepth               Refusal = "depth"
	RefusedNotReady            Refusal = "not_ready"
	RefusedOverloaded          Refusal = "overloaded"
	RefusedUpstreamsOverloaded Refusal = "upstreams_overloaded"
	RefusedUnavailable         Refusal = "unavailable"
	RefusedCallerGone          Refusal = "caller_gone"
	RefusedMalformed           Refusal = "malformed"
	RefusedTooLarge            Refusal = "too_large"
)

// Refusals lists every refusal reason.
func Refusals() []Refusal {
	return []Refusal{
		RefusedNoService, RefusedNoHost, RefusedQueueFull, RefusedDeadline, RefusedDepth, RefusedNotReady,
		RefusedOverloaded, RefusedUpstreamsOverloaded, RefusedUnavailable, RefusedCallerGone, RefusedMalformed, RefusedTooLarge,
	}
}

// Failure is the reason why the outcome of a request is unknown.
type Failure string

// The failure reasons. They are a stable interface for callers and metrics.
const (
	FailedReset       Failure = "reset"
	FailedTimeout     Failure = "timeout"
	FailedTruncated   Failure = "truncated"
	FailedMalformed   Failure = "malformed"
	FailedCanceled    Failure = "canceled"
	FailedRequestBody Failure = "request_body"
	FailedInternal    Failure = "internal"
	// FailedBackendError means that the backend server answered with an error and
	// that no later attempt did better.
	FailedBackendError Failure = "backend_error"
)

// Failures lists every failure reason.
func Failures() []Failure {
	return []Failure{
		FailedReset, FailedTimeout, FailedTruncated, FailedMalformed, FailedCanceled, FailedRequestBody, FailedInternal,
		FailedBackendError,
	}
}

// FailureOf returns the failure reason of an attempt whose class is Unknown.
func FailureOf(c Cause) Failure {
	switch c {
	case CauseTimeout, CauseExpired:
		return FailedTimeout
	case CauseTruncated:
		return FailedTruncated
	case CauseMalformed:
		return FailedMalformed
	case CauseCanceled:
		return FailedCanceled
	case CauseRequestBody:
		return FailedRequestBody
	case CauseInternal:
		return FailedInternal
	}
	return FailedReset
}
