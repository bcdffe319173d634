package backend_test

import (
	"io"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"wisteriapond/core"
	"wisteriapond/outcome"
	"wisteriapond/standin"
)

const emptyResponse = statusOK + "Content-Length: 0\r\n\r\n"

var _ = Describe("the pool", func() {
	// Guards against sending an order on a connection that the server may be
	// closing.
	It("opens a new connection for an attempt with a maximum idle time of zero", func() {
		s := serve(standin.RespondToEach(emptyResponse))
		b := newFixture()
		for range 3 {
			command := b.command(s.Address())
			command.MaxIdle = 0
			Expect(b.run(command, post("order")).Facts.Cause).To(Equal(outcome.CauseNone))
		}
		Expect(s.Accepted()).To(BeEquivalentTo(3))
	})

	// Guards against sending an order on a connection that its server is about
	// to close for being idle, and against closing that connection, which
	// lookups can still use.
	It("does not close a connection that was idle too long for one attempt", func() {
		s := serve(standin.RespondToEach(emptyResponse))
		b := newFixture()
		Expect(b.run(b.command(s.Address()), get()).Facts.Cause).To(Equal(outcome.CauseNone))
		command := b.command(s.Address())
		command.MaxIdle = time.Nanosecond
		Expect(b.run(command, post("order")).Facts.Cause).To(Equal(outcome.CauseNone))
		Expect(s.Accepted()).To(BeEquivalentTo(2))
		Expect(b.pool.OpenConnections(s.Address())).To(Equal(2))
	})

	// Guards against sending a request on a connection that its server is about
	// to close because the announced keep-alive timeout ends.
	DescribeTable("keeps a connection no longer than the keep-alive timeout of the server", func(header string, connections int) {
		s := serve(standin.RespondToEach(statusOK + header + "Content-Length: 0\r\n\r\n"))
		b := newFixture()
		for range 2 {
			Expect(b.run(b.command(s.Address()), get()).Facts.Cause).To(Equal(outcome.CauseNone))
		}
		Expect(s.Accepted()).To(BeEquivalentTo(connections))
	},
		Entry("not announced", "", 1),
		Entry("long", "Keep-Alive: max=100, timeout=10\r\n", 1),
		Entry("zero", "Keep-Alive: timeout=0\r\n", 2),
		Entry("malformed", "Keep-Alive: timeout=soon\r\n", 1),
	)

	// Guards against a server that counts as unreachable, and receives no
	// requests, because it closed an idle connection.
	It("probes on a new connection when the server has closed an idle one", func() {
		s := serve(func(c *standin.RawConn) {
			for c.ReadRequest() != nil {
				if c.Number == 1 {
					io.WriteString(c, emptyResponse)
					c.ReadRequest()
					return
				}
				io.WriteString(c, emptyResponse)
			}
		})
		b := newFixture()
		for range 3 {
			facts, _ := b.pool.Probe(GinkgoT().Context(), b.clock, core.StartProbe{
				Address: s.Address(), Reuse: true, StartBefore: b.command("").StartBefore,
			})
			Expect(facts.Cause).To(Equal(outcome.CauseNone))
		}
		Expect(s.Accepted()).To(BeEquivalentTo(2))
	})

	// Guards against an unknown outcome when nothing has been written yet.
	It("replaces an idle connection that was closed", func() {
		closed := make(chan struct{}, 2)
		s := serve(func(c *standin.RawConn) {
			c.ReadRequest()
			io.WriteString(c, emptyResponse)
			c.Close()
			closed <- struct{}{}
		})
		b := newFixture()
		for range 2 {
			Expect(b.run(b.command(s.Address()), get()).Facts.Cause).To(Equal(outcome.CauseNone))
			Eventually(closed).WithTimeout(waitLimit).Should(Receive())
			// Close returns before the server's FIN has crossed the loopback
			// interface.
			Eventually(func() bool { return b.pool.HasUsableIdle(s.Address()) }).WithTimeout(waitLimit).Should(BeFalse())
		}
		Expect(s.HeaderSections()).To(HaveLen(2))
	})

	// Guards against running a request twice when a kept-alive connection is
	// closed while the request is in flight: bytes were written, so this layer
	// must not send it again.
	It("does not replace a connection that was closed during a request", func() {
		s := serve(func(c *standin.RawConn) {
			c.ReadRequest()
			io.WriteString(c, emptyResponse)
			c.ReadRequest()
		})
		b := newFixture()
		Expect(b.run(b.command(s.Address()), get()).Facts.Cause).To(Equal(outcome.CauseNone))
		x := b.run(b.command(s.Address()), post("order"))
		Expect(x.Facts.Cause).To(Equal(outcome.CauseReset))
		Expect(outcome.Classify(x.Facts, 0)).To(Equal(outcome.Unknown))
		Expect(s.Accepted()).To(BeEquivalentTo(1))
		Expect(s.HeaderSections()).To(HaveLen(2))
	})

	// Guards against handing unsolicited bytes to the next caller.
	It("replaces an idle connection with unsolicited bytes", func() {
		stray := make(chan struct{})
		s := serve(func(c *standin.RawConn) {
			c.ReadRequest()
			io.WriteString(c, emptyResponse)
			if c.Number == 1 {
				<-stray
				io.WriteString(c, statusOK+"Content-Length: 5\r\n\r\nother")
			}
			c.ReadRequest()
		})
		b := newFixture()
		Expect(b.run(b.command(s.Address()), get()).Facts.Cause).To(Equal(outcome.CauseNone))
		close(stray)
		Eventually(func() bool { return b.pool.HasUsableIdle(s.Address()) }).WithTimeout(waitLimit).Should(BeFalse())
		x := b.run(b.command(s.Address()), get())
		Expect(x.Facts.Cause).To(Equal(outcome.CauseNone))
		Expect(x.BufferedBody()).To(BeEmpty())
		Expect(s.Accepted()).To(BeEquivalentTo(2))
	})

	// Guards against exceeding the connection share of an upstream.
	It("refuses a connection beyond the limit without sending the request", func() {
		release := make(chan struct{})
		s := serve(func(c *standin.RawConn) {
			c.ReadRequest()
			<-release
			io.WriteString(c, emptyResponse)
		})
		b := newFixture()
		command := b.command(s.Address())
		command.Connections = 1
		_, ended := b.background(command, get())
		Eventually(s.HeaderSections).WithTimeout(waitLimit).Should(HaveLen(1))
		x := b.run(command, get())
		Expect(x.Facts.Cause).To(Equal(outcome.CauseConnectionLimit))
		Expect(x.Facts.Wrote).To(BeFalse())
		close(release)
		Eventually(ended).WithTimeout(waitLimit).Should(Receive())
		Expect(b.run(command, get()).Facts.Cause).To(Equal(outcome.CauseNone))
	})

	// Guards against idle connections that use up the connection limit.
	It("closes an idle connection to make room for a new one", func() {
		s := serve(standin.RespondToEach(emptyResponse))
		b := newFixture()
		command := b.command(s.Address())
		command.Connections = 1
		Expect(b.run(command, get()).Facts.Cause).To(Equal(outcome.CauseNone))
		command.MaxIdle = 0
		Expect(b.run(command, post("order")).Facts.Cause).To(Equal(outcome.CauseNone))
		Expect(s.Accepted()).To(BeEquivalentTo(2))
	})

	// Guards against new requests to a leaving host on old connections.
	It("does not keep a connection that was in use during CloseIdle", func() {
		release := make(chan struct{})
		s := serve(func(c *standin.RawConn) {
			for c.ReadRequest() != nil {
				<-release
				io.WriteString(c, emptyResponse)
			}
		})
		b := newFixture()
		_, ended := b.background(b.command(s.Address()), get())
		Eventually(s.HeaderSections).WithTimeout(waitLimit).Should(HaveLen(1))
		b.pool.CloseIdle(s.Address())
		close(release)
		Eventually(ended).WithTimeout(waitLimit).Should(Receive(HaveField("Facts.Cause", outcome.CauseNone)))
		Expect(b.pool.OpenConnections(s.Address())).To(BeZero())
	})

	// Guards against idle connections that are kept forever.
	It("closes connections after the idle timeout", func() {
		s := serve(standin.RespondToEach(emptyResponse))
		b := newFixture()
		b.pool.SetIdleTimes(10*time.Millisecond, 10*time.Millisecond)
		Expect(b.run(b.command(s.Address()), get()).Facts.Cause).To(Equal(outcome.CauseNone))
		Eventually(func() int { return b.pool.OpenConnections(s.Address()) }).WithTimeout(waitLimit).Should(BeZero())
	})
})
