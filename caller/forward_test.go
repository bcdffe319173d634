package caller_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"wisteriapond/standin"
	"wisteriapond/testsuite"
)

var longBody = strings.Repeat("archive ", 40000)

var _ = Describe("a response", func() {
	// Guards against changing the status, header or framing of a response.
	DescribeTable("is forwarded unchanged",
		func(method, raw string, want func(*http.Response, string)) {
			handle := standin.RespondToEach(raw)
			if strings.HasPrefix(raw, "HTTP/1.0") {
				handle = standin.RespondOnce(raw)
			}
			s := serve(handle)
			sys := startSystem(testService(s.Address()))
			c := sys.dial()
			for range 2 {
				c.send(method + " /a HTTP/1.1\r\nHost: h\r\n\r\n")
				response, body := c.readResponse(method)
				Expect(response.Header.Get("Wisteriapond-Upstream")).To(BeElementOf("backend-1", "backend-2", "backend-3"))
				want(response, body)
			}
		},
		Entry("with a content length", "GET", "HTTP/1.1 200 Fine\r\nContent-Length: 4\r\nDate: then\r\nServer: old\r\nSet-Cookie: a=b; Path=/\r\nSet-Cookie: c=d\r\n\r\nurns", func(r *http.Response, body string) {
			Expect(r.Status).To(Equal("200 Fine"))
			Expect(body).To(Equal("urns"))
			Expect(r.Header.Get("Date")).NotTo(BeEmpty())
			r.Header.Del("Date")
			r.Header.Del("Wisteriapond-Upstream")
			Expect(r.Header).To(Equal(http.Header{
				"Content-Length": {"4"}, "Server": {"old"}, "Set-Cookie": {"a=b; Path=/", "c=d"},
			}))
		}),
		Entry("chunked, without trailers", "GET", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X\r\n\r\n4\r\nurns\r\n0\r\nX: y\r\n\r\n", func(r *http.Response, body string) {
			Expect(r.TransferEncoding).To(Equal([]string{"chunked"}))
			Expect(body).To(Equal("urns"))
			Expect(r.Trailer).To(BeEmpty())
			Expect(r.Header.Get("X")).To(BeEmpty())
		}),
		Entry("long and chunked", "GET", fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\nX: y\r\n\r\n", len(longBody), longBody), func(r *http.Response, body string) {
			Expect(r.TransferEncoding).To(Equal([]string{"chunked"}))
			Expect(body == longBody).To(BeTrue())
			Expect(r.Trailer).To(BeEmpty())
		}),
		Entry("with an empty body", "GET", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", func(r *http.Response, body string) {
			Expect(r.ContentLength).To(BeZero())
		}),
		Entry("with an empty chunked body", "GET", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", func(r *http.Response, body string) {
			Expect(r.TransferEncoding).To(Equal([]string{"chunked"}))
			Expect(body).To(BeEmpty())
		}),
		Entry("with an empty body that ends with the connection", "GET", "HTTP/1.0 200 OK\r\n\r\n", func(r *http.Response, body string) {
			Expect(r.ContentLength).To(BeZero())
			Expect(body).To(BeEmpty())
		}),
		Entry("to HEAD", "HEAD", "HTTP/1.1 200 OK\r\nContent-Length: 4096\r\n\r\n", func(r *http.Response, _ string) {
			Expect(r.ContentLength).To(BeEquivalentTo(4096))
		}),
		Entry("to HEAD, chunked", "HEAD", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", func(r *http.Response, _ string) {
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
		Entry("after 1xx", "GET", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\n\r\n"+plainResponse, func(_ *http.Response, body string) {
			Expect(body).To(Equal("urns"))
		}),
	)

	// Guards against running an order more than once, and against reporting its
	// outcome less precisely than it is known.
	DescribeTable("that is incomplete makes the outcome of an order unknown, without a retry",
		func(raw, reason string) {
			a, b := serve(standin.RespondOnce(raw)), serve(standin.RespondOnce(raw))
			sys := startSystem(testService(a.Address(), b.Address()))
			response, body := sys.roundTrip(postLines + "Content-Length: 4\r\n\r\nurns")
			Expect(response.StatusCode).To(Equal(502))
			Expect(response.Header.Get("Wisteriapond-Outcome")).To(Equal("unknown"))
			Expect(response.Header.Get("Wisteriapond-Reason")).To(Equal(reason))
			Expect(response.Header.Get("Wisteriapond-Gave-Up")).To(Equal("1"))
			Expect(body).To(ContainSubstring(`"service":"catalogue"`))
			Expect(append(a.Requests(), b.Requests()...)).To(HaveLen(1))
		},
		Entry("empty", "", "reset"),
		Entry("shorter than its content length", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nurns", "truncated"),
		Entry("chunked without the last chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nurns\r\n", "truncated"),
		Entry("malformed", "urns\r\n\r\n", "malformed"),
		Entry("cut in the status line", "HTTP/1.1 200 O", "reset"),
		Entry("cut after the status line", "HTTP/1.1 200 OK\r\n", "reset"),
		Entry("cut in a field", "HTTP/1.1 200 OK\r\nX-A: a\r\nContent-Le", "reset"),
		Entry("cut in a length", "HTTP/1.1 200 OK\r\nX-A: a\r\nContent-Length: 1", "reset"),
		Entry("cut before the last line of the header", "HTTP/1.1 200 OK\r\nX-A: a\r\n", "reset"),
		Entry("cut in the last line of the header", "HTTP/1.1 200 OK\r\nX-A: a\r\n\r", "reset"),
		Entry("cut after an interim response", "HTTP/1.1 100 Continue\r\n\r\n", "reset"),
	)

	// Guards against forwarding a truncated response to a caller although
	// another backend server has the complete one.
	DescribeTable("that is short and truncated is replaced by one of another backend server for a lookup",
		func(raw string) {
			a := serve(standin.RespondOnce(raw))
			b := serve(standin.RespondToEach(plainResponse))
			sys := startSystem(testService(a.Address(), b.Address(), b.Address()))
			for range 4 {
				_, body := sys.roundTrip(getLines + "\r\n")
				Expect(body).To(Equal("urns"))
			}
		},
		Entry("in its body", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nur\r\n"),
		Entry("in its header", "HTTP/1.1 200 OK\r\nX-A: a\r\n"),
		Entry("in the last line of its header", "HTTP/1.1 200 OK\r\nX-A: a\r\n\r"),
	)

	// Guards against a truncated download that appears complete to the caller.
	DescribeTable("that is truncated after its first bytes resets the caller's connection",
		func(version, raw string) {
			s := serve(standin.RespondOnce("HTTP/1.1 200 OK\r\n" + raw))
			sys := startSystem(testService(s.Address()))
			c := sys.dial()
			c.send("GET /a " + version + "\r\nHost: h\r\n\r\n")
			response, err := http.ReadResponse(c.reader, nil)
			if err != nil {
				return // The reset may arrive before the response header was read.
			}
			_, err = io.ReadAll(response.Body)
			Expect(err).To(HaveOccurred())
		},
		Entry("with a content length", "HTTP/1.1", "Content-Length: 400000\r\n\r\n"+longBody),
		Entry("chunked", "HTTP/1.1", fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(longBody), longBody)),
		Entry("to a caller that does not support chunked bodies", "HTTP/1.0", fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(longBody), longBody)),
	)

	// Guards against sending a chunked body to a caller that cannot read it.
	DescribeTable("that is chunked reaches an HTTP/1.0 caller without chunks",
		func(want string) {
			s := serve(standin.RespondToEach(fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(want), want)))
			sys := startSystem(testService(s.Address()))
			response, body := sys.roundTrip("GET /a HTTP/1.0\r\nHost: h\r\n\r\n")
			Expect(response.TransferEncoding).To(BeEmpty())
			Expect(body == want).To(BeTrue())
		},
		Entry("short", "urns"),
		Entry("long", longBody),
	)

	// Guards against a deadline that is not enforced.
	It("that misses the deadline is reported as a timeout", func() {
		s := serve(func(c *standin.RawConn) { c.ReadRequest(); c.ReadRequest() })
		sys := startSystem(testService(s.Address()))
		response, _ := sys.roundTrip(postLines + "Wisteriapond-Timeout: 100\r\nContent-Length: 4\r\n\r\nurns")
		Expect(response.StatusCode).To(Equal(504))
		Expect(response.Header.Get("Wisteriapond-Reason")).To(Equal("timeout"))
	})

	// Guards against waiting for the rest of a request body that is no longer
	// needed.
	It("that arrives before the complete request reaches the caller", func() {
		s := serve(func(c *standin.RawConn) {
			http.ReadRequest(c.Reader)
			io.WriteString(c, "HTTP/1.1 413 Too Large\r\nContent-Length: 5\r\n\r\nlarge")
			time.Sleep(50 * time.Millisecond)
		})
		sys := startSystem(testService(s.Address()))
		c := sys.dial()
		c.send(postLines + "Content-Length: 2000000\r\n\r\n" + strings.Repeat("urns", 5000))
		response, body := c.readResponse("POST")
		Expect(response.StatusCode).To(Equal(413))
		Expect(response.Close).To(BeTrue())
		Expect(body).To(Equal("large"))
	})

	// Guards against truncating a download because the upload is still in
	// progress.
	It("that is long and arrives before the complete request reaches the caller completely", func() {
		s := serve(func(c *standin.RawConn) {
			http.ReadRequest(c.Reader)
			io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 320000\r\n\r\n"+longBody)
			io.Copy(io.Discard, c.Reader)
		})
		sys := startSystem(testService(s.Address()))
		c := sys.dial()
		c.send(postLines + "Content-Length: 2000000\r\n\r\n" + strings.Repeat("urns", 5000))
		response, body := c.readResponse("POST")
		Expect(response.Close).To(BeTrue())
		Expect(body == longBody).To(BeTrue())
	})
})

