package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
)

// upstream is a stand-in of a backend server. It runs one request at a time on a
// connection.
type upstream struct {
	names    *names
	id       string
	slots    int
	listener net.Listener
	// serve runs one request and writes its answer. It returns false to close the
	// connection.
	serve func(u *upstream, c net.Conn, r *http.Request, body []byte) bool
	// silent, if set, blocks while the server is silent. It reports whether the server has
	// crashed meanwhile.
	silent  func() bool
	running atomic.Int64
}

func newUpstream(n *names, id string, slots int, serve func(u *upstream, c net.Conn, r *http.Request, body []byte) bool) (*upstream, error) {
	u := &upstream{names: n, id: id, slots: slots, serve: serve}
	var err error
	if u.listener, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		return nil, err
	}
	go u.accept()
	return u, nil
}

func (u *upstream) address() string { return u.listener.Addr().String() }

func (u *upstream) accept() {
	for {
		c, err := u.listener.Accept()
		if err != nil {
			return
		}
		go u.serveConn(c)
	}
}

func (u *upstream) serveConn(c net.Conn) {
	defer c.Close()
	reader := bufio.NewReader(c)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if u.silent != nil && u.silent() {
			c.(*net.TCPConn).SetLinger(0)
			return
		}
		if request.URL.Path == u.names.HealthPath {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\nContent-Length: 2\r\n\r\nok", u.names.RespondingInstance, u.id, u.names.Load, u.load())
			continue
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		if wanted := request.Header.Get(u.names.Instance); wanted != "" && wanted != u.id {
			u.answer(c, request, 421, "not this one")
			continue
		}
		u.running.Add(1)
		keep := u.serve(u, c, request, body)
		u.running.Add(-1)
		if !keep {
			return
		}
	}
}

func (u *upstream) load() string { return fmt.Sprintf("%d,0,%d,100", u.running.Load(), u.slots) }

// head returns the head of an answer, without the empty line that ends it.
func (u *upstream) head(r *http.Request, status int) string {
	return fmt.Sprintf("HTTP/1.1 %d %s\r\n%s: %s\r\n%s: sig-%s\r\n%s: %s\r\n", status, http.StatusText(status),
		u.names.RequestID, r.Header.Get(u.names.RequestID), u.names.Signature, r.Header.Get(u.names.RequestID), u.names.Load, u.load())
}

func (u *upstream) answer(c net.Conn, r *http.Request, status int, body string) bool {
	_, err := io.WriteString(c, u.head(r, status)+fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body))
	return err == nil
}
