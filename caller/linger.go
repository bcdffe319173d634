package caller

import (
	"net"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// lingerTimeout bounds the wait for a caller that is still sending when its
	// connection is closed, and deliveryTimeout that for one that has not received all
	// that was written. lingerBytes bounds what is read and dropped meanwhile.
	lingerTimeout   = time.Second
	deliveryTimeout = time.Minute
	lingerBytes     = 4 << 20
	// deliveryCheckInterval is the time between two checks of what the caller has
	// received. A caller that closes the connection ends the wait at once.
	deliveryCheckInterval = 50 * time.Millisecond
)

// linger closes the connection for writing and waits until the caller has received
// everything or has closed the connection too. If sending is set, a caller that does not
// close it is waited for in any case: it may read only once it has sent its request.
func (c *conn) linger(tcp *net.TCPConn, sending bool) {
	if !sending && undelivered(tcp) == 0 {
		return
	}
	tcp.CloseWrite()
	c.awaitDelivery(tcp, 0, sending)
}

// awaitDelivery waits until the caller has received all but the last bytes that were
// written, and drops what it still sends. A socket that is closed is reset by the next
// bytes that arrive, and the caller loses what it has not received. Meanwhile the
// connection counts as a response that is not read, so that it is closed first in a
// shortage.
func (c *conn) awaitDelivery(tcp *net.TCPConn, last int, sending bool) {
	if c.gate != nil {
		c.usage.beginLinger(c.gate.loop.Now())
		defer c.usage.endWrite()
	}
	begun := time.Now()
	buffer := make([]byte, readAheadPart)
	for dropped := 0; dropped < lingerBytes; {
		if tcp.SetReadDeadline(time.Now().Add(deliveryCheckInterval)) != nil {
			return
		}
		n, err := c.Read(buffer)
		dropped += n
		if err != nil && !isTimeout(err) {
			return
		}
		waited := time.Since(begun)
		if waited >= deliveryTimeout || (!sending || waited >= lingerTimeout) && undelivered(tcp) <= last {
			return
		}
	}
}

// undelivered returns how much of what was written the caller's host has not
// acknowledged, with the end of the connection once it is closed for writing. It returns
// 0 for a socket that is closed.
func undelivered(tcp *net.TCPConn) int {
	raw, err := tcp.SyscallConn()
	if err != nil {
		return 0
	}
	bytes := 0
	raw.Control(func(fd uintptr) {
		if n, err := unix.IoctlGetInt(int(fd), unix.SIOCOUTQ); err == nil {
			bytes = n
		}
	})
	return bytes
}
