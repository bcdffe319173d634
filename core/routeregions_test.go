package core

import (
	"fmt"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"wisteriapond/config"
	"wisteriapond/outcome"
)

// regionsTest applies arbitrary events of a store, of another entry host and of
// traffic to one reducer, and checks that no request reaches a server outside the
// regions of its route.
type regionsTest struct {
	*storeTestReducer
	t       *rapid.T
	version uint64
	// regions holds the regions of each route as last published, by name, and
	// routes the routes of the requests.
	regions map[string][]string
	routes  map[RequestID]string
	// domains holds the failure domains of the servers.
	domains map[string]string
	running []StartAttempt
	queries []StartProbe
}

// routeServices holds the service of each route of routing.
var routeServices = map[string]string{"lookup": "read", "file": "read", "order": "write"}

func newRegionsTest(t *rapid.T) *regionsTest {
	r := &regionsTest{
		storeTestReducer: newPropagationTestReducer("entry-2", 5), t: t,
		regions: make(map[string][]string), routes: make(map[RequestID]string), domains: make(map[string]string),
	}
	var servers []Server
	for i := range 6 {
		s := storeServer(fmt.Sprint("s", i), []string{"read", "write"}[i%2], r.draw("domain", "mtl-a", "mtl-b", "qc-a"))
		r.domains[s.ID] = s.FailureDomain
		servers = append(servers, s)
	}
	r.check(r.list(r.nextRouting(), servers...))
	return r
}

func (r *regionsTest) draw(label string, values ...string) string {
	return rapid.SampledFrom(values).Draw(r.t, label)
}

// nextRouting returns the next version of the routing, with arbitrary regions and
// sometimes without a route. The regions of a missing route remain those that it had.
func (r *regionsTest) nextRouting() *config.Routing {
	r.version++
	routes := routing(r.version)
	for i := range routes.Services {
		routes.Services[i].ProbePath = "/health"
	}
	var kept []config.Route
	for _, route := range routes.Routes {
		if r.version > 1 && rapid.IntRange(0, 5).Draw(r.t, "dropped") == 0 {
			continue
		}
		route.Regions = rapid.SampledFrom([][]string{nil, {"mtl"}, {"qc"}, {"qc", "mtl"}, {"sag"}}).Draw(r.t, "regions")
		r.regions[route.Name] = route.Regions
		kept = append(kept, route)
	}
	routes.Routes = kept
	return routes
}

func (r *regionsTest) nextEvent() []Effect {
	id := fmt.Sprint("s", rapid.IntRange(0, 5).Draw(r.t, "server"))
	switch rapid.IntRange(0, 13).Draw(r.t, "event") {
	case 0, 1, 2, 3:
		route := r.draw("route", "lookup", "order", "file")
		r.routes[r.lastID+1] = route
		return r.arrive("/" + route + "/x")
	case 4, 5:
		return r.finishAny()
	case 6, 7:
		return r.answerAny()
	case 8:
		r.revision++
		return r.step(StoreChanged{Revision: r.revision, Routing: r.nextRouting()})
	case 9:
		r.revision++
		return r.step(NewsAnswered{Address: "entry-1:1", Answer: NewsAnswer{Known: true, Revision: r.revision, Routing: r.nextRouting()}})
	case 10:
		return r.change(removed(id))
	case 11:
		s := storeServer(id, r.draw("service", "read", "write"), r.draw("domain", "mtl-a", "mtl-b", "qc-a"))
		s.Born = uint64(r.version + 1)
		s.Address = fmt.Sprint(id, "-", r.revision, ":80")
		r.domains[id] = s.FailureDomain
		return r.change(ServerChange{ID: id, Server: &s})
	case 12:
		return r.step(StoreFailed{Reason: "reset", HistoryGone: rapid.Bool().Draw(r.t, "history gone")})
	}
	return r.step(Tick{})
}

// finishAny ends a running attempt with any outcome.
func (r *regionsTest) finishAny() []Effect {
	if len(r.running) == 0 {
		return r.step(Tick{})
	}
	i := rapid.IntRange(0, len(r.running)-1).Draw(r.t, "attempt")
	attempt := r.running[i]
	r.running = append(r.running[:i:i], r.running[i+1:]...)
	return r.finishAttempt(attempt, rapid.SampledFrom([]outcome.Facts{success, shed, plain503, reset, dialFailure}).Draw(r.t, "facts"))
}

