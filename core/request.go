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
	// MaxDepth is the maximum number of entry hosts that a chain of nested calls
	// may pass.
	MaxDepth = 15
	// DefaultHoldBytes is the size up to which responses are buffered completely,
	// so that a truncated one can be retried without the caller noticing, unless
	// Start.HoldBytes sets another size.
	DefaultHoldBytes = 64 << 10
	// startExpiry bounds the time between the decision to start an attempt and
	// its first byte. A process that was paused in between must not act on a
	// stale decision.
	startExpiry = 50 * time.Millisecond
	// maxAttempts bounds the attempts of a request. maxUnshedAttempts bounds
	// those that the backend server did not shed, for a request without a route.
	maxAttempts       = 6
	maxUnshedAttempts = 3
	// idempotentMaxIdle is shorter than the usual keep-alive timeout of servers.
	idempotentMaxIdle = 30 * time.Second
	// nonIdempotentMaxIdle excludes nearly every connection that its server may
	// be closing as idle, since keep-alive timeouts are seconds. To open a new
	// connection for each request instead would add more than the 0.39 ms that a
	// call may cost.
	nonIdempotentMaxIdle = 500 * time.Millisecond
)

// request is a request whose final response is still due. It waits in the queue
// (queueItem), waits for load reports or between two attempts (timer only), or
// has an attempt in progress (upstream).
type request struct {
	id RequestID
	// name is the caller's identifier for the request, empty if it sent none.
	name string
	// records describe the attempts so far, for the request log. expected is the
	// estimated duration of the next attempt.
	records    []attemptRecord
	expected   time.Duration
	service    *service
	group      *group
	labels     label.Set
	idempotent bool
	bodyKept   bool
	bodyBytes  int64
	depth      int
	// route is nil if the configuration defines services without routes.
	route *config.Route
	// regions are the regions that the route allows in the configuration in force,
	// empty for every region.
	regions   []string
	arrivedAt Instant
	deadline  Instant
	// queriedBelow is the locality below which upstreams were queried for their
	// load before the next attempt. pendingQueries is the number of load queries
	// without a response.
	queriedBelow   pick.Locality
	pendingQueries int
	// bestWorth is the worth of the request on the best upstream, less the price
	// of its bytes, in thousandths, when one was last selected.
	bestWorth int
	// sentAttempts is the number of attempts of which a byte may have reached an
	// upstream.
	sentAttempts int
	attempts     int
	upstream     *upstream
	startedAt    Instant
	// trial is set while the attempt is the trial request of an ejected upstream.
	trial        bool
	streaming    bool
	disconnected bool
	// retryWithheld is set once a retry that the outcome allowed was not made.
	retryWithheld bool
	// mayHaveRun is set once an attempt ended with any class other than not run.
	// From then on the request must not be reported as not run. failure is the
	// failure to report if no later attempt succeeds.
	mayHaveRun bool
	failure    outcome.Failure
	// responseHeld is set while the response of the last attempt, an error from
	// heldUpstream, is still buffered. It is forwarded if no other attempt starts.
	responseHeld bool
	heldUpstream string
	// shedAttempts is the number of attempts that the backend server shed.
	shedAttempts int
	// shedWithRoom is set if the last attempt was shed by a server that reported a
	// free slot.
	shedWithRoom bool
	tried        [maxAttempts]*upstream
	// transferFrom is the region that a long response comes from, empty if it
	// crosses no regions. rate bounds the transfer of the response in bytes per
	// second; 0 means no limit.
	transferFrom string
	rate         int64
	queuedAt     Instant
	queueItem    queue.Item[*request]
	timer        queue.Item[timerTarget]
}

// requestArrived admits a request, or lets it wait until there is a configuration.
func (s *State) requestArrived(e RequestArrived) {
	if s.table == nil {
		s.keepEarly(e)
		return
	}
	s.admit(e, s.now)
}

