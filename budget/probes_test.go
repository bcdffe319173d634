package budget_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"wisteriapond/budget"
)

var _ = Describe("Probes", func() {
	// Guards against probes before a process has run for one full interval: a
	// restart loop would otherwise send one probe per restart.
	It("starts with a full interval and accumulates no unused budget", func() {
		p := budget.NewProbes(0)
		p.SetLimits(60, 1<<20, 1, 1024)
		Expect(p.PerMinute()).To(Equal(60))
		Expect(p.Allow(time.Second)).To(BeFalse())
		Expect(p.Allow(p.Interval())).To(BeTrue())
		Expect(p.Allow(time.Hour)).To(BeTrue())
		Expect(p.Allow(time.Hour)).To(BeFalse())
	})

	// Guards against a share that is rounded up, which would exceed the budget
	// when added up over the hosts.
	DescribeTable("rounds the share down", func(requests int, bytes int64, hosts int, probe int64, want int) {
		p := budget.NewProbes(0)
		p.SetLimits(requests, bytes, hosts, probe)
		Expect(p.PerMinute()).To(Equal(want))
	},
		Entry("by requests", 60, int64(1<<30), 17, int64(1024), 3),
		Entry("by bytes", 600, int64(100_000), 10, int64(4_000), 2),
		Entry("fewer bytes than one probe costs", 600, int64(30_000), 10, int64(4_000), 0),
		Entry("no requests", 0, int64(1<<30), 10, int64(1024), 0),
		Entry("no bytes", 600, int64(0), 10, int64(1024), 0),
	)

	// Guards against a minute in which the hosts together exceed the budget of
	// the deployment, whatever restarts, pauses and partitions they go through.
	// A probe may start up to 50 ms after the decision.
	It("never exceeds the budget of the deployment in any minute", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			hosts := rapid.IntRange(1, 5).Draw(t, "hosts")
			requests := rapid.IntRange(hosts, 300).Draw(t, "requests")
			probe := int64(rapid.IntRange(100, 5000).Draw(t, "probe"))
			bytes := int64(rapid.IntRange(1, 400_000).Draw(t, "bytes"))
			var starts []time.Duration
			for range hosts {
				starts = append(starts, probesOf(t, hosts, requests, bytes, probe)...)
			}
			for _, first := range starts {
				count := 0
				for _, at := range starts {
					if at >= first && at < first+time.Minute {
						count++
					}
				}
				if count > requests || int64(count)*probe > bytes {
					t.Fatalf("%d probes of %d bytes within a minute, want at most %d probes and %d bytes", count, probe, requests, bytes)
				}
			}
		})
	})
})

// probesOf returns the instants at which one host starts probes, across random
// restarts and pauses.
func probesOf(t *rapid.T, hosts, requests int, bytes, probe int64) []time.Duration {
	var starts []time.Duration
	now := time.Duration(0)
	p := budget.NewProbes(now)
	p.SetLimits(requests, bytes, hosts, probe)
	for range rapid.IntRange(5, 200).Draw(t, "steps") {
		switch rapid.IntRange(0, 20).Draw(t, "action") {
		case 0:
			p = budget.NewProbes(now)
			p.SetLimits(requests, bytes, hosts, probe)
		case 1:
			now += time.Duration(rapid.IntRange(0, 90_000).Draw(t, "pause")) * time.Millisecond
		default:
			now += time.Duration(rapid.IntRange(1, 500).Draw(t, "ms")) * time.Millisecond
		}
		if at, ok := p.NextAt(); ok && rapid.Bool().Draw(t, "exact") {
			now = max(now, at)
		}
		if p.Allow(now) {
			late := time.Duration(rapid.IntRange(0, 50).Draw(t, "late")) * time.Millisecond
			starts = append(starts, now+late)
		}
	}
	return starts
}
