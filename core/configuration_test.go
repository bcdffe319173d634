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

// changed returns a part of the service that differs from other ones by its
// number.
func serviceVariant(name string, number int) *config.Service {
	s := service(name, 3)
	s.Timeout = time.Second + time.Duration(number)*time.Millisecond
	return s
}

// inForce returns the number of running hosts that have the version in force.
func (w *site) countInForce(version config.Version) int {
	count := 0
	for _, h := range w.live() {
		if h.state.InForce() == version {
			count++
		}
	}
	return count
}

// watchReverts notes a host whose version becomes lower.
func (w *site) recordReverts() {
	for _, h := range w.live() {
		version := h.state.InForce()
		h.reverted = h.reverted || version.Less(h.version)
		h.version = version
	}
}

var _ = Describe("the configuration", func() {
	running := func(hosts int) *site {
		w := newSite(hosts).begin(8*time.Second, serviceVariant("catalogue", 1), serviceVariant("proofs", 1))
		ExpectWithOffset(1, w.countInForce(config.Version{Generation: 1, Hash: w.manifest})).To(Equal(hosts))
		return w
	}

	// Guards against hosts that serve an old configuration.
	DescribeTable("is in force everywhere within 5 s of its publication", func(hosts int) {
		w := running(hosts)
		version := w.publish(2, serviceVariant("catalogue", 2), serviceVariant("proofs", 1))
		w.run(5 * time.Second)
		Expect(w.countInForce(version)).To(Equal(hosts))
	},
		Entry("in a small fleet", 16),
		Entry("in a fleet that is told by hops", 64),
	)

	// Guards against a fleet that loads the configuration service with a watch
	// and a read of each part per host.
	It("is watched by few hosts and read from peers", func() {
		w := running(25)
		watching := 0
		for _, h := range w.hosts {
			if h.watching {
				watching++
			}
		}
		Expect(watching).To(Equal(5))
		before := w.counted["part_requests_total/service"]
		w.publish(2, serviceVariant("catalogue", 2), serviceVariant("proofs", 1))
		w.run(5 * time.Second)
		Expect(w.counted["part_requests_total/service"] - before).To(BeNumerically("<=", 5))
	})

	// Guards against restarts that each read every part from the configuration
	// service.
	It("comes from peers at a restart", func() {
		w := running(9)
		before := w.counted["part_requests_total/service"]
		w.start(w.hosts[8])
		w.run(time.Second)
		Expect(w.hosts[8].ready).To(BeTrue())
		Expect(w.counted["part_requests_total/service"]).To(Equal(before))
	})

	// Guards against a fleet without watchers after theirs have gone.
	It("reaches everyone after the loss of all watchers", func() {
		w := running(9)
		for _, h := range w.hosts {
			h.off = h.watching
		}
		w.run(30 * time.Second)
		version := w.publish(2, serviceVariant("catalogue", 2))
		w.run(5 * time.Second)
		Expect(w.countInForce(version)).To(Equal(6))
	})

	// Guards against a host that cannot start while the configuration service
	// is down.
	It("comes from a peer when the configuration service is down", func() {
		w := running(5)
		w.down = true
		w.start(w.hosts[4])
		w.run(2 * time.Second)
		Expect(w.hosts[4].ready).To(BeTrue())
		Expect(w.countInForce(config.Version{Generation: 1, Hash: w.manifest})).To(Equal(5))
	})

	// Guards against a starting host that serves an old configuration from a
	// stale service although its peers have a newer one.
	It("is the highest that any peer has when a host becomes ready", func() {
		w := running(5)
		old := w.manifest
		version := w.publish(2, serviceVariant("catalogue", 2))
		w.run(5 * time.Second)
		w.manifest = old
		w.start(w.hosts[0])
		for !w.hosts[0].ready {
			w.run(tick)
		}
		Expect(w.status(w.hosts[0]).Version).To(Equal(version))
	})

	// Guards against a host that waits for ever for peers that are gone.
	It("takes effect after 2 s when no peer answers", func() {
		w := newSite(3)
		w.publish(1, serviceVariant("catalogue", 1))
		w.start(w.hosts[1])
		w.run(1900 * time.Millisecond)
		Expect(w.hosts[1].ready).To(BeFalse())
		w.run(200 * time.Millisecond)
		Expect(w.hosts[1].ready).To(BeTrue())
	})

	// Guards against a rolled-back service that takes a fleet back.
	It("does not follow a service that went back", func() {
		w := running(4)
		old := w.manifest
		version := w.publish(2, serviceVariant("catalogue", 2))
		w.run(5 * time.Second)
		w.manifest = old
		for _, h := range w.hosts {
			w.readManifest(h)
		}
		w.run(5 * time.Second)
		Expect(w.countInForce(version)).To(Equal(4))
		Expect(w.counted["configurations_total/stale"]).To(BeNumerically(">", 0))
	})

	// Guards against two halves of a fleet with different documents of one
	// generation, and against nobody noticing.
	It("is the same one of two documents with one generation, with an alarm", func() {
		w := running(6)
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
		Expect(w.counted["configurations_total/conflict"]).To(BeNumerically(">", 0))
	})

	// Guards against a refused part that blocks every later version.
	It("goes on to a good version after a refused one", func() {
		w := running(4)
		bad := serviceVariant("catalogue", 2)
		bad.Queue = -1
		w.publish(2, bad)
		w.run(5 * time.Second)
		Expect(w.countInForce(config.Version{Generation: 2, Hash: w.manifest})).To(BeZero())
		Expect(w.counted["configurations_total/refused"]).To(BeNumerically(">", 0))
		version := w.publish(3, serviceVariant("catalogue", 3))
		w.run(5 * time.Second)
		Expect(w.countInForce(version)).To(Equal(4))
	})

	// Guards against a version that waits for ever for a part because the
	// service answered with an older one.
	It("reads a part again when its content is not the one wanted", func() {
		w := newSite(1)
		w.publish(1, serviceVariant("catalogue", 1))
		w.partsGone = true
		w.start(w.hosts[0])
		w.run(time.Second)
		w.step(w.hosts[0], core.PartRead{Hash: hash("0"), Service: serviceVariant("catalogue", 0)})
		Expect(w.counted["configurations_total/part_mismatch"]).To(Equal(int64(1)))
		reads := w.counted["part_requests_total/service"]
		w.run(30 * time.Second)
		again := w.counted["part_requests_total/service"] - reads
		Expect(again).To(BeNumerically(">=", 2))
		Expect(again).To(BeNumerically("<=", 8), "reads are spaced by a pause that grows")
		w.partsGone = false
		w.run(15 * time.Second)
		Expect(w.hosts[0].ready).To(BeTrue())
	})

	// Guards against a part of one service in the place of another.
	It("is refused when a part belongs to another service", func() {
		w := newSite(1)
		wrong := serviceVariant("proofs", 1)
		w.publish(1, wrong)
		read := w.documents[w.manifest].(core.ManifestRead)
		read.Manifest.Services[0].Name = "catalogue"
		w.start(w.hosts[0])
		w.run(3 * time.Second)
		Expect(w.hosts[0].ready).To(BeFalse())
		Expect(w.counted["configurations_total/refused"]).To(Equal(int64(1)))
	})

	// I7. Guards against a version that reverts or does not reach a host,
	// whatever losses, partitions, restarts and stale services there are.
	It("never reverts and reaches every host that is not cut off", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			w := newSite(rapid.IntRange(1, 6).Draw(t, "hosts"))
			w.random = rapid.Uint64().Draw(t, "network")
			w.publish(1, serviceVariant("catalogue", 1))
			w.startAll()
			w.run(3*time.Second, w.recordReverts)
			w.lose = rapid.IntRange(0, 20).Draw(t, "lose")
			w.repeat = rapid.IntRange(0, 20).Draw(t, "repeat")
			for range rapid.IntRange(1, 12).Draw(t, "steps") {
				w.injectRandomFault(t)
				w.run(time.Duration(rapid.IntRange(100, 3000).Draw(t, "ms"))*time.Millisecond, w.recordReverts)
			}
			w.clearFaults()
			last := w.publish(len(w.documents), serviceVariant("catalogue", len(w.documents)))
			w.run(45*time.Second, w.recordReverts)
			for _, h := range w.live() {
				if h.reverted || h.version != last || !h.ready {
					t.Fatalf("%s has %v, ready %v, reverted %v; published is %v", h.name, h.version, h.ready, h.reverted, last)
				}
			}
		})
	})
})

