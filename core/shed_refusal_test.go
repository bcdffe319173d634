package core

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"wisteriapond/outcome"
)

var _ = ginkgo.Describe("a request that all tried servers shed", func() {
	// Load: every server of a service rejects about half of its requests, whatever
	// their number, while its load report shows free slots. Guards against callers
	// that are told to wait for a slot: their next attempt has the same chance at
	// once, and after the usual wait it misses the latency goal.
	ginkgo.DescribeTable("may return at once if the servers have room", func(running int, low, high time.Duration) {
		for seed := range 20 {
			r := newConfiguredStoreTestReducer(storeServer("a", "read", "mtl-a"), storeServer("b", "read", "mtl-a"))
			r.state.random = random{state: uint64(seed) + 1}
			shed := outcome.Facts{
				Wrote: true, Status: 503, NotRunHeader: true, Load: -1,
				Told: outcome.LoadReport{Known: true, Running: running, Slots: 2},
			}
			effects := r.arrive("/lookup/x")
			for count[Refuse](effects) == 0 {
				started := firstEffect[StartAttempt](effects)
				if started.Upstream == "" {
					effects = r.advance(time.Millisecond)
					continue
				}
				effects = r.finishAttempt(started, shed)
			}
			wait := firstEffect[Refuse](effects).RetryAfter
			Expect(wait).To(BeNumerically(">=", low))
			Expect(wait).To(BeNumerically("<=", high))
		}
	},
		ginkgo.Entry("free slots", 0, 10*time.Millisecond, 30*time.Millisecond),
		ginkgo.Entry("no free slot", 2, 50*time.Millisecond, time.Second),
	)
})
