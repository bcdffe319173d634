package core

import (
	"fmt"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"wisteriapond/config"
	"wisteriapond/outcome"
)

// bench is one reducer with the service "orders" in force.
type bench struct {
	state  *State
	now    Instant
	lastID RequestID
}

func newBench(change func(*config.Service)) *bench {
	b := &bench{state: New()}
	b.step(Start{Host: "entry-1", Region: "mtl", FailureDomain: "mtl-a", Seed: 1})
	b.configure(1, change)
	return b
}

func (b *bench) configure(generation uint64, change func(*config.Service)) []Effect {
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
	b.step(ManifestRead{
		Version: config.Version{Generation: generation, Hash: hash},
		Manifest: &config.Manifest{
			Generation: generation, EntryHosts: 10, Links: config.Links{BytesPerSecond: 10_000_000, LongPercent: 50},
			Services: []config.ServiceRef{{Name: part.Name, Hash: hash}},
		},
	})
	effects := b.step(PartRead{Hash: hash, Service: part})
	Expect(b.state.inForce().Generation).To(Equal(generation))
	return effects
}

func upstreamNamed(name string, slots int) config.Upstream {
	return config.Upstream{
		Name: name, Host: "host-" + name, Address: name, Region: "mtl", FailureDomain: "mtl-a", Slots: slots, Connections: 10,
	}
}

func unchanged(*config.Service) {}

func only(names ...string) func(*config.Service) {
	return func(s *config.Service) {
		s.Upstreams = nil
		for _, name := range names {
			s.Upstreams = append(s.Upstreams, upstreamNamed(name, 2))
		}
	}
}

func (b *bench) step(event Event) []Effect {
	var effects Effects
	b.state.Step(b.now, event, &effects)
	return effects.All()
}

func (b *bench) after(d time.Duration) []Effect {
	b.now = b.now.Add(d)
	return b.step(Tick{})
}

func (b *bench) send(method, kind string, change func(*RequestArrived)) []Effect {
	b.lastID++
	e := RequestArrived{ID: b.lastID, BodyKept: true, Request: config.Request{Method: method, Path: "/x"}}
	if kind != "" {
		e.Request.Headers = []config.Header{{Name: "x-kind", Value: kind}}
	}
	change(&e)
	return b.step(e)
}

func (b *bench) get() []Effect  { return b.send("GET", "", func(*RequestArrived) {}) }
func (b *bench) post() []Effect { return b.send("POST", "", func(*RequestArrived) {}) }

func (b *bench) finish(a StartAttempt, facts outcome.Facts) []Effect {
	return b.step(AttemptFinished{Attempt: a.Attempt, Facts: facts})
}

var (
	ok       = outcome.Facts{Wrote: true, Status: 200, Load: -1}
	shed     = outcome.Facts{Wrote: true, Status: 503, NotRunHeader: true, Load: -1}
	plain503 = outcome.Facts{Wrote: true, Status: 503, Load: -1}
	reset    = outcome.Facts{Wrote: true, Cause: outcome.CauseReset, Load: -1}
	dial     = outcome.Facts{Cause: outcome.CauseDial, Load: -1}
)

// first returns the first effect of a type, or its zero value.
func first[E Effect](effects []Effect) E {
	for _, effect := range effects {
		if e, ok := effect.(E); ok {
			return e
		}
	}
	var none E
	return none
}

func refusal(effects []Effect) outcome.Refusal { return first[Refuse](effects).Reason }

