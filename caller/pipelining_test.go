package caller_test

import (
	"io"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"wisteriapond/standin"
)

var _ = Describe("pipelined requests", func() {
	// Guards against a response that is held back until all requests that its caller
	// has already sent have been answered: with eight slow ones, the first response
	// took as long as all of them.
	It("are answered as soon as their response is there", func() {
		release := make(chan struct{})
		server := serve(func(c *standin.RawConn) {
			for {
				request := c.ReadRequest()
				if request == nil {
					return
				}
				if strings.HasSuffix(request.URL.Path, "/held") {
					<-release
				}
				io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
			}
		})
		sys := startSystem(testService(server.Address()))
		c := sys.dial()
		const request = " HTTP/1.1\r\nHost: h\r\n\r\n"
		c.send("GET /first" + request + "GET /held" + request)
		answered := make(chan struct{})
		go func() {
			defer GinkgoRecover()
			c.readResponse("GET")
			close(answered)
		}()
		Eventually(answered).WithTimeout(5 * time.Second).Should(BeClosed())
		close(release)
		response, _ := c.readResponse("GET")
		Expect(response.StatusCode).To(Equal(200))
	})
})
