// Package generation decides how a host gets from one version of the
// configuration to the next: where it asks for missing documents, how often,
// and which hosts watch the configuration service for all others.
package generation

import (
	"slices"
	"time"

	"wisteriapond/config"
)

const (
	// MaxPartsInFlight bounds the parts that are asked for at once.
	MaxPartsInFlight = 32
	// MaxPartsPerPeer bounds the parts in one request to a peer.
	MaxPartsPerPeer = 16
	// maxSources bounds the peers that are remembered as having a version.
	maxSources = 8
	// responseTimeout is the wait for an answer before another source is asked.
	responseTimeout = time.Second
	// minBackoff is the wait after all sources failed; it doubles up to
	// longestPause.
	minBackoff = 500 * time.Millisecond
	maxBackoff = 10 * time.Second
)

// Part names the document of one service.
type Part struct {
	Service string
	Hash    config.Hash
}

// Request asks one source for parts. An empty Peer stands for the
// configuration service.
type Request struct {
	Peer  string
	Parts []Part
}

// Fetcher is the set of parts that a version still misses.
type Fetcher struct {
	sources []string
	parts   []*pendingPart
}

// pendingPart is one part that has not come yet.
type pendingPart struct {
	part Part
	// sourcesTried is the number of sources asked in this round; the peers come
	// first, the configuration service last.
	sourcesTried int
	rounds       int
	// inFlight is set while a request is under way, until at.
	inFlight bool
	nextAt   time.Duration
}

// NewFetcher returns a collection of the given parts, each once.
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

// AddSource notes that a peer has the version in force.
func (f *Fetcher) AddSource(peer string) {
	if peer != "" && len(f.sources) < maxSources && !slices.Contains(f.sources, peer) {
		f.sources = append(f.sources, peer)
	}
}

// Missing returns the number of parts that have not come.
func (f *Fetcher) Missing() int { return len(f.parts) }

// Received takes a part off the list. It reports whether the part was missing.
func (f *Fetcher) Received(hash config.Hash) bool {
	before := len(f.parts)
	f.parts = slices.DeleteFunc(f.parts, func(m *pendingPart) bool { return m.part.Hash == hash })
	return len(f.parts) < before
}

// Failed notes that a source has no such part, could not be read, or had
// another document than the one wanted. The next source is asked, after a
// pause if it was the last.
func (f *Fetcher) Failed(now time.Duration, match func(Part) bool) {
	for _, m := range f.parts {
		if match(m.part) && m.inFlight {
			f.tryNextSource(now, m)
		}
	}
}

func (f *Fetcher) tryNextSource(now time.Duration, m *pendingPart) {
	m.inFlight = false
	m.nextAt = now
	m.sourcesTried++
	if m.sourcesTried <= len(f.sources) {
		return
	}
	m.sourcesTried = 0
	m.nextAt = now + Backoff(m.rounds)
	m.rounds++
}

// Backoff returns the wait after the given number of failures.
func Backoff(failures int) time.Duration {
	wait := minBackoff
	for range failures {
		wait = min(2*wait, maxBackoff)
	}
	return wait
}

// Requests returns the requests that are due, in the order of the manifest.
// At most MaxRequests parts are under way at a time.
func (f *Fetcher) Requests(now time.Duration) []Request {
	inFlight := 0
	for _, m := range f.parts {
		if m.inFlight && now >= m.nextAt {
			f.tryNextSource(now, m)
		}
		if m.inFlight {
			inFlight++
		}
	}
	var requests []Request
	for _, m := range f.parts {
		if inFlight >= MaxPartsInFlight {
			break
		}
		if m.inFlight || now < m.nextAt {
			continue
		}
		m.inFlight = true
		m.nextAt = now + responseTimeout
		inFlight++
		requests = appendPart(requests, f.source(m), m.part)
	}
	return requests
}

// source spreads the parts over the peers that have the version.
func (f *Fetcher) source(m *pendingPart) string {
	if m.sourcesTried >= len(f.sources) {
		return ""
	}
	first := int(HashOf(string(m.part.Hash)) % uint64(len(f.sources)))
	return f.sources[(first+m.sourcesTried)%len(f.sources)]
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
