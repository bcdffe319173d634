package core

import (
	"time"

	"wisteriapond/outcome"
)

const (
	// maxRetryAfter bounds the wait that a backend server may request with
	// Retry-After, so that an absurd value does not take it out of use for good.
	maxRetryAfter = time.Hour
	// maxHolds bounds the requested waits that are remembered for upstreams which
	// are not in the configuration at the moment.
	maxHolds = 4096
)

// applyHints applies what a response reveals about its backend server: load
// reports, the wait that it requests, and that it is leaving.
func (s *State) applyHints(u *upstream, facts outcome.Facts) {
	if facts.Told.Known {
		u.reported.update(facts.Told, s.now)
	}
	if facts.Load >= 0 && facts.Status != 0 {
		u.load = facts.Load
		u.loadAt = s.now
	}
	s.applyAnnouncements(u, facts)
}

// applyAnnouncements applies what a backend server asks of its callers: to leave
// it alone for some time, or for good.
func (s *State) applyAnnouncements(u *upstream, facts outcome.Facts) {
	if facts.RetryAfter > 0 && facts.Status >= minErrorStatus {
		s.holdUpstream(u, min(facts.RetryAfter, maxRetryAfter))
	}
	if facts.Draining {
		s.markLeaving(u.config.Host)
	}
}

// holdUpstream sends nothing to an upstream for the wait that it has requested.
func (s *State) holdUpstream(u *upstream, wait time.Duration) {
	s.count(CounterRequestedWaits, u.service.config.Name)
	s.backOff(u, wait)
}

// backOff keeps this host from starting requests on the upstream until the wait
// has passed.
func (s *State) backOff(u *upstream, wait time.Duration) {
	u.notBefore = max(u.notBefore, s.now.Add(wait))
	if u.service.waiting > 0 {
		s.scheduleQueueCheck(u.service, u.notBefore)
	}
}

// accepts reports whether this host may send anything to the upstream now: it is
// not leaving, its failure domain is not emptied, and no backoff or requested wait is in force. Requests, retries,
// trials, load queries and probes all pass this check.
func (u *upstream) accepts(now Instant) bool {
	return !u.leaving && !u.emptied && !now.Before(u.notBefore)
}

// untilAccepted returns the time until the first upstream that the request could
// use accepts it, 0 if one does now or if there is none. Upstreams that the request
// has tried and ejected ones count only if there are no others.
func (s *State) untilAccepted(r *request) time.Duration {
	for _, exclude := range []exclusions{{tried: true, ejected: true, failing: true}, {}} {
		wait, found := s.shortestHold(r, exclude)
		if found {
			return wait
		}
	}
	return 0
}

// shortestHold returns the shortest time until an upstream that is not excluded
// accepts requests, and whether there is any such upstream.
func (s *State) shortestHold(r *request, exclude exclusions) (wait time.Duration, found bool) {
	for _, u := range r.group.eligible {
		if s.excluded(r, u, exclude) {
			continue
		}
		left := max(0, u.notBefore.Sub(s.now), s.coldWait(u))
		if !found || left < wait {
			wait, found = left, true
		}
	}
	return wait, found
}

// holdKey identifies an upstream while it is not in the configuration. Another
// instance of a backend server has another host name.
func holdKey(u *upstream) string {
	return u.service.config.Name + "\x00" + u.config.Name + "\x00" + u.config.Host
}

// keepHold remembers the backoff of an upstream that is removed. The entry of a
// server may lapse and return while its requested wait is in force.
func (s *State) keepHold(u *upstream) {
	if !s.now.Before(u.notBefore) {
		return
	}
	for key, until := range s.holds {
		if !s.now.Before(until) {
			delete(s.holds, key)
		}
	}
	if len(s.holds) < maxHolds {
		s.holds[holdKey(u)] = u.notBefore
	}
}

// restoreHold gives an upstream the backoff that it had when it was removed.
func (s *State) restoreHold(u *upstream) {
	key := holdKey(u)
	u.notBefore = s.holds[key]
	delete(s.holds, key)
}
