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

// storeBench is one reducer whose routing and servers come from a store.
type storeBench struct {
	*testReducer
	revision uint64
}

func registrySettings() *RegistrySettings {
	return &RegistrySettings{
		Domains: []FailureDomain{
			{Name: "mtl-a", Region: "mtl"}, {Name: "mtl-b", Region: "mtl"}, {Name: "qc-a", Region: "qc"},
		},
		NotRun:       config.NotRunForm{Header: "X-Not-Run", Value: "1"},
		RetryPercent: 20,
		RetryBurst:   14,
		Transfer:     TransferPrices{BetweenDomains: 12000, BetweenRegions: 25000},
	}
}

func newStoreBench(change func(*RegistrySettings)) *storeBench {
	b := &storeBench{testReducer: &testReducer{state: New()}}
	registry := registrySettings()
	change(registry)
	b.step(Start{Host: "entry-1", Region: "mtl", FailureDomain: "mtl-a", Seed: 1, Registry: registry})
	return b
}

func plainRegistry(*RegistrySettings) {}

// started returns a bench on which a routing and servers are in force.
func attemptStart(servers ...Server) *storeBench {
	b := newStoreBench(plainRegistry)
	b.list(routing(1), servers...)
	Expect(b.state.ready).To(BeTrue())
	return b
}

func routing(version uint64) *config.Routing {
	plain := func(name string, repeat config.Repeat, service string) config.Route {
		return config.Route{
			Name: name, Host: "h", PathPrefix: "/" + name + "/", Repeat: repeat, MaxAttempts: 2,
			Targets: []config.Target{{Service: service, Weight: 1}}, Timeout: time.Second, Goal: 300 * time.Millisecond,
		}
	}
	return &config.Routing{
		Version: version,
		Routes: []config.Route{
			plain("lookup", config.Repeatable, "read"), plain("order", config.AtMostOnce, "write"),
			plain("file", config.RepeatableLarge, "read"),
		},
		Services: []config.RoutedService{{Name: "read", Connections: 320}, {Name: "write"}},
	}
}

func simulatedHost(id, service, domain string) Server {
	return Server{ID: id, Born: 1, Service: service, Address: id + ":80", FailureDomain: domain, Slots: 2}
}

func (b *storeBench) list(r *config.Routing, servers ...Server) []Effect {
	b.revision++
	changes := make([]ServerChange, 0, len(servers))
	for i := range servers {
		changes = append(changes, ServerChange{ID: servers[i].ID, Server: &servers[i]})
	}
	return b.step(StoreListed{Revision: b.revision, Routing: r, Servers: changes})
}

func (b *storeBench) change(changes ...ServerChange) []Effect {
	b.revision++
	return b.step(StoreChanged{Revision: b.revision, Servers: changes})
}

func gone(id string) ServerChange { return ServerChange{ID: id} }

func (b *storeBench) arrive(path string) []Effect {
	b.lastID++
	method := "GET"
	if path == "/order/x" {
		method = "POST"
	}
	return b.step(RequestArrived{
		ID: b.lastID, BodyKept: true, Request: config.Request{Method: method, Host: "h", Path: path},
	})
}

func (b *storeBench) upstreams(service string) []string {
	var names []string
	if svc := b.state.services[service]; svc != nil {
		for _, u := range svc.upstreams {
			names = append(names, u.config.Name)
		}
	}
	return names
}

