package caller

import (
	"fmt"

	"github.com/valyala/fasthttp"

	"wisteriapond/backend"
	"wisteriapond/core"
	"wisteriapond/outcome"
	"wisteriapond/runtime"
)

// call carries one request through its attempts. It belongs to the goroutine
// that serves the caller's connection.
type call struct {
	server    *Server
	ctx       *fasthttp.RequestCtx
	conn      *conn
	request   *backend.Request
	ticket    *runtime.Ticket
	startedAt core.Instant
	// lastCommand is the last command from the reducer; attemptedService is the
	// service of the last attempt.
	lastCommand      core.Effect
	attemptedService string
	// exchange is the last attempt.
	exchange *backend.Exchange
	// pendingAttempt is the attempt whose end has not been reported to the
	// reducer, nil for none.
	pendingAttempt *core.AttemptID
	// forwarding is set once the reducer has decided to forward a response.
	forwarding bool
	// streaming is set once the response body is left to fasthttp, which reads
	// it after the handler has returned.
	streaming bool
	// ahead is the call before its turn, nil from its turn on.
	ahead *aheadCall
	// ended is set once the reducer has ended the request or can no longer end
	// it.
	ended bool
}

func (x *call) submit(arrival core.RequestArrived) {
	x.ticket = x.server.loop.Submit(arrival)
	if x.ticket == nil {
		reason := x.submitRefusal()
		x.server.observeRefusal(reason)
		writeRefusal(x.ctx, &x.server.pool.Dialect, core.Refuse{Reason: reason})
		return
	}
	id := x.ticket.ID
	x.conn.watchDisconnect(func() { x.server.loop.Send(core.CallerGone{ID: id}) })
	x.respond(x.awaitEnd())
}

// submitRefusal returns the reason why the loop did not accept the request.
func (x *call) submitRefusal() outcome.Refusal {
	select {
	case <-x.server.loop.Done():
		return outcome.RefusedNotReady
	default:
		return outcome.RefusedOverloaded
	}
}

// awaitEnd executes the commands of the reducer until one ends the request, and returns
// it. It returns nil if the loop has ended.
func (x *call) awaitEnd() core.Effect {
	for command := range x.ticket.Commands {
		x.lastCommand = command
		start, ok := command.(core.StartAttempt)
		if !ok {
			return command
		}
		x.attemptedService = start.Service
		x.runAttempt(start)
	}
	return nil
}

// respond responds as the last command of the reducer says.
func (x *call) respond(command core.Effect) {
	switch c := command.(type) {
	case core.PassAnswer:
		x.forwarding = true
		x.ended = !x.exchange.Streaming
		x.forward(c)
	case core.Refuse:
		x.ended = true
		x.abort()
		writeRefusal(x.ctx, &x.server.pool.Dialect, c)
	case core.Fail:
		x.ended = true
		x.abort()
		writeFailure(x.ctx, c)
	default:
		x.respondLoopEnded()
	}
}

// respondLoopEnded responds to a request that was in progress when the loop
// ended.
func (x *call) respondLoopEnded() {
	x.ended = true
	x.abort()
	if x.exchange == nil {
		writeRefusal(x.ctx, &x.server.pool.Dialect, core.Refuse{Reason: outcome.RefusedNotReady})
		return
	}
	writeFailure(x.ctx, core.Fail{Reason: outcome.FailedCanceled})
}

func (x *call) runAttempt(command core.StartAttempt) {
	x.abort()
	x.pendingAttempt = &command.Attempt
	number := command.Attempt.Number
	x.exchange = x.server.pool.Start(x.server.loop, command, x.request, func(e *backend.Exchange) {
		x.ticket.Attach(number, e)
	})
	x.pendingAttempt = nil
	if held := x.exchange.TakeHeld(); held > 0 && x.ahead != nil {
		x.ahead.hold(held)
	} else if held > 0 {
		x.conn.usage.hold(held, func() { x.server.pool.ReleaseHeld(held) })
	}
	if x.exchange.Streaming {
		x.server.loop.Send(core.AnswerBegun{Attempt: command.Attempt, Facts: x.exchange.Facts})
		return
	}
	x.server.loop.Send(core.AttemptFinished{Attempt: command.Attempt, Facts: x.exchange.Facts})
}

