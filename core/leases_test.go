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
func (d *deployment) held(serviceName, upstream string) (held, leased int) {
	for _, h := range d.liveHosts() {
		for _, svc := range d.status(h).Services {
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
func (d *deployment) exceededSlots() string {
	held := make(map[string]int)
	slots := make(map[string]int)
	for _, h := range d.liveHosts() {
		for _, svc := range d.status(h).Services {
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
			return fmt.Sprintf("%s: %d held of %d at %v", name, count, slots[name], time.Duration(d.now))
		}
	}
	return ""
}

// requestSlots makes a host request slots as waiting requests do.
func (d *deployment) requestSlots(h *simulatedHost, name string, waiting int) {
	h.state.RequestSlots(d.now, name, waiting, &h.effects)
	d.applyEffects(h)
}

// membersAgree reports whether every running host lists as many members as alive or
// suspect as there are other running hosts, and none of them is stopped.
func (d *deployment) membersAgree() bool {
	live := d.liveHosts()
	for _, h := range live {
		alive := 0
		for _, m := range d.status(h).Members {
			if m.State == "alive" || m.State == "suspect" {
				alive++
				if other := d.host(m.Name); other.stopped {
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
	startDeployment := func(hosts int) *deployment {
		return newDeployment(hosts).launch(4*time.Second, newService("catalogue", 3))
	}

	// Guards against a host that has to exchange messages for each request.
	It("are held by the hosts that have requests", func() {
		d := startDeployment(4)
		for range 20 {
			d.request(d.hosts[1], "GET", "/catalogue/urn")
			d.run(100 * time.Millisecond)
		}
		status := d.status(d.hosts[1])
		Expect(status.Leases.Held).To(BeNumerically(">", 0))
		Expect(status.Leases.Leased).To(Equal(1))
		Expect(d.status(d.hosts[2]).Leases.Held).To(BeZero())
	})

	// Guards against requests that are delayed by a lease that no host can grant.
	It("are not used by a host that is alone or partitioned", func() {
		d := newDeployment(1).launch(time.Second, newService("catalogue", 3))
		d.requestSlots(d.hosts[0], "catalogue", 2)
		d.run(2 * time.Second)
		Expect(d.status(d.hosts[0]).Leases.Leased).To(BeZero())

		d = startDeployment(4)
		for _, h := range d.hosts {
			d.requestSlots(h, "catalogue", 1)
		}
		d.run(300 * time.Millisecond)
		_, leased := d.held("catalogue", "u0")
		Expect(leased).To(Equal(4))
		d.partitioned = func(a, b *simulatedHost) bool { return true }
		d.run(time.Second)
		_, leased = d.held("catalogue", "u0")
		Expect(leased).To(BeNumerically("<=", 1), "only the owner can renew")
	})

	// Guards against slots of a leaving backend server that stay in use.
	It("end on a leaving backend server", func() {
		d := startDeployment(4)
		for _, h := range d.hosts {
			d.requestSlots(h, "catalogue", 2)
		}
		d.run(300 * time.Millisecond)
		d.step(d.hosts[0], core.HostListRead{Hosts: []core.HostEntry{hostEntry("backend-1", 2, true)}})
		d.run(200 * time.Millisecond)
		held, _ := d.held("catalogue", "u1")
		Expect(held).To(BeZero())
	})

	// Guards against two owners that both grant slots after one of them has
	// started, stopped or crashed. The test fails if a new owner does not wait.
	It("never exceed the slots while hosts start, stop and crash", func() {
		d := startDeployment(6)
		demand := func() {
			for _, h := range d.liveHosts() {
				if d.intN(3) == 0 {
					d.requestSlots(h, "catalogue", 1+d.intN(4))
				}
			}
			Expect(d.exceededSlots()).To(BeEmpty())
		}
		for round := range 24 {
			h := d.hosts[round%6]
			switch round % 3 {
			case 0:
				d.start(h)
			case 1:
				d.step(h, core.StopRequested{})
			default:
				h.stopped = true
			}
			d.run(9*time.Second, demand)
			d.start(h)
			d.run(3*time.Second, demand)
		}
	})

	// Guards against more slots being granted than exist while the hosts agree on
	// the live members, even if messages are lost, delayed or duplicated.
	It("never exceed the slots while hosts agree on the members", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			d := newDeployment(rapid.IntRange(2, 5).Draw(t, "hosts"))
			d.random = rapid.Uint64().Draw(t, "network")
			d.delay = time.Duration(rapid.IntRange(1, 30).Draw(t, "delay")) * time.Millisecond
			d.launch(4*time.Second, newService("catalogue", 3))
			d.lossPercent = rapid.IntRange(0, 10).Draw(t, "loss percent")
			d.duplicatePercent = rapid.IntRange(0, 10).Draw(t, "duplicate percent")
			busy := rapid.IntRange(1, 10).Draw(t, "busy")
			for range rapid.IntRange(1, 6).Draw(t, "steps") {
				h := d.hosts[rapid.IntRange(0, len(d.hosts)-1).Draw(t, "host")]
				switch rapid.IntRange(0, 2).Draw(t, "action") {
				case 0:
					h.paused = !h.paused && rapid.Bool().Draw(t, "pause")
				case 1:
					d.start(h)
				}
				d.run(2*time.Second, func() { d.requestSlotsAtRandom(busy) })
			}
			for _, h := range d.hosts {
				h.paused = false
			}
			d.run(20 * time.Second)
			if !d.membersAgree() {
				return
			}
			d.run(3*time.Second, func() {
				d.requestSlotsAtRandom(busy)
				if exceeded := d.exceededSlots(); exceeded != "" && d.membersAgree() {
					t.Fatalf("%s", exceeded)
				}
			})
		})
	})
})

// requestSlotsAtRandom makes each ready host request slots with a probability of
// busy in ten.
func (d *deployment) requestSlotsAtRandom(busy int) {
	for _, h := range d.liveHosts() {
		if d.intN(10) < busy && d.status(h).Ready {
			d.requestSlots(h, "catalogue", 1+d.intN(4))
		}
	}
}
