package health

import "time"

// ejectableShare is the inverse of the part of the upstreams that may be
// ejected at once. Every server that still runs is needed.
const ejectableShare = 3

// Group is the upstreams of one service. An upstream is judged against the
// others of its group only.
type Group struct {
	members []*Upstream
	ejected int
}

// SetMembers replaces the upstreams of the group.
func (g *Group) SetMembers(members []*Upstream) {
	g.members = members
	g.ejected = 0
	for _, u := range members {
		if u.ejected {
			g.ejected++
		}
	}
}

// Ejected returns the number of upstreams that are ejected.
func (g *Group) Ejected() int { return g.ejected }

// Succeeded takes the response time of a request that went well.
func (g *Group) Succeeded(u *Upstream, now, took time.Duration) Verdict {
	u.record(took, 0)
	u.consecutive = 0
	if u.ejected {
		return g.endTrial(u, now, took)
	}
	if g.slow(u, u.latency) && u.samples >= minSamples && g.mayEject() {
		g.eject(u, now)
		return EjectedSlow
	}
	return Unchanged
}

// Failed takes a failure. usual is the usual response time of the service.
func (g *Group) Failed(u *Upstream, now, took, usual time.Duration) Verdict {
	u.record(max(took, usual*failureFactor), 1)
	u.consecutive++
	if u.ejected {
		if u.trying {
			g.extend(u, now)
		}
		return Unchanged
	}
	if g.mostFail() {
		return g.release()
	}
	if g.standsOut(u) && g.mayEject() {
		g.eject(u, now)
		return EjectedFailures
	}
	return Unchanged
}

func (g *Group) mayEject() bool {
	return g.ejected < len(g.members)/ejectableShare
}

// standsOut reports whether u fails while most others do not.
func (g *Group) standsOut(u *Upstream) bool {
	if u.consecutive >= maxConsecutive {
		return g.most(u, func(other *Upstream) bool { return !other.failing() })
	}
	if u.samples < minSamples || u.share < failingPermille {
		return false
	}
	return g.most(u, func(other *Upstream) bool { return other.share <= soundPermille })
}

// slow reports whether most others are faster than the given latency by
// slowFactor. When all are slow, none is.
func (g *Group) slow(u *Upstream, latency time.Duration) bool {
	return g.most(u, func(other *Upstream) bool {
		return other.samples >= minSamples && other.latency*slowFactor < latency
	})
}

func (g *Group) most(u *Upstream, condition func(*Upstream) bool) bool {
	matching := 0
	for _, other := range g.members {
		if other != u && condition(other) {
			matching++
		}
	}
	return matching*2 > len(g.members)-1
}

func (g *Group) mostFail() bool {
	failing := 0
	for _, u := range g.members {
		if u.failing() {
			failing++
		}
	}
	return failing*2 > len(g.members)
}

func (g *Group) eject(u *Upstream, now time.Duration) {
	u.ejected = true
	u.trying = false
	u.trialWait = firstTrial
	u.trialAt = now + u.trialWait
	g.ejected++
}

// extend doubles the wait until the next trial request.
func (g *Group) extend(u *Upstream, now time.Duration) {
	u.trying = false
	u.trialWait = min(2*u.trialWait, maxTrialWait)
	u.trialAt = now + u.trialWait
}

// endTrial judges a trial request by its own response time: the average still
// holds the values from before the ejection.
func (g *Group) endTrial(u *Upstream, now, took time.Duration) Verdict {
	if g.slow(u, took) {
		if u.trying {
			g.extend(u, now)
		}
		return Unchanged
	}
	u.latency = took
	u.share = 0
	g.reinstate(u)
	u.StartWarmUp(now)
	return Reinstated
}

func (g *Group) reinstate(u *Upstream) {
	u.ejected = false
	u.trying = false
	g.ejected--
}

func (g *Group) release() Verdict {
	if g.ejected == 0 {
		return Unchanged
	}
	for _, u := range g.members {
		if u.ejected {
			g.reinstate(u)
		}
	}
	return Released
}

// Responded takes a request that went well and whose duration says nothing
// about response times.
func (g *Group) Responded(u *Upstream) {
	u.consecutive = 0
	u.share -= u.share / shareWeight
}
