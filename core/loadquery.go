package core

import (
	"cmp"
	"slices"
	"time"

	"wisteriapond/outcome"
	"wisteriapond/pick"
)

const (
	// freshReportAge is the age up to which a report needs no question. Noisy
	// neighbours come and go within some hundred milliseconds.
	freshReportAge = 20 * time.Millisecond
	// maxLoadQueries bounds the upstreams that one request asks. Each question has
	// a price.
	maxLoadQueries = 3
	// nearQueryWait and farQueryWait bound the wait for reports, from round trips
	// of a few milliseconds within a region and 24 ms between regions.
	nearQueryWait = 6 * time.Millisecond
	farQueryWait  = 34 * time.Millisecond
	// unresponsiveAfter is the age of an unanswered question from which on an upstream
	// gets no request if there is another one.
	unresponsiveAfter = 60 * time.Millisecond
	// loadQueryTimeout ends a question without an answer.
	loadQueryTimeout = 400 * time.Millisecond
	// failedQueryBackoff keeps requests from an upstream that could not be asked.
	failedQueryBackoff = 200 * time.Millisecond
	// reusableConnectionAge is the age of a report up to which the connection that it came
	// over is most likely still open: shorter than usual keep-alive times.
	reusableConnectionAge = 5 * time.Second
	// sufficientWorth is the worth of the best upstream known, in thousandths, from
	// which on no others are asked.
	sufficientWorth = 700
)

// question is the state of asking an upstream for its load.
type loadQuery struct {
	pending bool
	since   Instant
	waiting []*request
}

// silent reports whether an upstream owes an answer for too long.
func (u *upstream) unresponsive(now Instant) bool {
	return u.question.pending && now.Sub(u.question.since) >= unresponsiveAfter
}

// ask lets a request wait for the loads of upstreams, and reports whether it
// does. Load shifts within milliseconds, and what other hosts send is not known
// here. The nearest upstreams are asked first, those of the next locality when
// they are not good enough.
func (s *State) queryLoads(r *request) bool {
	if r.service.config.Probe.Path == "" {
		return false
	}
	for level := r.askedBelow; level <= pick.OtherRegion; level++ {
		asked, any := s.queryTargets(r, level)
		if !any {
			continue
		}
		r.askedBelow = level + 1
		if len(asked) == 0 {
			return false
		}
		s.awaitReports(r, asked, level)
		return true
	}
	r.askedBelow = pick.OtherRegion + 1
	return false
}

func (s *State) awaitReports(r *request, asked []*upstream, level pick.Locality) {
	for _, u := range asked {
		s.startLoadQuery(u)
		u.question.waiting = append(u.question.waiting, r)
	}
	r.asking = len(asked)
	patience := nearQueryWait
	if level == pick.OtherRegion {
		patience = farQueryWait
	}
	s.setTimer(&r.alarm, min(s.now.Add(patience), r.deadline))
}

// widen reports whether upstreams further away should be asked: the best one
// known is not good enough, and the bytes from there cost less than is won.
func (s *State) shouldWiden(r *request, chosen *upstream) bool {
	if r.service.config.Probe.Path == "" || r.askedBelow > pick.OtherRegion {
		return false
	}
	if chosen == nil {
		return s.canMeetGoal(r)
	}
	return r.worth < sufficientWorth && r.worth < fullWorth-s.priceAt(r, r.askedBelow)
}

// queryTargets returns the upstreams of a locality whose reports are too old, those
// with the least load first, and whether there are any upstreams at all.
func (s *State) queryTargets(r *request, level pick.Locality) (asked []*upstream, any bool) {
	// Hosts that know as little as each other must not all ask the same ones.
	n := len(r.group.eligible)
	first := s.random.below(max(1, n))
	var found []*upstream
	for i := range n {
		u := r.group.eligible[(first+i)%n]
		if u.locality == level && s.canQuery(r, u) {
			found = append(found, u)
		}
	}
	slices.SortStableFunc(found, func(a, b *upstream) int {
		return cmp.Or(cmp.Compare(a.occupied(s.now), b.occupied(s.now)), cmp.Compare(s.dialCost(a), s.dialCost(b)))
	})
	any = len(found) > 0
	found = found[:min(len(found), maxLoadQueries)]
	return slices.DeleteFunc(found, func(u *upstream) bool {
		return u.told.report.Known && s.now.Sub(u.told.at) < freshReportAge
	}), any
}

// unmet is 1 for an upstream that told nothing lately: a connection to it would
// have to be opened, and that has a price.
func (s *State) dialCost(u *upstream) int {
	if u.told.report.Known && s.now.Sub(u.told.at) < reusableConnectionAge {
		return 0
	}
	return 1
}

// queryLoadsForQueue asks again for the loads of the nearest upstreams, since the
// requests of other hosts end without an event here.
func (s *State) queryLoadsForQueue(svc *service) {
	for _, g := range svc.waitingGroups {
		r := g.waiting.First().Value
		for level := pick.SameDomain; level < r.askedBelow; level++ {
			asked, _ := s.queryTargets(r, level)
			for _, u := range asked {
				s.startLoadQuery(u)
			}
		}
	}
}

func (s *State) canQuery(r *request, u *upstream) bool {
	return !u.leaving && !u.health.Ejected() && !u.unresponsive(s.now) && !s.now.Before(u.notBefore) && !r.hasTried(u)
}

// startLoadQuery asks an upstream for its load, unless it owes an answer already.
func (s *State) startLoadQuery(u *upstream) {
	if u.question.pending {
		return
	}
	u.question.pending = true
	u.question.since = s.now
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

// loadQueryFinished takes a report and starts the requests that wait for no
// other.
func (s *State) loadQueryFinished(e ProbeFinished) {
	u := s.upstreamOf(e.Service, e.Upstream)
	if u == nil || !u.question.pending {
		return
	}
	waiting := u.question.waiting
	u.question = loadQuery{}
	s.applyReport(u, e.Facts)
	for _, r := range waiting {
		if s.requests[r.id] != r || r.asking == 0 {
			continue
		}
		r.asking--
		if r.asking == 0 {
			s.timers.Remove(&r.alarm)
			s.dispatch(r)
		}
	}
	s.drainUpstream(u)
}

func (s *State) applyReport(u *upstream, facts outcome.Facts) {
	switch {
	case facts.Cause == outcome.CauseExpired:
		s.count(CounterProbes, "expired")
	case facts.Cause != outcome.CauseNone:
		s.count(CounterProbes, "failed")
		s.holdOff(u, failedQueryBackoff)
	default:
		s.count(CounterProbes, "answered")
		if facts.Told.Known {
			u.told.update(facts.Told, s.now)
		}
	}
}
