package config

import (
	"cmp"
	"slices"
	"strings"

	"wisteriapond/label"
)

// Table is the compiled form of an accepted configuration. It is immutable.
type Table struct {
	Version  Version
	Manifest *Manifest
	services []*CompiledService
	routes   []route
	index    routeIndex
	headers  []string
	// hostRoutes and routeList are nil for a table built from service parts.
	hostRoutes *hostRoutes
	routeList  []Route
	// Limits bounds the requests of callers. A zero field means no limit.
	Limits CallerLimits
}

type route struct {
	match   Match
	service *CompiledService
}

// CompiledService is a service with parsed selectors.
type CompiledService struct {
	*Service
	// Upstreams shadows Service.Upstreams with upstreams that have label sets.
	Upstreams      []*CompiledUpstream
	rules          []compiledRule
	idempotentWhen []label.Selector
	longWhen       []label.Selector
}

// CompiledUpstream is an upstream with its label set.
type CompiledUpstream struct {
	Upstream
	LabelSet label.Set
}

type compiledRule struct {
	when  label.Selector
	hosts label.Selector
}

// Request holds the attributes of a request that routing depends on.
type Request struct {
	Method  string
	Host    string
	Path    string
	Headers []Header
}

// Header is a header field that a label rule refers to. Its name is in lower
// case.
type Header struct {
	Name  string
	Value string
}

// CompileService validates a service part and compiles it.
func CompileService(s *Service) (*CompiledService, []Problem) {
	if problems := CheckService(s); len(problems) > 0 {
		return nil, problems
	}
	compiled := &CompiledService{Service: s}
	for _, rule := range s.Selectors {
		compiled.rules = append(compiled.rules, compiledRule{
			when:  mustParse(rule.When),
			hosts: mustParse(rule.Hosts),
		})
	}
	compiled.idempotentWhen = parseAll(s.IdempotentWhen)
	compiled.longWhen = parseAll(s.LongWhen)
	for _, u := range s.Upstreams {
		compiled.Upstreams = append(compiled.Upstreams, compileUpstream(u))
	}
	return compiled, nil
}

// mustParse parses a selector that CheckService has accepted.
func mustParse(source string) label.Selector {
	selector, _ := label.Parse(source)
	return selector
}

func parseAll(sources []string) []label.Selector {
	selectors := make([]label.Selector, 0, len(sources))
	for _, source := range sources {
		selectors = append(selectors, mustParse(source))
	}
	return selectors
}

// Names of the built-in labels, which operators cannot set.
const (
	methodLabel        = "method"
	hostLabel          = "host"
	regionLabel        = "region"
	failureDomainLabel = "failure_domain"
)

func isUpstreamLabel(key string) bool {
	return key == hostLabel || key == regionLabel || key == failureDomainLabel
}

// compileUpstream adds the built-in labels to the labels set by the operator.
func compileUpstream(u Upstream) *CompiledUpstream {
	set := make(label.Set, 0, len(u.Labels)+3)
	for _, pair := range u.Labels {
		set = set.With(pair.Key, pair.Value)
	}
	set = set.With(hostLabel, u.Host)
	set = set.With(regionLabel, u.Region)
	set = set.With(failureDomainLabel, u.FailureDomain)
	return &CompiledUpstream{Upstream: u, LabelSet: set}
}

// NewTable builds a table from compiled services, which may be in any order.
// It reports a problem if two services have the same match, or if a name in the
// manifest refers to the part of a different service.
func NewTable(version Version, manifest *Manifest, services []*CompiledService) (*Table, []Problem) {
	t := &Table{Version: version, Manifest: manifest}
	t.services = slices.SortedFunc(slices.Values(services), func(a, b *CompiledService) int {
		return cmp.Compare(a.Name, b.Name)
	})
	for _, service := range t.services {
		for _, match := range service.Match {
			t.routes = append(t.routes, route{match: match, service: service})
		}
		for _, rule := range service.Labels {
			t.addHeader(rule.FromHeader)
		}
	}
	slices.SortStableFunc(t.routes, compareRoutes)
	t.index = newRouteIndex(t.routes)
	slices.Sort(t.headers)
	return t, slices.Concat(t.missingParts(), t.matchConflicts(), t.unknownRegions(), t.unknownDomains())
}

func compareName(s *CompiledService, name string) int {
	return cmp.Compare(s.Name, name)
}

// missingParts returns a problem for each service in the manifest for which
// there is no part of that name.
func (t *Table) missingParts() []Problem {
	var problems []Problem
	for _, ref := range t.Manifest.Services {
		if _, found := slices.BinarySearchFunc(t.services, ref.Name, compareName); !found {
			problems = append(problems, Problem{
				Document: manifestFile,
				Field:    "services." + ref.Name,
				Reason:   "the part with this hash is of another service",
			})
		}
	}
	return problems
}

