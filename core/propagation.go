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
	// pollWait is the time for which a neighbour holds a question that it has no
	// news for. It answers earlier whenever the store has answered it.
	pollWait = 1500 * time.Millisecond
	// pollBatchDelay lets several changes come with one answer.
	pollBatchDelay = 50 * time.Millisecond
	// A host reads the store for itself when its news reach a random age between
	// staleAfter and maxStaleness, so that the first to do so can tell the others. A
	// reader's news are younger than watchWait and watchBatchDelay together; a change
	// must be in force within two seconds.
	staleAfter   = 1100 * time.Millisecond
	maxStaleness = 1600 * time.Millisecond
	// A neighbour that did not answer is not asked for a time that doubles from
	// minNeighbourBackoff to maxNeighbourBackoff, until it asks itself.
	minNeighbourBackoff = 3 * time.Second
	maxNeighbourBackoff = 24 * time.Second
	// neighbourExpiry is the age at which a neighbour that nobody hears of is
	// forgotten.
	neighbourExpiry = 30 * time.Second
	// recentContact is the age up to which a reader passes on the name of a
	// neighbour that asks it.
	recentContact = 5 * time.Second
	// firstStartStoreDelay is the time that a host gives its neighbours before it
	// reads the store when the deployment starts for the first time. At any other
	// start callers wait already.
	firstStartStoreDelay = 300 * time.Millisecond
	// A host that knows no neighbour asks the seeds again after a pause that
	// doubles from minSeedInterval to maxSeedInterval; one that knows some asks
	// every maxSeedInterval, so that two groups find each other.
	minSeedInterval = 150 * time.Millisecond
	maxSeedInterval = 15 * time.Second
	// minBackoffWithReader is the shortest pause after a failed call to the store of a
	// host that has a reader, which notices the store's return earlier.
	minBackoffWithReader = 1600 * time.Millisecond
	// expiredRetention is the time for which a server that was dropped without a
	// change of the store is told as gone: a few questions of each neighbour.
	expiredRetention = 5 * time.Second
	// unconfirmedStaleness stands for the age of news that nobody has confirmed.
	unconfirmedStaleness = time.Hour
	// Bounds on what others can make this host remember, and on the names in one
	// answer.
	maxNeighbours       = 4096
	maxPendingPolls     = 1024
	maxTombstones       = 1024
	maxListedNeighbours = 64
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

// pendingPoll is a question that waits for news.
type pendingPoll struct {
	id    uint64
	ask   NewsAsk
	until Instant
}

// news is the state of telling and being told.
type propagation struct {
	neighbours   map[string]*neighbour
	pendingPolls []pendingPoll
	// polled is the address of the neighbour that is being asked, empty for
	// none.
	polledAddress string
	nextPoll      Instant
	// reversePolledAddress is the address of a host that asked, knew more and was asked in
	// turn, empty for none.
	reversePolledAddress string
	// fed says that the last news came from a host that asked, since those of the
	// store and of the reader were old.
	relayed bool
	// patience is the age of the news at which this host reads for itself.
	stalenessLimit time.Duration
	// relayUntil is the end of the time for which this host reads the store for
	// its reader.
	relayUntil Instant
	// nextSeedQuery is the instant at which the seeds are asked again.
	nextSeedQuery Instant
	seedInterval  time.Duration
	// storeNotBefore is the end of the time that neighbours are given at a start.
	storeNotBefore Instant
	// changeRevisions is the revision at which each entry changed last, that of
	// entries that are gone included; changes up to horizon are forgotten.
	changeRevisions map[string]uint64
	historyStart    uint64
	// dropped holds the servers that were dropped without a change of the store.
	expired map[string]Instant
}

func (s *State) startPropagation() {
	n := &s.registry.propagation
	n.neighbours = make(map[string]*neighbour)
	n.changeRevisions = make(map[string]uint64)
	n.expired = make(map[string]Instant)
	n.seedInterval = minSeedInterval
	n.stalenessLimit = maxStaleness
	s.registry.confirmedAt = s.now
	if len(s.self.Registry.Seeds) > 0 && s.self.Registry.FirstStart {
		n.storeNotBefore = s.now.Add(firstStartStoreDelay)
		s.wake(n.storeNotBefore)
	}
}

// tickPropagation asks whom it is time to ask, and answers questions that were held
// long enough.
func (s *State) tickPropagation() {
	s.expireNeighbours()
	s.querySeeds()
	s.pollReader()
	s.respondToDuePolls()
}

