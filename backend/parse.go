package backend

import (
	"bytes"
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

// ParseRetryAfter parses a Retry-After header, which holds seconds or an HTTP
// date. It returns 0 if the value is malformed or not in the future, and at
// most one hour.
func ParseRetryAfter(value []byte, now time.Time) time.Duration {
	value = bytes.TrimSpace(value)
	if len(value) == 0 {
		return 0
	}
	if isDigits(value) {
		seconds, ok := parseNumber(value, int(maxRetryAfter/time.Second))
		if !ok {
			return maxRetryAfter
		}
		return time.Duration(seconds) * time.Second
	}
	at, err := fasthttp.ParseHTTPDate(value)
	if err != nil || !at.After(now) {
		return 0
	}
	return min(at.Sub(now), maxRetryAfter)
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
