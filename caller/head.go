package caller

import (
	"bytes"
	"strconv"
)

// scannedLineBytes is the part of a header line that a headScanner keeps. Longer lines
// are of no interest unless they have to do with the framing.
const scannedLineBytes = 64

// headScanner finds the end of a head in bytes that arrive in pieces, and the length of
// the body behind it. It understands only the plain form of a head. Everything else
// makes it opaque: the end of the request is then left to fasthttp.
type headScanner struct {
	opaque bool
	// begun is set once the request line was seen, and safe if its method is GET or HEAD.
	begun, safe bool
	hasLength   bool
	bodyBytes   int64
	line        [scannedLineBytes]byte
	lineBytes   int
	// endsInCR is set while the last byte of the line is a carriage return.
	endsInCR bool
}

// scan reads up to the end of the head. It returns the number of bytes that belong to
// the head, and whether they include its end.
func (s *headScanner) scan(p []byte) (n int, done bool) {
	for n < len(p) && !s.opaque {
		i := bytes.IndexByte(p[n:], '\n')
		if i < 0 {
			s.extendLine(p[n:])
			break
		}
		s.extendLine(p[n : n+i])
		n += i + 1
		if s.endLine() {
			return n, !s.opaque
		}
	}
	return len(p), false
}

// atStart reports whether nothing of a head has been scanned.
func (s *headScanner) atStart() bool { return !s.opaque && !s.begun && s.lineBytes == 0 }

func (s *headScanner) extendLine(p []byte) {
	if len(p) == 0 {
		return
	}
	if s.lineBytes < len(s.line) {
		copy(s.line[s.lineBytes:], p)
	}
	s.lineBytes += len(p)
	cr := bytes.IndexByte(p, '\r')
	if s.endsInCR || cr >= 0 && cr != len(p)-1 {
		s.opaque = true
	}
	s.endsInCR = cr >= 0
}

// endLine reports whether the line was the empty one that ends the head.
func (s *headScanner) endLine() bool {
	length := s.lineBytes - 1
	if !s.endsInCR {
		s.opaque = true
	}
	s.lineBytes, s.endsInCR = 0, false
	switch {
	case s.opaque:
		return false
	case length == 0:
		s.opaque = s.begun && s.safe && s.bodyBytes > 0
		return s.begun
	case !s.begun:
		s.begun = true
		s.safe = bytes.HasPrefix(s.line[:], []byte("GET ")) || bytes.HasPrefix(s.line[:], []byte("HEAD "))
		return false
	}
	s.scanField(s.line[:min(length, len(s.line))], length > len(s.line))
	return false
}

func (s *headScanner) scanField(line []byte, cut bool) {
	name, value, _ := bytes.Cut(line, []byte{':'})
	if line[0] == ' ' || line[0] == '\t' {
		s.opaque = true
		return
	}
	name = bytes.TrimSpace(name)
	switch {
	case bytes.EqualFold(name, []byte("Transfer-Encoding")), bytes.EqualFold(name, []byte("Expect")):
		s.opaque = true
	case bytes.EqualFold(name, []byte("Content-Length")):
		length, err := strconv.ParseUint(string(bytes.TrimSpace(value)), 10, 62)
		s.opaque = s.opaque || cut || s.hasLength || err != nil
		s.hasLength, s.bodyBytes = true, int64(length)
	}
}
