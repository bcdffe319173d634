package config

import (
	"fmt"
	"strings"
	"time"

	"wisteriapond/label"
)

// Limits of configuration values.
const (
	MaxServices       = 4096
	MaxUpstreams      = 4096 // per service
	MaxLabels         = 64   // per upstream, and rules per service
	MaxSlots          = 4096 // per upstream
	MaxQueue          = 65536
	MaxRequestTimeout = time.Hour
	MaxWarmUp         = 10 * time.Minute
	// MaxColdRate is in thousandths of a request per second.
	MaxColdRate           = 1_000_000_000
	MaxEntryHosts         = 4096
	MaxProbeResponseBytes = 1 << 20
	minNotRunStatus       = 400
	maxNotRunStatus       = 599
	maxPercent            = 100
	maxNameBytes          = 128
	maxMatchEntries       = 256
	maxSelectorRules      = 256
	maxConnections        = 65536
)

// CheckManifest returns every reason to reject the manifest, and none if it is
// valid.
func CheckManifest(m *Manifest) []Problem {
	c := checker{document: manifestFile}
	c.require(m.Generation > 0, "generation", "must be at least 1")
	c.between("entry_hosts", m.EntryHosts, 1, MaxEntryHosts)
	c.require(len(m.Services) <= MaxServices, "services", "must have at most %d services", MaxServices)
	c.between("links.long_percent", m.Links.LongPercent, 1, maxPercent)
	c.require(m.Links.BytesPerSecond >= 0, "links.bytes_per_second", "must not be negative")
	c.measuring(m)
	c.require(len(m.EmptiedDomains) <= maxRegions, "emptied_domains", "must have at most %d failure domains", maxRegions)
	for _, ref := range m.Services {
		c.name("services."+ref.Name, ref.Name)
		c.require(ref.Hash.valid(), "services."+ref.Name, "must be a SHA-256 in lower-case hexadecimal")
	}
	return c.problems
}

// CheckService returns every reason to reject the service part, and none if it
// is valid.
func CheckService(s *Service) []Problem {
	c := checker{document: partFile(s.Name)}
	c.name("service", s.Name)
	c.require(len(s.Match) > 0, "match", "at least one entry is required")
	c.require(len(s.Match) <= maxMatchEntries, "match", "must have at most %d entries", maxMatchEntries)
	for i, match := range s.Match {
		c.match(fmt.Sprintf("match[%d]", i), match)
	}
	c.labelRules(s.Labels)
	c.selectorRules(s.Selectors)
	c.selectors("idempotent_when", s.IdempotentWhen)
	c.selectors("long_when", s.LongWhen)
	c.durationBetween("timeout", s.Timeout, time.Millisecond, MaxRequestTimeout)
	c.between("queue", s.Queue, 0, MaxQueue)
	c.durationBetween("cold_start", s.ColdStart, 0, MaxWarmUp)
	c.require(s.ColdRate >= 0 && s.ColdRate <= MaxColdRate, "cold_rate", "must be between 0 and %d requests per second", MaxColdRate/1000)
	c.notRun(s.NotRun)
	c.probe(s.Probe)
	c.upstreams(s.Upstreams)
	c.regions("allowed_regions", s.AllowedRegions)
	return c.problems
}

// manifestFile is the document name of the manifest in problems.
const manifestFile = "manifest.json"

// partFile returns the document name of a service part in problems.
func partFile(service string) string { return "services/" + service + ".json" }

// hashDigits is the length of a hexadecimal SHA-256.
const hashDigits = 64

func (h Hash) valid() bool {
	return len(h) == hashDigits && strings.Trim(string(h), "0123456789abcdef") == ""
}

// checker collects the problems of one document.
type checker struct {
	document string
	problems []Problem
}

// require reports a problem with the field unless ok is true.
func (c *checker) require(ok bool, field, format string, args ...any) {
	if ok {
		return
	}
	c.problems = append(c.problems, Problem{Document: c.document, Field: field, Reason: fmt.Sprintf(format, args...)})
}

func (c *checker) between(field string, value, low, high int) {
	c.require(value >= low && value <= high, field, "must be between %d and %d, got %d", low, high, value)
}

func (c *checker) durationBetween(field string, value, low, high time.Duration) {
	c.require(value >= low && value <= high, field, "must be between %v and %v, got %v", low, high, value)
}

func (c *checker) name(field, name string) {
	ok := len(name) <= maxNameBytes && label.ValidKey(name)
	c.require(ok, field, "invalid name %q", name)
}

func (c *checker) measuring(m *Manifest) {
	budget := m.Measuring
	c.require(budget.RequestsPerMinute >= 0, "measuring.requests_per_minute", "must not be negative")
	c.require(budget.BytesPerMinute >= 0, "measuring.bytes_per_minute", "must not be negative")
	// With less than one probe per minute and host, the hosts could not divide
	// the budget without coordination, and could exceed it in total.
	sufficient := budget.RequestsPerMinute <= 0 || budget.RequestsPerMinute >= m.EntryHosts
	c.require(sufficient, "measuring.requests_per_minute", "must be 0 or at least entry_hosts (%d)", m.EntryHosts)
}

