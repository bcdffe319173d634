package core

import (
	"fmt"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"wisteriapond/config"
	"wisteriapond/pick"
)

// threeRegionService returns a service whose upstreams are spread over three
// regions. The entry hosts of the fleet take their regions from the upstreams.
func threeRegionService() *config.Service {
	part := fleetService()
	for i := range part.Upstreams {
		u := &part.Upstreams[i]
		u.Region = []string{"mtl", "qc", "sag"}[i%3]
		u.FailureDomain = fmt.Sprintf("%s-%d", u.Region, i/3%2)
	}
	return part
}

// Guards against requests that cross paid links although the local region has a
// free slot, and against a region that has to serve a load peak alone while others
// are idle.
var _ = ginkgo.Describe("three regions", ginkgo.Label("virtual time"), func() {
	const length = 12 * time.Second
	lightLoad := func(Instant) float64 { return 0.4 }
	run := func(policy pick.Policy, leased bool, arrivals []arrival) *fleet {
		f := newFleetOf(threeRegionService(), policy, leased)
		f.run(arrivals)
		ginkgo.GinkgoWriter.Println(f.report(fmt.Sprint(f.crossed, " crossed"), len(arrivals)))
		return f
	}

	ginkgo.It("exchange at most a tenth of the requests that they would if picks ignored regions", func() {
		arrivals := generateTrace(3, length, lightLoad)
		for _, leased := range []bool{false, true} {
			f := run(pick.PreferLeased, leased, arrivals)
			withoutRegions := len(arrivals) * 2 / 3
			Expect(f.crossed).To(BeNumerically("<=", withoutRegions/10))
			Expect(f.refusals).To(BeEmpty())
		}
	})

	ginkgo.It("share the load peak of one region", func() {
		arrivals := generateTrace(3, length, lightLoad)
		for i := range arrivals {
			arrivals[i].host = arrivals[i].host / 3 * 3
		}
		f := run(pick.PreferLeased, true, arrivals)
		Expect(f.refusals).To(BeEmpty())
		Expect(f.crossed).To(BeNumerically(">", 0))
	})
})
