package caller

import (
	"bufio"
	"bytes"
	"errors"

	"github.com/valyala/fasthttp"

	"wisteriapond/backend"
	"wisteriapond/core"
	"wisteriapond/intake"
	"wisteriapond/outcome"
)

// DefaultPipelined is the number of requests of one connection that run side by side.
const DefaultPipelined = 8

var errNotTaken = errors.New("the caller does not wait for this response")

// aheadCall is a request that was started while an earlier one of its connection is in
// progress. Its response is kept until its turn.
type aheadCall struct {
	call   *call
	header fasthttp.RequestHeader
	// size is the number of bytes of the head.
	size int
	// closing is set if the connection ends with the response.
	closing bool
	// finished is closed once final is set. final is nil if the loop has ended or the
	// call has panicked.
	finished chan struct{}
	final    core.Effect
	fault    bool
	// held are the bytes of the response that are buffered.
	held int64
}

// startAheadOf submits the request at the start of the given bytes before its turn. It
// returns nil if the request is not complete or must wait for its turn.
func (s *Server) startAheadOf(c *conn, raw []byte) *aheadCall {
	view := s.loop.View()
	var scanner headScanner
	size, done := scanner.scan(raw)
	if !done || !scanner.safe || s.closing() {
		return nil
	}
	a := &aheadCall{size: size, finished: make(chan struct{})}
	h := &a.header
	if err := h.Read(bufio.NewReaderSize(bytes.NewReader(raw[:size]), size)); err != nil {
		return nil
	}
	target := h.RequestURI()
	if !h.IsHTTP11() || target[0] != '/' || exceededLimitStatus(h, &view.Limits) != 0 || size > s.headBytes() {
		return nil
	}
	var uri fasthttp.URI
	if uri.Parse(h.Host(), target) != nil {
		return nil
	}
	arrival, err := newArrival(h, target, &s.pool.Dialect, view.HeaderNames)
	if err != nil {
		return nil
	}
	arrival.BodyKept, arrival.Ahead = true, true
	a.closing = h.ConnectionClose()
	request := &backend.Request{}
	copyHead(request, target, h, c.remoteIP)
	a.call = &call{server: s, conn: c, request: request, startedAt: s.loop.Now(), ahead: a}
	if a.call.ticket = s.loop.Submit(arrival); a.call.ticket == nil {
		return nil
	}
	go a.run()
	return a
}

func (a *aheadCall) run() {
	defer close(a.finished)
	defer func() {
		if fault := recover(); fault != nil {
			a.call.logPanic(fault)
			a.fault = true
			a.call.abort()
			a.call.releaseRequest()
		}
	}()
	a.final = a.call.awaitEnd()
}

// hold counts bytes of the response that are buffered before its turn.
func (a *aheadCall) hold(bytes int64) {
	a.held += bytes
	a.call.conn.usage.holdAhead(bytes)
}

// takeOver moves what is buffered to the request in progress. The call must have
// finished.
func (a *aheadCall) takeOver() {
	x := a.call
	x.ahead = nil
	if a.held > 0 {
		held := a.held
		x.conn.usage.holdAhead(-held)
		x.conn.usage.hold(held, func() { x.server.pool.ReleaseHeld(held) })
	}
}

// drop ends a request whose response will not be written.
func (a *aheadCall) drop() {
	a.call.server.loop.Send(core.CallerGone{ID: a.call.ticket.ID})
	go a.discard()
}

func (a *aheadCall) discard() {
	<-a.finished
	x := a.call
	if pass, ok := a.final.(core.PassAnswer); ok && x.exchange.Streaming {
		x.exchange.Body(func(facts outcome.Facts, complete bool) {
			x.server.loop.Send(core.AnswerDelivered{Attempt: pass.Attempt, Whole: complete, Facts: facts})
		}).CloseWithError(errNotTaken)
	} else {
		x.abort()
	}
	if a.held > 0 {
		x.conn.usage.holdAhead(-a.held)
		x.server.pool.ReleaseHeld(a.held)
	}
}

// deferred reports whether the reducer leaves the request until its turn. The call must
// have finished.
func (a *aheadCall) deferred() bool {
	_, ok := a.final.(core.Defer)
	return ok
}

