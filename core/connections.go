package core

// connectionShare returns this host's share of the connections that an upstream
// accepts from all entry hosts together, at least one, or 0 if there is no limit.
func (s *State) connectionShare(u *upstream) int {
	if u.config.Connections <= 0 {
		return 0
	}
	return max(1, u.config.Connections/s.connectionHosts())
}

// connectionHosts returns the number of entry hosts that share the connections of
// an upstream: those of the manifest, or those that hosts with a store have
// counted. Until a host has had time to count them, it assumes the number in the
// routing table. A host that no other can reach counts none.
func (s *State) connectionHosts() int {
	assumed := max(1, s.table.Manifest.EntryHosts)
	if s.self.Registry == nil || s.self.Registry.Address == "" {
		return assumed
	}
	f := &s.registry.fleet
	if s.now.Sub(f.startedAt) < fleetLearnTime {
		return max(assumed, f.largest)
	}
	return max(1, f.largest)
}

// connectionsTaken reports whether this host uses its share of the connections of
// an upstream. A request then waits: it starts when an exchange on one of them
// ends, instead of failing for want of a connection.
func (s *State) connectionsTaken(u *upstream) bool {
	inUse := u.running
	if u.loadQuery.pending {
		inUse++
	}
	share := s.connectionShare(u)
	return share > 0 && inUse >= share
}
