package core

import (
	"cmp"
	"slices"
	"time"

	"wisteriapond/outcome"
	"wisteriapond/pick"
)

const (
	// freshReport is the age up to which a report needs no question. Noisy
	// neighbours come and go within some hundred milliseconds.
	freshReport = 20 * time.Millisecond
	// maxQuestions bounds the upstreams that one request asks. Each question has
	// a price.
	maxQuestions = 3
	// nearPatience and farPatience bound the wait for reports, from round trips
	// of a few milliseconds within a region and 24 ms between regions.
	nearPatience = 6 * time.Millisecond
	farPatience  = 34 * time.Millisecond
	// silentAfter is the age of an unanswered question from which on an upstream
	// gets no request if there is another one.
	silentAfter = 60 * time.Millisecond
	// questionTime ends a question without an answer.
	questionTime = 400 * time.Millisecond
	// refusedPause keeps requests from an upstream that could not be asked.
	refusedPause = 200 * time.Millisecond
	// metLately is the age of a report up to which the connection that it came
	// over is most likely still open: shorter than usual keep-alive times.
	metLately = 5 * time.Second
	// goodWorth is the worth of the best upstream known, in thousandths, from
	// which on no others are asked.
	goodWorth = 700
)

// question is the state of asking an upstream for its load.
type question struct {
	open    bool
	since   Instant
	waiting []*request
}

// silent reports whether an upstream owes an answer for too long.
func (u *upstream) silent(now Instant) bool {
	return u.loadQuery.open && now.Sub(u.loadQuery.since) >= silentAfter
}

// ask lets a request wait for the loads of upstreams, and reports whether it
// does. Load shifts within milliseconds, and what other hosts send is not known
// here. The nearest upstreams are asked first, those of the next locality when
// they are not good enough.
func (s *State) ask(r *request) bool {
	if r.service.config.Probe.Path == "" {
		return false
	}
	for level := r.queriedBelow; level <= pick.OtherRegion; level++ {
		asked, any := s.toAsk(r, level)
		if !any {
			continue
		}
		r.queriedBelow = level + 1
		if len(asked) == 0 {
			return false
		}
		s.waitForReports(r, asked, level)
		return true
	}
	r.queriedBelow = pick.OtherRegion + 1
	return false
}

func (s *State) waitForReports(r *request, asked []*upstream, level pick.Locality) {
	for _, u := range asked {
		s.putQuestion(u)
		u.loadQuery.waiting = append(u.loadQuery.waiting, r)
	}
	r.pendingQueries = len(asked)
	patience := nearPatience
	if level == pick.OtherRegion {
		patience = farPatience
	}
	s.setTimer(&r.timer, min(s.now.Add(patience), r.deadline))
}

// widen reports whether upstreams further away should be asked: the best one
// known is not good enough, and the bytes from there cost less than is won.
func (s *State) widen(r *request, chosen *upstream) bool {
	if r.service.config.Probe.Path == "" || r.queriedBelow > pick.OtherRegion {
		return false
	}
	if chosen == nil {
		return s.inTime(r)
	}
	return r.bestValue < goodWorth && r.bestValue < fullWorth-s.priceAt(r, r.queriedBelow)
}

// toAsk returns the upstreams of a locality whose reports are too old, those
// with the least load first, and whether there are any upstreams at all.
func (s *State) toAsk(r *request, level pick.Locality) (asked []*upstream, any bool) {
	// Hosts that know as little as each other must not all ask the same ones.
	n := len(r.group.eligible)
	first := s.random.intN(max(1, n))
	var found []*upstream
	for i := range n {
		u := r.group.eligible[(first+i)%n]
		if u.locality == level && s.askable(r, u) {
			found = append(found, u)
		}
	}
	slices.SortStableFunc(found, func(a, b *upstream) int {
		return cmp.Or(cmp.Compare(a.occupied(s.now), b.occupied(s.now)), cmp.Compare(s.unmet(a), s.unmet(b)))
	})
	any = len(found) > 0
	found = found[:min(len(found), maxQuestions)]
	return slices.DeleteFunc(found, func(u *upstream) bool {
		return u.reported.report.Known && s.now.Sub(u.reported.at) < freshReport
	}), any
}

// unmet is 1 for an upstream that told nothing lately: a connection to it would
// have to be opened, and that has a price.
func (s *State) unmet(u *upstream) int {
	if u.reported.report.Known && s.now.Sub(u.reported.at) < metLately {
		return 0
	}
	return 1
}

// askForQueue asks again for the loads of the nearest upstreams, since the
// requests of other hosts end without an event here.
func (s *State) askForQueue(svc *service) {
	for _, g := range svc.waitingGroups {
		r := g.waiting.First().Value
		for level := pick.SameDomain; level < r.queriedBelow; level++ {
			asked, _ := s.toAsk(r, level)
			for _, u := range asked {
				s.putQuestion(u)
			}
		}
	}
}

func (s *State) askable(r *request, u *upstream) bool {
	return !u.leaving && !u.health.Ejected() && !u.silent(s.now) && !s.now.Before(u.notBefore) && !r.hasTried(u)
}

// putQuestion asks an upstream for its load, unless it owes an answer already.
func (s *State) putQuestion(u *upstream) {
	if u.loadQuery.open {
		return
	}
	u.loadQuery.open = true
	u.loadQuery.since = s.now
	probe := u.service.config.Probe
	probe.Timeout = questionTime
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

// questionAnswered takes a report and starts the requests that wait for no
// other.
func (s *State) questionAnswered(e ProbeFinished) {
	u := s.upstreamOf(e.Service, e.Upstream)
	if u == nil || !u.loadQuery.open {
		return
	}
	waiting := u.loadQuery.waiting
	u.loadQuery = question{}
	s.takeReport(u, e.Facts)
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

func (s *State) takeReport(u *upstream, facts outcome.Facts) {
	switch {
	case facts.Cause == outcome.CauseExpired:
		s.count(CounterProbes, "expired")
	case facts.Cause != outcome.CauseNone:
		s.count(CounterProbes, "failed")
		s.backOff(u, refusedPause)
	default:
		s.count(CounterProbes, "answered")
		if facts.Told.Known {
			u.reported.tell(facts.Told, s.now)
		}
	}
}
