package caller

import (
	"bytes"
	"io"
	"net"

	"github.com/valyala/fasthttp"

	"wisteriapond/backend"
	"wisteriapond/core"
	"wisteriapond/intake"
	"wisteriapond/outcome"
)

// forward prepares the response to the caller.
func (x *call) forward(command core.PassAnswer) {
	response := &x.ctx.Response
	x.exchange.CopyHeader(&response.Header)
	response.Header.Set(backend.HeaderUpstream, command.Upstream)
	if command.GaveUp {
		response.Header.Set(backend.HeaderGaveUp, "1")
	}
	if x.exchange.Streaming {
		x.forwardStream(command.Attempt)
		return
	}
	body := x.exchange.BufferedBody()
	if x.staysChunked() {
		response.SetBodyStream(bytes.NewReader(body), -1)
		return
	}
	if body != nil {
		response.SetBodyRaw(body)
	}
	response.SkipBody = body == nil
}

// staysChunked reports whether the response stays chunked. Callers that use
// HTTP/1.0 do not support chunked bodies.
func (x *call) staysChunked() bool {
	return x.exchange.BufferedBody() != nil && x.exchange.ContentLength() == -1 && x.ctx.Request.Header.IsHTTP11()
}

// forwardStream leaves the body to fasthttp, which reads it while it writes to
// the caller. A disconnect of the caller is detected until the body is closed.
func (x *call) forwardStream(attempt core.AttemptID) {
	loop, c := x.server.loop, x.conn
	body := x.exchange.Body(func(facts outcome.Facts, complete bool) {
		c.stopWatching()
		if !complete {
			c.resetOnClose()
		}
		loop.Send(core.AnswerDelivered{Attempt: attempt, Whole: complete, Facts: facts})
	})
	x.streaming = true
	if !x.server.gate.beginStream(c) {
		x.exchange.SetReadBuffer(intake.SmallBuffer)
		c.setWriteBuffer(intake.SmallBuffer)
	}
	length := max(-1, x.exchange.ContentLength())
	if length < 0 && !x.ctx.Request.Header.IsHTTP11() {
		x.forwardUntilClose(body)
		return
	}
	if x.request.Stream != nil && !x.exchange.RequestBodyRead() {
		// The response arrived before the request body was read completely.
		x.ctx.SetConnectionClose()
		c.lingerOnClose()
	}
	x.ctx.Response.SetBodyStream(body, length)
}

// forwardUntilClose writes a response of unknown length to a caller that does
// not support chunked bodies. The body ends with the connection.
func (x *call) forwardUntilClose(body *backend.Body) {
	header := &x.ctx.Response.Header
	header.Del("Transfer-Encoding")
	header.SetConnectionClose()
	headerSection := bytes.Clone(header.Header())
	x.ctx.HijackSetNoResponse(true)
	x.ctx.Hijack(func(conn net.Conn) {
		_, err := conn.Write(headerSection)
		if err == nil {
			_, err = io.Copy(struct{ io.Writer }{conn}, body)
		}
		body.CloseWithError(err)
	})
}

var _ fasthttp.ReadCloserWithError = (*backend.Body)(nil)
