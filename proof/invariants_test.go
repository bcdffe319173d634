package proof

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	"pgregory.net/rapid"

	"wisteriapond/core"
	"wisteriapond/outcome"
)

var _ = Describe("several entry hosts under faults", func() {
	It("keep the invariants", func() {
		rapid.Check(GinkgoTB(), func(t *rapid.T) {
			w := newWorld(t, rapid.IntRange(1, 3).Draw(t, "entry hosts"))
			w.warmUp()
			t.Repeat(w.actions())
			w.settle()
		})
	})
})

// warmUp gives every host the configuration and the list of hosts.
func (w *world) warmUp() {
	for _, h := range w.hosts {
		w.readHostList(h, 0)
		w.readManifest(h, len(w.documents), "")
	}
	for range 30 {
		for _, h := range w.hosts {
			for len(h.reads) > 0 {
				w.readPart(h, 0)
			}
		}
		w.deliverAll()
		w.advance(100 * time.Millisecond)
	}
}

func (w *world) deliverAll() {
	for range 4 {
		packets := w.network
		w.network = nil
		for _, p := range packets {
			w.deliver(p)
		}
	}
	w.network = nil
}

func (w *world) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"":               w.check,
		"arrive":         w.actArrive,
		"arrive more":    w.actArrive,
		"progress":       w.actProgress,
		"progress more":  w.actProgress,
		"transmit":       w.actTransmit,
		"transmit more":  w.actTransmit,
		"serve more":     w.actServe,
		"break more":     w.actBreak,
		"serve":          w.actServe,
		"answer":         w.actAnswer,
		"break":          w.actBreak,
		"stream":         w.actStream,
		"serve late":     w.actServeLate,
		"repeat event":   w.actRepeatEvent,
		"hang up":        w.actHangUp,
		"advance":        w.actAdvance,
		"pause":          w.actPause,
		"restart":        w.actRestart,
		"stop":           w.actStop,
		"publish":        w.actPublish,
		"read manifest":  w.actReadManifest,
		"read part":      w.actReadPart,
		"service down":   w.actServiceDown,
		"declare":        w.actDeclare,
		"read host list": w.actReadHostList,
		"message":        w.actMessage,
		"partition":      func(t *rapid.T) { w.cut = !w.cut },
	}
}

