package backend_test

import (
	"io"
	"net"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/valyala/fasthttp"

	"wisteriapond/config"
	"wisteriapond/core"
	"wisteriapond/outcome"
	"wisteriapond/standin"
)

const statusOK = "HTTP/1.1 200 OK\r\n"

// Guards against incomplete or malformed responses that are accepted as
// complete, and against connections that carry the rest of one response into
// the next exchange.
var _ = DescribeTable("a response",
	func(raw string, cause outcome.Cause, body string) {
		s := serve(standin.RespondOnce(raw))
		f := newFixture()
		for range 2 {
			// Each attempt requires a new connection: the server closes every
			// connection, and the close may arrive after the idle check of the
			// next attempt.
			command := f.command(s.Address())
			command.MaxIdle = 0
			x := f.run(command, get())
			Expect(x.Facts.Cause).To(Equal(cause))
			Expect(x.Facts.Wrote).To(BeTrue())
			if cause == outcome.CauseNone {
				Expect(string(x.BufferedBody())).To(Equal(body))
				Expect(x.Facts.Bytes).To(BeEquivalentTo(len(body)))
			}
		}
		Expect(s.Accepted()).To(BeEquivalentTo(2))
	},
	Entry("with a content length", statusOK+"Content-Length: 4\r\n\r\nurns", outcome.CauseNone, "urns"),
	Entry("chunked", statusOK+"Transfer-Encoding: chunked\r\n\r\n2\r\nur\r\n2\r\nns\r\n0\r\n\r\n", outcome.CauseNone, "urns"),
	Entry("chunked with a content length", statusOK+"Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nurns\r\n0\r\n\r\n", outcome.CauseNone, "urns"),
	Entry("that ends with the connection", statusOK+"\r\nurns", outcome.CauseNone, "urns"),
	Entry("after 1xx responses", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"+statusOK+"Content-Length: 4\r\n\r\nurns", outcome.CauseNone, "urns"),
	Entry("shorter than its content length", statusOK+"Content-Length: 9\r\n\r\nurns", outcome.CauseTruncated, ""),
	Entry("chunked without the last chunk", statusOK+"Transfer-Encoding: chunked\r\n\r\n4\r\nurns\r\n", outcome.CauseTruncated, ""),
	Entry("chunked and truncated within a chunk", statusOK+"Transfer-Encoding: chunked\r\n\r\n9\r\nurns", outcome.CauseTruncated, ""),
	Entry("chunked without the final line", statusOK+"Transfer-Encoding: chunked\r\n\r\n4\r\nurns\r\n0\r\n", outcome.CauseTruncated, ""),
	Entry("with a malformed chunk size", statusOK+"Transfer-Encoding: chunked\r\n\r\nzz\r\nurns\r\n0\r\n\r\n", outcome.CauseMalformed, ""),
	Entry("with two content lengths", statusOK+"Content-Length: 4\r\nContent-Length: 5\r\n\r\nurns", outcome.CauseMalformed, ""),
	Entry("with an unknown transfer coding", statusOK+"Transfer-Encoding: gzip, chunked\r\n\r\nurns", outcome.CauseMalformed, ""),
	Entry("that switches protocols", "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n", outcome.CauseMalformed, ""),
	Entry("that is not HTTP", "urns urns urns\r\n\r\n", outcome.CauseMalformed, ""),
	Entry("with a header section that is too large", statusOK+"X: "+strings.Repeat("x", 40<<10)+"\r\n\r\n", outcome.CauseMalformed, ""),
	Entry("truncated within the header section", statusOK+"Content-Le", outcome.CauseReset, ""),
	Entry("that is empty", "", outcome.CauseReset, ""),
)

// Guards against reusing a connection that is not positioned at the start of a
// response.
var _ = DescribeTable("a kept-alive connection",
	func(raw string, connections int) {
		s := serve(standin.RespondToEach(raw))
		f := newFixture()
		for range 3 {
			x := f.run(f.command(s.Address()), get())
			Expect(x.Facts.Cause).To(Equal(outcome.CauseNone))
		}
		Expect(s.Accepted()).To(BeEquivalentTo(connections))
	},
	Entry("is reused", statusOK+"Content-Length: 4\r\n\r\nurns", 1),
	Entry("is reused after a chunked response", statusOK+"Transfer-Encoding: chunked\r\n\r\n4\r\nurns\r\n0\r\n\r\n", 1),
	Entry("is reused after trailers", statusOK+"Transfer-Encoding: chunked\r\nTrailer: X\r\n\r\n4\r\nurns\r\n0\r\nX: y\r\n\r\n", 1),
	Entry("is reused after 204", "HTTP/1.1 204 No Content\r\n\r\n", 1),
	Entry("is reused after 304 with a content length", "HTTP/1.1 304 Not Modified\r\nContent-Length: 9\r\n\r\n", 1),
	Entry("is closed when the server requests it", statusOK+"Connection: close\r\nContent-Length: 4\r\n\r\nurns", 3),
	Entry("is closed after excess bytes", statusOK+"Content-Length: 4\r\n\r\nurnsHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother", 3),
	Entry("is closed after an HTTP/1.0 response", "HTTP/1.0 200 OK\r\nContent-Length: 4\r\n\r\nurns", 3),
)

var _ = Describe("the end of an attempt", func() {
	// Guards against a hidden retry in the HTTP library: one attempt must send
	// the request once.
	It("is a reset, after a single request, when the server reads everything and closes", func() {
		s := serve(func(c *standin.RawConn) { c.ReadRequest() })
		f := newFixture()
		command := f.command(s.Address())
		command.MaxIdle = 0
		x := f.run(command, post("order"))
		Expect(x.Facts).To(HaveField("Cause", outcome.CauseReset))
		Expect(outcome.Classify(x.Facts, 0)).To(Equal(outcome.Unknown))
		Consistently(s.HeaderSections, 200*time.Millisecond).Should(HaveLen(1))
	})

	// Guards against treating a connection reset as the end of a body.
	It("is truncated when the connection is reset within the body", func() {
		s := serve(func(c *standin.RawConn) {
			c.ReadRequest()
			io.WriteString(c, statusOK+"\r\nurns")
			c.Conn.(*net.TCPConn).SetLinger(0)
		})
		f := newFixture()
		x := f.run(f.command(s.Address()), get())
		Expect(x.Facts.Cause).To(BeElementOf(outcome.CauseTruncated, outcome.CauseReset))
	})

	// Guards against reporting that an order may have run although the
	// connection was refused.
	It("is classified as not run when no connection can be opened", func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		l.Close()
		f := newFixture()
		x := f.run(f.command(l.Addr().String()), get())
		Expect(x.Facts.Cause).To(Equal(outcome.CauseDial))
		Expect(outcome.Classify(x.Facts, 0)).To(Equal(outcome.NotRun))
	})

	// Guards against acting on stale state after a pause of the process,
	// including one between opening the connection and writing the first byte.
	// The deadline of the request is not reached in either case.
	DescribeTable("is an expiry without a request when the command expired",
		func(readings int64, connections int) {
			s := serve(standin.RespondToEach(statusOK + "Content-Length: 0\r\n\r\n"))
			f := newFixture()
			command := f.command(s.Address())
			command.Deadline = command.StartBefore.Add(time.Hour)
			f.clock.jump(readings, 2*time.Minute)
			x := f.run(command, get())
			Expect(x.Facts.Cause).To(Equal(outcome.CauseExpired))
			Expect(x.Facts.Wrote).To(BeFalse())
			Expect(f.pool.OpenConnections(s.Address())).To(BeZero())
			Eventually(s.Accepted).WithTimeout(waitTimeout).Should(BeEquivalentTo(connections))
			Expect(s.HeaderSections()).To(BeEmpty())
		},
		Entry("before the attempt started", int64(0), 0),
		Entry("while the connection was being opened", int64(1), 1),
	)

	// Guards against a silent server that blocks a request forever.
	It("is a timeout when no response arrives", func() {
		s := serve(func(c *standin.RawConn) { c.ReadRequest(); c.ReadRequest() })
		f := newFixture()
		command := f.command(s.Address())
		command.Deadline = f.clock.Now().Add(50 * time.Millisecond)
		x := f.run(command, get())
		Expect(x.Facts.Cause).To(Equal(outcome.CauseTimeout))
		Expect(outcome.Classify(x.Facts, 0)).To(Equal(outcome.Unknown))
	})

	// Guards against an attempt that continues after the caller disconnected.
	It("is a prompt cancellation that closes the connection", func() {
		closed := make(chan struct{})
		s := serve(func(c *standin.RawConn) {
			c.ReadRequest()
			c.ReadRequest()
			close(closed)
		})
		f := newFixture()
		started, ended := f.background(f.command(s.Address()), get())
		Eventually(s.HeaderSections).WithTimeout(waitTimeout).Should(HaveLen(1))
		(<-started).Cancel()
		Eventually(ended).WithTimeout(waitTimeout).Should(Receive(HaveField("Facts.Cause", outcome.CauseCanceled)))
		Eventually(closed).WithTimeout(waitTimeout).Should(BeClosed())
	})

	// Guards against losing what a backend server reports about itself in its
	// response header.
	It("reports the facts from the response header", func() {
		s := serve(standin.RespondToEach("HTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\nWisteriapond-Load: 3\r\nWisteriapond-Draining: 1\r\n" +
			"Wisteriapond-Gave-Up: 1\r\nWisteriapond-Outcome: not-run\r\nRetry-After: 2\r\nConnection: X-Hop\r\nX-Hop: 1\r\nX-Kept: 1\r\nContent-Length: 0\r\n\r\n"))
		f := newFixture()
		command := f.command(s.Address())
		command.NotRun = config.NotRunForm{Status: 503, Header: "X-Not-Run", Value: "1"}
		x := f.run(command, get())
		Expect(x.Facts).To(Equal(outcome.Facts{
			Wrote: true, Status: 503, NotRunHeader: true, GaveUp: true, Draining: true, Load: 3, RetryAfter: 2 * time.Second,
		}))
		var header fasthttp.ResponseHeader
		x.CopyHeader(&header)
		Expect(header.Peek("Wisteriapond-Outcome")).To(BeNil())
		Expect(header.Peek("Wisteriapond-Load")).To(BeNil())
		Expect(header.Peek("X-Hop")).To(BeNil())
		Expect(string(header.Peek("X-Kept"))).To(Equal("1"))
		Expect(string(header.Peek("Wisteriapond-Gave-Up"))).To(Equal("1"))
	})
})

