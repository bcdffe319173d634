package core

import (
	"fmt"
	"slices"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"wisteriapond/outcome"
)

// endWith ends an attempt with a response that is buffered, or with the head of one that
// is long.
func (r *storeTestReducer) endWith(attempt StartAttempt, facts outcome.Facts, long bool) []Effect {
	if long {
		return r.step(AnswerBegun{Attempt: attempt.Attempt, Facts: facts})
	}
	return r.finishAttempt(attempt, facts)
}

// Guards against an order that runs twice because its caller took the status of a server
// that had run it as a promise that it had not (rule REFUSED).
var _ = ginkgo.Describe("a response with the status of a request that did not run", func() {
	configured := func() *storeTestReducer {
		return newConfiguredStoreTestReducer(storeServer("a", "read", "mtl-a"), storeServer("b", "read", "mtl-a"),
			storeServer("c", "write", "mtl-a"), storeServer("d", "write", "mtl-a"))
	}
	for _, long := range []bool{false, true} {
		for _, attempts := range []int{1, 2} {
			ginkgo.It(fmt.Sprintf("reaches the caller of an order only if nothing ran, attempts: %d, long: %v", attempts, long), func() {
				for status := 200; status < 600; status++ {
					r := configured()
					attempt := firstEffect[StartAttempt](r.arrive("/order/x"))
					if attempts == 2 {
						r.endWith(attempt, shed, long)
						attempt = firstEffect[StartAttempt](r.advance(20 * time.Millisecond))
						Expect(attempt.Attempt.Number).To(Equal(2))
					}
					effects := r.endWith(attempt, outcome.Facts{Wrote: true, Status: status, RetryAfter: time.Second, BodyTaken: long, Load: -1}, long)
					Expect(count[StartAttempt](effects)).To(BeZero())
					if slices.Contains([]int{408, 421, 429, 503}, status) {
						Expect(firstEffect[Fail](effects).Reason).To(Equal(outcome.FailedBackendError), "status %d", status)
						Expect(count[PassAnswer](effects)).To(BeZero(), "status %d", status)
						Expect(r.state.requests).To(BeEmpty())
					} else {
						Expect(count[PassAnswer](effects)).To(Equal(1), "status %d", status)
					}
					Expect(count[StartAttempt](r.advance(time.Second))).To(BeZero(), "an order that may have run is sent again")
				}
			})

			ginkgo.It(fmt.Sprintf("leads to a refusal or another attempt if the server says that nothing ran, attempts: %d, long: %v", attempts, long), func() {
				for status := 200; status < 600; status++ {
					r := configured()
					attempt := firstEffect[StartAttempt](r.arrive("/order/x"))
					refused := outcome.Facts{Wrote: true, Status: status, NotRunHeader: true, Load: -1}
					var effects []Effect
					for range attempts {
						effects = r.endWith(attempt, refused, long)
						attempt = firstEffect[StartAttempt](r.advance(20 * time.Millisecond))
					}
					Expect(count[PassAnswer](effects)+count[Fail](effects)).To(BeZero(), "status %d", status)
					Expect(count[Refuse](effects) > 0).To(Equal(attempts == 2), "status %d", status)
				}
			})
		}

		ginkgo.It(fmt.Sprintf("reaches the caller of a lookup, long: %v", long), func() {
			for _, status := range []int{408, 421, 429, 503} {
				r := configured()
				effects := r.endWith(firstEffect[StartAttempt](r.arrive("/lookup/x")), outcome.Facts{Wrote: true, Status: status, GaveUp: true, Load: -1}, long)
				Expect(count[PassAnswer](effects)).To(Equal(1), "status %d", status)
			}
		})
	}
})
