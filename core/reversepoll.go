package core

import "time"

// A store may reject the host that reads it for others. A host that the store
// serves then reads the store for its reader, and the reader polls it: a reverse
// poll.

const (
	// A host that polls with the same revision gets a reverse poll if its state
	// is less stale by more than minReversePollGain. A host that was polled by its
	// reader reads the store for relayPeriod.
	minReversePollGain = 300 * time.Millisecond
	relayPeriod        = 2 * time.Second
)

// relaysToReader reports whether this host reads the store for its reader.
func (s *State) relaysToReader() bool { return s.now.Before(s.registry.propagation.relayUntil) }

// recordReaderPoll starts or extends the relay period if the sender of a poll for
// updates is the reader of this host. The reader is determined only if the sender
// ranks before this host, since polls are frequent.
func (s *State) recordReaderPoll(poll *NewsAsk) {
	self := s.selfNeighbour()
	if poll.NamesOnly || !ranksBefore(&poll.From, &self) {
		return
	}
	if reader := s.reader(); reader != nil && reader.Host == poll.From.Host {
		s.registry.propagation.relayUntil = s.now.Add(relayPeriod)
	}
}

// notifyReader informs the reader of the revision and the staleness of this host
// after the store has responded here, so that the reader can send a reverse poll if
// it cannot read the store itself. A host with servers pending removal sends
// nothing, since it does not know yet what to propagate.
func (s *State) notifyReader() {
	if len(s.registry.pendingRemoval) == 0 {
		s.sendNotification()
	}
}

// sendNotification sends the notification whether or not servers are pending removal.
func (s *State) sendNotification() {
	reader := s.reader()
	if reader == nil {
		return
	}
	poll := s.updateRequest(0)
	poll.NamesOnly = true
	s.out.add(AskNews{Address: reader.Address, Ask: poll, Aside: true})
}

// reversePoll polls the sender of a poll if the sender has newer state, and the
// updates of this host are stale or already come from such polls.
func (s *State) reversePoll(poll *NewsAsk) {
	p := &s.registry.propagation
	known := s.registry.age()
	fresher := poll.After > 0 && poll.age() == known && poll.Age < staleAfter && poll.Age+minReversePollGain < s.storeStaleness()
	needed := p.relayed || s.storeStaleness() >= staleAfter
	if !needed || p.reversePolledAddress != "" || poll.From.Address == "" || !known.Before(poll.age()) && !fresher {
		return
	}
	p.relayed = true
	p.reversePolledAddress = poll.From.Address
	s.out.add(AskNews{Address: p.reversePolledAddress, Ask: s.updateRequest(0), Aside: true})
}

// pollRandomNeighbour polls a random entry host when neither the store nor the
// reader has provided updates lately: the store may reject all hosts of a
// failure domain.
func (s *State) pollRandomNeighbour() {
	p := &s.registry.propagation
	if s.storeStaleness() < maxStaleness {
		return
	}
	var candidates []*neighbour
	for _, name := range sortedKeys(p.neighbours) {
		if other := p.neighbours[name]; other.Address != p.polledAddress && !s.now.Before(other.backoffUntil) {
			candidates = append(candidates, other)
		}
	}
	if len(candidates) > 0 {
		p.relayed = true
		s.out.add(AskNews{Address: candidates[s.random.intN(len(candidates))].Address, Ask: s.updateRequest(0), Aside: true})
	}
}
