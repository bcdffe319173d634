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

// long is a body beyond the hold limit.
var long = strings.Repeat("archive ", core.DefaultHoldBytes/4)

type delivery struct {
	facts outcome.Facts
	whole bool
}

// drain reads a streamed answer to its end, like the server does.
func drain(x *backend.Exchange) (body []byte, end delivery, err error) {
	GinkgoHelper()
	Expect(x.Streaming).To(BeTrue())
	ends := make(chan delivery, 2)
	stream := x.Body(func(facts outcome.Facts, whole bool) { ends <- delivery{facts, whole} })
	body, err = io.ReadAll(stream)
	stream.CloseWithError(err)
	stream.CloseWithError(err)
	Expect(ends).To(HaveLen(1))
	return body, <-ends, err
}

func fixed(body string) string { return fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body) }

func whole(body string) string { return chunked(body) + "0\r\n\r\n" }

func chunked(body string) string {
	return fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(body), body)
}

var _ = Describe("a long answer", func() {
	// Guards against loss at the border between held and streamed bytes.
	DescribeTable("is streamed whole",
		func(raw string) {
			s := serve(standin.RespondOnce(ok + raw))
			b := newBench()
			body, end, err := drain(b.run(b.command(s.Address()), get()))
			Expect(err).NotTo(HaveOccurred())
			Expect(bytes.Equal(body, []byte(long))).To(BeTrue())
			Expect(end.whole).To(BeTrue())
			Expect(end.facts.Bytes).To(BeEquivalentTo(len(long)))
		},
		Entry("with its length", fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(long), long)),
		Entry("in chunks", chunked(long)+"0\r\n\r\n"),
		Entry("that ends with the connection", "\r\n"+long),
	)

	// Guards against an answer that is held and streamed, or neither.
	DescribeTable("begins beyond the hold limit",
		func(length int, framed func(string) string, streaming bool) {
			want := long[:length]
			s := serve(standin.RespondToEach(ok + framed(want)))
			b := newBench()
			for range 2 {
				x := b.run(b.command(s.Address()), get())
				Expect(x.Facts.Cause).To(Equal(outcome.CauseNone))
				Expect(x.Streaming).To(Equal(streaming))
				got := x.Held()
				if streaming {
					got, _, _ = drain(x)
				}
				Expect(string(got) == want).To(BeTrue())
			}
			Expect(s.Accepted()).To(BeEquivalentTo(1))
		},
		Entry("with its length", core.DefaultHoldBytes, fixed, false),
		Entry("with its length, one more", core.DefaultHoldBytes+1, fixed, true),
		Entry("in chunks", core.DefaultHoldBytes, whole, false),
		Entry("in chunks, one more", core.DefaultHoldBytes+1, whole, true),
	)

	// Guards against a broken download that looks complete.
	DescribeTable("breaks",
		func(raw string) {
			s := serve(standin.RespondOnce(ok + raw))
			b := newBench()
			_, end, err := drain(b.run(b.command(s.Address()), get()))
			Expect(err).To(MatchError(io.ErrUnexpectedEOF))
			Expect(end.whole).To(BeFalse())
			Expect(end.facts.Cause).To(Equal(outcome.CauseTruncated))
			Expect(b.pool.Open(s.Address())).To(BeZero())
		},
		Entry("before its length", fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(long)+1, long)),
		Entry("before its last chunk", chunked(long)),
	)

	// Guards against an attempt that nobody ends when the caller breaks off.
	It("ends not whole when passing it on failed", func() {
		s := serve(standin.RespondOnce(ok + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(long), long)))
		b := newBench()
		x := b.run(b.command(s.Address()), get())
		ends := make(chan delivery, 1)
		stream := x.Body(func(facts outcome.Facts, whole bool) { ends <- delivery{facts, whole} })
		Expect(stream.Read(make([]byte, 100))).Error().NotTo(HaveOccurred())
		stream.CloseWithError(errors.New("caller gone"))
		end := <-ends
		Expect(end.whole).To(BeFalse())
		Expect(end.facts.Cause).To(Equal(outcome.CauseCanceled))
		Expect(b.pool.Open(s.Address())).To(BeZero())
	})

	// Guards against a download that outlives its cancel, also while it waits
	// for its pace.
	It("ends when it is cancelled under a slow pace", func() {
		s := serve(standin.RespondOnce(ok + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(long), long)))
		b := newBench()
		command := b.command(s.Address())
		command.Rate = 1
		x := b.run(command, get())
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
		Eventually(ended).WithTimeout(patience).Should(BeClosed())
	})

	// Guards against a pace that cannot be lifted while a read waits for it.
	It("goes on at once when its pace is lifted", func() {
		s := serve(standin.RespondOnce(ok + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(long), long)))
		b := newBench()
		command := b.command(s.Address())
		command.Rate = 1
		x := b.run(command, get())
		ended := make(chan struct{})
		go func() {
			defer GinkgoRecover()
			defer close(ended)
			_, end, err := drain(x)
			Expect(err).NotTo(HaveOccurred())
			Expect(end.whole).To(BeTrue())
		}()
		Consistently(ended, 100*time.Millisecond).ShouldNot(BeClosed())
		x.SetRate(0)
		Eventually(ended).WithTimeout(patience).Should(BeClosed())
	})
})

