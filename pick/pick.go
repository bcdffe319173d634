// Package pick chooses one of the upstreams that can run a request now.
package pick

import "time"

// Locality says how far an upstream is from this host. A nearer one is always
// preferred when it has a free slot.
type Locality uint8

// The localityCount, nearest first.
const (
	SameDomain Locality = iota
	SameRegion
	OtherRegion
	localityCount
)

// Candidate is an upstream with a free slot, as this host sees it.
type Candidate struct {
	// Index is the position of the upstream in the caller's own list.
	Index int
	// Leased says that this host holds its slots on the upstream exclusively.
	Leased bool
	// Limit is the number of requests that this host may run on it, at least 1.
	Limit int
	// Running is the number of requests that this host runs on it.
	Running int
	// Load is the last load that the upstream reported, in requests running;
	// -1 when it reported none lately.
	Load int
	// Latency is the usual response time of the upstream.
	Latency time.Duration
}

// Draw returns a random number from 0 to n-1.
type Draw func(n int) int

// Policy returns the position of the chosen candidate. free is never empty,
// and a policy may reorder it.
type Policy func(free []Candidate, draw Draw) int

// CandidateSet collects the candidates of one decision. It is reused, so that a
// decision allocates nothing.
type CandidateSet struct {
	byLocality [localityCount][]Candidate
}

// Reset removes all candidates and keeps the memory.
func (c *CandidateSet) Reset() {
	for i := range c.byLocality {
		c.byLocality[i] = c.byLocality[i][:0]
	}
}

// Add adds a candidate that has a free slot.
func (c *CandidateSet) Add(l Locality, candidate Candidate) {
	c.byLocality[l] = append(c.byLocality[l], candidate)
}

// HasOwnRegion reports whether a candidate in the own region was added.
func (c *CandidateSet) HasOwnRegion() bool {
	return len(c.byLocality[SameDomain])+len(c.byLocality[SameRegion]) > 0
}

// HasOtherRegion reports whether a candidate in another region was added.
func (c *CandidateSet) HasOtherRegion() bool { return len(c.byLocality[OtherRegion]) > 0 }

// Pick applies the policy to the nearest candidates. Those in another region
// are considered only when far is set. It returns the Index of the chosen
// candidate, or false when there is none.
func (c *CandidateSet) Pick(policy Policy, far bool, draw Draw) (int, bool) {
	for l := range c.byLocality {
		if Locality(l) == OtherRegion && !far {
			break
		}
		if free := c.byLocality[l]; len(free) > 0 {
			return free[policy(free, draw)].Index, true
		}
	}
	return 0, false
}
