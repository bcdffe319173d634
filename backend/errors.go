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

// DialError says that no connection to a backend server could be opened.
type DialError struct {
	Address string
	Err     error
}

func (e *DialError) Error() string { return fmt.Sprintf("connect to %s: %v", e.Address, e.Err) }

func (e *DialError) Unwrap() error { return e.Err }

// ConnectionLimitError says that an address already has all the connections that this
// host may open to it.
type ConnectionLimitError struct {
	Address string
	Limit   int
}

func (e *ConnectionLimitError) Error() string {
	return fmt.Sprintf("connect to %s: all %d connections are in use", e.Address, e.Limit)
}

// RequestBodyError says that the caller broke off its request body.
type RequestBodyError struct {
	Err error
}

func (e *RequestBodyError) Error() string { return fmt.Sprintf("read request body: %v", e.Err) }

func (e *RequestBodyError) Unwrap() error { return e.Err }

// TruncatedError says that an answer ended before its whole body.
type TruncatedError struct {
	Err error
}

func (e *TruncatedError) Error() string { return fmt.Sprintf("truncated answer: %v", e.Err) }

func (e *TruncatedError) Unwrap() error { return e.Err }

// MalformedError says that an answer breaks the protocol.
type MalformedError struct {
	Err error
}

func (e *MalformedError) Error() string { return fmt.Sprintf("malformed answer: %v", e.Err) }

func (e *MalformedError) Unwrap() error { return e.Err }

// Errors of this layer without further details.
var (
	errExpired  = errors.New("the command expired before the first byte")
	errCanceled = errors.New("the attempt was cancelled")
	errStale    = errors.New("the idle connection is closed or has unread bytes")
	errConsumed = errors.New("the request body was already read")
	errUpgrade  = errors.New("the backend server switched protocols")
	errInternal = errors.New("a fault of this process")
	// errOtherInstance says that the address belongs to another instance now.
	errOtherInstance = errors.New("another instance answered")
	errStray         = errors.New("the answer belongs to another request")
	errUnnamed       = errors.New("the answer does not name its request")
)

// causeOf turns an error into the cause that the reducer knows. The order
// matters: a timeout or a cancel also shows as a broken read.
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

// headError classifies an error from reading the head of an answer. Whatever
// is neither an end of file nor a network error breaks the protocol.
func headError(err error) error {
	if errors.Is(err, io.EOF) || isNetwork(err) {
		return err
	}
	return &MalformedError{Err: err}
}

// bodyError classifies an error from reading the body of an answer.
func bodyError(err error) error {
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || isNetwork(err) || endsInTrailer(err) {
		return &TruncatedError{Err: err}
	}
	return &MalformedError{Err: err}
}

// endsInTrailer reports whether a chunked body ended after its last chunk,
// within the trailer. fasthttp wraps that end of file without Unwrap.
func endsInTrailer(err error) bool {
	var broken fasthttp.ErrBrokenChunk
	return errors.As(err, &broken) && broken.Error() == io.ErrUnexpectedEOF.Error()
}

func isNetwork(err error) bool {
	var network *net.OpError
	var number syscall.Errno
	return errors.As(err, &network) || errors.As(err, &number) || isTimeout(err) || errors.Is(err, net.ErrClosed)
}

func isTimeout(err error) bool {
	return errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, fasthttp.ErrTimeout)
}
