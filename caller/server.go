// Package caller provides the HTTP server that accepts requests from callers
// and forwards the responses of backend servers.
package caller

import (
	"fmt"
	"net"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"wisteriapond/backend"
	"wisteriapond/httpserver"
	"wisteriapond/intake"
	"wisteriapond/outcome"
	"wisteriapond/runtime"
)

const (
	// maxBufferedBodyBytes is the size up to which a request body is buffered
	// for a further attempt.
	maxBufferedBodyBytes = 64 << 10
	// firstBodyBufferBytes is the first size of the buffer for a body of unknown length.
	firstBodyBufferBytes = 4 << 10
	// maxHeaderBytes is the size of the read buffer of a connection, which bounds the head
	// of a request. The configuration may set a lower limit. With a higher one,
	// connections have a read buffer of maxLargeHeadBytes.
	maxHeaderBytes    = 32 << 10
	maxLargeHeadBytes = 1 << 20
	// requestLineBytes is the room for a request line, which the configured limit on the
	// header section does not count.
	requestLineBytes = 8 << 10
	// writeBufferBytes bounds the buffered part of a response.
	writeBufferBytes = 16 << 10
	// idleTimeout bounds the time that a connection stays idle unless the
	// configuration sets a shorter limit.
	idleTimeout = 75 * time.Second
	// headerTimeout bounds the wait for the header section of a request unless
	// the configuration sets a shorter limit; bodyTimeout bounds the wait for a
	// body that is buffered. conn.SetReadDeadline distinguishes the waits by
	// their length, so headerTimeout must be shorter than bodyTimeout, and
	// bodyTimeout shorter than idleTimeout.
	headerTimeout = 30 * time.Second
	bodyTimeout   = 60 * time.Second
)

// Server accepts requests from callers.
type Server struct {
	loop *runtime.Loop
	pool *backend.Pool
	log  log.Interface
	http *httpserver.Server
	// large serves connections that were accepted while the configuration allowed larger
	// heads than maxHeaderBytes. fasthttp has one size of buffer for a server.
	large      *httpserver.Server
	largeConns *handoff
	gate       *gate
	// shuttingDown is set once Shutdown was called.
	shuttingDown atomic.Bool
	// Pipelined bounds the requests of one connection that run side by side; 1 runs them
	// one after the other. It must be set before Serve.
	Pipelined int
	// ObserveLatency, if set, is called with the latency of each request.
	ObserveLatency func(service, outcome string, took time.Duration)
	// ObserveRefusal, if set, is called for each refusal that did not pass
	// through the reducer.
	ObserveRefusal func(reason outcome.Refusal)
}

// NewServer returns a server that submits requests to the loop, and whose callers hold
// no more than the bounds allow.
func NewServer(loop *runtime.Loop, pool *backend.Pool, bounds intake.Bounds, logger log.Interface) *Server {
	s := &Server{loop: loop, pool: pool, log: logger, Pipelined: DefaultPipelined}
	s.gate = newGate(loop, bounds, s.readBufferBytes)
	s.http = s.newHTTP(maxHeaderBytes)
	s.large = s.newHTTP(maxLargeHeadBytes)
	s.largeConns = newHandoff()
	return s
}

func (s *Server) newHTTP(readBufferBytes int) *httpserver.Server {
	return httpserver.New(&fasthttp.Server{
		Handler:                      s.handle,
		ErrorHandler:                 s.refuseUnreadable,
		Logger:                       libraryLog{s.log},
		ReadBufferSize:               readBufferBytes,
		WriteBufferSize:              writeBufferBytes,
		StreamRequestBody:            true,
		DisablePreParseMultipartForm: true,
		IdleTimeout:                  idleTimeout,
		ReadTimeout:                  headerTimeout,
		HeaderReceived:               bodyReadConfig,
		NoDefaultContentType:         true,
		NoDefaultServerHeader:        true,
		SecureErrorLogMessage:        true,
		LazyRequestTime:              true,
		// Without it, a response is held back while further requests of its
		// connection are buffered, until the last of them has been answered.
		ReduceMemoryUsage: true,
	})
}

