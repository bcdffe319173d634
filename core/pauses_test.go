package core_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"wisteriapond/core"
	"wisteriapond/outcome"
)

var _ = Describe("a pause of the process", func() {
	startDeployment := func(hosts int) *deployment {
		return newDeployment(hosts).launch(4*time.Second, newService("catalogue", 3))
	}

	pauseHost := func(d *deployment, h *simulatedHost, duration time.Duration) {
		h.paused = true
		d.run(duration)
		h.paused = false
	}

	startedAttempts := func(d *deployment, h *simulatedHost, method string) int {
		before := len(d.starts)
		d.request(h, method, "/catalogue/urn")
		return len(d.starts) - before
	}

	// Guards against a resumed host that uses slots which have been granted to
	// others in the meantime.
	It("drops the leases held", func() {
		d := startDeployment(4)
		d.requestSlots(d.hosts[1], "catalogue", 3)
		d.run(200 * time.Millisecond)
		Expect(d.status(d.hosts[1]).Leases.Held).To(BeNumerically(">", 0))
		pauseHost(d, d.hosts[1], 700*time.Millisecond)
		Expect(d.status(d.hosts[1]).Leases.Held).To(BeZero())
		Expect(d.counters["pauses_total/"]).To(Equal(int64(1)))
	})

	// Guards against a resumed host that sends a non-idempotent request although other
	// hosts may have taken over its role during the pause.
	It("holds non-idempotent requests back until a peer has responded", func() {
		d := startDeployment(4)
		pauseHost(d, d.hosts[1], 2*time.Second)
		Expect(startedAttempts(d, d.hosts[1], "POST")).To(BeZero())
		Expect(startedAttempts(d, d.hosts[1], "GET")).To(Equal(1))
		d.run(50 * time.Millisecond)
		before := len(d.starts)
		d.request(d.hosts[1], "POST", "/catalogue/urn")
		d.run(50 * time.Millisecond)
		Expect(len(d.starts)).To(BeNumerically(">", before))
	})

	// Guards against a non-idempotent request that waits in the queue during the
	// pause and is sent as soon as a slot becomes free.
	It("holds back the requests in the queue as well", func() {
		d := startDeployment(4)
		longTimeout := newService("catalogue", 3)
		longTimeout.Timeout = time.Minute
		d.publish(2, longTimeout)
		d.run(time.Second)
		h := d.hosts[1]
		first := d.request(h, "POST", "/catalogue/urn")
		for range 30 {
			d.request(h, "POST", "/catalogue/urn")
		}
		d.run(100 * time.Millisecond)
		pauseHost(d, h, 700*time.Millisecond)
		before := len(d.starts)
		for i := range core.RequestID(before) {
			d.step(h, core.AttemptFinished{
				Attempt: core.AttemptID{Request: first + i, Number: 1},
				Facts:   outcome.Facts{Wrote: true, Status: 200, Load: -1},
			})
		}
		Expect(d.starts).To(HaveLen(before))
		d.run(100 * time.Millisecond)
		Expect(len(d.starts)).To(BeNumerically(">", before))
	})

	// Guards against a host without peers that holds back non-idempotent requests
	// indefinitely.
	It("holds non-idempotent requests back for at most one second", func() {
		d := startDeployment(1)
		pauseHost(d, d.hosts[0], 2*time.Second)
		Expect(startedAttempts(d, d.hosts[0], "POST")).To(BeZero())
		d.run(900 * time.Millisecond)
		Expect(startedAttempts(d, d.hosts[0], "POST")).To(BeZero())
		d.run(200 * time.Millisecond)
		Expect(startedAttempts(d, d.hosts[0], "POST")).To(Equal(1))
	})

	// Guards against a resumed host that its peers have dropped from the member
	// table, or that has dropped its peers.
	It("is followed by agreement on the members and on the current configuration", func() {
		d := startDeployment(4)
		h := d.hosts[2]
		h.paused = true
		d.run(time.Second)
		version := d.publish(2, serviceVariant("catalogue", 2))
		d.run(2 * time.Second)
		h.paused = false
		d.run(2 * time.Second)
		Expect(d.countInForce(version)).To(Equal(4))
		Expect(d.membersAgree()).To(BeTrue())
	})
})

var _ = Describe("a planned stop", func() {
	// Guards against owned units and held slots that stay with a host after its stop.
	It("returns leases and notifies the peers", func() {
		d := newDeployment(4).launch(4*time.Second, newService("catalogue", 3))
		d.requestSlots(d.hosts[1], "catalogue", 3)
		d.run(200 * time.Millisecond)
		Expect(d.status(d.hosts[1]).Leases.Held).To(BeNumerically(">", 0))
		d.step(d.hosts[1], core.StopRequested{})
		Expect(d.hosts[1].ready).To(BeFalse())
		d.run(500 * time.Millisecond)
		Expect(d.status(d.hosts[1]).Leases.Held).To(BeZero())
		Expect(d.status(d.hosts[1]).Leases.Granted).To(BeZero())
		for _, other := range []int{0, 2, 3} {
			for _, m := range d.status(d.hosts[other]).Members {
				if m.Name == d.hosts[1].name {
					Expect(m.State).To(Equal("left"))
				}
			}
		}
		d.run(time.Second)
		Expect(d.hosts[1].stopped).To(BeTrue())
	})
})
