package core_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"wisteriapond/config"
	"wisteriapond/core"
)

// hostEntry returns an entry of the host list.
func hostEntry(host string, epoch uint64, leaving bool) core.HostEntry {
	return core.HostEntry{Host: host, Address: host, Region: "mtl", Epoch: epoch, Leaving: leaving}
}

// countLeavingMarks returns the number of running hosts that have a leaving mark for the
// host.
func (d *deployment) countLeavingMarks(host string) int {
	count := 0
	for _, h := range d.liveHosts() {
		for _, entry := range d.status(h).Leaving {
			if entry.Host == host {
				count++
			}
		}
	}
	return count
}

var _ = Describe("leaving marks", func() {
	startDeployment := func(hosts int) *deployment {
		return newDeployment(hosts).launch(5*time.Second, newService("catalogue", 3))
	}

	// Guards against a host that keeps sending work to a leaving backend server
	// because its host list lags.
	DescribeTable("reach every host within a second", func(hosts int) {
		d := startDeployment(hosts)
		d.step(d.hosts[0], core.HostListRead{Hosts: []core.HostEntry{hostEntry("backend-1", 2, false)}})
		d.step(d.hosts[0], core.HostListRead{Hosts: []core.HostEntry{hostEntry("backend-1", 3, true)}})
		d.run(time.Second)
		Expect(d.countLeavingMarks("backend-1")).To(Equal(hosts))
	},
		Entry("in a small fleet", 16),
		Entry("in a fleet with propagation over several hops", 64),
	)

	// Guards against a draining response that only the host that received it acts
	// on.
	It("are set by draining responses too", func() {
		d := startDeployment(4)
		d.hosts[2].state.MarkLeaving(d.now, "backend-2", &d.hosts[2].effects)
		d.applyEffects(d.hosts[2])
		d.run(time.Second)
		Expect(d.countLeavingMarks("backend-2")).To(Equal(4))
	})

	// Guards against a restarted host that sends work to leaving backend
	// servers while the host list is stale and the configuration service is down.
	It("are received from peers after a restart", func() {
		d := startDeployment(4)
		d.hosts[0].state.MarkLeaving(d.now, "backend-2", &d.hosts[0].effects)
		d.applyEffects(d.hosts[0])
		d.run(20 * time.Second)
		d.platformDown = true
		d.start(d.hosts[3])
		d.run(2 * time.Second)
		Expect(d.hosts[3].ready).To(BeTrue())
		Expect(d.countLeavingMarks("backend-2")).To(Equal(4))
	})

	// Guards against a lagging list that brings a leaving host back, and against a
	// host that can never come back.
	It("end only with a higher epoch", func() {
		d := startDeployment(4)
		d.step(d.hosts[0], core.HostListRead{Hosts: []core.HostEntry{hostEntry("backend-1", 3, true)}})
		d.run(time.Second)
		d.step(d.hosts[1], core.HostListRead{Hosts: []core.HostEntry{hostEntry("backend-1", 2, false)}})
		d.step(d.hosts[1], core.HostListRead{Hosts: []core.HostEntry{hostEntry("backend-1", 3, false)}})
		d.run(time.Second)
		Expect(d.countLeavingMarks("backend-1")).To(Equal(4))
		d.step(d.hosts[1], core.HostListRead{Hosts: []core.HostEntry{hostEntry("backend-1", 4, false)}})
		d.run(time.Second)
		Expect(d.countLeavingMarks("backend-1")).To(BeZero())
	})

	// Invariant I5. Guards against work for a leaving backend server more than 5 s
	// after one host learned of the mark, despite restarts, message loss and stale
	// lists.
	It("stop new work everywhere within 5 s", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			d := newDeployment(rapid.IntRange(2, 5).Draw(t, "hosts"))
			d.random = rapid.Uint64().Draw(t, "network")
			d.launch(3*time.Second, newService("catalogue", 3))
			d.lossPercent = rapid.IntRange(0, 20).Draw(t, "loss percent")
			d.duplicatePercent = rapid.IntRange(0, 20).Draw(t, "duplicate percent")
			stale := []core.HostEntry{hostEntry("backend-1", rapid.Uint64Range(1, 2).Draw(t, "stale epoch"), false)}
			informedHost := d.hosts[rapid.IntRange(0, len(d.hosts)-1).Draw(t, "informed host")]
			d.step(informedHost, core.HostListRead{Hosts: []core.HostEntry{hostEntry("backend-1", 2, true)}})
			d.hostList = stale
			d.run(5 * time.Second)
			d.starts, d.probes = nil, nil
			if rapid.Bool().Draw(t, "restart") {
				h := d.hosts[rapid.IntRange(0, len(d.hosts)-1).Draw(t, "restarted")]
				d.start(h)
				d.run(5 * time.Second)
				d.starts, d.probes = nil, nil
			}
			for range 20 {
				for _, h := range d.hosts {
					d.request(h, "GET", "/catalogue/urn")
				}
				d.run(500 * time.Millisecond)
			}
			for _, s := range d.starts {
				if s.address == "catalogue-1" {
					t.Fatalf("a request was sent to a leaving backend server at %d", s.at)
				}
			}
			for _, p := range d.probes {
				if p.address == "catalogue-1" {
					t.Fatalf("a leaving backend server was probed at %d", p.at)
				}
			}
		})
	})
})

// request sends a caller's request to a host and returns its ID.
func (d *deployment) request(h *simulatedHost, method, path string) core.RequestID {
	h.nextID++
	d.step(h, core.RequestArrived{ID: h.nextID, Request: config.Request{Method: method, Path: path}, BodyKept: true})
	return h.nextID
}
