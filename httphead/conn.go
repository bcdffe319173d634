package httphead

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
)

// bufferBytes is the size of a read buffer. It also bounds a header section.
const bufferBytes = 8 << 10

// conn is a client's connection on which each header section is checked before a library
// reads it.
type conn struct {
	net.Conn
	reader *bufio.Reader
	// awaited is set from a request until the header section of its response was checked.
	awaited atomic.Bool
	// checked is the number of bytes of a checked header section that are unread.
	checked int
}

// Dial is the type of functions that open connections, such as net.Dialer.DialContext.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Checked returns a function that opens connections as dial does. Their reads fail with an
// *Error where a header section begins that Check rejects. A connection may be used for one
// request at a time, which must be sent completely before its response begins.
func Checked(dial Dial) Dial {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &conn{Conn: c, reader: bufio.NewReaderSize(c, bufferBytes)}, nil
	}
}

// Write sends bytes of a request.
func (c *conn) Write(p []byte) (int, error) {
	c.awaited.Store(true)
	return c.Conn.Write(p)
}

// Read returns bytes of a response, or those of a header section once it was checked.
func (c *conn) Read(p []byte) (int, error) {
	if c.checked == 0 {
		if err := c.check(); err != nil {
			return 0, err
		}
	}
	if c.checked > 0 {
		p = p[:min(len(p), c.checked)]
	}
	n, err := c.reader.Read(p)
	c.checked = max(0, c.checked-n)
	return n, err
}

// check waits for the next byte, and checks the header section if one begins with it. A
// read may have begun before the request was sent, so the byte tells.
func (c *conn) check() error {
	if _, err := c.reader.Peek(1); err != nil {
		return err
	}
	if !c.awaited.Load() {
		return nil
	}
	section, err := Check(c.reader)
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	if err != nil {
		return err
	}
	c.checked = section.Length
	// An interim response is followed by another header section.
	c.awaited.Store(section.Status < http.StatusOK)
	return nil
}
