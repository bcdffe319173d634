package core

import (
	"fmt"
	"slices"
	"strconv"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"wisteriapond/config"
	"wisteriapond/outcome"
)

// storeTestReducer drives a reducer that reads routing and servers from a store.
// revision is the last revision of the store.
type storeTestReducer struct {
	*testReducer
	revision uint64
}

// registrySettings returns settings with two regions and three failure domains.
func registrySettings() *RegistrySettings {
	return &RegistrySettings{
		Domains: []FailureDomain{
			{Name: "mtl-a", Region: "mtl"}, {Name: "mtl-b", Region: "mtl"}, {Name: "qc-a", Region: "qc"},
		},
		NotRun:         config.NotRunForm{Header: "X-Not-Run", Value: "1"},
		NotRunStatuses: []int{408, 421, 429, 503},
		RetryPermille:  200,
		RetrySlack:     1,
		Transfer:       TransferPrices{BetweenDomains: 12000, BetweenRegions: 25000},
	}
}

// newStoreTestReducer returns a started reducer without a configuration. change adapts
// the settings.
func newStoreTestReducer(change func(*RegistrySettings)) *storeTestReducer {
	r := &storeTestReducer{testReducer: &testReducer{state: New()}}
	registry := registrySettings()
	change(registry)
	r.step(Start{Host: "entry-1", Region: "mtl", FailureDomain: "mtl-a", Seed: 1, Registry: registry})
	return r
}

// defaultRegistry leaves the settings as they are.
func defaultRegistry(*RegistrySettings) {}

// newConfiguredStoreTestReducer returns a reducer with a routing configuration and
// servers in force.
func newConfiguredStoreTestReducer(servers ...Server) *storeTestReducer {
	r := newStoreTestReducer(defaultRegistry)
	r.list(routing(1), servers...)
	Expect(r.state.ready).To(BeTrue())
	return r
}

// routing returns a version of the routing with a route for idempotent requests, one
// for non-idempotent requests and one for idempotent requests with large responses.
func routing(version uint64) *config.Routing {
	newRoute := func(name string, repeat config.Repeat, service string) config.Route {
		return config.Route{
			Name: name, Host: "h", PathPrefix: "/" + name + "/", Repeat: repeat, MaxAttempts: 2,
			Targets: []config.Target{{Service: service, Weight: 1}}, Timeout: time.Second, Goal: 300 * time.Millisecond,
		}
	}
	return &config.Routing{
		Version: version,
		Routes: []config.Route{
			newRoute("lookup", config.Idempotent, "read"), newRoute("order", config.AtMostOnce, "write"),
			newRoute("file", config.IdempotentLarge, "read"),
		},
		Services: []config.RoutedService{{Name: "read", Connections: 320}, {Name: "write"}},
	}
}

// storeServer returns a server with two slots.
func storeServer(id, service, domain string) Server {
	return Server{ID: id, Born: 1, Service: service, Address: id + ":80", FailureDomain: domain, Slots: 2}
}

// list delivers a listing of the store at a new revision.
func (r *storeTestReducer) list(routes *config.Routing, servers ...Server) []Effect {
	r.revision++
	changes := make([]ServerChange, 0, len(servers))
	for i := range servers {
		changes = append(changes, ServerChange{ID: servers[i].ID, Server: &servers[i]})
	}
	return r.step(StoreListed{Revision: r.revision, Routing: routes, Servers: changes})
}

// change delivers changes of the store at a new revision.
func (r *storeTestReducer) change(changes ...ServerChange) []Effect {
	r.revision++
	return r.step(StoreChanged{Revision: r.revision, Servers: changes})
}

// ofLastCall returns an event of the store as the result of the last call, for tests in
// which calls do not overlap. If the reducer awaits none, a call is added.
func ofLastCall(state *State, event Event) Event {
	calls := &state.registry.calls
	last := func(watch bool) uint64 {
		if len(calls.pending) == 0 {
			call := storeCall{startedAt: state.now, overdueAt: state.now.Add(callOverdueAfter)}
			if watch {
				call.era = state.registry.era
			}
			calls.add(call)
		}
		return calls.lastID
	}
	switch e := event.(type) {
	case StoreListed:
		e.Call = last(false)
		return e
	case StoreChanged:
		e.Call = last(true)
		return e
	case StoreFailed:
		e.Call = last(true)
		return e
	}
	return event
}

