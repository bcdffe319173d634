package backend

import (
	"bufio"

	"github.com/valyala/fasthttp"
)

// maxInterimResponses bounds the interim responses before a response.
const maxInterimResponses = 100

// deleteByte is the control byte beyond the printable ones of ASCII.
const deleteByte = 0x7f

// skipInterim reads interim responses up to the header section of the response proper,
// which stays unread. fasthttp understands header sections that can be understood in
// more than one way, so each is checked before fasthttp reads it.
func skipInterim(r *bufio.Reader, h *fasthttp.ResponseHeader) error {
	for range maxInterimResponses {
		status, err := checkHead(r)
		if err != nil || status >= fasthttp.StatusOK {
			return err
		}
		if err := h.Read(r); err != nil {
			return headerError(err)
		}
	}
	return &MalformedError{Err: errTooManyInterim}
}

// checkHead checks the header section that begins next and returns its status. It fails
// at the first byte that shows that what the server sends is no response. Otherwise that
// would show only at the end of a line, which may never come.
func checkHead(r *bufio.Reader) (status int, err error) {
	s := headScanner{reader: r}
	status = s.status()
	if status == fasthttp.StatusSwitchingProtocols {
		s.fail(errUpgrade)
	}
	s.checkFields()
	return status, s.err
}

// headScanner looks at the bytes of a header section without consuming them. After the
// first error it keeps this error.
type headScanner struct {
	reader *bufio.Reader
	// received holds the bytes that are buffered, of which offset were looked at.
	received []byte
	offset   int
	err      error
}

// next returns the next byte, 0 after an error.
func (s *headScanner) next() byte {
	if s.err == nil && s.offset == len(s.received) {
		s.receive()
	}
	if s.err != nil {
		return 0
	}
	s.offset++
	return s.received[s.offset-1]
}

// receive waits for at least one more byte.
func (s *headScanner) receive() {
	if _, err := s.reader.Peek(s.offset + 1); err != nil {
		s.err = headerError(err)
		return
	}
	s.received, _ = s.reader.Peek(s.reader.Buffered())
}

// back makes the last byte the next one.
func (s *headScanner) back() { s.offset-- }

// fail records that the bytes are no response, unless there was an error before.
func (s *headScanner) fail(err error) {
	if s.err == nil {
		s.err = &MalformedError{Err: err}
	}
}

func (s *headScanner) expect(text string, otherwise error) {
	for i := range len(text) {
		if s.next() != text[i] {
			s.fail(otherwise)
			return
		}
	}
}

// checkFields checks the fields up to the empty line that ends the header section. A name
// consists of the bytes of a token, and a line ends with a carriage return and a line
// feed. fasthttp drops blanks at the end of a name, keeps others, joins a line that begins
// with a blank to the one before, and takes a line feed alone for the end of the section
// if a complete empty line comes later.
func (s *headScanner) checkFields() {
	for s.err == nil {
		c := s.next()
		if c == '\r' {
			s.expect("\n", errLineEnd)
			return
		}
		if !isTokenByte(c) {
			s.fail(errFieldName)
		}
		for isTokenByte(c) {
			c = s.next()
		}
		if c != ':' {
			s.fail(errFieldName)
		}
		s.skipLine()
	}
}

// skipLine skips the rest of a line, which holds no control bytes but tabs. fasthttp checks
// the values of fields, but not the reason phrase.
func (s *headScanner) skipLine() {
	for s.err == nil {
		switch c := s.next(); {
		case c == '\r':
			s.expect("\n", errLineEnd)
			return
		case c == '\n':
			s.fail(errLineEnd)
		case c < ' ' && c != '\t' || c == deleteByte:
			s.fail(errControlByte)
		}
	}
}

// tokenBytes tells which bytes a token consists of, according to RFC 9110, section 5.6.2.
var tokenBytes = func() (is [256]bool) {
	for _, c := range []byte("!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ") {
		is[c] = true
	}
	return is
}()

func isTokenByte(c byte) bool { return tokenBytes[c] }
