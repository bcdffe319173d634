package pick

import "time"

// Random chooses every candidate with the same probability.
func Random(free []Candidate, draw Draw) int { return draw(len(free)) }

// TwoChoices draws two random candidates and chooses the one on which this host
// runs fewer requests.
func TwoChoices(free []Candidate, draw Draw) int {
	return cheaperOfTwo(free, draw, func(c *Candidate) time.Duration { return time.Duration(c.Running) })
}

// ReportedLoad draws two random candidates and chooses the one with the lower
// reported load. Because reports may be stale, the number of requests that this
// host runs on a candidate is used as a lower bound.
func ReportedLoad(free []Candidate, draw Draw) int {
	return cheaperOfTwo(free, draw, func(c *Candidate) time.Duration {
		return time.Duration(max(c.Load, c.Running))
	})
}

// PreferLeased considers only upstreams on which this host holds slots, or all
// candidates if there are none. It draws two random ones and chooses the one
// with the lower expected response time. The random draw prevents hosts that
// share upstreams from all choosing the same fastest one.
func PreferLeased(free []Candidate, draw Draw) int {
	if leased := moveLeasedFirst(free); leased > 0 {
		free = free[:leased]
	}
	return cheaperOfTwo(free, draw, expectedTime)
}

// expectedTime returns the latency weighted with the used fraction of the limit,
// so that an upstream receives fewer requests as its latency rises.
func expectedTime(c *Candidate) time.Duration {
	return c.Latency * time.Duration(c.Running+1) / time.Duration(c.Limit)
}

// moveLeasedFirst moves the leased candidates to the front and returns the
// number of them.
func moveLeasedFirst(free []Candidate) int {
	leased := 0
	for i := range free {
		if free[i].Leased {
			free[i], free[leased] = free[leased], free[i]
			leased++
		}
	}
	return leased
}

// cheaperOfTwo draws two distinct candidates and returns the position of the one
// with the lower cost, or of the first one drawn if both cost the same.
func cheaperOfTwo(free []Candidate, draw Draw, cost func(*Candidate) time.Duration) int {
	n := len(free)
	if n == 1 {
		return 0
	}
	a := draw(n)
	b := (a + 1 + draw(n-1)) % n
	if cost(&free[b]) < cost(&free[a]) {
		return b
	}
	return a
}
