// Package config defines the published configuration as Go types, validates
// it, and compiles it into an immutable routing table. It is independent of
// the file format; package document parses the documents.
package config

import (
	"strconv"
	"time"
)

// Hash is the SHA-256 of a document's bytes, in hexadecimal.
type Hash string

// Version identifies a configuration. Versions are totally ordered: of two
// manifests with the same generation, every host chooses the same one.
type Version struct {
	Generation uint64
	Hash       Hash
}

// Less reports whether v is older than w.
func (v Version) Less(w Version) bool {
	if v.Generation != w.Generation {
		return v.Generation < w.Generation
	}
	return v.Hash < w.Hash
}

// Manifest is the deployment-wide document. It identifies every service part
// by the hash of its content, so that a configuration is applied either
// completely or not at all.
type Manifest struct {
	Generation uint64
	Services   []ServiceRef
	// EntryHosts is the maximum number of entry host processes that run at the
	// same time, including replacements. The probe budget is divided by it.
	EntryHosts int
	Measuring  Measuring
	Links      Links
	// EmptiedDomains are the failure domains to whose upstreams nothing is sent.
	EmptiedDomains []string
}

// ServiceRef identifies the part of one service.
type ServiceRef struct {
	Name string
	Hash Hash
}

// Measuring is the probe budget of the entire deployment. RequestsPerMinute 0
// disables probes.
type Measuring struct {
	RequestsPerMinute int
	BytesPerMinute    int64
}

// Links describes the links between regions.
type Links struct {
	// BytesPerSecond is the bandwidth of a link between two regions, in each
	// direction.
	BytesPerSecond int64
	// LongPercent is the percentage of a link that the responses to long
	// requests may use.
	LongPercent int
}

// Service is the part of the configuration that describes one service.
type Service struct {
	Name string
	// Match lists the requests that belong to the service. A request belongs to
	// it when at least one entry matches.
	Match     []Match
	Labels    []LabelRule
	Selectors []SelectorRule
	// IdempotentWhen and LongWhen are selectors over request labels, of which at
	// least one has to match. GET, HEAD and OPTIONS are always idempotent.
	IdempotentWhen []string
	LongWhen       []string
	Upstreams      []Upstream
	// Timeout is the time limit of requests whose caller sets none.
	Timeout time.Duration
	// Queue is the maximum number of requests of the service that wait at one
	// entry host.
	Queue int
	// ColdStart is the warm-up time over which the number of usable slots of a
	// new upstream rises from one to all.
	ColdStart time.Duration
	NotRun    NotRunForm
	Probe     Probe
	// AllowedRegions are the regions whose upstreams may run the requests. Empty
	// means every region.
	AllowedRegions []string
	// ColdRate is the number of requests per second, in thousandths, that a new
	// upstream bears from all entry hosts in total while it warms up. 0 means no
	// limit.
	ColdRate int
}

// Match describes requests by host, path prefix and method. An empty field
// matches everything.
type Match struct {
	Host       string
	PathPrefix string
	Methods    []string
	// Line is the line number of the entry in its document, 0 if unknown. It is
	// used to report conflicts with other services.
	Line int
}

// LabelRule sets a label on the requests that match When. The value is either
// fixed or taken from a request header.
type LabelRule struct {
	Label      string
	Value      string
	FromHeader string
	When       Match
}

// SelectorRule restricts requests whose labels match When to upstreams whose
// labels match Hosts. All rules that match a request apply.
type SelectorRule struct {
	When  string
	Hosts string
}

// Upstream is a backend server as a member of a service.
type Upstream struct {
	Name          string
	Host          string
	Address       string
	Region        string
	FailureDomain string
	Labels        []LabelPair
	// Slots is the number of requests that the backend server runs
	// concurrently.
	Slots int
	// Connections is the number of connections that the backend server accepts
	// from all entry hosts in total.
	Connections int
	// Instance identifies one run of the backend server, which rejects requests
	// addressed to a different instance. It is empty if the server does not
	// check it.
	Instance string
}

// LabelPair is one label of an upstream.
type LabelPair struct {
	Key   string
	Value string
}

// NotRunForm describes the response with which a backend server reports that
// it did not run a request: a status, a header and the value of that header.
// With status 0 the header alone is sufficient.
type NotRunForm struct {
	Status int
	Header string
	Value  string
}

// Probe describes the request that measures a backend server.
type Probe struct {
	Path    string
	Timeout time.Duration
	// AnswerLimit is the number of bytes after which the response is truncated.
	AnswerLimit int64
}

// Problem is one reason why a document is rejected. Field is the path of the
// invalid field, such as "upstreams[2].slots". Line numbers start at 1; 0 means
// that the line is unknown.
type Problem struct {
	Document string
	Line     int
	Field    string
	Reason   string
}

// Error returns the problem in the form "document:line: field: reason".
func (p Problem) Error() string {
	text := p.Document
	if p.Line > 0 {
		text += ":" + strconv.Itoa(p.Line)
	}
	if p.Field != "" {
		text += ": " + p.Field
	}
	return text + ": " + p.Reason
}
