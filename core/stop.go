package core

import "time"

// stopState tracks a planned stop.
type stopState struct {
	requested   bool
	acceptUntil Instant
	refusing    bool
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
	s.handBack()
	s.out.add(WakeAt{At: s.stop.acceptUntil})
}

// handBack tells the peers that this host leaves, so that others take over what
// it owns, and returns the leases that it does not use. Slots in use go back
// as their requests end.
func (s *State) handBack() {
	s.members.Leave(s.propagationTargets(), &s.memberOutput)
	s.sendMembership()
	s.updateOwnership()
	s.leases.holder.Stop(time.Duration(s.now))
}

// checkStop closes the listener after the time that the platform's balancer
// needs to turn away, and ends the process once nothing is in flight.
func (s *State) checkStop() {
	if !s.stop.requested || s.now.Before(s.stop.acceptUntil) {
		return
	}
	if !s.stop.refusing {
		s.stop.refusing = true
		s.out.add(StopAccepting{})
	}
	if len(s.requests) == 0 || s.stopTimedOut() {
		s.out.add(Exit{})
	}
}

func (s *State) stopTimedOut() bool {
	if s.self.StopTimeout == 0 {
		return false
	}
	return !s.now.Before(s.stop.acceptUntil.Add(s.self.StopTimeout))
}
