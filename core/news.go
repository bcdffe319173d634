package core

import (
	"slices"
	"time"

	"wisteriapond/config"
)

// News is what the store says, told from one entry host to another. Calls to
// the store have a price and a limit, so that the entry hosts of a failure
// domain ask one of them, the reader, and the readers ask the first of them,
// which reads the store. A host whose news grow old reads for itself, and lets
// the host that it asks know: a store may turn some hosts away and serve others.

const (
	// newsWait is the time for which a neighbour holds a question that it has no
	// news for. It answers earlier whenever the store has answered it.
	newsWait = 1500 * time.Millisecond
	// newsPause lets several changes come with one answer.
	newsPause = 50 * time.Millisecond
	// A host reads the store for itself when its news reach a random age between
	// newsOld and newsLimit, so that the first to do so can tell the others. A
	// reader's news are younger than watchWait and watchPause together; a change
	// must be in force within two seconds.
	newsOld   = 1100 * time.Millisecond
	newsLimit = 1600 * time.Millisecond
	// A neighbour that did not answer is not asked for a time that doubles from
	// firstDown to lastDown, until it asks itself.
	firstDown = 3 * time.Second
	lastDown  = 24 * time.Second
	// neighbourLife is the age at which a neighbour that nobody hears of is
	// forgotten.
	neighbourLife = 30 * time.Second
	// heardLately is the age up to which a reader passes on the name of a
	// neighbour that asks it.
	heardLately = 5 * time.Second
	// peersBeforeStore is the time that a host gives its neighbours before it
	// reads the store when the deployment starts for the first time. At any other
	// start callers wait already.
	peersBeforeStore = 300 * time.Millisecond
	// A host that knows no neighbour asks the seeds again after a pause that
	// doubles from firstSeedPause to lastSeedPause; one that knows some asks
	// every lastSeedPause, so that two groups find each other.
	firstSeedPause = 150 * time.Millisecond
	lastSeedPause  = 15 * time.Second
	// memberCallPause is the shortest pause after a failed call to the store of a
	// host that has a reader, which notices the store's return earlier.
	memberCallPause = 1600 * time.Millisecond
	// lateDropsKept is the time for which a server that was dropped without a
	// change of the store is told as gone: a few questions of each neighbour.
	lateDropsKept = 5 * time.Second
	// A host that knows more is asked in turn when its news are younger by
	// askBackGain, and goes on reading for feedTime: the reader is turned away.
	askBackGain = 300 * time.Millisecond
	feedTime    = 2 * time.Second
	// neverHeard stands for the age of news that nobody has confirmed.
	neverHeard = time.Hour
	// Bounds on what others can make this host remember, and on the names in one
	// answer.
	maxNeighbours = 4096
	maxHeldNews   = 1024
	maxTombstones = 1024
	maxToldNames  = 64
)

// NewsAsk asks an entry host for news.
type NewsAsk struct {
	From Neighbour
	// NamesOnly asks for the neighbours of the asker and for nothing else.
	NamesOnly bool
	// After is the revision up to which the asker knows everything, 0 for none.
	After uint64
	// Routing is the version of the routing that the asker has.
	Routing uint64
	Wait    time.Duration
	// Age is the time since the store said that there is nothing after After.
	Age time.Duration
}

// NewsAnswer is the answer to a NewsAsk.
type NewsAnswer struct {
	// Known is false when the host asked has no news itself.
	Known    bool
	Revision uint64
	// Whole says that Servers holds every server, not only changes.
	Whole   bool
	Servers []ServerChange
	Routing *config.Routing
	// Age is the time since the store said that this is all.
	Age        time.Duration
	Neighbours []Neighbour
}

// NewsAsked reports a question of another entry host. The answer is AnswerNews.
type NewsAsked struct {
	ID  uint64
	Ask NewsAsk
}

// NewsAnswered reports the answer to AskNews, or that none came.
type NewsAnswered struct {
	Address string
	// Aside is that of the question.
	Aside  bool
	Failed bool
	Reason string
	Answer NewsAnswer
}

// AskNews asks another entry host.
type AskNews struct {
	Address string
	Ask     NewsAsk
	// Aside says that this is not the question that is kept open at the reader.
	Aside bool
}

// AnswerNews answers a NewsAsked event.
type AnswerNews struct {
	ID     uint64
	Answer NewsAnswer
}

func (NewsAsked) event() {}

func (NewsAnswered) event() {}

