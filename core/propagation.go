package core

import (
	"time"

	"wisteriapond/config"
	"wisteriapond/storeage"
)

// Store updates propagate from one entry host to another. Store calls have a
// price and a rate limit, so the entry hosts of a failure domain poll one of
// them, the reader, and the readers poll the highest-ranked entry host, which
// reads the store. A host whose updates become stale reads the store itself and
// notifies the host that it polls: a store may reject some hosts and serve
// others.

const (
	// pollWait bounds how long a neighbour holds a poll that it has no updates
	// for. It responds earlier whenever the store has responded to it.
	pollWait = 1500 * time.Millisecond
	// pollBatchDelay is the delay before the next poll after changes, so that
	// one response carries several of them.
	pollBatchDelay = 50 * time.Millisecond
	// A host reads the store itself when its updates reach a random staleness
	// between staleAfter and maxStaleness, so that the first host to do so can
	// inform the others. The updates of a reader are less stale than the sum of
	// watchWait and watchBatchDelay. A change must take effect within 2 s.
	staleAfter   = 1100 * time.Millisecond
	maxStaleness = 1600 * time.Millisecond
	// A neighbour that did not respond is not polled for a time that doubles
	// from minNeighbourBackoff to maxNeighbourBackoff, unless it sends a poll
	// itself.
	minNeighbourBackoff = 3 * time.Second
	maxNeighbourBackoff = 24 * time.Second
	// neighbourExpiry is the time after which a neighbour that neither polls nor
	// is named by another host is removed.
	neighbourExpiry = 30 * time.Second
	// recentContact is the time after its last poll during which a neighbour is
	// named to other hosts. The highest-ranked one is named for neighbourExpiry.
	recentContact = 5 * time.Second
	// firstStartStoreDelay is the time that a host gives its neighbours before
	// it reads the store when the deployment starts for the first time. At any
	// other start, callers are already waiting.
	firstStartStoreDelay = 300 * time.Millisecond
	// A host without neighbours queries the seeds again after a jittered
	// interval that doubles from minSeedInterval to maxSeedInterval. A host with
	// neighbours queries them about every maxSeedInterval, so that two separate
	// groups find each other. A reader that has no state yet, or an older one, is
	// polled again after minSeedInterval.
	minSeedInterval = 150 * time.Millisecond
	maxSeedInterval = 15 * time.Second
	// minBackoffWithReader is the least upper limit of the backoff after a failed store
	// call of a host that has a reader, since the reader notices the recovery of the
	// store earlier. The lower limit is half of it.
	minBackoffWithReader = 1200 * time.Millisecond
	// expiredRetention is the time for which a server that was removed without a
	// change of the store is reported as removed. Each neighbour polls a few times
	// within it.
	expiredRetention = 5 * time.Second
	// unconfirmedStaleness is the staleness of a state that was never confirmed.
	unconfirmedStaleness = time.Hour
	// Bounds on the number of neighbours, pending polls and changes of removed
	// entries that this host stores on behalf of others, and on the recent
	// contacts that one response names.
	maxNeighbours       = 4096
	maxPendingPolls     = 1024
	maxTombstones       = 1024
	maxListedNeighbours = 64
)

// NewsAsk is a poll of an entry host for store updates.
type NewsAsk struct {
	From Neighbour
	// NamesOnly requests the neighbours of the sender and nothing else.
	NamesOnly bool
	// After is the revision up to which the state of the sender is complete, 0
	// if it has none.
	After uint64
	// Routing is the version of the routing that the sender has.
	Routing uint64
	// Wait bounds how long the receiver holds the poll while it has no updates, 0
	// for a response at once. The receiver holds it for pollWait at most.
	Wait time.Duration
	// Age is the time since the store confirmed that nothing changed after
	// After.
	Age time.Duration
	// Leaving names instances of backend servers that have lately announced that
	// they are leaving.
	Leaving []string
	// Hosts is the number of entry hosts for which the sender speaks, itself
	// included.
	Hosts int
	// Era is the era of the store that After belongs to, 0 if it is unknown.
	Era uint64
	// Domains holds the marks of failure domains that the sender knows.
	Domains []DomainMark
	// SinceRecovery is the time since the sender noticed the end of the last outage of
	// the store, 0 if that is not recent.
	SinceRecovery time.Duration
}

// NewsAnswer is the response to a NewsAsk.
type NewsAnswer struct {
	// Known is false if the responding host has no state of the store to pass on,
	// and in responses to NamesOnly.
	Known    bool
	Revision uint64
	// Whole reports that Servers holds all servers instead of changes.
	Whole   bool
	Servers []ServerChange
	// Routing is the configuration if it is later than that of the sender, nil
	// otherwise. It may be set without Known.
	Routing *config.Routing
	// Age is the time since the store confirmed that this state is current.
	Age        time.Duration
	Neighbours []Neighbour
	// Leaving is as in NewsAsk.
	Leaving []string
	// Hosts is the number of entry hosts that the responding host knows of.
	Hosts int
	// Era is the era of the store that Revision belongs to, 0 if it is unknown.
	Era uint64
	// Domains holds the marks of failure domains that the responding host knows.
	Domains []DomainMark
	// SinceRecovery is as in NewsAsk.
	SinceRecovery time.Duration
}

