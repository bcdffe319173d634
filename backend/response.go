package backend

import (
	"bufio"
	"bytes"
	"io"
	"time"

	"github.com/valyala/fasthttp"

	"wisteriapond/core"
	"wisteriapond/httphead"
	"wisteriapond/outcome"
)

// chunkedLength is the content length that fasthttp reports for a chunked body.
const chunkedLength = -1

// maxUnmatchedResponses bounds the responses to earlier requests that are
// discarded while waiting for the response to the current request.
const maxUnmatchedResponses = 4

// maxInterimResponses bounds the interim responses before a response.
const maxInterimResponses = 100

// receive reads the header of the response, and its body if that is short
// enough to be buffered. Late responses to earlier requests on the same
// connection are discarded.
func (x *Exchange) receive() error {
	for range maxUnmatchedResponses {
		if err := x.receiveHeader(); err != nil {
			return err
		}
		matches, err := x.matchesRequest()
		if err != nil {
			return err
		}
		if matches {
			return x.receiveMatched()
		}
		if err := x.discardResponse(); err != nil {
			return err
		}
	}
	return &MalformedError{Err: errUnmatched}
}

func (x *Exchange) receiveHeader() error {
	r := &x.response
	if err := skipInterim(x.conn.reader, &r.Header); err != nil {
		return err
	}
	r.StreamBody = true
	r.SkipBody = x.request.Header.IsHead()
	if err := r.ReadLimitBody(x.conn.reader, 0); err != nil {
		return headerError(err)
	}
	x.conn.applyKeepAlive(&r.Header)
	return nil
}

// skipInterim reads interim responses up to the header section of the response proper,
// which stays unread. Each header section is checked before fasthttp reads it.
func skipInterim(r *bufio.Reader, h *fasthttp.ResponseHeader) error {
	for range maxInterimResponses {
		section, err := httphead.Check(r)
		if err != nil {
			return headerError(err)
		}
		if section.Status >= fasthttp.StatusOK {
			return nil
		}
		if err := h.Read(r); err != nil {
			return headerError(err)
		}
	}
	return &MalformedError{Err: errTooManyInterim}
}

// matchesRequest reports whether the response belongs to the request of this
// attempt. A response with a status below 300 must carry the request ID. Any other
// response is accepted without one, but only on a new connection: on a reused one
// it may be a late copy of the response to an earlier request, whose statement that
// the request did not run would be false for this one.
func (x *Exchange) matchesRequest() (bool, error) {
	name := x.pool.Dialect.RequestID
	if name == "" {
		return true, nil
	}
	wantID := x.request.Header.Peek(name)
	if len(wantID) == 0 {
		return true, nil
	}
	gotID := x.response.Header.Peek(name)
	if len(gotID) == 0 && (x.reused || x.response.StatusCode() < fasthttp.StatusMultipleChoices) {
		return false, &MalformedError{Err: errMissingID}
	}
	return len(gotID) == 0 || bytes.Equal(gotID, wantID), nil
}

// discardResponse reads the rest of a response to another request. It fails if
// the body exceeds HoldBytes or ends only with the connection.
func (x *Exchange) discardResponse() error {
	stream := x.response.BodyStream()
	if stream == nil {
		return nil
	}
	n, err := io.Copy(io.Discard, io.LimitReader(stream, x.command.HoldBytes+1))
	if err != nil {
		return bodyError(err)
	}
	if n > x.command.HoldBytes || x.response.Header.ContentLength() < chunkedLength {
		return &MalformedError{Err: errUnmatched}
	}
	return x.response.CloseBodyStream()
}

func (x *Exchange) receiveMatched() error {
	r := &x.response
	readFacts(&r.Header, &x.pool.Dialect, x.command, &x.Facts)
	// A copy of a refusal may follow late, with the ID of the same request. A retry
	// on this connection would count as not run while the server runs it.
	x.reusable = !r.ConnectionClose() && !x.Facts.NotRunHeader
	stream := r.BodyStream()
	if stream == nil {
		return nil
	}
	return x.receiveBody(stream)
}

func (x *Exchange) receiveBody(stream io.Reader) error {
	limit := x.command.HoldBytes
	length := int64(x.response.Header.ContentLength())
	x.unsized = length < 0
	if x.unsized {
		// Whether a body of unknown length fits into the buffer is only known
		// at its end.
		length = limit + 1
	}
	if !x.unsized && length > limit || !x.pool.takeHeld(length) {
		x.Streaming = true
		return nil
	}
	x.held = length
	body, err := readUpTo(stream, length)
	if err != nil {
		return bodyError(err)
	}
	if body == nil {
		body = []byte{}
	}
	x.prefix = body
	if int64(len(body)) > limit {
		x.Streaming = true
		x.Facts.Unsized = true
		return nil
	}
	x.Facts.Bytes = int64(len(body))
	return x.closeBody()
}

// closeBody closes the body of a response after its last byte was read. It fails if the
// body ends with the connection and the connection failed: the system reports the
// failure of a connection once, and if it does so to the write of the request, reads
// return an end of file.
func (x *Exchange) closeBody() error {
	endsWithConnection := x.response.Header.ContentLength() < chunkedLength
	if err := x.response.CloseBodyStream(); err != nil {
		return bodyError(err)
	}
	if !endsWithConnection {
		return nil
	}
	if err := x.stopSending(); isConnectionFailure(err) {
		return &TruncatedError{Err: err}
	}
	return nil
}

// readUpTo reads limit bytes, or fewer if the stream ends earlier. The stream
// reports a body shorter than its announced length as an error.
func readUpTo(stream io.Reader, limit int64) ([]byte, error) {
	var body bytes.Buffer
	_, err := body.ReadFrom(io.LimitReader(stream, limit))
	return body.Bytes(), err
}

func readFacts(h *fasthttp.ResponseHeader, d *Dialect, command *core.StartAttempt, f *outcome.Facts) {
	f.Status = h.StatusCode()
	if form := command.NotRun; form.Header != "" {
		f.NotRunHeader = string(h.Peek(form.Header)) == form.Value
	}
	if command.Instance != "" && f.Status == fasthttp.StatusMisdirectedRequest {
		// Status 421 comes from another instance that now has the address. It
		// does not run requests meant for other instances. What it says of itself
		// does not apply to this upstream.
		f.NotRunHeader = true
		return
	}
	readLoad(h, d, f)
	readWarmUp(h, d, f)
	f.GaveUp = len(h.Peek(HeaderGaveUp)) > 0
	f.Draining = len(h.Peek(HeaderDraining)) > 0 || d.Leaving != "" && string(h.Peek(d.Leaving)) == leavingValue
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

func readWarmUp(h *fasthttp.ResponseHeader, d *Dialect, f *outcome.Facts) {
	if d.WarmUp == "" || d.ParseWarmUp == nil {
		return
	}
	if value := h.Peek(d.WarmUp); len(value) > 0 {
		f.WarmUp = d.ParseWarmUp(value)
	}
}

// CopyHeader copies the response header to dst, which must be empty.
func (x *Exchange) CopyHeader(dst *fasthttp.ResponseHeader) {
	CopyResponseHeader(dst, &x.response.Header)
}

// BufferedBody returns the body of a response that is buffered completely. It
// is nil only for a response without a body, such as one to HEAD; an empty body
// is not nil.
func (x *Exchange) BufferedBody() []byte { return x.prefix }

// ContentLength returns the announced length of the response body, -1 for a
// chunked body, -2 for a body that ends with the connection.
func (x *Exchange) ContentLength() int { return x.response.Header.ContentLength() }
