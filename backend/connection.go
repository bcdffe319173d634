package backend

import (
	"bufio"
	"context"
	"net"
	"syscall"
	"time"
)

// readBufferBytes also bounds the head of an answer.
const readBufferBytes = 32 << 10

// past is a deadline that ends a pending read or write at once.
var past = time.Unix(1, 0)

// connection is one connection to a backend server.
type connection struct {
	net.Conn
	reader *bufio.Reader
	home   *address
	// generation is that of the address when the connection was opened.
	generation uint64
	idleSince  time.Time
}

func dial(ctx context.Context, network *net.Dialer, a *address, generation uint64) (*connection, error) {
	conn, err := network.DialContext(ctx, "tcp", a.name)
	if err != nil {
		return nil, &DialError{Address: a.name, Err: err}
	}
	return &connection{
		Conn:       conn,
		reader:     bufio.NewReaderSize(conn, readBufferBytes),
		home:       a,
		generation: generation,
	}, nil
}

// checkIdle looks at an idle connection without taking bytes from it. A
// connection that was closed, or that has bytes which nobody asked for, must
// not carry another request.
func (c *connection) checkIdle() error {
	if c.reader.Buffered() > 0 {
		return errStale
	}
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
