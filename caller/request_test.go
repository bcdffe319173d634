package caller_test

import (
	"io"
	"net/http"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"wisteriapond/standin"
)

const (
	plainResponse = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nurns"
	getLines      = "GET /a HTTP/1.1\r\nHost: h\r\n"
	postLines     = "POST /a HTTP/1.1\r\nHost: h\r\n"
)

// Guards against requests that two servers would interpret differently, and
// against refusals that a program cannot distinguish from responses of the
// backend server.
var _ = DescribeTable("a malformed request is refused before any backend server sees it",
	func(raw string, status int, reason string) {
		s := serve(standin.RespondToEach(plainResponse))
		sys := startSystem(testService(s.Address()))
		response, body := sys.roundTrip(raw)
		Expect(response.StatusCode).To(Equal(status))
		Expect(response.Header.Get("Wisteriapond-Outcome")).To(Equal("not-run"))
		Expect(response.Header.Get("Wisteriapond-Reason")).To(Equal(reason))
		Expect(response.Header.Get("Content-Type")).To(Equal("application/json"))
		Expect(response.Close).To(BeTrue())
		Expect(body).To(MatchRegexp(`^\{"outcome":"not-run","reason":"` + reason + `","message":".+"\}$`))
		Expect(s.Accepted()).To(BeZero())
		Expect(sys.refused).To(Receive(BeEquivalentTo(reason)))
	},
	Entry("with a content length and a transfer coding", postLines+"Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400, "malformed"),
	Entry("with a transfer coding and a content length", postLines+"Transfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n0\r\n\r\n", 400, "malformed"),
	Entry("with two content lengths", postLines+"Content-Length: 4\r\nContent-Length: 5\r\n\r\nurns!", 400, "malformed"),
	Entry("with the same content length twice", postLines+"Content-Length: 4\r\nContent-Length: 4\r\n\r\nurns", 400, "malformed"),
	Entry("with a list of content lengths", postLines+"Content-Length: 4, 4\r\n\r\nurns", 400, "malformed"),
	Entry("with a signed content length", postLines+"Content-Length: +4\r\n\r\nurns", 400, "malformed"),
	Entry("with two transfer codings", postLines+"Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400, "malformed"),
	Entry("with an unknown transfer coding", postLines+"Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n", 400, "malformed"),
	Entry("with the identity transfer coding", postLines+"Transfer-Encoding: identity\r\nContent-Length: 4\r\n\r\nurns", 400, "malformed"),
	Entry("with a space before the colon", postLines+"Content-Length : 4\r\n\r\nurns", 400, "malformed"),
	Entry("with a malformed chunk size", postLines+"Transfer-Encoding: chunked\r\n\r\nzz\r\nurns\r\n0\r\n\r\n", 400, "malformed"),
	Entry("without a Host header", "GET /a HTTP/1.1\r\n\r\n", 400, "malformed"),
	Entry("with two Host headers", getLines+"Host: other\r\n\r\n", 400, "malformed"),
	Entry("with the method CONNECT", "CONNECT h:443 HTTP/1.1\r\nHost: h\r\n\r\n", 400, "malformed"),
	Entry("with a malformed timeout", getLines+"Wisteriapond-Timeout: soon\r\n\r\n", 400, "malformed"),
	Entry("with a timeout of zero", getLines+"Wisteriapond-Timeout: 0\r\n\r\n", 400, "malformed"),
	Entry("with two timeouts", getLines+"Wisteriapond-Timeout: 5\r\nWisteriapond-Timeout: 6\r\n\r\n", 400, "malformed"),
	Entry("with a negative depth", getLines+"Wisteriapond-Depth: -1\r\n\r\n", 400, "malformed"),
	Entry("with a header section that is too large", getLines+"X: "+strings.Repeat("x", 40<<10)+"\r\n\r\n", 431, "too_large"),
)

var _ = Describe("a request", func() {
	// Guards against calls that are nested without limit.
	It("is refused when it is nested too deep", func() {
		s := serve(standin.RespondToEach(plainResponse))
		sys := startSystem(testService(s.Address()))
		response, _ := sys.roundTrip(getLines + "Wisteriapond-Depth: 15\r\n\r\n")
		Expect(response.StatusCode).To(Equal(503))
		Expect(response.Header.Get("Wisteriapond-Reason")).To(Equal("depth"))
	})

	// Guards against a caller that forges headers reserved for the system, and
	// against hop-by-hop headers that reach the backend server.
	It("is forwarded with its end-to-end headers only", func() {
		seen := make(chan *http.Request, 1)
		s := serve(func(c *standin.RawConn) {
			seen <- c.ReadRequest()
			io.WriteString(c, plainResponse)
		})
		sys := startSystem(testService(s.Address()))
		sys.roundTrip("GET /a//b/../c?x=%2f HTTP/1.1\r\nHost: gravure.example\r\nConnection: close, X-Hop, Host\r\nX-Hop: 1\r\n" +
			"Te: trailers\r\nUpgrade: x\r\nKeep-Alive: 5\r\nWisteriapond-Upstream: forged\r\nWisteriapond-Depth: 3\r\n" +
			"X-Forwarded-For: 192.0.2.1\r\nX-Forwarded-For: 192.0.2.2\r\nCookie: a=b; c\r\nX-Kept: 1\r\n\r\n")
		var request *http.Request
		Eventually(seen).WithTimeout(waitTimeout).Should(Receive(&request))
		Expect(request.RequestURI).To(Equal("/a//b/../c?x=%2f"))
		Expect(request.Host).To(Equal("gravure.example"))
		Expect(request.Header.Get("Wisteriapond-Timeout")).NotTo(BeEmpty())
		request.Header.Del("Wisteriapond-Timeout")
		Expect(request.Header).To(Equal(http.Header{
			"Wisteriapond-Depth": {"4"},
			"X-Forwarded-For":    {"192.0.2.1, 192.0.2.2, 127.0.0.1"},
			"Cookie":             {"a=b; c"},
			"X-Kept":             {"1"},
		}))
	})

	// Guards against a request target that a backend server does not
	// understand, and against routing by a host other than the one that the
	// backend server sees.
	It("with an absolute target is forwarded to the host of the target", func() {
		seen := make(chan *http.Request, 1)
		s := serve(func(c *standin.RawConn) {
			seen <- c.ReadRequest()
			io.WriteString(c, plainResponse)
		})
		sys := startSystem(testService(s.Address()))
		sys.roundTrip("GET http://gravure.example/a?x=1 HTTP/1.1\r\nHost: other.example\r\n\r\n")
		var request *http.Request
		Eventually(seen).WithTimeout(waitTimeout).Should(Receive(&request))
		Expect(request.RequestURI).To(Equal("/a?x=1"))
		Expect(request.Host).To(Equal("gravure.example"))
	})

	// Guards against a body that is modified while it is forwarded.
	DescribeTable("is forwarded with its body",
		func(header, body, want string) {
			s := serve(standin.RespondToEach(plainResponse))
			sys := startSystem(testService(s.Address()))
			response, _ := sys.roundTrip(postLines + header + "\r\n" + body)
			Expect(response.StatusCode).To(Equal(200))
			Expect(s.Requests()).To(Equal([]string{"POST /a " + want}))
		},
		Entry("of known length", "Content-Length: 4\r\n", "urns", "urns"),
		Entry("chunked", "Transfer-Encoding: chunked\r\n", "2\r\nur\r\n2\r\nns\r\n0\r\n\r\n", "urns"),
		Entry("chunked with trailers", "Transfer-Encoding: chunked\r\nTrailer: X\r\n", "4\r\nurns\r\n0\r\nX: y\r\n\r\n", "urns"),
		Entry("that is empty", "Content-Length: 0\r\n", "", ""),
		Entry("without a content length", "", "", ""),
		Entry("as a form", "Content-Type: multipart/form-data; boundary=b\r\nContent-Length: 8\r\n", "no form!", "no form!"),
		Entry("that is long", "Content-Length: 200000\r\n", strings.Repeat("urns", 50000), strings.Repeat("urns", 50000)),
		Entry("that is longer than the library's limit", "Content-Length: 6000000\r\n", strings.Repeat("urns", 1500000), strings.Repeat("urns", 1500000)),
		Entry("that is long and chunked", "Transfer-Encoding: chunked\r\n",
			strings.Repeat("4e20\r\n"+strings.Repeat("urns", 5000)+"\r\n", 10)+"0\r\n\r\n", strings.Repeat("urns", 50000)),
	)

	// Guards against a caller that waits forever for the interim response 100
	// Continue.
	DescribeTable("that expects 100 Continue receives it before its body is read",
		func(length string, body string) {
			s := serve(standin.RespondToEach(plainResponse))
			sys := startSystem(testService(s.Address()))
			c := sys.dial()
			c.send(postLines + "Expect: 100-continue\r\nContent-Length: " + length + "\r\n\r\n")
			Expect(c.reader.ReadString('\n')).To(Equal("HTTP/1.1 100 Continue\r\n"))
			Expect(c.reader.ReadString('\n')).Error().NotTo(HaveOccurred())
			c.send(body)
			response, _ := c.readResponse("POST")
			Expect(response.StatusCode).To(Equal(200))
			Expect(s.Requests()).To(Equal([]string{"POST /a " + body}))
		},
		Entry("with a short body", "4", "urns"),
		Entry("with a long body", "200000", strings.Repeat("urns", 50000)),
	)

	// Guards against a refusal that the caller cannot read because it is still
	// sending when the connection is closed.
	It("receives its refusal while its long body is still being sent", func() {
		sys := startSystem(testService("127.0.0.1:1"))
		c := sys.dial()
		go io.WriteString(c, postLines+"Content-Length: 2000000\r\n\r\n"+strings.Repeat("urns", 500000))
		response, _ := c.readResponse("POST")
		Expect(response.Header.Get("Wisteriapond-Outcome")).To(Equal("not-run"))
		Expect(response.Close).To(BeTrue())
	})

	// Guards against a retry that sends only part of a body.
	It("with a long body is not retried once the body was read", func() {
		refusing := func() *standin.RawServer {
			return serve(standin.RespondToEach("HTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"))
		}
		a, b := refusing(), refusing()
		sys := startSystem(testService(a.Address(), b.Address()))
		response, _ := sys.roundTrip(postLines + "Content-Length: 200000\r\n\r\n" + strings.Repeat("urns", 50000))
		Expect(response.StatusCode).To(Equal(503))
		Expect(response.Header.Get("Wisteriapond-Outcome")).To(Equal("not-run"))
		Expect(append(a.Requests(), b.Requests()...)).To(HaveLen(1))
	})

	// Guards against failing an order that another backend server would accept.
	It("with a short body is retried on another backend server when it was not run", func() {
		a := serve(standin.RespondToEach("HTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"))
		b := serve(standin.RespondToEach(plainResponse))
		sys := startSystem(testService(a.Address(), b.Address(), b.Address()))
		for range 4 {
			response, body := sys.roundTrip(postLines + "Content-Length: 4\r\n\r\nurns")
			Expect(response.StatusCode).To(Equal(200))
			Expect(body).To(Equal("urns"))
		}
		Expect(b.Requests()).To(HaveLen(4))
	})
})
