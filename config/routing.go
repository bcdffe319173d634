package config

import (
	"fmt"
	"strings"
	"time"
)

// Routing is a configuration that says which requests go to which services,
// and leaves it to the backend servers to register themselves. It is published
// whole, with a version that only rises.
type Routing struct {
	Version  uint64
	Routes   []Route
	Services []RoutedService
	Limits   CallerLimits
}

// Repeat says how often a request may run.
type Repeat int

// The kinds of requests.
const (
	// AtMostOnce requests must not run twice.
	AtMostOnce Repeat = iota
	// Idempotent requests may run more than once.
	Idempotent
	// IdempotentLarge requests may run more than once and have large answers.
	IdempotentLarge
)

// Route says what becomes of the requests of one host name and path prefix.
type Route struct {
	Name       string
	Host       string
	PathPrefix string
	Repeat     Repeat
	// Targets are the services that the requests are divided among.
	Targets []Target
	// Timeout bounds the time until the answer; 0 means the time that the
	// caller grants.
	Timeout time.Duration
	// Goal is the time within which an answer is worth most; 0 for none.
	Goal time.Duration
	// MaxAttempts is the number of upstreams that one request may be sent to.
	MaxAttempts int
	// Rank orders routes by urgency; 0 is the most urgent.
	Rank int
}

// Target is a service with its weight among the targets of a route.
type Target struct {
	Service string
	Weight  int
}

// RoutedService is a service whose backend servers register themselves.
type RoutedService struct {
	Name string
	// ProbePath is the path that answers with the health of a backend server.
	ProbePath string
	// Connections is the number of connections that each backend server
	// accepts from all entry hosts together.
	Connections int
}

// CallerLimits bounds what callers may send. Zero fields mean no limit.
type CallerLimits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

const routingFile = "routing"

const (
	maxRoutes  = 65536
	maxTargets = 64
)

// CheckRouting returns every reason why a routing configuration is refused.
func CheckRouting(r *Routing) []Problem {
	c := checker{document: routingFile}
	c.require(r.Version > 0, "version", "must be at least 1")
	c.require(len(r.Routes) <= maxRoutes, "routes", "at most %d routes", maxRoutes)
	c.require(len(r.Services) <= MaxServices, "services", "at most %d services", MaxServices)
	services := make(map[string]bool, len(r.Services))
	for _, service := range r.Services {
		field := "services." + service.Name
		c.name(field, service.Name)
		c.require(!services[service.Name], field, "is listed twice")
		c.require(service.Connections >= 0, field, "the number of connections must not be negative")
		services[service.Name] = true
	}
	for i := range r.Routes {
		c.route(&r.Routes[i], services)
	}
	c.require(r.Limits.HeaderBytes >= 0 && r.Limits.BodyBytes >= 0, "limits", "sizes must not be negative")
	c.require(r.Limits.HeaderTimeout >= 0 && r.Limits.IdleTimeout >= 0, "limits", "durations must not be negative")
	return c.problems
}

func (c *checker) route(r *Route, services map[string]bool) {
	field := "routes." + r.Name
	c.require(r.Host != "", field, "the host is missing")
	c.require(strings.HasPrefix(r.PathPrefix, "/"), field, "the path prefix must begin with /, got %q", r.PathPrefix)
	c.require(r.Timeout >= 0 && r.Timeout <= MaxRequestTimeout, field, "the timeout must be between 0s and %v, got %v", MaxRequestTimeout, r.Timeout)
	c.require(r.Goal >= 0, field, "the latency goal must not be negative")
	c.require(r.MaxAttempts >= 1, field, "at least one attempt is needed")
	c.require(len(r.Targets) >= 1 && len(r.Targets) <= maxTargets, field, "between 1 and %d targets are needed", maxTargets)
	total := 0
	for _, target := range r.Targets {
		c.require(services[target.Service], field, "the service %q does not exist", target.Service)
		c.require(target.Weight >= 0, field, "weights must not be negative")
		total += target.Weight
	}
	c.require(total > 0, field, "at least one weight must be above 0")
}

