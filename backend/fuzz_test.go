package backend_test

import (
	"io"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"wisteriapond/backend"
	"wisteriapond/outcome"
	"wisteriapond/standin"
)

// Guards against values that overflow, exceed the bounds or crash the parser.
func FuzzTimeout(f *testing.F) {
	for _, seed := range []string{"", "0", "1", "250", "86400000", "86400001", "-1", "+1", " 1", "1e3", "99999999999999999999"} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, value string) {
		d, ok := backend.ParseTimeout([]byte(value))
		if ok && (d < time.Millisecond || d > 24*time.Hour) {
			t.Fatalf("ParseTimeout(%q) = %v", value, d)
		}
		if n, err := strconv.ParseUint(value, 10, 64); ok && (err != nil || time.Duration(n)*time.Millisecond != d) {
			t.Fatalf("ParseTimeout(%q) = %v", value, d)
		}
	})
}

func FuzzDepth(f *testing.F) {
	for _, seed := range []string{"", "0", "15", "16", "-1", "0x1", "1000001", "99999999999999999999"} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, value string) {
		n, ok := backend.ParseDepth([]byte(value))
		if m, err := strconv.ParseUint(value, 10, 64); ok && (err != nil || int(m) != n) {
			t.Fatalf("ParseDepth(%q) = %d", value, n)
		}
	})
}

func FuzzRetryAfter(f *testing.F) {
	now := time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)
	for _, seed := range []string{"", "0", "2", "-2", "999999999999999999999", "Sun, 01 Mar 2026 12:00:30 GMT", "Sun, 01 Mar 2020 12:00:30 GMT", "soon"} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, value string) {
		d := backend.ParseRetryAfter([]byte(value), now)
		if d < 0 || d > time.Hour {
			t.Fatalf("ParseRetryAfter(%q) = %v", value, d)
		}
	})
}

// Guards against parsing an HTTP date as no wait.
func TestRetryAfterDate(t *testing.T) {
	now := time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)
	date := now.Add(30 * time.Second).Format(http.TimeFormat)
	for value, want := range map[string]time.Duration{date: 30 * time.Second, "7": 7 * time.Second, "x": 0, " 3 ": 3 * time.Second} {
		if got := backend.ParseRetryAfter([]byte(value), now); got != want {
			t.Errorf("ParseRetryAfter(%q) = %v, want %v", value, got, want)
		}
	}
}

// Guards against a response that ends the process, keeps an attempt from ending, or
// counts as complete without a status.
func FuzzResponse(f *testing.F) {
	for _, seed := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"HTTP/1.1 200 OK\r\n\r\nok", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 503 Busy\r\nRetry-After: 1e300\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: -5\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 99999999999999999999\r\n\r\n", "garbage", "",
	} {
		f.Add([]byte(seed))
	}
	var mu sync.Mutex
	var response []byte
	server, err := standin.StartRawServer(func(c *standin.RawConn) {
		if _, err := http.ReadRequest(c.Reader); err == nil {
			mu.Lock()
			defer mu.Unlock()
			c.Write(response)
		}
	})
	if err != nil {
		f.Fatal(err)
	}
	f.Cleanup(func() { server.Close() })
	f.Fuzz(func(t *testing.T, raw []byte) {
		mu.Lock()
		response = raw
		mu.Unlock()
		fx := newFixture()
		command := fx.command(server.Address())
		command.MaxIdle, command.HoldBytes, command.UnsizedBytes = 0, 1<<10, 4<<10
		command.Deadline = fx.clock.Now().Add(5 * time.Second)
		x := fx.run(command, get())
		if x.Streaming {
			body := x.Body(func(outcome.Facts, bool) {})
			_, err := io.Copy(io.Discard, body)
			body.CloseWithError(err)
			return
		}
		if x.Facts.Cause == outcome.CauseNone && (x.Facts.Status < 100 || x.Facts.RetryAfter < 0 || x.Facts.RetryAfter > time.Hour) {
			t.Fatalf("response %q counts as complete: %+v", raw, x.Facts)
		}
	})
}
