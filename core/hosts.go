package core

import (
	"slices"
	"strconv"
	"time"

	"wisteriapond/membership"
)

const (
	// maxHosts bounds the host table. It holds the 37,000 backend servers of
	// the largest deployment and their replacements.
	maxHosts = 1 << 16
	// marksSettle is the time that new marks have to spread before a different
	// digest of a peer counts as a loss.
	marksSettle = time.Second
	// marksEvery bounds the full exchanges that digests cause.
	marksEvery = time.Second
)

// marks is what is passed on about leaving hosts.
type marks struct {
	rumors membership.BroadcastQueue[HostEntry]
	// ever holds the hosts that were leaving at some time: a full exchange
	// names them, live again or not.
	ever map[string]bool
	// listed is set once a host list came. The first one is not new to a fleet
	// that this host has just joined.
	listed bool
	// digest identifies the marks known, in any order. Peers attach theirs to
	// pings: lost marks, and those of the other side of a partition, show as a
	// difference.
	digest   uint64
	changed  Instant
	nextFull Instant
}

// hostListRead takes the platform's host list. An entry counts only when its
// epoch is not below the one known, so that a lagging list cannot bring a
// leaving host back.
func (s *State) hostListRead(e HostListRead) {
	var changed []HostEntry
	for _, entry := range e.Hosts {
		known, ok := s.hosts[entry.Host]
		if ok && !supersedes(entry, known) {
			s.describeHost(entry, known)
			continue
		}
		if entry.Role == EntryHost && entry.Host != s.self.Host {
			s.members.AddContact(entry.Address)
		}
		if !s.setHost(entry) {
			continue
		}
		s.count(CounterLeavingMarks, "host_list")
		changed = append(changed, markOf(entry))
	}
	peers := s.fanout()
	if !s.marks.listed {
		peers = s.members.Sample(1)
	}
	s.marks.listed = true
	s.spreadMarks(changed, peers)
	s.pauseAnswered()
}

// describeHost completes an entry that came as a mark from a peer.
func (s *State) describeHost(entry, known HostEntry) {
	if known.Address != "" || entry.Address == "" {
		return
	}
	entry.Epoch, entry.Leaving = known.Epoch, known.Leaving
	s.hosts[entry.Host] = entry
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
	if s.setHost(entry) {
		s.count(CounterLeavingMarks, "backend")
		changed := []HostEntry{markOf(entry)}
		s.spreadMarks(changed, s.fanout())
	}
}

// mergeMarks takes leaving marks from a peer and passes on those that are new
// here, at once: the peer may have told this host only.
func (s *State) mergeMarks(heard []HostEntry) {
	var changed []HostEntry
	for _, mark := range heard {
		known, ok := s.hosts[mark.Host]
		if mark.Host == "" || ok && !supersedes(mark, known) {
			continue
		}
		entry := known
		entry.Host, entry.Role, entry.Epoch, entry.Leaving = mark.Host, mark.Role, mark.Epoch, mark.Leaving
		if s.setHost(entry) {
			s.count(CounterLeavingMarks, "peer")
			changed = append(changed, mark)
		}
	}
	s.spreadMarks(changed, s.fanout())
}

// setHost is the only writer of the host table. It reports whether the leaving
// mark of the host changed.
func (s *State) setHost(entry HostEntry) bool {
	known, ok := s.hosts[entry.Host]
	if !ok && len(s.hosts) >= maxHosts {
		s.count(CounterLeavingMarks, "table_full")
		return false
	}
	s.hosts[entry.Host] = entry
	if s.marks.ever[entry.Host] {
		s.marks.digest ^= markHash(known) ^ markHash(entry)
		s.marks.changed = s.now
	}
	if entry.Leaving == known.Leaving {
		return false
	}
	s.noteMark(entry)
	s.out.add(Log{Message: "host changed", Fields: []LogField{
		{Key: "changed", Value: entry.Host},
		{Key: "leaving", Value: strconv.FormatBool(entry.Leaving)},
		{Key: "epoch", Value: strconv.FormatUint(entry.Epoch, 10)},
	}})
	if entry.Leaving {
		s.closeIdleOf(entry.Host)
	}
	s.hostChanged(entry.Host)
	s.hostLeases(entry.Host)
	return true
}

func (s *State) noteMark(entry HostEntry) {
	if s.marks.ever[entry.Host] {
		return
	}
	if s.marks.ever == nil {
		s.marks.ever = make(map[string]bool)
	}
	s.marks.ever[entry.Host] = true
	s.marks.digest ^= markHash(entry)
	s.marks.changed = s.now
}

func markHash(entry HostEntry) uint64 {
	text := entry.Host + "/" + strconv.FormatUint(entry.Epoch, 10) + "/" + strconv.FormatBool(entry.Leaving)
	return membership.HashName(text)
}

// compareMarks sends all marks to a peer that knows other ones. Both sides
// compare, so both learn what they lack.
func (s *State) compareMarks(digest uint64, address string) {
	m := &s.marks
	if digest == m.digest || s.now.Sub(m.changed) < marksSettle || s.now.Before(m.nextFull) {
		return
	}
	m.nextFull = s.now.Add(marksEvery)
	s.count(CounterMarkExchanges, "")
	s.sendMarks(address)
}

// spreadMarks tells the peers at once, and attaches the marks to later
// messages in case that one was lost.
func (s *State) spreadMarks(changed []HostEntry, peers []membership.Member) {
	for _, mark := range changed {
		s.marks.rumors.Add(mark.Host, mark)
	}
	for chunk := range slices.Chunk(changed, hostsPerMessage) {
		s.sendTo(peers, Message{Hosts: chunk})
	}
}

// sendMarks tells a starting host all leaving marks.
func (s *State) sendMarks(address string) {
	var entries []HostEntry
	for _, host := range sortedKeys(s.marks.ever) {
		entries = append(entries, markOf(s.hosts[host]))
	}
	for chunk := range slices.Chunk(entries, hostsPerMessage) {
		s.send(address, Message{Hosts: chunk})
	}
}

// markOf leaves out what a leaving mark does not need.
func markOf(entry HostEntry) HostEntry {
	return HostEntry{Host: entry.Host, Role: entry.Role, Epoch: entry.Epoch, Leaving: entry.Leaving}
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

func (s *State) leavingHosts() []HostEntry {
	var entries []HostEntry
	for _, host := range sortedKeys(s.marks.ever) {
		if s.hosts[host].Leaving {
			entries = append(entries, s.hosts[host])
		}
	}
	return entries
}
