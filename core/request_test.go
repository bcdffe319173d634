package core

import (
	"fmt"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"wisteriapond/config"
	"wisteriapond/outcome"
)

// testReducer drives a reducer with the service "orders" in force.
type testReducer struct {
	state  *State
	now    Instant
	lastID RequestID
}

// newTestReducer returns a started reducer. change adapts the service before it is put
// in force.
func newTestReducer(change func(*config.Service)) *testReducer {
	r := &testReducer{state: New()}
	r.step(Start{Host: "entry-1", Region: "mtl", FailureDomain: "mtl-a", Seed: 1})
	r.configure(1, change)
	return r
}

// configure puts a generation of the service in force.
func (r *testReducer) configure(generation uint64, change func(*config.Service)) []Effect {
	part := &config.Service{
		Name:      "orders",
		Match:     []config.Match{{PathPrefix: "/"}},
		Labels:    []config.LabelRule{{Label: "kind", FromHeader: "x-kind"}},
		LongWhen:  []string{"kind=long"},
		Timeout:   time.Second,
		Queue:     3,
		ColdStart: 5 * time.Second,
		NotRun:    config.NotRunForm{Status: 503, Header: "X-Not-Run", Value: "1"},
		Upstreams: []config.Upstream{upstreamNamed("a", 2), upstreamNamed("b", 2)},
	}
	change(part)
	hash := config.Hash(fmt.Sprintf("%064d", generation))
	r.step(ManifestRead{
		Version: config.Version{Generation: generation, Hash: hash},
		Manifest: &config.Manifest{
			Generation: generation, EntryHosts: 10, Links: config.Links{BytesPerSecond: 10_000_000, LongPercent: 50},
			Services: []config.ServiceRef{{Name: part.Name, Hash: hash}},
		},
	})
	effects := r.step(PartRead{Hash: hash, Service: part})
	Expect(r.state.inForce().Generation).To(Equal(generation))
	return effects
}

// upstreamNamed returns an upstream in the failure domain of the reducer.
func upstreamNamed(name string, slots int) config.Upstream {
	return config.Upstream{
		Name: name, Host: "host-" + name, Address: name, Region: "mtl", FailureDomain: "mtl-a", Slots: slots, Connections: 10,
	}
}

// noChange leaves the service as it is.
func noChange(*config.Service) {}

// withUpstreams returns a change that replaces the upstreams by new ones of two slots
// each.
func withUpstreams(names ...string) func(*config.Service) {
	return func(s *config.Service) {
		s.Upstreams = nil
		for _, name := range names {
			s.Upstreams = append(s.Upstreams, upstreamNamed(name, 2))
		}
	}
}

// step applies an event to the reducer and returns the effects.
func (r *testReducer) step(event Event) []Effect {
	var effects Effects
	r.state.Step(r.now, ofLastCall(r.state, event), &effects)
	return effects.All()
}

// advance moves the clock forward and ticks the reducer.
func (r *testReducer) advance(d time.Duration) []Effect {
	r.now = r.now.Add(d)
	return r.step(Tick{})
}

// send delivers a request of the given method and label value. change adapts the
// event.
func (r *testReducer) send(method, kind string, change func(*RequestArrived)) []Effect {
	r.lastID++
	e := RequestArrived{ID: r.lastID, BodyKept: true, Request: config.Request{Method: method, Path: "/x"}}
	if kind != "" {
		e.Request.Headers = []config.Header{{Name: "x-kind", Value: kind}}
	}
	change(&e)
	return r.step(e)
}

func (r *testReducer) get() []Effect  { return r.send("GET", "", func(*RequestArrived) {}) }
func (r *testReducer) post() []Effect { return r.send("POST", "", func(*RequestArrived) {}) }

// finishAttempt ends an attempt with the given facts.
func (r *testReducer) finishAttempt(a StartAttempt, facts outcome.Facts) []Effect {
	return r.step(AttemptFinished{Attempt: a.Attempt, Facts: facts})
}

