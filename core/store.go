package core

import (
	"strconv"
	"time"

	"wisteriapond/config"
)

const (
	// watchWait is the time after which a watch without a change is answered. A
	// store that forgets its history does not tell a watch that is waiting, and
	// changes must be in force within two seconds.
	watchWait = 700 * time.Millisecond
	// watchPause lets several changes come with one answer, since each call has
	// a price. Together with watchWait it stays below newsOld.
	watchPause = 300 * time.Millisecond
	// A failed call to the store is repeated after a pause that doubles from
	// firstStorePause to lastStorePause. The store's return must be noticed
	// well within the two seconds in which a change has to be in force.
	firstStorePause = 50 * time.Millisecond
	lastStorePause  = 400 * time.Millisecond
	// lapseGrace is the time after the store's return within which entries that
	// lapsed while it was away come back. It is less than the two seconds that
	// the platform grants, since this host notices the return late.
	lapseGrace = 1500 * time.Millisecond
	// lapsedShare is the inverse of the part of a service's servers beyond which
	// missing entries are taken as lapsed. Fewer have most likely left: a host
	// that was cut off by itself finds them missing in the same way.
	lapsedShare = 3
	// maxStoreWarnings is the number of failures in a row that are logged, so
	// that an outage does not cost a line for each call.
	maxStoreWarnings = 3
)

// RegistrySettings is what decisions need when routing and backend servers come
// from a store that is read only.
type RegistrySettings struct {
	// Domains says in which region each failure domain lies.
	Domains []FailureDomain
	// NotRun is the form in which backend servers refuse requests.
	NotRun config.NotRunForm
	// RetryPercent is the part of the requests that may be sent again, and
	// RetryBurst the number of such attempts, in tenths, beyond it.
	RetryPercent int
	RetryBurst   int
	// Transfer prices bytes that leave a failure domain.
	Transfer TransferPrices
	// Address is that of this host for other entry hosts, empty when it talks
	// to none. Seeds are the addresses of some of them.
	Address  string
	Seeds    []string
	Capacity int
	// FirstStart says that the whole deployment starts for the first time, when
	// there is time to learn from other hosts.
	FirstStart bool
}

// FailureDomain is a failure domain with its region.
type FailureDomain struct {
	Name   string
	Region string
}

// StoreListed reports everything that the store holds.
type StoreListed struct {
	Revision uint64
	// Stale is that of the call.
	Stale bool
	// Routing is nil when none is published, or with RoutingProblem.
	Routing *config.Routing
	// RoutingProblem says why the published routing cannot be read.
	RoutingProblem string
	Servers        []ServerChange
}

// StoreChanged reports the end of a watch: what changed up to the revision.
type StoreChanged struct {
	Revision       uint64
	Routing        *config.Routing
	RoutingProblem string
	Servers        []ServerChange
}

// StoreFailed reports a call to the store without a usable answer.
type StoreFailed struct {
	// HistoryGone says that changes since the last revision were forgotten.
	HistoryGone bool
	Reason      string
}

// ListStore reads everything from the store. The answer is StoreListed or
// StoreFailed.
type ListStore struct {
	// Stale allows an answer that is some seconds old, at a tenth of the price.
	Stale bool
}

// WatchStore asks for changes after a revision. The answer is StoreChanged or
// StoreFailed.
type WatchStore struct {
	After uint64
	Wait  time.Duration
}

// registry is what is known from the store.
type registry struct {
	routing  *config.Routing
	servers  map[string]Server
	revision uint64
	// listed is set once everything was read, until the history is gone.
	listed   bool
	calling  bool
	failures int
	nextCall Instant
	// lastAnswer is the instant at which the store last said that what is known
	// is all, or that of the start; heard is set once it did. returned is the
	// instant of the first answer after failures.
	lastAnswer Instant
	heard      bool
	returned   Instant
	// lapsing holds servers whose entries went missing while the store was
	// away, with the instant at which they count as gone.
	lapsing map[string]Instant
	// lapsedAfter is the revision up to which everything is known while entries
	// may have lapsed, previous the one before the last answer of the store.
	lapsedAfter uint64
	previous    uint64
	// unlogged holds the changes of servers that the event of this step made.
	unlogged []serverLine
	news     news
}

func (s *State) startRegistry() {
	s.registry.servers = make(map[string]Server)
	s.registry.lapsing = make(map[string]Instant)
	s.startNews()
	s.tickRegistry()
}

