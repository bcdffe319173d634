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
		f := newFixture()
		for range 3 {
			command := f.command(s.Address())
			command.MaxIdle = 0
			Expect(f.run(command, post("order")).Facts.Cause).To(Equal(outcome.CauseNone))
		}
		Expect(s.Accepted()).To(BeEquivalentTo(3))
	})

	// Guards against sending an order on a connection that its server is about
	// to close for being idle, and against closing that connection, which
	// lookups can still use.
	It("does not close a connection that was idle too long for one attempt", func() {
		s := serve(standin.RespondToEach(emptyResponse))
		f := newFixture()
		Expect(f.run(f.command(s.Address()), get()).Facts.Cause).To(Equal(outcome.CauseNone))
		command := f.command(s.Address())
		command.MaxIdle = time.Nanosecond
		Expect(f.run(command, post("order")).Facts.Cause).To(Equal(outcome.CauseNone))
		Expect(s.Accepted()).To(BeEquivalentTo(2))
		Expect(f.pool.OpenConnections(s.Address())).To(Equal(2))
	})

	// Guards against sending a request on a connection that its server is about
	// to close because the announced keep-alive timeout ends.
	DescribeTable("keeps a connection no longer than the keep-alive timeout of the server", func(header string, connections int) {
		s := serve(standin.RespondToEach(statusOK + header + "Content-Length: 0\r\n\r\n"))
		f := newFixture()
		for range 2 {
			Expect(f.run(f.command(s.Address()), get()).Facts.Cause).To(Equal(outcome.CauseNone))
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
		f := newFixture()
		for range 3 {
			facts, _ := f.pool.Probe(GinkgoT().Context(), f.clock, core.StartProbe{
				Address: s.Address(), Reuse: true, StartBefore: f.command("").StartBefore,
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
		f := newFixture()
		for range 2 {
			Expect(f.run(f.command(s.Address()), get()).Facts.Cause).To(Equal(outcome.CauseNone))
			Eventually(closed).WithTimeout(waitTimeout).Should(Receive())
			// Close returns before the server's FIN has crossed the loopback
			// interface.
			Eventually(func() bool { return f.pool.HasUsableIdle(s.Address()) }).WithTimeout(waitTimeout).Should(BeFalse())
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
		f := newFixture()
		Expect(f.run(f.command(s.Address()), get()).Facts.Cause).To(Equal(outcome.CauseNone))
		x := f.run(f.command(s.Address()), post("order"))
		Expect(x.Facts.Cause).To(Equal(outcome.CauseReset))
		Expect(outcome.Classify(x.Facts, 0)).To(Equal(outcome.Unknown))
		Expect(s.Accepted()).To(BeEquivalentTo(1))
		Expect(s.HeaderSections()).To(HaveLen(2))
	})

	// Guards against handing unsolicited bytes to the next caller.
	It("replaces an idle connection with unsolicited bytes", func() {
		sendUnsolicited := make(chan struct{})
		s := serve(func(c *standin.RawConn) {
			c.ReadRequest()
			io.WriteString(c, emptyResponse)
			if c.Number == 1 {
				<-sendUnsolicited
				io.WriteString(c, statusOK+"Content-Length: 5\r\n\r\nother")
			}
			c.ReadRequest()
		})
		f := newFixture()
		Expect(f.run(f.command(s.Address()), get()).Facts.Cause).To(Equal(outcome.CauseNone))
		close(sendUnsolicited)
		Eventually(func() bool { return f.pool.HasUsableIdle(s.Address()) }).WithTimeout(waitTimeout).Should(BeFalse())
		x := f.run(f.command(s.Address()), get())
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
		f := newFixture()
		command := f.command(s.Address())
		command.Connections = 1
		_, ended := f.background(command, get())
		Eventually(s.HeaderSections).WithTimeout(waitTimeout).Should(HaveLen(1))
		x := f.run(command, get())
		Expect(x.Facts.Cause).To(Equal(outcome.CauseConnectionLimit))
		Expect(x.Facts.Wrote).To(BeFalse())
		close(release)
		Eventually(ended).WithTimeout(waitTimeout).Should(Receive())
		Expect(f.run(command, get()).Facts.Cause).To(Equal(outcome.CauseNone))
	})

	// Guards against idle connections that use up the connection limit.
	It("closes an idle connection to make room for a new one", func() {
		s := serve(standin.RespondToEach(emptyResponse))
		f := newFixture()
		command := f.command(s.Address())
		command.Connections = 1
		Expect(f.run(command, get()).Facts.Cause).To(Equal(outcome.CauseNone))
		command.MaxIdle = 0
		Expect(f.run(command, post("order")).Facts.Cause).To(Equal(outcome.CauseNone))
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
		f := newFixture()
		_, ended := f.background(f.command(s.Address()), get())
		Eventually(s.HeaderSections).WithTimeout(waitTimeout).Should(HaveLen(1))
		f.pool.CloseIdle(s.Address())
		close(release)
		Eventually(ended).WithTimeout(waitTimeout).Should(Receive(HaveField("Facts.Cause", outcome.CauseNone)))
		Expect(f.pool.OpenConnections(s.Address())).To(BeZero())
	})

	// Guards against idle connections that are kept forever.
	It("closes connections after the idle timeout", func() {
		s := serve(standin.RespondToEach(emptyResponse))
		f := newFixture()
		f.pool.SetIdleTimes(10*time.Millisecond, 10*time.Millisecond)
		Expect(f.run(f.command(s.Address()), get()).Facts.Cause).To(Equal(outcome.CauseNone))
		Eventually(func() int { return f.pool.OpenConnections(s.Address()) }).WithTimeout(waitTimeout).Should(BeZero())
	})
})
