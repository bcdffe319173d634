package caller

import (
	"net"
	"sync"
)

// handoff is a listener for connections that were accepted elsewhere.
type handoff struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

func newHandoff() *handoff {
	return &handoff{conns: make(chan net.Conn), closed: make(chan struct{})}
}

// put passes a connection on, or closes it if the listener is closed.
func (h *handoff) put(c net.Conn) {
	select {
	case h.conns <- c:
	case <-h.closed:
		c.Close()
	}
}

// Accept returns the next connection.
func (h *handoff) Accept() (net.Conn, error) {
	select {
	case c := <-h.conns:
		return c, nil
	case <-h.closed:
		return nil, net.ErrClosed
	}
}

// Close ends the listener. It may be called repeatedly.
func (h *handoff) Close() error {
	h.once.Do(func() { close(h.closed) })
	return nil
}

// Addr returns no address: the listener has none of its own.
func (h *handoff) Addr() net.Addr { return &net.TCPAddr{} }