// NewsAsked reports a poll from another entry host. The response is AnswerNews.
type NewsAsked struct {
	ID  uint64
	Ask NewsAsk
}

// NewsAnswered reports the response to AskNews, or its failure.
type NewsAnswered struct {
	Address string
	// Aside is the Aside field of the poll.
	Aside  bool
	Failed bool
	Reason string
	Answer NewsAnswer
}

// AskNews polls another entry host.
type AskNews struct {
	Address string
	Ask     NewsAsk
	// Aside marks a poll other than the long poll that is kept pending at the
	// reader.
	Aside bool
}

// AnswerNews responds to a NewsAsked event.
type AnswerNews struct {
	ID     uint64
	Answer NewsAnswer
}

func (NewsAsked) event() {}

func (NewsAnswered) event() {}

func (AskNews) effect() {}

func (AnswerNews) effect() {}

// pendingPoll is a poll that waits for updates.
type pendingPoll struct {
	id      uint64
	request NewsAsk
	until   Instant
}

// propagation is the state of sharing store updates with other entry hosts.
type propagation struct {
	neighbours   map[string]*neighbour
	pendingPolls []pendingPoll
	// polledAddress is the address of the neighbour at which a poll of this host
	// is pending, empty if there is none. nextPoll is the earliest instant of the
	// next one.
	polledAddress string
	nextPoll      Instant
	// reversePolledAddress is the address of a host that polled with newer state
	// and is being polled in turn, empty if there is none.
	reversePolledAddress string
	// relayed is set while the updates of this host come from hosts other than its
	// reader, since those of the store and of the reader were stale.
	relayed bool
	// stalenessLimit is the staleness at which this host reads the store itself.
	stalenessLimit time.Duration
	// relayUntil is the end of the period in which this host reads the store for
	// its reader.
	relayUntil Instant
	// nextSeedQuery is the instant at which the seeds are queried again, and
	// seedInterval the interval to the query after that, before jitter.
	nextSeedQuery Instant
	seedInterval  time.Duration
	// storeNotBefore is the end of firstStartStoreDelay at the first start.
	storeNotBefore Instant
	// changeRevisions holds the revision of the last change of each entry,
	// including removed entries. Changes up to historyStart are discarded.
	changeRevisions map[string]uint64
	historyStart    uint64
	// expired holds the servers that were removed without a change of the store,
	// with the instant of the removal.
	expired map[string]Instant
}

func (s *State) startPropagation() {
	p := &s.registry.propagation
	p.neighbours = make(map[string]*neighbour)
	p.changeRevisions = make(map[string]uint64)
	p.expired = make(map[string]Instant)
	p.seedInterval = minSeedInterval
	p.stalenessLimit = maxStaleness
	s.registry.confirmedAt = s.now
	if len(s.self.Registry.Seeds) > 0 && s.self.Registry.FirstStart {
		p.storeNotBefore = s.now.Add(firstStartStoreDelay)
		s.scheduleTick(p.storeNotBefore)
	}
}

// tickPropagation sends the polls that are due, and responds to polls that were
// held long enough.
func (s *State) tickPropagation() {
	s.expireNeighbours()
	s.querySeeds()
	s.pollReader()
	s.respondToDuePolls()
}

// pollReader polls the reader for updates, with one long poll pending at a
// time.
func (s *State) pollReader() {
	p := &s.registry.propagation
	if p.polledAddress != "" || s.now.Before(p.nextPoll) {
		return
	}
	if reader := s.reader(); reader != nil {
		p.polledAddress = reader.Address
		wait := pollWait
		if !s.registry.confirmed || reader.failures > 0 {
			// Without a wait, a reader that is still down is detected early, and a
			// host that has no confirmed state gets a response at once.
			wait = 0
		}
		s.out.add(AskNews{Address: reader.Address, Ask: s.updateRequest(wait)})
	}
}

// updateRequest returns a poll for the updates after the known revision, which the
// receiver may hold for the given time.
func (s *State) updateRequest(wait time.Duration) NewsAsk {
	poll := NewsAsk{
		From: s.selfNeighbour(), After: s.registry.revision, Era: s.registry.era, Wait: wait, Age: s.storeStaleness(), SinceRecovery: s.sinceRecovery(),
		Leaving: s.recentLeaving(), Domains: s.domainMarks(), Hosts: s.subtreeSize(),
	}
	if s.registry.routing != nil {
		poll.Routing = s.registry.routing.Version
	}
	return poll
}

// mayCallStore reports whether this host may read the store itself now: it has no
// reader, relays to its reader, or its updates have reached the staleness limit.
func (s *State) mayCallStore() bool {
	reg := &s.registry
	if s.now.Before(reg.propagation.storeNotBefore) && reg.revision == 0 {
		return false
	}
	return s.reader() == nil || s.relaysToReader() || s.now.Sub(reg.confirmedAt) >= reg.propagation.stalenessLimit
}

