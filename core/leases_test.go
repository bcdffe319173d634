package core_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"wisteriapond/core"
)

// held returns the number of slots of an upstream that all running hosts hold
// together, and the number of hosts that have a lease on it.
func (w *deployment) held(serviceName, upstream string) (held, leased int) {
	for _, h := range w.liveHosts() {
		for _, svc := range w.status(h).Services {
			for _, u := range svc.Upstreams {
				if svc.Name == serviceName && u.Name == upstream && u.Leased {
					held += u.Held
					leased++
				}
			}
		}
	}
	return held, leased
}

// exceededSlots describes an upstream of which more slots are held than it has. It
// returns "" if there is none.
func (w *deployment) exceededSlots() string {
	held := make(map[string]int)
	slots := make(map[string]int)
	for _, h := range w.liveHosts() {
		for _, svc := range w.status(h).Services {
			for _, u := range svc.Upstreams {
				name := svc.Name + "/" + u.Name
				slots[name] = u.Slots
				if u.Leased {
					held[name] += u.Held
				}
			}
		}
	}
	for name, count := range held {
		if count > slots[name] {
			return fmt.Sprintf("%s: %d held of %d at %v", name, count, slots[name], time.Duration(w.now))
		}
	}
	return ""
}

// requestSlots makes a host request slots as waiting requests do.
func (w *deployment) requestSlots(h *simulatedHost, name string, waiting int) {
	h.state.WantSlots(w.now, name, waiting, &h.effects)
	w.applyEffects(h)
}

// membersAgree reports whether every running host lists exactly the other running
// hosts as live.
func (w *deployment) membersAgree() bool {
	live := w.liveHosts()
	for _, h := range live {
		alive := 0
		for _, m := range w.status(h).Members {
			if m.State == "alive" || m.State == "suspect" {
				alive++
				if other := w.host(m.Name); other.stopped {
					return false
				}
			}
		}
		if alive != len(live)-1 {
			return false
		}
	}
	return true
}

var _ = Describe("slot leases between hosts", func() {
	startFleet := func(hosts int) *deployment {
		return newDeployment(hosts).launch(4*time.Second, newService("catalogue", 3))
	}

	// Guards against a host that has to exchange messages for each request.
	It("are held by the hosts that have requests", func() {
		w := startFleet(4)
		for range 20 {
			w.request(w.hosts[1], "GET", "/catalogue/urn")
			w.run(100 * time.Millisecond)
		}
		status := w.status(w.hosts[1])
		Expect(status.Leases.Held).To(BeNumerically(">", 0))
		Expect(status.Leases.Leased).To(Equal(1))
		Expect(w.status(w.hosts[2]).Leases.Held).To(BeZero())
	})

	// Guards against requests that are delayed by a lease that no host can grant.
	It("are not used by a host that is alone or partitioned", func() {
		w := newDeployment(1).launch(time.Second, newService("catalogue", 3))
		w.requestSlots(w.hosts[0], "catalogue", 2)
		w.run(2 * time.Second)
		Expect(w.status(w.hosts[0]).Leases.Leased).To(BeZero())

		w = startFleet(4)
		for _, h := range w.hosts {
			w.requestSlots(h, "catalogue", 1)
		}
		w.run(300 * time.Millisecond)
		_, leased := w.held("catalogue", "u0")
		Expect(leased).To(Equal(4))
		w.partitioned = func(a, b *simulatedHost) bool { return true }
		w.run(time.Second)
		_, leased = w.held("catalogue", "u0")
		Expect(leased).To(BeNumerically("<=", 1), "only the owner can renew")
	})

	// Guards against slots of a leaving backend server that stay in use.
	It("end on a leaving backend server", func() {
		w := startFleet(4)
		for _, h := range w.hosts {
			w.requestSlots(h, "catalogue", 2)
		}
		w.run(300 * time.Millisecond)
		w.step(w.hosts[0], core.HostListRead{Hosts: []core.HostEntry{hostEntry("backend-1", 2, true)}})
		w.run(200 * time.Millisecond)
		held, _ := w.held("catalogue", "u1")
		Expect(held).To(BeZero())
	})

	// Guards against two owners that both grant slots after one of them has
	// started, stopped or crashed. The test fails if a new owner does not wait.
	It("never exceed the slots while hosts start, stop and crash", func() {
		w := startFleet(6)
		demand := func() {
			for _, h := range w.liveHosts() {
				if w.intN(3) == 0 {
					w.requestSlots(h, "catalogue", 1+w.intN(4))
				}
			}
			Expect(w.exceededSlots()).To(BeEmpty())
		}
		for round := range 24 {
			h := w.hosts[round%6]
			switch round % 3 {
			case 0:
				w.start(h)
			case 1:
				w.step(h, core.StopRequested{})
			default:
				h.stopped = true
			}
			w.run(9*time.Second, demand)
			w.start(h)
			w.run(3*time.Second, demand)
		}
	})

	// Guards against more slots being granted than exist while the hosts agree on
	// the live members, even if messages are lost, delayed or duplicated.
	It("never exceed the slots while hosts agree on the members", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			w := newDeployment(rapid.IntRange(2, 5).Draw(t, "hosts"))
			w.random = rapid.Uint64().Draw(t, "network")
			w.delay = time.Duration(rapid.IntRange(1, 30).Draw(t, "delay")) * time.Millisecond
			w.launch(4*time.Second, newService("catalogue", 3))
			w.lossPercent = rapid.IntRange(0, 10).Draw(t, "loss percent")
			w.duplicatePercent = rapid.IntRange(0, 10).Draw(t, "duplicate percent")
			busy := rapid.IntRange(1, 10).Draw(t, "busy")
			for range rapid.IntRange(1, 6).Draw(t, "steps") {
				h := w.hosts[rapid.IntRange(0, len(w.hosts)-1).Draw(t, "host")]
				switch rapid.IntRange(0, 2).Draw(t, "action") {
				case 0:
					h.paused = !h.paused && rapid.Bool().Draw(t, "pause")
				case 1:
					w.start(h)
				}
				w.run(2*time.Second, func() { w.requestSlotsAtRandom(busy) })
			}
			for _, h := range w.hosts {
				h.paused = false
			}
			w.run(20 * time.Second)
			if !w.membersAgree() {
				return
			}
			w.run(3*time.Second, func() {
				w.requestSlotsAtRandom(busy)
				if exceeded := w.exceededSlots(); exceeded != "" && w.membersAgree() {
					t.Fatalf("%s", exceeded)
				}
			})
		})
	})
})

// requestSlotsAtRandom makes each ready host request slots with a probability of
// busy in ten.
func (w *deployment) requestSlotsAtRandom(busy int) {
	for _, h := range w.liveHosts() {
		if w.intN(10) < busy && w.status(h).Ready {
			w.requestSlots(h, "catalogue", 1+w.intN(4))
		}
	}
}
