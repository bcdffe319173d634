// Package backend sends requests to backend servers: one attempt on one
// connection, with no retry of its own.
package backend

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"wisteriapond/core"
	"wisteriapond/outcome"
)

// Clock turns instants into times for socket deadlines.
type Clock interface {
	Now() core.Instant
	Deadline(at core.Instant) time.Time
}

// Exchange is one attempt. It is a runtime.Attempt.
type Exchange struct {
	Facts outcome.Facts
	// Streaming is set when the answer is too long to be held. Its body is
	// still to be read through Body.
	Streaming bool

	pool     *Pool
	command  *core.StartAttempt
	request  *Request
	response fasthttp.Response
	// begin holds the first bytes of a streamed answer of unknown length, or
	// the whole body of a held one.
	begin    []byte
	upload   *upload
	reusable bool
	pacer    pacer

	mu       sync.Mutex
	conn     *connection
	stopDial context.CancelFunc
	canceled bool
}

// Start carries out one attempt. attach is called once, before anything that
// can wait. Start returns when the whole answer is held, when the head of a
// longer answer is in (Streaming), or when the attempt failed.
func (p *Pool) Start(clock Clock, command core.StartAttempt, request *Request, attach func(*Exchange)) *Exchange {
	x := &Exchange{pool: p, command: &command, request: request}
	x.Facts.Load = -1
	x.pacer.init(command.Rate)
	attach(x)
	x.runSafely(clock)
	return x
}

// runSafely turns a panic into a failed attempt, so that the reducer always
// learns the end of the attempt.
func (x *Exchange) runSafely(clock Clock) {
	defer func() {
		if fault := recover(); fault != nil {
			x.fail(errInternal)
		}
	}()
	if err := x.run(clock); err != nil {
		x.fail(err)
	}
}

func (x *Exchange) run(clock Clock) error {
	if err := x.checkStart(clock); err != nil {
		return err
	}
	if err := x.connect(clock); err != nil {
		return err
	}
	sent := x.send(clock)
	if !x.Facts.Wrote {
		return sent
	}
	// A backend server may have answered before it closed the connection
	// under the request.
	if err := x.receive(); err != nil {
		return errors.Join(x.brokenUpload(), sent, err)
	}
	if x.Streaming {
		return x.endDeadline()
	}
	x.finish()
	return nil
}

// checkStart refuses commands that come too late, or whose body is gone.
func (x *Exchange) checkStart(clock Clock) error {
	now := clock.Now()
	if now > x.command.StartBefore || now >= x.command.Deadline {
		return errExpired
	}
	if x.request.taken {
		return &RequestBodyError{Err: errConsumed}
	}
	return nil
}

func (x *Exchange) connect(clock Clock) error {
	deadline := clock.Deadline(x.command.Deadline)
	if conn := x.pool.reuse(x.command.Address, x.command.MaxIdle); conn != nil {
		return x.use(conn, deadline)
	}
	ctx, stop := context.WithDeadline(context.Background(), deadline)
	defer stop()
	if !x.setStopDial(stop) {
		return errCanceled
	}
	conn, err := x.pool.open(ctx, x.command.Address, x.command.Connections)
	if err != nil {
		return err
	}
	return x.use(conn, deadline)
}

func (x *Exchange) setStopDial(stop context.CancelFunc) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.stopDial = stop
	return !x.canceled
}

// use takes a connection for this attempt.
func (x *Exchange) use(conn *connection, deadline time.Time) error {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.stopDial = nil
	x.conn = conn
	if x.canceled {
		return errCanceled
	}
	return conn.SetDeadline(deadline)
}

// send writes the request. The time is checked again right before the first
// byte: opening the connection, or a pause of the process, may have taken
// longer than the command is good for.
func (x *Exchange) send(clock Clock) error {
	head := x.request.head(&x.pool.Dialect, x.command, x.command.Deadline.Sub(clock.Now()))
	if err := x.checkStart(clock); err != nil {
		return err
	}
	x.Facts.Wrote = true
	if x.request.Stream != nil {
		x.startUpload(head)
		return nil
	}
	return x.request.write(x.conn.Conn, head)
}

// endDeadline lifts the deadline of the attempt: it bounds the wait for an
// answer, not the transfer of a long one.
func (x *Exchange) endDeadline() error {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.canceled {
		return errCanceled
	}
	return x.conn.SetDeadline(time.Time{})
}

// extendRead gives a streamed answer time for its next bytes.
func (x *Exchange) extendRead(d time.Duration) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if !x.canceled && x.conn != nil {
		x.conn.SetReadDeadline(time.Now().Add(d))
	}
}

// Cancel ends the attempt. The goroutine that runs it closes the connection.
func (x *Exchange) Cancel() {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.canceled {
		return
	}
	x.canceled = true
	x.pacer.cancel()
	if x.stopDial != nil {
		x.stopDial()
	}
	if x.conn != nil {
		x.conn.SetDeadline(past)
	}
}

// Attempt returns the name of the attempt.
func (x *Exchange) Attempt() core.AttemptID { return x.command.Attempt }

// SetRate changes the pacing of a streamed answer.
func (x *Exchange) SetRate(bytesPerSecond int64) { x.pacer.setRate(bytesPerSecond) }

func (x *Exchange) isCanceled() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.canceled
}

// finish returns the connection to the pool when it can be used again.
func (x *Exchange) finish() {
	complete := x.stopUpload()
	conn := x.detach()
	switch {
	case conn == nil:
	case x.reusable && complete && !x.isCanceled():
		x.pool.put(conn)
	default:
		x.pool.drop(conn)
	}
}

func (x *Exchange) fail(err error) {
	if x.isCanceled() {
		err = errCanceled
	}
	x.Facts.Cause = causeOf(err)
	x.Streaming = false
	x.Abort()
}

// Abort closes the connection of an exchange that did not end cleanly.
func (x *Exchange) Abort() {
	if x.conn != nil {
		x.stopUpload()
	}
	if conn := x.detach(); conn != nil {
		x.pool.drop(conn)
	}
}

// detach takes the connection away from the attempt, so that a late Cancel
// does not touch it.
func (x *Exchange) detach() *connection {
	x.mu.Lock()
	defer x.mu.Unlock()
	conn := x.conn
	x.conn = nil
	return conn
}
