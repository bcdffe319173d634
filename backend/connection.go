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

// readBufferBytes is the size of a read buffer. It also bounds the header
// section of a response.
const readBufferBytes = 32 << 10

const (
	// maxKeepAlive is the idle limit for servers that do not announce a
	// keep-alive timeout. It also bounds the timeout that a server may
	// announce.
	maxKeepAlive        = 24 * time.Hour
	maxKeepAliveSeconds = int(maxKeepAlive / time.Second)
	// keepAliveMargin is subtracted from the announced keep-alive timeout to
	// cover the transit time of the request. Servers announce whole seconds.
	keepAliveMargin = 500 * time.Millisecond
)

// pastDeadline is a deadline that ends pending reads and writes at once.
var pastDeadline = time.Unix(1, 0)

// readerPool holds the read buffers that no connection uses. An idle connection
// holds no buffer: every order opens a connection, thousands may be idle, and
// the buffer is the largest part of a connection's memory.
var readerPool = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, readBufferBytes) }}

// connection is one connection to a backend server.
type connection struct {
	net.Conn
	reader      *bufio.Reader
	addressPool *addressPool
	// generation is the generation of the address pool when the connection was
	// opened.
	generation uint64
	idleSince  time.Time
	// idleLimit is how long the connection may be idle according to the server.
	idleLimit time.Duration
}

func dial(ctx context.Context, dialer *net.Dialer, a *addressPool, generation uint64) (*connection, error) {
	conn, err := dialer.DialContext(ctx, "tcp", a.address)
	if err != nil {
		return nil, &DialError{Address: a.address, Err: err}
	}
	c := &connection{Conn: conn, addressPool: a, generation: generation, idleLimit: maxKeepAlive}
	c.acquireReader()
	return c, nil
}

// acquireReader gives the connection a buffer for as long as it is in use.
func (c *connection) acquireReader() {
	c.reader = readerPool.Get().(*bufio.Reader)
	c.reader.Reset(c.Conn)
}

// releaseReader returns the buffer of an idle or closed connection to the pool.
// The buffer must be empty unless the connection is not used again.
func (c *connection) releaseReader() {
	if c.reader == nil {
		return
	}
	c.reader.Reset(nil)
	readerPool.Put(c.reader)
	c.reader = nil
}

// applyKeepAlive adopts the timeout of the Keep-Alive response header.
func (c *connection) applyKeepAlive(h *fasthttp.ResponseHeader) {
	for parameter := range bytes.SplitSeq(h.Peek("Keep-Alive"), []byte{','}) {
		name, value, _ := bytes.Cut(bytes.TrimSpace(parameter), []byte{'='})
		if seconds, ok := parseNumber(value, maxKeepAliveSeconds); ok && bytes.EqualFold(name, []byte("timeout")) {
			c.idleLimit = time.Duration(seconds)*time.Second - keepAliveMargin
		}
	}
}

// isReusable reports whether the connection was idle for less than both maxIdle
// and the limit set by the server.
func (c *connection) isReusable(now time.Time, maxIdle time.Duration) bool {
	return now.Sub(c.idleSince) < min(maxIdle, c.idleLimit)
}

// close closes a connection that is no longer in use.
func (c *connection) close() {
	c.Close()
	c.releaseReader()
}

// checkIdle peeks at an idle connection without consuming bytes. A connection
// that was closed or that holds unsolicited bytes must not carry another
// request.
func (c *connection) checkIdle() error {
	raw, err := c.Conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return err
	}
	var peekError error
	err = raw.Read(func(fd uintptr) bool {
		var buffer [1]byte
		_, _, peekError = syscall.Recvfrom(int(fd), buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return true
	})
	if err != nil {
		return err
	}
	if peekError != syscall.EAGAIN {
		return errStale
	}
	return nil
}
