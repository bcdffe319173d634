package core

import "wisteriapond/config"

// InForce lets tests look at the version without a whole status report.
func (s *State) InForce() config.Version { return s.inForce() }

// WantSlots lets tests ask for slots as a waiting request does. A host without
// a configuration has no requests.
func (s *State) WantSlots(at Instant, service string, waiting int, out *Effects) {
	s.now, s.out = max(s.now, at), out
	svc := s.services[service]
	if svc == nil {
		return
	}
	queued := svc.waiting
	svc.waiting = max(queued, waiting)
	s.requestSlots(svc)
	svc.waiting = queued
	s.finishStep(nil)
	s.out = nil
}

// MarkLeaving lets tests take a draining answer of a backend server.
func (s *State) MarkLeaving(at Instant, host string, out *Effects) {
	s.now, s.out = max(s.now, at), out
	s.markLeaving(host)
	s.finishStep(nil)
	s.out = nil
}
