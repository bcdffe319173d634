package core

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"wisteriapond/config"
	"wisteriapond/pick"
)

// withArchiveRequests adds archive requests of one second each to a trace. They
// need half of all slots on average, in bursts that need more than all slots.
func withArchiveRequests(lookups []arrival, length time.Duration) []arrival {
	random := rand.New(rand.NewPCG(9, 5))
	const burst = 50
	arrivals := slices.Clone(lookups)
	for at := Instant(0); at < Instant(length); at = at.Add(2 * time.Second) {
		for range burst {
			spread := time.Duration(random.Int64N(int64(100 * time.Millisecond)))
			arrivals = append(arrivals, arrival{at: at.Add(spread), host: random.IntN(fleetHosts), work: time.Second, long: true})
		}
	}
	slices.SortStableFunc(arrivals, func(a, b arrival) int { return int(a.at - b.at) })
	return arrivals
}

// mixedService returns a service for lookups and archive requests. The archive
// requests are declared as long if long is set.
func mixedService(long bool) *config.Service {
	part := fleetService()
	part.Timeout = 10 * time.Second
	part.Labels = []config.LabelRule{{Label: "kind", Value: "archive", When: config.Match{PathPrefix: "/archive"}}}
	if long {
		part.LongWhen = []string{"kind=archive"}
	}
	return part
}

// Guards against lookups that wait behind archive requests on upstreams that both
// use. One slot of each upstream is reserved for lookups, over all hosts together.
var _ = ginkgo.Describe("lookups beside archive requests", ginkgo.Label("virtual time"), func() {
	// Guards against a request class that is configured later and gets no slots of
	// its own, or keeps them after it has been removed.
	ginkgo.It("are leased separately as soon as the configuration declares long requests", func() {
		f := newFleetOf(mixedService(false), pick.PreferLeased, true)
		for _, h := range f.hosts {
			h.configure(2, mixedService(true))
		}
		f.run(withArchiveRequests(generateTrace(3, time.Second, func(Instant) float64 { return 0.15 }), time.Second))
		h := f.hosts[0]
		beLeased := WithTransform(func(u *upstream) bool { return u.longLeased }, BeTrue())
		Expect(h.state.leases.services["catalogue"].longUnits).To(HaveLen(1))
		Expect(h.state.services["catalogue"].upstreams).To(ContainElement(beLeased))
		h.configure(3, mixedService(false))
		Expect(h.state.leases.services["catalogue"].longUnits).To(BeEmpty())
		Expect(h.state.services["catalogue"].upstreams).NotTo(ContainElement(beLeased))
	})

	ginkgo.It("are delayed by at most a tenth of the delay without reserved slots", func() {
		const length = 12 * time.Second
		arrivals := withArchiveRequests(generateTrace(3, length, func(Instant) float64 { return 0.15 }), length)
		percentile := make(map[bool]int64)
		for _, long := range []bool{false, true} {
			f := newFleetOf(mixedService(long), pick.PreferLeased, true)
			f.run(arrivals)
			ginkgo.GinkgoWriter.Println(f.report(map[bool]string{false: "one class", true: "long class"}[long], len(arrivals)))
			percentile[long] = f.delays.ValueAtPercentile(99)
			ginkgo.GinkgoWriter.Println("delay p50, p99, p99.9 in ms:", f.delays.ValueAtPercentile(50)/1e6,
				percentile[long]/1e6, f.delays.ValueAtPercentile(99.9)/1e6)
		}
		Expect(percentile[true]).To(BeNumerically("<=", percentile[false]/10))
	})
})
