package core

import (
	"strconv"
	"time"

	"wisteriapond/config"
	"wisteriapond/storeage"
)

const (
	// watchWait bounds how long the store holds a watch while nothing changes. A
	// store that discards its history does not notify a pending watch, and a
	// change must take effect within 2 s.
	watchWait = 700 * time.Millisecond
	// watchBatchDelay is the delay before the next call after a listing or a
	// response with changes, so that one response carries several changes: each
	// call has a price. The sum of watchWait and watchBatchDelay must stay below
	// staleAfter.
	watchBatchDelay = 300 * time.Millisecond
	// Failed store calls are retried with a jittered backoff that doubles from
	// minStoreBackoff to maxStoreBackoff. The recovery of the store must be
	// noticed well within the 2 s in which a change has to take effect.
	minStoreBackoff = 50 * time.Millisecond
	maxStoreBackoff = 400 * time.Millisecond
	// expiryGrace is the time after the recovery of the store in which entries
	// that expired during the outage may be registered again. It is shorter than
	// the 2 s that the platform grants, because this host notices the recovery
	// late.
	expiryGrace = 1500 * time.Millisecond
	// massExpiryDivisor is the inverse of the share of a service's servers above
	// which missing entries are treated as expired during an outage. A smaller
	// share has most likely left: a host that was cut off on its own finds such
	// entries missing in the same way.
	massExpiryDivisor = 3
)

// RegistrySettings configures a host that reads routing and backend servers
// from a read-only store.
type RegistrySettings struct {
	// Domains maps each failure domain to its region.
	Domains []FailureDomain
	// NotRun describes the response with which backend servers refuse requests
	// without running them.
	NotRun config.NotRunForm
	// NotRunStatuses are the statuses by which callers know that their request did not
	// run and will not, whoever sent them.
	NotRunStatuses []int
	// RetryPermille is the share of the requests, in thousandths, that may be
	// retried. RetrySlack is the number of retries that all hosts together may make
	// beyond that share.
	RetryPermille int
	RetrySlack    int
	// Transfer sets the price of bytes that leave a failure domain.
	Transfer TransferPrices
	// Address is the address of this host for other entry hosts, empty if it
	// does not communicate with any. Seeds are the addresses of some of them.
	Address  string
	Seeds    []string
	Capacity int
	// FirstStart reports that the complete deployment starts for the first time,
	// so that there is time to learn from other hosts.
	FirstStart bool
	// WarmUpPercent and WarmUpSlack limit the requests that a cold backend server
	// receives in any second from all entry hosts together: WarmUpPercent of its
	// warm-up rate, and WarmUpSlack requests more.
	WarmUpPercent int
	WarmUpSlack   int
}

// FailureDomain is a failure domain and the region it lies in.
type FailureDomain struct {
	Name   string
	Region string
}

// StoreListed reports the complete contents of the store.
type StoreListed struct {
	// Call is that of the ListStore effect.
	Call     uint64
	Revision uint64
	// Stale is the Stale field of the ListStore effect.
	Stale bool
	// Routing is nil if none is published or if RoutingProblem is set.
	Routing *config.Routing
	// RoutingProblem describes why the published routing cannot be read.
	RoutingProblem string
	Servers        []ServerChange
	// Era is the era of the store, as of its oldest response, 0 if it names none.
	Era uint64
	// Domains holds the marks of all emptied failure domains.
	Domains []DomainMark
}

// StoreChanged reports the end of a watch with the changes up to Revision.
type StoreChanged struct {
	// Call is that of the WatchStore effect.
	Call           uint64
	Revision       uint64
	Routing        *config.Routing
	RoutingProblem string
	Servers        []ServerChange
	// Era is the era of the store, 0 if it names none.
	Era uint64
	// Domains holds the changed marks of failure domains.
	Domains []DomainMark
}

// DomainMark reports whether the operator has emptied a failure domain. Nothing
// is sent to the backend servers of an emptied domain until it is taken back. Of
// two marks of a domain, the one with the higher era, then the higher revision,
// holds.
type DomainMark struct {
	Domain   string
	Emptied  bool
	Era      uint64
	Revision uint64
}

// StoreFailed reports a store call without a usable response.
type StoreFailed struct {
	// Call is that of the effect which started the call.
	Call uint64
	// HistoryGone reports that the store has discarded changes after the last
	// known revision.
	HistoryGone bool
	Reason      string
	// Era is the era of the store, 0 if it names none or did not respond.
	Era uint64
}

