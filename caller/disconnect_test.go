package caller_test

import (
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"wisteriapond/standin"
)

// blockingServer is a backend server that reads requests and responds once
// release is closed or sent to. closed receives one value for every connection
// that ends before its response.
type blockingServer struct {
	*standin.RawServer
	release chan struct{}
	closed  chan struct{}
}

func serveBlocking() *blockingServer {
	GinkgoHelper()
	w := &blockingServer{release: make(chan struct{}), closed: make(chan struct{}, 16)}
	w.RawServer = serve(func(c *standin.RawConn) {
		if c.ReadRequest() == nil {
			return
		}
		ended := make(chan struct{})
		go func() {
			c.Reader.ReadByte()
			close(ended)
		}()
		select {
		case <-w.release:
			io.WriteString(c, plainResponse)
			<-ended
		case <-ended:
			w.closed <- struct{}{}
		}
	})
	return w
}

var _ = Describe("a caller that disconnects", func() {
	// Guards against work for a caller that has disconnected: the slot on the
	// backend server must be freed.
	DescribeTable("while its request runs cancels the attempt",
		func(request string) {
			w := serveBlocking()
			sys := startSystem(testService(w.Address()))
			c := sys.dial()
			c.send(request)
			Eventually(w.Requests).WithTimeout(waitTimeout).Should(HaveLen(1))
			c.Close()
			Eventually(w.closed).WithTimeout(waitTimeout).Should(Receive())
			Eventually(func() int { return sys.loop.OpenRequests() }).WithTimeout(waitTimeout).Should(BeZero())
		},
		Entry("with a lookup", getLines+"\r\n"),
		Entry("with an order", postLines+"Content-Length: 4\r\n\r\nurns"),
		Entry("with a streamed body", postLines+"Content-Length: 200000\r\n\r\n"+strings.Repeat("urns", 50000)),
	)

	// Guards against a queue entry for a caller that has disconnected.
	It("while its request is queued frees its queue entry", func() {
		w := serveBlocking()
		config := testService(w.Address())
		config.Upstreams = config.Upstreams[:1]
		config.Upstreams[0].Slots = 1
		sys := startSystem(config)
		running, queued := sys.dial(), sys.dial()
		running.send(getLines + "\r\n")
		Eventually(w.Requests).WithTimeout(waitTimeout).Should(HaveLen(1))
		queued.send(getLines + "\r\n")
		Eventually(sys.loop.OpenRequests).WithTimeout(waitTimeout).Should(Equal(2))
		queued.Close()
		Eventually(sys.loop.OpenRequests).WithTimeout(waitTimeout).Should(Equal(1))
		Expect(w.Requests()).To(HaveLen(1))
		close(w.release)
		_, body := running.readResponse("GET")
		Expect(body).To(Equal("urns"))
	})

	// Guards against a backend server that waits for the rest of a body after
	// the caller has disconnected.
	It("while its body is streamed cancels the attempt", func() {
		read := make(chan int, 1)
		s := serve(func(c *standin.RawConn) {
			request, err := http.ReadRequest(c.Reader)
			if err != nil {
				return
			}
			body, _ := io.ReadAll(request.Body)
			read <- len(body)
		})
		sys := startSystem(testService(s.Address()))
		c := sys.dial()
		c.send(postLines + "Content-Length: 200000\r\n\r\n" + strings.Repeat("urns", 5000))
		Eventually(s.Accepted).WithTimeout(waitTimeout).Should(BeEquivalentTo(1))
		c.Close()
		Eventually(read).WithTimeout(waitTimeout).Should(Receive(BeNumerically("<=", 20000)))
		Eventually(func() int { return sys.loop.OpenRequests() }).WithTimeout(waitTimeout).Should(BeZero())
	})

	// Guards against a download that continues after the caller has
	// disconnected, even while the backend server is silent.
	It("during a download cancels the attempt", func() {
		closed := make(chan struct{})
		s := serve(func(c *standin.RawConn) {
			c.ReadRequest()
			io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n"+longBody)
			c.Reader.ReadByte()
			close(closed)
		})
		sys := startSystem(testService(s.Address()))
		c := sys.dial()
		c.send(getLines + "\r\n")
		Expect(c.reader.Peek(1000)).Error().NotTo(HaveOccurred())
		c.Close()
		Eventually(closed).WithTimeout(waitTimeout).Should(BeClosed())
		Eventually(func() int { return sys.loop.OpenRequests() }).WithTimeout(waitTimeout).Should(BeZero())
	})

	// Guards against assigning a response to the wrong request of a connection.
	It("is distinguished from one that pipelines its next request", func() {
		s := serve(func(c *standin.RawConn) {
			for request := c.ReadRequest(); request != nil; request = c.ReadRequest() {
				time.Sleep(5 * time.Millisecond)
				respondWith(c, request.RequestURI)
			}
		})
		sys := startSystem(testService(s.Address()))
		c := sys.dial()
		const requests = 40
		go func() {
			for i := range requests {
				io.WriteString(c, "GET /"+strings.Repeat("x", i)+" HTTP/1.1\r\nHost: h\r\n\r\n")
				if i%4 == 0 {
					time.Sleep(time.Millisecond)
				}
			}
		}()
		for i := range requests {
			_, body := c.readResponse("GET")
			Expect(body).To(Equal("/" + strings.Repeat("x", i)))
		}
		Expect(s.Requests()).To(HaveLen(requests))
	})

	// Guards against bytes lost between the pending read-ahead and the request
	// body.
	It("is distinguished from one that sends a body and the next request together", func() {
		s := serve(func(c *standin.RawConn) {
			for request := c.ReadRequest(); request != nil; request = c.ReadRequest() {
				respondWith(c, request.RequestURI)
			}
		})
		sys := startSystem(testService(s.Address()))
		c := sys.dial()
		body := strings.Repeat("urns", 50000)
		go func() {
			for range 4 {
				io.WriteString(c, postLines+"Content-Length: 200000\r\n\r\n"+body)
				io.WriteString(c, getLines+"\r\n")
			}
		}()
		for range 4 {
			_, got := c.readResponse("POST")
			Expect(got).To(Equal("/a"))
			_, got = c.readResponse("GET")
			Expect(got).To(Equal("/a"))
		}
		Expect(s.Requests()).To(HaveLen(8))
		for i, request := range s.Requests() {
			if i%2 == 0 {
				Expect(request == "POST /a "+body).To(BeTrue())
			}
		}
	})
})

func respondWith(c net.Conn, body string) {
	response := http.Response{
		StatusCode: 200, ProtoMajor: 1, ProtoMinor: 1, ContentLength: int64(len(body)), Body: io.NopCloser(strings.NewReader(body)),
	}
	response.Write(c)
}
