package core_test

import (
	"time"

	"github.com/cespare/xxhash/v2"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"wisteriapond/core"
)

var _ = Describe("the decisions between entry hosts", func() {
	// Guards against results that depend on the iteration order of a map, with
	// which a recorded event log could not be replayed.
	It("are the same for the same events", func() {
		run := func() uint64 {
			digest := xxhash.New()
			w := newDeployment(6)
			w.effectLog = digest
			w.serviceTime = 20 * time.Millisecond
			w.lossPercent, w.duplicatePercent = 5, 5
			w.publish(1, newService("catalogue", 4), newService("proofs", 4), newService("orders", 3))
			w.startAll()
			load := func() {
				for _, h := range w.liveHosts() {
					if w.intN(4) == 0 {
						w.request(h, "GET", []string{"/catalogue", "/proofs", "/orders"}[w.intN(3)])
					}
				}
			}
			w.run(5*time.Second, load)
			for i := range 3 {
				w.step(w.hosts[i], core.HostListRead{Hosts: []core.HostEntry{
					hostEntry("backend-1", 2, true), hostEntry("backend-2", 2, true),
				}})
			}
			w.publish(2, serviceVariant("catalogue", 2), serviceVariant("proofs", 3))
			w.hosts[4].stopped = true
			w.run(9*time.Second, load)
			w.hosts[3].paused = true
			w.run(time.Second, load)
			w.hosts[3].paused = false
			w.start(w.hosts[4])
			w.step(w.hosts[2], core.StopRequested{})
			w.run(5*time.Second, load)
			return digest.Sum64()
		}
		first := run()
		for range 5 {
			Expect(run()).To(Equal(first))
		}
	})
})