func (AskNews) effect() {}

func (AnswerNews) effect() {}

// heldNews is a question that waits for news.
type heldNews struct {
	id    uint64
	ask   NewsAsk
	until Instant
}

// news is the state of telling and being told.
type news struct {
	neighbours map[string]*neighbour
	held       []heldNews
	// polled is the address of the neighbour that is being asked, empty for
	// none.
	polled   string
	nextPoll Instant
	// askedBack is the address of a host that asked, knew more and was asked in
	// turn, empty for none.
	askedBack string
	// fed says that the last news came from a host that asked, since those of the
	// store and of the reader were old.
	fed bool
	// patience is the age of the news at which this host reads for itself.
	patience time.Duration
	// feedsUntil is the end of the time for which this host reads the store for
	// its reader.
	feedsUntil Instant
	// nextSeeds is the instant at which the seeds are asked again.
	nextSeeds Instant
	seedPause time.Duration
	// storeFrom is the end of the time that neighbours are given at a start.
	storeFrom Instant
	// changedAt is the revision at which each entry changed last, that of
	// entries that are gone included; changes up to horizon are forgotten.
	changedAt map[string]uint64
	horizon   uint64
	// dropped holds the servers that were dropped without a change of the store.
	dropped map[string]Instant
}

func (s *State) startNews() {
	n := &s.registry.news
	n.neighbours = make(map[string]*neighbour)
	n.changedAt = make(map[string]uint64)
	n.dropped = make(map[string]Instant)
	n.seedPause = firstSeedPause
	n.patience = newsLimit
	s.registry.lastAnswer = s.now
	if len(s.self.Registry.Seeds) > 0 && s.self.Registry.FirstStart {
		n.storeFrom = s.now.Add(peersBeforeStore)
		s.wake(n.storeFrom)
	}
}

// tickNews asks whom it is time to ask, and answers questions that were held
// long enough.
func (s *State) tickNews() {
	s.forgetNeighbours()
	s.askSeeds()
	s.pollReader()
	s.answerDue()
}

// pollReader asks the reader for news, one question at a time.
func (s *State) pollReader() {
	n := &s.registry.news
	if n.polled != "" || s.now.Before(n.nextPoll) {
		return
	}
	if reader := s.reader(); reader != nil {
		n.polled = reader.Address
		wait := newsWait
		if !s.registry.heard || reader.failures > 0 {
			// A host that is still down is found out soon, and a host that knows
			// nothing yet needs an answer.
			wait = 0
		}
		s.out.add(AskNews{Address: reader.Address, Ask: s.newsAsk(wait)})
	}
}

func (s *State) newsAsk(wait time.Duration) NewsAsk {
	ask := NewsAsk{From: s.selfNeighbour(), After: s.registry.revision, Wait: wait, Age: s.newsAge()}
	if s.registry.routing != nil {
		ask.Routing = s.registry.routing.Version
	}
	return ask
}

// mayCallStore reports whether this host reads the store for itself now.
func (s *State) mayCallStore() bool {
	g := &s.registry
	if s.now.Before(g.news.storeFrom) && g.revision == 0 {
		return false
	}
	return s.reader() == nil || s.feeds() || s.now.Sub(g.lastAnswer) >= g.news.patience
}

// feeds reports whether this host reads the store for its reader.
func (s *State) feeds() bool { return s.now.Before(s.registry.news.feedsUntil) }

// newsAge returns the time since the store said that what is known is all.
func (s *State) newsAge() time.Duration {
	if !s.registry.heard {
		return neverHeard
	}
	return s.now.Sub(s.registry.lastAnswer)
}

// noteHeard notes that the store said, at the given instant, that what is known
// is all.
func (s *State) noteHeard(at Instant) {
	g := &s.registry
	if g.heard && !g.lastAnswer.Before(at) {
		return
	}
	g.heard = true
	g.lastAnswer = at
	g.news.patience = newsOld + time.Duration(s.random.below(int(newsLimit-newsOld)))
}

// tellReader lets the host that this one asks know that the store has answered
// here, so that it asks in turn if it cannot read for itself. A host that keeps
// servers whose entries may have lapsed does not know yet what it would tell.
func (s *State) tellReader() {
	reader := s.reader()
	if reader == nil || len(s.registry.lapsing) > 0 {
		return
	}
	ask := s.newsAsk(0)
	ask.NamesOnly = true
	s.out.add(AskNews{Address: reader.Address, Ask: ask, Aside: true})
}

