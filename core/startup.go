package core

import (
	"slices"
	"time"

	"wisteriapond/generation"
)

const (
	// startupTime is the longest time for which a starting host waits for its
	// peers' versions before it takes requests.
	startupTime = 2 * time.Second
	// peersFirst is the time that a starting host gives its peers before it
	// turns to the configuration service. A restart would otherwise read every
	// part from there.
	peersFirst = 300 * time.Millisecond
	// startSources is the number of peers that a starting host asks for parts.
	startSources = 3
)

// startup tracks what a starting host waits for.
type startup struct {
	until   Instant
	waiting []string
	over    bool
}

func (u *startup) answered(address string) {
	u.waiting = slices.DeleteFunc(u.waiting, func(other string) bool { return other == address })
}

// startDocuments asks the platform and the peers for what is in force.
func (s *State) startDocuments(peers []string) {
	s.documents.startup = startup{until: s.now.Add(startupTime), waiting: slices.Clone(peers)}
	s.documents.nextHostList = s.now.Add(hostListEvery)
	s.out.add(ReadHostList{})
	if len(peers) > 0 {
		s.documents.platformFrom = s.now.Add(peersFirst)
		s.documents.nextRead = s.documents.platformFrom
		s.wake(s.documents.platformFrom)
	}
	s.updateWatch()
	s.wake(s.documents.startup.until)
}

// updateWatch starts or ends the watch of the manifest as members change.
func (s *State) updateWatch() {
	watches := generation.IsWatcher(s.self.Host, s.members.LiveMembers())
	if s.members.Live() == 0 && s.now.Before(s.documents.platformFrom) {
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
func (s *State) updateWatchAtStart() {
	if s.documents.platformFrom > 0 && !s.now.Before(s.documents.platformFrom) {
		s.documents.platformFrom = 0
		s.updateWatch()
	}
}

// startupAnswer notes that a peer has answered a starting host.
func (s *State) startupAnswer(e PeerMessage) {
	if s.documents.startup.over {
		return
	}
	s.documents.startup.answered(e.Address)
	if e.Message.Membership != nil {
		s.documents.startup.answered(e.Message.Membership.Sender.Member.Address)
	}
	defer s.updateReady()
}

// startupOver reports whether a starting host has heard from every peer that
// it can reach and has the highest version they named, or has waited enough.
func (s *State) startupOver() bool {
	u := &s.documents.startup
	if u.over {
		return true
	}
	caughtUp := len(u.waiting) == 0 && s.documents.wanted == nil && s.pending == nil
	u.over = s.table != nil && (caughtUp || !s.now.Before(u.until))
	return u.over
}

func (s *State) updateReady() {
	ready := s.table != nil && !s.stop.requested
	if s.self.Registry == nil {
		ready = ready && s.startupOver()
	}
	if ready == s.ready {
		return
	}
	s.ready = ready
	s.out.add(SetReady{Ready: ready})
}