var _ = ginkgo.Describe("waiting for a slot", func() {
	// Guards against exceeded slots and against a queue that ignores deadlines.
	ginkgo.It("starts waiting requests by deadline, within the limit", func() {
		b := newBench(only("a"))
		running := first[StartAttempt](b.get())
		Expect(first[StartAttempt](b.get())).To(BeZero())
		b.send("GET", "", func(e *RequestArrived) { e.Timeout = 500 * time.Millisecond })
		next := first[StartAttempt](b.finish(running, ok))
		Expect(next.Attempt.Request).To(Equal(RequestID(3)))
		Expect(first[StartAttempt](b.finish(next, ok)).Attempt.Request).To(Equal(RequestID(2)))
	})

	// Guards against a queue without a bound and against late refusals.
	ginkgo.It("refuses at once what does not fit or comes too late", func() {
		b := newBench(only("a"))
		running := first[StartAttempt](b.get())
		b.now = b.now.Add(400 * time.Millisecond)
		b.finish(running, ok)
		b.get()
		Expect(refusal(b.send("GET", "", func(e *RequestArrived) { e.Timeout = 700 * time.Millisecond }))).To(Equal(outcome.RefusedDeadline))
		for range 3 {
			b.send("GET", "", func(e *RequestArrived) { e.Timeout = time.Hour })
			b.state.services["orders"].config.Timeout = time.Minute
		}
		b.get()
		Expect(refusal(b.get())).To(Equal(outcome.RefusedQueueFull))
	})

	// Guards against requests that stay in the queue for ever.
	ginkgo.It("refuses a waiting request at its deadline", func() {
		b := newBench(only("a"))
		b.get()
		Expect(first[WakeAt](b.send("GET", "", func(e *RequestArrived) { e.Timeout = 50 * time.Millisecond })).At).To(Equal(Instant(50 * time.Millisecond)))
		Expect(refusal(b.after(50 * time.Millisecond))).To(Equal(outcome.RefusedDeadline))
	})

	// Guards against places held by callers that hung up.
	ginkgo.It("frees the place of a caller that hangs up", func() {
		b := newBench(only("a"))
		running := first[StartAttempt](b.get())
		b.get()
		b.get()
		Expect(refusal(b.step(CallerGone{ID: 2}))).To(Equal(outcome.RefusedCallerGone))
		Expect(first[CancelAttempt](b.step(CallerGone{ID: 1})).Attempt).To(Equal(running.Attempt))
		canceled := outcome.Facts{Wrote: true, Cause: outcome.CauseCanceled}
		Expect(first[StartAttempt](b.finish(running, canceled)).Attempt.Request).To(Equal(RequestID(3)))
	})

	// Guards against waiting requests lost with the old configuration.
	ginkgo.It("keeps waiting requests when the configuration changes", func() {
		b := newBench(only("a"))
		b.get()
		b.get()
		b.configure(2, only("a", "b"))
		Expect(b.state.services["orders"].waiting).To(BeZero())
		Expect(b.state.requests[2].upstream.config.Name).To(Equal("b"))
	})

	// Guards against an order that starts on what a paused host last knew.
	ginkgo.It("holds orders back after a pause of the process", func() {
		b := newBench(func(s *config.Service) { s.Timeout = time.Minute })
		b.after(100 * time.Millisecond)
		b.after(2 * time.Second)
		Expect(first[StartAttempt](b.get())).NotTo(BeZero())
		Expect(first[StartAttempt](b.post())).To(BeZero())
		for range 9 {
			Expect(first[StartAttempt](b.after(100 * time.Millisecond))).To(BeZero())
		}
		Expect(first[StartAttempt](b.after(100 * time.Millisecond)).Attempt.Request).To(Equal(RequestID(2)))
	})

	// Guards against downloads that take every slot of a shared upstream.
	ginkgo.It("keeps one slot free of long requests", func() {
		b := newBench(only("a"))
		u := b.state.services["orders"].upstreams[0]
		u.leased, u.held = true, 2
		long := func() []Effect { return b.send("GET", "long", func(*RequestArrived) {}) }
		Expect(first[StartAttempt](long())).NotTo(BeZero())
		Expect(first[StartAttempt](long())).To(BeZero())
		Expect(first[StartAttempt](b.get())).NotTo(BeZero())
	})

	// Guards against an estimate that, once too high, refuses every request.
	ginkgo.It("lets requests through again after a slow time", func() {
		b := newBench(only("a"))
		slow := first[StartAttempt](b.get())
		b.now = b.now.Add(900 * time.Millisecond)
		b.finish(slow, ok)
		short := func() []Effect {
			return b.send("GET", "", func(e *RequestArrived) { e.Timeout = 100 * time.Millisecond })
		}
		Expect(refusal(short())).To(Equal(outcome.RefusedDeadline))
		for range 40 {
			short()
		}
		Expect(b.state.services["orders"].upstreams[0].running).To(Equal(1))
	})

	// Guards against memory that grows with the labels that callers invent.
	ginkgo.It("remembers a bounded number of label sets", func() {
		b := newBench(unchanged)
		for i := range 3 * maxCachedGroups {
			b.finish(first[StartAttempt](b.send("GET", fmt.Sprint("k", i), func(*RequestArrived) {})), ok)
		}
		Expect(b.state.services["orders"].groups.byLabels).To(HaveLen(maxCachedGroups))
	})
})

