package backend

import (
	"bytes"
	"iter"
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
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// essential are the headers that a Connection header must not remove: without
// them the message would mean something else.
var essential = []string{"Host", "Content-Length", "Content-Type", "Content-Encoding"}

// header is what the request and response headers of fasthttp share.
type header interface {
	All() iter.Seq2[[]byte, []byte]
	PeekAll(key string) [][]byte
	AddBytesKV(key, value []byte)
}

// CopyRequestHeader adds what passes from a caller to a backend server to an empty
// head: no headers of the caller's connection and no reserved ones. The
// framing of the body is left to the caller of CopyRequestHeader.
func CopyRequestHeader(to, from *fasthttp.RequestHeader) {
	to.SetNoDefaultContentType(true)
	to.SetMethodBytes(from.Method())
	to.SetRequestURIBytes(from.RequestURI())
	copyFields(to, from, func(key []byte) bool {
		return !isReserved(key) && !is(key, "Expect") && !is(key, "Content-Length")
	})
}

// CopyResponseHeader adds what passes from a backend server to a caller to an empty
// head. The mark of a lower layer that gave up is kept, so that layers above
// do not retry. The date is left to the server, since fasthttp passes none on.
func CopyResponseHeader(to, from *fasthttp.ResponseHeader) {
	from.SetNoDefaultContentType(true)
	to.SetStatusCode(from.StatusCode())
	if message := from.StatusMessage(); len(message) > 0 {
		to.SetStatusMessage(message)
	}
	copyFields(to, from, func(key []byte) bool {
		return !isReserved(key) || is(key, HeaderGaveUp)
	})
	if from.ContentLength() == chunkedLength {
		to.SetContentLength(chunkedLength)
	}
}

// copyFields copies field by field: deleting from a copy would change the
// order of repeated headers.
func copyFields(to, from header, passes func(key []byte) bool) {
	options := connectionOptions(from)
	for key, value := range from.All() {
		if passes(key) && !isAny(key, hopByHop) && !isAny(key, options) {
			to.AddBytesKV(key, value)
		}
	}
}

// connectionOptions returns the headers that a Connection header names.
func connectionOptions(h header) []string {
	var names []string
	for _, value := range h.PeekAll("Connection") {
		for option := range bytes.SplitSeq(value, []byte{','}) {
			if name := bytes.TrimSpace(option); len(name) > 0 && !isAny(name, essential) {
				names = append(names, string(name))
			}
		}
	}
	return names
}

func isReserved(key []byte) bool {
	return len(key) >= len(reservedPrefix) && is(key[:len(reservedPrefix)], reservedPrefix)
}

func isAny(key []byte, names []string) bool {
	for _, name := range names {
		if is(key, name) {
			return true
		}
	}
	return false
}

// is compares header names without regard to case.
func is(key []byte, name string) bool {
	return len(key) == len(name) && strings.EqualFold(string(key), name)
}
