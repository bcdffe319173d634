package proof

import (
	"time"

	"wisteriapond/config"
	"wisteriapond/core"
	"wisteriapond/outcome"
)

// checkRun checks invariants I3 and I4: a request that was reported as not run
// never runs, not even later, and a non-idempotent request runs at most once.
func (s *simulation) checkRun(c *call) {
	if !c.idempotent && c.runs > 1 {
		s.t.Fatalf("call %d is not idempotent and ran %d times", c.number, c.runs)
	}
	if c.refused() {
		s.t.Fatalf("call %d ran after it was reported as not run", c.number)
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

// terminal records the effect that ends a request. It checks invariant I2, that
// a request has exactly one terminal effect, and I3.
func (s *simulation) terminal(c *call, effect core.Effect) {
	if c == nil {
		s.t.Fatalf("terminal effect %T for an unknown request", effect)
	}
	c.terminal = append(c.terminal, effect)
	if len(c.terminal) > 1 {
		s.t.Fatalf("call %d has more than one terminal effect: %#v", c.number, c.terminal)
	}
	if _, ok := effect.(core.Refuse); ok && c.runs > 0 {
		s.t.Fatalf("call %d was reported as not run after it ran %d times", c.number, c.runs)
	}
}

// checkPassed checks invariant I2: a response passed to the caller is a complete
// response, or the start of a streamed one, of an attempt of the same request.
func (s *simulation) checkPassed(h *entryHost, e core.PassAnswer) {
	c := h.calls[e.Attempt.Request]
	s.terminal(c, e)
	if c.response == nil || c.response.startEffect.Attempt != e.Attempt {
		s.t.Fatalf("call %d was passed the response of attempt %v, which has no response", c.number, e.Attempt)
	}
	if c.response.shed {
		s.t.Fatalf("call %d was passed the not-run response of %s", c.number, e.Upstream)
	}
}

// checkLeaving checks invariant I5: an entry host that knows that a backend host
// is leaving starts no attempt or probe on it.
func (s *simulation) checkLeaving(h *entryHost, address string) {
	for i := range backendHosts {
		if backendAddress(i) != address {
			continue
		}
		if since, ok := h.leavingSince[backendName(i)]; ok {
			s.t.Fatalf("%s started an attempt or probe on %s, which it has known to be leaving for %v", h.name, backendName(i), s.now.Sub(since))
		}
	}
}

// pauseThreshold is the shortest gap between two events after which a host must
// detect that it was paused: the reducer's bound of 600 ms plus a clock step.
// After confirmationPeriod, the host may continue without a response.
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

// confirm records that a peer or the platform responds to the host. It is called
// before the event with the response.
func (h *entryHost) confirm(now core.Instant) {
	h.recordStep(now)
	h.unconfirmedUntil = 0
}

// checkConfirmed checks that a host that was paused starts no non-idempotent
// request on stale state: another host may have replaced it during the pause.
func (s *simulation) checkConfirmed(h *entryHost, c *call) {
	if !c.idempotent && s.now < h.unconfirmedUntil {
		s.t.Fatalf("%s started non-idempotent call %d after a pause, before any response confirmed its state", h.name, c.number)
	}
}

// checkSlots checks that a host does not exceed the slots of an upstream. A
// single host relies on its own counts, without leases, and uses at most half of
// the slots, rounded up. With several hosts, each uses at most all of them.
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
		s.t.Fatalf("%s has %d attempts in flight on %s, limit %d", h.name, running, address, limit)
	}
}

// checkVersion checks invariant I7: the version in force never decreases during
// a run of a host.
func (s *simulation) checkVersion(h *entryHost, v config.Version) {
	if v.Less(h.inForce) {
		s.t.Fatalf("%s reverted from version %v to %v", h.name, h.inForce, v)
	}
	h.inForce = v
}

// checkExit checks invariant I6: a planned stop aborts no request or response in
// flight.
func (s *simulation) checkExit(h *entryHost) {
	if !h.stopping {
		s.t.Fatalf("%s exited without a stop request", h.name)
	}
	for _, c := range h.calls {
		if len(c.terminal) == 0 && !c.lost {
			s.t.Fatalf("%s exited while call %d was pending", h.name, c.number)
		}
	}
	for _, a := range h.attempts {
		if a.streaming && !a.call.disconnected {
			s.t.Fatalf("%s exited while the response of call %d was being delivered", h.name, a.call.number)
		}
	}
}

// checkProbes checks invariant I1: within any minute, all hosts together send at
// most as many probes as the measuring budget allows.
func (s *simulation) checkProbes() {
	first := 0
	for i, at := range s.probes {
		for at.Sub(s.probes[first]) >= time.Minute {
			first++
		}
		if n := i - first + 1; n > probesPerMinute {
			s.t.Fatalf("%d probes within one minute, budget %d", n, probesPerMinute)
		}
	}
}

// drain removes all faults, ends the attempts in flight and checks that every
// call has its terminal effect.
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
			s.t.Fatalf("call %d has %d terminal effects after all attempts ended, want 1", c.number, len(c.terminal))
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
