package core

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = ginkgo.Describe("the connections of an upstream", func() {
	// newHost returns a host with one server of 60 slots that accepts 200
	// connections.
	newHost := func(address string) *storeTestReducer {
		r := newStoreTestReducer(func(settings *RegistrySettings) { settings.Address = address })
		routes := routing(1)
		routes.Services[0].Connections = 200
		server := storeServer("a", "read", "mtl-a")
		server.Slots = 60
		r.list(routes, server)
		return r
	}

	// Guards against requests that fail for want of a connection and are not
	// started when one comes free: the share of a host may be far below the slots
	// of a server.
	ginkgo.It("let a request wait until one is free", func() {
		r := newHost("")
		share := r.state.connectionShare(r.state.services["read"].upstreams[0])
		Expect(share).To(BeNumerically("<", 60))
		var first StartAttempt
		for i := range share {
			started := firstEffect[StartAttempt](r.arrive("/lookup/x"))
			Expect(started).NotTo(BeZero())
			if i == 0 {
				first = started
			}
		}
		waiting := r.arrive("/lookup/x")
		Expect(count[StartAttempt](waiting)).To(BeZero())
		Expect(count[Refuse](waiting)).To(BeZero())
		started := firstEffect[StartAttempt](r.finishAttempt(first, success))
		Expect(started.Attempt.Request).To(Equal(r.lastID))
	})

	// Guards against a limit that is divided by an assumed number of hosts although
	// the hosts have counted each other.
	ginkgo.It("are divided among the hosts that were counted", func() {
		r := newHost("10.0.0.1:80")
		u := r.state.services["read"].upstreams[0]
		Expect(r.state.connectionShare(u)).To(Equal(200 / 32))
		r.advance(fleetLearnTime)
		Expect(r.state.connectionShare(u)).To(Equal(200))
		r.state.recordFleet(20)
		Expect(r.state.connectionShare(u)).To(Equal(10))
		r.state.recordFleet(1000)
		Expect(r.state.connectionShare(u)).To(Equal(1))
	})

	// Guards against a limit for a server that states none.
	ginkgo.It("have no limit if the server states none", func() {
		r := newConfiguredStoreTestReducer(storeServer("w", "write", "mtl-a"))
		Expect(r.state.connectionShare(r.state.services["write"].upstreams[0])).To(BeZero())
		r.arrive("/order/x")
		Expect(firstEffect[StartAttempt](r.arrive("/order/x")).Connections).To(BeZero())
	})

	// Guards against a load query that takes the last connection of the share, or
	// closes one that a request needs next.
	ginkgo.It("are not used for load queries while all are in use", func() {
		r := newHost("")
		routes := routing(2)
		routes.Services[0].Connections = 32
		routes.Services[0].ProbePath = "/health"
		server := storeServer("a", "read", "mtl-a")
		r.list(routes, server)
		r.arrive("/lookup/x")
		r.step(ProbeFinished{Service: "read", Upstream: "a", Facts: success})
		Expect(r.state.services["read"].upstreams[0].running).To(Equal(1))
		Expect(count[StartProbe](r.arrive("/lookup/x"))).To(BeZero())
		Expect(count[StartProbe](r.advance(50 * time.Millisecond))).To(BeZero())
	})
})
