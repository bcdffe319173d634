package core

import (
	"cmp"
	"slices"
	"strconv"
	"time"
)

// Neighbour is an entry host as it describes itself.
type Neighbour struct {
	Host          string
	Address       string
	FailureDomain string
	// Capacity ranks the hosts of a failure domain: the host with the highest
	// capacity is the reader. Hosts of the same capacity are ranked by name.
	Capacity int
}

// neighbour is the known state of another entry host.
type neighbour struct {
	Neighbour
	// lastContact is the instant at which it last polled this host. lastNamed is
	// the instant at which it last polled or was named by another host.
	lastContact Instant
	lastNamed   Instant
	// backoffUntil is the end of the time for which it is not polled after a
	// failure, and failures the number of consecutive failures.
	backoffUntil Instant
	failures     int
	// polledAt is the instant of its last regular poll, and subtree the number of
	// hosts for which it spoke then.
	polledAt Instant
	subtree  int
}

// selfNeighbour returns the description of this host for other entry hosts.
func (s *State) selfNeighbour() Neighbour {
	return Neighbour{
		Host: s.self.Host, Address: s.self.Registry.Address, FailureDomain: s.self.FailureDomain,
		Capacity: s.self.Registry.Capacity,
	}
}

// reader returns the entry host that this host polls, or nil if this host reads
// the store itself. That is the reader of the failure domain, or, for the reader,
// the highest-ranked of all entry hosts.
func (s *State) reader() *neighbour {
	self := s.selfNeighbour()
	if best := s.highestRanked(func(n *neighbour) bool { return n.FailureDomain == self.FailureDomain }); best != nil {
		return best
	}
	return s.highestRanked(func(*neighbour) bool { return true })
}

// highestRanked returns the highest-ranked of the included entry hosts that are
// not in a backoff, or nil if this host ranks before all of them.
func (s *State) highestRanked(included func(*neighbour) bool) *neighbour {
	var best *neighbour
	self := s.selfNeighbour()
	for _, name := range sortedKeys(s.registry.propagation.neighbours) {
		other := s.registry.propagation.neighbours[name]
		if !included(other) || s.now.Before(other.backoffUntil) || !ranksBefore(&other.Neighbour, &self) {
			continue
		}
		if best == nil || ranksBefore(&other.Neighbour, &best.Neighbour) {
			best = other
		}
	}
	return best
}

// readerClients returns the number of hosts of the failure domain that poll the given
// reader, this host included.
func (s *State) readerClients(reader *neighbour) int {
	n := 1
	if reader.FailureDomain != s.self.FailureDomain {
		return n
	}
	for _, other := range s.registry.propagation.neighbours {
		if other.FailureDomain == s.self.FailureDomain && other != reader && !s.now.Before(other.backoffUntil) {
			n++
		}
	}
	return n
}

// ranksBefore reports whether a ranks before b: by higher capacity, then by name.
func ranksBefore(a, b *Neighbour) bool {
	return cmp.Or(cmp.Compare(b.Capacity, a.Capacity), cmp.Compare(a.Host, b.Host)) < 0
}

// querySeeds polls the seeds for the entry hosts that they know, when due.
func (s *State) querySeeds() {
	p := &s.registry.propagation
	if s.now.Before(p.nextSeedQuery) || len(s.self.Registry.Seeds) == 0 {
		return
	}
	for _, seed := range s.self.Registry.Seeds {
		if seed != s.self.Registry.Address {
			s.out.add(AskNews{Address: seed, Ask: NewsAsk{From: s.selfNeighbour(), NamesOnly: true}, Aside: true})
		}
	}
	if len(p.neighbours) > 0 {
		p.seedInterval = maxSeedInterval
	}
	p.nextSeedQuery = s.now.Add(p.seedInterval/2 + time.Duration(s.random.intN(int(p.seedInterval))))
	p.seedInterval = min(2*p.seedInterval, maxSeedInterval)
	s.scheduleTick(p.nextSeedQuery)
}

// neighbourFailed backs off from an entry host that did not respond, so that the
// next-ranked host becomes the reader.
func (s *State) neighbourFailed(e NewsAnswered) {
	s.count(CounterStoreUpdates, "failed")
	newlyFailed := false
	for _, name := range sortedKeys(s.registry.propagation.neighbours) {
		other := s.registry.propagation.neighbours[name]
		if other.Address == e.Address {
			if !s.now.Before(other.backoffUntil) {
				// The seeds may know another entry host. A host that is already
				// known to be down is no reason to query them again: it may be a
				// seed itself.
				s.registry.propagation.nextSeedQuery = s.now
				newlyFailed = true
			}
			other.backoffUntil = s.now.Add(min(minNeighbourBackoff<<min(other.failures, 8), maxNeighbourBackoff))
			other.failures++
			s.out.add(Log{Level: LogWarn, Message: "entry host not responding", Fields: []LogField{
				{Key: "member", Value: other.Host},
				{Key: "reason", Value: e.Reason},
			}})
		}
	}
	if newlyFailed {
		s.callSoonerAsReader()
	}
	if newlyFailed && e.Aside && s.storeStaleness() < staleAfter {
		// This may have been a notification. The next reader needs it.
		s.notifyReader()
	}
	s.pollReader()
	s.callStoreIfDue()
}