// Guards against reading probe responses of unlimited size, and against probes
// that start after a pause of the process.
var _ = Describe("a probe", func() {
	probe := func(address string, limit int64, late time.Duration) outcome.Facts {
		f := newFixture()
		f.clock.offset.Store(int64(late))
		facts, _ := f.pool.Probe(GinkgoT().Context(), f.clock, core.StartProbe{
			Address:     address,
			StartBefore: core.Instant(time.Minute),
			Probe:       config.Probe{Path: "/load", Timeout: 5 * time.Second, AnswerLimit: limit},
		})
		return facts
	}

	It("reports the response", func() {
		s := serve(standin.RespondToEach("HTTP/1.1 200 OK\r\nWisteriapond-Load: 2\r\nContent-Length: 4\r\n\r\nfine"))
		Expect(probe(s.Address(), 1024, 0)).To(Equal(outcome.Facts{Wrote: true, Status: 200, Load: 2, Bytes: 4}))
		Expect(s.HeaderSections()).To(ConsistOf(ContainSubstring("GET /load HTTP/1.1\r\n")))
	})

	It("cuts the response off at the limit", func() {
		s := serve(func(c *standin.RawConn) {
			c.ReadRequest()
			io.WriteString(c, statusOK+"Content-Length: 1000000\r\n\r\n")
			io.WriteString(c, strings.Repeat("x", 4096))
			c.ReadRequest()
		})
		facts := probe(s.Address(), 1024, 0)
		Expect(facts.Cause).To(Equal(outcome.CauseNone))
		Expect(facts.Status).To(Equal(200))
		Expect(facts.Bytes).To(BeNumerically("<", 1024))
	})

	It("does not start after its expiry", func() {
		s := serve(standin.RespondToEach(statusOK + "Content-Length: 0\r\n\r\n"))
		Expect(probe(s.Address(), 1024, time.Hour).Cause).To(Equal(outcome.CauseExpired))
		Expect(s.Accepted()).To(BeZero())
	})
})
