package core

import (
	"time"

	"wisteriapond/config"
	"wisteriapond/label"
	"wisteriapond/outcome"
)

const (
	// MaxDepth is the number of entry hosts that a chain of nested calls may
	// pass.
	MaxDepth = 15
	// HoldBytes is the size up to which answers are held whole, so that a
	// truncated one can be tried again unseen.
	HoldBytes = 64 << 10
	// startExpiry bounds the time between the decision to start an attempt and
	// its first byte. A process that was paused in between must not act on it.
	startExpiry = 50 * time.Millisecond
	maxAttempts = 3
)

// request is a request that has not had its final answer.
type request struct {
	id         RequestID
	service    *service
	attributes config.Request
	labels     label.Set
	idempotent bool
	bodyKept   bool
	depth      int
	deadline   Instant
	attempts   int
	upstream   *upstream
	streaming  bool
	gone       bool
	// mayHaveRun is set once an attempt ended in any other way than not run.
	// From then on the request must not be reported as not run.
	mayHaveRun bool
	failure    outcome.Failure
	tried      []*upstream
}

func (s *State) requestArrived(e RequestArrived) {
	if s.table == nil {
		s.refuse(e.ID, outcome.RefusedNotReady, "")
		return
	}
	compiled := s.table.Service(&e.Request)
	if compiled == nil {
		s.refuse(e.ID, outcome.RefusedNoService, "")
		return
	}
	s.count(CounterRequests, compiled.Name)
	if e.Depth >= MaxDepth {
		s.refuse(e.ID, outcome.RefusedDepth, compiled.Name)
		return
	}
	r := s.newRequest(e, compiled)
	s.requests[r.id] = r
	s.dispatch(r)
}

func (s *State) newRequest(e RequestArrived, compiled *config.CompiledService) *request {
	timeout := compiled.Timeout
	if e.Timeout > 0 {
		timeout = min(timeout, e.Timeout)
	}
	labels := compiled.RequestLabels(&e.Request)
	return &request{
		id:         e.ID,
		service:    s.services[compiled.Name],
		attributes: e.Request,
		labels:     labels,
		idempotent: compiled.Idempotent(e.Request.Method, labels),
		bodyKept:   e.BodyKept,
		depth:      e.Depth,
		deadline:   s.now.Add(timeout),
	}
}

// dispatch starts an attempt or refuses the request.
func (s *State) dispatch(r *request) {
	if !s.now.Before(r.deadline) {
		s.refuseRequest(r, outcome.RefusedDeadline)
		return
	}
	if !r.idempotent && s.confirming() {
		s.refuseRequest(r, outcome.RefusedNotReady)
		return
	}
	candidates := s.candidates(r)
	if len(candidates) == 0 {
		s.refuseRequest(r, outcome.RefusedNoHost)
		return
	}
	s.startAttempt(r, s.pick(candidates))
}

// candidates returns the upstreams that the selectors allow, that are not
// leaving and that this request has not tried.
func (s *State) candidates(r *request) []*upstream {
	var found []*upstream
	for _, u := range r.service.upstreams {
		if s.leaving(u.config.Host) || r.hasTried(u) {
			continue
		}
		if ok, _, _ := r.service.config.Eligible(r.labels, u.config); ok {
			found = append(found, u)
		}
	}
	return found
}

func (r *request) hasTried(u *upstream) bool {
	for _, tried := range r.tried {
		if tried == u {
			return true
		}
	}
	return false
}

// pick returns the less loaded of two random candidates.
func (s *State) pick(candidates []*upstream) *upstream {
	a := candidates[s.random.below(len(candidates))]
	b := candidates[s.random.below(len(candidates))]
	if b.running < a.running {
		return b
	}
	return a
}

func (s *State) startAttempt(r *request, u *upstream) {
	r.attempts++
	r.upstream = u
	r.tried = append(r.tried, u)
	u.running++
	s.out.add(StartAttempt{
		Attempt:     r.attempt(),
		Service:     r.service.config.Name,
		Upstream:    u.config.Name,
		Address:     u.config.Address,
		StartBefore: s.now.Add(startExpiry),
		Deadline:    r.deadline,
		Depth:       r.depth + 1,
		Fresh:       !r.idempotent,
		Connections: s.connectionShare(u),
		HoldBytes:   HoldBytes,
		NotRun:      r.service.config.NotRun,
	})
}

