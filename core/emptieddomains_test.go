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

// empty reports the mark of an emptied failure domain by a watch.
func (r *storeTestReducer) empty(domain string) []Effect { return r.markDomain(domain, true) }

// takeBack reports the removal of the mark of a failure domain by a watch.
func (r *storeTestReducer) takeBack(domain string) []Effect { return r.markDomain(domain, false) }

func (r *storeTestReducer) markDomain(domain string, emptied bool) []Effect {
	r.revision++
	return r.step(StoreChanged{Revision: r.revision, Domains: []DomainMark{{Domain: domain, Emptied: emptied, Revision: r.revision}}})
}

// probedRouting returns a routing whose services are asked for their load.
func probedRouting(version uint64) *config.Routing {
	routes := routing(version)
	for i := range routes.Services {
		routes.Services[i].ProbePath = "/health"
	}
	return routes
}

var _ = ginkgo.Describe("an emptied failure domain", func() {
	// Guards against new requests, retries and queued requests at servers that the
	// operators have emptied, and against cutting what runs there.
	ginkgo.It("gets no new work and finishes its running work", func() {
		r := newConfiguredStoreTestReducer(storeServer("a", "read", "mtl-a"), storeServer("b", "read", "mtl-b"))
		running := firstEffect[StartAttempt](r.arrive("/lookup/x"))
		Expect(running.Upstream).To(Equal("a"))
		effects := r.empty("mtl-a")
		Expect(effects).To(ContainElement(HaveField("Message", "failure domain emptied")))
		Expect(count[CancelAttempt](effects) + count[CloseIdle](effects)).To(BeZero())
		retried := firstEffect[StartAttempt](r.arrive("/lookup/x"))
		Expect(retried.Upstream).To(Equal("b"))
		Expect(firstEffect[PassAnswer](r.finishAttempt(running, success)).Attempt).To(Equal(running.Attempt))
		r.finishAttempt(retried, shed)
		Expect(firstEffect[StartAttempt](r.advance(10 * time.Millisecond)).Upstream).NotTo(Equal("a"))
	})

	// Guards against requests that wait until their deadline although no server may
	// take them.
	ginkgo.It("is left by waiting requests, which are refused at once without another server", func() {
		r := newConfiguredStoreTestReducer(storeServer("a", "read", "mtl-a"), storeServer("b", "write", "mtl-b"))
		r.arrive("/lookup/x")
		r.arrive("/lookup/x")
		Expect(count[StartAttempt](r.arrive("/lookup/x"))).To(BeZero())
		Expect(refusal(r.empty("mtl-a"))).To(Equal(outcome.RefusedNoHost))
		Expect(refusal(r.arrive("/lookup/x"))).To(Equal(outcome.RefusedNoHost))
		r.takeBack("mtl-a")
		Expect(refusal(r.arrive("/lookup/x"))).To(BeEmpty())
	})

	// Guards against servers that register, or start again, in an emptied domain and
	// get requests.
	ginkgo.It("gets no work for servers that are added", func() {
		r := newConfiguredStoreTestReducer(storeServer("b", "read", "mtl-b"))
		r.empty("mtl-a")
		added := storeServer("a", "read", "mtl-a")
		r.change(ServerChange{ID: "a", Server: &added})
		Expect(firstEffect[StartAttempt](r.arrive("/lookup/x")).Upstream).To(Equal("b"))
	})

	// Guards against reports from before the domain was emptied: its servers may be
	// cold when it is back.
	ginkgo.It("comes back with unknown loads", func() {
		r := newStoreTestReducer(defaultRegistry)
		r.list(probedRouting(1), storeServer("a", "read", "mtl-a"))
		query := firstEffect[StartProbe](r.arrive("/lookup/x"))
		r.step(ProbeFinished{Service: "read", Upstream: query.Upstream, Facts: outcome.Facts{
			Wrote: true, Status: 200, Load: -1, Told: outcome.LoadReport{Known: true, Slots: 2, Slowdown: 100},
		}})
		Expect(r.state.upstreamOf("read", "a").reported.report.Known).To(BeTrue())
		r.empty("mtl-a")
		r.takeBack("mtl-a")
		Expect(r.state.upstreamOf("read", "a").reported.report.Known).To(BeFalse())
		Expect(firstEffect[StartProbe](r.arrive("/lookup/x")).Upstream).To(Equal("a"))
	})

	// Guards against an old listing that brings a domain back, and against a domain
	// that stays out because the removal of its mark was discarded.
	ginkgo.It("comes back by a complete listing, not by a stale or an older one", func() {
		r := newConfiguredStoreTestReducer(storeServer("a", "read", "mtl-a"))
		r.empty("mtl-a")
		r.step(StoreListed{Revision: r.revision + 1, Stale: true, Routing: routing(1)})
		Expect(r.state.domainEmptied("mtl-a")).To(BeTrue(), "stale listing")
		r.step(StoreListed{Revision: r.revision - 1, Routing: routing(1)})
		Expect(r.state.domainEmptied("mtl-a")).To(BeTrue(), "older listing")
		r.step(StoreListed{Revision: r.revision + 2, Routing: routing(1)})
		Expect(r.state.domainEmptied("mtl-a")).To(BeFalse(), "complete listing")
	})

	// Guards against marks that only the host knows which reads the store, and against
	// marks that arrive with a state older than the known one.
	ginkgo.It("is passed on with polls and their responses", func() {
		reader, member := newPropagationTestReducer("entry-1", 5), newPropagationTestReducer("entry-2", 5)
		reader.list(routing(1), storeServer("a", "read", "mtl-a"))
		poll := firstEffect[AskNews](member.deliverNeighbours(neighbourNamed("entry-1", 5)))
		response := responseOf(reader, poll.Ask)
		member.step(NewsAnswered{Address: poll.Address, Answer: response})
		poll = firstEffect[AskNews](member.advance(pollBatchDelay))
		Expect(poll.Ask.Wait).To(BeNumerically(">", 0))
		Expect(count[AnswerNews](reader.step(NewsAsked{ID: 7, Ask: poll.Ask}))).To(BeZero())
		held := firstEffect[AnswerNews](reader.empty("mtl-a"))
		Expect(held.ID).To(Equal(uint64(7)))
		member.step(NewsAnswered{Address: poll.Address, Answer: held.Answer})
		Expect(member.state.domainEmptied("mtl-a")).To(BeTrue())
		other := newPropagationTestReducer("entry-0", 9)
		other.list(routing(1), storeServer("a", "read", "mtl-a"))
		other.step(NewsAsked{ID: 1, Ask: NewsAsk{From: neighbourNamed("entry-2", 5), NamesOnly: true, Domains: member.state.domainMarks()}})
		Expect(other.state.domainEmptied("mtl-a")).To(BeTrue())
	})

	// Guards against marks that a host learns from a poll and keeps to itself until it
	// hears from the store again.
	ginkgo.It("is passed on at once by a host that learns of it from a poll", func() {
		reader := newPropagationTestReducer("entry-1", 5)
		reader.list(routing(1), storeServer("a", "read", "mtl-a"))
		member := NewsAsk{From: neighbourNamed("entry-2", 5), After: reader.revision, Routing: 1, Wait: pollWait}
		Expect(count[AnswerNews](reader.step(NewsAsked{ID: 1, Ask: member}))).To(BeZero())
		mark := DomainMark{Domain: "mtl-a", Emptied: true, Revision: reader.revision + 1}
		effects := reader.step(NewsAsked{ID: 2, Ask: NewsAsk{From: neighbourNamed("entry-3", 4), NamesOnly: true, Domains: []DomainMark{mark}}})
		Expect(effects).To(ContainElement(And(HaveField("ID", uint64(1)), HaveField("Answer.Domains", ConsistOf(mark)))))
		Expect(effects).To(ContainElement(And(HaveField("ID", uint64(2)), HaveField("Answer.Domains", ConsistOf(mark)))))

		second := newPropagationTestReducer("entry-2", 4)
		poll := firstEffect[AskNews](second.deliverNeighbours(neighbourNamed("entry-1", 5)))
		second.step(NewsAnswered{Address: poll.Address, Answer: responseOf(reader, poll.Ask)})
		late := DomainMark{Domain: "qc-a", Emptied: true, Revision: reader.revision + 2}
		effects = second.step(NewsAsked{ID: 3, Ask: NewsAsk{From: neighbourNamed("entry-3", 3), NamesOnly: true, Domains: []DomainMark{late}}})
		Expect(effects).To(ContainElement(And(HaveField("Address", "entry-1:1"), HaveField("Ask.Domains", ContainElement(late)))))
	})

	// Guards against a host that was cut off while the domain came back, and that
	// empties it again on hosts which were restarted and have no mark.
	ginkgo.It("is checked with a listing if another host knows an older mark", func() {
		r := newPropagationTestReducer("entry-1", 5)
		r.list(routing(1), storeServer("a", "read", "mtl-a"))
		Expect(count[WatchStore](r.advance(watchBatchDelay))).To(Equal(1))
		r.revision += 10
		r.step(NewsAnswered{Address: "entry-2:1", Answer: NewsAnswer{Known: true, Revision: r.revision}})
		r.step(NewsAsked{ID: 1, Ask: NewsAsk{From: neighbourNamed("entry-2", 5), NamesOnly: true, Domains: []DomainMark{{Domain: "mtl-a", Emptied: true, Revision: 3}}}})
		Expect(r.state.domainEmptied("mtl-a")).To(BeTrue(), "the mark holds until the store has been read")
		effects := r.step(StoreChanged{Revision: r.revision})
		Expect(effects).To(ContainElement(And(BeAssignableToTypeOf(ListStore{}), HaveField("Stale", BeFalse()))))
		Expect(count[WatchStore](effects)).To(BeZero())
		a := storeServer("a", "read", "mtl-a")
		r.step(StoreListed{Revision: r.revision, Routing: routing(1), Servers: []ServerChange{{ID: "a", Server: &a}}})
		Expect(r.state.domainEmptied("mtl-a")).To(BeFalse())
		Expect(count[WatchStore](r.advance(watchBatchDelay))).To(Equal(1))
	})

	// Guards against a listing that started before the older mark arrived, and that is
	// older than the mark: it can't tell whether the domain is back.
	ginkgo.It("is checked with a listing that starts later", func() {
		r := newPropagationTestReducer("entry-1", 5)
		r.list(routing(1), storeServer("a", "read", "mtl-a"))
		r.step(StoreFailed{HistoryGone: true})
		r.now = r.now.Add(watchBatchDelay)
		r.step(Tick{})
		r.step(NewsAnswered{Address: "entry-2:1", Answer: NewsAnswer{Known: true, Revision: 20}})
		r.step(NewsAsked{ID: 1, Ask: NewsAsk{From: neighbourNamed("entry-2", 4), NamesOnly: true, Domains: []DomainMark{{Domain: "mtl-a", Emptied: true, Revision: 10}}}})
		a := storeServer("a", "read", "mtl-a")
		servers := []ServerChange{{ID: "a", Server: &a}}
		r.step(StoreListed{Revision: 9, Routing: routing(1), Servers: servers})
		Expect(r.state.domainEmptied("mtl-a")).To(BeTrue())
		Expect(count[ListStore](r.advance(watchBatchDelay))).To(Equal(1))
		r.step(StoreListed{Revision: 21, Routing: routing(1), Servers: servers})
		Expect(r.state.domainEmptied("mtl-a")).To(BeFalse())
	})

	// Guards against operators who cannot see why servers get no requests.
	ginkgo.It("is shown in status and explain", func() {
		r := newConfiguredStoreTestReducer(storeServer("a", "read", "mtl-a"))
		r.empty("mtl-a")
		status := firstEffect[ReportStatus](r.step(StatusRequested{})).Status
		Expect(status.EmptiedDomains).To(Equal([]string{"mtl-a"}))
		Expect(status.Services[0].Upstreams[0].Emptied).To(BeTrue())
		e := firstEffect[ReportExplanation](r.step(ExplainRequested{Request: config.Request{Host: "h", Path: "/lookup/x"}})).Explanation
		Expect(e.Upstreams).To(ConsistOf(And(HaveField("Eligible", false), HaveField("State", stateEmptied))))
	})

	// Guards against any order of marks, listings and traffic in which a request or a
	// load query reaches a domain whose newest mark says that it is emptied.
	ginkgo.It("never gets an attempt or a load query", func() {
		rapid.Check(ginkgo.GinkgoT(), func(t *rapid.T) {
			r := newEmptiedTest(t)
			for range rapid.IntRange(1, 150).Draw(t, "steps") {
				r.now = r.now.Add(time.Duration(rapid.IntRange(0, 30).Draw(t, "milliseconds")) * time.Millisecond)
				r.checkDomains(r.nextDomainEvent())
			}
		})
	})
})

