package core_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"wisteriapond/core"
)

// held returns the slots of an upstream that each running host holds.
func (w *site) held(serviceName, upstream string) (held, leased int) {
	for _, h := range w.live() {
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

// exceeded names an upstream with more slots held than it has, or is empty.
func (w *site) exceededSlots() string {
	held := make(map[string]int)
	slots := make(map[string]int)
	for _, h := range w.live() {
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

// want lets a host ask for slots as waiting requests do.
func (w *site) requestSlots(h *entry, name string, waiting int) {
	h.state.WantSlots(w.now, name, waiting, &h.effects)
	w.carryOut(h)
}

// agree reports whether every running host knows exactly the running ones.
func (w *site) membersAgree() bool {
	live := w.live()
	for _, h := range live {
		alive := 0
		for _, m := range w.status(h).Members {
			if m.State == "alive" || m.State == "suspect" {
				alive++
				if other := w.host(m.Name); other.off {
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
	running := func(hosts int) *site { return newSite(hosts).begin(4*time.Second, service("catalogue", 3)) }

	// Guards against a host that waits for a message at each request.
	It("are held by the hosts that have requests", func() {
		w := running(4)
		for range 20 {
			w.request(w.hosts[1], "GET", "/catalogue/urn")
			w.run(100 * time.Millisecond)
		}
		status := w.status(w.hosts[1])
		Expect(status.Leases.Held).To(BeNumerically(">", 0))
		Expect(status.Leases.Leased).To(Equal(1))
		Expect(w.status(w.hosts[2]).Leases.Held).To(BeZero())
	})

	// Guards against requests that are held up by a lease that nobody can
	// grant.
	It("are not used by a host that is alone or cut off", func() {
		w := newSite(1).begin(time.Second, service("catalogue", 3))
		w.requestSlots(w.hosts[0], "catalogue", 2)
		w.run(2 * time.Second)
		Expect(w.status(w.hosts[0]).Leases.Leased).To(BeZero())

		w = running(4)
		for _, h := range w.hosts {
			w.requestSlots(h, "catalogue", 1)
		}
		w.run(300 * time.Millisecond)
		_, leased := w.held("catalogue", "u0")
		Expect(leased).To(Equal(4))
		w.cut = func(a, b *entry) bool { return true }
		w.run(time.Second)
		_, leased = w.held("catalogue", "u0")
		Expect(leased).To(BeNumerically("<=", 1), "only the owner can renew")
	})

	// Guards against slots of a leaving backend server that stay in use.
	It("lapse on a leaving backend server", func() {
		w := running(4)
		for _, h := range w.hosts {
			w.requestSlots(h, "catalogue", 2)
		}
		w.run(300 * time.Millisecond)
		w.step(w.hosts[0], core.HostListRead{Hosts: []core.HostEntry{hostEntry("backend-1", 2, true)}})
		w.run(200 * time.Millisecond)
		held, _ := w.held("catalogue", "u1")
		Expect(held).To(BeZero())
	})

	// Guards against two owners that both grant when one starts, stops or
	// dies. It fails when a new owner does not wait.
	It("never exceed the slots while hosts start, stop and die", func() {
		w := running(6)
		demand := func() {
			for _, h := range w.live() {
				if w.below(3) == 0 {
					w.requestSlots(h, "catalogue", 1+w.below(4))
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
				h.off = true
			}
			w.run(9*time.Second, demand)
			w.start(h)
			w.run(3*time.Second, demand)
		}
	})

	// Guards against more slots granted than there are while the hosts agree
	// on who lives, whatever the network does to messages.
	It("never exceed the slots while hosts agree", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			w := newSite(rapid.IntRange(2, 5).Draw(t, "hosts"))
			w.random = rapid.Uint64().Draw(t, "network")
			w.delay = time.Duration(rapid.IntRange(1, 30).Draw(t, "delay")) * time.Millisecond
			w.begin(4*time.Second, service("catalogue", 3))
			w.lose = rapid.IntRange(0, 10).Draw(t, "lose")
			w.repeat = rapid.IntRange(0, 10).Draw(t, "repeat")
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
				if fault := w.exceededSlots(); fault != "" && w.membersAgree() {
					t.Fatalf("%s", fault)
				}
			})
		})
	})
})

// demandOf lets some hosts ask for slots.
func (w *site) requestSlotsAtRandom(busy int) {
	for _, h := range w.live() {
		if w.below(10) < busy && w.status(h).Ready {
			w.requestSlots(h, "catalogue", 1+w.below(4))
		}
	}
}