// connectionShare returns this host's part of the connections that an upstream
// accepts from all entry hosts together.
func (s *State) connectionShare(u *upstream) int {
	return max(1, u.config.Connections/max(1, s.table.Manifest.EntryHosts))
}

func (r *request) attempt() AttemptID {
	return AttemptID{Request: r.id, Number: r.attempts}
}

// current returns the request whose running attempt has the given id, or nil
// when the event is about a superseded attempt.
func (s *State) current(id AttemptID) *request {
	r := s.requests[id.Request]
	if r == nil || r.upstream == nil || r.attempt() != id {
		return nil
	}
	return r
}

func (s *State) answerBegun(e AnswerBegun) {
	r := s.current(e.Attempt)
	if r == nil {
		return
	}
	r.streaming = true
	s.out.add(PassAnswer{Attempt: e.Attempt, Upstream: r.upstream.config.Name})
}

func (s *State) answerDelivered(e AnswerDelivered) {
	r := s.current(e.Attempt)
	if r == nil {
		return
	}
	s.release(r)
	s.count(CounterAttempts, outcome.Classify(e.Facts, 0).String())
	s.forget(r)
}

func (s *State) attemptFinished(e AttemptFinished) {
	r := s.current(e.Attempt)
	if r == nil {
		return
	}
	u := r.upstream
	s.release(r)
	class := outcome.Classify(e.Facts, r.service.config.NotRun.Status)
	s.count(CounterAttempts, class.String())
	if class == outcome.Unknown {
		r.mayHaveRun = true
		r.failure = outcome.FailureOf(e.Facts.Cause)
	}
	if class == outcome.Answered {
		s.out.add(PassAnswer{Attempt: e.Attempt, Upstream: u.config.Name})
		s.forget(r)
		return
	}
	if r.mayRetry(class) && !e.Facts.BodyTaken {
		s.count(CounterRetries, e.Facts.Cause.String())
		s.dispatch(r)
		return
	}
	s.refuseRequest(r, outcome.RefusedUnavailable)
}

// mayRetry reports whether another attempt cannot run the request twice. Only
// an idempotent request with its body kept is sent again after an unknown
// outcome.
func (r *request) mayRetry(class outcome.Class) bool {
	if r.gone || r.attempts >= maxAttempts {
		return false
	}
	if class == outcome.NotRun {
		return true
	}
	return r.idempotent && r.bodyKept
}

// callerGone frees the place of a request whose caller hung up. A running
// attempt is cancelled; its end is reported by the transport.
func (s *State) callerGone(e CallerGone) {
	r := s.requests[e.ID]
	if r == nil || r.gone {
		return
	}
	r.gone = true
	s.out.add(CancelAttempt{Attempt: r.attempt()})
}

func (s *State) release(r *request) {
	r.upstream.running--
	r.upstream = nil
}

// refuseRequest ends a request that cannot be sent (again). It is reported as
// not run only when no earlier attempt may have run it.
func (s *State) refuseRequest(r *request, reason outcome.Refusal) {
	if r.mayHaveRun {
		s.fail(r, r.failure)
		return
	}
	s.forget(r)
	s.refuse(r.id, reason, r.service.config.Name)
}

func (s *State) refuse(id RequestID, reason outcome.Refusal, service string) {
	s.count(CounterRefusals, string(reason))
	s.out.add(Refuse{Request: id, Reason: reason, Service: service})
}

func (s *State) fail(r *request, reason outcome.Failure) {
	s.forget(r)
	s.count(CounterFailures, string(reason))
	s.out.add(Fail{Request: r.id, Reason: reason, Service: r.service.config.Name, GaveUp: true})
}

func (s *State) forget(r *request) {
	delete(s.requests, r.id)
}
