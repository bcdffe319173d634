package caller

import (
	"bytes"
	"fmt"
	"io"
	"slices"
	"sync"

	"github.com/valyala/fasthttp"

	"wisteriapond/backend"
	"wisteriapond/config"
	"wisteriapond/core"
)

// RequestError says why a request was refused before it reached the reducer.
type RequestError struct {
	Reason string
	// Err is the error of the connection, nil when the request itself is wrong.
	Err error
}

func (e *RequestError) Error() string {
	if e.Err != nil {
		return fmt.Sprintf("%s: %v", e.Reason, e.Err)
	}
	return e.Reason
}

func (e *RequestError) Unwrap() error { return e.Err }

var requests = sync.Pool{New: func() any { return new(backend.Request) }}

// readArrival checks the head of a request and reads what routing needs.
func readArrival(h *fasthttp.RequestHeader, path []byte, d *backend.Dialect, headerNames []string) (core.RequestArrived, error) {
	arrival := core.RequestArrived{
		Request:   config.Request{Method: string(h.Method()), Host: string(h.Host()), Path: string(path)},
		BodyBytes: int64(max(-1, h.ContentLength())),
	}
	if err := checkFraming(h); err != nil {
		return arrival, err
	}
	var err error
	if arrival.Timeout, err = single(h, d.Timeout, backend.ParseTimeout); err != nil {
		return arrival, err
	}
	if d.Depth != "" {
		if arrival.Depth, err = single(h, d.Depth, backend.ParseDepth); err != nil {
			return arrival, err
		}
	}
	if d.RequestID != "" {
		arrival.Name = string(h.Peek(d.RequestID))
	}
	for _, name := range headerNames {
		if value := h.Peek(name); value != nil {
			arrival.Request.Headers = append(arrival.Request.Headers, config.Header{Name: name, Value: string(value)})
		}
	}
	return arrival, nil
}

// single reads a header that may come at most once; the zero value stands for
// none.
func single[T any](h *fasthttp.RequestHeader, name string, parse func([]byte) (T, bool)) (T, error) {
	var none T
	values := h.PeekAll(name)
	if len(values) == 0 {
		return none, nil
	}
	if len(values) > 1 {
		return none, &RequestError{Reason: "the header " + name + " comes more than once"}
	}
	value, ok := parse(values[0])
	if !ok {
		return none, &RequestError{Reason: "the header " + name + " is malformed"}
	}
	return value, nil
}

// checkFraming refuses requests of which two servers could see different ends.
// fasthttp itself refuses repeated lengths and unknown codings.
func checkFraming(h *fasthttp.RequestHeader) error {
	var lengths, codings int
	for line := range bytes.Lines(h.RawHeaders()) {
		switch name, value, _ := bytes.Cut(line, []byte{':'}); {
		case bytes.EqualFold(name, []byte("Content-Length")):
			lengths++
		case bytes.EqualFold(name, []byte("Transfer-Encoding")):
			codings++
			if !bytes.EqualFold(bytes.TrimSpace(value), []byte("chunked")) {
				return &RequestError{Reason: "the transfer coding is not understood"}
			}
		}
	}
	switch {
	case lengths+codings > 1:
		return &RequestError{Reason: "the length of the body is given more than once"}
	case h.IsConnect():
		return &RequestError{Reason: "the method CONNECT is not served"}
	case len(h.Host()) == 0 && h.IsHTTP11():
		return &RequestError{Reason: "the header Host is missing"}
	}
	return nil
}

// prepare fills in the request as it goes to backend servers. A body of more
// bytes than the limit is refused; 0 means no limit.
func prepare(r *backend.Request, ctx *fasthttp.RequestCtx, c *conn, limit int64) error {
	h := &r.Header
	backend.CopyRequestHeader(h, &ctx.Request.Header)
	if target := h.RequestURI(); len(target) > 0 && target[0] != '/' && target[0] != '*' {
		h.SetRequestURIBytes(ctx.URI().RequestURI())
	}
	forwardedFor(h, c.remoteIP)
	return readBody(r, ctx, c, limit)
}

// forwardedFor appends the caller's address.
func forwardedFor(h *fasthttp.RequestHeader, remoteIP string) {
	const name = "X-Forwarded-For"
	values := h.PeekAll(name)
	list := bytes.Join(append(slices.Clone(values), []byte(remoteIP)), []byte(", "))
	h.SetBytesV(name, list)
}

// readBody holds a short body whole, so that it can be sent again. A longer
// one is left in the connection.
func readBody(r *backend.Request, ctx *fasthttp.RequestCtx, c *conn, limit int64) error {
	stream := ctx.RequestBodyStream()
	if stream == nil {
		if h := &ctx.Request.Header; !h.IsGet() && !h.IsHead() {
			r.Header.SetContentLength(0)
		}
		return nil
	}
	length := int64(ctx.Request.Header.ContentLength())
	if limit > 0 && length < 0 {
		stream = &limitedBody{Reader: stream, left: limit}
	}
	if length > keptBodyBytes {
		return streamBody(r, c, stream, length)
	}
	held, err := hold(stream, length)
	if err != nil {
		return &RequestError{Reason: "the request body broke off", Err: err}
	}
	if len(held) > keptBodyBytes {
		return streamBody(r, c, io.MultiReader(bytes.NewReader(held), stream), -1)
	}
	r.Body = held
	r.Header.SetContentLength(len(held))
	return nil
}

// hold reads a body of the given length, or one of unknown length up to one
// byte more than is kept.
func hold(stream io.Reader, length int64) ([]byte, error) {
	if length >= 0 {
		held := make([]byte, length)
		_, err := io.ReadFull(stream, held)
		return held, err
	}
	var held bytes.Buffer
	_, err := held.ReadFrom(io.LimitReader(stream, keptBodyBytes+1))
	return held.Bytes(), err
}

func streamBody(r *backend.Request, c *conn, stream io.Reader, length int64) error {
	r.Header.SetContentLength(int(length))
	r.Stream = &bodyStream{Reader: stream, conn: c}
	r.Length = length
	r.StopStream = c.stopReading
	return nil
}

// bodyStream is a request body that is read while it is sent on.
type bodyStream struct {
	io.Reader
	conn *conn
	// ended is set by the reading goroutine, and looked at after its end.
	ended bool
}

// Read watches the connection again once the body is in.
func (b *bodyStream) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if err == io.EOF && !b.ended {
		b.ended = true
		b.conn.resume()
	}
	return n, err
}
