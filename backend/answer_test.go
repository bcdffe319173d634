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

const ok = "HTTP/1.1 200 OK\r\n"

// Guards against answers that look whole but are not, and against connections
// that carry the rest of one answer into the next exchange.
var _ = DescribeTable("an answer",
	func(raw string, cause outcome.Cause, body string) {
		s := serve(standin.RespondOnce(raw))
		b := newBench()
		for range 2 {
			// The server closes each connection, and its end may come after the
			// idle check of the next attempt.
			command := b.command(s.Address())
			command.MaxIdle = 0
			x := b.run(command, get())
			Expect(x.Facts.Cause).To(Equal(cause))
			Expect(x.Facts.Wrote).To(BeTrue())
			if cause == outcome.CauseNone {
				Expect(string(x.Held())).To(Equal(body))
				Expect(x.Facts.Bytes).To(BeEquivalentTo(len(body)))
			}
		}
		Expect(s.Accepted()).To(BeEquivalentTo(2))
	},
	Entry("with its length", ok+"Content-Length: 4\r\n\r\nurns", outcome.CauseNone, "urns"),
	Entry("in chunks", ok+"Transfer-Encoding: chunked\r\n\r\n2\r\nur\r\n2\r\nns\r\n0\r\n\r\n", outcome.CauseNone, "urns"),
	Entry("in chunks with a length", ok+"Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nurns\r\n0\r\n\r\n", outcome.CauseNone, "urns"),
	Entry("that ends with the connection", ok+"\r\nurns", outcome.CauseNone, "urns"),
	Entry("after 1xx answers", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"+ok+"Content-Length: 4\r\n\r\nurns", outcome.CauseNone, "urns"),
	Entry("shorter than its length", ok+"Content-Length: 9\r\n\r\nurns", outcome.CauseTruncated, ""),
	Entry("in chunks without the end", ok+"Transfer-Encoding: chunked\r\n\r\n4\r\nurns\r\n", outcome.CauseTruncated, ""),
	Entry("in chunks cut within one", ok+"Transfer-Encoding: chunked\r\n\r\n9\r\nurns", outcome.CauseTruncated, ""),
	Entry("in chunks without the last line", ok+"Transfer-Encoding: chunked\r\n\r\n4\r\nurns\r\n0\r\n", outcome.CauseTruncated, ""),
	Entry("with a broken chunk", ok+"Transfer-Encoding: chunked\r\n\r\nzz\r\nurns\r\n0\r\n\r\n", outcome.CauseMalformed, ""),
	Entry("with two lengths", ok+"Content-Length: 4\r\nContent-Length: 5\r\n\r\nurns", outcome.CauseMalformed, ""),
	Entry("with an unknown coding", ok+"Transfer-Encoding: gzip, chunked\r\n\r\nurns", outcome.CauseMalformed, ""),
	Entry("that switches protocols", "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n", outcome.CauseMalformed, ""),
	Entry("that is no HTTP", "urns urns urns\r\n\r\n", outcome.CauseMalformed, ""),
	Entry("with a head too large", ok+"X: "+strings.Repeat("x", 40<<10)+"\r\n\r\n", outcome.CauseMalformed, ""),
	Entry("cut within the head", ok+"Content-Le", outcome.CauseReset, ""),
	Entry("that never comes", "", outcome.CauseReset, ""),
)

// Guards against pooling a connection that is not at the start of an answer.
var _ = DescribeTable("a kept-alive connection",
	func(raw string, connections int) {
		s := serve(standin.RespondToEach(raw))
		b := newBench()
		for range 3 {
			x := b.run(b.command(s.Address()), get())
			Expect(x.Facts.Cause).To(Equal(outcome.CauseNone))
		}
		Expect(s.Accepted()).To(BeEquivalentTo(connections))
	},
	Entry("is used again", ok+"Content-Length: 4\r\n\r\nurns", 1),
	Entry("is used again after chunks", ok+"Transfer-Encoding: chunked\r\n\r\n4\r\nurns\r\n0\r\n\r\n", 1),
	Entry("is used again after trailers", ok+"Transfer-Encoding: chunked\r\nTrailer: X\r\n\r\n4\r\nurns\r\n0\r\nX: y\r\n\r\n", 1),
	Entry("is used again after 204", "HTTP/1.1 204 No Content\r\n\r\n", 1),
	Entry("is used again after 304 with a length", "HTTP/1.1 304 Not Modified\r\nContent-Length: 9\r\n\r\n", 1),
	Entry("is closed when asked for", ok+"Connection: close\r\nContent-Length: 4\r\n\r\nurns", 3),
	Entry("is closed after bytes to spare", ok+"Content-Length: 4\r\n\r\nurnsHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother", 3),
	Entry("is closed when HTTP/1.0", "HTTP/1.0 200 OK\r\nContent-Length: 4\r\n\r\nurns", 3),
)

var _ = Describe("the end of an attempt", func() {
	// Guards against a hidden retry of the library: one attempt is one run.
	It("is a reset when the server reads all and closes, with one run", func() {
		s := serve(func(c *standin.RawConn) { c.ReadRequest() })
		b := newBench()
		command := b.command(s.Address())
		command.MaxIdle = 0
		x := b.run(command, post("order"))
		Expect(x.Facts).To(HaveField("Cause", outcome.CauseReset))
		Expect(outcome.Classify(x.Facts, 0)).To(Equal(outcome.Unknown))
		Consistently(s.HeaderSections, 200*time.Millisecond).Should(HaveLen(1))
	})

	// Guards against taking a reset for the end of a body.
	It("is truncated when the connection is reset within the body", func() {
		s := serve(func(c *standin.RawConn) {
			c.ReadRequest()
			io.WriteString(c, ok+"\r\nurns")
			c.Conn.(*net.TCPConn).SetLinger(0)
		})
		b := newBench()
		x := b.run(b.command(s.Address()), get())
		Expect(x.Facts.Cause).To(BeElementOf(outcome.CauseTruncated, outcome.CauseReset))
	})

	// Guards against telling a caller that a refused connection may have run
	// its order.
	It("is not run when no connection can be opened", func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		l.Close()
		b := newBench()
		x := b.run(b.command(l.Addr().String()), get())
		Expect(x.Facts.Cause).To(Equal(outcome.CauseDial))
		Expect(outcome.Classify(x.Facts, 0)).To(Equal(outcome.NotRun))
	})

	// Guards against acting on old facts after a pause of the process, also one
	// between opening the connection and the first byte. The deadline of the
	// request is not reached in either case.
	DescribeTable("is not run when the command expired",
		func(readings int64, connections int) {
			s := serve(standin.RespondToEach(ok + "Content-Length: 0\r\n\r\n"))
			b := newBench()
			command := b.command(s.Address())
			command.Deadline = command.StartBefore.Add(time.Hour)
			b.clock.jump(readings, 2*time.Minute)
			x := b.run(command, get())
			Expect(x.Facts.Cause).To(Equal(outcome.CauseExpired))
			Expect(x.Facts.Wrote).To(BeFalse())
			Expect(b.pool.Open(s.Address())).To(BeZero())
			Eventually(s.Accepted).WithTimeout(patience).Should(BeEquivalentTo(connections))
			Expect(s.HeaderSections()).To(BeEmpty())
		},
		Entry("before it was taken up", int64(0), 0),
		Entry("while the connection was opened", int64(1), 1),
	)

	// Guards against a silent server that holds a request for ever.
	It("is a timeout when no answer comes", func() {
		s := serve(func(c *standin.RawConn) { c.ReadRequest(); c.ReadRequest() })
		b := newBench()
		command := b.command(s.Address())
		command.Deadline = b.clock.Now().Add(50 * time.Millisecond)
		x := b.run(command, get())
		Expect(x.Facts.Cause).To(Equal(outcome.CauseTimeout))
		Expect(outcome.Classify(x.Facts, 0)).To(Equal(outcome.Unknown))
	})

	// Guards against work that goes on after the caller hung up.
	It("is cancelled at once, and closes the connection", func() {
		closed := make(chan struct{})
		s := serve(func(c *standin.RawConn) {
			c.ReadRequest()
			c.ReadRequest()
			close(closed)
		})
		b := newBench()
		started, ended := b.background(b.command(s.Address()), get())
		Eventually(s.HeaderSections).WithTimeout(patience).Should(HaveLen(1))
		(<-started).Cancel()
		Eventually(ended).WithTimeout(patience).Should(Receive(HaveField("Facts.Cause", outcome.CauseCanceled)))
		Eventually(closed).WithTimeout(patience).Should(BeClosed())
	})

	// Guards against losing what a backend server says about itself.
	It("carries the facts of the head", func() {
		s := serve(standin.RespondToEach("HTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\nWisteriapond-Load: 3\r\nWisteriapond-Draining: 1\r\n" +
			"Wisteriapond-Gave-Up: 1\r\nWisteriapond-Outcome: not-run\r\nRetry-After: 2\r\nConnection: X-Hop\r\nX-Hop: 1\r\nX-Kept: 1\r\nContent-Length: 0\r\n\r\n"))
		b := newBench()
		command := b.command(s.Address())
		command.NotRun = config.NotRunForm{Status: 503, Header: "X-Not-Run", Value: "1"}
		x := b.run(command, get())
		Expect(x.Facts).To(Equal(outcome.Facts{
			Wrote: true, Status: 503, NotRunHeader: true, GaveUp: true, Draining: true, Load: 3, RetryAfter: 2 * time.Second,
		}))
		var head fasthttp.ResponseHeader
		x.CopyHead(&head)
		Expect(head.Peek("Wisteriapond-Outcome")).To(BeNil())
		Expect(head.Peek("Wisteriapond-Load")).To(BeNil())
		Expect(head.Peek("X-Hop")).To(BeNil())
		Expect(string(head.Peek("X-Kept"))).To(Equal("1"))
		Expect(string(head.Peek("Wisteriapond-Gave-Up"))).To(Equal("1"))
	})
})