// answerAny ends a load query with a report or a failure.
func (r *regionsTest) answerAny() []Effect {
	if len(r.queries) == 0 {
		return r.step(Tick{})
	}
	i := rapid.IntRange(0, len(r.queries)-1).Draw(r.t, "query")
	query := r.queries[i]
	r.queries = append(r.queries[:i:i], r.queries[i+1:]...)
	facts := outcome.Facts{Wrote: true, Cause: outcome.CauseReset, Load: -1}
	if rapid.Bool().Draw(r.t, "answered") {
		running := rapid.IntRange(0, 3).Draw(r.t, "load")
		facts = outcome.Facts{Wrote: true, Status: 200, Load: -1, Told: outcome.LoadReport{Known: true, Running: running, Slots: 2, Slowdown: 100}}
	}
	return r.step(ProbeFinished{Service: query.Service, Upstream: query.Upstream, Facts: facts})
}

// check checks where attempts and load queries go.
func (r *regionsTest) check(effects []Effect) {
	for _, effect := range effects {
		switch e := effect.(type) {
		case StartAttempt:
			r.running = append(r.running, e)
			if route := r.routes[e.Attempt.Request]; !r.allows(route, e.Upstream) {
				r.t.Fatalf("a request of the route %q, kept to %v, went to %s in %s", route, r.regions[route], e.Upstream, r.domains[e.Upstream])
			}
		case StartProbe:
			r.queries = append(r.queries, e)
			if !r.anyRouteAllows(e) {
				r.t.Fatalf("the load of %s in %s was queried, and no route allows its region", e.Upstream, r.domains[e.Upstream])
			}
		}
	}
}

func (r *regionsTest) allows(route, server string) bool {
	return config.RegionAllowed(r.regions[route], r.state.regionOf(r.domains[server]))
}

func (r *regionsTest) anyRouteAllows(query StartProbe) bool {
	for route, service := range routeServices {
		if service == query.Service && r.allows(route, query.Upstream) {
			return true
		}
	}
	return false
}

// withRegions returns a version of the routing whose lookups are kept to regions.
func withRegions(version uint64, regions ...string) *config.Routing {
	routes := routing(version)
	routes.Routes[0].Regions = regions
	return routes
}

