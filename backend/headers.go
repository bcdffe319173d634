package backend

import (
	"bytes"
	"strings"

	"github.com/valyala/fasthttp"
)

// Headers between entry hosts, callers and backend servers.
const (
	HeaderTimeout  = "Wisteriapond-Timeout"
	HeaderDepth    = "Wisteriapond-Depth"
	HeaderOutcome  = "Wisteriapond-Outcome"
	HeaderReason   = "Wisteriapond-Reason"
	HeaderUpstream = "Wisteriapond-Upstream"
	HeaderGaveUp   = "Wisteriapond-Gave-Up"
	HeaderLoad     = "Wisteriapond-Load"
	HeaderDraining = "Wisteriapond-Draining"

	// reservedPrefix begins every header of the system, in lower case.
	reservedPrefix = "wisteriapond-"
)

// hopByHop are the headers that belong to one connection.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Upgrade",
}

// framing are the headers that a Connection header must not remove: without
// them the message would mean something else.
var framing = []string{"Host", "Content-Length", "Content-Type", "Transfer-Encoding"}

// header is what the request and response headers of fasthttp share.
type header interface {
	Del(key string)
	PeekAll(key string) [][]byte
}

// StripRequest removes what must not pass from a caller to a backend server:
// headers of the caller's connection and every reserved header.
func StripRequest(h *fasthttp.RequestHeader) {
	var reserved []string
	for key := range h.All() {
		if isReserved(key) {
			reserved = append(reserved, string(key))
		}
	}
	deleteAll(h, reserved)
	stripConnection(h)
	h.Del("Expect")
	h.ResetConnectionClose()
}

// StripResponse removes what must not pass from a backend server to a caller.
// The mark of a lower layer that gave up is kept, so that layers above do not
// retry.
func StripResponse(h *fasthttp.ResponseHeader) {
	var reserved []string
	for key := range h.All() {
		if isReserved(key) && !strings.EqualFold(string(key), HeaderGaveUp) {
			reserved = append(reserved, string(key))
		}
	}
	deleteAll(h, reserved)
	stripConnection(h)
	h.ResetConnectionClose()
}

// stripConnection removes the headers of one connection, also those that a
// Connection header names.
func stripConnection(h header) {
	for _, name := range connectionOptions(h) {
		h.Del(name)
	}
	deleteAll(h, hopByHop)
}

func connectionOptions(h header) []string {
	var names []string
	for _, value := range h.PeekAll("Connection") {
		for option := range bytes.SplitSeq(value, []byte{','}) {
			name := string(bytes.TrimSpace(option))
			if name != "" && !isFraming(name) {
				names = append(names, name)
			}
		}
	}
	return names
}

func isFraming(name string) bool {
	for _, kept := range framing {
		if strings.EqualFold(name, kept) {
			return true
		}
	}
	return false
}

func isReserved(key []byte) bool {
	return len(key) >= len(reservedPrefix) && strings.EqualFold(string(key[:len(reservedPrefix)]), reservedPrefix)
}

func deleteAll(h header, names []string) {
	for _, name := range names {
		h.Del(name)
	}
}
