// Package caller is the HTTP server towards callers.
package caller

import (
	"context"
	"net"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"wisteriapond/backend"
	"wisteriapond/config"
	"wisteriapond/core"
	"wisteriapond/outcome"
	"wisteriapond/runtime"
)

const (
	// keptBodyBytes is the size up to which a request body is kept for another
	// attempt.
	keptBodyBytes  = 64 << 10
	maxHeaderBytes = 32 << 10
	idleTimeout    = 75 * time.Second
	headerTimeout  = 30 * time.Second
)

// Server takes requests from callers.
type Server struct {
	loop *runtime.Loop
	pool *backend.Pool
	http *fasthttp.Server
}

// NewServer returns a server that submits requests to the loop.
func NewServer(loop *runtime.Loop, pool *backend.Pool) *Server {
	s := &Server{loop: loop, pool: pool}
	s.http = &fasthttp.Server{
		Handler:               s.handle,
		Name:                  "wisteriapond",
		ReadBufferSize:        maxHeaderBytes,
		StreamRequestBody:     true,
		IdleTimeout:           idleTimeout,
		ReadTimeout:           headerTimeout,
		NoDefaultContentType:  true,
		NoDefaultDate:         true,
		CloseOnShutdown:       true,
		SecureErrorLogMessage: true,
	}
	return s
}

// Serve accepts connections until the listener is closed.
func (s *Server) Serve(listener net.Listener) error {
	return s.http.Serve(listener)
}

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	view := s.loop.View()
	if view.Closing {
		ctx.SetConnectionClose()
	}
	arrival := arrivalOf(ctx, view)
	ticket := s.loop.Submit(arrival)
	if ticket == nil {
		writeRefusal(ctx, core.Refuse{Reason: outcome.RefusedOverloaded})
		return
	}
	s.follow(ctx, ticket)
}

func arrivalOf(ctx *fasthttp.RequestCtx, view *core.View) core.RequestArrived {
	header := &ctx.Request.Header
	arrival := core.RequestArrived{
		Request: config.Request{
			Method: string(header.Method()),
			Host:   string(header.Host()),
			Path:   string(ctx.Path()),
		},
		BodyBytes: int64(header.ContentLength()),
	}
	for _, name := range view.HeaderNames {
		if value := header.Peek(name); value != nil {
			arrival.Request.Headers = append(arrival.Request.Headers, config.Header{Name: name, Value: string(value)})
		}
	}
	arrival.Depth, _ = strconv.Atoi(string(header.Peek(backend.HeaderDepth)))
	if ms, err := strconv.Atoi(string(header.Peek(backend.HeaderTimeout))); err == nil && ms > 0 {
		arrival.Timeout = time.Duration(ms) * time.Millisecond
	}
	arrival.BodyKept = keepBody(ctx)
	return arrival
}

// keepBody reads a short body whole, so that it can be sent again.
func keepBody(ctx *fasthttp.RequestCtx) bool {
	if !ctx.Request.IsBodyStream() {
		return true
	}
	length := ctx.Request.Header.ContentLength()
	if length < 0 || length > keptBodyBytes {
		return false
	}
	ctx.Request.Body()
	return true
}

// follow carries out the commands for one request until its answer is known.
func (s *Server) follow(ctx *fasthttp.RequestCtx, ticket *runtime.Ticket) {
	var exchange *backend.Exchange
	for command := range ticket.Commands {
		switch c := command.(type) {
		case core.StartAttempt:
			abandon(exchange)
			exchange = s.attempt(ctx, ticket, c)
		case core.PassAnswer:
			s.pass(ctx, c, exchange)
			return
		case core.Refuse:
			abandon(exchange)
			writeRefusal(ctx, c)
			return
		case core.Fail:
			abandon(exchange)
			writeFailure(ctx, c)
			return
		}
	}
}

// abandon closes the connection of a long answer that is not passed on.
func abandon(x *backend.Exchange) {
	if x != nil {
		x.Abort()
	}
}

func (s *Server) attempt(ctx *fasthttp.RequestCtx, ticket *runtime.Ticket, command core.StartAttempt) *backend.Exchange {
	x := s.pool.Do(context.Background(), s.loop, command, &ctx.Request, ticket)
	if x.Streaming {
		s.loop.Send(core.AnswerBegun{Attempt: command.Attempt, Facts: x.Facts})
	} else {
		s.loop.Send(core.AttemptFinished{Attempt: command.Attempt, Facts: x.Facts})
	}
	return x
}

// pass hands the answer to the caller's connection. The response object is
// fasthttp's; only its own fields are written before the handler returns.
func (s *Server) pass(ctx *fasthttp.RequestCtx, command core.PassAnswer, x *backend.Exchange) {
	copyHeader(&ctx.Response, &x.Response)
	ctx.Response.Header.Set(backend.HeaderUpstream, command.Upstream)
	if command.GaveUp {
		ctx.Response.Header.Set(backend.HeaderGaveUp, "1")
	}
	if !x.Streaming {
		ctx.Response.SkipBody = x.Response.SkipBody
		ctx.Response.SetBodyRaw(x.Response.Body())
		return
	}
	body := x.Body(func(facts outcome.Facts, whole bool) {
		s.loop.Send(core.AnswerDelivered{Attempt: command.Attempt, Whole: whole, Facts: facts})
	})
	ctx.Response.SetBodyStream(body, max(-1, x.Response.Header.ContentLength()))
}

func copyHeader(to, from *fasthttp.Response) {
	closing := to.Header.ConnectionClose()
	from.Header.CopyTo(&to.Header)
	for _, name := range []string{"Connection", "Keep-Alive", "Transfer-Encoding", "Trailer", "Upgrade"} {
		to.Header.Del(name)
	}
	to.Header.ResetConnectionClose()
	if closing {
		to.SetConnectionClose()
	}
}
