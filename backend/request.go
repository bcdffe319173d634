package backend

import (
	"io"
	"net"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"wisteriapond/core"
)

// Request is a caller's request as it goes to backend servers. It may be sent
// several times, unless its body is a stream.
type Request struct {
	// Header is complete but for the headers that differ between attempts.
	Header fasthttp.RequestHeader
	// Body is a body that is held whole.
	Body []byte
	// Stream is a body too long to be held, nil otherwise.
	Stream io.Reader
	// Length is the number of bytes of Stream, -1 when it is not known.
	Length int64
	// StopStream ends a pending read of Stream, which cannot be read any more
	// from then on.
	StopStream func()

	taken bool
}

// Reset empties the request and keeps its memory.
func (r *Request) Reset() {
	r.Header.Reset()
	r.Body = nil
	r.Stream = nil
	r.StopStream = nil
	r.taken = false
}

// head returns the bytes of the request head for one attempt.
func (r *Request) head(d *Dialect, command *core.StartAttempt, remaining time.Duration) []byte {
	var digits [20]byte
	ms := max(1, remaining.Milliseconds())
	r.Header.SetBytesV(d.Timeout, strconv.AppendInt(digits[:0], ms, 10))
	if d.Depth != "" {
		r.Header.SetBytesV(d.Depth, strconv.AppendInt(digits[:0], int64(command.Depth), 10))
	}
	if d.Instance != "" && command.Instance != "" {
		r.Header.Set(d.Instance, command.Instance)
	}
	return r.Header.Header()
}

// write sends a request whose body is held.
func (r *Request) write(conn net.Conn, head []byte) error {
	if len(r.Body) == 0 {
		_, err := conn.Write(head)
		return err
	}
	buffers := net.Buffers{head, r.Body}
	_, err := buffers.WriteTo(conn)
	return err
}
