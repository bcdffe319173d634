package core_test

import (
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// mostProbes returns the largest number of probes within a minute.
func (w *site) maxProbesPerMinute() int {
	most := 0
	for i, first := range w.probes {
		count := 0
		for _, p := range w.probes[i:] {
			if p.at < first.at.Add(time.Minute) {
				count++
			}
		}
		most = max(most, count)
	}
	return most
}

var _ = Describe("probes", func() {
	// I1. Guards against hosts that together spend more than the budget when
	// they are split, paused or restarted.
	It("stay within the budget of the deployment", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			w := newSite(rapid.IntRange(1, 4).Draw(t, "hosts"))
			w.publish(1, service("catalogue", 40))
			w.startAll()
			for range rapid.IntRange(1, 40).Draw(t, "steps") {
				h := w.hosts[rapid.IntRange(0, len(w.hosts)-1).Draw(t, "host")]
				switch rapid.IntRange(0, 3).Draw(t, "action") {
				case 0:
					w.start(h)
				case 1:
					h.paused = !h.paused
				case 2:
					apart := rapid.Bool().Draw(t, "apart")
					w.cut = func(*entry, *entry) bool { return apart }
				}
				w.run(time.Duration(rapid.IntRange(1, 12).Draw(t, "seconds")) * time.Second)
			}
			if most := w.maxProbesPerMinute(); most > probesPerHost*len(w.hosts) {
				t.Fatalf("%d probes in a minute, allowed %d", most, probesPerHost*len(w.hosts))
			}
		})
	})

	// Guards against each host measuring what another has just measured.
	It("are not repeated for what a peer has measured", func() {
		w := newSite(4).begin(2*time.Minute, service("catalogue", 3))
		perUpstream := make(map[string]int)
		for _, p := range w.probes {
			perUpstream[p.address]++
		}
		Expect(perUpstream).To(HaveLen(3))
		for _, count := range perUpstream {
			Expect(count).To(BeNumerically("<=", 8), "a result counts for 30 s everywhere")
		}
		Expect(w.counted["probes_total/from_peer"]).To(BeNumerically(">", 0))
	})

	// Guards against budgets that are not spent at all.
	It("reach every upstream", func() {
		w := newSite(1).begin(time.Minute, service("catalogue", 10))
		var addresses []string
		for _, p := range w.probes {
			if !slices.Contains(addresses, p.address) {
				addresses = append(addresses, p.address)
			}
		}
		Expect(addresses).To(HaveLen(10))
	})
})
