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

// serviceVariant returns a variant of the service. Variants with different numbers
// differ in their timeout, and therefore in their hash.
func serviceVariant(name string, number int) *config.Service {
	s := newService(name, 3)
	s.Timeout = time.Second + time.Duration(number)*time.Millisecond
	return s
}

// countInForce returns the number of running hosts that have the version in force.
func (d *deployment) countInForce(version config.Version) int {
	count := 0
	for _, h := range d.liveHosts() {
		if h.state.InForce() == version {
			count++
		}
	}
	return count
}

// recordReverts marks the hosts whose version has become lower since the last call.
func (d *deployment) recordReverts() {
	for _, h := range d.liveHosts() {
		version := h.state.InForce()
		h.reverted = h.reverted || version.Less(h.version)
		h.version = version
	}
}

var _ = Describe("the configuration", func() {
	startDeployment := func(hosts int) *deployment {
		d := newDeployment(hosts).launch(8*time.Second, serviceVariant("catalogue", 1), serviceVariant("proofs", 1))
		ExpectWithOffset(1, d.countInForce(config.Version{Generation: 1, Hash: d.manifest})).To(Equal(hosts))
		return d
	}

	// Guards against hosts that serve an old configuration.
	DescribeTable("is in force everywhere within 5 s of its publication", func(hosts int) {
		d := startDeployment(hosts)
		version := d.publish(2, serviceVariant("catalogue", 2), serviceVariant("proofs", 1))
		d.run(5 * time.Second)
		Expect(d.countInForce(version)).To(Equal(hosts))
	},
		Entry("in a small fleet", 16),
		Entry("in a fleet with propagation over several hops", 64),
	)

	// Guards against a fleet that loads the configuration service with a watch
	// and a read of each part per host.
	It("is watched by few hosts and read from peers", func() {
		d := startDeployment(25)
		watching := 0
		for _, h := range d.hosts {
			if h.watching {
				watching++
			}
		}
		Expect(watching).To(Equal(5))
		before := d.counters["part_requests_total/service"]
		d.publish(2, serviceVariant("catalogue", 2), serviceVariant("proofs", 1))
		d.run(5 * time.Second)
		Expect(d.counters["part_requests_total/service"] - before).To(BeNumerically("<=", 5))
	})

	// Guards against a restart that reads every part from the configuration
	// service.
	It("is fetched from peers after a restart", func() {
		d := startDeployment(9)
		before := d.counters["part_requests_total/service"]
		d.start(d.hosts[8])
		d.run(time.Second)
		Expect(d.hosts[8].ready).To(BeTrue())
		Expect(d.counters["part_requests_total/service"]).To(Equal(before))
	})

	// Guards against a fleet that has no watchers after all of them have failed.
	It("reaches all hosts after the loss of all watchers", func() {
		d := startDeployment(9)
		for _, h := range d.hosts {
			h.stopped = h.watching
		}
		d.run(30 * time.Second)
		version := d.publish(2, serviceVariant("catalogue", 2))
		d.run(5 * time.Second)
		Expect(d.countInForce(version)).To(Equal(6))
	})

	// Guards against a host that cannot start while the configuration service
	// is down.
	It("is fetched from a peer while the configuration service is down", func() {
		d := startDeployment(5)
		d.platformDown = true
		d.start(d.hosts[4])
		d.run(2 * time.Second)
		Expect(d.hosts[4].ready).To(BeTrue())
		Expect(d.countInForce(config.Version{Generation: 1, Hash: d.manifest})).To(Equal(5))
	})

	// Guards against a starting host that serves an old configuration from a
	// stale service although its peers have a newer one.
	It("is the highest version of any peer when a host becomes ready", func() {
		d := startDeployment(5)
		old := d.manifest
		version := d.publish(2, serviceVariant("catalogue", 2))
		d.run(5 * time.Second)
		d.manifest = old
		d.start(d.hosts[0])
		for !d.hosts[0].ready {
			d.run(clockStep)
		}
		Expect(d.status(d.hosts[0]).Version).To(Equal(version))
	})

	// Guards against a host that waits indefinitely for peers that are down.
	It("is in force after 2 s if no peer responds", func() {
		d := newDeployment(3)
		d.publish(1, serviceVariant("catalogue", 1))
		d.start(d.hosts[1])
		d.run(1900 * time.Millisecond)
		Expect(d.hosts[1].ready).To(BeFalse())
		d.run(200 * time.Millisecond)
		Expect(d.hosts[1].ready).To(BeTrue())
	})

	// Guards against a configuration service that is rolled back and reverts the
	// entire fleet.
	It("is not reverted by a configuration service that was rolled back", func() {
		d := startDeployment(4)
		old := d.manifest
		version := d.publish(2, serviceVariant("catalogue", 2))
		d.run(5 * time.Second)
		d.manifest = old
		for _, h := range d.hosts {
			d.readManifest(h)
		}
		d.run(5 * time.Second)
		Expect(d.countInForce(version)).To(Equal(4))
		Expect(d.counters["configurations_total/stale"]).To(BeNumerically(">", 0))
	})

	// Guards against a fleet whose hosts have different documents of one generation
	// in force, and against a conflict that is not reported.
	It("is the same everywhere if two documents have one generation, and the conflict is reported", func() {
		d := startDeployment(6)
		first := d.publish(2, serviceVariant("catalogue", 2))
		for _, h := range d.hosts[:3] {
			d.readManifest(h)
		}
		second := d.publish(2, serviceVariant("catalogue", 3))
		d.run(5 * time.Second)
		winner := first
		if first.Less(second) {
			winner = second
		}
		Expect(d.countInForce(winner)).To(Equal(6))
		Expect(d.counters["configurations_total/conflict"]).To(BeNumerically(">", 0))
	})

	// Guards against a refused part that blocks every later version.
	It("advances to a valid version after a refused one", func() {
		d := startDeployment(4)
		bad := serviceVariant("catalogue", 2)
		bad.Queue = -1
		d.publish(2, bad)
		d.run(5 * time.Second)
		Expect(d.countInForce(config.Version{Generation: 2, Hash: d.manifest})).To(BeZero())
		Expect(d.counters["configurations_total/refused"]).To(BeNumerically(">", 0))
		version := d.publish(3, serviceVariant("catalogue", 3))
		d.run(5 * time.Second)
		Expect(d.countInForce(version)).To(Equal(4))
	})

	// Guards against a version that waits indefinitely for a part because the
	// configuration service responded with an older one.
	It("reads a part again if its hash is not the wanted one", func() {
		d := newDeployment(1)
		d.publish(1, serviceVariant("catalogue", 1))
		d.partsMissing = true
		d.start(d.hosts[0])
		d.run(time.Second)
		d.step(d.hosts[0], core.PartRead{Hash: fakeHash("0"), Service: serviceVariant("catalogue", 0)})
		Expect(d.counters["configurations_total/part_mismatch"]).To(Equal(int64(1)))
		reads := d.counters["part_requests_total/service"]
		d.run(30 * time.Second)
		again := d.counters["part_requests_total/service"] - reads
		Expect(again).To(BeNumerically(">=", 2))
		Expect(again).To(BeNumerically("<=", 8), "reads are separated by growing pauses")
		d.partsMissing = false
		d.run(15 * time.Second)
		Expect(d.hosts[0].ready).To(BeTrue())
	})

	// Guards against a part of one service that is used for another service.
	It("is refused if a part belongs to another service", func() {
		d := newDeployment(1)
		wrong := serviceVariant("proofs", 1)
		d.publish(1, wrong)
		read := d.documents[d.manifest].(core.ManifestRead)
		read.Manifest.Services[0].Name = "catalogue"
		d.start(d.hosts[0])
		d.run(3 * time.Second)
		Expect(d.hosts[0].ready).To(BeFalse())
		Expect(d.counters["configurations_total/refused"]).To(Equal(int64(1)))
	})

	// Invariant I7. Guards against a version that reverts, or that does not reach a
	// host, despite message loss, partitions, restarts and stale configuration
	// services.
	It("never reverts and reaches every host that is not partitioned", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			d := newDeployment(rapid.IntRange(1, 6).Draw(t, "hosts"))
			d.random = rapid.Uint64().Draw(t, "network")
			d.publish(1, serviceVariant("catalogue", 1))
			d.startAll()
			d.run(3*time.Second, d.recordReverts)
			d.lossPercent = rapid.IntRange(0, 20).Draw(t, "loss percent")
			d.duplicatePercent = rapid.IntRange(0, 20).Draw(t, "duplicate percent")
			for range rapid.IntRange(1, 12).Draw(t, "steps") {
				d.injectRandomFault(t)
				d.run(time.Duration(rapid.IntRange(100, 3000).Draw(t, "ms"))*time.Millisecond, d.recordReverts)
			}
			d.clearFaults()
			last := d.publish(len(d.documents), serviceVariant("catalogue", len(d.documents)))
			d.run(45*time.Second, d.recordReverts)
			for _, h := range d.liveHosts() {
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
func (d *deployment) injectRandomFault(t *rapid.T) {
	h := d.hosts[rapid.IntRange(0, len(d.hosts)-1).Draw(t, "host")]
	generation := len(d.documents)
	switch rapid.IntRange(0, 8).Draw(t, "action") {
	case 0, 1, 2:
		d.publish(generation, serviceVariant("catalogue", generation))
	case 3:
		bad := serviceVariant("catalogue", generation)
		bad.Queue = -1
		d.publish(generation, bad)
	case 4:
		d.start(h)
	case 5:
		h.paused = !h.paused && !h.stopped
	case 6:
		d.platformDown = !d.platformDown
	case 7:
		side := rapid.IntRange(0, len(d.hosts)).Draw(t, "side")
		d.partitioned = func(a, b *simulatedHost) bool {
			return (a.name < d.hosts[side%len(d.hosts)].name) != (b.name < d.hosts[side%len(d.hosts)].name)
		}
	case 8:
		// A stale configuration service returns the first generation.
		for hash, document := range d.documents {
			read, ok := document.(core.ManifestRead)
			if ok && read.Version.Generation == 1 {
				d.manifest = hash
			}
		}
	}
}

// clearFaults ends the outage of the configuration service, message loss and
// duplication, partitions and pauses.
func (d *deployment) clearFaults() {
	d.platformDown, d.lossPercent, d.duplicatePercent = false, 0, 0
	d.partitioned = func(*simulatedHost, *simulatedHost) bool { return false }
	for _, h := range d.hosts {
		h.paused = false
	}
}

var _ = Describe("a manifest", func() {
	// Guards against the result of a faulty patch that is accepted as a version that
	// nobody has published.
	It("from a peer is accepted only if it is the wanted one", func() {
		d := newDeployment(2)
		first := d.publish(1, serviceVariant("catalogue", 1))
		d.startAll()
		d.run(3 * time.Second)
		forged := d.documents[first.Hash].(core.ManifestRead)
		forged.From = d.hosts[0].name
		forged.Version.Generation = 2
		d.step(d.hosts[1], forged)
		d.run(3 * time.Second)
		Expect(d.status(d.hosts[1]).Version).To(Equal(first))
	})

	// Guards against 10,000 changes a day that each send the hashes of all
	// services to all hosts.
	It("is sent as a patch to peers that have the previous one", func() {
		d := newDeployment(4)
		services := make([]*config.Service, 0, 300)
		for i := range 300 {
			s := newService(fmt.Sprint("service-", i), 1)
			s.Timeout += time.Duration(i) * time.Millisecond
			services = append(services, s)
		}
		d.launch(20*time.Second, services...)
		d.measuring = true
		d.run(5 * time.Second)
		idleBytes := d.bytes
		d.bytes = 0
		services[7] = serviceVariant(services[7].Name, 5000)
		version := d.publish(2, services...)
		d.run(5 * time.Second)
		Expect(d.countInForce(version)).To(Equal(4))
		manifestSize := len(d.documents[d.manifest].(core.ManifestRead).Raw)
		Expect(strings.Count(string(d.documents[d.manifest].(core.ManifestRead).Raw), ",")).To(BeNumerically(">", 300))
		Expect(d.bytes-idleBytes).To(BeNumerically("<", manifestSize), "three hosts receive one part and one patch each")
	})
})
