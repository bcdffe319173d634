package config

import (
	"fmt"
	"strings"
	"time"
)

// Routing is a configuration that maps requests to services whose backend
// servers register themselves. It is published as one document with a version
// that only increases.
type Routing struct {
	Version  uint64
	Routes   []Route
	Services []RoutedService
	Limits   CallerLimits
}

// Repeat specifies whether a request may run more than once.
type Repeat int

// Values of Repeat.
const (
	// AtMostOnce requests must not run more than once.
	AtMostOnce Repeat = iota
	// Idempotent requests may run more than once.
	Idempotent
	// IdempotentLarge requests may run more than once and have large responses.
	IdempotentLarge
)

// Route specifies how the requests of one host name and path prefix are
// handled.
type Route struct {
	Name       string
	Host       string
	PathPrefix string
	Repeat     Repeat
	// Targets are the services that the requests are distributed over, in
	// proportion to their weights.
	Targets []Target
	// Timeout bounds the time until the response. 0 means the time limit of the
	// caller.
	Timeout time.Duration
	// Goal is the latency goal: a response is worth most within this time. 0
	// means that the route has no goal of its own.
	Goal time.Duration
	// MaxAttempts is the maximum number of upstreams that one request is sent
	// to.
	MaxAttempts int
	// Rank is the priority of the route; 0 is the highest.
	Rank int
	// Regions are the regions whose backend servers may run the requests. Empty
	// means every region.
	Regions []string
}

// Target is a service and its weight among the targets of a route.
type Target struct {
	Service string
	Weight  int
}

// RoutedService is a service whose backend servers register themselves.
type RoutedService struct {
	Name string
	// ProbePath is the path of the health endpoint of each backend server.
	ProbePath string
	// Connections is the number of connections that each backend server accepts
	// from all entry hosts in total. 0 keeps the value of Upstream.Connections.
	Connections int
	// WarmUp is the time after its start for which a backend server is cold.
	WarmUp time.Duration
	// WarmUpRate is the number of requests per second, in thousandths, that a cold
	// backend server bears from all entry hosts in total. 0 means no limit.
	WarmUpRate int
}

// CallerLimits bounds the requests of callers. A zero field means no limit.
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

// CheckRouting returns every reason to reject a routing configuration, and
// none if it is valid.
func CheckRouting(r *Routing) []Problem {
	c := checker{document: routingFile}
	c.require(r.Version > 0, "version", "must be at least 1")
	c.require(len(r.Routes) <= maxRoutes, "routes", "must have at most %d routes", maxRoutes)
	c.require(len(r.Services) <= MaxServices, "services", "must have at most %d services", MaxServices)
	services := make(map[string]bool, len(r.Services))
	for _, service := range r.Services {
		field := "services." + service.Name
		c.name(field, service.Name)
		c.require(!services[service.Name], field, "the service is listed more than once")
		c.require(service.Connections >= 0, field, "the number of connections must not be negative")
		c.require(service.WarmUp >= 0, field, "the warm-up time must not be negative")
		c.require(service.WarmUpRate >= 0 && service.WarmUpRate <= MaxColdRate, field, "the warm-up rate must be between 0 and %d thousandths per second, got %d", MaxColdRate, service.WarmUpRate)
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
	c.require(r.Host != "", field, "the host must not be empty")
	c.require(strings.HasPrefix(r.PathPrefix, "/"), field, "the path prefix must start with /, got %q", r.PathPrefix)
	c.require(r.Timeout >= 0 && r.Timeout <= MaxRequestTimeout, field, "the timeout must be between 0s and %v, got %v", MaxRequestTimeout, r.Timeout)
	c.require(r.Goal >= 0, field, "the latency goal must not be negative")
	c.require(r.MaxAttempts >= 1, field, "the maximum number of attempts must be at least 1")
	c.require(len(r.Targets) >= 1 && len(r.Targets) <= maxTargets, field, "must have between 1 and %d targets", maxTargets)
	total := 0
	for _, target := range r.Targets {
		c.require(services[target.Service], field, "the service %q does not exist", target.Service)
		c.require(target.Weight >= 0, field, "weights must not be negative")
		total += target.Weight
	}
	c.require(total > 0, field, "at least one weight must be greater than 0")
	c.regions(field, r.Regions)
}

// Defaults of services whose backend servers register themselves.
const (
	// routedTimeout is the timeout of requests for which neither the route nor
	// the caller sets one.
	routedTimeout = time.Minute
	// routedQueueLimit bounds the requests of one service that wait at one
	// entry host. It holds a few tenths of a second of the load of a small host.
	routedQueueLimit = 256
	// assumedEntryHosts is the number of entry hosts among which the connections
	// of a backend server are divided. The actual number is not part of a
	// routing configuration.
	assumedEntryHosts        = 32
	routedProbeTimeout       = time.Second
	routedProbeResponseBytes = 4 << 10
	// routedLinkPercent has no effect, because a routing configuration sets no
	// link bandwidth.
	routedLinkPercent = 100
)

// CompileRoutedService compiles one service of a routing configuration together
// with the backend servers registered for it. notRun describes the response
// with which they reject a request without running it.
func CompileRoutedService(s *RoutedService, upstreams []Upstream, notRun NotRunForm) *CompiledService {
	service := &Service{
		Name:      s.Name,
		Timeout:   routedTimeout,
		Queue:     routedQueueLimit,
		ColdRate:  s.WarmUpRate,
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

// NewRoutedTable returns the table of a routing configuration and its compiled
// services. CheckRouting must have accepted the configuration.
func NewRoutedTable(r *Routing, services []*CompiledService) *Table {
	manifest := &Manifest{
		Generation: r.Version,
		EntryHosts: assumedEntryHosts,
		Links:      Links{LongPercent: routedLinkPercent},
	}
	t, _ := NewTable(Version{Generation: r.Version}, manifest, services)
	t.Limits = r.Limits
	t.hostRoutes = newHostRoutes(r.Routes)
	t.routeList = r.Routes
	return t
}

// hostRoutes finds the route of a request by host and longest path prefix. A
// prefix matches if it ends in a slash or equals the complete path. The number
// of map lookups depends on the number of path segments, not on the number of
// routes.
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
		host := hostName(route.Host)
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

// find returns the route of a request, or nil if none matches. The path is that
// of TargetPath.
func (h *hostRoutes) find(host, path string) *Route {
	p := h.hosts[hostName(host)]
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

// WithServices returns a table with the same routes and the given services.
func (t *Table) WithServices(services []*CompiledService) *Table {
	next, _ := NewTable(t.Version, t.Manifest, services)
	next.Limits = t.Limits
	next.hostRoutes = t.hostRoutes
	next.routeList = t.routeList
	return next
}

// Route returns the route of a request, or nil if none matches. A table built
// from service parts has no routes.
func (t *Table) Route(r *Request) *Route {
	if t.hostRoutes == nil {
		return nil
	}
	return t.hostRoutes.find(r.Host, r.Path)
}

// Routed reports whether the table was built from a routing configuration.
func (t *Table) Routed() bool { return t.hostRoutes != nil }

// String returns the name, host and path prefix of the route, for logs.
func (r *Route) String() string { return fmt.Sprintf("%s (%s%s)", r.Name, r.Host, r.PathPrefix) }
