package core_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"wisteriapond/core"
	"wisteriapond/outcome"
)

var _ = Describe("a pause of the process", func() {
	running := func(hosts int) *site { return newSite(hosts).begin(4*time.Second, service("catalogue", 3)) }

	pauseHost := func(w *site, h *entry, d time.Duration) {
		h.paused = true
		w.run(d)
		h.paused = false
	}

	attempts := func(w *site, h *entry, method string) int {
		before := len(w.starts)
		w.request(h, method, "/catalogue/urn")
		return len(w.starts) - before
	}

	// Guards against slots that are used after others were granted them.
	It("drops the leases held", func() {
		w := running(4)
		w.requestSlots(w.hosts[1], "catalogue", 3)
		w.run(200 * time.Millisecond)
		Expect(w.status(w.hosts[1]).Leases.Held).To(BeNumerically(">", 0))
		pauseHost(w, w.hosts[1], 700*time.Millisecond)
		Expect(w.status(w.hosts[1]).Leases.Held).To(BeZero())
		Expect(w.counted["pauses_total/"]).To(Equal(int64(1)))
	})

	// Guards against an order that is sent by a host which the fleet has long
	// replaced.
	It("holds non-idempotent requests back until a peer has answered", func() {
		w := running(4)
		pauseHost(w, w.hosts[1], 2*time.Second)
		Expect(attempts(w, w.hosts[1], "POST")).To(BeZero())
		Expect(attempts(w, w.hosts[1], "GET")).To(Equal(1))
		w.run(50 * time.Millisecond)
		before := len(w.starts)
		w.request(w.hosts[1], "POST", "/catalogue/urn")
		w.run(50 * time.Millisecond)
		Expect(len(w.starts)).To(BeNumerically(">", before))
	})

	// Guards against an order that waited through the pause and is sent as soon
	// as a slot becomes free.
	It("holds back the requests in the queue as well", func() {
		w := running(4)
		patient := service("catalogue", 3)
		patient.Timeout = time.Minute
		w.publish(2, patient)
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

	// Guards against orders that are refused for ever by a host without peers.
	It("holds them back for a second at most", func() {
		w := running(1)
		pauseHost(w, w.hosts[0], 2*time.Second)
		Expect(attempts(w, w.hosts[0], "POST")).To(BeZero())
		w.run(900 * time.Millisecond)
		Expect(attempts(w, w.hosts[0], "POST")).To(BeZero())
		w.run(200 * time.Millisecond)
		Expect(attempts(w, w.hosts[0], "POST")).To(Equal(1))
	})

	// Guards against a paused host whose peers lose it or are lost to it.
	It("is followed by the same members and the current configuration", func() {
		w := running(4)
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
	// Guards against duties and slots that stay with a host after its stop.
	It("hands leases back and tells the peers", func() {
		w := newSite(4).begin(4*time.Second, service("catalogue", 3))
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
		Expect(w.hosts[1].off).To(BeTrue())
	})
})
