package backend_test

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"wisteriapond/backend"
	"wisteriapond/core"
	"wisteriapond/outcome"
	"wisteriapond/standin"
)

// longBody exceeds the size up to which responses are buffered.
var longBody = strings.Repeat("archive ", core.DefaultHoldBytes/4)

type delivery struct {
	facts    outcome.Facts
	complete bool
}

// drain reads a streamed response to its end, as the server towards callers
// does.
func drain(x *backend.Exchange) (body []byte, end delivery, err error) {
	GinkgoHelper()
	Expect(x.Streaming).To(BeTrue())
	ends := make(chan delivery, 2)
	stream := x.Body(func(facts outcome.Facts, complete bool) { ends <- delivery{facts, complete} })
	body, err = io.ReadAll(stream)
	stream.CloseWithError(err)
	stream.CloseWithError(err)
	Expect(ends).To(HaveLen(1))
	return body, <-ends, err
}

func withLength(body string) string {
	return fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
}

func chunkedComplete(body string) string { return chunkedUnterminated(body) + "0\r\n\r\n" }

func chunkedUnterminated(body string) string {
	return fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(body), body)
}

var _ = Describe("a long response", func() {
	// Guards against lost bytes at the boundary between the buffered prefix and
	// the rest of the stream.
	DescribeTable("is streamed completely",
		func(raw string) {
			s := serve(standin.RespondOnce(statusOK + raw))
			f := newFixture()
			body, end, err := drain(f.run(f.command(s.Address()), get()))
			Expect(err).NotTo(HaveOccurred())
			Expect(bytes.Equal(body, []byte(longBody))).To(BeTrue())
			Expect(end.complete).To(BeTrue())
			Expect(end.facts.Bytes).To(BeEquivalentTo(len(longBody)))
		},
		Entry("with a content length", fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(longBody), longBody)),
		Entry("chunked", chunkedUnterminated(longBody)+"0\r\n\r\n"),
		Entry("that ends with the connection", "\r\n"+longBody),
	)

	// Guards against a response that is both buffered and streamed, or neither.
	DescribeTable("is streamed only beyond the buffer limit",
		func(length int, framed func(string) string, streaming bool) {
			want := longBody[:length]
			s := serve(standin.RespondToEach(statusOK + framed(want)))
			f := newFixture()
			for range 2 {
				x := f.run(f.command(s.Address()), get())
				Expect(x.Facts.Cause).To(Equal(outcome.CauseNone))
				Expect(x.Streaming).To(Equal(streaming))
				got := x.BufferedBody()
				if streaming {
					got, _, _ = drain(x)
				}
				Expect(string(got) == want).To(BeTrue())
			}
			Expect(s.Accepted()).To(BeEquivalentTo(1))
		},
		Entry("with a content length", core.DefaultHoldBytes, withLength, false),
		Entry("with a content length, one byte more", core.DefaultHoldBytes+1, withLength, true),
		Entry("chunked", core.DefaultHoldBytes, chunkedComplete, false),
		Entry("chunked, one byte more", core.DefaultHoldBytes+1, chunkedComplete, true),
	)

	// Guards against a truncated download that appears complete.
	DescribeTable("is reported as truncated",
		func(raw string) {
			s := serve(standin.RespondOnce(statusOK + raw))
			f := newFixture()
			_, end, err := drain(f.run(f.command(s.Address()), get()))
			Expect(err).To(MatchError(io.ErrUnexpectedEOF))
			Expect(end.complete).To(BeFalse())
			Expect(end.facts.Cause).To(Equal(outcome.CauseTruncated))
			Expect(f.pool.OpenConnections(s.Address())).To(BeZero())
		},
		Entry("before its content length", fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(longBody)+1, longBody)),
		Entry("before its last chunk", chunkedUnterminated(longBody)),
	)

	// Guards against an attempt that never ends after the caller disconnected.
	It("ends incomplete when forwarding failed", func() {
		s := serve(standin.RespondOnce(statusOK + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(longBody), longBody)))
		f := newFixture()
		x := f.run(f.command(s.Address()), get())
		ends := make(chan delivery, 1)
		stream := x.Body(func(facts outcome.Facts, complete bool) { ends <- delivery{facts, complete} })
		Expect(stream.Read(make([]byte, 100))).Error().NotTo(HaveOccurred())
		stream.CloseWithError(errors.New("caller disconnected"))
		end := <-ends
		Expect(end.complete).To(BeFalse())
		Expect(end.facts.Cause).To(Equal(outcome.CauseCanceled))
		Expect(f.pool.OpenConnections(s.Address())).To(BeZero())
	})

	// Guards against a download that continues after its cancellation, even
	// while it waits for its pacing.
	It("ends when it is canceled while paced slowly", func() {
		s := serve(standin.RespondOnce(statusOK + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(longBody), longBody)))
		f := newFixture()
		command := f.command(s.Address())
		command.Rate = 1
		x := f.run(command, get())
		ended := make(chan struct{})
		go func() {
			defer GinkgoRecover()
			defer close(ended)
			_, end, err := drain(x)
			Expect(err).To(HaveOccurred())
			Expect(end.facts.Cause).To(Equal(outcome.CauseCanceled))
		}()
		Consistently(ended, 100*time.Millisecond).ShouldNot(BeClosed())
		x.Cancel()
		Eventually(ended).WithTimeout(waitTimeout).Should(BeClosed())
	})

	// Guards against pacing that cannot be lifted while a read waits for it.
	It("continues at once when its pacing is lifted", func() {
		s := serve(standin.RespondOnce(statusOK + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(longBody), longBody)))
		f := newFixture()
		command := f.command(s.Address())
		command.Rate = 1
		x := f.run(command, get())
		ended := make(chan struct{})
		go func() {
			defer GinkgoRecover()
			defer close(ended)
			_, end, err := drain(x)
			Expect(err).NotTo(HaveOccurred())
			Expect(end.complete).To(BeTrue())
		}()
		Consistently(ended, 100*time.Millisecond).ShouldNot(BeClosed())
		x.SetRate(0)
		Eventually(ended).WithTimeout(waitTimeout).Should(BeClosed())
	})
})

