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
)

// question is the state of asking an upstream for its load.
type question struct {
	open    bool
	since   Instant
	waiting []*request
}

// silent reports whether an upstream owes an answer for too long.
func (u *upstream) silent(now Instant) bool {
	return u.question.open && now.Sub(u.question.since) >= silentAfter
}

// ask lets a request wait for the loads of the nearest upstreams, and reports
// whether it does. Load shifts within milliseconds, and what other hosts send
// is not known here.
func (s *State) ask(r *request) bool {
	if r.asked || r.service.config.Probe.Path == "" {
		return false
	}
	r.asked = true
	asked := s.toAsk(r)
	patience := nearPatience
	for _, u := range asked {
		if u.locality == pick.OtherRegion {
			patience = farPatience
		}
		if !u.question.open {
			s.putQuestion(u)
		}
		u.question.waiting = append(u.question.waiting, r)
	}
	r.asking = len(asked)
	if r.asking == 0 {
		return false
	}
	s.setTimer(&r.alarm, min(s.now.Add(patience), r.deadline))
	return true
}

// toAsk returns the upstreams of the nearest locality whose reports are too
// old, those with the least load first.
func (s *State) toAsk(r *request) []*upstream {
	nearest := pick.OtherRegion
	for _, u := range r.group.eligible {
		if s.askable(r, u) {
			nearest = min(nearest, u.locality)
		}
	}
	// Hosts that know as little as each other must not all ask the same ones.
	n := len(r.group.eligible)
	first := s.random.below(max(1, n))
	var found []*upstream
	for i := range n {
		u := r.group.eligible[(first+i)%n]
		if u.locality == nearest && s.askable(r, u) {
			found = append(found, u)
		}
	}
	slices.SortStableFunc(found, func(a, b *upstream) int {
		return cmp.Compare(a.occupied(s.now), b.occupied(s.now))
	})
	found = found[:min(len(found), maxQuestions)]
	return slices.DeleteFunc(found, func(u *upstream) bool {
		return u.told.report.Known && s.now.Sub(u.told.at) < freshReport
	})
}

// askForQueue asks again for the loads of the nearest upstreams, since the
// requests of other hosts end without an event here.
func (s *State) askForQueue(svc *service) {
	for _, g := range svc.waitingGroups {
		for _, u := range s.toAsk(g.waiting.First().Value) {
			if !u.question.open {
				s.putQuestion(u)
			}
		}
	}
}

func (s *State) askable(r *request, u *upstream) bool {
	return !u.leaving && !u.health.Ejected() && !u.silent(s.now) && !s.now.Before(u.notBefore) && !r.hasTried(u)
}

func (s *State) putQuestion(u *upstream) {
	u.question.open = true
	u.question.since = s.now
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
		Reuse:       true,
	})
}

// questionAnswered takes a report and starts the requests that wait for no
// other.
func (s *State) questionAnswered(e ProbeFinished) {
	u := s.upstreamOf(e.Service, e.Upstream)
	if u == nil || !u.question.open {
		return
	}
	waiting := u.question.waiting
	u.question = question{}
	s.takeReport(u, e.Facts)
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

func (s *State) takeReport(u *upstream, facts outcome.Facts) {
	switch {
	case facts.Cause == outcome.CauseExpired:
		s.count(CounterProbes, "expired")
	case facts.Cause != outcome.CauseNone:
		s.count(CounterProbes, "failed")
		s.holdOff(u, refusedPause)
	default:
		s.count(CounterProbes, "answered")
		if facts.Told.Known {
			u.told.tell(facts.Told, s.now)
		}
	}
}
