package caller_test

import (
	"bufio"
	"context"
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
	"wisteriapond/runtime"
	"wisteriapond/standin"
)

// routedPrefixes are the path prefixes of the routes of the host a.example, each with
// a service of its own that is named like the prefix.
var routedPrefixes = []string{
	"/orders/", "/orders/2026/", "/look/", "/%C3%A9preuves/", "/up/../", "/twice//", "/enc%2Fslash/", "/a:b/",
}

// longestPrefix is the plain reading of the rule for routes: the longest prefix that
// begins the path, which is what comes before the query. It returns "" if there is none.
func longestPrefix(target string) string {
	if query := strings.IndexByte(target, '?'); query >= 0 {
		target = target[:query]
	}
	best := ""
	for _, prefix := range routedPrefixes {
		if strings.HasPrefix(target, prefix) && len(prefix) > len(best) {
			best = prefix
		}
	}
	return best
}

// startRoutedSystem starts the request path with the routes of routedPrefixes, and
// returns its address for callers. The backend servers respond with their prefix and
// the target that they received, separated by a space.
func startRoutedSystem(t testing.TB) string {
	loop := runtime.NewLoop(&stopHandler{stopAccepting: func() {}})
	server := caller.NewServer(loop, backend.NewPool(), intake.BoundsOf(intake.Limits{}), &log.Logger{Handler: discard.New()})
	loop.Send(core.Start{Host: "entry-1", Region: "mtl", FailureDomain: "mtl-a", Seed: 1, Registry: &core.RegistrySettings{
		Domains: []core.FailureDomain{{Name: "mtl-a", Region: "mtl"}},
		NotRun:  config.NotRunForm{Header: "X-Not-Run", Value: "1"},
	}})
	routing := &config.Routing{Version: 1}
	var servers []core.ServerChange
	for i, prefix := range routedPrefixes {
		s, err := standin.StartRawServer(respondWithTarget(prefix))
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { s.Close() })
		name := fmt.Sprintf("s%d", i)
		routing.Routes = append(routing.Routes, config.Route{
			Name: name, Host: "a.example", PathPrefix: prefix, MaxAttempts: 1, Repeat: config.Idempotent,
			Targets: []config.Target{{Service: name, Weight: 1}},
		})
		routing.Services = append(routing.Services, config.RoutedService{Name: name})
		servers = append(servers, core.ServerChange{ID: name, Server: &core.Server{
			ID: name, Born: 1, Service: name, Address: s.Address(), FailureDomain: "mtl-a", Slots: 64,
		}})
	}
	loop.Send(core.StoreListed{Call: 1, Revision: 1, Routing: routing, Servers: servers})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go server.Serve(l)
	go func() {
		defer close(ended)
		loop.Run(ctx)
		server.Shutdown(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-ended
		l.Close()
	})
	for deadline := time.Now().Add(waitTimeout); !loop.Ready(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the system is not ready")
		}
	}
	return l.Addr().String()
}

// respondWithTarget returns a handler that responds with the given text and the
// target of the request as received.
func respondWithTarget(text string) func(c *standin.RawConn) {
	return func(c *standin.RawConn) {
		for {
			section, err := c.ReadHeaderSection()
			if err != nil {
				return
			}
			line, _, _ := strings.Cut(section, "\r\n")
			fields := strings.SplitN(line, " ", 2)
			target := strings.TrimSuffix(fields[1], " HTTP/1.1")
			body := text + " " + target
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		}
	}
}

// sendTarget sends a request with the given target. It returns the status, and the
// prefix and the target with which a backend server responded.
func sendTarget(address, method, target, host string) (status int, prefix, forwarded string, err error) {
	c, err := net.Dial("tcp", address)
	if err != nil {
		return 0, "", "", err
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(waitTimeout))
	fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: %s\r\nConnection: close\r\n\r\n", method, target, host)
	response, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: method})
	if err != nil {
		return 0, "", "", err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if response.StatusCode == http.StatusOK {
		prefix, forwarded, _ = strings.Cut(string(body), " ")
	}
	return response.StatusCode, prefix, forwarded, err
}