var _ = ginkgo.Describe("retries", func() {
	// Guards against a second run of a non-idempotent request, and against one
	// that may have run being reported as not run.
	ginkgo.It("sends a non-idempotent request again only when it did not run", func() {
		b := newBench(unchanged)
		b.finish(first[StartAttempt](b.post()), shed)
		again := first[StartAttempt](b.after(100 * time.Millisecond))
		Expect(again.Attempt.Number).To(Equal(2))
		failed := first[Fail](b.finish(again, reset))
		Expect(failed.Reason).To(Equal(outcome.FailedReset))
		Expect(failed.GaveUp).To(BeTrue())
	})

	// Guards against "not run" after an attempt that may have run.
	ginkgo.It("reports the outcome as unknown when a later attempt is refused", func() {
		b := newBench(only("a"))
		b.finish(first[StartAttempt](b.get()), reset)
		b.state.MarkLeaving(b.now, "host-a", &Effects{})
		effects := b.after(100 * time.Millisecond)
		Expect(refusal(effects)).To(BeZero())
		Expect(first[Fail](effects).Reason).To(Equal(outcome.FailedReset))
	})

	// Guards against an error answer that is lost when no other attempt starts.
	ginkgo.It("retries an answered 503 and passes it on when that is impossible", func() {
		b := newBench(only("a"))
		a := first[StartAttempt](b.get())
		Expect(first[PassAnswer](b.finish(a, plain503))).To(BeZero())
		b.state.MarkLeaving(b.now, "host-a", &Effects{})
		Expect(first[PassAnswer](b.after(100 * time.Millisecond))).To(Equal(PassAnswer{Attempt: a.Attempt, Upstream: "a", GaveUp: true}))
		marked := plain503
		marked.GaveUp = true
		other := newBench(unchanged)
		Expect(first[PassAnswer](other.finish(first[StartAttempt](other.get()), marked)).GaveUp).To(BeTrue())
		Expect(first[PassAnswer](other.finish(first[StartAttempt](other.post()), plain503)).Upstream).NotTo(BeEmpty())
	})

	// Guards against retries beyond the budget and beyond three attempts.
	ginkgo.It("stops at the budget and at the number of attempts", func() {
		b := newBench(unchanged)
		a := first[StartAttempt](b.get())
		b.finish(a, dial)
		a = first[StartAttempt](b.after(100 * time.Millisecond))
		b.finish(a, dial)
		a = first[StartAttempt](b.after(100 * time.Millisecond))
		Expect(a.Attempt.Number).To(Equal(3))
		Expect(first[Refuse](b.finish(a, dial)).GaveUp).To(BeTrue())
		for b.state.services["orders"].retries.Withdraw() {
		}
		Expect(refusal(b.finish(first[StartAttempt](b.get()), dial))).To(Equal(outcome.RefusedUnavailable))
	})

	// Guards against a retry that could only be late and takes a token that
	// another request needs.
	ginkgo.It("takes nothing from the budget when the answer would be late", func() {
		b := newBench(unchanged)
		answered := first[StartAttempt](b.get())
		b.now = b.now.Add(400 * time.Millisecond)
		b.finish(answered, ok)
		late := first[StartAttempt](b.get())
		b.now = b.now.Add(700 * time.Millisecond)
		tokens := b.state.services["orders"].retries.Tokens()
		effects := b.finish(late, dial)
		Expect(refusal(effects)).To(Equal(outcome.RefusedUnavailable))
		Expect(effects).To(ContainElement(Count{Counter: CounterRetriesWithheld, Label: string(outcome.WithheldDeadline), Add: 1}))
		Expect(b.state.services["orders"].retries.Tokens()).To(Equal(tokens))
	})

	// Guards against a streamed body that is sent again without its beginning.
	ginkgo.It("does not send a body again that was not kept", func() {
		b := newBench(unchanged)
		effects := b.send("POST", "", func(e *RequestArrived) { e.BodyKept = false })
		Expect(refusal(b.finish(first[StartAttempt](effects), shed))).To(Equal(outcome.RefusedUnavailable))
	})

	// Guards against a chunked refusal or error that is passed on unseen.
	ginkgo.It("judges the head of a long answer like a whole one", func() {
		b := newBench(unchanged)
		a := first[StartAttempt](b.get())
		Expect(first[PassAnswer](b.step(AnswerBegun{Attempt: a.Attempt, Facts: shed}))).To(BeZero())
		a = first[StartAttempt](b.after(100 * time.Millisecond))
		Expect(first[PassAnswer](b.step(AnswerBegun{Attempt: a.Attempt, Facts: ok})).Attempt).To(Equal(a.Attempt))
		b.step(AnswerDelivered{Attempt: a.Attempt, Whole: true, Facts: ok})
		Expect(b.state.requests).To(BeEmpty())
	})

	// Guards against new work on a server that said it is leaving.
	ginkgo.It("sends nothing to a host after its draining answer", func() {
		b := newBench(unchanged)
		draining := shed
		draining.Draining = true
		a := first[StartAttempt](b.get())
		Expect(first[CloseIdle](b.finish(a, draining)).Address).To(Equal(a.Address))
		for range 3 {
			b.after(100 * time.Millisecond)
			b.get()
		}
		for _, u := range b.state.services["orders"].upstreams {
			if u.config.Address == a.Address {
				Expect(u.running).To(BeZero())
			}
		}
	})

	// Guards against a start on a host that the same event declares leaving.
	ginkgo.It("starts waiting requests only when all news of an event are in", func() {
		b := newBench(only("a", "b"))
		mark := func(epoch uint64, leaving bool) HostEntry {
			return HostEntry{Host: "host-a", Epoch: epoch, Leaving: leaving}
		}
		b.step(HostListRead{Hosts: []HostEntry{mark(1, true)}})
		b.get()
		b.get()
		Expect(b.state.services["orders"].waiting).To(Equal(1))
		Expect(first[StartAttempt](b.step(HostListRead{Hosts: []HostEntry{mark(2, false), mark(3, true)}}))).To(BeZero())
		Expect(first[StartAttempt](b.step(HostListRead{Hosts: []HostEntry{mark(4, false)}})).Upstream).To(Equal("a"))
	})

	// Guards against an asked wait that blocks other upstreams or never ends.
	ginkgo.It("keeps to an asked wait for that upstream, at most one second", func() {
		b := newBench(only("a"))
		u := b.state.services["orders"].upstreams[0]
		u.leased, u.held = true, 1
		asking := shed
		asking.RetryAfter = time.Hour
		b.finish(first[StartAttempt](b.send("GET", "", func(e *RequestArrived) { e.Timeout = time.Second })), asking)
		b.state.services["orders"].config.Timeout = time.Minute
		Expect(first[StartAttempt](b.get())).To(BeZero())
		b.after(999 * time.Millisecond)
		Expect(b.state.services["orders"].upstreams[0].running).To(BeZero())
		b.after(time.Millisecond)
		Expect(b.state.services["orders"].upstreams[0].running).To(Equal(1))
	})

	// Guards against a server that is out of use for a second because its slots
	// were full for some milliseconds, which own counts cannot know.
	ginkgo.It("ignores the wait that a full server asks for on own counts", func() {
		b := newBench(only("a"))
		asking := shed
		asking.RetryAfter = time.Hour
		b.finish(first[StartAttempt](b.get()), asking)
		b.after(500 * time.Millisecond)
		Expect(b.state.services["orders"].upstreams[0].running).To(Equal(1))
	})

	// Guards against first requests to a server whose probe has just failed, and
	// against probes that outweigh what requests observe.
	ginkgo.It("avoids an upstream whose probe failed until requests show better", func() {
		b := newBench(unchanged)
		b.step(ProbeFinished{Service: "orders", Upstream: "a", Facts: outcome.Facts{Wrote: true, Status: 500}})
		Expect(first[StartAttempt](b.get()).Upstream).To(Equal("b"))
		a := first[StartAttempt](b.get())
		Expect(a.Upstream).To(Equal("a"))
		b.finish(a, ok)
		u := b.state.services["orders"].upstreams[0]
		Expect(b.state.latencyOf(u, time.Second)).To(BeNumerically("<", time.Second))
	})

	// Guards against chains of nested calls without an end.
	ginkgo.It("refuses the sixteenth entry host of a chain", func() {
		at := func(depth int) []Effect {
			return newBench(unchanged).send("GET", "", func(e *RequestArrived) { e.Depth = depth })
		}
		Expect(first[StartAttempt](at(14)).Depth).To(Equal(15))
		Expect(refusal(at(15))).To(Equal(outcome.RefusedDepth))
	})

	// Guards against a failing server that keeps its share, and against one
	// that never returns.
	ginkgo.It("ejects a failing upstream and takes it back after a trial", func() {
		b := newBench(only("a", "b", "c"))
		u := b.state.services["orders"].upstreams[0]
		for i := 0; !u.health.Ejected(); i++ {
			Expect(i).To(BeNumerically("<", 100))
			a := first[StartAttempt](b.post())
			facts := ok
			if a.Upstream == "a" {
				facts = reset
			}
			b.finish(a, facts)
		}
		Expect(first[StartAttempt](b.post()).Upstream).NotTo(Equal("a"))
		b.after(time.Second)
		trial := first[StartAttempt](b.get())
		Expect(trial.Upstream).To(Equal("a"))
		b.finish(trial, ok)
		Expect(u.health.Ejected()).To(BeFalse())
		Expect(b.state.allowed(u.service, u)).To(Equal(1))
	})
})

