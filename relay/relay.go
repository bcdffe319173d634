// Package relay lets entry hosts poll each other for store updates, encoded as
// CBOR over HTTP. It is used in deployments whose hosts have no keys. It carries no
// confidential data: everyone can read the same data in the store.
package relay

import (
	"context"
	"errors"
	"fmt"
	"net"
	"reflect"
	"time"

	"github.com/valyala/fasthttp"

	"wisteriapond/codec"
	"wisteriapond/core"
	"wisteriapond/httphead"
	"wisteriapond/httpserver"
	"wisteriapond/recovery"
)

const (
	path = "/news"
	// responseMargin is added to the wait time of a poll to obtain its timeout, on
	// both sides.
	responseMargin = 400 * time.Millisecond
	dialTimeout    = 300 * time.Millisecond
	// maxMessageBytes bounds a poll and its response. A response with 37,000
	// servers takes 5 MB.
	maxMessageBytes = 8 << 20
	idleTimeout     = 10 * time.Second
	closeTimeout    = 250 * time.Millisecond
	// maxConns allows one connection from each entry host of a large deployment.
	maxConns = 4096
)

// Error reports a poll that failed or received no valid response.
type Error struct {
	Address string
	Err     error
}

func (e *Error) Error() string { return fmt.Sprintf("poll entry host %s: %v", e.Address, e.Err) }

func (e *Error) Unwrap() error { return e.Err }

var (
	pollCodec     = codec.For(reflect.TypeFor[core.NewsAsk]())
	responseCodec = codec.For(reflect.TypeFor[core.NewsAnswer]())
	errStatus     = errors.New("unexpected status")
)

// Client polls other entry hosts for store updates.
type Client struct {
	http fasthttp.Client
}

// NewClient returns a client. It does not retry failed polls.
func NewClient() *Client {
	dial := httphead.Checked((&net.Dialer{Timeout: dialTimeout}).DialContext)
	return &Client{http: fasthttp.Client{
		Dial:                      func(address string) (net.Conn, error) { return dial(context.Background(), "tcp", address) },
		MaxIdemponentCallAttempts: 1,
		MaxIdleConnDuration:       idleTimeout,
		MaxResponseBodySize:       maxMessageBytes,
		NoDefaultUserAgentHeader:  true,
	}}
}

// Poll sends a poll to the entry host at an address and waits for the response, at
// most for the wait time of the poll plus responseMargin. Errors are of type *Error.
func (c *Client) Poll(address string, poll core.NewsAsk) (response core.NewsAnswer, err error) {
	defer recovery.ToError(&err)
	raw, err := pollCodec.Encode(reflect.ValueOf(poll))
	if err != nil {
		return response, &Error{Address: address, Err: err}
	}
	httpRequest, httpResponse := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(httpRequest)
	defer fasthttp.ReleaseResponse(httpResponse)
	httpRequest.Header.SetMethod(fasthttp.MethodPost)
	httpRequest.SetRequestURI("http://" + address + path)
	httpRequest.SetBodyRaw(raw)
	if err := c.http.DoTimeout(httpRequest, httpResponse, poll.Wait+responseMargin); err != nil {
		return response, &Error{Address: address, Err: err}
	}
	if httpResponse.StatusCode() != fasthttp.StatusOK {
		return response, &Error{Address: address, Err: fmt.Errorf("%w %d", errStatus, httpResponse.StatusCode())}
	}
	if err := responseCodec.Decode(httpResponse.Body(), reflect.ValueOf(&response).Elem()); err != nil {
		return core.NewsAnswer{}, &Error{Address: address, Err: err}
	}
	return response, nil
}

// Server responds to polls of other entry hosts.
type Server struct {
	http    *httpserver.Server
	respond func(ctx context.Context, poll core.NewsAsk) (core.NewsAnswer, error)
	// closed is done once Close was called.
	closed context.Context
	cancel context.CancelFunc
}

// NewServer returns a server that responds to each poll with the result of respond.
// respond may block until its context is done, which is at Close at the latest.
func NewServer(respond func(ctx context.Context, poll core.NewsAsk) (core.NewsAnswer, error)) *Server {
	s := &Server{respond: respond}
	s.closed, s.cancel = context.WithCancel(context.Background())
	s.http = httpserver.New(&fasthttp.Server{
		Handler:               s.handle,
		MaxRequestBodySize:    maxMessageBytes,
		IdleTimeout:           2 * idleTimeout,
		Concurrency:           maxConns,
		NoDefaultServerHeader: true,
	})
	return s
}

// Serve accepts connections until Close, after which it returns nil. Close may come
// first.
func (s *Server) Serve(listener net.Listener) error { return s.http.Serve(listener) }

// Close closes the listener and idle connections, and ends the polls being served. It
// waits for their responses at most for closeTimeout: a poll may never arrive
// completely.
func (s *Server) Close() error {
	s.cancel()
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	return s.http.Shutdown(ctx)
}

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	if string(ctx.Path()) != path {
		ctx.Error("not found", fasthttp.StatusNotFound)
		return
	}
	poll, err := decodePoll(ctx.PostBody())
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	requestCtx, cancel := context.WithTimeout(s.closed, max(0, poll.Wait)+responseMargin)
	defer cancel()
	response, err := s.respond(requestCtx, poll)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusServiceUnavailable)
		return
	}
	raw, err := responseCodec.Encode(reflect.ValueOf(response))
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.Response.SetBodyRaw(raw)
}

func decodePoll(raw []byte) (poll core.NewsAsk, err error) {
	defer recovery.ToError(&err)
	err = pollCodec.Decode(raw, reflect.ValueOf(&poll).Elem())
	return poll, err
}
