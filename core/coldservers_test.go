package core

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"wisteriapond/config"
	"wisteriapond/outcome"
)

// coldSite is a host that reads a store, and servers that respond to its load queries
// and requests and may be cold.
type coldSite struct {
	*storeTestReducer
	random *rand.Rand
	due    []coldEvent
	// coldUntil holds the end of the warm-up of each server, and reportedAt the
	// instant of its last response to a load query.
	coldUntil  map[string]Instant
	reportedAt map[string]Instant
	// arrivals holds the attempts on each server while it is cold.
	arrivals map[string][]Instant
	starts   int
	refusals []Refuse
	// respond returns what becomes of an attempt.
	respond func() outcome.Facts
}

// coldEvent is an event that reaches the host at an instant.
type coldEvent struct {
	at    Instant
	event Event
}

const (
	coldRate = 4000
	// coldBound is what a cold server bears in any second: one and a half times its
	// rate, and 8 requests.
	coldBound = 14
	coldStep  = Instant(time.Millisecond)
)

// newColdSite returns a site whose host has had time to learn of others.
func newColdSite(seed uint64, servers ...Server) *coldSite {
	c := &coldSite{
		storeTestReducer: newStoreTestReducer(func(s *RegistrySettings) { s.WarmUpPercent, s.WarmUpSlack = 150, 8 }),
		random:           rand.New(rand.NewPCG(seed, 3)),
		coldUntil:        make(map[string]Instant), reportedAt: make(map[string]Instant), arrivals: make(map[string][]Instant),
		respond: func() outcome.Facts { return outcome.Facts{Wrote: true, Status: 200, Load: -1} },
	}
	c.list(coldRouting(1), servers...)
	return c
}

// coldRouting returns a routing whose services state a rate for cold servers.
func coldRouting(version uint64) *config.Routing {
	routes := routing(version)
	for i := range routes.Services {
		routes.Services[i].ProbePath = "/health"
		routes.Services[i].WarmUp = 3 * time.Second
		routes.Services[i].WarmUpRate = coldRate
	}
	return routes
}

// run advances the time, with the given number of requests a second.
func (c *coldSite) run(d time.Duration, perSecond int, paths ...string) {
	for end := c.now.Add(d); c.now < end; c.now += coldStep {
		if c.random.IntN(1000) < perSecond {
			c.apply(c.arrive(paths[c.random.IntN(len(paths))]))
		}
		for len(c.due) > 0 && c.due[0].at <= c.now {
			event := c.due[0].event
			c.due = c.due[1:]
			if probe, ok := event.(ProbeFinished); ok {
				c.reportedAt[probe.Upstream] = c.now
			}
			c.apply(c.step(event))
		}
		c.apply(c.step(Tick{}))
	}
}

func (c *coldSite) apply(effects []Effect) {
	for _, effect := range effects {
		switch e := effect.(type) {
		case StartProbe:
			left := max(0, c.coldUntil[e.Upstream].Sub(c.now))
			c.schedule(time.Millisecond, ProbeFinished{Service: e.Service, Upstream: e.Upstream, Facts: outcome.Facts{
				Wrote: true, Status: 200, Load: -1, Told: outcome.LoadReport{Known: true, Slots: 2, Slowdown: 100},
				WarmUp: outcome.WarmUpReport{Known: true, Left: left},
			}})
		case StartAttempt:
			c.starts++
			Expect(c.now.Sub(c.reportedAt[e.Upstream])).To(BeNumerically("<=", maxWarmReportAge), "age of the report of %s", e.Upstream)
			Expect(c.reportedAt).To(HaveKey(e.Upstream))
			if c.now < c.coldUntil[e.Upstream] {
				c.arrivals[e.Upstream] = append(c.arrivals[e.Upstream], c.now)
			}
			c.schedule(20*time.Millisecond, AttemptFinished{Attempt: e.Attempt, Facts: c.respond()})
		case Refuse:
			c.refusals = append(c.refusals, e)
		}
	}
}

func (c *coldSite) schedule(after time.Duration, event Event) {
	c.due = append(c.due, coldEvent{at: c.now.Add(after), event: event})
	slices.SortStableFunc(c.due, func(a, b coldEvent) int { return int(a.at - b.at) })
}

// mostArrivals returns the largest number of attempts on a cold server in any second.
func (c *coldSite) mostArrivals() int {
	most := 0
	for _, arrivals := range c.arrivals {
		first := 0
		for last := range arrivals {
			for arrivals[last].Sub(arrivals[first]) >= time.Second {
				first++
			}
			most = max(most, last-first+1)
		}
	}
	return most
}