// count returns the number of effects of a type.
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
	// Guards against changes that are not in force within two seconds: a store
	// that forgets its history may leave a waiting watch without an answer.
	ginkgo.It("asks often enough", func() {
		const bound = 2 * time.Second
		Expect(watchWait + watchPause).To(BeNumerically("<", bound))
		Expect(newsLimit).To(BeNumerically("<", bound))
		Expect(newsLimit).To(BeNumerically(">", newsOld))
		Expect(newsOld).To(BeNumerically(">", watchWait+watchPause))
		Expect(lastStorePause + lapseGrace).To(BeNumerically("<=", bound))
	})

	// Guards against calls that overlap, and against changes between a listing
	// and the first watch.
	ginkgo.It("lists, then watches from the revision of the listing", func() {
		b := newStoreBench(plainRegistry)
		Expect(b.state.registry.calling).To(BeTrue())
		Expect(count[ListStore](b.advance(time.Millisecond))).To(BeZero())
		b.list(routing(1), simulatedHost("a", "read", "mtl-a"))
		Expect(firstEffect[WatchStore](b.advance(watchPause))).To(Equal(WatchStore{After: 1, Wait: watchWait}))
		effects := b.step(StoreChanged{Revision: 7})
		Expect(firstEffect[WatchStore](effects).After).To(Equal(uint64(7)))
	})

	// Guards against a start that is slow on a small host since it logs every
	// server of a large deployment.
	ginkgo.DescribeTable("logs changes of servers one by one or as a sum", func(servers, lines int) {
		b := newStoreBench(plainRegistry)
		var listed []Server
		for i := range servers {
			listed = append(listed, simulatedHost("s"+strconv.Itoa(i), "read", "mtl-a"))
		}
		messages := make(map[string]int)
		for _, effect := range b.list(routing(1), listed...) {
			if l, ok := effect.(Log); ok {
				messages[l.Message]++
			}
		}
		Expect(messages["backend server changed"]).To(Equal(lines))
		Expect(messages["backend servers changed"] == 1).To(Equal(lines == 0))
	},
		ginkgo.Entry("a few", maxServerLines, maxServerLines),
		ginkgo.Entry("many", maxServerLines+1, 0),
	)

	// Guards against facts of a forgotten history, and against an outage of the
	// reader while it lists again.
	ginkgo.It("keeps what it knows until it has listed again", func() {
		b := attemptStart(simulatedHost("a", "read", "mtl-a"))
		Expect(count[ListStore](b.step(StoreFailed{HistoryGone: true}))).To(Equal(0))
		Expect(b.upstreams("read")).To(Equal([]string{"a"}))
		Expect(count[ListStore](b.advance(watchPause))).To(Equal(1))
		b.list(routing(1), simulatedHost("b", "read", "mtl-a"))
		Expect(b.upstreams("read")).To(Equal([]string{"b"}))
	})

	// Guards against a storm of calls and of log lines while the store is down,
	// and against one that returns unnoticed.
	ginkgo.It("calls a store that is down in growing pauses, with few lines", func() {
		b := attemptStart(simulatedHost("a", "read", "mtl-a"))
		b.advance(watchPause)
		calls, warnings := 0, 0
		longest, last := time.Duration(0), b.now
		effects := b.step(StoreFailed{Reason: "refused"})
		for b.now < last.Add(20*time.Second) && calls < 60 {
			for _, effect := range effects {
				if l, ok := effect.(Log); ok && l.Level == LogWarn {
					warnings++
				}
			}
			before := b.now
			for effects = nil; count[WatchStore](effects) == 0; effects = b.advance(5 * time.Millisecond) {
			}
			calls++
			longest = max(longest, b.now.Sub(before))
			effects = b.step(StoreFailed{Reason: "refused"})
		}
		Expect(calls).To(BeNumerically("<=", 60))
		Expect(longest).To(BeNumerically("<=", lastStorePause+10*time.Millisecond))
		Expect(warnings).To(BeNumerically("<=", maxStoreWarnings))
	})

	// Guards against new work on a server that is leaving, and against requests
	// in flight that are cut with it.
	ginkgo.It("sends nothing to a server that leaves and lets its work end", func() {
		b := attemptStart(simulatedHost("a", "read", "mtl-a"), simulatedHost("b", "read", "mtl-a"))
		running := firstEffect[StartAttempt](b.arrive("/lookup/x"))
		leaving := simulatedHost(running.Upstream, "read", "mtl-a")
		leaving.Leaving = true
		Expect(firstEffect[CloseIdle](b.change(ServerChange{ID: leaving.ID, Server: &leaving})).Address).To(Equal(running.Address))
		for range 3 {
			Expect(firstEffect[StartAttempt](b.arrive("/lookup/x")).Upstream).NotTo(Equal(running.Upstream))
		}
		Expect(firstEffect[PassAnswer](b.finishAttempt(running, success)).Attempt).To(Equal(running.Attempt))
	})

	// Guards against work for an earlier instance of a server, and against a
	// late write of that instance.
	ginkgo.It("tells the instances of a server apart", func() {
		b := attemptStart(simulatedHost("a", "read", "mtl-a"))
		before := b.state.services["read"].upstreams[0]
		again := simulatedHost("a", "write", "mtl-a")
		again.Born, again.Address = 2, "other:80"
		b.change(ServerChange{ID: "a", Server: &again})
		Expect(before.removed).To(BeTrue())
		Expect(b.upstreams("read")).To(BeEmpty())
		Expect(b.upstreams("write")).To(Equal([]string{"a"}))
		late := simulatedHost("a", "read", "mtl-a")
		b.change(ServerChange{ID: "a", Server: &late})
		Expect(b.upstreams("write")).To(Equal([]string{"a"}))
	})

	// Guards against entries of other writers.
	ginkgo.It("uses no entry that names no usable server", func() {
		b := attemptStart(simulatedHost("a", "read", "mtl-a"), simulatedHost("b", "read", "mtl-a"), simulatedHost("c", "unknown", "mtl-a"))
		b.change(ServerChange{ID: "a", Problem: "not JSON"})
		Expect(b.upstreams("read")).To(Equal([]string{"b"}))
		Expect(firstEffect[StartAttempt](b.arrive("/lookup/x")).Instance).To(Equal("b"))
	})

	// Guards against a service that is empty after an outage of the store, and
	// against servers that left meanwhile and stay in use.
	ginkgo.DescribeTable("after the store's return", func(missing int, held bool) {
		var servers []Server
		for i := range 6 {
			servers = append(servers, simulatedHost(fmt.Sprint("s", i), "read", "mtl-a"))
		}
		b := attemptStart(servers...)
		b.advance(watchPause)
		b.step(StoreFailed{Reason: "reset"})
		b.advance(lastStorePause)
		b.list(routing(1), servers[missing:]...)
		if held {
			Expect(b.upstreams("read")).To(HaveLen(6))
		} else {
			Expect(b.upstreams("read")).To(HaveLen(6 - missing))
		}
		b.change(ServerChange{ID: "s0", Server: &servers[0]})
		for range 25 {
			b.advance(100 * time.Millisecond)
			b.step(StoreChanged{Revision: b.revision})
		}
		Expect(b.upstreams("read")).To(HaveLen(7 - missing))
	},
		ginkgo.Entry("few missing entries have left", 1, false),
		ginkgo.Entry("many missing entries have lapsed and may come back", 5, true),
	)

	// Guards against a version that reverts, and against a bad one that puts
	// the good one out of force.
	ginkgo.It("takes newer and acceptable versions only", func() {
		b := attemptStart(simulatedHost("a", "read", "mtl-a"))
		b.step(StoreChanged{Revision: 5, Routing: routing(4)})
		b.step(StoreChanged{Revision: 6, Routing: routing(3)})
		Expect(b.state.inForce().Generation).To(Equal(uint64(4)))
		bad := routing(5)
		bad.Routes[0].Targets[0].Service = "none"
		Expect(firstEffect[Log](b.step(StoreChanged{Revision: 7, Routing: bad})).Level).To(Equal(LogError))
		b.step(StoreChanged{Revision: 8, RoutingProblem: "not JSON"})
		Expect(b.state.inForce().Generation).To(Equal(uint64(4)))
		Expect(firstEffect[StartAttempt](b.arrive("/lookup/x"))).NotTo(BeZero())
	})

	// Guards against "no such route" from a host that does not know any.
	ginkgo.It("tells what it does not know yet from what does not exist", func() {
		b := newStoreBench(plainRegistry)
		Expect(refusal(b.arrive("/lookup/x"))).To(Equal(outcome.RefusedNotReady))
		b.list(routing(1))
		Expect(refusal(b.arrive("/none/x"))).To(Equal(outcome.RefusedNoService))
		Expect(refusal(b.arrive("/lookup/x"))).To(Equal(outcome.RefusedNoHost))
	})
})

