package standin

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// RawServer is a backend server on loopback that passes each connection to a
// function. It simulates servers that write what no HTTP library would write:
// malformed or truncated responses, resets, and no response at all.
type RawServer struct {
	listener net.Listener
	handle   func(c *RawConn)
	accepted atomic.Int64
	// mu guards the fields below.
	mu             sync.Mutex
	headerSections []string
	requests       []string
}

// RawConn is a connection accepted by a RawServer.
type RawConn struct {
	net.Conn
	// Reader reads from the connection.
	Reader *bufio.Reader
	// Number is the ordinal of the connection among those that the server
	// accepted, starting at 1.
	Number int64
	server *RawServer
}

// StartRawServer starts a server that calls handle for each connection and
// closes the connection when handle returns.
func StartRawServer(handle func(c *RawConn)) (*RawServer, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen on 127.0.0.1: %w", err)
	}
	s := &RawServer{listener: l, handle: handle}
	go s.accept()
	return s, nil
}

// RespondToEach returns a handler that responds to every request of a connection
// with the same bytes.
func RespondToEach(raw string) func(c *RawConn) {
	return func(c *RawConn) {
		for c.ReadRequest() != nil {
			io.WriteString(c, raw)
		}
	}
}

// RespondOnce returns a handler that responds to the first request of a
// connection and then closes it.
func RespondOnce(raw string) func(c *RawConn) {
	return func(c *RawConn) {
		c.ReadRequest()
		io.WriteString(c, raw)
	}
}

// uploadTime is how long a request body is being sent before ResetDuringUpload resets
// the connection.
const uploadTime = 10 * time.Millisecond

// ResetDuringUpload returns a handler that responds as soon as it has read the header
// section of a request, and then resets the connection while the body is being sent.
func ResetDuringUpload(raw string) func(c *RawConn) {
	return func(c *RawConn) {
		c.ReadHeaderSection()
		io.WriteString(c, raw)
		time.Sleep(uploadTime)
		c.Conn.(*net.TCPConn).SetLinger(0)
	}
}

func (s *RawServer) accept() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		conn := &RawConn{Conn: c, Reader: bufio.NewReader(c), Number: s.accepted.Add(1), server: s}
		go func() {
			defer c.Close()
			s.handle(conn)
		}()
	}
}

// Close stops accepting connections. Open connections are closed when their
// handler returns.
func (s *RawServer) Close() error { return s.listener.Close() }

// Address returns the address of the server as host:port.
func (s *RawServer) Address() string { return s.listener.Addr().String() }

// Accepted returns the number of connections accepted.
func (s *RawServer) Accepted() int64 { return s.accepted.Load() }

// Requests returns the requests that were received completely, as "METHOD target
// body".
func (s *RawServer) Requests() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.requests)
}

// HeaderSections returns the request line and header of each request that was
// received completely, as received.
func (s *RawServer) HeaderSections() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.headerSections)
}

// ReadHeaderSection reads up to and including the next empty line.
func (c *RawConn) ReadHeaderSection() (string, error) {
	var section strings.Builder
	for {
		line, err := c.Reader.ReadString('\n')
		if err != nil {
			return "", fmt.Errorf("read a header section: %w", err)
		}
		section.WriteString(line)
		if line == "\r\n" {
			return section.String(), nil
		}
	}
}

// ReadRequest reads and records a request with its body. It returns nil if the
// request is incomplete or malformed. Bytes after the request stay in Reader.
func (c *RawConn) ReadRequest() *http.Request {
	section, err := c.ReadHeaderSection()
	if err != nil {
		return nil
	}
	request, err := http.ReadRequest(bufio.NewReader(strings.NewReader(section)))
	if err != nil {
		return nil
	}
	body, err := c.readBody(request)
	if err != nil {
		return nil
	}
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	c.server.headerSections = append(c.server.headerSections, section)
	c.server.requests = append(c.server.requests, fmt.Sprintf("%s %s %s", request.Method, request.RequestURI, body))
	return request
}

func (c *RawConn) readBody(request *http.Request) ([]byte, error) {
	if !slices.Contains(request.TransferEncoding, "chunked") {
		body := make([]byte, request.ContentLength)
		_, err := io.ReadFull(c.Reader, body)
		return body, err
	}
	body, err := io.ReadAll(httputil.NewChunkedReader(c.Reader))
	if err != nil {
		return nil, err
	}
	// The trailer section ends with an empty line, as a header section does.
	_, err = c.ReadHeaderSection()
	return body, err
}
