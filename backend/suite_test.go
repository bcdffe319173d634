package backend_test

import (
	"bufio"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"wisteriapond/backend"
	"wisteriapond/core"
)

// patience is the limit of every wait for a condition.
const patience = 20 * time.Second

func TestBackend(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "backend")
}

// fakeServer is a backend server whose connections a test handles itself.
type fakeServer struct {
	net.Listener
	accepted atomic.Int64
	mu       sync.Mutex
	heads    []string
}

// serve starts a server that handles each connection with f; f gets the number
// of the connection, from 1.
func serve(f func(s *fakeServer, c *peer, number int64)) *fakeServer {
	GinkgoHelper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	s := &fakeServer{Listener: l}
	DeferCleanup(l.Close)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				f(s, &peer{Conn: c, reader: bufio.NewReader(c)}, s.accepted.Add(1))
			}()
		}
	}()
	return s
}

// answering serves every request of a connection with the same bytes.
func answering(raw string) *fakeServer {
	GinkgoHelper()
	return serve(func(s *fakeServer, c *peer, _ int64) {
		for s.readRequest(c) {
			io.WriteString(c, raw)
		}
	})
}

// answeringOnce closes the connection after one answer.
func answeringOnce(raw string) *fakeServer {
	GinkgoHelper()
	return serve(func(s *fakeServer, c *peer, _ int64) {
		s.readRequest(c)
		io.WriteString(c, raw)
	})
}

func (s *fakeServer) address() string { return s.Addr().String() }

// requests returns the heads of the requests that came in whole.
func (s *fakeServer) requests() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.heads...)
}

type peer struct {
	net.Conn
	reader *bufio.Reader
}

// readHead reads up to the empty line.
func (c *peer) readHead() (string, bool) {
	var head strings.Builder
	for {
		line, err := c.reader.ReadString('\n')
		head.WriteString(line)
		if err != nil {
			return "", false
		}
		if line == "\r\n" {
			return head.String(), true
		}
	}
}

// readRequest reads a request with a body of known length and notes its head.
func (s *fakeServer) readRequest(c *peer) bool {
	head, ok := c.readHead()
	if !ok {
		return false
	}
	length := 0
	for line := range strings.SplitSeq(head, "\r\n") {
		if value, found := strings.CutPrefix(line, "Content-Length: "); found {
			for _, digit := range value {
				length = length*10 + int(digit-'0')
			}
		}
	}
	if _, err := c.reader.Discard(length); err != nil {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.heads = append(s.heads, head)
	return true
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
		HoldBytes:   core.HoldBytes,
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
