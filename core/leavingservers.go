package core

import "time"

// This file keeps track of backend servers that announce in a response that they
// are leaving, on hosts that read a store. The mark belongs to one instance of the
// server. It outlives what the store says, which may be stale, and it is passed on
// with the polls between entry hosts.

const (
	// leavingRelayTime is the time for which a new mark is attached to polls and
	// their responses. Each neighbour polls a few times within it.
	leavingRelayTime = 5 * time.Second
	// leavingRetention is the time for which the mark of an instance without an
	// entry is kept. A stale listing may name the instance again.
	leavingRetention = 10 * time.Minute
	// leavingPruneInterval is the interval at which old marks are removed.
	leavingPruneInterval = time.Minute
	// maxRelayedMarks bounds the marks in one message, and maxInstanceLength the
	// length in bytes of the name of an instance.
	maxRelayedMarks   = 256
	maxInstanceLength = 512
)

// leavingServers holds the instants at which this host learned that instances of
// backend servers are leaving.
type leavingServers struct {
	markedAt  map[string]Instant
	nextPrune Instant
}

// recordLeaving notes a new leaving mark for relaying and for its removal.
func (s *State) recordLeaving(host string) {
	if s.self.Registry != nil {
		s.registry.leaving.markedAt[host] = s.now
	}
}

// recentLeaving returns the instances whose marks are new enough to be passed on.
func (s *State) recentLeaving() []string {
	var names []string
	for _, name := range sortedKeys(s.registry.leaving.markedAt) {
		if s.now.Sub(s.registry.leaving.markedAt[name]) < leavingRelayTime && len(names) < maxRelayedMarks {
			names = append(names, name)
		}
	}
	return names
}

// leavingReceived applies the marks that came with a poll or a response.
func (s *State) leavingReceived(names []string) {
	for _, name := range names[:min(len(names), maxRelayedMarks)] {
		if name != "" && len(name) <= maxInstanceLength {
			s.markLeavingFrom(name, "neighbour")
		}
	}
}

// pruneLeaving removes the marks of instances that have had no entry for
// leavingRetention.
func (s *State) pruneLeaving() {
	l := &s.registry.leaving
	if len(l.markedAt) == 0 || s.now.Before(l.nextPrune) {
		return
	}
	l.nextPrune = s.now.Add(leavingPruneInterval)
	registered := make(map[string]bool, len(s.registry.servers))
	for id := range s.registry.servers {
		server := s.registry.servers[id]
		registered[instanceName(&server)] = true
	}
	for _, name := range sortedKeys(l.markedAt) {
		switch {
		case registered[name]:
			// The retention counts from the last time that the entry was seen.
			l.markedAt[name] = max(l.markedAt[name], s.now.Add(-leavingRelayTime))
		case s.now.Sub(l.markedAt[name]) >= leavingRetention:
			delete(l.markedAt, name)
			s.forgetMark(name)
		}
	}
}

// forgetMark removes the leaving mark of a host that no longer exists.
func (s *State) forgetMark(host string) {
	if s.marks.everLeaving[host] {
		s.marks.digest ^= markHash(s.hosts[host])
		delete(s.marks.everLeaving, host)
	}
	delete(s.hosts, host)
}
