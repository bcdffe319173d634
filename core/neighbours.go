package core

import (
	"cmp"
	"slices"
	"strconv"
	"time"
)

// Neighbour is an entry host as it names itself.
type Neighbour struct {
	Host          string
	Address       string
	FailureDomain string
	// Capacity orders the hosts of a failure domain: the one with the highest
	// reads the store.
	Capacity int
}

// neighbour is what is known of another entry host.
type neighbour struct {
	Neighbour
	// heard is the last instant at which it asked, and told that at which
	// another host named it.
	heard Instant
	told  Instant
	// downUntil is the end of the time for which it is not asked, after failures
	// in a row.
	downUntil Instant
	failures  int
}

func (s *State) selfNeighbour() Neighbour {
	return Neighbour{
		Host: s.self.Host, Address: s.self.Registry.Address, FailureDomain: s.self.FailureDomain,
		Capacity: s.self.Registry.Capacity,
	}
}

// reader returns the entry host that this one asks, or nil when it reads the
// store itself. Within the failure domain that is the reader; readers ask the
// first of all entry hosts.
func (s *State) reader() *neighbour {
	self := s.selfNeighbour()
	if first := s.firstOf(func(n *neighbour) bool { return n.FailureDomain == self.FailureDomain }); first != nil {
		return first
	}
	return s.firstOf(func(*neighbour) bool { return true })
}

// firstOf returns the first in rank of the entry hosts that can be asked, or
// nil when this host comes before them.
func (s *State) firstOf(included func(*neighbour) bool) *neighbour {
	var best *neighbour
	self := s.selfNeighbour()
	for _, name := range sortedKeys(s.registry.news.neighbours) {
		other := s.registry.news.neighbours[name]
		if !included(other) || s.now.Before(other.downUntil) || !ranksBefore(&other.Neighbour, &self) {
			continue
		}
		if best == nil || ranksBefore(&other.Neighbour, &best.Neighbour) {
			best = other
		}
	}
	return best
}

// sharing returns the number of hosts that ask the same reader as this one: those
// of the failure domain, or the readers of all failure domains.
func (s *State) sharing(reader *neighbour) int {
	if reader.FailureDomain != s.self.FailureDomain {
		return len(s.self.Registry.Domains)
	}
	n := 1
	for _, other := range s.registry.news.neighbours {
		if other.FailureDomain == s.self.FailureDomain && other != reader && !s.now.Before(other.downUntil) {
			n++
		}
	}
	return n
}

func ranksBefore(a, b *Neighbour) bool {
	return cmp.Or(cmp.Compare(b.Capacity, a.Capacity), cmp.Compare(a.Host, b.Host)) < 0
}

// askSeeds looks for neighbours.
func (s *State) askSeeds() {
	n := &s.registry.news
	if s.now.Before(n.nextSeeds) || len(s.self.Registry.Seeds) == 0 {
		return
	}
	for _, seed := range s.self.Registry.Seeds {
		if seed != s.self.Registry.Address {
			s.out.add(AskNews{Address: seed, Ask: NewsAsk{From: s.selfNeighbour(), NamesOnly: true}, Aside: true})
		}
	}
	if len(n.neighbours) > 0 {
		n.seedPause = lastSeedPause
	}
	n.nextSeeds = s.now.Add(n.seedPause/2 + time.Duration(s.random.intN(int(n.seedPause))))
	n.seedPause = min(2*n.seedPause, lastSeedPause)
	s.wake(n.nextSeeds)
}

func (s *State) neighbourFailed(e NewsAnswered) {
	s.count(CounterStoreUpdates, "failed")
	for _, name := range sortedKeys(s.registry.news.neighbours) {
		other := s.registry.news.neighbours[name]
		if other.Address == e.Address {
			if !s.now.Before(other.downUntil) {
				// The seeds may know another one. One that is known to be down is no
				// reason to ask them again: it may be a seed itself.
				s.registry.news.nextSeeds = s.now
			}
			other.downUntil = s.now.Add(min(firstDown<<min(other.failures, 8), lastDown))
			other.failures++
			s.out.add(Log{Level: LogWarn, Message: "entry host does not answer", Fields: []LogField{
				{Key: "member", Value: other.Host},
				{Key: "reason", Value: e.Reason},
			}})
		}
	}
	s.pollReader()
	s.driveStore()
}

func (s *State) neighbourAnswered(address string) {
	for _, other := range s.registry.news.neighbours {
		if other.Address == address {
			other.downUntil, other.failures = 0, 0
		}
	}
}

// meet remembers an entry host. One that asks is alive.
func (s *State) meet(name Neighbour, asks bool) {
	n := &s.registry.news
	if name.Host == "" || name.Host == s.self.Host || name.Address == "" {
		return
	}
	known := n.neighbours[name.Host]
	if known == nil {
		if len(n.neighbours) >= maxNeighbours {
			s.count(CounterStoreUpdates, "too_many_neighbours")
			return
		}
		known = &neighbour{}
		n.neighbours[name.Host] = known
		s.out.add(Log{Message: "entry host found", Fields: []LogField{
			{Key: "member", Value: name.Host},
			{Key: "failure_domain", Value: name.FailureDomain},
			{Key: "known", Value: strconv.Itoa(len(n.neighbours))},
		}})
	}
	known.Neighbour = name
	known.told = s.now
	if asks {
		known.heard = s.now
		known.downUntil = 0
		known.failures = 0
	}
}

func (s *State) forgetNeighbours() {
	n := &s.registry.news
	for _, name := range sortedKeys(n.neighbours) {
		other := n.neighbours[name]
		if s.now.Sub(max(other.heard, other.told)) >= neighbourLife {
			delete(n.neighbours, name)
		}
	}
}

// namesFor returns the hosts of the failure domain of the asker that were heard
// of lately, the first of all hosts, and a random one for a reader.
func (s *State) namesFor(asker Neighbour) []Neighbour {
	n := &s.registry.news
	var names []Neighbour
	first := s.selfNeighbour()
	if asker.FailureDomain == s.self.FailureDomain {
		names = append(names, first)
	}
	for _, name := range sortedKeys(n.neighbours) {
		other := n.neighbours[name]
		if other.Host == asker.Host || s.now.Before(other.downUntil) {
			continue
		}
		if s.now.Sub(other.heard) < heardLately && other.FailureDomain == asker.FailureDomain && len(names) < maxToldNames {
			names = append(names, other.Neighbour)
		}
		if s.now.Sub(other.heard) < neighbourLife && ranksBefore(&other.Neighbour, &first) {
			first = other.Neighbour
		}
	}
	if !slices.Contains(names, first) {
		names = append(names, first)
	}
	if other := s.anyHeard(asker); other != nil && !slices.Contains(names, other.Neighbour) {
		names = append(names, other.Neighbour)
	}
	return names
}

// anyHeard returns a random host of a third failure domain for a reader that
// asks, nil when there is none. Readers know each other by and by, so that they
// find a host that is served when the first of all and the seeds are gone.
func (s *State) anyHeard(asker Neighbour) *neighbour {
	if asker.FailureDomain == s.self.FailureDomain {
		return nil
	}
	var heard []*neighbour
	for _, name := range sortedKeys(s.registry.news.neighbours) {
		other := s.registry.news.neighbours[name]
		if other.FailureDomain != asker.FailureDomain && s.now.Sub(other.heard) < heardLately && !s.now.Before(other.downUntil) {
			heard = append(heard, other)
		}
	}
	if len(heard) == 0 {
		return nil
	}
	return heard[s.random.intN(len(heard))]
}