// Guards against a status that is none and is passed on, 000 even as a success, and
// against an order that is sent again after it.
var _ = DescribeTable("a response whose status is none is an unknown outcome",
	func(status string) {
		s := serve(standin.RespondToEach("HTTP/1.1 " + status + " OK\r\nContent-Length: 4\r\n\r\nurns"))
		sys := startSystem(testService(s.Address()))
		response, body := sys.roundTrip(postLines + "Content-Length: 4\r\n\r\nurns")
		Expect(response.StatusCode).To(Equal(502))
		Expect(response.Header.Get("Wisteriapond-Outcome")).To(Equal("unknown"))
		Expect(body).NotTo(ContainSubstring("urns"))
		Expect(s.Requests()).To(HaveLen(1))
	},
	Entry(nil, "000"), Entry(nil, "099"), Entry(nil, "600"), Entry(nil, "999"), Entry(nil, "0200"), Entry(nil, "2 0"),
)

// Guards against control bytes in the reason phrase, which callers get with the status.
var _ = DescribeTable("a response with a control byte in its reason phrase is an unknown outcome",
	func(reason string) {
		s := serve(standin.RespondToEach("HTTP/1.1 200 " + reason + "\r\nContent-Length: 4\r\n\r\nurns"))
		sys := startSystem(testService(s.Address()))
		response, _ := sys.roundTrip(postLines + "Content-Length: 4\r\n\r\nurns")
		Expect(response.StatusCode).To(Equal(502))
		Expect(response.Header.Get("Wisteriapond-Outcome")).To(Equal("unknown"))
		Expect(s.Requests()).To(HaveLen(1))
	},
	Entry("NUL", "O\x00K"), Entry("start of heading", "\x01"), Entry("carriage return", "O\rK"),
	Entry("escape", "OK\x1b[2J"), Entry("delete", "OK\x7f"),
)

