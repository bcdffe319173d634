package core

import (
	"cmp"
	"strconv"
	"time"

	"wisteriapond/config"
	"wisteriapond/storeage"
)

// Server is a backend server as it registered itself in the store.
type Server struct {
	// ID identifies the server for as long as it is registered.
	ID string
	// Born is the start time of the instance in Unix milliseconds, 0 if unknown.
	// A server that starts again under its ID is another instance.
	Born          uint64
	Service       string
	Address       string
	FailureDomain string
	Slots         int
	Leaving       bool
	// ColdFor is the remaining warm-up time, during which the server is slower.
	ColdFor time.Duration
	// Sequence counts the writes of the entry by this instance.
	Sequence uint64
}

// ServerChange is one change of the registered servers. Server is nil if the
// entry was removed or describes no usable server. Problem gives the reason in the
// latter case.
type ServerChange struct {
	ID      string
	Server  *Server
	Problem string
	// Revision is that of the write or removal of the entry, 0 if it is unknown. It
	// belongs to the era of the message that holds the change.
	Revision uint64
}

const (
	// maxServerSlots and maxColdFor bound what other entry hosts may report of a
	// server. They are those of the store's entries.
	maxServerSlots = 100_000
	maxColdFor     = time.Hour
)

// checked returns a change that came from another entry host, as an entry that
// names no server if its values are out of bounds: the other host may run an
// earlier version, which does not check them.
func (c ServerChange) checked() ServerChange {
	server := c.Server
	if server == nil || server.ID == c.ID && server.Service != "" && server.Slots >= 1 && server.Slots <= maxServerSlots &&
		server.ColdFor >= 0 && server.ColdFor <= maxColdFor {
		return c
	}
	return ServerChange{ID: c.ID, Problem: "another entry host reports a server with values out of bounds", Revision: c.Revision}
}

// removeExpired removes servers whose entries were not registered again within
// expiryGrace.
func (s *State) removeExpired() {
	reg := &s.registry
	ended := false
	for _, id := range sortedKeys(reg.pendingRemoval) {
		if s.now.Before(reg.pendingRemoval[id]) {
			continue
		}
		ended = true
		delete(reg.pendingRemoval, id)
		reg.entries.Record(id, storeage.Write{At: reg.age(), Removed: true})
		s.removeServer(id, "entry not registered again after a store outage")
		reg.propagation.expired[id] = s.now
	}
	if s.releaseWithheld() || ended {
		s.adoptRegistry()
		s.respondToPendingPolls()
		s.notifyReader()
	}
}

// deferRemoval keeps a server whose entry is missing in use until the end of
// expiryGrace.
func (s *State) deferRemoval(id string) {
	reg := &s.registry
	if _, scheduled := reg.pendingRemoval[id]; !scheduled {
		reg.pendingRemoval[id] = reg.recoveredAt.Add(expiryGrace)
		s.scheduleTick(reg.pendingRemoval[id])
	}
}

// missingServers returns the removals of the known servers that complete contents of
// the store lack. A server that was registered only in an earlier era is pending
// removal instead: the store may have lost its entry, which is then written again.
func (s *State) missingServers(listed map[string]bool, revision uint64) []ServerChange {
	reg := &s.registry
	var missing []ServerChange
	for _, id := range sortedKeys(reg.servers) {
		switch {
		case listed[id]:
		case s.now.Before(reg.lossGraceUntil) && reg.entries.Last(id).Era < reg.era && !reg.servers[id].Leaving:
			s.deferRemoval(id)
		default:
			missing = append(missing, ServerChange{ID: id, Revision: revision})
		}
	}
	for _, id := range sortedKeys(reg.withheld) {
		if !listed[id] {
			delete(reg.withheld, id)
		}
	}
	return missing
}

// changeServers applies several entry changes of the store, and keeps the servers
// of services whose entries have most likely expired during an outage.
func (s *State) changeServers(changes []ServerChange) {
	expired := s.massExpiredServices(changes)
	for _, change := range changes {
		s.changeServer(change, expired[s.registry.servers[change.ID].Service])
	}
}

