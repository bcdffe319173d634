package core

import (
	"time"

	"wisteriapond/pick"
)

const (
	// extraRoundTrip is the additional time of a request to another region: twice
	// the one-way delay of 12 ms between regions.
	extraRoundTrip = 24 * time.Millisecond
	// maxLoadAge is the age beyond which the reported number of running
	// requests is ignored.
	maxLoadAge = time.Second
	// failedProbeFactor is the multiple of the typical response time that is assumed
	// for an upstream that has run no request and whose last probe failed.
	failedProbeFactor = 4
)

// exclusions selects the upstreams that a decision excludes in addition to leaving
// ones.
type exclusions struct {
	tried        bool
	ejected      bool
	unresponsive bool
	failing      bool
}

// chooseUpstream returns the upstream on which the request can start now, or nil
// if the request has to wait. usable is false if no upstream can take the request,
// even after a wait.
func (s *State) chooseUpstream(r *request) (chosen *upstream, usable bool) {
	if u := s.trialUpstream(r); u != nil {
		return u, true
	}
	if r.route != nil {
		return s.placeRouted(r)
	}
	found := s.collectCandidates(r, exclusions{tried: true, ejected: true, failing: true})
	if found.usable == 0 {
		// A tried, ejected or failing upstream is better than none.
		found = s.collectCandidates(r, exclusions{})
	}
	if found.usable == 0 {
		return nil, false
	}
	if !r.idempotent && s.confirming() {
		return nil, true
	}
	otherRegion := !s.candidates.HasOwnRegion() && s.candidates.HasOtherRegion() && s.preferOtherRegion(r, found)
	index, ok := s.candidates.Pick(s.policy, otherRegion, s.draw)
	if !ok {
		return nil, true
	}
	return r.group.eligible[index], true
}

// candidateCounts is the result of collectCandidates besides the candidates.
type candidateCounts struct {
	// usable is the number of upstreams that can take the request once a slot is
	// free, and near the number of those in the region of this host.
	usable int
	near   int
	// slots is the number of slots for the request in the region of this host.
	slots int
}

// collectCandidates adds the upstreams with a free slot to s.candidates.
func (s *State) collectCandidates(r *request, exclude exclusions) (found candidateCounts) {
	s.candidates.Reset()
	g := r.group
	typical := r.service.durationsFor(false).response.Value()
	for i, u := range g.eligible {
		if s.excluded(r, u, exclude) {
			continue
		}
		found.usable++
		limit, free := s.groupLimit(g, u)
		if u.locality != pick.OtherRegion {
			found.near++
			found.slots += limit
		}
		if !free || !s.mayStart(u) {
			continue
		}
		s.candidates.Add(u.locality, pick.Candidate{
			Index:   i,
			Leased:  u.leased,
			Limit:   limit,
			Running: u.running,
			Load:    s.loadOf(u),
			Latency: s.latencyOf(u, typical),
		})
	}
	return found
}

// latencyOf returns the response time observed by requests. Before the first one,
// a failed probe counts as a slow response. The duration of a successful probe is
// ignored, since health endpoints do not do the work of requests.
func (s *State) latencyOf(u *upstream, typical time.Duration) time.Duration {
	if u.health.HasSamples() {
		return u.health.Latency(typical)
	}
	if result, ok := s.probing.results[u]; ok && result.failed && s.now.Sub(result.at) < measurementLifetime {
		return max(typical, time.Millisecond) * failedProbeFactor
	}
	return typical
}

// loadOf returns the number of running requests that the upstream reported, or -1
// if it is unknown or stale.
func (s *State) loadOf(u *upstream) int {
	if s.now.Sub(u.loadAt) > maxLoadAge {
		return -1
	}
	return u.load
}

// preferOtherRegion reports whether waiting for a slot in the region of this host
// takes longer than the extra round trip to another one. Having no slot there is
// not a sufficient reason at first: a lease may be about to be granted, since
// waiting requests cause lease requests.
func (s *State) preferOtherRegion(r *request, found candidateCounts) bool {
	if found.near == 0 {
		return true
	}
	if found.slots == 0 && r.queueItem.Queued() && s.now.Sub(r.queuedAt) >= extraRoundTrip {
		return true
	}
	return s.expectedWait(r, found.slots) > extraRoundTrip
}

// trialUpstream returns an ejected upstream that is due for a trial request, if
// this request is suitable: it must be possible to retry a failed trial without
// the caller noticing.
func (s *State) trialUpstream(r *request) *upstream {
	svc := r.service
	if svc.health.EjectedCount() == 0 || r.attempts > 0 || r.group.long || !r.idempotent || !r.bodyKept {
		return nil
	}
	for _, u := range r.group.eligible {
		if !u.accepts(s.now) || u.running >= s.currentLimit(svc, u) || !u.health.TrialDue(time.Duration(s.now)) {
			continue
		}
		if s.admits(u) {
			return u
		}
		s.askBeforeTrial(u)
	}
	return nil
}