// emptiedTest applies marks of failure domains in any order besides the events of a
// regionsTest, and follows the newest mark of each domain.
type emptiedTest struct {
	*regionsTest
	newest map[string]DomainMark
}

func newEmptiedTest(t *rapid.T) *emptiedTest {
	return &emptiedTest{regionsTest: newRegionsTest(t), newest: make(map[string]DomainMark)}
}

// drawMarks returns up to two arbitrary marks, some of them older than known ones,
// and applies them to the model.
func (r *emptiedTest) drawMarks() []DomainMark {
	var marks []DomainMark
	for range rapid.IntRange(1, 2).Draw(r.t, "marks") {
		m := DomainMark{
			Domain: r.draw("domain", "mtl-a", "mtl-b", "qc-a"), Emptied: rapid.Bool().Draw(r.t, "emptied"),
			Revision: uint64(max(1, int(r.revision)-rapid.IntRange(-1, 6).Draw(r.t, "age"))),
		}
		known, exists := r.newest[m.Domain]
		if !exists || m.Revision > known.Revision || m.Revision == known.Revision && m.Emptied {
			r.newest[m.Domain] = m
		}
		marks = append(marks, m)
	}
	return marks
}

func (r *emptiedTest) nextDomainEvent() []Effect {
	switch rapid.IntRange(0, 6).Draw(r.t, "domain event") {
	case 0:
		r.revision++
		return r.step(StoreChanged{Revision: r.revision, Domains: r.drawMarks()})
	case 1:
		ask := NewsAsk{From: neighbourNamed("entry-3", 1), NamesOnly: rapid.Bool().Draw(r.t, "names only"), Domains: r.drawMarks()}
		return r.step(NewsAsked{ID: 1, Ask: ask})
	case 2:
		known := rapid.Bool().Draw(r.t, "known")
		return r.step(NewsAnswered{Address: "entry-1:1", Answer: NewsAnswer{Known: known, Revision: r.revision, Domains: r.drawMarks()}})
	}
	return r.nextEvent()
}

func (r *emptiedTest) checkDomains(effects []Effect) {
	for _, effect := range effects {
		switch e := effect.(type) {
		case StartAttempt:
			r.checkNotEmptied(e.Upstream)
		case StartProbe:
			r.checkNotEmptied(e.Upstream)
		}
	}
	r.check(effects)
}

func (r *emptiedTest) checkNotEmptied(server string) {
	if m := r.newest[r.domains[server]]; m.Emptied {
		r.t.Fatalf("something was sent to %s in %s, which is emptied as of revision %d", server, m.Domain, m.Revision)
	}
}

var _ = ginkgo.Describe("a failure domain that the manifest empties", func() {
	configure := func(r *testReducer, generation uint64, emptied ...string) []Effect {
		part := &config.Service{
			Name: "orders", Match: []config.Match{{PathPrefix: "/"}}, Timeout: time.Second, Queue: 3,
			Upstreams: []config.Upstream{upstreamNamed("a", 2), upstreamNamed("b", 2)},
		}
		part.Upstreams[1].FailureDomain = "mtl-b"
		hash := config.Hash(fmt.Sprintf("%064d", 1))
		effects := r.step(ManifestRead{
			Version: config.Version{Generation: generation, Hash: config.Hash(fmt.Sprintf("%064d", generation))},
			Manifest: &config.Manifest{
				Generation: generation, EntryHosts: 10, Links: config.Links{LongPercent: 50}, EmptiedDomains: emptied,
				Services: []config.ServiceRef{{Name: "orders", Hash: hash}},
			},
		})
		return append(effects, r.step(PartRead{Hash: hash, Service: part})...)
	}

	// Guards against a manifest that changes no service part and therefore has no
	// effect, and against leases and probes in an emptied domain.
	ginkgo.It("gets no new work until a later manifest takes it back", func() {
		r := &testReducer{state: New()}
		r.step(Start{Host: "entry-1", Region: "mtl", FailureDomain: "mtl-a", Seed: 1})
		configure(r, 1)
		Expect(firstEffect[StartAttempt](r.get()).Upstream).To(Equal("a"))
		effects := configure(r, 2, "mtl-a")
		Expect(effects).To(ContainElement(HaveField("Message", "failure domain emptied")))
		Expect(firstEffect[StartAttempt](r.get()).Upstream).To(Equal("b"))
		a := r.state.upstreamOf("orders", "a")
		Expect(r.state.leases.leasableSlots(r.state.leases.services["orders"].units[0].unit, a)).To(BeZero())
		Expect(r.state.mayProbe(a)).To(BeFalse())
		Expect(configure(r, 3)).To(ContainElement(HaveField("Message", "failure domain taken back")))
		Expect(r.state.mayProbe(a)).To(BeTrue())
		Expect(a.health.UsableSlots(time.Duration(r.now), 2, 5*time.Second)).To(Equal(1), "its servers warm up")
	})
})