// abort closes the connection of an attempt whose response is not needed.
func (x *call) abort() {
	if x.exchange != nil {
		x.exchange.Abort()
	}
}

// recoverPanic turns a panic into an error response, and reports to the reducer
// that the request has ended.
func (x *call) recoverPanic() {
	fault := recover()
	if fault == nil {
		return
	}
	x.logPanic(fault)
	x.ctx.Response.Reset()
	x.abort()
	x.releaseRequest()
	x.respondPanic()
}

func (x *call) logPanic(fault any) {
	x.server.log.WithField("fault", fmt.Sprint(fault)).Error("recovered from a panic while handling a request")
}

// respondPanic responds to a request that ended with a panic. The connection ends, unless
// requests behind this one have been started.
func (x *call) respondPanic() {
	if !x.conn.hasAhead() {
		x.ctx.SetConnectionClose()
	}
	if x.exchange == nil && x.pendingAttempt == nil {
		writeRefusal(x.ctx, &x.server.pool.Dialect, core.Refuse{Reason: outcome.RefusedOverloaded})
		return
	}
	writeFailure(x.ctx, core.Fail{Reason: outcome.FailedInternal})
}

// releaseRequest ends the request in the reducer after a panic: it reports that
// the caller disconnected, and that every attempt or response the reducer still
// waits for was aborted.
func (x *call) releaseRequest() {
	if x.ticket == nil || x.ended {
		return
	}
	x.ended = true
	x.server.loop.Send(core.CallerGone{ID: x.ticket.ID})
	x.reportAttemptEnd(x.pendingAttempt)
	if x.forwarding {
		x.reportStreamEnd()
		return
	}
	for command := range x.ticket.Commands {
		switch c := command.(type) {
		case core.StartAttempt:
			x.exchange = nil
			x.reportAttemptEnd(&c.Attempt)
		case core.PassAnswer:
			x.reportStreamEnd()
			return
		default:
			return
		}
	}
}

// reportStreamEnd reports the end of a response that was being streamed.
func (x *call) reportStreamEnd() {
	if x.exchange != nil && x.exchange.Streaming {
		x.server.loop.Send(core.AnswerDelivered{Attempt: x.exchange.Attempt(), Facts: abortedFacts()})
	}
}

func (x *call) reportAttemptEnd(attempt *core.AttemptID) {
	if attempt != nil {
		x.server.loop.Send(core.AttemptFinished{Attempt: *attempt, Facts: abortedFacts()})
	}
}

// abortedFacts returns the facts of an attempt that was aborted by an internal
// fault. Its request may have run.
func abortedFacts() outcome.Facts {
	return outcome.Facts{Cause: outcome.CauseInternal, Wrote: true, Load: -1}
}

// finish runs when the handler returns.
func (x *call) finish() {
	x.observeLatency()
	// Requests behind this one that have reached a backend server are answered first.
	if x.server.closing() && !x.conn.hasAhead() {
		x.ctx.SetConnectionClose()
	}
	if !x.streaming {
		x.conn.stopWatching()
	}
	if x.requestBodyPending() {
		x.ctx.SetConnectionClose()
		x.conn.lingerOnClose()
	}
	if x.ctx.Response.Header.ConnectionClose() {
		x.conn.dropAhead()
	}
	if x.request != nil && x.request.Stream == nil {
		x.request.Reset()
		requestPool.Put(x.request)
	}
}

// requestBodyPending reports whether the caller may still be sending its
// request body.
func (x *call) requestBodyPending() bool {
	if x.request == nil || x.request.Stream == nil || x.streaming {
		return false
	}
	body, ok := x.request.Stream.(*bodyStream)
	return ok && !body.ended
}