// Facts of attempts: a response, a refusal marked as not run, an unmarked 503, a reset
// after the request was sent, and a connection that could not be established.
var (
	success     = outcome.Facts{Wrote: true, Status: 200, Load: -1}
	shed        = outcome.Facts{Wrote: true, Status: 503, NotRunHeader: true, Load: -1}
	plain503    = outcome.Facts{Wrote: true, Status: 503, Load: -1}
	reset       = outcome.Facts{Wrote: true, Cause: outcome.CauseReset, Load: -1}
	dialFailure = outcome.Facts{Cause: outcome.CauseDial, Load: -1}
)

// firstEffect returns the first effect of type E, or its zero value.
func firstEffect[E Effect](effects []Effect) E {
	for _, effect := range effects {
		if e, ok := effect.(E); ok {
			return e
		}
	}
	var none E
	return none
}

// refusal returns the reason of the first refusal, or "" if there is none.
func refusal(effects []Effect) outcome.Refusal { return firstEffect[Refuse](effects).Reason }

var _ = ginkgo.Describe("waiting for a slot", func() {
	// Guards against exceeding the slots and against a queue that ignores deadlines.
	ginkgo.It("starts waiting requests by deadline, within the limit", func() {
		r := newTestReducer(withUpstreams("a"))
		running := firstEffect[StartAttempt](r.get())
		Expect(firstEffect[StartAttempt](r.get())).To(BeZero())
		r.send("GET", "", func(e *RequestArrived) { e.Timeout = 500 * time.Millisecond })
		next := firstEffect[StartAttempt](r.finishAttempt(running, success))
		Expect(next.Attempt.Request).To(Equal(RequestID(3)))
		Expect(firstEffect[StartAttempt](r.finishAttempt(next, success)).Attempt.Request).To(Equal(RequestID(2)))
	})

	// Guards against an unbounded queue, and against requests that wait although
	// they are bound to miss their deadline.
	ginkgo.It("refuses requests at once when the queue is full or they would be late", func() {
		r := newTestReducer(withUpstreams("a"))
		running := firstEffect[StartAttempt](r.get())
		r.now = r.now.Add(400 * time.Millisecond)
		r.finishAttempt(running, success)
		r.get()
		Expect(refusal(r.send("GET", "", func(e *RequestArrived) { e.Timeout = 700 * time.Millisecond }))).To(Equal(outcome.RefusedDeadline))
		for range 3 {
			r.send("GET", "", func(e *RequestArrived) { e.Timeout = time.Hour })
			r.state.services["orders"].config.Timeout = time.Minute
		}
		r.get()
		Expect(refusal(r.get())).To(Equal(outcome.RefusedQueueFull))
	})

	// Guards against requests that stay in the queue past their deadline.
	ginkgo.It("refuses a waiting request at its deadline", func() {
		r := newTestReducer(withUpstreams("a"))
		r.get()
		Expect(firstEffect[WakeAt](r.send("GET", "", func(e *RequestArrived) { e.Timeout = 50 * time.Millisecond })).At).To(Equal(Instant(50 * time.Millisecond)))
		Expect(refusal(r.advance(50 * time.Millisecond))).To(Equal(outcome.RefusedDeadline))
	})

	// Guards against queue positions and slots held by disconnected callers.
	ginkgo.It("ends the request of a caller that disconnects", func() {
		r := newTestReducer(withUpstreams("a"))
		running := firstEffect[StartAttempt](r.get())
		r.get()
		r.get()
		Expect(refusal(r.step(CallerGone{ID: 2}))).To(Equal(outcome.RefusedCallerGone))
		Expect(firstEffect[CancelAttempt](r.step(CallerGone{ID: 1})).Attempt).To(Equal(running.Attempt))
		canceled := outcome.Facts{Wrote: true, Cause: outcome.CauseCanceled}
		Expect(firstEffect[StartAttempt](r.finishAttempt(running, canceled)).Attempt.Request).To(Equal(RequestID(3)))
	})

	// Guards against losing waiting requests when a configuration is replaced.
	ginkgo.It("keeps waiting requests when the configuration changes", func() {
		r := newTestReducer(withUpstreams("a"))
		r.get()
		r.get()
		r.configure(2, withUpstreams("a", "b"))
		Expect(r.state.services["orders"].waiting).To(BeZero())
		Expect(r.state.requests[2].upstream.config.Name).To(Equal("b"))
	})

	// Guards against a non-idempotent request that starts on the stale state of a
	// host whose process was paused.
	ginkgo.It("holds non-idempotent requests back after a pause of the process", func() {
		r := newTestReducer(func(s *config.Service) { s.Timeout = time.Minute })
		r.advance(100 * time.Millisecond)
		r.advance(2 * time.Second)
		Expect(firstEffect[StartAttempt](r.get())).NotTo(BeZero())
		Expect(firstEffect[StartAttempt](r.post())).To(BeZero())
		for range 9 {
			Expect(firstEffect[StartAttempt](r.advance(100 * time.Millisecond))).To(BeZero())
		}
		Expect(firstEffect[StartAttempt](r.advance(100 * time.Millisecond)).Attempt.Request).To(Equal(RequestID(2)))
	})

	// Guards against long requests that take every slot of a shared upstream.
	ginkgo.It("reserves one slot for short requests", func() {
		r := newTestReducer(withUpstreams("a"))
		u := r.state.services["orders"].upstreams[0]
		u.leased, u.held = true, 2
		long := func() []Effect { return r.send("GET", "long", func(*RequestArrived) {}) }
		Expect(firstEffect[StartAttempt](long())).NotTo(BeZero())
		Expect(firstEffect[StartAttempt](long())).To(BeZero())
		Expect(firstEffect[StartAttempt](r.get())).NotTo(BeZero())
	})

	// Guards against an estimated response time that is too high once and from then
	// on makes the host refuse every request.
	ginkgo.It("starts requests again after a slow period", func() {
		r := newTestReducer(withUpstreams("a"))
		slow := firstEffect[StartAttempt](r.get())
		r.now = r.now.Add(900 * time.Millisecond)
		r.finishAttempt(slow, success)
		short := func() []Effect {
			return r.send("GET", "", func(e *RequestArrived) { e.Timeout = 100 * time.Millisecond })
		}
		Expect(refusal(short())).To(Equal(outcome.RefusedDeadline))
		for range 40 {
			short()
		}
		Expect(r.state.services["orders"].upstreams[0].running).To(Equal(1))
	})

	// Guards against memory use that grows with the label values that callers choose.
	ginkgo.It("caches a bounded number of label groups", func() {
		r := newTestReducer(noChange)
		for i := range 3 * maxCachedGroups {
			r.finishAttempt(firstEffect[StartAttempt](r.send("GET", fmt.Sprint("k", i), func(*RequestArrived) {})), success)
		}
		Expect(r.state.services["orders"].groups.byLabels).To(HaveLen(maxCachedGroups))
	})
})

