package core

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"wisteriapond/outcome"
)

// storeWalk plays random events of a store, of other entry hosts and of traffic
// against one reducer, beside an oracle that knows what is registered, what may
// have run and what callers were told.
type storeWalk struct {
	*storeBench
	random *rand.Rand
	// registered are the servers by the last word of the store, and version the
	// highest one published.
	registered map[string]Server
	version    uint64
	// born is the last start of each server.
	born map[string]uint64
	// missing are the entries that went missing without a word of the server,
	// away says that the store does not answer, and returned when it did again.
	missing   map[string]Server
	away      bool
	returned  Instant
	running   []StartAttempt
	questions []StartProbe
	orders    map[RequestID]bool
	// sent counts the upstreams that a request may have reached, and ran the
	// runs that it may have had.
	sent  map[RequestID]int
	ran   map[RequestID]int
	ended map[RequestID]bool
	// arrivals counts requests, again the attempts after a first arrival.
	arrivals int
	again    int
}

// Guards against promises that hold for each event alone and break in some
// order of them.
var _ = ginkgo.Describe("random events of a store", func() {
	for seed := range uint64(12) {
		ginkgo.It("keep the promises to callers and operators", func() { newStoreWalk(seed).run(3000) })
	}
})

func newStoreWalk(seed uint64) *storeWalk {
	w := &storeWalk{
		storeBench: talking("entry-2", 5),
		random:     rand.New(rand.NewPCG(seed, 2)),
		registered: make(map[string]Server),
		missing:    make(map[string]Server),
		born:       make(map[string]uint64),
		orders:     make(map[RequestID]bool),
		sent:       make(map[RequestID]int),
		ran:        make(map[RequestID]int),
		ended:      make(map[RequestID]bool),
	}
	w.version = 1
	r := routing(1)
	r.Services[0].ProbePath = "/health"
	for i := range 5 {
		w.register(fmt.Sprint("s", i))
	}
	w.check(w.list(r, w.servers()...))
	return w
}

func (w *storeWalk) servers() []Server {
	var servers []Server
	for _, id := range sortedKeys(w.registered) {
		servers = append(servers, w.registered[id])
	}
	return servers
}

// register gives a server a random place, leaving at times.
func (w *storeWalk) register(id string) ServerChange {
	s := simulatedHost(id, []string{"read", "write"}[w.random.IntN(2)], []string{"mtl-a", "mtl-b", "qc-a"}[w.random.IntN(3)])
	w.born[id] += uint64(w.random.IntN(2))
	s.Born = w.born[id]
	s.Leaving = w.random.IntN(5) == 0
	w.registered[id] = s
	delete(w.missing, id)
	return ServerChange{ID: id, Server: &s}
}

func (w *storeWalk) run(steps int) {
	for range steps {
		w.now = w.now.Add(time.Duration(w.random.IntN(12)) * time.Millisecond)
		w.check(w.nextEvent())
	}
	for rounds := 0; len(w.state.requests) > 0; rounds++ {
		Expect(rounds).To(BeNumerically("<", 200), "requests that never end")
		w.now = w.now.Add(TickInterval)
		w.check(w.step(Tick{}))
		for len(w.running) > 0 {
			w.check(w.endOne())
		}
	}
	Expect(w.ended).To(HaveLen(w.arrivals))
	const percent, burst = 20, 3 // Two services, each with 1.4 attempts beyond its share.
	Expect(w.again).To(BeNumerically("<=", w.arrivals*percent/100+burst))
}

func (w *storeWalk) nextEvent() []Effect {
	switch w.random.IntN(16) {
	case 0, 1, 2, 3:
		w.arrivals++
		path := []string{"/lookup/x", "/order/x", "/file/x"}[w.random.IntN(3)]
		w.orders[w.lastID+1] = path == "/order/x"
		return w.arrive(path)
	case 4, 5, 6, 7:
		return w.endOne()
	case 8, 9:
		return w.answerQuestion()
	case 10:
		return w.changeStore()
	case 11:
		historyGone := w.random.IntN(3) == 0
		w.away = w.away || !historyGone
		return w.step(StoreFailed{Reason: "reset", HistoryGone: historyGone})
	case 12:
		return w.hearNews()
	case 13:
		return w.step(CallerGone{ID: RequestID(1 + w.random.IntN(int(w.lastID)+1))})
	}
	return w.step(Tick{})
}

// changeStore reports one change, or everything.
func (w *storeWalk) changeStore() []Effect {
	if w.away {
		w.away, w.returned = false, w.now
	}
	id := fmt.Sprint("s", w.random.IntN(7))
	switch w.random.IntN(5) {
	case 0:
		if s, registered := w.registered[id]; registered && !s.Leaving {
			w.missing[id] = s
		}
		delete(w.registered, id)
		return w.change(gone(id))
	case 1:
		delete(w.registered, id)
		delete(w.missing, id)
		return w.change(ServerChange{ID: id, Problem: "bytes that are no entry"})
	case 2:
		// The listing may be of an older version than the one in force.
		r := routing(w.version - uint64(w.random.IntN(int(min(w.version, 2)))))
		r.Services[0].ProbePath = "/health"
		return w.list(r, w.servers()...)
	case 3:
		w.version += uint64(1 + w.random.IntN(3))
		r := routing(w.version)
		r.Services[0].ProbePath = "/health"
		w.revision++
		return w.step(StoreChanged{Revision: w.revision, Routing: r})
	}
	return w.change(w.register(id))
}

