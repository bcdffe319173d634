package backend

import (
	"bytes"
	"math"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"
)

const (
	// maxTimeout bounds the remaining time that a caller can specify.
	maxTimeout = 24 * time.Hour
	// maxDepth bounds the depth that can be parsed. The depth that is enforced
	// is core.MaxDepth.
	maxDepth = 1_000_000
	// maxRetryAfter bounds the wait that a backend server can request.
	maxRetryAfter = time.Hour
)

// ParseTimeout parses the remaining time of a request: a whole number of
// milliseconds, at least 1 and at most one day.
func ParseTimeout(value []byte) (time.Duration, bool) {
	ms, ok := parseNumber(value, int(maxTimeout/time.Millisecond))
	return time.Duration(ms) * time.Millisecond, ok && ms > 0
}

// ParseDepth parses the number of entry hosts that a chain of nested calls has
// passed.
func ParseDepth(value []byte) (int, bool) {
	return parseNumber(value, maxDepth)
}

// ParseRetryAfter parses a Retry-After header, which holds seconds, possibly with
// a fraction, or an HTTP date. It returns 0 if the value is malformed or not in the
// future, and at most one hour.
func ParseRetryAfter(value []byte, now time.Time) time.Duration {
	value = bytes.TrimSpace(value)
	if isNumeral(value) {
		return parseSeconds(string(value))
	}
	at, err := fasthttp.ParseHTTPDate(value)
	if err != nil || !at.After(now) {
		return 0
	}
	return min(at.Sub(now), maxRetryAfter)
}

// parseSeconds parses a number of seconds. The comparisons come before the
// conversion, whose result for a value out of range depends on the processor.
func parseSeconds(text string) time.Duration {
	seconds, err := strconv.ParseFloat(text, 64)
	switch {
	case seconds >= maxRetryAfter.Seconds():
		return maxRetryAfter
	case err != nil, !(seconds > 0):
		return 0
	}
	return time.Duration(math.Ceil(seconds * float64(time.Second)))
}

// isNumeral reports whether the value consists of the characters of a decimal
// number, which excludes the names of infinities and hexadecimal numbers.
func isNumeral(value []byte) bool {
	return len(value) > 0 && len(bytes.Trim(value, "0123456789.eE+-")) == 0
}

// parseNumber parses a decimal number without sign, space or fraction. It
// reports false for numbers above limit.
func parseNumber(value []byte, limit int) (int, bool) {
	if !isDigits(value) {
		return 0, false
	}
	n, err := strconv.Atoi(string(value))
	if err != nil || n > limit {
		return 0, false
	}
	return n, true
}

func isDigits(value []byte) bool {
	for _, c := range value {
		if c < '0' || c > '9' {
			return false
		}
	}
	return len(value) > 0
}

// maxLoad bounds the load that a backend server can report in HeaderLoad.
const maxLoad = 1_000_000