var _ = ginkgo.Describe("retries", func() {
	// Guards against running a non-idempotent request twice, and against reporting
	// one that may have run as not run.
	ginkgo.It("retries a non-idempotent request only if it was not run", func() {
		r := newTestReducer(noChange)
		r.finishAttempt(firstEffect[StartAttempt](r.post()), shed)
		again := firstEffect[StartAttempt](r.advance(100 * time.Millisecond))
		Expect(again.Attempt.Number).To(Equal(2))
		failed := firstEffect[Fail](r.finishAttempt(again, reset))
		Expect(failed.Reason).To(Equal(outcome.FailedReset))
		Expect(failed.GaveUp).To(BeTrue())
	})

	// Guards against reporting "not run" after an attempt that may have run.
	ginkgo.It("reports the outcome as unknown when a later attempt is refused", func() {
		r := newTestReducer(withUpstreams("a"))
		r.finishAttempt(firstEffect[StartAttempt](r.get()), reset)
		r.state.MarkLeaving(r.now, "host-a", &Effects{})
		effects := r.advance(100 * time.Millisecond)
		Expect(refusal(effects)).To(BeZero())
		Expect(firstEffect[Fail](effects).Reason).To(Equal(outcome.FailedReset))
	})

	// Guards against losing an error response when no other attempt starts.
	ginkgo.It("retries a 503 response and forwards it if no retry is possible", func() {
		r := newTestReducer(withUpstreams("a"))
		a := firstEffect[StartAttempt](r.get())
		Expect(firstEffect[PassAnswer](r.finishAttempt(a, plain503))).To(BeZero())
		r.state.MarkLeaving(r.now, "host-a", &Effects{})
		Expect(firstEffect[PassAnswer](r.advance(100 * time.Millisecond))).To(Equal(PassAnswer{Attempt: a.Attempt, Upstream: "a", GaveUp: true}))
		marked := plain503
		marked.GaveUp = true
		other := newTestReducer(noChange)
		Expect(firstEffect[PassAnswer](other.finishAttempt(firstEffect[StartAttempt](other.get()), marked)).GaveUp).To(BeTrue())
		Expect(firstEffect[PassAnswer](other.finishAttempt(firstEffect[StartAttempt](other.post()), plain503)).Upstream).NotTo(BeEmpty())
	})

	// Guards against retries beyond the budget and beyond three attempts.
	ginkgo.It("stops at the retry budget and at the maximum number of attempts", func() {
		r := newTestReducer(noChange)
		a := firstEffect[StartAttempt](r.get())
		r.finishAttempt(a, dialFailure)
		a = firstEffect[StartAttempt](r.advance(100 * time.Millisecond))
		r.finishAttempt(a, dialFailure)
		a = firstEffect[StartAttempt](r.advance(100 * time.Millisecond))
		Expect(a.Attempt.Number).To(Equal(3))
		Expect(firstEffect[Refuse](r.finishAttempt(a, dialFailure)).GaveUp).To(BeTrue())
		for r.state.services["orders"].retryBudget.Withdraw() {
		}
		Expect(refusal(r.finishAttempt(firstEffect[StartAttempt](r.get()), dialFailure))).To(Equal(outcome.RefusedUnavailable))
	})

	// Guards against a retry whose response can only be late and which uses up a token
	// that another request needs.
	ginkgo.It("withdraws nothing from the budget if the response would be late", func() {
		r := newTestReducer(noChange)
		earlier := firstEffect[StartAttempt](r.get())
		r.now = r.now.Add(400 * time.Millisecond)
		r.finishAttempt(earlier, success)
		late := firstEffect[StartAttempt](r.get())
		r.now = r.now.Add(700 * time.Millisecond)
		tokens := r.state.services["orders"].retryBudget.Tokens()
		effects := r.finishAttempt(late, dialFailure)
		Expect(refusal(effects)).To(Equal(outcome.RefusedUnavailable))
		Expect(effects).To(ContainElement(Count{Counter: CounterRetriesWithheld, Label: string(outcome.WithheldDeadline), Add: 1}))
		Expect(r.state.services["orders"].retryBudget.Tokens()).To(Equal(tokens))
	})

	// Guards against resending a streamed body without its first part.
	ginkgo.It("does not retry a request whose body was not kept", func() {
		r := newTestReducer(noChange)
		effects := r.send("POST", "", func(e *RequestArrived) { e.BodyKept = false })
		Expect(refusal(r.finishAttempt(firstEffect[StartAttempt](effects), shed))).To(Equal(outcome.RefusedUnavailable))
	})

	// Guards against forwarding a chunked refusal or error without classifying it.
	ginkgo.It("classifies a long response by its header like a complete one", func() {
		r := newTestReducer(noChange)
		a := firstEffect[StartAttempt](r.get())
		Expect(firstEffect[PassAnswer](r.step(AnswerBegun{Attempt: a.Attempt, Facts: shed}))).To(BeZero())
		a = firstEffect[StartAttempt](r.advance(100 * time.Millisecond))
		Expect(firstEffect[PassAnswer](r.step(AnswerBegun{Attempt: a.Attempt, Facts: success})).Attempt).To(Equal(a.Attempt))
		r.step(AnswerDelivered{Attempt: a.Attempt, Whole: true, Facts: success})
		Expect(r.state.requests).To(BeEmpty())
	})

	// Guards against new requests to a server that reported that it is draining.
	ginkgo.It("sends nothing to a host after its draining response", func() {
		r := newTestReducer(noChange)
		draining := shed
		draining.Draining = true
		a := firstEffect[StartAttempt](r.get())
		Expect(firstEffect[CloseIdle](r.finishAttempt(a, draining)).Address).To(Equal(a.Address))
		for range 3 {
			r.advance(100 * time.Millisecond)
			r.get()
		}
		for _, u := range r.state.services["orders"].upstreams {
			if u.config.Address == a.Address {
				Expect(u.running).To(BeZero())
			}
		}
	})

	// Guards against starting a request on a host that the same event marks as
	// leaving.
	ginkgo.It("starts waiting requests only after an event has been applied completely", func() {
		r := newTestReducer(withUpstreams("a", "b"))
		mark := func(epoch uint64, leaving bool) HostEntry {
			return HostEntry{Host: "host-a", Epoch: epoch, Leaving: leaving}
		}
		r.step(HostListRead{Hosts: []HostEntry{mark(1, true)}})
		r.get()
		r.get()
		Expect(r.state.services["orders"].waiting).To(Equal(1))
		Expect(firstEffect[StartAttempt](r.step(HostListRead{Hosts: []HostEntry{mark(2, false), mark(3, true)}}))).To(BeZero())
		Expect(firstEffect[StartAttempt](r.step(HostListRead{Hosts: []HostEntry{mark(4, false)}})).Upstream).To(Equal("a"))
	})

	// Guards against a Retry-After wait that is ignored, cut short or never ends,
	// with a lease in force and without one.
	ginkgo.DescribeTable("backs off from an upstream for the requested wait", func(leased bool, requested, wait time.Duration) {
		r := newTestReducer(withUpstreams("a"))
		u := r.state.services["orders"].upstreams[0]
		if leased {
			u.leased, u.held = true, 1
		}
		r.state.services["orders"].config.Timeout = 2 * time.Hour
		refused := shed
		refused.RetryAfter = requested
		r.finishAttempt(firstEffect[StartAttempt](r.send("GET", "", func(e *RequestArrived) { e.Timeout = time.Second })), refused)
		Expect(firstEffect[StartAttempt](r.get())).To(BeZero())
		r.advance(wait - time.Millisecond)
		Expect(u.running).To(BeZero())
		r.advance(time.Millisecond)
		Expect(u.running).To(Equal(1))
	},
		ginkgo.Entry("of 4 s with a lease", true, 4*time.Second, 4*time.Second),
		ginkgo.Entry("of 4 s without a lease", false, 4*time.Second, 4*time.Second),
		ginkgo.Entry("of a fraction of a second", false, 700*time.Millisecond, 700*time.Millisecond),
		ginkgo.Entry("of more than an hour, at most one hour", false, 1000*time.Hour, time.Hour),
	)

	// Guards against sending the first requests to a server whose probe has just
	// failed, and against probes that outweigh the results of requests.
	ginkgo.It("avoids an upstream whose probe failed until requests succeed", func() {
		r := newTestReducer(noChange)
		r.step(ProbeFinished{Service: "orders", Upstream: "a", Facts: outcome.Facts{Wrote: true, Status: 500}})
		Expect(firstEffect[StartAttempt](r.get()).Upstream).To(Equal("b"))
		a := firstEffect[StartAttempt](r.get())
		Expect(a.Upstream).To(Equal("a"))
		r.finishAttempt(a, success)
		u := r.state.services["orders"].upstreams[0]
		Expect(r.state.latencyOf(u, time.Second)).To(BeNumerically("<", time.Second))
	})

	// Guards against endless chains of nested calls.
	ginkgo.It("refuses the sixteenth entry host of a chain", func() {
		at := func(depth int) []Effect {
			return newTestReducer(noChange).send("GET", "", func(e *RequestArrived) { e.Depth = depth })
		}
		Expect(firstEffect[StartAttempt](at(14)).Depth).To(Equal(15))
		Expect(refusal(at(15))).To(Equal(outcome.RefusedDepth))
	})

	// Guards against a failing server that keeps its share of the requests, and
	// against one that is never used again.
	ginkgo.It("ejects a failing upstream and reinstates it after a trial request", func() {
		r := newTestReducer(withUpstreams("a", "b", "c"))
		u := r.state.services["orders"].upstreams[0]
		for i := 0; !u.health.Ejected(); i++ {
			Expect(i).To(BeNumerically("<", 100))
			a := firstEffect[StartAttempt](r.post())
			facts := success
			if a.Upstream == "a" {
				facts = reset
			}
			r.finishAttempt(a, facts)
			r.advance(10 * time.Millisecond)
		}
		Expect(firstEffect[StartAttempt](r.post()).Upstream).NotTo(Equal("a"))
		r.advance(time.Second)
		trial := firstEffect[StartAttempt](r.get())
		Expect(trial.Upstream).To(Equal("a"))
		r.finishAttempt(trial, success)
		Expect(u.health.Ejected()).To(BeFalse())
		Expect(r.state.currentLimit(u.service, u)).To(Equal(1))
	})
})

