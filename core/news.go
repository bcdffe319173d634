package core

import (
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
	g.news.patience = newsOld + time.Duration(s.random.intN(int(newsLimit-newsOld)))
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
		s.takeNews(&e.Answer)
		if polled && s.newsAge() < newsOld {
			n.fed = false
		}
		if e.Aside && n.fed && s.newsAge() < newsOld {
			// The reader may be turned away as well.
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
	s.count(CounterStoreUpdates, "taken")
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
