package core

import (
	"slices"
	"time"

	"wisteriapond/config"
	"wisteriapond/label"
	"wisteriapond/outcome"
	"wisteriapond/pick"
	"wisteriapond/queue"
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
	// maxAttempts bounds the attempts of a request, and maxUnshed those of them
	// that were not shed by the backend server.
	maxAttempts = 6
	maxUnshed   = 3
	// idempotentMaxIdle is shorter than the usual keep-alive time of servers.
	idempotentMaxIdle = 30 * time.Second
	// nonIdempotentMaxIdle rules out nearly every connection that its server is
	// closing for being idle: keep-alive times are seconds. Opening one for
	// each request adds more than the 0.39 ms that a call may cost.
	nonIdempotentMaxIdle = 500 * time.Millisecond
)

// request is a request that has not had its final answer. It waits in the
// queue (place), waits between two attempts (alarm only), or has an attempt
// under way (upstream).
type request struct {
	id RequestID
	// name is the caller's name for the request, empty when it gave none.
	name string
	// steps are the attempts so far, for the log line of a request that does not
	// go well, and expected the time that the next one is expected to take.
	steps      []step
	expected   time.Duration
	service    *service
	group      *group
	labels     label.Set
	idempotent bool
	bodyKept   bool
	bodyBytes  int64
	depth      int
	// route is nil when the service itself says how its requests are treated.
	route     *config.Route
	arrivedAt Instant
	deadline  Instant
	// askedBelow is the locality below which upstreams were asked for their load
	// before the next attempt, and asking counts the answers that are awaited.
	askedBelow pick.Locality
	asking     int
	// worth is that of the best upstream when the request was placed last.
	worth int
	// sent counts the attempts of which a byte may have reached an upstream.
	sent      int
	attempts  int
	upstream  *upstream
	startedAt Instant
	// trial says that the attempt decides about the ejection of its upstream.
	trial     bool
	streaming bool
	gone      bool
	// withheld says that a retry was possible and not made.
	withheld bool
	// mayHaveRun is set once an attempt ended in any other way than not run.
	// From then on the request must not be reported as not run.
	mayHaveRun bool
	failure    outcome.Failure
	// held says that the answer of the last attempt, an error, is still at
	// hand and is passed on if no other attempt starts.
	held         bool
	heldUpstream string
	// sheds counts the attempts that the backend server shed.
	sheds        int
	tried        [maxAttempts]*upstream
	transferFrom string
	rate         int64
	queuedAt     Instant
	place        queue.Item[*request]
	alarm        queue.Item[timer]
}

func (s *State) requestArrived(e RequestArrived) {
	if s.table == nil {
		s.refuse(Refuse{Request: e.ID, Reason: outcome.RefusedNotReady})
		return
	}
	compiled, route := s.routeOf(&e.Request)
	if compiled == nil {
		s.refuse(Refuse{Request: e.ID, Reason: outcome.RefusedNoService})
		return
	}
	s.count(CounterRequests, compiled.Name)
	if e.Depth >= MaxDepth {
		s.refuse(Refuse{Request: e.ID, Reason: outcome.RefusedDepth, Service: compiled.Name})
		return
	}
	r := s.newRequest(&e, compiled, route)
	s.depositRetries(r)
	s.requests[r.id] = r
	s.dispatch(r)
}

func (s *State) newRequest(e *RequestArrived, compiled *config.CompiledService, route *config.Route) *request {
	timeout := compiled.Timeout
	if e.Timeout > 0 {
		timeout = min(timeout, e.Timeout)
	}
	if route != nil && route.Timeout > 0 {
		timeout = min(timeout, route.Timeout)
	}
	labels := compiled.RequestLabels(&e.Request)
	svc := s.services[compiled.Name]
	r := &request{
		id:         e.ID,
		name:       e.Name,
		service:    svc,
		group:      svc.groupOf(labels),
		labels:     labels,
		idempotent: compiled.Idempotent(e.Request.Method, labels),
		bodyKept:   e.BodyKept,
		bodyBytes:  e.BodyBytes,
		depth:      max(0, e.Depth),
		deadline:   s.now.Add(timeout),
		arrivedAt:  s.now,
		route:      route,
	}
	if route != nil {
		r.idempotent = route.Repeat != config.AtMostOnce
	}
	r.alarm.Value.request = r
	return r
}

// dispatch starts an attempt, lets the request wait for a slot, or refuses it.
func (s *State) dispatch(r *request) {
	if s.tooLate(r) {
		s.refuseRequest(r, outcome.RefusedDeadline)
		return
	}
	r.asking = 0
	if r.attempts > 0 || r.askedBelow > pick.SameDomain {
		// Services may have changed since the last attempt, or while loads were
		// asked for.
		r.group = r.service.groupOf(r.labels)
	}
	if r.route != nil && r.askedBelow == pick.SameDomain && s.ask(r) {
		return
	}
	u, usable := s.choose(r)
	if r.route != nil && usable && s.widen(r, u) && s.ask(r) {
		return
	}
	switch {
	case !usable:
		s.refuseRequest(r, outcome.RefusedNoHost)
	case u == nil:
		s.wait(r)
	default:
		s.startAttempt(r, u)
	}
}