// removed returns the removal of a server.
func removed(id string) ServerChange { return ServerChange{ID: id} }

// arrive delivers a request. Requests to /order/x are not idempotent.
func (r *storeTestReducer) arrive(path string) []Effect {
	r.lastID++
	method := "GET"
	if path == "/order/x" {
		method = "POST"
	}
	return r.step(RequestArrived{
		ID: r.lastID, BodyKept: true, Request: config.Request{Method: method, Host: "h", Path: path},
	})
}

// upstreams returns the names of the upstreams of a service.
func (r *storeTestReducer) upstreams(service string) []string {
	var names []string
	if svc := r.state.services[service]; svc != nil {
		for _, u := range svc.upstreams {
			names = append(names, u.config.Name)
		}
	}
	return names
}

// count returns the number of effects of type E.
func count[E Effect](effects []Effect) int {
	n := 0
	for _, effect := range effects {
		if _, ok := effect.(E); ok {
			n++
		}
	}
	return n
}

var _ = ginkgo.Describe("a host that reads a store", func() {
	// Guards against changes that take effect after more than 2 s: a store that
	// discards its history may leave a pending watch without a response.
	ginkgo.It("calls the store often enough", func() {
		const slowStoreCall = 240 * time.Millisecond
		const bound = 2 * time.Second
		Expect(watchWait + watchBatchDelay).To(BeNumerically("<", bound))
		Expect(maxStaleness).To(BeNumerically("<", bound))
		Expect(maxStaleness).To(BeNumerically(">", staleAfter))
		Expect(staleAfter).To(BeNumerically(">", watchWait+watchBatchDelay))
		Expect(max(maxStoreBackoff, callOverdueAfter) + expiryGrace).To(BeNumerically("<=", bound))
		// A host alone after an outage, whatever its reader does.
		Expect(max(minBackoffWithReader, callOverdueAfter) + expiryGrace + slowStoreCall).To(BeNumerically("<=", outageRecoveryBound))
	})

	// Guards against overlapping calls, and against missed changes between a
	// listing and the first watch.
	ginkgo.It("lists, then watches from the revision of the listing", func() {
		r := newStoreTestReducer(defaultRegistry)
		Expect(r.state.registry.calls.pending).To(HaveLen(1))
		Expect(count[ListStore](r.advance(time.Millisecond))).To(BeZero())
		r.list(routing(1), storeServer("a", "read", "mtl-a"))
		Expect(firstEffect[WatchStore](r.advance(watchBatchDelay))).To(Equal(WatchStore{Call: 2, After: 1, Wait: watchWait}))
		effects := r.step(StoreChanged{Revision: 7})
		Expect(firstEffect[WatchStore](effects).After).To(Equal(uint64(7)))
	})

	// Guards against a slow start of a small host that logs every server of a
	// large deployment.
	ginkgo.DescribeTable("logs server changes one by one or as totals", func(servers, entries int) {
		r := newStoreTestReducer(defaultRegistry)
		var listed []Server
		for i := range servers {
			listed = append(listed, storeServer("s"+strconv.Itoa(i), "read", "mtl-a"))
		}
		messages := make(map[string]int)
		for _, effect := range r.list(routing(1), listed...) {
			if l, ok := effect.(Log); ok {
				messages[l.Message]++
			}
		}
		Expect(messages["backend server changed"]).To(Equal(entries))
		Expect(messages["backend servers changed"] == 1).To(Equal(entries == 0))
	},
		ginkgo.Entry("a few", maxServerLogEntries, maxServerLogEntries),
		ginkgo.Entry("many", maxServerLogEntries+1, 0),
	)

	// Guards against state from a discarded history, and against a host without
	// servers while it lists again.
	ginkgo.It("keeps its state until it has listed again", func() {
		r := newConfiguredStoreTestReducer(storeServer("a", "read", "mtl-a"))
		Expect(count[ListStore](r.step(StoreFailed{HistoryGone: true}))).To(Equal(0))
		Expect(r.upstreams("read")).To(Equal([]string{"a"}))
		Expect(count[ListStore](r.advance(watchBatchDelay))).To(Equal(1))
		r.list(routing(1), storeServer("b", "read", "mtl-a"))
		Expect(r.upstreams("read")).To(Equal([]string{"b"}))
	})

	// Guards against a storm of calls and log entries while the store is down,
	// and against a recovery that goes unnoticed.
	ginkgo.It("backs off from a store that is down, with few log entries", func() {
		r := newConfiguredStoreTestReducer(storeServer("a", "read", "mtl-a"))
		r.advance(watchBatchDelay)
		calls, warnings := 0, 0
		longest, last := time.Duration(0), r.now
		effects := r.step(StoreFailed{Reason: "refused"})
		for r.now < last.Add(20*time.Second) && calls < 60 {
			for _, effect := range effects {
				if l, ok := effect.(Log); ok && l.Level == LogWarn {
					warnings++
				}
			}
			before := r.now
			for effects = nil; count[WatchStore](effects) == 0; effects = r.advance(5 * time.Millisecond) {
			}
			calls++
			longest = max(longest, r.now.Sub(before))
			effects = r.step(StoreFailed{Reason: "refused"})
		}
		Expect(calls).To(BeNumerically("<=", 60))
		Expect(longest).To(BeNumerically("<=", maxStoreBackoff+10*time.Millisecond))
		Expect(warnings).To(BeNumerically("<=", maxStoreWarnings))
	})

	// Guards against new requests to a server that is leaving, and against
	// running requests that are aborted with it.
	ginkgo.It("sends no requests to a leaving server and lets its running ones finish", func() {
		r := newConfiguredStoreTestReducer(storeServer("a", "read", "mtl-a"), storeServer("b", "read", "mtl-a"))
		running := firstEffect[StartAttempt](r.arrive("/lookup/x"))
		leaving := storeServer(running.Upstream, "read", "mtl-a")
		leaving.Leaving = true
		Expect(firstEffect[CloseIdle](r.change(ServerChange{ID: leaving.ID, Server: &leaving})).Address).To(Equal(running.Address))
		for range 3 {
			Expect(firstEffect[StartAttempt](r.arrive("/lookup/x")).Upstream).NotTo(Equal(running.Upstream))
		}
		Expect(firstEffect[PassAnswer](r.finishAttempt(running, success)).Attempt).To(Equal(running.Attempt))
	})

	// Guards against requests to an earlier instance of a server, and against a
	// late write of that instance.
	ginkgo.It("distinguishes the instances of a server", func() {
		r := newConfiguredStoreTestReducer(storeServer("a", "read", "mtl-a"))
		before := r.state.services["read"].upstreams[0]
		again := storeServer("a", "write", "mtl-a")
		again.Born, again.Address = 2, "other:80"
		r.change(ServerChange{ID: "a", Server: &again})
		Expect(before.removed).To(BeTrue())
		Expect(r.upstreams("read")).To(BeEmpty())
		Expect(r.upstreams("write")).To(Equal([]string{"a"}))
		late := storeServer("a", "read", "mtl-a")
		r.change(ServerChange{ID: "a", Server: &late})
		Expect(r.upstreams("write")).To(Equal([]string{"a"}))
	})

	// Guards against entries written by other programs.
	ginkgo.It("ignores entries that describe no usable server", func() {
		r := newConfiguredStoreTestReducer(storeServer("a", "read", "mtl-a"), storeServer("b", "read", "mtl-a"), storeServer("c", "unknown", "mtl-a"))
		r.change(ServerChange{ID: "a", Problem: "not JSON"})
		Expect(r.upstreams("read")).To(Equal([]string{"b"}))
		Expect(firstEffect[StartAttempt](r.arrive("/lookup/x")).Instance).To(Equal("b"))
	})

	// Guards against a service without servers after a store outage, and against
	// servers that left during the outage and stay in use.
	ginkgo.DescribeTable("after the recovery of the store", func(missing int, kept bool) {
		var servers []Server
		for i := range 6 {
			servers = append(servers, storeServer(fmt.Sprint("s", i), "read", "mtl-a"))
		}
		r := newConfiguredStoreTestReducer(servers...)
		r.advance(watchBatchDelay)
		r.step(StoreFailed{Reason: "reset"})
		r.advance(maxStoreBackoff)
		r.list(routing(1), servers[missing:]...)
		if kept {
			Expect(r.upstreams("read")).To(HaveLen(6))
		} else {
			Expect(r.upstreams("read")).To(HaveLen(6 - missing))
		}
		r.change(ServerChange{ID: "s0", Server: &servers[0]})
		for range 25 {
			r.advance(100 * time.Millisecond)
			r.step(StoreChanged{Revision: r.revision})
		}
		Expect(r.upstreams("read")).To(HaveLen(7 - missing))
	},
		ginkgo.Entry("few missing entries have left", 1, false),
		ginkgo.Entry("many missing entries have expired and may be registered again", 5, true),
	)

	// Guards against a version that reverts, and against an invalid version that
	// replaces a valid one.
	ginkgo.It("accepts only newer and valid versions", func() {
		r := newConfiguredStoreTestReducer(storeServer("a", "read", "mtl-a"))
		r.step(StoreChanged{Revision: 5, Routing: routing(4)})
		r.step(StoreChanged{Revision: 6, Routing: routing(3)})
		Expect(r.state.inForce().Generation).To(Equal(uint64(4)))
		bad := routing(5)
		bad.Routes[0].Targets[0].Service = "none"
		Expect(firstEffect[Log](r.step(StoreChanged{Revision: 7, Routing: bad})).Level).To(Equal(LogError))
		r.step(StoreChanged{Revision: 8, RoutingProblem: "not JSON"})
		Expect(r.state.inForce().Generation).To(Equal(uint64(4)))
		Expect(firstEffect[StartAttempt](r.arrive("/lookup/x"))).NotTo(BeZero())
	})

	// Guards against a "no such route" refusal from a host that has no routes
	// yet.
	ginkgo.It("distinguishes missing state from missing routes", func() {
		r := newStoreTestReducer(defaultRegistry)
		Expect(r.arrive("/lookup/x")).NotTo(ContainElement(BeAssignableToTypeOf(Refuse{})))
		Expect(refusal(r.advance(defaultEarlyWait))).To(Equal(outcome.RefusedNotReady))
		r.list(routing(1))
		Expect(refusal(r.arrive("/none/x"))).To(Equal(outcome.RefusedNoService))
		Expect(refusal(r.arrive("/lookup/x"))).To(Equal(outcome.RefusedNoHost))
	})
})

