package core

import "wisteriapond/config"

// InForce returns the version in force without a complete status report.
func (s *State) InForce() config.Version { return s.inForce() }

// RequestSlots requests slots for a service as the given number of waiting requests
// does. It does nothing on a host without a configuration, which has no requests.
func (s *State) RequestSlots(at Instant, service string, waiting int, out *Effects) {
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

// MarkLeaving marks a host as leaving, as a draining response of a backend server
// does.
func (s *State) MarkLeaving(at Instant, host string, out *Effects) {
	s.now, s.out = max(s.now, at), out
	s.markLeaving(host)
	s.finishStep(nil)
	s.out = nil
}
