package core_test

import (
	"fmt"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"wisteriapond/config"
	"wisteriapond/core"
)

// serviceVariant returns a part of the service. Parts with different numbers differ
// in their timeout.
func serviceVariant(name string, number int) *config.Service {
	s := newService(name, 3)
	s.Timeout = time.Second + time.Duration(number)*time.Millisecond
	return s
}

// countInForce returns the number of running hosts that have the version in force.
func (w *deployment) countInForce(version config.Version) int {
	count := 0
	for _, h := range w.liveHosts() {
		if h.state.InForce() == version {
			count++
		}
	}
	return count
}

// recordReverts marks the hosts whose version has become lower since the last call.
func (w *deployment) recordReverts() {
	for _, h := range w.liveHosts() {
		version := h.state.InForce()
		h.reverted = h.reverted || version.Less(h.version)
		h.version = version
	}
}

var _ = Describe("the configuration", func() {
	startFleet := func(hosts int) *deployment {
		w := newDeployment(hosts).launch(8*time.Second, serviceVariant("catalogue", 1), serviceVariant("proofs", 1))
		ExpectWithOffset(1, w.countInForce(config.Version{Generation: 1, Hash: w.manifest})).To(Equal(hosts))
		return w
	}

	// Guards against hosts that serve an old configuration.
	DescribeTable("is in force everywhere within 5 s of its publication", func(hosts int) {
		w := startFleet(hosts)
		version := w.publish(2, serviceVariant("catalogue", 2), serviceVariant("proofs", 1))
		w.run(5 * time.Second)
		Expect(w.countInForce(version)).To(Equal(hosts))
	},
		Entry("in a small fleet", 16),
		Entry("in a fleet with propagation over several hops", 64),
	)

	// Guards against a fleet that loads the configuration service with a watch
	// and a read of each part per host.
	It("is watched by few hosts and read from peers", func() {
		w := startFleet(25)
		watching := 0
		for _, h := range w.hosts {
			if h.watching {
				watching++
			}
		}
		Expect(watching).To(Equal(5))
		before := w.counters["part_requests_total/service"]
		w.publish(2, serviceVariant("catalogue", 2), serviceVariant("proofs", 1))
		w.run(5 * time.Second)
		Expect(w.counters["part_requests_total/service"] - before).To(BeNumerically("<=", 5))
	})

	// Guards against a restart that reads every part from the configuration
	// service.
	It("is fetched from peers after a restart", func() {
		w := startFleet(9)
		before := w.counters["part_requests_total/service"]
		w.start(w.hosts[8])
		w.run(time.Second)
		Expect(w.hosts[8].ready).To(BeTrue())
		Expect(w.counters["part_requests_total/service"]).To(Equal(before))
	})

	// Guards against a fleet that has no watchers after all of them have failed.
	It("reaches all hosts after the loss of all watchers", func() {
		w := startFleet(9)
		for _, h := range w.hosts {
			h.stopped = h.watching
		}
		w.run(30 * time.Second)
		version := w.publish(2, serviceVariant("catalogue", 2))
		w.run(5 * time.Second)
		Expect(w.countInForce(version)).To(Equal(6))
	})

	// Guards against a host that cannot start while the configuration service
	// is down.
	It("is fetched from a peer while the configuration service is down", func() {
		w := startFleet(5)
		w.platformDown = true
		w.start(w.hosts[4])
		w.run(2 * time.Second)
		Expect(w.hosts[4].ready).To(BeTrue())
		Expect(w.countInForce(config.Version{Generation: 1, Hash: w.manifest})).To(Equal(5))
	})

	// Guards against a starting host that serves an old configuration from a
	// stale service although its peers have a newer one.
	It("is the highest version of any peer when a host becomes ready", func() {
		w := startFleet(5)
		old := w.manifest
		version := w.publish(2, serviceVariant("catalogue", 2))
		w.run(5 * time.Second)
		w.manifest = old
		w.start(w.hosts[0])
		for !w.hosts[0].ready {
			w.run(clockStep)
		}
		Expect(w.status(w.hosts[0]).Version).To(Equal(version))
	})

	// Guards against a host that waits indefinitely for peers that are down.
	It("is served after 2 s if no peer responds", func() {
		w := newDeployment(3)
		w.publish(1, serviceVariant("catalogue", 1))
		w.start(w.hosts[1])
		w.run(1900 * time.Millisecond)
		Expect(w.hosts[1].ready).To(BeFalse())
		w.run(200 * time.Millisecond)
		Expect(w.hosts[1].ready).To(BeTrue())
	})

	// Guards against a configuration service that is rolled back and reverts the
	// whole fleet.
	It("is not reverted by a configuration service that was rolled back", func() {
		w := startFleet(4)
		old := w.manifest
		version := w.publish(2, serviceVariant("catalogue", 2))
		w.run(5 * time.Second)
		w.manifest = old
		for _, h := range w.hosts {
			w.readManifest(h)
		}
		w.run(5 * time.Second)
		Expect(w.countInForce(version)).To(Equal(4))
		Expect(w.counters["configurations_total/stale"]).To(BeNumerically(">", 0))
	})

	// Guards against a fleet in which hosts have different documents of one
	// generation in force, and against a conflict that is not reported.
	It("is the same everywhere if two documents have one generation, and the conflict is reported", func() {
		w := startFleet(6)
		first := w.publish(2, serviceVariant("catalogue", 2))
		for _, h := range w.hosts[:3] {
			w.readManifest(h)
		}
		second := w.publish(2, serviceVariant("catalogue", 3))
		w.run(5 * time.Second)
		winner := first
		if first.Less(second) {
			winner = second
		}
		Expect(w.countInForce(winner)).To(Equal(6))
		Expect(w.counters["configurations_total/conflict"]).To(BeNumerically(">", 0))
	})

	// Guards against a refused part that blocks every later version.
	It("advances to a valid version after a refused one", func() {
		w := startFleet(4)
		bad := serviceVariant("catalogue", 2)
		bad.Queue = -1
		w.publish(2, bad)
		w.run(5 * time.Second)
		Expect(w.countInForce(config.Version{Generation: 2, Hash: w.manifest})).To(BeZero())
		Expect(w.counters["configurations_total/refused"]).To(BeNumerically(">", 0))
		version := w.publish(3, serviceVariant("catalogue", 3))
		w.run(5 * time.Second)
		Expect(w.countInForce(version)).To(Equal(4))
	})

	// Guards against a version that waits indefinitely for a part because the
	// configuration service responded with an older one.
	It("reads a part again if its hash is not the wanted one", func() {
		w := newDeployment(1)
		w.publish(1, serviceVariant("catalogue", 1))
		w.partsMissing = true
		w.start(w.hosts[0])
		w.run(time.Second)
		w.step(w.hosts[0], core.PartRead{Hash: fakeHash("0"), Service: serviceVariant("catalogue", 0)})
		Expect(w.counters["configurations_total/part_mismatch"]).To(Equal(int64(1)))
		reads := w.counters["part_requests_total/service"]
		w.run(30 * time.Second)
		again := w.counters["part_requests_total/service"] - reads
		Expect(again).To(BeNumerically(">=", 2))
		Expect(again).To(BeNumerically("<=", 8), "reads are separated by growing pauses")
		w.partsMissing = false
		w.run(15 * time.Second)
		Expect(w.hosts[0].ready).To(BeTrue())
	})

	// Guards against a part of one service that is used for another service.
	It("is refused if a part belongs to another service", func() {
		w := newDeployment(1)
		wrong := serviceVariant("proofs", 1)
		w.publish(1, wrong)
		read := w.documents[w.manifest].(core.ManifestRead)
		read.Manifest.Services[0].Name = "catalogue"
		w.start(w.hosts[0])
		w.run(3 * time.Second)
		Expect(w.hosts[0].ready).To(BeFalse())
		Expect(w.counters["configurations_total/refused"]).To(Equal(int64(1)))
	})

	// Invariant I7. Guards against a version that reverts, or that does not reach a
	// host, despite message loss, partitions, restarts and stale configuration
	// services.
	It("never reverts and reaches every host that is not partitioned", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			w := newDeployment(rapid.IntRange(1, 6).Draw(t, "hosts"))
			w.random = rapid.Uint64().Draw(t, "network")
			w.publish(1, serviceVariant("catalogue", 1))
			w.startAll()
			w.run(3*time.Second, w.recordReverts)
			w.lossPercent = rapid.IntRange(0, 20).Draw(t, "loss percent")
			w.duplicatePercent = rapid.IntRange(0, 20).Draw(t, "duplicate percent")
			for range rapid.IntRange(1, 12).Draw(t, "steps") {
				w.injectRandomFault(t)
				w.run(time.Duration(rapid.IntRange(100, 3000).Draw(t, "ms"))*time.Millisecond, w.recordReverts)
			}
			w.clearFaults()
			last := w.publish(len(w.documents), serviceVariant("catalogue", len(w.documents)))
			w.run(45*time.Second, w.recordReverts)
			for _, h := range w.liveHosts() {
				if h.reverted || h.version != last || !h.ready {
					t.Fatalf("%s has %v, ready %v, reverted %v; the published version is %v", h.name, h.version, h.ready, h.reverted, last)
				}
			}
		})
	})
})

