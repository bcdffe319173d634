package core

import (
	"cmp"
	"slices"
	"time"

	"wisteriapond/outcome"
	"wisteriapond/pick"
)

const (
	// freshReportAge is the age up to which a load report is used without
	// another query. Slowdowns by noisy co-tenants start and end within some
	// hundred milliseconds.
	freshReportAge = 20 * time.Millisecond
	// maxLoadQueries bounds the upstreams that a request queries in one
	// locality. Each query has a price.
	maxLoadQueries = 3
	// nearQueryWait and farQueryWait bound the time for which a request waits
	// for reports from the region of this host and from others. They are based on
	// round trips of a few milliseconds within a region and 24 ms between
	// regions.
	nearQueryWait = 6 * time.Millisecond
	farQueryWait  = 34 * time.Millisecond
	// unresponsiveAfter is the age at which a pending load query marks its
	// upstream as unresponsive. Such an upstream gets no requests if there is
	// another one.
	unresponsiveAfter = 60 * time.Millisecond
	// loadQueryTimeout ends a load query without a response.
	loadQueryTimeout = 400 * time.Millisecond
	// failedQueryBackoff is the time for which an upstream gets no requests
	// after a failed load query.
	failedQueryBackoff = 200 * time.Millisecond
	// reusableConnectionAge is the age of a report up to which its connection is
	// most likely still open. It is shorter than usual keep-alive timeouts.
	reusableConnectionAge = 5 * time.Second
	// sufficientWorth is the worth of the best known upstream, in thousandths, at
	// or above which no further upstreams are queried.
	sufficientWorth = 700
)

// loadQuery is the state of the load query of an upstream. At most one is pending
// at a time.
type loadQuery struct {
	pending bool
	since   Instant
	// waiting holds the requests that wait for the report.
	waiting []*request
}

// unresponsive reports whether a load query of the upstream has been pending
// for too long.
func (u *upstream) unresponsive(now Instant) bool {
	return u.loadQuery.pending && now.Sub(u.loadQuery.since) >= unresponsiveAfter
}

// queryLoads queries the load of upstreams for a request, and reports whether the
// request has to wait for their reports. Load shifts within milliseconds, and this
// host does not see what other hosts send. The nearest upstreams are queried
// first, those of the next locality if the nearest are not good enough.
func (s *State) queryLoads(r *request) bool {
	if r.service.config.Probe.Path == "" {
		return false
	}
	for level := r.queriedBelow; level <= pick.OtherRegion; level++ {
		queried, reachable := s.queryTargets(r, level)
		if !reachable {
			continue
		}
		r.queriedBelow = level + 1
		if len(queried) == 0 {
			return false
		}
		s.awaitReports(r, queried, level)
		return true
	}
	r.queriedBelow = pick.OtherRegion + 1
	return false
}

// awaitReports queries upstreams, and lets a request wait for their reports until
// nearQueryWait or farQueryWait has passed.
func (s *State) awaitReports(r *request, queried []*upstream, level pick.Locality) {
	for _, u := range queried {
		s.startLoadQuery(u)
		u.loadQuery.waiting = append(u.loadQuery.waiting, r)
	}
	r.pendingQueries = len(queried)
	wait := nearQueryWait
	if level == pick.OtherRegion {
		wait = farQueryWait
	}
	s.setTimer(&r.timer, min(s.now.Add(wait), r.deadline))
}

// shouldWiden reports whether upstreams farther away should be queried: the best
// known one is not good enough, and transferring the bytes from there costs less
// than the possible gain.
func (s *State) shouldWiden(r *request, chosen *upstream) bool {
	if r.service.config.Probe.Path == "" || r.queriedBelow > pick.OtherRegion {
		return false
	}
	if chosen == nil {
		return s.canMeetGoal(r)
	}
	return r.bestWorth < sufficientWorth && r.bestWorth < fullWorth-s.priceFrom(r, r.queriedBelow)
}

