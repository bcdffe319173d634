// Package backend sends requests to backend servers: one attempt on one
// connection, with no retry of its own.
package backend

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"wisteriapond/core"
	"wisteriapond/outcome"
)

// Headers between entry hosts, callers and backend servers.
const (
	HeaderTimeout  = "Wisteriapond-Timeout"
	HeaderDepth    = "Wisteriapond-Depth"
	HeaderOutcome  = "Wisteriapond-Outcome"
	HeaderReason   = "Wisteriapond-Reason"
	HeaderUpstream = "Wisteriapond-Upstream"
	HeaderGaveUp   = "Wisteriapond-Gave-Up"
	HeaderLoad     = "Wisteriapond-Load"
	HeaderDraining = "Wisteriapond-Draining"
)

// Clock turns instants into times for socket deadlines.
type Clock interface {
	Now() core.Instant
	Deadline(at core.Instant) time.Time
}

// Exchange is one attempt.
type Exchange struct {
	// Response holds the answer. When Streaming is set, its body is still to
	// be read through Body.
	Response  fasthttp.Response
	Facts     outcome.Facts
	Streaming bool

	pool *Pool
	conn *connection
	hold int64
}

// Canceler lets another goroutine end an attempt.
type Canceler interface {
	OnCancel(number int, cancel func())
}

