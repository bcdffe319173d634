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

// waitTimeout bounds every wait for a condition.
const waitTimeout = 20 * time.Second

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

// clock follows the process clock; offset moves it forward without waiting.
type clock struct {
	origin time.Time
	offset atomic.Int64
	// readingsLeft is the number of readings until the clock jumps forward by
	// jumpBy.
	readingsLeft atomic.Int64
	jumpBy       time.Duration
}

func newClock() *clock { return &clock{origin: time.Now()} }

// jump moves the clock forward by the given duration after the given number of
// readings.
func (c *clock) jump(readings int64, by time.Duration) {
	c.readingsLeft.Store(readings)
	c.jumpBy = by
}

func (c *clock) Now() core.Instant {
	if c.jumpBy > 0 && c.readingsLeft.Add(-1) < 0 {
		c.offset.Store(int64(c.jumpBy))
	}
	return core.Instant(time.Since(c.origin)).Add(time.Duration(c.offset.Load()))
}

func (c *clock) Deadline(at core.Instant) time.Time {
	return c.origin.Add(time.Duration(at) - time.Duration(c.offset.Load()))
}

// fixture runs attempts against a pool of its own.
type fixture struct {
	pool  *backend.Pool
	clock *clock
}

func newFixture() *fixture { return &fixture{pool: backend.NewPool(), clock: newClock()} }

func (f *fixture) command(address string) core.StartAttempt {
	now := f.clock.Now()
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

// streamedPost returns a request with a streamed body.
func streamedPost(body io.Reader, length int64, stop func()) *backend.Request {
	r := get()
	r.Header.SetMethod("POST")
	r.Header.SetContentLength(int(length))
	r.Stream = body
	r.Length = length
	r.StopStream = stop
	return r
}

func (f *fixture) run(command core.StartAttempt, request *backend.Request) *backend.Exchange {
	return f.pool.Start(f.clock, command, request, func(*backend.Exchange) {})
}

// background runs an attempt in a goroutine. started receives the attempt
// before anything that may block, ended once it has ended.
func (f *fixture) background(command core.StartAttempt, request *backend.Request) (started, ended chan *backend.Exchange) {
	started = make(chan *backend.Exchange, 1)
	ended = make(chan *backend.Exchange, 1)
	go func() {
		ended <- f.pool.Start(f.clock, command, request, func(x *backend.Exchange) { started <- x })
	}()
	return started, ended
}
