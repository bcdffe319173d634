package backend

import (
	"bufio"
	"bytes"
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"
)

// readBufferBytes also bounds the head of an answer.
const readBufferBytes = 32 << 10

const (
	// maxKeepAlive stands for the idle time of a server that told none, and
	// bounds what it may tell.
	maxKeepAlive = 24 * time.Hour
	maxTold      = int(maxKeepAlive / time.Second)
	// keepAliveMargin is left before the idle time that a server told, for the
	// way of the request. Servers tell whole seconds.
	keepAliveMargin = 500 * time.Millisecond
)

// past is a deadline that ends a pending read or write at once.
var past = time.Unix(1, 0)

// readers holds the buffers that no connection uses. Every order opens a
// connection, and thousands may be idle; a buffer is larger than all else that
// a connection needs.
var readers = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, readBufferBytes) }}

// connection is one connection to a backend server.
type connection struct {
	net.Conn
	reader *bufio.Reader
	home   *address
	// generation is that of the address when the connection was opened.
	generation uint64
	idleSince  time.Time
	// idleLimit is the time for which the connection may be idle, as the server
	// told.
	idleLimit time.Duration
}

func dial(ctx context.Context, network *net.Dialer, a *address, generation uint64) (*connection, error) {
	conn, err := network.DialContext(ctx, "tcp", a.name)
	if err != nil {
		return nil, &DialError{Address: a.name, Err: err}
	}
	c := &connection{Conn: conn, home: a, generation: generation, idleLimit: maxKeepAlive}
	c.takeReader()
	return c, nil
}

// takeReader gives a connection its buffer for the time in which it is used.
func (c *connection) takeReader() {
	c.reader = readers.Get().(*bufio.Reader)
	c.reader.Reset(c.Conn)
}

// freeReader takes the buffer of a connection that is idle or closed. It must
// be empty, or the connection must not be used any more.
func (c *connection) freeReader() {
	if c.reader == nil {
		return
	}
	c.reader.Reset(nil)
	readers.Put(c.reader)
	c.reader = nil
}

// noteKeepAlive takes the idle time that an answer tells.
func (c *connection) noteKeepAlive(h *fasthttp.ResponseHeader) {
	for parameter := range bytes.SplitSeq(h.Peek("Keep-Alive"), []byte{','}) {
		name, value, _ := bytes.Cut(bytes.TrimSpace(parameter), []byte{'='})
		if seconds, ok := parseNumber(value, maxTold); ok && bytes.EqualFold(name, []byte("timeout")) {
			c.idleLimit = time.Duration(seconds)*time.Second - keepAliveMargin
		}
	}
}

// mayBeIdle reports whether the connection can still be used at the given time.
func (c *connection) mayBeIdle(now time.Time, longest time.Duration) bool {
	return now.Sub(c.idleSince) < min(longest, c.idleLimit)
}

// close closes a connection that nobody uses any more.
func (c *connection) close() {
	c.Close()
	c.freeReader()
}

// checkIdle looks at an idle connection without taking bytes from it. A
// connection that was closed, or that has bytes which nobody asked for, must
// not carry another request.
func (c *connection) checkIdle() error {
	raw, err := c.Conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return err
	}
	var peeked error
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, peeked = syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return true
	})
	if err != nil {
		return err
	}
	if peeked != syscall.EAGAIN {
		return errStale
	}
	return nil
}
