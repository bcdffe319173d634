// Package listen accepts connections through a shortage of descriptors or memory.
package listen

import (
	"context"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"
)

// retryInterval is the wait before the next attempt to accept. Each attempt during a
// shortage costs a system call, and connections wait in the queue of the listener.
const retryInterval = 50 * time.Millisecond

// Listener is a listener that outlasts shortages.
type Listener struct {
	net.Listener
	report func(error)
	closed chan struct{}
	once   sync.Once
}

// Open listens on a TCP address. The connections that it accepts have socket buffers of
// the given size for what they receive, from before they are accepted on; 0 leaves the
// size to the operating system.
func Open(address string, receiveBuffer int) (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		if receiveBuffer == 0 {
			return nil
		}
		// A socket that keeps its own size still works.
		return raw.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer)
		})
	}}
	return config.Listen(context.Background(), "tcp", address)
}

// Through returns a listener whose Accept waits and goes on when the process or the
// machine lacks what a connection needs. report is called for each failed attempt; it
// must not block for long.
func Through(l net.Listener, report func(error)) *Listener {
	return &Listener{Listener: l, report: report, closed: make(chan struct{})}
}

// Accept returns the next connection. It fails only if the listener is closed or
// broken.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err == nil || !passes(err) {
			return c, err
		}
		l.report(err)
		if !l.wait() {
			return nil, net.ErrClosed
		}
	}
}

// wait reports false if the listener was closed.
func (l *Listener) wait() bool {
	timer := time.NewTimer(retryInterval)
	defer timer.Stop()
	select {
	case <-l.closed:
		return false
	case <-timer.C:
		return true
	}
}

// Close closes the listener and ends a wait.
func (l *Listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// passes reports whether an error of accept ends by itself: a shortage, or a
// connection that its caller has given up.
func passes(err error) bool {
	for _, passing := range []syscall.Errno{
		syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED,
	} {
		if errors.Is(err, passing) {
			return true
		}
	}
	return false
}