func (t *Table) addHeader(name string) {
	name = strings.ToLower(name)
	if name != "" && !slices.Contains(t.headers, name) {
		t.headers = append(t.headers, name)
	}
}

// compareRoutes orders the more specific match first: a specific host before
// any host, then the longer path prefix, then specific methods before any
// method.
func compareRoutes(a, b route) int {
	return cmp.Or(
		cmp.Compare(len(b.match.Host), len(a.match.Host)),
		cmp.Compare(len(b.match.PathPrefix), len(a.match.PathPrefix)),
		cmp.Compare(methodRank(a.match), methodRank(b.match)),
	)
}

func methodRank(m Match) int {
	if len(m.Methods) > 0 {
		return 0
	}
	return 1
}

// matchConflicts returns a problem for each match that two services have in
// common.
func (t *Table) matchConflicts() []Problem {
	var problems []Problem
	owners := make(map[string]string)
	for _, r := range t.routes {
		key := r.match.key()
		owner, exists := owners[key]
		if exists && owner != r.service.Name {
			problems = append(problems, Problem{
				Document: partFile(r.service.Name),
				Line:     r.match.Line,
				Field:    "match",
				Reason:   "the same match is claimed by service " + owner,
			})
		}
		owners[key] = r.service.Name
	}
	return problems
}

func (m Match) key() string {
	methods := slices.Sorted(slices.Values(m.Methods))
	return hostName(m.Host) + "\x00" + m.PathPrefix + "\x00" + strings.Join(methods, ",")
}

// Services returns the services, sorted by name.
func (t *Table) Services() []*CompiledService { return t.services }

// HeaderNames returns the lower-case names of the request headers that label
// rules refer to.
func (t *Table) HeaderNames() []string { return t.headers }

// Service returns the service that a request belongs to, or nil if none
// matches.
func (t *Table) Service(r *Request) *CompiledService {
	return t.index.find(r)
}

// Matches reports whether the request has the host, path prefix and method of
// the match.
func (m Match) Matches(r *Request) bool {
	if m.Host != "" && !strings.EqualFold(withoutPort(m.Host), withoutPort(r.Host)) {
		return false
	}
	if !strings.HasPrefix(r.Path, m.PathPrefix) {
		return false
	}
	return len(m.Methods) == 0 || slices.Contains(m.Methods, r.Method)
}

// RequestLabels returns the labels of a request. They include the built-in
// label "method" if the method is a valid label value. Header values that are
// not valid label values are ignored; callers could otherwise set labels that no
// selector can express.
func (s *CompiledService) RequestLabels(r *Request) label.Set {
	set := make(label.Set, 0, len(s.Labels)+1)
	if label.ValidValue(r.Method) {
		set = set.With(methodLabel, r.Method)
	}
	for i := range s.Labels {
		rule := &s.Labels[i]
		if !rule.When.Matches(r) {
			continue
		}
		if value := rule.valueFor(r); label.ValidValue(value) {
			set = set.With(rule.Label, value)
		}
	}
	return set
}

func (rule *LabelRule) valueFor(r *Request) string {
	if rule.FromHeader == "" {
		return rule.Value
	}
	for _, header := range r.Headers {
		if strings.EqualFold(header.Name, rule.FromHeader) {
			return header.Value
		}
	}
	return ""
}

// Eligible reports whether requests with the given labels may be sent to the
// upstream. If not, it returns the host selector that excludes the upstream and
// the term of it that does not match.
func (s *CompiledService) Eligible(request label.Set, u *CompiledUpstream) (ok bool, selector, term string) {
	for i := range s.rules {
		rule := &s.rules[i]
		if !rule.when.Matches(request) {
			continue
		}
		if failing := rule.hosts.FailingTerm(u.LabelSet); failing != "" {
			return false, rule.hosts.String(), failing
		}
	}
	return true, "", ""
}

// Idempotent reports whether a request may run more than once.
func (s *CompiledService) Idempotent(method string, request label.Set) bool {
	switch method {
	case "GET", "HEAD", "OPTIONS":
		return true
	}
	return matchesAny(s.idempotentWhen, request)
}

// Long reports whether a request is expected to run many times longer than
// other requests.
func (s *CompiledService) Long(request label.Set) bool {
	return matchesAny(s.longWhen, request)
}

func matchesAny(selectors []label.Selector, set label.Set) bool {
	return slices.ContainsFunc(selectors, func(s label.Selector) bool { return s.Matches(set) })
}