// admit routes a request that arrived at the given instant and dispatches it, or
// refuses it.
func (s *State) admit(e RequestArrived, arrivedAt Instant) {
	compiled, route := s.routeOf(&e.Request)
	if compiled == nil {
		s.sendRefusal(Refuse{Request: e.ID, Reason: outcome.RefusedNoService})
		return
	}
	if e.Ahead {
		if !isIdempotent(e.Request.Method, compiled.RequestLabels(&e.Request), compiled, route) {
			s.out.add(Defer{Request: e.ID})
			return
		}
		s.count(CounterAhead, compiled.Name)
	}
	s.count(CounterRequests, compiled.Name)
	if e.Depth >= MaxDepth {
		s.sendRefusal(Refuse{Request: e.ID, Reason: outcome.RefusedDepth, Service: compiled.Name})
		return
	}
	r := s.newRequest(&e, compiled, route, arrivedAt)
	if !s.admitDuringStop(r) {
		s.refuseForStop(e.ID, compiled.Name)
		return
	}
	s.depositRetries(r)
	s.requests[r.id] = r
	s.dispatch(r)
}

// isIdempotent reports whether a request may run more than once.
func isIdempotent(method string, labels label.Set, compiled *config.CompiledService, route *config.Route) bool {
	if route != nil {
		return route.Repeat != config.AtMostOnce
	}
	return compiled.Idempotent(method, labels)
}

func (s *State) newRequest(e *RequestArrived, compiled *config.CompiledService, route *config.Route, arrivedAt Instant) *request {
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
		labels:     labels,
		idempotent: isIdempotent(e.Request.Method, labels, compiled, route),
		bodyKept:   e.BodyKept,
		bodyBytes:  e.BodyBytes,
		depth:      max(0, e.Depth),
		deadline:   arrivedAt.Add(timeout),
		arrivedAt:  arrivedAt,
		route:      route,
	}
	if route != nil {
		r.regions = route.Regions
	}
	r.group = svc.groupFor(labels, r.regions)
	r.timer.Value.request = r
	return r
}

// dispatch starts an attempt, waits for load reports first, queues the request, or
// refuses it.
func (s *State) dispatch(r *request) {
	if s.tooLateToStart(r) {
		s.refuseRequest(r, outcome.RefusedDeadline)
		return
	}
	r.pendingQueries = 0
	if r.attempts > 0 || r.queriedBelow > pick.SameDomain {
		// Services may have changed since the last attempt or while load queries
		// were pending.
		r.group = r.service.groupFor(r.labels, r.regions)
	}
	if r.route != nil && r.queriedBelow == pick.SameDomain && s.queryLoads(r) {
		return
	}
	u, usable := s.chooseUpstream(r)
	if r.route != nil && usable && s.shouldWiden(r, u) && s.queryLoads(r) {
		return
	}
	switch {
	case !usable:
		s.refuseRequest(r, outcome.RefusedNoHost)
	case u == nil:
		s.enqueueOrRefuse(r)
	default:
		s.startAttempt(r, u)
	}
}

func (r *request) hasTried(u *upstream) bool {
	return r.attempts > 0 && slices.Contains(r.tried[:r.attempts], u)
}

// maxIdle returns the longest idle time of a connection that the next attempt
// may reuse.
func (r *request) maxIdle() time.Duration {
	if r.idempotent {
		return idempotentMaxIdle
	}
	return nonIdempotentMaxIdle
}

// startAttempt starts an attempt on an upstream and occupies a slot for it.
func (s *State) startAttempt(r *request, u *upstream) {
	r.recordStart(u, s.now)
	r.tried[r.attempts] = u
	r.attempts++
	r.upstream = u
	r.queriedBelow = pick.SameDomain
	r.startedAt = s.now
	r.responseHeld = false
	r.rate = s.initialRate(u)
	if u.health.TrialDue(time.Duration(s.now)) {
		u.health.StartTrial()
		r.trial = true
		s.count(CounterTrials, r.service.config.Name)
	}
	u.running++
	s.takeColdTurn(u)
	u.reported.attemptStarted()
	if r.group.long {
		u.runningLong++
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

		UnsizedBytes: s.self.UnsizedBytes,
		Rate:         r.rate,
		NotRun:       r.service.config.NotRun,
		Instance:     u.config.Instance,
	})
}

