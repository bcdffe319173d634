package core

import (
	"slices"
	"time"

	"wisteriapond/generation"
)

const (
	// startupTimeout is the longest time for which a starting host that has a
	// configuration waits for newer versions from its peers before it becomes
	// ready.
	startupTimeout = 2 * time.Second
	// platformDelay is the time for which a starting host waits for its peers
	// before it reads the configuration from the configuration service. Without
	// the delay, a restart would read every part from there.
	platformDelay = 300 * time.Millisecond
	// startupSources is the number of peers from which a starting host requests
	// parts.
	startupSources = 3
)

// startupState tracks what a starting host waits for.
type startupState struct {
	deadline Instant
	// waiting holds the addresses of the peers that have not responded yet.
	waiting []string
	done    bool
}

func (st *startupState) responded(address string) {
	st.waiting = slices.DeleteFunc(st.waiting, func(other string) bool { return other == address })
}

// startDocuments reads the host list and starts to fetch the version in force from
// the peers and the configuration service.
func (s *State) startDocuments(peers []string) {
	s.documents.startup = startupState{deadline: s.now.Add(startupTimeout), waiting: slices.Clone(peers)}
	s.documents.nextHostList = s.now.Add(watcherHostListInterval)
	s.out.add(ReadHostList{})
	if len(peers) > 0 {
		s.documents.platformReadsFrom = s.now.Add(platformDelay)
		s.documents.nextRead = s.documents.platformReadsFrom
		s.scheduleTick(s.documents.platformReadsFrom)
	}
	s.updateWatch()
	s.scheduleTick(s.documents.startup.deadline)
}

// updateWatch starts or stops the watch of the manifest, according to the member
// table.
func (s *State) updateWatch() {
	watches := generation.IsWatcher(s.self.Host, s.members.LiveMembers())
	if s.members.LiveCount() == 0 && s.now.Before(s.documents.platformReadsFrom) {
		watches = false
	}
	if watches == s.documents.watching {
		return
	}
	s.documents.watching = watches
	if watches {
		s.out.add(WatchManifest{Have: s.inForce()})
		return
	}
	s.out.add(StopWatching{})
}

// startDelayedWatch starts the watch on a host whose peers have not responded
// within platformDelay.
func (s *State) startDelayedWatch() {
	if s.documents.platformReadsFrom > 0 && !s.now.Before(s.documents.platformReadsFrom) {
		s.documents.platformReadsFrom = 0
		s.updateWatch()
	}
}

// recordStartupResponse records that a peer has responded to a starting host, under
// the address of the connection and under the one that the peer reports itself.
func (s *State) recordStartupResponse(e PeerMessage) {
	if s.documents.startup.done {
		return
	}
	s.documents.startup.responded(e.Address)
	if e.Message.Membership != nil {
		s.documents.startup.responded(e.Message.Membership.Sender.Member.Address)
	}
	defer s.updateReady()
}

// startupComplete reports whether a starting host has a configuration, and either
// every reachable peer has responded and the highest reported version is in force,
// or startupTimeout has passed.
func (s *State) startupComplete() bool {
	st := &s.documents.startup
	if st.done {
		return true
	}
	caughtUp := len(st.waiting) == 0 && s.documents.wanted == nil && s.pending == nil
	st.done = s.table != nil && (caughtUp || !s.now.Before(st.deadline))
	return st.done
}

// updateReady reports a change of the readiness of this host. A host that reads a
// store is ready as soon as it has a configuration.
func (s *State) updateReady() {
	ready := s.table != nil && !s.stop.requested
	if s.self.Registry == nil {
		ready = ready && s.startupComplete()
	}
	if ready == s.ready {
		return
	}
	s.ready = ready
	s.out.add(SetReady{Ready: ready})
}
