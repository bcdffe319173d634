package document

import (
	"fmt"
	"time"

	"wisteriapond/config"
	"wisteriapond/label"
)

// Default values of the fields of a service part.
const (
	DefaultTimeout            = 10 * time.Second
	DefaultQueueLength        = 128 // requests
	DefaultColdStart          = 5 * time.Second
	defaultProbeTimeout       = time.Second
	defaultProbeResponseBytes = 4 << 10
)

type serviceFile struct {
	Service        string         `json:"service"`
	Match          []matchFile    `json:"match"`
	RequestLabels  []labelFile    `json:"request_labels"`
	Selectors      []selectorFile `json:"selectors"`
	IdempotentWhen []string       `json:"idempotent_when"`
	LongWhen       []string       `json:"long_when"`
	Upstreams      []upstreamFile `json:"upstreams"`
	AllowedRegions []string       `json:"allowed_regions"`
	Timeout        Duration       `json:"timeout"`
	Queue          int            `json:"queue"`
	ColdStart      Duration       `json:"cold_start"`
	// ColdRate is in requests per second.
	ColdRate float64    `json:"cold_rate"`
	NotRun   notRunFile `json:"not_run"`
	Probe    probeFile  `json:"probe"`
}

type matchFile struct {
	Host       string   `json:"host"`
	PathPrefix string   `json:"path_prefix"`
	Methods    []string `json:"methods"`
}

type labelFile struct {
	Label      string    `json:"label"`
	Value      string    `json:"value"`
	FromHeader string    `json:"from_header"`
	When       matchFile `json:"when"`
}

type selectorFile struct {
	When  string `json:"when"`
	Hosts string `json:"hosts"`
}

type upstreamFile struct {
	Name          string            `json:"name"`
	Host          string            `json:"host"`
	Address       Address           `json:"address"`
	Region        string            `json:"region"`
	FailureDomain string            `json:"failure_domain"`
	Labels        map[string]string `json:"labels"`
	Slots         int               `json:"slots"`
	Connections   int               `json:"connections"`
}

type notRunFile struct {
	Status int    `json:"status"`
	Header string `json:"header"`
	Value  string `json:"value"`
}

type probeFile struct {
	Path        string   `json:"path"`
	Timeout     Duration `json:"timeout"`
	AnswerLimit Size     `json:"answer_limit"`
}

// ParseService parses a service part, applies the default values and checks the
// result with config.CheckService.
func ParseService(file string, raw []byte) (*config.Service, error) {
	f := serviceDefaults()
	source, err := Decode(file, raw, &f)
	if err != nil {
		return nil, err
	}
	s := f.service()
	for i := range s.Match {
		s.Match[i].Line = source.Line(fmt.Sprintf("match[%d]", i))
	}
	source.ReportAll(config.CheckService(s))
	if err := source.Err(); err != nil {
		return nil, err
	}
	return s, nil
}

// PartFileName returns the file name of a service part, derived from the service
// name in its content. A part without a valid service name is identified by its
// hash.
func PartFileName(raw []byte) string {
	var f serviceFile
	// Problems of other fields are reported by ParseService.
	_, err := Decode("", raw, &f)
	if err != nil || !label.ValidKey(f.Service) {
		return "part " + string(HashOf(raw))
	}
	return FileName(PartKey(f.Service))
}

// serviceDefaults returns the field values of an empty service part.
func serviceDefaults() serviceFile {
	return serviceFile{
		Timeout:   Duration(DefaultTimeout),
		Queue:     DefaultQueueLength,
		ColdStart: Duration(DefaultColdStart),
		Probe:     probeFile{Timeout: Duration(defaultProbeTimeout), AnswerLimit: defaultProbeResponseBytes},
	}
}

// coldRate returns a rate in thousandths of a request per second. A rate out of
// bounds, which config.CheckService refuses, is replaced before it is converted.
func coldRate(perSecond float64) int {
	const scale = 1000
	switch {
	case perSecond == 0:
		return 0
	case !(perSecond > 0 && perSecond <= config.MaxColdRate/scale):
		return -1
	}
	// At least one, since 0 means no limit.
	return max(1, int(perSecond*scale))
}

func (f *serviceFile) service() *config.Service {
	s := &config.Service{
		Name:           f.Service,
		IdempotentWhen: f.IdempotentWhen,
		LongWhen:       f.LongWhen,
		AllowedRegions: f.AllowedRegions,
		Timeout:        time.Duration(f.Timeout),
		Queue:          f.Queue,
		ColdStart:      time.Duration(f.ColdStart),
		ColdRate:       coldRate(f.ColdRate),
		NotRun:         config.NotRunForm(f.NotRun),
		Probe: config.Probe{
			Path:        f.Probe.Path,
			Timeout:     time.Duration(f.Probe.Timeout),
			AnswerLimit: int64(f.Probe.AnswerLimit),
		},
	}
	for _, m := range f.Match {
		s.Match = append(s.Match, m.match())
	}
	for _, l := range f.RequestLabels {
		s.Labels = append(s.Labels, config.LabelRule{
			Label:      l.Label,
			Value:      l.Value,
			FromHeader: l.FromHeader,
			When:       l.When.match(),
		})
	}
	for _, r := range f.Selectors {
		s.Selectors = append(s.Selectors, config.SelectorRule(r))
	}
	for _, u := range f.Upstreams {
		s.Upstreams = append(s.Upstreams, u.upstream())
	}
	return s
}

func (m *matchFile) match() config.Match {
	return config.Match{Host: m.Host, PathPrefix: m.PathPrefix, Methods: m.Methods}
}

func (u *upstreamFile) upstream() config.Upstream {
	return config.Upstream{
		Name:          u.Name,
		Host:          u.Host,
		Address:       string(u.Address),
		Region:        u.Region,
		FailureDomain: u.FailureDomain,
		Labels:        sortedPairs(u.Labels),
		Slots:         u.Slots,
		Connections:   u.Connections,
	}
}
