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

// storeRandomTest applies random events of a store, of other entry hosts and of
// traffic to one reducer, and checks the effects against a model of what is
// registered, what may have run and what callers received.
type storeRandomTest struct {
	*storeBench
	random *rand.Rand
	// registered holds the servers in the store, and version is the highest
	// published version of the routing.
	registered map[string]Server
	version    uint64
	// bornAt is the start time of the latest instance of each server.
	bornAt map[string]uint64
	// missing holds the servers whose entries went missing without a leaving
	// mark. storeDown is set while the store does not respond, and recoveredAt
	// is the instant at which it last responded again.
	missing     map[string]Server
	storeDown   bool
	recoveredAt Instant
	running     []StartAttempt
	queries     []StartProbe
	orders      map[RequestID]bool
	// sent counts the upstreams that a request may have reached, and runs the
	// runs that it may have had.
	sent  map[RequestID]int
	runs  map[RequestID]int
	ended map[RequestID]bool
	// arrivals counts the requests, and retries the attempts of requests that
	// had reached an upstream before.
	arrivals int
	retries  int
}

// Guards against violations that no single event causes, but some order of
// events.
var _ = ginkgo.Describe("random events of a store", func() {
	for seed := range uint64(12) {
		ginkgo.It("keep the guarantees to callers and operators", func() { newStoreRandomTest(seed).run(3000) })
	}
})

