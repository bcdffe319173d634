package core

import "time"

// A store may turn away the host that reads it for others. One of those that it
// serves then reads for that host, which asks in turn.

const (
	// A host that knows more is asked in turn when its news are younger by
	// minReversePollGain, and goes on reading for relayPeriod.
	minReversePollGain = 300 * time.Millisecond
	relayPeriod        = 2 * time.Second
)

// feeds reports whether this host reads the store for its reader.
func (s *State) relaysToReader() bool { return s.now.Before(s.registry.propagation.relayUntil) }

// noteReaderPoll notes that the reader of this host asks it for news. The reader
// is looked for only if the asker can be it: every host asks often.
func (s *State) noteReaderPoll(ask *NewsAsk) {
	self := s.selfNeighbour()
	if ask.NamesOnly || !ranksBefore(&ask.From, &self) {
		return
	}
	if reader := s.reader(); reader != nil && reader.Host == ask.From.Host {
		s.registry.propagation.relayUntil = s.now.Add(relayPeriod)
	}
}

// notifyReader lets the host that this one asks know that the store has answered
// here, so that it asks in turn if it cannot read for itself. A host that keeps
// servers whose entries may have lapsed does not know yet what it would tell.
func (s *State) notifyReader() {
	reader := s.reader()
	if reader == nil || len(s.registry.pendingRemoval) > 0 {
		return
	}
	ask := s.updateRequest(0)
	ask.NamesOnly = true
	s.out.add(AskNews{Address: reader.Address, Ask: ask, Aside: true})
}

// reversePoll asks a host that knows more than this one, whose own news are old.
func (s *State) reversePoll(ask *NewsAsk) {
	n := &s.registry.propagation
	known := s.registry.revision
	younger := ask.After > 0 && ask.After == known && ask.Age < staleAfter && ask.Age+minReversePollGain < s.storeStaleness()
	needed := n.relayed || s.storeStaleness() >= staleAfter
	if !needed || n.reversePolledAddress != "" || ask.From.Address == "" || ask.After <= known && !younger {
		return
	}
	n.relayed = true
	n.reversePolledAddress = ask.From.Address
	s.out.add(AskNews{Address: n.reversePolledAddress, Ask: s.updateRequest(0), Aside: true})
}

// pollRandomNeighbour asks a random entry host when neither the store nor the reader has
// told anything lately: all of a failure domain may be turned away.
func (s *State) pollRandomNeighbour() {
	n := &s.registry.propagation
	if s.storeStaleness() < maxStaleness {
		return
	}
	var known []*neighbour
	for _, name := range sortedKeys(n.neighbours) {
		if other := n.neighbours[name]; other.Address != n.polledAddress && !s.now.Before(other.backoffUntil) {
			known = append(known, other)
		}
	}
	if len(known) > 0 {
		n.relayed = true
		s.out.add(AskNews{Address: known[s.random.below(len(known))].Address, Ask: s.updateRequest(0), Aside: true})
	}
}