// Guards against a request that is routed by another path than the one that the
// backend server receives: a decoded slash selects a route whose requests may run
// twice, a resolved ".." selects another service, and a prefix with an escape never
// matches.
var _ = Describe("the route of a request", func() {
	It("is selected by the bytes that are forwarded", func() {
		address := startRoutedSystem(GinkgoTB())
		for _, example := range []struct {
			target, host      string
			status            int
			prefix, forwarded string
		}{
			{"/orders/2026/17", "a.example", 200, "/orders/2026/", "/orders/2026/17"},
			{"/orders/2026%2F17", "a.example", 200, "/orders/", "/orders/2026%2F17"},
			{"/orders%2F2026/17", "a.example", 404, "", ""},
			{"/look/../orders/7", "a.example", 200, "/look/", "/look/../orders/7"},
			{"/look/..", "a.example", 200, "/look/", "/look/.."},
			{"/look//x?y=/orders/", "a.example", 200, "/look/", "/look//x?y=/orders/"},
			{"/orders/2026?/x", "a.example", 200, "/orders/", "/orders/2026?/x"},
			{"/orders/2026//x", "a.example", 200, "/orders/2026/", "/orders/2026//x"},
			{"/orders//2026/x", "a.example", 200, "/orders/", "/orders//2026/x"},
			{"//orders/2026/x", "a.example", 404, "", ""},
			{"/%C3%A9preuves/1", "a.example", 200, "/%C3%A9preuves/", "/%C3%A9preuves/1"},
			{"/%c3%a9preuves/1", "a.example", 404, "", ""},
			{"/épreuves/1", "a.example", 404, "", ""},
			{"/up/../x", "a.example", 200, "/up/../", "/up/../x"},
			{"/x", "a.example", 404, "", ""},
			{"/twice//x", "a.example", 200, "/twice//", "/twice//x"},
			{"/twice/x", "a.example", 404, "", ""},
			{"/enc%2Fslash/x", "a.example", 200, "/enc%2Fslash/", "/enc%2Fslash/x"},
			{"/a:b/://orders/", "a.example", 200, "/a:b/", "/a:b/://orders/"},
			{"/orders/%zz", "a.example", 200, "/orders/", "/orders/%zz"},
			{"/?x=/orders/", "a.example", 404, "", ""},
			{"*", "a.example", 404, "", ""},
			{"http://a.example/orders//8%2F?q=%2f", "b.example", 200, "/orders/", "/orders//8%2F?q=%2f"},
			{"http://A.example:8080/orders/2026/../8", "b.example", 200, "/orders/2026/", "/orders/2026/../8"},
			{"http://b.example/orders/1", "a.example", 404, "", ""},
			{"http://a.example", "a.example", 404, "", ""},
			{"http://a.example?x=/orders/", "a.example", 404, "", ""},
			{"/orders/1", "A.Example:8080", 200, "/orders/", "/orders/1"},
			{"/orders/1", "b.example", 404, "", ""},
		} {
			method := "GET"
			if example.target == "*" {
				method = "OPTIONS"
			}
			status, prefix, forwarded, err := sendTarget(address, method, example.target, example.host)
			Expect(err).NotTo(HaveOccurred(), "%+v", example)
			Expect([]any{status, prefix, forwarded}).To(Equal([]any{example.status, example.prefix, example.forwarded}), "%+v", example)
		}
	})
})

// Guards against a target for which the matched route differs from a plain reading of
// the bytes that reach a backend server.
func FuzzTarget(f *testing.F) {
	for _, target := range []string{
		"/orders/2026%2F17", "/look/../orders/7", "/look/..", "//a.example/orders/1", "/orders/2026/?/x", "/orders/#/../2026/",
		"http://a.example/orders//8%2F?q=%2f", "http://a.example?/orders/", "http://a.example", "HTTP://a.example/up/../x",
		"*", "?x", "", "/%C3%A9preuves/", "/twice//x", "/a:b/://orders/", "x://a.example//y", "http:///orders/", "http://a.example#/orders/",
		"/orders\\2026/", "/orders/;/2026", "/orders/2026/./x", "/%6frders/1",
	} {
		f.Add(target)
	}
	address := startRoutedSystem(f)
	f.Fuzz(func(t *testing.T, target string) {
		if target == "" || strings.ContainsFunc(target, func(c rune) bool { return c <= ' ' || c == 0x7f }) {
			return
		}
		status, prefix, forwarded, err := sendTarget(address, "GET", target, "a.example")
		switch {
		case err != nil:
			t.Fatalf("%q: %v", target, err)
		case status == http.StatusOK && prefix != longestPrefix(forwarded):
			t.Fatalf("%q reached the server of %q as %q", target, prefix, forwarded)
		case status == http.StatusOK && target[0] == '/' && forwarded != target:
			t.Fatalf("%q was forwarded as %q", target, forwarded)
		case status == http.StatusOK && !strings.HasSuffix(target, forwarded):
			t.Fatalf("%q was forwarded as %q", target, forwarded)
		case status != http.StatusOK && target[0] == '/' && longestPrefix(target) != "":
			t.Fatalf("%q got status %d instead of the route %q", target, status, longestPrefix(target))
		}
	})
}
