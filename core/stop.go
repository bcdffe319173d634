package core

import (
	"maps"
	"slices"
	"time"

	"wisteriapond/outcome"
)

// maxStopRetryAfter bounds the random Retry-After time of a caller that a stopping
// host refuses. Other hosts can serve it at once; the random part spreads the callers.
const maxStopRetryAfter = 50 * time.Millisecond

// stopState tracks a planned stop.
type stopState struct {
	requested      bool
	acceptUntil    Instant
	listenerClosed bool
	// exiting is set once Exit was emitted. Nothing starts after that.
	exiting bool
}

func (s *State) stopRequested() {
	if s.stop.requested {
		return
	}
	s.stop.requested = true
	s.beginStop()
}

// beginStop begins the planned stop that was requested, which may have been before
// Start.
func (s *State) beginStop() {
	s.stop.acceptUntil = s.now.Add(s.self.AcceptFor)
	s.updateReady()
	s.publishView()
	s.out.add(Log{Message: "planned stop"})
	s.releaseOwnership()
	s.out.add(WakeAt{At: s.stop.acceptUntil})
}

// releaseOwnership announces to the peers that this host is leaving, so that
// others take over what it owns, and returns the leases that it does not use.
// Slots in use are returned as their requests end.
func (s *State) releaseOwnership() {
	s.members.Leave(s.propagationTargets(), &s.memberOutput)
	s.sendMembership()
	s.updateOwnership()
	s.leases.holder.Stop(time.Duration(s.now))
}

// checkStop closes the listener once AcceptFor has passed, the time that the
// platform's balancer needs to stop sending traffic here. It ends the process
// once no request is in flight or StopTimeout has passed.
func (s *State) checkStop() {
	if !s.stop.requested || s.now.Before(s.stop.acceptUntil) {
		return
	}
	if !s.stop.listenerClosed {
		s.stop.listenerClosed = true
		s.out.add(StopAccepting{})
	}
	end, limited := s.stopEnd()
	if len(s.requests)+len(s.early) > 0 && (!limited || s.now.Before(end)) {
		return
	}
	s.stop.exiting = true
	s.refuseIdleRequests()
	s.out.add(Exit{})
}

// stepAfterExit applies an event that was queued when the process was to end. Responses
// that are ready are passed on and arrivals are refused; nothing else is started, such as
// an attempt, a probe or a call, since the process would end before its result.
func (s *State) stepAfterExit(event Event) {
	switch e := event.(type) {
	case RequestArrived:
		s.refuseForStop(e.ID, "")
	case AnswerBegun:
		s.responseStarted(e)
	case AttemptFinished:
		s.attemptFinished(e)
	case AnswerDelivered:
		s.responseDelivered(e)
	case CallerGone:
		s.callerDisconnected(e)
	case StatusRequested:
		s.out.add(ReportStatus{ID: e.ID, Status: s.status()})
	case ExplainRequested:
		s.explain(e)
	}
	s.flushLeases()
}

// stopEnd returns the instant at which a planned stop ends the requests that are
// still in flight, and false if there is no such limit.
func (s *State) stopEnd() (end Instant, limited bool) {
	if !s.stop.requested || s.self.StopTimeout == 0 {
		return 0, false
	}
	return s.stop.acceptUntil.Add(s.self.StopTimeout), true
}

// refuseIdleRequests ends the requests without an attempt in progress.
func (s *State) refuseIdleRequests() {
	for _, id := range slices.Sorted(maps.Keys(s.requests)) {
		if r := s.requests[id]; r.upstream == nil {
			s.refuseRequest(r, outcome.RefusedNotReady)
		}
	}
}

// admitDuringStop limits the deadline of a request that arrives during a planned stop to
// the end of the stop, and reports whether the request is admitted. Once the listener is
// closed, one whose time limit lies beyond that end is not: it arrived on a connection that
// was open before, another host can serve it, and the end of the process might cut it off.
func (s *State) admitDuringStop(r *request) bool {
	end, limited := s.stopEnd()
	if !limited || !end.Before(r.deadline) {
		return true
	}
	r.deadline = end
	return !s.stop.listenerClosed
}

// refuseForStop refuses a request since this host stops.
func (s *State) refuseForStop(id RequestID, service string) {
	refusal := Refuse{Request: id, Reason: outcome.RefusedNotReady, Service: service}
	if s.self.Registry != nil {
		refusal.RetryAfter = time.Millisecond + time.Duration(s.random.intN(int(maxStopRetryAfter)))
	}
	s.sendRefusal(refusal)
}