// askBack asks a host that knows more than this one, whose own news are old.
func (s *State) askBack(ask *NewsAsk) {
	n := &s.registry.news
	known := s.registry.revision
	younger := ask.After > 0 && ask.After == known && ask.Age < newsOld && ask.Age+askBackGain < s.newsAge()
	needed := n.fed || s.newsAge() >= newsOld
	if !needed || n.askedBack != "" || ask.From.Address == "" || ask.After <= known && !younger {
		return
	}
	n.fed = true
	n.askedBack = ask.From.Address
	s.out.add(AskNews{Address: n.askedBack, Ask: s.newsAsk(0), Aside: true})
}

// askAnyone asks a random entry host when neither the store nor the reader has
// told anything lately: all of a failure domain may be turned away.
func (s *State) askAnyone() {
	n := &s.registry.news
	if s.newsAge() < newsLimit {
		return
	}
	var known []*neighbour
	for _, name := range sortedKeys(n.neighbours) {
		if other := n.neighbours[name]; other.Address != n.polled && !s.now.Before(other.downUntil) {
			known = append(known, other)
		}
	}
	if len(known) > 0 {
		s.out.add(AskNews{Address: known[s.random.below(len(known))].Address, Ask: s.newsAsk(0), Aside: true})
	}
}

// newsAnswered takes the answer of another entry host.
func (s *State) newsAnswered(e NewsAnswered) {
	n := &s.registry.news
	polled := !e.Aside && e.Address == n.polled
	if e.Aside && e.Address == n.askedBack {
		n.askedBack = ""
	}
	if polled {
		n.polled = ""
		n.nextPoll = s.now
	}
	if e.Failed {
		s.neighbourFailed(e)
		return
	}
	for _, name := range e.Answer.Neighbours {
		s.meet(name, false)
	}
	s.neighbourAnswered(e.Address)
	if e.Answer.Known {
		wasOld := s.newsAge() >= newsOld
		s.takeNews(&e.Answer)
		if polled && s.newsAge() < newsOld {
			n.fed = false
		}
		if e.Aside && wasOld && s.newsAge() < newsOld {
			// The reader may have been turned away as well.
			s.tellReader()
		}
	} else if polled {
		n.nextPoll = s.now.Add(firstSeedPause)
		s.wake(n.nextPoll)
	}
	s.pollReader()
	s.driveStore()
}

// takeNews takes over what a neighbour knows, unless this host knows more.
func (s *State) takeNews(answer *NewsAnswer) {
	g := &s.registry
	if answer.Revision < g.revision {
		return
	}
	s.count(CounterNews, "taken")
	before := g.revision
	g.revision = answer.Revision
	s.noteHeard(s.now.Add(-max(0, answer.Age)))
	g.listed = g.listed || answer.Whole
	listed := make(map[string]bool, len(answer.Servers))
	for _, change := range answer.Servers {
		listed[change.ID] = true
		s.changeServer(change, false)
	}
	if answer.Whole {
		for _, id := range sortedKeys(g.servers) {
			if !listed[id] {
				s.changeServer(ServerChange{ID: id}, false)
			}
		}
		s.forgetChanges()
	}
	s.takeRouting(answer.Routing, "")
	s.adoptRegistry()
	if before != g.revision && (len(answer.Servers) > 0 || answer.Routing != nil) {
		g.news.nextPoll = s.now.Add(newsPause)
		s.wake(g.news.nextPoll)
	}
	s.newsConfirmed()
	s.newsRegained()
	// Without changes, too: the others learn that there are none.
	s.tellNews()
}

// newsRegained ends a time of failed calls to the store: another host reads it.
func (s *State) newsRegained() {
	g := &s.registry
	if g.failures == 0 || s.newsAge() >= newsLimit {
		return
	}
	g.failures = 0
	s.out.add(Log{Message: "another entry host tells news of the store", Fields: []LogField{
		{Key: "age", Value: s.newsAge().String()},
	}})
}

// newsAsked answers another entry host, now or when there are news.
func (s *State) newsAsked(e NewsAsked) {
	n := &s.registry.news
	s.meet(e.Ask.From, true)
	s.askBack(&e.Ask)
	if reader := s.reader(); reader != nil && !e.Ask.NamesOnly && e.Ask.From.Host == reader.Host {
		s.registry.news.feedsUntil = s.now.Add(feedTime)
	}
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
	s.count(CounterNews, "told")
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