// queryTargets returns the upstreams of a locality to query, at most
// maxLoadQueries and least loaded first, and whether any upstream there can be
// queried. Upstreams whose report is younger than freshReportAge are left out.
func (s *State) queryTargets(r *request, level pick.Locality) (outdated []*upstream, reachable bool) {
	// The random start keeps hosts with equally little information from all
	// querying the same upstreams.
	n := len(r.group.eligible)
	first := s.random.intN(max(1, n))
	var candidates []*upstream
	for i := range n {
		u := r.group.eligible[(first+i)%n]
		if u.locality == level && s.canQuery(r, u) {
			candidates = append(candidates, u)
		}
	}
	slices.SortStableFunc(candidates, func(a, b *upstream) int {
		return cmp.Or(cmp.Compare(a.occupied(s.now), b.occupied(s.now)), cmp.Compare(s.dialCost(a), s.dialCost(b)))
	})
	reachable = len(candidates) > 0
	candidates = candidates[:min(len(candidates), maxLoadQueries)]
	return slices.DeleteFunc(candidates, func(u *upstream) bool {
		return u.reported.report.Known && s.now.Sub(u.reported.at) < freshReportAge
	}), reachable
}

// dialCost returns 1 for an upstream without a recent report, since a query
// most likely has to open a connection, which has a price, and 0 otherwise.
func (s *State) dialCost(u *upstream) int {
	if u.reported.report.Known && s.now.Sub(u.reported.at) < reusableConnectionAge {
		return 0
	}
	return 1
}

// queryLoadsForQueue queries the loads of upstreams again for the waiting requests
// of a service, in the localities that were queried for them before. The requests
// of other hosts end without an event here.
func (s *State) queryLoadsForQueue(svc *service) {
	for _, g := range svc.waitingGroups {
		r := g.waiting.First().Value
		for level := pick.SameDomain; level < r.queriedBelow; level++ {
			targets, _ := s.queryTargets(r, level)
			for _, u := range targets {
				s.startLoadQuery(u)
			}
		}
	}
}

// canQuery reports whether the load of an upstream can be queried for a request.
func (s *State) canQuery(r *request, u *upstream) bool {
	return u.accepts(s.now) && s.mayAskWarmUp(u) && !u.health.Ejected() && !u.unresponsive(s.now) && !r.hasTried(u) &&
		(u.loadQuery.pending || !s.connectionsTaken(u))
}

// startLoadQuery queries the load of an upstream, unless a query is already
// pending.
func (s *State) startLoadQuery(u *upstream) {
	if u.loadQuery.pending {
		return
	}
	u.loadQuery.pending = true
	u.loadQuery.since = s.now
	probe := u.service.config.Probe
	probe.Timeout = loadQueryTimeout
	s.count(CounterProbes, "started")
	s.out.add(StartProbe{
		Service:     u.service.config.Name,
		Upstream:    u.config.Name,
		Address:     u.config.Address,
		StartBefore: s.now.Add(startExpiry),
		Probe:       probe,
		Connections: s.connectionShare(u),
		Instance:    u.config.Instance,
		Reuse:       true,
	})
}

// loadQueryFinished handles the end of a load query, and dispatches the requests
// that wait for no other report.
func (s *State) loadQueryFinished(e ProbeFinished) {
	u := s.upstreamOf(e.Service, e.Upstream)
	if u == nil || !u.loadQuery.pending {
		return
	}
	waiting := u.loadQuery.waiting
	u.loadQuery = loadQuery{}
	s.applyQueryResult(u, e.Facts)
	for _, r := range waiting {
		if s.requests[r.id] != r || r.pendingQueries == 0 {
			continue
		}
		r.pendingQueries--
		if r.pendingQueries == 0 {
			s.timers.Remove(&r.timer)
			s.dispatch(r)
		}
	}
	s.startWaitingOn(u)
}

// applyQueryResult applies the result of a load query: the load report, or a
// backoff from the upstream after a failure.
func (s *State) applyQueryResult(u *upstream, facts outcome.Facts) {
	switch {
	case facts.Cause == outcome.CauseExpired:
		s.count(CounterProbes, "expired")
	case facts.Cause != outcome.CauseNone:
		s.count(CounterProbes, "failed")
		s.backOff(u, failedQueryBackoff)
	default:
		s.count(CounterProbes, "answered")
		s.applyHints(u, facts)
		s.applyWarmUpReport(u, facts.WarmUp.Left, facts.WarmUp.Known)
	}
}
