package caller

import (
	"net"
	"sync"
	"time"

	"wisteriapond/intake"
)

const (
	// readAheadBytes bounds the bytes that are read ahead while a request is in
	// progress, and readAheadPart those of one read.
	readAheadBytes = intake.AheadBytes / 8
	readAheadPart  = 2 << 10
	// writeStallTimeout bounds a single write to a caller that does not read.
	writeStallTimeout = 10 * time.Minute
)

// readTimeouts bounds the waits for bytes from a caller.
type readTimeouts struct {
	// idle is how long a connection may stay idle. header bounds the time from
	// the first byte of a request to the end of its header section.
	idle, header time.Duration
}

// conn detects that the caller disconnects while its request is in progress.
// For this purpose one read stays pending, and its bytes are buffered for the
// following reads. There is never more than one reader of the socket.
type conn struct {
	net.Conn
	remoteIP string

	mu            sync.Mutex
	readAheadDone sync.Cond
	// unread holds the bytes that were read ahead.
	unread       []byte
	buffer       [readAheadPart]byte
	err          error
	readingAhead bool
	// waitingReads is the number of reads that wait for the pending read-ahead.
	waitingReads int
	onDisconnect func()

	// sending and reset tell Close that the caller may still be sending a request, and
	// that the connection is to be reset.
	sending bool
	reset   bool
	// timeouts is nil for a connection without timeouts.
	timeouts func() readTimeouts
	// receivedFirst is set once the first byte of the first request was read.
	receivedFirst bool
	// responseBytes is what was written of the response to the current request.
	responseBytes int

	// gate counts the connection, nil for one that is not counted; id is its number
	// there.
	gate  *gate
	id    uint64
	usage usage
	// headBytes returns the bytes that a request may have before its body, nil for no
	// bound. head is guarded by mu.
	headBytes func() int
	head      headState
	// readBufferBytes is the size of the read buffer, 0 if it is not known.
	readBufferBytes int

	// startAheadOf starts a request before its turn, nil if none is. pipelined bounds
	// the requests in progress. The following fields are guarded by mu.
	startAheadOf func(c *conn, raw []byte) *aheadCall
	pipelined    int
	// scanner follows the head that fasthttp reads, and bodyLeft is what it has not read
	// of the body.
	scanner  headScanner
	bodyLeft int64
	// ahead are the requests that were started before their turn, in their order. Their
	// heads are the first aheadBytes of unread. aheadRead is the one whose head fasthttp
	// has read.
	ahead      []*aheadCall
	aheadBytes int
	aheadRead  *aheadCall
	// aheadAllowed is set while requests may be started behind the current one, and
	// aheadEnded once none may be started any more.
	aheadAllowed, aheadEnded bool
}

// headState counts the bytes of the head that is being read, and of the empty lines
// before it.
type headState struct {
	// awaited is set while the next byte begins a head, and reading while further bytes
	// belong to one, of which left more may come.
	awaited, reading bool
	left             int
}

// headTooLargeError reports a request whose head, with the empty lines before it, is
// larger than the limit in force.
type headTooLargeError struct{}

func (*headTooLargeError) Error() string { return "the head of the request is too large" }

func newConn(c net.Conn) *conn {
	wrapped := &conn{Conn: c, head: headState{awaited: true}}
	wrapped.readAheadDone.L = &wrapped.mu
	if host, _, err := net.SplitHostPort(c.RemoteAddr().String()); err == nil {
		wrapped.remoteIP = host
	}
	return wrapped
}

