package backend

import (
	"fmt"
	"io"
	"net/http/httputil"
	"sync"
	"sync/atomic"
)

// copyBufferBytes bounds the memory of a body that is forwarded while it is
// received.
const copyBufferBytes = 32 << 10

var copyBuffers = sync.Pool{New: func() any { return new([copyBufferBytes]byte) }}

// upload sends a streamed request body while the response is awaited, since a
// backend server may respond before it has read the complete body.
type upload struct {
	done chan struct{}
	// err is set before done is closed.
	err error
	// complete is set once the complete body was read from the caller, before
	// its last bytes are sent on. From then on the caller's connection can
	// carry the next request.
	complete atomic.Bool
	// bodyErr is set if the body could not be read from the caller. It is set
	// before the wait for the response is ended for this reason.
	bodyErr atomic.Pointer[RequestBodyError]
}

// startUpload sends the header and the streamed body in the background.
func (x *Exchange) startUpload(header []byte) {
	x.request.streamConsumed = true
	x.Facts.BodyTaken = true
	u := &upload{done: make(chan struct{})}
	x.upload = u
	conn := x.conn
	go func() {
		defer close(u.done)
		u.err = u.send(conn, header, x.request)
		if bodyErr, ok := u.err.(*RequestBodyError); ok {
			u.bodyErr.Store(bodyErr)
			conn.SetDeadline(pastDeadline)
		}
	}()
}

func (u *upload) send(conn io.Writer, header []byte, request *Request) (err error) {
	defer func() {
		if fault := recover(); fault != nil {
			err = &RequestBodyError{Err: fmt.Errorf("%v", fault)}
		}
	}()
	if _, err := conn.Write(header); err != nil {
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

// copyBody copies a body of the given length, -1 if unknown. An error of the
// reader is returned as a RequestBodyError.
func (u *upload) copyBody(dst io.Writer, src io.Reader, length int64) error {
	buffer := copyBuffers.Get().(*[copyBufferBytes]byte)
	defer copyBuffers.Put(buffer)
	var copied int64
	for {
		n, err := src.Read(buffer[:])
		copied += int64(n)
		if err == io.EOF || copied == length {
			u.complete.Store(true)
		}
		if n > 0 {
			if _, err := dst.Write(buffer[:n]); err != nil {
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

// RequestBodyRead reports whether the complete request body was read from the
// caller.
func (x *Exchange) RequestBodyRead() bool {
	return x.upload == nil || x.upload.complete.Load()
}

// requestBodyError returns the error of an upload whose body the caller
// aborted, or nil. It must be called before stopSending, which itself aborts the
// upload.
func (x *Exchange) requestBodyError() error {
	if x.upload == nil {
		return nil
	}
	if bodyErr := x.upload.bodyErr.Load(); bodyErr != nil {
		return bodyErr
	}
	return nil
}

// stopSending ends an upload that is in progress. It returns the error that kept the
// request from being sent completely, or nil. Afterwards nothing reads from the
// caller's connection on behalf of this attempt.
func (x *Exchange) stopSending() error {
	if x.upload == nil {
		return x.sendErr
	}
	select {
	case <-x.upload.done:
	default:
		if !x.upload.complete.Load() {
			x.request.StopStream()
		}
		x.conn.SetWriteDeadline(pastDeadline)
		<-x.upload.done
	}
	return x.upload.err
}
