package backend

import (
	"io"
	"time"

	"wisteriapond/outcome"
)

// stallTimeout ends a streamed answer of which no byte came for that long.
const stallTimeout = time.Minute

// Body is the rest of a streamed answer, passed on at the pace that the
// reducer set. It must be closed with CloseWithError.
type Body struct {
	exchange *Exchange
	stream   io.Reader
	begin    []byte
	read     int64
	// ended is set once the stream was read to its end or broke; it must not
	// be read again.
	ended  bool
	whole  bool
	cause  outcome.Cause
	closed bool
	done   func(facts outcome.Facts, whole bool)
}

// Body returns the body of a streamed answer. done is called once, with the
// final facts and whether the body came whole and was passed on whole.
func (x *Exchange) Body(done func(facts outcome.Facts, whole bool)) *Body {
	return &Body{exchange: x, stream: x.response.BodyStream(), begin: x.begin, done: done}
}

// Read returns the next bytes. A body that breaks is never reported as ended.
func (b *Body) Read(p []byte) (int, error) {
	if b.ended {
		return 0, b.endError()
	}
	x := b.exchange
	p = x.pacer.wait(p)
	if len(b.begin) > 0 {
		n := copy(p, b.begin)
		b.begin = b.begin[n:]
		return b.count(n), nil
	}
	x.extendRead(stallTimeout)
	n, err := b.stream.Read(p)
	b.count(n)
	if err != nil {
		b.end(err)
		err = b.endError()
	}
	return n, err
}

func (b *Body) endError() error {
	if b.whole {
		return io.EOF
	}
	return io.ErrUnexpectedEOF
}

func (b *Body) count(n int) int {
	b.read += int64(n)
	b.exchange.pacer.spend(n)
	return n
}

// end gives the connection back at once, so that a slow caller does not hold
// it for the last bytes.
func (b *Body) end(err error) {
	b.ended = true
	x := b.exchange
	if err == io.EOF && x.response.CloseBodyStream() == nil {
		b.whole = true
		x.finish()
		return
	}
	b.cause = causeOf(bodyError(err))
	if x.isCanceled() {
		b.cause = outcome.CauseCanceled
	}
	x.Abort()
}

// CloseWithError ends the body with the error of passing it on, nil for none.
// An error, or bytes left to read, mean that it was not passed on whole.
func (b *Body) CloseWithError(err error) error {
	if b.closed {
		return nil
	}
	b.closed = true
	if !b.ended {
		b.ended = true
		b.exchange.Abort()
	}
	passed := b.whole && err == nil
	if !passed && b.cause == outcome.CauseNone {
		b.cause = outcome.CauseCanceled
	}
	facts := b.exchange.Facts
	facts.Cause = b.cause
	facts.Bytes = b.read
	b.done(facts, passed)
	return nil
}

// Complete reports whether the body was read to its end.
func (b *Body) Complete() bool { return b.whole }
