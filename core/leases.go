package core

// wantSlots asks for slots on the upstreams of a service, since a request has
// to wait for one. Without leases there is no one to ask.
func (s *State) wantSlots(*service) {}
