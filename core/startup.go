package core

import (
	"slices"
	"time"

	"wisteriapond/generation"
)

const (
	// startupTime is the longest time for which a starting host waits for its
	// peers' versions before it takes requests.
	startupTimeout = 2 * time.Second
	// peersFirst is the time that a starting host gives its peers before it
	// turns to the configuration service. A restart would otherwise read every
	// part from there.
	platformDelay = 300 * time.Millisecond
	// startSources is the number of peers that a starting host asks for parts.
	startupSources = 3
)

// startup tracks what a starting host waits for.
type startupState struct {
	until   Instant
	waiting []string
	done    bool
}

func (u *startupState) responded(address string) {
	u.waiting = slices.DeleteFunc(u.waiting, func(other string) bool { return other == address })
}

// startDocuments asks the platform and the peers for what is in force.
func (s *State) startDocuments(peers []string) {
	s.documents.startup = startupState{until: s.now.Add(startupTimeout), waiting: slices.Clone(peers)}
	s.documents.nextHostList = s.now.Add(watcherHostListInterval)
	s.out.add(ReadHostList{})
	if len(peers) > 0 {
		s.documents.platformReadsFrom = s.now.Add(platformDelay)
		s.documents.nextRead = s.documents.platformReadsFrom
		s.scheduleTick(s.documents.platformReadsFrom)
	}
	s.updateWatch()
	s.scheduleTick(s.documents.startup.until)
}

// updateWatch starts or ends the watch of the manifest as members change.
func (s *State) updateWatch() {
	watches := generation.Watches(s.self.Host, s.members.LiveMembers())
	if s.members.Live() == 0 && s.now.Before(s.documents.platformReadsFrom) {
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

// updateWatchAtStart begins the watch of a host whose peers did not answer.
func (s *State) startDelayedWatch() {
	if s.documents.platformReadsFrom > 0 && !s.now.Before(s.documents.platformReadsFrom) {
		s.documents.platformReadsFrom = 0
		s.updateWatch()
	}
}

// startupAnswer notes that a peer has answered a starting host.
func (s *State) noteStartupResponse(e PeerMessage) {
	if s.documents.startup.done {
		return
	}
	s.documents.startup.responded(e.Address)
	if e.Message.Membership != nil {
		s.documents.startup.responded(e.Message.Membership.Sender.Member.Address)
	}
	defer s.updateReady()
}

// startupOver reports whether a starting host has heard from every peer that
// it can reach and has the highest version they named, or has waited enough.
func (s *State) startupComplete() bool {
	u := &s.documents.startup
	if u.done {
		return true
	}
	caughtUp := len(u.waiting) == 0 && s.documents.wanted == nil && s.pending == nil
	u.done = s.table != nil && (caughtUp || !s.now.Before(u.until))
	return u.done
}

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
