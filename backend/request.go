package backend

import (
	"io"
	"net"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"wisteriapond/core"
)

// Request is a caller's request in the form sent to backend servers. It may be
// sent several times unless its body is streamed.
type Request struct {
	// Header is complete except for the headers that differ between attempts.
	Header fasthttp.RequestHeader
	// Body is a buffered body.
	Body []byte
	// Stream is a body too long to be buffered, nil otherwise.
	Stream io.Reader
	// Length is the length of Stream in bytes, -1 if unknown.
	Length int64
	// StopStream ends a pending read of Stream. Stream cannot be read
	// afterwards.
	StopStream func()

	// streamConsumed is set once an attempt has started to read Stream.
	streamConsumed bool
}

// Reset clears the request and retains its memory for reuse.
func (r *Request) Reset() {
	r.Header.Reset()
	r.Body = nil
	r.Stream = nil
	r.StopStream = nil
	r.streamConsumed = false
}

// encodeHeader returns the encoded header section for one attempt.
func (r *Request) encodeHeader(d *Dialect, command *core.StartAttempt, remaining time.Duration) []byte {
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

// write sends a request whose body is buffered.
func (r *Request) write(conn net.Conn, header []byte) error {
	if len(r.Body) == 0 {
		_, err := conn.Write(header)
		return err
	}
	buffers := net.Buffers{header, r.Body}
	_, err := buffers.WriteTo(conn)
	return err
}
