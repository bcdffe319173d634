package core

import "time"

// stopState tracks a planned stop.
type stopState struct {
	requested      bool
	acceptUntil    Instant
	listenerClosed bool
}

func (s *State) stopRequested() {
	if s.stop.requested {
		return
	}
	s.stop.requested = true
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
	if len(s.requests)+len(s.early) == 0 || s.stopTimedOut() {
		s.out.add(Exit{})
	}
}

func (s *State) stopTimedOut() bool {
	if s.self.StopTimeout == 0 {
		return false
	}
	return !s.now.Before(s.stop.acceptUntil.Add(s.self.StopTimeout))
}
