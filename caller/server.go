// Package caller is the HTTP server towards callers.
package caller

import (
	"context"
	"fmt"
	"net"
	"time"

	"github.com/apex/log"
	"github.com/valyala/fasthttp"

	"wisteriapond/backend"
	"wisteriapond/outcome"
	"wisteriapond/runtime"
)

const (
	// keptBodyBytes is the size up to which a request body is kept for another
	// attempt.
	keptBodyBytes  = 64 << 10
	maxHeaderBytes = 32 << 10
	// writeBufferBytes bounds what is buffered of an answer.
	writeBufferBytes = 16 << 10
	idleTimeout      = 75 * time.Second
	// headTimeout bounds the wait for the head of a request where the
	// configuration does not, and bodyTimeout that for a body that is kept. A
	// connection tells the waits apart by their length: headTimeout, then
	// bodyTimeout, then idleTimeout.
	headTimeout = 30 * time.Second
	bodyTimeout = 60 * time.Second
)

// Server takes requests from callers.
type Server struct {
	loop *runtime.Loop
	pool *backend.Pool
	log  log.Interface
	http *fasthttp.Server
	// ObserveLatency, when set, is told the latency of each request.
	ObserveLatency func(service, outcome string, took time.Duration)
	// ObserveRefusal, when set, is told each refusal that the reducer never saw.
	ObserveRefusal func(reason outcome.Refusal)
}

// NewServer returns a server that submits requests to the loop.
func NewServer(loop *runtime.Loop, pool *backend.Pool, logger log.Interface) *Server {
	s := &Server{loop: loop, pool: pool, log: logger}
	s.http = &fasthttp.Server{
		Handler:                      s.handle,
		ErrorHandler:                 s.refuseUnread,
		Logger:                       libraryLog{logger},
		ReadBufferSize:               maxHeaderBytes,
		WriteBufferSize:              writeBufferBytes,
		StreamRequestBody:            true,
		DisablePreParseMultipartForm: true,
		IdleTimeout:                  idleTimeout,
		ReadTimeout:                  headTimeout,
		HeaderReceived:               afterHead,
		NoDefaultContentType:         true,
		NoDefaultServerHeader:        true,
		CloseOnShutdown:              true,
		SecureErrorLogMessage:        true,
		LazyRequestTime:              true,
	}
	return s
}

// Serve accepts connections until the listener is closed.
func (s *Server) Serve(l net.Listener) error {
	return s.http.Serve(listener{l, s.readLimits})
}

// afterHead gives a request more time for its body than for its head.
func afterHead(*fasthttp.RequestHeader) fasthttp.RequestConfig {
	return fasthttp.RequestConfig{ReadTimeout: bodyTimeout}
}

// readLimits returns the times that callers may take now.
func (s *Server) readLimits() readLimits {
	limits := readLimits{idle: idleTimeout, head: headTimeout}
	configured := &s.loop.View().Limits
	if configured.IdleTimeout > 0 {
		limits.idle = min(configured.IdleTimeout, limits.idle)
	}
	if configured.HeaderTimeout > 0 {
		limits.head = min(configured.HeaderTimeout, limits.head)
	}
	return limits
}

// Shutdown closes the listener and idle connections, and waits until every
// answer under way is written or ctx is done.
func (s *Server) Shutdown(ctx context.Context) error {
	return s.http.ShutdownWithContext(ctx)
}

// libraryLog passes the messages of fasthttp on.
type libraryLog struct {
	log log.Interface
}

func (l libraryLog) Printf(format string, args ...any) {
	l.log.WithField("library", "fasthttp").Warn(fmt.Sprintf(format, args...))
}

func (s *Server) refused(reason outcome.Refusal) {
	if s.ObserveRefusal != nil {
		s.ObserveRefusal(reason)
	}
}

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	c := ctx.Conn().(*conn)
	x := &call{server: s, ctx: ctx, conn: c, begun: s.loop.Now()}
	defer x.end()
	defer x.recover()
	view := s.loop.View()
	if status := exceeded(&ctx.Request.Header, &view.Limits); status != 0 {
		s.refuseTooLarge(ctx, status)
		return
	}
	arrival, err := readArrival(&ctx.Request.Header, ctx.Path(), &s.pool.Dialect, view.HeaderNames)
	if err != nil {
		s.refuseMalformed(ctx, err)
		return
	}
	x.request = requests.Get().(*backend.Request)
	if err := prepare(x.request, ctx, c, view.Limits.BodyBytes); err != nil {
		s.refuseMalformed(ctx, err)
		return
	}
	arrival.BodyKept = x.request.Stream == nil
	x.submit(arrival)
}
