package core

import (
	"time"

	"wisteriapond/budget"
	"wisteriapond/health"
	"wisteriapond/outcome"
)

const (
	// retryBackoff is the longest wait before the second attempt; it doubles for
	// each further one. The wait is random, so that requests which failed at the
	// same time are not retried at the same time.
	retryBackoff = 4 * time.Millisecond
	// An upstream that has failed failuresBeforeAvoidance times in a row is avoided
	// for minAvoidance, which doubles with each further failure up to maxAvoidance.
	failuresBeforeAvoidance = 3
	minAvoidance            = 250 * time.Millisecond
	maxAvoidance            = 5 * time.Second
	// minErrorStatus and minServerErrorStatus are the lowest status codes of any
	// error and of server errors.
	minErrorStatus       = 400
	minServerErrorStatus = 500
)

// decideRetry returns the reason for another attempt after one that ended with
// the given facts, or RetryNone if there is no other attempt. It withdraws a retry
// that is made from the budget.
func (s *State) decideRetry(r *request, facts outcome.Facts, class outcome.Class) outcome.Retry {
	reason := outcome.RetryReason(facts, class, r.idempotent)
	if reason == outcome.RetryNone || r.disconnected || s.stop.exiting {
		return outcome.RetryNone
	}
	if reason == outcome.RetryShed {
		r.shedAttempts++
	}
	if withheld := s.withheldReason(r, facts, reason); withheld != "" {
		r.retryWithheld = true
		s.count(CounterRetriesWithheld, string(withheld))
		return outcome.RetryNone
	}
	return reason
}

// depositRetries adds the share of an arriving request to the retry budgets.
func (s *State) depositRetries(r *request) {
	if r.route != nil {
		r.service.retryBudget.SetShare(s.retryShare())
		r.service.retryBudget.Deposit(s.self.Registry.RetryPermille * budget.Token / permille)
		return
	}
	r.service.retryBudget.Deposit(budget.RetryDeposit)
	r.service.shedBudget.Deposit(budget.ShedDeposit)
}

// budgetFor returns the budget that a retry is charged to.
func (svc *service) budgetFor(reason outcome.Retry) *budget.Retries {
	if reason == outcome.RetryShed {
		return &svc.shedBudget
	}
	return &svc.retryBudget
}

// scheduleRetry schedules the next attempt after a random backoff.
func (s *State) scheduleRetry(r *request, reason outcome.Retry) {
	s.count(CounterRetries, string(reason))
	maxWait := retryBackoff << (r.attempts - 1)
	s.setTimer(&r.timer, s.now.Add(time.Duration(s.random.intN(int(maxWait)))))
}

// withheldReason returns the reason for which a retry that the outcome allows is
// not made, or an empty string. The budget is checked last, so that only retries
// that are made are charged to it.
func (s *State) withheldReason(r *request, facts outcome.Facts, reason outcome.Retry) outcome.Withheld {
	switch {
	case r.attempts >= maxAttempts, r.attempts-r.shedAttempts >= maxUnshedAttempts && r.route == nil, !r.mayTryAnotherUpstream(facts):
		return outcome.WithheldAttempts
	case outcome.BodyConsumed(facts, r.bodyKept):
		return outcome.WithheldBody
	case s.wouldMissDeadline(r, 0):
		return outcome.WithheldDeadline
	case r.route != nil && !r.withdrawRetry(facts):
		return outcome.WithheldBudget
	case r.route == nil && !r.service.budgetFor(reason).Withdraw():
		return outcome.WithheldBudget
	}
	return ""
}

// mayTryAnotherUpstream reports whether the route allows another attempt.
// Attempts that reached no upstream do not count.
func (r *request) mayTryAnotherUpstream(facts outcome.Facts) bool {
	if r.route == nil {
		return true
	}
	sent := r.sentAttempts
	if facts.Wrote {
		sent++
	}
	return sent < r.route.MaxAttempts
}

// withdrawRetry withdraws another arrival at the service from the retry budget.
// Each host keeps to the budget for its own requests, so that all hosts together
// do. The first arrival of a request is free.
func (r *request) withdrawRetry(facts outcome.Facts) bool {
	return !facts.Wrote && r.sentAttempts == 0 || r.service.retryBudget.Withdraw()
}

// updateStatistics updates the statistics of the service and the health of the
// upstream after an attempt.
func (s *State) updateStatistics(r *request, facts outcome.Facts, class outcome.Class) {
	u, svc := r.upstream, r.service
	if class == outcome.NotRun && facts.Wrote {
		r.shedWithRoom = reportsFreeSlot(facts)
		if !r.shedWithRoom {
			s.backOffShedding(u)
		}
	}
	took := s.now.Sub(r.startedAt)
	durations := svc.durationsFor(r.group.long)
	if class == outcome.Responded || facts.Cause == outcome.CauseTimeout {
		// Without the timeout, the attempt would have taken at least as long.
		durations.occupancy.Add(took)
		if !r.streaming {
			durations.response.Add(took)
		}
	}
	if class == outcome.Responded {
		r.observeResponseSize(facts.Bytes)
		s.observeServiceTime(r, facts)
	}
	if u.removed {
		return
	}
	verdict := health.Unchanged
	at := time.Duration(s.now)
	switch judged := outcome.HealthOf(facts, class); {
	case judged == outcome.HealthBad:
		verdict = svc.health.RecordFailure(&u.health, at, s.failureDuration(r, took), durations.response.Value())
		s.avoidFailing(u)
	case judged == outcome.HealthGood && (r.group.long || r.streaming):
		svc.health.RecordResponse(&u.health)
	case judged == outcome.HealthGood:
		verdict = svc.health.RecordSuccess(&u.health, at, took)
	}
	if verdict != health.Unchanged {
		s.count(CounterHealthVerdicts, string(verdict))
	}
}

// avoidFailing keeps requests from an upstream that fails one after the other, as
// long as another one can take them. Unlike an ejection this also applies to
// services with few upstreams: the time is short, and the upstream is still used
// when there is no other.
func (s *State) avoidFailing(u *upstream) {
	if failures := u.health.ConsecutiveFailures(); failures >= failuresBeforeAvoidance {
		u.avoidUntil = s.now.Add(min(minAvoidance<<min(failures-failuresBeforeAvoidance, 8), maxAvoidance))
	}
}

// failureDuration returns the duration with which a failure enters the response
// times. It is 0 for a long request, whose duration indicates nothing about
// response times.
func (s *State) failureDuration(r *request, took time.Duration) time.Duration {
	if r.group.long || r.streaming {
		return 0
	}
	return took
}

// reportsFreeSlot reports whether the load report of a response shows a free slot.
// If a server sheds in spite of a free slot, its number of slots does not describe
// its capacity, and there is no point in waiting for a slot.
func reportsFreeSlot(facts outcome.Facts) bool {
	report := &facts.Told
	return report.Known && report.Running+report.Waiting < report.Slots
}

// backOffShedding backs off from an upstream whose slots are taken by other
// hosts until one is likely to be free. The wait is random, so that hosts which
// were rejected at the same time do not return at the same time.
func (s *State) backOffShedding(u *upstream) {
	s.count(CounterShed, u.service.config.Name)
	occupancy := u.service.durationsFor(false).occupancy.Value()
	if occupancy > 0 {
		s.backOff(u, occupancy/4+time.Duration(s.random.intN(int(occupancy/2+1))))
	}
}
