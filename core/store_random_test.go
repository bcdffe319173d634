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
	*storeTestReducer
	random *rand.Rand
	// registered holds the servers that the store last reported, and version is the
	// highest published version of the routing.
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
	// queries holds the load queries without a response.
	queries       []StartProbe
	nonIdempotent map[RequestID]bool
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

// Guards against violations of guarantees that occur only in some orders of events.
var _ = ginkgo.Describe("random events of a store", func() {
	for seed := range uint64(12) {
		ginkgo.It("uphold the guarantees to callers and operators", func() { newStoreRandomTest(seed).run(3000) })
	}
})

// newStoreRandomTest returns a test with five registered servers.
func newStoreRandomTest(seed uint64) *storeRandomTest {
	t := &storeRandomTest{
		storeTestReducer: newPropagationTestReducer("entry-2", 5),
		random:           rand.New(rand.NewPCG(seed, 2)),
		registered:       make(map[string]Server),
		missing:          make(map[string]Server),
		bornAt:           make(map[string]uint64),
		nonIdempotent:    make(map[RequestID]bool),
		sent:             make(map[RequestID]int),
		runs:             make(map[RequestID]int),
		ended:            make(map[RequestID]bool),
	}
	t.version = 1
	routes := routing(1)
	routes.Services[0].ProbePath = "/health"
	for i := range 5 {
		t.register(fmt.Sprint("s", i))
	}
	t.check(t.list(routes, t.servers()...))
	return t
}

// servers returns the registered servers in the order of their IDs.
func (t *storeRandomTest) servers() []Server {
	var servers []Server
	for _, id := range sortedKeys(t.registered) {
		servers = append(servers, t.registered[id])
	}
	return servers
}

// register registers a server with a random service and failure domain,
// sometimes as leaving.
func (t *storeRandomTest) register(id string) ServerChange {
	s := storeServer(id, []string{"read", "write"}[t.random.IntN(2)], []string{"mtl-a", "mtl-b", "qc-a"}[t.random.IntN(3)])
	t.bornAt[id] += uint64(t.random.IntN(2))
	s.Born = t.bornAt[id]
	s.Leaving = t.random.IntN(5) == 0
	t.registered[id] = s
	delete(t.missing, id)
	return ServerChange{ID: id, Server: &s}
}

// run applies the given number of random events, ends all requests, and checks that
// each got a response and that retries stayed within the budget.
func (t *storeRandomTest) run(steps int) {
	for range steps {
		t.now = t.now.Add(time.Duration(t.random.IntN(12)) * time.Millisecond)
		t.check(t.nextEvent())
	}
	for rounds := 0; len(t.state.requests) > 0; rounds++ {
		Expect(rounds).To(BeNumerically("<", 200), "some requests never end")
		t.now = t.now.Add(TickInterval)
		t.check(t.step(Tick{}))
		for len(t.running) > 0 {
			t.check(t.finishRandomAttempt())
		}
	}
	Expect(t.ended).To(HaveLen(t.arrivals))
	const percent, burst = 20, 3 // RetrySlack allows one retry for each of two services.
	Expect(t.retries).To(BeNumerically("<=", t.arrivals*percent/100+burst))
}

// nextEvent applies a random event.
func (t *storeRandomTest) nextEvent() []Effect {
	switch t.random.IntN(16) {
	case 0, 1, 2, 3:
		t.arrivals++
		path := []string{"/lookup/x", "/order/x", "/file/x"}[t.random.IntN(3)]
		t.nonIdempotent[t.lastID+1] = path == "/order/x"
		return t.arrive(path)
	case 4, 5, 6, 7:
		return t.finishRandomAttempt()
	case 8, 9:
		return t.finishQuery()
	case 10:
		return t.changeStore()
	case 11:
		historyGone := t.random.IntN(3) == 0
		t.storeDown = t.storeDown || !historyGone
		return t.step(StoreFailed{Reason: "reset", HistoryGone: historyGone})
	case 12:
		return t.exchangeUpdates()
	case 13:
		return t.step(CallerGone{ID: RequestID(1 + t.random.IntN(int(t.lastID)+1))})
	}
	return t.step(Tick{})
}

// changeStore reports one change or a complete listing.
func (t *storeRandomTest) changeStore() []Effect {
	if t.storeDown {
		t.storeDown, t.recoveredAt = false, t.now
	}
	id := fmt.Sprint("s", t.random.IntN(7))
	switch t.random.IntN(5) {
	case 0:
		if s, registered := t.registered[id]; registered && !s.Leaving {
			t.missing[id] = s
		}
		delete(t.registered, id)
		return t.change(removed(id))
	case 1:
		delete(t.registered, id)
		delete(t.missing, id)
		return t.change(ServerChange{ID: id, Problem: "not a valid entry"})
	case 2:
		// The listing may be of an older version than the one in force.
		routes := routing(t.version - uint64(t.random.IntN(int(min(t.version, 2)))))
		routes.Services[0].ProbePath = "/health"
		return t.list(routes, t.servers()...)
	case 3:
		t.version += uint64(1 + t.random.IntN(3))
		routes := routing(t.version)
		routes.Services[0].ProbePath = "/health"
		t.revision++
		return t.step(StoreChanged{Revision: t.revision, Routing: routes})
	}
	return t.change(t.register(id))
}

