package httphead

const (
	// protocolPrefix begins every response.
	protocolPrefix = "HTTP/1."
	// minStatus and maxStatus bound the status of a response.
	minStatus = 100
	maxStatus = 599
)

// status reads the status line and returns the status. Empty lines before a response are
// tolerated. The status is checked here since libraries take any three digits for one, and
// fasthttp reports 000 as 200.
func (s *scanner) status() int {
	s.skipEmptyLines()
	s.expect(protocolPrefix, errNoResponse)
	minor := s.next()
	if minor != '0' && minor != '1' {
		s.fail(errNoResponse)
	}
	s.codings = minor == '1'
	s.skipSpaces()
	status := 0
	for range 3 {
		c := s.next()
		if c < '0' || c > '9' {
			s.fail(errNoStatus)
		}
		status = status*10 + int(c-'0')
	}
	if c := s.next(); c != ' ' && c != '\r' {
		s.fail(errNoStatus)
	}
	if status < minStatus || status > maxStatus {
		s.fail(errNoStatus)
	}
	s.back()
	s.skipLine()
	return status
}

// skipEmptyLines skips the ends of lines. Their number is bounded by the buffer.
func (s *scanner) skipEmptyLines() {
	for c := s.next(); s.err == nil; c = s.next() {
		if c != '\r' && c != '\n' {
			s.back()
			return
		}
	}
}

// skipSpaces skips the spaces before the status, at least one.
func (s *scanner) skipSpaces() {
	if s.next() != ' ' {
		s.fail(errNoResponse)
	}
	for s.err == nil {
		if s.next() != ' ' {
			s.back()
			return
		}
	}
}