// Guards against reading a probe without bound, and against probes that start
// after a pause.
var _ = Describe("a probe", func() {
	probe := func(address string, limit int64, late time.Duration) outcome.Facts {
		b := newBench()
		b.clock.ahead.Store(int64(late))
		facts, _ := b.pool.Probe(GinkgoT().Context(), b.clock, core.StartProbe{
			Address:     address,
			StartBefore: core.Instant(time.Minute),
			Probe:       config.Probe{Path: "/load", Timeout: 5 * time.Second, AnswerLimit: limit},
		})
		return facts
	}

	It("reports the answer", func() {
		s := serve(standin.RespondToEach("HTTP/1.1 200 OK\r\nWisteriapond-Load: 2\r\nContent-Length: 4\r\n\r\nfine"))
		Expect(probe(s.Address(), 1024, 0)).To(Equal(outcome.Facts{Wrote: true, Status: 200, Load: 2, Bytes: 4}))
		Expect(s.HeaderSections()).To(ConsistOf(ContainSubstring("GET /load HTTP/1.1\r\n")))
	})

	It("cuts the answer off at the limit", func() {
		s := serve(func(c *standin.RawConn) {
			c.ReadRequest()
			io.WriteString(c, ok+"Content-Length: 1000000\r\n\r\n")
			io.WriteString(c, strings.Repeat("x", 4096))
			c.ReadRequest()
		})
		facts := probe(s.Address(), 1024, 0)
		Expect(facts.Cause).To(Equal(outcome.CauseNone))
		Expect(facts.Status).To(Equal(200))
		Expect(facts.Bytes).To(BeNumerically("<", 1024))
	})

	It("does not start after its expiry", func() {
		s := serve(standin.RespondToEach(ok + "Content-Length: 0\r\n\r\n"))
		Expect(probe(s.Address(), 1024, time.Hour).Cause).To(Equal(outcome.CauseExpired))
		Expect(s.Accepted()).To(BeZero())
	})
})