// ListStore reads the complete store. It results in StoreListed or StoreFailed.
type ListStore struct {
	// Call identifies the call. Calls may overlap.
	Call uint64
	// Stale allows a response that is some seconds old, at a tenth of the price.
	Stale bool
}

// WatchStore requests the changes after a revision. It results in StoreChanged
// or StoreFailed.
type WatchStore struct {
	// Call identifies the call. Calls may overlap.
	Call  uint64
	After uint64
	Wait  time.Duration
}

// registry is the state that this host holds of the store.
type registry struct {
	routing *config.Routing
	servers map[string]Server
	// era and revision are the position in the history of the store up to which the
	// known state is complete. entries holds the last known write of each entry,
	// which may be later.
	era      uint64
	revision uint64
	entries  storeage.Entries
	// heardEra is the latest era that this host has heard of, from the store or from
	// another host, and heardAt the instant of the first time.
	heardEra uint64
	heardAt  Instant
	// lossGraceUntil is the instant until which entries of an earlier era that the
	// store lacks may be written again.
	lossGraceUntil Instant
	// withheld holds the entries that came back with a copy of the store after their
	// removal.
	withheld map[string]withheldEntry
	// freshOnly is set when a listing cannot be used since its pages are of two eras.
	freshOnly bool
	// listed is set once the complete store was read, until its history is discarded.
	listed bool
	calls  storeCalls
	// failures is the number of consecutive calls that failed or are overdue, and
	// nextCall the earliest instant of the next call.
	failures int
	nextCall Instant
	// confirmedAt is the instant at which the store last confirmed that the
	// known state is current, or the start of the process. confirmed is set by
	// the first confirmation. recoveredAt is the instant of the first response
	// after failures.
	confirmedAt Instant
	confirmed   bool
	recoveredAt Instant
	// failingSince is the start of the first call of the last period of failed calls, and
	// heardRecoveredAt the first instant at which another host noticed the end of the last
	// outage that this host heard of.
	failingSince     Instant
	heardRecoveredAt Instant
	// pendingRemoval holds the servers whose entries went missing during a store
	// outage, with the instant at which they are removed.
	pendingRemoval map[string]Instant
	// unloggedChanges holds the server changes of this step.
	unloggedChanges []unloggedChange
	propagation     propagation
	leaving         leavingServers
	fleet           fleetSize
	domains         emptiedDomains
	unusableLog     logRateLimit
	// unknownRegionLog limits the log entries about routes kept to unknown regions.
	unknownRegionLog logRateLimit
}

func (s *State) startRegistry() {
	s.registry.servers = make(map[string]Server)
	s.registry.pendingRemoval = make(map[string]Instant)
	s.registry.withheld = make(map[string]withheldEntry)
	s.registry.fleet.startedAt = s.now
	s.registry.leaving.markedAt = make(map[string]Instant)
	s.startPropagation()
	s.startColdServers()
	s.tickRegistry()
}

// settingsChanged applies the settings that may change while the process runs.
// The address of this host is kept, since other hosts know the host by it.
func (s *State) settingsChanged(e SettingsChanged) {
	if e.Registry == nil || s.self.Registry == nil {
		return
	}
	next := *e.Registry
	next.Address = s.self.Registry.Address
	s.self.Registry = &next
	s.registry.propagation.nextSeedQuery = s.now
	// The regions of failure domains may have changed.
	s.adoptRegistry()
	s.out.add(Log{Message: "settings reloaded", Fields: []LogField{
		{Key: "seeds", Value: strconv.Itoa(len(next.Seeds))},
	}})
}

// callStoreIfDue starts the next store call when it is due. Only one call is
// pending at a time, besides overdue ones: a watch is of use only after a complete
// listing.
func (s *State) callStoreIfDue() {
	reg := &s.registry
	if reg.calls.busy() || s.now.Before(reg.nextCall) {
		return
	}
	if !s.mayCallStore() {
		s.scheduleTick(max(s.now+1, reg.confirmedAt.Add(reg.propagation.stalenessLimit)))
		return
	}
	if reg.listed && !reg.domains.verify {
		wait := s.nextWatchWait()
		call := s.startStoreCall(storeCall{era: reg.era}, wait)
		s.out.add(WatchStore{Call: call, After: reg.revision, Wait: wait})
		return
	}
	call := s.startStoreCall(storeCall{verifies: reg.domains.verify}, 0)
	// Changes since a stale listing arrive with the next update. At the first
	// start a stale listing may lack the configuration, so a fresh one is read.
	s.out.add(ListStore{Call: call, Stale: reg.revision == 0 && !s.self.Registry.FirstStart && !reg.freshOnly})
}

