package backend

import (
	"bufio"

	"github.com/valyala/fasthttp"
)

const (
	// protocolPrefix begins every response.
	protocolPrefix = "HTTP/1."
	// maxInterimResponses bounds the interim responses before a response.
	maxInterimResponses = 100
	// minStatus and maxStatus bound the status of a response.
	minStatus = 100
	maxStatus = 599
)

// skipInterim reads interim responses up to the status line of the response proper,
// which stays unread. It checks each status line itself: fasthttp takes any three
// digits for a status, and reports 000 as 200.
func skipInterim(r *bufio.Reader, h *fasthttp.ResponseHeader) error {
	for range maxInterimResponses {
		status, err := peekStatus(r)
		switch {
		case err != nil:
			return err
		case status == fasthttp.StatusSwitchingProtocols:
			return &MalformedError{Err: errUpgrade}
		case status >= fasthttp.StatusOK:
			return nil
		}
		if err := h.Read(r); err != nil {
			return headerError(err)
		}
	}
	return &MalformedError{Err: errTooManyInterim}
}

// peekStatus returns the status of the response that begins next. It fails at the
// first byte that shows that what the server sends is no response. Otherwise that
// would show only at the end of a line, which may never come. Empty lines before a
// response are tolerated.
func peekStatus(r *bufio.Reader) (int, error) {
	line := statusLine{reader: r}
	line.skipEmptyLines()
	line.expect(protocolPrefix)
	if c := line.next(); c != '0' && c != '1' {
		line.fail(errNoResponse)
	}
	line.skipSpaces()
	status := 0
	for range 3 {
		c := line.next()
		if c < '0' || c > '9' {
			line.fail(errNoStatus)
		}
		status = status*10 + int(c-'0')
	}
	if c := line.next(); c != ' ' && c != '\r' && c != '\n' {
		line.fail(errNoStatus)
	}
	if status < minStatus || status > maxStatus {
		line.fail(errNoStatus)
	}
	return status, line.err
}

// statusLine looks at the bytes of a status line without consuming them. After the
// first error it keeps this error.
type statusLine struct {
	reader *bufio.Reader
	offset int
	err    error
}

// next returns the next byte.
func (l *statusLine) next() byte {
	if l.err != nil {
		return 0
	}
	received, err := l.reader.Peek(l.offset + 1)
	if err != nil {
		l.err = headerError(err)
		return 0
	}
	l.offset++
	return received[l.offset-1]
}

// fail records that the bytes are no response, unless there was an error before.
func (l *statusLine) fail(err error) {
	if l.err == nil {
		l.err = &MalformedError{Err: err}
	}
}

// skipEmptyLines skips the ends of lines. Their number is bounded by the buffer.
func (l *statusLine) skipEmptyLines() {
	for c := l.next(); l.err == nil; c = l.next() {
		if c != '\r' && c != '\n' {
			l.offset--
			return
		}
	}
}

func (l *statusLine) expect(text string) {
	for i := range len(text) {
		if l.next() != text[i] {
			l.fail(errNoResponse)
			return
		}
	}
}

// skipSpaces skips the spaces before the status, at least one.
func (l *statusLine) skipSpaces() {
	if l.next() != ' ' {
		l.fail(errNoResponse)
	}
	for l.err == nil {
		if l.next() != ' ' {
			l.offset--
			return
		}
	}
}