// injectRandomFault publishes a version, which may be invalid, restarts or pauses a
// host, takes the configuration service down or up, partitions the fleet, or makes
// the configuration service stale.
func (w *deployment) injectRandomFault(t *rapid.T) {
	h := w.hosts[rapid.IntRange(0, len(w.hosts)-1).Draw(t, "host")]
	generation := len(w.documents)
	switch rapid.IntRange(0, 8).Draw(t, "action") {
	case 0, 1, 2:
		w.publish(generation, serviceVariant("catalogue", generation))
	case 3:
		bad := serviceVariant("catalogue", generation)
		bad.Queue = -1
		w.publish(generation, bad)
	case 4:
		w.start(h)
	case 5:
		h.paused = !h.paused && !h.stopped
	case 6:
		w.platformDown = !w.platformDown
	case 7:
		side := rapid.IntRange(0, len(w.hosts)).Draw(t, "side")
		w.partitioned = func(a, b *simulatedHost) bool {
			return (a.name < w.hosts[side%len(w.hosts)].name) != (b.name < w.hosts[side%len(w.hosts)].name)
		}
	case 8:
		// A stale configuration service returns the first generation.
		for hash, document := range w.documents {
			read, ok := document.(core.ManifestRead)
			if ok && read.Version.Generation == 1 {
				w.manifest = hash
			}
		}
	}
}