// Read returns bytes that were read ahead before it reads from the socket.
func (c *conn) Read(p []byte) (int, error) {
	c.mu.Lock()
	c.waitingReads++
	for c.readingAhead && len(c.unread) == 0 && c.err == nil {
		c.readAheadDone.Wait()
	}
	c.waitingReads--
	p, headErr := c.boundHead(p)
	if headErr != nil {
		c.mu.Unlock()
		return 0, headErr
	}
	if len(c.unread) > 0 {
		n := copy(p, c.unread[:c.split(c.unread[:min(len(p), len(c.unread))])])
		if c.unread = c.unread[n:]; len(c.unread) == 0 {
			c.unread = nil
		}
		c.aheadBytes = max(0, c.aheadBytes-n)
		c.noteHead(n)
		c.mu.Unlock()
		return n, nil
	}
	if err := c.err; err != nil {
		c.err = nil
		c.mu.Unlock()
		return 0, err
	}
	p = c.boundRead(p)
	c.mu.Unlock()
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	c.mu.Lock()
	if own := c.split(p[:n]); own < n {
		c.unread = append(c.unread, p[own:n]...)
		n = own
	}
	c.noteHead(n)
	c.mu.Unlock()
	if !c.receivedFirst {
		c.receivedFirst = true
		if c.timeouts != nil {
			c.Conn.SetReadDeadline(time.Now().Add(c.timeouts().header))
		}
	}
	return n, err
}

// SetReadDeadline sets the deadline requested by fasthttp, shortened to the
// timeouts of the configuration in force. A new connection counts as idle until
// its first byte, for which fasthttp sets no separate deadline.
func (c *conn) SetReadDeadline(t time.Time) error {
	if c.timeouts == nil || t.IsZero() {
		return c.Conn.SetReadDeadline(t)
	}
	timeouts, wait := c.timeouts(), time.Until(t)
	switch {
	case !c.receivedFirst:
		wait = min(wait, timeouts.idle)
	case wait > bodyTimeout:
		wait = min(wait, timeouts.idle)
		c.becomeIdle()
	case wait <= headerTimeout:
		wait = min(wait, timeouts.header)
	}
	return c.Conn.SetReadDeadline(time.Now().Add(wait))
}

// Write sets a deadline for each write, so that a caller that does not read
// cannot occupy the connection forever.
func (c *conn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(writeStallTimeout)); err != nil {
		return 0, err
	}
	if c.gate != nil {
		c.usage.beginWrite(c.gate.loop.Now())
		defer c.usage.endWrite()
	}
	n, err := c.Conn.Write(p)
	c.responseBytes += n
	return n, err
}

// setBuffers bounds the bytes that the sockets hold for the connection. A socket that
// keeps its own size still works, so errors are ignored.
func (c *conn) setBuffers(b *intake.Bounds) {
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok || b.ReceiveBuffer == 0 {
		return
	}
	tcp.SetReadBuffer(b.ReceiveBuffer)
	tcp.SetWriteBuffer(b.AnswerBuffer)
}

// setWriteBuffer bounds the bytes that wait for a caller that does not read.
func (c *conn) setWriteBuffer(size int) {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		tcp.SetWriteBuffer(size)
	}
}

// becomeIdle ends the current request. The next byte begins a head.
func (c *conn) becomeIdle() {
	c.mu.Lock()
	c.head = headState{awaited: true}
	c.aheadAllowed = false
	c.mu.Unlock()
	if c.gate != nil {
		c.usage.enterIdle(c.gate.loop.Now())
	}
}

// boundHead shortens a read so that a head stays within its limit, and fails when the
// head has reached it. c.mu must be held.
func (c *conn) boundHead(p []byte) ([]byte, error) {
	if c.headBytes == nil || !c.head.awaited && !c.head.reading {
		return p, nil
	}
	if c.head.awaited {
		c.head.left = c.headBytes()
	}
	if c.head.left <= 0 {
		return nil, &headTooLargeError{}
	}
	return p[:min(len(p), c.head.left)], nil
}

// noteHead counts bytes that were read as those of a head, unless a request is in
// progress. c.mu must be held.
func (c *conn) noteHead(n int) {
	if c.head.awaited && c.gate != nil {
		c.usage.enter(intake.PhaseHead, c.gate.loop.Now())
	}
	if c.head.awaited || c.head.reading {
		c.head = headState{reading: true, left: c.head.left - n}
	}
}

// endHead ends the count of a head.
func (c *conn) endHead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.head = headState{}
}

// beginRequest ends the head of a request. It reports false if the connection was cut,
// and the request must not run.
func (c *conn) beginRequest() bool {
	c.endHead()
	c.responseBytes = 0
	return c.gate == nil || c.usage.enter(intake.PhaseRequest, c.gate.loop.Now())
}

