package backend_test

import (
	"io"
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"wisteriapond/backend"
	"wisteriapond/core"
	"wisteriapond/outcome"
	"wisteriapond/standin"
)

const (
	idHeader       = "X-Request"
	instanceHeader = "X-For"
)

func namedBench() *bench {
	b := newBench()
	b.pool.Dialect = backend.Dialect{Timeout: "X-Left", RequestID: idHeader, Instance: instanceHeader, AnsweredBy: "X-By"}
	return b
}

func named(id string) *backend.Request {
	r := get()
	r.Header.Set(idHeader, id)
	return r
}

var _ = Describe("answers that name their request", func() {
	answer := func(id, body string) string {
		head := "HTTP/1.1 200 OK\r\n"
		if id != "" {
			head += idHeader + ": " + id + "\r\n"
		}
		return head + "Content-Length: " + string(rune('0'+len(body))) + "\r\n\r\n" + body
	}

	// Guards against an answer that reaches another request.
	DescribeTable("are told apart",
		func(raw string, cause outcome.Cause, body string) {
			s := serve(standin.RespondOnce(raw))
			b := namedBench()
			x := b.run(b.command(s.Address()), named("r2"))
			Expect(x.Facts.Cause).To(Equal(cause))
			if cause == outcome.CauseNone {
				Expect(string(x.Held())).To(Equal(body))
			}
		},
		Entry("own", answer("r2", "urns"), outcome.CauseNone, "urns"),
		Entry("a late one before it", answer("r1", "old")+answer("r2", "urns"), outcome.CauseNone, "urns"),
		Entry("two late ones before it", answer("r1", "old")+answer("r1", "old")+answer("r2", "urns"), outcome.CauseNone, "urns"),
		Entry("only a late one", answer("r1", "old"), outcome.CauseReset, ""),
		Entry("late ones without end", answer("r1", "a")+answer("r1", "a")+answer("r1", "a")+answer("r1", "a")+answer("r1", "a"), outcome.CauseMalformed, ""),
		Entry("a success without a name", answer("", "urns"), outcome.CauseMalformed, ""),
		Entry("an error without a name", "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n", outcome.CauseNone, ""),
	)

	// Guards against a second answer that waits in a connection for the next
	// request.
	It("are not followed by another one on a connection that is kept", func() {
		s := serve(standin.RespondOnce(answer("r1", "urns") + answer("r1", "more")))
		b := namedBench()
		b.run(b.command(s.Address()), named("r1"))
		x := b.run(b.command(s.Address()), named("r2"))
		Expect(x.Facts.Cause).NotTo(Equal(outcome.CauseNone))
		Expect(s.Accepted()).To(BeEquivalentTo(2))
	})

	// Guards against a request that another instance at the same address runs.
	It("come from the instance that the request names", func() {
		got := make(chan http.Header, 1)
		s := serve(func(c *standin.RawConn) {
			request, err := http.ReadRequest(c.Reader)
			if err != nil {
				return
			}
			got <- request.Header
			io.WriteString(c, "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n")
		})
		b := namedBench()
		command := b.command(s.Address())
		command.Instance = "i-7"
		x := b.run(command, named("r1"))
		header := <-got
		Expect(header.Get(instanceHeader)).To(Equal("i-7"))
		Expect(header.Get("X-Left")).NotTo(BeEmpty())
		Expect(header.Get(backend.HeaderDepth)).To(BeEmpty())
		Expect(outcome.Classify(x.Facts, 0)).To(Equal(outcome.NotRun))
	})

	// Guards against a load that another instance tells.
	DescribeTable("to a probe name their instance", func(by string, cause outcome.Cause) {
		s := serve(standin.RespondToEach("HTTP/1.1 200 OK\r\nX-By: " + by + "\r\nContent-Length: 0\r\n\r\n"))
		b := namedBench()
		for range 2 {
			facts, _ := b.pool.Probe(GinkgoT().Context(), b.clock, core.StartProbe{
				Address: s.Address(), Instance: "i-7", Reuse: true, StartBefore: b.command("").StartBefore,
			})
			Expect(facts.Cause == outcome.CauseNone).To(Equal(cause == outcome.CauseNone))
		}
		if cause == outcome.CauseNone {
			Expect(s.Accepted()).To(BeEquivalentTo(1))
		}
	},
		Entry("the one meant, over one connection", "i-7", outcome.CauseNone),
		Entry("another one", "i-8", outcome.CauseReset),
	)
})
