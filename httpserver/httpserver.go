// Package httpserver runs an HTTP server of fasthttp that can be shut down at any
// moment.
package httpserver

import (
	"context"
	"errors"
	"net"
	"sync"

	"github.com/valyala/fasthttp"
)

// Server is a server with one listener. fasthttp itself ignores a shutdown before
// Serve and then accepts connections for good; a Server does not.
type Server struct {
	http *fasthttp.Server
	// mu guards the fields below.
	mu       sync.Mutex
	listener net.Listener
	closed   bool
}

// New returns a server that serves as h does.
func New(h *fasthttp.Server) *Server { return &Server{http: h} }

// Serve accepts connections until Shutdown, after which it returns nil. After an
// earlier Shutdown it closes the listener and returns at once.
func (s *Server) Serve(l net.Listener) error {
	if !s.open(l) {
		return ignoreClosed(l.Close())
	}
	return ignoreClosed(s.http.Serve(l))
}

// open records the listener and reports whether it may be served.
func (s *Server) open(l net.Listener) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listener = l
	return !s.closed
}

// CloseListener closes the listener and ends Serve. Connections stay open and are served
// as before.
func (s *Server) CloseListener() {
	s.mu.Lock()
	s.closed = true
	listener := s.listener
	s.mu.Unlock()
	if listener != nil {
		listener.Close()
	}
}

// Shutdown closes the listener and idle connections, and waits until every request
// has been answered or ctx is done. The listener is closed first: if Serve has not yet
// passed it to fasthttp, its first Accept fails.
func (s *Server) Shutdown(ctx context.Context) error {
	s.CloseListener()
	return ignoreClosed(s.http.ShutdownWithContext(ctx))
}

// ignoreClosed removes the error of a listener that is closed already.
func ignoreClosed(err error) error {
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}