// exchangeUpdates simulates another entry host that polls, responds or fails.
func (t *storeRandomTest) exchangeUpdates() []Effect {
	other := neighbourNamed(fmt.Sprint("entry-", 1+t.random.IntN(3)), 5)
	switch t.random.IntN(4) {
	case 0:
		return t.step(NewsAsked{ID: 1, Ask: NewsAsk{From: other, After: uint64(t.random.IntN(int(t.revision + 1))), Wait: pollWait}})
	case 1:
		return t.step(NewsAnswered{Address: other.Address, Failed: true, Reason: "refused"})
	case 2:
		return t.step(NewsAnswered{Address: other.Address, Answer: NewsAnswer{Known: true, Revision: t.revision, Age: time.Duration(t.random.IntN(3000)) * time.Millisecond}})
	}
	// Updates of an older revision must not revert the known state.
	return t.step(NewsAnswered{Address: other.Address, Answer: NewsAnswer{Known: true, Whole: true, Revision: t.revision / 2, Neighbours: []Neighbour{other}}})
}

// finishQuery ends a load query with a random report or a failure.
func (t *storeRandomTest) finishQuery() []Effect {
	if len(t.queries) == 0 {
		return t.step(Tick{})
	}
	i := t.random.IntN(len(t.queries))
	query := t.queries[i]
	t.queries = slices.Delete(t.queries, i, i+1)
	facts := outcome.Facts{Wrote: true, Status: 200, Load: -1, Told: outcome.LoadReport{
		Known: true, Running: t.random.IntN(4), Slots: 2, Slowdown: 100 + 400*t.random.IntN(2),
	}}
	if t.random.IntN(6) == 0 {
		facts = outcome.Facts{Wrote: true, Cause: outcome.CauseReset, Load: -1}
	}
	return t.step(ProbeFinished{Service: query.Service, Upstream: query.Upstream, Facts: facts})
}

// finishRandomAttempt ends a running attempt with a random outcome.
func (t *storeRandomTest) finishRandomAttempt() []Effect {
	if len(t.running) == 0 {
		return t.step(Tick{})
	}
	i := t.random.IntN(len(t.running))
	a := t.running[i]
	t.running = slices.Delete(t.running, i, i+1)
	ends := []outcome.Facts{
		success, success, success, shed, dialFailure, reset,
		{Wrote: true, Cause: outcome.CauseTimeout, Load: -1},
		{Wrote: true, Cause: outcome.CauseTruncated, Load: -1},
		{Wrote: true, Status: 500, Load: -1},
		{Cause: outcome.CauseExpired, Load: -1},
	}
	facts := ends[t.random.IntN(len(ends))]
	id := a.Attempt.Request
	if facts.Wrote {
		t.sent[id]++
		if t.sent[id] > 1 {
			t.retries++
		}
		if facts.NotRunHeader != true {
			t.runs[id]++
		}
	}
	return t.finishAttempt(a, facts)
}

// check checks the effects of an event, and records attempts, load queries and final
// responses.
func (t *storeRandomTest) check(effects []Effect) {
	for _, effect := range effects {
		switch e := effect.(type) {
		case StartAttempt:
			t.checkStart(e)
		case StartProbe:
			t.queries = append(t.queries, e)
		case PassAnswer:
			t.recordEnd(e.Attempt.Request)
		case Refuse:
			Expect(t.runs[e.Request]).To(BeZero(), "request refused as not run after a run")
			Expect(e.Reason).NotTo(Equal(outcome.RefusedNoService), "refused for lack of a route that always existed")
			t.recordEnd(e.Request)
		case Fail:
			t.recordEnd(e.Request)
		}
	}
	Expect(t.state.inForce().Generation).To(Equal(t.version))
	Expect(t.state.waitingProblem()).To(BeEmpty())
}

// checkStart checks that an attempt is allowed, and records it.
func (t *storeRandomTest) checkStart(e StartAttempt) {
	id := e.Attempt.Request
	Expect(t.ended[id]).To(BeFalse(), "attempt of a request that has ended")
	server, registered := t.registered[e.Upstream]
	if expired, missing := t.missing[e.Upstream]; missing && t.recoveredAt > 0 && t.now.Sub(t.recoveredAt) <= expiryGrace+TickInterval {
		server, registered = expired, true
	}
	Expect(registered && !server.Leaving).To(BeTrue(), "attempt on %s, which is not registered or is leaving", e.Upstream)
	Expect(server.Service).To(Equal(e.Service))
	Expect(e.Instance).To(Equal(e.Upstream))
	Expect(t.sent[id]).To(BeNumerically("<", 2), "request sent to more upstreams than the route allows")
	if t.nonIdempotent[id] {
		Expect(t.runs[id]).To(BeZero(), "second run of a non-idempotent request")
	}
	for _, other := range t.running {
		Expect(other.Attempt.Request).NotTo(Equal(id), "two concurrent attempts of a request")
	}
	t.running = append(t.running, e)
}

// recordEnd records the final response to a request, which must be the only one.
func (t *storeRandomTest) recordEnd(id RequestID) {
	Expect(t.ended[id]).To(BeFalse(), "two responses to a request")
	t.ended[id] = true
}
