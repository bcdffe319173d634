package core

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"wisteriapond/outcome"
)

// leavingSuccess is a response of a server that announces that it is leaving.
var leavingSuccess = outcome.Facts{Wrote: true, Status: 200, Load: -1, Draining: true}

// refusedFor returns a refusal that requests a wait.
func refusedFor(wait time.Duration) outcome.Facts {
	return outcome.Facts{Wrote: true, Status: 503, NotRunHeader: true, Load: -1, RetryAfter: wait}
}

// startsOn advances the reducer in steps of 20 ms, sends a request in each, and
// returns the number of attempts and load queries by upstream.
func (r *storeTestReducer) startsOn(d time.Duration) map[string]int {
	starts := make(map[string]int)
	count := func(effects []Effect) {
		for _, effect := range effects {
			switch e := effect.(type) {
			case StartAttempt:
				starts[e.Upstream]++
				for _, next := range r.finishAttempt(e, success) {
					if query, ok := next.(StartProbe); ok {
						starts[query.Upstream]++
					}
				}
			case StartProbe:
				starts[e.Upstream]++
			}
		}
	}
	for end := r.now.Add(d); r.now.Before(end); {
		count(r.advance(20 * time.Millisecond))
		count(r.arrive("/lookup/x"))
	}
	return starts
}

var _ = ginkgo.Describe("a server that announces in a response that it is leaving", func() {
	servers := func() []Server {
		return []Server{storeServer("a", "read", "mtl-a"), storeServer("b", "read", "mtl-b")}
	}

	// Guards against new work on a server that has announced its end, whatever the
	// store says: it may be stale, and it may list the entry as ready again.
	ginkgo.DescribeTable("gets no new work, whatever the store says", func(announcement outcome.Facts) {
		r := newConfiguredStoreTestReducer(servers()...)
		first := firstEffect[StartAttempt](r.arrive("/lookup/x"))
		Expect(first.Upstream).To(Equal("a"))
		effects := r.finishAttempt(first, announcement)
		Expect(effects).To(ContainElement(CloseIdle{Address: "a:80"}))
		Expect(r.startsOn(time.Second)).NotTo(HaveKey("a"))
		r.list(routing(1), servers()...)
		Expect(r.startsOn(time.Second)).NotTo(HaveKey("a"))
		r.change(removed("a"))
		back := servers()[0]
		r.change(ServerChange{ID: "a", Server: &back})
		Expect(r.startsOn(time.Second)).NotTo(HaveKey("a"))
	},
		ginkgo.Entry("after a success", leavingSuccess),
		ginkgo.Entry("after an error of its own", outcome.Facts{Wrote: true, Status: 500, Load: -1, Draining: true}),
		ginkgo.Entry("after a truncated response", outcome.Facts{Wrote: true, Status: 200, Cause: outcome.CauseTruncated, Load: -1, Draining: true}),
	)

	// Guards against a mark that is applied to another instance: one that takes
	// over the ID or the address.
	ginkgo.It("does not affect an instance that takes its ID or its address", func() {
		r := newConfiguredStoreTestReducer(servers()...)
		r.finishAttempt(firstEffect[StartAttempt](r.arrive("/lookup/x")), leavingSuccess)
		restarted := servers()[0]
		restarted.Born = 2
		r.change(ServerChange{ID: "a", Server: &restarted})
		Expect(r.startsOn(200 * time.Millisecond)).To(HaveKey("a"))

		other := storeServer("c", "read", "mtl-a")
		other.Address = "a:80"
		r.change(removed("a"), ServerChange{ID: "c", Server: &other})
		Expect(r.startsOn(200 * time.Millisecond)).To(HaveKey("c"))
	})

	// Guards against running work that is given up because its server is leaving.
	ginkgo.It("finishes its running work", func() {
		r := newConfiguredStoreTestReducer(servers()[0])
		first := firstEffect[StartAttempt](r.arrive("/lookup/x"))
		second := firstEffect[StartAttempt](r.arrive("/lookup/x"))
		Expect(second.Upstream).To(Equal("a"))
		Expect(count[CancelAttempt](r.finishAttempt(first, leavingSuccess))).To(BeZero())
		Expect(count[CancelAttempt](r.advance(100 * time.Millisecond))).To(BeZero())
		Expect(count[PassAnswer](r.finishAttempt(second, success))).To(Equal(1))
	})

	// Guards against requests that wait until their time is over for a service whose
	// last server is leaving.
	ginkgo.It("leaves its service without servers, whose requests are refused at once", func() {
		r := newConfiguredStoreTestReducer(servers()[0])
		r.finishAttempt(firstEffect[StartAttempt](r.arrive("/lookup/x")), leavingSuccess)
		Expect(firstEffect[Refuse](r.arrive("/lookup/x")).Reason).To(Equal(outcome.RefusedNoHost))
	})

	// Guards against an announcement in the response to a load query that is not
	// read.
	ginkgo.It("may announce it in the response to a load query", func() {
		r := newStoreTestReducer(defaultRegistry)
		probed := routing(1)
		probed.Services[0].ProbePath = "/health"
		r.list(probed, servers()...)
		r.arrive("/lookup/x")
		r.step(ProbeFinished{Service: "read", Upstream: "a", Facts: outcome.Facts{Wrote: true, Status: 200, Load: -1, Draining: true}})
		Expect(r.startsOn(time.Second)).NotTo(HaveKey("a"))
	})

	// Guards against a host that learns late from the store what its neighbours
	// know, and against marks that circulate without end.
	ginkgo.It("is passed on with the polls between entry hosts, for a bounded time", func() {
		r := newConfiguredStoreTestReducer(servers()...)
		r.finishAttempt(firstEffect[StartAttempt](r.arrive("/lookup/x")), leavingSuccess)
		poll := NewsAsked{ID: 7, Ask: NewsAsk{From: Neighbour{Host: "entry-2", Address: "entry-2:1"}}}
		told := firstEffect[AnswerNews](r.step(poll)).Answer
		Expect(told.Leaving).To(Equal([]string{"a/1"}))

		for _, learn := range []Event{
			NewsAnswered{Address: "entry-1:1", Aside: true, Answer: told},
			NewsAsked{ID: 1, Ask: NewsAsk{From: Neighbour{Host: "entry-1", Address: "entry-1:1"}, Leaving: told.Leaving}},
		} {
			other := newConfiguredStoreTestReducer(servers()...)
			other.state.self.Host = "entry-2"
			other.step(learn)
			Expect(other.startsOn(time.Second)).NotTo(HaveKey("a"))
		}
		r.advance(leavingRelayTime)
		Expect(firstEffect[AnswerNews](r.step(poll)).Answer.Leaving).To(BeEmpty())
	})

	// Guards against marks that accumulate for as long as the process runs.
	ginkgo.It("is forgotten some time after its entry is gone", func() {
		r := newConfiguredStoreTestReducer(servers()...)
		r.finishAttempt(firstEffect[StartAttempt](r.arrive("/lookup/x")), leavingSuccess)
		r.change(removed("a"))
		for range 2 * int((leavingRetention+leavingPruneInterval)/time.Minute) {
			r.advance(30 * time.Second)
		}
		Expect(r.state.hosts).To(BeEmpty())
		Expect(r.state.marks.everLeaving).To(BeEmpty())
	})
})

