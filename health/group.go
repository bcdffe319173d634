package health

import "time"

// ejectionDivisor limits the upstreams that may be ejected at the same time to
// one in ejectionDivisor, since every server that still works adds capacity.
const ejectionDivisor = 3

// Group contains the upstreams of one service. An upstream is compared only with
// the others of its group.
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

// EjectedCount returns the number of ejected upstreams.
func (g *Group) EjectedCount() int { return g.ejected }

// RecordSuccess records the response time of a successful request. It returns
// EjectedSlow or Reinstated if the result changed the state of the upstream.
func (g *Group) RecordSuccess(u *Upstream, now, latency time.Duration) Verdict {
	u.record(latency, 0)
	u.consecutiveFailures = 0
	if u.ejected {
		return g.endTrial(u, now, latency)
	}
	if g.slowerThanOthers(u, u.latency) && u.samples >= minSamples && g.mayEject() {
		g.eject(u, now)
		return EjectedSlow
	}
	return Unchanged
}

// RecordFailure records a failed request. typicalLatency is the usual response
// time of the service. It returns EjectedFailures if the upstream was ejected,
// and Released if all ejections were ended because most upstreams fail.
func (g *Group) RecordFailure(u *Upstream, now, latency, typicalLatency time.Duration) Verdict {
	u.record(max(latency, typicalLatency*failureLatencyFactor), 1)
	u.consecutiveFailures++
	if u.ejected {
		if u.trialRunning {
			g.backOffTrial(u, now)
		}
		return Unchanged
	}
	if g.majorityFailing() {
		return g.reinstateAll()
	}
	if g.failsMoreThanOthers(u) && g.mayEject() {
		g.eject(u, now)
		return EjectedFailures
	}
	return Unchanged
}

// mayEject reports whether one more upstream may be ejected.
func (g *Group) mayEject() bool {
	return g.ejected < len(g.members)/ejectionDivisor
}

// failsMoreThanOthers reports whether u fails while most others do not.
func (g *Group) failsMoreThanOthers(u *Upstream) bool {
	if u.consecutiveFailures >= maxConsecutiveFailures {
		return g.mostOthers(u, func(other *Upstream) bool { return !other.failing() })
	}
	if u.samples < minSamples || u.failureRate < failingPermille {
		return false
	}
	return g.mostOthers(u, func(other *Upstream) bool { return other.failureRate <= healthyPermille })
}

// slowerThanOthers reports whether the given latency is more than slowFactor
// times that of most others. If all are slow, none stands out.
func (g *Group) slowerThanOthers(u *Upstream, latency time.Duration) bool {
	return g.mostOthers(u, func(other *Upstream) bool {
		return other.samples >= minSamples && other.latency*slowFactor < latency
	})
}

// mostOthers reports whether the condition holds for more than half of the
// members other than u.
func (g *Group) mostOthers(u *Upstream, condition func(*Upstream) bool) bool {
	matching := 0
	for _, other := range g.members {
		if other != u && condition(other) {
			matching++
		}
	}
	return matching*2 > len(g.members)-1
}

func (g *Group) majorityFailing() bool {
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
	u.trialRunning = false
	u.trialWait = minTrialWait
	u.nextTrial = now + u.trialWait
	g.ejected++
}

// backOffTrial doubles the wait until the next trial request.
func (g *Group) backOffTrial(u *Upstream, now time.Duration) {
	u.trialRunning = false
	u.trialWait = min(2*u.trialWait, maxTrialWait)
	u.nextTrial = now + u.trialWait
}

// endTrial evaluates a trial request by its own response time, since the moving
// average still contains the values from before the ejection.
func (g *Group) endTrial(u *Upstream, now, latency time.Duration) Verdict {
	if g.slowerThanOthers(u, latency) {
		if u.trialRunning {
			g.backOffTrial(u, now)
		}
		return Unchanged
	}
	u.latency = latency
	u.failureRate = 0
	g.reinstate(u)
	u.StartWarmUp(now)
	return Reinstated
}

func (g *Group) reinstate(u *Upstream) {
	u.ejected = false
	u.trialRunning = false
	g.ejected--
}

func (g *Group) reinstateAll() Verdict {
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

// RecordResponse records a successful request without its duration, which for
// some requests is not a measure of the response time.
func (g *Group) RecordResponse(u *Upstream) {
	u.consecutiveFailures = 0
	u.failureRate -= u.failureRate / failureDivisor
}
