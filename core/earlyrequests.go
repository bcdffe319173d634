package core

import (
	"cmp"
	"slices"
	"time"

	"wisteriapond/outcome"
)

// This file keeps requests that arrive before a host with a store has a
// configuration. When many hosts start at once, as after a loss of power, no other
// host could serve these callers sooner.

const (
	// maxEarlyWait bounds the wait for a configuration. A request waits for at most
	// half of its remaining time, so that its caller can still turn to another host.
	maxEarlyWait = 2 * time.Second
	// defaultEarlyWait applies to requests without a time limit.
	defaultEarlyWait = time.Second
	// maxEarlyRequests bounds the requests that wait for a configuration.
	maxEarlyRequests = 1024
	// minEarlyRetryAfter and maxEarlyRetryAfter bound the random Retry-After time of
	// a request that is refused since this host has no configuration.
	minEarlyRetryAfter = 100 * time.Millisecond
	maxEarlyRetryAfter = 500 * time.Millisecond
)

// earlyRequest is a request that waits for the first configuration.
type earlyRequest struct {
	event     RequestArrived
	arrivedAt Instant
	// until is the end of the wait.
	until Instant
}

// deadline returns the instant up to which the caller waits. A request without a
// time limit comes after those with one.
func (e *earlyRequest) deadline() Instant {
	if e.event.Timeout <= 0 {
		return e.arrivedAt.Add(time.Hour)
	}
	return e.arrivedAt.Add(e.event.Timeout)
}

// keepEarly lets a request wait for the first configuration, or refuses it if this
// host reads no store, is stopping, or has too many such requests.
func (s *State) keepEarly(e RequestArrived) {
	if s.self.Registry == nil || s.stop.requested || len(s.early) >= maxEarlyRequests {
		s.refuseEarly(e.ID, outcome.RefusedNotReady)
		return
	}
	wait := defaultEarlyWait
	if e.Timeout > 0 {
		wait = min(e.Timeout/2, maxEarlyWait)
	}
	kept := earlyRequest{event: e, arrivedAt: s.now, until: s.now.Add(wait)}
	s.early = append(s.early, kept)
	s.scheduleTick(kept.until)
}

func (s *State) refuseEarly(id RequestID, reason outcome.Refusal) {
	refusal := Refuse{Request: id, Reason: reason}
	if s.self.Registry != nil {
		refusal.RetryAfter = minEarlyRetryAfter + time.Duration(s.random.intN(int(maxEarlyRetryAfter-minEarlyRetryAfter)))
	}
	s.sendRefusal(refusal)
}

// checkEarly dispatches the waiting requests once there is a configuration, those
// with the least remaining time first, and refuses the ones that have waited long
// enough. All are refused when this host stops.
func (s *State) checkEarly() {
	if len(s.early) == 0 {
		return
	}
	if s.table != nil {
		waiting := s.early
		s.early = nil
		slices.SortStableFunc(waiting, func(a, b earlyRequest) int { return cmp.Compare(a.deadline(), b.deadline()) })
		for i := range waiting {
			s.admit(waiting[i].event, waiting[i].arrivedAt)
		}
		return
	}
	s.early = slices.DeleteFunc(s.early, func(e earlyRequest) bool {
		if s.now.Before(e.until) && !s.stop.requested {
			return false
		}
		s.refuseEarly(e.event.ID, outcome.RefusedNotReady)
		return true
	})
}

// earlyCallerDisconnected drops a waiting request whose caller disconnected.
func (s *State) earlyCallerDisconnected(id RequestID) {
	s.early = slices.DeleteFunc(s.early, func(e earlyRequest) bool {
		if e.event.ID != id {
			return false
		}
		s.refuseEarly(id, outcome.RefusedCallerGone)
		return true
	})
}