// tickRegistry does what is due: removals of expired servers, polls, and store
// calls.
func (s *State) tickRegistry() {
	s.removeExpired()
	s.pruneLeaving()
	s.tickColdServers()
	s.tickEmptiedDomains()
	s.tickPropagation()
	s.tickStoreCalls()
	s.callStoreIfDue()
}

// nextWatchWait returns how long the store may hold a watch while nothing
// changes. It is 0 after a failed call, so that a store that is back responds at once,
// and for a host that has a reader and does not relay to it: such a host reads the store
// because its updates are stale, and notifies the reader of the changes at once.
func (s *State) nextWatchWait() time.Duration {
	if s.registry.failures > 0 || s.reader() != nil && !s.relaysToReader() {
		return 0
	}
	return watchWait
}

// storeCallSucceeded records a response of the store as of the given position. A
// stale response does not confirm that the state is current.
func (s *State) storeCallSucceeded(at storeage.Age, stale bool) {
	if !stale {
		s.markConfirmed(s.now)
		s.registry.propagation.relayed = false
	}
	s.advanceTo(at)
	s.confirmFromStore()
}

// storeListed applies a complete listing, unless updates of another entry host have
// overtaken it. Known servers that it lacks are removed, or pending removal if their
// entries have most likely expired.
func (s *State) storeListed(e StoreListed) {
	reg := &s.registry
	call, pending := s.storeResponded(e.Call)
	if !pending {
		return
	}
	s.domainsListed(&e, call.verifies)
	at := storeage.Age{Era: e.Era, Revision: e.Revision}
	outdated := s.discardOutdated(at)
	s.storeCallSucceeded(at, e.Stale || outdated)
	// Updates that have overtaken the listing left the known state complete.
	reg.listed = true
	if !outdated {
		s.applyListing(&e)
	}
	s.delayStoreCall()
	s.pollReader()
}

func (s *State) applyListing(e *StoreListed) {
	listed := make(map[string]bool, len(e.Servers))
	for _, change := range e.Servers {
		listed[change.ID] = s.replacesKnown(change)
		s.changeServer(change, false)
	}
	s.changeServers(s.missingServers(listed, e.Revision))
	s.discardChangeHistory()
	s.acceptRouting(e.Routing, e.RoutingProblem)
	s.adoptRegistry()
	s.respondToPendingPolls()
}

// storeChanged applies the changes that a watch reported, and relays them. A
// response that updates of another entry host have overtaken reports nothing new.
func (s *State) storeChanged(e StoreChanged) {
	call, pending := s.storeResponded(e.Call)
	if !pending {
		return
	}
	s.domainsChanged(e.Domains)
	at := storeage.Age{Era: e.Era, Revision: e.Revision}
	outdated := s.discardOutdated(at)
	if !outdated && e.Era != call.era {
		s.watchCrossedEras(e.Era)
		return
	}
	s.storeCallSucceeded(at, outdated)
	if outdated {
		s.delayStoreCall()
		return
	}
	s.changeServers(e.Servers)
	newRouting := s.acceptRouting(e.Routing, e.RoutingProblem)
	if len(e.Servers) > 0 || e.Routing != nil {
		s.adoptRegistry()
		s.delayStoreCall()
	}
	s.respondToPendingPolls()
	if newRouting {
		// The configuration is propagated even while servers are pending removal.
		s.sendNotification()
	} else {
		s.notifyReader()
	}
	s.callStoreIfDue()
}

// discardOutdated reports whether a response of the store is discarded, since it describes
// an earlier position than the known one. If it were applied, it would revert changes that
// no later watch or poll reports again. Discarded responses are counted and logged.
func (s *State) discardOutdated(at storeage.Age) bool {
	known := s.registry.age()
	if !at.Before(known) {
		return false
	}
	s.count(CounterStoreUpdates, "outdated")
	s.out.add(Log{Message: "outdated response of the store ignored", Fields: []LogField{
		{Key: "revision", Value: strconv.FormatUint(at.Revision, 10)},
		{Key: "known", Value: strconv.FormatUint(known.Revision, 10)},
		{Key: "era", Value: strconv.FormatUint(at.Era, 10)},
		{Key: "known_era", Value: strconv.FormatUint(known.Era, 10)},
	}})
	return true
}

// delayStoreCall schedules the next store call after watchBatchDelay.
func (s *State) delayStoreCall() {
	s.registry.nextCall = s.now.Add(watchBatchDelay)
	s.scheduleTick(s.registry.nextCall)
}
