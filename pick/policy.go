package pick

import "time"

// Random chooses any candidate with the same probability.
func Random(free []Candidate, draw Draw) int { return draw(len(free)) }

// TwoChoices chooses, of two random candidates, the one on which this host
// runs fewer requests.
func TwoChoices(free []Candidate, draw Draw) int {
	return cheaperOfTwo(free, draw, func(c *Candidate) time.Duration { return time.Duration(c.Running) })
}

// ReportedLoad chooses, of two random candidates, the one that reported less
// load. Reports are stale, so the own count is a lower bound.
func ReportedLoad(free []Candidate, draw Draw) int {
	return cheaperOfTwo(free, draw, func(c *Candidate) time.Duration {
		return time.Duration(max(c.Load, c.Running))
	})
}

// PreferLeased prefers upstreams on which this host holds slots, and chooses, of two
// random ones, the one with the lower expected response time. Two choices keep
// hosts that share an upstream from all choosing the same fastest one.
func PreferLeased(free []Candidate, draw Draw) int {
	if leased := moveLeasedFirst(free); leased > 0 {
		free = free[:leased]
	}
	return cheaperOfTwo(free, draw, expectedTime)
}

// expectedTime weighs the response time with the part of the limit in use, so
// that the share of an upstream falls as its latency rises.
func expectedTime(c *Candidate) time.Duration {
	return c.Latency * time.Duration(c.Running+1) / time.Duration(c.Limit)
}

// moveLeasedFirst moves the leased candidates to the front and returns their
// number.
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

// cheaperOfTwo draws two different candidates and returns the one with the lower
// cost, the first one if both cost the same.
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