// hearNews plays another entry host: one that asks, answers or fails.
func (w *storeWalk) hearNews() []Effect {
	other := neighbourNamed(fmt.Sprint("entry-", 1+w.random.IntN(3)), 5)
	switch w.random.IntN(4) {
	case 0:
		return w.step(NewsAsked{ID: 1, Ask: NewsAsk{From: other, After: uint64(w.random.IntN(int(w.revision + 1))), Wait: newsWait}})
	case 1:
		return w.step(NewsAnswered{Address: other.Address, Failed: true, Reason: "refused"})
	case 2:
		return w.step(NewsAnswered{Address: other.Address, Answer: NewsAnswer{Known: true, Revision: w.revision, Age: time.Duration(w.random.IntN(3000)) * time.Millisecond}})
	}
	// News that are behind must not undo what is known.
	return w.step(NewsAnswered{Address: other.Address, Answer: NewsAnswer{Known: true, Whole: true, Revision: w.revision / 2, Neighbours: []Neighbour{other}}})
}

func (w *storeWalk) answerQuestion() []Effect {
	if len(w.questions) == 0 {
		return w.step(Tick{})
	}
	i := w.random.IntN(len(w.questions))
	q := w.questions[i]
	w.questions = slices.Delete(w.questions, i, i+1)
	facts := outcome.Facts{Wrote: true, Status: 200, Load: -1, Told: outcome.LoadReport{
		Known: true, Running: w.random.IntN(4), Slots: 2, Slowdown: 100 + 400*w.random.IntN(2),
	}}
	if w.random.IntN(6) == 0 {
		facts = outcome.Facts{Wrote: true, Cause: outcome.CauseReset, Load: -1}
	}
	return w.step(ProbeFinished{Service: q.Service, Upstream: q.Upstream, Facts: facts})
}

// endOne ends a running attempt in some way.
func (w *storeWalk) endOne() []Effect {
	if len(w.running) == 0 {
		return w.step(Tick{})
	}
	i := w.random.IntN(len(w.running))
	a := w.running[i]
	w.running = slices.Delete(w.running, i, i+1)
	ends := []outcome.Facts{
		success, success, success, shed, dialFailure, reset,
		{Wrote: true, Cause: outcome.CauseTimeout, Load: -1},
		{Wrote: true, Cause: outcome.CauseTruncated, Load: -1},
		{Wrote: true, Status: 500, Load: -1},
		{Cause: outcome.CauseExpired, Load: -1},
	}
	facts := ends[w.random.IntN(len(ends))]
	id := a.Attempt.Request
	if facts.Wrote {
		w.sent[id]++
		if w.sent[id] > 1 {
			w.again++
		}
		if facts.NotRunHeader != true {
			w.ran[id]++
		}
	}
	return w.finishAttempt(a, facts)
}

func (w *storeWalk) check(effects []Effect) {
	for _, effect := range effects {
		switch e := effect.(type) {
		case StartAttempt:
			w.checkStart(e)
		case StartProbe:
			w.questions = append(w.questions, e)
		case PassAnswer:
			w.end(e.Attempt.Request)
		case Refuse:
			Expect(w.ran[e.Request]).To(BeZero(), "refused as not run after a run")
			Expect(e.Reason).NotTo(Equal(outcome.RefusedNoService), "a route that always existed")
			w.end(e.Request)
		case Fail:
			w.end(e.Request)
		}
	}
	Expect(w.state.inForce().Generation).To(Equal(w.version))
}

func (w *storeWalk) checkStart(e StartAttempt) {
	id := e.Attempt.Request
	Expect(w.ended[id]).To(BeFalse(), "an attempt after the end")
	server, registered := w.registered[e.Upstream]
	if lapsed, missing := w.missing[e.Upstream]; missing && w.returned > 0 && w.now.Sub(w.returned) <= lapseGrace+TickInterval {
		server, registered = lapsed, true
	}
	Expect(registered && !server.Leaving).To(BeTrue(), "an attempt on %s, which is gone or leaving", e.Upstream)
	Expect(server.Service).To(Equal(e.Service))
	Expect(e.Instance).To(Equal(e.Upstream))
	Expect(w.sent[id]).To(BeNumerically("<", 2), "more upstreams than the route allows")
	if w.orders[id] {
		Expect(w.ran[id]).To(BeZero(), "a second run of an order")
	}
	for _, other := range w.running {
		Expect(other.Attempt.Request).NotTo(Equal(id), "two attempts at once")
	}
	w.running = append(w.running, e)
}

func (w *storeWalk) end(id RequestID) {
	Expect(w.ended[id]).To(BeFalse(), "two answers")
	w.ended[id] = true
}
