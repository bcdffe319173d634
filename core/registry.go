package core

import (
	"cmp"
	"strconv"
	"time"

	"wisteriapond/config"
)

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
		s.tellReader()
	}
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
		// Others that ask this host may know the server.
		s.noteChange(change.ID)
	case change.Server == nil && lapsed && change.Problem == "" && !known.Leaving:
		if len(g.lapsing) == 0 {
			g.lapsedAfter = g.previous
		}
		if _, waits := g.lapsing[change.ID]; !waits {
			g.lapsing[change.ID] = g.returned.Add(lapseGrace)
			s.scheduleTick(g.lapsing[change.ID])
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
			s.noteServerLine(serverLine{id: change.ID, service: change.Server.Service, state: leavingText(change.Server.Leaving)})
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
	s.noteServerLine(serverLine{id: id, service: server.Service, state: reason, removed: true})
	return true
}

func (s *State) noteServerLine(line serverLine) {
	s.registry.unlogged = append(s.registry.unlogged, line)
}

// maxServerLines is the number of servers up to which each change has a line of
// its own. A listing changes all of them, and lines cost a small host its start.
const maxServerLines = 16

// serverLine is a change of a server that has no log line yet.
type serverLine struct {
	id, service, state string
	removed            bool
}

// logServers writes the changes that an event made, one by one or as a sum.
func (s *State) logServers() {
	lines := s.registry.unlogged
	if len(lines) == 0 {
		return
	}
	s.registry.unlogged = nil
	revision := LogField{Key: "revision", Value: strconv.FormatUint(s.registry.revision, 10)}
	removed := 0
	for _, line := range lines {
		if line.removed {
			removed++
		}
		if len(lines) > maxServerLines {
			continue
		}
		message := "backend server changed"
		if line.removed {
			message = "backend server removed"
		}
		s.out.add(Log{Message: message, Fields: []LogField{
			{Key: "server", Value: line.id},
			{Key: "service", Value: line.service},
			{Key: "state", Value: line.state},
			revision,
		}})
	}
	if len(lines) > maxServerLines {
		s.out.add(Log{Message: "backend servers changed", Fields: []LogField{
			{Key: "changed", Value: strconv.Itoa(len(lines) - removed)},
			{Key: "removed", Value: strconv.Itoa(removed)},
			{Key: "known", Value: strconv.Itoa(len(s.registry.servers))},
			revision,
		}})
	}
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
