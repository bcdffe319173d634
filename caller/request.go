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

// RequestError explains why a request was refused before it reached the
// reducer.
type RequestError struct {
	Reason string
	// Err is the error from reading the request body, nil if the request itself
	// is invalid or too large.
	Err error
}

func (e *RequestError) Error() string {
	if e.Err != nil {
		return fmt.Sprintf("%s: %v", e.Reason, e.Err)
	}
	return e.Reason
}

func (e *RequestError) Unwrap() error { return e.Err }

var requestPool = sync.Pool{New: func() any { return new(backend.Request) }}

// newArrival validates the header of a request and extracts what routing needs.
// The target is the one that backend servers receive.
func newArrival(h *fasthttp.RequestHeader, target []byte, d *backend.Dialect, headerNames []string) (core.RequestArrived, error) {
	arrival := core.RequestArrived{
		Request: config.Request{
			Method: string(h.Method()),
			Host:   string(h.Host()),
			Path:   config.TargetPath(string(target)),
		},
		BodyBytes: int64(max(-1, h.ContentLength())),
	}
	if err := checkFraming(h); err != nil {
		return arrival, err
	}
	var err error
	if arrival.Timeout, err = parseSingle(h, d.Timeout, backend.ParseTimeout); err != nil {
		return arrival, err
	}
	if d.Depth != "" {
		if arrival.Depth, err = parseSingle(h, d.Depth, backend.ParseDepth); err != nil {
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

// parseSingle parses a header that may occur at most once. It returns the zero
// value if the header is absent.
func parseSingle[T any](h *fasthttp.RequestHeader, name string, parse func([]byte) (T, bool)) (T, error) {
	var zero T
	values := h.PeekAll(name)
	if len(values) == 0 {
		return zero, nil
	}
	if len(values) > 1 {
		return zero, &RequestError{Reason: "the header " + name + " comes more than once"}
	}
	value, ok := parse(values[0])
	if !ok {
		return zero, &RequestError{Reason: "the header " + name + " is malformed"}
	}
	return value, nil
}

// checkFraming refuses requests whose end two servers could see at different
// places (request smuggling). fasthttp itself refuses repeated lengths and
// unknown codings.
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

// originForm returns the target of a request without scheme and host. The bytes of
// path and query are kept, except that an empty path becomes a slash. The asterisk
// form has no path and is returned as it is.
func originForm(target []byte) []byte {
	if target[0] == '/' || target[0] == '*' {
		return target
	}
	_, rest, _ := bytes.Cut(target, []byte("://"))
	start := bytes.IndexAny(rest, "/?#")
	switch {
	case start < 0:
		return []byte{'/'}
	case rest[start] != '/':
		return append([]byte{'/'}, rest[start:]...)
	}
	return rest[start:]
}

// prepareRequest fills in the request that is sent to backend servers with the
// given target. A body of more than limit bytes is refused; 0 means no limit.
func prepareRequest(r *backend.Request, target []byte, ctx *fasthttp.RequestCtx, c *conn, limit int64) error {
	copyHead(r, target, &ctx.Request.Header, c.remoteIP)
	return readBody(r, ctx, c, limit)
}

// copyHead fills in the head of the request that is sent to backend servers.
func copyHead(r *backend.Request, target []byte, src *fasthttp.RequestHeader, remoteIP string) {
	backend.CopyRequestHeader(&r.Header, src)
	r.Header.SetRequestURIBytes(target)
	appendForwardedFor(&r.Header, remoteIP)
}

// appendForwardedFor appends the caller's address to X-Forwarded-For.
func appendForwardedFor(h *fasthttp.RequestHeader, remoteIP string) {
	const name = "X-Forwarded-For"
	values := h.PeekAll(name)
	list := bytes.Join(append(slices.Clone(values), []byte(remoteIP)), []byte(", "))
	h.SetBytesV(name, list)
}

// readBody buffers a short body completely, so that it can be sent again. A
// longer body is left in the connection and streamed.
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
		stream = &limitedBody{Reader: stream, remaining: limit}
	}
	if length > maxBufferedBodyBytes {
		return streamBody(r, c, stream, length)
	}
	buffered, err := bufferBody(stream, length)
	if err != nil {
		return &RequestError{Reason: "the request body broke off", Err: err}
	}
	c.usage.hold(int64(len(buffered)), nil)
	if len(buffered) > maxBufferedBodyBytes {
		return streamBody(r, c, io.MultiReader(bytes.NewReader(buffered), stream), -1)
	}
	r.Body = buffered
	r.Header.SetContentLength(len(buffered))
	return nil
}

// bufferBody reads a body of the given length. If the length is unknown it
// reads at most one byte more than may be buffered.
func bufferBody(stream io.Reader, length int64) ([]byte, error) {
	if length >= 0 {
		buffered := make([]byte, length)
		_, err := io.ReadFull(stream, buffered)
		return buffered, err
	}
	return readAtMost(stream, maxBufferedBodyBytes+1)
}

// readAtMost reads until the end or until it has read limit bytes. Its buffer never
// exceeds limit: that of bytes.Buffer may be twice as large, for each caller that sends
// a body.
func readAtMost(stream io.Reader, limit int) ([]byte, error) {
	buffered := make([]byte, 0, min(limit, firstBodyBufferBytes))
	for len(buffered) < limit {
		if len(buffered) == cap(buffered) {
			buffered = append(make([]byte, 0, min(limit, 2*cap(buffered))), buffered...)
		}
		n, err := stream.Read(buffered[len(buffered):cap(buffered)])
		buffered = buffered[:len(buffered)+n]
		if err == io.EOF {
			return buffered, nil
		}
		if err != nil {
			return buffered, err
		}
	}
	return buffered, nil
}

func streamBody(r *backend.Request, c *conn, stream io.Reader, length int64) error {
	c.usage.setUploading(true)
	r.Header.SetContentLength(int(length))
	r.Stream = &bodyStream{Reader: stream, conn: c}
	r.Length = length
	r.StopStream = c.interruptRead
	return nil
}

// bodyStream is a request body that is read while it is sent on.
type bodyStream struct {
	io.Reader
	conn *conn
	// ended is set by the reading goroutine and read only after that goroutine
	// has ended.
	ended bool
}

// Read resumes the detection of a disconnect once the body was read completely.
func (b *bodyStream) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if err == io.EOF && !b.ended {
		b.ended = true
		b.conn.usage.setUploading(false)
		b.conn.resumeWatching()
	}
	return n, err
}
