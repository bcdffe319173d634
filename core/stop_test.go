package core

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"wisteriapond/config"
	"wisteriapond/outcome"
)

const (
	testAcceptFor   = 3 * time.Second
	testStopTimeout = 2500 * time.Millisecond
)

// newStopTestReducer returns a reducer with one server for orders.
func newStopTestReducer() *storeTestReducer {
	r := &storeTestReducer{testReducer: &testReducer{state: New()}}
	r.step(stopStart())
	routes := routing(1)
	for i := range routes.Routes {
		routes.Routes[i].Timeout = time.Minute
	}
	r.list(routes, storeServer("w", "write", "mtl-a"))
	return r
}

// stopStart returns the Start event of these specs.
func stopStart() Start {
	return Start{
		Host: "entry-1", Region: "mtl", FailureDomain: "mtl-a", Seed: 1, Registry: registrySettings(),
		AcceptFor: testAcceptFor, StopTimeout: testStopTimeout,
	}
}

// arriveWithin delivers an order whose caller waits for the given time, and starts it
// without a load report if it is admitted.
func (r *storeTestReducer) arriveWithin(budget time.Duration) []Effect {
	r.lastID++
	effects := r.step(RequestArrived{
		ID: r.lastID, BodyKept: true, Timeout: budget, Request: config.Request{Method: "POST", Host: "h", Path: "/order/x"},
	})
	if count[StartAttempt](effects)+count[Refuse](effects) == 0 {
		effects = r.advance(50 * time.Millisecond)
	}
	return effects
}

