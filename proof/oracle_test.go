package proof

import (
	"time"

	"wisteriapond/config"
	"wisteriapond/core"
	"wisteriapond/outcome"
)

// checkRun guards invariants I3 and I4: a request reported as not run never
// runs, not even late, and a non-idempotent one runs at most once.
func (s *simulation) checkRun(c *call) {
	if !c.idempotent && c.runs > 1 {
		s.t.Fatalf("call %d is not idempotent and ran %d times", c.number, c.runs)
	}
	if c.refused() {
		s.t.Fatalf("call %d was reported as not run and ran", c.number)
	}
}

func (c *call) refused() bool {
	for _, effect := range c.terminal {
		if _, ok := effect.(core.Refuse); ok {
			return true
		}
	}
	return false
}

// terminal guards invariant I2: a request gets exactly one final command.
func (s *simulation) terminal(c *call, effect core.Effect) {
	if c == nil {
		s.t.Fatalf("final command %T for an unknown request", effect)
	}
	c.terminal = append(c.terminal, effect)
	if len(c.terminal) > 1 {
		s.t.Fatalf("call %d got a second final command: %#v", c.number, c.terminal)
	}
	if _, ok := effect.(core.Refuse); ok && c.runs > 0 {
		s.t.Fatalf("call %d ran %d times and was reported as not run", c.number, c.runs)
	}
}

// checkPassed guards invariant I2: what is checkPassed on is a whole answer, or the
// beginning of a streamed one, of an attempt of the same request.
func (s *simulation) checkPassed(h *entryHost, e core.PassAnswer) {
	c := h.calls[e.Attempt.Request]
	s.terminal(c, e)
	if c.response == nil || c.response.startEffect.Attempt != e.Attempt {
		s.t.Fatalf("call %d was passed the answer of attempt %v, which has none", c.number, e.Attempt)
	}
	if c.response.shed {
		s.t.Fatalf("call %d was passed the not-run answer of %s", c.number, e.Upstream)
	}
}

// checkLeaving guards invariant I5: once a host knows that a backend host is
// leaving, it starts nothing there.
func (s *simulation) checkLeaving(h *entryHost, address string) {
	for i := range backendHosts {
		if backendAddress(i) != address {
			continue
		}
		if since, ok := h.leavingSince[backendName(i)]; ok {
			s.t.Fatalf("%s started work on %s, known to be leaving for %v", h.name, backendName(i), s.now.Sub(since))
		}
	}
}

// pauseThreshold is the gap between two events from which on a host must have
// noticed that it was paused, and confirmationPeriod the time after which it may go
// on without an answer.
const (
	pauseThreshold     = 610 * time.Millisecond
	confirmationPeriod = time.Second
)

func (h *entryHost) recordStep(now core.Instant) {
	if now.Sub(h.lastStep) >= pauseThreshold {
		h.unconfirmedUntil = now.Add(confirmationPeriod)
	}
	h.lastStep = now
}

// confirm notes that a peer or the platform is about to answer the host.
func (h *entryHost) confirm(now core.Instant) {
	h.recordStep(now)
	h.unconfirmedUntil = 0
}

// checkConfirmed guards against orders that are started on old facts: a host
// that was paused may have been replaced meanwhile.
func (s *simulation) checkConfirmed(h *entryHost, c *call) {
	if !c.idempotent && s.now < h.unconfirmedUntil {
		s.t.Fatalf("%s started call %d right after a pause, with nobody's answer", h.name, c.number)
	}
}

// checkSlots guards against exceeded slots: a host alone relies on its own
// counts and uses half of the slots, rounded up; no host uses more than all.
func (s *simulation) checkSlots(h *entryHost, address string) {
	limit := slots
	if len(s.hosts) == 1 {
		limit = (slots + 1) / 2
	}
	running := 0
	for _, a := range h.attempts {
		if a.startEffect.Address == address {
			running++
		}
	}
	if running > limit {
		s.t.Fatalf("%s runs %d requests on %s, the limit is %d", h.name, running, address, limit)
	}
}

// checkVersion guards invariant I7: the version in force never goes down.
func (s *simulation) checkVersion(h *entryHost, v config.Version) {
	if v.Less(h.inForce) {
		s.t.Fatalf("%s went from version %v back to %v", h.name, h.inForce, v)
	}
	h.inForce = v
}

// checkExit guards invariant I6: a planned stop cuts nothing in flight.
func (s *simulation) checkExit(h *entryHost) {
	if !h.stopping {
		s.t.Fatalf("%s ended without having been asked to", h.name)
	}
	for _, c := range h.calls {
		if len(c.terminal) == 0 && !c.lost {
			s.t.Fatalf("%s ended while call %d was waiting", h.name, c.number)
		}
	}
	for _, a := range h.attempts {
		if a.streaming && !a.call.disconnected {
			s.t.Fatalf("%s ended while the answer of call %d was on its way", h.name, a.call.number)
		}
	}
}

// checkProbes guards invariant I1: in no minute do all hosts together send
// more probes than the budget allows.
func (s *simulation) checkProbes() {
	first := 0
	for i, at := range s.probes {
		for at.Sub(s.probes[first]) >= time.Minute {
			first++
		}
		if n := i - first + 1; n > probesPerMinute {
			s.t.Fatalf("%d probes within a minute, the budget is %d", n, probesPerMinute)
		}
	}
}

// drain ends everything that is under way and checks that every caller got
// its final answer.
func (s *simulation) drain() {
	for range 400 {
		s.partitioned = false
		for _, h := range s.hosts {
			h.paused = false
		}
		s.endAttempts()
		s.advance(50 * time.Millisecond)
	}
	for _, c := range s.calls {
		if !c.lost && len(c.terminal) != 1 {
			s.t.Fatalf("call %d has %d final commands after everything ended", c.number, len(c.terminal))
		}
	}
	s.checkProbes()
}

func (s *simulation) endAttempts() {
	for _, h := range s.hosts {
		for _, a := range append([]*attempt(nil), h.attempts...) {
			switch {
			case a.streaming:
				s.endStream(a, true)
			case !a.started:
				s.transmit(a, true)
			case !a.ran && !a.shed:
				s.serve(a, false)
			default:
				s.finish(a, a.facts())
			}
		}
	}
}

func (s *simulation) startStream(a *attempt) {
	a.streaming = true
	a.call.response = a
	s.step(a.host, core.AnswerBegun{Attempt: a.startEffect.Attempt, Facts: a.facts()})
}

func (s *simulation) endStream(a *attempt, complete bool) {
	a.ended = true
	a.host.removeAttempt(a)
	facts := a.facts()
	if !complete {
		facts.Cause = outcome.CauseTruncated
	}
	if a.run == a.host.run {
		s.step(a.host, core.AnswerDelivered{Attempt: a.startEffect.Attempt, Whole: complete, Facts: facts})
	}
}
