package backend

import (
	"bufio"
	"context"
	"net"
	"sync"
	"time"
)

const (
	maxIdlePerAddress = 32
	idleTimeout       = 30 * time.Second
	ioBufferBytes     = 16 << 10
)

// connection is one connection to a backend server.
type connection struct {
	net.Conn
	reader  *bufio.Reader
	writer  *bufio.Writer
	idleAt  time.Time
	address string
}

// Pool keeps idle connections by address.
type Pool struct {
	mu   sync.Mutex
	idle map[string][]*connection
}

// NewPool returns an empty pool.
func NewPool() *Pool {
	return &Pool{idle: make(map[string][]*connection)}
}

// get returns an idle connection that passed the idle check, or a new one.
func (p *Pool) get(ctx context.Context, address string, fresh bool) (*connection, error) {
	for !fresh {
		c := p.takeIdle(address)
		if c == nil {
			break
		}
		if time.Since(c.idleAt) < idleTimeout && c.checkIdle() == nil {
			return c, nil
		}
		c.Close()
	}
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return &connection{
		Conn:    conn,
		reader:  bufio.NewReaderSize(conn, ioBufferBytes),
		writer:  bufio.NewWriterSize(conn, ioBufferBytes),
		address: address,
	}, nil
}

func (p *Pool) takeIdle(address string) *connection {
	p.mu.Lock()
	defer p.mu.Unlock()
	idle := p.idle[address]
	if len(idle) == 0 {
		return nil
	}
	c := idle[len(idle)-1]
	p.idle[address] = idle[:len(idle)-1]
	return c
}

// put keeps a connection whose exchange ended cleanly.
func (p *Pool) put(c *connection) {
	if c.reader.Buffered() > 0 {
		c.Close()
		return
	}
	c.idleAt = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[c.address]) >= maxIdlePerAddress {
		c.Close()
		return
	}
	p.idle[c.address] = append(p.idle[c.address], c)
}

// CloseIdle closes the idle connections to an address.
func (p *Pool) CloseIdle(address string) {
	p.mu.Lock()
	idle := p.idle[address]
	delete(p.idle, address)
	p.mu.Unlock()
	for _, c := range idle {
		c.Close()
	}
}

// checkIdle reads without waiting. An idle connection has nothing to read; an
// end of file or a stray byte means that it must not be used again.
func (c *connection) checkIdle() error {
	if err := c.SetReadDeadline(time.Unix(1, 0)); err != nil {
		return err
	}
	_, err := c.reader.Peek(1)
	if nerr, ok := err.(net.Error); !ok || !nerr.Timeout() {
		return errIdleUnknown
	}
	// bufio keeps the time-out as a sticky error until it is read.
	c.reader.Reset(c.Conn)
	return c.SetReadDeadline(time.Time{})
}
