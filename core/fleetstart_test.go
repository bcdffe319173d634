package core

import (
	"fmt"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// The load of a fleet that starts at once after a loss of power: callers wait, and no
// host has any state.
var _ = ginkgo.Describe("a fleet that starts at once", func() {
	// Guards against hosts without routes for longer than callers are kept waiting, and
	// against store calls that grow faster than the fleet.
	for _, hosts := range []int{15, 102, 471} {
		ginkgo.It(fmt.Sprintf("has routes on all of %d hosts soon", hosts), func() {
			f := newStoreFleet(1, hosts/3)
			f.runCalmly(time.Second)
			f.pendingPolls = make(map[uint64]fleetPoll)
			f.due = nil
			f.calls = 0
			startedAt := f.now
			for _, h := range f.hosts {
				f.start(h, false)
			}
			first, last := time.Duration(0), time.Duration(0)
			for last == 0 && f.now.Sub(startedAt) < 10*time.Second {
				f.runCalmly(fleetStep)
				ready := 0
				for _, h := range f.hosts {
					if h.state.ready {
						ready++
					}
				}
				if ready > 0 && first == 0 {
					first = f.now.Sub(startedAt)
				}
				if ready == len(f.hosts) {
					last = f.now.Sub(startedAt)
				}
			}
			ginkgo.GinkgoWriter.Printf("%d hosts: first ready after %v, last after %v, %d store calls\n", len(f.hosts), first, last, f.calls)
			Expect(last).To(And(BeNumerically(">", 0), BeNumerically("<", maxEarlyWait)))
			// A listing per host: callers wait, so that no host waits for another one.
			Expect(f.calls).To(BeNumerically("<=", len(f.hosts)))
		})
	}
})
