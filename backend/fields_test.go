package backend_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"wisteriapond/backend"
	"wisteriapond/config"
	"wisteriapond/core"
	"wisteriapond/outcome"
	"wisteriapond/standin"
)

// brokenNames returns a field name with one more byte: in front, in the middle and at the
// end.
func brokenNames(name string, broken byte) []string {
	middle, inserted := len(name)/2, string([]byte{broken})
	return []string{inserted + name, name[:middle] + inserted + name[middle:], name + inserted}
}

// brokenBytes are blanks, control bytes, and bytes that separate or end a name elsewhere
// in a message.
var brokenBytes = []byte(" \t\x00\x01\x08\x0b\x0c\n\r\x1b\x1f\x7f\x80\xff\"(),/;<=>?@[\\]{}")

// brokenHeads returns header sections, without the line that ends them, with one field
// whose name is broken. The fields beside it are those that a response needs.
func brokenHeads(broken byte) []string {
	var heads []string
	for _, name := range brokenNames("X-Field", broken) {
		field := name + ": 1\r\n"
		heads = append(heads,
			statusOK+field+"Content-Length: 4\r\n",
			statusOK+"Content-Length: 4\r\n"+field,
			"HTTP/1.0 200 OK\r\n"+"X-Before: 1\r\n"+field,
		)
	}
	for _, name := range brokenNames("Content-Length", broken) {
		heads = append(heads, statusOK+name+": 4\r\n", statusOK+"X-Before: 1\r\n"+name+": 2\r\n")
	}
	for _, name := range brokenNames("X-Not-Run", broken) {
		heads = append(heads, "HTTP/1.1 503 Busy\r\nContent-Length: 4\r\n"+name+": 1\r\n")
	}
	return heads
}

