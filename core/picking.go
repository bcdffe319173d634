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
)

// exclusions says which upstreams a decision leaves out beside leaving ones.
type exclusions struct {
	tried   bool
	ejected bool
}

// choose returns the upstream on which the request can start now, or nil when
// it has to wait. usable is false when no upstream can ever take it.
func (s *State) choose(r *request) (chosen *upstream, usable bool) {
	if u := s.trialFor(r); u != nil {
		return u, true
	}
	usableCount, capacity := s.collect(r, exclusions{tried: true, ejected: true})
	if usableCount == 0 {
		// A tried or ejected upstream is better than none.
		usableCount, capacity = s.collect(r, exclusions{})
	}
	if usableCount == 0 {
		return nil, false
	}
	if !r.idempotent && s.confirming() {
		return nil, true
	}
	far := !s.choice.Near() && s.choice.Far() && s.goFar(r, capacity)
	index, ok := s.choice.Pick(s.policy, far, s.draw)
	if !ok {
		return nil, true
	}
	return r.group.eligible[index], true
}

// collect puts the upstreams with a free slot into s.choice. It returns the
// number of upstreams that could take the request once a slot is free, and the
// number of slots for it in the own region.
func (s *State) collect(r *request, without exclusions) (usable, capacity int) {
	s.choice.Reset()
	g, svc := r.group, r.service
	usual := svc.usualFor(false).respond.Value()
	for i, u := range g.eligible {
		if u.leaving || without.ejected && u.health.Ejected() || without.tried && r.hasTried(u) {
			continue
		}
		usable++
		limit := s.allowed(svc, u)
		free := u.running < limit
		if g.long && svc.shared {
			limit = min(limit, u.longLimit())
			free = free && u.long < limit
		}
		if u.locality != pick.OtherRegion {
			capacity += limit
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
			Latency: u.health.Latency(usual),
		})
	}
	return usable, capacity
}

func (s *State) loadOf(u *upstream) int {
	if s.now.Sub(u.loadAt) > loadReportLife {
		return -1
	}
	return u.load
}

// goFar reports whether waiting for a slot in the own region takes longer than
// the extra round trip to another one.
func (s *State) goFar(r *request, capacity int) bool {
	return capacity == 0 || s.expectedWait(r, capacity) > extraRoundTrip
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
