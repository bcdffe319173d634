package core

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// talking returns a host of mtl-a that talks to others.
func talking(host string, capacity int) *storeBench {
	b := &storeBench{testReducer: &testReducer{state: New()}}
	b.startTalking(host, capacity)
	return b
}

func (b *storeBench) startTalking(host string, capacity int) []Effect {
	registry := registrySettings()
	registry.Address, registry.Capacity = host+":1", capacity
	registry.Seeds = []string{"seed:1", host + ":1"}
	return b.step(Start{Host: host, Region: "mtl", FailureDomain: "mtl-a", Seed: 1, Registry: registry})
}

func neighbourNamed(host string, capacity int) Neighbour {
	return Neighbour{Host: host, Address: host + ":1", FailureDomain: "mtl-a", Capacity: capacity}
}

// told reports the answer of a seed that names neighbours.
func (b *storeBench) told(names ...Neighbour) []Effect {
	return b.step(NewsAnswered{Address: "seed:1", Answer: NewsAnswer{Neighbours: names}})
}

// tells returns the questions that only say what a host knows.
func tells(effects []Effect) []AskNews {
	var found []AskNews
	for _, effect := range effects {
		if ask, ok := effect.(AskNews); ok && ask.Ask.NamesOnly && ask.Ask.After > 0 {
			found = append(found, ask)
		}
	}
	return found
}

// answerOf carries the answer of one host to a question of another.
func answerOf(from *storeBench, ask NewsAsk) NewsAnswer {
	return firstEffect[AnswerNews](from.step(NewsAsked{ID: 1, Ask: ask})).Answer
}

