package caller

import (
	"bytes"
	"io"
	"net"

	"github.com/valyala/fasthttp"

	"wisteriapond/backend"
	"wisteriapond/core"
	"wisteriapond/outcome"
)

// pass hands the answer to the caller's connection.
func (x *call) pass(command core.PassAnswer) {
	response := &x.ctx.Response
	x.exchange.CopyHeader(&response.Header)
	response.Header.Set(backend.HeaderUpstream, command.Upstream)
	if command.GaveUp {
		response.Header.Set(backend.HeaderGaveUp, "1")
	}
	if x.exchange.Streaming {
		x.passStream(command.Attempt)
		return
	}
	held := x.exchange.BufferedBody()
	if x.keepsChunks() {
		response.SetBodyStream(bytes.NewReader(held), -1)
		return
	}
	if held != nil {
		response.SetBodyRaw(held)
	}
	response.SkipBody = held == nil
}

// keepsChunks reports whether the answer stays chunked. Callers that speak
// HTTP/1.0 do not know chunks.
func (x *call) keepsChunks() bool {
	return x.exchange.BufferedBody() != nil && x.exchange.ContentLength() == -1 && x.ctx.Request.Header.IsHTTP11()
}

// passStream leaves the body to fasthttp, which reads it while it writes to
// the caller. The hang-up of the caller is watched until then.
func (x *call) passStream(attempt core.AttemptID) {
	loop, c := x.server.loop, x.conn
	body := x.exchange.Body(func(facts outcome.Facts, whole bool) {
		c.unwatch()
		if !whole {
			c.breakOff()
		}
		loop.Send(core.AnswerDelivered{Attempt: attempt, Whole: whole, Facts: facts})
	})
	x.streaming = true
	length := max(-1, x.exchange.ContentLength())
	if length < 0 && !x.ctx.Request.Header.IsHTTP11() {
		x.passUntilClose(body)
		return
	}
	if x.request.Stream != nil && !x.exchange.RequestBodyRead() {
		// The answer came before the request was complete.
		x.ctx.SetConnectionClose()
		c.lingerOnClose()
	}
	x.ctx.Response.SetBodyStream(body, length)
}

// passUntilClose writes an answer of unknown length to a caller that knows no
// chunks: the connection ends with the body.
func (x *call) passUntilClose(body *backend.Body) {
	header := &x.ctx.Response.Header
	header.Del("Transfer-Encoding")
	header.SetConnectionClose()
	head := bytes.Clone(header.Header())
	x.ctx.HijackSetNoResponse(true)
	x.ctx.Hijack(func(to net.Conn) {
		_, err := to.Write(head)
		if err == nil {
			_, err = io.Copy(struct{ io.Writer }{to}, body)
		}
		body.CloseWithError(err)
	})
}

var _ fasthttp.ReadCloserWithError = (*backend.Body)(nil)
