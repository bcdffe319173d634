// Package configservice is a read-only client for the configuration service and
// the host list of the platform, over HTTP.
//
// The configuration service responds to GET /v1/values/KEY with the value and its
// ETag. With the parameter wait=DURATION and the header If-None-Match it holds the
// call until the value differs, or responds with 304 after that time. GET /v1/hosts
// returns the host list, or 304 if it has not changed and If-None-Match is set.
package configservice

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"wisteriapond/document"
	"wisteriapond/httphead"
)

const (
	// callTimeout bounds a call. A watch call may take WatchTimeout longer.
	callTimeout = 5 * time.Second
	// WatchTimeout is the time after which a watch call ends without a change, and
	// watchMargin the time beyond it in which the response must begin. A service that
	// falls silent swallows pending watches, and a change has to take effect within
	// seconds of its return.
	WatchTimeout = 3 * time.Second
	watchMargin  = 1500 * time.Millisecond
)

// ErrUnchanged is returned if the value or host list still has the given ETag.
var ErrUnchanged = errors.New("value is unchanged")

// Error reports a failed call to the platform. Status is the HTTP status of the
// response, or 0 if there was no usable response; Err is then the reason.
type Error struct {
	Key    string
	Status int
	Err    error
}

func (e *Error) Error() string {
	if e.Err != nil {
		return fmt.Sprintf("platform call for %s: %v", e.Key, e.Err)
	}
	return fmt.Sprintf("platform call for %s: status %d", e.Key, e.Status)
}

func (e *Error) Unwrap() error { return e.Err }

// Client reads from a platform.
type Client struct {
	base string
	http *http.Client
}

// NewClient returns a client for the platform at the base URL. The header sections of
// responses are checked before net/http reads them, unless the URL is one of HTTPS, whose
// connections may carry HTTP/2.
func NewClient(base string) *Client {
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.ResponseHeaderTimeout = WatchTimeout + watchMargin
	if !strings.HasPrefix(strings.ToLower(base), "https:") {
		transport.DialContext = httphead.Checked(transport.DialContext)
	}
	return &Client{base: base, http: &http.Client{Transport: transport}}
}

// Value is a value of the configuration service or the host list.
type Value struct {
	Raw  []byte
	ETag string
}

// Read returns the current value of a key.
func (c *Client) Read(ctx context.Context, key string) (Value, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return c.get(ctx, key, "/v1/values/"+key, "", document.MaxBytes)
}

// Watch waits until the value of a key differs from the one with the given ETag and
// returns the new value. It returns ErrUnchanged if there is no change within
// WatchTimeout.
func (c *Client) Watch(ctx context.Context, key, etag string) (Value, error) {
	ctx, cancel := context.WithTimeout(ctx, WatchTimeout+callTimeout)
	defer cancel()
	return c.get(ctx, key, "/v1/values/"+key+"?wait="+WatchTimeout.String(), etag, document.MaxBytes)
}

// Hosts returns the raw host list, or ErrUnchanged if it still has the given ETag.
func (c *Client) Hosts(ctx context.Context, etag string) (Value, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return c.get(ctx, "hosts", "/v1/hosts", etag, document.MaxHostListBytes)
}

func (c *Client) get(ctx context.Context, key, path, etag string, limit int) (Value, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+path, nil)
	if err != nil {
		return Value{}, &Error{Key: key, Err: err}
	}
	if etag != "" {
		request.Header.Set("If-None-Match", etag)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return Value{}, &Error{Key: key, Err: err}
	}
	defer response.Body.Close()
	switch response.StatusCode {
	case http.StatusOK:
	case http.StatusNotModified:
		return Value{}, ErrUnchanged
	default:
		return Value{}, &Error{Key: key, Status: response.StatusCode}
	}
	raw, err := io.ReadAll(io.LimitReader(response.Body, int64(limit)+1))
	if err != nil {
		return Value{}, &Error{Key: key, Err: err}
	}
	if len(raw) > limit {
		return Value{}, &Error{Key: key, Err: fmt.Errorf("value is larger than %d bytes", limit)}
	}
	return Value{Raw: raw, ETag: response.Header.Get("ETag")}, nil
}
