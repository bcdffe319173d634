package backend

import (
	"io"
	"time"

	"wisteriapond/outcome"
)

// stallTimeout aborts a streamed response from which no byte arrived for this
// long.
const stallTimeout = time.Minute

// Body is the remaining body of a streamed response, read at the rate set by
// the reducer. It must be closed with CloseWithError.
type Body struct {
	exchange  *Exchange
	stream    io.Reader
	prefix    []byte
	bytesRead int64
	// ended is set once the stream was read to its end or failed. The stream
	// must not be read afterwards.
	ended    bool
	complete bool
	cause    outcome.Cause
	closed   bool
	onEnd    func(facts outcome.Facts, complete bool)
}

// Body returns the body of a streamed response. onEnd is called once, with the
// final facts and whether the body was received and forwarded completely.
func (x *Exchange) Body(onEnd func(facts outcome.Facts, complete bool)) *Body {
	return &Body{exchange: x, stream: x.response.BodyStream(), prefix: x.prefix, onEnd: onEnd}
}

// Read returns the next bytes. A truncated body ends with io.ErrUnexpectedEOF,
// never with io.EOF.
func (b *Body) Read(p []byte) (int, error) {
	if b.ended {
		return 0, b.endError()
	}
	x := b.exchange
	p = x.pacer.wait(p)
	if len(b.prefix) > 0 {
		n := copy(p, b.prefix)
		b.prefix = b.prefix[n:]
		return b.count(n), nil
	}
	x.extendReadDeadline(stallTimeout)
	n, err := b.stream.Read(p)
	b.count(n)
	if limit := x.command.UnsizedBytes; x.unsized && limit > 0 && b.bytesRead > limit && err == nil {
		err = &MalformedError{Err: errUnsizedTooLong}
	}
	if err != nil {
		b.end(err)
		err = b.endError()
	}
	return n, err
}

func (b *Body) endError() error {
	if b.complete {
		return io.EOF
	}
	return io.ErrUnexpectedEOF
}

func (b *Body) count(n int) int {
	b.bytesRead += int64(n)
	b.exchange.pacer.consume(n)
	return n
}

// end returns the connection to the pool at once, so that a slow caller does
// not occupy it while the last bytes are forwarded.
func (b *Body) end(err error) {
	b.ended = true
	x := b.exchange
	if err == io.EOF {
		err = x.closeBody()
	} else {
		err = bodyError(err)
	}
	if err == nil {
		b.complete = true
		x.finish()
		return
	}
	b.cause = causeOf(err)
	if x.isCanceled() {
		b.cause = outcome.CauseCanceled
	}
	x.Abort()
}

// CloseWithError ends the body. err is the error from forwarding it, nil for
// none. The body counts as incomplete if err is not nil or if bytes are left
// unread.
func (b *Body) CloseWithError(err error) error {
	if b.closed {
		return nil
	}
	b.closed = true
	if !b.ended {
		b.ended = true
		b.exchange.Abort()
	}
	forwarded := b.complete && err == nil
	if !forwarded && b.cause == outcome.CauseNone {
		b.cause = outcome.CauseCanceled
	}
	facts := b.exchange.Facts
	facts.Cause = b.cause
	facts.Bytes = b.bytesRead
	b.onEnd(facts, forwarded)
	return nil
}

// Complete reports whether the body was read to its end.
func (b *Body) Complete() bool { return b.complete }
