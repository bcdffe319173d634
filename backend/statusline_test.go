package backend_test

import (
	"io"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"wisteriapond/config"
	"wisteriapond/core"
	"wisteriapond/outcome"
	"wisteriapond/standin"
)

// rest ends a response whose status line is given.
const rest = "\r\nContent-Length: 4\r\n\r\nurns"

// Guards against a status that is none and is passed on, 000 even as 200: whole digits
// from 100 to 599 are a status, and anything else shows that the bytes are no answer.
var _ = DescribeTable("a status line",
	func(line string, cause outcome.Cause, status int) {
		s := serve(standin.RespondToEach(line + rest))
		f := newFixture()
		for range 2 {
			x := f.run(f.command(s.Address()), post("order"))
			Expect(x.Facts.Cause).To(Equal(cause))
			Expect(x.Facts.Status).To(Equal(status))
			if cause != outcome.CauseNone {
				Expect(outcome.Classify(x.Facts, 0)).To(Equal(outcome.Unknown))
				Expect(f.pool.OpenConnections(s.Address())).To(BeZero())
			}
		}
		for _, reuse := range []bool{false, true} {
			facts, _ := f.pool.Probe(GinkgoT().Context(), f.clock, core.StartProbe{
				Address: s.Address(), Reuse: reuse, StartBefore: f.command("").StartBefore,
				Probe: config.Probe{Path: "/health", Timeout: waitTimeout, AnswerLimit: 16 << 10},
			})
			Expect(facts.Cause).To(Equal(cause), "reuse %v", reuse)
			Expect(facts.Status).To(Equal(status), "reuse %v", reuse)
		}
	},
	Entry("with 200", "HTTP/1.1 200 OK", outcome.CauseNone, 200),
	Entry("without a reason", "HTTP/1.1 200", outcome.CauseNone, 200),
	Entry("of HTTP/1.0", "HTTP/1.0 200 OK", outcome.CauseNone, 200),
	Entry("with more spaces", "HTTP/1.1  200  OK", outcome.CauseNone, 200),
	Entry("after empty lines", "\r\n\nHTTP/1.1 200 OK", outcome.CauseNone, 200),
	Entry("with 599", "HTTP/1.1 599 X", outcome.CauseNone, 599),
	Entry("with 299", "HTTP/1.1 299 X", outcome.CauseNone, 299),
	Entry("after interim responses", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 199 X\r\nA: b\r\n\r\nHTTP/1.1 200 OK", outcome.CauseNone, 200),
	Entry("with 000", "HTTP/1.1 000 OK", outcome.CauseMalformed, 0),
	Entry("with 000 and no reason", "HTTP/1.1 000", outcome.CauseMalformed, 0),
	Entry("with 099", "HTTP/1.1 099 X", outcome.CauseMalformed, 0),
	Entry("with 600", "HTTP/1.1 600 X", outcome.CauseMalformed, 0),
	Entry("with 999", "HTTP/1.1 999 X", outcome.CauseMalformed, 0),
	Entry("with 0200", "HTTP/1.1 0200 OK", outcome.CauseMalformed, 0),
	Entry("with 20", "HTTP/1.1 20 OK", outcome.CauseMalformed, 0),
	Entry("with 2000", "HTTP/1.1 2000 OK", outcome.CauseMalformed, 0),
	Entry("with -200", "HTTP/1.1 -200 OK", outcome.CauseMalformed, 0),
	Entry("with -20", "HTTP/1.1 -20 OK", outcome.CauseMalformed, 0),
	Entry("with +200", "HTTP/1.1 +200 OK", outcome.CauseMalformed, 0),
	Entry("with +20", "HTTP/1.1 +20 OK", outcome.CauseMalformed, 0),
	Entry("with a space in the number", "HTTP/1.1 2 0 OK", outcome.CauseMalformed, 0),
	Entry("with a fraction", "HTTP/1.1 200.0 OK", outcome.CauseMalformed, 0),
	Entry("with a hexadecimal number", "HTTP/1.1 0xC OK", outcome.CauseMalformed, 0),
	Entry("with other digits", "HTTP/1.1 ２00 OK", outcome.CauseMalformed, 0),
	Entry("with a tab", "HTTP/1.1\t200 OK", outcome.CauseMalformed, 0),
	Entry("with a tab after the status", "HTTP/1.1 200\tOK", outcome.CauseMalformed, 0),
	Entry("without a status", "HTTP/1.1 OK", outcome.CauseMalformed, 0),
	Entry("with a tab and bytes beyond ASCII in the reason", "HTTP/1.1 200 O\tK\x80\xff", outcome.CauseNone, 200),
	Entry("with a NUL in the reason", "HTTP/1.1 200 O\x00K", outcome.CauseMalformed, 0),
	Entry("with a carriage return in the reason", "HTTP/1.1 200 O\rK", outcome.CauseMalformed, 0),
	Entry("with an escape in the reason", "HTTP/1.1 200 \x1b[2J", outcome.CauseMalformed, 0),
	Entry("with a delete at the end of the reason", "HTTP/1.1 200 OK\x7f", outcome.CauseMalformed, 0),
	Entry("with a control byte in the reason of an interim response", "HTTP/1.1 100 \x01\r\n\r\nHTTP/1.1 200 OK", outcome.CauseMalformed, 0),
	Entry("with a line feed in the reason", "HTTP/1.1 200 O\nK: 1", outcome.CauseMalformed, 0),
	Entry("of another version", "HTTP/1.x 200 OK", outcome.CauseMalformed, 0),
	Entry("of another protocol", "HTTP/2.0 200 OK", outcome.CauseMalformed, 0),
	Entry("with 000 after an interim response", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 OK", outcome.CauseMalformed, 0),
	Entry("with 600 after an interim response", "HTTP/1.1 103 X\r\nA: b\r\n\r\nHTTP/1.1 600 OK", outcome.CauseMalformed, 0),
	Entry("with 101 after an interim response", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 101 X", outcome.CauseMalformed, 0),
	Entry("after too many interim responses", strings.Repeat("HTTP/1.1 100 Continue\r\n\r\n", 101)+"HTTP/1.1 200 OK", outcome.CauseMalformed, 0),
)

// Guards against an attempt that waits for the end of a status line that shows already
// that it is none.
var _ = DescribeTable("a status line that never ends is recognized at its first wrong byte",
	func(line string) {
		s := serve(func(c *standin.RawConn) {
			c.ReadRequest()
			io.WriteString(c, line)
			io.Copy(io.Discard, c)
		})
		f := newFixture()
		started := time.Now()
		x := f.run(f.command(s.Address()), post("order"))
		Expect(x.Facts.Cause).To(Equal(outcome.CauseMalformed))
		Expect(time.Since(started)).To(BeNumerically("<", waitTimeout/2))
	},
	Entry("of no protocol", "u"),
	Entry("with a letter", "HTTP/1.1 2a"),
	Entry("with four digits", "HTTP/1.1 2000"),
	Entry("with only spaces", "HTTP/1.1"+strings.Repeat(" ", 64<<10)),
	Entry("after only empty lines", strings.Repeat("\r\n", 64<<10)),
)