// pollReader asks the reader for news, one question at a time.
func (s *State) pollReader() {
	n := &s.registry.propagation
	if n.polledAddress != "" || s.now.Before(n.nextPoll) {
		return
	}
	if reader := s.reader(); reader != nil {
		n.polledAddress = reader.Address
		wait := pollWait
		if !s.registry.confirmed || reader.failures > 0 {
			// A host that is still down is found out soon, and a host that knows
			// nothing yet needs an answer.
			wait = 0
		}
		s.out.add(AskNews{Address: reader.Address, Ask: s.updateRequest(wait)})
	}
}

func (s *State) updateRequest(wait time.Duration) NewsAsk {
	ask := NewsAsk{From: s.selfNeighbour(), After: s.registry.revision, Wait: wait, Age: s.storeStaleness()}
	if s.registry.routing != nil {
		ask.Routing = s.registry.routing.Version
	}
	return ask
}

// mayCallStore reports whether this host reads the store for itself now.
func (s *State) mayCallStore() bool {
	g := &s.registry
	if s.now.Before(g.propagation.storeNotBefore) && g.revision == 0 {
		return false
	}
	return s.reader() == nil || s.relaysToReader() || s.now.Sub(g.confirmedAt) >= g.propagation.stalenessLimit
}

// storeStaleness returns the time since the store said that what is known is all.
func (s *State) storeStaleness() time.Duration {
	if !s.registry.confirmed {
		return unconfirmedStaleness
	}
	return s.now.Sub(s.registry.confirmedAt)
}

// markConfirmed notes that the store said, at the given instant, that what is known
// is all.
func (s *State) markConfirmed(at Instant) {
	g := &s.registry
	if g.confirmed && !g.confirmedAt.Before(at) {
		return
	}
	g.confirmed = true
	g.confirmedAt = at
	g.propagation.stalenessLimit = staleAfter + time.Duration(s.random.below(int(maxStaleness-staleAfter)))
}

// updatesReceived takes the answer of another entry host.
func (s *State) updatesReceived(e NewsAnswered) {
	n := &s.registry.propagation
	polled := !e.Aside && e.Address == n.polledAddress
	if e.Aside && e.Address == n.reversePolledAddress {
		n.reversePolledAddress = ""
	}
	if polled {
		n.polledAddress = ""
		n.nextPoll = s.now
	}
	if e.Failed {
		s.neighbourFailed(e)
		return
	}
	for _, name := range e.Answer.Neighbours {
		s.upsertNeighbour(name, false)
	}
	s.neighbourResponded(e.Address)
	if e.Answer.Known {
		s.applyUpdates(&e.Answer)
		if polled && s.storeStaleness() < staleAfter {
			n.relayed = false
		}
		if e.Aside && n.relayed && s.storeStaleness() < staleAfter {
			// The reader may be turned away as well.
			s.notifyReader()
		}
	} else if polled {
		n.nextPoll = s.now.Add(minSeedInterval)
		s.wake(n.nextPoll)
	}
	s.pollReader()
	s.callStoreIfDue()
}

// applyUpdates takes over what a neighbour knows, unless this host knows more.
func (s *State) applyUpdates(answer *NewsAnswer) {
	g := &s.registry
	if answer.Revision < g.revision {
		return
	}
	s.count(CounterNews, "taken")
	before := g.revision
	g.revision = answer.Revision
	s.markConfirmed(s.now.Add(-max(0, answer.Age)))
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
		s.discardChangeHistory()
	}
	s.acceptRouting(answer.Routing, "")
	s.adoptRegistry()
	if before != g.revision && (len(answer.Servers) > 0 || answer.Routing != nil) {
		g.propagation.nextPoll = s.now.Add(pollBatchDelay)
		s.wake(g.propagation.nextPoll)
	}
	s.newsConfirmed()
	s.clearStoreFailures()
	// Without changes, too: the others learn that there are none.
	s.respondToPendingPolls()
}

// clearStoreFailures ends a time of failed calls to the store: another host reads it.
func (s *State) clearStoreFailures() {
	g := &s.registry
	if g.failures == 0 || s.storeStaleness() >= maxStaleness {
		return
	}
	g.failures = 0
	s.out.add(Log{Message: "another entry host tells news of the store", Fields: []LogField{
		{Key: "age", Value: s.storeStaleness().String()},
	}})
}