var _ = ginkgo.Describe("hosts that share the news of a store", func() {
	// Guards against calls to the store that grow with the number of hosts, and
	// against a failure domain in which nobody reads it.
	ginkgo.DescribeTable("agree on the reader", func(other Neighbour, reads bool) {
		b := talking("entry-2", 5)
		Expect(firstEffect[AskNews](b.told(other)).Address == other.Address).To(Equal(!reads))
		b.list(routing(1), simulatedHost("a", "read", "mtl-a"))
		Expect(count[WatchStore](b.advance(watchPause)) == 1).To(Equal(reads))
	},
		ginkgo.Entry("one with a higher capacity", neighbourNamed("entry-3", 6), false),
		ginkgo.Entry("one with a lower capacity", neighbourNamed("entry-1", 4), true),
		ginkgo.Entry("an equal one with an earlier name", neighbourNamed("entry-1", 5), false),
		ginkgo.Entry("the first of another failure domain", Neighbour{Host: "entry-1", Address: "entry-1:1", FailureDomain: "qc-a", Capacity: 9}, false),
		ginkgo.Entry("a lower one of another failure domain", Neighbour{Host: "entry-1", Address: "entry-1:1", FailureDomain: "qc-a", Capacity: 1}, true),
	)

	// Guards against changes that only the reader learns of.
	ginkgo.It("tells what changed, at once", func() {
		reader, member := talking("entry-1", 5), talking("entry-2", 5)
		reader.list(routing(1), simulatedHost("a", "read", "mtl-a"), simulatedHost("b", "read", "mtl-a"))
		ask := firstEffect[AskNews](member.told(neighbourNamed("entry-1", 5))).Ask
		answer := answerOf(reader, ask)
		Expect(answer.Whole).To(BeTrue())
		next := firstEffect[AskNews](member.step(NewsAnswered{Address: "entry-1:1", Answer: answer}))
		Expect(member.upstreams("read")).To(Equal([]string{"a", "b"}))
		Expect(member.state.ready).To(BeTrue())
		if next.Address == "" {
			next = firstEffect[AskNews](member.advance(newsPause))
		}
		Expect(count[AnswerNews](reader.step(NewsAsked{ID: 2, Ask: next.Ask}))).To(BeZero())
		leaving := simulatedHost("a", "read", "mtl-a")
		leaving.Leaving = true
		told := firstEffect[AnswerNews](reader.change(ServerChange{ID: "a", Server: &leaving}, gone("b")))
		Expect(told.ID).To(Equal(uint64(2)))
		Expect(told.Answer.Servers).To(HaveLen(2))
		member.step(NewsAnswered{Address: "entry-1:1", Answer: told.Answer})
		Expect(member.upstreams("read")).To(BeEmpty())
	})

	// Guards against a host that is ready late after a restart.
	ginkgo.It("tells a host that starts, and lets it read the store meanwhile", func() {
		b := talking("entry-2", 5)
		Expect(b.state.registry.calling).To(BeTrue())
		b.told(neighbourNamed("entry-1", 5))
		reader := talking("entry-1", 5)
		reader.list(routing(3), simulatedHost("a", "read", "mtl-a"))
		b.step(NewsAnswered{Address: "entry-1:1", Answer: answerOf(reader, NewsAsk{})})
		Expect(b.state.ready).To(BeTrue())
		b.step(StoreFailed{Reason: "refused"})
		Expect(b.upstreams("read")).To(Equal([]string{"a"}))
	})

	// Guards against a change that is late since the reader is dead, cut off
	// from the store, or silent.
	ginkgo.DescribeTable("do not rely on a reader whose news are old", func(end func(b *storeBench)) {
		b := talking("entry-2", 5)
		b.list(routing(1), simulatedHost("a", "read", "mtl-a"))
		b.told(neighbourNamed("entry-1", 5))
		end(b)
		const bound = 2 * time.Second
		calls := 0
		for b.now < Instant(bound-100*time.Millisecond) && calls == 0 {
			calls += count[WatchStore](b.advance(20 * time.Millisecond))
		}
		Expect(calls).To(Equal(1))
	},
		ginkgo.Entry("when it does not answer", func(*storeBench) {}),
		ginkgo.Entry("when it refuses", func(b *storeBench) {
			b.step(NewsAnswered{Address: "entry-1:1", Failed: true, Reason: "refused"})
		}),
		ginkgo.Entry("when it cannot read the store itself", func(b *storeBench) {
			b.step(NewsAnswered{Address: "entry-1:1", Answer: NewsAnswer{Known: true, Revision: b.revision, Age: time.Minute}})
		}),
	)

	// Guards against hosts that each read the store for themselves, or know
	// nothing, when it turns away the one that reads it for them.
	ginkgo.It("feed a reader that the store turns away", func() {
		reader, member, other := talking("entry-1", 5), talking("entry-2", 5), talking("entry-3", 5)
		for _, b := range []*storeBench{reader, member, other} {
			b.list(routing(1), simulatedHost("a", "read", "mtl-a"))
		}
		member.told(neighbourNamed("entry-1", 5))
		other.told(neighbourNamed("entry-1", 5))
		reader.step(StoreFailed{Reason: "refused"})
		for _, b := range []*storeBench{reader, member, other} {
			b.now = Instant(newsLimit)
		}
		reader.step(NewsAsked{ID: 7, Ask: NewsAsk{From: neighbourNamed("entry-3", 5), After: 1, Routing: 1, Wait: newsWait, Age: newsLimit}})
		leaving := simulatedHost("a", "read", "mtl-a")
		leaving.Leaving = true
		said := tells(member.change(ServerChange{ID: "a", Server: &leaving}))
		Expect(said).To(ConsistOf(HaveField("Address", "entry-1:1")))
		asksBack := firstEffect[AskNews](reader.step(NewsAsked{ID: 8, Ask: said[0].Ask}))
		Expect(asksBack.Address).To(Equal("entry-2:1"))
		effects := reader.step(NewsAnswered{Address: "entry-2:1", Aside: true, Answer: answerOf(member, asksBack.Ask)})
		Expect(reader.upstreams("read")).To(BeEmpty())
		var told AnswerNews
		for _, effect := range effects {
			if answer, ok := effect.(AnswerNews); ok && answer.ID == 7 {
				told = answer
			}
		}
		other.step(NewsAnswered{Address: "entry-1:1", Answer: told.Answer})
		Expect(other.upstreams("read")).To(BeEmpty())
		Expect(other.state.newsAge()).To(BeNumerically("<", newsOld))
	})

	// Guards against servers that stay in use everywhere since the host that
	// noticed that their entries are gone told of it too early.
	ginkgo.It("tell nothing of entries that may have lapsed", func() {
		b := talking("entry-2", 5)
		b.list(routing(1), simulatedHost("a", "read", "mtl-a"), simulatedHost("b", "read", "mtl-a"))
		b.told(neighbourNamed("entry-1", 5))
		b.advance(newsLimit)
		b.step(StoreFailed{Reason: "refused"})
		b.advance(memberCallPause)
		Expect(tells(b.change(gone("a"), gone("b")))).To(BeEmpty())
		Expect(tells(b.advance(lapseGrace))).To(HaveLen(1))
	})

	// Guards against calls that grow with the number of hosts while the store is
	// down for all of them.
	ginkgo.It("call a store that is down no more often than one host alone", func() {
		const hosts, outage = 20, 10 * time.Second
		calls := 0
		for i := range hosts {
			b := talking("entry-2", 5)
			b.state.random.state = uint64(i)
			b.list(routing(1), simulatedHost("a", "read", "mtl-a"))
			names := []Neighbour{neighbourNamed("entry-1", 5)}
			for j := range hosts {
				names = append(names, neighbourNamed("entry-3"+string(rune('a'+j)), 5))
			}
			b.told(names...)
			for b.now < Instant(outage) {
				if count[WatchStore](b.advance(20*time.Millisecond)) > 0 {
					calls++
					b.step(StoreFailed{Reason: "refused"})
				}
			}
		}
		alone := int(outage / (lastStorePause / 2))
		Expect(calls).To(BeNumerically("<=", hosts+alone))
	})

	// Guards against a full price for what a restarted host learns anew, and
	// against a host that goes on with it.
	ginkgo.It("take a stale listing at a restart, and confirm it", func() {
		b := &storeBench{testReducer: &testReducer{state: New()}}
		Expect(firstEffect[ListStore](b.startTalking("entry-2", 5)).Stale).To(BeTrue())
		b.told(neighbourNamed("entry-1", 5))
		b.step(StoreListed{Revision: 1, Stale: true, Routing: routing(1), Servers: []ServerChange{{ID: "a", Server: new(simulatedHost("a", "read", "mtl-a"))}}})
		Expect(b.state.ready).To(BeTrue())
		Expect(b.state.newsAge()).To(Equal(neverHeard))
		Expect(count[WatchStore](b.advance(watchPause))).To(BeZero())
		Expect(count[WatchStore](b.advance(newsLimit))).To(Equal(1))
		b.step(StoreFailed{HistoryGone: true})
		Expect(firstEffect[ListStore](b.advance(watchPause)).Stale).To(BeFalse())
	})

	// Guards against a listing for each host when a deployment starts.
	ginkgo.It("wait for their reader at the first start", func() {
		b := &storeBench{testReducer: &testReducer{state: New()}}
		registry := registrySettings()
		registry.Address, registry.Seeds, registry.FirstStart = "entry-2:1", []string{"seed:1"}, true
		b.step(Start{Host: "entry-2", Region: "mtl", FailureDomain: "mtl-a", Seed: 1, Registry: registry})
		b.told(neighbourNamed("entry-1", 5))
		Expect(count[ListStore](b.advance(2 * peersBeforeStore))).To(BeZero())
		Expect(count[ListStore](b.advance(newsLimit))).To(Equal(1))
	})

	// Guards against older news that undo newer ones.
	ginkgo.It("take no news that are behind their own", func() {
		b := talking("entry-2", 5)
		b.list(routing(2), simulatedHost("a", "read", "mtl-a"))
		b.change(ServerChange{ID: "b", Server: new(simulatedHost("b", "read", "mtl-a"))})
		b.told(neighbourNamed("entry-1", 5))
		b.step(NewsAnswered{Address: "entry-1:1", Answer: NewsAnswer{Known: true, Whole: true, Revision: 1}})
		Expect(b.upstreams("read")).To(Equal([]string{"a", "b"}))
	})

	// Guards against servers that left before a reader started, which it never
	// knew and could not report as gone.
	ginkgo.It("replace what others know after a listing", func() {
		member, reader := talking("entry-2", 5), talking("entry-1", 5)
		member.list(routing(1), simulatedHost("a", "read", "mtl-a"), simulatedHost("b", "read", "mtl-a"))
		ask := firstEffect[AskNews](member.told(neighbourNamed("entry-1", 5))).Ask
		reader.revision = 7
		reader.list(routing(1), simulatedHost("a", "read", "mtl-a"))
		member.step(NewsAnswered{Address: "entry-1:1", Answer: answerOf(reader, ask)})
		Expect(member.upstreams("read")).To(Equal([]string{"a"}))
	})

	// Guards against a server that a reader dropped without a change of the
	// store and that others keep.
	ginkgo.It("tell of entries that did not come back", func() {
		reader := talking("entry-1", 5)
		servers := []Server{simulatedHost("a", "read", "mtl-a"), simulatedHost("b", "read", "mtl-a"), simulatedHost("c", "read", "mtl-a")}
		reader.list(routing(1), servers...)
		reader.advance(watchPause)
		reader.step(StoreFailed{Reason: "reset"})
		reader.advance(lastStorePause)
		reader.list(routing(1), servers[2])
		Expect(reader.upstreams("read")).To(HaveLen(3))
		reader.step(NewsAsked{ID: 7, Ask: NewsAsk{From: neighbourNamed("entry-2", 5), After: reader.revision, Routing: 1, Wait: newsWait}})
		told := firstEffect[AnswerNews](reader.advance(lapseGrace))
		Expect(told.ID).To(Equal(uint64(7)))
		Expect(told.Answer.Servers).To(ConsistOf(gone("a"), gone("b")))
	})

	// Guards against memory that grows with what others ask.
	ginkgo.It("bound what others make them remember", func() {
		b := talking("entry-1", 5)
		b.list(routing(1), simulatedHost("a", "read", "mtl-a"))
		for i := range 2 * maxHeldNews {
			b.step(NewsAsked{ID: uint64(i), Ask: NewsAsk{After: b.revision, Routing: 1, Wait: time.Hour}})
		}
		Expect(len(b.state.registry.news.held)).To(BeNumerically("<=", maxHeldNews))
		Expect(count[AnswerNews](b.advance(newsWait))).To(Equal(maxHeldNews))
		for i := range 2 * maxNeighbours {
			b.step(NewsAsked{Ask: NewsAsk{From: neighbourNamed(string(rune(0x4e00+i)), 1), NamesOnly: true}})
		}
		Expect(len(b.state.registry.news.neighbours)).To(Equal(maxNeighbours))
	})

	// Guards against settings that change and never reach the process.
	ginkgo.It("take over changed seeds", func() {
		b := talking("entry-1", 5)
		changed := registrySettings()
		changed.Seeds = []string{"other:1"}
		b.step(SettingsChanged{Registry: changed})
		Expect(firstEffect[AskNews](b.advance(time.Millisecond)).Address).To(Equal("other:1"))
		Expect(b.state.self.Registry.Address).To(Equal("entry-1:1"))
	})
})

