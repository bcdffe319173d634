package core

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// eraServer returns the entry of a server with the given revision and sequence.
func eraServer(id string, revision, sequence uint64, leaving bool) ServerChange {
	s := storeServer(id, "read", "mtl-a")
	s.Sequence, s.Leaving = sequence, leaving
	return ServerChange{ID: id, Server: &s, Revision: revision}
}

// newEraReducer returns a reducer at revision 120 of era 1: server a is ready, b is
// leaving, c was removed at revision 119, and d, e, f and g are ready since before
// revision 90.
func newEraReducer() *storeTestReducer {
	r := newPropagationTestReducer("entry-2", 5)
	r.step(StoreListed{Era: 1, Revision: 118, Routing: routing(7), Servers: []ServerChange{
		eraServer("a", 110, 3, false), eraServer("b", 80, 4, false), eraServer("c", 70, 5, false),
		eraServer("d", 60, 1, false), eraServer("e", 61, 1, false), eraServer("f", 62, 1, false), eraServer("g", 63, 1, false),
	}})
	r.advance(watchBatchDelay)
	r.step(StoreChanged{Era: 1, Revision: 120, Servers: []ServerChange{
		{ID: "c", Revision: 119}, eraServer("b", 120, 6, true),
	}})
	Expect(r.upstreams("read")).To(Equal([]string{"a", "d", "e", "f", "g"}))
	return r
}

// copied returns the entries of the copy of revision 90.
func copied() []ServerChange {
	return []ServerChange{
		eraServer("b", 80, 4, false), eraServer("c", 70, 5, false),
		eraServer("d", 60, 1, false), eraServer("e", 61, 1, false), eraServer("f", 62, 1, false), eraServer("g", 63, 1, false),
	}
}