var _ = ginkgo.Describe("a planned stop", func() {
	// Guards against an order that is handled in the same batch of events as the end of
	// the process: it was sent to a server, and its response was lost.
	ginkgo.It("starts nothing after the end of the process was requested", func() {
		r := newStopTestReducer()
		r.step(StopRequested{})
		Expect(count[Exit](r.advance(testAcceptFor))).To(Equal(1))
		effects := r.arriveWithin(time.Second)
		Expect(count[StartAttempt](effects)).To(BeZero())
		Expect(refusal(effects)).To(Equal(outcome.RefusedNotReady))
		Expect(firstEffect[Refuse](effects).RetryAfter).To(And(BeNumerically(">", 0), BeNumerically("<=", maxStopRetryAfter+time.Millisecond)))
	})

	// Guards against a signal that comes while the process starts, and ends the control
	// loop before the servers that it has to close have begun to serve: the stop was
	// handled with a time to accept of 0.
	ginkgo.It("that is requested before Start lasts as long as any other", func() {
		r := &storeTestReducer{testReducer: &testReducer{state: New()}}
		Expect(r.step(StopRequested{})).To(BeEmpty())
		Expect(r.advance(TickInterval)).To(BeEmpty())
		started := r.step(stopStart())
		Expect(count[Exit](started)).To(BeZero())
		Expect(count[ListStore](started)).To(Equal(1))
		Expect(count[Log](started)).To(Equal(1))
		effects := r.list(routing(1), storeServer("w", "write", "mtl-a"))
		Expect(count[SetReady](effects)).To(BeZero())
		effects = r.advance(testAcceptFor - 1)
		Expect(count[StopAccepting](effects) + count[Exit](effects)).To(BeZero())
		effects = r.advance(1)
		Expect(count[StopAccepting](effects)).To(Equal(1))
		Expect(count[Exit](effects)).To(Equal(1))
	})

	// Guards against orders of the first events in which a stop is lost, comes too early,
	// or has effects before the settings are known.
	ginkgo.It("ends once, whatever the order of the first events", func() {
		rapid.Check(ginkgo.GinkgoT(), func(t *rapid.T) {
			r := &storeTestReducer{testReducer: &testReducer{state: New()}}
			var effects []Effect
			started, stopped, exitFrom := false, false, Instant(0)
			step := func(event Event) {
				added := r.step(event)
				if !started && count[Refuse](added)+count[Count](added) != len(added) {
					t.Fatalf("%T before Start has the effects %+v", event, added)
				}
				effects = append(effects, added...)
			}
			stop := func() {
				step(StopRequested{})
				if !stopped && started {
					exitFrom = r.now.Add(testAcceptFor)
				}
				stopped = true
			}
			start := func() {
				started = true
				step(stopStart())
				exitFrom = r.now.Add(testAcceptFor)
			}
			// Each round ends one acceptance time after Start at the latest.
			for range rapid.IntRange(0, 12).Draw(t, "events") {
				r.now = r.now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond)
				switch rapid.SampledFrom([]string{"start", "stop", "tick", "settings", "arrival", "listing"}).Draw(t, "event") {
				case "start":
					if !started {
						start()
					}
				case "stop":
					stop()
				case "tick":
					step(Tick{})
				case "settings":
					step(SettingsChanged{Registry: registrySettings()})
				case "arrival":
					r.lastID++
					step(RequestArrived{ID: r.lastID, Timeout: time.Second, Request: config.Request{Method: "POST", Host: "h", Path: "/order/x"}})
				case "listing":
					if started {
						effects = append(effects, r.list(routing(1))...)
					}
				}
			}
			if !started {
				start()
			}
			if !stopped {
				stop()
			}
			if count[Exit](effects) > 0 {
				t.Fatalf("the process ends before the time to accept is over")
			}
			r.now = exitFrom
			step(Tick{})
			if n := count[Exit](effects); n != 1 {
				t.Fatalf("%d ends of the process, want 1", n)
			}
		})
	})

	// Guards against work that an event starts which is handled in the same batch as the
	// end of the process, and which the process does not live to finish.
	ginkgo.It("starts nothing after Exit, whatever event follows", func() {
		rapid.Check(ginkgo.GinkgoT(), func(t *rapid.T) {
			r := newStopTestReducer()
			var running []StartAttempt
			for range rapid.IntRange(0, 6).Draw(t, "requests") {
				if effects := r.arriveWithin(time.Minute); count[StartAttempt](effects) == 1 {
					running = append(running, firstEffect[StartAttempt](effects))
				}
			}
			r.step(StopRequested{})
			r.advance(testAcceptFor)
			if len(running) > 0 {
				r.now = r.now.Add(testStopTimeout)
				Expect(count[Exit](r.step(Tick{}))).To(Equal(1))
			}
			ended := make(map[RequestID]int)
			for range rapid.IntRange(1, 20).Draw(t, "events") {
				r.now = r.now.Add(time.Duration(rapid.IntRange(0, 1000).Draw(t, "ms")) * time.Millisecond)
				var effects []Effect
				switch rapid.SampledFrom([]string{
					"tick", "arrival", "finished", "shed", "gone", "listing", "change", "failure", "asked", "answered", "probe", "settings", "stop",
				}).Draw(t, "event") {
				case "tick":
					effects = r.step(Tick{})
				case "arrival":
					r.lastID++
					effects = r.step(RequestArrived{ID: r.lastID, BodyKept: true, Timeout: time.Second, Request: config.Request{Method: "POST", Host: "h", Path: "/order/x"}})
					if count[Refuse](effects) != 1 {
						t.Fatalf("an arrival is not refused: %+v", effects)
					}
				case "finished", "shed":
					if len(running) == 0 {
						continue
					}
					attempt := running[0]
					running = running[1:]
					facts := rapid.SampledFrom([]outcome.Facts{success, shed}).Draw(t, "facts")
					effects = r.finishAttempt(attempt, facts)
					ended[attempt.Attempt.Request] += count[PassAnswer](effects) + count[Refuse](effects)
					if ended[attempt.Attempt.Request] != 1 {
						t.Fatalf("a request gets %d answers: %+v", ended[attempt.Attempt.Request], effects)
					}
				case "gone":
					if len(running) == 0 {
						continue
					}
					effects = r.step(CallerGone{ID: running[0].Attempt.Request})
					running = running[1:]
				case "listing":
					effects = r.list(routing(2), storeServer("w", "write", "mtl-a"), storeServer("v", "write", "mtl-b"))
				case "change":
					effects = r.change(removed("w"))
				case "failure":
					effects = r.step(StoreFailed{Reason: "refused"})
				case "asked":
					effects = r.step(NewsAsked{ID: 1, Ask: NewsAsk{From: Neighbour{Host: "entry-2", Address: "127.0.0.1:2", FailureDomain: "mtl-a"}}})
				case "answered":
					effects = r.step(NewsAnswered{Address: "127.0.0.1:2"})
				case "probe":
					effects = r.step(ProbeFinished{Service: "write", Upstream: "w"})
				case "settings":
					effects = r.step(SettingsChanged{Registry: registrySettings()})
				case "stop":
					effects = r.step(StopRequested{})
				}
				for _, effect := range effects {
					switch effect.(type) {
					case Refuse, Fail, PassAnswer, CancelAttempt, Count, Log, CloseIdle:
					default:
						t.Fatalf("after Exit: %T %+v", effect, effect)
					}
				}
			}
		})
	})

	// Guards against orders that arrive late in the stop, on connections that were open
	// before, and are cut off by the end of the process.
	ginkgo.DescribeTable("admits a late order only if it ends before the process does",
		func(after, budget time.Duration, admitted bool, left time.Duration) {
			r := newStopTestReducer()
			r.step(StopRequested{})
			running := firstEffect[StartAttempt](r.arriveWithin(testAcceptFor + testStopTimeout))
			Expect(running.Attempt.Request).NotTo(BeZero())
			r.now = Instant(after)
			r.step(Tick{})
			effects := r.arriveWithin(budget)
			Expect(count[Refuse](effects) == 0).To(Equal(admitted))
			Expect(count[StartAttempt](effects) == 1).To(Equal(admitted))
			if admitted {
				Expect(firstEffect[StartAttempt](effects).Deadline.Sub(Instant(after))).To(Equal(left))
			}
		},
		ginkgo.Entry("while the listener is open", testAcceptFor/2, time.Second, true, time.Second),
		ginkgo.Entry("while the listener is open, with a long time limit", testAcceptFor/2, time.Minute, true, testAcceptFor/2+testStopTimeout),
		ginkgo.Entry("later, with a time limit before the end", testAcceptFor+time.Second, time.Second, true, time.Second),
		ginkgo.Entry("later, with a time limit beyond the end", testAcceptFor+time.Second, 2*time.Second, false, time.Duration(0)),
	)

	// Guards against a request that waits for its next attempt when the time for the stop
	// is over, and that ends with an unknown outcome though it has not run.
	ginkgo.It("refuses a request that waits for an attempt at its end", func() {
		r := newStopTestReducer()
		waiting := firstEffect[StartAttempt](r.arriveWithin(time.Minute))
		r.step(StopRequested{})
		r.advance(testAcceptFor)
		r.now = r.now.Add(testStopTimeout - 1)
		Expect(count[Refuse](r.finishAttempt(waiting, shed))).To(BeZero())
		effects := r.advance(1)
		Expect(count[Exit](effects)).To(Equal(1))
		Expect(refusal(effects)).To(Equal(outcome.RefusedNotReady))
	})

	// Guards against responses that are ready when the time for the stop is over and are
	// not passed on, and against an attempt that ends later, has not run, and is retried.
	ginkgo.It("passes on ready responses and refuses what has not run at its end", func() {
		r := newStopTestReducer()
		running := firstEffect[StartAttempt](r.arriveWithin(time.Minute))
		shedding := firstEffect[StartAttempt](r.arriveWithin(time.Minute))
		Expect(shedding.Attempt.Request).NotTo(BeZero())
		r.step(StopRequested{})
		r.advance(testAcceptFor)
		r.now = r.now.Add(testStopTimeout)
		Expect(count[Exit](r.step(Tick{}))).To(Equal(1))
		Expect(count[PassAnswer](r.finishAttempt(running, success))).To(Equal(1))
		Expect(refusal(r.finishAttempt(shedding, shed))).To(Equal(outcome.RefusedUnavailable))
	})
})