// massExpiredServices returns the services that lose so many entries within
// expiryGrace after the recovery of the store that the entries have most likely
// expired during the outage.
func (s *State) massExpiredServices(changes []ServerChange) map[string]bool {
	reg := &s.registry
	if reg.recoveredAt == 0 || !s.now.Before(reg.recoveredAt.Add(expiryGrace)) {
		return nil
	}
	missing := make(map[string]int)
	for _, change := range changes {
		if server, known := reg.servers[change.ID]; known && change.Server == nil && change.Problem == "" {
			missing[server.Service]++
		}
	}
	registered := make(map[string]int)
	for _, server := range reg.servers {
		registered[server.Service]++
	}
	expired := make(map[string]bool)
	for service, n := range missing {
		expired[service] = n*massExpiryDivisor > registered[service]
	}
	return expired
}

// changeServer applies one entry change. With expired set, a missing entry may
// have expired during a store outage, and its server is kept in use until the
// end of expiryGrace.
func (s *State) changeServer(change ServerChange, expired bool) {
	reg := &s.registry
	known, registered := reg.servers[change.ID]
	if registered && change.Server == nil && expired && change.Problem == "" && !known.Leaving {
		s.deferRemoval(change.ID)
		return
	}
	if registered && change.Server != nil && change.Server.Born < known.Born {
		// A late write of an earlier instance does not apply to the current one.
		return
	}
	if !s.acceptWrite(&change) {
		return
	}
	switch {
	case change.Problem != "" && !registered:
		s.reportUnusableEntry(change)
	case change.Server == nil && !registered:
		// Other hosts that poll this one may know the server.
		s.recordChange(change.ID)
	case change.Server == nil:
		// Running requests on the server go on, also if its entry has become
		// unusable: the entry says nothing about them.
		if change.Problem != "" {
			s.count(CounterUnusableEntries, "")
		}
		delete(reg.pendingRemoval, change.ID)
		s.removeServer(change.ID, cmp.Or(change.Problem, "entry removed from the store"))
	default:
		delete(reg.pendingRemoval, change.ID)
		reg.servers[change.ID] = *change.Server
		s.applyRegisteredWarmUp(change.Server)
		s.recordChange(change.ID)
		if !registered || known.Leaving != change.Server.Leaving || known.Born != change.Server.Born {
			s.deferServerLog(unloggedChange{id: change.ID, service: change.Server.Service, state: leavingText(change.Server.Leaving)})
		}
	}
}

// unusableEntriesPerSecond bounds the log entries about unusable entries of the
// store, which another writer may rewrite at any rate.
const unusableEntriesPerSecond = 10

// reportUnusableEntry counts and logs an entry that names no server to use. Other
// hosts that poll this one may know a server under its ID.
func (s *State) reportUnusableEntry(change ServerChange) {
	if change.ID != "" {
		s.recordChange(change.ID)
	}
	s.count(CounterUnusableEntries, "")
	if s.registry.unusableLog.allow(s.now, unusableEntriesPerSecond) {
		s.out.add(Log{Level: LogWarn, Message: "unusable entry in the store", Fields: []LogField{
			{Key: "server", Value: change.ID},
			{Key: "problem", Value: change.Problem},
		}})
	}
}

// removeServer removes a server, and reports whether it was registered.
func (s *State) removeServer(id, reason string) bool {
	server, registered := s.registry.servers[id]
	if !registered {
		return false
	}
	delete(s.registry.servers, id)
	s.recordChange(id)
	s.deferServerLog(unloggedChange{id: id, service: server.Service, state: reason, removed: true})
	return true
}

