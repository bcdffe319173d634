package backend

import (
	"fmt"
	"io"
	"net/http/httputil"
	"sync"
	"sync/atomic"
)

// copyBufferBytes bounds the memory of a body that is passed on as it comes.
const copyBufferBytes = 32 << 10

var copyBuffers = sync.Pool{New: func() any { return new([copyBufferBytes]byte) }}

// upload sends a streamed request body while the answer is awaited: a backend
// server may answer before it has read the whole body.
type upload struct {
	done chan struct{}
	// err is set before done is closed.
	err error
	// read is set once the whole body was read from the caller, before its last
	// bytes are sent on. The caller's connection is good for the next request
	// from then on.
	read atomic.Bool
	// broken is set when the caller broke off the body, before the wait for
	// the answer is ended on that account.
	broken atomic.Pointer[RequestBodyError]
}

// startUpload sends the head and the streamed body in the background.
func (x *Exchange) startUpload(head []byte) {
	x.request.taken = true
	x.Facts.BodyTaken = true
	u := &upload{done: make(chan struct{})}
	x.upload = u
	conn := x.conn
	go func() {
		defer close(u.done)
		u.err = u.send(conn, head, x.request)
		if broken, ok := u.err.(*RequestBodyError); ok {
			u.broken.Store(broken)
			conn.SetDeadline(past)
		}
	}()
}

func (u *upload) send(conn io.Writer, head []byte, request *Request) (err error) {
	defer func() {
		if fault := recover(); fault != nil {
			err = &RequestBodyError{Err: fmt.Errorf("%v", fault)}
		}
	}()
	if _, err := conn.Write(head); err != nil {
		return err
	}
	if request.Length >= 0 {
		return u.copyBody(conn, request.Stream, request.Length)
	}
	chunked := httputil.NewChunkedWriter(conn)
	if err := u.copyBody(chunked, request.Stream, -1); err != nil {
		return err
	}
	if err := chunked.Close(); err != nil {
		return err
	}
	_, err = io.WriteString(conn, "\r\n")
	return err
}

// copyBody copies a body of the given length, -1 for any. An error of the
// reader is a BodyError.
func (u *upload) copyBody(to io.Writer, from io.Reader, length int64) error {
	buffer := copyBuffers.Get().(*[copyBufferBytes]byte)
	defer copyBuffers.Put(buffer)
	var copied int64
	for {
		n, err := from.Read(buffer[:])
		copied += int64(n)
		if err == io.EOF || copied == length {
			u.read.Store(true)
		}
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				return err
			}
		}
		if err == io.EOF {
			break
		}
		if err != nil {
			return &RequestBodyError{Err: err}
		}
	}
	if length >= 0 && copied != length {
		return &RequestBodyError{Err: io.ErrUnexpectedEOF}
	}
	return nil
}

// RequestBodyRead reports whether the whole request body was read from the caller.
func (x *Exchange) RequestBodyRead() bool {
	return x.upload == nil || x.upload.read.Load()
}

// brokenUpload returns the error of an upload that the caller broke off. It
// must be called before stopUpload, which breaks off the upload itself.
func (x *Exchange) brokenUpload() error {
	if x.upload == nil {
		return nil
	}
	if broken := x.upload.broken.Load(); broken != nil {
		return broken
	}
	return nil
}

// stopUpload ends the upload and reports whether it was complete. Afterwards
// nothing reads the caller's connection on behalf of this attempt.
func (x *Exchange) stopUpload() bool {
	if x.upload == nil {
		return true
	}
	select {
	case <-x.upload.done:
	default:
		if !x.upload.read.Load() {
			x.request.StopStream()
		}
		x.conn.SetWriteDeadline(past)
		<-x.upload.done
	}
	return x.upload.err == nil
}