func newStoreRandomTest(seed uint64) *storeRandomTest {
	w := &storeRandomTest{
		storeBench: linkedBench("entry-2", 5),
		random:     rand.New(rand.NewPCG(seed, 2)),
		registered: make(map[string]Server),
		missing:    make(map[string]Server),
		bornAt:     make(map[string]uint64),
		orders:     make(map[RequestID]bool),
		sent:       make(map[RequestID]int),
		runs:       make(map[RequestID]int),
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

func (w *storeRandomTest) servers() []Server {
	var servers []Server
	for _, id := range sortedKeys(w.registered) {
		servers = append(servers, w.registered[id])
	}
	return servers
}

// register registers a server with a random service and failure domain,
// sometimes as leaving.
func (w *storeRandomTest) register(id string) ServerChange {
	s := storeServer(id, []string{"read", "write"}[w.random.IntN(2)], []string{"mtl-a", "mtl-b", "qc-a"}[w.random.IntN(3)])
	w.bornAt[id] += uint64(w.random.IntN(2))
	s.Born = w.bornAt[id]
	s.Leaving = w.random.IntN(5) == 0
	w.registered[id] = s
	delete(w.missing, id)
	return ServerChange{ID: id, Server: &s}
}

func (w *storeRandomTest) run(steps int) {
	for range steps {
		w.now = w.now.Add(time.Duration(w.random.IntN(12)) * time.Millisecond)
		w.check(w.nextEvent())
	}
	for rounds := 0; len(w.state.requests) > 0; rounds++ {
		Expect(rounds).To(BeNumerically("<", 200), "requests never end")
		w.now = w.now.Add(TickInterval)
		w.check(w.step(Tick{}))
		for len(w.running) > 0 {
			w.check(w.finishRandomAttempt())
		}
	}
	Expect(w.ended).To(HaveLen(w.arrivals))
	const percent, burst = 20, 3 // Two services, each with 1.4 attempts beyond its share.
	Expect(w.retries).To(BeNumerically("<=", w.arrivals*percent/100+burst))
}

func (w *storeRandomTest) nextEvent() []Effect {
	switch w.random.IntN(16) {
	case 0, 1, 2, 3:
		w.arrivals++
		path := []string{"/lookup/x", "/order/x", "/file/x"}[w.random.IntN(3)]
		w.orders[w.lastID+1] = path == "/order/x"
		return w.arrive(path)
	case 4, 5, 6, 7:
		return w.finishRandomAttempt()
	case 8, 9:
		return w.finishQuery()
	case 10:
		return w.changeStore()
	case 11:
		historyGone := w.random.IntN(3) == 0
		w.storeDown = w.storeDown || !historyGone
		return w.step(StoreFailed{Reason: "reset", HistoryGone: historyGone})
	case 12:
		return w.exchangeUpdates()
	case 13:
		return w.step(CallerGone{ID: RequestID(1 + w.random.IntN(int(w.lastID)+1))})
	}
	return w.step(Tick{})
}

// changeStore reports one change or a complete listing.
func (w *storeRandomTest) changeStore() []Effect {
	if w.storeDown {
		w.storeDown, w.recoveredAt = false, w.now
	}
	id := fmt.Sprint("s", w.random.IntN(7))
	switch w.random.IntN(5) {
	case 0:
		if s, registered := w.registered[id]; registered && !s.Leaving {
			w.missing[id] = s
		}
		delete(w.registered, id)
		return w.change(removed(id))
	case 1:
		delete(w.registered, id)
		delete(w.missing, id)
		return w.change(ServerChange{ID: id, Problem: "not a valid entry"})
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

// exchangeUpdates simulates another entry host that polls, responds or fails.
func (w *storeRandomTest) exchangeUpdates() []Effect {
	other := neighbourNamed(fmt.Sprint("entry-", 1+w.random.IntN(3)), 5)
	switch w.random.IntN(4) {
	case 0:
		return w.step(NewsAsked{ID: 1, Ask: NewsAsk{From: other, After: uint64(w.random.IntN(int(w.revision + 1))), Wait: pollWait}})
	case 1:
		return w.step(NewsAnswered{Address: other.Address, Failed: true, Reason: "refused"})
	case 2:
		return w.step(NewsAnswered{Address: other.Address, Answer: NewsAnswer{Known: true, Revision: w.revision, Age: time.Duration(w.random.IntN(3000)) * time.Millisecond}})
	}
	// Updates of an older revision must not revert the known state.
	return w.step(NewsAnswered{Address: other.Address, Answer: NewsAnswer{Known: true, Whole: true, Revision: w.revision / 2, Neighbours: []Neighbour{other}}})
}

func (w *storeRandomTest) finishQuery() []Effect {
	if len(w.queries) == 0 {
		return w.step(Tick{})
	}
	i := w.random.IntN(len(w.queries))
	query := w.queries[i]
	w.queries = slices.Delete(w.queries, i, i+1)
	facts := outcome.Facts{Wrote: true, Status: 200, Load: -1, Told: outcome.LoadReport{
		Known: true, Running: w.random.IntN(4), Slots: 2, Slowdown: 100 + 400*w.random.IntN(2),
	}}
	if w.random.IntN(6) == 0 {
		facts = outcome.Facts{Wrote: true, Cause: outcome.CauseReset, Load: -1}
	}
	return w.step(ProbeFinished{Service: query.Service, Upstream: query.Upstream, Facts: facts})
}

// finishRandomAttempt ends a running attempt with a random outcome.
func (w *storeRandomTest) finishRandomAttempt() []Effect {
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
			w.retries++
		}
		if facts.NotRunHeader != true {
			w.runs[id]++
		}
	}
	return w.finishAttempt(a, facts)
}

func (w *storeRandomTest) check(effects []Effect) {
	for _, effect := range effects {
		switch e := effect.(type) {
		case StartAttempt:
			w.checkStart(e)
		case StartProbe:
			w.queries = append(w.queries, e)
		case PassAnswer:
			w.finishRequest(e.Attempt.Request)
		case Refuse:
			Expect(w.runs[e.Request]).To(BeZero(), "request refused as not run after a run")
			Expect(e.Reason).NotTo(Equal(outcome.RefusedNoService), "refused for lack of a route that always existed")
			w.finishRequest(e.Request)
		case Fail:
			w.finishRequest(e.Request)
		}
	}
	Expect(w.state.inForce().Generation).To(Equal(w.version))
}

func (w *storeRandomTest) checkStart(e StartAttempt) {
	id := e.Attempt.Request
	Expect(w.ended[id]).To(BeFalse(), "attempt of a request that has ended")
	server, registered := w.registered[e.Upstream]
	if expired, missing := w.missing[e.Upstream]; missing && w.recoveredAt > 0 && w.now.Sub(w.recoveredAt) <= expiryGrace+TickInterval {
		server, registered = expired, true
	}
	Expect(registered && !server.Leaving).To(BeTrue(), "attempt on %s, which is not registered or is leaving", e.Upstream)
	Expect(server.Service).To(Equal(e.Service))
	Expect(e.Instance).To(Equal(e.Upstream))
	Expect(w.sent[id]).To(BeNumerically("<", 2), "request sent to more upstreams than the route allows")
	if w.orders[id] {
		Expect(w.runs[id]).To(BeZero(), "second run of a non-idempotent request")
	}
	for _, other := range w.running {
		Expect(other.Attempt.Request).NotTo(Equal(id), "two concurrent attempts of a request")
	}
	w.running = append(w.running, e)
}

func (w *storeRandomTest) finishRequest(id RequestID) {
	Expect(w.ended[id]).To(BeFalse(), "two responses to a request")
	w.ended[id] = true
}