// defaults of services whose backend servers register themselves.
const (
	// routedTimeout bounds requests of routes without a time-out whose caller
	// names none.
	routedTimeout = time.Minute
	// routedQueueLimit is the number of requests of one service that may wait at one
	// entry host. A few tenths of a second of the load of a small host fit in.
	routedQueueLimit = 256
	// assumedEntryHosts divides the connections that a backend server accepts.
	// Nothing tells how many entry hosts there are.
	assumedEntryHosts        = 32
	routedProbeTimeout       = time.Second
	routedProbeResponseBytes = 4 << 10
	// routedLinkPercent has no effect, since no rate of a link is given.
	routedLinkPercent = 100
)

// CompileRoutedService compiles one service of a routing configuration with the
// backend servers that are registered for it. notRun is the form in which they
// refuse requests.
func CompileRoutedService(s *RoutedService, upstreams []Upstream, notRun NotRunForm) *CompiledService {
	service := &Service{
		Name:      s.Name,
		Timeout:   routedTimeout,
		Queue:     routedQueueLimit,
		NotRun:    notRun,
		Upstreams: upstreams,
		Probe:     Probe{Path: s.ProbePath, Timeout: routedProbeTimeout, AnswerLimit: routedProbeResponseBytes},
	}
	compiled := &CompiledService{Service: service}
	for _, u := range upstreams {
		if s.Connections > 0 {
			u.Connections = s.Connections
		}
		compiled.Upstreams = append(compiled.Upstreams, compileUpstream(u))
	}
	return compiled
}

// NewRoutedTable joins a routing configuration that CheckRouting has accepted
// and its compiled services into a table.
func NewRoutedTable(r *Routing, services []*CompiledService) *Table {
	manifest := &Manifest{
		Generation: r.Version,
		EntryHosts: assumedEntryHosts,
		Links:      Links{LongPercent: routedLinkPercent},
	}
	t, _ := NewTable(Version{Generation: r.Version}, manifest, services)
	t.Limits = r.Limits
	t.routed = newHostRoutes(r.Routes)
	return t
}

// hostRoutes finds the route of a request by host and longest path prefix. The
// cost grows with the number of path segments, not with that of routes.
type hostRoutes struct {
	hosts map[string]*prefixRoutes
}

type prefixRoutes struct {
	routes        map[string]*Route
	longestPrefix int
}

func newHostRoutes(routes []Route) *hostRoutes {
	h := &hostRoutes{hosts: make(map[string]*prefixRoutes)}
	for i := range routes {
		route := &routes[i]
		host := strings.ToLower(route.Host)
		p := h.hosts[host]
		if p == nil {
			p = &prefixRoutes{routes: make(map[string]*Route)}
			h.hosts[host] = p
		}
		p.routes[route.PathPrefix] = route
		p.longestPrefix = max(p.longestPrefix, len(route.PathPrefix))
	}
	return h
}

func (h *hostRoutes) find(host, path string) *Route {
	name, _, _ := strings.Cut(host, ":")
	p := h.hosts[strings.ToLower(name)]
	if p == nil {
		return nil
	}
	for end := min(len(path), p.longestPrefix); end > 0; end-- {
		if path[end-1] != '/' && end != len(path) {
			continue
		}
		if route := p.routes[path[:end]]; route != nil {
			return route
		}
	}
	return nil
}

// WithServices returns a table with the same routes and other services.
func (t *Table) WithServices(services []*CompiledService) *Table {
	next, _ := NewTable(t.Version, t.Manifest, services)
	next.Limits = t.Limits
	next.routed = t.routed
	return next
}

// Route returns the route of a request, or nil when none matches. A table that
// was built from service parts has no routes.
func (t *Table) Route(r *Request) *Route {
	if t.routed == nil {
		return nil
	}
	return t.routed.find(r.Host, r.Path)
}

// Routed reports whether the table was built from a routing configuration.
func (t *Table) Routed() bool { return t.routed != nil }

// String names a route in logs.
func (r *Route) String() string { return fmt.Sprintf("%s (%s%s)", r.Name, r.Host, r.PathPrefix) }
