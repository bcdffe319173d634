package backend_test

import (
	"io"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"wisteriapond/backend"
	"wisteriapond/core"
	"wisteriapond/standin"
	"wisteriapond/testsuite"
)

// patience is the limit of every wait for a condition.
const patience = 20 * time.Second

func TestBackend(t *testing.T) {
	RegisterFailHandler(Fail)
	testsuite.Run(t, "backend")
}

// serve starts a backend server that handles each connection with f.
func serve(f func(c *standin.RawConn)) *standin.RawServer {
	GinkgoHelper()
	s, err := standin.StartRawServer(f)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(s.Close)
	return s
}

// clock is the process's clock; ahead moves it on without waiting.
type clock struct {
	origin time.Time
	ahead  atomic.Int64
	// left counts the readings until the clock moves on by later.
	left  atomic.Int64
	later time.Duration
}

func newClock() *clock { return &clock{origin: time.Now()} }

// jump moves the clock on after the given number of readings.
func (c *clock) jump(readings int64, by time.Duration) {
	c.left.Store(readings)
	c.later = by
}

func (c *clock) Now() core.Instant {
	if c.later > 0 && c.left.Add(-1) < 0 {
		c.ahead.Store(int64(c.later))
	}
	return core.Instant(time.Since(c.origin)).Add(time.Duration(c.ahead.Load()))
}

func (c *clock) Deadline(at core.Instant) time.Time {
	return c.origin.Add(time.Duration(at) - time.Duration(c.ahead.Load()))
}

// bench runs attempts against one pool.
type bench struct {
	pool  *backend.Pool
	clock *clock
}

func newBench() *bench { return &bench{pool: backend.NewPool(), clock: newClock()} }

func (b *bench) command(address string) core.StartAttempt {
	now := b.clock.Now()
	return core.StartAttempt{
		Attempt:     core.AttemptID{Request: 1, Number: 1},
		Address:     address,
		StartBefore: now.Add(time.Minute),
		Deadline:    now.Add(time.Minute),
		Depth:       1,
		MaxIdle:     time.Hour,
		HoldBytes:   core.DefaultHoldBytes,
	}
}

func get() *backend.Request {
	r := &backend.Request{}
	r.Header.SetMethod("GET")
	r.Header.SetRequestURI("/catalogue/urn-7")
	r.Header.SetHost("gravure.example")
	return r
}

func post(body string) *backend.Request {
	r := get()
	r.Header.SetMethod("POST")
	r.Header.SetContentLength(len(body))
	r.Body = []byte(body)
	return r
}

// upload is a request with a streamed body.
func upload(body io.Reader, length int64, stop func()) *backend.Request {
	r := get()
	r.Header.SetMethod("POST")
	r.Header.SetContentLength(int(length))
	r.Stream = body
	r.Length = length
	r.StopStream = stop
	return r
}

func (b *bench) run(command core.StartAttempt, request *backend.Request) *backend.Exchange {
	return b.pool.Start(b.clock, command, request, func(*backend.Exchange) {})
}

// background runs an attempt and hands it out before it ends.
func (b *bench) background(command core.StartAttempt, request *backend.Request) (started, ended chan *backend.Exchange) {
	started = make(chan *backend.Exchange, 1)
	ended = make(chan *backend.Exchange, 1)
	go func() {
		ended <- b.pool.Start(b.clock, command, request, func(x *backend.Exchange) { started <- x })
	}()
	return started, ended
}
