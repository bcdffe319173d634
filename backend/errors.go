package backend

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"syscall"

	"github.com/valyala/fasthttp"

	"wisteriapond/outcome"
)

// DialError reports that no connection to a backend server could be opened.
type DialError struct {
	Address string
	Err     error
}

func (e *DialError) Error() string { return fmt.Sprintf("connect to %s: %v", e.Address, e.Err) }

func (e *DialError) Unwrap() error { return e.Err }

// ConnectionLimitError reports that this host already has as many connections
// to an address as it may open.
type ConnectionLimitError struct {
	Address string
	Limit   int
}

func (e *ConnectionLimitError) Error() string {
	return fmt.Sprintf("connect to %s: all %d connections are in use", e.Address, e.Limit)
}

// RequestBodyError reports that the request body could not be read completely
// from the caller.
type RequestBodyError struct {
	Err error
}

func (e *RequestBodyError) Error() string { return fmt.Sprintf("read request body: %v", e.Err) }

func (e *RequestBodyError) Unwrap() error { return e.Err }

// TruncatedError reports that a response ended before the end of its body.
type TruncatedError struct {
	Err error
}

func (e *TruncatedError) Error() string { return fmt.Sprintf("truncated response: %v", e.Err) }

func (e *TruncatedError) Unwrap() error { return e.Err }

// MalformedError reports that a response violates the protocol.
type MalformedError struct {
	Err error
}

func (e *MalformedError) Error() string { return fmt.Sprintf("malformed response: %v", e.Err) }

func (e *MalformedError) Unwrap() error { return e.Err }

// Errors without further details.
var (
	errExpired  = errors.New("command expired before the first byte was written")
	errCanceled = errors.New("attempt was canceled")
	errStale    = errors.New("idle connection is closed or has unread bytes")
	errConsumed = errors.New("request body was already consumed by an earlier attempt")
	errInternal = errors.New("attempt panicked")
	// errOtherInstance means that the address now belongs to another instance.
	errOtherInstance  = errors.New("another instance responded")
	errUnmatched      = errors.New("response belongs to another request")
	errTooManyInterim = errors.New("too many interim responses")
	errUnsizedTooLong = errors.New("response without an announced length exceeds the limit")
	errMissingID      = errors.New("successful response does not carry the request ID")
)

// causeOf maps an error to the cause that is reported to the reducer. The order
// matters: a timeout or a cancellation also shows up as a failed read.
func causeOf(err error) outcome.Cause {
	var (
		dial      *DialError
		limit     *ConnectionLimitError
		body      *RequestBodyError
		truncated *TruncatedError
		malformed *MalformedError
	)
	switch {
	case err == nil:
		return outcome.CauseNone
	case errors.Is(err, errExpired):
		return outcome.CauseExpired
	case errors.Is(err, errCanceled):
		return outcome.CauseCanceled
	case errors.As(err, &body):
		return outcome.CauseRequestBody
	case errors.As(err, &limit):
		return outcome.CauseConnectionLimit
	case errors.As(err, &dial):
		return outcome.CauseDial
	case errors.Is(err, errInternal):
		return outcome.CauseInternal
	case isTimeout(err):
		return outcome.CauseTimeout
	case errors.As(err, &truncated):
		return outcome.CauseTruncated
	case errors.As(err, &malformed):
		return outcome.CauseMalformed
	}
	return outcome.CauseReset
}

// headerError classifies an error from reading the header of a response.
// Anything other than an end of file or a network error is a protocol
// violation.
func headerError(err error) error {
	if errors.Is(err, io.EOF) || isNetworkError(err) {
		return err
	}
	return &MalformedError{Err: err}
}

// bodyError classifies an error from reading the body of a response.
func bodyError(err error) error {
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || isNetworkError(err) || truncatedInTrailer(err) {
		return &TruncatedError{Err: err}
	}
	return &MalformedError{Err: err}
}

// truncatedInTrailer reports whether a chunked body ended within the trailer
// section, after its last chunk. fasthttp wraps this end of file without an
// Unwrap method.
func truncatedInTrailer(err error) bool {
	var chunkError fasthttp.ErrBrokenChunk
	return errors.As(err, &chunkError) && chunkError.Error() == io.ErrUnexpectedEOF.Error()
}

func isNetworkError(err error) bool {
	var opError *net.OpError
	var errno syscall.Errno
	return errors.As(err, &opError) || errors.As(err, &errno) || isTimeout(err) || errors.Is(err, net.ErrClosed)
}

// isConnectionFailure reports whether the write of a request failed because the connection
// did, such as by a reset. Linux reports EPIPE instead if the server had closed the
// connection in order before it reset it.
func isConnectionFailure(writeErr error) bool {
	var body *RequestBodyError
	var errno syscall.Errno
	return !errors.As(writeErr, &body) && errors.As(writeErr, &errno) && errno != syscall.EPIPE
}

func isTimeout(err error) bool {
	return errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, fasthttp.ErrTimeout)
}
