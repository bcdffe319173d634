package caller_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"wisteriapond/standin"
)

var long = strings.Repeat("archive ", 40000)

var _ = Describe("an answer", func() {
	// Guards against a change of status, head or framing on the way.
	DescribeTable("passes as it is",
		func(method, raw string, want func(*http.Response, string)) {
			handle := standin.RespondToEach(raw)
			if strings.HasPrefix(raw, "HTTP/1.0") {
				handle = standin.RespondOnce(raw)
			}
			s := serve(handle)
			sys := start(service(s.Address()))
			c := sys.dial()
			for range 2 {
				c.send(method + " /a HTTP/1.1\r\nHost: h\r\n\r\n")
				response, body := c.answer(method)
				Expect(response.Header.Get("Wisteriapond-Upstream")).To(BeElementOf("backend-1", "backend-2", "backend-3"))
				want(response, body)
			}
		},
		Entry("with its length", "GET", "HTTP/1.1 200 Fine\r\nContent-Length: 4\r\nDate: then\r\nServer: old\r\nSet-Cookie: a=b; Path=/\r\nSet-Cookie: c=d\r\n\r\nurns", func(r *http.Response, body string) {
			Expect(r.Status).To(Equal("200 Fine"))
			Expect(body).To(Equal("urns"))
			Expect(r.Header.Get("Date")).NotTo(BeEmpty())
			r.Header.Del("Date")
			r.Header.Del("Wisteriapond-Upstream")
			Expect(r.Header).To(Equal(http.Header{
				"Content-Length": {"4"}, "Server": {"old"}, "Set-Cookie": {"a=b; Path=/", "c=d"},
			}))
		}),
		Entry("in chunks, without trailers", "GET", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X\r\n\r\n4\r\nurns\r\n0\r\nX: y\r\n\r\n", func(r *http.Response, body string) {
			Expect(r.TransferEncoding).To(Equal([]string{"chunked"}))
			Expect(body).To(Equal("urns"))
			Expect(r.Trailer).To(BeEmpty())
			Expect(r.Header.Get("X")).To(BeEmpty())
		}),
		Entry("long, in chunks", "GET", fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\nX: y\r\n\r\n", len(long), long), func(r *http.Response, body string) {
			Expect(r.TransferEncoding).To(Equal([]string{"chunked"}))
			Expect(body == long).To(BeTrue())
			Expect(r.Trailer).To(BeEmpty())
		}),
		Entry("without bytes", "GET", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", func(r *http.Response, body string) {
			Expect(r.ContentLength).To(BeZero())
		}),
		Entry("without bytes, in chunks", "GET", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", func(r *http.Response, body string) {
			Expect(r.TransferEncoding).To(Equal([]string{"chunked"}))
			Expect(body).To(BeEmpty())
		}),
		Entry("without bytes, up to the end of the connection", "GET", "HTTP/1.0 200 OK\r\n\r\n", func(r *http.Response, body string) {
			Expect(r.ContentLength).To(BeZero())
			Expect(body).To(BeEmpty())
		}),
		Entry("to HEAD", "HEAD", "HTTP/1.1 200 OK\r\nContent-Length: 4096\r\n\r\n", func(r *http.Response, _ string) {
			Expect(r.ContentLength).To(BeEquivalentTo(4096))
		}),
		Entry("to HEAD, in chunks", "HEAD", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", func(r *http.Response, _ string) {
			Expect(r.TransferEncoding).To(Equal([]string{"chunked"}))
		}),
		Entry("204", "GET", "HTTP/1.1 204 No Content\r\nX: y\r\n\r\n", func(r *http.Response, _ string) {
			Expect(r.StatusCode).To(Equal(204))
			Expect(r.Header).NotTo(HaveKey("Content-Length"))
		}),
		Entry("304", "GET", "HTTP/1.1 304 Not Modified\r\nEtag: x\r\nContent-Length: 9\r\n\r\n", func(r *http.Response, _ string) {
			Expect(r.StatusCode).To(Equal(304))
			Expect(r.Header.Get("Etag")).To(Equal("x"))
		}),
		Entry("after 1xx", "GET", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\n\r\n"+plain, func(_ *http.Response, body string) {
			Expect(body).To(Equal("urns"))
		}),
	)

	// Guards against more than one run of an order, and against an answer that
	// says less than what is known.
	DescribeTable("that is not whole makes the outcome of an order unknown, after one run",
		func(raw, reason string) {
			a, b := serve(standin.RespondOnce(raw)), serve(standin.RespondOnce(raw))
			sys := start(service(a.Address(), b.Address()))
			response, body := sys.ask(order + "Content-Length: 4\r\n\r\nurns")
			Expect(response.StatusCode).To(Equal(502))
			Expect(response.Header.Get("Wisteriapond-Outcome")).To(Equal("unknown"))
			Expect(response.Header.Get("Wisteriapond-Reason")).To(Equal(reason))
			Expect(response.Header.Get("Wisteriapond-Gave-Up")).To(Equal("1"))
			Expect(body).To(ContainSubstring(`"service":"catalogue"`))
			Expect(append(a.Requests(), b.Requests()...)).To(HaveLen(1))
		},
		Entry("none at all", "", "reset"),
		Entry("short of its length", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nurns", "truncated"),
		Entry("chunks without their end", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nurns\r\n", "truncated"),
		Entry("malformed", "urns\r\n\r\n", "malformed"),
	)

	// Guards against a truncated answer that reaches a caller although another
	// backend server has the whole one.
	It("that is short and broken is read again elsewhere for a lookup", func() {
		a := serve(standin.RespondOnce("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nur\r\n"))
		b := serve(standin.RespondToEach(plain))
		sys := start(service(a.Address(), b.Address(), b.Address()))
		for range 4 {
			_, body := sys.ask(lead + "\r\n")
			Expect(body).To(Equal("urns"))
		}
	})

	// Guards against a broken download that looks complete to the caller.
	DescribeTable("that breaks after its first bytes breaks the caller's connection",
		func(version, raw string) {
			s := serve(standin.RespondOnce("HTTP/1.1 200 OK\r\n" + raw))
			sys := start(service(s.Address()))
			c := sys.dial()
			c.send("GET /a " + version + "\r\nHost: h\r\n\r\n")
			response, err := http.ReadResponse(c.reader, nil)
			if err != nil {
				return // The reset may overtake the head.
			}
			_, err = io.ReadAll(response.Body)
			Expect(err).To(HaveOccurred())
		},
		Entry("with its length", "HTTP/1.1", "Content-Length: 400000\r\n\r\n"+long),
		Entry("in chunks", "HTTP/1.1", fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(long), long)),
		Entry("to a caller that knows no chunks", "HTTP/1.0", fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(long), long)),
	)

	// Guards against chunks for a caller that cannot read them.
	DescribeTable("in chunks reaches a caller of HTTP/1.0",
		func(want string) {
			s := serve(standin.RespondToEach(fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(want), want)))
			sys := start(service(s.Address()))
			response, body := sys.ask("GET /a HTTP/1.0\r\nHost: h\r\n\r\n")
			Expect(response.TransferEncoding).To(BeEmpty())
			Expect(body == want).To(BeTrue())
		},
		Entry("short", "urns"),
		Entry("long", long),
	)

	// Guards against a deadline that nobody keeps.
	It("that comes too late is a timeout", func() {
		s := serve(func(c *standin.RawConn) { c.ReadRequest(); c.ReadRequest() })
		sys := start(service(s.Address()))
		response, _ := sys.ask(order + "Wisteriapond-Timeout: 100\r\nContent-Length: 4\r\n\r\nurns")
		Expect(response.StatusCode).To(Equal(504))
		Expect(response.Header.Get("Wisteriapond-Reason")).To(Equal("timeout"))
	})

	// Guards against a wait for the rest of a body that nobody wants.
	It("that comes before the whole request reaches the caller", func() {
		s := serve(func(c *standin.RawConn) {
			http.ReadRequest(c.Reader)
			io.WriteString(c, "HTTP/1.1 413 Too Large\r\nContent-Length: 5\r\n\r\nlarge")
			time.Sleep(50 * time.Millisecond)
		})
		sys := start(service(s.Address()))
		c := sys.dial()
		c.send(order + "Content-Length: 2000000\r\n\r\n" + strings.Repeat("urns", 5000))
		response, body := c.answer("POST")
		Expect(response.StatusCode).To(Equal(413))
		Expect(response.Close).To(BeTrue())
		Expect(body).To(Equal("large"))
	})

	// Guards against a download that is cut since the upload is not over.
	It("that is long and comes before the whole request reaches the caller whole", func() {
		s := serve(func(c *standin.RawConn) {
			http.ReadRequest(c.Reader)
			io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 320000\r\n\r\n"+long)
			io.Copy(io.Discard, c.Reader)
		})
		sys := start(service(s.Address()))
		c := sys.dial()
		c.send(order + "Content-Length: 2000000\r\n\r\n" + strings.Repeat("urns", 5000))
		response, body := c.answer("POST")
		Expect(response.Close).To(BeTrue())
		Expect(body == long).To(BeTrue())
	})
})