func (c *checker) match(field string, match Match) {
	ok := match.PathPrefix == "" || strings.HasPrefix(match.PathPrefix, "/")
	c.require(ok, field+".path_prefix", "must start with /")
	// The path of a request ends before its query.
	c.require(!strings.Contains(match.PathPrefix, "?"), field+".path_prefix", "must not contain ?")
	for _, method := range match.Methods {
		c.require(method != "" && method == strings.ToUpper(method), field+".methods", "must be in upper case, got %q", method)
	}
}

func (c *checker) labelRules(rules []LabelRule) {
	c.require(len(rules) <= MaxLabels, "request_labels", "must have at most %d rules", MaxLabels)
	for i, rule := range rules {
		field := fmt.Sprintf("request_labels[%d]", i)
		c.require(label.ValidKey(rule.Label), field+".label", "invalid key %q", rule.Label)
		// A rule for this label could let callers choose the method that selectors
		// are matched against.
		c.require(rule.Label != methodLabel, field+".label", "%q is set by the system", rule.Label)
		exactlyOne := (rule.Value == "") != (rule.FromHeader == "")
		c.require(exactlyOne, field, "exactly one of value and from_header is required")
		c.require(rule.Value == "" || label.ValidValue(rule.Value), field+".value", "invalid value %q", rule.Value)
		c.match(field+".when", rule.When)
	}
}

func (c *checker) selectorRules(rules []SelectorRule) {
	c.require(len(rules) <= maxSelectorRules, "selectors", "must have at most %d rules", maxSelectorRules)
	for i, rule := range rules {
		field := fmt.Sprintf("selectors[%d]", i)
		c.selector(field+".when", rule.When)
		c.selector(field+".hosts", rule.Hosts)
	}
}

func (c *checker) selectors(field string, sources []string) {
	c.require(len(sources) <= maxSelectorRules, field, "must have at most %d entries", maxSelectorRules)
	for i, source := range sources {
		c.selector(fmt.Sprintf("%s[%d]", field, i), source)
	}
}

func (c *checker) selector(field, source string) {
	if _, err := label.Parse(source); err != nil {
		c.require(false, field, "%v", err)
	}
}

func (c *checker) notRun(form NotRunForm) {
	if form == (NotRunForm{}) {
		return
	}
	c.between("not_run.status", form.Status, minNotRunStatus, maxNotRunStatus)
	// The header is required because servers that fail after they have started to
	// run a request send the same status. The value is required because every
	// response without the header would match an empty one.
	c.require(form.Header != "", "not_run.header", "is required")
	c.require(form.Value != "", "not_run.value", "is required")
}

func (c *checker) probe(probe Probe) {
	if probe.Path == "" {
		return
	}
	c.require(strings.HasPrefix(probe.Path, "/"), "probe.path", "must start with /")
	c.durationBetween("probe.timeout", probe.Timeout, time.Millisecond, time.Minute)
	ok := probe.AnswerLimit >= 1 && probe.AnswerLimit <= MaxProbeResponseBytes
	c.require(ok, "probe.answer_limit", "must be between 1 B and %d B", MaxProbeResponseBytes)
}

func (c *checker) upstreams(upstreams []Upstream) {
	c.require(len(upstreams) <= MaxUpstreams, "upstreams", "must have at most %d upstreams", MaxUpstreams)
	names := make(map[string]bool, len(upstreams))
	for i, u := range upstreams {
		field := fmt.Sprintf("upstreams[%d]", i)
		c.name(field+".name", u.Name)
		c.name(field+".host", u.Host)
		c.require(!names[u.Name], field+".name", "%q is used twice", u.Name)
		names[u.Name] = true
		c.require(u.Address != "", field+".address", "is required")
		c.location(field+".region", u.Region)
		c.location(field+".failure_domain", u.FailureDomain)
		c.between(field+".slots", u.Slots, 1, MaxSlots)
		c.between(field+".connections", u.Connections, 1, maxConnections)
		c.upstreamLabels(field+".labels", u.Labels)
	}
}

// location checks the name of a region or failure domain, which is also used as
// a label value.
func (c *checker) location(field, name string) {
	if name == "" {
		c.require(false, field, "is required")
		return
	}
	c.require(label.ValidValue(name), field, "invalid name %q", name)
}

func (c *checker) upstreamLabels(field string, labels []LabelPair) {
	c.require(len(labels) <= MaxLabels, field, "must have at most %d labels", MaxLabels)
	for _, pair := range labels {
		c.require(label.ValidKey(pair.Key), field, "invalid key %q", pair.Key)
		c.require(!isUpstreamLabel(pair.Key), field+"."+pair.Key, "is set by the system")
		c.require(label.ValidValue(pair.Value), field, "invalid value %q", pair.Value)
	}
}
