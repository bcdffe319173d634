// Package backend sends requests to backend servers. An exchange is a single
// attempt on a single connection; this package never retries.
package backend

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"wisteriapond/core"
	"wisteriapond/outcome"
)

// Clock returns the current instant and converts instants to times for socket
// deadlines.
type Clock interface {
	Now() core.Instant
	Deadline(at core.Instant) time.Time
}

// Exchange is a single attempt to send a request and receive its response. It
// implements runtime.Attempt.
type Exchange struct {
	Facts outcome.Facts
	// Streaming is set if the response is too long to be buffered. Its body
	// must be read through Body.
	Streaming bool

	pool     *Pool
	command  *core.StartAttempt
	request  *Request
	response fasthttp.Response
	// prefix holds the first bytes of a streamed response of unknown length, or
	// the complete body of a buffered response.
	prefix []byte
	// unsized is set for a response of unknown length. held is the part of the bound for
	// buffered answers that the exchange has taken.
	unsized bool
	held    int64
	upload  *upload
	// sendErr is set if a request whose body is not streamed could not be sent.
	sendErr error
	// reused is set if the connection has carried an earlier request, and reusable
	// if it can carry another one.
	reused   bool
	reusable bool
	pacer    pacer

	mu         sync.Mutex
	conn       *connection
	cancelDial context.CancelFunc
	canceled   bool
}

// Start runs one attempt. attach is called once, before anything that may
// block. Start returns when the complete response is buffered, when the header
// of a longer response was received (Streaming), or when the attempt failed.
func (p *Pool) Start(clock Clock, command core.StartAttempt, request *Request, attach func(*Exchange)) *Exchange {
	x := &Exchange{pool: p, command: &command, request: request}
	x.Facts.Load = -1
	x.pacer.init(command.Rate)
	attach(x)
	x.runRecovering(clock)
	return x
}

// runRecovering turns a panic into a failed attempt, so that the reducer always
// learns about the end of the attempt.
func (x *Exchange) runRecovering(clock Clock) {
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
	x.sendErr = x.send(clock)
	if !x.Facts.Wrote {
		return x.sendErr
	}
	// The response is read even if sending failed: the backend server may have
	// responded before it closed the connection while the request was being
	// sent.
	if err := x.receive(); err != nil {
		return errors.Join(x.requestBodyError(), x.sendErr, err)
	}
	if x.Streaming {
		return x.clearDeadline()
	}
	x.finish()
	return nil
}

// checkStart rejects a command that has expired, or whose streamed body was
// already consumed.
func (x *Exchange) checkStart(clock Clock) error {
	now := clock.Now()
	if now > x.command.StartBefore || now >= x.command.Deadline {
		return errExpired
	}
	if x.request.streamConsumed {
		return &RequestBodyError{Err: errConsumed}
	}
	return nil
}

func (x *Exchange) connect(clock Clock) error {
	deadline := clock.Deadline(x.command.Deadline)
	if conn := x.pool.reuse(x.command.Address, x.command.MaxIdle); conn != nil {
		x.reused = true
		return x.useConnection(conn, deadline)
	}
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	if !x.setCancelDial(cancel) {
		return errCanceled
	}
	conn, err := x.pool.open(ctx, x.command.Address, x.command.Connections)
	if err != nil {
		return err
	}
	return x.useConnection(conn, deadline)
}

func (x *Exchange) setCancelDial(cancel context.CancelFunc) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.cancelDial = cancel
	return !x.canceled
}

// useConnection assigns a connection to the attempt.
func (x *Exchange) useConnection(conn *connection, deadline time.Time) error {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.cancelDial = nil
	x.conn = conn
	if x.canceled {
		return errCanceled
	}
	return conn.SetDeadline(deadline)
}

// send writes the request. The expiry is checked again right before the first
// byte, because opening the connection or a pause of the process may have taken
// longer than the command is valid.
func (x *Exchange) send(clock Clock) error {
	header := x.request.encodeHeader(&x.pool.Dialect, x.command, x.command.Deadline.Sub(clock.Now()))
	if err := x.checkStart(clock); err != nil {
		return err
	}
	x.Facts.Wrote = true
	if x.request.Stream != nil {
		x.startUpload(header)
		return nil
	}
	return x.request.write(x.conn.Conn, header)
}

// clearDeadline removes the deadline of the attempt, which bounds the wait for
// a response, not the transfer of a long one.
func (x *Exchange) clearDeadline() error {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.canceled {
		return errCanceled
	}
	return x.conn.SetDeadline(time.Time{})
}

// extendReadDeadline gives a streamed response time for its next bytes.
func (x *Exchange) extendReadDeadline(d time.Duration) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if !x.canceled && x.conn != nil {
		x.conn.SetReadDeadline(time.Now().Add(d))
	}
}

// Cancel ends pending reads, writes and dials of the attempt. The goroutine
// that runs the attempt closes the connection.
func (x *Exchange) Cancel() {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.canceled {
		return
	}
	x.canceled = true
	x.pacer.cancel()
	if x.cancelDial != nil {
		x.cancelDial()
	}
	if x.conn != nil {
		x.conn.SetDeadline(pastDeadline)
	}
}

// TakeHeld returns the size of the part of the bound for buffered answers that the
// exchange has taken. The caller has to return it with Pool.ReleaseHeld, once. Further
// calls return 0.
func (x *Exchange) TakeHeld() int64 {
	held := x.held
	x.held = 0
	return held
}

// SetReadBuffer changes the size of the socket buffer for the rest of the response. The
// connection is not used again, since its buffer would stay small.
func (x *Exchange) SetReadBuffer(size int) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.reusable = false
	if x.conn == nil {
		return
	}
	if tcp, ok := x.conn.Conn.(*net.TCPConn); ok {
		tcp.SetReadBuffer(size)
	}
}

// Attempt returns the ID of the attempt.
func (x *Exchange) Attempt() core.AttemptID { return x.command.Attempt }

// SetRate changes the rate of a streamed response, in bytes per second; 0 means
// no pacing.
func (x *Exchange) SetRate(bytesPerSecond int64) { x.pacer.setRate(bytesPerSecond) }

func (x *Exchange) isCanceled() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.canceled
}

// finish returns the connection to the pool if it can be reused, and closes it
// otherwise.
func (x *Exchange) finish() {
	sendErr := x.stopSending()
	conn := x.detach()
	switch {
	case conn == nil:
	case x.reusable && sendErr == nil && !x.isCanceled():
		x.pool.put(conn)
	default:
		x.pool.discard(conn)
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
		x.stopSending()
	}
	if conn := x.detach(); conn != nil {
		x.pool.discard(conn)
	}
}

// detach takes the connection from the attempt, so that a late Cancel does not
// affect its next use.
func (x *Exchange) detach() *connection {
	x.mu.Lock()
	defer x.mu.Unlock()
	conn := x.conn
	x.conn = nil
	return conn
}
