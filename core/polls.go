package core

import (
	"slices"

	"wisteriapond/storeage"
)

// This file responds to the entry hosts that poll this one for store updates.

// updatesRequested responds to a poll at once, or holds it until there are updates
// or its wait limit has passed.
func (s *State) updatesRequested(e NewsAsked) {
	p := &s.registry.propagation
	s.upsertNeighbour(e.Ask.From, true)
	s.leavingReceived(e.Ask.Leaving)
	if s.domainsReceived(e.Ask.Domains) {
		s.respondToPendingPolls()
		s.notifyReader()
	}
	s.hearEra(e.Ask.Era)
	s.hearRecovery(e.Ask.SinceRecovery)
	s.recordClient(&e.Ask)
	s.reversePoll(&e.Ask)
	s.recordReaderPoll(&e.Ask)
	if e.Ask.NamesOnly || s.hasUpdatesFor(&e.Ask) || e.Ask.Wait <= 0 || len(p.pendingPolls) >= maxPendingPolls {
		s.respondToPoll(e.ID, &e.Ask)
		return
	}
	until := s.now.Add(min(e.Ask.Wait, pollWait))
	p.pendingPolls = append(p.pendingPolls, pendingPoll{id: e.ID, request: e.Ask, until: until})
	s.scheduleTick(until)
}

// hasUpdatesFor reports whether this host has updates that the sender of the
// poll lacks.
func (s *State) hasUpdatesFor(poll *NewsAsk) bool {
	reg := &s.registry
	if s.hasRoutingFor(poll) {
		return true
	}
	if !s.mayPropagate() {
		return false
	}
	if !poll.age().Before(reg.age()) {
		return false
	}
	if s.needsWhole(poll) {
		return true
	}
	for _, revision := range reg.propagation.changeRevisions {
		if revision > poll.After {
			return true
		}
	}
	return false
}

// hasRoutingFor reports whether this host has a later configuration than the sender of the
// poll. Versions only rise, so that the configuration is passed on also while the servers
// are of no revision. A sender without a state needs both.
func (s *State) hasRoutingFor(poll *NewsAsk) bool {
	routing := s.registry.routing
	return routing != nil && routing.Version > poll.Routing && (poll.After > 0 || s.mayPropagate())
}

// needsWhole reports whether the changes since the position of the sender are not all
// known here: the sender has no state or that of another era, or the changes were
// discarded.
func (s *State) needsWhole(poll *NewsAsk) bool {
	reg := &s.registry
	return poll.After == 0 || poll.Era != reg.era || poll.After < reg.propagation.historyStart
}

// age returns the position up to which the state of the sender is complete.
func (a *NewsAsk) age() storeage.Age { return storeage.Age{Era: a.Era, Revision: a.After} }

// respondToPendingPolls responds to all pending polls, after updates arrived or
// the store confirmed that there are none. While servers are pending removal the polls of
// hosts that have the configuration stay pending, at most until their waits are over.
func (s *State) respondToPendingPolls() {
	p := &s.registry.propagation
	held := len(s.registry.pendingRemoval) > 0
	pending := p.pendingPolls
	p.pendingPolls = nil
	for i := range pending {
		if held && !s.hasRoutingFor(&pending[i].request) {
			p.pendingPolls = append(p.pendingPolls, pending[i])
			continue
		}
		s.respondToPoll(pending[i].id, &pending[i].request)
	}
}

// respondToDuePolls responds to the polls that were held long enough, and drops
// expired servers after expiredRetention.
func (s *State) respondToDuePolls() {
	p := &s.registry.propagation
	p.pendingPolls = slices.DeleteFunc(p.pendingPolls, func(poll pendingPoll) bool {
		if s.now.Before(poll.until) {
			return false
		}
		s.respondToPoll(poll.id, &poll.request)
		return true
	})
	for _, id := range sortedKeys(p.expired) {
		if s.now.Sub(p.expired[id]) >= expiredRetention {
			delete(p.expired, id)
		}
	}
}

// respondToPoll sends the response to a poll: entry hosts, and the changes since
// the revision of the sender. The response holds all servers if it needs them.
func (s *State) respondToPoll(id uint64, poll *NewsAsk) {
	reg := &s.registry
	response := NewsAnswer{
		Era: reg.era, SinceRecovery: s.sinceRecovery(), Neighbours: s.neighboursFor(poll.From),
		Leaving: s.recentLeaving(), Domains: s.domainMarks(), Hosts: max(s.registry.fleet.largest, s.subtreeSize()),
	}
	if !poll.NamesOnly && s.mayPropagate() {
		response.Known = true
		response.Revision = reg.revision
		response.Age = s.storeStaleness()
		response.Whole = s.needsWhole(poll)
		response.Servers = s.serversChangedAfter(poll.After, response.Whole)
	}
	if !poll.NamesOnly && s.hasRoutingFor(poll) {
		response.Routing = reg.routing
	}
	s.count(CounterStoreUpdates, "told")
	s.out.add(AnswerNews{ID: id, Answer: response})
}

// mayPropagate reports whether this host has a state to propagate. While servers are
// pending removal it has none: its state is that of no revision, and a host that adopted
// it with a revision would not learn of the removals from others.
func (s *State) mayPropagate() bool {
	reg := &s.registry
	return reg.routing != nil && reg.revision > 0 && len(reg.pendingRemoval) == 0
}

// serversChangedAfter returns the servers that changed after a revision, or all
// of them if complete is set.
func (s *State) serversChangedAfter(after uint64, complete bool) []ServerChange {
	reg := &s.registry
	var changes []ServerChange
	for _, id := range sortedKeys(reg.propagation.changeRevisions) {
		server, registered := reg.servers[id]
		_, expired := reg.propagation.expired[id]
		switch {
		case registered && (complete || reg.propagation.changeRevisions[id] > after):
			changes = append(changes, ServerChange{ID: id, Server: &server, Revision: s.entryRevision(id)})
		case !registered && !complete && (reg.propagation.changeRevisions[id] > after || expired):
			changes = append(changes, ServerChange{ID: id, Revision: s.entryRevision(id)})
		}
	}
	return changes
}

// entryRevision returns the revision of the last known write of an entry, 0 if that was
// in an earlier era.
func (s *State) entryRevision(id string) uint64 {
	last := s.registry.entries.Last(id)
	if last.Era != s.registry.era {
		return 0
	}
	return last.Revision
}

// recordChange records the current revision as the last change of an entry.
func (s *State) recordChange(id string) {
	reg := &s.registry
	reg.propagation.changeRevisions[id] = reg.revision
	if len(reg.propagation.changeRevisions) > len(reg.servers)+maxTombstones {
		s.discardChangeHistory()
	}
}

// discardChangeHistory makes hosts with an older revision fetch the complete
// state. After a listing, this host does not know which entries were added and
// removed before.
func (s *State) discardChangeHistory() {
	reg := &s.registry
	for _, id := range sortedKeys(reg.propagation.changeRevisions) {
		if _, registered := reg.servers[id]; !registered {
			delete(reg.propagation.changeRevisions, id)
		}
	}
	reg.propagation.historyStart = reg.revision
}
