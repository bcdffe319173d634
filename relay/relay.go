// Package relay carries questions for news of the store between entry hosts, as
// CBOR over HTTP. It serves deployments whose hosts have no keys; what it
// carries is published in the store for everyone.
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
)

const (
	path = "/news"
	// answerSlack is the time beyond the wait of a question in which its answer
	// must be in.
	answerSlack = 400 * time.Millisecond
	dialTimeout = 300 * time.Millisecond
	// maxBytes bounds a message. One with 37,000 servers takes 5 MB.
	maxBytes    = 8 << 20
	idleTimeout = 10 * time.Second
	// maxConns holds a connection of every entry host of a large deployment.
	maxConns = 4096
)

// Error is a question that got no answer.
type Error struct {
	Address string
	Err     error
}

func (e *Error) Error() string { return fmt.Sprintf("ask entry host %s: %v", e.Address, e.Err) }

func (e *Error) Unwrap() error { return e.Err }

var (
	askCodec    = codec.For(reflect.TypeFor[core.NewsAsk]())
	answerCodec = codec.For(reflect.TypeFor[core.NewsAnswer]())
	errStatus   = errors.New("unexpected status")
)

// Client asks other entry hosts.
type Client struct {
	http fasthttp.Client
}

// NewClient returns a client that repeats no question by itself.
func NewClient() *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &Client{http: fasthttp.Client{
		Dial:                      func(address string) (net.Conn, error) { return dialer.Dial("tcp", address) },
		MaxIdemponentCallAttempts: 1,
		MaxIdleConnDuration:       idleTimeout,
		MaxResponseBodySize:       maxBytes,
		NoDefaultUserAgentHeader:  true,
	}}
}

// Poll sends a question and waits for its answer.
func (c *Client) Poll(address string, ask core.NewsAsk) (core.NewsAnswer, error) {
	var answer core.NewsAnswer
	raw, err := askCodec.Encode(reflect.ValueOf(ask))
	if err != nil {
		return answer, &Error{Address: address, Err: err}
	}
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod(fasthttp.MethodPost)
	request.SetRequestURI("http://" + address + path)
	request.SetBodyRaw(raw)
	if err := c.http.DoTimeout(request, response, ask.Wait+answerSlack); err != nil {
		return answer, &Error{Address: address, Err: err}
	}
	if response.StatusCode() != fasthttp.StatusOK {
		return answer, &Error{Address: address, Err: fmt.Errorf("%w %d", errStatus, response.StatusCode())}
	}
	if err := answerCodec.Decode(response.Body(), reflect.ValueOf(&answer).Elem()); err != nil {
		return core.NewsAnswer{}, &Error{Address: address, Err: err}
	}
	return answer, nil
}

// Server answers other entry hosts.
type Server struct {
	http   *fasthttp.Server
	answer func(ctx context.Context, ask core.NewsAsk) (core.NewsAnswer, error)
}

// NewServer returns a server that hands questions to answer, which may wait.
func NewServer(answer func(ctx context.Context, ask core.NewsAsk) (core.NewsAnswer, error)) *Server {
	s := &Server{answer: answer}
	s.http = &fasthttp.Server{
		Handler:               s.handle,
		MaxRequestBodySize:    maxBytes,
		IdleTimeout:           2 * idleTimeout,
		Concurrency:           maxConns,
		NoDefaultServerHeader: true,
	}
	return s
}

// Serve accepts connections until Close.
func (s *Server) Serve(listener net.Listener) error { return s.http.Serve(listener) }

// Close closes the listener and idle connections.
func (s *Server) Close() error { return s.http.Shutdown() }

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	if string(ctx.Path()) != path {
		ctx.Error("not found", fasthttp.StatusNotFound)
		return
	}
	var ask core.NewsAsk
	if err := askCodec.Decode(ctx.PostBody(), reflect.ValueOf(&ask).Elem()); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	limit, cancel := context.WithTimeout(context.Background(), max(0, ask.Wait)+answerSlack)
	defer cancel()
	answer, err := s.answer(limit, ask)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusServiceUnavailable)
		return
	}
	raw, err := answerCodec.Encode(reflect.ValueOf(answer))
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.Response.SetBodyRaw(raw)
}
