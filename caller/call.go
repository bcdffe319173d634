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
// of the caller's connection.
type call struct {
	server  *Server
	ctx     *fasthttp.RequestCtx
	conn    *conn
	request *backend.Request
	ticket  *runtime.Ticket
	begun   core.Instant
	// last is the last command, and started the service of the last attempt.
	last    core.Effect
	started string
	// exchange is the last attempt.
	exchange *backend.Exchange
	// running names the attempt whose end the reducer has not been told.
	running *core.AttemptID
	// passing is set once an answer is to be passed on.
	passing bool
	// streaming is set once the body of an answer is left to fasthttp, which
	// reads it after the handler returned.
	streaming bool
	// ended is set once the reducer has ended the request.
	ended bool
}

func (x *call) submit(arrival core.RequestArrived) {
	x.ticket = x.server.loop.Submit(arrival)
	if x.ticket == nil {
		reason := x.notTaken()
		x.server.refused(reason)
		writeRefusal(x.ctx, &x.server.pool.Dialect, core.Refuse{Reason: reason})
		return
	}
	id := x.ticket.ID
	x.conn.watch(func() { x.server.loop.Send(core.CallerGone{ID: id}) })
	x.follow()
}

// notTaken returns why the loop took no request.
func (x *call) notTaken() outcome.Refusal {
	select {
	case <-x.server.loop.Done():
		return outcome.RefusedNotReady
	default:
		return outcome.RefusedOverloaded
	}
}

// follow carries out commands until the request is over.
func (x *call) follow() {
	for command := range x.ticket.Commands {
		x.last = command
		switch c := command.(type) {
		case core.StartAttempt:
			x.started = c.Service
			x.attempt(c)
		case core.PassAnswer:
			x.passing = true
			x.ended = !x.exchange.Streaming
			x.pass(c)
			return
		case core.Refuse:
			x.ended = true
			x.abort()
			writeRefusal(x.ctx, &x.server.pool.Dialect, c)
			return
		case core.Fail:
			x.ended = true
			x.abort()
			writeFailure(x.ctx, c)
			return
		}
	}
	x.abandoned()
}

// abandoned answers a request that was under way when the loop ended.
func (x *call) abandoned() {
	x.ended = true
	x.abort()
	if x.exchange == nil {
		writeRefusal(x.ctx, &x.server.pool.Dialect, core.Refuse{Reason: outcome.RefusedNotReady})
		return
	}
	writeFailure(x.ctx, core.Fail{Reason: outcome.FailedCanceled})
}

func (x *call) attempt(command core.StartAttempt) {
	x.abort()
	x.running = &command.Attempt
	number := command.Attempt.Number
	x.exchange = x.server.pool.Start(x.server.loop, command, x.request, func(e *backend.Exchange) {
		x.ticket.Attach(number, e)
	})
	x.running = nil
	if x.exchange.Streaming {
		x.server.loop.Send(core.AnswerBegun{Attempt: command.Attempt, Facts: x.exchange.Facts})
		return
	}
	x.server.loop.Send(core.AttemptFinished{Attempt: command.Attempt, Facts: x.exchange.Facts})
}

// abort closes the connection of an attempt whose answer is not wanted.
func (x *call) abort() {
	if x.exchange != nil {
		x.exchange.Abort()
	}
}

// recover turns a fault of this process into an answer, and tells the reducer
// that the request is over.
func (x *call) recover() {
	fault := recover()
	if fault == nil {
		return
	}
	x.server.log.WithField("fault", fmt.Sprint(fault)).Error("a request ended with a fault")
	x.ctx.Response.Reset()
	x.ctx.SetConnectionClose()
	x.abort()
	x.release()
	if x.exchange == nil && x.running == nil {
		writeRefusal(x.ctx, &x.server.pool.Dialect, core.Refuse{Reason: outcome.RefusedOverloaded})
		return
	}
	writeFailure(x.ctx, core.Fail{Reason: outcome.FailedInternal})
}

// release ends a request towards the reducer without its help: whatever the
// reducer waits for is reported as given up.
func (x *call) release() {
	if x.ticket == nil || x.ended {
		return
	}
	x.ended = true
	x.server.loop.Send(core.CallerGone{ID: x.ticket.ID})
	x.finishAttempt(x.running)
	if x.passing {
		x.finishStream()
		return
	}
	for command := range x.ticket.Commands {
		switch c := command.(type) {
		case core.StartAttempt:
			x.exchange = nil
			x.finishAttempt(&c.Attempt)
		case core.PassAnswer:
			x.finishStream()
			return
		default:
			return
		}
	}
}

// finishStream reports the end of an answer that was begun.
func (x *call) finishStream() {
	if x.exchange != nil && x.exchange.Streaming {
		x.server.loop.Send(core.AnswerDelivered{Attempt: x.exchange.Attempt(), Facts: canceled()})
	}
}

func (x *call) finishAttempt(attempt *core.AttemptID) {
	if attempt != nil {
		x.server.loop.Send(core.AttemptFinished{Attempt: *attempt, Facts: canceled()})
	}
}

// canceled is the facts of an attempt that was given up; its request may have
// run.
func canceled() outcome.Facts {
	return outcome.Facts{Cause: outcome.CauseInternal, Wrote: true, Load: -1}
}

// end runs when the handler returns.
func (x *call) end() {
	x.observe()
	if x.server.loop.View().Closing {
		x.ctx.SetConnectionClose()
	}
	if !x.streaming {
		x.conn.unwatch()
	}
	if x.bodyLeft() {
		x.ctx.SetConnectionClose()
		x.conn.lingerOnClose()
	}
	if x.request != nil && x.request.Stream == nil {
		x.request.Reset()
		requests.Put(x.request)
	}
}

// bodyLeft reports whether the caller may still be sending its request.
func (x *call) bodyLeft() bool {
	if x.request == nil || x.request.Stream == nil || x.streaming {
		return false
	}
	body, ok := x.request.Stream.(*bodyStream)
	return ok && !body.ended
}