var _ = ginkgo.Describe("a request of a route", func() {
	// Guards against shares that do not follow the weights, and against a retry
	// that moves to another target.
	ginkgo.It("goes to the targets of a split by weight", func() {
		r := newConfiguredStoreTestReducer(storeServer("r", "read", "mtl-a"), storeServer("w1", "write", "mtl-a"), storeServer("w2", "write", "mtl-a"))
		routes := routing(2)
		routes.Routes[0].Targets = []config.Target{{Service: "read", Weight: 90}, {Service: "write", Weight: 10}}
		r.step(StoreChanged{Revision: 9, Routing: routes})
		write := 0
		const requests = 1000
		for range requests {
			a := firstEffect[StartAttempt](r.arrive("/lookup/x"))
			if a.Service == "write" {
				write++
				r.finishAttempt(a, reset)
				a = firstEffect[StartAttempt](r.advance(20 * time.Millisecond))
				Expect(a.Service).To(Or(BeEmpty(), Equal("write")))
			}
			if a != (StartAttempt{}) {
				r.finishAttempt(a, success)
			}
		}
		Expect(write).To(BeNumerically("~", requests/10, requests/20))
	})

	// Guards against a second run of a non-idempotent request, and against more
	// upstreams than the route allows.
	ginkgo.It("is retried only as its route allows", func() {
		r := newConfiguredStoreTestReducer(storeServer("a", "read", "mtl-a"), storeServer("b", "read", "mtl-a"), storeServer("c", "read", "mtl-a"),
			storeServer("d", "write", "mtl-a"), storeServer("e", "write", "mtl-a"))
		order := firstEffect[StartAttempt](r.arrive("/order/x"))
		Expect(firstEffect[Fail](r.finishAttempt(order, reset)).Reason).To(Equal(outcome.FailedReset))
		order = firstEffect[StartAttempt](r.arrive("/order/x"))
		r.finishAttempt(order, shed)
		Expect(firstEffect[StartAttempt](r.advance(20 * time.Millisecond)).Upstream).NotTo(Equal(order.Upstream))
		lookup := firstEffect[StartAttempt](r.arrive("/lookup/x"))
		r.finishAttempt(lookup, reset)
		second := firstEffect[StartAttempt](r.advance(20 * time.Millisecond))
		Expect(second.Upstream).NotTo(BeElementOf("", lookup.Upstream))
		Expect(firstEffect[Fail](r.finishAttempt(second, reset)).Reason).To(Equal(outcome.FailedReset))
	})

	// Guards against retries of all hosts that together exceed the allowed share
	// of the requests and the burst.
	ginkgo.It("is retried within the budget, and freely when no upstream received it", func() {
		r := newConfiguredStoreTestReducer(storeServer("a", "read", "mtl-a"), storeServer("b", "read", "mtl-a"))
		retries, requests := 0, 300
		for range requests {
			a := firstEffect[StartAttempt](r.arrive("/lookup/x"))
			r.finishAttempt(a, shed)
			if again := firstEffect[StartAttempt](r.advance(20 * time.Millisecond)); again.Attempt.Number == 2 {
				retries++
				r.finishAttempt(again, success)
			}
		}
		const percent, burst = 20, 1
		Expect(retries).To(BeNumerically("<=", requests*percent/100+burst))
		Expect(retries).To(BeNumerically(">=", requests*percent/100-burst))
		for range 20 {
			r.finishAttempt(firstEffect[StartAttempt](r.arrive("/lookup/x")), dialFailure)
			again := firstEffect[StartAttempt](r.advance(20 * time.Millisecond))
			Expect(again.Attempt.Number).To(Equal(2))
			r.finishAttempt(again, success)
			r.advance(failedQueryBackoff)
		}
	})

	// Guards against a wait beyond the timeout that the operator set, and
	// against an upstream that is given more time than is left.
	ginkgo.It("ends at the route's timeout", func() {
		r := newConfiguredStoreTestReducer(storeServer("a", "read", "mtl-a"))
		Expect(firstEffect[StartAttempt](r.arrive("/lookup/x")).Deadline).To(Equal(r.now.Add(time.Second)))
		r.lastID++
		short := r.step(RequestArrived{
			ID: r.lastID, BodyKept: true, Timeout: 200 * time.Millisecond,
			Request: config.Request{Method: "GET", Host: "H:8080", Path: "/lookup/x"},
		})
		Expect(firstEffect[StartAttempt](short).Deadline).To(Equal(r.now.Add(200 * time.Millisecond)))
	})

	// Guards against upstreams that get more requests than they can queue, some
	// of which never get a response, and against refusals without a Retry-After
	// time.
	ginkgo.It("is refused with a Retry-After time when it cannot meet its goal", func() {
		r := newConfiguredStoreTestReducer(storeServer("a", "read", "mtl-a"))
		for range 2 {
			Expect(firstEffect[StartAttempt](r.arrive("/lookup/x"))).NotTo(BeZero())
		}
		Expect(firstEffect[StartAttempt](r.arrive("/lookup/x"))).To(BeZero())
		var refused Refuse
		for i := 0; i < 100 && refused == (Refuse{}); i++ {
			refused = firstEffect[Refuse](r.advance(5 * time.Millisecond))
		}
		Expect(refused.Reason).To(Equal(outcome.RefusedUpstreamsOverloaded))
		Expect(refused.RetryAfter).To(BeNumerically(">", 0))
		Expect(r.now).To(BeNumerically("<=", Instant(300*time.Millisecond)))
	})
})