var _ = ginkgo.Describe("cold backend servers", func() {
	const warmUp = 3 * time.Second
	servers := []Server{
		storeServer("a", "read", "mtl-a"), storeServer("b", "read", "mtl-a"), storeServer("c", "read", "mtl-b"),
		storeServer("d", "write", "mtl-a"), storeServer("e", "write", "mtl-a"),
	}

	// Guards against requests that reach a cold server past its rate: waiting ones,
	// second attempts, and trials of a server that failed. The host alone sends 200
	// requests a second, of which the servers shed or fail a part.
	for seed := range uint64(4) {
		ginkgo.It(fmt.Sprintf("get no more than they bear in any second, seed %d", seed), func() {
			c := newColdSite(seed, servers...)
			c.respond = func() outcome.Facts {
				switch c.random.IntN(4) {
				case 0:
					return outcome.Facts{Wrote: true, Status: 503, NotRunHeader: true, Load: -1}
				case 1:
					return outcome.Facts{Wrote: true, Status: 500, Load: -1}
				}
				return outcome.Facts{Wrote: true, Status: 200, Load: -1}
			}
			c.run(fleetLearnTime, 200, "/lookup/x", "/order/x", "/file/x")
			for range 3 {
				for _, server := range servers {
					c.coldUntil[server.ID] = c.now.Add(warmUp)
				}
				clear(c.arrivals)
				c.run(warmUp, 200, "/lookup/x", "/order/x", "/file/x")
				Expect(c.mostArrivals()).To(BeNumerically("<=", coldBound))
				Expect(c.arrivals).NotTo(BeEmpty())
				c.run(time.Second, 200, "/lookup/x", "/order/x", "/file/x")
			}
		})
	}

	// Guards against a limit that goes on after the warm-up, or that applies to
	// services which state none.
	ginkgo.It("are used without a limit once they are warm", func() {
		c := newColdSite(1, servers...)
		c.coldUntil["a"] = c.now.Add(fleetLearnTime)
		c.run(fleetLearnTime, 0)
		c.run(time.Second, 50, "/lookup/x")
		Expect(c.starts).To(BeNumerically(">=", 30))
		Expect(c.refusals).To(BeEmpty())
	})

	// Guards against a fresh burst after a restart: a host that has just started does
	// not know which turns it used before, nor the other hosts.
	ginkgo.It("get nothing from a host that has just started", func() {
		c := newColdSite(1, servers[:2]...)
		c.coldUntil["a"], c.coldUntil["b"] = c.now.Add(warmUp), c.now.Add(warmUp)
		c.run(warmUp/2, 50, "/lookup/x")
		Expect(c.arrivals).To(BeEmpty())
		Expect(c.refusals).NotTo(BeEmpty())
	})

	// Guards against callers that return while all servers are still cold, and are
	// refused again.
	ginkgo.It("are named as the time to wait when no other server can take a request", func() {
		c := newColdSite(1, servers[:1]...)
		c.coldUntil["a"] = c.now.Add(warmUp)
		c.run(warmUp/2, 50, "/lookup/x")
		last := c.refusals[len(c.refusals)-1]
		Expect(last.RetryAfter).To(BeNumerically(">=", c.coldUntil["a"].Sub(c.now)-10*time.Millisecond))
		Expect(last.RetryAfter).To(BeNumerically("<=", c.coldUntil["a"].Sub(c.now)+time.Second))
	})

	// Guards against a server that all hosts ask again and again while they have no
	// turn: its answers cost processor time, and it is slow already.
	ginkgo.It("are not asked by hosts without a turn", func() {
		c := newColdSite(1, servers[:1]...)
		c.coldUntil["a"] = c.now.Add(warmUp)
		c.run(warmUp/10, 200, "/lookup/x")
		asked := c.reportedAt["a"]
		c.run(warmUp/2, 200, "/lookup/x")
		Expect(c.reportedAt["a"]).To(Equal(asked))
	})

	// Guards against a registration that says that a server is cold, and is ignored
	// until the server itself says so.
	ginkgo.It("are known by their registration", func() {
		c := newColdSite(1, servers[:2]...)
		c.run(fleetLearnTime+time.Second, 50, "/lookup/x")
		a := servers[0]
		u := c.state.upstreamsOf[instanceName(&a)][0]
		u.warmUp.Report(time.Duration(c.state.now), 0, true)
		Expect(c.state.admits(u)).To(BeTrue())
		a.ColdFor = warmUp
		c.coldUntil["a"] = c.now.Add(warmUp)
		c.apply(c.change(ServerChange{ID: "a", Server: &a}))
		Expect(c.state.admits(u)).To(BeFalse())
		c.run(warmUp, 100, "/lookup/x")
		Expect(c.mostArrivals()).To(BeNumerically("<=", coldBound))
		Expect(c.arrivals["a"]).NotTo(BeEmpty())
	})

	// Guards against a service without a health path whose servers are used while they
	// are cold, or never, and against refusals that say that they can be used at once.
	ginkgo.It("are left alone by their registration alone if the service has no health path", func() {
		c := newColdSite(1)
		c.run(fleetLearnTime+time.Second, 0)
		routes := coldRouting(2)
		routes.Services[0].ProbePath = ""
		a := servers[0]
		a.ColdFor = warmUp
		c.list(routes, a)
		Expect(refusal(c.arrive("/lookup/x"))).To(Equal(outcome.RefusedUpstreamsOverloaded))
		c.apply(c.arrive("/lookup/x"))
		Expect(c.refusals[0].RetryAfter).To(BeNumerically(">=", warmUp))
		c.now = c.now.Add(warmUp)
		Expect(firstEffect[StartAttempt](c.arrive("/lookup/x")).Upstream).To(Equal("a"))
	})

	// Guards against an operator who cannot see why servers get few requests.
	ginkgo.It("are shown in the status", func() {
		c := newColdSite(1, servers[:2]...)
		c.run(fleetLearnTime+time.Second, 50, "/lookup/x")
		Expect(c.state.status().Cold).To(Equal(ColdStatus{Hosts: 1, Active: true}))
		c.coldUntil["a"] = c.now.Add(warmUp)
		c.run(warmUp/3, 100, "/lookup/x")
		Expect(c.state.status().Cold.Upstreams).To(Equal(1))
		for _, service := range c.state.status().Services {
			for _, u := range service.Upstreams {
				want := time.Duration(0)
				if u.Name == "a" {
					want = c.coldUntil["a"].Sub(c.now)
				}
				Expect(u.ColdFor).To(BeNumerically("~", want, 10*time.Millisecond), u.Name)
				Expect(u.NextTurn).To(BeNumerically("<=", u.ColdFor))
			}
		}
	})

	// Guards against a cold server of another failure domain that the hosts of all
	// domains use at once, and against one that none may use: where a service has no
	// server in a domain, its hosts share the turns of the others.
	ginkgo.It("are left to the hosts of their failure domain, unless others have no server of the service", func() {
		c := newColdSite(1, servers[2])
		c.run(fleetLearnTime, 0)
		c.coldUntil["c"] = c.now.Add(warmUp)
		c.run(warmUp, 200, "/lookup/x")
		Expect(c.arrivals["c"]).NotTo(BeEmpty())
		Expect(len(c.arrivals["c"])).To(BeNumerically("<=", coldRate/1000*3*2/3), "two other domains share the turns")

		c = newColdSite(1, servers[0], servers[2])
		c.run(fleetLearnTime, 0)
		c.coldUntil["c"] = c.now.Add(warmUp)
		c.run(warmUp, 200, "/lookup/x")
		Expect(c.arrivals["c"]).To(BeEmpty())
	})
})

