// Package pick chooses an upstream for a request among those with a free slot.
package pick

import "time"

// Locality is the distance class of an upstream. A nearer upstream with a free
// slot is always preferred.
type Locality uint8

// Localities, nearest first. SameDomain means the failure domain of this host.
const (
	SameDomain Locality = iota
	SameRegion
	OtherRegion
	localityCount
)

// Candidate is an upstream with a free slot, with its state as known to this
// host.
type Candidate struct {
	// Index identifies the upstream to the code that added the candidate. Pick
	// returns it.
	Index int
	// Leased states whether this host holds slots on the upstream exclusively.
	Leased bool
	// Limit is the number of requests that this host may run on the upstream,
	// at least 1.
	Limit int
	// Running is the number of requests that this host runs on the upstream.
	Running int
	// Load is the last load that the upstream reported, in running requests;
	// -1 if there is no recent report.
	Load int
	// Latency is the expected response time of the upstream.
	Latency time.Duration
}

// Draw returns a uniformly distributed random number in [0, n).
type Draw func(n int) int

// Policy returns the position in free of the chosen candidate. free is never
// empty. A policy may reorder it; the position refers to the new order.
type Policy func(free []Candidate, draw Draw) int

// CandidateSet collects the candidates of one decision by locality. It is reused
// to avoid allocations.
type CandidateSet struct {
	byLocality [localityCount][]Candidate
}

// Reset removes all candidates and retains the allocated memory.
func (c *CandidateSet) Reset() {
	for i := range c.byLocality {
		c.byLocality[i] = c.byLocality[i][:0]
	}
}

// Add adds a candidate that has a free slot.
func (c *CandidateSet) Add(l Locality, candidate Candidate) {
	c.byLocality[l] = append(c.byLocality[l], candidate)
}

// HasOwnRegion reports whether there is a candidate in the region of this host.
func (c *CandidateSet) HasOwnRegion() bool {
	return len(c.byLocality[SameDomain])+len(c.byLocality[SameRegion]) > 0
}

// HasOtherRegion reports whether there is a candidate in another region.
func (c *CandidateSet) HasOtherRegion() bool { return len(c.byLocality[OtherRegion]) > 0 }

// Pick applies the policy to the nearest candidates. Candidates in another
// region are considered only if allowOtherRegion is set. Pick returns the Index
// of the chosen candidate, or false if there is none.
func (c *CandidateSet) Pick(policy Policy, allowOtherRegion bool, draw Draw) (int, bool) {
	for l := range c.byLocality {
		if Locality(l) == OtherRegion && !allowOtherRegion {
			break
		}
		if free := c.byLocality[l]; len(free) > 0 {
			return free[policy(free, draw)].Index, true
		}
	}
	return 0, false
}