// brokenFields are header lines whose names hold a blank or a control byte.
var brokenFields = []string{"X Field: 1", "X-Field : 1", "X\tField: 1", "X-Field\x00: 1", "\x01X-Field: 1", "X-Before: 1\r\n X-Field: 1", "X-Before: 1\n\x7fX-Field: 1", "Content-Length : 2"}

var _ = Describe("a response in whose header the name of a field is broken", func() {
	broken := func(field string) string {
		return "HTTP/1.1 200 OK\r\n" + field + "\r\nContent-Length: 4\r\n\r\nurns"
	}

	// Guards against a response that is passed on with a line that is no field, and against
	// an order that is sent again after it.
	It("makes the outcome of an order unknown", func() {
		for _, field := range brokenFields {
			s := serve(standin.RespondToEach(broken(field)))
			sys := startSystem(testService(s.Address()))
			response, body := sys.roundTrip(postLines + "Content-Length: 4\r\n\r\nurns")
			Expect(response.StatusCode).To(Equal(502), "%q", field)
			Expect(response.Header.Get("Wisteriapond-Outcome")).To(Equal("unknown"))
			Expect(response.Header.Get("Wisteriapond-Reason")).To(Equal("malformed"))
			Expect(body).NotTo(ContainSubstring("urns"))
			Expect(s.Requests()).To(HaveLen(1))
		}
	})

	// Guards against an order that is sent again because of a statement that it did not run
	// in a header that cannot be relied on.
	It("does not state that an order did not run", func() {
		s := serve(standin.RespondToEach("HTTP/1.1 503 Busy\r\nX-Not-Run : 1\r\nContent-Length: 0\r\n\r\n"))
		sys := startSystem(testService(s.Address()))
		response, _ := sys.roundTrip(postLines + "Content-Length: 4\r\n\r\nurns")
		Expect(response.StatusCode).To(Equal(502))
		Expect(response.Header.Get("Wisteriapond-Outcome")).To(Equal("unknown"))
		Expect(s.Requests()).To(HaveLen(1))
	})

	// Guards against a lookup that fails although another backend server has the response.
	It("is replaced by one of another backend server for a lookup", func() {
		for _, field := range brokenFields {
			a, b := serve(standin.RespondToEach(broken(field))), serve(standin.RespondToEach(plainResponse))
			sys := startSystem(testService(a.Address(), b.Address(), b.Address()))
			for range 4 {
				response, body := sys.roundTrip(getLines + "\r\n")
				Expect(response.StatusCode).To(Equal(200), "%q", field)
				Expect(response.Header).NotTo(HaveKey(ContainSubstring("Field")))
				Expect(body).To(Equal("urns"))
			}
		}
	})
})

