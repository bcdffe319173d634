package backend_test

import (
	"fmt"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"wisteriapond/outcome"
	"wisteriapond/standin"
)

var _ = Describe("the bounds of the pool", func() {
	// Guards against connections to many servers that together take all descriptors,
	// most of them idle.
	It("close an idle connection to another server for a new one", func() {
		f := newFixture()
		f.pool.Bounds.Connections = 2
		for range 4 {
			s := serve(standin.RespondToEach(emptyResponse))
			Expect(f.run(f.command(s.Address()), get()).Facts.Cause).To(Equal(outcome.CauseNone))
		}
		Expect(f.pool.TotalOpen()).To(Equal(2))
		f.pool.CloseAllIdle()
		Expect(f.pool.TotalOpen()).To(BeZero())
	})

	// Guards against a request that runs, or an attempt that waits, though there is no
	// room for its connection.
	It("end an attempt as not run when all connections are in use", func() {
		f := newFixture()
		full := 0
		f.pool.Bounds.Connections = 1
		f.pool.Bounds.OnFull = func() { full++ }
		large := serve(standin.RespondToEach(fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", statusOK, 1<<20, strings.Repeat("x", 1<<20))))
		first := f.run(f.command(large.Address()), get())
		Expect(first.Streaming).To(BeTrue())
		x := f.run(f.command(large.Address()), get())
		Expect(x.Facts.Cause).To(Equal(outcome.CauseConnectionLimit))
		Expect(x.Facts.Wrote).To(BeFalse())
		Expect(full).To(Equal(1))
		first.Abort()
		Expect(f.pool.TotalOpen()).To(BeZero())
	})

	// Guards against buffered answers that together exceed the memory, and against an
	// answer that is refused instead of streamed.
	DescribeTable("stream an answer when too many are buffered", func(header string) {
		s := serve(standin.RespondToEach(statusOK + header))
		f := newFixture()
		command := f.command(s.Address())
		f.pool.Bounds.HeldAnswers = command.HoldBytes + 1
		first := f.run(command, get())
		Expect(first.Streaming).To(BeFalse())
		Expect(string(first.BufferedBody())).To(Equal("hello"))
		second := f.run(command, get())
		third := f.run(command, get())
		Expect(third.Streaming).To(BeTrue())
		Expect(third.Facts.Unsized).To(BeFalse())
		third.Abort()
		f.pool.ReleaseHeld(first.TakeHeld())
		f.pool.ReleaseHeld(second.TakeHeld())
		again := f.run(command, get())
		Expect(again.Streaming).To(BeFalse())
		Expect(again.TakeHeld()).To(BeNumerically(">", 0))
		Expect(again.TakeHeld()).To(BeZero())
	},
		Entry("of unknown length", "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n"),
	)
})
