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
	// answerTime is the wait for an answer before another source is asked.
	answerTime = time.Second
	// firstPause is the wait after all sources failed; it doubles up to
	// longestPause.
	firstPause   = 500 * time.Millisecond
	longestPause = 10 * time.Second
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
	parts   []*missing
}

// missing is one part that has not come yet.
type missing struct {
	part Part
	// tried is the number of sources asked in this round; the peers come
	// first, the configuration service last.
	tried  int
	rounds int
	// waiting is set while a request is under way, until at.
	waiting bool
	at      time.Duration
}

// NewFetcher returns a collection of the given parts, each once.
func NewFetcher(parts []Part) *Fetcher {
	c := &Fetcher{}
	seen := make(map[config.Hash]bool, len(parts))
	for _, part := range parts {
		if !seen[part.Hash] {
			seen[part.Hash] = true
			c.parts = append(c.parts, &missing{part: part})
		}
	}
	return c
}

// AddSource notes that a peer has the version in force.
func (c *Fetcher) AddSource(peer string) {
	if peer != "" && len(c.sources) < maxSources && !slices.Contains(c.sources, peer) {
		c.sources = append(c.sources, peer)
	}
}

// Missing returns the number of parts that have not come.
func (c *Fetcher) Missing() int { return len(c.parts) }

// Received takes a part off the list. It reports whether the part was missing.
func (c *Fetcher) Received(hash config.Hash) bool {
	before := len(c.parts)
	c.parts = slices.DeleteFunc(c.parts, func(m *missing) bool { return m.part.Hash == hash })
	return len(c.parts) < before
}

// Failed notes that a source has no such part, could not be read, or had
// another document than the one wanted. The next source is asked, after a
// pause if it was the last.
func (c *Fetcher) Failed(now time.Duration, match func(Part) bool) {
	for _, m := range c.parts {
		if match(m.part) && m.waiting {
			c.next(now, m)
		}
	}
}

func (c *Fetcher) next(now time.Duration, m *missing) {
	m.waiting = false
	m.at = now
	m.tried++
	if m.tried <= len(c.sources) {
		return
	}
	m.tried = 0
	m.at = now + Backoff(m.rounds)
	m.rounds++
}

// Backoff returns the wait after the given number of failures.
func Backoff(failures int) time.Duration {
	pause := firstPause
	for range failures {
		pause = min(2*pause, longestPause)
	}
	return pause
}

// Requests returns the requests that are due, in the order of the manifest.
// At most MaxRequests parts are under way at a time.
func (c *Fetcher) Requests(now time.Duration) []Request {
	open := 0
	for _, m := range c.parts {
		if m.waiting && now >= m.at {
			c.next(now, m)
		}
		if m.waiting {
			open++
		}
	}
	var requests []Request
	for _, m := range c.parts {
		if open >= MaxPartsInFlight {
			break
		}
		if m.waiting || now < m.at {
			continue
		}
		m.waiting = true
		m.at = now + answerTime
		open++
		requests = addTo(requests, c.source(m), m.part)
	}
	return requests
}

// source spreads the parts over the peers that have the version.
func (c *Fetcher) source(m *missing) string {
	if m.tried >= len(c.sources) {
		return ""
	}
	first := int(HashOf(string(m.part.Hash)) % uint64(len(c.sources)))
	return c.sources[(first+m.tried)%len(c.sources)]
}

func addTo(requests []Request, peer string, part Part) []Request {
	for i := range requests {
		if requests[i].Peer == peer && len(requests[i].Parts) < MaxPartsPerPeer {
			requests[i].Parts = append(requests[i].Parts, part)
			return requests
		}
	}
	return append(requests, Request{Peer: peer, Parts: []Part{part}})
}
