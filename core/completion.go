package core

import (
	"slices"
	"time"

	"wisteriapond/outcome"
)

// retryAfterWithRoom replaces the usual service time in the Retry-After time of a
// caller whose request was shed by a server with a free slot: there is no slot to
// wait for, and the next attempt has the same chance at once.
const retryAfterWithRoom = 20 * time.Millisecond

// shouldMarkGaveUp reports whether a response is forwarded with the mark that
// retries are used up, by this host or by a layer below.
func (r *request) shouldMarkGaveUp(facts outcome.Facts) bool {
	return facts.GaveUp || facts.Status >= minServerErrorStatus && (r.attempts > 1 || r.retryWithheld)
}

// recordOutcome records whether the request may have run, and the failure to
// report if no later attempt succeeds.
func (r *request) recordOutcome(facts outcome.Facts, class outcome.Class) {
	switch class {
	case outcome.Unknown:
		r.mayHaveRun = true
		r.failure = outcome.FailureOf(facts.Cause)
	case outcome.Responded:
		r.mayHaveRun = true
		r.failure = outcome.FailedBackendError
	}
}

// promisesNotRun reports whether the caller would take a response with the given status
// as a promise that its request did not run, although the backend server may have run it.
// A request that may run more than once gets the response all the same.
func (s *State) promisesNotRun(r *request, status int) bool {
	return !r.idempotent && s.self.Registry != nil && slices.Contains(s.self.Registry.NotRunStatuses, status)
}

// passLastResponse forwards the response of the last attempt.
func (s *State) passLastResponse(r *request, upstream string, gaveUp bool) {
	s.out.add(PassAnswer{Attempt: r.attempt(), Upstream: upstream, GaveUp: gaveUp})
	s.removeRequest(r)
}

// callerDisconnected ends a request whose caller disconnected. If an attempt is in
// progress, it is canceled, and the request ends when the transport reports the
// end of the attempt.
func (s *State) callerDisconnected(e CallerGone) {
	r := s.requests[e.ID]
	if r == nil {
		s.earlyCallerDisconnected(e.ID)
		return
	}
	if r.disconnected {
		return
	}
	r.disconnected = true
	if r.upstream != nil {
		s.out.add(CancelAttempt{Attempt: r.attempt()})
		return
	}
	s.refuseRequest(r, outcome.RefusedCallerGone)
}

// releaseSlot frees the slot of an attempt that ended, and ends its transfer and
// its trial, if any.
func (s *State) releaseSlot(r *request, facts outcome.Facts) {
	u := r.upstream
	if facts.Wrote {
		r.sentAttempts++
	}
	u.reported.attemptEnded()
	s.countCrossRegionBytes(r, facts)
	s.endTransfer(r)
	if r.trial {
		u.health.AbandonTrial()
		r.trial = false
	}
	u.running--
	if r.group.long {
		u.runningLong--
	}
	r.upstream = nil
}

// refuseRequest ends a request for which no attempt can be started any more. The
// request is reported as not run only if no earlier attempt may have run it.
// Otherwise the buffered response of the last attempt is forwarded, or the failure
// of an earlier attempt is reported.
func (s *State) refuseRequest(r *request, reason outcome.Refusal) {
	if r.responseHeld {
		s.logRequest(r, logKindErrorResponse, string(reason))
		s.passLastResponse(r, r.heldUpstream, true)
		return
	}
	if r.mayHaveRun {
		s.failRequest(r, r.failure)
		return
	}
	if reason != outcome.RefusedCallerGone {
		s.logRequest(r, logKindRefused, string(reason))
	}
	s.removeRequest(r)
	s.sendRefusal(Refuse{
		Request: r.id, Reason: reason, Service: r.service.config.Name, GaveUp: r.attempts > 0,
		RetryAfter: s.suggestedRetryAfter(r),
	})
}

// suggestedRetryAfter returns the Retry-After time for a refused caller of a
// route, 0 without a route. It is the time until an upstream accepts requests
// again, plus 0.5 to 1.5 times the usual service time of a request, within which
// slots become free. The random part spreads out callers that were refused at the
// same time.
func (s *State) suggestedRetryAfter(r *request) time.Duration {
	if r.route == nil {
		return 0
	}
	usual := r.service.serviceTime()
	if r.shedWithRoom {
		usual = retryAfterWithRoom
	}
	return s.untilAccepted(r) + usual/2 + time.Duration(s.random.intN(int(usual)))
}

// sendRefusal counts a refusal and sends it to the caller.
func (s *State) sendRefusal(refusal Refuse) {
	s.count(CounterRefusals, string(refusal.Reason))
	s.out.add(refusal)
}

// failRequest ends a request that may have run with the failure of an attempt.
func (s *State) failRequest(r *request, reason outcome.Failure) {
	if !r.disconnected {
		s.logRequest(r, logKindFailed, string(reason))
	}
	s.removeRequest(r)
	s.count(CounterFailures, string(reason))
	s.out.add(Fail{Request: r.id, Reason: reason, Service: r.service.config.Name, GaveUp: true})
}

func (s *State) removeRequest(r *request) {
	s.dequeue(r)
	delete(s.requests, r.id)
}
