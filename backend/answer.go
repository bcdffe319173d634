package backend

import (
	"bytes"
	"io"
	"time"

	"github.com/valyala/fasthttp"

	"wisteriapond/config"
	"wisteriapond/outcome"
)

// chunkedLength is fasthttp's length of a chunked body.
const chunkedLength = -1

// receive reads the head of the answer, and its body when it is short.
func (x *Exchange) receive() error {
	r := &x.response
	r.StreamBody = true
	r.SkipBody = x.request.Header.IsHead()
	if err := r.ReadLimitBody(x.conn.reader, 0); err != nil {
		return headError(err)
	}
	if r.StatusCode() == fasthttp.StatusSwitchingProtocols {
		return &MalformedError{Err: errUpgrade}
	}
	readFacts(&r.Header, x.command.NotRun, &x.Facts)
	x.reusable = !r.ConnectionClose()
	stream := r.BodyStream()
	if stream == nil {
		return nil
	}
	return x.receiveBody(stream)
}

func (x *Exchange) receiveBody(stream io.Reader) error {
	hold := x.command.HoldBytes
	length := int64(x.response.Header.ContentLength())
	if length > hold {
		x.Streaming = true
		return nil
	}
	if length < 0 {
		// Only the end of the body tells whether it is short.
		length = hold + 1
	}
	body, err := readUpTo(stream, length)
	if err != nil {
		return bodyError(err)
	}
	if body == nil {
		body = []byte{}
	}
	x.begin = body
	if int64(len(body)) > hold {
		x.Streaming = true
		return nil
	}
	x.Facts.Bytes = int64(len(body))
	return x.response.CloseBodyStream()
}

// readUpTo reads limit bytes, or less when the stream ends before. The stream
// reports a body that is shorter than announced as an error.
func readUpTo(stream io.Reader, limit int64) ([]byte, error) {
	var body bytes.Buffer
	_, err := body.ReadFrom(io.LimitReader(stream, limit))
	return body.Bytes(), err
}

func readFacts(h *fasthttp.ResponseHeader, form config.NotRunForm, f *outcome.Facts) {
	f.Status = h.StatusCode()
	if form.Header != "" {
		f.NotRunHeader = string(h.Peek(form.Header)) == form.Value
	}
	f.GaveUp = len(h.Peek(HeaderGaveUp)) > 0
	f.Draining = len(h.Peek(HeaderDraining)) > 0
	if load, ok := parseNumber(h.Peek(HeaderLoad), maxLoad); ok {
		f.Load = load
	}
	if value := h.Peek("Retry-After"); len(value) > 0 {
		f.RetryAfter = ParseRetryAfter(value, time.Now())
	}
}

// CopyHead adds the head of the answer to an empty one.
func (x *Exchange) CopyHead(to *fasthttp.ResponseHeader) { CopyResponse(to, &x.response.Header) }

// Held returns the body of an answer that is held. It is nil only for an answer
// that has no body, such as one to HEAD; an empty body is not nil.
func (x *Exchange) Held() []byte { return x.begin }

// ContentLength returns the length of the body that the answer announced, -1
// for a chunked one, -2 for one that ends with the connection.
func (x *Exchange) ContentLength() int { return x.response.Header.ContentLength() }
