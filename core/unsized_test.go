package core

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"wisteriapond/outcome"
)

var _ = ginkgo.Describe("a response without an announced length", func() {
	servers := []Server{storeServer("a", "read", "mtl-a"), storeServer("b", "read", "mtl-b")}
	usual := outcome.Facts{Wrote: true, Status: 200, Load: -1, Bytes: 800}
	endless := outcome.Facts{Wrote: true, Status: 200, Load: -1, Unsized: true}

	// Guards against bytes without end that are forwarded as the response to a
	// lookup, which another server would have answered.
	ginkgo.It("that is far larger than usual is retried once on another server", func() {
		r := newConfiguredStoreTestReducer(servers...)
		for range 20 {
			r.finishAttempt(firstEffect[StartAttempt](r.arrive("/lookup/x")), usual)
		}
		first := firstEffect[StartAttempt](r.arrive("/lookup/x"))
		Expect(count[PassAnswer](r.step(AnswerBegun{Attempt: first.Attempt, Facts: endless}))).To(BeZero())
		second := firstEffect[StartAttempt](r.advance(20 * time.Millisecond))
		Expect(second.Upstream).NotTo(Equal(first.Upstream))
		Expect(count[PassAnswer](r.step(AnswerBegun{Attempt: second.Attempt, Facts: endless}))).To(Equal(1))
	})

	// Guards against genuine responses that are refused: of orders, of requests with
	// large responses, and before the usual size is known.
	ginkgo.DescribeTable("is forwarded", func(path string, known bool) {
		r := newConfiguredStoreTestReducer(append(servers, storeServer("w", "write", "mtl-a"))...)
		for range 20 {
			if known {
				r.finishAttempt(firstEffect[StartAttempt](r.arrive(path)), usual)
			}
		}
		begun := AnswerBegun{Attempt: firstEffect[StartAttempt](r.arrive(path)).Attempt, Facts: endless}
		Expect(count[PassAnswer](r.step(begun))).To(Equal(1))
	},
		ginkgo.Entry("for a request that must run at most once", "/order/x", true),
		ginkgo.Entry("for a request with large responses", "/file/x", true),
		ginkgo.Entry("before the usual size is known", "/lookup/x", false),
	)

	// Guards against a server that stays in use although its responses never end:
	// callers wait for all of their time and then disconnect.
	ginkgo.It("that does not end before its callers give up takes its server out of use for a while", func() {
		r := newConfiguredStoreTestReducer(servers...)
		onA := 0
		for range 20 {
			a := firstEffect[StartAttempt](r.arrive("/file/x"))
			if a.Upstream != "a" {
				r.finishAttempt(a, usual)
				r.advance(10 * time.Millisecond)
				continue
			}
			onA++
			r.step(AnswerBegun{Attempt: a.Attempt, Facts: endless})
			r.advance(950 * time.Millisecond)
			r.step(CallerGone{ID: a.Attempt.Request})
			canceled := endless
			canceled.Cause = outcome.CauseCanceled
			r.step(AnswerDelivered{Attempt: a.Attempt, Facts: canceled})
		}
		Expect(onA).To(BeNumerically("~", failuresBeforeAvoidance, 1))
	})
})

var _ = ginkgo.Describe("a server that fails one request after the other", func() {
	// Guards against the loss of every second request in a service of two servers,
	// of which no one may be ejected.
	ginkgo.DescribeTable("fails fewer than one request in ten of a service of two servers", func(failure outcome.Facts) {
		r := newConfiguredStoreTestReducer(storeServer("a", "read", "mtl-a"), storeServer("b", "read", "mtl-a"))
		const requests = 200
		failed := 0
		for range requests {
			effects := r.arrive("/lookup/x")
			for range 3 {
				a := firstEffect[StartAttempt](effects)
				if a == (StartAttempt{}) {
					break
				}
				facts := success
				if a.Upstream == "a" {
					facts = failure
				}
				effects = r.finishAttempt(a, facts)
				failed += count[Fail](effects) + count[Refuse](effects)
				if p := firstEffect[PassAnswer](effects); p.Upstream == "a" {
					failed++
				}
				if firstEffect[StartAttempt](effects) == (StartAttempt{}) {
					effects = r.advance(10 * time.Millisecond)
				}
			}
			r.advance(10 * time.Millisecond)
		}
		Expect(failed).To(BeNumerically("<", requests/10))
	},
		ginkgo.Entry("with bytes that are no response", outcome.Facts{Wrote: true, Cause: outcome.CauseMalformed, Load: -1}),
		ginkgo.Entry("with errors", outcome.Facts{Wrote: true, Status: 500, Load: -1}),
		ginkgo.Entry("with resets", outcome.Facts{Wrote: true, Cause: outcome.CauseReset, Load: -1}),
	)

	// Guards against a service that is out of use because all of its servers fail.
	ginkgo.It("stays in use if the others fail as well", func() {
		r := newConfiguredStoreTestReducer(storeServer("a", "read", "mtl-a"), storeServer("b", "read", "mtl-a"))
		for range 50 {
			a := firstEffect[StartAttempt](r.arrive("/order/x"))
			Expect(a).To(BeZero())
			a = firstEffect[StartAttempt](r.arrive("/lookup/x"))
			Expect(a).NotTo(BeZero())
			r.finishAttempt(a, outcome.Facts{Wrote: true, Status: 500, Load: -1})
			r.advance(minAvoidance)
		}
	})
})
