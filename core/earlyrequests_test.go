package core

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"wisteriapond/config"
	"wisteriapond/outcome"
)

// arriveEarly delivers a lookup with the given time limit.
func (r *storeTestReducer) arriveEarly(timeout time.Duration) []Effect {
	r.lastID++
	return r.step(RequestArrived{
		ID: r.lastID, BodyKept: true, Timeout: timeout, Request: config.Request{Method: "GET", Host: "h", Path: "/lookup/x"},
	})
}

// The load of a fleet that starts at once, as after a loss of power: callers arrive
// before any host has routes, and every other host is in the same state.
var _ = ginkgo.Describe("requests that arrive before the first configuration", func() {
	// Guards against callers that are refused by every host of a fleet that starts
	// at once although routes arrive well within their time.
	ginkgo.It("start when it arrives, those with the least remaining time first", func() {
		r := newStoreTestReducer(defaultRegistry)
		Expect(count[Refuse](r.arriveEarly(4 * time.Second))).To(BeZero())
		r.advance(20 * time.Millisecond)
		Expect(count[Refuse](r.arriveEarly(700 * time.Millisecond))).To(BeZero())
		r.advance(20 * time.Millisecond)
		var started []RequestID
		for _, effect := range r.list(routing(1), storeServer("a", "read", "mtl-a")) {
			if e, ok := effect.(StartAttempt); ok {
				started = append(started, e.Attempt.Request)
				// The deadline counts from the arrival: 1 s by the route, less by the caller.
				Expect(e.Deadline).To(Equal(map[RequestID]Instant{1: Instant(time.Second), 2: Instant(720 * time.Millisecond)}[e.Attempt.Request]))
			}
		}
		Expect(started).To(Equal([]RequestID{2, 1}))
	})

	// Guards against callers that are held until their time is over.
	ginkgo.DescribeTable("are refused in time to come back", func(timeout, wait time.Duration) {
		r := newStoreTestReducer(defaultRegistry)
		r.arriveEarly(timeout)
		Expect(count[Refuse](r.advance(wait - time.Millisecond))).To(BeZero())
		refused := firstEffect[Refuse](r.advance(time.Millisecond))
		Expect(refused.Reason).To(Equal(outcome.RefusedNotReady))
		Expect(refused.RetryAfter).To(BeNumerically("~", (minEarlyRetryAfter+maxEarlyRetryAfter)/2, (maxEarlyRetryAfter-minEarlyRetryAfter)/2))
		Expect(r.state.early).To(BeEmpty())
	},
		ginkgo.Entry("at half of their time", 600*time.Millisecond, 300*time.Millisecond),
		ginkgo.Entry("after two seconds", time.Minute, 2*time.Second),
		ginkgo.Entry("after one second without a time limit", time.Duration(0), time.Second),
	)

	// Guards against requests that start for a caller that has disconnected.
	ginkgo.It("are dropped when their caller disconnects", func() {
		r := newStoreTestReducer(defaultRegistry)
		r.arriveEarly(time.Second)
		Expect(refusal(r.step(CallerGone{ID: 1}))).To(Equal(outcome.RefusedCallerGone))
		Expect(count[StartAttempt](r.list(routing(1), storeServer("a", "read", "mtl-a")))).To(BeZero())
	})

	// Guards against a stop that waits for them or leaves them without a response.
	ginkgo.It("are refused at once when the host stops", func() {
		r := newStoreTestReducer(defaultRegistry)
		r.arriveEarly(time.Second)
		Expect(refusal(r.step(StopRequested{}))).To(Equal(outcome.RefusedNotReady))
		Expect(refusal(r.arriveEarly(time.Second))).To(Equal(outcome.RefusedNotReady))
		Expect(count[Exit](r.advance(time.Millisecond))).To(Equal(1))
	})

	// Guards against memory that grows with the crowd in front of a starting host.
	ginkgo.It("are limited in number", func() {
		r := newStoreTestReducer(defaultRegistry)
		for range maxEarlyRequests {
			Expect(count[Refuse](r.arriveEarly(time.Second))).To(BeZero())
		}
		Expect(refusal(r.arriveEarly(time.Second))).To(Equal(outcome.RefusedNotReady))
	})
})