// neighbourResponded ends the backoff from an entry host.
func (s *State) neighbourResponded(address string) {
	for _, other := range s.registry.propagation.neighbours {
		if other.Address == address {
			other.backoffUntil, other.failures = 0, 0
		}
	}
}

// upsertNeighbour adds or updates an entry host. A host that polls is alive,
// which ends its backoff.
func (s *State) upsertNeighbour(described Neighbour, polling bool) {
	p := &s.registry.propagation
	if described.Host == "" || described.Host == s.self.Host || described.Address == "" {
		return
	}
	known := p.neighbours[described.Host]
	if known == nil {
		if len(p.neighbours) >= maxNeighbours {
			s.count(CounterStoreUpdates, "too_many_neighbours")
			return
		}
		known = &neighbour{}
		p.neighbours[described.Host] = known
		s.out.add(Log{Message: "entry host found", Fields: []LogField{
			{Key: "member", Value: described.Host},
			{Key: "failure_domain", Value: described.FailureDomain},
			{Key: "known", Value: strconv.Itoa(len(p.neighbours))},
		}})
	}
	s.cold.contacted = true
	if described.FailureDomain == s.self.FailureDomain {
		s.cold.hosts.Add(time.Duration(s.now), described.Host)
	}
	known.Neighbour = described
	known.lastNamed = s.now
	if polling {
		known.lastContact = s.now
		known.backoffUntil = 0
		known.failures = 0
	}
}

// expireNeighbours removes entry hosts that neither polled nor were named for
// neighbourExpiry.
func (s *State) expireNeighbours() {
	p := &s.registry.propagation
	for _, name := range sortedKeys(p.neighbours) {
		other := p.neighbours[name]
		if s.now.Sub(max(other.lastContact, other.lastNamed)) >= neighbourExpiry {
			delete(p.neighbours, name)
		}
	}
}

// neighboursFor returns the entry hosts to name to the sender of a poll: those of
// its failure domain that polled within recentContact, the highest-ranked host,
// and a random one if the sender is of another failure domain.
func (s *State) neighboursFor(sender Neighbour) []Neighbour {
	p := &s.registry.propagation
	var named []Neighbour
	highest := s.selfNeighbour()
	if sender.FailureDomain == s.self.FailureDomain {
		named = append(named, highest)
	}
	for _, name := range sortedKeys(p.neighbours) {
		other := p.neighbours[name]
		if other.Host == sender.Host || s.now.Before(other.backoffUntil) {
			continue
		}
		if s.now.Sub(other.lastContact) < recentContact && other.FailureDomain == sender.FailureDomain && len(named) < maxListedNeighbours {
			named = append(named, other.Neighbour)
		}
		if s.now.Sub(other.lastContact) < neighbourExpiry && ranksBefore(&other.Neighbour, &highest) {
			highest = other.Neighbour
		}
	}
	if !slices.Contains(named, highest) {
		named = append(named, highest)
	}
	if other := s.randomContact(sender); other != nil && !slices.Contains(named, other.Neighbour) {
		named = append(named, other.Neighbour)
	}
	return named
}

// randomContact returns a random entry host that polled within recentContact and
// is outside the failure domain of the sender. It returns nil if there is none, or
// if the sender is of the failure domain of this host. This way readers learn of
// each other over time, and find a host that the store serves when the
// highest-ranked host and the seeds are down.
func (s *State) randomContact(sender Neighbour) *neighbour {
	if sender.FailureDomain == s.self.FailureDomain {
		return nil
	}
	var candidates []*neighbour
	for _, name := range sortedKeys(s.registry.propagation.neighbours) {
		other := s.registry.propagation.neighbours[name]
		if other.FailureDomain != sender.FailureDomain && s.now.Sub(other.lastContact) < recentContact && !s.now.Before(other.backoffUntil) {
			candidates = append(candidates, other)
		}
	}
	if len(candidates) == 0 {
		return nil
	}
	return candidates[s.random.intN(len(candidates))]
}
