package core_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"wisteriapond/core"
	"wisteriapond/outcome"
)

var _ = Describe("a pause of the process", func() {
	startFleet := func(hosts int) *deployment {
		return newDeployment(hosts).launch(4*time.Second, newService("catalogue", 3))
	}

	pauseHost := func(w *deployment, h *simulatedHost, d time.Duration) {
		h.paused = true
		w.run(d)
		h.paused = false
	}

	startedAttempts := func(w *deployment, h *simulatedHost, method string) int {
		before := len(w.starts)
		w.request(h, method, "/catalogue/urn")
		return len(w.starts) - before
	}

	// Guards against a resumed host that uses slots which have been granted to
	// others in the meantime.
	It("drops the leases held", func() {
		w := startFleet(4)
		w.requestSlots(w.hosts[1], "catalogue", 3)
		w.run(200 * time.Millisecond)
		Expect(w.status(w.hosts[1]).Leases.Held).To(BeNumerically(">", 0))
		pauseHost(w, w.hosts[1], 700*time.Millisecond)
		Expect(w.status(w.hosts[1]).Leases.Held).To(BeZero())
		Expect(w.counters["pauses_total/"]).To(Equal(int64(1)))
	})

	// Guards against a non-idempotent request that is sent by a host which the fleet
	// has replaced during the pause.
	It("holds non-idempotent requests back until a peer has responded", func() {
		w := startFleet(4)
		pauseHost(w, w.hosts[1], 2*time.Second)
		Expect(startedAttempts(w, w.hosts[1], "POST")).To(BeZero())
		Expect(startedAttempts(w, w.hosts[1], "GET")).To(Equal(1))
		w.run(50 * time.Millisecond)
		before := len(w.starts)
		w.request(w.hosts[1], "POST", "/catalogue/urn")
		w.run(50 * time.Millisecond)
		Expect(len(w.starts)).To(BeNumerically(">", before))
	})

	// Guards against a non-idempotent request that waits in the queue during the
	// pause and is sent as soon as a slot becomes free.
	It("holds back the requests in the queue as well", func() {
		w := startFleet(4)
		longTimeout := newService("catalogue", 3)
		longTimeout.Timeout = time.Minute
		w.publish(2, longTimeout)
		w.run(time.Second)
		h := w.hosts[1]
		first := w.request(h, "POST", "/catalogue/urn")
		for range 30 {
			w.request(h, "POST", "/catalogue/urn")
		}
		w.run(100 * time.Millisecond)
		pauseHost(w, h, 700*time.Millisecond)
		before := len(w.starts)
		for i := range core.RequestID(before) {
			w.step(h, core.AttemptFinished{
				Attempt: core.AttemptID{Request: first + i, Number: 1},
				Facts:   outcome.Facts{Wrote: true, Status: 200, Load: -1},
			})
		}
		Expect(w.starts).To(HaveLen(before))
		w.run(100 * time.Millisecond)
		Expect(len(w.starts)).To(BeNumerically(">", before))
	})

	// Guards against a host without peers that holds back non-idempotent requests
	// indefinitely.
	It("holds non-idempotent requests back for at most one second", func() {
		w := startFleet(1)
		pauseHost(w, w.hosts[0], 2*time.Second)
		Expect(startedAttempts(w, w.hosts[0], "POST")).To(BeZero())
		w.run(900 * time.Millisecond)
		Expect(startedAttempts(w, w.hosts[0], "POST")).To(BeZero())
		w.run(200 * time.Millisecond)
		Expect(startedAttempts(w, w.hosts[0], "POST")).To(Equal(1))
	})

	// Guards against a resumed host that its peers have dropped from the member
	// table, or that has dropped its peers.
	It("is followed by agreement on the members and on the current configuration", func() {
		w := startFleet(4)
		h := w.hosts[2]
		h.paused = true
		w.run(time.Second)
		version := w.publish(2, serviceVariant("catalogue", 2))
		w.run(2 * time.Second)
		h.paused = false
		w.run(2 * time.Second)
		Expect(w.countInForce(version)).To(Equal(4))
		Expect(w.membersAgree()).To(BeTrue())
	})
})

var _ = Describe("a planned stop", func() {
	// Guards against ownership and slots that stay with a host after its stop.
	It("returns leases and notifies the peers", func() {
		w := newDeployment(4).launch(4*time.Second, newService("catalogue", 3))
		w.requestSlots(w.hosts[1], "catalogue", 3)
		w.run(200 * time.Millisecond)
		Expect(w.status(w.hosts[1]).Leases.Held).To(BeNumerically(">", 0))
		w.step(w.hosts[1], core.StopRequested{})
		Expect(w.hosts[1].ready).To(BeFalse())
		w.run(500 * time.Millisecond)
		Expect(w.status(w.hosts[1]).Leases.Held).To(BeZero())
		Expect(w.status(w.hosts[1]).Leases.Granted).To(BeZero())
		for _, other := range []int{0, 2, 3} {
			for _, m := range w.status(w.hosts[other]).Members {
				if m.Name == w.hosts[1].name {
					Expect(m.State).To(Equal("left"))
				}
			}
		}
		w.run(time.Second)
		Expect(w.hosts[1].stopped).To(BeTrue())
	})
})
