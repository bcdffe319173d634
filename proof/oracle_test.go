package proof

import (
	"time"

	"wisteriapond/config"
	"wisteriapond/core"
	"wisteriapond/outcome"
)

// checkRun guards invariants I3 and I4: a request reported as not run never
// runs, not even late, and a non-idempotent one runs at most once.
func (w *world) checkRun(c *call) {
	if !c.idempotent && c.runs > 1 {
		w.t.Fatalf("call %d is not idempotent and ran %d times", c.number, c.runs)
	}
	if c.refused() {
		w.t.Fatalf("call %d was reported as not run and ran", c.number)
	}
}

func (c *call) refused() bool {
	for _, command := range c.terminal {
		if _, ok := command.(core.Refuse); ok {
			return true
		}
	}
	return false
}

// terminal guards invariant I2: a request gets exactly one final command.
func (w *world) terminal(c *call, command core.Effect) {
	if c == nil {
		w.t.Fatalf("final command %T for an unknown request", command)
	}
	c.terminal = append(c.terminal, command)
	if len(c.terminal) > 1 {
		w.t.Fatalf("call %d got a second final command: %#v", c.number, c.terminal)
	}
	if _, ok := command.(core.Refuse); ok && c.runs > 0 {
		w.t.Fatalf("call %d ran %d times and was reported as not run", c.number, c.runs)
	}
}

// passed guards invariant I2: what is passed on is a whole answer, or the
// beginning of a streamed one, of an attempt of the same request.
func (w *world) passed(h *entryHost, e core.PassAnswer) {
	c := h.calls[e.Attempt.Request]
	w.terminal(c, e)
	if c.answer == nil || c.answer.command.Attempt != e.Attempt {
		w.t.Fatalf("call %d was passed the answer of attempt %v, which has none", c.number, e.Attempt)
	}
	if c.answer.shed {
		w.t.Fatalf("call %d was passed the not-run answer of %s", c.number, e.Upstream)
	}
}

// checkLeaving guards invariant I5: once a host knows that a backend host is
// leaving, it starts nothing there.
func (w *world) checkLeaving(h *entryHost, address string) {
	for i := range backendHosts {
		if backendAddress(i) != address {
			continue
		}
		if since, ok := h.leavingSince[backendName(i)]; ok {
			w.t.Fatalf("%s started work on %s, known to be leaving for %v", h.name, backendName(i), w.now.Sub(since))
		}
	}
}

// pauseNoticed is the gap between two events from which on a host must have
// noticed that it was paused, and confirmTime the time after which it may go
// on without an answer.
const (
	pauseNoticed = 610 * time.Millisecond
	confirmTime  = time.Second
)

func (h *entryHost) notePause(now core.Instant) {
	if now.Sub(h.lastStep) >= pauseNoticed {
		h.unconfirmedUntil = now.Add(confirmTime)
	}
	h.lastStep = now
}

// answered notes that a peer or the platform is about to answer the host.
func (h *entryHost) answered(now core.Instant) {
	h.notePause(now)
	h.unconfirmedUntil = 0
}

// checkConfirmed guards against orders that are started on old facts: a host
// that was paused may have been replaced meanwhile.
func (w *world) checkConfirmed(h *entryHost, c *call) {
	if !c.idempotent && w.now < h.unconfirmedUntil {
		w.t.Fatalf("%s started call %d right after a pause, with nobody's answer", h.name, c.number)
	}
}

// checkSlots guards against exceeded slots: a host alone relies on its own
// counts and uses half of the slots, rounded up; no host uses more than all.
func (w *world) checkSlots(h *entryHost, address string) {
	limit := slots
	if len(w.hosts) == 1 {
		limit = (slots + 1) / 2
	}
	running := 0
	for _, a := range h.attempts {
		if a.command.Address == address {
			running++
		}
	}
	if running > limit {
		w.t.Fatalf("%s runs %d requests on %s, the limit is %d", h.name, running, address, limit)
	}
}

// checkVersion guards invariant I7: the version in force never goes down.
func (w *world) checkVersion(h *entryHost, v config.Version) {
	if v.Less(h.inForce) {
		w.t.Fatalf("%s went from version %v back to %v", h.name, h.inForce, v)
	}
	h.inForce = v
}

// checkExit guards invariant I6: a planned stop cuts nothing in flight.
func (w *world) checkExit(h *entryHost) {
	if !h.stopping {
		w.t.Fatalf("%s ended without having been asked to", h.name)
	}
	for _, c := range h.calls {
		if len(c.terminal) == 0 && !c.lost {
			w.t.Fatalf("%s ended while call %d was waiting", h.name, c.number)
		}
	}
	for _, a := range h.attempts {
		if a.streaming && !a.call.gone {
			w.t.Fatalf("%s ended while the answer of call %d was on its way", h.name, a.call.number)
		}
	}
}

// checkProbes guards invariant I1: in no minute do all hosts together send
// more probes than the budget allows.
func (w *world) checkProbes() {
	first := 0
	for i, at := range w.probes {
		for at.Sub(w.probes[first]) >= time.Minute {
			first++
		}
		if n := i - first + 1; n > probesPerMinute {
			w.t.Fatalf("%d probes within a minute, the budget is %d", n, probesPerMinute)
		}
	}
}

// settle ends everything that is under way and checks that every caller got
// its final answer.
func (w *world) settle() {
	for range 400 {
		w.cut = false
		for _, h := range w.hosts {
			h.paused = false
		}
		w.endAttempts()
		w.advance(50 * time.Millisecond)
	}
	for _, c := range w.calls {
		if !c.lost && len(c.terminal) != 1 {
			w.t.Fatalf("call %d has %d final commands after everything ended", c.number, len(c.terminal))
		}
	}
	w.checkProbes()
}

func (w *world) endAttempts() {
	for _, h := range w.hosts {
		for _, a := range append([]*attempt(nil), h.attempts...) {
			switch {
			case a.streaming:
				w.endStream(a, true)
			case !a.started:
				w.transmit(a, true)
			case !a.ran && !a.shed:
				w.serve(a, false)
			default:
				w.finish(a, a.facts())
			}
		}
	}
}

func (w *world) beginStream(a *attempt) {
	a.streaming = true
	a.call.answer = a
	w.step(a.host, core.AnswerBegun{Attempt: a.command.Attempt, Facts: a.facts()})
}

func (w *world) endStream(a *attempt, whole bool) {
	a.ended = true
	a.host.drop(a)
	facts := a.facts()
	if !whole {
		facts.Cause = outcome.CauseTruncated
	}
	if a.run == a.host.run {
		w.step(a.host, core.AnswerDelivered{Attempt: a.command.Attempt, Whole: whole, Facts: facts})
	}
}