var _ = ginkgo.Describe("other regions", func() {
	far := func(s *config.Service) {
		withUpstreams("a", "b", "c")(s)
		for _, i := range []int{1, 2} {
			s.Upstreams[i].Region = "qc"
		}
	}

	// Guards against crossing regions needlessly, and against waiting longer than
	// the extra round trip takes.
	ginkgo.It("are used only if the wait is longer than the extra round trip", func() {
		r := newTestReducer(far)
		near := firstEffect[StartAttempt](r.get())
		Expect(near.Upstream).To(Equal("a"))
		r.now = r.now.Add(20 * time.Millisecond)
		r.finishAttempt(near, success)
		r.get()
		Expect(firstEffect[StartAttempt](r.get())).To(BeZero())
		Expect(firstEffect[StartAttempt](r.get()).Upstream).To(BeElementOf("b", "c"))
	})

	// Guards against leaving the region at once whenever no slot is leased in it,
	// and against waiting there for a lease that is never granted.
	ginkgo.It("are used without a lease in the local region only after the extra round trip", func() {
		r := newTestReducer(far)
		local := r.state.services["orders"].upstreams[0]
		local.leased = true
		Expect(firstEffect[StartAttempt](r.get())).To(BeZero())
		r.advance(23 * time.Millisecond)
		Expect(r.state.services["orders"].waiting).To(Equal(1))
		Expect(firstEffect[StartAttempt](r.advance(time.Millisecond)).Upstream).To(BeElementOf("b", "c"))
	})

	// Guards against long responses that saturate a link between regions, and
	// against cross-region bytes that are not counted.
	ginkgo.It("divide the rate limit of a link among long responses", func() {
		r := newTestReducer(func(s *config.Service) { far(s); s.Upstreams = s.Upstreams[1:] })
		var started [2]StartAttempt
		var effects []Effect
		for i := range started {
			started[i] = firstEffect[StartAttempt](r.send("GET", "long", func(*RequestArrived) {}))
			effects = r.step(AnswerBegun{Attempt: started[i].Attempt, Facts: success})
		}
		Expect(started[0].Rate).To(Equal(int64(500_000)))
		Expect(started[1].Rate).To(Equal(int64(250_000)))
		Expect(firstEffect[SetTransferRate](effects)).To(Equal(SetTransferRate{Attempt: started[0].Attempt, Rate: 250_000}))
		facts := success
		facts.Bytes = 1000
		effects = r.step(AnswerDelivered{Attempt: started[0].Attempt, Whole: true, Facts: facts})
		Expect(effects).To(ContainElement(Count{Counter: CounterCrossRegionBytes, Label: "qc>mtl", Add: 1000}))
		Expect(firstEffect[SetTransferRate](effects)).To(Equal(SetTransferRate{Attempt: started[1].Attempt, Rate: 500_000}))
	})
})