// closeNow closes the socket without waiting for anything. The goroutine that serves
// the connection notices.
func (c *conn) closeNow(reset bool) {
	if tcp, ok := c.Conn.(*net.TCPConn); ok && reset {
		tcp.SetLinger(0)
	}
	c.Conn.Close()
}

// closeWrite ends what is written to the caller. Nothing more can be written; the
// goroutine that serves the connection still has to close it.
func (c *conn) closeWrite() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		tcp.CloseWrite()
	}
}

// watchDisconnect calls onDisconnect when the caller disconnects. It ends with
// stopWatching, or earlier if bytes of the next request fill the buffer.
func (c *conn) watchDisconnect(onDisconnect func()) {
	// The deadline for the request header must not end the read-ahead.
	c.Conn.SetReadDeadline(time.Time{})
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err != nil && !isTimeout(c.err) {
		go func() {
			onDisconnect()
			c.dropAhead()
		}()
		return
	}
	c.err = nil
	c.onDisconnect = onDisconnect
	c.startAhead()
	c.startReadAhead()
}

// resumeWatching resumes the detection of a disconnect after the request body
// was read.
func (c *conn) resumeWatching() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.onDisconnect != nil {
		c.startReadAhead()
	}
}

func (c *conn) startReadAhead() {
	if c.readingAhead || c.err != nil || len(c.unread) >= readAheadBytes {
		return
	}
	c.readingAhead = true
	go c.readAhead()
}

func (c *conn) stopWatching() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.onDisconnect = nil
}

// readAhead performs the pending read. It continues until another reader needs
// the socket, the buffer is full, or the detection of a disconnect is stopped.
func (c *conn) readAhead() {
	for {
		n, err := c.Conn.Read(c.buffer[:])
		onDisconnect, more := c.storeReadAhead(c.buffer[:n], err)
		if onDisconnect != nil {
			onDisconnect()
			c.dropAhead()
		}
		if !more {
			return
		}
	}
}

// storeReadAhead stores the result of the pending read. It reports whether to
// continue reading, and returns the callback to run if the caller disconnected.
func (c *conn) storeReadAhead(read []byte, err error) (onDisconnect func(), more bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	defer c.readAheadDone.Broadcast()
	c.unread = append(c.unread, read...)
	if err != nil {
		c.err = err
		c.readingAhead = false
		if !isTimeout(err) {
			onDisconnect = c.onDisconnect
		}
		c.onDisconnect = nil
		return onDisconnect, false
	}
	full := len(c.unread) >= readAheadBytes
	if full {
		c.usage.setSendsAhead()
	}
	c.startAhead()
	c.readingAhead = c.onDisconnect != nil && c.waitingReads == 0 && !full
	return nil, c.readingAhead
}

// interruptRead ends a pending read of the request body. The connection cannot
// carry another request afterwards.
func (c *conn) interruptRead() {
	c.Conn.SetReadDeadline(time.Unix(1, 0))
}

// resetOnClose makes Close reset the connection, so that a response that ends
// with the connection does not appear complete.
func (c *conn) resetOnClose() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reset = true
}

// lingerOnClose makes Close wait for a caller that is still sending its
// request.
func (c *conn) lingerOnClose() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sending = true
}

// Close closes the connection. It blocks until the caller has received what was
// written, and for a caller that is still sending, within the bounds of awaitDelivery.
// After resetOnClose it resets the connection once the caller has received the
// responses before the last one.
func (c *conn) Close() error {
	c.mu.Lock()
	sending, reset := c.sending, c.reset
	c.mu.Unlock()
	c.dropAhead()
	c.endHead()
	if c.gate != nil {
		c.usage.endRequest()
		defer c.gate.remove(c)
	}
	tcp, ok := c.Conn.(*net.TCPConn)
	switch {
	case ok && reset:
		if undelivered(tcp) > c.responseBytes {
			c.awaitDelivery(tcp, c.responseBytes, sending)
		}
		tcp.SetLinger(0)
	case ok:
		c.linger(tcp, sending)
	}
	return c.Conn.Close()
}

func isTimeout(err error) bool {
	netErr, ok := err.(net.Error)
	return ok && netErr.Timeout()
}
