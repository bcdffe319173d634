// Package generation decides how a host moves from one version of the
// configuration to the next: from which source it requests missing documents
// and how often, and which hosts watch the configuration service on behalf of
// all others.
package generation

import (
	"slices"
	"time"

	"wisteriapond/config"
)

const (
	// MaxPartsInFlight bounds the number of parts that are requested at the
	// same time.
	MaxPartsInFlight = 32
	// MaxPartsPerPeer bounds the number of parts in one request to a peer.
	MaxPartsPerPeer = 16
	// maxSources bounds the number of peers used as sources of a version.
	maxSources = 8
	// responseTimeout is the time to wait for a part before the next source is
	// tried.
	responseTimeout = time.Second
	// minBackoff is the wait after all sources have failed once. It doubles
	// with each further round, up to maxBackoff.
	minBackoff = 500 * time.Millisecond
	maxBackoff = 10 * time.Second
)

// Part identifies the document of one service.
type Part struct {
	Service string
	Hash    config.Hash
}

// Request is a request for parts from one source. An empty Peer means the
// configuration service.
type Request struct {
	Peer  string
	Parts []Part
}

// Fetcher tracks the parts that a version still lacks and decides when to
// request them, and from which source.
type Fetcher struct {
	sources []string
	parts   []*pendingPart
}

// pendingPart is a part that has not been received yet.
type pendingPart struct {
	part Part
	// sourcesTried is the number of sources that failed in this round; the
	// peers are tried first, the configuration service last.
	sourcesTried int
	rounds       int
	// inFlight is set while a request for the part is in flight. nextAt is then
	// its deadline, and otherwise the earliest instant of the next request.
	inFlight bool
	nextAt   time.Duration
}

// NewFetcher returns a fetcher of the given parts without duplicates.
func NewFetcher(parts []Part) *Fetcher {
	f := &Fetcher{}
	seen := make(map[config.Hash]bool, len(parts))
	for _, part := range parts {
		if !seen[part.Hash] {
			seen[part.Hash] = true
			f.parts = append(f.parts, &pendingPart{part: part})
		}
	}
	return f
}

// AddSource adds a peer that may have the parts of the version.
func (f *Fetcher) AddSource(peer string) {
	if peer != "" && len(f.sources) < maxSources && !slices.Contains(f.sources, peer) {
		f.sources = append(f.sources, peer)
	}
}

// MissingCount returns the number of parts that have not been received.
func (f *Fetcher) MissingCount() int { return len(f.parts) }

// MarkReceived removes a part from the missing ones and reports whether it was
// missing.
func (f *Fetcher) MarkReceived(hash config.Hash) bool {
	before := len(f.parts)
	f.parts = slices.DeleteFunc(f.parts, func(p *pendingPart) bool { return p.part.Hash == hash })
	return len(f.parts) < before
}

// RecordFailure records for all matching parts in flight that the source does
// not have the part, could not be read, or returned a different document. The
// next source is tried, after a backoff if this was the last one.
func (f *Fetcher) RecordFailure(now time.Duration, match func(Part) bool) {
	for _, p := range f.parts {
		if match(p.part) && p.inFlight {
			f.tryNextSource(now, p)
		}
	}
}

// tryNextSource makes the part due from its next source. After the last source it
// starts a new round, after a backoff.
func (f *Fetcher) tryNextSource(now time.Duration, p *pendingPart) {
	p.inFlight = false
	p.nextAt = now
	p.sourcesTried++
	if p.sourcesTried <= len(f.sources) {
		return
	}
	p.sourcesTried = 0
	p.nextAt = now + Backoff(p.rounds)
	p.rounds++
}

// Backoff returns the wait after a failure: minBackoff, doubled for each of the
// given number of earlier failures, up to maxBackoff.
func Backoff(failures int) time.Duration {
	wait := minBackoff
	for range failures {
		wait = min(2*wait, maxBackoff)
	}
	return wait
}

// Requests returns the requests that are due, in the order of the manifest. At
// most MaxPartsInFlight parts are in flight at a time.
func (f *Fetcher) Requests(now time.Duration) []Request {
	inFlight := 0
	for _, p := range f.parts {
		if p.inFlight && now >= p.nextAt {
			f.tryNextSource(now, p)
		}
		if p.inFlight {
			inFlight++
		}
	}
	var requests []Request
	for _, p := range f.parts {
		if inFlight >= MaxPartsInFlight {
			break
		}
		if p.inFlight || now < p.nextAt {
			continue
		}
		p.inFlight = true
		p.nextAt = now + responseTimeout
		inFlight++
		requests = appendPart(requests, f.source(p), p.part)
	}
	return requests
}

// source returns the next source of a part. It spreads the parts over the
// peers; an empty string means the configuration service.
func (f *Fetcher) source(p *pendingPart) string {
	if p.sourcesTried >= len(f.sources) {
		return ""
	}
	first := int(hashName(string(p.part.Hash)) % uint64(len(f.sources)))
	return f.sources[(first+p.sourcesTried)%len(f.sources)]
}

func appendPart(requests []Request, peer string, part Part) []Request {
	for i := range requests {
		if requests[i].Peer == peer && len(requests[i].Parts) < MaxPartsPerPeer {
			requests[i].Parts = append(requests[i].Parts, part)
			return requests
		}
	}
	return append(requests, Request{Peer: peer, Parts: []Part{part}})
}
