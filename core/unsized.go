package core

import (
	"wisteriapond/config"
	"wisteriapond/outcome"
)

// This file handles responses whose length was not announced. They may be large, or
// bytes without end that are no response.

const (
	// unlikelyFactor is the multiple of the usual size of a service's responses
	// beyond which a response of unknown length is most likely no response.
	unlikelyFactor = 64
	// patienceDivisor is the inverse of the part of its time limit by which a caller
	// may disconnect early and still count as one that waited until the end.
	patienceDivisor = 8
)

// abandonUnlikely ends the first attempt of an idempotent request if its response
// is most likely none, and retries it on another upstream. It returns false if the
// response should be forwarded: a second one of that size, or one that cannot be
// retried, may be genuine.
func (s *State) abandonUnlikely(r *request, facts outcome.Facts) bool {
	if !facts.Unsized || r.route == nil || r.route.Repeat != config.Idempotent || r.attempts > 1 {
		return false
	}
	usual := r.service.responseSizes[r.route.Repeat]
	if usual <= 0 || s.holdBytes() < unlikelyFactor*usual {
		return false
	}
	facts.Cause = outcome.CauseMalformed
	class := s.classify(r, facts)
	retry := s.decideRetry(r, facts, class)
	if retry == outcome.RetryNone {
		return false
	}
	s.endAttempt(r, facts, class, retry, false)
	return true
}

// judgeDelivered returns the facts of a streamed response for the statistics of its
// upstream. A response of unknown length that had not ended when its caller had
// waited for all of its time counts as a timeout of the upstream.
func (s *State) judgeDelivered(r *request, facts outcome.Facts) outcome.Facts {
	patience := r.deadline.Sub(r.arrivedAt) / patienceDivisor
	if facts.Unsized && r.disconnected && facts.Cause == outcome.CauseCanceled && !s.now.Add(patience).Before(r.deadline) {
		facts.Cause = outcome.CauseTimeout
	}
	return facts
}