var _ = ginkgo.Describe("a host that was suspended", func() {
	// Guards against a non-idempotent request that starts on state from before
	// the pause, and against a call to a platform interface that is not in use.
	ginkgo.It("starts no non-idempotent request until the store has responded", func() {
		r := newConfiguredStoreTestReducer(storeServer("a", "write", "mtl-a"), storeServer("b", "read", "mtl-a"))
		r.advance(watchBatchDelay)
		r.step(StoreChanged{Revision: r.revision})
		effects := r.advance(3 * time.Second)
		Expect(count[ReadHostList](effects)).To(BeZero())
		Expect(firstEffect[StartAttempt](r.arrive("/order/x"))).To(BeZero())
		Expect(firstEffect[StartAttempt](r.arrive("/lookup/x"))).NotTo(BeZero())
		Expect(firstEffect[StartAttempt](r.step(StoreChanged{Revision: r.revision})).Service).To(Equal("write"))
	})
})

var _ = ginkgo.Describe("placing a request", func() {
	setLoadReport := func(r *storeTestReducer, name string, report outcome.LoadReport) {
		report.Known = true
		for _, svc := range r.state.services {
			for _, u := range svc.upstreams {
				if u.config.Name == name {
					u.reported.update(report, r.now)
				}
			}
		}
	}
	usual := outcome.LoadReport{Slots: 2, Slowdown: 100}

	// Guards against unnecessary bytes between failure domains, and against
	// unnecessarily late responses.
	ginkgo.DescribeTable("weighs latency against transferred bytes", func(path string, near outcome.LoadReport, want string) {
		r := newConfiguredStoreTestReducer(storeServer("near", "read", "mtl-a"), storeServer("region", "read", "mtl-b"), storeServer("far", "read", "qc-a"))
		setLoadReport(r, "near", near)
		setLoadReport(r, "region", usual)
		setLoadReport(r, "far", usual)
		effects := r.arrive(path)
		for count[StartAttempt](effects) == 0 && r.now < Instant(300*time.Millisecond) {
			effects = r.advance(5 * time.Millisecond)
		}
		Expect(firstEffect[StartAttempt](effects).Upstream).To(Equal(want))
	},
		ginkgo.Entry("near at its usual speed", "/lookup/x", usual, "near"),
		ginkgo.Entry("near when it is slightly slower", "/lookup/x", outcome.LoadReport{Slots: 2, Slowdown: 140}, "near"),
		ginkgo.Entry("in the region when near is too slow", "/lookup/x", outcome.LoadReport{Slots: 2, Slowdown: 500}, "region"),
		ginkgo.Entry("in the region when near is full", "/lookup/x", outcome.LoadReport{Running: 2, Waiting: 3, Slots: 2, Slowdown: 100}, "region"),
		ginkgo.Entry("near for a large response, though it is slow", "/file/x", outcome.LoadReport{Slots: 2, Slowdown: 500}, "near"),
	)

	// Guards against requests that wait for a slot of a server whose refusals
	// have nothing to do with its slots, when all servers of a service refuse.
	ginkgo.DescribeTable("after a refusal", func(load outcome.LoadReport, starts int) {
		r := newConfiguredStoreTestReducer(storeServer("a", "read", "mtl-a"))
		load.Known = true
		lookup := firstEffect[StartAttempt](r.arrive("/lookup/x"))
		r.now = r.now.Add(100 * time.Millisecond)
		r.finishAttempt(lookup, success)
		lookup = firstEffect[StartAttempt](r.arrive("/lookup/x"))
		r.finishAttempt(lookup, outcome.Facts{Wrote: true, Status: 503, NotRunHeader: true, Load: -1, Told: load})
		Expect(count[StartAttempt](r.arrive("/lookup/x"))).To(Equal(starts))
	},
		ginkgo.Entry("uses a server that reports free slots", outcome.LoadReport{Slots: 2, Slowdown: 100}, 1),
		ginkgo.Entry("waits for a server that is full", outcome.LoadReport{Running: 2, Waiting: 1, Slots: 2, Slowdown: 100}, 0),
	)

	// Guards against a request that holds its slot several times as long because
	// it started during a slowdown of the server, and against an endless wait
	// for a server that stays slow.
	ginkgo.DescribeTable("waits a limited time for a slowdown", func(endsAfter, startsAfter time.Duration) {
		r := newStoreTestReducer(defaultRegistry)
		routes := routing(1)
		routes.Routes[0].Goal = time.Second
		r.list(routes, storeServer("a", "read", "mtl-a"))
		setLoadReport(r, "a", outcome.LoadReport{Slots: 2, Slowdown: 500})
		effects := r.arrive("/lookup/x")
		for count[StartAttempt](effects) == 0 && r.now < Instant(time.Second) {
			if r.now >= Instant(endsAfter) {
				setLoadReport(r, "a", usual)
			}
			effects = r.advance(5 * time.Millisecond)
		}
		Expect(count[StartAttempt](effects)).To(Equal(1))
		Expect(time.Duration(r.now)).To(BeNumerically("~", startsAfter, queueRecheckInterval))
	},
		ginkgo.Entry("that ends", 50*time.Millisecond, 60*time.Millisecond),
		ginkgo.Entry("that lasts", time.Minute, slowdownWait+queueRecheckInterval/2),
	)

	// Guards against a request that goes to the slower of two servers.
	ginkgo.It("prefers the server that is currently faster", func() {
		r := newConfiguredStoreTestReducer(storeServer("a", "read", "mtl-a"), storeServer("b", "read", "mtl-a"))
		setLoadReport(r, "a", outcome.LoadReport{Slots: 2, Slowdown: 500})
		setLoadReport(r, "b", usual)
		Expect(firstEffect[StartAttempt](r.arrive("/lookup/x")).Upstream).To(Equal("b"))
	})
})