var _ = ginkgo.Describe("a server that requests a wait", func() {
	servers := func() []Server {
		return []Server{storeServer("a", "read", "mtl-a"), storeServer("b", "read", "mtl-b")}
	}

	// Guards against requests, retries and load queries on a server that has asked
	// for none, also when the refusal says that the request did not run.
	ginkgo.DescribeTable("gets nothing for that time", func(refusal outcome.Facts) {
		r := newConfiguredStoreTestReducer(servers()...)
		first := firstEffect[StartAttempt](r.arrive("/lookup/x"))
		Expect(first.Upstream).To(Equal("a"))
		r.finishAttempt(first, refusal)
		Expect(r.startsOn(3900 * time.Millisecond)).NotTo(HaveKey("a"))
		Expect(r.startsOn(500 * time.Millisecond)).To(HaveKey("a"))
	},
		ginkgo.Entry("after a refusal without a run", refusedFor(4*time.Second)),
		ginkgo.Entry("after any other 503", outcome.Facts{Wrote: true, Status: 503, Load: -1, RetryAfter: 4 * time.Second}),
	)

	// Guards against a wait that is forgotten when the entry of the server lapses
	// and returns, as it does when the store was away.
	ginkgo.It("gets nothing for that time if its entry is missing in between", func() {
		r := newConfiguredStoreTestReducer(servers()...)
		r.finishAttempt(firstEffect[StartAttempt](r.arrive("/lookup/x")), refusedFor(4*time.Second))
		r.change(removed("a"))
		back := servers()[0]
		r.change(ServerChange{ID: "a", Server: &back})
		Expect(r.startsOn(3900 * time.Millisecond)).NotTo(HaveKey("a"))
		Expect(r.startsOn(500 * time.Millisecond)).To(HaveKey("a"))
	})

	// Guards against requests that wait in vain: they are refused at once, and told
	// when a server accepts requests again.
	ginkgo.It("leaves requests without another server refused at once, with the time to come back", func() {
		r := newConfiguredStoreTestReducer(servers()[0])
		effects := r.finishAttempt(firstEffect[StartAttempt](r.arrive("/lookup/x")), refusedFor(4*time.Second))
		refused := firstEffect[Refuse](effects)
		for range 5 {
			if refused == (Refuse{}) {
				refused = firstEffect[Refuse](r.advance(time.Millisecond))
			}
		}
		Expect(refused.RetryAfter).To(BeNumerically(">=", 3990*time.Millisecond))
		next := firstEffect[Refuse](r.arrive("/lookup/x"))
		Expect(next.Reason).To(Equal(outcome.RefusedUpstreamsOverloaded))
		Expect(next.RetryAfter).To(BeNumerically("~", 4*time.Second, 200*time.Millisecond))
	})

	// Guards against requests of a waiting queue that start on the server before the
	// end of the wait.
	ginkgo.It("starts the requests that waited once the time is over", func() {
		r := newConfiguredStoreTestReducer(servers()[0])
		r.finishAttempt(firstEffect[StartAttempt](r.arrive("/order/x")), success)
		r.finishAttempt(firstEffect[StartAttempt](r.arrive("/lookup/x")), refusedFor(100*time.Millisecond))
		r.advance(20 * time.Millisecond)
		Expect(firstEffect[StartAttempt](r.arrive("/lookup/x"))).To(BeZero())
		Expect(firstEffect[StartAttempt](r.advance(70 * time.Millisecond))).To(BeZero())
		Expect(firstEffect[StartAttempt](r.advance(20 * time.Millisecond)).Upstream).To(Equal("a"))
	})
})
