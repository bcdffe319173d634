package core

import "slices"

// What this host tells others that ask it for news of the store.

// newsAsked answers another entry host, now or when there are news.
func (s *State) newsAsked(e NewsAsked) {
	n := &s.registry.news
	s.meet(e.Ask.From, true)
	s.askBack(&e.Ask)
	s.noteFeeding(&e.Ask)
	if e.Ask.NamesOnly || s.hasNewsFor(&e.Ask) || e.Ask.Wait <= 0 || len(n.held) >= maxHeldNews {
		s.answerNews(e.ID, &e.Ask)
		return
	}
	until := s.now.Add(min(e.Ask.Wait, newsWait))
	n.held = append(n.held, heldNews{id: e.ID, ask: e.Ask, until: until})
	s.wake(until)
}

// hasNewsFor reports whether this host knows what the asker does not.
func (s *State) hasNewsFor(ask *NewsAsk) bool {
	g := &s.registry
	if g.routing != nil && g.routing.Version > ask.Routing {
		return true
	}
	if s.tellableRevision() <= ask.After {
		return false
	}
	if ask.After < g.news.horizon {
		return true
	}
	for _, revision := range g.news.changedAt {
		if revision > ask.After {
			return true
		}
	}
	return false
}

// tellNews answers the questions that are held, after news came or the store
// said that there are none.
func (s *State) tellNews() {
	n := &s.registry.news
	held := n.held
	n.held = nil
	for i := range held {
		s.answerNews(held[i].id, &held[i].ask)
	}
}

func (s *State) answerDue() {
	n := &s.registry.news
	n.held = slices.DeleteFunc(n.held, func(h heldNews) bool {
		if s.now.Before(h.until) {
			return false
		}
		s.answerNews(h.id, &h.ask)
		return true
	})
	for _, id := range sortedKeys(n.dropped) {
		if s.now.Sub(n.dropped[id]) >= lateDropsKept {
			delete(n.dropped, id)
		}
	}
}

func (s *State) answerNews(id uint64, ask *NewsAsk) {
	g := &s.registry
	answer := NewsAnswer{Neighbours: s.namesFor(ask.From)}
	if !ask.NamesOnly && g.routing != nil && g.revision > 0 {
		answer.Known = true
		answer.Revision = s.tellableRevision()
		answer.Age = s.newsAge()
		answer.Whole = ask.After == 0 || ask.After < g.news.horizon
		answer.Servers = s.serversAfter(ask.After, answer.Whole)
		if g.routing.Version > ask.Routing {
			answer.Routing = g.routing
		}
	}
	s.count(CounterStoreUpdates, "told")
	s.out.add(AnswerNews{ID: id, Answer: answer})
}

// tellableRevision returns the revision up to which this host tells everything.
// It keeps servers whose entries may have lapsed; a host that took the revision
// with them would never learn that they are gone.
func (s *State) tellableRevision() uint64 {
	g := &s.registry
	if len(g.lapsing) > 0 {
		return min(g.revision, g.lapsedAfter)
	}
	return g.revision
}

// serversAfter returns the servers that changed after a revision, or all.
func (s *State) serversAfter(after uint64, whole bool) []ServerChange {
	g := &s.registry
	var changes []ServerChange
	for _, id := range sortedKeys(g.news.changedAt) {
		server, registered := g.servers[id]
		_, dropped := g.news.dropped[id]
		switch {
		case registered && (whole || g.news.changedAt[id] > after):
			changes = append(changes, ServerChange{ID: id, Server: &server})
		case !registered && !whole && (g.news.changedAt[id] > after || dropped):
			changes = append(changes, ServerChange{ID: id})
		}
	}
	return changes
}

// noteChange remembers at which revision an entry changed.
func (s *State) noteChange(id string) {
	g := &s.registry
	g.news.changedAt[id] = g.revision
	if len(g.news.changedAt) > len(g.servers)+maxTombstones {
		s.forgetChanges()
	}
}

// forgetChanges makes those that know less than this host take everything
// anew. After a listing, it does not know which entries have come and gone
// before.
func (s *State) forgetChanges() {
	g := &s.registry
	for _, id := range sortedKeys(g.news.changedAt) {
		if _, registered := g.servers[id]; !registered {
			delete(g.news.changedAt, id)
		}
	}
	g.news.horizon = g.revision
}