var _ = ginkgo.Describe("the log line of a request", func() {
	line := func(effects []Effect) map[string]string {
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

	// Guards against a failed request whose cause no line shows.
	ginkgo.It("tells what decided a request that does not go well", func() {
		b := attemptStart(simulatedHost("a", "read", "mtl-a"), simulatedHost("d", "write", "mtl-a"))
		b.lastID++
		arrival := RequestArrived{ID: b.lastID, Name: "order-7", BodyKept: true}
		arrival.Request.Method, arrival.Request.Host, arrival.Request.Path = "POST", "h", "/order/x"
		order := firstEffect[StartAttempt](b.step(arrival))
		b.now = b.now.Add(40 * time.Millisecond)
		failed := line(b.finishAttempt(order, reset))
		Expect(failed).To(HaveKeyWithValue("request", "order-7"))
		Expect(failed).To(HaveKeyWithValue("outcome", "failed"))
		Expect(failed).To(HaveKeyWithValue("reason", "reset"))
		Expect(failed["attempts"]).To(ContainSubstring("d at 0.0ms"))
		Expect(failed["attempts"]).To(ContainSubstring("unknown (reset) after 40.0ms"))
		lookup := firstEffect[StartAttempt](b.arrive("/lookup/x"))
		Expect(line(b.finishAttempt(lookup, success))).To(BeNil())
		lookup = firstEffect[StartAttempt](b.arrive("/lookup/x"))
		b.now = b.now.Add(400 * time.Millisecond)
		Expect(line(b.finishAttempt(lookup, success))).To(HaveKeyWithValue("outcome", "late"))
	})

	// Guards against logging that adds to an overload.
	ginkgo.It("is bounded in a second, and counted beyond", func() {
		b := attemptStart()
		lines, left := 0, 0
		for range 3 * problemEntriesPerSecond {
			effects := b.arrive("/lookup/x")
			if line(effects) != nil {
				lines++
			}
			for _, effect := range effects {
				if c, ok := effect.(Count); ok && c.Counter == CounterLogEntriesOmitted {
					left++
				}
			}
		}
		Expect(lines).To(Equal(problemEntriesPerSecond))
		Expect(left).To(Equal(2 * problemEntriesPerSecond))
	})
})