var _ = Describe("a connection that is reset during an upload", func() {
	const uploadBytes = 32 << 20
	// beginUpload sends the header section of an order, and its body until the connection
	// is closed. The channel receives the error of the last write.
	beginUpload := func(sys *system, version, framing, bodyPart string) (*client, chan error) {
		c := sys.dial()
		ended := make(chan error, 1)
		c.send("POST /orders " + version + "\r\nHost: h\r\n" + framing + "\r\n\r\n")
		go func() {
			var err error
			for sent := 0; sent < uploadBytes && err == nil; sent += len(bodyPart) {
				_, err = io.WriteString(c, bodyPart)
			}
			ended <- err
		}()
		return c, ended
	}
	const chunkHeader = "200\r\n"
	part := strings.Repeat("u", 512)
	sized := fmt.Sprintf("Content-Length: %d", uploadBytes)

	// Guards against a part of a response that the caller gets as a complete one: without
	// a length, only the way in which the connection ends tells them apart.
	DescribeTable("makes the outcome of an order unknown whose response has no length",
		func(version, framing, bodyPart, response string) {
			s := serve(standin.ResetDuringUpload(response))
			sys := startSystem(testService(s.Address()))
			for range 20 {
				c, _ := beginUpload(sys, version, framing, bodyPart)
				response, body := c.readResponse("POST")
				Expect(response.StatusCode).To(Equal(502))
				Expect(response.Header.Get("Wisteriapond-Outcome")).To(Equal("unknown"))
				Expect(body).NotTo(ContainSubstring("urns"))
			}
		},
		Entry("sent with a length", "HTTP/1.1", sized, part, "HTTP/1.1 200 OK\r\n\r\nurns"),
		Entry("sent in chunks", "HTTP/1.1", "Transfer-Encoding: chunked", chunkHeader+part+"\r\n", "HTTP/1.1 200 OK\r\n\r\nurns"),
		Entry("and no body", "HTTP/1.1", sized, part, "HTTP/1.1 200 OK\r\n\r\n"),
		Entry("sent with HTTP/1.0", "HTTP/1.0", sized, part, "HTTP/1.0 200 OK\r\n\r\nurns"),
	)

	// Guards against a first attempt, to an upstream that cannot be reached, after which
	// the end of the response is judged otherwise.
	It("makes the outcome of an order unknown in a second attempt as well", func() {
		unreachable, err := testsuite.UnusedAddress()
		Expect(err).NotTo(HaveOccurred())
		s := serve(standin.ResetDuringUpload("HTTP/1.1 200 OK\r\n\r\nurns"))
		for range 20 {
			sys := startSystem(testService(unreachable, s.Address()))
			c, _ := beginUpload(sys, "HTTP/1.1", sized, part)
			response, body := c.readResponse("POST")
			Expect(response.StatusCode).To(Equal(502))
			Expect(response.Header.Get("Wisteriapond-Outcome")).To(Equal("unknown"))
			Expect(body).NotTo(ContainSubstring("urns"))
		}
	})

	// The response is too long to be held, so its first part is passed on before the reset.
	DescribeTable("leaves a long response without a length incomplete",
		func(version string) {
			s := serve(standin.ResetDuringUpload("HTTP/1.1 200 OK\r\n\r\n" + longBody))
			sys := startSystem(testService(s.Address()))
			for range 20 {
				c, ended := beginUpload(sys, version, sized, part)
				response, err := http.ReadResponse(c.reader, nil)
				if err != nil || response.StatusCode == 502 {
					continue // The reset may arrive before the header of the response is read.
				}
				if _, err = io.Copy(io.Discard, response.Body); err == nil {
					// A caller is told of a reset once, by a read or by a write.
					Expect(<-ended).To(MatchError(syscall.ECONNRESET))
				}
			}
		},
		Entry("for a caller of HTTP/1.1", "HTTP/1.1"),
		Entry("for a caller of HTTP/1.0", "HTTP/1.0"),
	)
})