var _ = ginkgo.Describe("a route that is kept to regions", func() {
	// Guards against any order of events in which a request, a retry, a load query
	// or a queued start reaches a server outside the regions of the route.
	ginkgo.It("never reaches a server elsewhere", func() {
		rapid.Check(ginkgo.GinkgoT(), func(t *rapid.T) {
			r := newRegionsTest(t)
			for range rapid.IntRange(1, 150).Draw(t, "steps") {
				r.now = r.now.Add(time.Duration(rapid.IntRange(0, 30).Draw(t, "milliseconds")) * time.Millisecond)
				r.check(r.nextEvent())
			}
		})
	})

	// Guards against a host outside the regions that refuses, or keeps in its own
	// region, what it has to send there itself.
	ginkgo.It("is served there by a host outside", func() {
		r := newConfiguredStoreTestReducer(storeServer("near", "read", "mtl-a"), storeServer("far", "read", "qc-a"))
		r.revision++
		r.step(StoreChanged{Revision: r.revision, Routing: withRegions(2, "qc")})
		Expect(firstEffect[StartAttempt](r.arrive("/lookup/x")).Upstream).To(Equal("far"))
		Expect(firstEffect[StartAttempt](r.arrive("/file/x")).Upstream).To(Equal("near"))
	})

	// Guards against a request that waits, or runs elsewhere, where no server in its
	// regions exists.
	ginkgo.It("is refused at once when no server is there", func() {
		r := newConfiguredStoreTestReducer(storeServer("near", "read", "mtl-a"))
		r.revision++
		effects := r.step(StoreChanged{Revision: r.revision, Routing: withRegions(2, "qc", "sag")})
		Expect(firstEffect[Count](effects)).NotTo(BeZero())
		Expect(effects).To(ContainElement(HaveField("Message", "route is kept to regions that the settings do not name")))
		Expect(refusal(r.arrive("/lookup/x"))).To(Equal(outcome.RefusedNoHost))
	})

	// Guards against waiting requests that start by the regions of an earlier version,
	// and against ones that get stuck when the version changes.
	ginkgo.It("applies a new version to waiting requests", func() {
		r := newConfiguredStoreTestReducer(storeServer("near", "read", "mtl-a"), storeServer("far", "read", "qc-a"))
		r.revision++
		r.step(StoreChanged{Revision: r.revision, Routing: withRegions(2, "mtl")})
		r.arrive("/lookup/x")
		r.arrive("/lookup/x")
		waiting := r.arrive("/lookup/x")
		Expect(count[StartAttempt](waiting)).To(BeZero())
		r.revision++
		effects := r.step(StoreChanged{Revision: r.revision, Routing: withRegions(3, "qc")})
		Expect(firstEffect[StartAttempt](effects).Upstream).To(Equal("far"))
		Expect(r.state.services["read"].waitingGroups).To(BeEmpty())
	})

	// Guards against a retry that goes by the regions with which the request arrived.
	ginkgo.It("applies a new version to retries", func() {
		r := newConfiguredStoreTestReducer(
			storeServer("near-1", "read", "mtl-a"), storeServer("near-2", "read", "mtl-a"), storeServer("far", "read", "qc-a"))
		first := firstEffect[StartAttempt](r.arrive("/lookup/x"))
		Expect(first.Upstream).To(HavePrefix("near"))
		r.revision++
		r.step(StoreChanged{Revision: r.revision, Routing: withRegions(2, "qc")})
		r.finishAttempt(first, shed)
		Expect(firstEffect[StartAttempt](r.advance(10 * time.Millisecond)).Upstream).To(Equal("far"))
	})

	// Guards against servers that keep the region which their failure domain had when
	// they registered: the settings may name a new failure domain later.
	ginkgo.It("follows changed settings", func() {
		r := newConfiguredStoreTestReducer(storeServer("a", "read", "sag-a"))
		r.revision++
		r.step(StoreChanged{Revision: r.revision, Routing: withRegions(2, "sag")})
		Expect(refusal(r.arrive("/lookup/x"))).To(Equal(outcome.RefusedNoHost))
		settings := registrySettings()
		settings.Domains = append(settings.Domains, FailureDomain{Name: "sag-a", Region: "sag"})
		r.step(SettingsChanged{Registry: settings})
		Expect(firstEffect[StartAttempt](r.arrive("/lookup/x")).Upstream).To(Equal("a"))
	})

	// Guards against operators who cannot see why a route does not use a server.
	ginkgo.It("is named by explain", func() {
		r := newConfiguredStoreTestReducer(storeServer("near", "read", "mtl-a"), storeServer("far", "read", "qc-a"))
		r.revision++
		r.step(StoreChanged{Revision: r.revision, Routing: withRegions(2, "qc")})
		e := firstEffect[ReportExplanation](r.step(ExplainRequested{Request: config.Request{Method: "GET", Host: "h", Path: "/lookup/x"}})).Explanation
		Expect([]string{e.Route, e.Service}).To(Equal([]string{"lookup", "read"}))
		Expect(e.Regions).To(Equal([]string{"qc"}))
		Expect(e.Upstreams).To(ConsistOf(
			And(HaveField("Name", "near"), HaveField("Eligible", false), HaveField("State", config.RegionNotAllowed)),
			And(HaveField("Name", "far"), HaveField("Eligible", true), HaveField("State", ""))))
	})
})

var _ = ginkgo.Describe("a service that is kept to regions", func() {
	// Guards against requests, waiting ones and leases that use upstreams outside
	// the regions of the service.
	ginkgo.It("uses no upstream elsewhere", func() {
		elsewhere := func(s *config.Service) {
			withUpstreams("a", "b")(s)
			s.Upstreams[1].Region = "qc"
		}
		r := newTestReducer(elsewhere)
		first := firstEffect[StartAttempt](r.get())
		Expect(first.Upstream).To(Equal("a"))
		Expect(count[StartAttempt](r.get())).To(BeZero())
		effects := r.configure(2, func(s *config.Service) {
			elsewhere(s)
			s.AllowedRegions = []string{"qc"}
		})
		Expect(firstEffect[StartAttempt](effects).Upstream).To(Equal("b"))
		Expect(r.state.leases.leasableSlots(r.state.leases.services["orders"].units[0].unit, r.state.upstreamOf("orders", "a"))).To(BeZero())
		r.configure(3, func(s *config.Service) {
			elsewhere(s)
			s.Upstreams = s.Upstreams[:1]
			s.AllowedRegions = []string{"mtl"}
		})
		r.finishAttempt(first, success)
		Expect(firstEffect[StartAttempt](r.get()).Upstream).To(Equal("a"))
	})
})