// acceptRouting stores a routing configuration that is valid and newer than the
// known one, nil if there is none. It logs problem, which describes why a published
// one cannot be read. adoptRegistry puts the stored one in force. It reports whether it
// stored one.
func (s *State) acceptRouting(routing *config.Routing, problem string) bool {
	reg := &s.registry
	if problem != "" {
		s.count(CounterConfigurations, "refused")
		s.out.add(Log{Level: LogError, Message: "configuration refused", Fields: []LogField{{Key: "problem", Value: problem}}})
	}
	if routing == nil || reg.routing != nil && routing.Version <= reg.routing.Version {
		return false
	}
	if problems := config.CheckRouting(routing); len(problems) > 0 {
		s.refuseConfiguration(config.Version{Generation: routing.Version}, problems)
		return false
	}
	reg.routing = routing
	return true
}

// adoptRegistry puts the known routing and servers in force. Services without a
// change keep their compiled form.
func (s *State) adoptRegistry() {
	reg := &s.registry
	if reg.routing == nil {
		return
	}
	upstreams := s.registeredUpstreams()
	services := make([]*config.CompiledService, 0, len(reg.routing.Services))
	changed := s.table == nil || s.table.Version.Generation != reg.routing.Version
	for i := range reg.routing.Services {
		routed := &reg.routing.Services[i]
		current := s.compiledService(routed.Name)
		if current != nil && sameUpstreams(current, routed, upstreams[routed.Name]) {
			services = append(services, current)
			continue
		}
		changed = true
		services = append(services, config.CompileRoutedService(routed, upstreams[routed.Name], s.self.Registry.NotRun))
	}
	if !changed {
		return
	}
	if s.table != nil && s.table.Version.Generation == reg.routing.Version {
		s.table = s.table.WithServices(services)
		s.updateServices()
		return
	}
	s.adopt(config.NewRoutedTable(reg.routing, services))
}

// compiledService returns the configuration in force of a service, or nil.
func (s *State) compiledService(name string) *config.CompiledService {
	if svc := s.services[name]; svc != nil {
		return svc.config
	}
	return nil
}

// registeredUpstreams returns the servers that accept new requests, by service. A
// server that started again under its ID has another host name, so that it gets
// the state of a new upstream.
func (s *State) registeredUpstreams() map[string][]config.Upstream {
	reg := &s.registry
	upstreams := make(map[string][]config.Upstream)
	for _, id := range sortedKeys(reg.servers) {
		server := reg.servers[id]
		if server.Leaving {
			continue
		}
		upstreams[server.Service] = append(upstreams[server.Service], config.Upstream{
			Name:          id,
			Host:          instanceName(&server),
			Address:       server.Address,
			Region:        s.regionOf(server.FailureDomain),
			FailureDomain: server.FailureDomain,
			Slots:         max(1, server.Slots),
			Instance:      id,
		})
	}
	return upstreams
}

// instanceName returns the name of one run of a server, which serves as the name
// of its host.
func instanceName(server *Server) string {
	return server.ID + "/" + strconv.FormatUint(server.Born, 10)
}

// regionOf returns the region of a failure domain. A failure domain that the
// settings do not list is its own region.
func (s *State) regionOf(domain string) string {
	for _, d := range s.self.Registry.Domains {
		if d.Name == domain {
			return d.Region
		}
	}
	return domain
}

// sameUpstreams reports whether a compiled service already matches its routing
// and its registered servers.
func sameUpstreams(compiled *config.CompiledService, routed *config.RoutedService, upstreams []config.Upstream) bool {
	if compiled.Probe.Path != routed.ProbePath || compiled.ColdRate != routed.WarmUpRate || len(compiled.Upstreams) != len(upstreams) {
		return false
	}
	for i := range upstreams {
		have, want := &compiled.Upstreams[i].Upstream, &upstreams[i]
		if have.Host != want.Host || have.Address != want.Address || have.Slots != want.Slots ||
			have.FailureDomain != want.FailureDomain || have.Region != want.Region || routed.Connections > 0 && have.Connections != routed.Connections {
			return false
		}
	}
	return true
}
