package core

import "slices"

// What this host tells others that ask it for news of the store.

// updatesRequested answers another entry host, now or when there are news.
func (s *State) updatesRequested(e NewsAsked) {
	n := &s.registry.propagation
	s.upsertNeighbour(e.Ask.From, true)
	s.reversePoll(&e.Ask)
	s.noteReaderPoll(&e.Ask)
	if e.Ask.NamesOnly || s.hasUpdatesFor(&e.Ask) || e.Ask.Wait <= 0 || len(n.pendingPolls) >= maxPendingPolls {
		s.respondToPoll(e.ID, &e.Ask)
		return
	}
	until := s.now.Add(min(e.Ask.Wait, pollWait))
	n.pendingPolls = append(n.pendingPolls, pendingPoll{id: e.ID, ask: e.Ask, until: until})
	s.wake(until)
}

// hasUpdatesFor reports whether this host knows what the asker does not.
func (s *State) hasUpdatesFor(ask *NewsAsk) bool {
	g := &s.registry
	if g.routing != nil && g.routing.Version > ask.Routing {
		return true
	}
	if s.propagatedRevision() <= ask.After {
		return false
	}
	if ask.After < g.propagation.historyStart {
		return true
	}
	for _, revision := range g.propagation.changeRevisions {
		if revision > ask.After {
			return true
		}
	}
	return false
}

// respondToPendingPolls answers the questions that are held, after news came or the store
// said that there are none.
func (s *State) respondToPendingPolls() {
	n := &s.registry.propagation
	held := n.pendingPolls
	n.pendingPolls = nil
	for i := range held {
		s.respondToPoll(held[i].id, &held[i].ask)
	}
}

func (s *State) respondToDuePolls() {
	n := &s.registry.propagation
	n.pendingPolls = slices.DeleteFunc(n.pendingPolls, func(h pendingPoll) bool {
		if s.now.Before(h.until) {
			return false
		}
		s.respondToPoll(h.id, &h.ask)
		return true
	})
	for _, id := range sortedKeys(n.expired) {
		if s.now.Sub(n.expired[id]) >= expiredRetention {
			delete(n.expired, id)
		}
	}
}

func (s *State) respondToPoll(id uint64, ask *NewsAsk) {
	g := &s.registry
	answer := NewsAnswer{Neighbours: s.neighboursFor(ask.From)}
	if !ask.NamesOnly && g.routing != nil && g.revision > 0 {
		answer.Known = true
		answer.Revision = s.propagatedRevision()
		answer.Age = s.storeStaleness()
		answer.Whole = ask.After == 0 || ask.After < g.propagation.historyStart
		answer.Servers = s.serversChangedAfter(ask.After, answer.Whole)
		if g.routing.Version > ask.Routing {
			answer.Routing = g.routing
		}
	}
	s.count(CounterNews, "told")
	s.out.add(AnswerNews{ID: id, Answer: answer})
}

// propagatedRevision returns the revision up to which this host tells everything.
// It keeps servers whose entries may have lapsed; a host that took the revision
// with them would never learn that they are gone.
func (s *State) propagatedRevision() uint64 {
	g := &s.registry
	if len(g.pendingRemoval) > 0 {
		return min(g.revision, g.revisionBeforeExpiry)
	}
	return g.revision
}

// serversChangedAfter returns the servers that changed after a revision, or all.
func (s *State) serversChangedAfter(after uint64, whole bool) []ServerChange {
	g := &s.registry
	var changes []ServerChange
	for _, id := range sortedKeys(g.propagation.changeRevisions) {
		server, registered := g.servers[id]
		_, dropped := g.propagation.expired[id]
		switch {
		case registered && (whole || g.propagation.changeRevisions[id] > after):
			changes = append(changes, ServerChange{ID: id, Server: &server})
		case !registered && !whole && (g.propagation.changeRevisions[id] > after || dropped):
			changes = append(changes, ServerChange{ID: id})
		}
	}
	return changes
}

// recordChange remembers at which revision an entry changed.
func (s *State) recordChange(id string) {
	g := &s.registry
	g.propagation.changeRevisions[id] = g.revision
	if len(g.propagation.changeRevisions) > len(g.servers)+maxTombstones {
		s.discardChangeHistory()
	}
}

// discardChangeHistory makes those that know less than this host take everything
// anew. After a listing, it does not know which entries have come and gone
// before.
func (s *State) discardChangeHistory() {
	g := &s.registry
	for _, id := range sortedKeys(g.propagation.changeRevisions) {
		if _, registered := g.servers[id]; !registered {
			delete(g.propagation.changeRevisions, id)
		}
	}
	g.propagation.historyStart = g.revision
}