func (r *request) hasTried(u *upstream) bool {
	return r.attempts > 0 && slices.Contains(r.tried[:r.attempts], u)
}

// maxIdle returns how long the connection for the next attempt may have been
// idle.
func (r *request) maxIdle() time.Duration {
	if r.idempotent {
		return idempotentMaxIdle
	}
	return nonIdempotentMaxIdle
}

func (s *State) startAttempt(r *request, u *upstream) {
	r.noteStart(u, s.now)
	r.tried[r.attempts] = u
	r.attempts++
	r.upstream = u
	r.askedBelow = pick.SameDomain
	r.startedAt = s.now
	r.held = false
	r.rate = s.firstRate(u)
	if u.health.TrialDue(time.Duration(s.now)) {
		u.health.StartTrial()
		r.trial = true
		s.count(CounterTrials, r.service.config.Name)
	}
	u.running++
	u.told.started()
	if r.group.long {
		u.long++
	}
	s.out.add(StartAttempt{
		Attempt:     r.attempt(),
		Service:     r.service.config.Name,
		Upstream:    u.config.Name,
		Address:     u.config.Address,
		StartBefore: s.now.Add(startExpiry),
		Deadline:    r.deadline,
		Depth:       r.depth + 1,
		MaxIdle:     r.maxIdle(),
		Connections: s.connectionShare(u),
		HoldBytes:   s.holdBytes(),
		Rate:        r.rate,
		NotRun:      r.service.config.NotRun,
		Instance:    u.config.Instance,
	})
}

func (s *State) holdBytes() int64 {
	if s.self.HoldBytes > 0 {
		return s.self.HoldBytes
	}
	return HoldBytes
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

// answerBegun takes the head of a long answer. One that calls for another
// attempt, or that says that the request did not run, is not passed on.
func (s *State) answerBegun(e AnswerBegun) {
	r := s.current(e.Attempt)
	if r == nil || r.streaming {
		return
	}
	class := s.classify(r, e.Facts)
	again := s.retryReason(r, e.Facts, class)
	if class != outcome.Answered || again != outcome.RetryNone {
		s.endAttempt(r, e.Facts, class, again, false)
		return
	}
	s.noteHints(r.upstream, e.Facts)
	r.service.usualFor(r.group.long).respond.Add(s.now.Sub(r.startedAt))
	r.streaming = true
	r.noteEnd(class, e.Facts, s.now)
	s.logAnswer(r, e.Facts)
	s.beginTransfer(r)
	s.out.add(PassAnswer{Attempt: e.Attempt, Upstream: r.upstream.config.Name, GaveUp: r.marksGaveUp(e.Facts)})
}

func (s *State) answerDelivered(e AnswerDelivered) {
	r := s.current(e.Attempt)
	if r == nil {
		return
	}
	u := r.upstream
	class := s.classify(r, e.Facts)
	s.count(CounterAttempts, class.String())
	s.noteHints(u, e.Facts)
	s.noteResult(r, e.Facts, class)
	s.release(r, e.Facts)
	if !e.Whole && !r.gone {
		r.noteEnd(class, e.Facts, s.now)
		s.logRequest(r, lineBroken, e.Facts.Cause.String())
	}
	s.forget(r)
	s.drainUpstream(u)
}

func (s *State) attemptFinished(e AttemptFinished) {
	r := s.current(e.Attempt)
	if r == nil {
		return
	}
	class := s.classify(r, e.Facts)
	s.endAttempt(r, e.Facts, class, s.retryReason(r, e.Facts, class), true)
}

func (s *State) classify(r *request, facts outcome.Facts) outcome.Class {
	return outcome.Classify(facts, r.service.config.NotRun.Status)
}

// endAttempt ends an attempt of which the caller has seen nothing. held says
// that the answer, if there is one, is held whole.
func (s *State) endAttempt(r *request, facts outcome.Facts, class outcome.Class, again outcome.Retry, held bool) {
	u := r.upstream
	s.count(CounterAttempts, class.String())
	s.noteHints(u, facts)
	s.noteResult(r, facts, class)
	s.release(r, facts)
	r.noteOutcome(facts, class)
	r.noteEnd(class, facts, s.now)
	switch {
	case again != outcome.RetryNone:
		r.held = held && class == outcome.Answered
		r.heldUpstream = u.config.Name
		s.pauseBeforeRetry(r, again)
	case class == outcome.Answered:
		s.logAnswer(r, facts)
		s.passLast(r, u.config.Name, r.marksGaveUp(facts))
	default:
		s.refuseRequest(r, outcome.RefusedUnavailable)
	}
	s.drainUpstream(u)
}
