// Package outcome defines the outcomes of requests and of their attempts,
// classifies attempts, and decides whether an attempt may be retried and what
// it reveals about the health of the upstream.
package outcome

import "time"

// Class states whether the backend server ran the request of a finished
// attempt.
type Class int

// Classes of attempts.
const (
	// NotRun means that the backend server cannot have run the request.
	NotRun Class = iota + 1
	// Unknown means that the backend server may have run the request.
	Unknown
	// Responded means that a complete response was received.
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

// Cause is the reason why an attempt ended.
type Cause int

// Causes. CauseNone means that a complete response was received.
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
	// CauseConnectionLimit means that this host already has the maximum number
	// of connections to the address. It does not indicate a problem of the
	// backend server.
	CauseConnectionLimit
	// CauseInternal means an internal error of this process.
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

// LoadReport is the load that a backend server reports. Known is false if it
// reported none.
type LoadReport struct {
	Known   bool
	Running int
	Waiting int
	Slots   int
	// Slowdown is the current processing time in percent of the usual one, 0 if
	// not reported.
	Slowdown int
}

// WarmUpReport is the remaining warm-up time that a backend server reports. Known
// is false if it reported none.
type WarmUpReport struct {
	Known bool
	Left  time.Duration
}

// Facts holds what the transport observed during an attempt, without any
// interpretation.
type Facts struct {
	Cause Cause
	// Wrote is set immediately before the first byte is passed to the
	// connection, because the byte may have been sent even if the write fails.
	Wrote bool
	// Status is the status of the response, 0 if no header section was
	// received.
	Status int
	// NotRunHeader is set if the response has the header and value of the
	// service's not-run form.
	NotRunHeader bool
	// GaveUp is set if the response indicates that a lower layer has already
	// used up its retries.
	GaveUp bool
	// RetryAfter is the wait that the backend server requested, 0 for none.
	RetryAfter time.Duration
	// Draining is set if the backend server reports that it is leaving.
	Draining bool
	// Load is the load that the backend server reports, in running requests;
	// -1 if it reports none.
	Load int
	// Told is the load report of a backend server that reports more than one
	// number.
	Told LoadReport
	// BodyTaken is set if a part of a streamed request body was consumed. The
	// request cannot be sent again, whatever the class of the attempt.
	BodyTaken bool
	// Unsized is set if the length of the response body was not announced and the
	// body exceeds the size up to which it is buffered.
	Unsized bool
	// Bytes is the number of bytes of the response body that were read.
	Bytes int64
	// WarmUp is what the backend server reports of its warm-up.
	WarmUp WarmUpReport
}

// Classify returns the class of an attempt. notRunStatus is the status of the
// service's not-run form, 0 if the header alone is sufficient.
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

// Refusal is the reason why a request was rejected without being run.
type Refusal string

// Refusal reasons. They are a stable interface for callers and metrics.
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

// Refusals returns every refusal reason.
func Refusals() []Refusal {
	return []Refusal{
		RefusedNoService, RefusedNoHost, RefusedQueueFull, RefusedDeadline, RefusedDepth, RefusedNotReady,
		RefusedOverloaded, RefusedUpstreamsOverloaded, RefusedUnavailable, RefusedCallerGone, RefusedMalformed, RefusedTooLarge,
	}
}

// Failure is the reason why the outcome of a request is unknown.
type Failure string

// Failure reasons. They are a stable interface for callers and metrics.
const (
	FailedReset       Failure = "reset"
	FailedTimeout     Failure = "timeout"
	FailedTruncated   Failure = "truncated"
	FailedMalformed   Failure = "malformed"
	FailedCanceled    Failure = "canceled"
	FailedRequestBody Failure = "request_body"
	FailedInternal    Failure = "internal"
	// FailedBackendError means that the backend server responded with an error
	// and that no later attempt succeeded.
	FailedBackendError Failure = "backend_error"
)

// Failures returns every failure reason.
func Failures() []Failure {
	return []Failure{
		FailedReset, FailedTimeout, FailedTruncated, FailedMalformed, FailedCanceled, FailedRequestBody, FailedInternal,
		FailedBackendError,
	}
}

// FailureOf returns the failure reason of an attempt of class Unknown.
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
