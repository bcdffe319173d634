// Package config holds the published configuration as typed documents, and
// the rules by which a configuration is accepted. It knows no file format;
// package document reads the documents.
package config

import (
	"strconv"
	"time"
)

// Hash is the SHA-256 of a document's bytes, in hexadecimal.
type Hash string

// Version identifies a configuration. Versions are totally ordered, so that
// two manifests with the same generation have one outcome on every host.
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

// Manifest is the deployment-wide document. It names the content of every
// service part by hash, so that a configuration is taken whole or not at all.
type Manifest struct {
	Generation uint64
	Services   []ServiceRef
	// EntryHosts is the largest number of entry host processes that run at
	// once, replacements included. The measuring budget is divided by it.
	EntryHosts int
	Measuring  Measuring
	Links      Links
}

// ServiceRef names the part of one service.
type ServiceRef struct {
	Name string
	Hash Hash
}

// Measuring is the budget for probes of the whole deployment. Zero requests
// turn probes off.
type Measuring struct {
	RequestsPerMinute int
	BytesPerMinute    int64
}

// Links describes the links between regions.
type Links struct {
	// BytesPerSecond is the rate of a link between two regions, each way.
	BytesPerSecond int64
	// LongPercent is the part of a link that long answers may use.
	LongPercent int
}

// Service is the part of one service.
type Service struct {
	Name string
	// Match lists the requests that belong to the service; any entry suffices.
	Match     []Match
	Labels    []LabelRule
	Selectors []SelectorRule
	// IdempotentWhen and LongWhen are selectors over request labels; any entry
	// suffices. GET, HEAD and OPTIONS are idempotent without being listed.
	IdempotentWhen []string
	LongWhen       []string
	Upstreams      []Upstream
	// Timeout is the time limit of a request that brings none.
	Timeout time.Duration
	// Queue is the number of requests that may wait at one entry host.
	Queue int
	// ColdStart is the time over which a new upstream goes from one slot to
	// all of its slots.
	ColdStart time.Duration
	NotRun    NotRunForm
	Probe     Probe
}

// Match describes requests by host, path prefix and method. Empty fields match
// everything.
type Match struct {
	Host       string
	PathPrefix string
	Methods    []string
	// Line is the line of the entry in its document, 0 when not known. It
	// serves problems that only the comparison with other services shows.
	Line int
}

// LabelRule puts a label on the requests that match When. The value is fixed
// or comes from a request header.
type LabelRule struct {
	Label      string
	Value      string
	FromHeader string
	When       Match
}

// SelectorRule says that requests matching When may go only to upstreams
// whose labels match Hosts. All rules that match apply together.
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
	// Slots is the number of requests that the backend server runs at once.
	Slots int
	// Connections is the number of connections it accepts from all entry
	// hosts together.
	Connections int
	// Instance names one run of the backend server, which refuses requests for
	// another one. Empty when it checks none.
	Instance string
}

// LabelPair is one label of an upstream.
type LabelPair struct {
	Key   string
	Value string
}

// NotRunForm is the answer by which a backend server says that it did not run
// a request: a status together with a header and its value.
type NotRunForm struct {
	Status int
	Header string
	Value  string
}

// Probe describes the request that measures a backend server.
type Probe struct {
	Path    string
	Timeout time.Duration
	// AnswerLimit is the number of bytes at which the answer is cut off.
	AnswerLimit int64
}

// Problem is one reason why a document is refused. Field is the path of the
// field, such as "upstreams[2].slots". Line counts from 1; 0 means that the
// line is not known.
type Problem struct {
	Document string
	Line     int
	Field    string
	Reason   string
}

// Error returns the problem as "document:line: field: reason".
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
