package backend_test

import (
	"io"
	"maps"
	"net"
	"slices"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"wisteriapond/backend"
	"wisteriapond/outcome"
	"wisteriapond/standin"
)

const (
	// uploadBytes exceeds what the socket buffers of a connection hold, so that the
	// upload is still being written when the response arrives.
	uploadBytes = 32 << 20
	// resets is the number of attempts that each spec makes: whether the write or the
	// read of an attempt learns of the reset varies.
	resets = 40
)

// uploads are requests whose body is being sent when the connection is reset.
var uploads = map[string]func() *backend.Request{
	"with a length": func() *backend.Request {
		return streamedPost(endless{}, uploadBytes, func() {})
	},
	"in chunks": func() *backend.Request {
		r := streamedPost(endless{}, -1, func() {})
		r.Header.Del("Content-Length")
		r.Header.Set("Transfer-Encoding", "chunked")
		return r
	},
	"in one piece": func() *backend.Request {
		r := post("")
		r.Header.SetContentLength(uploadBytes)
		r.Body = uploadBody
		return r
	},
}

var uploadBody = make([]byte, uploadBytes)

// endless is a body without end.
type endless struct{}

func (endless) Read(p []byte) (int, error) { return len(p), nil }

// Guards against a response that ends with its connection and counts as complete
// although the connection was reset: the system reports a reset once, and the read that
// follows finds an end of file if the write of the request body was told.
var _ = Describe("a reset while the request body is being sent", func() {
	for _, name := range slices.Sorted(maps.Keys(uploads)) {
		upload := uploads[name]
		DescribeTable("of an upload "+name+" truncates a response without a length",
			func(version, body string) {
				s := serve(standin.ResetDuringUpload(version + " 200 OK\r\n\r\n" + body))
				f := newFixture()
				for range resets {
					x := f.run(f.command(s.Address()), upload())
					Expect(x.Facts.Cause).To(BeElementOf(outcome.CauseTruncated, outcome.CauseReset))
					Expect(outcome.Classify(x.Facts, 0)).To(Equal(outcome.Unknown))
					Expect(f.pool.OpenConnections(s.Address())).To(BeZero())
				}
			},
			Entry("with a short body", "HTTP/1.1", "urns"),
			Entry("with an empty body", "HTTP/1.1", ""),
			Entry("of HTTP/1.0", "HTTP/1.0", "urns"),
		)

		// The body is read only after the reset, so that the write is always told of it.
		It("of an upload "+name+" truncates a streamed response without a length", func() {
			s := serve(standin.ResetDuringUpload(statusOK + "\r\n" + longBody))
			f := newFixture()
			x := f.run(f.command(s.Address()), upload())
			time.Sleep(100 * time.Millisecond)
			body, end, err := drain(x)
			Expect(err).To(MatchError(io.ErrUnexpectedEOF))
			Expect(strings.HasPrefix(longBody, string(body))).To(BeTrue())
			Expect(end.complete).To(BeFalse())
			Expect(end.facts.Cause).To(Equal(outcome.CauseTruncated))
		})

		// Guards against a complete response that is lost with the upload.
		DescribeTable("of an upload "+name+" leaves a response complete whose end is known",
			func(framed string) {
				s := serve(standin.ResetDuringUpload(statusOK + framed))
				f := newFixture()
				x := f.run(f.command(s.Address()), upload())
				Expect(x.Facts.Cause).To(Equal(outcome.CauseNone))
				Expect(string(x.BufferedBody())).To(Equal("urns"))
				Expect(f.pool.OpenConnections(s.Address())).To(BeZero())
			},
			Entry("by its length", withLength("urns")),
			Entry("by its last chunk", chunkedComplete("urns")),
		)

		// Guards against a response that was ended in order and is lost since the server
		// rejects the rest of the upload.
		It("of an upload "+name+" leaves a response complete that the server ended before", func() {
			s := serve(func(c *standin.RawConn) {
				c.ReadHeaderSection()
				io.WriteString(c, statusOK+"\r\nurns")
				c.Conn.(*net.TCPConn).CloseWrite()
				time.Sleep(50 * time.Millisecond)
				c.Conn.(*net.TCPConn).SetLinger(0)
			})
			f := newFixture()
			x := f.run(f.command(s.Address()), upload())
			Expect(x.Facts.Cause).To(Equal(outcome.CauseNone))
			Expect(string(x.BufferedBody())).To(Equal("urns"))
		})
	}

	// Guards against a reset that is missed on a connection which carried a request
	// before.
	It("truncates a response without a length on a kept connection", func() {
		s := serve(func(c *standin.RawConn) {
			if c.ReadRequest() != nil {
				io.WriteString(c, statusOK+withLength("first"))
				standin.ResetDuringUpload(statusOK + "\r\n" + longBody)(c)
			}
		})
		f := newFixture()
		Expect(f.run(f.command(s.Address()), get()).Facts.Cause).To(Equal(outcome.CauseNone))
		x := f.run(f.command(s.Address()), uploads["with a length"]())
		Expect(s.Accepted()).To(BeEquivalentTo(1))
		time.Sleep(100 * time.Millisecond)
		_, end, err := drain(x)
		Expect(err).To(MatchError(io.ErrUnexpectedEOF))
		Expect(end.facts.Cause).To(Equal(outcome.CauseTruncated))
	})
})
