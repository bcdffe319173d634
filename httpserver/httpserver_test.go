package httpserver_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/valyala/fasthttp"

	"wisteriapond/httpserver"
)

const waitTimeout = 20 * time.Second

func listen() net.Listener {
	GinkgoHelper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { l.Close() })
	return l
}

func newServer() *httpserver.Server {
	return httpserver.New(&fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) { ctx.SetBodyString("ok") }})
}

// Guards against a server that is shut down while its process starts, accepts
// connections from then on, and keeps the process from ending.
var _ = Describe("a server", func() {
	It("that is shut down before it serves returns at once and refuses connections", func() {
		server, l := newServer(), listen()
		Expect(server.Shutdown(context.Background())).To(Succeed())
		ended := make(chan error, 1)
		go func() { ended <- server.Serve(l) }()
		Eventually(ended).WithTimeout(waitTimeout).Should(Receive(BeNil()))
		_, err := net.Dial("tcp", l.Addr().String())
		Expect(err).To(HaveOccurred())
	})

	It("ends when it is shut down at the moment at which it begins to serve", func() {
		for range 100 {
			server, l := newServer(), listen()
			ended := make(chan error, 1)
			go func() { ended <- server.Serve(l) }()
			Expect(server.Shutdown(context.Background())).To(Succeed())
			Eventually(ended).WithTimeout(waitTimeout).Should(Receive(BeNil()))
		}
	})

	It("that is shut down while it serves closes idle connections and returns", func() {
		server, l := newServer(), listen()
		ended := make(chan error, 1)
		go func() { ended <- server.Serve(l) }()
		response, err := http.Get("http://" + l.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		Expect(io.ReadAll(response.Body)).To(BeEquivalentTo("ok"))
		Expect(server.Shutdown(context.Background())).To(Succeed())
		Eventually(ended).WithTimeout(waitTimeout).Should(Receive(BeNil()))
	})

	It("does not wait longer for a request that is not complete than its context allows", func() {
		server, l := newServer(), listen()
		go server.Serve(l)
		c, err := net.Dial("tcp", l.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		defer c.Close()
		io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nab")
		// The request counts as begun once the server has read from the connection.
		time.Sleep(50 * time.Millisecond)
		ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
		defer cancel()
		Expect(server.Shutdown(ctx)).To(MatchError(context.DeadlineExceeded))
	})
})
