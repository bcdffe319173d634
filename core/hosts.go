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
		s.setHost(entry)
	}
}

// markLeaving notes that a backend server said that it is leaving. The epoch
// stays the one known, so that only a newer entry can bring the host back.
func (s *State) markLeaving(host string) {
	entry := s.hosts[host]
	if entry.Leaving {
		return
	}
	entry.Host = host
	entry.Leaving = true
	s.setHost(entry)
}

// setHost is the only writer of the host table, since upstreams keep a copy of
// the leaving mark.
func (s *State) setHost(entry HostEntry) {
	s.hosts[entry.Host] = entry
	if entry.Leaving {
		s.closeIdleOf(entry.Host)
	}
	s.hostChanged(entry.Host)
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
	for _, u := range s.upstreamsOf[host] {
		s.out.add(CloseIdle{Address: u.config.Address})
	}
}
