package core

import (
	"fmt"
	"slices"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

const (
	// outageRecoveryBound is the time after the end of an outage of the store from which
	// every host applies what the store has acknowledged. Changes that it acknowledges
	// then are applied within propagationBound.
	outageRecoveryBound = 3 * time.Second
	// reregistrationTime is the time after an outage within which the live servers whose
	// entries have expired register again.
	reregistrationTime = 2 * time.Second
	// outageServers is the number of registered servers before an outage.
	outageServers = 9
	// outageSeeds is the number of seeds of each kind of outage. From largeOutageSeeds on
	// the failure domains have largeDomain hosts.
	outageSeeds      = 48
	largeOutageSeeds = 40
	largeDomain      = 12
)

// outageScenario is one outage of the store that begins and ends at any moment. Entries
// expire meanwhile; servers leave just before it, during it and after it, and a route
// moves just after it.
type outageScenario struct {
	*storeFleet
	// leftAt is the instant at which the store acknowledged that a server leaves, or lost
	// the entry of a server that has ended.
	leftAt map[string]Instant
	// routedAt is the instant of the new routing, 0 if there is none yet.
	routedAt Instant
	begin    Instant
	end      Instant
	steps    []outageStep
}

// outageStep is a step of an outageScenario.
type outageStep struct {
	at  Instant
	run func()
}

func newOutageScenario(seed uint64, perDomain int) *outageScenario {
	o := &outageScenario{storeFleet: newStoreFleet(seed, perDomain), leftAt: make(map[string]Instant)}
	for len(o.servers) < outageServers {
		o.register(fmt.Sprint("o", len(o.servers)))
	}
	o.begin = Instant(6 * time.Second).Add(o.draw(2 * time.Second))
	o.end = o.begin.Add(300*time.Millisecond + o.draw(6*time.Second))
	return o
}

func (o *outageScenario) draw(limit time.Duration) time.Duration {
	return time.Duration(o.random.Int64N(int64(limit)))
}

// plan adds a step at an instant.
func (o *outageScenario) plan(at Instant, run func()) {
	o.steps = append(o.steps, outageStep{at: at, run: run})
}

// write records a change of an entry, nil for its removal.
func (o *outageScenario) write(id string, server *Server) {
	o.revision++
	if delete(o.servers, id); server != nil {
		o.servers[id] = *server
	}
	change := ServerChange{ID: id, Server: server, Revision: o.revision}
	o.changes = append(o.changes, fleetChange{revision: o.revision, at: o.now, change: change, checked: true})
}

func (o *outageScenario) register(id string) {
	o.write(id, new(storeServer(id, "read", "mtl-a")))
}

// leave makes a server announce that it leaves.
func (o *outageScenario) leave(id string) {
	server, registered := o.servers[id]
	if _, left := o.leftAt[id]; !registered || left {
		return
	}
	server.Leaving = true
	o.write(id, &server)
	o.leftAt[id] = o.now
}

// expire removes the entry of a server whose heartbeats the store does not get, and
// registers it again after the outage unless it has ended meanwhile.
func (o *outageScenario) expire(id string, ends bool) {
	server, registered := o.servers[id]
	if !registered {
		return
	}
	o.write(id, nil)
	if ends {
		o.leftAt[id] = max(o.leftAt[id], o.end)
		return
	}
	o.plan(o.end.Add(o.draw(reregistrationTime)), func() {
		server.Leaving = o.leftAt[id] > 0
		o.write(id, &server)
	})
}

// planOutage plans the changes around an outage that fault begins and ends.
func (o *outageScenario) planOutage(fault func(begins bool)) {
	ids := sortedKeys(o.servers)
	o.random.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	o.plan(o.begin.Add(-o.draw(500*time.Millisecond)), func() { o.leave(ids[0]) })
	o.plan(o.begin, func() { fault(true) })
	for i, id := range ids {
		o.plan(o.begin.Add(time.Second+o.draw(time.Second)), func() {
			if o.now < o.end {
				o.expire(id, i == 1)
			}
		})
	}
	o.plan(o.end, func() { fault(false) })
	o.plan(o.end.Add(o.draw(1500*time.Millisecond)), func() {
		o.revision++
		o.routedAt = o.now
		o.changes = append(o.changes, fleetChange{revision: o.revision, at: o.now, routing: routing(2), checked: true})
	})
	o.plan(o.end.Add(o.draw(3*time.Second)), func() { o.leave(ids[2]) })
}

// play runs the fleet until some seconds after the outage, and checks every host.
func (o *outageScenario) play() {
	for until := o.end.Add(8 * time.Second); o.now < until; o.now = o.now.Add(fleetStep) {
		for i := 0; i < len(o.steps); i++ {
			if step := o.steps[i]; step.at <= o.now {
				o.steps = slices.Delete(o.steps, i, i+1)
				i--
				step.run()
			}
		}
		o.deliver()
		for _, h := range o.hosts {
			if !h.stopped {
				o.respondToWatches(h)
				o.tick(h)
			}
		}
		o.check()
	}
}

// check checks that every running host uses no server that has left, and routes as the
// store says.
func (o *outageScenario) check() {
	if o.now < o.end.Add(outageRecoveryBound) {
		return
	}
	due := func(at Instant) bool { return at > 0 && o.now.Sub(at) > propagationBound }
	for _, h := range o.hosts {
		if h.stopped {
			continue
		}
		if due(o.routedAt) {
			Expect(h.state.inForce().Generation).To(Equal(uint64(2)), "%s routes as before, %v after the outage", h.name, o.now.Sub(o.end))
		}
		if h.state.services["read"] == nil {
			continue
		}
		for _, u := range h.state.services["read"].upstreams {
			if due(o.leftAt[u.config.Name]) && !u.removed {
				Expect(u.accepts(o.now)).To(BeFalse(), "%s uses %s %v after the outage, which left %v before", h.name, u.config.Name, o.now.Sub(o.end), o.now.Sub(o.leftAt[u.config.Name]))
			}
		}
	}
}

// Guards against hosts that send requests to servers that have left, or by an earlier
// configuration, for seconds after the store is back (rules DRAIN and CONFIG).
var _ = ginkgo.Describe("after an outage of the store", func() {
	faults := map[string]func(o *outageScenario, begins bool){
		"silence":  func(o *outageScenario, begins bool) { o.silent = begins },
		"refusals": func(o *outageScenario, begins bool) { o.down = begins },
		"silence, the highest-ranked host is lost": func(o *outageScenario, begins bool) {
			o.silent = begins
			o.plan(o.begin.Add(o.draw(o.end.Sub(o.begin))), func() { o.hosts[0].stopped = true })
		},
		"silence, then refusals for some hosts": func(o *outageScenario, begins bool) {
			o.silent = begins
			for _, h := range o.hosts {
				h.rejected = o.random.IntN(2) == 0
			}
			o.ensureOneServed()
		},
	}
	for _, name := range sortedKeys(faults) {
		for seed := range uint64(outageSeeds) {
			ginkgo.It(fmt.Sprintf("(%s) every host applies what the store says, seed %d", name, seed), func() {
				perDomain := 1 + int(seed%4)
				if seed >= largeOutageSeeds {
					perDomain = largeDomain
				}
				o := newOutageScenario(seed, perDomain)
				o.planOutage(func(begins bool) { faults[name](o, begins) })
				o.play()
			})
		}
	}
})