// Guards against a broken response that is checked only in a first attempt. The first one
// ends with a refusal of the server.
var _ = DescribeTable("a response to a second attempt that is broken is an unknown outcome",
	func(broken string) {
		const refusal = "HTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
		for lines, mayRepeat := range map[string]bool{postLines + "Content-Length: 4\r\n\r\nurns": false, getLines + "\r\n": true} {
			var attempts atomic.Int64
			respond := func(c *standin.RawConn) {
				for c.ReadRequest() != nil {
					if attempts.Add(1) > 1 {
						io.WriteString(c, broken)
						return
					}
					io.WriteString(c, refusal)
				}
			}
			a, b := serve(respond), serve(respond)
			sys := startSystem(testService(a.Address(), b.Address()))
			response, body := sys.roundTrip(lines)
			Expect(response.StatusCode).To(Equal(502))
			Expect(response.Header.Get("Wisteriapond-Outcome")).To(Equal("unknown"))
			Expect(body).NotTo(ContainSubstring("urns"))
			Expect(attempts.Load()).To(BeNumerically(">=", 2))
			if !mayRepeat {
				Expect(attempts.Load()).To(BeEquivalentTo(2))
			}
		}
	},
	Entry("with a blank in a name", "HTTP/1.1 200 OK\r\nX Field: 1\r\nContent-Length: 4\r\n\r\nurns"),
	Entry("with a blank behind the name of the length", "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\nurns"),
	Entry("with a blank in the statement not to have run", "HTTP/1.1 503 Busy\r\nX-Not-Run : 1\r\nContent-Length: 0\r\n\r\n"),
	Entry("with a status of 000", "HTTP/1.1 000 OK\r\nContent-Length: 4\r\n\r\nurns"),
	Entry("cut in its header", "HTTP/1.1 200 OK\r\nX-A: a\r\n"),
)
