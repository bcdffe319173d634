package core

import (
	"math/rand/v2"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"wisteriapond/config"
	"wisteriapond/outcome"
)

// requestRandomTest applies random events to one reducer and checks the effects
// against the runs that may have happened and the responses that callers got.
type requestRandomTest struct {
	*testReducer
	random        *rand.Rand
	running       map[AttemptID]StartAttempt
	runningIDs    []AttemptID
	nonIdempotent map[RequestID]bool
	// runs counts the attempts that may have run each request.
	runs map[RequestID]int
	// ended holds the requests that got their final response.
	ended map[RequestID]bool
	// leaving holds the leaving marks by host.
	leaving map[string]bool
}

// Guards against a request without exactly one final response, against reporting
// "not run" for one that may have run, against a second run of a non-idempotent
// request, against exceeded slots, and against new requests to leaving hosts.
var _ = ginkgo.Describe("random events", func() {
	for seed := range uint64(10) {
		ginkgo.It("uphold the guarantees to callers", func() { newRequestRandomTest(seed).run(2000) })
	}
})

// newRequestRandomTest returns a test with a reducer of four upstreams.
func newRequestRandomTest(seed uint64) *requestRandomTest {
	return &requestRandomTest{
		testReducer:   newTestReducer(withUpstreams("a", "b", "c", "d")),
		random:        rand.New(rand.NewPCG(seed, 1)),
		running:       make(map[AttemptID]StartAttempt),
		nonIdempotent: make(map[RequestID]bool),
		runs:          make(map[RequestID]int),
		ended:         make(map[RequestID]bool),
		leaving:       make(map[string]bool),
	}
}

// run applies the given number of random events, ends all requests, and checks that
// each got a response and that no slot is left in use.
func (t *requestRandomTest) run(steps int) {
	for range steps {
		t.now = t.now.Add(time.Duration(t.random.IntN(10)) * time.Millisecond)
		t.check(t.nextEvent())
	}
	for rounds := 0; len(t.state.requests) > 0; rounds++ {
		Expect(rounds).To(BeNumerically("<", 100), "some requests never end")
		t.now = t.now.Add(TickInterval)
		t.check(t.step(Tick{}))
		for len(t.runningIDs) > 0 {
			t.check(t.finishRandomAttempt())
		}
	}
	Expect(t.ended).To(HaveLen(int(t.lastID)))
	Expect(t.state.services["orders"].waiting).To(BeZero())
	for _, u := range t.state.services["orders"].upstreams {
		Expect(u.running).To(BeZero())
	}
}

// nextEvent applies a random event.
func (t *requestRandomTest) nextEvent() []Effect {
	switch n := t.random.IntN(100); {
	case n < 40:
		method := []string{"GET", "POST"}[t.random.IntN(2)]
		t.nonIdempotent[t.lastID+1] = method == "POST"
		kind := []string{"", "long", "x"}[t.random.IntN(3)]
		return t.send(method, kind, func(e *RequestArrived) {
			e.BodyKept = t.random.IntN(4) > 0
			e.Timeout = time.Duration(1+t.random.IntN(300)) * time.Millisecond
		})
	case n < 85 && len(t.runningIDs) > 0:
		return t.finishRandomAttempt()
	case n < 90 && t.lastID > 0:
		return t.step(CallerGone{ID: RequestID(1 + t.random.IntN(int(t.lastID)))})
	case n == 90:
		return t.toggleLeaving()
	case n == 91:
		return t.configure(t.state.inForce().Generation+1, func(s *config.Service) {
			withUpstreams("a", "b", "c", "d", "e")(s)
			s.Upstreams = s.Upstreams[t.random.IntN(2):]
		})
	}
	return t.step(Tick{})
}

// toggleLeaving toggles the leaving marks of two hosts in one event.
func (t *requestRandomTest) toggleLeaving() []Effect {
	var list []HostEntry
	for _, i := range t.random.Perm(4)[:2] {
		host := "host-" + string(rune('a'+i))
		t.leaving[host] = !t.leaving[host]
		list = append(list, HostEntry{Host: host, Epoch: t.state.hosts[host].Epoch + 1, Leaving: t.leaving[host]})
	}
	return t.step(HostListRead{Hosts: list})
}

// finishRandomAttempt ends a running attempt with a random outcome.
func (t *requestRandomTest) finishRandomAttempt() []Effect {
	i := t.random.IntN(len(t.runningIDs))
	id := t.runningIDs[i]
	t.runningIDs = append(t.runningIDs[:i], t.runningIDs[i+1:]...)
	delete(t.running, id)
	choices := []outcome.Facts{success, success, success, shed, plain503, reset, dialFailure}
	facts := choices[t.random.IntN(len(choices))]
	if facts.Wrote && !facts.NotRunHeader {
		t.runs[id.Request]++
	}
	if facts.Cause == outcome.CauseNone && t.random.IntN(4) == 0 {
		effects := t.step(AnswerBegun{Attempt: id, Facts: facts})
		if firstEffect[PassAnswer](effects).Attempt == id {
			effects = append(effects[:len(effects):len(effects)], t.step(AnswerDelivered{Attempt: id, Whole: true, Facts: facts})...)
		}
		return effects
	}
	return t.step(AttemptFinished{Attempt: id, Facts: facts})
}

// check checks the effects of an event, and records attempts and final responses.
func (t *requestRandomTest) check(effects []Effect) {
	for _, effect := range effects {
		switch e := effect.(type) {
		case StartAttempt:
			id := e.Attempt.Request
			Expect(t.ended).NotTo(HaveKey(id))
			Expect(t.leaving["host-"+e.Upstream]).To(BeFalse(), "attempt started on a leaving host")
			if t.nonIdempotent[id] {
				Expect(t.runs[id]).To(BeZero(), "a non-idempotent request may run twice")
			}
			t.running[e.Attempt] = e
			t.runningIDs = append(t.runningIDs, e.Attempt)
		case PassAnswer:
			t.recordEnd(e.Attempt.Request)
		case Fail:
			t.recordEnd(e.Request)
		case Refuse:
			t.recordEnd(e.Request)
			Expect(t.runs[e.Request]).To(BeZero(), "request refused as not run after it may have run")
		}
	}
	for _, u := range t.state.services["orders"].upstreams {
		Expect(u.running).To(BeNumerically("<=", u.limit()), "slots exceeded")
	}
	Expect(t.state.waitingProblem()).To(BeEmpty())
}

// recordEnd records the final response to a request, which must be the only one.
func (t *requestRandomTest) recordEnd(id RequestID) {
	Expect(t.ended).NotTo(HaveKey(id), "request got a second final response")
	t.ended[id] = true
}