// Serve accepts connections until Shutdown, which may come first, or until the
// listener is closed.
func (s *Server) Serve(l net.Listener) error {
	accepted := listener{Listener: l, gate: s.gate, timeouts: s.readTimeouts, headBytes: s.headBytes, large: s.largeConns}
	if s.Pipelined > 1 {
		accepted.startAheadOf, accepted.pipelined = s.startAheadOf, s.Pipelined
	}
	s.gate.setAccepting(true)
	var group errgroup.Group
	group.Go(func() error { s.gate.watch(); return nil })
	group.Go(func() error { return s.large.Serve(s.largeConns) })
	group.Go(func() error {
		defer s.gate.setAccepting(false)
		defer accepted.stop()
		return s.http.Serve(accepted)
	})
	return group.Wait()
}

// CloseConnections closes connections as the reducer decided. It does not block.
func (s *Server) CloseConnections(closures []intake.Closure) { s.gate.carryOut(closures) }

// ReportServersFull reports that a connection to a backend server could not be opened
// for lack of room. Answers that nobody reads may be what takes it.
func (s *Server) ReportServersFull() { s.gate.reportServersFull() }

// headBytes returns the bytes that a request may have before its body: the limit on its
// header section in force, and room for the request line and a few empty lines.
func (s *Server) headBytes() int {
	if limit := s.loop.View().Limits.HeaderBytes; limit > 0 {
		return min(limit, maxLargeHeadBytes-requestLineBytes) + requestLineBytes
	}
	return maxHeaderBytes
}

// readBufferBytes returns the size of the read buffer of a connection that is accepted
// now.
func (s *Server) readBufferBytes() int {
	if s.headBytes() > maxHeaderBytes {
		return maxLargeHeadBytes
	}
	return maxHeaderBytes
}

// bodyReadConfig gives a request more time for its body than for its header.
func bodyReadConfig(*fasthttp.RequestHeader) fasthttp.RequestConfig {
	return fasthttp.RequestConfig{ReadTimeout: bodyTimeout}
}

// readTimeouts returns the timeouts of the configuration in force.
func (s *Server) readTimeouts() readTimeouts {
	timeouts := readTimeouts{idle: idleTimeout, header: headerTimeout}
	configured := &s.loop.View().Limits
	if configured.IdleTimeout > 0 {
		timeouts.idle = min(configured.IdleTimeout, timeouts.idle)
	}
	if configured.HeaderTimeout > 0 {
		timeouts.header = min(configured.HeaderTimeout, timeouts.header)
	}
	return timeouts
}

// libraryLog forwards log messages of fasthttp.
type libraryLog struct {
	log log.Interface
}

func (l libraryLog) Printf(format string, args ...any) {
	l.log.WithField("library", "fasthttp").Warn(fmt.Sprintf(format, args...))
}

func (s *Server) observeRefusal(reason outcome.Refusal) {
	if s.ObserveRefusal != nil {
		s.ObserveRefusal(reason)
	}
}

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	c := ctx.Conn().(*conn)
	ahead := c.takeAhead()
	if ahead != nil && !ahead.matches(&ctx.Request.Header) {
		ahead.drop()
		ahead = nil
	}
	if !c.beginRequest() {
		if ahead != nil {
			ahead.drop()
		}
		// fasthttp writes a response in any case.
		c.closeWrite()
		ctx.SetConnectionClose()
		return
	}
	c.allowAhead(&ctx.Request.Header)
	if ahead != nil && s.finishAhead(ctx, ahead) {
		return
	}
	x := &call{server: s, ctx: ctx, conn: c, startedAt: s.loop.Now()}
	defer x.finish()
	defer x.recoverPanic()
	view := s.loop.View()
	if status := exceededLimitStatus(&ctx.Request.Header, &view.Limits); status != 0 {
		s.refuseTooLarge(ctx, status)
		return
	}
	target := originForm(ctx.Request.Header.RequestURI())
	arrival, err := newArrival(&ctx.Request.Header, target, &s.pool.Dialect, view.HeaderNames)
	if err != nil {
		s.refuseMalformed(ctx, err)
		return
	}
	x.request = requestPool.Get().(*backend.Request)
	if err := prepareRequest(x.request, target, ctx, c, view.Limits.BodyBytes); err != nil {
		s.refuseMalformed(ctx, err)
		return
	}
	arrival.BodyKept = x.request.Stream == nil
	x.submit(arrival)
}
