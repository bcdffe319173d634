package proof

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	"pgregory.net/rapid"

	"wisteriapond/core"
	"wisteriapond/outcome"
)

// Guards against violations of the invariants by concurrent faults: lost and
// repeated messages, pauses, restarts, partitions, and stale or invalid
// documents.
var _ = Describe("one to three entry hosts with random faults", func() {
	It("preserve the invariants", func() {
		rapid.Check(GinkgoTB(), func(t *rapid.T) {
			s := newSimulation(t, rapid.IntRange(1, 3).Draw(t, "entry hosts"))
			s.warmUp()
			t.Repeat(s.actions())
			s.drain()
		})
	})
})

// warmUp delivers the configuration and the host list to every host.
func (s *simulation) warmUp() {
	for _, h := range s.hosts {
		s.readHostList(h, 0)
		s.readManifest(h, len(s.generations), "")
	}
	for range 30 {
		for _, h := range s.hosts {
			for len(h.reads) > 0 {
				s.readPart(h, 0)
			}
		}
		s.deliverInTransit()
		s.advance(100 * time.Millisecond)
	}
}

func (s *simulation) deliverInTransit() {
	for range 4 {
		packets := s.inTransit
		s.inTransit = nil
		for _, p := range packets {
			s.deliver(p)
		}
	}
	s.inTransit = nil
}

// actions returns the random actions by name. Rapid draws from the sorted names,
// so a change of their order changes the runs of a fixed seed. The names with
// "more" increase the probability of an action.
func (s *simulation) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"":                      s.check,
		"arrive":                s.actArrive,
		"arrive more":           s.actArrive,
		"progress":              s.actProgress,
		"progress more":         s.actProgress,
		"transmit":              s.actTransmit,
		"transmit more":         s.actTransmit,
		"serve more":            s.actServe,
		"break connection more": s.actBreakConnection,
		"serve":                 s.actServe,
		"answer":                s.actRespond,
		"break connection":      s.actBreakConnection,
		"stream":                s.actStream,
		"serve late":            s.actServeLate,
		"repeat event":          s.actRepeatEvent,
		"disconnect":            s.actDisconnect,
		"advance":               s.actAdvance,
		"pause":                 s.actPause,
		"restart":               s.actRestart,
		"stop":                  s.actStop,
		"publish":               s.actPublish,
		"read manifest":         s.actReadManifest,
		"read part":             s.actReadPart,
		"service down":          s.actServiceDown,
		"declare":               s.actDeclare,
		"read host list":        s.actReadHostList,
		"message":               s.actMessage,
		"partition":             func(t *rapid.T) { s.partitioned = !s.partitioned },
	}
}

func (s *simulation) check(*rapid.T) {
	s.checkProbes()
	for _, h := range s.hosts {
		if !h.paused {
			s.step(h, core.StatusRequested{ID: 1})
		}
	}
}

// draw returns one of the items that pass the filter, or skips the action.
func draw[E any](t *rapid.T, items []E, name string, keep func(E) bool) E {
	var kept []E
	for _, item := range items {
		if keep(item) {
			kept = append(kept, item)
		}
	}
	if len(kept) == 0 {
		t.Skip("no " + name)
	}
	return rapid.SampledFrom(kept).Draw(t, name)
}

func (s *simulation) drawHost(t *rapid.T) *entryHost {
	return draw(t, s.hosts, "host", func(h *entryHost) bool { return !h.paused && !h.exited })
}

func (s *simulation) drawAttempt(t *rapid.T, keep func(*attempt) bool) *attempt {
	var all []*attempt
	for _, h := range s.hosts {
		if !h.paused {
			all = append(all, h.attempts...)
		}
	}
	i := draw(t, indexes(all), "attempt", func(i int) bool { return keep(all[i]) })
	return all[i]
}

func indexes[E any](items []E) []int {
	all := make([]int, len(items))
	for i := range all {
		all[i] = i
	}
	return all
}

func (s *simulation) actArrive(t *rapid.T) {
	h := s.drawHost(t)
	method := rapid.SampledFrom([]string{"GET", "POST"}).Draw(t, "method")
	path := rapid.SampledFrom([]string{"/urn", "/urn", "/archive/1"}).Draw(t, "path")
	bodyKept := rapid.Bool().Draw(t, "body kept")
	timeout := rapid.SampledFrom([]time.Duration{0, 20 * time.Millisecond, 300 * time.Millisecond}).Draw(t, "timeout")
	for range rapid.IntRange(1, 12).Draw(t, "requests") {
		s.arrive(h, method, path, bodyKept, timeout)
	}
}

func (s *simulation) actTransmit(t *rapid.T) {
	a := s.drawAttempt(t, func(a *attempt) bool { return !a.started })
	s.transmit(a, rapid.IntRange(0, 4).Draw(t, "reachable") > 0)
}

func (s *simulation) actServe(t *rapid.T) {
	a := s.drawAttempt(t, func(a *attempt) bool { return a.started && !a.ran && !a.shed })
	s.serve(a, rapid.IntRange(0, 3).Draw(t, "shed") == 0)
}

func (s *simulation) actRespond(t *rapid.T) {
	a := s.drawAttempt(t, func(a *attempt) bool { return !a.streaming && (a.ran || a.shed) })
	facts := a.facts()
	if !a.shed {
		facts.Status = rapid.SampledFrom([]int{200, 200, 404, 500, 503}).Draw(t, "status")
		facts.GaveUp = rapid.Bool().Draw(t, "backend gave up")
	}
	s.finish(a, facts)
}

