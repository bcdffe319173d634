package core

import (
	"fmt"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"wisteriapond/config"
	"wisteriapond/pick"
)

// spreadPart puts the upstreams, and with them the hosts, into three regions.
func threeRegionService() *config.Service {
	part := fleetService()
	for i := range part.Upstreams {
		u := &part.Upstreams[i]
		u.Region = []string{"mtl", "qc", "sag"}[i%3]
		u.FailureDomain = fmt.Sprintf("%s-%d", u.Region, i/3%2)
	}
	return part
}

// Guards against requests that cross paid links although the own region has a
// free slot, and against a region that keeps its peak to itself while others
// are idle.
var _ = ginkgo.Describe("three regions", ginkgo.Label("virtual time"), func() {
	const length = 12 * time.Second
	quiet := func(Instant) float64 { return 0.4 }
	run := func(policy pick.Policy, leased bool, arrivals []arrival) *fleet {
		f := newFleetOf(threeRegionService(), policy, leased)
		f.run(arrivals)
		ginkgo.GinkgoWriter.Println(f.report(fmt.Sprint(f.crossed, " crossed"), len(arrivals)))
		return f
	}

	ginkgo.It("are crossed for a tenth at most of what picks do that know no regions", func() {
		arrivals := generateTrace(3, length, quiet)
		for _, leased := range []bool{false, true} {
			f := run(pick.Held, leased, arrivals)
			blind := len(arrivals) * 2 / 3
			Expect(f.crossed).To(BeNumerically("<=", blind/10))
			Expect(f.refusals).To(BeEmpty())
		}
	})

	ginkgo.It("take the peak of one region together", func() {
		arrivals := generateTrace(3, length, quiet)
		for i := range arrivals {
			arrivals[i].host = arrivals[i].host / 3 * 3
		}
		f := run(pick.Held, true, arrivals)
		Expect(f.refusals).To(BeEmpty())
		Expect(f.crossed).To(BeNumerically(">", 0))
	})
})
