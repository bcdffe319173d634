package core

import (
	"cmp"
	"strconv"
	"time"

	"wisteriapond/config"
)

const (
	// watchWait is the time after which a watch without a change is answered. A
	// store that forgets its history does not tell a watch that is waiting, and
	// changes must be in force within two seconds.
	watchWait = 1300 * time.Millisecond
	// watchPause lets several changes come with one answer, since each call has
	// a price. Together with watchWait it stays below two seconds.
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

// Server is a backend server as it registered itself.
type Server struct {
	// ID names the server as long as it is registered.
	ID string
	// Born is the time of its start in Unix milliseconds, 0 when not told. A
	// server that starts again under its ID is another instance.
	Born          uint64
	Service       string
	Address       string
	FailureDomain string
	Slots         int
	Leaving       bool
	// ColdFor is how much longer the server is slow after its start.
	ColdFor time.Duration
}

// ServerChange is one change of the registered servers. Server is nil when the
// entry is gone or names no usable server; Problem says why in the latter case.
type ServerChange struct {
	ID      string
	Server  *Server
	Problem string
}

// StoreListed reports everything that the store holds.
type StoreListed struct {
	Revision uint64
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
type ListStore struct{}

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
	// lastAnswer is the instant of the last answer, returned that of the first
	// one after failures.
	lastAnswer Instant
	returned   Instant
	// lapsing holds servers whose entries went missing while the store was
	// away, with the instant at which they count as gone.
	lapsing map[string]Instant
	news    news
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
		s.wake(max(s.now+1, g.lastAnswer.Add(newsLimit)))
		return
	}
	g.calling = true
	if g.listed {
		s.out.add(WatchStore{After: g.revision, Wait: watchWait})
		return
	}
	s.out.add(ListStore{})
}

func (s *State) tickRegistry() {
	s.dropLapsed()
	s.tickNews()
	s.driveStore()
}

// dropLapsed removes servers whose entries did not come back.
func (s *State) dropLapsed() {
	g := &s.registry
	changed := false
	for _, id := range sortedKeys(g.lapsing) {
		if s.now.Before(g.lapsing[id]) {
			continue
		}
		delete(g.lapsing, id)
		changed = s.removeServer(id, "its entry did not come back") || changed
		g.news.dropped[id] = s.now
	}
	if changed {
		s.adoptRegistry()
		s.tellNews()
	}
}

func (s *State) storeAnswered(revision uint64) {
	g := &s.registry
	g.calling = false
	g.lastAnswer = s.now
	if g.failures > 0 {
		g.returned = s.now
		s.out.add(Log{Message: "the store answers again", Fields: []LogField{
			{Key: "failures", Value: strconv.Itoa(g.failures)},
		}})
	}
	g.failures = 0
	g.revision = max(g.revision, revision)
	s.newsConfirmed()
}

func (s *State) storeListed(e StoreListed) {
	g := &s.registry
	s.storeAnswered(e.Revision)
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
	s.takeRouting(e.Routing, e.RoutingProblem)
	s.adoptRegistry()
	s.tellNews()
	s.callLater()
}

func (s *State) storeChanged(e StoreChanged) {
	s.storeAnswered(e.Revision)
	s.changeServers(e.Servers)
	s.takeRouting(e.Routing, e.RoutingProblem)
	if len(e.Servers) > 0 || e.Routing != nil {
		s.adoptRegistry()
		s.callLater()
	}
	s.tellNews()
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
			{Key: "age", Value: s.now.Sub(g.lastAnswer).String()},
		}})
	}
	longest := lastStorePause
	if s.reader() != nil {
		// The reader notices the store's return.
		longest = memberCallPause
	}
	pause := min(firstStorePause<<min(g.failures-1, 8), longest)
	g.nextCall = s.now.Add(pause/2 + time.Duration(s.random.below(int(pause/2))))
	s.wake(g.nextCall)
}

// changeServers takes over several entries.
func (s *State) changeServers(changes []ServerChange) {
	lapsed := s.lapsedServices(changes)
	for _, change := range changes {
		s.changeServer(change, lapsed[s.registry.servers[change.ID].Service])
	}
}

// lapsedServices returns the services of which so many entries are missing
// after the store's return that they have most likely lapsed.
func (s *State) lapsedServices(changes []ServerChange) map[string]bool {
	g := &s.registry
	if g.returned == 0 || !s.now.Before(g.returned.Add(lapseGrace)) {
		return nil
	}
	missing := make(map[string]int)
	for _, change := range changes {
		if server, known := g.servers[change.ID]; known && change.Server == nil && change.Problem == "" {
			missing[server.Service]++
		}
	}
	registered := make(map[string]int)
	for _, server := range g.servers {
		registered[server.Service]++
	}
	lapsed := make(map[string]bool)
	for service, n := range missing {
		lapsed[service] = n*lapsedShare > registered[service]
	}
	return lapsed
}

