package caller_test

import (
	"bufio"
	"context"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"wisteriapond/backend"
	"wisteriapond/caller"
	"wisteriapond/config"
	"wisteriapond/core"
	"wisteriapond/intake"
	"wisteriapond/outcome"
	"wisteriapond/runtime"
	"wisteriapond/standin"
	"wisteriapond/testsuite"
)

// waitTimeout bounds every wait for a condition.
const waitTimeout = 20 * time.Second

// init makes the inputs of property tests reproducible, and keeps failing inputs
// out of the source tree. -rapid.seed sets another seed.
func init() {
	flag.Set("rapid.seed", "1")
	flag.Set("rapid.nofailfile", "true")
}

func TestCaller(t *testing.T) {
	RegisterFailHandler(Fail)
	testsuite.Run(t, "caller")
}

// stopHandler ignores all effects except StopAccepting.
type stopHandler struct {
	stopAccepting func()
}

func (h *stopHandler) Handle(effect core.Effect) {
	if _, ok := effect.(core.StopAccepting); ok {
		h.stopAccepting()
	}
}

// system is the request path of an entry host: the server towards callers, the
// reducer and the connections to the given backend servers.
type system struct {
	address string
	loop    *runtime.Loop
	pool    *backend.Pool
	// refused receives the reasons of refusals that did not pass through the
	// reducer.
	refused chan outcome.Refusal
	// ended is closed once a planned stop has finished.
	ended chan struct{}
}

// testService returns the configuration of the tests, which tests may modify. A
// single server is listed as three upstreams: on a busy machine a command may
// expire before its first byte, and the request then goes to an upstream that
// was not tried.
func testService(servers ...string) *config.Service {
	if len(servers) == 1 {
		servers = []string{servers[0], servers[0], servers[0]}
	}
	s := &config.Service{
		Name:    "catalogue",
		Match:   []config.Match{{PathPrefix: "/"}},
		Timeout: time.Minute,
		Queue:   16,
		NotRun:  config.NotRunForm{Status: 503, Header: "X-Not-Run", Value: "1"},
		Probe:   config.Probe{Path: "/load", Timeout: time.Second, AnswerLimit: 1024},
	}
	for i, address := range servers {
		name := fmt.Sprintf("backend-%d", i+1)
		s.Upstreams = append(s.Upstreams, config.Upstream{
			Name: name, Host: name, Address: address, Region: "mtl", FailureDomain: "mtl-a", Slots: 3, Connections: 220,
		})
	}
	return s
}

// startSystem starts a system; configure is applied to its server before it accepts.
func startSystem(s *config.Service, configure ...func(*caller.Server)) *system {
	GinkgoHelper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	sys := &system{address: l.Addr().String(), pool: backend.NewPool(), ended: make(chan struct{}), refused: make(chan outcome.Refusal, 16)}
	sys.loop = runtime.NewLoop(&stopHandler{stopAccepting: func() { l.Close() }})
	server := caller.NewServer(sys.loop, sys.pool, intake.BoundsOf(intake.Limits{}), &log.Logger{Handler: discard.New()})
	server.ObserveRefusal = func(reason outcome.Refusal) { sys.refused <- reason }
	for _, f := range configure {
		f(server)
	}
	sys.loop.Send(core.Start{Host: "entry-1", Region: "mtl", FailureDomain: "mtl-a", Seed: 1})
	hash := config.Hash(strings.Repeat("a", 64))
	sys.loop.Send(core.ManifestRead{
		Version:  config.Version{Generation: 1, Hash: hash},
		Manifest: &config.Manifest{Generation: 1, EntryHosts: 1, Links: config.Links{LongPercent: 50}, Services: []config.ServiceRef{{Name: s.Name, Hash: hash}}},
	})
	sys.loop.Send(core.PartRead{Hash: hash, Service: s})
	ctx, cancel := context.WithCancel(context.Background())
	go server.Serve(l)
	go func() {
		defer close(sys.ended)
		sys.loop.Run(ctx)
		server.Shutdown(ctx)
	}()
	DeferCleanup(func() {
		cancel()
		Eventually(sys.ended).WithTimeout(waitTimeout).Should(BeClosed())
		l.Close()
	})
	Eventually(sys.loop.Ready).WithTimeout(waitTimeout).Should(BeTrue())
	return sys
}

// serve starts a backend server that handles each connection with f.
func serve(f func(c *standin.RawConn)) *standin.RawServer {
	GinkgoHelper()
	s, err := standin.StartRawServer(f)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(s.Close)
	return s
}

// client is a caller on a raw connection.
type client struct {
	net.Conn
	reader *bufio.Reader
}

func (sys *system) dial() *client {
	GinkgoHelper()
	c, err := net.Dial("tcp", sys.address)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(waitTimeout))
	return &client{Conn: c, reader: bufio.NewReader(c)}
}

func (c *client) send(raw string) {
	GinkgoHelper()
	Expect(io.WriteString(c, raw)).Error().NotTo(HaveOccurred())
}

// readResponse reads the response to a request of the given method.
func (c *client) readResponse(method string) (*http.Response, string) {
	GinkgoHelper()
	response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	Expect(err).NotTo(HaveOccurred())
	body, err := io.ReadAll(response.Body)
	Expect(err).NotTo(HaveOccurred())
	return response, string(body)
}

// roundTrip sends a raw request on a new connection and reads its response.
func (sys *system) roundTrip(raw string) (*http.Response, string) {
	GinkgoHelper()
	c := sys.dial()
	c.send(raw)
	method, _, _ := strings.Cut(raw, " ")
	return c.readResponse(method)
}