func (w *deployment) clearFaults() {
	w.platformDown, w.lossPercent, w.duplicatePercent = false, 0, 0
	w.partitioned = func(*simulatedHost, *simulatedHost) bool { return false }
	for _, h := range w.hosts {
		h.paused = false
	}
}

var _ = Describe("a manifest", func() {
	// Guards against the result of a faulty patch that is accepted as a version that
	// nobody has published.
	It("from a peer is accepted only if it is the wanted one", func() {
		w := newDeployment(2)
		first := w.publish(1, serviceVariant("catalogue", 1))
		w.startAll()
		w.run(3 * time.Second)
		forged := w.documents[first.Hash].(core.ManifestRead)
		forged.From = w.hosts[0].name
		forged.Version.Generation = 2
		w.step(w.hosts[1], forged)
		w.run(3 * time.Second)
		Expect(w.status(w.hosts[1]).Version).To(Equal(first))
	})

	// Guards against 10,000 changes a day that each send the hashes of all
	// services to all hosts.
	It("is sent as a patch to peers that have the previous one", func() {
		w := newDeployment(4)
		services := make([]*config.Service, 0, 300)
		for i := range 300 {
			s := newService(fmt.Sprint("service-", i), 1)
			s.Timeout += time.Duration(i) * time.Millisecond
			services = append(services, s)
		}
		w.launch(20*time.Second, services...)
		w.measuring = true
		w.run(5 * time.Second)
		idleBytes := w.bytes
		w.bytes = 0
		services[7] = serviceVariant(services[7].Name, 5000)
		version := w.publish(2, services...)
		w.run(5 * time.Second)
		Expect(w.countInForce(version)).To(Equal(4))
		manifestSize := len(w.documents[w.manifest].(core.ManifestRead).Raw)
		Expect(strings.Count(string(w.documents[w.manifest].(core.ManifestRead).Raw), ",")).To(BeNumerically(">", 300))
		Expect(w.bytes-idleBytes).To(BeNumerically("<", manifestSize), "three hosts receive one part and one patch each")
	})
})