// disturb does one thing that fleets go through.
func (w *site) injectRandomFault(t *rapid.T) {
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
		h.paused = !h.paused && !h.off
	case 6:
		w.down = !w.down
	case 7:
		side := rapid.IntRange(0, len(w.hosts)).Draw(t, "side")
		w.cut = func(a, b *entry) bool {
			return (a.name < w.hosts[side%len(w.hosts)].name) != (b.name < w.hosts[side%len(w.hosts)].name)
		}
	case 8:
		// A stale service has an older generation.
		for hash, document := range w.documents {
			read, ok := document.(core.ManifestRead)
			if ok && read.Version.Generation == 1 {
				w.manifest = hash
			}
		}
	}
}

func (w *site) clearFaults() {
	w.down, w.lose, w.repeat = false, 0, 0
	w.cut = func(*entry, *entry) bool { return false }
	for _, h := range w.hosts {
		h.paused = false
	}
}

var _ = Describe("a manifest", func() {
	// Guards against a patch that went wrong and passes for a version that
	// nobody has published.
	It("from a peer is taken only if it is the one asked for", func() {
		w := newSite(2)
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
	It("reaches peers that have the one before as a patch", func() {
		w := newSite(4)
		services := make([]*config.Service, 0, 300)
		for i := range 300 {
			s := service(fmt.Sprint("service-", i), 1)
			s.Timeout += time.Duration(i) * time.Millisecond
			services = append(services, s)
		}
		w.begin(20*time.Second, services...)
		w.measure = true
		w.run(5 * time.Second)
		quiet := w.bytes
		w.bytes = 0
		services[7] = serviceVariant(services[7].Name, 5000)
		version := w.publish(2, services...)
		w.run(5 * time.Second)
		Expect(w.countInForce(version)).To(Equal(4))
		whole := len(w.documents[w.manifest].(core.ManifestRead).Raw)
		Expect(strings.Count(string(w.documents[w.manifest].(core.ManifestRead).Raw), ",")).To(BeNumerically(">", 300))
		Expect(w.bytes-quiet).To(BeNumerically("<", whole), "three hosts take one part and a patch each")
	})
})