// matches reports whether the request is the one that fasthttp has read. Both parse the
// same bytes; a difference would give a caller the response to another request.
func (a *aheadCall) matches(h *fasthttp.RequestHeader) bool {
	return bytes.Equal(a.header.Method(), h.Method()) && bytes.Equal(a.header.RequestURI(), h.RequestURI()) &&
		bytes.Equal(a.header.RawHeaders(), h.RawHeaders())
}

// finishAhead answers a request that was started before its turn. It reports false if
// the request has to be started now.
func (s *Server) finishAhead(ctx *fasthttp.RequestCtx, a *aheadCall) bool {
	x := a.call
	id := x.ticket.ID
	x.conn.watchDisconnect(func() { s.loop.Send(core.CallerGone{ID: id}) })
	<-a.finished
	a.takeOver()
	if a.deferred() {
		return false
	}
	x.ctx = ctx
	defer x.finish()
	defer x.recoverPanic()
	if a.fault {
		x.respondPanic()
		return true
	}
	x.respond(a.final)
	return true
}

// allowAhead sets whether requests behind the current one may start before their turn.
// Only requests with safe methods run beside each other (RFC 9112, 9.3.2).
func (c *conn) allowAhead(h *fasthttp.RequestHeader) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.aheadAllowed = c.startAheadOf != nil && h.IsHTTP11() && (h.IsGet() || h.IsHead()) && !h.ConnectionClose()
}

// startAhead starts requests that were read while an earlier one is in progress. c.mu
// must be held.
func (c *conn) startAhead() {
	if !c.aheadAllowed || c.aheadEnded || c.onDisconnect == nil || c.bodyLeft > 0 || !c.scanner.atStart() {
		return
	}
	for len(c.ahead)+1 < c.pipelined && c.aheadBytes < len(c.unread) {
		if n := len(c.ahead); n > 0 && c.ahead[n-1].closing {
			return
		}
		a := c.startAheadOf(c, c.unread[c.aheadBytes:])
		if a == nil {
			return
		}
		c.ahead = append(c.ahead, a)
		c.aheadBytes += a.size
		c.usage.setAhead(true)
	}
}

// hasAhead reports whether requests behind the current one have been started.
func (c *conn) hasAhead() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.ahead) > 0
}

// takeAhead returns the call of the request whose head fasthttp has just read, nil if it
// was not started.
func (c *conn) takeAhead() *aheadCall {
	c.mu.Lock()
	defer c.mu.Unlock()
	a := c.aheadRead
	c.aheadRead = nil
	return a
}

// dropAhead ends all requests that were started before their turn. No further ones are
// started on this connection.
func (c *conn) dropAhead() {
	c.mu.Lock()
	dropped := c.ahead
	if c.aheadRead != nil {
		dropped = append([]*aheadCall{c.aheadRead}, dropped...)
	}
	c.ahead, c.aheadRead, c.aheadEnded = nil, nil, true
	c.usage.setAhead(false)
	c.mu.Unlock()
	for _, a := range dropped {
		a.drop()
	}
}

// split returns how many of the bytes belong to the current request. Bytes behind its
// end are kept, since fasthttp's buffer would hide them. c.mu must be held.
func (c *conn) split(p []byte) int {
	switch {
	case c.startAheadOf == nil || c.scanner.opaque:
		return len(p)
	case c.bodyLeft > 0:
		n := int(min(int64(len(p)), c.bodyLeft))
		c.bodyLeft -= int64(n)
		return n
	}
	n, done := c.scanner.scan(p)
	if done {
		c.bodyLeft = c.scanner.bodyBytes
		c.scanner = headScanner{}
		if len(c.ahead) > 0 {
			c.aheadRead, c.ahead = c.ahead[0], c.ahead[1:]
			c.usage.setAhead(len(c.ahead) > 0)
		}
	}
	return n
}

// boundRead shortens a read from the socket, so that few bytes of further requests have
// to be kept. c.mu must be held.
func (c *conn) boundRead(p []byte) []byte {
	if c.startAheadOf == nil || c.scanner.opaque {
		return p
	}
	if c.bodyLeft > 0 {
		return p[:min(int64(len(p)), c.bodyLeft)]
	}
	return p[:min(len(p), intake.AheadBytes/8)]
}
