package core

// hostListRead takes the platform's host list. An entry counts only when its
// epoch is not below the one known, so that a lagging list cannot bring a
// leaving host back.
func (s *State) hostListRead(e HostListRead) {
	for _, entry := range e.Hosts {
		known, ok := s.hosts[entry.Host]
		if ok && !supersedes(entry, known) {
			continue
		}
		s.hosts[entry.Host] = entry
		if entry.Leaving {
			s.closeIdleOf(entry.Host)
		}
	}
}

// supersedes orders host entries by epoch, then leaving after live.
func supersedes(entry, known HostEntry) bool {
	if entry.Epoch != known.Epoch {
		return entry.Epoch > known.Epoch
	}
	return entry.Leaving && !known.Leaving
}

func (s *State) leaving(host string) bool {
	return s.hosts[host].Leaving
}

func (s *State) closeIdleOf(host string) {
	if s.table == nil {
		return
	}
	for _, compiled := range s.table.Services() {
		for _, u := range compiled.Upstreams {
			if u.Host == host {
				s.out.add(CloseIdle{Address: u.Address})
			}
		}
	}
}