var _ = Describe("a streamed request body", func() {
	// Guards against sending a request with a part of its body.
	It("cannot be sent twice", func() {
		s := serve(standin.RespondToEach(empty))
		b := newBench()
		request := upload(strings.NewReader(long), int64(len(long)), func() {})
		first := b.run(b.command(s.Address()), request)
		Expect(first.Facts.Cause).To(Equal(outcome.CauseNone))
		Expect(first.Facts.BodyTaken).To(BeTrue())
		second := b.run(b.command(s.Address()), request)
		Expect(second.Facts.Cause).To(Equal(outcome.CauseRequestBody))
		Expect(second.Facts.Wrote).To(BeFalse())
		Expect(s.HeaderSections()).To(HaveLen(1))
	})

	// Guards against blaming the backend server for a caller that hung up.
	It("that breaks off is reported as such", func() {
		s := serve(func(c *standin.RawConn) { c.ReadRequest() })
		b := newBench()
		broken := io.MultiReader(strings.NewReader(long), errorReader{})
		x := b.run(b.command(s.Address()), upload(broken, int64(2*len(long)), func() {}))
		Expect(x.Facts.Cause).To(Equal(outcome.CauseRequestBody))
		Expect(outcome.Classify(x.Facts, 0)).To(Equal(outcome.Unknown))
		Expect(b.pool.Open(s.Address())).To(BeZero())
	})

	// Guards against a caller's connection that is broken off although its body
	// was read: the answer comes before the end of the body is seen.
	It("is not broken off when it was read but its end was not seen yet", func() {
		s := serve(standin.RespondToEach(empty))
		b := newBench()
		stopped := false
		stream := io.MultiReader(strings.NewReader(long), lateEnd{})
		x := b.run(b.command(s.Address()), upload(stream, int64(len(long)), func() { stopped = true }))
		Expect(x.Facts.Status).To(Equal(200))
		Expect(stopped).To(BeFalse())
		Expect(x.BodyRead()).To(BeTrue())
		Expect(b.pool.Open(s.Address())).To(Equal(1))
	})

	// Guards against a dead wait when the server answers without reading.
	It("is given up after an early answer, with its connection", func() {
		s := serve(func(c *standin.RawConn) {
			c.ReadHeaderSection()
			io.WriteString(c, "HTTP/1.1 413 Too Large\r\nContent-Length: 5\r\n\r\nlarge")
			c.Reader.ReadByte()
			time.Sleep(50 * time.Millisecond)
		})
		b := newBench()
		reader, writer := io.Pipe()
		x := b.run(b.command(s.Address()), upload(reader, 1<<30, func() { writer.CloseWithError(io.ErrClosedPipe) }))
		Expect(x.Facts.Status).To(Equal(413))
		Expect(x.Facts.Cause).To(Equal(outcome.CauseNone))
		Expect(string(x.Held())).To(Equal("large"))
		Expect(b.pool.Open(s.Address())).To(BeZero())
	})
})

// lateEnd is the end of a body that is seen long after its last byte.
type lateEnd struct{}

func (lateEnd) Read([]byte) (int, error) {
	time.Sleep(50 * time.Millisecond)
	return 0, io.EOF
}

type errorReader struct{}

func (errorReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }
