package core

import (
	"slices"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// newPropagationTestReducer returns a started reducer in mtl-a that exchanges store
// updates with other hosts.
func newPropagationTestReducer(host string, capacity int) *storeTestReducer {
	r := &storeTestReducer{testReducer: &testReducer{state: New()}}
	r.startPropagation(host, capacity)
	return r
}

// startPropagation starts the reducer as the named host of mtl-a, with one seed besides
// itself.
func (r *storeTestReducer) startPropagation(host string, capacity int) []Effect {
	registry := registrySettings()
	registry.Address, registry.Capacity = host+":1", capacity
	registry.Seeds = []string{"seed:1", host + ":1"}
	return r.step(Start{Host: host, Region: "mtl", FailureDomain: "mtl-a", Seed: 1, Registry: registry})
}

// neighbourNamed returns a neighbour in mtl-a.
func neighbourNamed(host string, capacity int) Neighbour {
	return Neighbour{Host: host, Address: host + ":1", FailureDomain: "mtl-a", Capacity: capacity}
}

// deliverNeighbours delivers the response of a seed that names neighbours.
func (r *storeTestReducer) deliverNeighbours(names ...Neighbour) []Effect {
	return r.step(NewsAnswered{Address: "seed:1", Answer: NewsAnswer{Neighbours: names}})
}

// notifications returns the polls that only inform the receiver of the state of
// the sender.
func notifications(effects []Effect) []AskNews {
	var polls []AskNews
	for _, effect := range effects {
		if poll, ok := effect.(AskNews); ok && poll.Ask.NamesOnly && poll.Ask.After > 0 {
			polls = append(polls, poll)
		}
	}
	return polls
}

// responseOf returns the response of one host to a poll of another.
func responseOf(from *storeTestReducer, poll NewsAsk) NewsAnswer {
	return firstEffect[AnswerNews](from.step(NewsAsked{ID: 1, Ask: poll})).Answer
}

var _ = ginkgo.Describe("hosts that share the updates of a store", func() {
	// Guards against store calls that grow with the number of hosts, and against
	// a failure domain in which no host reads the store.
	ginkgo.DescribeTable("agree on the reader", func(other Neighbour, readsStore bool) {
		r := newPropagationTestReducer("entry-2", 5)
		Expect(firstEffect[AskNews](r.deliverNeighbours(other)).Address == other.Address).To(Equal(!readsStore))
		r.list(routing(1), storeServer("a", "read", "mtl-a"))
		Expect(count[WatchStore](r.advance(watchBatchDelay)) == 1).To(Equal(readsStore))
	},
		ginkgo.Entry("one with a higher capacity", neighbourNamed("entry-3", 6), false),
		ginkgo.Entry("one with a lower capacity", neighbourNamed("entry-1", 4), true),
		ginkgo.Entry("an equal one with an earlier name", neighbourNamed("entry-1", 5), false),
		ginkgo.Entry("the first of another failure domain", Neighbour{Host: "entry-1", Address: "entry-1:1", FailureDomain: "qc-a", Capacity: 9}, false),
		ginkgo.Entry("a lower one of another failure domain", Neighbour{Host: "entry-1", Address: "entry-1:1", FailureDomain: "qc-a", Capacity: 1}, true),
	)

	// Guards against changes that only the reader knows.
	ginkgo.It("propagate changes at once", func() {
		reader, member := newPropagationTestReducer("entry-1", 5), newPropagationTestReducer("entry-2", 5)
		reader.list(routing(1), storeServer("a", "read", "mtl-a"), storeServer("b", "read", "mtl-a"))
		poll := firstEffect[AskNews](member.deliverNeighbours(neighbourNamed("entry-1", 5))).Ask
		response := responseOf(reader, poll)
		Expect(response.Whole).To(BeTrue())
		next := firstEffect[AskNews](member.step(NewsAnswered{Address: "entry-1:1", Answer: response}))
		Expect(member.upstreams("read")).To(Equal([]string{"a", "b"}))
		Expect(member.state.ready).To(BeTrue())
		if next.Address == "" {
			next = firstEffect[AskNews](member.advance(pollBatchDelay))
		}
		Expect(count[AnswerNews](reader.step(NewsAsked{ID: 2, Ask: next.Ask}))).To(BeZero())
		leaving := storeServer("a", "read", "mtl-a")
		leaving.Leaving = true
		update := firstEffect[AnswerNews](reader.change(ServerChange{ID: "a", Server: &leaving}, removed("b")))
		Expect(update.ID).To(Equal(uint64(2)))
		Expect(update.Answer.Servers).To(HaveLen(2))
		member.step(NewsAnswered{Address: "entry-1:1", Answer: update.Answer})
		Expect(member.upstreams("read")).To(BeEmpty())
	})

	// Guards against a host that becomes ready late after a restart.
	ginkgo.It("provide a starting host with updates while it reads the store", func() {
		r := newPropagationTestReducer("entry-2", 5)
		Expect(r.state.registry.calls.pending).To(HaveLen(1))
		r.deliverNeighbours(neighbourNamed("entry-1", 5))
		reader := newPropagationTestReducer("entry-1", 5)
		reader.list(routing(3), storeServer("a", "read", "mtl-a"))
		r.step(NewsAnswered{Address: "entry-1:1", Answer: responseOf(reader, NewsAsk{})})
		Expect(r.state.ready).To(BeTrue())
		r.step(StoreFailed{Reason: "refused"})
		Expect(r.upstreams("read")).To(Equal([]string{"a"}))
	})

	// Guards against a change that takes effect late because the reader is down,
	// cut off from the store, or unresponsive.
	ginkgo.DescribeTable("do not rely on a reader with stale updates", func(end func(r *storeTestReducer)) {
		r := newPropagationTestReducer("entry-2", 5)
		r.list(routing(1), storeServer("a", "read", "mtl-a"))
		r.deliverNeighbours(neighbourNamed("entry-1", 5))
		end(r)
		const bound = 2 * time.Second
		calls := 0
		for r.now < Instant(bound-100*time.Millisecond) && calls == 0 {
			calls += count[WatchStore](r.advance(20 * time.Millisecond))
		}
		Expect(calls).To(Equal(1))
	},
		ginkgo.Entry("when it does not respond", func(*storeTestReducer) {}),
		ginkgo.Entry("when it refuses", func(r *storeTestReducer) {
			r.step(NewsAnswered{Address: "entry-1:1", Failed: true, Reason: "refused"})
		}),
		ginkgo.Entry("when it cannot read the store itself", func(r *storeTestReducer) {
			r.step(NewsAnswered{Address: "entry-1:1", Answer: NewsAnswer{Known: true, Revision: r.revision, Age: time.Minute}})
		}),
	)

	// Guards against hosts that each read the store themselves, or have no
	// updates, when the store rejects their reader.
	ginkgo.It("relay updates to a reader that the store rejects", func() {
		reader, member, other := newPropagationTestReducer("entry-1", 5), newPropagationTestReducer("entry-2", 5), newPropagationTestReducer("entry-3", 5)
		for _, r := range []*storeTestReducer{reader, member, other} {
			r.list(routing(1), storeServer("a", "read", "mtl-a"))
		}
		member.deliverNeighbours(neighbourNamed("entry-1", 5))
		other.deliverNeighbours(neighbourNamed("entry-1", 5))
		reader.step(StoreFailed{Reason: "refused"})
		for _, r := range []*storeTestReducer{reader, member, other} {
			r.now = Instant(maxStaleness)
		}
		reader.step(NewsAsked{ID: 7, Ask: NewsAsk{From: neighbourNamed("entry-3", 5), After: 1, Routing: 1, Wait: pollWait, Age: maxStaleness}})
		leaving := storeServer("a", "read", "mtl-a")
		leaving.Leaving = true
		notified := notifications(member.change(ServerChange{ID: "a", Server: &leaving}))
		Expect(notified).To(ConsistOf(HaveField("Address", "entry-1:1")))
		reversePoll := firstEffect[AskNews](reader.step(NewsAsked{ID: 8, Ask: notified[0].Ask}))
		Expect(reversePoll.Address).To(Equal("entry-2:1"))
		effects := reader.step(NewsAnswered{Address: "entry-2:1", Aside: true, Answer: responseOf(member, reversePoll.Ask)})
		Expect(reader.upstreams("read")).To(BeEmpty())
		var update AnswerNews
		for _, effect := range effects {
			if response, ok := effect.(AnswerNews); ok && response.ID == 7 {
				update = response
			}
		}
		other.step(NewsAnswered{Address: "entry-1:1", Answer: update.Answer})
		Expect(other.upstreams("read")).To(BeEmpty())
		Expect(other.state.storeStaleness()).To(BeNumerically("<", staleAfter))
	})

	// Guards against servers that stay in use on all hosts because the host that
	// noticed their missing entries propagated its state too early.
	ginkgo.It("propagate no state with entries pending removal", func() {
		r := newPropagationTestReducer("entry-2", 5)
		r.list(routing(1), storeServer("a", "read", "mtl-a"), storeServer("b", "read", "mtl-a"))
		r.deliverNeighbours(neighbourNamed("entry-1", 5))
		r.advance(maxStaleness)
		r.step(StoreFailed{Reason: "refused"})
		r.advance(minBackoffWithReader)
		Expect(notifications(r.change(removed("a"), removed("b")))).To(BeEmpty())
		Expect(notifications(r.advance(expiryGrace))).To(HaveLen(1))
	})

	// Guards against servers that stay in use for good on a host that polled while they
	// were pending removal: with the revision it adopted, no host reports the removal.
	ginkgo.It("respond with no state while entries are pending removal", func() {
		r := newPropagationTestReducer("entry-1", 5)
		r.list(routing(1), storeServer("a", "read", "mtl-a"), storeServer("b", "read", "mtl-a"))
		r.advance(watchBatchDelay)
		r.step(StoreFailed{Reason: "reset"})
		r.advance(maxStoreBackoff)
		r.change(removed("a"), removed("b"))
		Expect(r.state.registry.pendingRemoval).To(HaveLen(2))
		Expect(responseOf(r, NewsAsk{From: neighbourNamed("entry-2", 5)}).Known).To(BeFalse())
		held := NewsAsked{ID: 7, Ask: NewsAsk{From: neighbourNamed("entry-2", 5), After: 1, Routing: 1, Wait: pollWait}}
		Expect(count[AnswerNews](r.step(held))).To(BeZero())
		Expect(count[AnswerNews](r.step(StoreChanged{Revision: r.revision}))).To(BeZero())
		update := firstEffect[AnswerNews](r.advance(expiryGrace))
		Expect(update.ID).To(Equal(uint64(7)))
		Expect(update.Answer.Revision).To(Equal(r.revision))
		Expect(update.Answer.Servers).To(ConsistOf(ServerChange{ID: "a", Revision: r.revision}, ServerChange{ID: "b", Revision: r.revision}))
	})

	// Guards against hosts that go on with an earlier configuration because the host that
	// reads the store for them has entries pending removal (rule CONFIG).
	ginkgo.It("pass on the configuration while entries are pending removal", func() {
		reader, member := newPropagationTestReducer("entry-1", 5), newPropagationTestReducer("entry-2", 5)
		for _, r := range []*storeTestReducer{reader, member} {
			r.list(routing(1), storeServer("a", "read", "mtl-a"), storeServer("b", "read", "mtl-a"))
		}
		reader.advance(watchBatchDelay)
		reader.step(StoreFailed{Reason: "reset"})
		reader.advance(maxStoreBackoff)
		poll := firstEffect[AskNews](member.deliverNeighbours(neighbourNamed("entry-1", 5))).Ask
		reader.change(removed("a"), removed("b"))
		Expect(reader.state.registry.pendingRemoval).To(HaveLen(2))
		Expect(count[AnswerNews](reader.step(NewsAsked{ID: 7, Ask: poll}))).To(BeZero())
		reader.revision++
		update := firstEffect[AnswerNews](reader.step(StoreChanged{Revision: reader.revision, Routing: routing(2)}))
		Expect(update.ID).To(Equal(uint64(7)))
		Expect(update.Answer.Known).To(BeFalse())
		next := firstEffect[AskNews](member.step(NewsAnswered{Address: "entry-1:1", Answer: update.Answer}))
		Expect(member.state.inForce().Generation).To(Equal(uint64(2)))
		Expect(member.upstreams("read")).To(Equal([]string{"a", "b"}))
		Expect(count[AnswerNews](reader.step(NewsAsked{ID: 8, Ask: next.Ask}))).To(BeZero(), "the configuration is passed on once")
		Expect(firstEffect[AnswerNews](reader.advance(expiryGrace)).Answer.Known).To(BeTrue())
	})

	// Guards against a starting host that has routes but no servers.
	ginkgo.It("pass no configuration on without servers to a host that has neither", func() {
		r := newPropagationTestReducer("entry-1", 5)
		r.list(routing(1), storeServer("a", "read", "mtl-a"), storeServer("b", "read", "mtl-a"))
		r.advance(watchBatchDelay)
		r.step(StoreFailed{Reason: "reset"})
		r.advance(maxStoreBackoff)
		r.change(removed("a"), removed("b"))
		Expect(responseOf(r, NewsAsk{From: neighbourNamed("entry-2", 5)}).Routing).To(BeNil())
		starting := newPropagationTestReducer("entry-2", 5)
		starting.step(NewsAnswered{Address: "entry-1:1", Answer: NewsAnswer{Routing: routing(1)}})
		Expect(starting.state.ready).To(BeFalse())
	})

	// Guards against store calls that grow with the number of hosts while the
	// store is down for all of them.
	ginkgo.It("call a store that is down no more often than a single host", func() {
		const hosts, outage = 20, 10 * time.Second
		calls := 0
		for i := range hosts {
			r := newPropagationTestReducer("entry-2", 5)
			r.state.random.state = uint64(i)
			r.list(routing(1), storeServer("a", "read", "mtl-a"))
			names := []Neighbour{neighbourNamed("entry-1", 5)}
			for j := range hosts {
				names = append(names, neighbourNamed("entry-3"+string(rune('a'+j)), 5))
			}
			r.deliverNeighbours(names...)
			for r.now < Instant(outage) {
				if count[WatchStore](r.advance(20*time.Millisecond)) > 0 {
					calls++
					r.step(StoreFailed{Reason: "refused"})
				}
			}
		}
		single := int(outage / (maxStoreBackoff / 2))
		Expect(calls).To(BeNumerically("<=", hosts+single))
	})

	// Guards against the hosts of a large failure domain that call a silent store all at
	// once and then not for seconds: none of them notices its recovery in time.
	ginkgo.It("spread their calls to a store that is down", func() {
		const hosts, longestGap = 20, outageRecoveryBound - expiryGrace
		var calls []Instant
		for i := range hosts {
			r := newPropagationTestReducer("entry-2", 5)
			r.state.random.state = uint64(i)
			r.list(routing(1), storeServer("a", "read", "mtl-a"))
			names := []Neighbour{neighbourNamed("entry-1", 5)}
			for j := range hosts - 1 {
				names = append(names, neighbourNamed("entry-3"+string(rune('a'+j)), 5))
			}
			r.deliverNeighbours(names...)
			r.advance(maxStaleness)
			r.step(StoreFailed{Reason: "refused"})
			for r.now < Instant(6*time.Second) {
				if count[WatchStore](r.advance(20*time.Millisecond)) > 0 {
					calls = append(calls, r.now)
					r.step(StoreFailed{Reason: "refused"})
				}
			}
		}
		slices.Sort(calls)
		last := Instant(maxStaleness)
		for _, at := range calls {
			Expect(at.Sub(last)).To(BeNumerically("<", longestGap), "after %v", time.Duration(last))
			last = at
		}
	})

	// Guards against a host that keeps servers which have left, since it noticed the end
	// of an outage later than others (rule DRAIN).
	ginkgo.DescribeTable("end the wait for expired entries with the host that noticed the recovery first", func(since time.Duration, ends bool) {
		r := newPropagationTestReducer("entry-2", 5)
		r.list(routing(1), storeServer("a", "read", "mtl-a"), storeServer("b", "read", "mtl-a"))
		r.deliverNeighbours(neighbourNamed("entry-1", 5))
		r.advance(maxStaleness)
		for range 2 {
			r.step(StoreFailed{Reason: "refused"})
			r.advance(minBackoffWithReader)
		}
		r.change(removed("a"), removed("b"))
		Expect(r.state.registry.pendingRemoval).To(HaveLen(2))
		r.step(NewsAnswered{Address: "entry-1:1", Answer: NewsAnswer{SinceRecovery: since}})
		r.advance(10 * time.Millisecond)
		Expect(r.upstreams("read")).To(HaveLen(map[bool]int{true: 0, false: 2}[ends]))
		relayed := responseOf(r, NewsAsk{From: neighbourNamed("entry-3", 5)}).SinceRecovery
		Expect(relayed).To(BeNumerically(">", 0))
		r.advance(expiryGrace)
		Expect(r.upstreams("read")).To(BeEmpty())
	},
		ginkgo.Entry("which was a grace period ago", expiryGrace, true),
		ginkgo.Entry("which has just noticed it", time.Millisecond, false),
		ginkgo.Entry("which did so before this host's calls failed", 3*time.Second, false),
	)

	// Guards against hosts that learn of the recovery from nobody, since their reader has
	// not noticed it itself.
	ginkgo.It("pass on the recovery that another host has noticed", func() {
		r := newPropagationTestReducer("entry-1", 5)
		r.list(routing(1), storeServer("a", "read", "mtl-a"))
		r.advance(watchBatchDelay)
		Expect(responseOf(r, NewsAsk{From: neighbourNamed("entry-2", 5)}).SinceRecovery).To(BeZero())
		r.step(StoreFailed{Reason: "refused"})
		r.advance(time.Second)
		r.step(NewsAsked{ID: 9, Ask: NewsAsk{From: neighbourNamed("entry-3", 5), NamesOnly: true, SinceRecovery: 500 * time.Millisecond}})
		r.advance(time.Second)
		Expect(responseOf(r, NewsAsk{From: neighbourNamed("entry-2", 5)}).SinceRecovery).To(Equal(1500 * time.Millisecond))
		r.advance(recoveryMemory)
		Expect(responseOf(r, NewsAsk{From: neighbourNamed("entry-2", 5)}).SinceRecovery).To(BeZero())
	})

	// Guards against a configuration that only the hosts know which the store serves,
	// while their servers are pending removal (rule CONFIG).
	ginkgo.It("notify their reader of a configuration while entries are pending removal", func() {
		r := newPropagationTestReducer("entry-2", 5)
		r.list(routing(1), storeServer("a", "read", "mtl-a"), storeServer("b", "read", "mtl-a"))
		r.deliverNeighbours(neighbourNamed("entry-1", 5))
		r.advance(maxStaleness)
		r.step(StoreFailed{Reason: "refused"})
		r.advance(minBackoffWithReader)
		r.change(removed("a"), removed("b"))
		r.revision++
		notified := notifications(r.step(StoreChanged{Revision: r.revision, Routing: routing(2)}))
		Expect(notified).To(HaveLen(1))
		Expect(notified[0].Ask.Routing).To(Equal(uint64(2)))
		response := responseOf(r, NewsAsk{From: neighbourNamed("entry-1", 5), After: 1, Routing: 1})
		Expect(response.Known).To(BeFalse())
		Expect(response.Routing.Version).To(Equal(uint64(2)))
	})

	// Guards against updates that reach no host but the one that the store serves, since
	// the reader that it notified is lost.
	ginkgo.It("notify the next reader if the notified one does not respond", func() {
		r := newPropagationTestReducer("entry-3", 5)
		r.list(routing(1), storeServer("a", "read", "mtl-a"))
		r.deliverNeighbours(neighbourNamed("entry-1", 5), neighbourNamed("entry-2", 5))
		r.advance(maxStaleness)
		notified := notifications(r.change(removed("a")))
		Expect(notified).To(ConsistOf(HaveField("Address", "entry-1:1")))
		next := notifications(r.step(NewsAnswered{Address: "entry-1:1", Aside: true, Failed: true, Reason: "timeout"}))
		Expect(next).To(ConsistOf(HaveField("Address", "entry-2:1")))
		Expect(notifications(r.step(NewsAnswered{Address: "entry-1:1", Aside: true, Failed: true, Reason: "timeout"}))).To(BeEmpty())
	})

	// Guards against a listing at full price after each restart, where a stale one is
	// enough at first, and against a host that keeps using the stale one.
	ginkgo.It("accept a stale listing at a restart, and confirm it", func() {
		r := &storeTestReducer{testReducer: &testReducer{state: New()}}
		Expect(firstEffect[ListStore](r.startPropagation("entry-2", 5)).Stale).To(BeTrue())
		r.deliverNeighbours(neighbourNamed("entry-1", 5))
		r.step(StoreListed{Revision: 1, Stale: true, Routing: routing(1), Servers: []ServerChange{{ID: "a", Server: new(storeServer("a", "read", "mtl-a"))}}})
		Expect(r.state.ready).To(BeTrue())
		Expect(r.state.storeStaleness()).To(Equal(unconfirmedStaleness))
		Expect(count[WatchStore](r.advance(watchBatchDelay))).To(BeZero())
		Expect(count[WatchStore](r.advance(maxStaleness))).To(Equal(1))
		r.step(StoreFailed{HistoryGone: true})
		Expect(firstEffect[ListStore](r.advance(watchBatchDelay)).Stale).To(BeFalse())
	})

	// Guards against one listing per host when a deployment starts.
	ginkgo.It("wait for their reader at the first start", func() {
		r := &storeTestReducer{testReducer: &testReducer{state: New()}}
		registry := registrySettings()
		registry.Address, registry.Seeds, registry.FirstStart = "entry-2:1", []string{"seed:1"}, true
		r.step(Start{Host: "entry-2", Region: "mtl", FailureDomain: "mtl-a", Seed: 1, Registry: registry})
		r.deliverNeighbours(neighbourNamed("entry-1", 5))
		Expect(count[ListStore](r.advance(2 * firstStartStoreDelay))).To(BeZero())
		Expect(count[ListStore](r.advance(maxStaleness))).To(Equal(1))
	})

	// Guards against older updates that revert newer ones.
	ginkgo.It("ignore updates of an older revision than their own", func() {
		r := newPropagationTestReducer("entry-2", 5)
		r.list(routing(2), storeServer("a", "read", "mtl-a"))
		r.change(ServerChange{ID: "b", Server: new(storeServer("b", "read", "mtl-a"))})
		r.deliverNeighbours(neighbourNamed("entry-1", 5))
		r.step(NewsAnswered{Address: "entry-1:1", Answer: NewsAnswer{Known: true, Whole: true, Revision: 1}})
		Expect(r.upstreams("read")).To(Equal([]string{"a", "b"}))
	})

	// Guards against a response of the store that was overtaken by another host: after
	// a restart, a stale listing made a leaving server ready again for good.
	ginkgo.DescribeTable("ignore a response of the store that their updates have overtaken", func(overtaken Event) {
		ready, leaving := storeServer("a", "read", "mtl-a"), storeServer("a", "read", "mtl-a")
		leaving.Leaving = true
		reader := newPropagationTestReducer("entry-1", 5)
		reader.revision = 4
		reader.list(routing(2), leaving, storeServer("b", "read", "mtl-a"))

		r := newPropagationTestReducer("entry-2", 5)
		if _, changed := overtaken.(StoreChanged); changed {
			r.list(routing(1), ready)
			r.advance(watchBatchDelay)
		}
		Expect(r.state.registry.calls.pending).To(HaveLen(1))
		poll := firstEffect[AskNews](r.deliverNeighbours(neighbourNamed("entry-1", 5))).Ask
		r.step(NewsAnswered{Address: "entry-1:1", Answer: responseOf(reader, poll)})
		staleness := r.state.storeStaleness()
		r.step(overtaken)
		Expect(r.upstreams("read")).To(Equal([]string{"b"}))
		Expect(r.state.registry.revision).To(Equal(uint64(5)))
		Expect(r.state.storeStaleness()).To(Equal(staleness))

		calls := r.advance(maxStaleness)
		Expect(firstEffect[WatchStore](calls).After).To(Equal(uint64(5)))
		Expect(count[ListStore](calls)).To(BeZero())
	},
		ginkgo.Entry("a stale listing", StoreListed{Revision: 3, Stale: true, Routing: routing(1), Servers: []ServerChange{
			{ID: "a", Server: new(storeServer("a", "read", "mtl-a"))},
		}}),
		ginkgo.Entry("a listing", StoreListed{Revision: 4, Routing: routing(2), Servers: []ServerChange{
			{ID: "a", Server: new(storeServer("a", "read", "mtl-a"))},
		}}),
		ginkgo.Entry("the changes of a watch", StoreChanged{Revision: 4, Servers: []ServerChange{
			{ID: "a", Server: new(storeServer("a", "read", "mtl-a"))},
		}}),
	)

	// Guards against a restarted host whose stale listing is newer than the state of its
	// reader, and that polls the reader again without a pause until that has caught up.
	ginkgo.It("pause before they poll a reader with older state again", func() {
		reader, r := newPropagationTestReducer("entry-1", 5), newPropagationTestReducer("entry-2", 5)
		reader.list(routing(1), storeServer("a", "read", "mtl-a"))
		poll := firstEffect[AskNews](r.deliverNeighbours(neighbourNamed("entry-1", 5))).Ask
		r.step(StoreListed{Revision: 9, Stale: true, Routing: routing(1)})
		answer := NewsAnswered{Address: "entry-1:1", Answer: responseOf(reader, poll)}
		Expect(count[AskNews](r.step(answer))).To(BeZero())
		Expect(count[AskNews](r.advance(minSeedInterval - 1))).To(BeZero())
		Expect(firstEffect[AskNews](r.advance(1)).Address).To(Equal("entry-1:1"))
		Expect(r.state.registry.revision).To(Equal(uint64(9)))
	})

	// Guards against servers that left before a reader started: it never knew
	// them and could not report them as removed.
	ginkgo.It("replace the state of other hosts after a listing", func() {
		member, reader := newPropagationTestReducer("entry-2", 5), newPropagationTestReducer("entry-1", 5)
		member.list(routing(1), storeServer("a", "read", "mtl-a"), storeServer("b", "read", "mtl-a"))
		poll := firstEffect[AskNews](member.deliverNeighbours(neighbourNamed("entry-1", 5))).Ask
		reader.revision = 7
		reader.list(routing(1), storeServer("a", "read", "mtl-a"))
		member.step(NewsAnswered{Address: "entry-1:1", Answer: responseOf(reader, poll)})
		Expect(member.upstreams("read")).To(Equal([]string{"a"}))
	})

	// Guards against a server that a reader removed without a change of the
	// store and that other hosts keep.
	ginkgo.It("propagate the removal of expired entries", func() {
		reader := newPropagationTestReducer("entry-1", 5)
		servers := []Server{storeServer("a", "read", "mtl-a"), storeServer("b", "read", "mtl-a"), storeServer("c", "read", "mtl-a")}
		reader.list(routing(1), servers...)
		reader.advance(watchBatchDelay)
		reader.step(StoreFailed{Reason: "reset"})
		reader.advance(maxStoreBackoff)
		reader.list(routing(1), servers[2])
		Expect(reader.upstreams("read")).To(HaveLen(3))
		reader.step(NewsAsked{ID: 7, Ask: NewsAsk{From: neighbourNamed("entry-2", 5), After: reader.revision, Routing: 1, Wait: pollWait}})
		update := firstEffect[AnswerNews](reader.advance(expiryGrace))
		Expect(update.ID).To(Equal(uint64(7)))
		Expect(update.Answer.Servers).To(ConsistOf(
			ServerChange{ID: "a", Revision: reader.revision}, ServerChange{ID: "b", Revision: reader.revision}))
	})

	// Guards against memory use that grows with the polls of other hosts.
	ginkgo.It("bound the state that other hosts make them store", func() {
		r := newPropagationTestReducer("entry-1", 5)
		r.list(routing(1), storeServer("a", "read", "mtl-a"))
		for i := range 2 * maxPendingPolls {
			r.step(NewsAsked{ID: uint64(i), Ask: NewsAsk{After: r.revision, Routing: 1, Wait: time.Hour}})
		}
		Expect(len(r.state.registry.propagation.pendingPolls)).To(BeNumerically("<=", maxPendingPolls))
		Expect(count[AnswerNews](r.advance(pollWait))).To(Equal(maxPendingPolls))
		for i := range 2 * maxNeighbours {
			r.step(NewsAsked{Ask: NewsAsk{From: neighbourNamed(string(rune(0x4e00+i)), 1), NamesOnly: true}})
		}
		Expect(len(r.state.registry.propagation.neighbours)).To(Equal(maxNeighbours))
	})

	// Guards against changed settings that never reach the process.
	ginkgo.It("apply changed seeds", func() {
		r := newPropagationTestReducer("entry-1", 5)
		changed := registrySettings()
		changed.Seeds = []string{"other:1"}
		r.step(SettingsChanged{Registry: changed})
		Expect(firstEffect[AskNews](r.advance(time.Millisecond)).Address).To(Equal("other:1"))
		Expect(r.state.self.Registry.Address).To(Equal("entry-1:1"))
	})
})

var _ = ginkgo.Describe("the log entry of a request", func() {
	requestEntry := func(effects []Effect) map[string]string {
		for _, effect := range effects {
			if l, ok := effect.(Log); ok {
				fields := map[string]string{"message": l.Message}
				for _, f := range l.Fields {
					fields[f.Key] = f.Value
				}
				if fields["request"] != "" {
					return fields
				}
			}
		}
		return nil
	}

	// Guards against a failed request whose cause appears in no log entry.
	ginkgo.It("explains the outcome of a request that failed or was late", func() {
		r := newConfiguredStoreTestReducer(storeServer("a", "read", "mtl-a"), storeServer("d", "write", "mtl-a"))
		r.lastID++
		arrival := RequestArrived{ID: r.lastID, Name: "order-7", BodyKept: true}
		arrival.Request.Method, arrival.Request.Host, arrival.Request.Path = "POST", "h", "/order/x"
		order := firstEffect[StartAttempt](r.step(arrival))
		r.now = r.now.Add(40 * time.Millisecond)
		failed := requestEntry(r.finishAttempt(order, reset))
		Expect(failed).To(HaveKeyWithValue("request", "order-7"))
		Expect(failed).To(HaveKeyWithValue("outcome", "failed"))
		Expect(failed).To(HaveKeyWithValue("reason", "reset"))
		Expect(failed["attempts"]).To(ContainSubstring("d at 0.0ms"))
		Expect(failed["attempts"]).To(ContainSubstring("unknown (reset) after 40.0ms"))
		lookup := firstEffect[StartAttempt](r.arrive("/lookup/x"))
		Expect(requestEntry(r.finishAttempt(lookup, success))).To(BeNil())
		lookup = firstEffect[StartAttempt](r.arrive("/lookup/x"))
		r.now = r.now.Add(400 * time.Millisecond)
		Expect(requestEntry(r.finishAttempt(lookup, success))).To(HaveKeyWithValue("outcome", "late"))
	})

	// Guards against logging that adds to an overload.
	ginkgo.It("is rate limited, and counted beyond the limit", func() {
		r := newConfiguredStoreTestReducer()
		entries, omitted := 0, 0
		for range 3 * problemEntriesPerSecond {
			effects := r.arrive("/lookup/x")
			if requestEntry(effects) != nil {
				entries++
			}
			for _, effect := range effects {
				if c, ok := effect.(Count); ok && c.Counter == CounterLogEntriesOmitted {
					omitted++
				}
			}
		}
		Expect(entries).To(Equal(problemEntriesPerSecond))
		Expect(omitted).To(Equal(2 * problemEntriesPerSecond))
	})
})
