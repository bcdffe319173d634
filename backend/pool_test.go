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

const empty = ok + "Content-Length: 0\r\n\r\n"

var _ = Describe("the pool", func() {
	// Guards against sending an order into a connection that may be closing.
	It("opens a connection of its own for a fresh attempt", func() {
		s := serve(standin.RespondToEach(empty))
		b := newBench()
		for range 3 {
			command := b.command(s.Address())
			command.MaxIdle = 0
			Expect(b.run(command, post("order")).Facts.Cause).To(Equal(outcome.CauseNone))
		}
		Expect(s.Accepted()).To(BeEquivalentTo(3))
	})

	// Guards against an order on a connection that its server is about to close
	// for being idle, and against the loss of that connection for lookups.
	It("leaves a connection that was idle too long to others", func() {
		s := serve(standin.RespondToEach(empty))
		b := newBench()
		Expect(b.run(b.command(s.Address()), get()).Facts.Cause).To(Equal(outcome.CauseNone))
		command := b.command(s.Address())
		command.MaxIdle = time.Nanosecond
		Expect(b.run(command, post("order")).Facts.Cause).To(Equal(outcome.CauseNone))
		Expect(s.Accepted()).To(BeEquivalentTo(2))
		Expect(b.pool.Open(s.Address())).To(Equal(2))
	})

	// Guards against a request on a connection that its server is about to close
	// at the time that it told.
	DescribeTable("keeps a connection no longer than its server says", func(header string, connections int) {
		s := serve(standin.RespondToEach(ok + header + "Content-Length: 0\r\n\r\n"))
		b := newBench()
		for range 2 {
			Expect(b.run(b.command(s.Address()), get()).Facts.Cause).To(Equal(outcome.CauseNone))
		}
		Expect(s.Accepted()).To(BeEquivalentTo(connections))
	},
		Entry("nothing", "", 1),
		Entry("a long time", "Keep-Alive: max=100, timeout=10\r\n", 1),
		Entry("no time at all", "Keep-Alive: timeout=0\r\n", 2),
		Entry("something else", "Keep-Alive: timeout=soon\r\n", 1),
	)

	// Guards against a server that counts as unreachable, and gets no requests,
	// since it has forgotten an idle connection.
	It("probes on a new connection when a kept one was forgotten", func() {
		s := serve(func(c *standin.RawConn) {
			for c.ReadRequest() != nil {
				if c.Number == 1 {
					io.WriteString(c, empty)
					c.ReadRequest()
					return
				}
				io.WriteString(c, empty)
			}
		})
		b := newBench()
		for range 3 {
			facts, _ := b.pool.Probe(GinkgoT().Context(), b.clock, core.StartProbe{
				Address: s.Address(), Reuse: true, StartBefore: b.command("").StartBefore,
			})
			Expect(facts.Cause).To(Equal(outcome.CauseNone))
		}
		Expect(s.Accepted()).To(BeEquivalentTo(2))
	})

	// Guards against an unknown outcome where nothing was written yet.
	It("replaces an idle connection that was closed", func() {
		closed := make(chan struct{}, 2)
		s := serve(func(c *standin.RawConn) {
			c.ReadRequest()
			io.WriteString(c, empty)
			c.Close()
			closed <- struct{}{}
		})
		b := newBench()
		for range 2 {
			Expect(b.run(b.command(s.Address()), get()).Facts.Cause).To(Equal(outcome.CauseNone))
			Eventually(closed).WithTimeout(patience).Should(Receive())
			// The end of the connection crosses the loopback interface after Close.
			Eventually(func() bool { return b.pool.IdleUsable(s.Address()) }).WithTimeout(patience).Should(BeFalse())
		}
		Expect(s.HeaderSections()).To(HaveLen(2))
	})

	// Guards against a second run when a kept-alive connection is closed under
	// a request: bytes were written, so nothing in this layer may send it again.
	It("does not replace a connection that was closed under a request", func() {
		s := serve(func(c *standin.RawConn) {
			c.ReadRequest()
			io.WriteString(c, empty)
			c.ReadRequest()
		})
		b := newBench()
		Expect(b.run(b.command(s.Address()), get()).Facts.Cause).To(Equal(outcome.CauseNone))
		x := b.run(b.command(s.Address()), post("order"))
		Expect(x.Facts.Cause).To(Equal(outcome.CauseReset))
		Expect(outcome.Classify(x.Facts, 0)).To(Equal(outcome.Unknown))
		Expect(s.Accepted()).To(BeEquivalentTo(1))
		Expect(s.HeaderSections()).To(HaveLen(2))
	})

	// Guards against giving bytes that nobody asked for to the next caller.
	It("replaces an idle connection with stray bytes", func() {
		stray := make(chan struct{})
		s := serve(func(c *standin.RawConn) {
			c.ReadRequest()
			io.WriteString(c, empty)
			if c.Number == 1 {
				<-stray
				io.WriteString(c, ok+"Content-Length: 5\r\n\r\nother")
			}
			c.ReadRequest()
		})
		b := newBench()
		Expect(b.run(b.command(s.Address()), get()).Facts.Cause).To(Equal(outcome.CauseNone))
		close(stray)
		Eventually(func() bool { return b.pool.IdleUsable(s.Address()) }).WithTimeout(patience).Should(BeFalse())
		x := b.run(b.command(s.Address()), get())
		Expect(x.Facts.Cause).To(Equal(outcome.CauseNone))
		Expect(x.Held()).To(BeEmpty())
		Expect(s.Accepted()).To(BeEquivalentTo(2))
	})

	// Guards against more connections than the share of an upstream.
	It("refuses a connection beyond the limit as not run", func() {
		release := make(chan struct{})
		s := serve(func(c *standin.RawConn) {
			c.ReadRequest()
			<-release
			io.WriteString(c, empty)
		})
		b := newBench()
		command := b.command(s.Address())
		command.Connections = 1
		_, ended := b.background(command, get())
		Eventually(s.HeaderSections).WithTimeout(patience).Should(HaveLen(1))
		x := b.run(command, get())
		Expect(x.Facts.Cause).To(Equal(outcome.CauseConnectionLimit))
		Expect(x.Facts.Wrote).To(BeFalse())
		close(release)
		Eventually(ended).WithTimeout(patience).Should(Receive())
		Expect(b.run(command, get()).Facts.Cause).To(Equal(outcome.CauseNone))
	})

	// Guards against a limit that idle connections use up.
	It("closes an idle connection to make room for a fresh one", func() {
		s := serve(standin.RespondToEach(empty))
		b := newBench()
		command := b.command(s.Address())
		command.Connections = 1
		Expect(b.run(command, get()).Facts.Cause).To(Equal(outcome.CauseNone))
		command.MaxIdle = 0
		Expect(b.run(command, post("order")).Facts.Cause).To(Equal(outcome.CauseNone))
		Expect(s.Accepted()).To(BeEquivalentTo(2))
	})

	// Guards against new work on a leaving host through old connections.
	It("does not keep a connection that was in use during CloseIdle", func() {
		release := make(chan struct{})
		s := serve(func(c *standin.RawConn) {
			for c.ReadRequest() != nil {
				<-release
				io.WriteString(c, empty)
			}
		})
		b := newBench()
		_, ended := b.background(b.command(s.Address()), get())
		Eventually(s.HeaderSections).WithTimeout(patience).Should(HaveLen(1))
		b.pool.CloseIdle(s.Address())
		close(release)
		Eventually(ended).WithTimeout(patience).Should(Receive(HaveField("Facts.Cause", outcome.CauseNone)))
		Expect(b.pool.Open(s.Address())).To(BeZero())
	})

	// Guards against idle connections that are kept for ever.
	It("closes connections that were idle too long", func() {
		s := serve(standin.RespondToEach(empty))
		b := newBench()
		b.pool.SetIdleTimes(10*time.Millisecond, 10*time.Millisecond)
		Expect(b.run(b.command(s.Address()), get()).Facts.Cause).To(Equal(outcome.CauseNone))
		Eventually(func() int { return b.pool.Open(s.Address()) }).WithTimeout(patience).Should(BeZero())
	})
})