var _ = ginkgo.Describe("cold upstreams without a store", func() {
	const (
		hosts     = 10
		coldStart = 5 * time.Second
	)
	// starts returns the instants at which one of the hosts of a fleet sends requests to an
	// upstream that was added, while it gets 100 requests a second.
	starts := func(seed uint64, rate int) (at []Instant) {
		change := func(s *config.Service) {
			s.ColdStart, s.ColdRate, s.Queue = coldStart, rate, 0
			s.Upstreams = []config.Upstream{upstreamNamed("old", 100)}
		}
		r := &testReducer{state: New()}
		r.step(Start{Host: "entry-1", Region: "mtl", FailureDomain: "mtl-a", Seed: seed})
		r.configure(1, change)
		r.now = r.now.Add(time.Minute)
		r.configure(2, func(s *config.Service) {
			change(s)
			s.Upstreams = append(s.Upstreams, upstreamNamed("new", 100))
		})
		for end := r.now.Add(coldStart); r.now < end; {
			if start := firstEffect[StartAttempt](r.get()); start.Upstream != "" {
				if start.Upstream == "new" {
					at = append(at, r.now)
				}
				r.finishAttempt(start, success)
			}
			r.advance(10 * time.Millisecond)
		}
		return at
	}

	// Guards against hosts that each send a new upstream what it bears from all of them
	// together, and against hosts that begin at the same time.
	ginkgo.It("get the share of each host, at instants that differ between hosts", func() {
		const rate = 20_000
		var all []Instant
		for seed := range uint64(hosts) {
			own := starts(seed, rate)
			Expect(len(own)).To(BeNumerically("<=", int(coldStart.Seconds())*rate/1000/hosts+1))
			Expect(len(own)).To(BeNumerically(">=", int(coldStart.Seconds())*rate/1000/hosts-1))
			all = append(all, own...)
		}
		slices.Sort(all)
		const tenth = 100 * time.Millisecond
		for i := range all {
			n, _ := slices.BinarySearch(all[i:], all[i].Add(tenth))
			Expect(n).To(BeNumerically("<=", hosts/2), "requests of all hosts within a tenth of a second, of which each host may send in five")
		}
	})

	// Guards against an operator who cannot see why a new upstream gets no request.
	ginkgo.It("are named as cold in the explanation until the next request", func() {
		r := newTestReducer(withUpstreams("a"))
		r.configure(2, func(s *config.Service) {
			s.ColdRate = 1
			s.Upstreams = append(s.Upstreams[:1], upstreamNamed("new", 2))
		})
		explanation := firstEffect[ReportExplanation](r.step(ExplainRequested{Request: config.Request{Method: "GET", Path: "/x"}})).Explanation
		Expect(explanation.Upstreams).To(ConsistOf(
			And(HaveField("Name", "a"), HaveField("State", ""), HaveField("Eligible", true)),
			And(HaveField("Name", "new"), HaveField("State", stateCold), HaveField("Eligible", false))))
	})

	ginkgo.It("get requests as before if no rate is set", func() {
		Expect(len(starts(1, 0))).To(BeNumerically(">", 100))
	})
})
