package core

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

const (
	// evacuationBound is the time within which every running host must have stopped
	// sending to an emptied domain, and inTouchAfter the time after its start from
	// which the bound holds for a host.
	evacuationBound = 5 * time.Second
	inTouchAfter    = 4 * time.Second
	// evacuationSeeds is the number of seeds. Each runs for two minutes of virtual
	// time.
	evacuationSeeds = 16
)

// evacuationFleet plays a store fleet whose operator empties failure domains and
// takes them back, while the store rejects hosts and discards its history, and hosts
// are restarted.
type evacuationFleet struct {
	*storeFleet
	draws *rand.Rand
	// emptied holds the failure domains that are emptied, and changedAt the instant
	// of the last change of each.
	emptied   map[string]bool
	changedAt map[string]Instant
	startedAt map[*storeHost]Instant
	// slowest is the longest time until all hosts in touch had applied a change.
	slowest time.Duration
	pending map[string]bool
}

func newEvacuationFleet(seed uint64, perDomain int) *evacuationFleet {
	return &evacuationFleet{
		storeFleet: newStoreFleet(seed, perDomain), draws: rand.New(rand.NewPCG(seed, 23)), emptied: make(map[string]bool),
		changedAt: make(map[string]Instant), startedAt: make(map[*storeHost]Instant), pending: make(map[string]bool),
	}
}

// toggle empties a failure domain or takes it back.
func (f *evacuationFleet) toggle(domain string) {
	f.revision++
	f.emptied[domain] = !f.emptied[domain]
	f.changedAt[domain] = f.now
	f.pending[domain] = true
	f.changes = append(f.changes, fleetChange{
		revision: f.revision, at: f.now, checked: true,
		domain: &DomainMark{Domain: domain, Emptied: f.emptied[domain], Revision: f.revision},
	})
}

// disturbHosts rejects some hosts, serves all, discards the history, or restarts a
// host. The store serves at least one running host at any time.
func (f *evacuationFleet) disturbHosts() {
	switch f.draws.IntN(5) {
	case 0:
		f.historyStart = f.revision
	case 1, 2:
		for _, h := range f.hosts {
			h.rejected = f.draws.IntN(3) > 0
		}
	case 3:
		for _, h := range f.hosts {
			h.rejected = false
		}
	default:
		h := f.hosts[f.draws.IntN(len(f.hosts))]
		f.restart(h)
		f.startedAt[h] = f.now
	}
	f.ensureOneServed()
}

// runDisturbed runs the fleet with a change of a failure domain every 7 s and
// disturbances at random.
func (f *evacuationFleet) runDisturbed(d time.Duration) {
	domains := []string{"mtl-a", "mtl-b", "qc-a"}
	nextToggle := f.now.Add(3 * time.Second)
	for end := f.now.Add(d); f.now < end; f.now = f.now.Add(fleetStep) {
		if f.now >= nextToggle {
			f.toggle(domains[f.draws.IntN(len(domains))])
			nextToggle = f.now.Add(7 * time.Second)
		}
		if f.draws.IntN(300) == 0 {
			f.disturbHosts()
		}
		if f.draws.IntN(100) == 0 {
			f.changeServers()
		}
		f.advanceHosts()
		f.checkDomains()
	}
}

// advanceHosts delivers what is due to the running hosts.
func (f *evacuationFleet) advanceHosts() {
	f.deliver()
	for _, h := range f.hosts {
		if !h.stopped {
			f.respondToWatches(h)
			f.tick(h)
		}
	}
}

// checkDomains checks that every host in touch knows the state of the domains whose
// last change is older than evacuationBound.
func (f *evacuationFleet) checkDomains() {
	for _, domain := range sortedKeys(f.changedAt) {
		age := f.now.Sub(f.changedAt[domain])
		behind := f.behind(domain)
		if len(behind) == 0 && f.pending[domain] {
			f.pending[domain] = false
			f.slowest = max(f.slowest, age)
		}
		if age >= evacuationBound {
			Expect(behind).To(BeEmpty(), "%s, emptied: %v, changed at %v, now %v", domain, f.emptied[domain], time.Duration(f.changedAt[domain]), time.Duration(f.now))
		}
	}
}

// behind returns the hosts in touch that do not know the state of a domain, or whose
// upstreams do not follow it. A host without a configuration sends nothing: the store
// rejects it, and no host that it knows is up.
func (f *evacuationFleet) behind(domain string) (hosts []string) {
	for _, h := range f.hosts {
		started, restarted := f.startedAt[h]
		if h.stopped || h.state.table == nil || restarted && f.now.Sub(started) < inTouchAfter {
			continue
		}
		follows := h.state.domainEmptied(domain) == f.emptied[domain]
		for _, svc := range h.state.services {
			for _, u := range svc.upstreams {
				follows = follows && (u.config.FailureDomain != domain || u.emptied == f.emptied[domain])
			}
		}
		if !follows {
			hosts = append(hosts, fmt.Sprintf("%s (rejected: %v, revision %d of %d, staleness %v)",
				h.name, h.rejected, h.state.registry.revision, f.revision, h.state.storeStaleness()))
		}
	}
	return hosts
}

// Guards against hosts that go on sending to an emptied domain, or that leave one
// out which is back, while the store rejects them or its history is gone.
var _ = ginkgo.Describe("a fleet whose operator empties failure domains", ginkgo.Label("virtual time"), func() {
	for seed := range uint64(evacuationSeeds) {
		ginkgo.It(fmt.Sprintf("follows on every host within 5 s, seed %d", seed), func() {
			f := newEvacuationFleet(seed, 2+int(seed%3))
			f.runDisturbed(2 * time.Minute)
			ginkgo.GinkgoWriter.Println("slowest change", f.slowest)
		})
	}

	// Guards against a host that was cut off while a domain came back, and then
	// empties it again on hosts that were all restarted meanwhile.
	ginkgo.It("is not misled by a host that was cut off", func() {
		f := newEvacuationFleet(1, 2)
		run := func(d time.Duration) {
			for end := f.now.Add(d); f.now < end; f.now = f.now.Add(fleetStep) {
				f.advanceHosts()
			}
		}
		run(3 * time.Second)
		f.toggle("mtl-a")
		run(2 * time.Second)
		cutOff := f.hosts[len(f.hosts)-1]
		Expect(cutOff.state.domainEmptied("mtl-a")).To(BeTrue())
		kept := *cutOff
		cutOff.stopped = true
		f.toggle("mtl-a")
		run(2 * time.Second)
		f.historyStart = f.revision
		for _, h := range f.hosts {
			if h != cutOff {
				f.start(h, false)
			}
		}
		run(3 * time.Second)
		for _, h := range f.hosts {
			Expect(h == cutOff || !h.state.domainEmptied("mtl-a")).To(BeTrue(), h.name)
			Expect(h == cutOff || !h.state.registry.domains.table.Known("mtl-a")).To(BeTrue(), "restarted hosts have no mark")
		}
		// The host returns, and the store rejects it.
		*cutOff = kept
		cutOff.rejected = true
		run(evacuationBound)
		Expect(f.behind("mtl-a")).To(BeEmpty())
	})
})
