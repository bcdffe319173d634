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

// waiting is a backend server that reads requests and answers on release. Its
// closed channel gets one value for every connection that ended under it.
type waiting struct {
	*standin.RawServer
	release chan struct{}
	closed  chan struct{}
}

func serveWaiting() *waiting {
	GinkgoHelper()
	w := &waiting{release: make(chan struct{}), closed: make(chan struct{}, 16)}
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
			io.WriteString(c, plain)
			<-ended
		case <-ended:
			w.closed <- struct{}{}
		}
	})
	return w
}

var _ = Describe("a caller that hangs up", func() {
	// Guards against work for nobody: the backend server's slot must come free.
	DescribeTable("while its request runs frees the attempt",
		func(request string) {
			w := serveWaiting()
			sys := start(service(w.Address()))
			c := sys.dial()
			c.send(request)
			Eventually(w.Requests).WithTimeout(patience).Should(HaveLen(1))
			c.Close()
			Eventually(w.closed).WithTimeout(patience).Should(Receive())
			Eventually(func() int { return sys.loop.OpenRequests() }).WithTimeout(patience).Should(BeZero())
		},
		Entry("with a lookup", lead+"\r\n"),
		Entry("with an order", order+"Content-Length: 4\r\n\r\nurns"),
		Entry("with a streamed body", order+"Content-Length: 200000\r\n\r\n"+strings.Repeat("urns", 50000)),
	)

	// Guards against a place in the queue for nobody.
	It("while its request waits frees its place", func() {
		w := serveWaiting()
		config := service(w.Address())
		config.Upstreams = config.Upstreams[:1]
		config.Upstreams[0].Slots = 1
		sys := start(config)
		running, queued := sys.dial(), sys.dial()
		running.send(lead + "\r\n")
		Eventually(w.Requests).WithTimeout(patience).Should(HaveLen(1))
		queued.send(lead + "\r\n")
		Eventually(sys.loop.OpenRequests).WithTimeout(patience).Should(Equal(2))
		queued.Close()
		Eventually(sys.loop.OpenRequests).WithTimeout(patience).Should(Equal(1))
		Expect(w.Requests()).To(HaveLen(1))
		close(w.release)
		_, body := running.answer("GET")
		Expect(body).To(Equal("urns"))
	})

	// Guards against a backend server that gets the rest of a body from nobody.
	It("within its streamed body frees the attempt", func() {
		read := make(chan int, 1)
		s := serve(func(c *standin.RawConn) {
			request, err := http.ReadRequest(c.Reader)
			if err != nil {
				return
			}
			body, _ := io.ReadAll(request.Body)
			read <- len(body)
		})
		sys := start(service(s.Address()))
		c := sys.dial()
		c.send(order + "Content-Length: 200000\r\n\r\n" + strings.Repeat("urns", 5000))
		Eventually(s.Accepted).WithTimeout(patience).Should(BeEquivalentTo(1))
		c.Close()
		Eventually(read).WithTimeout(patience).Should(Receive(BeNumerically("<=", 20000)))
		Eventually(func() int { return sys.loop.OpenRequests() }).WithTimeout(patience).Should(BeZero())
	})

	// Guards against a download that runs on for a caller that left, also while
	// the backend server is silent.
	It("within a download frees the attempt", func() {
		closed := make(chan struct{})
		s := serve(func(c *standin.RawConn) {
			c.ReadRequest()
			io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n"+long)
			c.Reader.ReadByte()
			close(closed)
		})
		sys := start(service(s.Address()))
		c := sys.dial()
		c.send(lead + "\r\n")
		Expect(c.reader.Peek(1000)).Error().NotTo(HaveOccurred())
		c.Close()
		Eventually(closed).WithTimeout(patience).Should(BeClosed())
		Eventually(func() int { return sys.loop.OpenRequests() }).WithTimeout(patience).Should(BeZero())
	})

	// Guards against answers that reach the wrong request of a connection.
	It("is told apart from one that sends its next request early", func() {
		s := serve(func(c *standin.RawConn) {
			for request := c.ReadRequest(); request != nil; request = c.ReadRequest() {
				time.Sleep(5 * time.Millisecond)
				answerWith(c, request.RequestURI)
			}
		})
		sys := start(service(s.Address()))
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
			_, body := c.answer("GET")
			Expect(body).To(Equal("/" + strings.Repeat("x", i)))
		}
		Expect(s.Requests()).To(HaveLen(requests))
	})

	// Guards against bytes lost between the outstanding read and the body.
	It("is told apart from one that sends a body and the next request together", func() {
		s := serve(func(c *standin.RawConn) {
			for request := c.ReadRequest(); request != nil; request = c.ReadRequest() {
				answerWith(c, request.RequestURI)
			}
		})
		sys := start(service(s.Address()))
		c := sys.dial()
		body := strings.Repeat("urns", 50000)
		go func() {
			for range 4 {
				io.WriteString(c, order+"Content-Length: 200000\r\n\r\n"+body)
				io.WriteString(c, lead+"\r\n")
			}
		}()
		for range 4 {
			_, answer := c.answer("POST")
			Expect(answer).To(Equal("/a"))
			_, answer = c.answer("GET")
			Expect(answer).To(Equal("/a"))
		}
		Expect(s.Requests()).To(HaveLen(8))
		for i, request := range s.Requests() {
			if i%2 == 0 {
				Expect(request == "POST /a "+body).To(BeTrue())
			}
		}
	})
})

func answerWith(c net.Conn, body string) {
	response := http.Response{
		StatusCode: 200, ProtoMajor: 1, ProtoMinor: 1, ContentLength: int64(len(body)), Body: io.NopCloser(strings.NewReader(body)),
	}
	response.Write(c)
}