var _ = ginkgo.Describe("a request of a route", func() {
	// Guards against shares that do not follow the weights, and against a retry
	// that moves to another part.
	ginkgo.It("goes to the parts of a split by weight", func() {
		b := attemptStart(simulatedHost("r", "read", "mtl-a"), simulatedHost("w1", "write", "mtl-a"), simulatedHost("w2", "write", "mtl-a"))
		r := routing(2)
		r.Routes[0].Targets = []config.Target{{Service: "read", Weight: 90}, {Service: "write", Weight: 10}}
		b.step(StoreChanged{Revision: 9, Routing: r})
		write := 0
		const requests = 1000
		for range requests {
			a := firstEffect[StartAttempt](b.arrive("/lookup/x"))
			if a.Service == "write" {
				write++
				b.finishAttempt(a, reset)
				a = firstEffect[StartAttempt](b.advance(20 * time.Millisecond))
				Expect(a.Service).To(Or(BeEmpty(), Equal("write")))
			}
			if a != (StartAttempt{}) {
				b.finishAttempt(a, success)
			}
		}
		Expect(write).To(BeNumerically("~", requests/10, requests/20))
	})

	// Guards against a second run, and against more upstreams than the route
	// allows.
	ginkgo.It("is sent again only as its route allows", func() {
		b := attemptStart(simulatedHost("a", "read", "mtl-a"), simulatedHost("b", "read", "mtl-a"), simulatedHost("c", "read", "mtl-a"),
			simulatedHost("d", "write", "mtl-a"), simulatedHost("e", "write", "mtl-a"))
		order := firstEffect[StartAttempt](b.arrive("/order/x"))
		Expect(firstEffect[Fail](b.finishAttempt(order, reset)).Reason).To(Equal(outcome.FailedReset))
		order = firstEffect[StartAttempt](b.arrive("/order/x"))
		b.finishAttempt(order, shed)
		Expect(firstEffect[StartAttempt](b.advance(20 * time.Millisecond)).Upstream).NotTo(Equal(order.Upstream))
		lookup := firstEffect[StartAttempt](b.arrive("/lookup/x"))
		b.finishAttempt(lookup, reset)
		second := firstEffect[StartAttempt](b.advance(20 * time.Millisecond))
		Expect(second.Upstream).NotTo(BeElementOf("", lookup.Upstream))
		Expect(firstEffect[Fail](b.finishAttempt(second, reset)).Reason).To(Equal(outcome.FailedReset))
	})

	// Guards against retries of all hosts that together exceed the share of the
	// requests and the slack.
	ginkgo.It("is sent again within the budget, and freely when it arrived nowhere", func() {
		b := attemptStart(simulatedHost("a", "read", "mtl-a"), simulatedHost("b", "read", "mtl-a"))
		retries, requests := 0, 300
		for range requests {
			a := firstEffect[StartAttempt](b.arrive("/lookup/x"))
			b.finishAttempt(a, shed)
			if again := firstEffect[StartAttempt](b.advance(20 * time.Millisecond)); again.Attempt.Number == 2 {
				retries++
				b.finishAttempt(again, success)
			}
		}
		const percent, burst = 20, 1
		Expect(retries).To(BeNumerically("<=", requests*percent/100+burst))
		Expect(retries).To(BeNumerically(">=", requests*percent/100-burst))
		for range 20 {
			b.finishAttempt(firstEffect[StartAttempt](b.arrive("/lookup/x")), dialFailure)
			again := firstEffect[StartAttempt](b.advance(20 * time.Millisecond))
			Expect(again.Attempt.Number).To(Equal(2))
			b.finishAttempt(again, success)
			b.advance(refusedPause)
		}
	})

	// Guards against a wait beyond what the operator allows, and against an
	// upstream that is told more time than is left.
	ginkgo.It("ends at the route's time-out", func() {
		b := attemptStart(simulatedHost("a", "read", "mtl-a"))
		Expect(firstEffect[StartAttempt](b.arrive("/lookup/x")).Deadline).To(Equal(b.now.Add(time.Second)))
		b.lastID++
		short := b.step(RequestArrived{
			ID: b.lastID, BodyKept: true, Timeout: 200 * time.Millisecond,
			Request: config.Request{Method: "GET", Host: "H:8080", Path: "/lookup/x"},
		})
		Expect(firstEffect[StartAttempt](short).Deadline).To(Equal(b.now.Add(200 * time.Millisecond)))
	})

	// Guards against upstreams that are handed more than they can queue, which
	// some never answer, and against callers that are not told when to return.
	ginkgo.It("is refused with a wait when it cannot be in time", func() {
		b := attemptStart(simulatedHost("a", "read", "mtl-a"))
		for range 2 {
			Expect(firstEffect[StartAttempt](b.arrive("/lookup/x"))).NotTo(BeZero())
		}
		Expect(firstEffect[StartAttempt](b.arrive("/lookup/x"))).To(BeZero())
		var refused Refuse
		for i := 0; i < 100 && refused == (Refuse{}); i++ {
			refused = firstEffect[Refuse](b.advance(5 * time.Millisecond))
		}
		Expect(refused.Reason).To(Equal(outcome.RefusedOverload))
		Expect(refused.RetryAfter).To(BeNumerically(">", 0))
		Expect(b.now).To(BeNumerically("<=", Instant(300*time.Millisecond)))
	})
})

