package caller

import (
	"io"
	"net"
	"sync"
	"time"
)

const (
	// readAheadBytes bounds what is read while a request is under way.
	readAheadBytes = 2 << 10
	// lingerTime and lingerBytes bound the wait for a caller that is still
	// sending when its connection is closed.
	lingerTime  = time.Second
	lingerBytes = 4 << 20
	// writeStall ends a connection whose caller takes no byte for that long.
	writeStall = 10 * time.Minute
)

// listener wraps the connections that it accepts.
type listener struct {
	net.Listener
	// limits returns the times that callers may take now.
	limits func() readLimits
}

// readLimits bounds the waits for bytes of a caller.
type readLimits struct {
	// idle is the time for which a connection may stay idle, head that for the
	// head of a request from its first byte on.
	idle, head time.Duration
}

func (l listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	wrapped := newConn(c)
	wrapped.limits = l.limits
	return wrapped, nil
}

// conn notices when the caller hangs up while its request is under way: one
// read is outstanding then, and what it brings is kept for the reads that
// follow. There is never more than one reader of the socket.
type conn struct {
	net.Conn
	remoteIP string

	mu   sync.Mutex
	read sync.Cond
	// kept holds the bytes that were read ahead.
	kept    []byte
	buffer  [readAheadBytes]byte
	err     error
	reading bool
	// waiting counts the reads that wait for the outstanding one.
	waiting int
	gone    func()

	linger bool
	abort  bool
	// limits is nil for a connection without any.
	limits func() readLimits
	// begun is set once the first byte of the first request was read.
	begun bool
}

func newConn(c net.Conn) *conn {
	wrapped := &conn{Conn: c}
	wrapped.read.L = &wrapped.mu
	if host, _, err := net.SplitHostPort(c.RemoteAddr().String()); err == nil {
		wrapped.remoteIP = host
	}
	return wrapped
}

// Read returns bytes that were read ahead before it reads the socket.
func (c *conn) Read(p []byte) (int, error) {
	c.mu.Lock()
	c.waiting++
	for c.reading && len(c.kept) == 0 && c.err == nil {
		c.read.Wait()
	}
	c.waiting--
	if len(c.kept) > 0 {
		n := copy(p, c.kept)
		c.kept = c.kept[n:]
		c.mu.Unlock()
		return n, nil
	}
	if err := c.err; err != nil {
		c.err = nil
		c.mu.Unlock()
		return 0, err
	}
	c.mu.Unlock()
	n, err := c.Conn.Read(p)
	if n > 0 && !c.begun {
		c.begun = true
		if c.limits != nil {
			c.Conn.SetReadDeadline(time.Now().Add(c.limits().head))
		}
	}
	return n, err
}

// SetReadDeadline sets the deadline that fasthttp asks for, cut to the limits of
// the configuration in force. A new connection is idle until its first byte, and
// fasthttp sets no other deadline then.
func (c *conn) SetReadDeadline(t time.Time) error {
	if c.limits == nil || t.IsZero() {
		return c.Conn.SetReadDeadline(t)
	}
	limits, wait := c.limits(), time.Until(t)
	switch {
	case !c.begun || wait > bodyTimeout:
		wait = min(wait, limits.idle)
	case wait <= headTimeout:
		wait = min(wait, limits.head)
	}
	return c.Conn.SetReadDeadline(time.Now().Add(wait))
}

// Write gives the caller time to take the bytes.
func (c *conn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(writeStall)); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

// watch calls gone when the caller hangs up. It lasts until unwatch, and ends
// earlier once bytes of the next request fill the buffer.
func (c *conn) watch(gone func()) {
	// The deadline of the request head must not end the watch.
	c.Conn.SetReadDeadline(time.Time{})
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err != nil && !isTimeout(c.err) {
		go gone()
		return
	}
	c.err = nil
	c.gone = gone
	c.startReading()
}

// resume goes on watching after the request body was read.
func (c *conn) resume() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.gone != nil {
		c.startReading()
	}
}

func (c *conn) startReading() {
	if c.reading || c.err != nil || len(c.kept) > 0 {
		return
	}
	c.reading = true
	go c.readAhead()
}

func (c *conn) unwatch() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.gone = nil
}

// readAhead is the outstanding read. It goes on while nobody else reads.
func (c *conn) readAhead() {
	var filled int
	for {
		n, err := c.Conn.Read(c.buffer[filled:])
		filled += n
		gone, more := c.keep(filled, n, err)
		if gone != nil {
			gone()
		}
		if !more {
			return
		}
	}
}

// keep stores the result of the outstanding read, and reports whether to read
// on and whom to tell that the caller hung up.
func (c *conn) keep(filled, n int, err error) (gone func(), more bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	defer c.read.Broadcast()
	c.kept = c.buffer[filled-n-len(c.kept) : filled]
	if err != nil {
		c.err = err
		c.reading = false
		if !isTimeout(err) {
			gone = c.gone
		}
		c.gone = nil
		return gone, false
	}
	c.reading = c.gone != nil && c.waiting == 0 && filled < len(c.buffer)
	return nil, c.reading
}

// stopReading ends a pending read of the request body. The connection cannot
// carry another request afterwards.
func (c *conn) stopReading() {
	c.Conn.SetReadDeadline(time.Unix(1, 0))
}

// breakOff makes Close reset the connection, so that an answer that ends with
// the connection does not look complete.
func (c *conn) breakOff() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.abort = true
}

// lingerOnClose makes Close wait for a caller that is still sending its
// request: closing a socket with unread bytes resets it, and the caller would
// lose the answer.
func (c *conn) lingerOnClose() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.linger = true
}

// Close closes the connection.
func (c *conn) Close() error {
	c.mu.Lock()
	linger, abort := c.linger, c.abort
	c.linger = false
	c.mu.Unlock()
	tcp, ok := c.Conn.(*net.TCPConn)
	switch {
	case ok && abort:
		tcp.SetLinger(0)
	case ok && linger:
		c.drain(tcp)
	}
	return c.Conn.Close()
}

func (c *conn) drain(tcp *net.TCPConn) {
	if tcp.CloseWrite() != nil || tcp.SetReadDeadline(time.Now().Add(lingerTime)) != nil {
		return
	}
	io.CopyN(io.Discard, struct{ io.Reader }{c}, lingerBytes)
}

func isTimeout(err error) bool {
	timeout, ok := err.(net.Error)
	return ok && timeout.Timeout()
}