var _ = ginkgo.Describe("a store that comes back from a copy", func() {
	// listedAgain reports that the store is in era 2, and returns the reducer after
	// the listing that follows.
	listedAgain := func() *storeTestReducer {
		r := newEraReducer()
		r.advance(watchBatchDelay)
		list := firstEffect[ListStore](r.step(StoreFailed{HistoryGone: true, Era: 2}))
		Expect(list.Stale).To(BeFalse())
		r.step(StoreListed{Era: 2, Revision: 92, Routing: routing(5), Servers: copied()})
		return r
	}

	// Guards against a host that takes the revisions of the copy for outdated and never
	// follows the store again, and against a version that goes back.
	ginkgo.It("is followed from the copy's revisions on, and keeps the version", func() {
		r := listedAgain()
		Expect(r.state.inForce().Generation).To(Equal(uint64(7)))
		Expect(firstEffect[WatchStore](r.advance(watchBatchDelay)).After).To(Equal(uint64(92)))
		r.step(StoreChanged{Era: 2, Revision: 93, Servers: []ServerChange{eraServer("h", 93, 1, false)}})
		Expect(r.upstreams("read")).To(ContainElement("h"))
		Expect(r.state.status().Store).To(And(HaveField("Era", uint64(2)), HaveField("Revision", uint64(93))))
	})

	// Guards against a server that is out of use until it registers again, since the
	// copy lacks its entry, and against one that stays in use although it does not.
	ginkgo.It("keeps the servers in use that the copy lacks, for the time in which they are registered again", func() {
		r := listedAgain()
		Expect(r.upstreams("read")).To(Equal([]string{"a", "d", "e", "f", "g"}))
		r.advance(expiryGrace - TickInterval)
		Expect(r.upstreams("read")).To(ContainElement("a"))
		r.advance(2 * TickInterval)
		Expect(r.upstreams("read")).To(Equal([]string{"d", "e", "f", "g"}))

		r = listedAgain()
		r.advance(watchBatchDelay)
		r.step(StoreChanged{Era: 2, Revision: 93, Servers: []ServerChange{eraServer("a", 93, 4, false)}})
		r.advance(2 * expiryGrace)
		Expect(r.upstreams("read")).To(ContainElement("a"))
	})

	// Guards against a server that left or was removed in the old era and that the copy
	// still holds as ready. A write in the new era brings it back.
	ginkgo.It("brings back what has left only by a later write", func() {
		r := listedAgain()
		Expect(r.upstreams("read")).NotTo(ContainElements("b"))
		Expect(r.upstreams("read")).NotTo(ContainElements("c"))
		Expect(r.state.status().Store.Withheld).To(ConsistOf("c"))
		// A second listing reports the same writes.
		r.step(StoreListed{Era: 2, Revision: 94, Routing: routing(5), Servers: copied()})
		Expect(r.upstreams("read")).To(Equal([]string{"a", "d", "e", "f", "g"}))
		r.advance(watchBatchDelay)
		r.step(StoreChanged{Era: 2, Revision: 96, Servers: []ServerChange{eraServer("b", 95, 7, false), eraServer("c", 96, 6, false)}})
		Expect(r.upstreams("read")).To(ContainElements("b", "c"))
		Expect(r.state.status().Store.Withheld).To(BeEmpty())
	})

	// Guards against a running server that stays out of use for good: its removal was
	// due to a cut link, and its entry in the copy is right, so that it is not written.
	ginkgo.It("uses a withheld entry once its server would have been removed again", func() {
		r := listedAgain()
		r.advance(withheldFor - TickInterval)
		Expect(r.upstreams("read")).NotTo(ContainElement("c"))
		r.advance(2 * TickInterval)
		Expect(r.upstreams("read")).To(ContainElement("c"))

		gone := listedAgain()
		gone.step(StoreListed{Era: 2, Revision: 94, Servers: append(copied()[:1], copied()[2:]...)})
		gone.advance(withheldFor + 2*TickInterval)
		Expect(gone.upstreams("read")).NotTo(ContainElement("c"))
	})

	// Guards against a host that continues after the changes that it knows, although
	// the store has given out their revisions again.
	ginkgo.It("is listed if a watch from the old era returns changes of the new one", func() {
		r := newEraReducer()
		r.advance(watchBatchDelay)
		effects := r.step(StoreChanged{Era: 2, Revision: 125, Servers: []ServerChange{eraServer("h", 125, 1, false)}})
		Expect(count[ListStore](effects)).To(Equal(1))
		Expect(r.upstreams("read")).To(Equal([]string{"a", "d", "e", "f", "g"}))
		Expect(r.state.registry.era).To(Equal(uint64(1)))
	})

	// Guards against a host that hears of the new era from another host first, and then
	// takes its own late response of the old era for a newer one.
	ginkgo.It("is right on a host that hears of it from another host", func() {
		other := listedAgain()
		other.advance(2 * expiryGrace)
		r := newEraReducer()
		r.advance(watchBatchDelay)
		Expect(r.state.registry.calls.pending).To(HaveLen(1))
		poll := firstEffect[AskNews](r.deliverNeighbours(neighbourNamed("entry-1", 9))).Ask
		Expect(poll.Era).To(Equal(uint64(1)))
		answer := responseOf(other, poll)
		Expect(answer).To(And(HaveField("Era", uint64(2)), HaveField("Whole", true)))
		r.step(NewsAnswered{Address: "entry-1:1", Answer: answer})
		Expect(r.state.registry.era).To(Equal(uint64(2)))
		Expect(r.upstreams("read")).To(Equal([]string{"a", "d", "e", "f", "g"}))
		r.step(StoreChanged{Era: 1, Revision: 122, Servers: []ServerChange{eraServer("c", 122, 9, false)}})
		Expect(r.upstreams("read")).To(Equal([]string{"a", "d", "e", "f", "g"}))
		Expect(r.state.registry.revision).To(Equal(uint64(92)))
		r.advance(2 * expiryGrace)
		Expect(r.upstreams("read")).To(Equal([]string{"d", "e", "f", "g"}))
	})

	// Guards against state of the old era that replaces that of the new one, since its
	// revision is higher, and against changes since a revision that means another state.
	ginkgo.DescribeTable("ignores what other hosts know", func(answer NewsAnswer) {
		r := listedAgain()
		r.step(NewsAnswered{Address: "entry-9:1", Answer: answer})
		Expect(r.state.registry.era).To(Equal(uint64(2)))
		Expect(r.state.registry.revision).To(Equal(uint64(92)))
		Expect(r.upstreams("read")).To(Equal([]string{"a", "d", "e", "f", "g"}))
	},
		ginkgo.Entry("of the old era", NewsAnswer{Known: true, Whole: true, Era: 1, Revision: 130, Servers: []ServerChange{eraServer("c", 125, 9, false)}}),
		ginkgo.Entry("without an era", NewsAnswer{Known: true, Whole: true, Revision: 130, Servers: []ServerChange{eraServer("c", 125, 9, false)}}),
		ginkgo.Entry("as changes in a later era", NewsAnswer{Known: true, Era: 3, Revision: 130, Servers: []ServerChange{eraServer("c", 125, 9, false)}}),
	)

	// Guards against polls that are answered again and again with entries that have not
	// changed, since the revisions of their changes are those of the old era.
	ginkgo.It("starts the changes for other hosts anew", func() {
		r := listedAgain()
		r.advance(2 * expiryGrace)
		r.advance(expiredRetention)
		poll := NewsAsk{From: neighbourNamed("entry-3", 1), Era: 2, After: r.state.registry.revision, Routing: 7, Wait: pollWait}
		Expect(count[AnswerNews](r.step(NewsAsked{ID: 1, Ask: poll}))).To(BeZero())
		answer := firstEffect[AnswerNews](r.step(StoreChanged{Era: 2, Revision: 97, Servers: []ServerChange{eraServer("h", 97, 1, false)}})).Answer
		Expect(answer.Whole).To(BeFalse())
		Expect(answer.Servers).To(ConsistOf(HaveField("ID", "h")))
	})

	// Guards against a listing of two eras that a starting host repeats with the same
	// copies.
	ginkgo.It("is listed without stale reads by a starting host that read pages of two eras", func() {
		r := newStoreTestReducer(defaultRegistry)
		Expect(firstEffect[ListStore](r.step(StoreFailed{HistoryGone: true, Era: 2})).Stale).To(BeFalse())
	})

	// Guards against a host that keeps lost servers in use for longer than others, since
	// it heard of the new era early and read it late.
	ginkgo.It("counts the time for lost servers from when the era was first heard of", func() {
		r := newEraReducer()
		r.step(NewsAsked{ID: 1, Ask: NewsAsk{From: neighbourNamed("entry-3", 1), NamesOnly: true, Era: 2, After: 92}})
		r.now = r.now.Add(expiryGrace - 100*time.Millisecond)
		r.step(StoreListed{Era: 2, Revision: 92, Routing: routing(5), Servers: copied()})
		Expect(r.upstreams("read")).To(ContainElement("a"))
		r.advance(100 * time.Millisecond)
		Expect(r.upstreams("read")).NotTo(ContainElement("a"))
	})
})