var _ = ginkgo.Describe("a host that was suspended", func() {
	// Guards against an order that starts on facts from before the pause, and
	// against a call to an interface that is not in use.
	ginkgo.It("starts no order until the store has answered", func() {
		b := attemptStart(simulatedHost("a", "write", "mtl-a"), simulatedHost("b", "read", "mtl-a"))
		b.advance(watchPause)
		b.step(StoreChanged{Revision: b.revision})
		effects := b.advance(3 * time.Second)
		Expect(count[ReadHostList](effects)).To(BeZero())
		Expect(firstEffect[StartAttempt](b.arrive("/order/x"))).To(BeZero())
		Expect(firstEffect[StartAttempt](b.arrive("/lookup/x"))).NotTo(BeZero())
		Expect(firstEffect[StartAttempt](b.step(StoreChanged{Revision: b.revision})).Service).To(Equal("write"))
	})
})

var _ = ginkgo.Describe("placing a request", func() {
	told := func(b *storeBench, name string, report outcome.LoadReport) {
		report.Known = true
		for _, svc := range b.state.services {
			for _, u := range svc.upstreams {
				if u.config.Name == name {
					u.reported.tell(report, b.now)
				}
			}
		}
	}
	usual := outcome.LoadReport{Slots: 2, Slowdown: 100}

	// Guards against bytes that leave the failure domain without a reason, and
	// against answers that are late without a need.
	ginkgo.DescribeTable("weighs time against bytes", func(path string, near outcome.LoadReport, want string) {
		b := attemptStart(simulatedHost("near", "read", "mtl-a"), simulatedHost("region", "read", "mtl-b"), simulatedHost("far", "read", "qc-a"))
		told(b, "near", near)
		told(b, "region", usual)
		told(b, "far", usual)
		effects := b.arrive(path)
		for count[StartAttempt](effects) == 0 && b.now < Instant(300*time.Millisecond) {
			effects = b.advance(5 * time.Millisecond)
		}
		Expect(firstEffect[StartAttempt](effects).Upstream).To(Equal(want))
	},
		ginkgo.Entry("near while it is as usual", "/lookup/x", usual, "near"),
		ginkgo.Entry("near while it is a little slower", "/lookup/x", outcome.LoadReport{Slots: 2, Slowdown: 140}, "near"),
		ginkgo.Entry("in the region when near is too slow", "/lookup/x", outcome.LoadReport{Slots: 2, Slowdown: 500}, "region"),
		ginkgo.Entry("in the region when near is full", "/lookup/x", outcome.LoadReport{Running: 2, Waiting: 3, Slots: 2, Slowdown: 100}, "region"),
		ginkgo.Entry("near for a large answer, though it is slow", "/file/x", outcome.LoadReport{Slots: 2, Slowdown: 500}, "near"),
	)

	// Guards against requests that wait for a server whose refusals have nothing
	// to do with its slots, when all of a service refuse.
	ginkgo.DescribeTable("after a refusal", func(load outcome.LoadReport, starts int) {
		b := attemptStart(simulatedHost("a", "read", "mtl-a"))
		load.Known = true
		lookup := firstEffect[StartAttempt](b.arrive("/lookup/x"))
		b.now = b.now.Add(100 * time.Millisecond)
		b.finishAttempt(lookup, success)
		lookup = firstEffect[StartAttempt](b.arrive("/lookup/x"))
		b.finishAttempt(lookup, outcome.Facts{Wrote: true, Status: 503, NotRunHeader: true, Load: -1, Told: load})
		Expect(count[StartAttempt](b.arrive("/lookup/x"))).To(Equal(starts))
	},
		ginkgo.Entry("goes on to a server that tells free slots", outcome.LoadReport{Slots: 2, Slowdown: 100}, 1),
		ginkgo.Entry("waits for a server that is full", outcome.LoadReport{Running: 2, Waiting: 1, Slots: 2, Slowdown: 100}, 0),
	)

	// Guards against a slot that a request holds for several times as long since
	// it began in the slow moment of a server, and against a wait without end for
	// a server that stays slow.
	ginkgo.DescribeTable("waits a little for a slowdown to pass", func(passes, starts time.Duration) {
		b := newStoreBench(plainRegistry)
		r := routing(1)
		r.Routes[0].Goal = time.Second
		b.list(r, simulatedHost("a", "read", "mtl-a"))
		told(b, "a", outcome.LoadReport{Slots: 2, Slowdown: 500})
		effects := b.arrive("/lookup/x")
		for count[StartAttempt](effects) == 0 && b.now < Instant(time.Second) {
			if b.now >= Instant(passes) {
				told(b, "a", usual)
			}
			effects = b.advance(5 * time.Millisecond)
		}
		Expect(count[StartAttempt](effects)).To(Equal(1))
		Expect(time.Duration(b.now)).To(BeNumerically("~", starts, lookAgain))
	},
		ginkgo.Entry("that passes", 50*time.Millisecond, 60*time.Millisecond),
		ginkgo.Entry("that lasts", time.Minute, slowdownPasses+lookAgain/2),
	)

	// Guards against a request that goes to the slower of two servers.
	ginkgo.It("prefers the server that is faster now", func() {
		b := attemptStart(simulatedHost("a", "read", "mtl-a"), simulatedHost("b", "read", "mtl-a"))
		told(b, "a", outcome.LoadReport{Slots: 2, Slowdown: 500})
		told(b, "b", usual)
		Expect(firstEffect[StartAttempt](b.arrive("/lookup/x")).Upstream).To(Equal("b"))
	})
})

