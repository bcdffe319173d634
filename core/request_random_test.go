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
	ended   map[RequestID]bool
	leaving map[string]bool
}

// Guards against a request without exactly one final response, against reporting
// "not run" for one that may have run, against a second run of a non-idempotent
// request, against exceeded slots, and against new requests to leaving hosts.
var _ = ginkgo.Describe("random events", func() {
	for seed := range uint64(10) {
		ginkgo.It("keep the guarantees to callers", func() { newRequestRandomTest(seed).run(2000) })
	}
})

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

func (w *requestRandomTest) run(steps int) {
	for range steps {
		w.now = w.now.Add(time.Duration(w.random.IntN(10)) * time.Millisecond)
		w.check(w.nextEvent())
	}
	for rounds := 0; len(w.state.requests) > 0; rounds++ {
		Expect(rounds).To(BeNumerically("<", 100), "some requests never end")
		w.now = w.now.Add(TickInterval)
		w.check(w.step(Tick{}))
		for len(w.runningIDs) > 0 {
			w.check(w.finishRandomAttempt())
		}
	}
	Expect(w.ended).To(HaveLen(int(w.lastID)))
	Expect(w.state.services["orders"].waiting).To(BeZero())
	for _, u := range w.state.services["orders"].upstreams {
		Expect(u.running).To(BeZero())
	}
}

func (w *requestRandomTest) nextEvent() []Effect {
	switch n := w.random.IntN(100); {
	case n < 40:
		method := []string{"GET", "POST"}[w.random.IntN(2)]
		w.nonIdempotent[w.lastID+1] = method == "POST"
		kind := []string{"", "long", "x"}[w.random.IntN(3)]
		return w.send(method, kind, func(e *RequestArrived) {
			e.BodyKept = w.random.IntN(4) > 0
			e.Timeout = time.Duration(1+w.random.IntN(300)) * time.Millisecond
		})
	case n < 85 && len(w.runningIDs) > 0:
		return w.finishRandomAttempt()
	case n < 90 && w.lastID > 0:
		return w.step(CallerGone{ID: RequestID(1 + w.random.IntN(int(w.lastID)))})
	case n == 90:
		return w.toggleLeaving()
	case n == 91:
		return w.configure(w.state.inForce().Generation+1, func(s *config.Service) {
			withUpstreams("a", "b", "c", "d", "e")(s)
			s.Upstreams = s.Upstreams[w.random.IntN(2):]
		})
	}
	return w.step(Tick{})
}

// toggleLeaving toggles the leaving marks of two hosts in one event.
func (w *requestRandomTest) toggleLeaving() []Effect {
	var list []HostEntry
	for _, i := range w.random.Perm(4)[:2] {
		host := "host-" + string(rune('a'+i))
		w.leaving[host] = !w.leaving[host]
		list = append(list, HostEntry{Host: host, Epoch: w.state.hosts[host].Epoch + 1, Leaving: w.leaving[host]})
	}
	return w.step(HostListRead{Hosts: list})
}

func (w *requestRandomTest) finishRandomAttempt() []Effect {
	i := w.random.IntN(len(w.runningIDs))
	id := w.runningIDs[i]
	w.runningIDs = append(w.runningIDs[:i], w.runningIDs[i+1:]...)
	delete(w.running, id)
	choices := []outcome.Facts{success, success, success, shed, plain503, reset, dialFailure}
	facts := choices[w.random.IntN(len(choices))]
	if facts.Wrote && !facts.NotRunHeader {
		w.runs[id.Request]++
	}
	if facts.Cause == outcome.CauseNone && w.random.IntN(4) == 0 {
		effects := w.step(AnswerBegun{Attempt: id, Facts: facts})
		if firstEffect[PassAnswer](effects).Attempt == id {
			effects = append(effects[:len(effects):len(effects)], w.step(AnswerDelivered{Attempt: id, Whole: true, Facts: facts})...)
		}
		return effects
	}
	return w.step(AttemptFinished{Attempt: id, Facts: facts})
}

func (w *requestRandomTest) check(effects []Effect) {
	for _, effect := range effects {
		switch e := effect.(type) {
		case StartAttempt:
			id := e.Attempt.Request
			Expect(w.ended).NotTo(HaveKey(id))
			Expect(w.leaving["host-"+e.Upstream]).To(BeFalse(), "attempt started on a leaving host")
			if w.nonIdempotent[id] {
				Expect(w.runs[id]).To(BeZero(), "a non-idempotent request may run twice")
			}
			w.running[e.Attempt] = e
			w.runningIDs = append(w.runningIDs, e.Attempt)
		case PassAnswer:
			w.recordEnd(e.Attempt.Request)
		case Fail:
			w.recordEnd(e.Request)
		case Refuse:
			w.recordEnd(e.Request)
			Expect(w.runs[e.Request]).To(BeZero(), "request refused as not run after it may have run")
		}
	}
	for _, u := range w.state.services["orders"].upstreams {
		Expect(u.running).To(BeNumerically("<=", u.limit()), "slots exceeded")
	}
}

func (w *requestRandomTest) recordEnd(id RequestID) {
	Expect(w.ended).NotTo(HaveKey(id), "request got a second final response")
	w.ended[id] = true
}
