package core

import (
	"slices"
	"strconv"
	"time"

	"wisteriapond/membership"
)

const (
	// maxHosts bounds the host table. It leaves room for the 37,000 backend
	// servers of the largest deployment and their replacements.
	maxHosts = 1 << 16
	// markSettleTime is the time that new marks have to propagate before a
	// differing digest of a peer is taken as a sign of lost marks.
	markSettleTime = time.Second
	// markExchangeInterval is the minimum time between two full exchanges that
	// are caused by differing digests.
	markExchangeInterval = time.Second
)

// leavingMarks is the state of propagating leaving marks among entry hosts.
type leavingMarks struct {
	broadcasts membership.BroadcastQueue[HostEntry]
	// everLeaving holds the hosts that have been leaving at some time. A full
	// exchange lists all of them, including those that are live again.
	everLeaving map[string]bool
	// hostListSeen is set once a host list has been read. The fleet that a
	// starting host joins knows the content of its first list already, so the
	// marks in it are sent to one peer only.
	hostListSeen bool
	// digest identifies the set of known marks, whatever their order. Peers
	// attach theirs to pings, so that lost marks and those of the other side of a
	// partition show up as a difference.
	digest       uint64
	changedAt    Instant
	nextExchange Instant
}

// hostListRead applies the platform's host list. An entry of a known host is
// applied only if it supersedes the known entry, so that a lagging list cannot
// bring a leaving host back.
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

// fillHostDetails completes an entry that is known from a leaving mark only,
// without an address.
func (s *State) fillHostDetails(entry, known HostEntry) {
	if known.Address != "" || entry.Address == "" {
		return
	}
	entry.Epoch, entry.Leaving = known.Epoch, known.Leaving
	s.hosts[entry.Host] = entry
}

// markLeaving marks the host of a backend server that has announced that it is
// leaving. The known epoch is kept, so that only an entry with a higher epoch can
// bring the host back.
func (s *State) markLeaving(host string) { s.markLeavingFrom(host, "backend") }

// markLeavingFrom marks the host of a backend server as leaving. source is the
// label value of the counter.
func (s *State) markLeavingFrom(host, source string) {
	entry := s.hosts[host]
	if entry.Leaving {
		return
	}
	entry.Host = host
	entry.Leaving = true
	if s.setHost(entry) {
		s.count(CounterLeavingMarks, source)
		s.recordLeaving(host)
		changed := []HostEntry{markOf(entry)}
		s.propagateMarks(changed, s.propagationTargets())
	}
}

// mergeMarks applies leaving marks from a peer and forwards those that are new
// here at once, since the peer may have sent them to this host only.
func (s *State) mergeMarks(received []HostEntry) {
	var changed []HostEntry
	for _, mark := range received {
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

// setHost stores a host entry and applies a change of its leaving mark to
// upstreams and leases. Epochs and leaving marks change only here, so that the
// digest stays correct. It reports whether the leaving mark changed.
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
	s.out.add(Log{Message: "leaving mark of a host changed", Fields: []LogField{
		{Key: "changed", Value: entry.Host},
		{Key: "leaving", Value: strconv.FormatBool(entry.Leaving)},
		{Key: "epoch", Value: strconv.FormatUint(entry.Epoch, 10)},
	}})
	if entry.Leaving {
		s.closeIdleConnections(entry.Host)
	}
	s.applyLeavingMark(entry.Host)
	s.resizeHostLeases(entry.Host)
	return true
}

// recordMark adds a host to everLeaving and to the digest.
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

// markHash returns the hash that a leaving mark adds to the digest.
func markHash(entry HostEntry) uint64 {
	text := entry.Host + "/" + strconv.FormatUint(entry.Epoch, 10) + "/" + strconv.FormatBool(entry.Leaving)
	return membership.HashName(text)
}

// compareMarks sends all marks to a peer whose digest differs. Both sides
// compare digests, so each receives the marks that it lacks.
func (s *State) compareMarks(digest uint64, address string) {
	m := &s.marks
	if digest == m.digest || s.now.Sub(m.changedAt) < markSettleTime || s.now.Before(m.nextExchange) {
		return
	}
	m.nextExchange = s.now.Add(markExchangeInterval)
	s.count(CounterMarkExchanges, "")
	s.sendAllMarks(address)
}

// propagateMarks sends changed marks to the given peers at once, and queues them
// to be attached to later messages in case one of these is lost.
func (s *State) propagateMarks(changed []HostEntry, peers []membership.Member) {
	for _, mark := range changed {
		s.marks.broadcasts.Add(mark.Host, mark)
	}
	for chunk := range slices.Chunk(changed, hostsPerMessage) {
		s.sendToAll(peers, Message{Hosts: chunk})
	}
}

// sendAllMarks sends the marks of all hosts that have ever been leaving to one
// peer: a starting host, or one whose digest differs.
func (s *State) sendAllMarks(address string) {
	var entries []HostEntry
	for _, host := range sortedKeys(s.marks.everLeaving) {
		entries = append(entries, markOf(s.hosts[host]))
	}
	for chunk := range slices.Chunk(entries, hostsPerMessage) {
		s.send(address, Message{Hosts: chunk})
	}
}

// markOf returns the fields of an entry that make up a leaving mark.
func markOf(entry HostEntry) HostEntry {
	return HostEntry{Host: entry.Host, Role: entry.Role, Epoch: entry.Epoch, Leaving: entry.Leaving}
}

// supersedes reports whether entry replaces known. A higher epoch wins; within
// one epoch, leaving wins over live.
func supersedes(entry, known HostEntry) bool {
	if entry.Epoch != known.Epoch {
		return entry.Epoch > known.Epoch
	}
	return entry.Leaving && !known.Leaving
}

func (s *State) leaving(host string) bool {
	return s.hosts[host].Leaving
}

// closeIdleConnections closes the pooled connections to all upstreams of a host.
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