// actBreakConnection ends an attempt with an unknown outcome: the backend server
// may have run the request, may run it later, or may never receive it.
func (s *simulation) actBreakConnection(t *rapid.T) {
	a := s.drawAttempt(t, func(a *attempt) bool { return a.started && !a.streaming })
	causes := []outcome.Cause{outcome.CauseReset, outcome.CauseTimeout, outcome.CauseTruncated, outcome.CauseMalformed}
	if a.canceled {
		causes = []outcome.Cause{outcome.CauseCanceled}
	}
	cause := rapid.SampledFrom(causes).Draw(t, "cause")
	s.finish(a, outcome.Facts{Cause: cause, Wrote: true, Load: -1})
}

func (s *simulation) actStream(t *rapid.T) {
	a := s.drawAttempt(t, func(a *attempt) bool { return a.ran })
	if !a.streaming {
		s.startStream(a)
		return
	}
	s.endStream(a, rapid.Bool().Draw(t, "complete"))
}

// actServeLate makes a backend server run a request whose attempt has ended.
func (s *simulation) actServeLate(t *rapid.T) {
	i := draw(t, indexes(s.orphaned), "orphaned attempt", func(int) bool { return true })
	s.serve(s.orphaned[i], false)
	s.orphaned = append(s.orphaned[:i], s.orphaned[i+1:]...)
}

// actRepeatEvent reports a complete response for an attempt that has ended
// already, or that was followed by another one.
func (s *simulation) actRepeatEvent(t *rapid.T) {
	h := s.drawHost(t)
	id := core.RequestID(rapid.Uint64Range(1, uint64(h.nextID)+1).Draw(t, "request"))
	c := h.calls[id]
	if c == nil || c.attempts == 0 {
		t.Skip("request has no attempt")
	}
	last := c.attempts
	if len(c.terminal) == 0 {
		last--
	}
	if last == 0 || c.response != nil {
		t.Skip("no attempt has ended")
	}
	number := rapid.IntRange(1, last).Draw(t, "attempt")
	s.step(h, core.AttemptFinished{
		Attempt: core.AttemptID{Request: id, Number: number},
		Facts:   outcome.Facts{Wrote: true, Status: 200},
	})
}

// actProgress advances random attempts by a few steps without network faults.
func (s *simulation) actProgress(t *rapid.T) {
	for range rapid.IntRange(1, 8).Draw(t, "steps") {
		a := s.drawAttempt(t, func(a *attempt) bool { return !a.streaming })
		switch {
		case !a.started:
			s.transmit(a, true)
		case !a.ran && !a.shed:
			s.serve(a, rapid.IntRange(0, 5).Draw(t, "shed") == 0)
		default:
			s.finish(a, a.facts())
		}
	}
}

func (s *simulation) actDisconnect(t *rapid.T) {
	h := s.drawHost(t)
	id := core.RequestID(rapid.Uint64Range(1, uint64(h.nextID)+1).Draw(t, "request"))
	if c := h.calls[id]; c != nil {
		c.disconnected = true
		s.step(h, core.CallerGone{ID: id})
	}
}

func (s *simulation) actAdvance(t *rapid.T) {
	s.advance(time.Duration(rapid.SampledFrom([]int{10, 60, 200, 1000, 6000}).Draw(t, "milliseconds")) * time.Millisecond)
}

func (s *simulation) actPause(t *rapid.T) {
	h := draw(t, s.hosts, "host", func(h *entryHost) bool { return !h.exited })
	h.paused = !h.paused
}

func (s *simulation) actRestart(t *rapid.T) {
	h := draw(t, s.hosts, "host", func(*entryHost) bool { return true })
	for _, a := range h.attempts {
		if a.started && !a.ran && !a.shed {
			s.orphaned = append(s.orphaned, a)
		}
	}
	s.start(h)
}

func (s *simulation) actStop(t *rapid.T) {
	h := s.drawHost(t)
	if rapid.IntRange(0, 3).Draw(t, "skip") > 0 {
		t.Skip("stops are rare")
	}
	h.stopping = true
	s.step(h, core.StopRequested{})
}

func (s *simulation) actPublish(t *rapid.T) {
	s.publish(rapid.IntRange(0, 3).Draw(t, "valid") > 0)
}

// actReadManifest reads any published generation, since the configuration
// service may be stale.
func (s *simulation) actReadManifest(t *rapid.T) {
	h := s.drawHost(t)
	s.readManifest(h, rapid.IntRange(1, len(s.generations)).Draw(t, "generation"), "")
}

func (s *simulation) actReadPart(t *rapid.T) {
	h := draw(t, s.hosts, "host", func(h *entryHost) bool { return !h.paused && len(h.reads) > 0 })
	s.readPart(h, rapid.IntRange(0, len(h.reads)-1).Draw(t, "read"))
}

func (s *simulation) actServiceDown(t *rapid.T) {
	h := s.drawHost(t)
	h.reads = nil
	s.step(h, core.PlatformFailed{Key: "manifest", Reason: "down"})
}

func (s *simulation) actDeclare(t *rapid.T) {
	s.declare(backendName(rapid.IntRange(0, backendHosts-1).Draw(t, "backend")), true)
}

func (s *simulation) actReadHostList(t *rapid.T) {
	s.readHostList(s.drawHost(t), rapid.IntRange(0, 3).Draw(t, "lag"))
}

// actMessage delivers, repeats or drops a message in transit.
func (s *simulation) actMessage(t *rapid.T) {
	if len(s.inTransit) == 0 {
		t.Skip("no message")
	}
	i := rapid.IntRange(0, len(s.inTransit)-1).Draw(t, "message")
	p := s.inTransit[i]
	fate := rapid.SampledFrom([]string{"deliver", "repeat", "drop"}).Draw(t, "fate")
	if fate != "repeat" {
		s.inTransit = append(s.inTransit[:i], s.inTransit[i+1:]...)
	}
	if fate != "drop" && !s.partitioned {
		s.deliver(p)
	}
}