var _ = ginkgo.Describe("asking upstreams for their load", func() {
	probed := func(servers ...Server) *storeBench {
		b := newStoreBench(plainRegistry)
		r := routing(1)
		r.Services[0].ProbePath = "/health"
		b.list(r, servers...)
		return b
	}
	answer := func(b *storeBench, name string, facts outcome.Facts) []Effect {
		return b.step(ProbeFinished{Service: "read", Upstream: name, Facts: facts})
	}
	report := func(slowdown int) outcome.Facts {
		return outcome.Facts{Wrote: true, Status: 200, Load: -1, Told: outcome.LoadReport{Known: true, Slots: 2, Slowdown: slowdown}}
	}
	questions := func(effects []Effect) (names []string) {
		for _, effect := range effects {
			if probe, ok := effect.(StartProbe); ok {
				names = append(names, probe.Upstream)
			}
		}
		slices.Sort(names)
		return names
	}

	// Guards against decisions on reports that are older than the changes of
	// the load, and against questions without a bound.
	ginkgo.It("waits for the nearest ones, a few of them", func() {
		b := probed(simulatedHost("a", "read", "mtl-a"), simulatedHost("b", "read", "mtl-a"), simulatedHost("c", "read", "mtl-b"))
		effects := b.arrive("/lookup/x")
		Expect(questions(effects)).To(Equal([]string{"a", "b"}))
		Expect(firstEffect[StartAttempt](effects)).To(BeZero())
		Expect(firstEffect[StartAttempt](answer(b, "a", report(500)))).To(BeZero())
		Expect(firstEffect[StartAttempt](answer(b, "b", report(100))).Upstream).To(Equal("b"))
		Expect(questions(b.arrive("/lookup/x"))).To(BeEmpty())
		many := []Server{}
		for i := range 9 {
			many = append(many, simulatedHost(fmt.Sprint("s", i), "read", "mtl-a"))
		}
		Expect(questions(probed(many...).arrive("/lookup/x"))).To(HaveLen(maxQuestions))
	})

	// Guards against requests that wait for a server that is gone.
	ginkgo.It("goes on without an answer, and avoids who owes one", func() {
		b := probed(simulatedHost("a", "read", "mtl-a"), simulatedHost("b", "read", "mtl-a"))
		b.arrive("/lookup/x")
		answer(b, "b", report(100))
		Expect(firstEffect[StartAttempt](b.advance(nearPatience))).NotTo(BeZero())
		b.advance(silentAfter)
		for range 2 {
			effects := b.arrive("/lookup/x")
			if name := questions(effects); len(name) > 0 {
				Expect(name).To(Equal([]string{"b"}))
				effects = answer(b, "b", report(100))
			}
			started := firstEffect[StartAttempt](effects)
			Expect(started.Upstream).To(Equal("b"))
			b.finishAttempt(started, success)
		}
	})

	// Guards against work for a server that left while its load was asked for.
	ginkgo.It("sends nothing to a server that leaves meanwhile", func() {
		b := probed(simulatedHost("a", "read", "mtl-a"), simulatedHost("b", "read", "mtl-a"))
		b.arrive("/lookup/x")
		answer(b, "a", report(100))
		b.change(gone("a"))
		start := firstEffect[StartAttempt](answer(b, "b", report(500)))
		for start == (StartAttempt{}) && b.now < Instant(300*time.Millisecond) {
			start = firstEffect[StartAttempt](b.advance(5 * time.Millisecond))
		}
		Expect(start.Upstream).To(Equal("b"))
	})

	// Guards against an attempt for a caller that left while it was asked.
	ginkgo.It("starts nothing for a caller that hung up meanwhile", func() {
		b := probed(simulatedHost("a", "read", "mtl-a"))
		b.arrive("/lookup/x")
		Expect(refusal(b.step(CallerGone{ID: b.lastID}))).To(Equal(outcome.RefusedCallerGone))
		Expect(firstEffect[StartAttempt](answer(b, "a", report(100)))).To(BeZero())
		Expect(b.state.requests).To(BeEmpty())
	})
})