func (s *State) holdBytes() int64 {
	if s.self.HoldBytes > 0 {
		return s.self.HoldBytes
	}
	return DefaultHoldBytes
}

func (r *request) attempt() AttemptID {
	return AttemptID{Request: r.id, Number: r.attempts}
}

// currentRequest returns the request whose attempt in progress has the given id,
// or nil when the attempt has been superseded.
func (s *State) currentRequest(id AttemptID) *request {
	r := s.requests[id.Request]
	if r == nil || r.upstream == nil || r.attempt() != id {
		return nil
	}
	return r
}

// responseStarted handles the header of a long response. The response is not
// forwarded if another attempt follows, if the request was not run, or if the response
// would promise that it was not.
func (s *State) responseStarted(e AnswerBegun) {
	r := s.currentRequest(e.Attempt)
	if r == nil || r.streaming {
		return
	}
	if s.abandonUnlikely(r, e.Facts) {
		return
	}
	class := s.classify(r, e.Facts)
	retry := s.decideRetry(r, e.Facts, class)
	if class != outcome.Responded || retry != outcome.RetryNone || s.promisesNotRun(r, e.Facts.Status) {
		s.endAttempt(r, e.Facts, class, retry, false)
		return
	}
	s.applyHints(r.upstream, e.Facts)
	r.service.durationsFor(r.group.long).response.Add(s.now.Sub(r.startedAt))
	r.streaming = true
	r.recordEnd(class, e.Facts, s.now)
	s.logResponse(r, e.Facts)
	s.startTransfer(r)
	s.out.add(PassAnswer{Attempt: e.Attempt, Upstream: r.upstream.config.Name, GaveUp: r.shouldMarkGaveUp(e.Facts)})
}

// responseDelivered handles the end of a response that was streamed to the caller.
func (s *State) responseDelivered(e AnswerDelivered) {
	r := s.currentRequest(e.Attempt)
	if r == nil {
		return
	}
	u := r.upstream
	facts := s.judgeDelivered(r, e.Facts)
	class := s.classify(r, facts)
	s.count(CounterAttempts, class.String())
	s.applyHints(u, facts)
	s.updateStatistics(r, facts, class)
	s.releaseSlot(r, e.Facts)
	if !e.Whole && !r.disconnected {
		r.recordEnd(class, e.Facts, s.now)
		s.logRequest(r, logKindAborted, e.Facts.Cause.String())
	}
	s.removeRequest(r)
	s.startWaitingOn(u)
}

// attemptFinished handles the end of an attempt whose response is buffered, or
// that failed.
func (s *State) attemptFinished(e AttemptFinished) {
	r := s.currentRequest(e.Attempt)
	if r == nil {
		return
	}
	class := s.classify(r, e.Facts)
	s.endAttempt(r, e.Facts, class, s.decideRetry(r, e.Facts, class), true)
}

func (s *State) classify(r *request, facts outcome.Facts) outcome.Class {
	return outcome.Classify(facts, r.service.config.NotRun.Status)
}

// endAttempt ends an attempt of which nothing was forwarded to the caller. Then it
// schedules a retry, forwards the response, or refuses the request. held reports
// whether the response, if there is one, is buffered completely.
func (s *State) endAttempt(r *request, facts outcome.Facts, class outcome.Class, retry outcome.Retry, held bool) {
	u := r.upstream
	s.count(CounterAttempts, class.String())
	s.applyHints(u, facts)
	s.updateStatistics(r, facts, class)
	s.releaseSlot(r, facts)
	r.recordOutcome(facts, class)
	r.recordEnd(class, facts, s.now)
	switch {
	case retry != outcome.RetryNone:
		r.responseHeld = held && class == outcome.Responded
		r.heldUpstream = u.config.Name
		s.scheduleRetry(r, retry)
	case class == outcome.Responded && s.promisesNotRun(r, facts.Status):
		s.failRequest(r, r.failure)
	case class == outcome.Responded:
		s.logResponse(r, facts)
		s.passLastResponse(r, u.config.Name, r.shouldMarkGaveUp(facts))
	default:
		s.refuseRequest(r, outcome.RefusedUnavailable)
	}
	s.startWaitingOn(u)
}