// Guards against a response whose header section cannot be understood in one way only,
// and that is passed on all the same: with the broken line, without the field that the
// server meant, or with a body that ends elsewhere.
var _ = Describe("a field whose name holds a byte that no name may hold", func() {
	expectMalformed := func(x *backend.Exchange, f *fixture, address, raw string) {
		GinkgoHelper()
		Expect(x.Facts.Cause).To(Equal(outcome.CauseMalformed), "%.200q", raw)
		Expect(outcome.Classify(x.Facts, 0)).To(Equal(outcome.Unknown), "%.200q", raw)
		Expect(f.pool.OpenConnections(address)).To(BeZero(), "%.200q", raw)
	}

	for _, broken := range brokenBytes {
		It(fmt.Sprintf("makes a response malformed: %q", broken), func() {
			for _, head := range brokenHeads(broken) {
				raw := head + "\r\nurns"
				s := serve(standin.RespondOnce(raw))
				f := newFixture()
				command := f.command(s.Address())
				command.NotRun = config.NotRunForm{Header: "X-Not-Run", Value: "1"}
				expectMalformed(f.run(command, post("order")), f, s.Address(), raw)
			}
		})
	}

	const field = "X Field: 1\r\n"
	whole := statusOK + "Content-Length: 4\r\n\r\nurns"
	DescribeTable("makes a response malformed",
		func(raw string, request *backend.Request) {
			s := serve(standin.RespondOnce(raw))
			f := newFixture()
			expectMalformed(f.run(f.command(s.Address()), request), f, s.Address(), raw)
		},
		Entry("to HEAD", statusOK+field+"Content-Length: 4\r\n\r\n", head()),
		Entry("without a body", "HTTP/1.1 204 No Content\r\n"+field+"\r\n", get()),
		Entry("in chunks", statusOK+"Transfer-Encoding: chunked\r\n"+field+"\r\n4\r\nurns\r\n0\r\n\r\n", get()),
		Entry("whose coding is lost", statusOK+"Transfer-Encoding : chunked\r\n\r\n4\r\nurns\r\n0\r\n\r\n", get()),
		Entry("without a length", statusOK+field+"\r\nurns", get()),
		Entry("that is streamed", statusOK+field+withLength(longBody), get()),
		Entry("that is streamed in chunks", statusOK+field+chunkedComplete(longBody), get()),
		Entry("that is streamed without a length", statusOK+field+"\r\n"+longBody, get()),
		Entry("to an upload", statusOK+field+withLength("urns"), streamedPost(strings.NewReader(longBody), int64(len(longBody)), func() {})),
		Entry("after an interim response", "HTTP/1.1 100 Continue\r\n\r\n"+statusOK+field+withLength("urns"), get()),
		Entry("in an interim response", "HTTP/1.1 103 Early Hints\r\n"+field+"\r\n"+whole, get()),
		Entry("in a folded line", statusOK+"X-Before: 1\r\n Content-Length: 4\r\n\r\nurns", get()),
		Entry("in an empty folded line", statusOK+"Content-Length: 4\r\n \r\n\r\nurns", get()),
		Entry("in a line without a colon", statusOK+"Content-Length 4\r\n\r\nurns", get()),
		Entry("that is empty", statusOK+": 1\r\nContent-Length: 4\r\n\r\nurns", get()),
		Entry("in a line that ends without a carriage return", statusOK+"X-Before: 1\nContent-Length: 4\r\n\r\nurns", get()),
		Entry("after a line without a carriage return that seems to end the section", statusOK+"\nContent-Length: 4\r\n\r\nurns", get()),
	)

	// Guards against a value that ends, or changes, for some of those who read it.
	It("makes a response malformed in a value as well, except for tabs and bytes beyond ASCII", func() {
		for _, control := range "\x00\x01\x08\n\x0b\x0c\r\x1b\x1f\x7f" {
			raw := statusOK + "X-Field: a" + string(control) + "b\r\n" + withLength("urns")
			s := serve(standin.RespondOnce(raw))
			f := newFixture()
			expectMalformed(f.run(f.command(s.Address()), get()), f, s.Address(), raw)
		}
	})

	// Guards against a late response to another request that is skipped although it is
	// unknown where it ends.
	It("makes a late response to another request malformed", func() {
		raw := statusOK + idHeader + ": r1\r\n" + field + withLength("old") + statusOK + idHeader + ": r2\r\n" + withLength("urns")
		s := serve(standin.RespondOnce(raw))
		f := newDialectFixture()
		expectMalformed(f.run(f.command(s.Address()), requestWithID("r2")), f, s.Address(), raw)
	})

	It("makes a response on a kept connection malformed", func() {
		s := serve(func(c *standin.RawConn) {
			for _, raw := range []string{whole, statusOK + field + withLength("urns")} {
				if c.ReadRequest() != nil {
					io.WriteString(c, raw)
				}
			}
		})
		f := newFixture()
		Expect(f.run(f.command(s.Address()), get()).Facts.Cause).To(Equal(outcome.CauseNone))
		expectMalformed(f.run(f.command(s.Address()), get()), f, s.Address(), field)
		Expect(s.Accepted()).To(BeEquivalentTo(1))
	})

	// Guards against load that is adopted from a response that is broken.
	DescribeTable("makes the response to a load query malformed",
		func(reuse bool, broken string) {
			s := serve(standin.RespondOnce(statusOK + broken + ": 1\r\n" + withLength("fine")))
			f := newFixture()
			facts, _ := f.pool.Probe(GinkgoT().Context(), f.clock, core.StartProbe{
				Address: s.Address(), Reuse: reuse, StartBefore: f.command("").StartBefore,
				Probe: config.Probe{Path: "/load", Timeout: waitTimeout, AnswerLimit: 4 << 10},
			})
			Expect(facts.Cause).To(Equal(outcome.CauseMalformed))
			Expect(facts.Status).To(BeZero())
			Expect(facts.Load).To(Equal(-1))
			Expect(f.pool.OpenConnections(s.Address())).To(BeZero())
		},
		Entry("on a new connection", false, "Wisteriapond Load"),
		Entry("on a new connection, at the end", false, "Wisteriapond-Load "),
		Entry("on a connection that may be kept", true, "Wisteriapond Load"),
		Entry("on a connection that may be kept, at the end", true, "Wisteriapond-Load "),
	)

	// Guards against an attempt that waits for the end of a line that shows already that it
	// is broken.
	It("is recognized before the line ends", func() {
		s := serve(func(c *standin.RawConn) {
			c.ReadRequest()
			io.WriteString(c, statusOK+"Content-Length: 4\r\nX F")
			io.Copy(io.Discard, c)
		})
		f := newFixture()
		started := time.Now()
		x := f.run(f.command(s.Address()), get())
		Expect(x.Facts.Cause).To(Equal(outcome.CauseMalformed))
		Expect(time.Since(started)).To(BeNumerically("<", waitTimeout/2))
	})

	// Guards against proper responses that are rejected: names may hold any byte of a
	// token, and values may hold blanks and bytes beyond ASCII.
	It("does not include proper names and values", func() {
		raw := statusOK + "!#$%&'*+-.^_`|~09azAZ: 1\r\nx:\r\nX-Blank:\t a \t b \t\r\nX-Bytes: \x80\xff\r\nContent-Length:4\r\n\r\nurns"
		s := serve(func(c *standin.RawConn) {
			c.ReadRequest()
			// Each byte on its own, so that every name is seen in parts.
			for i := range len(raw) {
				io.WriteString(c, raw[i:i+1])
				time.Sleep(100 * time.Microsecond)
			}
		})
		f := newFixture()
		x := f.run(f.command(s.Address()), get())
		Expect(x.Facts.Cause).To(Equal(outcome.CauseNone))
		Expect(string(x.BufferedBody())).To(Equal("urns"))
	})
})

func head() *backend.Request {
	r := get()
	r.Header.SetMethod(http.MethodHead)
	return r
}

// Guards against the headers of chunks that are passed on as a part of the body: HTTP/1.0
// has no transfer codings, so a response with one cannot be understood in one way only.
var _ = DescribeTable("a response in chunks",
	func(version, name string, cause outcome.Cause, body string) {
		s := serve(standin.RespondOnce(version + " 200 OK\r\n" + name + ": chunked\r\n\r\n4\r\nurns\r\n0\r\n\r\n"))
		f := newFixture()
		x := f.run(f.command(s.Address()), post("order"))
		Expect(x.Facts.Cause).To(Equal(cause))
		Expect(string(x.BufferedBody())).To(Equal(body))
	},
	Entry("is decoded", "HTTP/1.1", "Transfer-Encoding", outcome.CauseNone, "urns"),
	Entry("is decoded, with a name in lower case", "HTTP/1.1", "transfer-encoding", outcome.CauseNone, "urns"),
	Entry("is malformed with HTTP/1.0", "HTTP/1.0", "Transfer-Encoding", outcome.CauseMalformed, ""),
	Entry("is malformed with HTTP/1.0 and a name in lower case", "HTTP/1.0", "transfer-encoding", outcome.CauseMalformed, ""),
)
