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
	markSettleTime = time.Second
	// marksEvery bounds the full exchanges that digests cause.
	markExchangeInterval = time.Second
)

// marks is what is passed on about leaving hosts.
type leavingMarks struct {
	rumors membership.Rumors[HostEntry]
	// ever holds the hosts that were leaving at some time: a full exchange
	// names them, live again or not.
	everLeaving map[string]bool
	// listed is set once a host list came. The first one is not new to a fleet
	// that this host has just joined.
	hostListSeen bool
	// digest identifies the marks known, in any order. Peers attach theirs to
	// pings: lost marks, and those of the other side of a partition, show as a
	// difference.
	digest       uint64
	changedAt    Instant
	nextExchange Instant
}

// hostListRead takes the platform's host list. An entry counts only when its
// epoch is not below the one known, so that a lagging list cannot bring a
// leaving host back.
func (s *State) hostListRead(e HostListRead) {
	var changed []HostEntry
	for _, entry := range e.Hosts {
		known, ok := s.hosts[entry.Host]
		if ok && !supersedes(entry, known) {
			s.fillHostDetails(entry, known)
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
	peers := s.propagationTargets()
	if !s.marks.hostListSeen {
		peers = s.members.Sample(1)
	}
	s.marks.hostListSeen = true
	s.propagateMarks(changed, peers)
	s.confirmFromPlatform()
}

// describeHost completes an entry that came as a mark from a peer.
func (s *State) fillHostDetails(entry, known HostEntry) {
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
		s.propagateMarks(changed, s.propagationTargets())
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
	s.propagateMarks(changed, s.propagationTargets())
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
	if s.marks.everLeaving[entry.Host] {
		s.marks.digest ^= markHash(known) ^ markHash(entry)
		s.marks.changedAt = s.now
	}
	if entry.Leaving == known.Leaving {
		return false
	}
	s.recordMark(entry)
	s.out.add(Log{Message: "host changed", Fields: []LogField{
		{Key: "changed", Value: entry.Host},
		{Key: "leaving", Value: strconv.FormatBool(entry.Leaving)},
		{Key: "epoch", Value: strconv.FormatUint(entry.Epoch, 10)},
	}})
	if entry.Leaving {
		s.closeIdleConnections(entry.Host)
	}
	s.hostChanged(entry.Host)
	s.resizeHostLeases(entry.Host)
	return true
}

func (s *State) recordMark(entry HostEntry) {
	if s.marks.everLeaving[entry.Host] {
		return
	}
	if s.marks.everLeaving == nil {
		s.marks.everLeaving = make(map[string]bool)
	}
	s.marks.everLeaving[entry.Host] = true
	s.marks.digest ^= markHash(entry)
	s.marks.changedAt = s.now
}

func markHash(entry HostEntry) uint64 {
	text := entry.Host + "/" + strconv.FormatUint(entry.Epoch, 10) + "/" + strconv.FormatBool(entry.Leaving)
	return membership.HashName(text)
}

// compareMarks sends all marks to a peer that knows other ones. Both sides
// compare, so both learn what they lack.
func (s *State) compareMarks(digest uint64, address string) {
	m := &s.marks
	if digest == m.digest || s.now.Sub(m.changedAt) < markSettleTime || s.now.Before(m.nextExchange) {
		return
	}
	m.nextExchange = s.now.Add(markExchangeInterval)
	s.count(CounterMarkExchanges, "")
	s.sendAllMarks(address)
}

// spreadMarks tells the peers at once, and attaches the marks to later
// messages in case that one was lost.
func (s *State) propagateMarks(changed []HostEntry, peers []membership.Member) {
	for _, mark := range changed {
		s.marks.rumors.Add(mark.Host, mark)
	}
	for chunk := range slices.Chunk(changed, hostsPerMessage) {
		s.sendToAll(peers, Message{Hosts: chunk})
	}
}

// sendMarks tells a starting host all leaving marks.
func (s *State) sendAllMarks(address string) {
	var entries []HostEntry
	for _, host := range sortedKeys(s.marks.everLeaving) {
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

func (s *State) closeIdleConnections(host string) {
	for _, u := range s.upstreamsOf[host] {
		s.out.add(CloseIdle{Address: u.config.Address})
	}
}

func (s *State) leavingHosts() []HostEntry {
	var entries []HostEntry
	for _, host := range sortedKeys(s.marks.everLeaving) {
		if s.hosts[host].Leaving {
			entries = append(entries, s.hosts[host])
		}
	}
	return entries
}
