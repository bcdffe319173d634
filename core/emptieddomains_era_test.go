package core

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = ginkgo.Describe("an emptied failure domain while the store comes back from a copy", func() {
	mark := func(era, revision uint64) DomainMark {
		return DomainMark{Domain: "mtl-a", Emptied: true, Era: era, Revision: revision}
	}
	servers := func() []ServerChange {
		return []ServerChange{eraServer("a", 50, 1, false), eraServer("b", 51, 1, false)}
	}
	listed := func(era, revision uint64, marks ...DomainMark) StoreListed {
		return StoreListed{Era: era, Revision: revision, Routing: routing(1), Servers: servers(), Domains: marks}
	}
	// lostMark returns a host for which the domain is emptied as of era 1, and whose
	// store has come back in era 2 without the mark.
	lostMark := func() *storeTestReducer {
		r := newStoreTestReducer(defaultRegistry)
		r.step(listed(1, 100, mark(1, 90)))
		Expect(r.state.domainEmptied("mtl-a")).To(BeTrue())
		r.step(StoreFailed{HistoryGone: true, Era: 2})
		r.step(listed(2, 80))
		return r
	}

	// Guards against requests to a domain whose mark the copy lacks, before the
	// operators have written it again.
	ginkgo.It("stays emptied until the operators can have written the mark again", func() {
		r := lostMark()
		Expect(r.state.domainEmptied("mtl-a")).To(BeTrue())
		r.step(StoreChanged{Era: 2, Revision: 85, Domains: []DomainMark{mark(2, 85)}})
		r.advance(2 * domainLossGrace)
		Expect(r.state.domainEmptied("mtl-a")).To(BeTrue())
	})

	// Guards against a domain that stays emptied for good because its removal was lost.
	ginkgo.It("is taken back if the mark does not return", func() {
		r := lostMark()
		watching := false
		for end := r.now.Add(domainLossGrace + 5*time.Second); r.now.Before(end); {
			effects := r.advance(100 * time.Millisecond)
			if watching {
				effects = append(effects, r.step(StoreChanged{Era: 2, Revision: 82})...)
				watching = false
			}
			if count[ListStore](effects) > 0 {
				effects = append(effects, r.step(listed(2, 82))...)
			}
			watching = watching || count[WatchStore](effects) > 0
		}
		Expect(r.state.domainEmptied("mtl-a")).To(BeFalse())
	})

	// Guards against a restarted host that knows only the copy: its listing would take
	// the domain back for all others.
	ginkgo.It("stays emptied when a host that has not seen the mark hears of it", func() {
		r := newStoreTestReducer(defaultRegistry)
		r.step(listed(2, 80))
		Expect(r.state.domainEmptied("mtl-a")).To(BeFalse())
		r.step(NewsAsked{ID: 1, Ask: NewsAsk{From: neighbourNamed("other", 1), Era: 2, After: 80, Domains: []DomainMark{mark(1, 90)}}})
		Expect(r.state.domainEmptied("mtl-a")).To(BeTrue())
		r.step(listed(2, 81))
		Expect(r.state.domainEmptied("mtl-a")).To(BeTrue())
	})
})
