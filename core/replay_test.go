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
			d := newDeployment(6)
			d.effectLog = digest
			d.serviceTime = 20 * time.Millisecond
			d.lossPercent, d.duplicatePercent = 5, 5
			d.publish(1, newService("catalogue", 4), newService("proofs", 4), newService("orders", 3))
			d.startAll()
			load := func() {
				for _, h := range d.liveHosts() {
					if d.intN(4) == 0 {
						d.request(h, "GET", []string{"/catalogue", "/proofs", "/orders"}[d.intN(3)])
					}
				}
			}
			d.run(5*time.Second, load)
			for i := range 3 {
				d.step(d.hosts[i], core.HostListRead{Hosts: []core.HostEntry{
					hostEntry("backend-1", 2, true), hostEntry("backend-2", 2, true),
				}})
			}
			d.publish(2, serviceVariant("catalogue", 2), serviceVariant("proofs", 3))
			d.hosts[4].stopped = true
			d.run(9*time.Second, load)
			d.hosts[3].paused = true
			d.run(time.Second, load)
			d.hosts[3].paused = false
			d.start(d.hosts[4])
			d.step(d.hosts[2], core.StopRequested{})
			d.run(5*time.Second, load)
			return digest.Sum64()
		}
		first := run()
		for range 5 {
			Expect(run()).To(Equal(first))
		}
	})
})