// settingsChanged takes over what may change while the process runs. The
// address of this host stays the one that others know.
func (s *State) settingsChanged(e SettingsChanged) {
	if e.Registry == nil || s.self.Registry == nil {
		return
	}
	next := *e.Registry
	next.Address = s.self.Registry.Address
	s.self.Registry = &next
	s.registry.news.nextSeeds = s.now
	s.out.add(Log{Message: "settings reloaded", Fields: []LogField{
		{Key: "seeds", Value: strconv.Itoa(len(next.Seeds))},
	}})
}

// driveStore makes the next call to the store when it is due. There is one call
// at a time: a watch is only of use after everything was listed.
func (s *State) driveStore() {
	g := &s.registry
	if g.calling || s.now.Before(g.nextCall) {
		return
	}
	if !s.mayCallStore() {
		s.wake(max(s.now+1, g.lastAnswer.Add(g.news.patience)))
		return
	}
	g.calling = true
	if g.listed {
		s.out.add(WatchStore{After: g.revision, Wait: s.watchTime()})
		return
	}
	// What changed since a stale listing comes with the next news. At the first
	// start, a stale listing may lack the configuration.
	s.out.add(ListStore{Stale: g.revision == 0 && !s.self.Registry.FirstStart})
}

func (s *State) tickRegistry() {
	s.dropLapsed()
	s.tickNews()
	s.driveStore()
}

// watchTime is the time that a watch may take without a change. A host that
// has a reader needs to know now what changed, to tell the reader.
func (s *State) watchTime() time.Duration {
	if s.reader() != nil && !s.feeds() {
		return 0
	}
	return watchWait
}

func (s *State) storeAnswered(revision uint64, stale bool) {
	g := &s.registry
	g.calling = false
	if !stale {
		s.noteHeard(s.now)
		g.news.fed = false
	}
	if g.failures > 0 {
		g.returned = s.now
		s.out.add(Log{Message: "the store answers again", Fields: []LogField{
			{Key: "failures", Value: strconv.Itoa(g.failures)},
		}})
	}
	g.failures = 0
	g.previous = g.revision
	g.revision = max(g.revision, revision)
	s.newsConfirmed()
}

func (s *State) storeListed(e StoreListed) {
	g := &s.registry
	s.storeAnswered(e.Revision, e.Stale)
	g.listed = true
	listed := make(map[string]bool, len(e.Servers))
	for _, change := range e.Servers {
		listed[change.ID] = true
		s.changeServer(change, false)
	}
	var missing []ServerChange
	for _, id := range sortedKeys(g.servers) {
		if !listed[id] {
			missing = append(missing, ServerChange{ID: id})
		}
	}
	s.changeServers(missing)
	s.forgetChanges()
	s.takeRouting(e.Routing, e.RoutingProblem)
	s.adoptRegistry()
	s.tellNews()
	s.callLater()
	s.pollReader()
}

func (s *State) storeChanged(e StoreChanged) {
	s.storeAnswered(e.Revision, false)
	s.changeServers(e.Servers)
	s.takeRouting(e.Routing, e.RoutingProblem)
	if len(e.Servers) > 0 || e.Routing != nil {
		s.adoptRegistry()
		s.callLater()
	}
	s.tellNews()
	s.tellReader()
	s.driveStore()
}

// callLater makes the next call after a pause.
func (s *State) callLater() {
	s.registry.nextCall = s.now.Add(watchPause)
	s.wake(s.registry.nextCall)
}

func (s *State) storeFailed(e StoreFailed) {
	g := &s.registry
	g.calling = false
	s.count(CounterPlatformFailures, "")
	if e.HistoryGone {
		// What is known stays in use until the listing has come.
		g.listed = false
		s.out.add(Log{Level: LogWarn, Message: "the store has forgotten its history", Fields: []LogField{
			{Key: "revision", Value: strconv.FormatUint(g.revision, 10)},
		}})
		s.driveStore()
		return
	}
	g.failures++
	if g.failures <= maxStoreWarnings {
		s.out.add(Log{Level: LogWarn, Message: "store call failed", Fields: []LogField{
			{Key: "reason", Value: e.Reason},
			{Key: "failures", Value: strconv.Itoa(g.failures)},
			{Key: "age", Value: s.newsAge().String()},
		}})
	}
	pause := s.failurePause()
	g.nextCall = s.now.Add(pause/2 + time.Duration(s.random.intN(int(pause/2))))
	s.wake(g.nextCall)
	s.askAnyone()
}

// failurePause returns the longest pause after a failed call. Hosts with the
// same reader call as often together as the reader does alone: it notices the
// store's return, and any of them that is served tells it.
func (s *State) failurePause() time.Duration {
	if reader := s.reader(); reader != nil {
		return max(memberCallPause, lastStorePause*time.Duration(s.sharing(reader)))
	}
	return min(firstStorePause<<min(s.registry.failures-1, 8), lastStorePause)
}