func (w *world) check(*rapid.T) {
	w.checkProbes()
	for _, h := range w.hosts {
		if !h.paused {
			w.step(h, core.StatusRequested{ID: 1})
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

func (w *world) drawHost(t *rapid.T) *entryHost {
	return draw(t, w.hosts, "host", func(h *entryHost) bool { return !h.paused && !h.exited })
}

func (w *world) drawAttempt(t *rapid.T, keep func(*attempt) bool) *attempt {
	var all []*attempt
	for _, h := range w.hosts {
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

func (w *world) actArrive(t *rapid.T) {
	h := w.drawHost(t)
	method := rapid.SampledFrom([]string{"GET", "POST"}).Draw(t, "method")
	path := rapid.SampledFrom([]string{"/urn", "/urn", "/archive/1"}).Draw(t, "path")
	kept := rapid.Bool().Draw(t, "body kept")
	timeout := rapid.SampledFrom([]time.Duration{0, 20 * time.Millisecond, 300 * time.Millisecond}).Draw(t, "timeout")
	for range rapid.IntRange(1, 12).Draw(t, "requests") {
		w.arrive(h, method, path, kept, timeout)
	}
}

func (w *world) actTransmit(t *rapid.T) {
	a := w.drawAttempt(t, func(a *attempt) bool { return !a.started })
	w.transmit(a, rapid.IntRange(0, 4).Draw(t, "reachable") > 0)
}

func (w *world) actServe(t *rapid.T) {
	a := w.drawAttempt(t, func(a *attempt) bool { return a.started && !a.ran && !a.shed })
	w.serve(a, rapid.IntRange(0, 3).Draw(t, "shed") == 0)
}

func (w *world) actAnswer(t *rapid.T) {
	a := w.drawAttempt(t, func(a *attempt) bool { return !a.streaming && (a.ran || a.shed) })
	facts := a.facts()
	if !a.shed {
		facts.Status = rapid.SampledFrom([]int{200, 200, 404, 500, 503}).Draw(t, "status")
		facts.GaveUp = rapid.Bool().Draw(t, "gave up")
	}
	w.finish(a, facts)
}

// actBreak ends an attempt in an unknown way: the backend server may have run
// the request, may run it later, or may never have seen it.
func (w *world) actBreak(t *rapid.T) {
	a := w.drawAttempt(t, func(a *attempt) bool { return a.started && !a.streaming })
	causes := []outcome.Cause{outcome.CauseReset, outcome.CauseTimeout, outcome.CauseTruncated, outcome.CauseMalformed}
	if a.canceled {
		causes = []outcome.Cause{outcome.CauseCanceled}
	}
	cause := rapid.SampledFrom(causes).Draw(t, "cause")
	w.finish(a, outcome.Facts{Cause: cause, Wrote: true, Load: -1})
}

func (w *world) actStream(t *rapid.T) {
	a := w.drawAttempt(t, func(a *attempt) bool { return a.ran })
	if !a.streaming {
		w.beginStream(a)
		return
	}
	w.endStream(a, rapid.Bool().Draw(t, "whole"))
}

// actServeLate lets a backend server run a request whose attempt is over.
func (w *world) actServeLate(t *rapid.T) {
	i := draw(t, indexes(w.stray), "stray attempt", func(int) bool { return true })
	w.serve(w.stray[i], false)
	w.stray = append(w.stray[:i], w.stray[i+1:]...)
}

// actRepeatEvent reports a whole answer for an attempt that is over, or that
// was followed by another.
func (w *world) actRepeatEvent(t *rapid.T) {
	h := w.drawHost(t)
	id := core.RequestID(rapid.Uint64Range(1, uint64(h.nextID)+1).Draw(t, "request"))
	c := h.calls[id]
	if c == nil || c.attempts == 0 {
		t.Skip("request has no attempt")
	}
	last := c.attempts
	if len(c.terminal) == 0 {
		last--
	}
	if last == 0 || c.answer != nil {
		t.Skip("no attempt is over")
	}
	number := rapid.IntRange(1, last).Draw(t, "attempt")
	w.step(h, core.AttemptFinished{
		Attempt: core.AttemptID{Request: id, Number: number},
		Facts:   outcome.Facts{Wrote: true, Status: 200},
	})
}

// actProgress takes attempts a few steps on, as a healthy network does.
func (w *world) actProgress(t *rapid.T) {
	for range rapid.IntRange(1, 8).Draw(t, "steps") {
		a := w.drawAttempt(t, func(a *attempt) bool { return !a.streaming })
		switch {
		case !a.started:
			w.transmit(a, true)
		case !a.ran && !a.shed:
			w.serve(a, rapid.IntRange(0, 5).Draw(t, "shed") == 0)
		default:
			w.finish(a, a.facts())
		}
	}
}

func (w *world) actHangUp(t *rapid.T) {
	h := w.drawHost(t)
	id := core.RequestID(rapid.Uint64Range(1, uint64(h.nextID)+1).Draw(t, "request"))
	if c := h.calls[id]; c != nil {
		c.gone = true
		w.step(h, core.CallerGone{ID: id})
	}
}

func (w *world) actAdvance(t *rapid.T) {
	w.advance(time.Duration(rapid.SampledFrom([]int{10, 60, 200, 1000, 6000}).Draw(t, "milliseconds")) * time.Millisecond)
}

func (w *world) actPause(t *rapid.T) {
	h := draw(t, w.hosts, "host", func(h *entryHost) bool { return !h.exited })
	h.paused = !h.paused
}

func (w *world) actRestart(t *rapid.T) {
	h := draw(t, w.hosts, "host", func(*entryHost) bool { return true })
	for _, a := range h.attempts {
		if a.started && !a.ran && !a.shed {
			w.stray = append(w.stray, a)
		}
	}
	w.start(h)
}

func (w *world) actStop(t *rapid.T) {
	h := w.drawHost(t)
	if rapid.IntRange(0, 3).Draw(t, "really") > 0 {
		t.Skip("stops are rare")
	}
	h.stopping = true
	w.step(h, core.StopRequested{})
}

func (w *world) actPublish(t *rapid.T) {
	w.publish(rapid.IntRange(0, 3).Draw(t, "valid") > 0)
}

// actReadManifest reads any published generation: the service may be stale.
func (w *world) actReadManifest(t *rapid.T) {
	h := w.drawHost(t)
	w.readManifest(h, rapid.IntRange(1, len(w.documents)).Draw(t, "generation"), "")
}

func (w *world) actReadPart(t *rapid.T) {
	h := draw(t, w.hosts, "host", func(h *entryHost) bool { return !h.paused && len(h.reads) > 0 })
	w.readPart(h, rapid.IntRange(0, len(h.reads)-1).Draw(t, "read"))
}

func (w *world) actServiceDown(t *rapid.T) {
	h := w.drawHost(t)
	h.reads = nil
	w.step(h, core.PlatformFailed{Key: "manifest", Reason: "down"})
}

func (w *world) actDeclare(t *rapid.T) {
	w.declare(backendName(rapid.IntRange(0, backendHosts-1).Draw(t, "backend")), true)
}

func (w *world) actReadHostList(t *rapid.T) {
	w.readHostList(w.drawHost(t), rapid.IntRange(0, 3).Draw(t, "lag"))
}

// actMessage delivers, repeats or drops any message under way.
func (w *world) actMessage(t *rapid.T) {
	if len(w.network) == 0 {
		t.Skip("no message")
	}
	i := rapid.IntRange(0, len(w.network)-1).Draw(t, "message")
	p := w.network[i]
	fate := rapid.SampledFrom([]string{"deliver", "repeat", "drop"}).Draw(t, "fate")
	if fate != "repeat" {
		w.network = append(w.network[:i], w.network[i+1:]...)
	}
	if fate != "drop" && !w.cut {
		w.deliver(p)
	}
}