// storeStaleness returns the time since the store confirmed that the known
// state is current.
func (s *State) storeStaleness() time.Duration {
	if !s.registry.confirmed {
		return unconfirmedStaleness
	}
	return s.now.Sub(s.registry.confirmedAt)
}

// markConfirmed records that the store confirmed the known state as current at
// the given instant, and draws the next staleness limit.
func (s *State) markConfirmed(at Instant) {
	reg := &s.registry
	if reg.confirmed && !reg.confirmedAt.Before(at) {
		return
	}
	reg.confirmed = true
	reg.confirmedAt = at
	reg.propagation.stalenessLimit = staleAfter + time.Duration(s.random.intN(int(maxStaleness-staleAfter)))
}

// updatesReceived handles the response of another entry host to a poll, or the
// failure of the poll.
func (s *State) updatesReceived(e NewsAnswered) {
	p := &s.registry.propagation
	polled := !e.Aside && e.Address == p.polledAddress
	if e.Aside && e.Address == p.reversePolledAddress {
		p.reversePolledAddress = ""
	}
	if polled {
		p.polledAddress = ""
		p.nextPoll = s.now
	}
	if e.Failed {
		s.neighbourFailed(e)
		return
	}
	s.cold.contacted = true
	for _, described := range e.Answer.Neighbours {
		s.upsertNeighbour(described, false)
	}
	s.neighbourResponded(e.Address)
	s.leavingReceived(e.Answer.Leaving)
	s.hearEra(e.Answer.Era)
	s.hearRecovery(e.Answer.SinceRecovery)
	domainsChanged := s.domainsReceived(e.Answer.Domains)
	s.recordFleet(min(e.Answer.Hosts, maxNeighbours))
	switch {
	case s.appliesTo(&e.Answer):
		s.applyUpdates(&e.Answer)
		if polled && s.storeStaleness() < staleAfter {
			p.relayed = false
		}
		if e.Aside && p.relayed && s.storeStaleness() < staleAfter {
			// The store may reject the reader as well.
			s.notifyReader()
		}
	case s.acceptRelayedRouting(e.Answer.Routing):
		s.respondToPendingPolls()
	case polled:
		// A host without a confirmed state polls without a wait, and would poll a
		// reader that has no newer state again and again.
		p.nextPoll = s.now.Add(minSeedInterval)
		s.scheduleTick(p.nextPoll)
	}
	if domainsChanged {
		s.respondToPendingPolls()
	}
	if domainsChanged && e.Aside {
		// The reader was not the source.
		s.notifyReader()
	}
	s.pollReader()
	s.callStoreIfDue()
}

// acceptRelayedRouting puts a later configuration in force that another entry host passes
// on without the state of the servers, and reports whether there was one. A host without
// a state waits for both.
func (s *State) acceptRelayedRouting(routing *config.Routing) bool {
	reg := &s.registry
	if routing == nil || reg.routing == nil {
		return false
	}
	if !s.acceptRouting(routing, "") {
		return false
	}
	s.adoptRegistry()
	return true
}

// appliesTo reports whether a response brings the known state to a position that is not
// earlier. Changes in a later era say nothing about what the store has lost.
func (s *State) appliesTo(response *NewsAnswer) bool {
	reg := &s.registry
	return response.Known && !response.age().Before(reg.age()) && (response.Whole || response.Era == reg.era)
}

// age returns the position up to which the state in the response is complete.
func (a *NewsAnswer) age() storeage.Age { return storeage.Age{Era: a.Era, Revision: a.Revision} }

// applyUpdates applies the state of another entry host, which must not be older than
// the known one.
func (s *State) applyUpdates(response *NewsAnswer) {
	reg := &s.registry
	s.count(CounterStoreUpdates, "taken")
	before := reg.age()
	s.advanceTo(response.age())
	s.markConfirmed(s.now.Add(-max(0, response.Age)))
	reg.listed = reg.listed || response.Whole
	listed := make(map[string]bool, len(response.Servers))
	for _, change := range response.Servers {
		listed[change.ID] = s.replacesKnown(change)
		s.changeServer(change.checked(), false)
	}
	if response.Whole {
		for _, missing := range s.missingServers(listed, response.Revision) {
			s.changeServer(missing, false)
		}
		s.discardChangeHistory()
	}
	s.acceptRouting(response.Routing, "")
	s.adoptRegistry()
	if before != reg.age() && (len(response.Servers) > 0 || response.Routing != nil) {
		reg.propagation.nextPoll = s.now.Add(pollBatchDelay)
		s.scheduleTick(reg.propagation.nextPoll)
	}
	s.confirmFromStore()
	s.clearStoreFailures()
	// Even a response without changes is relayed: it confirms that there are none.
	s.respondToPendingPolls()
}

// clearStoreFailures ends a period of failed store calls when another host
// provides updates that are not stale.
func (s *State) clearStoreFailures() {
	reg := &s.registry
	if reg.failures == 0 || s.storeStaleness() >= maxStaleness {
		return
	}
	reg.failures = 0
	s.out.add(Log{Message: "receiving store updates from another entry host", Fields: []LogField{
		{Key: "age", Value: s.storeStaleness().String()},
	}})
}