var _ = Describe("a streamed request body", func() {
	// Guards against a retry that sends only part of a body.
	It("cannot be sent twice", func() {
		s := serve(standin.RespondToEach(emptyResponse))
		f := newFixture()
		request := streamedPost(strings.NewReader(longBody), int64(len(longBody)), func() {})
		first := f.run(f.command(s.Address()), request)
		Expect(first.Facts.Cause).To(Equal(outcome.CauseNone))
		Expect(first.Facts.BodyTaken).To(BeTrue())
		second := f.run(f.command(s.Address()), request)
		Expect(second.Facts.Cause).To(Equal(outcome.CauseRequestBody))
		Expect(second.Facts.Wrote).To(BeFalse())
		Expect(s.HeaderSections()).To(HaveLen(1))
	})

	// Guards against attributing a caller's disconnect to the backend server.
	It("that is aborted by the caller is reported as a request body failure", func() {
		s := serve(func(c *standin.RawConn) { c.ReadRequest() })
		f := newFixture()
		aborted := io.MultiReader(strings.NewReader(longBody), errorReader{})
		x := f.run(f.command(s.Address()), streamedPost(aborted, int64(2*len(longBody)), func() {}))
		Expect(x.Facts.Cause).To(Equal(outcome.CauseRequestBody))
		Expect(outcome.Classify(x.Facts, 0)).To(Equal(outcome.Unknown))
		Expect(f.pool.OpenConnections(s.Address())).To(BeZero())
	})

	// Guards against interrupting the caller's connection although the complete
	// body was read: the response arrives after the last byte of the body but
	// before its end of file.
	It("is not interrupted when it was read completely but its end of file was not", func() {
		s := serve(standin.RespondToEach(emptyResponse))
		f := newFixture()
		stopped := false
		stream := io.MultiReader(strings.NewReader(longBody), delayedEOF{})
		x := f.run(f.command(s.Address()), streamedPost(stream, int64(len(longBody)), func() { stopped = true }))
		Expect(x.Facts.Status).To(Equal(200))
		Expect(stopped).To(BeFalse())
		Expect(x.RequestBodyRead()).To(BeTrue())
		Expect(f.pool.OpenConnections(s.Address())).To(Equal(1))
	})

	// Guards against a deadlock when the server responds without reading the
	// body.
	It("is aborted after an early response, and its connection is closed", func() {
		s := serve(func(c *standin.RawConn) {
			c.ReadHeaderSection()
			io.WriteString(c, "HTTP/1.1 413 Too Large\r\nContent-Length: 5\r\n\r\nlarge")
			c.Reader.ReadByte()
			time.Sleep(50 * time.Millisecond)
		})
		f := newFixture()
		reader, writer := io.Pipe()
		x := f.run(f.command(s.Address()), streamedPost(reader, 1<<30, func() { writer.CloseWithError(io.ErrClosedPipe) }))
		Expect(x.Facts.Status).To(Equal(413))
		Expect(x.Facts.Cause).To(Equal(outcome.CauseNone))
		Expect(string(x.BufferedBody())).To(Equal("large"))
		Expect(f.pool.OpenConnections(s.Address())).To(BeZero())
	})
})

// delayedEOF reports the end of a body long after its last byte.
type delayedEOF struct{}

func (delayedEOF) Read([]byte) (int, error) {
	time.Sleep(50 * time.Millisecond)
	return 0, io.EOF
}

type errorReader struct{}

func (errorReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }
