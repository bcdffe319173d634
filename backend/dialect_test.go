package backend_test

import (
	"io"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"wisteriapond/backend"
	"wisteriapond/config"
	"wisteriapond/core"
	"wisteriapond/outcome"
	"wisteriapond/standin"
)

const (
	idHeader       = "X-Request"
	instanceHeader = "X-For"
)

func newDialectFixture() *fixture {
	f := newFixture()
	f.pool.Dialect = backend.Dialect{Timeout: "X-Left", RequestID: idHeader, Instance: instanceHeader, RespondingInstance: "X-By"}
	return f
}

func requestWithID(id string) *backend.Request {
	r := get()
	r.Header.Set(idHeader, id)
	return r
}

var _ = Describe("responses that carry the request ID", func() {
	response := func(id, body string) string {
		message := "HTTP/1.1 200 OK\r\n"
		if id != "" {
			message += idHeader + ": " + id + "\r\n"
		}
		return message + "Content-Length: " + string(rune('0'+len(body))) + "\r\n\r\n" + body
	}

	// Guards against delivering a response to the wrong request.
	DescribeTable("are matched to their request",
		func(raw string, cause outcome.Cause, body string) {
			s := serve(standin.RespondOnce(raw))
			f := newDialectFixture()
			x := f.run(f.command(s.Address()), requestWithID("r2"))
			Expect(x.Facts.Cause).To(Equal(cause))
			if cause == outcome.CauseNone {
				Expect(string(x.BufferedBody())).To(Equal(body))
			}
		},
		Entry("the matching response", response("r2", "urns"), outcome.CauseNone, "urns"),
		Entry("after a late response", response("r1", "old")+response("r2", "urns"), outcome.CauseNone, "urns"),
		Entry("after two late responses", response("r1", "old")+response("r1", "old")+response("r2", "urns"), outcome.CauseNone, "urns"),
		Entry("only a late response", response("r1", "old"), outcome.CauseReset, ""),
		Entry("too many late responses", response("r1", "a")+response("r1", "a")+response("r1", "a")+response("r1", "a")+response("r1", "a"), outcome.CauseMalformed, ""),
		Entry("a success without an ID", response("", "urns"), outcome.CauseMalformed, ""),
		Entry("an error without an ID", "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n", outcome.CauseNone, ""),
	)

	// Guards against a second response that stays in a connection and is read
	// by the next request.
	It("are not followed by another one on a reused connection", func() {
		s := serve(standin.RespondOnce(response("r1", "urns") + response("r1", "more")))
		f := newDialectFixture()
		f.run(f.command(s.Address()), requestWithID("r1"))
		x := f.run(f.command(s.Address()), requestWithID("r2"))
		Expect(x.Facts.Cause).NotTo(Equal(outcome.CauseNone))
		Expect(s.Accepted()).To(BeEquivalentTo(2))
	})

	// Guards against a late copy of an error response without an ID: the next request
	// on the connection would count as not run while the server runs it.
	It("are not replaced by an error without an ID on a reused connection", func() {
		const refusal = "HTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
		s := serve(func(c *standin.RawConn) {
			for _, raw := range []string{response("r1", "urns"), refusal} {
				if c.ReadRequest() != nil {
					io.WriteString(c, raw)
				}
			}
		})
		f := newDialectFixture()
		command := f.command(s.Address())
		command.NotRun = config.NotRunForm{Header: "X-Not-Run", Value: "1"}
		Expect(f.run(command, requestWithID("r1")).Facts.Cause).To(Equal(outcome.CauseNone))
		x := f.run(command, requestWithID("r2"))
		Expect(s.Accepted()).To(BeEquivalentTo(1))
		Expect(x.Facts.Cause).To(Equal(outcome.CauseMalformed))
		Expect(outcome.Classify(x.Facts, 0)).To(Equal(outcome.Unknown))
	})

	// Guards against a retry that counts as not run because of a late copy of the
	// refusal that it follows: the copy carries the ID of the request as well, so only
	// a new connection separates the two. Without request IDs, the copy would match
	// any later request.
	DescribeTable("are not replaced by a late copy of a refusal",
		func(f *fixture, id string) {
			const head = "HTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n"
			refusal := head + idHeader + ": r1\r\n\r\n"
			s := serve(func(c *standin.RawConn) {
				answer := response("r1", "urns")
				if c.Number == 1 {
					answer = refusal
				}
				for c.ReadRequest() != nil {
					io.WriteString(c, answer)
				}
			})
			command := f.command(s.Address())
			command.NotRun = config.NotRunForm{Header: "X-Not-Run", Value: "1"}
			Expect(outcome.Classify(f.run(command, requestWithID(id)).Facts, 0)).To(Equal(outcome.NotRun))
			x := f.run(command, requestWithID(id))
			Expect(x.Facts.Cause).To(Equal(outcome.CauseNone))
			Expect(string(x.BufferedBody())).To(Equal("urns"))
			Expect(s.Accepted()).To(BeEquivalentTo(2))
		},
		Entry("with request IDs", newDialectFixture(), "r1"),
		Entry("without request IDs", newFixture(), "r1"),
	)

	// Guards against a refused load query on a kept connection, whose late copy would be
	// read as the response to the next request.
	It("are not replaced by a late copy of a refused load query", func() {
		s := serve(standin.RespondToEach("HTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\nX-By: i-7\r\nContent-Length: 0\r\n\r\n"))
		f := newDialectFixture()
		for range 2 {
			f.pool.Probe(GinkgoT().Context(), f.clock, core.StartProbe{
				Address: s.Address(), Instance: "i-7", Reuse: true, StartBefore: f.command("").StartBefore,
			})
		}
		Expect(s.Accepted()).To(BeEquivalentTo(2))
	})

	// Guards against work that counts as not run when its response is lost: at each
	// byte of the response the connection may end.
	It("that are lost at any byte leave the outcome unknown", func() {
		for _, complete := range []string{response("r1", "urns"), "HTTP/1.1 503 Busy\r\nX-Request: r1\r\nX-Not-Run: 1\r\nContent-Length: 2\r\n\r\nno"} {
			for sent := range len(complete) {
				s := serve(standin.RespondOnce(complete[:sent]))
				f := newDialectFixture()
				command := f.command(s.Address())
				command.NotRun = config.NotRunForm{Header: "X-Not-Run", Value: "1"}
				x := f.run(command, requestWithID("r1"))
				Expect(outcome.Classify(x.Facts, 0)).To(Equal(outcome.Unknown), "%q", complete[:sent])
			}
		}
	})

	// Guards against a request that is run by another instance at the same
	// address.
	It("with status 421 mean that another instance did not run the request", func() {
		got := make(chan http.Header, 1)
		s := serve(func(c *standin.RawConn) {
			request, err := http.ReadRequest(c.Reader)
			if err != nil {
				return
			}
			got <- request.Header
			io.WriteString(c, "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n")
		})
		f := newDialectFixture()
		command := f.command(s.Address())
		command.Instance = "i-7"
		x := f.run(command, requestWithID("r1"))
		header := <-got
		Expect(header.Get(instanceHeader)).To(Equal("i-7"))
		Expect(header.Get("X-Left")).NotTo(BeEmpty())
		Expect(header.Get(backend.HeaderDepth)).To(BeEmpty())
		Expect(outcome.Classify(x.Facts, 0)).To(Equal(outcome.NotRun))
	})

	// Guards against a wait that a server requests when it refuses a load query, and that
	// is lost since the refusal does not name its instance.
	DescribeTable("that refuse a probe keep the requested wait",
		func(status, by string, wait time.Duration) {
			s := serve(standin.RespondToEach("HTTP/1.1 " + status + "\r\nRetry-After: 4\r\n" + by + "Content-Length: 0\r\n\r\n"))
			f := newDialectFixture()
			facts, _ := f.pool.Probe(GinkgoT().Context(), f.clock, core.StartProbe{
				Address: s.Address(), Instance: "i-7", Reuse: true, StartBefore: f.command("").StartBefore,
			})
			Expect(facts.Cause == outcome.CauseNone).To(Equal(wait > 0))
			if wait > 0 {
				Expect(facts.RetryAfter).To(Equal(wait))
			}
			Expect(s.Accepted()).To(BeEquivalentTo(1))
		},
		Entry("without an instance", "503 Busy", "", 4*time.Second),
		Entry("without an instance, with status 429", "429 Busy", "", 4*time.Second),
		Entry("from the named instance", "503 Busy", "X-By: i-7\r\n", 4*time.Second),
		Entry("but not that of another instance", "503 Busy", "X-By: i-8\r\n", time.Duration(0)),
		Entry("but not that of a server for other instances", "421 Misdirected Request", "", time.Duration(0)),
		Entry("but not that of a success without an instance", "200 OK", "", time.Duration(0)),
	)

	// Guards against adopting the load report of another instance.
	DescribeTable("to a probe must come from the named instance", func(instance string, cause outcome.Cause) {
		s := serve(standin.RespondToEach("HTTP/1.1 200 OK\r\nX-By: " + instance + "\r\nContent-Length: 0\r\n\r\n"))
		f := newDialectFixture()
		for range 2 {
			facts, _ := f.pool.Probe(GinkgoT().Context(), f.clock, core.StartProbe{
				Address: s.Address(), Instance: "i-7", Reuse: true, StartBefore: f.command("").StartBefore,
			})
			Expect(facts.Cause == outcome.CauseNone).To(Equal(cause == outcome.CauseNone))
		}
		if cause == outcome.CauseNone {
			Expect(s.Accepted()).To(BeEquivalentTo(1))
		}
	},
		Entry("from the named instance, on one connection", "i-7", outcome.CauseNone),
		Entry("from another instance", "i-8", outcome.CauseReset),
	)
})

var _ = Describe("the warm-up that a server reports", func() {
	// Guards against a cold server that counts as warm since its report is not read.
	DescribeTable("is read from the response to a load query", func(header string, want outcome.WarmUpReport) {
		s := serve(standin.RespondOnce("HTTP/1.1 200 OK\r\n" + header + "Content-Length: 0\r\n\r\n"))
		f := newDialectFixture()
		f.pool.Dialect.WarmUp = "X-Cold"
		f.pool.Dialect.ParseWarmUp = func(value []byte) outcome.WarmUpReport {
			return outcome.WarmUpReport{Known: true, Left: time.Duration(len(value))}
		}
		facts, _ := f.pool.Probe(GinkgoT().Context(), f.clock, core.StartProbe{
			Address: s.Address(), StartBefore: f.clock.Now() + core.Instant(time.Minute),
			Probe: config.Probe{Path: "/health", AnswerLimit: 1 << 10}, Connections: 1, Instance: "i-1", Reuse: true,
		})
		Expect(facts.WarmUp).To(Equal(want))
	},
		Entry("if there is one", "X-By: i-1\r\nX-Cold: 12\r\n", outcome.WarmUpReport{Known: true, Left: 2}),
		Entry("unless there is none", "X-By: i-1\r\n", outcome.WarmUpReport{}),
	)
})
