// Package httphead checks the header sections of HTTP/1 responses before an HTTP library
// reads them. Libraries understand sections that can be understood in more than one way:
// they repair or skip lines that are no fields, and take numbers for a status that are none.
package httphead

import (
	"bufio"
	"bytes"
	"errors"
)

// Section is a header section.
type Section struct {
	// Status is the status, from 100 to 599, but never 101.
	Status int
	// Length is the number of bytes, with the empty line that ends the section and with
	// empty lines before it.
	Length int
}

// Error reports bytes that are no header section of a response.
type Error struct {
	Err error
}

func (e *Error) Error() string { return "invalid header section: " + e.Err.Error() }

func (e *Error) Unwrap() error { return e.Err }

// Errors without further details.
var (
	errNoResponse  = errors.New("the first bytes are not those of a response")
	errNoStatus    = errors.New("the status is not a number from 100 to 599")
	errUpgrade     = errors.New("the server switches protocols")
	errFieldName   = errors.New("the name of a field is not a token")
	errControlByte = errors.New("a line holds a control byte")
	errTooLong     = errors.New("the section is too long")
	errCoding      = errors.New("HTTP/1.0 has no transfer codings")
	errLineEnd     = errors.New("a line does not end with CRLF")
)

// Check reads ahead to the end of the header section that begins next, and leaves it
// unread. It fails with an *Error at the first byte that shows that what the server sends
// is no response: otherwise that would show only at the end of a line, which may never
// come. A section that exceeds the buffer of the reader fails in the same way. Errors of
// the reader are returned as they are, io.EOF included.
func Check(r *bufio.Reader) (Section, error) {
	s := scanner{reader: r}
	status := s.status()
	if status == switchingProtocols {
		s.fail(errUpgrade)
	}
	s.checkFields()
	return Section{Status: status, Length: s.offset}, s.err
}

const (
	switchingProtocols = 101
	// deleteByte is the control byte beyond the printable ones of ASCII.
	deleteByte = 0x7f
)

// scanner looks at the bytes of a header section without consuming them. After the
// first error it keeps this error.
type scanner struct {
	reader *bufio.Reader
	// received holds the bytes that are buffered, of which offset were looked at.
	received []byte
	offset   int
	// codings is set if the version of the protocol has transfer codings.
	codings bool
	err     error
}

// next returns the next byte, 0 after an error.
func (s *scanner) next() byte {
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
func (s *scanner) receive() {
	_, err := s.reader.Peek(s.offset + 1)
	if err == bufio.ErrBufferFull {
		// Readers that themselves use a bufio.Reader would take this error for their own.
		err = &Error{Err: errTooLong}
	}
	if err != nil {
		s.err = err
		return
	}
	s.received, _ = s.reader.Peek(s.reader.Buffered())
}

// back makes the last byte the next one.
func (s *scanner) back() { s.offset-- }

// fail records that the bytes are no response, unless there was an error before.
func (s *scanner) fail(err error) {
	if s.err == nil {
		s.err = &Error{Err: err}
	}
}

// expect reads the text, and fails with the given error if it reads anything else.
func (s *scanner) expect(text string, otherwise error) {
	for i := range len(text) {
		if s.next() != text[i] {
			s.fail(otherwise)
			return
		}
	}
}

// checkFields checks the fields up to the empty line that ends the header section. A name
// consists of the bytes of a token, and a line ends with a carriage return and a line
// feed. Libraries keep blanks in a name or drop them, join a line that begins with a blank
// to the one before, and may take a line feed alone for the end of the section. HTTP/1.0
// has no transfer codings (RFC 9112, section 6.1): libraries take the coded body for the
// body.
func (s *scanner) checkFields() {
	for s.err == nil {
		c := s.next()
		if c == '\r' {
			s.expect("\n", errLineEnd)
			return
		}
		begin := s.offset - 1
		for isTokenByte(c) {
			c = s.next()
		}
		name := s.received[begin : s.offset-1]
		switch {
		case c != ':' || len(name) == 0:
			s.fail(errFieldName)
		case !s.codings && bytes.EqualFold(name, transferEncoding):
			s.fail(errCoding)
		}
		s.skipLine()
	}
}

// skipLine skips the rest of a line, which holds no control bytes but tabs. Libraries
// check the values of fields, but not the reason phrase.
func (s *scanner) skipLine() {
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

var transferEncoding = []byte("Transfer-Encoding")

// tokenBytes tells which bytes a token consists of, according to RFC 9110, section 5.6.2.
var tokenBytes = func() (is [256]bool) {
	for _, c := range []byte("!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ") {
		is[c] = true
	}
	return is
}()

func isTokenByte(c byte) bool { return tokenBytes[c] }
