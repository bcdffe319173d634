package core_test

import (
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// maxProbesPerMinute returns the largest number of probes within any minute.
func (d *deployment) maxProbesPerMinute() int {
	most := 0
	for i, first := range d.probes {
		count := 0
		for _, p := range d.probes[i:] {
			if p.at < first.at.Add(time.Minute) {
				count++
			}
		}
		most = max(most, count)
	}
	return most
}

var _ = Describe("probes", func() {
	// Invariant I1. Guards against hosts that together exceed the measuring budget
	// when they are partitioned, paused or restarted.
	It("stay within the budget of the deployment", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			d := newDeployment(rapid.IntRange(1, 4).Draw(t, "hosts"))
			d.publish(1, newService("catalogue", 40))
			d.startAll()
			for range rapid.IntRange(1, 40).Draw(t, "steps") {
				h := d.hosts[rapid.IntRange(0, len(d.hosts)-1).Draw(t, "host")]
				switch rapid.IntRange(0, 3).Draw(t, "action") {
				case 0:
					d.start(h)
				case 1:
					h.paused = !h.paused
				case 2:
					apart := rapid.Bool().Draw(t, "apart")
					d.partitioned = func(*simulatedHost, *simulatedHost) bool { return apart }
				}
				d.run(time.Duration(rapid.IntRange(1, 12).Draw(t, "seconds")) * time.Second)
			}
			if most := d.maxProbesPerMinute(); most > probesPerHost*len(d.hosts) {
				t.Fatalf("%d probes in a minute, allowed %d", most, probesPerHost*len(d.hosts))
			}
		})
	})

	// Guards against hosts that probe an upstream which another host has just
	// probed.
	It("are not repeated for an upstream that a peer has probed", func() {
		d := newDeployment(4).launch(2*time.Minute, newService("catalogue", 3))
		perUpstream := make(map[string]int)
		for _, p := range d.probes {
			perUpstream[p.address]++
		}
		Expect(perUpstream).To(HaveLen(3))
		for _, count := range perUpstream {
			Expect(count).To(BeNumerically("<=", 8), "a result is valid for 30 s on all hosts")
		}
		Expect(d.counters["probes_total/from_peer"]).To(BeNumerically(">", 0))
	})

	// Guards against a measuring budget that is not spent.
	It("reach every upstream", func() {
		d := newDeployment(1).launch(time.Minute, newService("catalogue", 10))
		var addresses []string
		for _, p := range d.probes {
			if !slices.Contains(addresses, p.address) {
				addresses = append(addresses, p.address)
			}
		}
		Expect(addresses).To(HaveLen(10))
	})
})
