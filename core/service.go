package core

import "wisteriapond/config"

// service is the changing state of a service.
type service struct {
	config    *config.CompiledService
	upstreams []*upstream
	// waiting is the number of requests in the queue.
	waiting int
}

// upstream is the changing state of an upstream as this host sees it.
type upstream struct {
	config  *config.CompiledUpstream
	running int
	// leased says that the number of slots this host may use is held, slots of
	// a lease. Both are set by the holder of the leases.
	leased bool
	held   int
}

// limit returns the number of requests that this host may run on the upstream
// now. Without a lease it is half of the slots, rounded up: other hosts use
// them as well.
func (u *upstream) limit() int {
	if u.leased {
		return u.held
	}
	return (u.config.Slots + 1) / 2
}

// updateServices carries the state of services and upstreams over to the
// table in force. Requests in flight keep pointing at the upstream they use.
func (s *State) updateServices() {
	services := make(map[string]*service, len(s.table.Services()))
	for _, compiled := range s.table.Services() {
		services[compiled.Name] = s.updateService(compiled)
	}
	s.services = services
}

func (s *State) updateService(compiled *config.CompiledService) *service {
	old := s.services[compiled.Name]
	if old != nil && old.config == compiled {
		return old
	}
	svc := &service{config: compiled}
	for _, u := range compiled.Upstreams {
		state := old.find(u.Name)
		if state == nil || state.config.Address != u.Address {
			state = &upstream{}
		}
		state.config = u
		svc.upstreams = append(svc.upstreams, state)
	}
	return svc
}

func (svc *service) find(name string) *upstream {
	if svc == nil {
		return nil
	}
	for _, u := range svc.upstreams {
		if u.config.Name == name {
			return u
		}
	}
	return nil
}

// drainQueue starts waiting requests while slots are free for them.
func (s *State) drainQueue(*service) {}

// hostChanged takes over the leaving mark of a host.
func (s *State) hostChanged(string) {}