// Do carries out one attempt. It returns when the whole answer is held, when
// the head of a longer answer is in (Streaming), or when the attempt failed.
func (p *Pool) Do(ctx context.Context, clock Clock, command core.StartAttempt, request *fasthttp.Request, canceler Canceler) *Exchange {
	x := &Exchange{pool: p, hold: command.HoldBytes}
	x.Facts.Load = -1
	ctx, cancel := context.WithDeadline(ctx, clock.Deadline(command.Deadline))
	defer cancel()
	canceler.OnCancel(command.Attempt.Number, cancel)
	conn, err := p.get(ctx, command.Address, command.Fresh)
	if err != nil {
		x.fail(ctx, err, outcome.CauseDial)
		return x
	}
	x.conn = conn
	stop := context.AfterFunc(ctx, func() { conn.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	if err := x.send(clock, command, request); err != nil {
		x.fail(ctx, err, outcome.CauseReset)
		return x
	}
	if err := x.receive(command, request); err != nil {
		x.fail(ctx, err, outcome.CauseReset)
		return x
	}
	if x.Streaming {
		canceler.OnCancel(command.Attempt.Number, func() { conn.SetDeadline(time.Unix(1, 0)) })
		return x
	}
	x.finish()
	return x
}

func (x *Exchange) send(clock Clock, command core.StartAttempt, request *fasthttp.Request) error {
	now := clock.Now()
	if now > command.StartBefore || now >= command.Deadline {
		return errExpired
	}
	remaining := command.Deadline.Sub(now).Milliseconds()
	request.Header.Set(HeaderTimeout, strconv.FormatInt(max(1, remaining), 10))
	request.Header.Set(HeaderDepth, strconv.Itoa(command.Depth))
	x.Facts.Wrote = true
	if err := request.Write(x.conn.writer); err != nil {
		return err
	}
	return x.conn.writer.Flush()
}

func (x *Exchange) receive(command core.StartAttempt, request *fasthttp.Request) error {
	r := &x.Response
	r.StreamBody = true
	r.SkipBody = request.Header.IsHead()
	if err := r.ReadLimitBody(x.conn.reader, 0); err != nil {
		return err
	}
	x.readFacts(command)
	if r.SkipBody {
		return nil
	}
	if length := r.Header.ContentLength(); length < 0 || int64(length) > x.hold {
		x.Streaming = true
		return nil
	}
	return x.holdBody()
}

// holdBody reads the whole body into memory. A body shorter than its
// Content-Length is an error, so that it never looks whole.
func (x *Exchange) holdBody() error {
	r := &x.Response
	stream := r.BodyStream()
	if stream == nil {
		return nil
	}
	body, err := io.ReadAll(stream)
	if err != nil {
		return errors.Join(errTruncated, err)
	}
	if length := r.Header.ContentLength(); length >= 0 && len(body) != length {
		return errTruncated
	}
	x.Facts.Bytes = int64(len(body))
	if err := r.CloseBodyStream(); err != nil {
		return err
	}
	r.SetBodyRaw(body)
	return nil
}

func (x *Exchange) readFacts(command core.StartAttempt) {
	h := &x.Response.Header
	f := &x.Facts
	f.Status = h.StatusCode()
	if form := command.NotRun; form.Header != "" {
		f.NotRunHeader = string(h.Peek(form.Header)) == form.Value
	}
	f.GaveUp = len(h.Peek(HeaderGaveUp)) > 0
	f.Draining = len(h.Peek(HeaderDraining)) > 0
	if load, err := strconv.Atoi(string(h.Peek(HeaderLoad))); err == nil && load >= 0 {
		f.Load = load
	}
	if seconds, err := strconv.Atoi(string(h.Peek("Retry-After"))); err == nil && seconds > 0 {
		f.RetryAfter = time.Duration(min(seconds, 3600)) * time.Second
	}
}

// finish returns the connection to the pool when it can be used again.
func (x *Exchange) finish() {
	if x.conn == nil {
		return
	}
	if x.Response.ConnectionClose() || x.conn.SetDeadline(time.Time{}) != nil {
		x.conn.Close()
	} else {
		x.pool.put(x.conn)
	}
	x.conn = nil
}

func (x *Exchange) fail(ctx context.Context, err error, fallback outcome.Cause) {
	x.Facts.Cause = causeOf(ctx, err, fallback)
	x.Abort()
}

// Abort closes the connection of an exchange that did not end cleanly.
func (x *Exchange) Abort() {
	if x.conn != nil {
		x.conn.Close()
		x.conn = nil
	}
}

func causeOf(ctx context.Context, err error, fallback outcome.Cause) outcome.Cause {
	switch {
	case errors.Is(err, errExpired):
		return outcome.CauseExpired
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return outcome.CauseTimeout
	case errors.Is(ctx.Err(), context.Canceled):
		return outcome.CauseCanceled
	case errors.Is(err, errTruncated), errors.Is(err, io.ErrUnexpectedEOF):
		return outcome.CauseTruncated
	case errors.Is(err, os.ErrDeadlineExceeded):
		return outcome.CauseTimeout
	}
	var network *net.OpError
	if errors.As(err, &network) || errors.Is(err, io.EOF) || strings.Contains(err.Error(), "reset") {
		return fallback
	}
	if fallback == outcome.CauseReset {
		return outcome.CauseMalformed
	}
	return fallback
}

// Body returns the rest of a streaming answer. done is called once, with the
// final facts and whether the body came whole.
func (x *Exchange) Body(done func(facts outcome.Facts, whole bool)) io.ReadCloser {
	return &body{exchange: x, stream: x.Response.BodyStream(), length: int64(x.Response.Header.ContentLength()), done: done}
}

type body struct {
	exchange *Exchange
	stream   io.Reader
	length   int64
	read     int64
	ended    bool
	done     func(outcome.Facts, bool)
}

func (b *body) Read(p []byte) (int, error) {
	// The stream is released at its end and must not be read again.
	if b.ended {
		return 0, io.EOF
	}
	n, err := b.stream.Read(p)
	b.read += int64(n)
	if err == io.EOF && b.length >= 0 && b.read < b.length {
		err = io.ErrUnexpectedEOF
	}
	if err == io.EOF {
		b.end(true, outcome.CauseNone)
	} else if err != nil {
		b.end(false, outcome.CauseTruncated)
	}
	return n, err
}

// Close ends the body. When it was not read to its end, the caller broke off.
func (b *body) Close() error {
	if b.length >= 0 && b.read == b.length {
		b.end(true, outcome.CauseNone)
	}
	b.end(false, outcome.CauseCanceled)
	return nil
}

func (b *body) end(whole bool, cause outcome.Cause) {
	if b.ended {
		return
	}
	b.ended = true
	x := b.exchange
	x.Facts.Cause = cause
	x.Facts.Bytes = b.read
	if whole && x.Response.CloseBodyStream() == nil {
		x.finish()
	} else {
		x.Abort()
	}
	b.done(x.Facts, whole)
}
