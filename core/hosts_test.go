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

// countMarked returns the number of running hosts that have a leaving mark for the
// host.
func (w *deployment) countMarked(host string) int {
	count := 0
	for _, h := range w.liveHosts() {
		for _, entry := range w.status(h).Leaving {
			if entry.Host == host {
				count++
			}
		}
	}
	return count
}

var _ = Describe("leaving marks", func() {
	startFleet := func(hosts int) *deployment {
		return newDeployment(hosts).launch(5*time.Second, newService("catalogue", 3))
	}

	// Guards against a host that keeps sending work to a leaving backend server
	// because its host list lags.
	DescribeTable("reach every host within a second", func(hosts int) {
		w := startFleet(hosts)
		w.step(w.hosts[0], core.HostListRead{Hosts: []core.HostEntry{hostEntry("backend-1", 2, false)}})
		w.step(w.hosts[0], core.HostListRead{Hosts: []core.HostEntry{hostEntry("backend-1", 3, true)}})
		w.run(time.Second)
		Expect(w.countMarked("backend-1")).To(Equal(hosts))
	},
		Entry("in a small fleet", 16),
		Entry("in a fleet with propagation over several hops", 64),
	)

	// Guards against a draining response that only the host that received it acts
	// on.
	It("are set by draining responses too", func() {
		w := startFleet(4)
		w.hosts[2].state.MarkLeaving(w.now, "backend-2", &w.hosts[2].effects)
		w.applyEffects(w.hosts[2])
		w.run(time.Second)
		Expect(w.countMarked("backend-2")).To(Equal(4))
	})

	// Guards against a restarted host that sends work to leaving backend
	// servers while the host list is stale and the configuration service is down.
	It("are received from peers after a restart", func() {
		w := startFleet(4)
		w.hosts[0].state.MarkLeaving(w.now, "backend-2", &w.hosts[0].effects)
		w.applyEffects(w.hosts[0])
		w.run(20 * time.Second)
		w.platformDown = true
		w.start(w.hosts[3])
		w.run(2 * time.Second)
		Expect(w.hosts[3].ready).To(BeTrue())
		Expect(w.countMarked("backend-2")).To(Equal(4))
	})

	// Guards against a lagging list that brings a leaving host back, and against a
	// host that can never come back.
	It("end only with a higher epoch", func() {
		w := startFleet(4)
		w.step(w.hosts[0], core.HostListRead{Hosts: []core.HostEntry{hostEntry("backend-1", 3, true)}})
		w.run(time.Second)
		w.step(w.hosts[1], core.HostListRead{Hosts: []core.HostEntry{hostEntry("backend-1", 2, false)}})
		w.step(w.hosts[1], core.HostListRead{Hosts: []core.HostEntry{hostEntry("backend-1", 3, false)}})
		w.run(time.Second)
		Expect(w.countMarked("backend-1")).To(Equal(4))
		w.step(w.hosts[1], core.HostListRead{Hosts: []core.HostEntry{hostEntry("backend-1", 4, false)}})
		w.run(time.Second)
		Expect(w.countMarked("backend-1")).To(BeZero())
	})

	// Invariant I5. Guards against work for a leaving backend server more than 5 s
	// after one host learned of the mark, despite restarts, message loss and stale
	// lists.
	It("stop new work everywhere within 5 s", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			w := newDeployment(rapid.IntRange(2, 5).Draw(t, "hosts"))
			w.random = rapid.Uint64().Draw(t, "network")
			w.launch(3*time.Second, newService("catalogue", 3))
			w.lossPercent = rapid.IntRange(0, 20).Draw(t, "loss percent")
			w.duplicatePercent = rapid.IntRange(0, 20).Draw(t, "duplicate percent")
			stale := []core.HostEntry{hostEntry("backend-1", rapid.Uint64Range(1, 2).Draw(t, "stale epoch"), false)}
			informedHost := w.hosts[rapid.IntRange(0, len(w.hosts)-1).Draw(t, "informed host")]
			w.step(informedHost, core.HostListRead{Hosts: []core.HostEntry{hostEntry("backend-1", 2, true)}})
			w.hostList = stale
			w.run(5 * time.Second)
			w.starts, w.probes = nil, nil
			if rapid.Bool().Draw(t, "restart") {
				h := w.hosts[rapid.IntRange(0, len(w.hosts)-1).Draw(t, "restarted")]
				w.start(h)
				w.run(5 * time.Second)
				w.starts, w.probes = nil, nil
			}
			for range 20 {
				for _, h := range w.hosts {
					w.request(h, "GET", "/catalogue/urn")
				}
				w.run(500 * time.Millisecond)
			}
			for _, s := range w.starts {
				if s.address == "catalogue-1" {
					t.Fatalf("a request was sent to a leaving backend server at %d", s.at)
				}
			}
			for _, p := range w.probes {
				if p.address == "catalogue-1" {
					t.Fatalf("a leaving backend server was probed at %d", p.at)
				}
			}
		})
	})
})

// request sends a caller's request to a host and returns its ID.
func (w *deployment) request(h *simulatedHost, method, path string) core.RequestID {
	h.nextID++
	w.step(h, core.RequestArrived{ID: h.nextID, Request: config.Request{Method: method, Path: path}, BodyKept: true})
	return h.nextID
}
