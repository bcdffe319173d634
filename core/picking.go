package core

import (
	"time"

	"wisteriapond/pick"
)

const (
	// extraRoundTrip is what a request to another region takes longer: twice
	// the one-way delay between regions of 12 ms.
	extraRoundTrip = 24 * time.Millisecond
	// loadReportLife is the age at which a reported load is ignored.
	loadReportLife = time.Second
	// failedProbeFactor is how many times slower than usual an upstream counts
	// that has run no request and whose last probe failed.
	failedProbeFactor = 4
)

// exclusions says which upstreams a decision leaves out beside leaving ones.
type exclusions struct {
	tried   bool
	ejected bool
	silent  bool
}

// choose returns the upstream on which the request can start now, or nil when
// it has to wait. usable is false when no upstream can ever take it.
func (s *State) choose(r *request) (chosen *upstream, usable bool) {
	if u := s.trialFor(r); u != nil {
		return u, true
	}
	if r.route != nil {
		return s.place(r)
	}
	found := s.collect(r, exclusions{tried: true, ejected: true})
	if found.usable == 0 {
		// A tried or ejected upstream is better than none.
		found = s.collect(r, exclusions{})
	}
	if found.usable == 0 {
		return nil, false
	}
	if !r.idempotent && s.confirming() {
		return nil, true
	}
	far := !s.choice.Near() && s.choice.Far() && s.goFar(r, found)
	index, ok := s.choice.Pick(s.policy, far, s.draw)
	if !ok {
		return nil, true
	}
	return r.group.eligible[index], true
}

// collected is what collect found beside the candidates.
type collected struct {
	// usable is the number of upstreams that could take the request once a slot
	// is free, and near the number of those in the own region.
	usable int
	near   int
	// slots is the number of slots for the request in the own region.
	slots int
}

// collect puts the upstreams with a free slot into s.choice.
func (s *State) collect(r *request, without exclusions) (found collected) {
	s.choice.Reset()
	g := r.group
	usual := r.service.usualFor(false).respond.Value()
	for i, u := range g.eligible {
		if u.leaving || without.ejected && u.health.Ejected() || without.tried && r.hasTried(u) {
			continue
		}
		found.usable++
		limit, free := s.room(g, u)
		if u.locality != pick.OtherRegion {
			found.near++
			found.slots += limit
		}
		if !free || s.now.Before(u.notBefore) {
			continue
		}
		s.choice.Add(u.locality, pick.Candidate{
			Index:   i,
			Leased:  u.leased,
			Limit:   limit,
			Running: u.running,
			Load:    s.loadOf(u),
			Latency: s.latencyOf(u, usual),
		})
	}
	return found
}

// latencyOf returns the response time that requests observed. Before the first
// one, a failed probe counts as a slow answer; the time of a probe that went
// well says nothing, since health endpoints do not do the work of requests.
func (s *State) latencyOf(u *upstream, usual time.Duration) time.Duration {
	if u.health.Observed() {
		return u.health.Latency(usual)
	}
	if result, ok := s.probing.results[u]; ok && result.failed && s.now.Sub(result.at) < measurementLifetime {
		return max(usual, time.Millisecond) * failedProbeFactor
	}
	return usual
}

func (s *State) loadOf(u *upstream) int {
	if s.now.Sub(u.loadAt) > loadReportLife {
		return -1
	}
	return u.load
}

// goFar reports whether waiting for a slot in the own region takes longer than
// the extra round trip to another one. Having no slot there is no reason by
// itself: one may be on its way, since waiting requests ask for leases.
func (s *State) goFar(r *request, found collected) bool {
	if found.near == 0 {
		return true
	}
	if found.slots == 0 && r.place.Queued() && s.now.Sub(r.queuedAt) >= extraRoundTrip {
		return true
	}
	return s.expectedWait(r, found.slots) > extraRoundTrip
}

// trialFor returns an ejected upstream that is due for a trial request, if
// this request can be it: a failed trial must be unseen by the caller.
func (s *State) trialFor(r *request) *upstream {
	svc := r.service
	if svc.health.Ejected() == 0 || r.attempts > 0 || r.group.long || !r.idempotent || !r.bodyKept {
		return nil
	}
	for _, u := range r.group.eligible {
		if u.leaving || u.running >= s.allowed(svc, u) || s.now.Before(u.notBefore) {
			continue
		}
		if u.health.TrialDue(time.Duration(s.now)) {
			return u
		}
	}
	return nil
}
