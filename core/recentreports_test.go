package core

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"wisteriapond/outcome"
)

// Load: many hosts share servers with few slots, and each of them sees a hundredth of
// the requests. A report of a free slot that is some hundred milliseconds old is
// wrong for most of them, and the server rejects or resets what is too much.
var _ = ginkgo.Describe("a load report of a free slot", func() {
	// newHost returns a host with two servers of two slots that tell their load.
	newHost := func() *storeTestReducer {
		r := newStoreTestReducer(defaultRegistry)
		routes := routing(1)
		routes.Services[0].ProbePath = "/health"
		r.list(routes, storeServer("a", "read", "mtl-a"), storeServer("b", "read", "mtl-a"))
		return r
	}
	// tell delivers the load report of a server.
	tell := func(r *storeTestReducer, name string, running int) {
		r.state.upstreamOf("read", name).loadQuery.pending = true
		facts := success
		facts.Told = outcome.LoadReport{Known: true, Running: running, Slots: 2, Slowdown: 100}
		r.step(ProbeFinished{Service: "read", Upstream: name, Facts: facts})
	}
	// arriveWithQueries delivers a request, and the given reports of the servers that
	// are queried for it. It returns the server on which the request starts.
	arriveWithQueries := func(r *storeTestReducer, running map[string]int, slowdown int) string {
		effects := r.arrive("/lookup/x")
		Expect(count[StartProbe](effects)).To(Equal(2))
		for _, name := range sortedKeys(running) {
			facts := success
			facts.Told = outcome.LoadReport{Known: true, Running: running[name], Slots: 2, Slowdown: slowdown}
			effects = append(effects, r.step(ProbeFinished{Service: "read", Upstream: name, Facts: facts})...)
		}
		effects = append(effects, r.advance(nearQueryWait)...)
		return firstEffect[StartAttempt](effects).Upstream
	}

	// Guards against starts on a server whose slot was free some time ago, although
	// another one, a little slower, has just reported a free slot.
	ginkgo.It("does not count once it is old, if another server has a recent one", func() {
		r := newHost()
		tell(r, "a", 0)
		r.advance(200 * time.Millisecond)
		Expect(arriveWithQueries(r, map[string]int{"b": 1}, 150)).To(Equal("b"))
	})

	ginkgo.It("does not count once it is old, if another server has just reported that it is full", func() {
		r := newHost()
		tell(r, "a", 0)
		r.advance(200 * time.Millisecond)
		Expect(arriveWithQueries(r, map[string]int{"b": 2}, 100)).To(BeEmpty())
		Expect(r.state.services["read"].waiting).To(Equal(1))
	})

	// Guards against requests that wait for reports which do not come.
	ginkgo.It("counts until it is stale if no server has a recent one", func() {
		r := newHost()
		tell(r, "a", 0)
		r.advance(200 * time.Millisecond)
		Expect(arriveWithQueries(r, nil, 100)).To(Equal("a"))
	})
})