// changeServer takes over one entry. An entry that is missing may have lapsed
// while the store was away; its server is kept in use for a while then.
func (s *State) changeServer(change ServerChange, lapsed bool) {
	g := &s.registry
	known, registered := g.servers[change.ID]
	switch {
	case change.Server == nil && !registered:
	case change.Server == nil && lapsed && change.Problem == "" && !known.Leaving:
		if _, waits := g.lapsing[change.ID]; !waits {
			g.lapsing[change.ID] = g.returned.Add(lapseGrace)
			s.wake(g.lapsing[change.ID])
		}
	case change.Server == nil:
		delete(g.lapsing, change.ID)
		s.removeServer(change.ID, cmp.Or(change.Problem, "its entry is gone"))
	case registered && change.Server.Born < known.Born:
		// A late write of an earlier life says nothing about this one.
	default:
		delete(g.lapsing, change.ID)
		g.servers[change.ID] = *change.Server
		s.noteChange(change.ID)
		if !registered || known.Leaving != change.Server.Leaving || known.Born != change.Server.Born {
			s.logServer("backend server changed", change.ID, change.Server.Service, leavingText(change.Server.Leaving))
		}
	}
}

func (s *State) removeServer(id, reason string) bool {
	server, registered := s.registry.servers[id]
	if !registered {
		return false
	}
	delete(s.registry.servers, id)
	s.noteChange(id)
	s.logServer("backend server removed", id, server.Service, reason)
	return true
}

func (s *State) logServer(message, id, service, state string) {
	s.out.add(Log{Message: message, Fields: []LogField{
		{Key: "server", Value: id},
		{Key: "service", Value: service},
		{Key: "state", Value: state},
		{Key: "revision", Value: strconv.FormatUint(s.registry.revision, 10)},
	}})
}

func leavingText(leaving bool) string {
	if leaving {
		return "leaving"
	}
	return "ready"
}

// takeRouting keeps a routing configuration that is newer than the one known.
func (s *State) takeRouting(routing *config.Routing, problem string) {
	g := &s.registry
	if problem != "" {
		s.count(CounterConfigurations, "refused")
		s.out.add(Log{Level: LogError, Message: "configuration refused", Fields: []LogField{{Key: "problem", Value: problem}}})
	}
	if routing == nil || g.routing != nil && routing.Version <= g.routing.Version {
		return
	}
	if problems := config.CheckRouting(routing); len(problems) > 0 {
		s.refuseConfiguration(config.Version{Generation: routing.Version}, problems)
		return
	}
	g.routing = routing
}

// adoptRegistry puts what is known from the store in force. Services without a
// change keep their compiled form.
func (s *State) adoptRegistry() {
	g := &s.registry
	if g.routing == nil {
		return
	}
	upstreams := s.registeredUpstreams()
	services := make([]*config.CompiledService, 0, len(g.routing.Services))
	changed := s.table == nil || s.table.Version.Generation != g.routing.Version
	for i := range g.routing.Services {
		routed := &g.routing.Services[i]
		current := s.compiledService(routed.Name)
		if current != nil && sameUpstreams(current, routed, upstreams[routed.Name]) {
			services = append(services, current)
			continue
		}
		changed = true
		services = append(services, config.CompileRouted(routed, upstreams[routed.Name], s.self.Registry.NotRun))
	}
	if !changed {
		return
	}
	if s.table != nil && s.table.Version.Generation == g.routing.Version {
		s.table = s.table.WithServices(services)
		s.updateServices()
		return
	}
	s.adopt(config.NewRoutedTable(g.routing, services))
}

func (s *State) compiledService(name string) *config.CompiledService {
	if svc := s.services[name]; svc != nil {
		return svc.config
	}
	return nil
}

// registeredUpstreams returns the servers that may get new work, by service.
func (s *State) registeredUpstreams() map[string][]config.Upstream {
	g := &s.registry
	upstreams := make(map[string][]config.Upstream)
	for _, id := range sortedKeys(g.servers) {
		server := g.servers[id]
		if server.Leaving {
			continue
		}
		upstreams[server.Service] = append(upstreams[server.Service], config.Upstream{
			Name:          id,
			Host:          id + "/" + strconv.FormatUint(server.Born, 10),
			Address:       server.Address,
			Region:        s.regionOf(server.FailureDomain),
			FailureDomain: server.FailureDomain,
			Slots:         max(1, server.Slots),
			Instance:      id,
		})
	}
	return upstreams
}

func (s *State) regionOf(domain string) string {
	for _, d := range s.self.Registry.Domains {
		if d.Name == domain {
			return d.Region
		}
	}
	return domain
}

// sameUpstreams reports whether a compiled service already says the same.
func sameUpstreams(compiled *config.CompiledService, routed *config.RoutedService, upstreams []config.Upstream) bool {
	if compiled.Probe.Path != routed.ProbePath || len(compiled.Upstreams) != len(upstreams) {
		return false
	}
	for i := range upstreams {
		have, want := &compiled.Upstreams[i].Upstream, &upstreams[i]
		if have.Host != want.Host || have.Address != want.Address || have.Slots != want.Slots ||
			have.FailureDomain != want.FailureDomain || routed.Connections > 0 && have.Connections != routed.Connections {
			return false
		}
	}
	return true
}
