package core

import (
	"fmt"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"wisteriapond/budget"
)

// runCalmly runs the fleet for the given time without changes and disturbances.
func (f *storeFleet) runCalmly(d time.Duration) {
	for end := f.now.Add(d); f.now < end; f.now = f.now.Add(fleetStep) {
		f.deliver()
		for _, h := range f.hosts {
			if !h.stopped {
				f.respondToWatches(h)
				f.tick(h)
			}
		}
	}
}

// Guards against limits of the whole fleet that its hosts together exceed: they are
// divided by too few when hosts do not know each other yet, restart, or lose sight of
// a part of the fleet.
var _ = ginkgo.Describe("the number of entry hosts", func() {
	const slack = 1000

	// totalShare returns the sum of the shares of all running hosts in tokens.
	totalShare := func(f *storeFleet) (sum int) {
		for _, h := range f.hosts {
			h.state.self.Registry.RetrySlack = slack
			sum += h.state.retryShare()
		}
		return sum / budget.Token
	}

	for _, perDomain := range []int{1, 5, 40} {
		hosts := 3 * perDomain
		ginkgo.It(fmt.Sprintf("is learned by each of %d hosts", hosts), func() {
			f := newStoreFleet(1, perDomain)
			f.runCalmly(time.Second)
			Expect(totalShare(f)).To(BeNumerically("<=", slack))
			f.runCalmly(fleetLearnTime)
			for _, h := range f.hosts {
				Expect(h.state.countedHosts()).To(BeNumerically("~", hosts, hosts/10), h.name)
			}
			Expect(totalShare(f)).To(BeNumerically("<=", slack))
			Expect(totalShare(f)).To(BeNumerically(">=", slack*slackPercent/percent*9/10))
		})
	}

	ginkgo.It("is assumed to be large after a restart, and is not lowered when a part of the fleet is gone", func() {
		f := newStoreFleet(1, 4)
		f.runCalmly(3 * fleetLearnTime)
		for _, h := range f.hosts[6:] {
			h.stopped = true
		}
		f.start(f.hosts[3], false)
		Expect(f.hosts[3].state.countedHosts()).To(Equal(assumedFleet))
		f.runCalmly(3 * fleetLearnTime)
		for _, h := range f.hosts[:6] {
			Expect(h.state.countedHosts()).To(BeNumerically(">=", len(f.hosts)), h.name)
		}
	})
})
