package backend_test

import (
	"io"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"wisteriapond/config"
	"wisteriapond/core"
	"wisteriapond/outcome"
	"wisteriapond/standin"
)

// startEndless starts a server that sends the given first bytes in response to a
// request, and then repeats others until the connection is closed.
func startEndless(first, repeated string, pause time.Duration) *standin.RawServer {
	return serve(func(c *standin.RawConn) {
		request, err := http.ReadRequest(c.Reader)
		if err != nil {
			return
		}
		io.Copy(io.Discard, request.Body)
		io.WriteString(c, first)
		for {
			if _, err := io.WriteString(c, repeated); err != nil {
				return
			}
			time.Sleep(pause)
		}
	})
}

var _ = Describe("bytes without end", func() {
	// Guards against attempts that wait until their deadline for the end of what is
	// no response, and against memory that grows with it.
	DescribeTable("end an attempt soon", func(first, repeated string, pause time.Duration) {
		f := newFixture()
		command := f.command(startEndless(first, repeated, pause).Address())
		command.HoldBytes = 4 << 10
		started := time.Now()
		x := f.run(command, get())
		Expect(x.Facts.Cause).To(Equal(outcome.CauseMalformed))
		Expect(x.Facts.Wrote).To(BeTrue())
		Expect(time.Since(started)).To(BeNumerically("<", 10*time.Second))
		Expect(f.pool.HasUsableIdle(command.Address)).To(BeFalse())
	},
		Entry("in place of a response", "", "x", 10*time.Millisecond),
		Entry("in place of a response, after a beginning that fits", "HTTP/9", "x", 10*time.Millisecond),
		Entry("in a status line", "HTTP/1.1 200 ", strings.Repeat("O", 1000), time.Duration(0)),
		Entry("in a header line", "HTTP/1.1 200 OK\r\nX-A: ", strings.Repeat("a", 1000), time.Duration(0)),
		Entry("in header lines", "HTTP/1.1 200 OK\r\n", "X-A: a\r\n", time.Duration(0)),
		Entry("in the header of a chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "00000000", time.Duration(0)),
		Entry("in interim responses", "", "HTTP/1.1 103 Early Hints\r\nX-A: a\r\n\r\n", time.Duration(0)),
		Entry("in a trailer", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X-A: a\r\n", time.Duration(0)),
	)

	// Guards against load queries that keep what a server sends without end.
	DescribeTable("end a load query soon", func(first, repeated string) {
		f := newFixture()
		command := core.StartProbe{
			Address: startEndless(first, repeated, 0).Address(), Reuse: true, StartBefore: f.command("").StartBefore,
			Probe: config.Probe{Path: "/load", Timeout: waitTimeout, AnswerLimit: 4 << 10},
		}
		started := time.Now()
		facts, _ := f.pool.Probe(GinkgoT().Context(), f.clock, command)
		Expect(facts.Cause).NotTo(Equal(outcome.CauseNone))
		Expect(time.Since(started)).To(BeNumerically("<", 10*time.Second))
		Expect(f.pool.HasUsableIdle(command.Address)).To(BeFalse())
	},
		Entry("in place of a response", "", strings.Repeat("x", 1000)),
		Entry("in empty lines", "", "\r\n"),
		Entry("in interim responses", "", "HTTP/1.1 103 Early Hints\r\nX-A: a\r\n\r\n"),
		Entry("in header lines", "HTTP/1.1 200 OK\r\n", "X-A: a\r\n"),
		Entry("in a body without a length", "HTTP/1.1 200 OK\r\n\r\n", strings.Repeat("x", 1000)),
		Entry("in small chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\na\r\n"),
		Entry("in the header of a chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "00000000"),
		Entry("in a trailer", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X-A: a\r\n"),
		Entry("in a body with a huge length", "HTTP/1.1 200 OK\r\nContent-Length: 999999999999\r\n\r\n", strings.Repeat("x", 1000)),
	)

	// Guards against a body without end that is forwarded for as long as the caller
	// stays, and against one that looks complete.
	DescribeTable("end a streamed response at the limit", func(head, repeated string) {
		f := newFixture()
		command := f.command(startEndless(head, repeated, 0).Address())
		command.HoldBytes = 4 << 10
		command.UnsizedBytes = 64 << 10
		x := f.run(command, get())
		Expect(x.Streaming).To(BeTrue())
		Expect(x.Facts.Unsized).To(BeTrue())
		var ended outcome.Facts
		complete := true
		body := x.Body(func(facts outcome.Facts, whole bool) { ended, complete = facts, whole })
		n, err := io.Copy(io.Discard, body)
		body.CloseWithError(nil)
		Expect(err).To(MatchError(io.ErrUnexpectedEOF))
		Expect(n).To(BeNumerically("<", 128<<10))
		Expect(complete).To(BeFalse())
		Expect(ended.Cause).To(Equal(outcome.CauseMalformed))
	},
		Entry("without a length", "HTTP/1.1 200 OK\r\n\r\n", strings.Repeat("x", 1000)),
		Entry("in chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "400\r\n"+strings.Repeat("x", 1024)+"\r\n"),
	)

	// Guards against a limit that applies to responses whose length was announced.
	It("do not include a long response with a length", func() {
		f := newFixture()
		server := serve(func(c *standin.RawConn) {
			if _, err := http.ReadRequest(c.Reader); err == nil {
				io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n"+strings.Repeat("x", 200_000))
			}
		})
		command := f.command(server.Address())
		command.UnsizedBytes = 64 << 10
		x := f.run(command, get())
		n, err := io.Copy(io.Discard, x.Body(func(outcome.Facts, bool) {}))
		Expect(err).NotTo(HaveOccurred())
		Expect(n).To(Equal(int64(200_000)))
	})
})
