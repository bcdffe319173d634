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

	// reservedPrefix is the lower-case prefix of all headers above.
	reservedPrefix = "wisteriapond-"
)

// hopByHopHeaders apply to a single connection and are not forwarded.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// protectedHeaders cannot be removed by a Connection header: without them the
// message would change its meaning.
var protectedHeaders = []string{"Host", "Content-Length", "Content-Type", "Content-Encoding"}

// headerFields is the common interface of fasthttp's request and response
// headers.
type headerFields interface {
	All() iter.Seq2[[]byte, []byte]
	PeekAll(key string) [][]byte
	AddBytesKV(key, value []byte)
}

// CopyRequestHeader copies the forwardable part of a caller's request header to
// dst, which must be empty. It omits hop-by-hop headers, reserved headers
// and Expect. The caller of CopyRequestHeader sets the framing of the body.
func CopyRequestHeader(dst, src *fasthttp.RequestHeader) {
	dst.SetNoDefaultContentType(true)
	dst.SetMethodBytes(src.Method())
	dst.SetRequestURIBytes(src.RequestURI())
	copyFields(dst, src, func(key []byte) bool {
		return !isReserved(key) && !equalName(key, "Expect") && !equalName(key, "Content-Length")
	})
}

// CopyResponseHeader copies the forwardable part of a backend server's response
// header to dst, which must be empty. HeaderGaveUp is kept, so that the layers
// above do not retry after a lower layer has given up. The Date header is set
// by the server towards the caller, since fasthttp does not forward it.
func CopyResponseHeader(dst, src *fasthttp.ResponseHeader) {
	src.SetNoDefaultContentType(true)
	dst.SetStatusCode(src.StatusCode())
	if message := src.StatusMessage(); len(message) > 0 {
		dst.SetStatusMessage(message)
	}
	copyFields(dst, src, func(key []byte) bool {
		return !isReserved(key) || equalName(key, HeaderGaveUp)
	})
	if src.ContentLength() == chunkedLength {
		dst.SetContentLength(chunkedLength)
	}
}

// copyFields copies field by field, since deleting fields from a copy would
// change the order of repeated headers.
func copyFields(dst, src headerFields, forwards func(key []byte) bool) {
	options := connectionOptions(src)
	for key, value := range src.All() {
		if forwards(key) && !containsName(key, hopByHopHeaders) && !containsName(key, options) {
			dst.AddBytesKV(key, value)
		}
	}
}

// connectionOptions returns the headers that are listed in Connection headers.
func connectionOptions(h headerFields) []string {
	var names []string
	for _, value := range h.PeekAll("Connection") {
		for option := range bytes.SplitSeq(value, []byte{','}) {
			if name := bytes.TrimSpace(option); len(name) > 0 && !containsName(name, protectedHeaders) {
				names = append(names, string(name))
			}
		}
	}
	return names
}

func isReserved(key []byte) bool {
	return len(key) >= len(reservedPrefix) && equalName(key[:len(reservedPrefix)], reservedPrefix)
}

func containsName(key []byte, names []string) bool {
	for _, name := range names {
		if equalName(key, name) {
			return true
		}
	}
	return false
}

// equalName compares header names case-insensitively.
func equalName(key []byte, name string) bool {
	return len(key) == len(name) && strings.EqualFold(string(key), name)
}