var _ = ginkgo.Describe("querying the load of upstreams", func() {
	newQueryingReducer := func(servers ...Server) *storeTestReducer {
		r := newStoreTestReducer(defaultRegistry)
		routes := routing(1)
		routes.Services[0].ProbePath = "/health"
		r.list(routes, servers...)
		return r
	}
	respond := func(r *storeTestReducer, name string, facts outcome.Facts) []Effect {
		return r.step(ProbeFinished{Service: "read", Upstream: name, Facts: facts})
	}
	report := func(slowdown int) outcome.Facts {
		return outcome.Facts{Wrote: true, Status: 200, Load: -1, Told: outcome.LoadReport{Known: true, Slots: 2, Slowdown: slowdown}}
	}
	queries := func(effects []Effect) (names []string) {
		for _, effect := range effects {
			if probe, ok := effect.(StartProbe); ok {
				names = append(names, probe.Upstream)
			}
		}
		slices.Sort(names)
		return names
	}

	// Guards against decisions on load reports that are outdated, and against an
	// unbounded number of load queries.
	ginkgo.It("waits for a few of the nearest upstreams", func() {
		r := newQueryingReducer(storeServer("a", "read", "mtl-a"), storeServer("b", "read", "mtl-a"), storeServer("c", "read", "mtl-b"))
		effects := r.arrive("/lookup/x")
		Expect(queries(effects)).To(Equal([]string{"a", "b"}))
		Expect(firstEffect[StartAttempt](effects)).To(BeZero())
		Expect(firstEffect[StartAttempt](respond(r, "a", report(500)))).To(BeZero())
		Expect(firstEffect[StartAttempt](respond(r, "b", report(100))).Upstream).To(Equal("b"))
		Expect(queries(r.arrive("/lookup/x"))).To(BeEmpty())
		many := []Server{}
		for i := range 9 {
			many = append(many, storeServer(fmt.Sprint("s", i), "read", "mtl-a"))
		}
		Expect(queries(newQueryingReducer(many...).arrive("/lookup/x"))).To(HaveLen(maxLoadQueries))
	})

	// Guards against requests that wait for a server that is down.
	ginkgo.It("proceeds without a response, and avoids unresponsive upstreams", func() {
		r := newQueryingReducer(storeServer("a", "read", "mtl-a"), storeServer("b", "read", "mtl-a"))
		r.arrive("/lookup/x")
		respond(r, "b", report(100))
		Expect(firstEffect[StartAttempt](r.advance(nearQueryWait))).NotTo(BeZero())
		r.advance(unresponsiveAfter)
		for range 2 {
			effects := r.arrive("/lookup/x")
			if name := queries(effects); len(name) > 0 {
				Expect(name).To(Equal([]string{"b"}))
				effects = respond(r, "b", report(100))
			}
			started := firstEffect[StartAttempt](effects)
			Expect(started.Upstream).To(Equal("b"))
			r.finishAttempt(started, success)
		}
	})

	// Guards against requests to a server that was removed during a load query.
	ginkgo.It("sends no request to a server that is removed meanwhile", func() {
		r := newQueryingReducer(storeServer("a", "read", "mtl-a"), storeServer("b", "read", "mtl-a"))
		r.arrive("/lookup/x")
		respond(r, "a", report(100))
		r.change(removed("a"))
		start := firstEffect[StartAttempt](respond(r, "b", report(500)))
		for start == (StartAttempt{}) && r.now < Instant(300*time.Millisecond) {
			start = firstEffect[StartAttempt](r.advance(5 * time.Millisecond))
		}
		Expect(start.Upstream).To(Equal("b"))
	})

	// Guards against an attempt for a caller that disconnected during a load
	// query.
	ginkgo.It("starts no attempt for a caller that disconnected meanwhile", func() {
		r := newQueryingReducer(storeServer("a", "read", "mtl-a"))
		r.arrive("/lookup/x")
		Expect(refusal(r.step(CallerGone{ID: r.lastID}))).To(Equal(outcome.RefusedCallerGone))
		Expect(firstEffect[StartAttempt](respond(r, "a", report(100)))).To(BeZero())
		Expect(r.state.requests).To(BeEmpty())
	})
})