var _ = ginkgo.Describe("other regions", func() {
	far := func(s *config.Service) {
		only("a", "b", "c")(s)
		for _, i := range []int{1, 2} {
			s.Upstreams[i].Region = "qc"
		}
	}

	// Guards against crossing regions for nothing, and against waiting longer
	// than the trip takes.
	ginkgo.It("are used only when the wait is longer than the trip", func() {
		b := newBench(far)
		near := first[StartAttempt](b.get())
		Expect(near.Upstream).To(Equal("a"))
		b.now = b.now.Add(20 * time.Millisecond)
		b.finish(near, ok)
		b.get()
		Expect(first[StartAttempt](b.get())).To(BeZero())
		Expect(first[StartAttempt](b.get()).Upstream).To(BeElementOf("b", "c"))
	})

	// Guards against leaving the region at once whenever no lease is held, and
	// against waiting there for a lease that does not come.
	ginkgo.It("are used without a lease at home only after the time of the trip", func() {
		b := newBench(far)
		home := b.state.services["orders"].upstreams[0]
		home.leased = true
		Expect(first[StartAttempt](b.get())).To(BeZero())
		b.after(23 * time.Millisecond)
		Expect(b.state.services["orders"].waiting).To(Equal(1))
		Expect(first[StartAttempt](b.after(time.Millisecond)).Upstream).To(BeElementOf("b", "c"))
	})

	// Guards against downloads that fill a link, and against uncounted bytes.
	ginkgo.It("share a part of the link among long answers", func() {
		b := newBench(func(s *config.Service) { far(s); s.Upstreams = s.Upstreams[1:] })
		var started [2]StartAttempt
		var effects []Effect
		for i := range started {
			started[i] = first[StartAttempt](b.send("GET", "long", func(*RequestArrived) {}))
			effects = b.step(AnswerBegun{Attempt: started[i].Attempt, Facts: ok})
		}
		Expect(started[0].Rate).To(Equal(int64(500_000)))
		Expect(started[1].Rate).To(Equal(int64(250_000)))
		Expect(first[SetTransferRate](effects)).To(Equal(SetTransferRate{Attempt: started[0].Attempt, Rate: 250_000}))
		facts := ok
		facts.Bytes = 1000
		effects = b.step(AnswerDelivered{Attempt: started[0].Attempt, Whole: true, Facts: facts})
		Expect(effects).To(ContainElement(Count{Counter: CounterCrossRegionBytes, Label: "qc>mtl", Add: 1000}))
		Expect(first[SetTransferRate](effects)).To(Equal(SetTransferRate{Attempt: started[1].Attempt, Rate: 500_000}))
	})
})
