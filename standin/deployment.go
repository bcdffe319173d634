package standin

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"sync"

	"wisteriapond/document"
)

// Part is a service part in its published JSON form.
type Part struct {
	Service        string         `json:"service"`
	Match          []MatchRule    `json:"match"`
	RequestLabels  []LabelRule    `json:"request_labels,omitempty"`
	Selectors      []SelectorRule `json:"selectors,omitempty"`
	IdempotentWhen []string       `json:"idempotent_when,omitempty"`
	LongWhen       []string       `json:"long_when,omitempty"`
	Timeout        string         `json:"timeout,omitempty"`
	ColdStart      string         `json:"cold_start,omitempty"`
	NotRun         NotRunForm     `json:"not_run"`
	Upstreams      []Upstream     `json:"upstreams"`
}

// MatchRule is one entry of "match".
type MatchRule struct {
	PathPrefix string   `json:"path_prefix,omitempty"`
	Methods    []string `json:"methods,omitempty"`
}

// LabelRule is one entry of "request_labels".
type LabelRule struct {
	Label      string `json:"label"`
	Value      string `json:"value,omitempty"`
	FromHeader string `json:"from_header,omitempty"`
}

// SelectorRule is one entry of "selectors".
type SelectorRule struct {
	When  string `json:"when"`
	Hosts string `json:"hosts"`
}

// NotRunForm is the entry "not_run": how the upstreams report that they did not
// run a request.
type NotRunForm struct {
	Status int    `json:"status"`
	Header string `json:"header"`
	Value  string `json:"value"`
}

// Upstream is one entry of "upstreams".
type Upstream struct {
	Name          string            `json:"name"`
	Host          string            `json:"host"`
	Address       string            `json:"address"`
	Region        string            `json:"region"`
	FailureDomain string            `json:"failure_domain"`
	Labels        map[string]string `json:"labels,omitempty"`
	Slots         int               `json:"slots"`
	Connections   int               `json:"connections"`
}

// DefaultNotRunForm returns the form in which a Backend reports that it did not
// run a request.
func DefaultNotRunForm() NotRunForm {
	return NotRunForm{Status: NotRunStatus, Header: NotRunHeader, Value: NotRunValue}
}

// Deployment publishes successive generations of a configuration on a platform.
// An invalid service part is only in the generation that it was published with;
// the next generation has the last valid part again.
type Deployment struct {
	platform *Platform

	mu         sync.Mutex
	generation uint64
	// parts holds the last valid part of each service.
	parts map[string][]byte
}

// NewDeployment returns a deployment without services.
func NewDeployment(platform *Platform) *Deployment {
	return &Deployment{platform: platform, parts: make(map[string][]byte)}
}

// Generation returns the last published generation, or 0 before the first one.
func (d *Deployment) Generation() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.generation
}

// Part returns the last valid part of a service, or nil if there is none.
func (d *Deployment) Part(service string) []byte {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.parts[service]
}

// Publish publishes the given parts in one generation and returns its number.
// Other services are unchanged.
func (d *Deployment) Publish(parts ...Part) (uint64, error) {
	raw := make(map[string][]byte, len(parts))
	for _, part := range parts {
		text, err := json.MarshalIndent(part, "", "  ")
		if err != nil {
			return 0, fmt.Errorf("part of service %s: %w", part.Service, err)
		}
		raw[part.Service] = text
	}
	return d.PublishRaw(raw), nil
}

// PublishRaw publishes service parts, by service name, in one generation and
// returns its number. Invalid parts are published as well.
func (d *Deployment) PublishRaw(parts map[string][]byte) uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	published := maps.Clone(d.parts)
	for service, raw := range parts {
		published[service] = raw
		if _, err := document.ParseService(service, raw); err == nil {
			d.parts[service] = raw
		}
	}
	d.generation++
	d.platform.PublishConfiguration(d.generation, published, nil)
	return d.generation
}

// RemoveHost publishes the configuration without the upstreams on a host and
// returns the sorted names of the changed services. It publishes nothing if no
// service has an upstream there.
func (d *Deployment) RemoveHost(host string) ([]string, error) {
	parts, err := d.decodeParts()
	if err != nil {
		return nil, err
	}
	changed := make(map[string][]byte)
	for service, part := range parts {
		kept := slices.DeleteFunc(slices.Clone(part.Upstreams), func(u Upstream) bool { return u.Host == host })
		if len(kept) == len(part.Upstreams) {
			continue
		}
		part.Upstreams = kept
		raw, err := json.MarshalIndent(part, "", "  ")
		if err != nil {
			return nil, fmt.Errorf("part of service %s: %w", service, err)
		}
		changed[service] = raw
	}
	if len(changed) == 0 {
		return nil, nil
	}
	d.PublishRaw(changed)
	return sortedKeys(changed), nil
}

func (d *Deployment) decodeParts() (map[string]Part, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	parts := make(map[string]Part, len(d.parts))
	for service, raw := range d.parts {
		var part Part
		if _, err := document.Decode(service, raw, &part); err != nil {
			return nil, err
		}
		parts[service] = part
	}
	return parts, nil
}

func sortedKeys[V any](m map[string]V) []string {
	names := make([]string, 0, len(m))
	for name := range m {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
