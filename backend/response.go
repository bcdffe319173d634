package backend

import (
	"bytes"
	"io"
	"time"

	"github.com/valyala/fasthttp"

	"wisteriapond/core"
	"wisteriapond/outcome"
)

// chunkedLength is fasthttp's length of a chunked body.
const chunkedLength = -1

// maxStrayAnswers bounds the answers to earlier requests that are read over.
const maxStrayAnswers = 4

// receive reads the head of the answer, and its body when it is short. Late
// answers to earlier requests of the connection are read over.
func (x *Exchange) receive() error {
	for range maxStrayAnswers {
		if err := x.receiveHead(); err != nil {
			return err
		}
		own, err := x.isOwn()
		if err != nil {
			return err
		}
		if own {
			return x.receiveOwn()
		}
		if err := x.skipAnswer(); err != nil {
			return err
		}
	}
	return &MalformedError{Err: errStray}
}

func (x *Exchange) receiveHead() error {
	r := &x.response
	r.StreamBody = true
	r.SkipBody = x.request.Header.IsHead()
	if err := r.ReadLimitBody(x.conn.reader, 0); err != nil {
		return headError(err)
	}
	if r.StatusCode() == fasthttp.StatusSwitchingProtocols {
		return &MalformedError{Err: errUpgrade}
	}
	x.conn.noteKeepAlive(&r.Header)
	return nil
}

// isOwn reports whether the answer belongs to the request of this attempt. A
// success must say so.
func (x *Exchange) isOwn() (bool, error) {
	name := x.pool.Dialect.RequestID
	if name == "" {
		return true, nil
	}
	asked := x.request.Header.Peek(name)
	if len(asked) == 0 {
		return true, nil
	}
	said := x.response.Header.Peek(name)
	if len(said) == 0 && x.response.StatusCode() < fasthttp.StatusMultipleChoices {
		return false, &MalformedError{Err: errUnnamed}
	}
	return len(said) == 0 || bytes.Equal(said, asked), nil
}

// skipAnswer reads the rest of an answer to another request.
func (x *Exchange) skipAnswer() error {
	stream := x.response.BodyStream()
	if stream == nil {
		return nil
	}
	n, err := io.Copy(io.Discard, io.LimitReader(stream, x.command.HoldBytes+1))
	if err != nil {
		return bodyError(err)
	}
	if n > x.command.HoldBytes || x.response.Header.ContentLength() < chunkedLength {
		return &MalformedError{Err: errStray}
	}
	return x.response.CloseBodyStream()
}

func (x *Exchange) receiveOwn() error {
	r := &x.response
	readFacts(&r.Header, &x.pool.Dialect, x.command, &x.Facts)
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

func readFacts(h *fasthttp.ResponseHeader, d *Dialect, command *core.StartAttempt, f *outcome.Facts) {
	readLoad(h, d, f)
	f.Status = h.StatusCode()
	if form := command.NotRun; form.Header != "" {
		f.NotRunHeader = string(h.Peek(form.Header)) == form.Value
	}
	if command.Instance != "" && f.Status == fasthttp.StatusMisdirectedRequest {
		// Another instance has the address; it runs nothing that is not its own.
		f.NotRunHeader = true
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

func readLoad(h *fasthttp.ResponseHeader, d *Dialect, f *outcome.Facts) {
	if d.Load == "" || d.ParseLoad == nil {
		return
	}
	if value := h.Peek(d.Load); len(value) > 0 {
		f.Told = d.ParseLoad(value)
	}
}

// CopyHeader adds the head of the answer to an empty one.
func (x *Exchange) CopyHeader(to *fasthttp.ResponseHeader) {
	CopyResponseHeader(to, &x.response.Header)
}

// BufferedBody returns the body of an answer that is held. It is nil only for an answer
// that has no body, such as one to HEAD; an empty body is not nil.
func (x *Exchange) BufferedBody() []byte { return x.begin }

// ContentLength returns the length of the body that the answer announced, -1
// for a chunked one, -2 for one that ends with the connection.
func (x *Exchange) ContentLength() int { return x.response.Header.ContentLength() }
